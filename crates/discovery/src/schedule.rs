//! Decides when discovery is called, and when a watch times out. Without I/O; the caller supplies the time.
//!
//! A change of the server list is deemed delivered to a broker at a fixed time, whether or not it has
//! arrived: where lists are pushed to a local agent, as soon as the agent has it; in any case
//! [`DELIVERY_DEADLINE`] after discovery had it and could be reached, however many calls failed, were refused
//! or timed out. The drain grace of the settings starts at that time. A broken watch must therefore be
//! replaced within the grace if an agent has the list, and within the deadline if all brokers share one
//! discovery, for which each call is work. `tests.rs` adds up the constants.

use std::time::Duration;

use badgergauge_core::interface::{Settings, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::open_calls::CallAges;

/// Discovery sends an empty line every 2 s. A watch that has received nothing for 0.5 s longer has failed.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2500);
/// A change is deemed delivered this long after discovery had it and could be reached, regardless of the
/// outcome of calls.
pub const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// A call to a shared discovery waits in its queue. If it is not answered within this time, the next call is made beside
/// it, as its connection may be cut.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the first call after a watch. It is shorter than [`CALL_TIMEOUT`] so that there is time for a
/// second call.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time from the first to the last byte of a list other than the first one of a watch.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Reserve within [`DELIVERY_DEADLINE`] for network latency and scheduling delays.
const SAFETY_MARGIN: Duration = Duration::from_millis(50);
/// Initial backoff between calls to a shared discovery. It doubles with each failed call up to the maximum;
/// the delay is drawn between the backoff and 1.5 times the backoff.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff between calls to a shared discovery.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Lower bound of the initial backoff for each other broker that may call at the same time, as calls are work
/// for discovery.
const MIN_BACKOFF_PER_BROKER: Duration = Duration::from_millis(20);
/// Lower bound of the maximum backoff for each other broker that may call at the same time.
const MAX_BACKOFF_PER_BROKER: Duration = Duration::from_millis(100);
/// Brokers that start together spread their first calls over this time for each other broker.
const SPREAD_PER_BROKER: Duration = Duration::from_millis(20);
/// Upper bound of the time over which brokers spread their calls after their watches have ended together.
const MAX_RECONNECT_SPREAD: Duration = Duration::from_secs(1);
/// Lower bound of the timeout of a call to an agent. An agent on the same machine answers at once.
const MIN_AGENT_CALL_TIMEOUT: Duration = Duration::from_millis(50);
/// Upper bound of the timeout of a call to an agent.
const MAX_AGENT_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Within its bounds, the timeout of a call to an agent is the drain grace divided by this. Together with
/// [`AGENT_RETRY_GRACE_DIVISOR`] this ensures that an agent that has come back is reached within the grace.
const AGENT_CALL_GRACE_DIVISOR: u32 = 2;
/// The delay before the next call to an agent is at most the drain grace divided by this.
const AGENT_RETRY_GRACE_DIVISOR: u32 = 8;
/// Lower bound of the delay between calls to an agent, whatever the grace.
const MIN_AGENT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of the delay between calls to an agent, whatever the grace.
const MAX_AGENT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Upper bound of the time that a new process waits for the first list from an agent.
const MAX_FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);

/// Calls up to this many timeouts old all stay open, see [`CallAges::young`].
const YOUNG_CALL_TIMEOUTS: u32 = 2;

/// Where server lists come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An agent on the same machine, to which lists are pushed. Calls to it are cheap.
    Agent {
        /// Drain grace: how long a broker may still send to a server after the change to draining or removed
        /// was delivered.
        grace: Duration,
    },
    /// One discovery for all brokers, which sends lists only on request.
    Shared {
        /// Number of brokers that call it, including this one.
        brokers: u32,
    },
}

impl Source {
    /// Determines the source from the settings.
    pub fn from_settings(settings: &Settings, grace: Duration) -> Self {
        match settings.list_on_request {
            true => Source::Shared { brokers: settings.front_nodes },
            false => Source::Agent { grace },
        }
    }

    /// Timeout of a call, given the number of failed calls since the last watch.
    pub fn call_timeout(self, failed_calls: u32) -> Duration {
        match self {
            Source::Agent { grace } => {
                (grace / AGENT_CALL_GRACE_DIVISOR).clamp(MIN_AGENT_CALL_TIMEOUT, MAX_AGENT_CALL_TIMEOUT)
            }
            Source::Shared { .. } if failed_calls == 0 => FIRST_CALL_TIMEOUT,
            Source::Shared { .. } => CALL_TIMEOUT,
        }
    }

    /// Number of other brokers that may call at the same time.
    fn other_brokers(self) -> u32 {
        match self {
            Source::Agent { .. } => 0,
            Source::Shared { brokers } => brokers.saturating_sub(1),
        }
    }

    /// How long a new process waits for its first list before it serves with the list that it has. Only an
    /// agent's list is waited for, as it is deemed delivered from the start of the process.
    pub fn first_list_timeout(self) -> Duration {
        match self {
            Source::Agent { grace } => (grace / AGENT_CALL_GRACE_DIVISOR).min(MAX_FIRST_LIST_TIMEOUT),
            Source::Shared { .. } => Duration::ZERO,
        }
    }
}

/// The state of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is no watch; the next call is due at this time.
    Waiting(Time),
    /// A call was made at this time, and nothing has been received yet.
    Requested(Time),
    /// The first list of the watch started to arrive at this time and is incomplete.
    ReadingFirstList(Time),
    /// A later list started to arrive at this time and is incomplete.
    ReadingList(Time),
    /// The watch is open, and received its last complete item, a list or an empty line, at this time.
    Open(Time),
}

/// Schedules the calls to discovery. Delays are drawn at random, so that brokers that start or fail together
/// do not keep calling together. No delay is so long that a change would arrive after it is deemed delivered,
/// regardless of the previous call's outcome.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    source: Source,
    phase: Phase,
    /// When the last call was made.
    last_call: Time,
    /// When a watch last received a complete item.
    last_received: Option<Time>,
    /// Number of calls that have failed since the last watch.
    failed_calls: u32,
    /// Number of those calls whose first list started to arrive but was not completed.
    incomplete_lists: u32,
    min_backoff: Duration,
    max_backoff: Duration,
    /// The backoff from which the next delay is drawn.
    next_backoff: Duration,
    rng: ChaCha8Rng,
}

impl CallSchedule {
    /// Creates the schedule of a broker that starts now. The first call is due at once if the source is an
    /// agent; brokers that share a discovery spread their first calls.
    pub fn new(now: Time, source: Source, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let others = source.other_brokers();
        let min_backoff = MIN_BACKOFF.max(MIN_BACKOFF_PER_BROKER.saturating_mul(others));
        let max_backoff = MAX_BACKOFF.max(MAX_BACKOFF_PER_BROKER.saturating_mul(others));
        let mut schedule = CallSchedule {
            source,
            phase: Phase::Waiting(now),
            last_call: now,
            last_received: None,
            failed_calls: 0,
            incomplete_lists: 0,
            min_backoff,
            max_backoff,
            next_backoff: min_backoff,
            rng,
        };
        let spread = SPREAD_PER_BROKER.saturating_mul(others);
        let delay = schedule.random_delay(spread.min(DELIVERY_DEADLINE - SAFETY_MARGIN - CALL_TIMEOUT));
        schedule.phase = Phase::Waiting(now.after(delay));
        schedule
    }

    /// Draws a delay between zero and `max`.
    fn random_delay(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random())
    }

    /// The state of the watch.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When the next call is due or the current phase times out.
    pub fn due(&self) -> Time {
        match self.phase {
            Phase::Waiting(at) => at,
            Phase::Requested(since) => since.after(self.source.call_timeout(self.failed_calls)),
            // The timeout doubles with each incomplete list: the list may be long, and the connection slow.
            Phase::ReadingFirstList(since) => since.after(self.first_list_timeout()),
            Phase::ReadingList(since) => since.after(LIST_TIMEOUT),
            Phase::Open(since) => since.after(WATCH_TIMEOUT),
        }
    }

    /// Time from the first to the last byte of a watch's first list.
    fn first_list_timeout(&self) -> Duration {
        let timeout = self.source.call_timeout(self.failed_calls);
        timeout.saturating_mul(1 << self.incomplete_lists.min(8)).min(CALL_TIMEOUT)
    }

    /// Whether the timeout of a watch's first list no longer grows with each incomplete one.
    pub fn list_timeout_is_longest(&self) -> bool {
        self.first_list_timeout() == CALL_TIMEOUT
    }

    /// Up to which ages calls that are not answered stay open beside the latest one.
    pub fn open_call_ages(&self) -> CallAges {
        let young = self.source.call_timeout(u32::MAX).saturating_mul(YOUNG_CALL_TIMEOUTS);
        CallAges { young }
    }

    /// Whether a call is due.
    pub fn is_call_due(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Waiting(at) if now >= at)
    }

    /// Records that a call was made.
    pub fn call_started(&mut self, now: Time) {
        (self.phase, self.last_call) = (Phase::Requested(now), now);
    }

    /// Records that a complete item was received: a list, an empty line, or the head of the response.
    pub fn received(&mut self, now: Time) {
        (self.phase, self.last_received) = (Phase::Open(now), Some(now));
        (self.failed_calls, self.incomplete_lists) = (0, 0);
        self.next_backoff = self.min_backoff;
    }

    /// Records that part of a list was received; `first` marks the first list of the watch. Further parts do
    /// not extend the timeout, as a list that never ends conveys nothing.
    pub fn list_started(&mut self, now: Time, first: bool) {
        self.phase = match self.phase {
            Phase::ReadingFirstList(_) | Phase::ReadingList(_) => return,
            _ if first => Phase::ReadingFirstList(now),
            _ => Phase::ReadingList(now),
        };
    }

    /// Whether the watch has timed out: its call was not answered, or nothing was received for too long.
    pub fn is_timed_out(&self, now: Time) -> bool {
        !matches!(self.phase, Phase::Waiting(_)) && now >= self.due()
    }

    /// Schedules the next call after a watch has ended or timed out.
    pub fn watch_ended(&mut self, now: Time) {
        let was_open = matches!(self.phase, Phase::Open(_) | Phase::ReadingList(_));
        self.incomplete_lists += u32::from(matches!(self.phase, Phase::ReadingFirstList(_)));
        self.failed_calls = if was_open { 0 } else { self.failed_calls.saturating_add(1) };
        // Discovery may have had a change since the watch last received anything. Once a call after the watch
        // has failed, discovery was unreachable at least until the last call, so the deadline counts from
        // there.
        let reachable = self.last_received.filter(|_| self.failed_calls <= 1).unwrap_or(self.last_call);
        let elapsed = now.since(reachable);
        let time_left = (DELIVERY_DEADLINE - SAFETY_MARGIN - CALL_TIMEOUT).saturating_sub(elapsed);
        let delay = match self.source {
            Source::Agent { grace } => {
                let max = (grace / AGENT_RETRY_GRACE_DIVISOR).min(MAX_AGENT_RETRY_DELAY);
                self.random_delay(max).max(MIN_AGENT_RETRY_DELAY)
            }
            // Missed changes are deemed delivered soon, which leaves no time for a backoff.
            Source::Shared { .. } if was_open => {
                let spread = SPREAD_PER_BROKER.saturating_mul(self.source.other_brokers());
                self.random_delay(spread.min(MAX_RECONNECT_SPREAD).min(time_left))
            }
            Source::Shared { .. } => {
                let max = self.next_backoff.mul_f64(1.5).min(time_left.max(MIN_BACKOFF));
                self.next_backoff = self.next_backoff.saturating_mul(2).min(self.max_backoff);
                max.mul_f64((2.0 + self.rng.random::<f64>()) / 3.0)
            }
        };
        self.phase = Phase::Waiting(now.after(delay));
    }

    /// Resets the schedule after a change of discovery's address; the next call is due at once.
    pub fn address_changed(&mut self) {
        (self.failed_calls, self.incomplete_lists, self.next_backoff) = (0, 0, self.min_backoff);
        self.phase = Phase::Waiting(Time(0));
    }
}

#[cfg(test)]
mod tests;
