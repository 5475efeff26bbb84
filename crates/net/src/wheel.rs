//! A wheel of coarse ticks for every timer of the broker.

use std::time::Duration;

use badgergauge_core::Time;

/// Length of a tick. Timers fall due at the tick after their moment, so never early.
const TICK: Duration = Duration::from_millis(1);
const SLOTS: u64 = 1024;

/// Timers by the tick at which they fall due; a slot holds those of all rounds.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// All before this tick have fallen due.
    current: u64,
    held: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel that starts at `now`.
    pub fn new(now: Time) -> Self {
        let mut slots = Vec::new();
        slots.resize_with(SLOTS as usize, Vec::new);
        TimerWheel { slots, current: now.0 / TICK.as_nanos() as u64, held: 0 }
    }

    /// Sets a timer.
    pub fn arm(&mut self, at: Time, what: T) {
        let tick = at.0.div_ceil(TICK.as_nanos() as u64).max(self.current);
        self.slots[(tick % SLOTS) as usize].push((tick, what));
        self.held += 1;
    }

    /// Moves the timers that are due into `due`, in the order of their ticks.
    pub fn expire(&mut self, now: Time, due: &mut Vec<T>) {
        let last = now.0 / TICK.as_nanos() as u64;
        if last < self.current {
            return;
        }
        // After a long sleep one round over the slots meets them all.
        let mut met: Vec<(u64, T)> = Vec::new();
        for tick in self.current..=last.min(self.current + SLOTS - 1) {
            let slot = &mut self.slots[(tick % SLOTS) as usize];
            met.extend(slot.extract_if(.., |(tick, _)| *tick <= last));
        }
        self.current = last + 1;
        self.held -= met.len();
        met.sort_by_key(|(tick, _)| *tick);
        due.extend(met.into_iter().map(|(_, what)| what));
    }

    /// When to look again: the next timer, or the end of the round if it lies beyond.
    pub fn next(&self) -> Option<Time> {
        if self.held == 0 {
            return None;
        }
        let due = |tick: &u64| self.slots[(tick % SLOTS) as usize].iter().any(|(at, _)| at == tick);
        let tick = (self.current..self.current + SLOTS).find(due).unwrap_or(self.current + SLOTS);
        Some(Time(tick * TICK.as_nanos() as u64))
    }
}

#[cfg(test)]
mod tests;
