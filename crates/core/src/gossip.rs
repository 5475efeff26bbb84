//! Exchange of attempt outcomes between brokers (gossip).
//!
//! One broker among many reaches a given server only once in several seconds, while all of them together
//! reach it many times in that period. This module defines the datagram format, the recipients and the
//! timing; it does no I/O.

use std::time::Duration;

use rand::seq::index;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::interface::{ServerId, Time, Verdict};

/// Maximum size of a datagram between brokers.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte of a datagram: identifies the format and its version.
const FORMAT_BYTE: u8 = 0xb1;
/// Encoded size of an observation: four bytes for the server id, one for class and verdict, two for the
/// duration.
const OBSERVATION_BYTES: usize = 7;
/// Unit of the encoded duration.
const DURATION_UNIT: Duration = Duration::from_micros(100);
/// Up to this many brokers, each observes enough by itself and nothing is exchanged.
const MAX_BROKERS_WITHOUT_GOSSIP: u32 = 8;
/// Share of the worth of a part that one observation may cost over all its recipients, by the configured
/// price.
const MAX_COST: f64 = 0.005;
/// Maximum number of recipients of a datagram.
const MAX_FANOUT: usize = 20;
/// An observation waits for others to share its datagram for the shortest aim divided by this.
const MAX_DELAY_DIVISOR: u32 = 20;

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Low half of the server's id.
    pub server: u32,
    /// Index of the query's class.
    pub class: usize,
    /// How the attempt ended.
    pub verdict: Verdict,
    /// Time since it was sent.
    pub took: Duration,
}

/// Returns the low half of a server's id, which identifies it in datagrams.
pub fn short_id(server: ServerId) -> u32 {
    server.0 as u32
}

/// Verdicts by their code in a datagram.
const VERDICTS: [Verdict; 6] = [
    Verdict::Served,
    Verdict::Error,
    Verdict::Rejected,
    Verdict::NoAnswer,
    Verdict::NoConnection,
    Verdict::ConnectionLost,
];

/// Decodes a datagram. Returns nothing for a datagram of another format, of excessive size or with a
/// truncated observation, and skips observations with an unknown verdict.
pub fn decode(bytes: &[u8]) -> Vec<Observation> {
    let Some((&FORMAT_BYTE, rest)) = bytes.split_first() else { return Vec::new() };
    if bytes.len() > MAX_DATAGRAM_BYTES || !rest.len().is_multiple_of(OBSERVATION_BYTES) {
        return Vec::new();
    }
    let observation = |bytes: &[u8]| {
        let &[a, b, c, d, kind, high, low] = bytes else { return None };
        let (class, verdict) = (usize::from(kind >> 4), *VERDICTS.get(usize::from(kind & 15))?);
        let took = DURATION_UNIT * u32::from(u16::from_be_bytes([high, low]));
        Some(Observation { server: u32::from_be_bytes([a, b, c, d]), class, verdict, took })
    };
    rest.chunks(OBSERVATION_BYTES).filter_map(observation).collect()
}

/// Collects a broker's observations and encodes them for other brokers.
pub struct Gossip {
    index: usize,
    brokers: usize,
    fanout: usize,
    max_delay: Duration,
    pending: Vec<u8>,
    /// When the oldest pending observation was recorded.
    pending_since: Time,
    rng: ChaCha8Rng,
}

impl Gossip {
    /// Creates the sender of the broker with this index. `price` is the cost of a datagram of the maximum
    /// size, as a fraction of the worth of a part; `aim` is the shortest aim of any class.
    ///
    /// Returns `None` if there are few enough brokers for each to observe enough by itself, if the price does
    /// not allow a single recipient, or if the index is out of range.
    pub fn new(index: usize, brokers: usize, price: f64, aim: Duration, seed: u64) -> Option<Self> {
        let affordable = MAX_COST / (price.max(0.0) * OBSERVATION_BYTES as f64 / MAX_DATAGRAM_BYTES as f64);
        let fanout = (affordable as usize).min(MAX_FANOUT).min(brokers.saturating_sub(1));
        (brokers > MAX_BROKERS_WITHOUT_GOSSIP as usize && fanout > 0 && index < brokers).then(|| Gossip {
            index,
            brokers,
            fanout,
            max_delay: aim / MAX_DELAY_DIVISOR,
            pending: Vec::new(),
            pending_since: Time(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
        })
    }

    /// Records how an attempt ended. Ignores verdicts and classes that the format cannot express.
    pub fn record(&mut self, now: Time, observation: Observation) {
        let Some(verdict) = VERDICTS.iter().position(|v| *v == observation.verdict) else { return };
        let class = u8::try_from(observation.class).ok().filter(|c| *c < 16);
        let Some(kind) = class.map(|c| (c << 4) | verdict as u8) else { return };
        if self.pending.is_empty() {
            self.pending_since = now;
            self.pending.push(FORMAT_BYTE);
        }
        let took =
            (observation.took.as_micros() / DURATION_UNIT.as_micros()).min(u128::from(u16::MAX)) as u16;
        self.pending.extend(observation.server.to_be_bytes());
        self.pending.push(kind);
        self.pending.extend(took.to_be_bytes());
    }

    /// Returns when the pending observations must be sent at the latest.
    pub fn due(&self) -> Option<Time> {
        (!self.pending.is_empty()).then(|| self.pending_since.after(self.max_delay))
    }

    /// Returns the datagrams that are due, each with the indices of its randomly chosen recipients.
    pub fn take_due(&mut self, now: Time) -> Vec<(Vec<u8>, Vec<usize>)> {
        let full = 1 + (MAX_DATAGRAM_BYTES - 1) / OBSERVATION_BYTES * OBSERVATION_BYTES;
        let mut datagrams = Vec::new();
        while self.pending.len() >= full || self.due().is_some_and(|due| due <= now) {
            let rest = self.pending.split_off(self.pending.len().min(full));
            let datagram = std::mem::replace(&mut self.pending, rest);
            if !self.pending.is_empty() {
                self.pending.insert(0, FORMAT_BYTE);
            }
            // Sampled from the indices of the other brokers, which skip this broker's own.
            let others = index::sample(&mut self.rng, self.brokers - 1, self.fanout);
            let recipients = others.into_iter().map(|n| if n >= self.index { n + 1 } else { n }).collect();
            datagrams.push((datagram, recipients));
        }
        datagrams
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AIM: Duration = Duration::from_millis(500);

    fn observation(server: u32, verdict: Verdict) -> Observation {
        Observation { server, class: 2, verdict, took: Duration::from_millis(u64::from(server % 5000)) }
    }

    // Guards against a fan-out that costs more than the price allows, gossip among too few brokers, and
    // extreme prices.
    #[test]
    fn fanout_follows_price_and_number_of_brokers() {
        let fanout = |brokers, price| Gossip::new(0, brokers, price, AIM, 7).map(|gossip| gossip.fanout);
        assert_eq!([0, 1, 3, 8].map(|brokers| fanout(brokers, 0.01)), [None; 4]);
        assert_eq!((fanout(100, 0.01), fanout(100, 0.0), fanout(9, 0.0)), (Some(18), Some(20), Some(8)));
        assert_eq!(
            (fanout(100, 1.0), fanout(1000, f64::INFINITY), fanout(100, -1.0)),
            (None, None, Some(20))
        );
        assert!(Gossip::new(100, 100, 0.01, AIM, 7).is_none(), "index out of range");
    }

    // Guards against datagrams over the maximum size, lost observations, and a broker among its own
    // recipients.
    #[test]
    fn all_observations_are_sent_to_distinct_others_in_datagrams_of_legal_size() {
        let mut gossip = Gossip::new(3, 100, 0.01, AIM, 7).expect("many brokers");
        let all: Vec<Observation> =
            (0..100).map(|n| observation(n * 40, VERDICTS[n as usize % VERDICTS.len()])).collect();
        all.iter().for_each(|observation| gossip.record(Time(0), *observation));
        gossip.record(Time(0), observation(1, Verdict::Cancelled));
        gossip.record(Time(0), Observation { class: 16, ..observation(1, Verdict::Served) });
        let mut received = Vec::new();
        for (bytes, recipients) in gossip.take_due(Time(0).after(AIM)) {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let mut distinct = recipients.clone();
            distinct.sort_unstable();
            distinct.dedup();
            assert!(
                distinct.len() == 18 && !distinct.contains(&3) && distinct.iter().all(|n| *n < 100),
                "{distinct:?}"
            );
            received.extend(decode(&bytes));
        }
        assert_eq!(received, all);
        assert_eq!((gossip.due(), gossip.take_due(Time(0).after(AIM)).len()), (None, 0));
    }

    // A datagram is due when it is full, or a twentieth of the aim after its first observation.
    #[test]
    fn partial_datagrams_wait_for_the_maximum_delay() {
        let mut gossip = Gossip::new(3, 100, 0.01, AIM, 7).expect("many brokers");
        gossip.record(Time(0), observation(1, Verdict::Served));
        assert_eq!(gossip.due(), Some(Time(0).after(AIM / MAX_DELAY_DIVISOR)));
        assert!(gossip.take_due(Time(0).after(AIM / MAX_DELAY_DIVISOR / 2)).is_empty());
        (0..36).for_each(|n| gossip.record(Time(0), observation(n, Verdict::Error)));
        assert_eq!(gossip.take_due(Time(0)).len(), 1, "a full datagram");
        assert_eq!(gossip.take_due(Time(0).after(AIM / MAX_DELAY_DIVISOR)).len(), 1, "the rest");
    }

    #[test]
    fn malformed_datagrams_are_ignored() {
        let mut gossip = Gossip::new(3, 100, 0.01, AIM, 7).expect("many brokers");
        gossip.record(Time(0), observation(1, Verdict::Served));
        let (valid, _) = gossip.take_due(Time(0).after(AIM)).remove(0);
        assert_eq!(decode(&valid).len(), 1);
        for end in 0..valid.len() {
            assert!(decode(&valid[..end]).is_empty(), "truncated at {end}");
        }
        let long = [&[FORMAT_BYTE][..], &[0; 37 * OBSERVATION_BYTES]].concat();
        for malformed in [&[0xff][..], &[FORMAT_BYTE, 0, 0, 0, 1, 0x0f, 0, 0], &long] {
            assert!(decode(malformed).is_empty(), "{malformed:?}");
        }
    }
}
