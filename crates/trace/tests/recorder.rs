//! The recorder with storage that fails on demand: the files report every step that they do not contain.

mod common;

use std::collections::BTreeMap;
use std::io::{self, Cursor, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgergauge_trace::recorder::{Recorder, RecorderOptions, Storage};
use badgergauge_trace::rotation::Limits;
use badgergauge_trace::{Reader, Record};
use common::*;

/// Storage in memory.
#[derive(Clone, Default)]
struct MemoryStorage(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    /// Maximum size of all files together in bytes; unlimited if `None`.
    capacity: Option<usize>,
    /// The next write blocks until the sender sends or is dropped.
    write_gate: Option<Receiver<()>>,
    /// Number of calls of `create` that still fail.
    create_failures: u32,
}

/// A file in the storage, by name.
struct MemoryFile(MemoryStorage, String);

impl Write for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let gate = self.0.0.lock().expect("not poisoned").write_gate.take();
        if let Some(gate) = gate {
            let _ = gate.recv();
        }
        let mut state = self.0.0.lock().expect("not poisoned");
        let held: usize = state.files.values().map(Vec::len).sum();
        let room = state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(held));
        if room == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // Like a full disk, accepts the beginning of a block and not its end.
        let accepted = bytes.len().min(room);
        state.files.entry(self.1.clone()).or_default().extend_from_slice(&bytes[..accepted]);
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Storage for MemoryStorage {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let state = self.0.lock().expect("not poisoned");
        Ok(state.files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>> {
        let mut state = self.0.lock().expect("not poisoned");
        if state.create_failures > 0 {
            state.create_failures -= 1;
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        state.files.insert(name.to_owned(), Vec::new());
        Ok(Box::new(MemoryFile(self.clone(), name.to_owned())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().expect("not poisoned").files.remove(name);
        Ok(())
    }
}

impl MemoryStorage {
    /// Blocks the next write until the returned sender is dropped.
    fn block_write(&self) -> Sender<()> {
        let (release, gate) = channel();
        self.0.lock().expect("not poisoned").write_gate = Some(gate);
        release
    }

    /// Sequence numbers of the steps in the files and of those in gaps, and the reasons of the gaps.
    fn contents(&self) -> (Vec<u64>, Vec<u64>, String) {
        let state = self.0.lock().expect("not poisoned");
        let (mut steps, mut missing, mut reasons) = (Vec::new(), Vec::new(), String::new());
        for bytes in state.files.values() {
            let Ok(mut reader) = Reader::open(Cursor::new(bytes)) else { continue };
            while let Some(block) = reader.next_block().expect("reads from memory") {
                for record in block {
                    if let Some(gap) = &record.gap {
                        missing.extend(gap.first..=gap.last);
                        reasons.push_str(&gap.reason);
                    }
                    steps.push(record.sequence);
                }
            }
        }
        (steps, missing, reasons)
    }
}

fn options(file_bytes: u64, total_bytes: u64, queue: usize) -> RecorderOptions {
    let limits = Limits { file_bytes, file_age: Duration::from_secs(3600), total_bytes };
    RecorderOptions { source: source("n1", 9), limits, queue }
}

/// A step without a gap and a note.
fn plain_step(n: u64) -> Record {
    Record { gap: None, note: String::new(), ..step(n) }
}

fn names() -> Vec<(badgergauge_core::ServerId, String)> {
    servers().into_iter().collect()
}

/// Offers steps after `last` until `done` returns true. Returns the sequence number of the last one.
fn offer_until(recorder: &mut Recorder, mut last: u64, done: impl Fn(&Recorder) -> bool) -> u64 {
    while !done(recorder) {
        last += 1;
        recorder.offer(plain_step(last), names());
        std::thread::yield_now();
    }
    last
}

/// Asserts that every step from 1 to `last` is either in the files or in a gap, and none is in both.
fn assert_accounted(steps: &[u64], missing: &[u64], last: u64) {
    let mut all: Vec<u64> = steps.iter().chain(missing).copied().collect();
    all.sort_unstable();
    assert_eq!(all, (1..=last).collect::<Vec<_>>());
}

#[test]
fn all_steps_are_written_across_rotated_files() {
    let storage = MemoryStorage::default();
    let mut recorder =
        Recorder::start(options(20_000, 1 << 30, 4096), Box::new(storage.clone())).expect("starts");
    (1..=500).for_each(|n| recorder.offer(plain_step(n), names()));
    assert!(recorder.rotate(None));
    (501..=600).for_each(|n| recorder.offer(plain_step(n), vec![]));
    assert!(recorder.close());
    let (steps, missing, _) = storage.contents();
    assert_eq!((steps, missing), ((1..=600).collect(), vec![]));
    assert!(storage.0.lock().expect("not poisoned").files.len() >= 3);
}

#[test]
fn full_queue_drops_steps_and_reports_them() {
    let storage = MemoryStorage::default();
    let release = storage.block_write();
    let mut recorder =
        Recorder::start(options(1 << 30, 1 << 40, 4), Box::new(storage.clone())).expect("starts");
    // The thread is blocked in its write. `offer` must not block, or the test would not end.
    (1..=100).for_each(|n| recorder.offer(plain_step(n), names()));
    let dropped = recorder.counters().dropped_queue_full.load(Ordering::Relaxed);
    assert!((95..=96).contains(&dropped), "{dropped}");
    drop(release);
    assert!(recorder.close());
    let (steps, missing, reasons) = storage.contents();
    assert!(reasons.contains("the queue was full"), "{reasons}");
    // The last record reports the gap at the end and has the sequence number after it.
    assert_accounted(&steps, &missing, 101);
}

#[test]
fn disk_full_within_a_block_loses_that_block_and_reports_it() {
    for capacity in [700, 5_000, 9_000, 14_321, 20_000] {
        let storage = MemoryStorage::default();
        storage.0.lock().expect("not poisoned").capacity = Some(capacity);
        let mut recorder =
            Recorder::start(options(4_000, 1 << 30, 4096), Box::new(storage.clone())).expect("starts");
        (1..=400).for_each(|n| recorder.offer(plain_step(n), names()));
        // Once steps are counted as lost, the thread has had a write fail.
        while recorder.counters().lost_disk_failure.load(Ordering::Relaxed) == 0 {
            std::thread::yield_now();
        }
        storage.0.lock().expect("not poisoned").capacity = None;
        // Offers steps until the thread retries the storage and writes a block.
        let written = recorder.counters().written.load(Ordering::Relaxed);
        let more = |recorder: &Recorder| recorder.counters().written.load(Ordering::Relaxed) > written;
        let last = offer_until(&mut recorder, 400, more);
        assert!(recorder.close());
        let (steps, missing, reasons) = storage.contents();
        assert!(reasons.contains("disk: "), "{reasons}");
        let end = steps.iter().chain(&missing).max().copied().expect("not empty");
        assert!(end >= last);
        assert_accounted(&steps, &missing, end);
    }
}

#[test]
fn failed_file_creation_is_retried() {
    let storage = MemoryStorage::default();
    storage.0.lock().expect("not poisoned").create_failures = 1;
    let mut recorder =
        Recorder::start(options(1 << 30, 1 << 40, 64), Box::new(storage.clone())).expect("starts");
    offer_until(&mut recorder, 0, |_| !storage.0.lock().expect("not poisoned").files.is_empty());
    assert!(recorder.close());
    let (steps, missing, reasons) = storage.contents();
    assert!(reasons.contains("disk: "), "{reasons}");
    assert_accounted(&steps, &missing, steps.iter().chain(&missing).max().copied().expect("not empty"));
}

#[test]
fn oldest_files_are_removed_at_the_total_size_limit() {
    let storage = MemoryStorage::default();
    let mut recorder =
        Recorder::start(options(10_000, 60_000, 4096), Box::new(storage.clone())).expect("starts");
    (1..=3000).for_each(|n| recorder.offer(plain_step(n), names()));
    assert!(recorder.close());
    let held: usize = storage.0.lock().expect("not poisoned").files.values().map(Vec::len).sum();
    assert!(held <= 60_000, "{held}");
    let (steps, missing, _) = storage.contents();
    assert!(steps[0] > 1 && missing.is_empty());
    assert_eq!(steps, (steps[0]..=3000).collect::<Vec<_>>());
}
