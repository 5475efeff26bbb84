//! Settings and helpers shared by the tests. They drive the module alone, with a clock of their own.
#![allow(dead_code)]

use std::time::Duration;

use badgergauge::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

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

/// A router and its clock.
pub struct Bench {
    pub router: Router,
    pub now: Time,
    next: u64,
    deadlines: Vec<Duration>,
}

impl Bench {
    pub fn new(settings: Settings, servers: Vec<ServerEntry>) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        let router = Router::new(settings, 7).expect("settings hold");
        let mut bench = Bench { router, now: Time(1_000_000_000), next: 1, deadlines };
        bench.step(&[Event::Servers(servers)]);
        bench
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.step(self.now, events, &mut actions);
        actions
    }

    pub fn wait(&mut self, span: Duration) -> Vec<Action> {
        self.now = self.now.after(span);
        self.step(&[Event::Timer(TimerId(0))])
    }

    /// A query of a class with one part a shard, of equal weights; ids are the query's and then its parts'.
    pub fn query(&mut self, class: usize, shards: &[u32]) -> (u64, Vec<Action>) {
        let weights = vec![1.0 / shards.len() as f64; shards.len()];
        self.weighted(class, shards, &weights)
    }

    pub fn weighted(&mut self, class: usize, shards: &[u32], weights: &[f64]) -> (u64, Vec<Action>) {
        let id = self.next;
        self.next += 1 + shards.len() as u64;
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

    /// A query of class 0 with one part and so much time left, in milliseconds.
    pub fn with_left(&mut self, left: u64) -> (u64, Vec<Action>) {
        self.one_part(left, false)
    }

    /// The same, marked as a repeat.
    pub fn repeat_with_left(&mut self, left: u64) -> (u64, Vec<Action>) {
        self.one_part(left, true)
    }

    fn one_part(&mut self, left: u64, repeated: bool) -> (u64, Vec<Action>) {
        let id = self.next;
        self.next += 2;
        let (number, left) = (QueryNumber(id), ms(left));
        let (class, tenant, key) = (0, 0, None);
        let query =
            Query { id: QueryId(id), number, class, tenant, key, is_retry: repeated, time_left: left };
        let part = Part { id: PartId(id + 1), query: number, shard: ShardId(0), weight: 1.0, hint: None };
        (id, self.step(&[Event::Query(query), Event::Part(part)]))
    }

    pub fn end(&mut self, part: u64, attempt: u32, verdict: Verdict, took: Duration) -> Vec<Action> {
        self.step(&[outcome(part, attempt, verdict, took)])
    }
}

pub fn outcome(part: u64, attempt: u32, verdict: Verdict, took: Duration) -> Event {
    Event::Outcome { part: PartId(part), attempt, verdict, took, load: LoadReport::default() }
}

/// Parts sent, and to whom.
pub fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { part, server, .. } => Some((part.0, server.0)),
            _ => None,
        })
        .collect()
}

pub fn ends(actions: &[Action]) -> usize {
    let end = |a: &&Action| matches!(a, Action::Answer { .. } | Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(end).count()
}

/// Whether a query is answered, and marked so.
pub fn answers(actions: &[Action], id: u64, marked: bool) -> bool {
    let is = |a: &Action| matches!(a, Action::Answer { query, complete: whole, .. } if query.0 == id && *whole == marked);
    actions.iter().any(is)
}

/// Whether a query is failed.
pub fn fails(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { query, .. } if query.0 == id))
}
