//! What a trace holds, in the terms of the decision module.

use std::collections::BTreeMap;

use badgergauge_core::core::{self, StepRecord};
use badgergauge_core::{Action, Event, QueryId, ServerId, Time};

/// Whose records these are: one run of one broker. Two are the same run if broker and run agree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Source {
    /// The broker's name.
    pub broker: String,
    /// New with each start.
    pub run: u64,
    /// Unix time of the zero of the broker's clock, in nanoseconds; fixed for a run.
    pub unix_at_zero: i64,
    /// Digest of the settings' text.
    pub settings_digest: Vec<u8>,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// The settings as JSON; empty where they were left out.
    pub settings: String,
    /// What the run's random numbers came from.
    pub seed: u64,
    /// Share of each class's queries that is on record; empty where all are.
    pub sample: Vec<f64>,
    /// What merging has added to the times, in nanoseconds.
    pub moved: i64,
}

impl Source {
    /// The digest of a settings' text.
    pub fn digest(settings: &str) -> Vec<u8> {
        blake3::hash(settings.as_bytes()).as_bytes().to_vec()
    }

    /// Unix time of a moment, in nanoseconds, with what merging has added.
    pub fn unix(&self, time: Time) -> i64 {
        let time = i64::try_from(time.0).unwrap_or(i64::MAX);
        time.saturating_add(self.unix_at_zero).saturating_add(self.moved)
    }

    /// Whether both are of the same run of the same broker.
    pub fn is_run(&self, other: &Source) -> bool {
        self.broker == other.broker && self.run == other.run
    }

    /// Whether every query is on record.
    pub fn is_whole(&self) -> bool {
        self.sample.iter().all(|share| *share >= 1.0)
    }

    /// The name of a class.
    pub fn class(&self, index: usize) -> &str {
        self.classes.get(index).map_or("?", String::as_str)
    }
}

/// The names of a query: the module knows it by number alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Named {
    /// The query.
    pub query: QueryId,
    /// Its external name.
    pub name: String,
    /// Its idempotency key, in a keyed class.
    pub idempotency: Option<String>,
}

/// Why a query was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// As many were open as may be.
    Full,
    /// One of its name was open.
    NameInUse,
}

/// A query that was not taken: the module never saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotTaken {
    /// Its class.
    pub class: usize,
    /// Why not.
    pub why: Why,
}

/// Steps that are missing before one, both ends included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The first that is missing.
    pub first: u64,
    /// The last.
    pub last: u64,
    /// Why.
    pub why: String,
}

/// One step of one broker: all that it was told at a moment, and all that it decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Whose: index in the trace's sources.
    pub source: u32,
    /// Its number in the run, from 1.
    pub sequence: u64,
    /// When, on the broker's clock.
    pub time: Time,
    /// What the module was told, in order.
    pub events: Vec<Event>,
    /// What it asked for, in order.
    pub actions: Vec<Action>,
    /// The names of the queries among the events, in their order.
    pub named: Vec<Named>,
    /// Versions of the lists among the events, in their order.
    pub versions: Vec<u64>,
    /// Queries that were not taken meanwhile.
    pub not_taken: Vec<NotTaken>,
    /// Steps missing before this one.
    pub gap: Option<Gap>,
    /// What the broker says of itself, such as that it stops.
    pub note: String,
}

/// Names of servers.
pub type Servers = BTreeMap<ServerId, String>;

/// The name of a server, or its number where none is known.
pub fn server_name(servers: &Servers, id: ServerId) -> String {
    servers.get(&id).cloned().unwrap_or_else(|| format!("server-{:x}", id.0))
}

/// A step as a core tells of it, as a record of the first source.
pub fn from_observed(observed: StepRecord) -> (Record, Vec<(ServerId, String)>) {
    let named = |names: core::QueryNames| Named {
        query: names.query,
        name: names.name.to_string(),
        idempotency: names.idempotency_key.map(|word| word.to_string()),
    };
    let not_taken = |(class, why): (usize, core::NotAccepted)| NotTaken {
        class,
        why: match why {
            core::NotAccepted::AtCapacity { .. } => Why::Full,
            core::NotAccepted::NameInUse => Why::NameInUse,
        },
    };
    let record = Record {
        source: 0,
        sequence: observed.sequence,
        time: observed.now,
        events: observed.events,
        actions: observed.actions,
        named: observed.query_names.into_iter().map(named).collect(),
        versions: observed.list_versions,
        not_taken: observed.not_accepted.into_iter().map(not_taken).collect(),
        gap: None,
        note: observed.note,
    };
    (record, observed.new_servers)
}
