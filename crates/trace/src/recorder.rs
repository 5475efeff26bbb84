//! The recorder: a thread that writes what the loop hands it. The loop never waits for it: where the queue is
//! full or the disk fails, steps are dropped and counted, and the trace says which and why.

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
use crate::record::{Gap, Record, Servers, Source};
use crate::retain::{Do, Keeper, Limits, file_name, is_own};
use crate::sample::Sampler;
use crate::write::Writer;

/// How often the thread looks whether a block is due, when nothing comes.
const LOOK: Duration = Duration::from_millis(250);
/// The loop's end waits so long at the most for what is in the queue: a disk that hangs must not keep the
/// program.
const LAST: Duration = Duration::from_secs(2);
/// Drops are said once in so long.
const SAY: Duration = Duration::from_secs(10);

/// What is written to: a folder, or a stand-in of one that fails on purpose.
pub trait Disk: Send {
    /// Files of this broker that are there, with their sizes.
    ///
    /// # Errors
    ///
    /// When the folder can't be read.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Makes a new file.
    ///
    /// # Errors
    ///
    /// When it can't be made; one of that name may be there.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// When it can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of a broker's own.
pub struct Folder {
    path: PathBuf,
    broker: String,
}

impl Folder {
    /// Makes the folder where it is missing.
    ///
    /// # Errors
    ///
    /// When it can't be made or read.
    pub fn open(path: &Path, broker: &str) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let mut folder = Folder { path: path.to_owned(), broker: broker.to_owned() };
        folder.list()?;
        Ok(folder)
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if let Ok(name) = entry.file_name().into_string()
                && is_own(&self.broker, &name)
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

/// How a recorder is run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Whose steps these are.
    pub source: Source,
    /// Bounds on what is kept.
    pub limits: Limits,
    /// Steps that may wait for the thread.
    pub queue: usize,
}

enum Message {
    Step(Box<Record>, Vec<(ServerId, String)>),
    /// Close the file under way, and go on with the next; with other bounds, if they are given.
    Rotate(Option<Limits>),
    Close(Option<Gap>),
}

/// What the recorder has done so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// Steps in blocks that were written.
    pub written: AtomicU64,
    /// Steps dropped as the queue was full.
    pub queue_full: AtomicU64,
    /// Steps lost as the disk failed.
    pub disk: AtomicU64,
}

/// The loop's side.
pub struct Recorder {
    sender: SyncSender<Message>,
    /// Tells when the thread has ended.
    over: Receiver<()>,
    lost: Option<Gap>,
    /// Names that a dropped step brought: the next one brings them.
    names: Vec<(ServerId, String)>,
    counts: Arc<Counts>,
    said: Option<Instant>,
}

impl Recorder {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the folder's files can't be listed, or there is no thread to be had.
    pub fn start(plan: Plan, mut disk: Box<dyn Disk>) -> io::Result<Self> {
        let (sender, messages) = sync_channel(plan.queue.max(1));
        let (ended, over) = sync_channel(1);
        let counts = Arc::new(Counts::default());
        let keeper = Keeper::new(plan.limits, disk.list()?);
        let scribe = Scribe {
            disk,
            keeper,
            sampler: Sampler::new(plan.source.sample.clone()),
            source: plan.source,
            servers: Servers::new(),
            file: None,
            started: Instant::now(),
            counts: counts.clone(),
            closed_records: 0,
        };
        thread::Builder::new().name("trace".into()).spawn(move || {
            scribe.run(&messages);
            let _ = ended.send(());
        })?;
        Ok(Recorder { sender, over, lost: None, names: Vec::new(), counts, said: None })
    }

    /// What it has done so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Hands over a step, with the servers named since the last one. Never waits.
    pub fn offer(&mut self, mut record: Record, names: Vec<(ServerId, String)>) {
        let sequence = record.sequence;
        record.gap = self.lost.take();
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
        let before =
            gap.unwrap_or_else(|| Gap { first: sequence, last: sequence, why: "the queue was full".into() });
        self.lost = Some(Gap { last: sequence, ..before });
        let count = self.counts.queue_full.fetch_add(1, Ordering::Relaxed) + 1;
        if self.said.is_none_or(|said| said.elapsed() >= SAY) {
            self.said = Some(Instant::now());
            tracing::warn!("trace: the queue is full, {count} steps dropped so far");
        }
    }

    /// Closes the file under way and goes on with the next, with other bounds if they are given. Gives whether
    /// the thread was told: with a full queue it is not.
    pub fn rotate(&mut self, limits: Option<Limits>) -> bool {
        self.sender.try_send(Message::Rotate(limits)).is_ok()
    }

    /// Writes what was handed over and closes the file. Gives whether that was done in time.
    pub fn close(mut self) -> bool {
        let until = Instant::now() + LAST;
        let mut message = Message::Close(self.lost.take());
        // The queue may be full: the thread makes room unless its disk hangs.
        while let Err(TrySendError::Full(back)) = self.sender.try_send(message) {
            message = back;
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.over.recv_timeout(until.saturating_duration_since(Instant::now())).is_ok()
    }
}

/// The thread's side.
struct Scribe {
    disk: Box<dyn Disk>,
    keeper: Keeper,
    sampler: Sampler,
    source: Source,
    servers: Servers,
    file: Option<(String, Writer<Box<dyn Write + Send>>)>,
    started: Instant,
    counts: Arc<Counts>,
    /// Records in files that are closed.
    closed_records: u64,
}

impl Scribe {
    fn run(mut self, messages: &Receiver<Message>) {
        loop {
            match messages.recv_timeout(LOOK) {
                Ok(Message::Step(record, names)) => {
                    self.servers.extend(names);
                    self.step(*record);
                }
                Ok(Message::Rotate(limits)) => {
                    if let Some(limits) = limits {
                        self.keeper.limit(limits);
                    }
                    self.close();
                }
                Ok(Message::Close(gap)) => {
                    if let Some(gap) = gap {
                        self.keeper.lose(gap.first, gap.last, &gap.why);
                    }
                    break;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if self.keeper.flush_due(self.started.elapsed()) {
                self.flush();
            }
        }
        // What is missing at the end is said by a record of its own.
        if let Some(gap) = self.keeper.take_lost() {
            let note = format!("{} steps before the end are missing", gap.last - gap.first + 1);
            let record = Record { sequence: gap.last + 1, note, gap: Some(gap), ..Record::default() };
            self.step(record);
        }
        self.close();
    }

    fn step(&mut self, mut record: Record) {
        if let Some(gap) = record.gap.take() {
            self.keeper.lose(gap.first, gap.last, &gap.why);
        }
        if !self.sampler.apply(&mut record) {
            return;
        }
        let size = self.file.as_ref().map_or(0, |(_, writer)| writer.size());
        match self.keeper.step(self.started.elapsed(), size) {
            Do::Drop => {
                self.counts.disk.fetch_add(1, Ordering::Relaxed);
                self.keeper.drop_step(record.sequence);
                return;
            }
            Do::Add => {}
            Do::Next => {
                self.close();
                self.open(record.sequence);
            }
            Do::Open => self.open(record.sequence),
        }
        let Some((_, writer)) = &mut self.file else {
            self.counts.disk.fetch_add(1, Ordering::Relaxed);
            self.keeper.drop_step(record.sequence);
            return;
        };
        record.gap = self.keeper.take_lost();
        let before = writer.pending();
        if let Err(error) = writer.add(&record, &self.servers) {
            self.fail(&error, before, Some(&record));
        } else if writer.pending().is_none() {
            self.keeper.flushed(self.started.elapsed());
            self.count();
        }
    }

    fn open(&mut self, first: u64) {
        for name in self.keeper.surplus() {
            if let Err(error) = self.disk.remove(&name) {
                tracing::warn!("trace: {name} can't be removed: {error}");
            }
        }
        let name = file_name(&self.source.broker, self.source.run, first);
        let header = Header::new(vec![self.source.clone()], false);
        match self.disk.create(&name).and_then(|file| Writer::new(file, header)) {
            Ok(writer) => {
                self.keeper.opened(self.started.elapsed());
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
                self.keeper.flushed(self.started.elapsed());
                self.count();
            }
            Err(error) => self.fail(&error, pending, None),
        }
    }

    fn count(&mut self) {
        let now = self.file.as_ref().map_or(0, |(_, writer)| writer.written());
        self.counts.written.store(self.closed_records + now, Ordering::Relaxed);
    }

    fn close(&mut self) {
        self.flush();
        let Some((name, mut writer)) = self.file.take() else { return };
        self.closed_records += writer.written();
        let closed = writer.close();
        self.keeper.closed(name, writer.size());
        if let Err(error) = closed {
            self.fail(&error, None, None);
        }
    }

    /// The disk has failed: what no block holds is lost, with the step under way and the gap that it carried.
    fn fail(&mut self, error: &io::Error, pending: Option<(u64, u64)>, under_way: Option<&Record>) {
        let why = format!("disk: {error}");
        if let Some((name, writer)) = self.file.take() {
            self.closed_records += writer.written();
            self.keeper.closed(name, writer.size());
        }
        if let Some(Gap { first, last, why }) = under_way.and_then(|record| record.gap.as_ref()) {
            self.keeper.lose(*first, *last, why);
        }
        let lost = pending.into_iter().chain(under_way.map(|record| (record.sequence, record.sequence)));
        for (first, last) in lost {
            self.counts.disk.fetch_add(last - first + 1, Ordering::Relaxed);
            self.keeper.lose(first, last, &why);
        }
        let wait = self.keeper.failed(self.started.elapsed(), &why);
        tracing::warn!("trace: {why}; tried again in {} ms", wait.as_millis());
    }
}
