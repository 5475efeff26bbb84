//! The router's decisions, in the order in which a query passes through them. The design and its reasons:
//! `docs/design/decisions.md`.
//!
//! A query is accepted together with its parts. A linear fit predicts the time of each part at each replica.
//! A part is sent to the first replica, its home replica first, that can finish it before the aim; otherwise
//! it is not sent. The query is answered from the parts that were served. The code after that path handles
//! failures: cancellations, retries, cold servers and connections.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::f64::consts::LN_2;
use std::time::Duration;

use nalgebra::{SMatrix, SVector};

use crate::interface::*;

mod avoided;
pub mod snapshot;

/// Features of the fit: intercept, cost of the class, own work in flight at the server, the load it
/// reported, and the excess of the part's hint over the cost of its class.
const FEATURE_COUNT: usize = 5;
/// Index of the server's work in flight among the features.
const WORK_FEATURE: usize = 2;
/// Before any outcome, a part is predicted to take this share of its class's aim, the tenth that the design
/// document states. The same share of the mean aim is the time unit of the fit.
const INITIAL_TIME_SHARE: f64 = 0.1;
/// Half-life of what was learned, in mean aims: long enough to average out noise.
const HALF_LIFE_AIMS: f64 = 4.0;
/// Half-life of the fits, in mean aims, while peers report their outcomes: as fast as queues empty.
const HALF_LIFE_WITH_PEERS_AIMS: f64 = 0.4;
/// While peers report, the admission check adds so many spreads times the natural logarithm of the number of
/// parts waited for: the slowest part determines the answer's time.
const SPREADS_PER_LN_PARTS: f64 = 0.1;
/// Factor on the prior's weight for the cost feature: the cost is a time as well and hardly distinguishable
/// from the intercept.
const COST_PRIOR_FACTOR: f64 = 10.0;
/// Weight of a prior, in outcomes. The prior of a server's own fit is the pooled fit.
const PRIOR_OUTCOMES: f64 = 3.0;
/// Relative spread of part times before any is known: they are long-tailed, but well under the mean.
const INITIAL_SPREAD: f64 = 0.5;
/// Relative errors are capped here, so that one stall counts once, and not as its square.
const MAX_RELATIVE_ERROR: f64 = 2.0;
/// No part is predicted to take less than this share of its class's initial prediction, whatever the fit
/// says.
const MIN_TIME_SHARE: f64 = 0.2;
/// Number of samples over which the moving means of a class's cost and hints are taken.
const MEAN_SAMPLES: f64 = 30.0;
/// Spreads that the admission check adds to the fit: about two in three parts take less.
const ADMISSION_SPREADS: f64 = 0.6;
/// An attempt is overdue at so many spreads above the fit: few attempts at healthy servers are.
const OVERDUE_SPREADS: f64 = 2.5;
/// An attempt at an unresponsive server is cancelled after this share of its class's aim at the earliest, ...
const UNRESPONSIVE_AIM_SHARE: f64 = 0.5;
/// ... if the server's expected tries per served part are at least so many, ...
const UNRESPONSIVE_MIN_TRIES: f64 = 1.2;
/// ... and another replica is predicted to serve the part within this share of the time left.
const UNRESPONSIVE_RETRY_SHARE: f64 = 0.5;
/// Calls of this front node in flight up to which the home replica is kept: one, as servers work on several
/// at once.
const MAX_HOME_CALLS: usize = 1;
/// The home replica is also bypassed when its score is over so many times the best one. A draining server's
/// score is multiplied by one plus this number.
const MAX_HOME_RATIO: f64 = 1.5;
/// Factor on the price of crossing zones, when candidates are ranked by predicted time.
const CROSS_ZONE_WEIGHT: f64 = 5.0;
/// Factor on the work saved by sharing a call, when candidates are ranked.
const SHARED_CALL_WEIGHT: f64 = 4.0;
/// Replies are sent so many ticks before the aim or the client's deadline, for the interval between steps and
/// the way back.
const REPLY_MARGIN_TICKS: u32 = 3;
/// Open queries are reviewed every so many ticks.
const REVIEW_INTERVAL_TICKS: u32 = 2;
/// Connections idle for this share of the mean aim are closed before the next send, if attempts on new
/// connections fail less often than those on reused ones.
const IDLE_AIM_SHARE: f64 = 0.25;
/// Initial failure rate of attempts on connections that were idle for long; the learned rate decays to it.
const INITIAL_REUSED_FAILURE_RATE: f64 = 0.25;
/// Initial failure rate of attempts on new connections; the learned rate decays to it.
const INITIAL_NEW_FAILURE_RATE: f64 = 0.1;
/// Weight of each outcome in these rates: two failures in a row make a difference.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// A refused client is asked to stay away for this share of its class's aim.
pub(crate) const RETRY_AFTER_SHARE: f64 = 0.15;
/// Exponent of a part's worth per work, relative to the mean, in its share of the time left.
const WORTH_EXPONENT: f64 = 0.35;
/// The same while peers report their outcomes: parts of low worth are then dropped sooner.
const WORTH_EXPONENT_WITH_PEERS: f64 = 0.5;
/// Lower bound of that share, so that an idle server serves any part.
const MIN_ALLOWED_SHARE: f64 = 0.25;
/// Upper bound of that share: there the fit without its spread passes the admission check.
const MAX_ALLOWED_SHARE: f64 = 2.0;
/// Share of the calls that would overload a cold server on average which random selection sends to it: by
/// chance it receives more than that at times.
const COLD_SELECTION_SHARE: f64 = 0.6;
/// Capacity of a tenant's quota bucket, in mean aims at its rate: as long as bursts that stay within a share.
const QUOTA_AIMS: f64 = 2.0;
/// Tolerance for rounding errors in sums of weights, and lower bound of divisors.
const EPSILON: f64 = 5e-5;

type Features = SVector<f64, FEATURE_COUNT>;
/// Weights before any outcome: the cost, and half of the work in flight, as servers do two parts at once.
const INITIAL_WEIGHTS: Features = Features::new(0.0, 1.0, 0.5, 0.0, 0.0);

/// Regularised least squares with exponential forgetting. The sums are decayed at each refit.
#[derive(Clone, Default)]
struct Fit {
    /// Sum of the outer products of features.
    products: SMatrix<f64, FEATURE_COUNT, FEATURE_COUNT>,
    /// Sum of the features times the time taken.
    targets: Features,
    /// Decayed count of outcomes.
    count: f64,
    /// Until when the sums are decayed.
    decayed_at: Time,
    /// Decayed sum of absolute relative errors, each capped, so that single stalls don't dominate it.
    errors: f64,
    weights: Features,
    /// Mean absolute relative error.
    spread: f64,
}

impl Fit {
    fn learn(&mut self, x: &Features, y: f64, error: f64) {
        self.products += x * x.transpose();
        self.targets += x * y;
        self.count += 1.0;
        self.errors += error.abs();
    }

    /// Decays the sums to `now`, and solves for the weights with `prior` and its spread as regularisation.
    /// `half_life` is in seconds.
    fn refit(&mut self, now: Time, half_life: f64, prior: &Features, spread: f64) {
        let retained = 0.5_f64.powf(now.since(self.decayed_at).as_secs_f64() / half_life);
        self.decayed_at = now;
        self.products *= retained;
        self.targets *= retained;
        self.count *= retained;
        self.errors *= retained;
        let ridge = Features::new(1.0, COST_PRIOR_FACTOR, 1.0, 1.0, 1.0) * PRIOR_OUTCOMES;
        let a = self.products + SMatrix::from_diagonal(&ridge);
        let b = self.targets + ridge.component_mul(prior);
        self.weights = a.cholesky().map_or(*prior, |a| a.solve(&b));
        // More work never makes a part faster: a fit that says so has too few samples.
        self.weights.iter_mut().skip(WORK_FEATURE).for_each(|w| *w = w.max(0.0));
        self.spread = (self.errors + PRIOR_OUTCOMES * spread) / (self.count + PRIOR_OUTCOMES);
    }
}

/// What is known of a server.
#[derive(Clone, Default)]
struct Server {
    listed: ServerEntry,
    fit: Fit,
    /// Decaying lower bound of its part times, in units, from attempts that ended unserved.
    min_time: f64,
    /// The load it last reported, decaying with the mean aim.
    load: f64,
    /// Decayed count of attempts that failed or were overdue.
    failures: f64,
    /// Decayed count of served attempts.
    successes: f64,
    /// When something was last sent to it, or a peer last reported on it.
    last_sent: Time,
    /// When a connection to it was last lost.
    connection_lost: Time,
    /// When it last answered anything.
    last_answer: Time,
    /// When its connections last carried a send or an attempt that was answered; zero if they may be dead.
    connections_used: Time,
    /// Work sent while cold, in seconds.
    cold_sends: VecDeque<(Time, f64)>,
}

/// What this front node has in flight at a server.
#[derive(Clone, Default)]
struct InFlight {
    calls: BTreeSet<u64>,
    /// Its work in units.
    work: f64,
    /// Age of the oldest overdue attempt, in units: a lower bound of the server's present time.
    overdue: f64,
}

/// What a step has planned for or sent to a server.
#[derive(Clone, Copy, Default)]
struct Planned {
    parts: u32,
    /// Work of the parts and of their calls, in units.
    work: f64,
}

/// An attempt in flight.
#[derive(Default)]
struct Attempt {
    query: QueryNumber,
    server: ServerId,
    class: usize,
    sent: Time,
    /// Identifies the call that it shares with other attempts.
    call: u64,
    features: Features,
    /// Its work in units.
    work: f64,
    /// Predicted time in units.
    expected: f64,
    /// Age in units from which it is overdue.
    overdue_after: f64,
    overdue: bool,
    /// Whether it uses a new connection; none if the last one was not idle for long.
    on_new_connection: Option<bool>,
    /// No longer waited for.
    abandoned: bool,
}

#[derive(Default)]
struct PartState {
    id: PartId,
    shard: ShardId,
    weight: f64,
    /// Relative excess of its hint over the mean hint of its class; negative below it.
    hint_excess: f64,
    attempts: u32,
    /// Numbers of its attempts in flight.
    in_flight: Vec<u32>,
    served: bool,
    /// Servers that it was sent to.
    tried: Vec<ServerId>,
    /// Whether an attempt was cancelled because its server was unresponsive.
    cancelled: bool,
    /// Why no attempt is in flight.
    missing: MissingReason,
    /// When the first of its ended attempts that may have run was sent.
    may_have_run: Option<Time>,
}

#[derive(Default)]
struct QueryState {
    id: QueryId,
    number: QueryNumber,
    class: usize,
    /// Worth of a complete answer, by class and tenant.
    worth: f64,
    /// Hash of its key, which determines its home replicas.
    key_hash: u64,
    aim_at: Time,
    ends_at: Time,
    parts: Vec<PartState>,
    /// Weight of the parts that makes its step complete.
    need: f64,
    /// Least weight of the parts that may be answered.
    floor: f64,
    second_step: bool,
    /// Whether its first step was answered from fewer parts than complete.
    first_step_partial: bool,
}

/// What was learned of a class.
#[derive(Clone, Default)]
struct ClassState {
    /// Least time that is predicted for a part, in units.
    min_time: f64,
    /// Mean time of a part on an idle server, in units.
    cost: f64,
    cost_samples: f64,
    /// Decayed count of requested parts.
    requested: f64,
    /// Moving mean of its parts' hints, in seconds.
    hint_mean: f64,
    hint_samples: f64,
    /// Time left that most tries arrive with, by majority vote.
    usual_time_left: Duration,
    /// Votes of that majority vote.
    usual_votes: u8,
}

/// A tenant's quota at this front node: a leaky bucket.
#[derive(Clone, Copy)]
struct Quota {
    /// Queries a second.
    rate: f64,
    /// Recent queries within the quota, draining at that rate.
    used: f64,
}

/// Recent failure rates of attempts to servers whose connections were idle for long.
#[derive(Clone, Copy, Default)]
struct FailureRates {
    reused: f64,
    new: f64,
}

/// Decayed counts of the parts whose shards a cell is the first to hold.
#[derive(Clone, Copy, Default)]
struct CellDemand {
    requested: f64,
    sent: f64,
}

/// What is decided on a query in a step.
enum QueryDecision {
    KeepOpen,
    Answer { complete: bool, cause: Cause },
    GiveUp(Cause),
}

/// Order of the replicas of a part; the greatest is the home replica.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HomeRank {
    /// Whether random selection sends the part to this cold server.
    selected: bool,
    same_zone: bool,
    hash: u64,
}

/// A replica that may take a part.
struct Candidate {
    server: ServerId,
    /// Upper estimate of the part's time there, in units.
    upper_estimate: f64,
    /// Whether the part was sent there before.
    tried: bool,
    /// Predicted time weighted for ranking; lower is better.
    score: f64,
    home_rank: HomeRank,
    /// Calls of this front node in flight that the part would not share.
    calls: usize,
    /// Factor in the score for the server's recent failures.
    failure_factor: f64,
    choice: Option<Choice>,
}

/// Whether a server may take a part, as far as it is cold.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ColdAdmission {
    Refused,
    Allowed,
    /// Allowed by random selection: the part is to go there.
    Selected,
}

/// Decides for one front node. See the crate's documentation for how to drive it.
pub struct Router(RouterState);

/// What a front node knows, and its open queries and attempts.
#[derive(Default)]
struct RouterState {
    settings: Settings,
    now: Time,
    /// Time unit of the fit, in seconds.
    unit: f64,
    /// Mean aim of the classes, in seconds.
    mean_aim: f64,
    /// Half-life of all that is learned but the fits, in seconds.
    half_life: f64,
    /// When a peer (another front node) last reported an outcome.
    last_peer_outcome: Option<Time>,
    /// Shortest aim of any class, in units.
    shortest_aim: f64,
    longest_deadline: Duration,
    /// Time by which replies are sent early.
    reply_margin: Duration,
    servers: BTreeMap<ServerId, Server>,
    hand_over: snapshot::HandOver,
    servers_by_cell: BTreeMap<u32, Vec<ServerId>>,
    /// The fit over the outcomes of all servers.
    pooled_fit: Fit,
    classes: Vec<ClassState>,
    queries: BTreeMap<QueryNumber, QueryState>,
    attempts: BTreeMap<(PartId, u32), Attempt>,
    in_flight: BTreeMap<ServerId, InFlight>,
    /// When the queries and parts within the budget's window were accepted.
    accepted: VecDeque<Time>,
    /// When the further attempts (retries) within the budget's window were sent.
    retries: VecDeque<Time>,
    /// What was planned or sent in this step, by server.
    planned: BTreeMap<ServerId, Planned>,
    /// Attempts sent in this step.
    sent_in_step: Vec<(PartId, u32)>,
    /// By tenant.
    quotas: Vec<Quota>,
    failure_rates: FailureRates,
    /// Decayed worth of the requested queries.
    worth_requested: f64,
    /// By cell.
    cell_demand: Vec<CellDemand>,
    first_step_at: Time,
    steps: u64,
    timer_at: Option<Time>,
    /// When to subscribe to the list of servers.
    watch_at: Option<Time>,
    /// Gives queries without a key different home replicas at each front node.
    seed: u64,
}

impl Router {
    /// A router that knows nothing but its settings.
    ///
    /// # Errors
    ///
    /// Names the first invalid field of the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aims = settings.classes.iter().map(|c| c.aim.as_secs_f64());
        let mean_aim = aims.clone().sum::<f64>() / settings.classes.len() as f64;
        let initial_time = |c: &Class| c.aim.as_secs_f64() / mean_aim;
        let class = |c| ClassState {
            min_time: MIN_TIME_SHARE * initial_time(c),
            cost: initial_time(c),
            ..ClassState::default()
        };
        let quota =
            |t: &Tenant| Quota { rate: t.quota_per_second / f64::from(settings.front_nodes), used: 0.0 };
        Ok(Router(RouterState {
            unit: mean_aim * INITIAL_TIME_SHARE,
            mean_aim,
            half_life: HALF_LIFE_AIMS * mean_aim,
            shortest_aim: aims.fold(f64::MAX, f64::min) / (mean_aim * INITIAL_TIME_SHARE),
            reply_margin: settings.tick.saturating_mul(REPLY_MARGIN_TICKS),
            longest_deadline: settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
            classes: settings.classes.iter().map(class).collect(),
            quotas: settings.tenants.iter().map(quota).collect(),
            watch_at: settings.list_on_request.then_some(Time(0)),
            failure_rates: FailureRates {
                reused: INITIAL_REUSED_FAILURE_RATE,
                new: INITIAL_NEW_FAILURE_RATE,
            },
            cell_demand: vec![CellDemand::default(); settings.cells as usize],
            seed,
            settings,
            ..RouterState::default()
        }))
    }

    /// Processes the events since the last step and appends the actions to take now to `actions`.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        let state = &mut self.0;
        let elapsed = now.since(state.now).as_secs_f64();
        state.now = state.now.max(now);
        state.first_step_at = if state.steps == 0 { now } else { state.first_step_at };
        state.planned.clear();
        state.steps += 1;
        state.decay(elapsed);
        events.iter().for_each(|event| state.handle_event(event, actions));
        state.update_in_flight();
        let open: Vec<QueryNumber> = state.queries.keys().copied().collect();
        open.into_iter().for_each(|number| state.advance_query(number, actions));
        state.update_sent_features();
        state.schedule_wakeups(actions);
    }
}

impl RouterState {
    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Query(query) => self.accept_query(query),
            Event::Part(part) => self.accept_part(part),
            Event::Outcome { part, attempt, verdict, took, load } => {
                self.handle_outcome(*part, *attempt, *verdict, *took, load);
            }
            Event::ClientGone(id) => {
                let number = self.queries.iter().find(|(_, q)| q.id == *id).map(|(n, _)| *n);
                if let Some(mut query) = number.and_then(|n| self.queries.remove(&n)) {
                    self.cancel_attempts(&mut query, actions);
                }
            }
            Event::Servers(list) => {
                let listed: BTreeSet<ServerId> = list.iter().map(|l| l.server).collect();
                self.servers.retain(|id, _| listed.contains(id));
                self.update_servers(list);
            }
            Event::ServersChanged(list) => self.update_servers(list),
            Event::ServersFailed if self.settings.list_on_request => {
                self.watch_at = Some(self.now.after(Duration::from_secs_f64(self.mean_aim)));
            }
            Event::PeerOutcome { server, class, verdict, took } => {
                self.handle_peer_outcome(*server, *class, *verdict, took.as_secs_f64() / self.unit);
            }
            Event::Timer(_) | Event::ServersFailed | Event::Probed { .. } => {}
        }
    }

    fn accept_query(&mut self, query: &Query) {
        self.accepted.push_back(self.now);
        let Some(class) = self.settings.classes.get(query.class) else { return };
        // Beyond its tenant's share a query is worth little. Each front node has an even part of the quota.
        let (quota, period) = (self.quotas.get_mut(query.tenant), QUOTA_AIMS * self.mean_aim);
        let over = quota.as_ref().is_some_and(|quota| quota.used + 1.0 > (quota.rate * period).max(1.0));
        if let Some(quota) = quota.filter(|_| !over) {
            quota.used += 1.0;
        }
        let worth = class.worth * if over { self.settings.over_share_worth } else { 1.0 };
        // Where retries are not marked, a try with another time left than most of its class is taken for a
        // client's retry, and the aim counts from its first try. Clients whose own time limits differ are
        // mistaken for retries.
        let learned = &mut self.classes[query.class];
        let alike = query.time_left.abs_diff(learned.usual_time_left) <= self.reply_margin;
        learned.usual_votes =
            if alike { learned.usual_votes.saturating_add(1) } else { learned.usual_votes.saturating_sub(1) };
        learned.usual_time_left =
            if learned.usual_votes == 0 { query.time_left } else { learned.usual_time_left };
        let unusual = !alike && query.time_left != learned.usual_time_left && !self.settings.retries_marked;
        let is_retry = query.is_retry || unusual;
        let elapsed = if is_retry { class.deadline.saturating_sub(query.time_left) } else { Duration::ZERO };
        let state = QueryState {
            id: query.id,
            number: query.number,
            class: query.class,
            worth,
            key_hash: mix(query.key.unwrap_or(query.id.0 ^ self.seed)),
            aim_at: self.now.before(elapsed).after(class.aim),
            ends_at: self.now.after(query.time_left),
            ..QueryState::default()
        };
        self.queries.insert(query.number, state);
    }

    fn accept_part(&mut self, part: &Part) {
        self.accepted.push_back(self.now);
        let Some(query) = self.queries.get_mut(&part.query) else { return };
        let first = query.parts.is_empty() && !query.second_step;
        self.worth_requested += f64::from(u8::from(first)) * query.worth;
        let class = &mut self.classes[query.class];
        class.requested += 1.0;
        self.cell_demand[(part.shard.0 % self.settings.cells) as usize].requested += 1.0;
        // A hint far above the mean is capped, and a missing one counts as the mean.
        let hint = part.hint.map_or(class.hint_mean, |hint| hint.as_secs_f64());
        let max_hint = if class.hint_samples > 0.0 {
            class.hint_mean * (1.0 + MAX_RELATIVE_ERROR)
        } else {
            self.mean_aim
        };
        class.hint_samples += f64::from(u8::from(part.hint.is_some()));
        class.hint_mean +=
            (hint.min(max_hint) - class.hint_mean) / class.hint_samples.clamp(1.0, MEAN_SAMPLES);
        let hint_excess =
            if class.hint_mean > 0.0 { hint.min(max_hint) / class.hint_mean - 1.0 } else { 0.0 };
        let weight = part.weight.max(0.0);
        query.parts.push(PartState {
            id: part.id,
            shard: part.shard,
            weight,
            hint_excess,
            ..PartState::default()
        });
    }

    fn update_servers(&mut self, list: &[ServerEntry]) {
        for listed in list {
            let listed = ServerEntry { cell: listed.cell % self.settings.cells, ..listed.clone() };
            let known = self.servers.get_mut(&listed.server).map(|server| &mut server.listed);
            if listed.state == ServerState::Removed {
                self.servers.remove(&listed.server);
            } else if let Some(known) = known.filter(|k| k.started == listed.started) {
                let send_until =
                    if known.state == listed.state { known.send_until } else { listed.send_until };
                *known = ServerEntry { send_until, ..listed };
            } else {
                // A restart resets the fit: the new process does not share the old one's faults.
                self.servers.insert(listed.server, self.hand_over.server(listed));
            }
        }
        self.servers_by_cell.clear();
        for (id, server) in &self.servers {
            self.servers_by_cell.entry(server.listed.cell).or_default().push(*id);
        }
    }

    fn handle_outcome(
        &mut self,
        id: PartId,
        number: u32,
        verdict: Verdict,
        took: Duration,
        load: &LoadReport,
    ) {
        let Some(attempt) = self.attempts.remove(&(id, number)) else { return };
        self.refresh_server(attempt.server);
        self.learn(&attempt, verdict, took.as_secs_f64() / self.unit, load);
        let parts = self.queries.get_mut(&attempt.query).map(|q| q.parts.iter_mut());
        let Some(part) = parts.into_iter().flatten().find(|p| p.id == id) else { return };
        part.in_flight.retain(|&n| n != number);
        part.served |= verdict == Verdict::Served;
        part.cancelled |= attempt.abandoned;
        if !verdict.never_ran() {
            part.may_have_run = part.may_have_run.into_iter().chain([attempt.sent]).min();
        }
    }

    /// Share of what was learned that is retained after `elapsed` seconds.
    fn retained(&self, elapsed: f64) -> f64 {
        0.5_f64.powf(elapsed / self.half_life)
    }

    /// Whether peers have reported outcomes within the half-life.
    fn peers_report(&self) -> bool {
        self.last_peer_outcome.is_some_and(|at| self.now.since(at).as_secs_f64() < self.half_life)
    }

    /// Half-life of the fits, in seconds: shorter while peers report their outcomes.
    fn fit_half_life(&self) -> f64 {
        (if self.peers_report() { HALF_LIFE_WITH_PEERS_AIMS } else { HALF_LIFE_AIMS }) * self.mean_aim
    }

    /// Decays what was learned, but for the servers, by `elapsed` seconds.
    fn decay(&mut self, elapsed: f64) {
        let retained = self.retained(elapsed);
        self.pooled_fit.refit(self.now, self.fit_half_life(), &INITIAL_WEIGHTS, INITIAL_SPREAD);
        self.quotas.iter_mut().for_each(|quota| quota.used = (quota.used - elapsed * quota.rate).max(0.0));
        self.worth_requested *= retained;
        for demand in &mut self.cell_demand {
            demand.requested *= retained;
            demand.sent *= retained;
        }
        self.classes.iter_mut().for_each(|class| class.requested *= retained);
        let rates = &mut self.failure_rates;
        for (rate, initial) in
            [(&mut rates.reused, INITIAL_REUSED_FAILURE_RATE), (&mut rates.new, INITIAL_NEW_FAILURE_RATE)]
        {
            *rate = initial + (*rate - initial) * retained;
        }
        let window = self.settings.budget.map_or(Duration::ZERO, |b| b.window);
        let start = self.now.before(window.saturating_add(self.settings.tick));
        for times in [&mut self.accepted, &mut self.retries] {
            times.drain(..times.partition_point(|&t| t < start));
        }
    }

    /// Decays what is known of a server to now, and refits it.
    fn refresh_server(&mut self, id: ServerId) {
        let Some(decayed_at) = self.servers.get(&id).map(|s| s.fit.decayed_at) else { return };
        let retained = self.retained(self.now.since(decayed_at).as_secs_f64());
        let cold_start = self.now.before(self.settings.cold.window);
        let fit_half_life = self.fit_half_life();
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.failures *= retained;
        server.successes *= retained;
        // Half-life of one mean aim.
        server.load *= retained.powf(HALF_LIFE_AIMS);
        // Half-life of an eighth of a mean aim for each front node.
        server.min_time *= retained.powf(HALF_LIFE_AIMS * 8.0 / f64::from(self.settings.front_nodes));
        server.cold_sends.drain(..server.cold_sends.partition_point(|&(t, _)| t < cold_start));
        server.fit.refit(self.now, fit_half_life, &self.pooled_fit.weights, self.pooled_fit.spread);
    }

    /// Learns from the outcome of an attempt that ended after `took` units. Served attempts update both fits;
    /// one that ended unserved after more than the expected time updates its server's fit alone.
    fn learn(&mut self, attempt: &Attempt, verdict: Verdict, took: f64, load: &LoadReport) {
        let peers_report = self.peers_report();
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        // Where peers report and the server has answered none of them either, the server itself is
        // unresponsive, and not the connection.
        let unresponsive = matches!(verdict, Verdict::Cancelled | Verdict::NoAnswer) && attempt.overdue;
        let unresponsive = unresponsive && (!peers_report || server.last_answer > attempt.sent);
        let own = attempt.sent > Time(0);
        if own {
            server.connections_used = if unresponsive { Time(0) } else { self.now };
        }
        if matches!(verdict, Verdict::Served | Verdict::Error | Verdict::Rejected) {
            server.last_answer = self.now;
        }
        if let Some(new) = attempt.on_new_connection {
            let rates = &mut self.failure_rates;
            let rate = if new { &mut rates.new } else { &mut rates.reused };
            let failure = if new { Verdict::NoConnection } else { Verdict::ConnectionLost };
            *rate += (f64::from(u8::from(verdict == failure || (unresponsive && !new))) - *rate)
                * FAILURE_RATE_WEIGHT;
        }
        let reported = load.waiting.or(load.held).or(load.utilisation);
        server.load = reported.filter(|v| v.is_finite()).unwrap_or(server.load);
        let error = (took / attempt.expected - 1.0).min(MAX_RELATIVE_ERROR);
        match verdict {
            Verdict::Served => {
                server.fit.learn(&attempt.features, took, error);
                self.pooled_fit.learn(&attempt.features, took, error);
                server.successes += 1.0;
                server.min_time = 0.0;
                if !own {
                    return;
                }
                // The time that other work in flight does not explain is the class's cost.
                let own = took - server.fit.weights[WORK_FEATURE] * attempt.features[WORK_FEATURE];
                let class = &mut self.classes[attempt.class];
                class.cost_samples += 1.0;
                let own = own.max(class.min_time).min(class.cost * (1.0 + MAX_RELATIVE_ERROR));
                class.cost += (own - class.cost) / class.cost_samples.min(MEAN_SAMPLES);
            }
            Verdict::Cancelled | Verdict::NoAnswer if error > 0.0 => {
                server.fit.learn(&attempt.features, took, error);
                server.min_time = server.min_time.max(took);
            }
            // Its queue is full: a part would take an aim and more.
            Verdict::Rejected => {
                server.min_time = server.min_time.max(self.mean_aim / self.unit);
                server.failures += 1.0;
            }
            Verdict::Cancelled | Verdict::NoAnswer | Verdict::NotSent => {}
            // All parts on a connection are lost with it: they count as one failure of the server.
            Verdict::ConnectionLost if server.connection_lost == self.now => {}
            Verdict::ConnectionLost => {
                server.connection_lost = self.now;
                server.failures += 1.0;
            }
            _ => server.failures += 1.0,
        }
    }

    /// Learns from a peer's outcome as from an own one, but for the state of connections.
    fn handle_peer_outcome(&mut self, id: ServerId, class: usize, verdict: Verdict, took: f64) {
        self.last_peer_outcome = Some(self.now);
        self.refresh_server(id);
        let (Some(server), Some(known)) = (self.servers.get(&id), self.classes.get(class)) else { return };
        let features = Features::new(1.0, known.cost, 0.0, server.load, 0.0);
        let expected = server.fit.weights.dot(&features).max(known.min_time) / self.warmth(server);
        let attempt = Attempt { server: id, class, features, expected, ..Attempt::default() };
        self.learn(&attempt, verdict, took, &LoadReport::default());
        if let Some(server) = self.servers.get_mut(&id) {
            // An own attempt without an answer was counted when it became overdue.
            server.failures += f64::from(u8::from(verdict == Verdict::NoAnswer));
            server.last_sent = self.now;
        }
    }

    /// Sums up the work in flight at each server. Marks overdue attempts, each of which counts as a failure
    /// once.
    fn update_in_flight(&mut self) {
        self.in_flight.clear();
        // Drops attempts whose outcome was never reported, which would be kept forever otherwise.
        self.attempts.retain(|_, a| self.now.since(a.sent) < self.longest_deadline.saturating_mul(2));
        for attempt in self.attempts.values_mut().filter(|a| !a.abandoned) {
            let Some(server) = self.servers.get_mut(&attempt.server) else { continue };
            let in_flight = self.in_flight.entry(attempt.server).or_default();
            in_flight.work += attempt.work;
            in_flight.calls.insert(attempt.call);
            let age = self.now.since(attempt.sent).as_secs_f64() / self.unit;
            if age > attempt.overdue_after {
                in_flight.overdue = in_flight.overdue.max(age);
                server.failures += f64::from(u8::from(!attempt.overdue));
                attempt.overdue = true;
            }
        }
    }

    /// Sets the features and predictions of the attempts sent in this step. Parts sent together slow each
    /// other down, so each counts all the others sent to its server in this step as in flight.
    fn update_sent_features(&mut self) {
        for key in std::mem::take(&mut self.sent_in_step) {
            let server = self.attempts.get(&key).and_then(|a| self.servers.get(&a.server));
            let Some(server) = server else { continue };
            let (warmth, work) = (self.warmth(server), self.work_in_flight(server.listed.server));
            let Some(attempt) = self.attempts.get_mut(&key) else { continue };
            attempt.features[WORK_FEATURE] = (work - attempt.work).max(0.0);
            let min_time = self.classes[attempt.class].min_time;
            attempt.expected = server.fit.weights.dot(&attempt.features).max(min_time) / warmth;
            attempt.overdue_after = attempt.expected * (1.0 + OVERDUE_SPREADS * server.fit.spread);
        }
    }

    /// Mean seconds between outcomes of one server at this front node, within a mean aim and the half-life:
    /// about an aim with few front nodes, several with many.
    fn outcome_interval(&self) -> f64 {
        let per_server = self.pooled_fit.count * LN_2 / self.servers.len().max(1) as f64;
        (self.fit_half_life() / per_server.max(EPSILON)).clamp(self.mean_aim, self.half_life)
    }

    fn work_in_flight(&self, id: ServerId) -> f64 {
        self.in_flight.get(&id).map_or(0.0, |it| it.work) + self.planned.get(&id).map_or(0.0, |p| p.work)
    }

    fn features(&self, server: &Server, id: ServerId, class: usize, hint_excess: f64) -> Features {
        let cost = self.classes[class].cost;
        Features::new(1.0, cost, self.work_in_flight(id), server.load, cost * hint_excess)
    }

    /// The listed servers that hold a shard, by id, so that the parts of a query go to the same server where
    /// all else is equal.
    fn holders(&self, shard: ShardId) -> Vec<ServerId> {
        let cells = self.settings.cells_of(shard).filter_map(|cell| self.servers_by_cell.get(&cell));
        let mut holders: Vec<ServerId> = cells.flatten().copied().collect();
        holders.sort_unstable();
        holders
    }

    /// Fraction of its capacity that a server has at the least, by the settings for cold servers.
    fn warmth(&self, server: &Server) -> f64 {
        let cold = &self.settings.cold;
        let Some(started) = server.listed.started else { return 1.0 };
        let age = self.now.since(started).as_secs_f64() / cold.warm_after.as_secs_f64().max(1e-9);
        (cold.from + (1.0 - cold.from) * age).min(1.0)
    }

    /// Whether a server may take a part, as far as it is cold. Guards against overloading a server that has
    /// just started.
    ///
    /// This front node may send it its share of what the settings allow on one core in a window; less within
    /// the first window of the router, as an earlier process of this front node may have spent some of that.
    /// Where this share is less than the work of one part, or the work is unknown, each part is selected at
    /// random, with a probability by which the server gets as much as a warm holder does times its warmth,
    /// its present capacity.
    fn admit_cold(&self, server: &Server, part: &PartState, class: usize, holders: usize) -> ColdAdmission {
        let (warmth, cold, id) = (self.warmth(server), &self.settings.cold, server.listed.server);
        if warmth >= 1.0 {
            return ColdAdmission::Allowed;
        }
        let planned = self.planned.get(&id).map_or(0.0, |planned| planned.work);
        let sent = server.cold_sends.iter().map(|(_, work)| work).sum::<f64>() + planned * self.unit;
        let work = self.classes[class].cost * self.unit;
        let (front_nodes, window) = (f64::from(self.settings.front_nodes), cold.window.as_secs_f64());
        let limit = cold.fall_multiple * warmth * window / front_nodes;
        if limit >= work && self.classes[class].cost_samples > 0.0 {
            let windows_up = (self.now.since(self.first_step_at).as_secs_f64() / window).min(1.0);
            let within = sent + work <= limit * windows_up && !self.budgets_suspended();
            return if within { ColdAdmission::Allowed } else { ColdAdmission::Refused };
        }
        let demand = self.cell_demand[(part.shard.0 % self.settings.cells) as usize];
        let sent_share = ((demand.sent + PRIOR_OUTCOMES) / (demand.requested + PRIOR_OUTCOMES)).min(1.0);
        let probability =
            (cold.fall_multiple * COLD_SELECTION_SHARE).min(1.0) * warmth * sent_share / holders as f64;
        let selected = (mix(part.id.0 ^ mix(id.0 ^ self.seed)) as f64) < probability * u64::MAX as f64;
        if selected && !part.tried.contains(&id) { ColdAdmission::Selected } else { ColdAdmission::Refused }
    }

    /// Chooses the replica for a part: the home replica if it is good enough, else the one with the best
    /// score, among those predicted to finish it within `allowed` units.
    fn choose_replica(
        &mut self,
        query: &QueryState,
        part: &PartState,
        allowed: f64,
    ) -> Result<Candidate, MissingReason> {
        let holders = self.holders(part.shard);
        holders.iter().for_each(|id| self.refresh_server(*id));
        let (settings, min_time) = (&self.settings, self.classes[query.class].min_time);
        let server_of = |n: &u32| self.attempts.get(&(part.id, *n)).map(|a| a.server);
        let already_at: Vec<ServerId> = part.in_flight.iter().filter_map(server_of).collect();
        let call_cost = settings.call_cost.as_secs_f64() / self.unit;
        let mut candidates: Vec<Candidate> = Vec::new();
        let unserved = query.parts.iter().filter(|p| !p.served).count().max(1) as f64;
        let spreads =
            ADMISSION_SPREADS + if self.peers_report() { SPREADS_PER_LN_PARTS * unserved.ln() } else { 0.0 };
        // The unavailable replica that ranks highest as a home, and why it is unavailable.
        let mut unavailable: Option<(HomeRank, ServerId, BypassReason)> = None;
        for &id in &holders {
            let Some(server) = self.servers.get(&id) else { continue };
            let (calls, overdue) =
                self.in_flight.get(&id).map_or((0, 0.0), |it| (it.calls.len(), it.overdue));
            let planned = self.planned.get(&id).copied().unwrap_or_default();
            let crosses = settings.cross_zone_price > 0.0 && server.listed.zone != settings.zone;
            // Where calls are shared, the home depends on the query alone, so that neighbouring shards share
            // it.
            let shard = if settings.batch > 1 && call_cost > 0.0 { 0 } else { u64::from(part.shard.0) };
            let admission = self.admit_cold(server, part, query.class, holders.len());
            let selected = admission == ColdAdmission::Selected;
            let home_rank = HomeRank {
                selected,
                same_zone: !crosses,
                hash: mix(query.key_hash ^ mix(shard ^ mix(id.0 ^ 0x5eed))),
            };
            // A draining server remains a candidate for as long as the rules allow, with a worse score.
            let up = server.listed.state == ServerState::Up;
            let reason = match up || server.listed.send_until.is_some_and(|until| self.now < until) {
                true if already_at.contains(&id) => Some(BypassReason::Tried),
                true if admission != ColdAdmission::Refused => None,
                true => Some(BypassReason::Cold),
                false => Some(BypassReason::Draining),
            };
            if let Some(reason) = reason {
                unavailable = unavailable.max(Some((home_rank, id, reason)));
                continue;
            }
            let x = self.features(server, id, query.class, part.hint_excess);
            let warmth = self.warmth(server);
            // A part sent to a cold server by random selection does not queue there, however long the queues
            // elsewhere are, which the fit reflects: its prediction is the initial one.
            let initial_time = settings.classes[query.class].aim.as_secs_f64() / self.mean_aim;
            let fitted =
                if selected { initial_time } else { server.fit.weights.dot(&x).max(min_time) } / warmth;
            let predicted = fitted.max(overdue).max(server.min_time);
            // A server that is sent nothing teaches nothing: the excess of its estimate over the initial one
            // decays while it is sent none.
            let initial_estimate = initial_time * (1.0 + INITIAL_SPREAD);
            let intervals_unused =
                self.now.since(server.last_sent).as_secs_f64() / self.outcome_interval() - 1.0;
            let intervals_unused = if calls == 0 { intervals_unused.max(0.0) } else { 0.0 };
            // The time to an answer is that of all expected tries.
            let excess =
                predicted * server.expected_tries() * (1.0 + spreads * server.fit.spread) - initial_estimate;
            let upper_estimate =
                initial_estimate + excess.min(0.0) + excess.max(0.0) * 0.5_f64.powf(intervals_unused);
            let shares_call = planned.parts % settings.batch != 0;
            let penalty = f64::from(u8::from(crosses)) * CROSS_ZONE_WEIGHT * settings.cross_zone_price
                + f64::from(u8::from(!up)) * MAX_HOME_RATIO;
            let saved = if shares_call { SHARED_CALL_WEIGHT * call_cost } else { 0.0 };
            candidates.push(Candidate {
                server: id,
                upper_estimate,
                tried: part.tried.contains(&id),
                score: predicted
                    * if selected { warmth } else { 1.0 + penalty }
                    * server.expected_tries().powi(2)
                    - saved,
                home_rank,
                calls: calls + usize::from(planned.parts > 0 && !shares_call),
                failure_factor: server.expected_tries().powi(2),
                choice: None,
            });
        }
        candidates.sort_by(|a, b| a.tried.cmp(&b.tried).then(a.score.total_cmp(&b.score)));
        let best = candidates.first().ok_or(MissingReason::NoReplica)?.score;
        let home =
            candidates.iter().enumerate().max_by_key(|(_, c)| c.home_rank).map_or(0, |(index, _)| index);
        let c = &candidates[home];
        let bypassed = match c.score <= MAX_HOME_RATIO * best {
            _ if c.tried => {
                Some(if part.cancelled { BypassReason::Unresponsive } else { BypassReason::Tried })
            }
            _ if c.calls > MAX_HOME_CALLS => Some(BypassReason::Busy),
            true => None,
            false if c.score <= MAX_HOME_RATIO * best * c.failure_factor => Some(BypassReason::Suspect),
            false => Some(BypassReason::Slow),
        };
        let available_home = (c.server, bypassed.unwrap_or(BypassReason::Late));
        let (first, reason) = unavailable
            .filter(|(rank, ..)| *rank > c.home_rank)
            .map_or(available_home, |(_, id, reason)| (id, reason));
        if bypassed.is_none() {
            candidates[..=home].rotate_right(1);
        }
        let mut c =
            candidates.into_iter().find(|c| c.upper_estimate <= allowed).ok_or(MissingReason::Late)?;
        let (predicted, allowed) = ((c.upper_estimate * self.unit) as f32, (allowed * self.unit) as f32);
        let bypassed = (c.server != first).then_some(reason);
        c.choice = Some(Choice { home: first, bypassed, predicted, allowed });
        Ok(c)
    }

    fn advance_query(&mut self, number: QueryNumber, actions: &mut Vec<Action>) {
        let Some(mut query) = self.queries.remove(&number) else { return };
        match self.decide_query(&mut query, actions) {
            QueryDecision::KeepOpen => drop(self.queries.insert(number, query)),
            QueryDecision::Answer { complete, cause } => {
                actions.push(Action::Answer { query: query.id, complete, why: query.ending(cause) });
                self.cancel_attempts(&mut query, actions);
                if self.settings.classes[query.class].follow_up > 0 && !query.second_step {
                    query.second_step = true;
                    query.first_step_partial = !complete;
                    query.parts.clear();
                    self.queries.insert(number, query);
                }
            }
            QueryDecision::GiveUp(cause) => {
                let why = query.ending(cause);
                let class = &self.settings.classes[query.class];
                let may_have_run = |p: &PartState| p.may_have_run.is_some() || !p.in_flight.is_empty();
                if class.retry_safety == RetrySafety::Safe || !query.parts.iter().any(may_have_run) {
                    // After the aim another try may earn nothing: the client then best stays away for long.
                    let worthless =
                        self.now.after(self.reply_margin) >= query.aim_at && class.late_share == 0.0;
                    let retry_after =
                        if worthless { class.deadline } else { class.aim.mul_f64(RETRY_AFTER_SHARE) };
                    let (query, retry_after) = (query.id, retry_after.min(self.settings.max_retry_after));
                    actions.push(Action::Refuse { query, retry_after, why });
                } else {
                    actions.push(Action::Fail { query: query.id, why });
                }
                self.cancel_attempts(&mut query, actions);
            }
        }
    }

    /// Decides whether a query ends now; if not, sends the parts that are worth sending.
    fn decide_query(&mut self, query: &mut QueryState, actions: &mut Vec<Action>) -> QueryDecision {
        let class = self.settings.classes[query.class].clone();
        let need = if query.second_step { 1.0 } else { class.need };
        let floor = if class.floor < class.need { class.floor } else { need };
        let served: f64 = query.parts.iter().filter(|p| p.served).map(|p| p.weight).sum();
        if served >= need - EPSILON && !query.parts.is_empty() {
            return QueryDecision::Answer { complete: !query.first_step_partial, cause: Cause::Complete };
        }
        let ends_at = query.ends_at.before(self.reply_margin);
        let aim_at = query
            .aim_at
            .before(self.reply_margin.saturating_add(self.settings.network_allowance))
            .min(ends_at);
        let partial = served >= floor - EPSILON && floor < need && served > 0.0;
        // After the aim any answer earns the late share only: a partial answer at the aim may earn more.
        let partial_worth = if partial { class.partial_worth * served / need } else { 0.0 };
        let target = if self.now >= aim_at && class.late_share > partial_worth { ends_at } else { aim_at };
        let first_of_two = class.follow_up > 0 && !query.second_step;
        // Time reserved for a second step: that of an overdue part of the class on an idle server.
        let idle_features = Features::new(1.0, self.classes[query.class].cost, 0.0, 0.0, 0.0);
        let idle_time = self.pooled_fit.weights.dot(&idle_features).max(self.classes[query.class].min_time);
        let reserve = if first_of_two { idle_time * (1.0 + OVERDUE_SPREADS * INITIAL_SPREAD) } else { 0.0 };
        let end = |cause| match partial {
            true => QueryDecision::Answer { complete: false, cause },
            false => QueryDecision::GiveUp(cause),
        };
        let time_left = target.since(self.now).as_secs_f64() / self.unit;
        if time_left <= 0.0 || (partial && time_left <= reserve) {
            return end(Cause::TimeUp);
        }
        if query.parts.is_empty() {
            return QueryDecision::KeepOpen;
        }
        (query.need, query.floor) = (need, floor);
        self.cancel_unresponsive(query, time_left - reserve, actions);
        let (reachable, pending) = self.send_parts(query, time_left - reserve, actions);
        if reachable < floor - EPSILON || !pending {
            return end(if reachable < floor - EPSILON { Cause::BelowFloor } else { Cause::NothingInFlight });
        }
        QueryDecision::KeepOpen
    }

    /// Sends parts that have no attempt in flight, if the reachable weight is at least the floor. Parts are
    /// planned within `allowed` units. Returns the reachable weight, that of the parts served, in flight or
    /// planned, and whether any part may still be served.
    fn send_parts(&mut self, query: &mut QueryState, allowed: f64, actions: &mut Vec<Action>) -> (f64, bool) {
        let (mut served, mut in_flight) = (0.0, 0.0);
        let mut unsent: Vec<usize> = Vec::new();
        for index in 0..query.parts.len() {
            let part = &query.parts[index];
            if part.served {
                served += part.weight;
            } else if !part.in_flight.is_empty() {
                in_flight += part.weight;
            } else if part.attempts < self.settings.max_attempts && self.may_resend(query, part) {
                unsent.push(index);
            } else {
                let spent = part.attempts >= self.settings.max_attempts;
                query.parts[index].missing =
                    if spent { MissingReason::AttemptsExhausted } else { MissingReason::UnsafeToRetry };
            }
        }
        unsent.sort_by(|&a, &b| query.parts[b].weight.total_cmp(&query.parts[a].weight));
        let planned_before = self.planned.clone();
        let mut plan: Vec<(usize, Candidate)> = Vec::new();
        let mut reachable = served + in_flight;
        // A part that the budget keeps from being retried is lost: it is better that the client repeats its
        // query at once than that it waits.
        let mut retries_left = self.retries_left();
        // Work in flight goes on after a refusal: once any part is in flight or served, a part that no
        // replica can take in time waits.
        let begun = query.parts.iter().any(|part| part.served || !part.in_flight.is_empty());
        let (cost, min_time) = (self.classes[query.class].cost, self.classes[query.class].min_time);
        let mut waits = false;
        for index in unsent {
            let retry = usize::from(query.parts[index].attempts > 0);
            if retry > retries_left {
                query.parts[index].missing = MissingReason::BudgetExhausted;
                continue;
            }
            let allowed_share = self.allowed_share(query, index, reachable);
            // A part that earns less than the mean leaves queues short enough for the class with the shortest
            // aim. That bounds the time it waits, and not the work of its own query's parts, which the
            // servers of its cell do when idle.
            let low_worth = allowed_share < 1.0 && allowed > self.shortest_aim * (1.0 + INITIAL_SPREAD);
            let cell = |part: &PartState| part.shard.0 % self.settings.cells;
            let in_cell = query.parts.iter().filter(|p| cell(p) == cell(&query.parts[index])).count();
            let own_features = Features::new(1.0, cost, cost * (in_cell as f64 - 1.0), 0.0, 0.0);
            let own_time = self.pooled_fit.weights.dot(&own_features).max(min_time) * (1.0 + INITIAL_SPREAD);
            let short_allowed = (self.shortest_aim * allowed_share + own_time).min(allowed);
            let allowed = if low_worth { short_allowed } else { allowed * allowed_share };
            let choice = self.choose_replica(query, &query.parts[index], allowed);
            query.parts[index].missing = choice.as_ref().err().copied().unwrap_or(MissingReason::Withheld);
            if begun && query.parts[index].missing == MissingReason::Late {
                waits = true;
                reachable += query.parts[index].weight;
            } else if let Ok(choice) = choice {
                reachable += query.parts[index].weight;
                self.plan(choice.server, query.class);
                retries_left -= retry;
                plan.push((index, choice));
            }
        }
        self.planned = planned_before;
        if reachable < query.floor - EPSILON {
            return (reachable, false);
        }
        let pending = in_flight > 0.0 || !plan.is_empty() || waits;
        for (index, choice) in plan {
            self.send(query, index, &choice, actions);
        }
        (reachable, pending)
    }

    /// Cancels overdue attempts at servers that failed recently and have answered nothing since they were
    /// sent, if another replica can serve the part well within `allowed` units.
    ///
    /// Guards against servers and connections that drop work silently: a server that is merely busy still
    /// answers earlier requests. The work of a server that was only paused is wasted, which adds to an
    /// overload: hence the conditions on recent failures and on the time left.
    fn cancel_unresponsive(&mut self, query: &QueryState, allowed: f64, actions: &mut Vec<Action>) {
        let min_age = self.settings.classes[query.class].aim.mul_f64(UNRESPONSIVE_AIM_SHARE);
        let max_attempts = self.settings.max_attempts;
        for part in query.parts.iter().filter(|p| !p.served && p.attempts < max_attempts) {
            let [number] = part.in_flight[..] else { continue };
            let Some(attempt) = self.attempts.get(&(part.id, number)) else { continue };
            let is_unresponsive = |s: &Server| {
                s.last_answer > Time(0)
                    && s.last_answer < attempt.sent
                    && s.expected_tries() >= UNRESPONSIVE_MIN_TRIES
            };
            let unresponsive = self.servers.get(&attempt.server).is_some_and(is_unresponsive);
            let early = !attempt.overdue || self.now.since(attempt.sent) < min_age;
            if !unresponsive
                || early
                || attempt.abandoned
                || !self.settings.cancel
                || !self.may_resend(query, part)
            {
                continue;
            }
            if self.choose_replica(query, part, allowed * UNRESPONSIVE_RETRY_SHARE).is_ok_and(|c| !c.tried)
                && let Some(attempt) = self.attempts.get_mut(&(part.id, number))
            {
                attempt.abandoned = true;
                actions.push(Action::Cancel {
                    part: part.id,
                    attempt: number,
                    why: CancelReason::Unresponsive,
                });
            }
        }
    }

    /// Share of the time left that a part may be predicted to take, by its worth per work relative to the
    /// recent mean. Guards against overload of any kind; unsuitable where the mean is no measure of what will
    /// be requested next.
    fn allowed_share(&self, query: &QueryState, index: usize, reachable: f64) -> f64 {
        let class = &self.settings.classes[query.class];
        let unserved = query.parts.iter().filter(|p| !p.served).count().max(1) as f64;
        let earns = match query.floor < query.need {
            true if reachable < query.floor => query.parts[index].weight.max(1.0 / query.parts.len() as f64),
            true => query.parts[index].weight * class.partial_worth,
            false => 1.0 / (unserved * query.need),
        };
        // At present costs: a mean of worth per work would lag behind them, and hold the old ones against a
        // cost that was just learned.
        let work = self.classes.iter().map(|class| class.requested * class.cost).sum::<f64>();
        let mean = (self.worth_requested / work.max(EPSILON)).max(EPSILON);
        // After its aim a query has the time to its end, and queues as long as that would form.
        let worth = query.worth * if self.now < query.aim_at { 1.0 } else { class.late_share };
        let exponent = if self.peers_report() { WORTH_EXPONENT_WITH_PEERS } else { WORTH_EXPONENT };
        let share = (worth * earns / self.classes[query.class].cost / mean).powf(exponent);
        share.clamp(MIN_ALLOWED_SHARE, 1.0).max(share / MAX_ALLOWED_SHARE).min(MAX_ALLOWED_SHARE)
    }

    /// Whether another attempt can do no harm: the part is safe, keyed and within its window, or never ran.
    fn may_resend(&self, query: &QueryState, part: &PartState) -> bool {
        let sent_of = |n: &u32| self.attempts.get(&(part.id, *n)).map(|a| a.sent);
        let in_flight = part.in_flight.iter().filter_map(sent_of).min();
        let first = part.may_have_run.into_iter().chain(in_flight).min();
        match (self.settings.classes[query.class].retry_safety, first) {
            (RetrySafety::Safe, _) | (_, None) => true,
            (RetrySafety::Keyed(window), Some(first)) => {
                self.now.after(self.reply_margin) <= first.after(window)
            }
            (RetrySafety::Unsafe, Some(_)) => false,
        }
    }

    /// Retries that the budget still allows. A tick is added at both ends of the window to stay on the safe
    /// side.
    fn retries_left(&self) -> usize {
        let Some(budget) = self.settings.budget else { return usize::MAX };
        let start = self.now.before(budget.window.saturating_sub(self.settings.tick));
        let accepted = self.accepted.len() - self.accepted.partition_point(|&t| t <= start);
        let allowed = (budget.free + budget.share * accepted as f64) as usize;
        if self.budgets_suspended() { 0 } else { allowed.saturating_sub(self.retries.len()) }
    }

    fn plan(&mut self, server: ServerId, class: usize) {
        let planned = self.planned.entry(server).or_default();
        if planned.parts.is_multiple_of(self.settings.batch) {
            planned.work += self.settings.call_cost.as_secs_f64() / self.unit;
        }
        planned.parts += 1;
        planned.work += self.classes[class].cost;
    }

    fn send(&mut self, query: &mut QueryState, index: usize, to: &Candidate, actions: &mut Vec<Action>) {
        let (id, Some(why)) = (to.server, to.choice) else { return };
        let Some(server) = self.servers.get(&id) else { return };
        let features = self.features(server, id, query.class, query.parts[index].hint_excess);
        let warmth = self.warmth(server);
        let work_before = self.planned.get(&id).map_or(0.0, |p| p.work);
        self.plan(id, query.class);
        let planned = self.planned[&id];
        let work = planned.work - work_before;
        let call = (self.steps << 16) | u64::from((planned.parts - 1) / self.settings.batch);
        let now = self.now;
        let idle_since = now.before(Duration::from_secs_f64(self.mean_aim * IDLE_AIM_SHARE));
        let Some(server) = self.servers.get_mut(&id) else { return };
        if warmth < 1.0 {
            server.cold_sends.push_back((now, work * self.unit));
        }
        // Guards against connections that were dropped unnoticed while idle. They are kept where new ones
        // fail.
        let idle =
            work_before == 0.0 && !self.in_flight.contains_key(&id) && server.connections_used < idle_since;
        // A failure costs about half a part, as another try mostly succeeds.
        let renew = self.failure_rates.new + 2.0 * self.settings.handshake_price < self.failure_rates.reused;
        if idle && (renew || server.connections_used == Time(0)) {
            actions.push(Action::CloseIdle { server: id });
        }
        let on_new_connection = (idle && server.connections_used > Time(0)).then_some(renew);
        (server.last_sent, server.connections_used) = (now, now);
        let part = &mut query.parts[index];
        let number = part.attempts;
        let cell = (part.shard.0 % self.settings.cells) as usize;
        self.cell_demand[cell].sent += f64::from(u8::from(number == 0));
        if number > 0 && self.settings.budget.is_some() {
            self.retries.push_back(now);
        }
        part.attempts += 1;
        part.in_flight.push(number);
        part.tried.push(id);
        let attempt = Attempt {
            query: query.number,
            class: query.class,
            sent: now,
            on_new_connection,
            server: id,
            call,
            features,
            work,
            ..Attempt::default()
        };
        self.sent_in_step.push((part.id, number));
        self.attempts.insert((part.id, number), attempt);
        let late = self.settings.classes[query.class].late_share > 0.0;
        let until = if late { query.ends_at } else { query.aim_at.min(query.ends_at) };
        let timeout = until.since(now).max(self.settings.tick);
        actions.push(Action::Send { part: part.id, server: id, timeout, why });
    }

    fn cancel_attempts(&mut self, query: &mut QueryState, actions: &mut Vec<Action>) {
        for part in &mut query.parts {
            for number in part.in_flight.drain(..) {
                if let Some(attempt) = self.attempts.get_mut(&(part.id, number)) {
                    attempt.abandoned = true;
                }
                if self.settings.cancel {
                    actions.push(Action::Cancel {
                        part: part.id,
                        attempt: number,
                        why: CancelReason::QueryEnded,
                    });
                }
            }
        }
    }

    /// Keeps a timer set while queries are open, and subscribes to the list of servers when that is due.
    fn schedule_wakeups(&mut self, actions: &mut Vec<Action>) {
        if self.watch_at.is_some_and(|at| at <= self.now) {
            self.watch_at = None;
            actions.push(Action::WatchServers);
        }
        if self.timer_at.is_some_and(|at| at > self.now)
            || (self.queries.is_empty() && self.watch_at.is_none())
        {
            return;
        }
        let at = self.now.after(self.settings.tick.saturating_mul(REVIEW_INTERVAL_TICKS));
        self.timer_at = Some(at);
        actions.push(Action::SetTimer { timer: TimerId(self.steps), at });
    }
}

impl QueryState {
    fn ending(&self, cause: Cause) -> Ending {
        let why = |p: &PartState| if p.in_flight.is_empty() { p.missing } else { MissingReason::InFlight };
        Ending { cause, missing: self.parts.iter().filter(|p| !p.served).map(|p| (p.id, why(p))).collect() }
    }
}

impl Server {
    /// Expected attempts until one is served there, from its recent outcomes.
    ///
    /// Guards against servers that fail quickly, hang, are gone, or come and go, and against faults between a
    /// server and this front node alone, where some attempts succeed and others fail. It is a factor in the
    /// time and, squared, as retries cost budget too, in the score. It excludes no server, so that a wrong
    /// estimate costs balance, and never a query.
    fn expected_tries(&self) -> f64 {
        (self.failures + self.successes + 1.0) / (self.successes + 1.0)
    }
}

/// Mixes the bits of a hash (finaliser of splitmix64).
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
