//! Which of the calls to discovery that are not answered yet stay open beside the latest one. Without I/O.
//!
//! A slow discovery answers a call after the broker has made the next one. If the earlier call is closed then, its
//! answer is lost, and a discovery that always takes longer than a call's timeout is never heard. So an earlier call
//! stays open. As it may also be one that is never answered (its connection was cut without notice), no call stays
//! in the way of a later one: of the calls older than [`CallAges::young`] one is kept for each doubling of that
//! age. A discovery that takes any time up to the limit is heard after about twice that time at the latest, with
//! few connections.

use std::time::Duration;

use badgergauge_core::interface::Time;

/// Maximum number of open calls, including the latest one.
pub const MAX_OPEN_CALLS: usize = 6;
/// Number of doublings of [`CallAges::young`] over which calls are kept.
const AGE_CLASSES: u32 = 4;

/// The ages up to which calls stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallAges {
    /// All calls up to this age stay open.
    pub young: Duration,
}

impl CallAges {
    /// The age class of a call: 0 if it is young, and one more for each doubling.
    fn class(self, age: Duration) -> u32 {
        let mut limit = self.young;
        let mut class = 0;
        while age >= limit && class <= AGE_CLASSES {
            limit = limit.saturating_mul(2);
            class += 1;
        }
        class
    }

    /// Chooses the calls to close, so that there is room for another one. `calls` are the open calls with the time at
    /// which each was made, in any order.
    pub fn calls_to_close<K: Copy + PartialEq>(self, calls: &[(K, Time)], now: Time) -> Vec<K> {
        let mut oldest_first = calls.to_vec();
        oldest_first.sort_by_key(|(_, started)| *started);
        let mut kept: Vec<u32> = Vec::new();
        let mut closed = Vec::new();
        for (call, started) in oldest_first {
            let class = self.class(now.since(started));
            let has_older = class > 0 && kept.contains(&class);
            if class > AGE_CLASSES || has_older || kept.len() + 1 >= MAX_OPEN_CALLS {
                closed.push(call);
            } else {
                kept.push(class);
            }
        }
        closed
    }
}

#[cfg(test)]
mod tests;
