//! A router's learned state in a form that another process can restore.
//!
//! In an upgrade a new process replaces a running one. [`Router::snapshot`] returns what the old router has
//! learned, and [`Router::restore`] puts it into the new one, so that predictions do not start from their
//! initial values and the limits on cold servers and on further attempts count what the old process has sent.
//!
//! Every moment in a [`Snapshot`] is an [`Age`], as the two processes' clocks have different origins.
//!
//! # What is restored
//!
//! | state | restored | why |
//! | --- | --- | --- |
//! | `fit` of the servers, `pooled_fit` | the sums, not the weights | each refit computes the weights from the sums |
//! | `min_time`, `load`, `successes`, `failures`, `last_answer`, `last_sent` of a server | yes | they rank it and limit what it is sent |
//! | `cold_sends` of a server, `first_step_at` | yes | both processes together stay within a cold server's limit |
//! | `connections_used`, `connection_lost` of a server | no | they describe connections, and the new process opens its own |
//! | `listed` of a server | its start only | the new process has a list of its own; the start identifies the server's process |
//! | `classes`, `worth_requested`, `cell_demand`, `last_peer_outcome` | yes | learned from the traffic |
//! | `quotas` | what is used, not the rates | the rates come from the settings |
//! | `accepted`, `retries` | yes | the budget of further attempts holds for both processes together |
//! | `failure_rates` | yes | a property of the network and the servers |
//! | `now` | as the age of the last step | the next step decays counts by the time elapsed |
//! | `queries`, `attempts`, `in_flight`, `planned`, `sent_in_step` | no, but the ages of overdue attempts, in `min_time` | open queries stay with the old process |
//! | `steps`, `timer_at`, `watch_at` | no | ids of timers and the subscription are the new process's own |
//! | `settings` and what is computed from them, `seed`, `servers_by_cell` | no | given at the start, or by the list |

pub mod budgets;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::budgets::Spending;
use super::{
    CellDemand, ClassState, FEATURE_COUNT, FailureRates, Features, Fit, Router, RouterState, Server,
};
use crate::interface::{ServerEntry, ServerId, Time};

/// Version of the snapshot's layout.
pub const VERSION: u32 = 1;
/// Starts of a server whose times differ by at most this are the same start. Such differences come from the
/// time between snapshot and restore, and from a step of the system clock between the starts of the two
/// processes.
const START_TOLERANCE: Duration = Duration::from_secs(2);
/// Largest number of entries of the budget's window that a snapshot may hold.
const MAX_BUDGET_ENTRIES: u64 = 10_000_000;

/// How long before the snapshot a moment was, in nanoseconds; negative for a moment after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(pub i64);

impl Age {
    fn of(now: Time, moment: Time) -> Age {
        let nanos = i128::from(now.0) - i128::from(moment.0);
        Age(nanos.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64)
    }

    /// The age of a moment, or none for [`Time`] zero, which stands for "never".
    fn of_event(now: Time, moment: Time) -> Option<Age> {
        (moment > Time(0)).then(|| Age::of(now, moment))
    }

    /// The moment on a clock that reads `now`, or the clock's origin if the moment lies before that.
    fn moment(self, now: Time) -> Time {
        let nanos = i128::from(now.0) - i128::from(self.0);
        Time(nanos.clamp(0, i128::from(u64::MAX)) as u64)
    }
}

fn moment_or_never(age: Option<Age>, now: Time) -> Time {
    age.map_or(Time(0), |age| age.moment(now))
}

/// The sums of a least-squares fit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FitSnapshot {
    /// Sum of the outer products of features, column by column.
    pub products: Vec<f64>,
    /// Sum of the features times the time taken.
    pub targets: Vec<f64>,
    /// Decayed count of outcomes.
    pub count: f64,
    /// Decayed sum of absolute relative errors.
    pub errors: f64,
    /// When the sums were last decayed.
    #[serde(rename = "faded")]
    pub decayed_at: Option<Age>,
}

/// Work sent to a server while it was cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSend {
    /// When it was sent.
    pub sent: Age,
    /// Its work in seconds.
    pub work_seconds: f64,
}

impl ColdSend {
    fn of((sent, work_seconds): (Time, f64), now: Time) -> Self {
        ColdSend { sent: Age::of(now, sent), work_seconds }
    }

    fn moment(&self, now: Time) -> (Time, f64) {
        (self.sent.moment(now), self.work_seconds)
    }
}

/// What was learned of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// When its process started, if recently: what was learned of one process does not apply to the next.
    pub started: Option<Age>,
    /// Its own fit.
    pub fit: FitSnapshot,
    /// Decaying lower bound of its part times, in units of the fit, from attempts that ended unserved.
    #[serde(rename = "bound")]
    pub min_time: f64,
    /// Its last reported load.
    #[serde(rename = "report")]
    pub load: f64,
    /// Decayed count of attempts that failed or were overdue.
    #[serde(rename = "bad")]
    pub failures: f64,
    /// Decayed count of served attempts.
    #[serde(rename = "good")]
    pub successes: f64,
    /// When something was last sent to it, or another front node last reported on it.
    pub last_sent: Option<Age>,
    /// When it last answered anything.
    #[serde(rename = "heard")]
    pub last_answer: Option<Age>,
    /// Work sent to it while cold, within the cold window.
    pub cold_sends: Vec<ColdSend>,
}

/// What was learned of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Its aim in nanoseconds: the unit of all predicted times is computed from the aims.
    pub aim_nanos: u64,
    /// Mean time of a part on an idle server, in units of the fit.
    pub cost: f64,
    /// Number of outcomes in that mean.
    #[serde(rename = "cost_count")]
    pub cost_samples: f64,
    /// Decayed count of requested parts.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Moving mean of the hints, in seconds.
    #[serde(rename = "hint_seconds")]
    pub hint_mean_seconds: f64,
    /// Number of hints in that mean.
    #[serde(rename = "hint_count")]
    pub hint_samples: f64,
    /// Time left that most tries arrive with, by majority vote, in nanoseconds.
    #[serde(rename = "usual_nanos")]
    pub usual_time_left_nanos: u64,
    /// Votes of that majority vote.
    #[serde(rename = "votes")]
    pub usual_votes: u8,
}

/// Number of entries of the budget's window at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEntries {
    /// The moment.
    pub at: Age,
    /// Number of entries.
    pub count: u64,
}

/// What a router has learned. See the module's documentation for what it holds and what it does not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the layout, [`VERSION`].
    pub version: u32,
    /// When the router made its last step: decayed counts are as of that moment.
    #[serde(rename = "stepped")]
    pub last_step: Age,
    /// When the router, or the one it was restored from, made its first step; none if there was none.
    #[serde(rename = "born")]
    pub first_step: Option<Age>,
    /// When another front node last reported an outcome.
    #[serde(rename = "told")]
    pub last_peer_outcome: Option<Age>,
    /// What was learned of each listed server.
    pub servers: BTreeMap<ServerId, ServerSnapshot>,
    /// The fit over all servers.
    #[serde(rename = "pool")]
    pub pooled_fit: FitSnapshot,
    /// The classes, by index.
    pub classes: Vec<ClassSnapshot>,
    /// Recent queries within each tenant's quota, by index.
    pub quotas_used: Vec<f64>,
    /// Queries and parts accepted within the budget's window.
    #[serde(rename = "taken")]
    pub accepted: Vec<BudgetEntries>,
    /// Further attempts made within the budget's window.
    #[serde(rename = "further")]
    pub retries: Vec<BudgetEntries>,
    /// Failure rates of attempts on connections that were idle for long, and on new ones.
    #[serde(rename = "ends")]
    pub failure_rates: [f64; 2],
    /// Decayed worth of the requested queries.
    #[serde(rename = "asked")]
    pub worth_requested: f64,
    /// Decayed counts of parts requested and sent, by the first cell that holds their shard.
    #[serde(rename = "cells_asked")]
    pub cell_demand: Vec<[f64; 2]>,
}

/// Why a snapshot was not restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Its layout has another version.
    #[error("snapshot: layout version {found}, expected {expected}")]
    Version {
        /// The snapshot's version.
        found: u32,
        /// The version read here.
        expected: u32,
    },
    /// A list in it has another length than the settings require.
    #[error("snapshot: {field} has {found} entries, expected {expected}")]
    Length {
        /// The list.
        field: &'static str,
        /// Its length.
        found: usize,
        /// The length required.
        expected: usize,
    },
    /// A class has another aim than in the settings.
    #[error("snapshot: aim of class {class} differs from the settings")]
    Aim {
        /// Index of the class.
        class: usize,
    },
    /// A number in it is invalid.
    #[error("snapshot: {field} {problem}")]
    Number {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// The router has already accepted a query: what it learned itself would be lost.
    #[error("snapshot: the router has already accepted queries")]
    InUse,
}

impl Router {
    /// What the router has learned, with moments relative to `now`, which is not before its last step.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        self.0.snapshot(now)
    }

    /// Restores what another router has learned. `now` is the moment on this router's clock at which the
    /// snapshot was taken. Where only a later moment is known, all ages come out too short by the difference:
    /// cold servers then get less than they might, and the window of the budget counts requests for longer.
    ///
    /// The list of servers may be given before or after. What was learned of a server applies once the list
    /// names it with the same start; until then it is kept aside and affects no decision.
    ///
    /// What the other router spends on cold servers and further attempts after the snapshot is reported
    /// separately: see [`Router::take_over_budgets`].
    ///
    /// # Errors
    ///
    /// When the snapshot does not fit the settings or holds invalid numbers, or this router has accepted
    /// queries already. The router is unchanged then.
    pub fn restore(&mut self, now: Time, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        self.0.check_unused()?;
        self.0.check_shape(snapshot)?;
        check_numbers(snapshot)?;
        self.0.restore(now, snapshot);
        Ok(())
    }
}

/// State that a router shares with the router of another process of the same front node.
#[derive(Default)]
pub(super) struct HandOver {
    /// Restored state of servers that no list has named yet.
    servers: BTreeMap<ServerId, Server>,
    /// Until when nothing is used of the budgets that hold for both.
    budgets_suspended_until: Time,
}

impl Spending {
    /// Checks that the numbers are valid.
    fn check(&self) -> Result<(), SnapshotError> {
        self.cold_sends.values().try_for_each(|sends| check_cold_sends(sends))?;
        check_entries("further", &self.retries)
    }
}

impl HandOver {
    /// Restored state of a server that no list has named yet.
    fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// The state of a server that is new in the list: the restored one if it is of the same process, else the
    /// initial one.
    pub(super) fn server(&mut self, listed: ServerEntry) -> Server {
        let known = self.servers.remove(&listed.server);
        let known = known.filter(|known| is_same_start(known.listed.started, listed.started));
        Server { listed, ..known.unwrap_or_default() }
    }
}

/// Whether a restored start and one from the list are the same.
fn is_same_start(known: Option<Time>, listed: Option<Time>) -> bool {
    match (known, listed) {
        (Some(known), Some(listed)) => known.since(listed).max(listed.since(known)) <= START_TOLERANCE,
        // The list of the new process can't express a start before the origin of its clock.
        (Some(known), None) => known <= Time(0).after(START_TOLERANCE),
        (None, listed) => listed.is_none(),
    }
}

impl RouterState {
    fn snapshot(&self, now: Time) -> Snapshot {
        let classes = self.settings.classes.iter().zip(&self.classes);
        let server = |(id, server): (&ServerId, &Server)| (*id, self.server_snapshot(*id, server, now));
        Snapshot {
            version: VERSION,
            last_step: Age::of(now, self.now),
            first_step: (self.steps > 0).then(|| Age::of(now, self.first_step_at)),
            last_peer_outcome: self.last_peer_outcome.map(|at| Age::of(now, at)),
            servers: self.servers.iter().map(server).collect(),
            pooled_fit: FitSnapshot::of(&self.pooled_fit, now),
            classes: classes.map(|(class, state)| ClassSnapshot::of(class.aim, state)).collect(),
            quotas_used: self.quotas.iter().map(|quota| quota.used).collect(),
            accepted: BudgetEntries::of(&self.accepted, now),
            retries: BudgetEntries::of(&self.retries, now),
            failure_rates: [self.failure_rates.reused, self.failure_rates.new],
            worth_requested: self.worth_requested,
            cell_demand: self.cell_demand.iter().map(|demand| [demand.requested, demand.sent]).collect(),
        }
    }

    /// A server's state, with the age of its oldest overdue attempt. The outcome of that attempt will be
    /// reported to this process alone. For the other one its age is a lower bound, as that of an attempt that
    /// ended unserved.
    fn server_snapshot(&self, id: ServerId, server: &Server, now: Time) -> ServerSnapshot {
        let overdue = self.in_flight.get(&id).map_or(0.0, |it| it.overdue);
        let cold_start = now.before(self.settings.cold.window);
        let cold_sends = server.cold_sends.iter().filter(|(sent, _)| *sent >= cold_start);
        ServerSnapshot {
            started: server.listed.started.map(|started| Age::of(now, started)),
            fit: FitSnapshot::of(&server.fit, now),
            min_time: server.min_time.max(overdue),
            load: server.load,
            failures: server.failures,
            successes: server.successes,
            last_sent: Age::of_event(now, server.last_sent),
            last_answer: Age::of_event(now, server.last_answer),
            cold_sends: cold_sends.map(|send| ColdSend::of(*send, now)).collect(),
        }
    }

    fn check_unused(&self) -> Result<(), SnapshotError> {
        let unused = self.queries.is_empty() && self.attempts.is_empty() && self.worth_requested == 0.0;
        if unused { Ok(()) } else { Err(SnapshotError::InUse) }
    }

    fn check_shape(&self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        if snapshot.version != VERSION {
            return Err(SnapshotError::Version { found: snapshot.version, expected: VERSION });
        }
        check_length("classes", snapshot.classes.len(), self.classes.len())?;
        check_length("quotas_used", snapshot.quotas_used.len(), self.quotas.len())?;
        check_length("cells_asked", snapshot.cell_demand.len(), self.cell_demand.len())?;
        let aims = self.settings.classes.iter().map(|class| saturating_nanos(class.aim));
        let mut classes = snapshot.classes.iter().zip(aims);
        match classes.position(|(class, aim)| class.aim_nanos != aim) {
            Some(class) => Err(SnapshotError::Aim { class }),
            None => Ok(()),
        }
    }

    /// Restores a checked snapshot.
    fn restore(&mut self, now: Time, snapshot: &Snapshot) {
        let last_step = snapshot.last_step.moment(now);
        if let Some(first_step) = snapshot.first_step {
            // With a first step of its own, the rules for a new router would count what the old one sent
            // again.
            self.first_step_at = first_step.moment(now);
            self.steps = self.steps.max(1);
        }
        self.last_peer_outcome = snapshot.last_peer_outcome.map(|at| at.moment(now));
        self.pooled_fit = snapshot.pooled_fit.fit(now);
        for (class, learned) in self.classes.iter_mut().zip(&snapshot.classes) {
            *class = ClassState { min_time: class.min_time, ..learned.state() };
        }
        for (quota, used) in self.quotas.iter_mut().zip(&snapshot.quotas_used) {
            quota.used = *used;
        }
        self.accepted = BudgetEntries::moments(&snapshot.accepted, now);
        self.retries = BudgetEntries::moments(&snapshot.retries, now);
        let [reused, new] = snapshot.failure_rates;
        self.failure_rates = FailureRates { reused, new };
        self.worth_requested = snapshot.worth_requested;
        let demands = snapshot.cell_demand.iter();
        self.cell_demand =
            demands.map(|[requested, sent]| CellDemand { requested: *requested, sent: *sent }).collect();
        self.restore_servers(now, snapshot);
        // Decaying counts are as of the old router's last step, and this one may have made a later step.
        self.now = self.now.max(last_step);
        self.decay(self.now.since(last_step).as_secs_f64());
    }

    fn restore_servers(&mut self, now: Time, snapshot: &Snapshot) {
        let servers = snapshot.servers.iter();
        self.hand_over.servers = servers.map(|(id, server)| (*id, server.state(now))).collect();
        for server in self.servers.values_mut() {
            *server = self.hand_over.server(std::mem::take(&mut server.listed));
        }
    }
}

impl FitSnapshot {
    fn of(fit: &Fit, now: Time) -> Self {
        FitSnapshot {
            products: fit.products.as_slice().to_vec(),
            targets: fit.targets.as_slice().to_vec(),
            count: fit.count,
            errors: fit.errors,
            decayed_at: Age::of_event(now, fit.decayed_at),
        }
    }

    /// The fit; its weights are computed by the next refit.
    fn fit(&self, now: Time) -> Fit {
        let mut fit = Fit { targets: Features::from_column_slice(&self.targets), ..Fit::default() };
        fit.products.copy_from_slice(&self.products);
        fit.count = self.count;
        fit.errors = self.errors;
        fit.decayed_at = moment_or_never(self.decayed_at, now);
        fit
    }

    fn check(&self) -> Result<(), SnapshotError> {
        check_length("fit.products", self.products.len(), FEATURE_COUNT * FEATURE_COUNT)?;
        check_length("fit.targets", self.targets.len(), FEATURE_COUNT)?;
        check_finite("fit.products", &self.products)?;
        check_finite("fit.targets", &self.targets)?;
        check_amounts("fit.count", &[self.count])?;
        check_amounts("fit.errors", &[self.errors])
    }
}

impl ServerSnapshot {
    fn state(&self, now: Time) -> Server {
        let started = self.started.map(|started| started.moment(now));
        let cold_sends = self.cold_sends.iter().map(|send| send.moment(now));
        let mut cold_sends: Vec<(Time, f64)> = cold_sends.collect();
        cold_sends.sort_by_key(|(sent, _)| *sent);
        Server {
            listed: ServerEntry { started, ..ServerEntry::default() },
            fit: self.fit.fit(now),
            min_time: self.min_time,
            load: self.load,
            failures: self.failures,
            successes: self.successes,
            last_sent: moment_or_never(self.last_sent, now),
            last_answer: moment_or_never(self.last_answer, now),
            cold_sends: cold_sends.into(),
            ..Server::default()
        }
    }

    fn check(&self) -> Result<(), SnapshotError> {
        self.fit.check()?;
        check_amounts("server.bound", &[self.min_time])?;
        check_finite("server.report", &[self.load])?;
        check_amounts("server.bad", &[self.failures])?;
        check_amounts("server.good", &[self.successes])?;
        check_cold_sends(&self.cold_sends)
    }
}

impl ClassSnapshot {
    fn of(aim: Duration, state: &ClassState) -> Self {
        ClassSnapshot {
            aim_nanos: saturating_nanos(aim),
            cost: state.cost,
            cost_samples: state.cost_samples,
            requested: state.requested,
            hint_mean_seconds: state.hint_mean,
            hint_samples: state.hint_samples,
            usual_time_left_nanos: saturating_nanos(state.usual_time_left),
            usual_votes: state.usual_votes,
        }
    }

    fn state(&self) -> ClassState {
        ClassState {
            cost: self.cost,
            cost_samples: self.cost_samples,
            requested: self.requested,
            hint_mean: self.hint_mean_seconds,
            hint_samples: self.hint_samples,
            usual_time_left: Duration::from_nanos(self.usual_time_left_nanos),
            usual_votes: self.usual_votes,
            ..ClassState::default()
        }
    }

    fn check(&self) -> Result<(), SnapshotError> {
        if !(self.cost.is_finite() && self.cost > 0.0) {
            return Err(SnapshotError::Number {
                field: "class.cost",
                problem: "must be finite and above zero",
            });
        }
        check_amounts("class.cost_count", &[self.cost_samples])?;
        check_amounts("class.asked", &[self.requested])?;
        check_amounts("class.hint_seconds", &[self.hint_mean_seconds])?;
        check_amounts("class.hint_count", &[self.hint_samples])
    }
}

impl BudgetEntries {
    fn of(moments: &VecDeque<Time>, now: Time) -> Vec<BudgetEntries> {
        let mut entries: Vec<BudgetEntries> = Vec::new();
        for moment in moments {
            let at = Age::of(now, *moment);
            match entries.last_mut() {
                Some(last) if last.at == at => last.count += 1,
                _ => entries.push(BudgetEntries { at, count: 1 }),
            }
        }
        entries
    }

    fn moments(entries: &[BudgetEntries], now: Time) -> VecDeque<Time> {
        let mut sorted = entries.to_vec();
        sorted.sort_by_key(|entry| std::cmp::Reverse(entry.at));
        let repeated =
            |entry: &BudgetEntries| std::iter::repeat_n(entry.at.moment(now), entry.count as usize);
        sorted.iter().flat_map(repeated).collect()
    }
}

fn check_numbers(snapshot: &Snapshot) -> Result<(), SnapshotError> {
    snapshot.pooled_fit.check()?;
    snapshot.servers.values().try_for_each(ServerSnapshot::check)?;
    snapshot.classes.iter().try_for_each(ClassSnapshot::check)?;
    check_amounts("quotas_used", &snapshot.quotas_used)?;
    check_amounts("ends", &snapshot.failure_rates)?;
    check_amounts("asked", &[snapshot.worth_requested])?;
    check_amounts("cells_asked", snapshot.cell_demand.as_flattened())?;
    check_entries("taken", &snapshot.accepted)?;
    check_entries("further", &snapshot.retries)
}

fn check_length(field: &'static str, found: usize, expected: usize) -> Result<(), SnapshotError> {
    if found == expected { Ok(()) } else { Err(SnapshotError::Length { field, found, expected }) }
}

fn check_finite(field: &'static str, numbers: &[f64]) -> Result<(), SnapshotError> {
    let holds = numbers.iter().all(|number| number.is_finite());
    if holds { Ok(()) } else { Err(SnapshotError::Number { field, problem: "must be finite" }) }
}

fn check_amounts(field: &'static str, numbers: &[f64]) -> Result<(), SnapshotError> {
    let holds = numbers.iter().all(|number| number.is_finite() && *number >= 0.0);
    if holds {
        Ok(())
    } else {
        Err(SnapshotError::Number { field, problem: "must be finite and not negative" })
    }
}

fn check_cold_sends(sends: &[ColdSend]) -> Result<(), SnapshotError> {
    let work: Vec<f64> = sends.iter().map(|send| send.work_seconds).collect();
    check_amounts("server.cold_sends", &work)
}

fn check_entries(field: &'static str, entries: &[BudgetEntries]) -> Result<(), SnapshotError> {
    let sum = entries.iter().fold(0_u64, |sum, entry| sum.saturating_add(entry.count));
    let holds = sum <= MAX_BUDGET_ENTRIES;
    if holds { Ok(()) } else { Err(SnapshotError::Number { field, problem: "has too many entries" }) }
}

fn saturating_nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
