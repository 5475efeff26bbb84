//! How long connections to tile servers take to come up, and how long one is waited for.

use std::time::Duration;

/// A connection may be given up after this part of the shortest aim, where others come up sooner.
const SETUP_PART: u32 = 12;
/// Weights of the newest time in the mean and in the mean deviation, and how many deviations above the mean
/// are waited for: those of TCP's retransmission timer (RFC 6298).
const SETUP_WEIGHTS: [f64; 2] = [0.125, 0.25];
const SETUP_DEVIATIONS: f64 = 4.0;

/// How long connections take to come up of late. Guards against machines that are gone without a word: a
/// part that waits for a connection to one would else lose the whole connect time-out, and each of many
/// brokers loses that for each such machine. Costs a connection that a standing server would have accepted
/// later.
pub(super) struct ConnectTime {
    least: Duration,
    most: Duration,
    /// Mean and mean deviation, in seconds.
    seen: Option<[f64; 2]>,
}

impl ConnectTime {
    /// For a site's shortest aim; `most` is the settings' own limit.
    pub(super) fn for_aim(aim: Duration, most: Duration) -> Self {
        ConnectTime::new(aim / SETUP_PART, most)
    }

    pub(super) fn new(least: Duration, most: Duration) -> Self {
        ConnectTime { least, most, seen: None }
    }

    pub(super) fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.seen = Some(match self.seen {
            None => [took, took / 2.0],
            Some([mean, deviation]) => [
                mean + (took - mean) * SETUP_WEIGHTS[0],
                deviation + ((took - mean).abs() - deviation) * SETUP_WEIGHTS[1],
            ],
        });
    }

    /// How long one takes, in seconds; nothing as long as none has come up.
    pub(super) fn mean(&self) -> f64 {
        self.seen.map_or(0.0, |[mean, _]| mean)
    }

    /// Until when a new one is waited for; the whole time-out as long as none has come up.
    pub(super) fn limit(&self) -> Duration {
        let Some([mean, deviation]) = self.seen else { return self.most };
        Duration::from_secs_f64(mean + SETUP_DEVIATIONS * deviation).max(self.least).min(self.most)
    }
}
