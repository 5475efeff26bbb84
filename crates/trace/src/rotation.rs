//! Decisions of the recorder about its files: when to start the next file, which old files to remove, and
//! which steps to drop while the disk fails. Does no I/O and reads no clock; the caller passes the time.

use std::time::Duration;

use crate::record::Gap;

/// Maximum age of the open block before it is written; bounds what a crash loses.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the first retry after a disk failure; doubled with each further failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// File name extension of trace files, with its dot.
pub const FILE_EXTENSION: &str = ".bgt";

/// Limits on the size and age of trace files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size in bytes at which a file is closed and the next one started.
    pub file_bytes: u64,
    /// Age at which a file is closed and the next one started.
    pub file_age: Duration,
    /// Maximum size in bytes of all files of the broker together.
    pub total_bytes: u64,
}

/// Returns the name of a file, made from the broker, its run and the sequence number of the file's first
/// step. Names of one broker sort by run and step.
pub fn file_name(broker: &str, run: u64, first: u64) -> String {
    format!("{}-{run:016x}-{first:012}{FILE_EXTENSION}", sanitized(broker))
}

/// Replaces characters of a broker's name that are not allowed in file names, so that it can't refer to
/// another directory, and limits its length.
fn sanitized(broker: &str) -> String {
    let replace = |c: char| if c.is_ascii_alphanumeric() || c == '_' { c } else { '_' };
    broker.chars().map(replace).take(100).collect()
}

/// Returns whether a file name is one that [`file_name`] gives for this broker, in any run.
pub fn belongs_to(broker: &str, name: &str) -> bool {
    let rest = name.strip_prefix(&sanitized(broker)).and_then(|rest| rest.strip_prefix('-'));
    let Some((run, first)) =
        rest.and_then(|rest| rest.strip_suffix(FILE_EXTENSION)).and_then(|r| r.split_once('-'))
    else {
        return false;
    };
    run.len() == 16
        && run.bytes().all(|b| b.is_ascii_hexdigit())
        && first.len() >= 12
        && first.bytes().all(|b| b.is_ascii_digit())
}

/// What the recorder must do with a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepAction {
    /// Add the step to the open file.
    Add,
    /// Open a file that starts with this step, then add the step.
    OpenFile,
    /// Close the open file, open the next one, then add the step.
    RotateFile,
    /// Drop the step: the disk has failed and the retry delay has not passed.
    Drop,
}

/// The open file. Times count from the recorder's start.
#[derive(Clone, Copy, Debug)]
struct OpenFile {
    opened: Duration,
    /// When a block was last written to it.
    flushed: Duration,
}

/// A disk failure that no successful write has followed yet.
#[derive(Clone, Debug)]
struct DiskFailure {
    /// When to retry; counts from the recorder's start.
    retry_at: Duration,
    /// Number of failures in a row.
    count: u32,
    reason: String,
}

/// State and rules of file rotation, of retention and of retries after disk failures.
#[derive(Clone, Debug)]
pub struct RotationPolicy {
    limits: Limits,
    open: Option<OpenFile>,
    /// Names and sizes in bytes of closed files, oldest first.
    closed: Vec<(String, u64)>,
    failure: Option<DiskFailure>,
    /// Steps that are in no file and have not been reported as a gap yet.
    lost: Option<Gap>,
    /// Gap reported by records of the open block. It is reported again if the block is lost.
    unwritten_gap: Option<Gap>,
}

impl RotationPolicy {
    /// Creates the policy with the files left by earlier runs, in any order.
    pub fn new(limits: Limits, mut closed: Vec<(String, u64)>) -> Self {
        closed.sort();
        RotationPolicy { limits, open: None, closed, failure: None, lost: None, unwritten_gap: None }
    }

    /// Sets new limits, which apply from the next step on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Decides what to do with a step, given the size of the open file in bytes.
    pub fn step(&self, now: Duration, size: u64) -> StepAction {
        match (&self.open, &self.failure) {
            (Some(open), _) => {
                let full =
                    size >= self.limits.file_bytes || now.saturating_sub(open.opened) >= self.limits.file_age;
                if full { StepAction::RotateFile } else { StepAction::Add }
            }
            (None, Some(failure)) if now < failure.retry_at => StepAction::Drop,
            (None, _) => StepAction::OpenFile,
        }
    }

    /// Records that a file was opened.
    pub fn opened(&mut self, now: Duration) {
        self.open = Some(OpenFile { opened: now, flushed: now });
    }

    /// Records that the open file was closed or abandoned after a failure. It counts towards the total size
    /// either way.
    pub fn closed(&mut self, name: String, size: u64) {
        self.open = None;
        self.closed.push((name, size));
    }

    /// Returns whether the open block must be written although it is not full.
    pub fn flush_due(&self, now: Duration) -> bool {
        self.open.is_some_and(|open| now.saturating_sub(open.flushed) >= FLUSH_INTERVAL)
    }

    /// Records that the open block was written.
    pub fn flushed(&mut self, now: Duration) {
        if let Some(open) = &mut self.open {
            open.flushed = now;
        }
        // Only a successful write shows that the disk works again; opening a file does not.
        self.failure = None;
        self.unwritten_gap = None;
    }

    /// Records a disk failure: the open block is lost, and any gap that it reported must be reported again.
    /// Returns the delay before the next attempt, which doubles with each failure in a row.
    pub fn failed(&mut self, now: Duration, reason: &str) -> Duration {
        let count = self.failure.as_ref().map_or(0, |failure| failure.count);
        let delay = MIN_RETRY_DELAY.saturating_mul(1 << count.min(16)).min(MAX_RETRY_DELAY);
        self.open = None;
        self.failure =
            Some(DiskFailure { retry_at: now + delay, count: count + 1, reason: reason.to_owned() });
        if let Some(gap) = self.unwritten_gap.take() {
            self.add_lost(gap.first, gap.last, &gap.reason);
        }
        delay
    }

    /// Records that steps are in no file, so that the next record added reports them.
    pub fn add_lost(&mut self, first: u64, last: u64, reason: &str) {
        match &mut self.lost {
            Some(gap) => {
                (gap.first, gap.last) = (gap.first.min(first), gap.last.max(last));
                if !gap.reason.contains(reason) && gap.reason.len() < 200 {
                    gap.reason.push_str("; ");
                    gap.reason.push_str(reason);
                }
            }
            None => self.lost = Some(Gap { first, last, reason: reason.to_owned() }),
        }
    }

    /// Records that a step was dropped because of the last disk failure.
    pub fn drop_step(&mut self, sequence: u64) {
        let reason = self.failure.as_ref().map_or_else(String::new, |failure| failure.reason.clone());
        self.add_lost(sequence, sequence, &reason);
    }

    /// Returns the lost steps that the record added next must report, and counts them as reported.
    pub fn take_lost(&mut self) -> Option<Gap> {
        let gap = self.lost.take()?;
        let mut unwritten = self.unwritten_gap.take().unwrap_or_else(|| gap.clone());
        (unwritten.first, unwritten.last) = (unwritten.first.min(gap.first), unwritten.last.max(gap.last));
        self.unwritten_gap = Some(unwritten);
        Some(gap)
    }

    /// Returns the files to remove, oldest first, so that another file of full size fits into the total size,
    /// and forgets them.
    pub fn take_surplus(&mut self) -> Vec<String> {
        let room = self.limits.total_bytes.saturating_sub(self.limits.file_bytes);
        let mut total_size: u64 = self.closed.iter().map(|(_, size)| size).sum();
        let mut surplus = Vec::new();
        for (name, size) in &self.closed {
            if total_size <= room {
                break;
            }
            total_size -= size;
            surplus.push(name.clone());
        }
        self.closed.drain(..surplus.len());
        surplus
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits { file_bytes: 100, file_age: Duration::from_secs(60), total_bytes: 350 };

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    #[test]
    fn files_are_rotated_by_size_and_age() {
        let mut policy = RotationPolicy::new(LIMITS, vec![]);
        assert_eq!(policy.step(s(0), 0), StepAction::OpenFile);
        policy.opened(s(0));
        assert_eq!(policy.step(s(59), 99), StepAction::Add);
        assert_eq!(policy.step(s(59), 100), StepAction::RotateFile);
        assert_eq!(policy.step(s(60), 1), StepAction::RotateFile);
        policy.closed("a".into(), 100);
        policy.opened(s(60));
        assert_eq!(policy.step(s(61), 1), StepAction::Add);
        policy.set_limits(Limits { file_bytes: 1, ..LIMITS });
        assert_eq!(policy.step(s(61), 1), StepAction::RotateFile);
    }

    #[test]
    fn oldest_files_are_removed_until_another_fits() {
        let before = vec![("b-2".to_owned(), 100), ("b-1".to_owned(), 90)];
        let mut policy = RotationPolicy::new(LIMITS, before);
        assert_eq!(policy.take_surplus(), Vec::<String>::new());
        policy.closed("b-3".into(), 100);
        assert_eq!(policy.take_surplus(), ["b-1"]);
        assert_eq!(policy.take_surplus(), Vec::<String>::new());
        policy.closed("b-4".into(), 260);
        assert_eq!(policy.take_surplus(), ["b-2", "b-3", "b-4"]);
    }

    #[test]
    fn retry_delay_doubles_and_lost_steps_are_reported() {
        let mut policy = RotationPolicy::new(LIMITS, vec![]);
        policy.opened(s(0));
        policy.add_lost(5, 9, "disk: full");
        let delays: Vec<Duration> = (0..8).map(|_| policy.failed(s(1), "disk: full")).collect();
        assert_eq!(delays[..3], [250, 500, 1000].map(Duration::from_millis));
        assert_eq!(delays[7], s(10));
        assert_eq!(policy.step(s(10), 0), StepAction::Drop);
        policy.drop_step(10);
        policy.add_lost(11, 12, "the queue was full");
        assert_eq!(policy.step(s(11), 0), StepAction::OpenFile);
        let gap = policy.take_lost().expect("lost");
        assert_eq!((gap.first, gap.last, gap.reason.as_str()), (5, 12, "disk: full; the queue was full"));
        assert_eq!(policy.take_lost(), None);
        // Opening a file does not reset the retry delay; a successful write does.
        policy.opened(s(11));
        assert_eq!(policy.clone().failed(s(11), "disk: full"), s(10));
        policy.flushed(s(12));
        assert_eq!(policy.failed(s(12), "disk: full"), Duration::from_millis(250));
    }

    // A gap is reported by a record in the open block. If that block is lost, the gap must be reported again.
    #[test]
    fn gap_is_reported_again_if_its_block_is_lost() {
        let mut policy = RotationPolicy::new(LIMITS, vec![]);
        policy.opened(s(0));
        policy.add_lost(5, 9, "the queue was full");
        assert!(policy.take_lost().is_some());
        policy.failed(s(1), "disk: full");
        policy.add_lost(10, 12, "disk: full");
        let gap = policy.take_lost().expect("lost");
        assert_eq!((gap.first, gap.last, gap.reason.as_str()), (5, 12, "the queue was full; disk: full"));
        policy.flushed(s(2));
        policy.failed(s(3), "disk: full");
        assert_eq!(policy.take_lost(), None);
    }

    #[test]
    fn open_block_is_flushed_every_second() {
        let mut policy = RotationPolicy::new(LIMITS, vec![]);
        assert!(!policy.flush_due(s(100)));
        policy.opened(s(100));
        assert!(!policy.flush_due(Duration::from_millis(100_999)));
        assert!(policy.flush_due(s(101)));
        policy.flushed(s(101));
        assert!(!policy.flush_due(s(101)));
    }

    #[test]
    fn file_names_sort_and_stay_in_their_directory() {
        assert!(file_name("n1", 9, 5) < file_name("n1", 9, 10));
        assert!(file_name("n1", 9, 5) < file_name("n1", 16, 1));
        let odd = file_name("../n 1", 1, 1);
        assert!(!odd.contains('/') && !odd.contains(".."), "{odd}");
        assert!(belongs_to("../n 1", &odd) && belongs_to("n1", &file_name("n1", 1, 1)));
        // Files of a broker whose name starts with this broker's name are not its own.
        assert!(!belongs_to("n1", &file_name("n1-x", 1, 1)) && !belongs_to("n1", "n1-notes.bgt"));
    }
}
