//! Settings and helpers shared by the tests that drive the router alone, on a simulated clock.
#![allow(dead_code)]

use std::time::Duration;

use badgergauge::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a class whose answers must be complete and are worth nothing after the aim.
pub fn class() -> Class {
    Class {
        aim: ms(1000),
        deadline: ms(3000),
        worth: 1.0,
        late_share: 0.0,
        retry_safety: RetrySafety::Safe,
        need: 1.0,
        floor: 1.0,
        partial_worth: 0.0,
        follow_up: 0,
    }
}

/// Returns settings for two front nodes, one class, four shards and one cell.
pub fn settings() -> Settings {
    Settings {
        front_nodes: 2,
        zone: 0,
        classes: vec![class()],
        tenants: vec![Tenant { quota_per_second: 10.0 }],
        over_share_worth: 0.1,
        shards: 4,
        cells: 1,
        width: 1,
        batch: 1,
        call_cost: Duration::ZERO,
        tick: ms(5),
        max_attempts: 4,
        hedging: true,
        cancel: true,
        may_probe: true,
        reports_by_probe: false,
        reports_queue: true,
        retries_marked: true,
        max_retry_after: ms(1000),
        list_on_request: false,
        cross_zone_price: 0.0,
        network_allowance: Duration::ZERO,
        handshake_price: 0.0,
        budget: Some(Budget { window: ms(5000), free: 5.0, share: 0.05 }),
        cold: ColdStart { from: 0.2, warm_after: ms(10_000), fall_multiple: 3.0, window: ms(1000) },
    }
}

/// Returns the entry of a server that is up, in zone 0 and cell 0, with no start time.
pub fn up(server: u64) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: 0,
        cell: 0,
        state: ServerState::Up,
        started: None,
        send_until: None,
    }
}

/// A test bench: a router and its simulated clock.
pub struct Bench {
    pub router: Router,
    /// The simulated time, which only the tests advance.
    pub now: Time,
    next_id: u64,
    /// Deadline of each class, relative to a query's submission.
    deadlines: Vec<Duration>,
}

impl Bench {
    /// Creates a router and gives it a full server list.
    pub fn new(settings: Settings, servers: Vec<ServerEntry>) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        let router = Router::new(settings, 7).expect("valid settings");
        let mut bench = Bench { router, now: Time(1_000_000_000), next_id: 1, deadlines };
        bench.step(&[Event::Servers(servers)]);
        bench
    }

    /// Runs one step of the router at the current time and returns its actions.
    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.step(self.now, events, &mut actions);
        actions
    }

    /// Advances the clock and fires a timer.
    pub fn wait(&mut self, span: Duration) -> Vec<Action> {
        self.now = self.now.after(span);
        self.step(&[Event::Timer(TimerId(0))])
    }

    /// Submits a query with one part per shard, of equal weights. Returns the id of the query, `id`, and the
    /// actions; the parts have the ids `id + 1`, `id + 2` and so on.
    pub fn query(&mut self, class: usize, shards: &[u32]) -> (u64, Vec<Action>) {
        let weights = vec![1.0 / shards.len() as f64; shards.len()];
        self.query_with_weights(class, shards, &weights)
    }

    /// Like [`Bench::query`], with a weight for each part.
    pub fn query_with_weights(
        &mut self,
        class: usize,
        shards: &[u32],
        weights: &[f64],
    ) -> (u64, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1 + shards.len() as u64;
        let mut events = vec![Event::Query(Query {
            id: QueryId(id),
            number: QueryNumber(id),
            class,
            tenant: 0,
            key: None,
            is_retry: false,
            time_left: self.deadlines[class],
        })];
        for (index, (shard, weight)) in shards.iter().zip(weights).enumerate() {
            events.push(Event::Part(Part {
                id: PartId(id + 1 + index as u64),
                query: QueryNumber(id),
                shard: ShardId(*shard),
                weight: *weight,
                hint: None,
            }));
        }
        let actions = self.step(&events);
        (id, actions)
    }

    /// Submits a one-part query of class 0 with `left_ms` milliseconds left until its deadline.
    pub fn query_with_time_left(&mut self, left_ms: u64) -> (u64, Vec<Action>) {
        self.one_part_query(left_ms, false)
    }

    /// Like [`Bench::query_with_time_left`], marked as a retry.
    pub fn retry_with_time_left(&mut self, left_ms: u64) -> (u64, Vec<Action>) {
        self.one_part_query(left_ms, true)
    }

    /// Submits a query of class 0 with a single part for shard 0.
    fn one_part_query(&mut self, left_ms: u64, is_retry: bool) -> (u64, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 2;
        let (number, time_left) = (QueryNumber(id), ms(left_ms));
        let (class, tenant, key) = (0, 0, None);
        let query = Query { id: QueryId(id), number, class, tenant, key, is_retry, time_left };
        let part = Part { id: PartId(id + 1), query: number, shard: ShardId(0), weight: 1.0, hint: None };
        (id, self.step(&[Event::Query(query), Event::Part(part)]))
    }

    /// Reports the outcome of an attempt that took `took`.
    pub fn finish_attempt(
        &mut self,
        part: u64,
        attempt: u32,
        verdict: Verdict,
        took: Duration,
    ) -> Vec<Action> {
        self.step(&[outcome(part, attempt, verdict, took)])
    }
}

/// Returns the outcome event of an attempt, without a load report.
pub fn outcome(part: u64, attempt: u32, verdict: Verdict, took: Duration) -> Event {
    Event::Outcome { part: PartId(part), attempt, verdict, took, load: LoadReport::default() }
}

/// Returns the parts sent and the server of each, as `(part, server)`.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { part, server, .. } => Some((part.0, server.0)),
            _ => None,
        })
        .collect()
}

/// Counts the queries that end: answered, refused or failed.
pub fn count_ended_queries(actions: &[Action]) -> usize {
    let ends_query =
        |a: &&Action| matches!(a, Action::Answer { .. } | Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(ends_query).count()
}

/// Returns whether the query is answered with the given completeness mark.
pub fn has_answer(actions: &[Action], id: u64, expected_complete: bool) -> bool {
    actions.iter().any(|action| match action {
        Action::Answer { query, complete, .. } => query.0 == id && *complete == expected_complete,
        _ => false,
    })
}

/// Returns whether the query fails.
pub fn has_failure(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { query, .. } if query.0 == id))
}
