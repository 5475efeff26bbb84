//! The clock that the decision module sees: monotonic, with Unix times mapped onto it once.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgergauge_core::Time;

/// The clock's reading at the program's start: room for servers that started up to a week before.
const START: Time = Time(7 * 86_400 * 1_000_000_000);

/// What was gathered so long ago has to be gathered again before anything is sent on it: a client's end counts after
/// 0.1 s.
const STALE_AFTER: Duration = Duration::from_millis(20);

/// A monotonic clock that knows which Unix time it started at.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// A clock that starts now. Both clocks are read once, together: a server's start must map to the
    /// same moment each time it is listed, or the module would take the difference for a restart.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        START.after(self.start.elapsed())
    }

    /// Whether a reading of this clock is so old that what was gathered then may be stale.
    pub fn is_stale(&self, reading: Time) -> bool {
        self.now().since(reading) >= STALE_AFTER
    }

    /// Unix time of the clock's zero, in nanoseconds.
    pub fn unix_at_zero(&self) -> i64 {
        let start = i64::try_from(self.unix_at_start.as_nanos()).unwrap_or(i64::MAX);
        start.saturating_sub(START.0 as i64)
    }

    /// A number for this run: none before it has had it, unless the system's clock was set back to the
    /// nanosecond.
    pub fn run(&self) -> u64 {
        self.unix_at_start.as_nanos() as u64
    }

    /// The moment of a Unix time in milliseconds; none for 0 or what lies too far back to matter.
    pub fn at_unix(&self, ms: u64) -> Option<Time> {
        let (at, start) = (Duration::from_millis(ms), self.unix_at_start);
        let moment = match at.checked_sub(start) {
            Some(later) => START.after(later),
            None => START.before(start - at),
        };
        (ms > 0 && moment.0 > 0).then_some(moment)
    }

    /// The Unix time of a moment in milliseconds; 0 where there is none.
    pub fn unix_ms(&self, at: Option<Time>) -> u64 {
        let Some(at) = at else { return 0 };
        let nanos = i128::from(self.unix_at_zero()) + i128::from(at.0);
        u64::try_from(nanos / 1_000_000).unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
