//! Merges trace files into one stream that yields every step of every run exactly once, in order of time,
//! even where files overlap. The order of steps within a run is preserved. About one block of each file
//! being read is held in memory.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, BufReader};
use std::ops::Range;
use std::path::{Path, PathBuf};

use badgergauge_core::Time;

use crate::header::Header;
use crate::read::{OpenError, Reader};
use crate::record::{Record, ServerNames, Source};

/// Error of reading or merging trace files.
#[derive(Debug)]
pub enum MergeError {
    /// A file cannot be opened.
    Open(PathBuf, OpenError),
    /// Reading a file or folder failed.
    Io(PathBuf, io::Error),
    /// Some files are masked and some are not: the path of one that is, then of one that is not.
    MixedMasking(PathBuf, PathBuf),
    /// A folder contains no trace files.
    NoTraceFiles(PathBuf),
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MergeError::Open(path, error) => write!(f, "{}: {error}", path.display()),
            MergeError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            MergeError::MixedMasking(masked, plain) => {
                write!(
                    f,
                    "{} is masked and {} is not; mask the latter first",
                    masked.display(),
                    plain.display()
                )
            }
            MergeError::NoTraceFiles(path) => write!(f, "{}: contains no .bgt trace files", path.display()),
        }
    }
}

impl std::error::Error for MergeError {}

/// How far the steps of one file may be out of time order, in nanoseconds: an earlier merge that corrected
/// clocks can have reordered them. It limits how far beyond the current step a file is read ahead.
const REORDER_WINDOW_NS: i64 = 10_000_000_000;

type FileReader = Reader<BufReader<File>>;

/// Opens a trace file.
///
/// # Errors
///
/// When the file cannot be read or is not a valid trace file.
pub fn open(path: &Path) -> Result<FileReader, MergeError> {
    let file = File::open(path).map_err(|error| MergeError::Open(path.to_owned(), error.into()))?;
    Reader::open(BufReader::new(file)).map_err(|error| MergeError::Open(path.to_owned(), error))
}

/// Expands paths to trace files: a folder is replaced by the `.bgt` files in it, sorted by name.
///
/// # Errors
///
/// When a folder cannot be read or contains no trace files.
pub fn trace_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, MergeError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let io_error = |error: io::Error| MergeError::Io(path.clone(), error);
        let mut in_folder = Vec::new();
        for entry in std::fs::read_dir(path).map_err(io_error)? {
            let entry = entry.map_err(io_error)?.path();
            if entry.extension().is_some_and(|extension| extension == "bgt") {
                in_folder.push(entry);
            }
        }
        if in_folder.is_empty() {
            return Err(MergeError::NoTraceFiles(path.clone()));
        }
        in_folder.sort();
        files.extend(in_folder);
    }
    Ok(files)
}

/// One input file. It is opened when a block of it is first needed and closed at its end.
struct Input {
    path: PathBuf,
    reader: Option<FileReader>,
    finished: bool,
    /// Whether the times in its block headers are those of the stream, that is, no offset applies to them.
    /// Only then can blocks outside the window be skipped unread.
    times_match: bool,
    /// The Unix time up to which it has been read, in nanoseconds; initially the start of its first block.
    time: i64,
    /// Total size in bytes.
    length: u64,
    /// Bytes read so far.
    read: u64,
    /// For each of its sources, the position of this file's cursor.
    cursors: Vec<CursorPosition>,
}

/// Where the cursor for one source of one file is found.
#[derive(Clone, Copy)]
struct CursorPosition {
    /// Index in [`MergedStream::runs`].
    run: usize,
    /// Index in [`Run::cursors`].
    cursor: usize,
}

/// One source of one file, with the records that were read but not yet yielded.
struct Cursor {
    file: usize,
    /// Lower bound of the sequence number of this cursor's next record.
    bound: u64,
    buffer: VecDeque<Record>,
}

/// One run of one broker, merged from all files that contain records of it.
struct Run {
    cursors: Vec<Cursor>,
    /// Sequence number of the last step taken from the cursors.
    last: u64,
    /// The next step to yield, and its Unix time in nanoseconds on the common clock.
    next: Option<(i64, Record)>,
    /// The common time of the last step; it never decreases within a run.
    time: i64,
}

/// A problem found in a file while it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The file.
    pub path: PathBuf,
    /// Describes the problem.
    pub message: String,
}

/// Several trace files merged into one stream of records.
pub struct MergedStream {
    header: Header,
    inputs: Vec<Input>,
    runs: Vec<Run>,
    servers: ServerNames,
    notices: BTreeSet<(PathBuf, String)>,
    window: Range<i64>,
    duplicates: u64,
}

impl MergedStream {
    /// Opens files; only steps whose Unix time in nanoseconds is in `window` are yielded.
    ///
    /// # Errors
    ///
    /// When a file cannot be opened, or when masked and unmasked files are combined.
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
                Some((other, other_masked)) if *other_masked != masked => {
                    let (masked, plain) = if masked { (path, other) } else { (other, path) };
                    return Err(MergeError::MixedMasking(masked.clone(), plain.clone()));
                }
                Some(_) => {}
            }
            header.masked = masked;
            let begins = reader.first_block_start().map_err(|error| MergeError::Io(path.clone(), error))?;
            let (bound, time) = begins;
            let (mut cursors, mut times_match) = (Vec::new(), true);
            for source in &reader.header().sources {
                let index = header.sources.iter().position(|known| known.is_same_run(source));
                let index = index.unwrap_or_else(|| {
                    header.sources.push(source.clone());
                    runs.push(Run { cursors: Vec::new(), last: 0, next: None, time: i64::MIN });
                    runs.len() - 1
                });
                times_match &= header.sources[index].unix_nanos(Time(0)) == source.unix_nanos(Time(0));
                cursors.push(CursorPosition { run: index, cursor: runs[index].cursors.len() });
                runs[index].cursors.push(Cursor { file: inputs.len(), bound, buffer: VecDeque::new() });
            }
            inputs.push(Input {
                path: path.clone(),
                reader: None,
                finished: false,
                times_match,
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
            servers: ServerNames::new(),
            notices: BTreeSet::new(),
            window,
            duplicates: 0,
        })
    }

    /// The header of the stream, with the sources that its records refer to.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Adds an offset in nanoseconds to the times of each source. Must be called before the first record is
    /// read.
    pub fn apply_offsets(&mut self, offsets: &[i64]) {
        for (source, offset) in self.header.sources.iter_mut().zip(offsets) {
            source.moved = source.moved.saturating_add(*offset);
        }
        for input in &mut self.inputs {
            let least = input.cursors.iter().filter_map(|position| offsets.get(position.run)).min();
            input.time = input.time.saturating_add(*least.unwrap_or(&0));
            input.times_match = false;
        }
    }

    /// The names of the servers in the blocks read so far.
    pub fn servers(&self) -> &ServerNames {
        &self.servers
    }

    /// The problems found in the files so far.
    pub fn notices(&self) -> Vec<Notice> {
        let notice =
            |(path, message): &(PathBuf, String)| Notice { path: path.clone(), message: message.clone() };
        self.notices.iter().map(notice).collect()
    }

    /// The number of steps dropped because another file had them too.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Bytes read so far, and bytes in total.
    pub fn progress(&self) -> (u64, u64) {
        let sum = |of: fn(&Input) -> u64| self.inputs.iter().map(of).sum();
        (sum(|input| input.read), sum(|input| input.length))
    }

    /// Returns the next step in order of time, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// When a file cannot be read.
    pub fn next_record(&mut self) -> Result<Option<Record>, MergeError> {
        loop {
            let mut first: Option<(i64, usize)> = None;
            let mut wanted: Option<(i64, usize)> = None;
            for index in 0..self.runs.len() {
                let from = if self.runs[index].next.is_none() { self.advance(index)? } else { None };
                wanted = wanted.into_iter().chain(from).min();
                let time = self.runs[index].next.as_ref().map(|(time, _)| (*time, index));
                first = first.into_iter().chain(time).min();
            }
            match (first, wanted) {
                // A run without buffered records may have an earlier step in a file that was read less far.
                (Some((time, _)), Some((from, file))) if from < time.saturating_add(REORDER_WINDOW_NS) => {
                    self.read_block(file)?
                }
                (None, Some((_, file))) => self.read_block(file)?,
                (None, None) => return Ok(None),
                (Some((_, index)), _) => {
                    return Ok(self.runs[index].next.take().map(|(_, record)| record));
                }
            }
        }
    }

    /// Finds a run's next step. Where none is buffered, returns the file to read next for it and the Unix
    /// time in nanoseconds up to which that file has been read.
    fn advance(&mut self, index: usize) -> Result<Option<(i64, usize)>, MergeError> {
        loop {
            let MergedStream { header, inputs, runs, .. } = self;
            let (run, source) = (&mut runs[index], &header.sources[index]);
            let buffered = run.cursors.iter().enumerate().filter(|(_, cursor)| !cursor.buffer.is_empty());
            let ready =
                buffered.min_by_key(|(_, cursor)| cursor.bound).map(|(at, cursor)| (at, cursor.bound));
            let behind = run.cursors.iter().filter(|c| c.buffer.is_empty() && !inputs[c.file].finished);
            let Some((at, sequence)) = ready else {
                return Ok(behind.map(|cursor| (inputs[cursor.file].time, cursor.file)).min());
            };
            // Another file that was read less far may contain an earlier step of the run.
            let time = run.cursors[at].buffer.front().map_or(0, |record| source.unix_nanos(record.time));
            let earlier = behind.filter(|c| {
                c.bound <= sequence && inputs[c.file].time < time.saturating_add(REORDER_WINDOW_NS)
            });
            if let Some(file) = earlier.map(|cursor| cursor.file).next() {
                self.read_block(file)?;
                continue;
            }
            let cursor = &mut run.cursors[at];
            let Some(mut record) = cursor.buffer.pop_front() else { continue };
            cursor.bound = cursor.buffer.front().map_or(record.sequence + 1, |next| next.sequence);
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

    /// Reads a file's next block into the buffers of all its sources, or marks the file as finished. A file
    /// with several sources is in order of time, so records buffered for the other sources are soon yielded.
    fn read_block(&mut self, file: usize) -> Result<(), MergeError> {
        let input = &mut self.inputs[file];
        if input.reader.is_none() {
            let mut reader = open(&input.path)?;
            if input.times_match {
                reader.restrict_to(self.window.clone());
            }
            input.reader = Some(reader);
        }
        let Some(reader) = &mut input.reader else { return Ok(()) };
        let records = reader.next_block().map_err(|error| MergeError::Io(input.path.clone(), error))?;
        input.read = reader.offset();
        let Some(records) = records else {
            self.notices.extend(reader.problems().into_iter().map(|message| (input.path.clone(), message)));
            (input.finished, input.reader) = (true, None);
            return Ok(());
        };
        for (id, name) in reader.servers() {
            self.servers.entry(*id).or_insert_with(|| name.clone());
        }
        for record in records {
            let CursorPosition { run, cursor } = input.cursors[record.source as usize];
            input.time = input.time.max(self.header.sources[run].unix_nanos(record.time));
            let cursor = &mut self.runs[run].cursors[cursor];
            if cursor.buffer.is_empty() {
                cursor.bound = cursor.bound.max(record.sequence);
            }
            cursor.buffer.push_back(record);
        }
        Ok(())
    }
}

/// A display name for a run: the broker's name and the run id in hexadecimal.
pub fn run_name(source: &Source) -> String {
    format!("{} run {:016x}", source.broker, source.run)
}
