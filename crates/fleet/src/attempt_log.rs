//! What brokers wrote to tile servers, as the fault proxy reads it: which attempts were sent and cancelled on
//! which connection, when, and whether the way there was cut. No I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use badgergauge_standin::call_part_ids;
use badgergauge_standin::ledger::{SecondCopy, TIME_LIMIT_SLACK};

/// Size of a frame's length field in bytes.
const LENGTH_FIELD_BYTES: usize = 4;

/// What a broker wrote on a connection to a tile server.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// When it was read, since the proxy's start.
    pub at: Duration,
    /// The address from which the tile server's connection comes.
    pub connection: SocketAddr,
    /// Whether the way to the tile server is cut.
    pub is_cut: bool,
    /// The bytes, or the end of the connection.
    pub event: WriteEvent<'a>,
}

/// Something that a broker did on a connection.
#[derive(Clone, Copy, Debug)]
pub enum WriteEvent<'a> {
    /// It wrote bytes.
    Bytes(&'a [u8]),
    /// It closed or reset the connection.
    Ended,
}

/// The cancellation of an attempt, by a frame or by the end of its connection.
#[derive(Clone, Copy, Debug)]
struct Cancellation {
    at: Duration,
    is_cut: bool,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent_at: Duration,
    cancellation: Option<Cancellation>,
}

#[derive(Debug, Default)]
struct Connection {
    /// Bytes that are not a complete frame yet.
    unparsed: Vec<u8>,
    /// The latest attempt of each part that was sent on it.
    attempts: HashMap<String, Attempt>,
}

/// The attempts of a run.
#[derive(Debug, Default)]
pub struct AttemptLog {
    connections: HashMap<SocketAddr, Connection>,
}

impl AttemptLog {
    /// Adds what was observed.
    pub fn observe(&mut self, observation: Observation<'_>) {
        let cancellation = Cancellation { at: observation.at, is_cut: observation.is_cut };
        let connection = self.connections.entry(observation.connection).or_default();
        match observation.event {
            WriteEvent::Bytes(bytes) => {
                connection.unparsed.extend_from_slice(bytes);
                while let Some(frame) = connection.take_frame() {
                    connection.observe_frame(&frame, cancellation);
                }
            }
            WriteEvent::Ended => {
                for attempt in connection.attempts.values_mut() {
                    attempt.cancellation.get_or_insert(cancellation);
                }
            }
        }
    }

    /// Whether two attempts of a part overlapped at their servers through no fault of the broker: it cancelled
    /// the earlier one while the way to its server was cut, and sent the later one after the time that a
    /// server has to read a cancellation.
    pub fn is_excused(&self, copy: &SecondCopy) -> bool {
        let Some([earlier, later]) = self.attempts_by_time(copy) else { return false };
        earlier.cancellation.is_some_and(|cancellation| {
            cancellation.is_cut && later.sent_at >= cancellation.at + TIME_LIMIT_SLACK
        })
    }

    /// What the broker wrote of two attempts, for a reader.
    pub fn describe(&self, copy: &SecondCopy) -> String {
        let Some([earlier, later]) = self.attempts_by_time(copy) else {
            return "the broker's writes were not observed".into();
        };
        let before = |at: Duration| later.sent_at.as_secs_f64() * 1e3 - at.as_secs_f64() * 1e3;
        let cancelled = earlier.cancellation.map_or("not cancelled".into(), |cancellation| {
            let way = if cancellation.is_cut { "into a cut" } else { "on an open way" };
            format!("cancelled {way} {:.1} ms before", before(cancellation.at))
        });
        format!("sent {:.1} ms before the later one, {cancelled}", before(earlier.sent_at))
    }

    /// The two attempts, the one that was sent first first.
    fn attempts_by_time(&self, copy: &SecondCopy) -> Option<[Attempt; 2]> {
        let [one, other] = copy
            .peers
            .each_ref()
            .map(|peer| self.connections.get(peer)?.attempts.get(&copy.part_id).copied());
        let mut attempts = [one?, other?];
        attempts.sort_by_key(|attempt| attempt.sent_at);
        Some(attempts)
    }
}

impl Connection {
    /// Removes the first complete frame, without its length, from the unparsed bytes.
    fn take_frame(&mut self) -> Option<Vec<u8>> {
        let (length, rest) = self.unparsed.split_first_chunk::<LENGTH_FIELD_BYTES>()?;
        let length = u32::from_be_bytes(*length) as usize;
        let frame = rest.get(..length)?.to_vec();
        self.unparsed.drain(..LENGTH_FIELD_BYTES + length);
        Some(frame)
    }

    fn observe_frame(&mut self, frame: &[u8], observed: Cancellation) {
        match frame.split_first() {
            Some((b'q', rest)) => {
                // The stand-in server reports a malformed call.
                for id in call_part_ids(rest).unwrap_or_default() {
                    self.attempts.insert(id, Attempt { sent_at: observed.at, cancellation: None });
                }
            }
            Some((b'c', id)) => {
                if let Some(attempt) = self.attempts.get_mut(String::from_utf8_lossy(id).as_ref()) {
                    attempt.cancellation.get_or_insert(observed);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn frame(text: &str) -> Vec<u8> {
        [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat()
    }

    /// How the first attempt is given up.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum GivenUp {
        Frame,
        End,
        Not,
    }

    /// Whether a second copy is excused: the first attempt is sent at 10 ms and given up at 100 ms, the
    /// second sent later by `wait`. `latest_first` is the order in which the servers received them.
    fn excused(given_up: GivenUp, is_cut: bool, wait: Duration, latest_first: bool) -> bool {
        let mut log = AttemptLog::default();
        let mut observe = |at, port, is_cut, event| {
            log.observe(Observation { at, connection: address(port), is_cut, event })
        };
        let call = frame("qb0-1.3 3 d=100 1\nt");
        let (cancel, cancel_other) = (frame("cb0-1.3"), frame("cb0-1.4"));
        let (head, tail) = call.split_at(7);
        observe(MS * 9, 1, false, WriteEvent::Bytes(head));
        observe(MS * 10, 1, false, WriteEvent::Bytes(tail));
        match given_up {
            GivenUp::Frame => observe(MS * 100, 1, is_cut, WriteEvent::Bytes(&cancel)),
            GivenUp::End => observe(MS * 100, 1, is_cut, WriteEvent::Ended),
            GivenUp::Not => observe(MS * 100, 1, is_cut, WriteEvent::Bytes(&cancel_other)),
        }
        observe(MS * 100 + wait, 2, false, WriteEvent::Bytes(&call));
        // What comes after the later attempt excuses nothing.
        observe(MS * 300, 1, true, WriteEvent::Ended);
        observe(MS * 300, 2, true, WriteEvent::Bytes(&cancel));
        let peers = if latest_first { [address(2), address(1)] } else { [address(1), address(2)] };
        log.is_excused(&SecondCopy { part_id: "b0-1.3".into(), peers })
    }

    #[test]
    fn only_a_cancellation_into_a_cut_excuses_a_second_copy() {
        for latest_first in [false, true] {
            for given_up in [GivenUp::Frame, GivenUp::End] {
                assert!(excused(given_up, true, TIME_LIMIT_SLACK, latest_first), "{given_up:?}");
                assert!(!excused(given_up, true, TIME_LIMIT_SLACK - MS, latest_first), "sent too early");
                assert!(!excused(given_up, false, TIME_LIMIT_SLACK, latest_first), "the way was not cut");
            }
            assert!(!excused(GivenUp::Not, true, TIME_LIMIT_SLACK, latest_first), "not cancelled");
        }
    }

    #[test]
    fn unknown_attempts_excuse_nothing() {
        let copy = SecondCopy { part_id: "b0-1.3".into(), peers: [address(1), address(2)] };
        assert!(!AttemptLog::default().is_excused(&copy));
    }
}
