//! The faults that a run caused, with the times at which they took effect, and the violations that they
//! excuse. No I/O.
//!
//! A busy machine applies an action later than its schedule says, so nothing here refers to planned times.
//! All times are since the start of the run.

use std::collections::HashMap;
use std::time::Duration;

use rustix::process::Signal;

use crate::load::Unanswered;
use crate::proxy::Rule;
use crate::schedule::Links;

/// An interrupted broker loses the requests that it received up to this long before and had not answered.
const EXCUSED_BEFORE: Duration = Duration::from_secs(5);
/// Time after the end of a kill or a network fault in which truncated frames are excused.
const TRUNCATION_EXCUSED_FOR: Duration = Duration::from_secs(1);

/// How a process is kept from answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InterruptionKind {
    /// By SIGKILL, until the process is reaped.
    Kill,
    /// By SIGSTOP, until SIGCONT or until the process is reaped.
    Pause,
}

impl InterruptionKind {
    /// The signal that interrupts the process.
    pub fn signal(self) -> Signal {
        match self {
            InterruptionKind::Kill => Signal::KILL,
            InterruptionKind::Pause => Signal::STOP,
        }
    }
}

/// A time in which a process of a broker could not answer.
#[derive(Clone, Copy, Debug)]
struct Interruption {
    kind: InterruptionKind,
    broker: usize,
    /// Which of the broker's starts the process is, from 1.
    run: u32,
    /// When the signal was about to be sent.
    from: Duration,
    /// The end; none while the interruption lasts.
    until: Option<Duration>,
}

impl Interruption {
    fn end(&self) -> Duration {
        self.until.unwrap_or(Duration::MAX)
    }

    /// Whether a request was in flight during the interruption, and not sent long before.
    fn excuses(&self, lost: &Unanswered) -> bool {
        lost.broker == self.broker
            && lost.sent <= self.end()
            && lost.ended >= self.from
            && lost.sent + EXCUSED_BEFORE >= self.from
    }
}

/// A time in which links had a rule that truncates frames.
#[derive(Clone, Debug)]
struct LinkFault {
    links: Links,
    /// Whether the links were cut.
    is_cut: bool,
    from: Duration,
    /// When the end of the rule was about to be set; none while it is in force.
    end_began: Option<Duration>,
    /// The end; none while the rule is in force.
    until: Option<Duration>,
}

/// The faults of a run.
#[derive(Debug, Default)]
pub struct FaultLog {
    interruptions: Vec<Interruption>,
    link_faults: Vec<LinkFault>,
    /// By broker: when its first upgrade or drain began.
    seamless_from: HashMap<usize, Duration>,
}

impl FaultLog {
    /// Records that a broker's process is about to be sent the signal that interrupts it. `run` tells which
    /// of the broker's starts the process is.
    pub fn record_interruption(&mut self, kind: InterruptionKind, broker: usize, run: u32, at: Duration) {
        self.interruptions.push(Interruption { kind, broker, run, from: at, until: None });
    }

    /// Records that a broker's process has been sent SIGCONT.
    pub fn record_resume(&mut self, broker: usize, run: u32, at: Duration) {
        self.end_interruptions(at, |one| {
            one.kind == InterruptionKind::Pause && (one.broker, one.run) == (broker, run)
        });
    }

    /// Records that a broker's process has been reaped.
    pub fn record_reaped(&mut self, broker: usize, run: u32, at: Duration) {
        self.end_interruptions(at, |one| (one.broker, one.run) == (broker, run));
    }

    /// Records that an upgrade or a drain of a broker is about to begin.
    pub fn record_seamless(&mut self, broker: usize, at: Duration) {
        self.seamless_from.entry(broker).or_insert(at);
    }

    /// Records that the rule of links was set between two times.
    pub fn record_rule(&mut self, links: &Links, rule: &Rule, began: Duration, ended: Duration) {
        let mut open = self.link_faults.iter_mut().filter(|fault| fault.links == *links);
        let current = open.find(|fault| fault.until.is_none());
        match (current, rule.truncates_frames()) {
            (Some(fault), false) => (fault.end_began, fault.until) = (Some(began), Some(ended)),
            (None, true) => self.link_faults.push(LinkFault {
                links: links.clone(),
                is_cut: rule.is_cut(),
                from: began,
                end_began: None,
                until: None,
            }),
            (Some(_), true) | (None, false) => {}
        }
    }

    /// Whether a request had no answer because its broker's process was killed or paused.
    pub fn excuses_no_answer(&self, lost: &Unanswered) -> bool {
        self.interruptions.iter().any(|interruption| interruption.excuses(lost))
    }

    /// Whether a frame that was found truncated at this time can be the work of a kill, as a killed process
    /// can't complete its frames, or of a network fault.
    pub fn excuses_truncation(&self, at: Duration) -> bool {
        let is_within = |from: Duration, until: Duration| {
            at >= from && at <= until.saturating_add(TRUNCATION_EXCUSED_FOR)
        };
        let mut kills = self.interruptions.iter().filter(|one| one.kind == InterruptionKind::Kill);
        let mut link_faults = self.link_faults.iter();
        kills.any(|kill| is_within(kill.from, kill.end()))
            || link_faults.any(|fault| is_within(fault.from, fault.until.unwrap_or(Duration::MAX)))
    }

    /// Whether a cut was in force at the first of two times and had ended at the second.
    pub fn cut_ended_between(&self, first: Duration, second: Duration) -> bool {
        let mut cuts = self.link_faults.iter().filter(|fault| fault.is_cut);
        cuts.any(|cut| {
            cut.from <= first && cut.end_began.is_some_and(|ended| first < ended && ended <= second)
        })
    }

    /// When the first upgrade or drain of a broker began, if it had one.
    pub fn seamless_from(&self, broker: usize) -> Option<Duration> {
        self.seamless_from.get(&broker).copied()
    }

    fn end_interruptions(&mut self, at: Duration, is_ended: impl Fn(&Interruption) -> bool) {
        let open = self.interruptions.iter_mut().filter(|one| one.until.is_none());
        open.filter(|one| is_ended(one)).for_each(|one| one.until = Some(at));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn lost(broker: usize, sent_ms: u32, ended_ms: u32) -> Unanswered {
        let (sent, ended) = (MS * sent_ms, MS * ended_ms);
        Unanswered { id: format!("b{broker}-1"), broker, sent, ended, closed: true }
    }

    /// Broker 1 was killed at 6,400 ms and reaped at 6,500 ms.
    fn killed() -> FaultLog {
        let mut log = FaultLog::default();
        log.record_interruption(InterruptionKind::Kill, 1, 1, MS * 6400);
        log.record_reaped(1, 1, MS * 6500);
        log
    }

    #[test]
    fn a_kill_excuses_what_was_in_flight_until_the_process_was_reaped() {
        let log = killed();
        assert!(log.excuses_no_answer(&lost(1, 6300, 6401)));
        assert!(log.excuses_no_answer(&lost(1, 6450, 6460)));
        assert!(log.excuses_no_answer(&lost(1, 1400, 6400)), "sent 5 s before");
        assert!(!log.excuses_no_answer(&lost(1, 1399, 6400)), "sent more than 5 s before");
        assert!(!log.excuses_no_answer(&lost(1, 6300, 6399)), "closed before the signal");
        assert!(!log.excuses_no_answer(&lost(1, 6501, 6502)), "sent after the process was reaped");
        assert!(!log.excuses_no_answer(&lost(0, 6300, 6401)), "another broker");
    }

    #[test]
    fn a_process_started_after_a_kill_is_not_excused() {
        let mut log = killed();
        log.record_reaped(1, 2, MS * 9000);
        assert!(!log.excuses_no_answer(&lost(1, 8000, 9000)));
    }

    #[test]
    fn a_pause_excuses_until_the_process_is_continued_or_reaped() {
        let mut log = FaultLog::default();
        log.record_interruption(InterruptionKind::Pause, 0, 1, MS * 1000);
        assert!(log.excuses_no_answer(&lost(0, 5000, 7000)), "the pause lasts");
        log.record_resume(1, 1, MS * 1500);
        log.record_resume(0, 1, MS * 2000);
        assert!(log.excuses_no_answer(&lost(0, 1900, 3900)));
        assert!(!log.excuses_no_answer(&lost(0, 2001, 4000)));
        assert!(!log.excuses_truncation(MS * 1500), "a paused process truncates no frame");
        log.record_interruption(InterruptionKind::Pause, 2, 1, MS * 1000);
        log.record_reaped(2, 1, MS * 1200);
        log.record_resume(2, 2, MS * 2000);
        assert!(!log.excuses_no_answer(&lost(2, 1300, 1900)), "sent to the process after the paused one");
    }

    #[test]
    fn truncated_frames_are_excused_until_a_second_after_a_fault() {
        let mut log = killed();
        let [reset, none] = [Rule { reset: 0.1, ..Rule::default() }, Rule::default()];
        log.record_rule(&Links::All, &reset, MS * 20_000, MS * 20_001);
        log.record_rule(&Links::AcrossZone(0), &none, MS * 20_500, MS * 20_501);
        log.record_rule(&Links::All, &reset, MS * 21_000, MS * 21_001);
        log.record_rule(&Links::All, &none, MS * 22_000, MS * 22_001);
        for at in [6400, 7500, 20_000, 23_001] {
            assert!(log.excuses_truncation(MS * at), "{at}");
        }
        for at in [6399, 7501, 19_999, 23_002] {
            assert!(!log.excuses_truncation(MS * at), "{at}");
        }
        let one_way = Rule { cut_back: true, ..Rule::default() };
        log.record_rule(&Links::AcrossZone(0), &one_way, MS * 40_000, MS * 40_001);
        assert!(log.excuses_truncation(MS * 60_000), "the cut lasts");
        assert!(!log.cut_ended_between(MS * 40_000, MS * 60_000), "the cut lasts");
        let slow = Rule { delay: MS, loss: 0.5, rate: Some(1), ..Rule::default() };
        log.record_rule(&Links::AcrossZone(0), &slow, MS * 41_000, MS * 41_001);
        assert!(!log.excuses_truncation(MS * 60_000), "delays truncate no frame");
    }

    #[test]
    fn a_cut_has_ended_from_the_moment_at_which_it_was_to_be_lifted() {
        let (cut, none) = (Rule::cut(), Rule::default());
        let resets = Rule { reset: 0.1, ..Rule::default() };
        let mut log = FaultLog::default();
        log.record_rule(&Links::AcrossZone(0), &cut, MS * 1000, MS * 1001);
        log.record_rule(&Links::AcrossZone(0), &none, MS * 2000, MS * 2001);
        log.record_rule(&Links::All, &resets, MS * 5000, MS * 5001);
        log.record_rule(&Links::All, &none, MS * 6000, MS * 6001);
        assert!(log.cut_ended_between(MS * 1000, MS * 2000));
        assert!(log.cut_ended_between(MS * 1999, MS * 9000));
        for (first, second) in [(999, 9000), (2000, 9000), (1000, 1999), (5500, 9000)] {
            assert!(!log.cut_ended_between(MS * first, MS * second), "{first} to {second}");
        }
    }

    #[test]
    fn the_first_upgrade_or_drain_of_a_broker_counts() {
        let mut log = FaultLog::default();
        log.record_seamless(3, MS * 10);
        log.record_seamless(3, MS * 20);
        assert_eq!((log.seamless_from(3), log.seamless_from(1)), (Some(MS * 10), None));
    }
}
