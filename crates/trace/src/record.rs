//! The contents of a trace as Rust types: the runs that it covers and one record per step.

use std::collections::BTreeMap;

use badgergauge_core::core::{self, StepRecord};
use badgergauge_core::{Action, Event, QueryId, ServerId, Time};

/// One run of one broker, and what is needed to interpret its records. The pair of `broker` and `run`
/// identifies it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Source {
    /// The broker's name.
    pub broker: String,
    /// Identifier of the run; each start of the broker gets a new one.
    pub run: u64,
    /// Unix time of the zero of the broker's clock, in nanoseconds; constant during a run.
    pub unix_at_zero: i64,
    /// BLAKE3 digest of the settings' text.
    pub settings_digest: Vec<u8>,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// The settings as JSON; empty if they were left out.
    pub settings: String,
    /// Seed of the run's random number generator.
    pub seed: u64,
    /// Share of each class's queries that is recorded, by class index; empty if all are.
    pub sample: Vec<f64>,
    /// Clock correction in nanoseconds that merging has added to this source's times.
    pub moved: i64,
}

impl Source {
    /// Returns the BLAKE3 digest of a settings text.
    pub fn digest(settings: &str) -> Vec<u8> {
        blake3::hash(settings.as_bytes()).as_bytes().to_vec()
    }

    /// Converts a time on the broker's clock to Unix time in nanoseconds, including the clock correction
    /// from merging.
    pub fn unix_nanos(&self, time: Time) -> i64 {
        let time = i64::try_from(time.0).unwrap_or(i64::MAX);
        time.saturating_add(self.unix_at_zero).saturating_add(self.moved)
    }

    /// Returns whether both describe the same run of the same broker.
    pub fn is_same_run(&self, other: &Source) -> bool {
        self.broker == other.broker && self.run == other.run
    }

    /// Returns whether every query is recorded, that is, no class is sampled.
    pub fn is_unsampled(&self) -> bool {
        self.sample.iter().all(|share| *share >= 1.0)
    }

    /// Returns the name of a class, or `?` if the index is unknown.
    pub fn class_name(&self, index: usize) -> &str {
        self.classes.get(index).map_or("?", String::as_str)
    }
}

/// The external names of a query. The decision module identifies queries by number only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryNames {
    /// The query.
    pub query: QueryId,
    /// Its external name.
    pub name: String,
    /// Its idempotency key, if its class is keyed.
    pub idempotency_key: Option<String>,
}

/// Why a query was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAcceptedReason {
    /// The limit of open queries was reached.
    AtCapacity,
    /// A query of the same name was open, or may have run.
    NameInUse,
}

/// A query that the broker did not accept; the decision module never received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAccepted {
    /// Index of its class.
    pub class: usize,
    /// Why it was not accepted.
    pub reason: NotAcceptedReason,
}

/// A range of steps that are missing before a record, both ends included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Sequence number of the first missing step.
    pub first: u64,
    /// Sequence number of the last missing step.
    pub last: u64,
    /// Why the steps are missing.
    pub reason: String,
}

/// One step of one broker: the events that the decision module received at one time, and the actions that it
/// returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Index of the run in the header's sources.
    pub source: u32,
    /// Sequence number of the step in its run, from 1.
    pub sequence: u64,
    /// Time of the step on the broker's clock.
    pub time: Time,
    /// Events that the module received, in order.
    pub events: Vec<Event>,
    /// Actions that it returned, in order.
    pub actions: Vec<Action>,
    /// Names of the queries among the events, in the same order.
    pub query_names: Vec<QueryNames>,
    /// Versions of the server lists among the events, in the same order.
    pub list_versions: Vec<u64>,
    /// Queries that were not accepted since the previous step.
    pub not_accepted: Vec<NotAccepted>,
    /// Steps that are missing before this one.
    pub gap: Option<Gap>,
    /// Note by the broker about itself, for example that it is stopping.
    pub note: String,
}

/// Server names by id.
pub type ServerNames = BTreeMap<ServerId, String>;

/// Returns the name of a server, or a name made from its id if none is known.
pub fn server_name(servers: &ServerNames, id: ServerId) -> String {
    servers.get(&id).cloned().unwrap_or_else(|| format!("server-{:x}", id.0))
}

/// Converts a step observed in the core to a record of the first source, with the server names that it
/// brought.
pub fn from_step_record(observed: StepRecord) -> (Record, Vec<(ServerId, String)>) {
    let query_names = |names: core::QueryNames| QueryNames {
        query: names.query,
        name: names.name.to_string(),
        idempotency_key: names.idempotency_key.map(|key| key.to_string()),
    };
    let not_accepted = |(class, reason): (usize, core::NotAccepted)| NotAccepted {
        class,
        reason: match reason {
            core::NotAccepted::AtCapacity { .. } => NotAcceptedReason::AtCapacity,
            core::NotAccepted::NameInUse => NotAcceptedReason::NameInUse,
        },
    };
    let record = Record {
        source: 0,
        sequence: observed.sequence,
        time: observed.now,
        events: observed.events,
        actions: observed.actions,
        query_names: observed.query_names.into_iter().map(query_names).collect(),
        list_versions: observed.list_versions,
        not_accepted: observed.not_accepted.into_iter().map(not_accepted).collect(),
        gap: None,
        note: observed.note,
    };
    (record, observed.new_servers)
}
