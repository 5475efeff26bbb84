//! The loops of the tools: each reads a stream once or twice and holds a bounded part of it.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};

use badgergauge_core::QueryId;

use crate::align::{ClockObservations, Offset, causality_violations};
use crate::describe::{Describer, Line};
use crate::header::Header;
use crate::mask::Mask;
use crate::merge::{MergeError, MergedStream, Notice, open};
use crate::read::{End, Reader};
use crate::record::{Record, Servers, Source};
use crate::replay::{Difference, Replay, Unverifiable};
use crate::track::{query_of_action, query_of_event};
use crate::write::Writer;

/// Why a tool has not done what it was asked.
#[derive(Debug)]
pub enum ToolError {
    /// What was given can't be read.
    Read(MergeError),
    /// The result can't be written.
    Write(PathBuf, io::Error),
    /// What was given can't be used for this.
    InvalidInput(String),
}

impl std::fmt::Display for ToolError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ToolError::Read(error) => error.fmt(f),
            ToolError::Write(path, error) => write!(f, "{}: {error}", path.display()),
            ToolError::InvalidInput(fault) => f.write_str(fault),
        }
    }
}

impl std::error::Error for ToolError {}

impl From<MergeError> for ToolError {
    fn from(error: MergeError) -> Self {
        ToolError::Read(error)
    }
}

/// Called now and then with how far reading has come.
pub type Progress<'a> = &'a mut dyn FnMut(u64, u64);

/// Gives each record of a stream to `take`, and the stream with it.
///
/// # Errors
///
/// When the stream can't be read, or `take` says so.
pub fn for_each_record(
    merged: &mut MergedStream,
    progress: Progress,
    mut take: impl FnMut(&MergedStream, Record) -> Result<(), ToolError>,
) -> Result<(), ToolError> {
    let mut steps = 0_u64;
    while let Some(record) = merged.next_record()? {
        take(merged, record)?;
        steps += 1;
        if steps.is_multiple_of(4096) {
            let (done, all) = merged.progress();
            progress(done, all);
        }
    }
    Ok(())
}

/// What was written.
#[derive(Clone, Debug, Default)]
pub struct WriteStats {
    /// Steps and decisions.
    pub steps: u64,
    /// See `steps`.
    pub decisions: u64,
    /// Steps that were in more than one file, and were written once.
    pub duplicates: u64,
    /// What was found out about the files: with any, the result may lack something.
    pub notices: Vec<Notice>,
}

/// A file that appears under its name only when it is whole.
struct Output {
    part: PathBuf,
    path: PathBuf,
}

impl Output {
    fn create(path: &Path) -> Result<(Self, BufWriter<File>), ToolError> {
        let lost = |error| ToolError::Write(path.to_owned(), error);
        if path.exists() {
            return Err(lost(io::Error::from(io::ErrorKind::AlreadyExists)));
        }
        let mut part = path.as_os_str().to_owned();
        part.push(".part");
        let part = PathBuf::from(part);
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(&part).map_err(lost)?;
        Ok((Output { part, path: path.to_owned() }, BufWriter::with_capacity(64 * 1024, file)))
    }

    fn done(self, file: BufWriter<File>) -> Result<(), ToolError> {
        let lost = |error| ToolError::Write(self.path.clone(), error);
        file.into_inner().map_err(|error| lost(error.into_error()))?.sync_all().map_err(lost)?;
        fs::rename(&self.part, &self.path).map_err(lost)
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        // After `done` there is nothing left under this name.
        let _ = fs::remove_file(&self.part);
    }
}

/// Writes a stream into one file.
///
/// # Errors
///
/// When it can't be read or written; then there is no file.
pub fn write_all(mut merged: MergedStream, path: &Path, progress: Progress) -> Result<WriteStats, ToolError> {
    let (output, file) = Output::create(path)?;
    let lost = |error| ToolError::Write(path.to_owned(), error);
    let mut writer = Writer::new(file, merged.header().clone()).map_err(lost)?;
    let mut written = WriteStats::default();
    for_each_record(&mut merged, progress, |merged, record| {
        written.steps += 1;
        written.decisions += record.actions.len() as u64;
        writer.add(&record, merged.servers()).map_err(lost)
    })?;
    written.duplicates = merged.duplicates();
    written.notices = merged.notices();
    output.done(writer.finish().map_err(lost)?)?;
    Ok(written)
}

/// How far sources' clocks disagree.
#[derive(Clone, Debug, Default)]
pub struct Alignment {
    /// What is to be added, by source.
    pub offsets: Vec<Offset>,
    /// Repeats of one broker's client at another, and those that would still come before their cause.
    pub retries: usize,
    /// See `repeats`.
    pub causality_violations: usize,
}

/// Estimates how far the clocks of a stream's sources disagree, by reading it once.
///
/// # Errors
///
/// When it can't be read.
pub fn align(mut merged: MergedStream, progress: Progress) -> Result<Alignment, ToolError> {
    let mut observations = ClockObservations::new(merged.header().sources.len());
    for_each_record(&mut merged, progress, |merged, record| {
        let source = record.source as usize;
        observations.observe(source, merged.header().sources[source].unix(record.time), &record);
        Ok(())
    })?;
    let offsets = observations.estimate_offsets();
    let nanos: Vec<i64> = offsets.iter().map(|offset| offset.nanos).collect();
    let causality_violations = causality_violations(&nanos, observations.retries());
    Ok(Alignment { offsets, retries: observations.retries().len(), causality_violations })
}

/// Copies a file record by record, with keys replaced where a mask is given. Gives how the original ends.
///
/// # Errors
///
/// When it can't be read or written; then there is no file.
pub fn copy(from: &Path, to: &Path, mask: Option<&Mask>) -> Result<(WriteStats, End), ToolError> {
    let mut reader = open(from)?;
    if mask.is_some() && reader.header().masked {
        return Err(ToolError::InvalidInput(format!("{}: is masked already", from.display())));
    }
    let header = Header { masked: reader.header().masked || mask.is_some(), ..reader.header().clone() };
    let (output, file) = Output::create(to)?;
    let lost = |error| ToolError::Write(to.to_owned(), error);
    let mut writer = Writer::new(file, header).map_err(lost)?;
    let mut written = WriteStats::default();
    let read = |error| ToolError::Read(MergeError::Io(from.to_owned(), error));
    while let Some(records) = reader.next_block().map_err(read)? {
        for mut record in records {
            if let Some(mask) = mask {
                mask.record(&mut record);
            }
            written.steps += 1;
            written.decisions += record.actions.len() as u64;
            writer.add(&record, reader.servers()).map_err(lost)?;
        }
    }
    let notice = |message: String| Notice { path: from.to_owned(), message };
    written.notices = reader.faults().into_iter().map(notice).collect();
    let end = reader.end().unwrap_or(End::Open);
    output.done(writer.finish().map_err(lost)?)?;
    Ok((written, end))
}

/// What a run's replay came to.
#[derive(Clone, Debug)]
pub struct RunVerification {
    /// The run.
    pub source: Source,
    /// Decisions that were the same, up to the end or to where it stopped.
    pub decisions: u64,
    /// The first that differs.
    pub difference: Option<Difference>,
    /// Why the replay could not begin or go on.
    pub stopped: Option<Unverifiable>,
}

/// Makes every run's decisions once more.
///
/// # Errors
///
/// When the stream can't be read.
pub fn verify(
    mut merged: MergedStream,
    reasons: bool,
    progress: Progress,
) -> Result<(Vec<RunVerification>, Vec<Notice>, Servers), ToolError> {
    let header = merged.header().clone();
    let mut runs: Vec<(RunVerification, Option<Replay>)> = Vec::new();
    for source in &header.sources {
        let (replay, stopped) = match Replay::new(source, header.masked) {
            Ok(replay) => (Some(replay), None),
            Err(why) => (None, Some(why)),
        };
        let verified = RunVerification { source: source.clone(), decisions: 0, difference: None, stopped };
        runs.push((verified, replay));
    }
    for_each_record(&mut merged, progress, |_, record| {
        let (verified, replay) = &mut runs[record.source as usize];
        let Some(going) = replay else { return Ok(()) };
        match going.step(&record, reasons) {
            Ok(None) => {}
            Ok(difference) => verified.difference = difference,
            Err(why) => verified.stopped = Some(why),
        }
        verified.decisions = going.decisions();
        if verified.difference.is_some() || verified.stopped.is_some() {
            *replay = None;
        }
        Ok(())
    })?;
    let runs = runs.into_iter().map(|(verified, _)| verified).collect();
    Ok((runs, merged.notices(), merged.servers().clone()))
}

/// A line of a query's story: when, by whose clock, and at which step.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedLine {
    /// Unix time, in nanoseconds.
    pub unix: i64,
    /// The broker's name, and its run.
    pub broker: String,
    /// See `broker`.
    pub run: u64,
    /// The step.
    pub sequence: u64,
    /// Which of the step's lines.
    pub index: usize,
    /// What it says.
    pub line: Line,
}

/// What a story took to find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadStats {
    /// Blocks read.
    pub blocks: usize,
    /// Files without an index, which were read whole.
    pub scanned_files: usize,
}

/// The whole story of a query, by its name or its idempotency key: every try of it at every broker, in the
/// order of time. With `scan`, indexes are not used.
///
/// # Errors
///
/// When a file can't be read.
pub fn explain(
    files: &[PathBuf],
    query: &str,
    scan: bool,
) -> Result<(Vec<ExplainedLine>, ReadStats, Vec<Notice>), ToolError> {
    let mut stats = ReadStats::default();
    let mut notices = Vec::new();
    let mut wanted = vec![query.to_owned()];
    // Tries found: run, and the query's id there.
    let mut tries: BTreeMap<(String, u64), Vec<QueryId>> = BTreeMap::new();
    // A name leads to its idempotency key, and that to the other tries.
    loop {
        let mut keys: Vec<String> = Vec::new();
        for path in files {
            for_each_block(
                path,
                Pick::Named(&wanted),
                scan,
                &mut stats,
                &mut notices,
                &mut |reader, record| {
                    let source = &reader.sources[record.source as usize];
                    for named in &record.named {
                        let key = named.idempotency.as_ref();
                        if wanted.contains(&named.name) || key.is_some_and(|key| wanted.contains(key)) {
                            let of = tries.entry((source.broker.clone(), source.run)).or_default();
                            if !of.contains(&named.query) {
                                of.push(named.query);
                            }
                            keys.extend(key.filter(|key| !wanted.contains(key)).cloned());
                        }
                    }
                },
            )?;
        }
        if keys.is_empty() {
            break;
        }
        keys.sort();
        keys.dedup();
        wanted.extend(keys);
    }
    let ids: Vec<u64> = tries.values().flatten().map(|id| id.0).collect();
    let mut told: BTreeMap<(i64, String, u64, u64, usize), Line> = BTreeMap::new();
    if !ids.is_empty() {
        for path in files {
            let mut describers: BTreeMap<u32, Describer> = BTreeMap::new();
            let pick = Pick::About(&ids);
            for_each_block(path, pick, scan, &mut stats, &mut Vec::new(), &mut |reader, record| {
                let source = &reader.sources[record.source as usize];
                let Some(own) = tries.get(&(source.broker.clone(), source.run)) else { return };
                let describer = describers.entry(record.source).or_default();
                describer.observe(record);
                let about = |id: &QueryId| own.contains(id);
                let tracker = describer.tracker();
                let touched = record.events.iter().filter_map(|event| query_of_event(tracker, event));
                let decided = record.actions.iter().filter_map(|action| query_of_action(tracker, action));
                let touched = touched.chain(decided).any(|id| about(&id));
                if !touched {
                    return;
                }
                let unix = source.unix(record.time);
                for (index, line) in describer.lines(record, source, reader.servers).into_iter().enumerate() {
                    if line.query.as_ref().is_some_and(about) {
                        let at = (unix, source.broker.clone(), source.run, record.sequence, index);
                        told.insert(at, line);
                    }
                }
            })?;
        }
    }
    let told = told.into_iter().map(|((unix, broker, run, sequence, index), line)| ExplainedLine {
        unix,
        broker,
        run,
        sequence,
        index,
        line,
    });
    Ok((told.collect(), stats, notices))
}

/// Which blocks are wanted.
enum Pick<'a> {
    Named(&'a [String]),
    About(&'a [u64]),
}

/// What a record's numbers refer to.
struct Context<'a> {
    sources: &'a [Source],
    servers: &'a Servers,
}

fn for_each_block(
    path: &Path,
    pick: Pick,
    scan: bool,
    stats: &mut ReadStats,
    notices: &mut Vec<Notice>,
    take: &mut dyn FnMut(&Context, &Record),
) -> Result<(), ToolError> {
    let lost = |error| ToolError::Read(MergeError::Io(path.to_owned(), error));
    let mut reader = open(path)?;
    let sources = reader.header().sources.clone();
    let index = if scan { None } else { reader.index().map_err(lost)? };
    let mut each = |reader: &Reader<_>, records: Vec<Record>| {
        stats.blocks += 1;
        let context = Context { sources: &sources, servers: reader.servers() };
        records.iter().for_each(|record| take(&context, record));
    };
    if let Some(index) = index {
        let mut offsets: Vec<u64> = match pick {
            Pick::Named(names) => names.iter().flat_map(|name| index.named(name)).collect(),
            Pick::About(ids) => ids.iter().flat_map(|id| index.about(*id)).collect(),
        };
        offsets.sort_unstable();
        offsets.dedup();
        for offset in offsets {
            let records = reader.block_at(offset).map_err(lost)?;
            each(&reader, records);
        }
    } else {
        while let Some(records) = reader.next_block().map_err(lost)? {
            each(&reader, records);
        }
        stats.scanned_files += 1;
    }
    for message in reader.faults() {
        let notice = Notice { path: path.to_owned(), message };
        if !notices.contains(&notice) {
            notices.push(notice);
        }
    }
    Ok(())
}
