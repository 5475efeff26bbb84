//! Many files as one stream: every step of every run exactly once, in the order of time, however the files
//! overlap. A run's own order is never changed. One block of each file that is being read is held.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, BufReader};
use std::ops::Range;
use std::path::{Path, PathBuf};

use crate::header::Header;
use crate::read::{End, OpenError, Reader};
use crate::record::{Record, Servers, Source};

/// Why files can't be read together.
#[derive(Debug)]
pub enum MergeError {
    /// A file can't be opened.
    Open(PathBuf, OpenError),
    /// A file fails while it is read.
    Io(PathBuf, io::Error),
    /// Some files are masked and some are not.
    Masked(PathBuf, PathBuf),
    /// There are no files.
    Nothing(PathBuf),
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MergeError::Open(path, error) => write!(f, "{}: {error}", path.display()),
            MergeError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            MergeError::Masked(masked, plain) => {
                write!(f, "{} is masked and {} is not: mask that first", masked.display(), plain.display())
            }
            MergeError::Nothing(path) => write!(f, "{}: holds no trace file", path.display()),
        }
    }
}

impl std::error::Error for MergeError {}

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
pub fn files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, MergeError> {
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
            return Err(MergeError::Nothing(path.clone()));
        }
        own.sort();
        files.extend(own);
    }
    Ok(files)
}

/// One source of one file, on its way through it.
struct Cursor {
    path: PathBuf,
    /// The source's index in the file.
    own: u32,
    /// The run's next step is no earlier than this.
    bound: u64,
    reader: Option<FileReader>,
    /// Records read and not given yet.
    held: VecDeque<Record>,
    over: bool,
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
    pub what: String,
}

/// Many files as one stream.
pub struct Merged {
    header: Header,
    runs: Vec<Run>,
    servers: Servers,
    notices: BTreeSet<(PathBuf, String)>,
    window: Range<i64>,
    /// Steps that were in more than one file.
    repeated: u64,
    /// Bytes read, and in all.
    read: BTreeMap<(PathBuf, u32), u64>,
    total: u64,
}

impl Merged {
    /// Opens files; `window` bounds the Unix times of what is read, in nanoseconds.
    ///
    /// # Errors
    ///
    /// When one can't be read at all, or they can't be read together.
    pub fn open(files: &[PathBuf], window: Range<i64>) -> Result<Self, MergeError> {
        let mut header = Header::new(Vec::new(), false);
        let mut runs: Vec<Run> = Vec::new();
        let mut first: Option<(PathBuf, bool)> = None;
        let mut total = 0;
        for path in files {
            let mut reader = open(path)?;
            let masked = reader.header().masked;
            match &first {
                None => first = Some((path.clone(), masked)),
                Some((other, was)) if *was != masked => {
                    let (a, b) = if masked { (path, other) } else { (other, path) };
                    return Err(MergeError::Masked(a.clone(), b.clone()));
                }
                Some(_) => {}
            }
            header.masked = masked;
            total += reader.length() * reader.header().sources.len() as u64;
            let bound = reader.first_sequence().map_err(|error| MergeError::Io(path.clone(), error))?;
            for (own, source) in reader.header().sources.iter().enumerate() {
                let index = header.sources.iter().position(|known| known.is_run(source));
                let index = index.unwrap_or_else(|| {
                    header.sources.push(source.clone());
                    runs.push(Run { cursors: Vec::new(), last: 0, next: None, time: i64::MIN });
                    runs.len() - 1
                });
                runs[index].cursors.push(Cursor {
                    path: path.clone(),
                    own: own as u32,
                    bound,
                    reader: None,
                    held: VecDeque::new(),
                    over: false,
                });
            }
        }
        Ok(Merged {
            header,
            runs,
            servers: Servers::new(),
            notices: BTreeSet::new(),
            window,
            repeated: 0,
            read: BTreeMap::new(),
            total,
        })
    }

    /// What the stream's records refer to.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Puts the sources' clocks right by so much, in nanoseconds, before anything is read.
    pub fn shift(&mut self, offsets: &[i64]) {
        for (source, offset) in self.header.sources.iter_mut().zip(offsets) {
            source.moved = source.moved.saturating_add(*offset);
        }
    }

    /// The servers named so far.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// What was found out about the files so far.
    pub fn notices(&self) -> Vec<Notice> {
        let notice = |(path, what): &(PathBuf, String)| Notice { path: path.clone(), what: what.clone() };
        self.notices.iter().map(notice).collect()
    }

    /// Steps that were in more than one file, and were given once.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// How far reading has come, of how much, in bytes.
    pub fn progress(&self) -> (u64, u64) {
        (self.read.values().sum(), self.total)
    }

    /// The next step; none at the end.
    ///
    /// # Errors
    ///
    /// When a file fails.
    pub fn next_record(&mut self) -> Result<Option<Record>, MergeError> {
        let mut first: Option<(i64, usize)> = None;
        for index in 0..self.runs.len() {
            if self.runs[index].next.is_none() {
                self.fill(index)?;
            }
            if let Some((time, _)) = &self.runs[index].next
                && first.is_none_or(|(least, _)| *time < least)
            {
                first = Some((*time, index));
            }
        }
        let Some((_, index)) = first else { return Ok(None) };
        Ok(self.runs[index].next.take().map(|(_, record)| record))
    }

    /// Reads a run's next step.
    fn fill(&mut self, index: usize) -> Result<(), MergeError> {
        let Merged { header, runs, servers, notices, window, repeated, read, .. } = self;
        let run = &mut runs[index];
        loop {
            // The file whose next step is the earliest; those not begun yet wait at what their head says.
            let next =
                run.cursors.iter_mut().filter(|c| !c.over).min_by_key(|c| (c.bound, c.held.is_empty()));
            let Some(cursor) = next else { return Ok(()) };
            let Some(mut record) = cursor.held.pop_front() else {
                cursor.read(servers, notices, window)?;
                let done = cursor.reader.as_ref().map(Reader::offset);
                if let Some(done) = done {
                    read.insert((cursor.path.clone(), cursor.own), done);
                }
                continue;
            };
            cursor.bound = record.sequence + 1;
            if record.sequence <= run.last {
                *repeated += 1;
                continue;
            }
            run.last = record.sequence;
            record.source = index as u32;
            let unix = header.sources[index].unix(record.time);
            run.time = run.time.max(unix);
            if run.time < window.start || run.time >= window.end {
                continue;
            }
            run.next = Some((run.time, record));
            return Ok(());
        }
    }
}

impl Cursor {
    /// Reads the next block, or comes to the end.
    fn read(
        &mut self,
        servers: &mut Servers,
        notices: &mut BTreeSet<(PathBuf, String)>,
        window: &Range<i64>,
    ) -> Result<(), MergeError> {
        if self.reader.is_none() {
            let mut reader = open(&self.path)?;
            // What merging has moved is in the sources' times, and not in those of the blocks' heads.
            if reader.header().sources.iter().all(|source| source.moved == 0) {
                reader.only(window.clone());
            }
            self.reader = Some(reader);
        }
        let Some(reader) = &mut self.reader else { return Ok(()) };
        let lost = |error| MergeError::Io(self.path.clone(), error);
        let Some(records) = reader.next_block().map_err(lost)? else {
            let mut note = |what: String| {
                notices.insert((self.path.clone(), what));
            };
            reader.damage().iter().for_each(|damage| note(damage.to_string()));
            if let Some(end) = reader.end().filter(|end| *end != End::Whole) {
                note(end.to_string());
            }
            self.over = true;
            self.reader = None;
            return Ok(());
        };
        for (id, name) in reader.servers() {
            servers.entry(*id).or_insert_with(|| name.clone());
        }
        self.held.extend(records.into_iter().filter(|record| record.source == self.own));
        if let Some(record) = self.held.front() {
            self.bound = self.bound.max(record.sequence);
        }
        Ok(())
    }
}

/// Whose records these are, in few words.
pub fn run_name(source: &Source) -> String {
    format!("{} run {:016x}", source.broker, source.run)
}
