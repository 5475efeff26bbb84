//! What the stand-ins saw, by second and server, and the rules of the protocol that they saw broken. No I/O.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The protocol's slack: every time limit is so much longer.
pub const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// Nothing new may go to a draining server so long after the broker was told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// Counts of one server in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCounts {
    /// Connections that came up.
    pub handshakes: u32,
    /// Connections that were held at the most.
    pub max_open: u32,
    /// Connections that were closed at once, as too many were held.
    pub refused_connections: u32,
    /// Parts that came.
    pub parts: u32,
    /// Parts that were turned away.
    pub rejected: u32,
    /// Parts that failed or were never answered.
    pub lost: u32,
    /// Work that came to it while it was cold, in seconds of a warm worker.
    pub cold_work: f64,
    /// The highest share of its joint limit that a cold one was under; over 1 it fell.
    pub cold_load: f64,
    /// Probes.
    pub probes: u32,
}

/// ListCalls for the list in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCalls {
    /// ListCalls that came.
    pub received: u32,
    /// ListCalls that were turned away.
    pub rejected: u32,
}

/// The rules that stand-ins and clients can see broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A part was out twice at once.
    SecondCopy,
    /// A keyed part ran again after its window, or a part of an unsafe class at all.
    Doubled,
    /// A part went to a server that the broker knew was draining.
    Drained,
    /// A cold server fell over.
    ColdFell,
    /// A frame was begun and never ended.
    CutFrame,
    /// A frame made no sense, or a part went to a server that does not hold its shard.
    Misplaced,
    /// A request had no final answer in its time, or more than one.
    NoAnswer,
    /// An answer held what no server made for it, or was marked whole and was not.
    WrongAnswer,
    /// A broker ended by itself or did not start.
    Crashed,
    /// A broker that was upgraded or drained refused a request, or a connection.
    Refused,
    /// The process that was to take over in an upgrade did not say in time that it takes clients.
    NotReady,
    /// A broker that was told to drain went on taking clients, or did not come back after its drain.
    NotDrained,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When.
    pub at: Duration,
    /// Which.
    pub rule: Rule,
    /// What was seen.
    pub details: String,
}

/// A part as its call named it.
#[derive(Clone, Copy, Debug)]
pub struct PartRef<'a> {
    /// Its id: the query's, a dot, the shard.
    pub id: &'a str,
    /// The shard.
    pub shard: u32,
    /// The query's idempotency key, in a keyed class.
    pub key: Option<&'a str>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Counts by second and server.
    pub server_counts: BTreeMap<(u64, usize), ServerCounts>,
    /// ListCalls for the list by second.
    pub list_calls: BTreeMap<u64, ListCalls>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Keyed parts run again inside their window, which the servers make harmless.
    pub reruns_in_window: u32,
    /// How long a key is known after its part ran first.
    pub idempotency_window: Duration,
    /// Parts that are out, by id: on which connection.
    in_flight: HashMap<String, usize>,
    /// When each part with an effect first ran, by its key or its client's query.
    first_executed: HashMap<(String, u32), Duration>,
    /// When each broker was told that a server drains.
    drain_known_since: HashMap<(usize, usize), Duration>,
}

/// The broker that an id names: ids of the harness begin with `b` and its number.
pub fn broker_index(id: &str) -> Option<usize> {
    id.strip_prefix('b')?.split('-').next()?.parse().ok()
}

/// The start of the word in an id that names the client's query, where its class is unsafe: all of a client's requests for
/// that query share it.
pub const UNSAFE_QUERY_PREFIX: &str = "u";

/// The query of an unsafe class that an id names: `b0-uQUERY-...`.
fn unsafe_query_of(id: &str) -> Option<&str> {
    id.split('-').nth(1)?.strip_prefix(UNSAFE_QUERY_PREFIX)
}

impl Ledger {
    /// Nothing seen yet, where a key is known for so long.
    pub fn new(idempotency_window: Duration) -> Self {
        Ledger { idempotency_window, ..Ledger::default() }
    }

    /// The counts of a server in the second of `now`.
    pub fn counts_mut(&mut self, now: Duration, server: usize) -> &mut ServerCounts {
        self.server_counts.entry((now.as_secs(), server)).or_default()
    }

    /// Notes a broken rule.
    pub fn record_violation(&mut self, at: Duration, rule: Rule, details: String) {
        self.violations.push(Violation { at, rule, details });
    }

    /// A broker was told that a server drains, or that it serves again.
    pub fn set_drain_known(&mut self, now: Duration, broker: usize, server: usize, draining: bool) {
        if draining {
            self.drain_known_since.entry((broker, server)).or_insert(now);
        } else {
            self.drain_known_since.remove(&(broker, server));
        }
    }

    /// A broker's process is gone, and what it was told with it.
    pub fn forget_broker(&mut self, broker: usize) {
        self.drain_known_since.retain(|(told, _), _| *told != broker);
    }

    /// The connection on which a part is out.
    pub fn connection_of(&self, id: &str) -> Option<usize> {
        self.in_flight.get(id).copied()
    }

    /// A part came whole; `begun` is when its frame's first byte did.
    pub fn part_received(
        &mut self,
        now: Duration,
        begun: Duration,
        server: usize,
        connection: usize,
        part: PartRef<'_>,
    ) {
        if let Some(other) = self.in_flight.insert(part.id.to_owned(), connection) {
            let details = format!("{} came on connection {connection} while out on {other}", part.id);
            self.record_violation(now, Rule::SecondCopy, details);
        }
        let told = broker_index(part.id).and_then(|broker| self.drain_known_since.get(&(broker, server)));
        if let Some(told) = told
            && begun > *told + DRAIN_GRACE + TIME_LIMIT_SLACK
        {
            let late = (begun - *told).as_millis();
            let details = format!("{} went to server {server} {late} ms after word of its drain", part.id);
            self.record_violation(now, Rule::Drained, details);
        }
    }

    /// A part is run; if it is keyed, or of an unsafe class, its effect takes hold. An unsafe one may run but once.
    pub fn part_executed(&mut self, now: Duration, part: PartRef<'_>) {
        let (effect, window) = match (part.key, unsafe_query_of(part.id)) {
            (Some(key), _) => (key, self.idempotency_window + TIME_LIMIT_SLACK),
            (None, Some(query)) => (query, Duration::ZERO),
            (None, None) => return,
        };
        let first = match self.first_executed.entry((effect.to_owned(), part.shard)) {
            Entry::Occupied(ran) => *ran.get(),
            Entry::Vacant(place) => {
                place.insert(now);
                return;
            }
        };
        if now > first + window || part.key.is_none() {
            let details =
                format!("{} ran again {} ms after it first did", part.id, (now - first).as_millis());
            self.record_violation(now, Rule::Doubled, details);
        } else {
            self.reruns_in_window += 1;
        }
    }

    /// A part on a connection is over: answered, or given up by its broker.
    pub fn part_finished(&mut self, connection: usize, id: &str) {
        if self.in_flight.get(id) == Some(&connection) {
            self.in_flight.remove(id);
        }
    }

    /// A connection has ended, and all that was out on it.
    pub fn connection_closed(&mut self, connection: usize) {
        self.in_flight.retain(|_, on| *on != connection);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn part(id: &str) -> PartRef<'_> {
        PartRef { id, shard: 3, key: Some("k") }
    }

    fn rules(ledger: &Ledger) -> Vec<Rule> {
        ledger.violations.iter().map(|violation| violation.rule).collect()
    }

    #[test]
    fn a_part_out_twice_is_a_second_copy_until_it_is_over() {
        let mut ledger = Ledger::default();
        ledger.part_received(MS, MS, 0, 1, part("b0-1.3"));
        ledger.part_finished(1, "b0-1.3");
        ledger.part_received(MS * 2, MS, 1, 2, part("b0-1.3"));
        ledger.connection_closed(2);
        ledger.part_received(MS * 3, MS, 1, 3, part("b0-1.3"));
        ledger.part_finished(9, "b0-1.3");
        assert_eq!(rules(&ledger), []);
        ledger.part_received(MS * 4, MS, 1, 4, part("b0-1.3"));
        assert_eq!(rules(&ledger), [Rule::SecondCopy]);
    }

    #[test]
    fn a_keyed_part_may_run_again_inside_its_window_alone() {
        let mut ledger = Ledger { idempotency_window: MS * 100, ..Ledger::default() };
        for at in [0, 10, 150, 151] {
            ledger.part_executed(MS * at, part("b0-1.3"));
        }
        ledger.part_executed(MS * 500, PartRef { key: None, ..part("b0-1.3") });
        assert_eq!((rules(&ledger), ledger.reruns_in_window), (vec![Rule::Doubled], 2));
    }

    #[test]
    fn an_unsafe_part_may_run_but_once() {
        let mut ledger = Ledger::new(MS * 5000);
        let named = |id| PartRef { id, shard: 3, key: None };
        ledger.part_executed(MS * 10, named("b0-1-1-7.3"));
        ledger.part_executed(MS * 10, named("b0-1-1-7.3"));
        assert_eq!(rules(&ledger), [], "a safe one may run again");
        ledger.part_executed(MS * 10, named("b0-u0a-1-7.3"));
        ledger.part_executed(MS * 10, PartRef { shard: 4, ..named("b0-u0a-1-7.4") });
        assert_eq!(rules(&ledger), []);
        ledger.part_executed(MS * 10, named("b1-u0a-2-9.3"));
        assert_eq!(rules(&ledger), [Rule::Doubled], "at another broker, in the same moment");
    }

    #[test]
    fn a_drain_binds_the_brokers_that_were_told() {
        let mut ledger = Ledger::default();
        ledger.set_drain_known(MS * 1000, 4, 0, true);
        ledger.set_drain_known(MS * 1200, 4, 0, true);
        ledger.part_received(MS * 1400, MS * 1300, 0, 1, part("b4-1.3"));
        ledger.part_received(MS * 1400, MS * 1301, 0, 1, part("b5-1.3"));
        ledger.part_received(MS * 1400, MS * 1301, 1, 1, part("b4-2.3"));
        assert_eq!(rules(&ledger), []);
        ledger.part_received(MS * 1400, MS * 1301, 0, 1, part("b4-3.3"));
        assert_eq!(rules(&ledger), [Rule::Drained]);
        ledger.forget_broker(4);
        ledger.part_received(MS * 1500, MS * 1500, 0, 1, part("b4-4.3"));
        assert_eq!(rules(&ledger).len(), 1);
    }
}
