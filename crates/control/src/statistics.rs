//! A broker's counters and gauges, and their text format on the control endpoint.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// The outcome of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Fulfilled,
    /// It was refused; a retry is safe.
    Throttled,
    /// It failed.
    Faulted,
}

/// Number of completed requests of one class, by outcome.
#[derive(Debug)]
struct ClassCounters {
    class: String,
    fulfilled: Counter,
    throttled: Counter,
    faulted: Counter,
}

/// A broker's counters and gauges. Counters start at 0 when the process starts and never decrease.
#[derive(Debug)]
pub struct Statistics {
    classes: Vec<ClassCounters>,
    relayed: Counter,
    aborted_connections: Counter,
    parts_lost_in_aborts: Counter,
    malformed_responses: Counter,
    unconfirmed_answers: Counter,
    open_requests: Gauge<u64, AtomicU64>,
    registry_entries: Gauge<u64, AtomicU64>,
    out_of_rotation: Gauge<u64, AtomicU64>,
}

impl Statistics {
    /// Statistics at zero for the classes with these names, in the order of their indexes.
    pub fn new(classes: &[String]) -> Self {
        let counters = |class: &String| ClassCounters {
            class: class.clone(),
            fulfilled: Counter::default(),
            throttled: Counter::default(),
            faulted: Counter::default(),
        };
        Statistics {
            classes: classes.iter().map(counters).collect(),
            relayed: Counter::default(),
            aborted_connections: Counter::default(),
            parts_lost_in_aborts: Counter::default(),
            malformed_responses: Counter::default(),
            unconfirmed_answers: Counter::default(),
            open_requests: Gauge::default(),
            registry_entries: Gauge::default(),
            out_of_rotation: Gauge::default(),
        }
    }

    /// Counts a completed request of the class with this index; does nothing for an unknown index.
    pub fn request_ended(&self, class: usize, outcome: Outcome) {
        let Some(counters) = self.classes.get(class) else { return };
        let counter = match outcome {
            Outcome::Fulfilled => &counters.fulfilled,
            Outcome::Throttled => &counters.throttled,
            Outcome::Faulted => &counters.faulted,
        };
        counter.inc();
    }

    /// Adds to the number of attempts that were completely written to tile servers.
    pub fn attempts_relayed(&self, attempts: u64) {
        self.relayed.inc_by(attempts);
    }

    /// Adds to the number of aborted connections to tile servers, and to that of the other parts that were in
    /// flight on them.
    pub fn connections_aborted(&self, connections: u64, lost_parts: u64) {
        self.aborted_connections.inc_by(connections);
        self.parts_lost_in_aborts.inc_by(lost_parts);
    }

    /// Adds to the number of connections to tile servers that were closed because of a malformed response, and
    /// to that of the answers discarded as their stated length may be wrong.
    pub fn responses_malformed(&self, connections: u64, unconfirmed_answers: u64) {
        self.malformed_responses.inc_by(connections);
        self.unconfirmed_answers.inc_by(unconfirmed_answers);
    }

    /// Sets the number of requests that are accepted and not yet completed.
    pub fn set_open_requests(&self, requests: usize) {
        self.open_requests.set(requests as u64);
    }

    /// Sets the number of tile servers in the registry, and of those among them that receive no regular
    /// traffic at present.
    pub fn set_servers(&self, listed: usize, avoided: usize) {
        self.registry_entries.set(listed as u64);
        self.out_of_rotation.set(avoided as u64);
    }

    /// All values, one `balancer.NAME=VALUE` per line.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a `String` can't fail.
            let _ = writeln!(text, "balancer.{name}={value}");
        };
        for counters in &self.classes {
            let class = &counters.class;
            line(&format!("operations.{class}.fulfilled"), counters.fulfilled.get());
            line(&format!("operations.{class}.throttled"), counters.throttled.get());
            line(&format!("operations.{class}.faulted"), counters.faulted.get());
        }
        line("relayed", self.relayed.get());
        line("aborted_connections", self.aborted_connections.get());
        line("parts_lost_in_aborts", self.parts_lost_in_aborts.get());
        line("malformed_responses", self.malformed_responses.get());
        line("unconfirmed_answers", self.unconfirmed_answers.get());
        line("open_requests", self.open_requests.get());
        line("registry_entries", self.registry_entries.get());
        line("out_of_rotation", self.out_of_rotation.get());
        text
    }
}
