//! The operations behind `badgergauge trace`. Each reads its input once or twice and holds a bounded part of
//! it in memory.

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
use crate::read::{FileEnd, Reader};
use crate::record::{Record, ServerNames, Source};
use crate::replay::{Difference, Replay, Unverifiable};
use crate::track::{query_of_action, query_of_event};
use crate::write::Writer;

/// Error of a trace tool.
#[derive(Debug)]
pub enum ToolError {
    /// The input cannot be read.
    Read(MergeError),
    /// A file or stream, named by its path, cannot be written.
    Write(PathBuf, io::Error),
    /// The input or an argument is not valid for the operation.
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

/// Progress callback, called periodically with the bytes read so far and the bytes in total.
pub type Progress<'a> = &'a mut dyn FnMut(u64, u64);

/// Calls `take` with each record of a stream, and with the stream itself.
///
/// # Errors
///
/// When the stream cannot be read, or when `take` fails.
pub fn for_each_record(
    merged: &mut MergedStream,
    progress: Progress,
    mut take: impl FnMut(&MergedStream, Record) -> Result<(), ToolError>,
) -> Result<(), ToolError> {
    // Steps between two calls of `progress`.
    const PROGRESS_INTERVAL: u64 = 4096;
    let mut steps = 0_u64;
    while let Some(record) = merged.next_record()? {
        take(merged, record)?;
        steps += 1;
        if steps.is_multiple_of(PROGRESS_INTERVAL) {
            let (done, total) = merged.progress();
            progress(done, total);
        }
    }
    Ok(())
}

/// Statistics of a written file.
#[derive(Clone, Debug, Default)]
pub struct WriteStats {
    /// Steps written.
    pub steps: u64,
    /// Actions in these steps.
    pub decisions: u64,
    /// Steps dropped because another input file had them too.
    pub duplicates: u64,
    /// Problems found in the input; with any, the output may be incomplete.
    pub notices: Vec<Notice>,
}

/// An output file that is written under a temporary name and renamed when it is complete. The temporary file
/// is removed on drop.
struct Output {
    temporary: PathBuf,
    path: PathBuf,
}

impl Output {
    fn create(path: &Path) -> Result<(Self, BufWriter<File>), ToolError> {
        let write_error = |error| ToolError::Write(path.to_owned(), error);
        if path.exists() {
            return Err(write_error(io::Error::from(io::ErrorKind::AlreadyExists)));
        }
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(".part");
        let temporary = PathBuf::from(temporary);
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(&temporary)
            .map_err(write_error)?;
        Ok((Output { temporary, path: path.to_owned() }, BufWriter::with_capacity(64 * 1024, file)))
    }

    fn commit(self, file: BufWriter<File>) -> Result<(), ToolError> {
        let write_error = |error| ToolError::Write(self.path.clone(), error);
        file.into_inner()
            .map_err(|error| write_error(error.into_error()))?
            .sync_all()
            .map_err(write_error)?;
        fs::rename(&self.temporary, &self.path).map_err(write_error)
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        // After `commit` the temporary file no longer exists.
        let _ = fs::remove_file(&self.temporary);
    }
}

/// Writes a stream into one file.
///
/// # Errors
///
/// When the input cannot be read or the output cannot be written; then no output file is left.
pub fn write_all(mut merged: MergedStream, path: &Path, progress: Progress) -> Result<WriteStats, ToolError> {
    let (output, file) = Output::create(path)?;
    let write_error = |error| ToolError::Write(path.to_owned(), error);
    let mut writer = Writer::new(file, merged.header().clone()).map_err(write_error)?;
    let mut written = WriteStats::default();
    for_each_record(&mut merged, progress, |merged, record| {
        written.steps += 1;
        written.decisions += record.actions.len() as u64;
        writer.add(&record, merged.servers()).map_err(write_error)
    })?;
    written.duplicates = merged.duplicates();
    written.notices = merged.notices();
    output.commit(writer.finish().map_err(write_error)?)?;
    Ok(written)
}

/// The clock offsets of the sources of a stream.
#[derive(Clone, Debug, Default)]
pub struct Alignment {
    /// The corrections, by source.
    pub offsets: Vec<Offset>,
    /// Queries that a client tried at one broker and retried at another.
    pub retries: usize,
    /// Retries that precede their first tries even with the corrections applied.
    pub causality_violations: usize,
}

/// Estimates the clock offsets of the sources of a stream by reading it once.
///
/// # Errors
///
/// When the stream cannot be read.
pub fn align(mut merged: MergedStream, progress: Progress) -> Result<Alignment, ToolError> {
    let mut observations = ClockObservations::new(merged.header().sources.len());
    for_each_record(&mut merged, progress, |merged, record| {
        let source = record.source as usize;
        observations.observe(source, merged.header().sources[source].unix_nanos(record.time), &record);
        Ok(())
    })?;
    let offsets = observations.estimate_offsets();
    let nanos: Vec<i64> = offsets.iter().map(|offset| offset.nanos).collect();
    let causality_violations = causality_violations(&nanos, observations.retries());
    Ok(Alignment { offsets, retries: observations.retries().len(), causality_violations })
}

/// Copies a file record by record, replacing route keys and idempotency keys if a mask is given. Also returns
/// how the input file ends.
///
/// # Errors
///
/// When the input cannot be read, is already masked although a mask is given, or the output cannot be
/// written; then no output file is left.
pub fn copy(from: &Path, to: &Path, mask: Option<&Mask>) -> Result<(WriteStats, FileEnd), ToolError> {
    let mut reader = open(from)?;
    if mask.is_some() && reader.header().masked {
        return Err(ToolError::InvalidInput(format!("{}: is already masked", from.display())));
    }
    let header = Header { masked: reader.header().masked || mask.is_some(), ..reader.header().clone() };
    let (output, file) = Output::create(to)?;
    let write_error = |error| ToolError::Write(to.to_owned(), error);
    let mut writer = Writer::new(file, header).map_err(write_error)?;
    let mut written = WriteStats::default();
    let read_error = |error| ToolError::Read(MergeError::Io(from.to_owned(), error));
    while let Some(records) = reader.next_block().map_err(read_error)? {
        for mut record in records {
            if let Some(mask) = mask {
                mask.record(&mut record);
            }
            written.steps += 1;
            written.decisions += record.actions.len() as u64;
            writer.add(&record, reader.servers()).map_err(write_error)?;
        }
    }
    let notice = |message: String| Notice { path: from.to_owned(), message };
    written.notices = reader.problems().into_iter().map(notice).collect();
    let end = reader.end().unwrap_or(FileEnd::Unclosed);
    output.commit(writer.finish().map_err(write_error)?)?;
    Ok((written, end))
}

/// The result of replaying one run.
#[derive(Clone, Debug)]
pub struct RunVerification {
    /// The run.
    pub source: Source,
    /// Actions that were the same, up to the end of the run or to where the replay stopped.
    pub decisions: u64,
    /// The first difference, if any.
    pub difference: Option<Difference>,
    /// Why the replay could not start or continue.
    pub stopped: Option<Unverifiable>,
}

/// Replays every run with this build. Returns the result of each run, the problems found in the files, and
/// the names of the servers. With `reasons`, the reasons of the actions are compared too.
///
/// # Errors
///
/// When the stream cannot be read.
pub fn verify(
    mut merged: MergedStream,
    reasons: bool,
    progress: Progress,
) -> Result<(Vec<RunVerification>, Vec<Notice>, ServerNames), ToolError> {
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
        let Some(running) = replay else { return Ok(()) };
        match running.step(&record, reasons) {
            Ok(None) => {}
            Ok(difference) => verified.difference = difference,
            Err(why) => verified.stopped = Some(why),
        }
        verified.decisions = running.decisions();
        if verified.difference.is_some() || verified.stopped.is_some() {
            *replay = None;
        }
        Ok(())
    })?;
    let runs = runs.into_iter().map(|(verified, _)| verified).collect();
    Ok((runs, merged.notices(), merged.servers().clone()))
}

/// A line of the explanation of a query, with the time and step that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedLine {
    /// Unix time on the broker's clock, in nanoseconds.
    pub unix: i64,
    /// The broker's name.
    pub broker: String,
    /// The id of the broker's run.
    pub run: u64,
    /// Sequence number of the step.
    pub sequence: u64,
    /// Index of the line in the step.
    pub index: usize,
    /// The description.
    pub line: Line,
}

/// Statistics of the reads that an explanation needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadStats {
    /// Blocks read.
    pub blocks: usize,
    /// Full reads of files, for lack of an index or because a scan was requested.
    pub scanned_files: usize,
}

/// Finds all lines that concern a query, given its name or its idempotency key: those of every try at every
/// broker, in order of time. With `scan`, all blocks are read instead of those that the indexes name.
///
/// # Errors
///
/// When a file cannot be read.
pub fn explain(
    files: &[PathBuf],
    query: &str,
    scan: bool,
) -> Result<(Vec<ExplainedLine>, ReadStats, Vec<Notice>), ToolError> {
    let mut stats = ReadStats::default();
    let mut notices = Vec::new();
    // Names and idempotency keys to look for.
    let mut wanted = vec![query.to_owned()];
    // The tries found: query ids by broker and run.
    let mut tries: BTreeMap<(String, u64), Vec<QueryId>> = BTreeMap::new();
    // A query's name gives its idempotency key, and that the names of the other tries.
    loop {
        let mut keys: Vec<String> = Vec::new();
        for path in files {
            for_each_block(
                path,
                BlockFilter::Names(&wanted),
                scan,
                &mut stats,
                &mut notices,
                &mut |reader, record| {
                    let source = &reader.sources[record.source as usize];
                    for named in &record.query_names {
                        let key = named.idempotency_key.as_ref();
                        if wanted.contains(&named.name) || key.is_some_and(|key| wanted.contains(key)) {
                            let ids = tries.entry((source.broker.clone(), source.run)).or_default();
                            if !ids.contains(&named.query) {
                                ids.push(named.query);
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
    // By Unix time, broker, run, sequence number and index of the line.
    let mut lines: BTreeMap<(i64, String, u64, u64, usize), Line> = BTreeMap::new();
    if !ids.is_empty() {
        for path in files {
            let mut describers: BTreeMap<u32, Describer> = BTreeMap::new();
            let filter = BlockFilter::QueryIds(&ids);
            for_each_block(path, filter, scan, &mut stats, &mut Vec::new(), &mut |reader, record| {
                let source = &reader.sources[record.source as usize];
                let Some(own_ids) = tries.get(&(source.broker.clone(), source.run)) else { return };
                let describer = describers.entry(record.source).or_default();
                describer.observe(record);
                let is_wanted = |id: &QueryId| own_ids.contains(id);
                let tracker = describer.tracker();
                let of_events = record.events.iter().filter_map(|event| query_of_event(tracker, event));
                let of_actions = record.actions.iter().filter_map(|action| query_of_action(tracker, action));
                if !of_events.chain(of_actions).any(|id| is_wanted(&id)) {
                    return;
                }
                let unix = source.unix_nanos(record.time);
                for (index, line) in describer.lines(record, source, reader.servers).into_iter().enumerate() {
                    if line.query.as_ref().is_some_and(is_wanted) {
                        let at = (unix, source.broker.clone(), source.run, record.sequence, index);
                        lines.insert(at, line);
                    }
                }
            })?;
        }
    }
    let explained = lines.into_iter().map(|((unix, broker, run, sequence, index), line)| ExplainedLine {
        unix,
        broker,
        run,
        sequence,
        index,
        line,
    });
    Ok((explained.collect(), stats, notices))
}

/// Which blocks of an indexed file to read.
enum BlockFilter<'a> {
    /// Blocks with queries of these names or idempotency keys.
    Names(&'a [String]),
    /// Blocks that concern these query ids.
    QueryIds(&'a [u64]),
}

/// The tables that the ids in a record refer to.
struct Context<'a> {
    sources: &'a [Source],
    servers: &'a ServerNames,
}

/// Calls `take` with each record of the blocks that `filter` selects by the file's index, or of all blocks if
/// the file has none or `scan` is set.
fn for_each_block(
    path: &Path,
    filter: BlockFilter,
    scan: bool,
    stats: &mut ReadStats,
    notices: &mut Vec<Notice>,
    take: &mut dyn FnMut(&Context, &Record),
) -> Result<(), ToolError> {
    let read_error = |error| ToolError::Read(MergeError::Io(path.to_owned(), error));
    let mut reader = open(path)?;
    let sources = reader.header().sources.clone();
    let index = if scan { None } else { reader.index().map_err(read_error)? };
    let mut take_block = |reader: &Reader<_>, records: Vec<Record>| {
        stats.blocks += 1;
        let context = Context { sources: &sources, servers: reader.servers() };
        records.iter().for_each(|record| take(&context, record));
    };
    if let Some(index) = index {
        let mut offsets: Vec<u64> = match filter {
            BlockFilter::Names(names) => names.iter().flat_map(|name| index.blocks_with_name(name)).collect(),
            BlockFilter::QueryIds(ids) => ids.iter().flat_map(|id| index.blocks_with_query(*id)).collect(),
        };
        offsets.sort_unstable();
        offsets.dedup();
        for offset in offsets {
            let records = reader.block_at(offset).map_err(read_error)?;
            take_block(&reader, records);
        }
    } else {
        while let Some(records) = reader.next_block().map_err(read_error)? {
            take_block(&reader, records);
        }
        stats.scanned_files += 1;
    }
    for message in reader.problems() {
        let notice = Notice { path: path.to_owned(), message };
        if !notices.contains(&notice) {
            notices.push(notice);
        }
    }
    Ok(())
}
