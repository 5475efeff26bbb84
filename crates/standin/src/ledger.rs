//! Counters of the stand-ins by second and server, and a checker that finds violations of the protocol by
//! brokers. No I/O.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Tolerance that the protocol adds to every time limit.
pub const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// Time after learning of a drain during which a broker may still send new parts to the draining server.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// Counters of one server in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCounts {
    /// Connections accepted.
    pub handshakes: u32,
    /// Largest number of connections open at once.
    pub max_open: u32,
    /// Connections closed on arrival, as the server was down or had too many open.
    pub refused_connections: u32,
    /// Parts received.
    pub parts: u32,
    /// Parts rejected.
    pub rejected: u32,
    /// Parts that failed or were never answered.
    pub lost: u32,
    /// Work received while the server was cold, in seconds of a warm worker.
    pub cold_work: f64,
    /// Highest load while the server was cold, as a share of the load that crashes it; above 1 it crashed.
    pub cold_load: f64,
    /// Probes received.
    pub probes: u32,
}

/// Counters of the calls for the server list in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCalls {
    /// Calls received.
    pub received: u32,
    /// Calls rejected.
    pub rejected: u32,
}

/// The rules that stand-ins, clients and the test harness check. The variants' names are written to the
/// records of runs, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A part was in flight twice at the same time.
    SecondCopy,
    /// A keyed part was executed again after its idempotency window, or a part of an unsafe class was
    /// executed again at all.
    Doubled,
    /// A part of a keyed or unsafe class was executed after a network cut had ended, although its client had
    /// been told of a failure, or got no answer, during the cut.
    LateEffect,
    /// A part was sent to a server that the broker knew to be draining.
    Drained,
    /// A cold server crashed under its load.
    ColdFell,
    /// A connection was closed in the middle of a frame.
    CutFrame,
    /// A frame was invalid, or a part was sent to a server that does not hold its shard.
    Misplaced,
    /// A request had no final answer before its deadline, or more than one.
    NoAnswer,
    /// An answer contained a value that no server returned for it, or was marked complete and was not.
    WrongAnswer,
    /// A broker exited unexpectedly or did not start.
    Crashed,
    /// A broker refused a request or a connection during an upgrade or a drain.
    Refused,
    /// The successor process of an upgrade did not report in time that it was ready.
    NotReady,
    /// A broker kept accepting clients during a drain, or did not return to service after it.
    NotDrained,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When it was seen, since the start of the run.
    pub at: Duration,
    /// The violated rule.
    pub rule: Rule,
    /// What was seen, for a reader.
    pub details: String,
    /// The two attempts, for [`Rule::SecondCopy`].
    pub second_copy: Option<SecondCopy>,
}

/// Two attempts of a part that were in flight at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondCopy {
    /// The part's id.
    pub part_id: String,
    /// The addresses from which the connections of the two attempts came.
    pub peers: [SocketAddr; 2],
}

/// A part as its call identifies it.
#[derive(Clone, Copy, Debug)]
pub struct PartRef<'a> {
    /// Its id: the query's id, a dot and the shard.
    pub id: &'a str,
    /// The shard.
    pub shard: u32,
    /// The query's idempotency key, if its class is keyed.
    pub key: Option<&'a str>,
}

/// An execution of a part of a keyed or unsafe class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The part's id.
    pub part_id: String,
    /// When it was executed.
    pub at: Duration,
}

/// An attempt of a part in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    /// The connection that carries it.
    connection: usize,
    /// When its frame was received.
    received_at: Duration,
}

/// The counters and violations of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Counters by second and server.
    pub server_counts: BTreeMap<(u64, usize), ServerCounts>,
    /// Calls for the server list by second.
    pub list_calls: BTreeMap<u64, ListCalls>,
    /// Violations, in the order in which they were seen.
    pub violations: Vec<Violation>,
    /// Number of times that a keyed part was executed again within its window, where the servers deduplicate
    /// it.
    pub reruns_in_window: u32,
    /// The executions of parts of keyed and unsafe classes.
    pub effects: Vec<Effect>,
    /// How long servers remember an idempotency key after its part was first executed.
    pub idempotency_window: Duration,
    /// The address from which each open connection came.
    peers: HashMap<usize, SocketAddr>,
    /// Each part in flight, by its id.
    in_flight: HashMap<String, InFlight>,
    /// Earlier attempts that were still in flight when a further one was received: the index of the violation
    /// by connection and part id, until their end is received.
    overlapped: HashMap<(usize, String), usize>,
    /// When each part of a keyed or unsafe class was first executed, by idempotency key or client query, and
    /// shard.
    first_executed: HashMap<(String, u32), Duration>,
    /// When a broker learned that a server drains, by broker and server.
    drain_known_since: HashMap<(usize, usize), Duration>,
}

/// The id of the query that a part belongs to.
pub fn query_id(part_id: &str) -> &str {
    part_id.rsplit_once('.').map_or(part_id, |(query, _)| query)
}

/// The index of the broker that sent a part: the harness's ids begin with `b` and that index.
pub fn broker_index(id: &str) -> Option<usize> {
    id.strip_prefix('b')?.split('-').next()?.parse().ok()
}

/// Prefix of an id's second field, `b0-uQUERY-...`, in an unsafe class. All requests of a client for the same
/// query share that field.
pub const UNSAFE_QUERY_PREFIX: &str = "u";

/// The client's query in an id, if its class is unsafe.
fn unsafe_query_of(id: &str) -> Option<&str> {
    id.split('-').nth(1)?.strip_prefix(UNSAFE_QUERY_PREFIX)
}

impl Ledger {
    /// An empty ledger for servers that remember idempotency keys for this long.
    pub fn new(idempotency_window: Duration) -> Self {
        Ledger { idempotency_window, ..Ledger::default() }
    }

    /// The counters of a server in the second of `now`.
    pub fn counts_mut(&mut self, now: Duration, server: usize) -> &mut ServerCounts {
        self.server_counts.entry((now.as_secs(), server)).or_default()
    }

    /// Records a violation.
    pub fn record_violation(&mut self, at: Duration, rule: Rule, details: String) {
        self.violations.push(Violation { at, rule, details, second_copy: None });
    }

    /// Records that a broker learned that a server drains, or that it serves again.
    pub fn set_drain_known(&mut self, now: Duration, broker: usize, server: usize, draining: bool) {
        if draining {
            self.drain_known_since.entry((broker, server)).or_insert(now);
        } else {
            self.drain_known_since.remove(&(broker, server));
        }
    }

    /// Forgets what a broker knew, as its process has ended.
    pub fn forget_broker(&mut self, broker: usize) {
        self.drain_known_since.retain(|(known_by, _), _| *known_by != broker);
    }

    /// Records that a connection from an address was accepted.
    pub fn connection_opened(&mut self, connection: usize, peer: SocketAddr) {
        self.peers.insert(connection, peer);
    }

    /// The connection on which a part is in flight.
    pub fn connection_of(&self, id: &str) -> Option<usize> {
        self.in_flight.get(id).map(|attempt| attempt.connection)
    }

    /// Records a part; `frame_started` is when the first byte of its frame was received.
    pub fn part_received(
        &mut self,
        now: Duration,
        frame_started: Duration,
        server: usize,
        connection: usize,
        part: PartRef<'_>,
    ) {
        let attempt = InFlight { connection, received_at: now };
        if let Some(other) = self.in_flight.insert(part.id.to_owned(), attempt) {
            let details = format!(
                "{} received on connection {connection} while in flight on connection {}, received there {} ms before",
                part.id,
                other.connection,
                (now - other.received_at).as_millis()
            );
            self.overlapped.insert((other.connection, part.id.to_owned()), self.violations.len());
            let second_copy =
                self.peers.get(&other.connection).zip(self.peers.get(&connection)).map(|(earlier, later)| {
                    SecondCopy { part_id: part.id.to_owned(), peers: [*earlier, *later] }
                });
            self.violations.push(Violation { at: now, rule: Rule::SecondCopy, details, second_copy });
        }
        let known_since =
            broker_index(part.id).and_then(|broker| self.drain_known_since.get(&(broker, server)));
        if let Some(known_since) = known_since
            && frame_started > *known_since + DRAIN_GRACE + TIME_LIMIT_SLACK
        {
            let delay = (frame_started - *known_since).as_millis();
            let details = format!(
                "{} sent to server {server} {delay} ms after its broker learned of the drain",
                part.id
            );
            self.record_violation(now, Rule::Drained, details);
        }
    }

    /// Records the execution of a part. A keyed one may be executed again within its window, one of an unsafe
    /// class only once.
    pub fn part_executed(&mut self, now: Duration, part: PartRef<'_>) {
        let (identity, window) = match (part.key, unsafe_query_of(part.id)) {
            (Some(key), _) => (key, self.idempotency_window + TIME_LIMIT_SLACK),
            (None, Some(query)) => (query, Duration::ZERO),
            (None, None) => return,
        };
        self.effects.push(Effect { part_id: part.id.to_owned(), at: now });
        let first = match self.first_executed.entry((identity.to_owned(), part.shard)) {
            Entry::Occupied(entry) => *entry.get(),
            Entry::Vacant(entry) => {
                entry.insert(now);
                return;
            }
        };
        if now > first + window || part.key.is_none() {
            let details = format!(
                "{} executed again {} ms after its first execution",
                part.id,
                (now - first).as_millis()
            );
            self.record_violation(now, Rule::Doubled, details);
        } else {
            self.reruns_in_window += 1;
        }
    }

    /// Records that a part on a connection was answered, or cancelled by its broker.
    pub fn part_finished(&mut self, now: Duration, connection: usize, id: &str) {
        if self.connection_of(id) == Some(connection) {
            self.in_flight.remove(id);
        }
        if let Some(violation) = self.overlapped.remove(&(connection, id.to_owned())) {
            self.describe_end(now, violation, "was answered or its cancellation received");
        }
    }

    /// Records that a connection was closed, which ends all parts in flight on it.
    pub fn connection_closed(&mut self, now: Duration, connection: usize) {
        self.peers.remove(&connection);
        self.in_flight.retain(|_, attempt| attempt.connection != connection);
        let ended: Vec<_> = self.overlapped.extract_if(|(on, _), _| *on == connection).collect();
        for (_, violation) in ended {
            self.describe_end(now, violation, "ended with its connection");
        }
    }

    /// Adds to a violation how and when the earlier attempt ended, which tells a cancellation that was
    /// received late from one that was not sent.
    fn describe_end(&mut self, now: Duration, violation: usize, how: &str) {
        if let Some(violation) = self.violations.get_mut(violation) {
            let late = now.saturating_sub(violation.at).as_millis();
            violation.details.push_str(&format!("; the earlier attempt {how} {late} ms later"));
        }
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
    fn a_part_in_flight_twice_is_a_second_copy() {
        let mut ledger = Ledger::default();
        ledger.part_received(MS, MS, 0, 1, part("b0-1.3"));
        ledger.part_finished(MS * 3, 1, "b0-1.3");
        ledger.part_received(MS * 2, MS, 1, 2, part("b0-1.3"));
        ledger.connection_closed(MS * 3, 2);
        ledger.part_received(MS * 3, MS, 1, 3, part("b0-1.3"));
        ledger.part_finished(MS * 3, 9, "b0-1.3");
        assert_eq!(rules(&ledger), []);
        ledger.part_received(MS * 4, MS, 1, 4, part("b0-1.3"));
        assert_eq!(rules(&ledger), [Rule::SecondCopy]);
    }

    #[test]
    fn a_second_copy_tells_when_the_earlier_attempt_ended() {
        let mut ledger = Ledger::default();
        ledger.part_received(MS, MS, 0, 1, part("b0-1.3"));
        ledger.part_received(MS * 60, MS * 60, 1, 2, part("b0-1.3"));
        ledger.part_finished(MS * 62, 1, "b0-1.3");
        ledger.part_finished(MS * 70, 2, "b0-1.3");
        ledger.part_received(MS * 80, MS * 80, 0, 1, part("b0-2.3"));
        ledger.part_received(MS * 90, MS * 90, 1, 2, part("b0-2.3"));
        ledger.connection_closed(MS * 95, 1);
        let details: Vec<&str> = ledger.violations.iter().map(|found| found.details.as_str()).collect();
        assert_eq!(
            details,
            [
                "b0-1.3 received on connection 2 while in flight on connection 1, received there 59 ms before; \
                 the earlier attempt was answered or its cancellation received 2 ms later",
                "b0-2.3 received on connection 2 while in flight on connection 1, received there 10 ms before; \
                 the earlier attempt ended with its connection 5 ms later",
            ]
        );
        ledger.violations.clear();
        ledger.connection_closed(MS * 99, 2);
        assert!(ledger.overlapped.is_empty(), "nothing is kept for attempts that have ended");
    }

    #[test]
    fn a_keyed_part_may_be_executed_again_only_within_its_window() {
        let mut ledger = Ledger { idempotency_window: MS * 100, ..Ledger::default() };
        for at in [0, 10, 150, 151] {
            ledger.part_executed(MS * at, part("b0-1.3"));
        }
        ledger.part_executed(MS * 500, PartRef { key: None, ..part("b0-1.3") });
        assert_eq!((rules(&ledger), ledger.reruns_in_window), (vec![Rule::Doubled], 2));
        let last = Effect { part_id: "b0-1.3".into(), at: MS * 151 };
        assert_eq!((ledger.effects.len(), ledger.effects.last()), (4, Some(&last)), "none of a safe class");
        assert_eq!(query_id("b0-1.3"), "b0-1");
    }

    #[test]
    fn an_unsafe_part_may_be_executed_only_once() {
        let mut ledger = Ledger::new(MS * 5000);
        let unkeyed = |id| PartRef { id, shard: 3, key: None };
        ledger.part_executed(MS * 10, unkeyed("b0-1-1-7.3"));
        ledger.part_executed(MS * 10, unkeyed("b0-1-1-7.3"));
        assert_eq!(rules(&ledger), [], "a part of a safe class may be executed again");
        ledger.part_executed(MS * 10, unkeyed("b0-u0a-1-7.3"));
        ledger.part_executed(MS * 10, PartRef { shard: 4, ..unkeyed("b0-u0a-1-7.4") });
        assert_eq!(rules(&ledger), []);
        ledger.part_executed(MS * 10, unkeyed("b1-u0a-2-9.3"));
        assert_eq!(rules(&ledger), [Rule::Doubled], "executed again through another broker at the same time");
    }

    #[test]
    fn a_drain_binds_only_brokers_that_know_of_it() {
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
