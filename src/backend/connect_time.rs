//! Estimates how long connections to tile servers take to establish, and derives the connect timeout.

use std::time::Duration;

/// The connect timeout is never below the shortest aim divided by this, however fast connections are
/// established.
const MIN_TIMEOUT_AIM_DIVISOR: u32 = 12;
/// Weight of the newest sample in the mean, as in TCP's retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest sample in the mean deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;
/// The timeout is the mean plus this many mean deviations, as in RFC 6298.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Moving estimate of the time that connections take to establish.
///
/// It keeps the timeout short for machines that disappeared without closing their connections: otherwise a
/// part that waits for a connection to such a machine loses the full configured timeout, once per machine and
/// broker. The price is that a slow connection is sometimes abandoned although the server would have accepted
/// it later.
pub(super) struct ConnectTime {
    min_timeout: Duration,
    max_timeout: Duration,
    /// `None` until a connection has been established.
    estimate: Option<Estimate>,
}

/// Mean and mean deviation, in seconds.
#[derive(Clone, Copy)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl ConnectTime {
    /// Creates the estimate for a site's shortest aim; `max_timeout` is the configured timeout.
    pub(super) fn for_aim(aim: Duration, max_timeout: Duration) -> Self {
        ConnectTime::new(aim / MIN_TIMEOUT_AIM_DIVISOR, max_timeout)
    }

    pub(super) fn new(min_timeout: Duration, max_timeout: Duration) -> Self {
        ConnectTime { min_timeout, max_timeout, estimate: None }
    }

    /// Adds the time that a connection took to establish.
    pub(super) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => Estimate { mean: sample, deviation: sample / 2.0 },
            Some(Estimate { mean, deviation }) => Estimate {
                mean: mean + (sample - mean) * MEAN_WEIGHT,
                deviation: deviation + ((sample - mean).abs() - deviation) * DEVIATION_WEIGHT,
            },
        });
    }

    /// Mean connect time in seconds; 0 until a connection has been established.
    pub(super) fn mean(&self) -> f64 {
        self.estimate.map_or(0.0, |estimate| estimate.mean)
    }

    /// Timeout for a new connection; the configured timeout until a connection has been established.
    pub(super) fn timeout(&self) -> Duration {
        let Some(Estimate { mean, deviation }) = self.estimate else { return self.max_timeout };
        Duration::from_secs_f64(mean + TIMEOUT_DEVIATIONS * deviation)
            .max(self.min_timeout)
            .min(self.max_timeout)
    }
}
