//! Whether this build decides as the one that wrote a trace. No I/O.

use std::fmt;

use badgergauge_core::settings::SiteSettings;
use badgergauge_core::{Action, Choice, Ending, Event, Router, ServerId, Time};

use crate::record::{Record, Source};
use crate::track::{QueryTracker, query_of_action};

/// Why a run can't be replayed, or not from here on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unverifiable {
    /// The trace holds no settings, or none that this build takes.
    Settings(String),
    /// The settings are not those that the digest was made of.
    Digest,
    /// Keys were replaced, and the choice of the home replica hangs on them.
    Masked,
    /// Only a share of the queries is on record.
    Sampled,
    /// Steps are missing, the first and the last of them.
    Missing(u64, u64),
}

impl fmt::Display for Unverifiable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unverifiable::Settings(fault) => write!(f, "its settings can't be used: {fault}"),
            Unverifiable::Digest => f.write_str("its settings are not those that the broker ran by"),
            Unverifiable::Masked => f.write_str("its keys are masked, and the home replica hangs on them"),
            Unverifiable::Sampled => f.write_str("only a sample of the queries is on record"),
            Unverifiable::Missing(first, last) => write!(f, "steps {first} to {last} are missing"),
        }
    }
}

impl std::error::Error for Unverifiable {}

/// The first decision that this build takes otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The step.
    pub sequence: u64,
    /// When it was.
    pub time: Time,
    /// Which of its actions.
    pub index: usize,
    /// What is on record; none where there is nothing more.
    pub recorded: Option<Action>,
    /// What this build decides.
    pub decided: Option<Action>,
    /// The name of the query that it is about.
    pub query: Option<String>,
}

/// One run's decisions, made once more.
pub struct Replay {
    router: Router,
    next: u64,
    tracker: QueryTracker,
    names: std::collections::BTreeMap<u64, String>,
    actions: Vec<Action>,
    decisions: u64,
}

impl Replay {
    /// For a run from its first step on.
    ///
    /// # Errors
    ///
    /// When that can't be.
    pub fn new(source: &Source, masked: bool) -> Result<Self, Unverifiable> {
        if masked {
            return Err(Unverifiable::Masked);
        }
        if !source.is_whole() {
            return Err(Unverifiable::Sampled);
        }
        if Source::digest(&source.settings) != source.settings_digest {
            return Err(Unverifiable::Digest);
        }
        let unfit = |fault: String| Unverifiable::Settings(fault);
        let json = serde_json::from_str(&source.settings).map_err(|error| unfit(error.to_string()))?;
        let settings = SiteSettings::read(&json).map_err(|error| unfit(error.to_string()))?;
        let router = Router::new(settings.module, source.seed).map_err(|error| unfit(error.to_string()))?;
        Ok(Replay {
            router,
            next: 1,
            tracker: QueryTracker::default(),
            names: std::collections::BTreeMap::new(),
            actions: Vec::new(),
            decisions: 0,
        })
    }

    /// Decisions that were the same so far.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    /// Makes a step's decisions once more. With `reasons`, the reasons given must agree too.
    ///
    /// # Errors
    ///
    /// When steps are missing before it.
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
        self.names.extend(record.named.iter().map(|named| (named.query.0, named.name.clone())));
        self.actions.clear();
        // A note at the broker's end comes without a step of the module's.
        if !record.events.is_empty() || !record.actions.is_empty() {
            self.router.step(record.time, &record.events, &mut self.actions);
        }
        let same = |a: &Action, b: &Action| if reasons { a == b } else { bare(a) == bare(b) };
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
        let about = recorded.iter().chain(&decided).find_map(|a| query_of_action(&self.tracker, a));
        Ok(Some(Difference {
            sequence: record.sequence,
            time: record.time,
            index,
            recorded,
            decided,
            query: about.and_then(|query| self.names.get(&query.0).cloned()),
        }))
    }
}

/// An action without its reason.
fn bare(action: &Action) -> Action {
    let ending = || Ending { cause: badgergauge_core::Cause::Whole, missing: Vec::new() };
    match action.clone() {
        Action::Send { part, server, time_out, .. } => {
            let why = Choice { home: ServerId(0), left: None, predicted: 0.0, allowed: 0.0 };
            Action::Send { part, server, time_out, why }
        }
        Action::Cancel { part, attempt, .. } => {
            Action::Cancel { part, attempt, why: badgergauge_core::Withdrawn::Over }
        }
        Action::Answer { query, whole, .. } => Action::Answer { query, whole, why: ending() },
        Action::Refuse { query, hold_off, .. } => Action::Refuse { query, hold_off, why: ending() },
        Action::Fail { query, .. } => Action::Fail { query, why: ending() },
        other => other,
    }
}
