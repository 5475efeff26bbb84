//! Every decision of the router, in the order in which a query travels; why so: `docs/design/decisions.md`.
//! A query is taken in with its parts; each part's time is predicted at each replica by a linear fit; a
//! part goes to the first replica, home first, that can finish before the aim, and else stays unsent;
//! the query is answered from the parts that came. What follows that path guards it against failures.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::f64::consts::LN_2;
use std::time::Duration;

use nalgebra::{SMatrix, SVector};

use crate::interface::*;

mod avoided;
pub mod snapshot;

/// Features of the fit: intercept, cost of the class, own work out at the server, its reported load, and what
/// the part's hint says beyond the cost of its class.
const FEATURES: usize = 5;
/// Predictions start at this share of the aim (DESIGN's tenth).
const START_SHARE: f64 = 0.1;
/// Half-life of what was learned, in mean aims: outlasts noise; where others tell, as fast as queues empty.
const HALF_LIFE_AIMS: [f64; 2] = [4.0, 0.4];
/// The check then adds so many spreads for each e-fold of the parts waited for: the last one decides.
const TOLD_SPREADS: f64 = 0.1;
/// The cost is a time already and hardly tells from the intercept: its weight is held so much harder.
const COST_HOLD: f64 = 10.0;
/// A server's own fit is pulled to the average fit with the weight of so many outcomes.
const POOL_WEIGHT: f64 = 3.0;
/// Relative spread of part times before any is known: long-tailed, but well under the mean.
const START_SPREAD: f64 = 0.5;
/// Relative errors are cut off here: one stall should count once, not as its square.
const MAX_ERROR: f64 = 2.0;
/// No part is predicted to take under this share of its class's start value, whatever the fit says.
const LEAST_TIME: f64 = 0.2;
/// A class's cost is the mean of about so many outcomes.
const COST_MEMORY: f64 = 30.0;
/// The check adds so many spreads to the fit: about two in three parts come sooner.
const CHECK_SPREADS: f64 = 0.6;
/// An attempt is overdue after so many spreads above the fit: few sound ones are.
const OVERDUE_SPREADS: f64 = 2.5;
/// A silent server is left after this share of the aim, at so many tries, for this share of the time left.
const SILENT: [f64; 3] = [0.5, 1.2, 0.5];
/// Own calls out at the home replica up to which it is kept: one in work, as servers work on several.
const HOME_CALLS: usize = 1;
/// The home replica is left too when its prediction is so many times the best one.
const HOME_RATIO: f64 = 1.5;
/// Ranking charges a zone crossing so many times its price in predicted time.
const CROSSING_WEIGHT: f64 = 5.0;
/// Ranking credits a shared call with so many times the work it saves.
const SHARING_WEIGHT: f64 = 4.0;
/// Replies go out so many ticks before the aim or the client's end: rounds and the way back.
const MARGIN_TICKS: u32 = 3;
/// Open queries are looked at every so many ticks.
const LOOK_TICKS: u32 = 2;
/// Connections idle for this share of the mean aim are closed before the next send ...
const IDLE_SHARE: f64 = 0.25;
/// ... while fewer fresh ones end badly than kept ones: shares of late, that start and fade back to these.
const BAD_ENDS: [f64; 2] = [0.25, 0.1];
/// Weight of each end in these shares: two failures in a row tell.
const END_WEIGHT: f64 = 0.1;
/// A refused client is asked to stay away for this share of its class's aim.
pub(crate) const HOLD_OFF_SHARE: f64 = 0.15;
/// A part's share of the time left shrinks with this power of its worth per work; harder where others tell.
const WORTH_POWER: [f64; 2] = [0.35, 0.5];
/// Least such share, so that an idle server serves anything, and most: where the fit without spread passes.
const PATIENCE: [f64; 2] = [0.25, 2.0];
/// Of the calls that push a cold server over in the mean, lots send it so many: by chance it gets some more.
const LOTS_SHARE: f64 = 0.6;
/// Quotas are counted over so many mean aims: as long as bursts that still are within a share.
const QUOTA_AIMS: f64 = 2.0;
/// For rounding.
const EPSILON: f64 = 5e-5;

type Features = SVector<f64, FEATURES>;
/// Weights before any outcome: the cost, and half of the work out, as servers do two parts at once.
const START_WEIGHTS: Features = Features::new(0.0, 1.0, 0.5, 0.0, 0.0);

/// Least squares with forgetting, kept as sums that fade when they are next looked at.
#[derive(Clone, Default)]
struct Fit {
    a: SMatrix<f64, FEATURES, FEATURES>,
    b: Features,
    count: f64,
    /// To when the sums are faded.
    faded: Time,
    /// Sum of relative errors, cut off, so that a stall here and there doesn't swamp it.
    errors: f64,
    weights: Features,
    spread: f64,
}

impl Fit {
    fn learn(&mut self, x: &Features, y: f64, error: f64) {
        self.a += x * x.transpose();
        self.b += x * y;
        self.count += 1.0;
        self.errors += error.abs();
    }

    /// Fades what was learned, and refits with `prior` and its spread counted as a few outcomes.
    fn refit(&mut self, now: Time, half_life: f64, prior: &Features, spread: f64) {
        let keep = 0.5_f64.powf(now.since(self.faded).as_secs_f64() / half_life);
        self.faded = now;
        self.a *= keep;
        self.b *= keep;
        self.count *= keep;
        self.errors *= keep;
        let hold = Features::new(1.0, COST_HOLD, 1.0, 1.0, 1.0) * POOL_WEIGHT;
        let a = self.a + SMatrix::from_diagonal(&hold);
        let b = self.b + hold.component_mul(prior);
        self.weights = a.cholesky().map_or(*prior, |a| a.solve(&b));
        // More work never makes a part faster: a fit that says so has seen too little.
        self.weights.iter_mut().skip(2).for_each(|w| *w = w.max(0.0));
        self.spread = (self.errors + POOL_WEIGHT * spread) / (self.count + POOL_WEIGHT);
    }
}

/// What is known of a server.
#[derive(Clone, Default)]
struct Server {
    listed: ServerEntry,
    fit: Fit,
    /// What its last attempts took at the least, in units, fading: a bound as the age of one out is.
    bound: f64,
    /// Its last reported load, fading with the mean aim.
    report: f64,
    /// Faded counts of attempts that failed or were overdue, and of good ones.
    bad: f64,
    good: f64,
    /// When something was last sent there, or told of it.
    last_sent: Time,
    /// When a connection to it was last lost.
    lost: Time,
    /// When it last answered anything.
    heard: Time,
    /// When its connections last carried an attempt that was answered, or a send.
    last_used: Time,
    /// Work sent while cold, in seconds.
    cold_sends: VecDeque<(Time, f64)>,
}

/// What this front node has out at a server.
#[derive(Clone, Default)]
struct Out {
    calls: BTreeSet<u64>,
    /// Its work in units.
    work: f64,
    /// Age of the oldest overdue attempt, in units: a lower bound on what the server takes now.
    overdue: f64,
}

/// An attempt that is out.
#[derive(Default)]
struct Attempt {
    query: QueryNumber,
    server: ServerId,
    class: usize,
    sent: Time,
    call: u64,
    x: Features,
    work: f64,
    expected: f64,
    due: f64,
    overdue: bool,
    /// Sent where the connection had long been idle: whether on a fresh one.
    fresh: Option<bool>,
    /// No longer waited for.
    left: bool,
}

#[derive(Default)]
struct PartState {
    id: PartId,
    shard: ShardId,
    weight: f64,
    /// Share by which its hint is above its class's mean, or below.
    hint: f64,
    attempts: u32,
    live: Vec<u32>,
    served: bool,
    tried: Vec<ServerId>,
    /// Whether it was taken back from a silent server, and why it is not out.
    silent: bool,
    missing: MissingReason,
    /// When the first attempt that may have run was sent.
    may_have_run: Option<Time>,
}

#[derive(Default)]
struct QueryState {
    id: QueryId,
    number: QueryNumber,
    class: usize,
    /// Worth of a whole answer, by class and tenant.
    worth: f64,
    hash: u64,
    aim_at: Time,
    ends_at: Time,
    parts: Vec<PartState>,
    /// Weight of its parts that makes its step whole, and the least that may be answered.
    need: f64,
    floor: f64,
    second_step: bool,
    first_partial: bool,
}

#[derive(Clone, Default)]
struct ClassState {
    /// Least time that is predicted for a part, in units.
    least: f64,
    /// Learned cost of a part in units, and how many outcomes taught it.
    cost: f64,
    count: f64,
    /// Faded count of parts asked.
    asked: f64,
    /// Mean of its parts' hints of late, in seconds, and how many taught it.
    hint: (f64, f64),
    /// Time left that most tries come with, by majority vote.
    usual: Duration,
    votes: u8,
}

enum Fate {
    Open,
    Answer { whole: bool, cause: Cause },
    GiveUp(Cause),
}

/// A replica that may take a part.
struct Candidate {
    server: ServerId,
    /// Upper estimate of the part's time there, in units.
    upper: f64,
    /// Whether the part was there before.
    tried: bool,
    score: f64,
    home: (bool, bool, u64),
    calls: usize,
    doubt: f64,
    why: Option<Choice>,
}

/// Decides for one front node. See the crate's page for how to drive it.
pub struct Router(Node);

/// What a front node knows and has under way.
#[derive(Default)]
struct Node {
    settings: Settings,
    now: Time,
    /// The unit of the fit, in seconds.
    unit: f64,
    mean_aim: f64,
    half_life: f64,
    /// When another front node last told of anything.
    told: Option<Time>,
    shortest: f64,
    longest: Duration,
    margin: Duration,
    servers: BTreeMap<ServerId, Server>,
    hand_over: snapshot::HandOver,
    /// Servers by cell.
    cells: BTreeMap<u32, Vec<ServerId>>,
    pool: Fit,
    classes: Vec<ClassState>,
    queries: BTreeMap<QueryNumber, QueryState>,
    attempts: BTreeMap<(PartId, u32), Attempt>,
    out: BTreeMap<ServerId, Out>,
    /// Requests taken and further attempts made within the budget's window.
    taken: VecDeque<Time>,
    further: VecDeque<Time>,
    /// Parts planned or sent this step, and their work, by server.
    planned: BTreeMap<ServerId, (u32, f64)>,
    /// Attempts sent this step.
    fresh: Vec<(PartId, u32)>,
    /// For each tenant its quota here, and the queries within it lately, draining at that rate.
    quotas: Vec<(f64, f64)>,
    /// Shares of bad ends of late, of attempts on connections long idle and of those on fresh ones instead.
    ends: [f64; 2],
    /// Faded worth of what was asked.
    asked: f64,
    /// Faded counts of parts asked and sent, by the first cell that holds them.
    cells_asked: Vec<[f64; 2]>,
    born: Time,
    steps: u64,
    timer_at: Option<Time>,
    watch_at: Option<Time>,
    /// Spreads homes differently at each front node where queries carry no key.
    seed: u64,
}

impl Router {
    /// A router that knows nothing but its settings.
    ///
    /// # Errors
    ///
    /// Names the first field of the settings that cannot be true.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aims = settings.classes.iter().map(|c| c.aim.as_secs_f64());
        let mean_aim = aims.clone().sum::<f64>() / settings.classes.len() as f64;
        let start = |c: &Class| c.aim.as_secs_f64() / mean_aim;
        let class = |c| ClassState { least: LEAST_TIME * start(c), cost: start(c), ..ClassState::default() };
        let quota = |t: &Tenant| (t.quota_per_second / f64::from(settings.front_nodes), 0.0);
        Ok(Router(Node {
            unit: mean_aim * START_SHARE,
            mean_aim,
            half_life: HALF_LIFE_AIMS[0] * mean_aim,
            shortest: aims.fold(f64::MAX, f64::min) / (mean_aim * START_SHARE),
            margin: settings.tick.saturating_mul(MARGIN_TICKS),
            longest: settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
            classes: settings.classes.iter().map(class).collect(),
            quotas: settings.tenants.iter().map(quota).collect(),
            watch_at: settings.list_on_request.then_some(Time(0)),
            ends: BAD_ENDS,
            cells_asked: vec![[0.0; 2]; settings.cells as usize],
            seed,
            settings,
            ..Node::default()
        }))
    }

    /// Takes in what happened since the last step and says what to do now.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        let node = &mut self.0;
        let elapsed = now.since(node.now).as_secs_f64();
        node.now = node.now.max(now);
        node.born = if node.steps == 0 { now } else { node.born };
        node.planned.clear();
        node.steps += 1;
        node.age(elapsed);
        events.iter().for_each(|event| node.take(event, actions));
        node.survey();
        let open: Vec<QueryNumber> = node.queries.keys().copied().collect();
        open.into_iter().for_each(|number| node.advance(number, actions));
        node.share_features();
        node.keep_watch(actions);
    }
}

impl Node {
    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Query(query) => self.take_query(query),
            Event::Part(part) => self.take_part(part),
            Event::Outcome { part, attempt, verdict, took, load } => {
                self.take_outcome(*part, *attempt, *verdict, *took, load);
            }
            Event::ClientGone(id) => {
                let number = self.queries.iter().find(|(_, q)| q.id == *id).map(|(n, _)| *n);
                if let Some(mut query) = number.and_then(|n| self.queries.remove(&n)) {
                    self.cancel_all(&mut query, actions);
                }
            }
            Event::Servers(list) => {
                let listed: BTreeSet<ServerId> = list.iter().map(|l| l.server).collect();
                self.servers.retain(|id, _| listed.contains(id));
                self.take_list(list);
            }
            Event::ServersChanged(list) => self.take_list(list),
            Event::ServersFailed if self.settings.list_on_request => {
                self.watch_at = Some(self.now.after(Duration::from_secs_f64(self.mean_aim)));
            }
            Event::PeerOutcome { server, class, verdict, took } => {
                self.hear(*server, *class, *verdict, took.as_secs_f64() / self.unit);
            }
            Event::Timer(_) | Event::ServersFailed | Event::Probed { .. } => {}
        }
    }

    fn take_query(&mut self, query: &Query) {
        self.taken.push_back(self.now);
        let Some(class) = self.settings.classes.get(query.class) else { return };
        // Beyond its tenant's share a query is worth little. Each front node takes an even part of the quota.
        let (bucket, room) = (self.quotas.get_mut(query.tenant), QUOTA_AIMS * self.mean_aim);
        let over = bucket.as_ref().is_some_and(|(rate, used)| *used + 1.0 > (rate * room).max(1.0));
        if let Some((_, used)) = bucket.filter(|_| !over) {
            *used += 1.0;
        }
        let worth = class.worth * if over { self.settings.over_share_worth } else { 1.0 };
        // First tries of a class come with the same time left; less or more than that is what remained to a
        // client, from whose first try the aim counts. Hurts clients that are impatient by nature.
        let memory = &mut self.classes[query.class];
        let alike = query.time_left.abs_diff(memory.usual) <= self.margin;
        memory.votes = if alike { memory.votes.saturating_add(1) } else { memory.votes.saturating_sub(1) };
        memory.usual = if memory.votes == 0 { query.time_left } else { memory.usual };
        let odd = !alike && query.time_left != memory.usual && !self.settings.retries_marked;
        let again = query.is_retry || odd;
        let waited = if again { class.deadline.saturating_sub(query.time_left) } else { Duration::ZERO };
        let state = QueryState {
            id: query.id,
            number: query.number,
            class: query.class,
            worth,
            hash: mix(query.key.unwrap_or(query.id.0 ^ self.seed)),
            aim_at: self.now.before(waited).after(class.aim),
            ends_at: self.now.after(query.time_left),
            ..QueryState::default()
        };
        self.queries.insert(query.number, state);
    }

    fn take_part(&mut self, part: &Part) {
        self.taken.push_back(self.now);
        let Some(query) = self.queries.get_mut(&part.query) else { return };
        let first = query.parts.is_empty() && !query.second_step;
        self.asked += f64::from(u8::from(first)) * query.worth;
        let class = &mut self.classes[query.class];
        class.asked += 1.0;
        self.cells_asked[(part.shard.0 % self.settings.cells) as usize][0] += 1.0;
        // A guess that is wild teaches no more than one that is far off, and none at all is as the mean.
        let hint = part.hint.map_or(class.hint.0, |hint| hint.as_secs_f64());
        let most = if class.hint.1 > 0.0 { class.hint.0 * (1.0 + MAX_ERROR) } else { self.mean_aim };
        class.hint.1 += f64::from(u8::from(part.hint.is_some()));
        class.hint.0 += (hint.min(most) - class.hint.0) / class.hint.1.clamp(1.0, COST_MEMORY);
        let hint = if class.hint.0 > 0.0 { hint.min(most) / class.hint.0 - 1.0 } else { 0.0 };
        let weight = part.weight.max(0.0);
        query.parts.push(PartState { id: part.id, shard: part.shard, weight, hint, ..PartState::default() });
    }

    fn take_list(&mut self, list: &[ServerEntry]) {
        for listed in list {
            let listed = ServerEntry { cell: listed.cell % self.settings.cells, ..listed.clone() };
            let known = self.servers.get_mut(&listed.server).map(|server| &mut server.listed);
            if listed.state == ServerState::Removed {
                self.servers.remove(&listed.server);
            } else if let Some(known) = known.filter(|k| k.started == listed.started) {
                let until = if known.state == listed.state { known.send_until } else { listed.send_until };
                *known = ServerEntry { send_until: until, ..listed };
            } else {
                // A restart resets the fit: the process that comes back has nothing of the old one's trouble.
                self.servers.insert(listed.server, self.hand_over.server(listed));
            }
        }
        self.cells.clear();
        for (id, server) in &self.servers {
            self.cells.entry(server.listed.cell).or_default().push(*id);
        }
    }

    fn take_outcome(&mut self, id: PartId, number: u32, verdict: Verdict, took: Duration, load: &LoadReport) {
        let Some(attempt) = self.attempts.remove(&(id, number)) else { return };
        self.refresh(attempt.server);
        self.learn(&attempt, verdict, took.as_secs_f64() / self.unit, load);
        let parts = self.queries.get_mut(&attempt.query).map(|q| q.parts.iter_mut());
        let Some(part) = parts.into_iter().flatten().find(|p| p.id == id) else { return };
        part.live.retain(|&n| n != number);
        part.served |= verdict == Verdict::Served;
        part.silent |= attempt.left;
        if !verdict.never_ran() {
            part.may_have_run = part.may_have_run.into_iter().chain([attempt.sent]).min();
        }
    }

    /// Share that is left of what was learned after a time.
    fn keep(&self, elapsed: f64) -> f64 {
        0.5_f64.powf(elapsed / self.half_life)
    }

    /// Whether other front nodes have told of their outcomes of late.
    fn is_told(&self) -> bool {
        self.told.is_some_and(|at| self.now.since(at).as_secs_f64() < self.half_life)
    }

    /// Half-life of the fits, in seconds: shorter while other front nodes tell of their outcomes.
    fn fading(&self) -> f64 {
        HALF_LIFE_AIMS[usize::from(self.is_told())] * self.mean_aim
    }

    fn age(&mut self, elapsed: f64) {
        let keep = self.keep(elapsed);
        self.pool.refit(self.now, self.fading(), &START_WEIGHTS, START_SPREAD);
        self.quotas.iter_mut().for_each(|(rate, used)| *used = (*used - elapsed * *rate).max(0.0));
        self.asked *= keep;
        self.cells_asked.iter_mut().flatten().for_each(|count| *count *= keep);
        self.classes.iter_mut().for_each(|class| class.asked *= keep);
        self.ends.iter_mut().zip(BAD_ENDS).for_each(|(end, start)| *end = start + (*end - start) * keep);
        let window = self.settings.budget.map_or(Duration::ZERO, |b| b.window);
        let start = self.now.before(window.saturating_add(self.settings.tick));
        for times in [&mut self.taken, &mut self.further] {
            times.drain(..times.partition_point(|&t| t < start));
        }
    }

    /// Brings what is known of a server up to now.
    fn refresh(&mut self, id: ServerId) {
        let Some(faded) = self.servers.get(&id).map(|s| s.fit.faded) else { return };
        let keep = self.keep(self.now.since(faded).as_secs_f64());
        let cold_start = self.now.before(self.settings.cold.window);
        let fading = self.fading();
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.bad *= keep;
        server.good *= keep;
        server.report *= keep.powf(HALF_LIFE_AIMS[0]);
        server.bound *= keep.powf(HALF_LIFE_AIMS[0] * 8.0 / f64::from(self.settings.front_nodes));
        server.cold_sends.drain(..server.cold_sends.partition_point(|&(t, _)| t < cold_start));
        server.fit.refit(self.now, fading, &self.pool.weights, self.pool.spread);
    }

    /// Served outcomes teach both fits; one unserved after more than was expected, its server's own.
    fn learn(&mut self, attempt: &Attempt, verdict: Verdict, took: f64, load: &LoadReport) {
        let told = self.is_told();
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        // Where others tell, a server that they have not heard either is what is silent, not the connection.
        let silent = matches!(verdict, Verdict::Cancelled | Verdict::NoAnswer) && attempt.overdue;
        let silent = silent && (!told || server.heard > attempt.sent);
        let own = attempt.sent > Time(0);
        if own {
            server.last_used = if silent { Time(0) } else { self.now };
        }
        if matches!(verdict, Verdict::Served | Verdict::Error | Verdict::Rejected) {
            server.heard = self.now;
        }
        if let Some(fresh) = attempt.fresh {
            let ends = &mut self.ends[usize::from(fresh)];
            let bad = if fresh { Verdict::NoConnection } else { Verdict::ConnectionLost };
            *ends += (f64::from(u8::from(verdict == bad || (silent && !fresh))) - *ends) * END_WEIGHT;
        }
        let reported = load.waiting.or(load.held).or(load.utilisation);
        server.report = reported.filter(|v| v.is_finite()).unwrap_or(server.report);
        let error = (took / attempt.expected - 1.0).min(MAX_ERROR);
        match verdict {
            Verdict::Served => {
                server.fit.learn(&attempt.x, took, error);
                self.pool.learn(&attempt.x, took, error);
                server.good += 1.0;
                server.bound = 0.0;
                if !own {
                    return;
                }
                // What other work out doesn't explain is the class's cost.
                let own = took - server.fit.weights[2] * attempt.x[2];
                let class = &mut self.classes[attempt.class];
                class.count += 1.0;
                let own = own.max(class.least).min(class.cost * (1.0 + MAX_ERROR));
                class.cost += (own - class.cost) / class.count.min(COST_MEMORY);
            }
            Verdict::Cancelled | Verdict::NoAnswer if error > 0.0 => {
                server.fit.learn(&attempt.x, took, error);
                server.bound = server.bound.max(took);
            }
            // Its waiting room is full: it takes an aim and more.
            Verdict::Rejected => {
                server.bound = server.bound.max(self.mean_aim / self.unit);
                server.bad += 1.0;
            }
            Verdict::Cancelled | Verdict::NoAnswer | Verdict::NotSent => {}
            // All parts on a connection are lost with it: that tells of its server once.
            Verdict::ConnectionLost if server.lost == self.now => {}
            Verdict::ConnectionLost => {
                server.lost = self.now;
                server.bad += 1.0;
            }
            _ => server.bad += 1.0,
        }
    }

    /// Another front node's outcome teaches as an own one does, but for what tells of connections.
    fn hear(&mut self, id: ServerId, class: usize, verdict: Verdict, took: f64) {
        self.told = Some(self.now);
        self.refresh(id);
        let (Some(server), Some(known)) = (self.servers.get(&id), self.classes.get(class)) else { return };
        let x = Features::new(1.0, known.cost, 0.0, server.report, 0.0);
        let expected = server.fit.weights.dot(&x).max(known.least) / self.warmth(server);
        let told = Attempt { server: id, class, x, expected, ..Attempt::default() };
        self.learn(&told, verdict, took, &LoadReport::default());
        if let Some(server) = self.servers.get_mut(&id) {
            // An own one is counted when it becomes overdue.
            server.bad += f64::from(u8::from(verdict == Verdict::NoAnswer));
            server.last_sent = self.now;
        }
    }

    /// Sums up what is out at each server, and marks overdue attempts, which count once as bad ends.
    fn survey(&mut self) {
        self.out.clear();
        // An outcome that never came would be kept for ever.
        self.attempts.retain(|_, a| self.now.since(a.sent) < self.longest.saturating_mul(2));
        for attempt in self.attempts.values_mut().filter(|a| !a.left) {
            let Some(server) = self.servers.get_mut(&attempt.server) else { continue };
            let out = self.out.entry(attempt.server).or_default();
            out.work += attempt.work;
            out.calls.insert(attempt.call);
            let age = self.now.since(attempt.sent).as_secs_f64() / self.unit;
            if age > attempt.due {
                out.overdue = out.overdue.max(age);
                server.bad += f64::from(u8::from(!attempt.overdue));
                attempt.overdue = true;
            }
        }
    }

    /// Parts sent together slow each other: all that went to a server in this step is out beside each.
    fn share_features(&mut self) {
        for key in std::mem::take(&mut self.fresh) {
            let server = self.attempts.get(&key).and_then(|a| self.servers.get(&a.server));
            let Some(server) = server else { continue };
            let (warmth, work) = (self.warmth(server), self.work_at(server.listed.server));
            let Some(attempt) = self.attempts.get_mut(&key) else { continue };
            attempt.x[2] = (work - attempt.work).max(0.0);
            let least = self.classes[attempt.class].least;
            attempt.expected = server.fit.weights.dot(&attempt.x).max(least) / warmth;
            attempt.due = attempt.expected * (1.0 + OVERDUE_SPREADS * server.fit.spread);
        }
    }

    /// Seconds between outcomes of a server here: about an aim among few front nodes, several among many.
    fn meeting(&self) -> f64 {
        let each = self.pool.count * LN_2 / self.servers.len().max(1) as f64;
        (self.fading() / each.max(EPSILON)).clamp(self.mean_aim, self.half_life)
    }

    fn work_at(&self, id: ServerId) -> f64 {
        self.out.get(&id).map_or(0.0, |out| out.work) + self.planned.get(&id).map_or(0.0, |p| p.1)
    }

    fn features(&self, server: &Server, id: ServerId, class: usize, hint: f64) -> Features {
        let cost = self.classes[class].cost;
        Features::new(1.0, cost, self.work_at(id), server.report, cost * hint)
    }

    /// The listed servers that hold a shard, by id: so the parts of a query meet where all else is equal.
    fn holders(&self, shard: ShardId) -> Vec<ServerId> {
        let cells = self.settings.cells_of(shard).filter_map(|cell| self.cells.get(&cell));
        let mut holders: Vec<ServerId> = cells.flatten().copied().collect();
        holders.sort_unstable();
        holders
    }

    /// Fraction of its capacity that a server has at the least, by the stated figures.
    fn warmth(&self, server: &Server) -> f64 {
        let cold = &self.settings.cold;
        let Some(started) = server.listed.started else { return 1.0 };
        let age = self.now.since(started).as_secs_f64() / cold.warm_after.as_secs_f64().max(1e-9);
        (cold.from + (1.0 - cold.from) * age).min(1.0)
    }

    /// Guards against pushing over a server that has just started: this front node's share of what the
    /// figures allow on one core in a window, less while a process before it may have spent that. Where it is
    /// under a part, or work is unknown, lots are drawn, one a part: of what warm holders take it gets its
    /// part by its warmth, what it can do by now. Gives whether the part was drawn: it is to go there.
    fn cold_room(&self, server: &Server, part: &PartState, class: usize, holders: usize) -> Option<bool> {
        let (warmth, cold, id) = (self.warmth(server), &self.settings.cold, server.listed.server);
        if warmth >= 1.0 {
            return Some(false);
        }
        let planned = self.planned.get(&id).map_or(0.0, |planned| planned.1);
        let sent = server.cold_sends.iter().map(|(_, work)| work).sum::<f64>() + planned * self.unit;
        let work = self.classes[class].cost * self.unit;
        let (nodes, window) = (f64::from(self.settings.front_nodes), cold.window.as_secs_f64());
        let room = cold.fall_multiple * warmth * window / nodes;
        if room >= work && self.classes[class].count > 0.0 {
            let lived = (self.now.since(self.born).as_secs_f64() / window).min(1.0);
            return (sent + work <= room * lived && !self.is_held_back()).then_some(false);
        }
        let [asked, taken] = self.cells_asked[(part.shard.0 % self.settings.cells) as usize];
        let taken = ((taken + POOL_WEIGHT) / (asked + POOL_WEIGHT)).min(1.0);
        let chance = (cold.fall_multiple * LOTS_SHARE).min(1.0) * warmth * taken / holders as f64;
        let drawn = (mix(part.id.0 ^ mix(id.0 ^ self.seed)) as f64) < chance * u64::MAX as f64;
        (drawn && !part.tried.contains(&id)).then_some(true)
    }

    /// The replica for a part: home first, else the least busy, if it can finish within `allowed` units.
    fn choose(
        &mut self,
        query: &QueryState,
        part: &PartState,
        allowed: f64,
    ) -> Result<Candidate, MissingReason> {
        let holders = self.holders(part.shard);
        holders.iter().for_each(|id| self.refresh(*id));
        let (settings, least) = (&self.settings, self.classes[query.class].least);
        let out = |n: &u32| self.attempts.get(&(part.id, *n)).map(|a| a.server);
        let busy: Vec<ServerId> = part.live.iter().filter_map(out).collect();
        let call_cost = settings.call_cost.as_secs_f64() / self.unit;
        let mut candidates: Vec<Candidate> = Vec::new();
        let needed = query.parts.iter().filter(|p| !p.served).count().max(1) as f64;
        let spreads = CHECK_SPREADS + if self.is_told() { TOLD_SPREADS * needed.ln() } else { 0.0 };
        let mut closed: Option<((bool, bool, u64), ServerId, BypassReason)> = None;
        for &id in &holders {
            let Some(server) = self.servers.get(&id) else { continue };
            let (calls, overdue) = self.out.get(&id).map_or((0, 0.0), |out| (out.calls.len(), out.overdue));
            let planned = self.planned.get(&id).copied().unwrap_or((0, 0.0));
            let crosses = settings.cross_zone_price > 0.0 && server.listed.zone != settings.zone;
            // Where calls are shared the query alone picks the home, so that neighbouring shards meet there.
            let shard = if settings.batch > 1 && call_cost > 0.0 { 0 } else { u64::from(part.shard.0) };
            let room = self.cold_room(server, part, query.class, holders.len());
            let drawn = room == Some(true);
            let home = (drawn, !crosses, mix(query.hash ^ mix(shard ^ mix(id.0 ^ 0x5eed))));
            // One that drains takes, for as long as the rules allow, what others would take much longer for.
            let up = server.listed.state == ServerState::Up;
            let shut = match up || server.listed.send_until.is_some_and(|until| self.now < until) {
                true if busy.contains(&id) => Some(BypassReason::Tried),
                true if room.is_some() => None,
                true => Some(BypassReason::Cold),
                false => Some(BypassReason::Draining),
            };
            if let Some(left) = shut {
                closed = closed.max(Some((home, id, left)));
                continue;
            }
            let x = self.features(server, id, query.class, part.hint);
            let warmth = self.warmth(server);
            // What goes by lot does not wait, however long the queues are elsewhere: the start value holds.
            let start = settings.classes[query.class].aim.as_secs_f64() / self.mean_aim;
            let fitted = if drawn { start } else { server.fit.weights.dot(&x).max(least) } / warmth;
            let predicted = fitted.max(overdue).max(server.bound);
            // Unsent parts teach nothing: what the check holds against a server ages while it is sent none.
            let start = start * (1.0 + START_SPREAD);
            let rest = self.now.since(server.last_sent).as_secs_f64() / self.meeting() - 1.0;
            let rest = if calls == 0 { rest.max(0.0) } else { 0.0 };
            // The time to an answer is that of all tries.
            let excess = predicted * server.tries() * (1.0 + spreads * server.fit.spread) - start;
            let upper = start + excess.min(0.0) + excess.max(0.0) * 0.5_f64.powf(rest);
            let shared = planned.0 % settings.batch != 0;
            let crossing = f64::from(u8::from(crosses)) * CROSSING_WEIGHT * settings.cross_zone_price
                + f64::from(u8::from(!up)) * HOME_RATIO;
            let saved = if shared { SHARING_WEIGHT * call_cost } else { 0.0 };
            candidates.push(Candidate {
                server: id,
                upper,
                tried: part.tried.contains(&id),
                score: predicted * if drawn { warmth } else { 1.0 + crossing } * server.tries().powi(2)
                    - saved,
                home,
                calls: calls + usize::from(planned.0 > 0 && !shared),
                doubt: server.tries().powi(2),
                why: None,
            });
        }
        candidates.sort_by(|a, b| a.tried.cmp(&b.tried).then(a.score.total_cmp(&b.score)));
        let best = candidates.first().ok_or(MissingReason::NoReplica)?.score;
        let home = candidates.iter().enumerate().max_by_key(|(_, c)| c.home).map_or(0, |(index, _)| index);
        let c = &candidates[home];
        let left = match c.score <= HOME_RATIO * best {
            _ if c.tried => Some(if part.silent { BypassReason::Unresponsive } else { BypassReason::Tried }),
            _ if c.calls > HOME_CALLS => Some(BypassReason::Busy),
            true => None,
            false if c.score <= HOME_RATIO * best * c.doubt => Some(BypassReason::Suspect),
            false => Some(BypassReason::Slow),
        };
        let own = (c.server, left.unwrap_or(BypassReason::Late));
        let (first, left_for) = closed.filter(|shut| shut.0 > c.home).map_or(own, |(_, id, why)| (id, why));
        if left.is_none() {
            candidates[..=home].rotate_right(1);
        }
        let mut c = candidates.into_iter().find(|c| c.upper <= allowed).ok_or(MissingReason::Late)?;
        let (predicted, allowed) = ((c.upper * self.unit) as f32, (allowed * self.unit) as f32);
        let left = (c.server != first).then_some(left_for);
        c.why = Some(Choice { home: first, bypassed: left, predicted, allowed });
        Ok(c)
    }

    fn advance(&mut self, number: QueryNumber, actions: &mut Vec<Action>) {
        let Some(mut query) = self.queries.remove(&number) else { return };
        match self.judge(&mut query, actions) {
            Fate::Open => drop(self.queries.insert(number, query)),
            Fate::Answer { whole, cause } => {
                actions.push(Action::Answer { query: query.id, complete: whole, why: query.ending(cause) });
                self.cancel_all(&mut query, actions);
                if self.settings.classes[query.class].follow_up > 0 && !query.second_step {
                    query.second_step = true;
                    query.first_partial = !whole;
                    query.parts.clear();
                    self.queries.insert(number, query);
                }
            }
            Fate::GiveUp(cause) => {
                let why = query.ending(cause);
                let class = &self.settings.classes[query.class];
                let ran = |p: &PartState| p.may_have_run.is_some() || !p.live.is_empty();
                if class.retry_safety == RetrySafety::Safe || !query.parts.iter().any(ran) {
                    // Past the aim another try may earn nothing: then the longer it stays away the better.
                    let over = self.now.after(self.margin) >= query.aim_at && class.late_share == 0.0;
                    let stay = if over { class.deadline } else { class.aim.mul_f64(HOLD_OFF_SHARE) };
                    let (query, hold_off) = (query.id, stay.min(self.settings.max_retry_after));
                    actions.push(Action::Refuse { query, retry_after: hold_off, why });
                } else {
                    actions.push(Action::Fail { query: query.id, why });
                }
                self.cancel_all(&mut query, actions);
            }
        }
    }

    /// What becomes of a query now; sends what is worth sending on the way.
    fn judge(&mut self, query: &mut QueryState, actions: &mut Vec<Action>) -> Fate {
        let class = self.settings.classes[query.class].clone();
        let need = if query.second_step { 1.0 } else { class.need };
        let floor = if class.floor < class.need { class.floor } else { need };
        let held: f64 = query.parts.iter().filter(|p| p.served).map(|p| p.weight).sum();
        if held >= need - EPSILON && !query.parts.is_empty() {
            return Fate::Answer { whole: !query.first_partial, cause: Cause::Complete };
        }
        let ends_at = query.ends_at.before(self.margin);
        let aim_at =
            query.aim_at.before(self.margin.saturating_add(self.settings.network_allowance)).min(ends_at);
        let partial = held >= floor - EPSILON && floor < need && held > 0.0;
        // After the aim all that may yet come earns the late share: what is in hand at the aim may earn more.
        let in_hand = if partial { class.partial_worth * held / need } else { 0.0 };
        let target = if self.now >= aim_at && class.late_share > in_hand { ends_at } else { aim_at };
        let first_of_two = class.follow_up > 0 && !query.second_step;
        // A second step takes as long as an overdue part of its class on an idle server.
        let alone = Features::new(1.0, self.classes[query.class].cost, 0.0, 0.0, 0.0);
        let idle = self.pool.weights.dot(&alone).max(self.classes[query.class].least);
        let reserve = if first_of_two { idle * (1.0 + OVERDUE_SPREADS * START_SPREAD) } else { 0.0 };
        let end = |cause| if partial { Fate::Answer { whole: false, cause } } else { Fate::GiveUp(cause) };
        let left = target.since(self.now).as_secs_f64() / self.unit;
        if left <= 0.0 || (partial && left <= reserve) {
            return end(Cause::TimeUp);
        }
        if query.parts.is_empty() {
            return Fate::Open;
        }
        (query.need, query.floor) = (need, floor);
        self.leave_silent(query, left - reserve, actions);
        let (reachable, pending) = self.send_parts(query, left - reserve, actions);
        if reachable < floor - EPSILON || !pending {
            return end(if reachable < floor - EPSILON { Cause::BelowFloor } else { Cause::NothingInFlight });
        }
        Fate::Open
    }

    /// Sends parts that have no attempt out, if the weight that can still come in reaches the floor.
    /// Gives that weight, and whether anything may still come.
    fn send_parts(&mut self, query: &mut QueryState, allowed: f64, actions: &mut Vec<Action>) -> (f64, bool) {
        let (mut held, mut out) = (0.0, 0.0);
        let mut waiting: Vec<usize> = Vec::new();
        for index in 0..query.parts.len() {
            let part = &query.parts[index];
            if part.served {
                held += part.weight;
            } else if !part.live.is_empty() {
                out += part.weight;
            } else if part.attempts < self.settings.max_attempts && self.may_repeat(query, part) {
                waiting.push(index);
            } else {
                let spent = part.attempts >= self.settings.max_attempts;
                query.parts[index].missing =
                    if spent { MissingReason::AttemptsExhausted } else { MissingReason::UnsafeToRetry };
            }
        }
        waiting.sort_by(|&a, &b| query.parts[b].weight.total_cmp(&query.parts[a].weight));
        let saved = self.planned.clone();
        let mut plan: Vec<(usize, Candidate)> = Vec::new();
        let mut reachable = held + out;
        // A part that the budget won't let go out again is lost: better that the client comes back at once.
        let mut further = self.further_left();
        // What is out runs on after a refusal: while any part is out or served, one without a place waits.
        let begun = query.parts.iter().any(|part| part.served || !part.live.is_empty());
        let ClassState { cost, least, .. } = self.classes[query.class];
        let mut waits = false;
        for index in waiting {
            let again = usize::from(query.parts[index].attempts > 0);
            if again > further {
                query.parts[index].missing = MissingReason::BudgetExhausted;
                continue;
            }
            let patience = self.patience(query, index, reachable);
            // What earns under the mean leaves queues short for the class with the shortest aim. That bounds
            // its wait, and not the work of its own query's parts, which servers of its cell do when idle.
            let far = patience < 1.0 && allowed > self.shortest * (1.0 + START_SPREAD);
            let cell = |part: &PartState| part.shard.0 % self.settings.cells;
            let same = query.parts.iter().filter(|p| cell(p) == cell(&query.parts[index])).count();
            let own = Features::new(1.0, cost, cost * (same as f64 - 1.0), 0.0, 0.0);
            let own = self.pool.weights.dot(&own).max(least) * (1.0 + START_SPREAD);
            let short = (self.shortest * patience + own).min(allowed);
            let allowed = if far { short } else { allowed * patience };
            let choice = self.choose(query, &query.parts[index], allowed);
            query.parts[index].missing = choice.as_ref().err().copied().unwrap_or(MissingReason::Withheld);
            if begun && query.parts[index].missing == MissingReason::Late {
                waits = true;
                reachable += query.parts[index].weight;
            } else if let Ok(choice) = choice {
                reachable += query.parts[index].weight;
                self.plan(choice.server, query.class);
                further -= again;
                plan.push((index, choice));
            }
        }
        self.planned = saved;
        if reachable < query.floor - EPSILON {
            return (reachable, false);
        }
        let pending = out > 0.0 || !plan.is_empty() || waits;
        for (index, choice) in plan {
            self.send(query, index, &choice, actions);
        }
        (reachable, pending)
    }

    /// Gives up overdue attempts at doubtful servers that have answered nothing since, if another has time to
    /// spare for the part. Guards against servers and connections that swallow work: one that is merely busy
    /// answers what came before. Costs the work of a server that stood still for so long, and under overload
    /// adds to it: hence the doubt and the time to spare.
    fn leave_silent(&mut self, query: &QueryState, allowed: f64, actions: &mut Vec<Action>) {
        let long = self.settings.classes[query.class].aim.mul_f64(SILENT[0]);
        let most = self.settings.max_attempts;
        for part in query.parts.iter().filter(|p| !p.served && p.attempts < most) {
            let [number] = part.live[..] else { continue };
            let Some(attempt) = self.attempts.get(&(part.id, number)) else { continue };
            let silent = |s: &Server| s.heard > Time(0) && s.heard < attempt.sent && s.tries() >= SILENT[1];
            let heard = !self.servers.get(&attempt.server).is_some_and(silent);
            let early = !attempt.overdue || self.now.since(attempt.sent) < long;
            if heard || early || attempt.left || !self.settings.cancel || !self.may_repeat(query, part) {
                continue;
            }
            if self.choose(query, part, allowed * SILENT[2]).is_ok_and(|c| !c.tried)
                && let Some(attempt) = self.attempts.get_mut(&(part.id, number))
            {
                attempt.left = true;
                actions.push(Action::Cancel {
                    part: part.id,
                    attempt: number,
                    why: CancelReason::Unresponsive,
                });
            }
        }
    }

    /// Share of the time left that a part may be predicted to take, by what it earns for its work. Guards
    /// against overload of any kind; hurts where the mean is no measure of what will be asked next.
    fn patience(&self, query: &QueryState, index: usize, reachable: f64) -> f64 {
        let class = &self.settings.classes[query.class];
        let missing = query.parts.iter().filter(|p| !p.served).count().max(1) as f64;
        let earns = match query.floor < query.need {
            true if reachable < query.floor => query.parts[index].weight.max(1.0 / query.parts.len() as f64),
            true => query.parts[index].weight * class.partial_worth,
            false => 1.0 / (missing * query.need),
        };
        // At the costs as known now: the mean would lag behind them, and hold one just learned to too much.
        let work = self.classes.iter().map(|class| class.asked * class.cost).sum::<f64>();
        let mean = (self.asked / work.max(EPSILON)).max(EPSILON);
        // Past its aim a query has the time up to its end: it would fill the queues with waits so long.
        let worth = query.worth * if self.now < query.aim_at { 1.0 } else { class.late_share };
        let power = WORTH_POWER[usize::from(self.is_told())];
        let patience = (worth * earns / self.classes[query.class].cost / mean).powf(power);
        patience.clamp(PATIENCE[0], 1.0).max(patience / PATIENCE[1]).min(PATIENCE[1])
    }

    /// Whether another attempt can do no harm: a safe one, a keyed one in its window, one that never ran.
    fn may_repeat(&self, query: &QueryState, part: &PartState) -> bool {
        let out = part.live.iter().filter_map(|n| self.attempts.get(&(part.id, *n)).map(|a| a.sent)).min();
        let first = part.may_have_run.into_iter().chain(out).min();
        match (self.settings.classes[query.class].retry_safety, first) {
            (RetrySafety::Safe, _) | (_, None) => true,
            (RetrySafety::Keyed(window), Some(first)) => self.now.after(self.margin) <= first.after(window),
            (RetrySafety::Unsafe, Some(_)) => false,
        }
    }

    /// Further attempts that the budget still allows, counted to the safe side by a tick at both ends.
    fn further_left(&self) -> usize {
        let Some(budget) = self.settings.budget else { return usize::MAX };
        let start = self.now.before(budget.window.saturating_sub(self.settings.tick));
        let taken = self.taken.len() - self.taken.partition_point(|&t| t <= start);
        let allowed = (budget.free + budget.share * taken as f64) as usize;
        if self.is_held_back() { 0 } else { allowed.saturating_sub(self.further.len()) }
    }

    fn plan(&mut self, server: ServerId, class: usize) {
        let planned = self.planned.entry(server).or_insert((0, 0.0));
        if planned.0.is_multiple_of(self.settings.batch) {
            planned.1 += self.settings.call_cost.as_secs_f64() / self.unit;
        }
        planned.0 += 1;
        planned.1 += self.classes[class].cost;
    }

    fn send(&mut self, query: &mut QueryState, index: usize, to: &Candidate, actions: &mut Vec<Action>) {
        let (id, Some(why)) = (to.server, to.why) else { return };
        let Some(server) = self.servers.get(&id) else { return };
        let (x, warmth) =
            (self.features(server, id, query.class, query.parts[index].hint), self.warmth(server));
        let before = self.planned.get(&id).map_or(0.0, |p| p.1);
        self.plan(id, query.class);
        let work = self.planned[&id].1 - before;
        let call = (self.steps << 16) | u64::from((self.planned[&id].0 - 1) / self.settings.batch);
        let now = self.now;
        let idle_since = now.before(Duration::from_secs_f64(self.mean_aim * IDLE_SHARE));
        let Some(server) = self.servers.get_mut(&id) else { return };
        if warmth < 1.0 {
            server.cold_sends.push_back((now, work * self.unit));
        }
        // Guards against connections dropped unseen while idle; where fresh ones fail, they are kept.
        let idle = before == 0.0 && !self.out.contains_key(&id) && server.last_used < idle_since;
        // A bad end costs about half a part, as another try serves most.
        let renew = self.ends[1] + 2.0 * self.settings.handshake_price < self.ends[0];
        if idle && (renew || server.last_used == Time(0)) {
            actions.push(Action::CloseIdle { server: id });
        }
        let fresh = (idle && server.last_used > Time(0)).then_some(renew);
        (server.last_sent, server.last_used) = (now, now);
        let part = &mut query.parts[index];
        let number = part.attempts;
        let cell = (part.shard.0 % self.settings.cells) as usize;
        self.cells_asked[cell][1] += f64::from(u8::from(number == 0));
        if number > 0 && self.settings.budget.is_some() {
            self.further.push_back(now);
        }
        part.attempts += 1;
        part.live.push(number);
        part.tried.push(id);
        let attempt = Attempt {
            query: query.number,
            class: query.class,
            sent: now,
            fresh,
            server: id,
            call,
            x,
            work,
            ..Attempt::default()
        };
        self.fresh.push((part.id, number));
        self.attempts.insert((part.id, number), attempt);
        let late = self.settings.classes[query.class].late_share > 0.0;
        let until = if late { query.ends_at } else { query.aim_at.min(query.ends_at) };
        let time_out = until.since(now).max(self.settings.tick);
        actions.push(Action::Send { part: part.id, server: id, timeout: time_out, why });
    }

    fn cancel_all(&mut self, query: &mut QueryState, actions: &mut Vec<Action>) {
        for part in &mut query.parts {
            for number in part.live.drain(..) {
                if let Some(attempt) = self.attempts.get_mut(&(part.id, number)) {
                    attempt.left = true;
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

    /// Keeps a timer set while queries are open, and the list of servers subscribed to.
    fn keep_watch(&mut self, actions: &mut Vec<Action>) {
        if self.watch_at.is_some_and(|at| at <= self.now) {
            self.watch_at = None;
            actions.push(Action::WatchServers);
        }
        if self.timer_at.is_some_and(|at| at > self.now)
            || (self.queries.is_empty() && self.watch_at.is_none())
        {
            return;
        }
        let at = self.now.after(self.settings.tick.saturating_mul(LOOK_TICKS));
        self.timer_at = Some(at);
        actions.push(Action::SetTimer { timer: TimerId(self.steps), at });
    }
}

impl QueryState {
    fn ending(&self, cause: Cause) -> Ending {
        let why = |p: &PartState| if p.live.is_empty() { p.missing } else { MissingReason::InFlight };
        Ending { cause, missing: self.parts.iter().filter(|p| !p.served).map(|p| (p.id, why(p))).collect() }
    }
}

impl Server {
    /// Attempts that it takes lately to be served there once. Guards against servers that fail quickly,
    /// hang, are gone, or come and go, and against trouble that lies between a server and this front node
    /// alone, where good ends part the bad ones. It ranks, with its square as a further try costs budget
    /// too, and shuts nothing out, so a wrong doubt costs balance, never a query.
    fn tries(&self) -> f64 {
        (self.bad + self.good + 1.0) / (self.good + 1.0)
    }
}

/// Mixes the bits of a hash (splitmix64's finisher).
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
