//! Summarises a trace: the service of each class, and the outcomes at each server. No I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use badgergauge_core::settings::SiteSettings;
use badgergauge_core::{Action, Class, Event, PartId, QueryId, ServerId, Time, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::record::{Record, ServerNames, Source, server_name};
use crate::track::QueryTracker;

/// Upper bound of the histograms, in microseconds; longer times count as this long.
const MAX_TIME_US: u64 = 120_000_000;
/// Limit on the open queries kept per run.
const MAX_OPEN_QUERIES: usize = 1 << 16;
/// Limit on the attempts in flight kept per run.
const MAX_SENT_ATTEMPTS: usize = 1 << 18;

/// Totals for the queries of a class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// Name of the class.
    pub class: String,
    /// Queries accepted.
    pub taken: u64,
    /// Queries not accepted.
    pub not_taken: u64,
    /// Answers marked whole.
    pub whole: u64,
    /// Answers marked partial.
    pub partial: u64,
    /// Queries refused.
    pub refused: u64,
    /// Queries failed.
    pub failed: u64,
    /// Queries whose client disconnected.
    pub gone: u64,
    /// Whole and partial answers sent after the aim.
    pub late: u64,
    /// Worth earned by answers; `None` without usable settings.
    pub worth: Option<f64>,
    /// Worth of all queries accepted, with retries counted again; `None` without usable settings.
    pub worth_asked: Option<f64>,
    /// Parts of the queries.
    pub parts: u64,
    /// Attempts sent for the parts.
    pub attempts: u64,
    /// Median time from acceptance to answer, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of that time, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
    /// Maximum of that time, in milliseconds.
    pub max_ms: f64,
}

/// Totals for the attempts sent to a server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerRow {
    /// Name of the server.
    pub server: String,
    /// Attempts sent to it.
    pub sent: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that ended in an error answer.
    pub error: u64,
    /// Attempts that the server turned away.
    pub turned_away: u64,
    /// Attempts that timed out without an answer.
    pub no_answer: u64,
    /// Attempts for which no connection could be opened.
    pub no_connection: u64,
    /// Attempts whose connection was lost.
    pub connection_lost: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Median time of the served attempts, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
}

/// The summary of a trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Totals by class, sorted by name.
    pub classes: Vec<ClassRow>,
    /// Totals by server, sorted by name.
    pub servers: Vec<ServerRow>,
    /// Steps read.
    pub steps: u64,
    /// Steps recorded as missing.
    pub missing_steps: u64,
}

struct ClassStats {
    row: ClassRow,
    times: Histogram<u64>,
}

struct ServerStats {
    row: ServerRow,
    times: Histogram<u64>,
}

/// A query in progress.
struct OpenQuery {
    class: usize,
    taken: Time,
    aim_at: Time,
    /// Weights of its parts.
    weights: Vec<f64>,
    /// Whether each part was served.
    served: Vec<bool>,
}

/// State of one run of one broker.
struct RunState {
    /// The classes of its settings; empty where these are missing or not accepted.
    classes: Vec<Class>,
    tracker: QueryTracker,
    open: HashMap<QueryId, OpenQuery>,
    /// Servers of the attempts in flight, by part and attempt number.
    sent: HashMap<(PartId, u32), ServerId>,
    /// Attempts sent so far, by part.
    attempts: HashMap<PartId, u32>,
}

/// Builds a [`Summary`] from the records of one or more runs; those of each run must be added in order.
pub struct SummaryBuilder {
    runs: Vec<RunState>,
    classes: BTreeMap<String, ClassStats>,
    servers: BTreeMap<ServerId, ServerStats>,
    steps: u64,
    missing_steps: u64,
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MAX_TIME_US, 3);
    // The bounds are valid; a histogram that resizes itself would serve as well.
    bounded.unwrap_or_else(|_| {
        Histogram::new(3).unwrap_or_else(|_| unreachable!("three significant digits are allowed"))
    })
}

/// A duration in whole microseconds, within the bounds of the histograms.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_TIME_US).clamp(1, MAX_TIME_US)
}

/// A quantile (0 to 1) in milliseconds; zero for an empty histogram.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    if times.is_empty() { 0.0 } else { times.value_at_quantile(quantile) as f64 / 1e3 }
}

impl SummaryBuilder {
    /// Creates a builder for records of these sources.
    pub fn new(sources: &[Source]) -> Self {
        let mut classes = BTreeMap::new();
        for source in sources {
            for name in &source.classes {
                classes
                    .entry(name.clone())
                    .or_insert_with(|| ClassStats { row: empty_row(name), times: histogram() });
            }
        }
        let run = |source: &Source| {
            let json = serde_json::from_str(&source.settings).ok();
            let settings = json.and_then(|json| SiteSettings::read(&json).ok());
            RunState {
                classes: settings.map(|settings| settings.router.classes).unwrap_or_default(),
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
            missing_steps: 0,
        }
    }

    /// Adds a record.
    pub fn add(&mut self, record: &Record, source: &Source) {
        self.steps += 1;
        self.missing_steps += record.gap.as_ref().map_or(0, |gap| gap.last - gap.first + 1);
        for rejected in &record.not_accepted {
            self.class(source.class_name(rejected.class)).row.not_taken += 1;
        }
        for event in &record.events {
            self.event(record, source, event);
        }
        for action in &record.actions {
            self.action(record, source, action);
        }
        // A trace may begin or end in the middle of queries, whose ends are then never seen: bounds the
        // memory.
        let run = &mut self.runs[record.source as usize];
        if run.open.len() > MAX_OPEN_QUERIES || run.sent.len() > MAX_SENT_ATTEMPTS {
            run.open.clear();
            run.sent.clear();
            run.attempts.clear();
        }
    }

    fn class(&mut self, name: &str) -> &mut ClassStats {
        self.classes
            .entry(name.to_owned())
            .or_insert_with(|| ClassStats { row: empty_row(name), times: histogram() })
    }

    fn server(&mut self, server: ServerId) -> &mut ServerStats {
        self.servers.entry(server).or_insert_with(|| ServerStats {
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
                // The aim of a retry counts from the client's first try.
                let elapsed =
                    class.filter(|_| query.is_retry).map(|c| c.deadline.saturating_sub(query.time_left));
                let aim = class.map_or(Duration::MAX, |class| class.aim);
                let aim_at = record.time.before(elapsed.unwrap_or_default()).after(aim);
                let worth = class.map(|class| class.worth);
                run.open.insert(
                    query.id,
                    OpenQuery {
                        class: query.class,
                        taken: record.time,
                        aim_at,
                        weights: vec![],
                        served: vec![],
                    },
                );
                let row = &mut self.class(source.class_name(query.class)).row;
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
                    self.class(source.class_name(class)).row.parts += 1;
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
                let stats = self.server(server);
                match verdict {
                    Verdict::Served => {
                        stats.row.served += 1;
                        stats.times.saturating_record(micros(*took));
                    }
                    Verdict::Error => stats.row.error += 1,
                    Verdict::Rejected => stats.row.turned_away += 1,
                    Verdict::NoAnswer => stats.row.no_answer += 1,
                    Verdict::NoConnection => stats.row.no_connection += 1,
                    Verdict::ConnectionLost => stats.row.connection_lost += 1,
                    Verdict::Cancelled => stats.row.cancelled += 1,
                    Verdict::NotSent => {}
                }
            }
            Event::ClientGone(query) => {
                if let Some(open) = run.open.remove(query) {
                    drop_attempt_counts(run, *query, &open);
                    self.class(source.class_name(open.class)).row.gone += 1;
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
                    self.class(source.class_name(class)).row.attempts += 1;
                }
            }
            Action::Answer { query, complete: whole, .. } => {
                let Some(open) = run.open.remove(query) else { return };
                drop_attempt_counts(run, *query, &open);
                let late = record.time > open.aim_at;
                let worth = run.classes.get(open.class).map(|class| answer_worth(class, &open, *whole, late));
                let took = record.time.since(open.taken);
                let stats = self.class(source.class_name(open.class));
                stats.times.saturating_record(micros(took));
                let row = &mut stats.row;
                *if *whole { &mut row.whole } else { &mut row.partial } += 1;
                row.late += u64::from(late);
                if let Some(worth) = worth {
                    row.worth = Some(row.worth.unwrap_or(0.0) + worth);
                }
            }
            Action::Refuse { query, .. } | Action::Fail { query, .. } => {
                let Some(open) = run.open.remove(query) else { return };
                drop_attempt_counts(run, *query, &open);
                let row = &mut self.class(source.class_name(open.class)).row;
                *if matches!(action, Action::Fail { .. }) { &mut row.failed } else { &mut row.refused } += 1;
            }
            _ => {}
        }
    }

    /// Returns the summary; `servers` names the servers in it.
    pub fn finish(self, servers: &ServerNames) -> Summary {
        let class = |(_, stats): (String, ClassStats)| ClassRow {
            p50_ms: quantile_ms(&stats.times, 0.5),
            p90_ms: quantile_ms(&stats.times, 0.9),
            p99_ms: quantile_ms(&stats.times, 0.99),
            max_ms: if stats.times.is_empty() { 0.0 } else { stats.times.max() as f64 / 1e3 },
            ..stats.row
        };
        let server = |(id, stats): (ServerId, ServerStats)| ServerRow {
            server: server_name(servers, id),
            p50_ms: quantile_ms(&stats.times, 0.5),
            p99_ms: quantile_ms(&stats.times, 0.99),
            ..stats.row
        };
        let mut rows: Vec<ServerRow> = self.servers.into_iter().map(server).collect();
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        Summary {
            classes: self.classes.into_iter().map(class).collect(),
            servers: rows,
            steps: self.steps,
            missing_steps: self.missing_steps,
        }
    }
}

/// Drops the attempt counts of an ended query's parts. Their servers are kept in `sent`, as outcomes may
/// still be recorded.
fn drop_attempt_counts(run: &mut RunState, query: QueryId, open: &OpenQuery) {
    for part in 1..=open.weights.len() as u64 {
        run.attempts.remove(&PartId(query.0 + part));
    }
}

/// The worth of an answer by the settings of its class.
fn answer_worth(class: &Class, open: &OpenQuery, whole: bool, late: bool) -> f64 {
    let time_factor = if late { class.late_share } else { 1.0 };
    if whole {
        return class.worth * time_factor;
    }
    let served_weight: f64 = open.weights.iter().zip(&open.served).filter(|(_, s)| **s).map(|(w, _)| w).sum();
    class.worth * time_factor * class.partial_worth * served_weight / class.need.max(f64::MIN_POSITIVE)
}

fn empty_row(class: &str) -> ClassRow {
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
