//! The recorder against a disk that fails on purpose: what is not in the files is named in them.

mod common;

use std::collections::BTreeMap;
use std::io::{self, Cursor, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgergauge_trace::recorder::{Disk, Plan, Recorder};
use badgergauge_trace::retain::Limits;
use badgergauge_trace::{Reader, Record};
use common::*;

/// A disk in memory. It holds so many bytes in all, and waits for a word before each write where it is told.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    room: Option<usize>,
    gate: Option<Receiver<()>>,
    fails_to_create: u32,
}

struct Page(Memory, String);

impl Write for Page {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let gate = self.0.0.lock().expect("sound").gate.take();
        if let Some(gate) = gate {
            let _ = gate.recv();
        }
        let mut state = self.0.0.lock().expect("sound");
        let held: usize = state.files.values().map(Vec::len).sum();
        let room = state.room.map_or(usize::MAX, |room| room.saturating_sub(held));
        if room == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // A full disk takes the beginning of a block and not its end.
        let taken = bytes.len().min(room);
        state.files.entry(self.1.clone()).or_default().extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Disk for Memory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let state = self.0.lock().expect("sound");
        Ok(state.files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>> {
        let mut state = self.0.lock().expect("sound");
        if state.fails_to_create > 0 {
            state.fails_to_create -= 1;
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        state.files.insert(name.to_owned(), Vec::new());
        Ok(Box::new(Page(self.clone(), name.to_owned())))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().expect("sound").files.remove(name);
        Ok(())
    }
}

impl Memory {
    fn gate(&self) -> Sender<()> {
        let (open, gate) = channel();
        self.0.lock().expect("sound").gate = Some(gate);
        open
    }

    /// Steps that are in the files, and steps that they name as missing, with why.
    fn held(&self) -> (Vec<u64>, Vec<u64>, String) {
        let state = self.0.lock().expect("sound");
        let (mut steps, mut missing, mut why) = (Vec::new(), Vec::new(), String::new());
        for bytes in state.files.values() {
            let Ok(mut reader) = Reader::open(Cursor::new(bytes)) else { continue };
            while let Some(block) = reader.next_block().expect("memory") {
                for record in block {
                    if let Some(gap) = &record.gap {
                        missing.extend(gap.first..=gap.last);
                        why.push_str(&gap.reason);
                    }
                    steps.push(record.sequence);
                }
            }
        }
        (steps, missing, why)
    }
}

fn plan(file_bytes: u64, total_bytes: u64, queue: usize) -> Plan {
    let limits = Limits { file_bytes, file_age: Duration::from_secs(3600), total_bytes };
    Plan { source: source("n1", 9), limits, queue }
}

fn bare(n: u64) -> Record {
    Record { gap: None, note: String::new(), ..step(n) }
}

fn names() -> Vec<(badgergauge_core::ServerId, String)> {
    servers().into_iter().collect()
}

/// Offers steps after `last` until `done` says so, and gives the last one.
fn offer_until(recorder: &mut Recorder, mut last: u64, done: impl Fn(&Recorder) -> bool) -> u64 {
    while !done(recorder) {
        last += 1;
        recorder.offer(bare(last), names());
        std::thread::yield_now();
    }
    last
}

/// Every step from the first to the last is held or named as missing, and none is both.
fn accounted(steps: &[u64], missing: &[u64], last: u64) {
    let mut all: Vec<u64> = steps.iter().chain(missing).copied().collect();
    all.sort_unstable();
    assert_eq!(all, (1..=last).collect::<Vec<_>>());
}

#[test]
fn all_that_is_handed_over_is_written_and_files_follow_each_other() {
    let disk = Memory::default();
    let mut recorder = Recorder::start(plan(20_000, 1 << 30, 4096), Box::new(disk.clone())).expect("starts");
    (1..=500).for_each(|n| recorder.offer(bare(n), names()));
    assert!(recorder.rotate(None));
    (501..=600).for_each(|n| recorder.offer(bare(n), vec![]));
    assert!(recorder.close());
    let (steps, missing, _) = disk.held();
    assert_eq!((steps, missing), ((1..=600).collect(), vec![]));
    assert!(disk.0.lock().expect("sound").files.len() >= 3);
}

#[test]
fn a_full_queue_drops_and_names_what_it_dropped() {
    let disk = Memory::default();
    let open = disk.gate();
    let mut recorder = Recorder::start(plan(1 << 30, 1 << 40, 4), Box::new(disk.clone())).expect("starts");
    // The thread waits for its disk; the loop goes on, or this would never end.
    (1..=100).for_each(|n| recorder.offer(bare(n), names()));
    let dropped = recorder.counts().queue_full.load(Ordering::Relaxed);
    assert!((95..=96).contains(&dropped), "{dropped}");
    drop(open);
    assert!(recorder.close());
    let (steps, missing, why) = disk.held();
    assert!(why.contains("the queue was full"), "{why}");
    // The last record says what is missing at the end, under the number after it.
    accounted(&steps, &missing, 101);
}

#[test]
fn a_disk_that_fills_up_in_the_middle_of_a_block_loses_that_block_and_names_it() {
    for room in [700, 5_000, 9_000, 14_321, 20_000] {
        let disk = Memory::default();
        disk.0.lock().expect("sound").room = Some(room);
        let mut recorder =
            Recorder::start(plan(4_000, 1 << 30, 4096), Box::new(disk.clone())).expect("starts");
        (1..=400).for_each(|n| recorder.offer(bare(n), names()));
        // The thread has met the full disk once steps are counted as lost.
        while recorder.counts().disk.load(Ordering::Relaxed) == 0 {
            std::thread::yield_now();
        }
        disk.0.lock().expect("sound").room = None;
        // Offered until the disk is tried again, and a step is written.
        let written = recorder.counts().written.load(Ordering::Relaxed);
        let more = |recorder: &Recorder| recorder.counts().written.load(Ordering::Relaxed) > written;
        let last = offer_until(&mut recorder, 400, more);
        assert!(recorder.close());
        let (steps, missing, why) = disk.held();
        assert!(why.contains("disk: "), "{why}");
        let end = steps.iter().chain(&missing).max().copied().expect("some");
        assert!(end >= last);
        accounted(&steps, &missing, end);
    }
}

#[test]
fn a_file_that_cannot_be_made_is_tried_again() {
    let disk = Memory::default();
    disk.0.lock().expect("sound").fails_to_create = 1;
    let mut recorder = Recorder::start(plan(1 << 30, 1 << 40, 64), Box::new(disk.clone())).expect("starts");
    offer_until(&mut recorder, 0, |_| !disk.0.lock().expect("sound").files.is_empty());
    assert!(recorder.close());
    let (steps, missing, why) = disk.held();
    assert!(why.contains("disk: "), "{why}");
    accounted(&steps, &missing, steps.iter().chain(&missing).max().copied().expect("some"));
}

#[test]
fn the_oldest_files_go_when_there_are_too_many() {
    let disk = Memory::default();
    let mut recorder = Recorder::start(plan(10_000, 60_000, 4096), Box::new(disk.clone())).expect("starts");
    (1..=3000).for_each(|n| recorder.offer(bare(n), names()));
    assert!(recorder.close());
    let held: usize = disk.0.lock().expect("sound").files.values().map(Vec::len).sum();
    assert!(held <= 60_000, "{held}");
    let (steps, missing, _) = disk.held();
    assert!(steps[0] > 1 && missing.is_empty());
    assert_eq!(steps, (steps[0]..=3000).collect::<Vec<_>>());
}
