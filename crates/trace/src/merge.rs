//! Many files as one stream: every step of every run exactly once, in the order of time, however the files
//! overlap. A run's own order is never changed. One block of each file that is being read is held.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, BufReader};
use std::ops::Range;
use std::path::{Path, PathBuf};

use badgergauge_core::Time;

use crate::header::Header;
use crate::read::{OpenError, Reader};
use crate::record::{Record, Servers, Source};

/// Why files can't be read together.
#[derive(Debug)]
pub enum MergeError {
    /// A file can't be opened.
    Open(PathBuf, OpenError),
    /// A file fails while it is read.
    Io(PathBuf, io::Error),
    /// Some files are masked and some are not.
    MixedMasking(PathBuf, PathBuf),
    /// There are no files.
    NoTraceFiles(PathBuf),
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MergeError::Open(path, error) => write!(f, "{}: {error}", path.display()),
            MergeError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            MergeError::MixedMasking(masked, plain) => {
                write!(f, "{} is masked and {} is not: mask that first", masked.display(), plain.display())
            }
            MergeError::NoTraceFiles(path) => write!(f, "{}: holds no trace file", path.display()),
        }
    }
}

impl std::error::Error for MergeError {}

/// A file is in the order of time but for this much, in nanoseconds: what clocks that were put right by
/// another merge may have moved. So much of it is held at the most beyond what is given.
const SLACK: i64 = 10_000_000_000;

type FileReader = Reader<BufReader<File>>;

/// Opens a trace file.
///
/// # Errors
///
/// When it can't be read, or is none.
pub fn open(path: &Path) -> Result<FileReader, MergeError> {
    let file = File::open(path).map_err(|error| MergeError::Open(path.to_owned(), error.into()))?;
    Reader::open(BufReader::new(file)).map_err(|error| MergeError::Open(path.to_owned(), error))
}

/// The trace files that paths name: a folder stands for those in it.
///
/// # Errors
///
/// When a folder can't be read or holds none.
pub fn trace_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, MergeError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let lost = |error: io::Error| MergeError::Io(path.clone(), error);
        let mut own = Vec::new();
        for entry in std::fs::read_dir(path).map_err(lost)? {
            let entry = entry.map_err(lost)?.path();
            if entry.extension().is_some_and(|end| end == "bgt") {
                own.push(entry);
            }
        }
        if own.is_empty() {
            return Err(MergeError::NoTraceFiles(path.clone()));
        }
        own.sort();
        files.extend(own);
    }
    Ok(files)
}

/// A file on its way. It is opened when it is first needed, and closed at its end.
struct Input {
    path: PathBuf,
    reader: Option<FileReader>,
    over: bool,
    /// Whether its blocks' heads have the same times as the stream.
    timed: bool,
    /// The Unix time up to which it has been read; before that, when its first block begins.
    time: i64,
    /// Bytes in all, and read so far.
    length: u64,
    read: u64,
    /// For each of its sources, the run and which of its cursors is this file's.
    cursors: Vec<(usize, usize)>,
}

/// One source of one file: what of it was read and not given yet.
struct Cursor {
    file: usize,
    /// The run's next step is no earlier than this.
    bound: u64,
    held: VecDeque<Record>,
}

/// One run of one broker, from all the files that tell of it.
struct Run {
    cursors: Vec<Cursor>,
    /// The last step given.
    last: u64,
    /// The next one, and its time on the common clock.
    next: Option<(i64, Record)>,
    /// The common time of the last one: it never goes back within a run.
    time: i64,
}

/// What was found out about a file on the way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The file.
    pub path: PathBuf,
    /// What is wrong with it.
    pub message: String,
}

/// Many files as one stream.
pub struct MergedStream {
    header: Header,
    inputs: Vec<Input>,
    runs: Vec<Run>,
    servers: Servers,
    notices: BTreeSet<(PathBuf, String)>,
    window: Range<i64>,
    /// Steps that were in more than one file.
    duplicates: u64,
}

impl MergedStream {
    /// Opens files; `window` bounds the Unix times of what is read, in nanoseconds.
    ///
    /// # Errors
    ///
    /// When one can't be read at all, or they can't be read together.
    pub fn open(files: &[PathBuf], window: Range<i64>) -> Result<Self, MergeError> {
        let mut header = Header::new(Vec::new(), false);
        let mut runs: Vec<Run> = Vec::new();
        let mut inputs: Vec<Input> = Vec::new();
        let mut first: Option<(PathBuf, bool)> = None;
        for path in files {
            let mut reader = open(path)?;
            let masked = reader.header().masked;
            match &first {
                None => first = Some((path.clone(), masked)),
                Some((other, was)) if *was != masked => {
                    let (a, b) = if masked { (path, other) } else { (other, path) };
                    return Err(MergeError::MixedMasking(a.clone(), b.clone()));
                }
                Some(_) => {}
            }
            header.masked = masked;
            let begins = reader.begins().map_err(|error| MergeError::Io(path.clone(), error))?;
            let (bound, time) = begins;
            let (mut cursors, mut timed) = (Vec::new(), true);
            for source in &reader.header().sources {
                let index = header.sources.iter().position(|known| known.is_run(source));
                let index = index.unwrap_or_else(|| {
                    header.sources.push(source.clone());
                    runs.push(Run { cursors: Vec::new(), last: 0, next: None, time: i64::MIN });
                    runs.len() - 1
                });
                timed &= header.sources[index].unix(Time(0)) == source.unix(Time(0));
                cursors.push((index, runs[index].cursors.len()));
                runs[index].cursors.push(Cursor { file: inputs.len(), bound, held: VecDeque::new() });
            }
            inputs.push(Input {
                path: path.clone(),
                reader: None,
                over: false,
                timed,
                time,
                length: reader.length(),
                read: 0,
                cursors,
            });
        }
        Ok(MergedStream {
            header,
            inputs,
            runs,
            servers: Servers::new(),
            notices: BTreeSet::new(),
            window,
            duplicates: 0,
        })
    }

    /// What the stream's records refer to.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Puts the sources' clocks right by so much, in nanoseconds, before anything is read.
    pub fn apply_offsets(&mut self, offsets: &[i64]) {
        for (source, offset) in self.header.sources.iter_mut().zip(offsets) {
            source.moved = source.moved.saturating_add(*offset);
        }
        for input in &mut self.inputs {
            let moved = input.cursors.iter().filter_map(|(run, _)| offsets.get(*run)).min();
            input.time = input.time.saturating_add(*moved.unwrap_or(&0));
            input.timed = false;
        }
    }

    /// The servers named so far.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// What was found out about the files so far.
    pub fn notices(&self) -> Vec<Notice> {
        let notice = |(path, what): &(PathBuf, String)| Notice { path: path.clone(), message: what.clone() };
        self.notices.iter().map(notice).collect()
    }

    /// Steps that were in more than one file, and were given once.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// How far reading has come, of how much, in bytes.
    pub fn progress(&self) -> (u64, u64) {
        let sum = |of: fn(&Input) -> u64| self.inputs.iter().map(of).sum();
        (sum(|input| input.read), sum(|input| input.length))
    }

    /// The next step; none at the end.
    ///
    /// # Errors
    ///
    /// When a file fails.
    pub fn next_record(&mut self) -> Result<Option<Record>, MergeError> {
        loop {
            let mut first: Option<(i64, usize)> = None;
            let mut wanted: Option<(i64, usize)> = None;
            for index in 0..self.runs.len() {
                let from = if self.runs[index].next.is_none() { self.fill(index)? } else { None };
                wanted = wanted.into_iter().chain(from).min();
                let time = self.runs[index].next.as_ref().map(|(time, _)| (*time, index));
                first = first.into_iter().chain(time).min();
            }
            match (first, wanted) {
                // A run of which nothing is held may still have an earlier step in a file that is behind.
                (Some((time, _)), Some((from, file))) if from < time.saturating_add(SLACK) => {
                    self.read(file)?
                }
                (None, Some((_, file))) => self.read(file)?,
                (None, None) => return Ok(None),
                (Some((_, index)), _) => {
                    return Ok(self.runs[index].next.take().map(|(_, record)| record));
                }
            }
        }
    }

    /// Finds a run's next step. Where nothing of it is held, gives the file that may have it, and from when on.
    fn fill(&mut self, index: usize) -> Result<Option<(i64, usize)>, MergeError> {
        loop {
            let MergedStream { header, inputs, runs, .. } = self;
            let (run, source) = (&mut runs[index], &header.sources[index]);
            let held = run.cursors.iter().enumerate().filter(|(_, cursor)| !cursor.held.is_empty());
            let ready = held.min_by_key(|(_, cursor)| cursor.bound).map(|(at, cursor)| (at, cursor.bound));
            let behind = run.cursors.iter().filter(|c| c.held.is_empty() && !inputs[c.file].over);
            let Some((at, sequence)) = ready else {
                return Ok(behind.map(|cursor| (inputs[cursor.file].time, cursor.file)).min());
            };
            // Another file may hold an earlier step of the run, if it is not as far as this one is.
            let time = run.cursors[at].held.front().map_or(0, |record| source.unix(record.time));
            let earlier =
                behind.filter(|c| c.bound <= sequence && inputs[c.file].time < time.saturating_add(SLACK));
            if let Some(file) = earlier.map(|cursor| cursor.file).next() {
                self.read(file)?;
                continue;
            }
            let cursor = &mut run.cursors[at];
            let Some(mut record) = cursor.held.pop_front() else { continue };
            cursor.bound = cursor.held.front().map_or(record.sequence + 1, |next| next.sequence);
            if record.sequence <= run.last {
                self.duplicates += 1;
                continue;
            }
            run.last = record.sequence;
            record.source = index as u32;
            run.time = run.time.max(time);
            if self.window.contains(&run.time) {
                run.next = Some((run.time, record));
                return Ok(None);
            }
        }
    }

    /// Reads a file's next block, for all of its sources, or comes to its end. A file of several sources is in
    /// the order of time, so what the others hold of it is soon given.
    fn read(&mut self, file: usize) -> Result<(), MergeError> {
        let input = &mut self.inputs[file];
        if input.reader.is_none() {
            let mut reader = open(&input.path)?;
            if input.timed {
                reader.only(self.window.clone());
            }
            input.reader = Some(reader);
        }
        let Some(reader) = &mut input.reader else { return Ok(()) };
        let records = reader.next_block().map_err(|error| MergeError::Io(input.path.clone(), error))?;
        input.read = reader.offset();
        let Some(records) = records else {
            self.notices.extend(reader.faults().into_iter().map(|what| (input.path.clone(), what)));
            (input.over, input.reader) = (true, None);
            return Ok(());
        };
        for (id, name) in reader.servers() {
            self.servers.entry(*id).or_insert_with(|| name.clone());
        }
        for record in records {
            let (run, cursor) = input.cursors[record.source as usize];
            input.time = input.time.max(self.header.sources[run].unix(record.time));
            let cursor = &mut self.runs[run].cursors[cursor];
            if cursor.held.is_empty() {
                cursor.bound = cursor.bound.max(record.sequence);
            }
            cursor.held.push_back(record);
        }
        Ok(())
    }
}

/// Whose records these are, in few words.
pub fn run_name(source: &Source) -> String {
    format!("{} run {:016x}", source.broker, source.run)
}
