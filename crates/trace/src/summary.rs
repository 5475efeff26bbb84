//! What a trace comes to: service by class, and what each server made of its parts. No I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use badgergauge_core::settings::SiteSettings;
use badgergauge_core::{Action, Class, Event, PartId, QueryId, ServerId, Time, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::record::{Record, Servers, Source, server_name};
use crate::track::QueryTracker;

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;

/// What became of the queries of a class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// Its name.
    pub class: String,
    /// Queries taken, and not taken.
    pub taken: u64,
    /// See `taken`.
    pub not_taken: u64,
    /// Answers marked whole, and those that are not.
    pub whole: u64,
    /// See `whole`.
    pub partial: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Clients that left.
    pub gone: u64,
    /// Answers of both kinds that came after the aim.
    pub late: u64,
    /// Worth answered, and asked for; none without settings. A repeat is asked for once more.
    pub worth: Option<f64>,
    /// See `worth`.
    pub worth_asked: Option<f64>,
    /// Parts, and attempts sent for them.
    pub parts: u64,
    /// See `parts`.
    pub attempts: u64,
    /// Milliseconds from taking to answering, of answers.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p90_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub max_ms: f64,
}

/// What became of the parts sent to a server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerRow {
    /// Its name.
    pub server: String,
    /// Attempts sent to it.
    pub sent: u64,
    /// How they ended.
    pub served: u64,
    /// See `served`.
    pub error: u64,
    /// See `served`.
    pub turned_away: u64,
    /// See `served`.
    pub no_answer: u64,
    /// See `served`.
    pub no_connection: u64,
    /// See `served`.
    pub connection_lost: u64,
    /// See `served`.
    pub cancelled: u64,
    /// Milliseconds that served ones took.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
}

/// The whole of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// By class.
    pub classes: Vec<ClassRow>,
    /// By server.
    pub servers: Vec<ServerRow>,
    /// Steps read, and those that gaps name as missing.
    pub steps: u64,
    /// See `steps`.
    pub missing_steps: u64,
}

struct Tally {
    row: ClassRow,
    times: Histogram<u64>,
}

struct ServerTally {
    row: ServerRow,
    times: Histogram<u64>,
}

/// A query under way.
struct Open {
    class: usize,
    taken: Time,
    aim_at: Time,
    weights: Vec<f64>,
    served: Vec<bool>,
}

struct Run {
    classes: Vec<Class>,
    tracker: QueryTracker,
    open: HashMap<QueryId, Open>,
    sent: HashMap<(PartId, u32), ServerId>,
    attempts: HashMap<PartId, u32>,
}

/// Sums up records of many runs, each run's in order.
pub struct SummaryBuilder {
    runs: Vec<Run>,
    classes: BTreeMap<String, Tally>,
    servers: BTreeMap<ServerId, ServerTally>,
    steps: u64,
    missing: u64,
}

fn histogram() -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, LONGEST, 3);
    // The bounds are sound; one that sizes itself would do as well.
    bounds.unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed")))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(LONGEST).clamp(1, LONGEST)
}

fn quantile(times: &Histogram<u64>, share: f64) -> f64 {
    if times.is_empty() { 0.0 } else { times.value_at_quantile(share) as f64 / 1e3 }
}

impl SummaryBuilder {
    /// Of these sources.
    pub fn new(sources: &[Source]) -> Self {
        let mut classes = BTreeMap::new();
        for source in sources {
            for name in &source.classes {
                classes.entry(name.clone()).or_insert_with(|| Tally { row: empty(name), times: histogram() });
            }
        }
        let run = |source: &Source| {
            let json = serde_json::from_str(&source.settings).ok();
            let settings = json.and_then(|json| SiteSettings::read(&json).ok());
            Run {
                classes: settings.map(|settings| settings.module.classes).unwrap_or_default(),
                tracker: QueryTracker::default(),
                open: HashMap::new(),
                sent: HashMap::new(),
                attempts: HashMap::new(),
            }
        };
        SummaryBuilder {
            runs: sources.iter().map(run).collect(),
            classes,
            servers: BTreeMap::new(),
            steps: 0,
            missing: 0,
        }
    }

    /// Takes in a record.
    pub fn add(&mut self, record: &Record, source: &Source) {
        self.steps += 1;
        self.missing += record.gap.as_ref().map_or(0, |gap| gap.last - gap.first + 1);
        for not in &record.not_taken {
            self.class(source.class(not.class)).row.not_taken += 1;
        }
        for event in &record.events {
            self.event(record, source, event);
        }
        for action in &record.actions {
            self.action(record, source, action);
        }
        // What never ends is cut off: a trace may begin or end in the middle of anything.
        let run = &mut self.runs[record.source as usize];
        if run.open.len() > 1 << 16 || run.sent.len() > 1 << 18 {
            run.open.clear();
            run.sent.clear();
            run.attempts.clear();
        }
    }

    fn class(&mut self, name: &str) -> &mut Tally {
        self.classes.entry(name.to_owned()).or_insert_with(|| Tally { row: empty(name), times: histogram() })
    }

    fn server(&mut self, server: ServerId) -> &mut ServerTally {
        self.servers.entry(server).or_insert_with(|| ServerTally {
            row: ServerRow {
                server: String::new(),
                sent: 0,
                served: 0,
                error: 0,
                turned_away: 0,
                no_answer: 0,
                no_connection: 0,
                connection_lost: 0,
                cancelled: 0,
                p50_ms: 0.0,
                p99_ms: 0.0,
            },
            times: histogram(),
        })
    }

    fn event(&mut self, record: &Record, source: &Source, event: &Event) {
        let run = &mut self.runs[record.source as usize];
        run.tracker.observe(record.time, event);
        match event {
            Event::Query(query) => {
                let class = run.classes.get(query.class);
                // A repeat's aim counts from the first try.
                let waited = class.filter(|_| query.repeated).map(|c| c.deadline.saturating_sub(query.left));
                let aim = class.map_or(Duration::MAX, |class| class.aim);
                let aim_at = record.time.before(waited.unwrap_or_default()).after(aim);
                let worth = class.map(|class| class.worth);
                run.open.insert(
                    query.id,
                    Open { class: query.class, taken: record.time, aim_at, weights: vec![], served: vec![] },
                );
                let row = &mut self.class(source.class(query.class)).row;
                row.taken += 1;
                if let Some(worth) = worth {
                    row.worth_asked = Some(row.worth_asked.unwrap_or(0.0) + worth);
                }
            }
            Event::Part(part) => {
                let query = run.tracker.query_of_part(part.id).map(|tracked| tracked.query);
                if let Some(open) = query.and_then(|query| run.open.get_mut(&query)) {
                    open.weights.push(part.weight);
                    open.served.push(false);
                    let class = open.class;
                    self.class(source.class(class)).row.parts += 1;
                }
            }
            Event::Outcome { part, attempt, verdict, took, .. } => {
                let server = run.sent.remove(&(*part, *attempt));
                let query = run.tracker.query_of_part(*part).map(|tracked| tracked.query);
                if let (Verdict::Served, Some(query)) = (verdict, query)
                    && let Some(open) = run.open.get_mut(&query)
                    && let Some(served) = open.served.get_mut((part.0 - query.0 - 1) as usize)
                {
                    *served = true;
                }
                let Some(server) = server else { return };
                let tally = self.server(server);
                match verdict {
                    Verdict::Served => {
                        tally.row.served += 1;
                        tally.times.saturating_record(micros(*took));
                    }
                    Verdict::Error => tally.row.error += 1,
                    Verdict::TurnedAway => tally.row.turned_away += 1,
                    Verdict::NoAnswer => tally.row.no_answer += 1,
                    Verdict::NoConnection => tally.row.no_connection += 1,
                    Verdict::ConnectionLost => tally.row.connection_lost += 1,
                    Verdict::Cancelled => tally.row.cancelled += 1,
                    Verdict::NotSent => {}
                }
            }
            Event::ClientGone(query) => {
                if let Some(open) = run.open.remove(query) {
                    forget(run, *query, &open);
                    self.class(source.class(open.class)).row.gone += 1;
                }
            }
            _ => {}
        }
    }

    fn action(&mut self, record: &Record, source: &Source, action: &Action) {
        let run = &mut self.runs[record.source as usize];
        match action {
            Action::Send { part, server, .. } => {
                let class = run.tracker.query_of_part(*part).map(|tracked| tracked.class);
                let attempt = run.attempts.entry(*part).or_default();
                run.sent.insert((*part, *attempt), *server);
                *attempt += 1;
                self.server(*server).row.sent += 1;
                if let Some(class) = class {
                    self.class(source.class(class)).row.attempts += 1;
                }
            }
            Action::Answer { query, whole, .. } => {
                let Some(open) = run.open.remove(query) else { return };
                forget(run, *query, &open);
                let late = record.time > open.aim_at;
                let worth = run.classes.get(open.class).map(|class| worth(class, &open, *whole, late));
                let took = record.time.since(open.taken);
                let tally = self.class(source.class(open.class));
                tally.times.saturating_record(micros(took));
                let row = &mut tally.row;
                *if *whole { &mut row.whole } else { &mut row.partial } += 1;
                row.late += u64::from(late);
                if let Some(worth) = worth {
                    row.worth = Some(row.worth.unwrap_or(0.0) + worth);
                }
            }
            Action::Refuse { query, .. } | Action::Fail { query, .. } => {
                let Some(open) = run.open.remove(query) else { return };
                forget(run, *query, &open);
                let row = &mut self.class(source.class(open.class)).row;
                *if matches!(action, Action::Fail { .. }) { &mut row.failed } else { &mut row.refused } += 1;
            }
            _ => {}
        }
    }

    /// What it comes to.
    pub fn finish(self, servers: &Servers) -> Summary {
        let class = |(_, tally): (String, Tally)| ClassRow {
            p50_ms: quantile(&tally.times, 0.5),
            p90_ms: quantile(&tally.times, 0.9),
            p99_ms: quantile(&tally.times, 0.99),
            max_ms: if tally.times.is_empty() { 0.0 } else { tally.times.max() as f64 / 1e3 },
            ..tally.row
        };
        let server = |(id, tally): (ServerId, ServerTally)| ServerRow {
            server: server_name(servers, id),
            p50_ms: quantile(&tally.times, 0.5),
            p99_ms: quantile(&tally.times, 0.99),
            ..tally.row
        };
        let mut rows: Vec<ServerRow> = self.servers.into_iter().map(server).collect();
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        Summary {
            classes: self.classes.into_iter().map(class).collect(),
            servers: rows,
            steps: self.steps,
            missing_steps: self.missing,
        }
    }
}

/// Forgets how often a query's parts were sent; their last outcomes may still come.
fn forget(run: &mut Run, query: QueryId, open: &Open) {
    for part in 1..=open.weights.len() as u64 {
        run.attempts.remove(&PartId(query.0 + part));
    }
}

/// What an answer earns, by the class's figures.
fn worth(class: &Class, open: &Open, whole: bool, late: bool) -> f64 {
    let in_time = if late { class.late_share } else { 1.0 };
    if whole {
        return class.worth * in_time;
    }
    let held: f64 = open.weights.iter().zip(&open.served).filter(|(_, s)| **s).map(|(w, _)| w).sum();
    class.worth * in_time * class.partial_worth * held / class.need.max(f64::MIN_POSITIVE)
}

fn empty(class: &str) -> ClassRow {
    ClassRow {
        class: class.to_owned(),
        taken: 0,
        not_taken: 0,
        whole: 0,
        partial: 0,
        refused: 0,
        failed: 0,
        gone: 0,
        late: 0,
        worth: None,
        worth_asked: None,
        parts: 0,
        attempts: 0,
        p50_ms: 0.0,
        p90_ms: 0.0,
        p99_ms: 0.0,
        max_ms: 0.0,
    }
}
