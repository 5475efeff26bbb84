//! What the recorder does with its files: when one is followed by the next, which are removed, and what
//! becomes of the steps when the disk fails. No I/O, and no clock but the one given.

use std::time::Duration;

use crate::record::Gap;

/// A block is written at the latest after this long: a crash loses no more.
const FLUSH: Duration = Duration::from_secs(1);
/// Waits before the disk is tried again, doubled up to the last.
const RETRY: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(10)];
/// File names end so.
pub const END: &str = ".bgt";

/// Bounds on what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A file is followed by the next at this size, in bytes.
    pub file_bytes: u64,
    /// Or at this age.
    pub file_age: Duration,
    /// All files of the broker together, in bytes.
    pub total_bytes: u64,
}

/// The name of a file: broker, run and first step, in an order that sorts.
pub fn file_name(broker: &str, run: u64, first: u64) -> String {
    format!("{}-{run:016x}-{first:012}{END}", plain(broker))
}

/// A broker's name as a file's name may hold it: whatever it says, it names no other folder.
fn plain(broker: &str) -> String {
    let fits = |c: char| if c.is_ascii_alphanumeric() || c == '_' { c } else { '_' };
    broker.chars().map(fits).take(100).collect()
}

/// Whether a file is one of a broker's own, of whatever run.
pub fn is_own(broker: &str, name: &str) -> bool {
    let rest = name.strip_prefix(&plain(broker)).and_then(|rest| rest.strip_prefix('-'));
    let Some((run, first)) = rest.and_then(|rest| rest.strip_suffix(END)).and_then(|r| r.split_once('-'))
    else {
        return false;
    };
    run.len() == 16
        && run.bytes().all(|b| b.is_ascii_hexdigit())
        && first.len() >= 12
        && first.bytes().all(|b| b.is_ascii_digit())
}

/// What the recorder is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// Nothing but to add the step.
    Add,
    /// Open a file whose first step this is, then add it.
    Open,
    /// Close the file, open the next one, then add the step.
    Next,
    /// Drop the step: the disk has failed and is left alone for now.
    Drop,
}

/// The recorder's state, as far as it decides.
#[derive(Clone, Debug)]
pub struct Keeper {
    limits: Limits,
    /// The file under way: since when, and when it was last flushed. Times count from the run's start.
    open: Option<(Duration, Duration)>,
    /// Closed files, oldest first, with their sizes.
    closed: Vec<(String, u64)>,
    /// Until when the disk is left alone, and how often it has failed in a row.
    failed: Option<(Duration, u32, String)>,
    /// Steps that no file holds and that the next one must name.
    lost: Option<Gap>,
    /// Steps that one under way names as missing: should it be lost too, the next one must name them.
    riding: Option<Gap>,
}

impl Keeper {
    /// With the files that are there from earlier runs, oldest first.
    pub fn new(limits: Limits, mut closed: Vec<(String, u64)>) -> Self {
        closed.sort();
        Keeper { limits, open: None, closed, failed: None, lost: None, riding: None }
    }

    /// New bounds hold from the next step on.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// What to do with a step, given the size of the file under way.
    pub fn step(&self, now: Duration, size: u64) -> Do {
        match (&self.open, &self.failed) {
            (Some((since, _)), _) => {
                let full =
                    size >= self.limits.file_bytes || now.saturating_sub(*since) >= self.limits.file_age;
                if full { Do::Next } else { Do::Add }
            }
            (None, Some((until, ..))) if now < *until => Do::Drop,
            (None, _) => Do::Open,
        }
    }

    /// A file was opened.
    pub fn opened(&mut self, now: Duration) {
        self.open = Some((now, now));
    }

    /// The file under way was closed, or has failed: either way it is there, at this size.
    pub fn closed(&mut self, name: String, size: u64) {
        self.open = None;
        self.closed.push((name, size));
    }

    /// Whether the block under way is to be written, full or not.
    pub fn flush_due(&self, now: Duration) -> bool {
        self.open.is_some_and(|(_, flushed)| now.saturating_sub(flushed) >= FLUSH)
    }

    /// What is under way was written.
    pub fn flushed(&mut self, now: Duration) {
        if let Some((_, flushed)) = &mut self.open {
            *flushed = now;
        }
        // Only what has been written shows that the disk is back.
        self.failed = None;
        self.riding = None;
    }

    /// The disk has failed: what was under way is lost, and it is left alone for longer each time.
    pub fn failed(&mut self, now: Duration, why: &str) -> Duration {
        let times = self.failed.as_ref().map_or(0, |(_, times, _)| *times);
        let wait = RETRY[0].saturating_mul(1 << times.min(16)).min(RETRY[1]);
        self.open = None;
        self.failed = Some((now + wait, times + 1, why.to_owned()));
        if let Some(gap) = self.riding.take() {
            self.lose(gap.first, gap.last, &gap.reason);
        }
        wait
    }

    /// Steps are in no file: the next one to be added says so.
    pub fn lose(&mut self, first: u64, last: u64, why: &str) {
        match &mut self.lost {
            Some(gap) => {
                (gap.first, gap.last) = (gap.first.min(first), gap.last.max(last));
                if !gap.reason.contains(why) && gap.reason.len() < 200 {
                    gap.reason.push_str("; ");
                    gap.reason.push_str(why);
                }
            }
            None => self.lost = Some(Gap { first, last, reason: why.to_owned() }),
        }
    }

    /// A step is dropped while the disk is left alone.
    pub fn drop_step(&mut self, sequence: u64) {
        let why = self.failed.as_ref().map_or_else(String::new, |(.., why)| why.clone());
        self.lose(sequence, sequence, &why);
    }

    /// What is missing before the step that is added now.
    pub fn take_lost(&mut self) -> Option<Gap> {
        let gap = self.lost.take()?;
        let mut riding = self.riding.take().unwrap_or_else(|| gap.clone());
        (riding.first, riding.last) = (riding.first.min(gap.first), riding.last.max(gap.last));
        self.riding = Some(riding);
        Some(gap)
    }

    /// The files to remove, oldest first, so that one more of full size fits; they count as removed.
    pub fn surplus(&mut self) -> Vec<String> {
        let room = self.limits.total_bytes.saturating_sub(self.limits.file_bytes);
        let mut held: u64 = self.closed.iter().map(|(_, size)| size).sum();
        let mut surplus = Vec::new();
        for (name, size) in &self.closed {
            if held <= room {
                break;
            }
            held -= size;
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
    fn a_file_is_followed_at_its_size_or_its_age() {
        let mut keeper = Keeper::new(LIMITS, vec![]);
        assert_eq!(keeper.step(s(0), 0), Do::Open);
        keeper.opened(s(0));
        assert_eq!(keeper.step(s(59), 99), Do::Add);
        assert_eq!(keeper.step(s(59), 100), Do::Next);
        assert_eq!(keeper.step(s(60), 1), Do::Next);
        keeper.closed("a".into(), 100);
        keeper.opened(s(60));
        assert_eq!(keeper.step(s(61), 1), Do::Add);
        keeper.limit(Limits { file_bytes: 1, ..LIMITS });
        assert_eq!(keeper.step(s(61), 1), Do::Next);
    }

    #[test]
    fn the_oldest_go_first_and_one_more_always_fits() {
        let before = vec![("b-2".to_owned(), 100), ("b-1".to_owned(), 90)];
        let mut keeper = Keeper::new(LIMITS, before);
        assert_eq!(keeper.surplus(), Vec::<String>::new());
        keeper.closed("b-3".into(), 100);
        assert_eq!(keeper.surplus(), ["b-1"]);
        assert_eq!(keeper.surplus(), Vec::<String>::new());
        keeper.closed("b-4".into(), 260);
        assert_eq!(keeper.surplus(), ["b-2", "b-3", "b-4"]);
    }

    #[test]
    fn a_failed_disk_is_left_alone_for_longer_each_time_and_what_is_lost_is_named() {
        let mut keeper = Keeper::new(LIMITS, vec![]);
        keeper.opened(s(0));
        keeper.lose(5, 9, "disk: full");
        let waits: Vec<Duration> = (0..8).map(|_| keeper.failed(s(1), "disk: full")).collect();
        assert_eq!(waits[..3], [250, 500, 1000].map(Duration::from_millis));
        assert_eq!(waits[7], s(10));
        assert_eq!(keeper.step(s(10), 0), Do::Drop);
        keeper.drop_step(10);
        keeper.lose(11, 12, "the queue was full");
        assert_eq!(keeper.step(s(11), 0), Do::Open);
        let gap = keeper.take_lost().expect("lost");
        assert_eq!((gap.first, gap.last, gap.reason.as_str()), (5, 12, "disk: full; the queue was full"));
        assert_eq!(keeper.take_lost(), None);
        // Opening a file proves nothing; writing to it does.
        keeper.opened(s(11));
        assert_eq!(keeper.clone().failed(s(11), "disk: full"), s(10));
        keeper.flushed(s(12));
        assert_eq!(keeper.failed(s(12), "disk: full"), Duration::from_millis(250));
    }

    // A gap rides on a step that waits for its block: when the block is lost, the gap must not be.
    #[test]
    fn a_gap_survives_the_loss_of_the_step_that_names_it() {
        let mut keeper = Keeper::new(LIMITS, vec![]);
        keeper.opened(s(0));
        keeper.lose(5, 9, "the queue was full");
        assert!(keeper.take_lost().is_some());
        keeper.failed(s(1), "disk: full");
        keeper.lose(10, 12, "disk: full");
        let gap = keeper.take_lost().expect("lost");
        assert_eq!((gap.first, gap.last, gap.reason.as_str()), (5, 12, "the queue was full; disk: full"));
        keeper.flushed(s(2));
        keeper.failed(s(3), "disk: full");
        assert_eq!(keeper.take_lost(), None);
    }

    #[test]
    fn what_is_under_way_is_written_every_second() {
        let mut keeper = Keeper::new(LIMITS, vec![]);
        assert!(!keeper.flush_due(s(100)));
        keeper.opened(s(100));
        assert!(!keeper.flush_due(Duration::from_millis(100_999)));
        assert!(keeper.flush_due(s(101)));
        keeper.flushed(s(101));
        assert!(!keeper.flush_due(s(101)));
    }

    #[test]
    fn names_sort_and_stay_in_their_folder() {
        assert!(file_name("n1", 9, 5) < file_name("n1", 9, 10));
        assert!(file_name("n1", 9, 5) < file_name("n1", 16, 1));
        let odd = file_name("../n 1", 1, 1);
        assert!(!odd.contains('/') && !odd.contains(".."), "{odd}");
        assert!(is_own("../n 1", &odd) && is_own("n1", &file_name("n1", 1, 1)));
        // A broker whose name begins like another's leaves that one's files alone.
        assert!(!is_own("n1", &file_name("n1-x", 1, 1)) && !is_own("n1", "n1-notes.bgt"));
    }
}
