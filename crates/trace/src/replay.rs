//! Replays a recorded run and compares the decisions of this build with the recorded ones. No I/O.

use std::fmt;

use badgergauge_core::settings::SiteSettings;
use badgergauge_core::{Action, Choice, Ending, Event, Router, ServerId, Time};

use crate::record::{Record, Source};
use crate::track::{QueryTracker, query_of_action};

/// Why a run, or the rest of it, cannot be replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unverifiable {
    /// The trace has no settings, or this build does not accept them.
    Settings(String),
    /// The settings do not match the recorded digest.
    Digest,
    /// Route keys were replaced by masking, and the choice of the home replica depends on them.
    Masked,
    /// Only a sample of the queries was recorded.
    Sampled,
    /// Steps are missing: the first and the last missing sequence number.
    Missing(u64, u64),
}

impl fmt::Display for Unverifiable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unverifiable::Settings(fault) => write!(f, "its settings cannot be used: {fault}"),
            Unverifiable::Digest => f.write_str("its settings do not match the recorded settings digest"),
            Unverifiable::Masked => {
                f.write_str("its route keys are masked, and the choice of the home replica depends on them")
            }
            Unverifiable::Sampled => f.write_str("only a sample of the queries was recorded"),
            Unverifiable::Missing(first, last) => write!(f, "steps {first} to {last} are missing"),
        }
    }
}

impl std::error::Error for Unverifiable {}

/// The first action in which this build differs from the recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Sequence number of the step.
    pub sequence: u64,
    /// Time of the step on the broker's clock.
    pub time: Time,
    /// Index of the action in the step.
    pub index: usize,
    /// The recorded action; `None` where the recording has fewer actions.
    pub recorded: Option<Action>,
    /// The action of this build; `None` where it decides fewer actions.
    pub decided: Option<Action>,
    /// External name of the query that the action concerns, if known.
    pub query: Option<String>,
}

/// Replays the steps of one run.
pub struct Replay {
    router: Router,
    /// Sequence number of the next step.
    next: u64,
    tracker: QueryTracker,
    /// External names of open queries, by query id.
    names: std::collections::BTreeMap<u64, String>,
    actions: Vec<Action>,
    decisions: u64,
}

impl Replay {
    /// Prepares the replay of a run from its first step.
    ///
    /// # Errors
    ///
    /// When the run is masked or sampled, or its settings are unusable or do not match their digest.
    pub fn new(source: &Source, masked: bool) -> Result<Self, Unverifiable> {
        if masked {
            return Err(Unverifiable::Masked);
        }
        if !source.is_unsampled() {
            return Err(Unverifiable::Sampled);
        }
        if Source::digest(&source.settings) != source.settings_digest {
            return Err(Unverifiable::Digest);
        }
        let unusable = |fault: String| Unverifiable::Settings(fault);
        let json = serde_json::from_str(&source.settings).map_err(|error| unusable(error.to_string()))?;
        let settings = SiteSettings::read(&json).map_err(|error| unusable(error.to_string()))?;
        let router =
            Router::new(settings.router, source.seed).map_err(|error| unusable(error.to_string()))?;
        Ok(Replay {
            router,
            next: 1,
            tracker: QueryTracker::default(),
            names: std::collections::BTreeMap::new(),
            actions: Vec::new(),
            decisions: 0,
        })
    }

    /// The number of actions that were the same so far.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    /// Replays a step and returns the first difference, if any. With `reasons`, the reasons of the actions
    /// are compared too.
    ///
    /// # Errors
    ///
    /// When steps before this one are missing.
    pub fn step(&mut self, record: &Record, reasons: bool) -> Result<Option<Difference>, Unverifiable> {
        if record.sequence != self.next {
            return Err(Unverifiable::Missing(self.next, record.sequence.saturating_sub(1)));
        }
        self.next += 1;
        for event in &record.events {
            self.tracker.observe(record.time, event);
            if let Event::ClientGone(query) = event {
                self.names.remove(&query.0);
            }
        }
        self.names.extend(record.query_names.iter().map(|named| (named.query.0, named.name.clone())));
        self.actions.clear();
        // The note that a broker records when it stops is not a step of the decision module.
        if !record.events.is_empty() || !record.actions.is_empty() {
            self.router.step(record.time, &record.events, &mut self.actions);
        }
        let same =
            |a: &Action, b: &Action| if reasons { a == b } else { without_reason(a) == without_reason(b) };
        let length = record.actions.len().max(self.actions.len());
        let differs = |index: &usize| match (record.actions.get(*index), self.actions.get(*index)) {
            (Some(a), Some(b)) => !same(a, b),
            _ => true,
        };
        let Some(index) = (0..length).find(differs) else {
            self.decisions += length as u64;
            for action in &self.actions {
                if let Action::Answer { query, .. }
                | Action::Refuse { query, .. }
                | Action::Fail { query, .. } = action
                {
                    self.names.remove(&query.0);
                }
            }
            return Ok(None);
        };
        let (recorded, decided) = (record.actions.get(index).cloned(), self.actions.get(index).cloned());
        let query = recorded.iter().chain(&decided).find_map(|a| query_of_action(&self.tracker, a));
        Ok(Some(Difference {
            sequence: record.sequence,
            time: record.time,
            index,
            recorded,
            decided,
            query: query.and_then(|query| self.names.get(&query.0).cloned()),
        }))
    }
}

/// The action with its reason replaced by a fixed one, so that only what is decided is compared.
fn without_reason(action: &Action) -> Action {
    let ending = || Ending { cause: badgergauge_core::Cause::Complete, missing: Vec::new() };
    match action.clone() {
        Action::Send { part, server, timeout: time_out, .. } => {
            let why = Choice { home: ServerId(0), bypassed: None, predicted: 0.0, allowed: 0.0 };
            Action::Send { part, server, timeout: time_out, why }
        }
        Action::Cancel { part, attempt, .. } => {
            Action::Cancel { part, attempt, why: badgergauge_core::CancelReason::QueryEnded }
        }
        Action::Answer { query, complete: whole, .. } => {
            Action::Answer { query, complete: whole, why: ending() }
        }
        Action::Refuse { query, retry_after: hold_off, .. } => {
            Action::Refuse { query, retry_after: hold_off, why: ending() }
        }
        Action::Fail { query, .. } => Action::Fail { query, why: ending() },
        other => other,
    }
}
