//! The clock of the decision module: monotonic, with a mapping to Unix time that is fixed at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgergauge_core::Time;

/// The clock's reading at the program's start: one week, so that servers that started up to a week earlier
/// have a valid start time.
const START_TIME: Time = Time(7 * 86_400 * 1_000_000_000);

/// Age at which collected input has to be collected again before anything is sent because of it: a client's
/// disconnection has to take effect within 0.1 s.
const STALE_AFTER: Duration = Duration::from_millis(20);

/// A monotonic clock with the Unix time of its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// A clock that starts now. The monotonic and the Unix clock are read once, together: a server's start
    /// time has to map to the same reading each time it is listed, or the decision module would see a
    /// restart.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        START_TIME.after(self.start.elapsed())
    }

    /// Whether input collected at this reading may be out of date.
    pub fn is_stale(&self, reading: Time) -> bool {
        self.now().since(reading) >= STALE_AFTER
    }

    /// The Unix time that corresponds to reading 0, in nanoseconds.
    pub fn unix_at_zero(&self) -> i64 {
        let start = i64::try_from(self.unix_at_start.as_nanos()).unwrap_or(i64::MAX);
        start.saturating_sub(START_TIME.0 as i64)
    }

    /// An identifier of this run, taken from the Unix time of its start in nanoseconds. It repeats only if
    /// the system clock is set back to exactly the same value.
    pub fn run_id(&self) -> u64 {
        self.unix_at_start.as_nanos() as u64
    }

    /// Converts a Unix time in milliseconds; `None` for 0 and for times before reading 0.
    pub fn from_unix_ms(&self, ms: u64) -> Option<Time> {
        let (unix, start) = (Duration::from_millis(ms), self.unix_at_start);
        let time = match unix.checked_sub(start) {
            Some(later) => START_TIME.after(later),
            None => START_TIME.before(start - unix),
        };
        (ms > 0 && time.0 > 0).then_some(time)
    }

    /// Converts to Unix time in milliseconds; 0 for `None`.
    pub fn unix_ms(&self, at: Option<Time>) -> u64 {
        let Some(at) = at else { return 0 };
        let nanos = i128::from(self.unix_at_zero()) + i128::from(at.0);
        u64::try_from(nanos / 1_000_000).unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
