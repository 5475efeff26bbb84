//! A timer wheel with a resolution of one millisecond for all timers of the broker.

use std::time::Duration;

use badgergauge_core::Time;

/// Length of a tick. A timer expires at the first tick at or after its time, so never early.
const TICK: Duration = Duration::from_millis(1);
/// Slots of the wheel, one per tick of a revolution.
const SLOTS: u64 = 1024;

/// Timers by the tick at which they expire; a slot holds the timers of all revolutions.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The first tick that has not been processed.
    current: u64,
    /// Number of pending timers.
    len: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel that starts at `now`.
    pub fn new(now: Time) -> Self {
        let mut slots = Vec::new();
        slots.resize_with(SLOTS as usize, Vec::new);
        TimerWheel { slots, current: now.0 / TICK.as_nanos() as u64, len: 0 }
    }

    /// Sets a timer; one in the past expires at the next call of [`TimerWheel::expire`].
    pub fn arm(&mut self, at: Time, event: T) {
        let tick = at.0.div_ceil(TICK.as_nanos() as u64).max(self.current);
        self.slots[(tick % SLOTS) as usize].push((tick, event));
        self.len += 1;
    }

    /// Moves the expired timers to `due`, in the order of their ticks.
    pub fn expire(&mut self, now: Time, due: &mut Vec<T>) {
        let last = now.0 / TICK.as_nanos() as u64;
        if last < self.current {
            return;
        }
        // After a long sleep one revolution visits every slot.
        let mut expired: Vec<(u64, T)> = Vec::new();
        for tick in self.current..=last.min(self.current + SLOTS - 1) {
            let slot = &mut self.slots[(tick % SLOTS) as usize];
            expired.extend(slot.extract_if(.., |(tick, _)| *tick <= last));
        }
        self.current = last + 1;
        self.len -= expired.len();
        expired.sort_by_key(|(tick, _)| *tick);
        due.extend(expired.into_iter().map(|(_, event)| event));
    }

    /// When to call [`TimerWheel::expire`] next: at the earliest timer, or at the end of the revolution if
    /// that is sooner; `None` without timers.
    pub fn next(&self) -> Option<Time> {
        if self.len == 0 {
            return None;
        }
        let has_timer = |tick: &u64| self.slots[(tick % SLOTS) as usize].iter().any(|(at, _)| at == tick);
        let tick = (self.current..self.current + SLOTS).find(has_timer).unwrap_or(self.current + SLOTS);
        Some(Time(tick * TICK.as_nanos() as u64))
    }
}

#[cfg(test)]
mod tests;
