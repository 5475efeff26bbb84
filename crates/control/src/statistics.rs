//! Counters and gauges of a broker, and their form on the control endpoint.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Fulfilled,
    /// It was refused: trying again is harmless.
    Throttled,
    /// It failed.
    Faulted,
}

/// Requests of one class that have ended, by outcome.
#[derive(Debug)]
struct ClassCounters {
    class: String,
    fulfilled: Counter,
    throttled: Counter,
    faulted: Counter,
}

/// What a broker counts over its process's life. All counters start at 0 and never fall.
#[derive(Debug)]
pub struct Statistics {
    classes: Vec<ClassCounters>,
    relayed: Counter,
    open_requests: Gauge<u64, AtomicU64>,
    registry_entries: Gauge<u64, AtomicU64>,
    out_of_rotation: Gauge<u64, AtomicU64>,
}

impl Statistics {
    /// Counters at 0 for classes of these names, in this order.
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
            open_requests: Gauge::default(),
            registry_entries: Gauge::default(),
            out_of_rotation: Gauge::default(),
        }
    }

    /// Counts a request of a class, by the class's index, that has ended.
    pub fn request_ended(&self, class: usize, outcome: Outcome) {
        let Some(counters) = self.classes.get(class) else { return };
        let counter = match outcome {
            Outcome::Fulfilled => &counters.fulfilled,
            Outcome::Throttled => &counters.throttled,
            Outcome::Faulted => &counters.faulted,
        };
        counter.inc();
    }

    /// Counts attempts that were written whole to tile servers.
    pub fn attempts_relayed(&self, attempts: u64) {
        self.relayed.inc_by(attempts);
    }

    /// Sets the number of requests that were taken and have not ended.
    pub fn set_open_requests(&self, requests: usize) {
        self.open_requests.set(requests as u64);
    }

    /// Sets the number of tile servers listed, and of those among them that get no ordinary work now.
    pub fn set_servers(&self, listed: usize, avoided: usize) {
        self.registry_entries.set(listed as u64);
        self.out_of_rotation.set(avoided as u64);
    }

    /// All figures, one `balancer.NAME=VALUE` a line.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a string never fails.
            let _ = writeln!(text, "balancer.{name}={value}");
        };
        for counters in &self.classes {
            let class = &counters.class;
            line(&format!("operations.{class}.fulfilled"), counters.fulfilled.get());
            line(&format!("operations.{class}.throttled"), counters.throttled.get());
            line(&format!("operations.{class}.faulted"), counters.faulted.get());
        }
        line("relayed", self.relayed.get());
        line("open_requests", self.open_requests.get());
        line("registry_entries", self.registry_entries.get());
        line("out_of_rotation", self.out_of_rotation.get());
        text
    }
}
