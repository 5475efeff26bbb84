//! How often requests to a server have recently ended their connection.

use crate::interface::Time;

/// Half-life of the counts, in multiples of the shortest aim: the same period over which the router forgets a
/// server's failures.
pub(super) const LOSSES_HALF_LIFE_AIMS: f64 = 4.0;
/// Requests without a loss that are added to the counted ones, so that one loss among few requests weighs
/// less.
const PRIOR_REQUESTS: f64 = 4.0;

/// Decaying counts of a server's requests and of the connections lost with parts in flight.
///
/// A lost connection loses all parts in flight on it. For a server that resets connections while it handles
/// requests, or sends malformed responses, one shared connection would lose every part in flight there; the
/// expected loss computed here justifies the cost of further connections.
#[derive(Default)]
pub(super) struct ConnectionLosses {
    pub(super) requests: f64,
    pub(super) losses: f64,
    /// The time to which both counts are decayed.
    decayed_at: Time,
}

impl ConnectionLosses {
    /// Decays both counts to `now`; `half_life` is in seconds.
    pub(super) fn decay(&mut self, now: Time, half_life: f64) {
        // Most parts of a step are sent at the same reading of the clock.
        if now == self.decayed_at {
            return;
        }
        let keep = 0.5_f64.powf(now.since(self.decayed_at).as_secs_f64() / half_life);
        (self.requests, self.losses, self.decayed_at) = (self.requests * keep, self.losses * keep, now);
    }

    /// Expected cost, in parts, of sending a part on a connection with `in_flight` others. The part may be
    /// lost with each of them, and each of them with the part; a lost part costs half a part, as most are
    /// served by a retry. `in_flight` is evaluated only if connections have been lost.
    pub(super) fn expected_cost(&self, in_flight: impl FnOnce() -> usize) -> f64 {
        if self.losses == 0.0 {
            return 0.0;
        }
        self.losses / (self.requests + PRIOR_REQUESTS) * in_flight() as f64
    }
}
