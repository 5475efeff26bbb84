//! The memory held by the core, the router and gossip is bounded by the settings, however long a broker runs
//! and however many servers come and go. Runs in virtual time. The allocator counts the memory held, which
//! covers every table.

use std::alloc::System;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use badgergauge::config::settings::SiteSettings;
use badgergauge::core::{Command, Core, Member, NewPart, NewQuery, ReplyId};
use badgergauge::gossip::{Gossip, Observation};
use badgergauge::interface::{LoadReport, ServerState, Time, Verdict};
use cap::Cap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The allocator counts for the whole process, so one simulation runs at a time.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// Length of a simulation step.
const STEP: Duration = Duration::from_millis(5);
/// Steps in a quarter of the run: 30 s, ten times the longest deadline.
const STEPS_PER_QUARTER: usize = 6_000;
/// Every so many steps a server is replaced by another with a new name: 300 in a quarter.
const STEPS_PER_REPLACEMENT: usize = 20;
const SERVERS: u32 = 8;

fn settings() -> SiteSettings {
    let config = include_str!("exchanges/config.json");
    let mut config: serde_json::Value = serde_json::from_str(config).expect("valid JSON");
    let settings = &mut config["settings"];
    settings["balancers"] = 20.into();
    settings["limits"]["peers"] = true.into();
    settings["prices"] = json!({"peer": 0.01, "handshake": 0.001});
    settings["extra"]["sets"] = SERVERS.into();
    settings["extra"]["width"] = 2.into();
    let safety = &mut settings["safety"];
    (safety["budgetSpanNs"], safety["extraFree"], safety["repeatRatio"]) =
        (10_000_000_000_u64.into(), 5.0.into(), 0.1.into());
    for class in settings["profiles"].as_array_mut().expect("an array") {
        (class["aimNs"], class["deadlineNs"]) = (500_000_000_u64.into(), 3_000_000_000_u64.into());
    }
    SiteSettings::read(settings).expect("valid settings")
}

/// A scheduled event outside of the core.
enum Scheduled {
    Outcome((badgergauge::PartId, u32), Verdict),
    Deadline(badgergauge::QueryId),
    Timer(badgergauge::TimerId),
    ClientGone(badgergauge::QueryId),
}

struct Simulation {
    core: Core,
    now: Time,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    /// Number of events scheduled so far.
    scheduled_count: u64,
    queries: u64,
    answered: u64,
    rng: ChaCha8Rng,
    /// The number in the name of the server of each cell.
    name_numbers: [u64; SERVERS as usize],
    /// Another broker of the fleet, which gossips about the same servers.
    peer: Gossip,
}

impl Simulation {
    fn new() -> Self {
        let rng = ChaCha8Rng::seed_from_u64(11);
        let core = Core::new(Arc::new(settings()), 5).expect("valid settings");
        let peer =
            Gossip::new(1, 20, 0.01, Duration::from_millis(500), 3).expect("a fleet of several brokers");
        let now = Time(1_000_000_000_000);
        let (scheduled, name_numbers) = (BTreeMap::new(), [0; SERVERS as usize]);
        let mut simulation = Simulation {
            core,
            now,
            scheduled,
            scheduled_count: 0,
            queries: 0,
            answered: 0,
            rng,
            name_numbers,
            peer,
        };
        let all: Vec<Member> = (0..SERVERS).map(|cell| simulation.member(cell, ServerState::Up)).collect();
        simulation.core.apply_server_list(true, 1, &all, None);
        simulation
    }

    fn member(&self, cell: u32, state: ServerState) -> Member {
        let name = format!("s{cell}-{}", self.name_numbers[cell as usize]);
        Member { name, zone: "z".into(), cell, state, started: Some(self.now) }
    }

    fn schedule(&mut self, at: Time, event: Scheduled) {
        self.scheduled_count += 1;
        self.scheduled.insert((at.0, self.scheduled_count), event);
    }

    /// Replaces the server of a cell: the old one drains and is then removed.
    fn replace(&mut self, cell: u32) {
        for state in [ServerState::Draining, ServerState::Removed] {
            let old = self.member(cell, state);
            self.core.apply_server_list(false, 2, &[old], None);
        }
        self.name_numbers[cell as usize] += 1;
        let new = self.member(cell, ServerState::Up);
        self.core.apply_server_list(false, 3, &[new], None);
    }

    fn send_query(&mut self) {
        self.queries += 1;
        let class = self.rng.random_range(0..3);
        let shards = [self.rng.random_range(0..20), self.rng.random_range(20..40)];
        let query = NewQuery {
            name: format!("q{}", self.queries),
            class,
            tenant: 0,
            key: None,
            is_retry: self.rng.random_bool(0.1),
            time_left: Duration::from_millis(3000),
            idempotency_key: (class == 1).then(|| format!("k{}", self.queries)),
            body: "t".into(),
            parts: shards.map(|shard| NewPart { shard, weight: 0.5, hint: None }).to_vec(),
        };
        let taken = self.core.accept(self.now, query, ReplyId(self.queries));
        if let Some(id) = taken.ok().filter(|_| self.rng.random_bool(0.05)) {
            let leaves = self.now.after(Duration::from_millis(self.rng.random_range(1..600)));
            self.schedule(leaves, Scheduled::ClientGone(id));
        }
    }

    fn carry_out(&mut self, commands: &mut Vec<Command>) {
        for command in commands.drain(..) {
            match command {
                Command::Send(send) => {
                    let took = Duration::from_millis(self.rng.random_range(2..60));
                    let (verdict, at) = match self.rng.random_range(0..100) {
                        0..3 => (Verdict::Error, self.now.after(took)),
                        3..5 => (Verdict::NoAnswer, send.deadline),
                        5..8 => (Verdict::Rejected, self.now.after(took)),
                        8..10 => (Verdict::ConnectionLost, self.now.after(took)),
                        _ => (Verdict::Served, self.now.after(took)),
                    };
                    self.schedule(at.min(send.deadline), Scheduled::Outcome(send.attempt, verdict));
                }
                // A cancelled attempt ends after 50 ms, unless its outcome is due before.
                Command::Cancel(attempt) => {
                    let at = self.now.after(Duration::from_millis(50));
                    self.schedule(at, Scheduled::Outcome(attempt, Verdict::Cancelled));
                }
                Command::Finish(..) => self.answered += 1,
                Command::SetTimer(at, timer) => self.schedule(at, Scheduled::Timer(timer)),
                Command::SetDeadline(at, query) => self.schedule(at, Scheduled::Deadline(query)),
                // Attempts are written at once here, so none can be withdrawn.
                Command::Withdraw(_) => {}
                Command::CloseIdle(_) | Command::Probe(_) | Command::WatchServers => {}
            }
        }
    }

    /// Runs a quarter. Returns the largest number of bytes held at the end of a step.
    fn run_quarter(&mut self) -> usize {
        let (mut most, mut commands) = (0, Vec::new());
        for step in 0..STEPS_PER_QUARTER {
            self.now = self.now.after(STEP);
            if step % STEPS_PER_REPLACEMENT == 0 {
                self.replace((step / STEPS_PER_REPLACEMENT) as u32 % SERVERS);
            }
            while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= self.now.0) {
                match entry.remove() {
                    Scheduled::Outcome(attempt, verdict) => {
                        let value = (verdict == Verdict::Served).then(|| "v".to_owned());
                        self.core.outcome(self.now, attempt, verdict, value, LoadReport::default());
                    }
                    Scheduled::Deadline(query) => commands.extend(self.core.check_deadline(self.now, query)),
                    Scheduled::Timer(timer) => self.core.timer(timer),
                    Scheduled::ClientGone(query) => self.core.client_gone(query),
                }
            }
            self.send_query();
            let cell = self.rng.random_range(0..SERVERS);
            let server = self.core.server_id(&self.member(cell, ServerState::Up).name);
            let (class, verdict, took) = (0, Verdict::Served, Duration::from_millis(20));
            let server = badgergauge::gossip::short_id(server);
            self.peer.record(self.now, Observation { server, class, verdict, took });
            for (datagram, _) in self.peer.take_due(self.now) {
                self.core.receive_gossip(&datagram);
            }
            self.core.step(self.now, &mut commands);
            self.carry_out(&mut commands);
            drop(self.core.take_gossip(self.now));
            most = most.max(ALLOCATOR.allocated());
        }
        most
    }
}

// Guards against memory that grows with time: each quarter handles 6,000 queries, 300 new servers and gossip
// about thousands of attempts. The last quarter must hold at most a tenth more than the second, which allows
// for hash tables of doubled size, and less than 1 MiB.
#[test]
fn memory_does_not_grow_with_time() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut simulation = Simulation::new();
    let most: Vec<usize> = (0..4).map(|_| simulation.run_quarter()).collect();
    assert!(
        simulation.answered * 10 > simulation.queries * 8,
        "{} of {} answered: the load is not the one intended",
        simulation.answered,
        simulation.queries
    );
    assert!(most[3] < 1024 * 1024, "{most:?} bytes");
    assert!(most[3] * 10 <= most[1] * 11, "{most:?} bytes, by quarter");
}

// Guards the limit on open queries: a client that sends without end cannot have more than it allows kept
// open.
#[test]
fn queries_beyond_the_limit_are_not_kept() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut simulation = Simulation::new();
    let limit = settings().max_open;
    for _ in 0..limit * 3 {
        simulation.send_query();
    }
    // A query of two parts counts as three; one may start below the limit and exceed it.
    assert!(
        simulation.core.open_queries() * 3 <= limit + 2,
        "{} open of {limit}",
        simulation.core.open_queries()
    );
    assert!(
        simulation.core.open_queries() * 3 >= limit,
        "{} open of {limit}",
        simulation.core.open_queries()
    );
}
