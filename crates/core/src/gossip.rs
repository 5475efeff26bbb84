//! Word between brokers of how attempts ended: a broker among many meets a server once in seconds, all of them
//! together meet it many times in that. What is said, to how many, and when; no I/O.

use std::time::Duration;

use rand::seq::index;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::interface::{ServerId, Time, Verdict};

/// Longest datagram that brokers may send each other.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte: what this is, and its version.
const MARK: u8 = 0xb1;
/// Bytes of one sighting: four of the server's id, one for its class and how it ended, two for its time.
const EACH: usize = 7;
/// Unit of the time it took.
const UNIT: Duration = Duration::from_micros(100);
/// Up to so many brokers, each learns enough by itself and nothing is said.
const FEW: u32 = 8;
/// What word may cost of the result, by the settings' price ...
const SPEND: f64 = 0.005;
/// ... and how many hear each word at the most.
const MOST_HEARERS: usize = 20;
/// Word waits for more to go along for this part of the shortest aim.
const WAIT_PART: u32 = 20;

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The low half of the server's id.
    pub server: u32,
    /// The class asked.
    pub class: usize,
    /// How it ended.
    pub verdict: Verdict,
    /// How long it took.
    pub took: Duration,
}

/// The low half of a server's id, by which brokers name it to each other.
pub fn short_id(server: ServerId) -> u32 {
    server.0 as u32
}

const VERDICTS: [Verdict; 6] = [
    Verdict::Served,
    Verdict::Error,
    Verdict::Rejected,
    Verdict::NoAnswer,
    Verdict::NoConnection,
    Verdict::ConnectionLost,
];

/// Reads a datagram. What is no word, or ends within a sighting, says nothing.
pub fn decode(bytes: &[u8]) -> Vec<Observation> {
    let Some((&MARK, rest)) = bytes.split_first() else { return Vec::new() };
    if bytes.len() > MAX_DATAGRAM_BYTES || !rest.len().is_multiple_of(EACH) {
        return Vec::new();
    }
    let sighting = |bytes: &[u8]| {
        let &[a, b, c, d, kind, high, low] = bytes else { return None };
        let (class, verdict) = (usize::from(kind >> 4), *VERDICTS.get(usize::from(kind & 15))?);
        let took = UNIT * u32::from(u16::from_be_bytes([high, low]));
        Some(Observation { server: u32::from_be_bytes([a, b, c, d]), class, verdict, took })
    };
    rest.chunks(EACH).filter_map(sighting).collect()
}

/// What a broker has to say.
pub struct Gossip {
    me: usize,
    peers: usize,
    hearers: usize,
    wait: Duration,
    pending: Vec<u8>,
    since: Time,
    rng: ChaCha8Rng,
}

impl Gossip {
    /// Word of the broker `me` of `peers`; none where few brokers learn enough by themselves.
    pub fn new(me: usize, peers: usize, price: f64, aim: Duration, seed: u64) -> Option<Self> {
        let paid = SPEND / (price.max(0.0) * EACH as f64 / MAX_DATAGRAM_BYTES as f64);
        let hearers = (paid as usize).min(MOST_HEARERS).min(peers.saturating_sub(1));
        (peers > FEW as usize && hearers > 0 && me < peers).then(|| Gossip {
            me,
            peers,
            hearers,
            wait: aim / WAIT_PART,
            pending: Vec::new(),
            since: Time(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
        })
    }

    /// Takes note of how an attempt ended.
    pub fn record(&mut self, now: Time, seen: Observation) {
        let Some(verdict) = VERDICTS.iter().position(|v| *v == seen.verdict) else { return };
        let Some(kind) = u8::try_from(seen.class).ok().filter(|c| *c < 16).map(|c| (c << 4) | verdict as u8)
        else {
            return;
        };
        if self.pending.is_empty() {
            self.since = now;
            self.pending.push(MARK);
        }
        let took = (seen.took.as_micros() / UNIT.as_micros()).min(u128::from(u16::MAX)) as u16;
        self.pending.extend(seen.server.to_be_bytes());
        self.pending.push(kind);
        self.pending.extend(took.to_be_bytes());
    }

    /// When something is to be said at the latest.
    pub fn due(&self) -> Option<Time> {
        (!self.pending.is_empty()).then(|| self.since.after(self.wait))
    }

    /// Gives the datagrams that are due, each with the numbers of those who are to hear it.
    pub fn take_due(&mut self, now: Time) -> Vec<(Vec<u8>, Vec<usize>)> {
        let most = 1 + (MAX_DATAGRAM_BYTES - 1) / EACH * EACH;
        let mut said = Vec::new();
        while self.pending.len() >= most || self.due().is_some_and(|due| due <= now) {
            let rest = self.pending.split_off(self.pending.len().min(most));
            let datagram = std::mem::replace(&mut self.pending, rest);
            if !self.pending.is_empty() {
                self.pending.insert(0, MARK);
            }
            // Numbers of all but this broker.
            let others = index::sample(&mut self.rng, self.peers - 1, self.hearers);
            let hearers = others.into_iter().map(|n| if n >= self.me { n + 1 } else { n }).collect();
            said.push((datagram, hearers));
        }
        said
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AIM: Duration = Duration::from_millis(500);

    fn seen(server: u32, verdict: Verdict) -> Observation {
        Observation { server, class: 2, verdict, took: Duration::from_millis(u64::from(server % 5000)) }
    }

    // Guards the price in the settings, few brokers that learn enough by themselves, and odd settings.
    #[test]
    fn word_is_said_where_it_pays_and_to_as_many_as_it_may_cost() {
        let hearers = |peers, price| Gossip::new(0, peers, price, AIM, 7).map(|word| word.hearers);
        assert_eq!([0, 1, 3, 8].map(|peers| hearers(peers, 0.01)), [None; 4]);
        assert_eq!((hearers(100, 0.01), hearers(100, 0.0), hearers(9, 0.0)), (Some(18), Some(20), Some(8)));
        assert_eq!(
            (hearers(100, 1.0), hearers(1000, f64::INFINITY), hearers(100, -1.0)),
            (None, None, Some(20))
        );
        assert!(Gossip::new(100, 100, 0.01, AIM, 7).is_none(), "a number beyond those there are");
    }

    // Guards the limit on a datagram, past which a broker is at fault, and that nothing is lost on the way.
    #[test]
    fn what_is_said_is_heard_whole_by_others_in_datagrams_that_may_be_sent() {
        let mut word = Gossip::new(3, 100, 0.01, AIM, 7).expect("many");
        let all: Vec<Observation> =
            (0..100).map(|n| seen(n * 40, VERDICTS[n as usize % VERDICTS.len()])).collect();
        all.iter().for_each(|seen| word.record(Time(0), *seen));
        word.record(Time(0), seen(1, Verdict::Cancelled));
        word.record(Time(0), Observation { class: 16, ..seen(1, Verdict::Served) });
        let mut heard = Vec::new();
        for (bytes, hearers) in word.take_due(Time(0).after(AIM)) {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let mut once = hearers.clone();
            once.sort_unstable();
            once.dedup();
            assert!(once.len() == 18 && !once.contains(&3) && once.iter().all(|h| *h < 100), "{once:?}");
            heard.extend(decode(&bytes));
        }
        assert_eq!(heard, all);
        assert_eq!((word.due(), word.take_due(Time(0).after(AIM)).len()), (None, 0));
    }

    // Word goes out when a datagram is full, or a twentieth of the aim after its first sighting.
    #[test]
    fn little_waits_for_more_and_no_longer_than_its_time() {
        let mut word = Gossip::new(3, 100, 0.01, AIM, 7).expect("many");
        word.record(Time(0), seen(1, Verdict::Served));
        assert_eq!(word.due(), Some(Time(0).after(AIM / WAIT_PART)));
        assert!(word.take_due(Time(0).after(AIM / WAIT_PART / 2)).is_empty());
        (0..36).for_each(|n| word.record(Time(0), seen(n, Verdict::Error)));
        assert_eq!(word.take_due(Time(0)).len(), 1, "a full one");
        assert_eq!(word.take_due(Time(0).after(AIM / WAIT_PART)).len(), 1, "the rest");
    }

    #[test]
    fn spoilt_word_says_nothing() {
        let mut word = Gossip::new(3, 100, 0.01, AIM, 7).expect("many");
        word.record(Time(0), seen(1, Verdict::Served));
        let (sound, _) = word.take_due(Time(0).after(AIM)).remove(0);
        assert_eq!(decode(&sound).len(), 1);
        for end in 0..sound.len() {
            assert!(decode(&sound[..end]).is_empty(), "cut at {end}");
        }
        let long = [&[MARK][..], &[0; 37 * EACH]].concat();
        for spoilt in [&[0xff][..], &[MARK, 0, 0, 0, 1, 0x0f, 0, 0], &long] {
            assert!(decode(spoilt).is_empty(), "{spoilt:?}");
        }
    }
}
