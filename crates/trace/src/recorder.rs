//! Records the steps of a running broker in trace files. A thread does the writing; the event loop hands it
//! steps through a bounded queue and never waits for it. If the queue is full or the disk fails, steps are
//! dropped and counted, and the trace reports which ones and why.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_core::ServerId;

use crate::header::Header;
use crate::record::{Gap, Record, ServerNames, Source};
use crate::rotation::{Limits, RotationPolicy, StepAction, belongs_to, file_name};
use crate::sample::Sampler;
use crate::write::Writer;

/// Interval at which the thread checks whether a block must be written while no messages arrive.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that [`Recorder::close`] waits for the queued steps to be written, so that a disk that does
/// not respond can't keep the process from exiting.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval between log messages about dropped steps.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Where trace files are written. Tests replace it by one that fails.
pub trait Storage: Send {
    /// Lists the trace files of this broker, with their sizes in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be listed.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Creates a new file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created or exists already.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory with the trace files of one broker. It may hold other files, which are ignored.
pub struct Directory {
    path: PathBuf,
    broker: String,
}

impl Directory {
    /// Opens a directory, and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be created or read.
    pub fn open(path: &Path, broker: &str) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let mut directory = Directory { path: path.to_owned(), broker: broker.to_owned() };
        directory.list()?;
        Ok(directory)
    }
}

impl Storage for Directory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if let Ok(name) = entry.file_name().into_string()
                && belongs_to(&self.broker, &name)
            {
                files.push((name, entry.metadata()?.len()));
            }
        }
        Ok(files)
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>> {
        let file: File = OpenOptions::new().write(true).create_new(true).open(self.path.join(name))?;
        Ok(Box::new(BufWriter::with_capacity(64 * 1024, file)))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}

/// Options of a recorder.
#[derive(Clone, Debug, PartialEq)]
pub struct RecorderOptions {
    /// The run to record.
    pub source: Source,
    /// Limits on the files.
    pub limits: Limits,
    /// Maximum number of steps in the queue to the thread.
    pub queue: usize,
}

enum Message {
    Step(Box<Record>, Vec<(ServerId, String)>),
    /// Closes the open file, so that the next step starts a new one, and sets new limits if given.
    Rotate(Option<Limits>),
    /// Closes the open file and ends the thread, after reporting the steps dropped last, if any.
    Close(Option<Gap>),
}

/// Counters of a recorder.
#[derive(Debug, Default)]
pub struct Counters {
    /// Steps in blocks that were written.
    pub written: AtomicU64,
    /// Steps dropped because the queue was full.
    pub dropped_queue_full: AtomicU64,
    /// Steps lost because the disk failed.
    pub lost_disk_failure: AtomicU64,
}

/// Handle of the event loop to the recorder's thread.
pub struct Recorder {
    sender: SyncSender<Message>,
    /// Receives a message when the thread has ended.
    ended: Receiver<()>,
    /// Steps dropped since the last one that was queued.
    dropped: Option<Gap>,
    /// Server names from dropped steps; they are sent with the next step.
    names: Vec<(ServerId, String)>,
    counters: Arc<Counters>,
    /// When dropped steps were last logged.
    drop_logged: Option<Instant>,
}

impl Recorder {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the existing files can't be listed or the thread can't be started.
    pub fn start(options: RecorderOptions, mut storage: Box<dyn Storage>) -> io::Result<Self> {
        let (sender, messages) = sync_channel(options.queue.max(1));
        let (ended_sender, ended) = sync_channel(1);
        let counters = Arc::new(Counters::default());
        let policy = RotationPolicy::new(options.limits, storage.list()?);
        let worker = Worker {
            storage,
            policy,
            sampler: Sampler::new(options.source.sample.clone()),
            source: options.source,
            servers: ServerNames::new(),
            file: None,
            started: Instant::now(),
            counters: counters.clone(),
            closed_records: 0,
        };
        thread::Builder::new().name("trace".into()).spawn(move || {
            worker.run(&messages);
            let _ = ended_sender.send(());
        })?;
        Ok(Recorder { sender, ended, dropped: None, names: Vec::new(), counters, drop_logged: None })
    }

    /// Returns the recorder's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Queues a step, with the server names that are new since the last one. Never blocks: if the queue is
    /// full, the step is dropped and the next one that is queued reports the gap.
    pub fn offer(&mut self, mut record: Record, names: Vec<(ServerId, String)>) {
        let sequence = record.sequence;
        record.gap = self.dropped.take();
        self.names.extend(names);
        let message = Message::Step(Box::new(record), std::mem::take(&mut self.names));
        let Err(error) = self.sender.try_send(message) else { return };
        let message = match error {
            TrySendError::Full(message) | TrySendError::Disconnected(message) => message,
        };
        let mut gap = None;
        if let Message::Step(record, names) = message {
            (gap, self.names) = (record.gap, names);
        }
        let before = gap.unwrap_or_else(|| Gap {
            first: sequence,
            last: sequence,
            reason: "the queue was full".into(),
        });
        self.dropped = Some(Gap { last: sequence, ..before });
        let count = self.counters.dropped_queue_full.fetch_add(1, Ordering::Relaxed) + 1;
        if self.drop_logged.is_none_or(|logged| logged.elapsed() >= DROP_LOG_INTERVAL) {
            self.drop_logged = Some(Instant::now());
            tracing::warn!("trace: the queue to the writer is full; {count} steps dropped since the start");
        }
    }

    /// Closes the open file, so that the next step starts a new one, and sets new limits if given. Returns
    /// whether the request was queued; with a full queue it is not.
    pub fn rotate(&mut self, limits: Option<Limits>) -> bool {
        self.sender.try_send(Message::Rotate(limits)).is_ok()
    }

    /// Writes the queued steps and closes the file. Returns whether that was finished within the timeout of 2
    /// s.
    pub fn close(mut self) -> bool {
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let mut message = Message::Close(self.dropped.take());
        // A full queue drains unless the disk does not respond.
        while let Err(TrySendError::Full(unsent)) = self.sender.try_send(message) {
            message = unsent;
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.ended.recv_timeout(deadline.saturating_duration_since(Instant::now())).is_ok()
    }
}

/// State of the recorder's thread.
struct Worker {
    storage: Box<dyn Storage>,
    policy: RotationPolicy,
    sampler: Sampler,
    source: Source,
    servers: ServerNames,
    /// The open file and its name.
    file: Option<(String, Writer<Box<dyn Write + Send>>)>,
    started: Instant,
    counters: Arc<Counters>,
    /// Number of records in closed files.
    closed_records: u64,
}

impl Worker {
    fn run(mut self, messages: &Receiver<Message>) {
        loop {
            match messages.recv_timeout(POLL_INTERVAL) {
                Ok(Message::Step(record, names)) => {
                    self.servers.extend(names);
                    self.step(*record);
                }
                Ok(Message::Rotate(limits)) => {
                    if let Some(limits) = limits {
                        self.policy.set_limits(limits);
                    }
                    self.close();
                }
                Ok(Message::Close(gap)) => {
                    if let Some(gap) = gap {
                        self.policy.add_lost(gap.first, gap.last, &gap.reason);
                    }
                    break;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if self.policy.flush_due(self.started.elapsed()) {
                self.flush();
            }
        }
        // No step follows that could report a gap at the end, so an additional record reports it.
        if let Some(gap) = self.policy.take_lost() {
            let note = format!("{} steps before the end are missing", gap.last - gap.first + 1);
            let record = Record { sequence: gap.last + 1, note, gap: Some(gap), ..Record::default() };
            self.step(record);
        }
        self.close();
    }

    fn step(&mut self, mut record: Record) {
        if let Some(gap) = record.gap.take() {
            self.policy.add_lost(gap.first, gap.last, &gap.reason);
        }
        if !self.sampler.apply(&mut record) {
            return;
        }
        let size = self.file.as_ref().map_or(0, |(_, writer)| writer.size());
        match self.policy.step(self.started.elapsed(), size) {
            StepAction::Drop => {
                self.counters.lost_disk_failure.fetch_add(1, Ordering::Relaxed);
                self.policy.drop_step(record.sequence);
                return;
            }
            StepAction::Add => {}
            StepAction::RotateFile => {
                self.close();
                self.open(record.sequence);
            }
            StepAction::OpenFile => self.open(record.sequence),
        }
        let Some((_, writer)) = &mut self.file else {
            self.counters.lost_disk_failure.fetch_add(1, Ordering::Relaxed);
            self.policy.drop_step(record.sequence);
            return;
        };
        record.gap = self.policy.take_lost();
        let before = writer.pending();
        if let Err(error) = writer.add(&record, &self.servers) {
            self.fail(&error, before, Some(&record));
        } else if writer.pending().is_none() {
            self.policy.flushed(self.started.elapsed());
            self.update_written();
        }
    }

    /// Opens a file that starts with the given step, after removing old files to make room for it.
    fn open(&mut self, first: u64) {
        for name in self.policy.take_surplus() {
            if let Err(error) = self.storage.remove(&name) {
                tracing::warn!("trace: can't remove old file {name}: {error}");
            }
        }
        let name = file_name(&self.source.broker, self.source.run, first);
        let header = Header::new(vec![self.source.clone()], false);
        match self.storage.create(&name).and_then(|file| Writer::new(file, header)) {
            Ok(writer) => {
                self.policy.opened(self.started.elapsed());
                self.file = Some((name, writer));
            }
            Err(error) => self.fail(&error, None, None),
        }
    }

    fn flush(&mut self) {
        let Some((_, writer)) = &mut self.file else { return };
        let pending = writer.pending();
        match writer.flush() {
            Ok(()) => {
                self.policy.flushed(self.started.elapsed());
                self.update_written();
            }
            Err(error) => self.fail(&error, pending, None),
        }
    }

    fn update_written(&mut self) {
        let in_open_file = self.file.as_ref().map_or(0, |(_, writer)| writer.written());
        self.counters.written.store(self.closed_records + in_open_file, Ordering::Relaxed);
    }

    fn close(&mut self) {
        self.flush();
        let Some((name, mut writer)) = self.file.take() else { return };
        self.closed_records += writer.written();
        let closed = writer.close();
        self.policy.closed(name, writer.size());
        if let Err(error) = closed {
            self.fail(&error, None, None);
        }
    }

    /// Handles a disk failure. The steps of the open block (`pending`, first and last) are lost, and so is
    /// the record that was being added (`current`), with the gap that it reported.
    fn fail(&mut self, error: &io::Error, pending: Option<(u64, u64)>, current: Option<&Record>) {
        let reason = format!("disk: {error}");
        if let Some((name, writer)) = self.file.take() {
            self.closed_records += writer.written();
            self.policy.closed(name, writer.size());
        }
        if let Some(Gap { first, last, reason }) = current.and_then(|record| record.gap.as_ref()) {
            self.policy.add_lost(*first, *last, reason);
        }
        let lost = pending.into_iter().chain(current.map(|record| (record.sequence, record.sequence)));
        for (first, last) in lost {
            self.counters.lost_disk_failure.fetch_add(last - first + 1, Ordering::Relaxed);
            self.policy.add_lost(first, last, &reason);
        }
        let delay = self.policy.failed(self.started.elapsed(), &reason);
        tracing::warn!("trace: {reason}; retrying in {} ms", delay.as_millis());
    }
}
