//! A long day in virtual time: whatever the core, the module and word between brokers keep is bounded by the
//! settings, however long it goes on and however many servers come and go. The memory that is held is counted by
//! the allocator itself, so a table that nobody thought of counts too.

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
static HELD: Cap<System> = Cap::new(System, usize::MAX);

/// The allocator counts for the whole process: one day at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// A step of the day, and how many make a quarter of it: 30 s, ten of the longest deadline.
const STEP: Duration = Duration::from_millis(5);
const QUARTER: usize = 6_000;
/// A server is replaced by another, under a new name, every so many steps: 300 in a quarter.
const REPLACED: usize = 20;
const SERVERS: u32 = 8;

fn settings() -> SiteSettings {
    let config = include_str!("exchanges/config.json");
    let mut config: serde_json::Value = serde_json::from_str(config).expect("JSON");
    let settings = &mut config["settings"];
    settings["balancers"] = 20.into();
    settings["limits"]["peers"] = true.into();
    settings["prices"] = json!({"peer": 0.01, "handshake": 0.001});
    settings["extra"]["sets"] = SERVERS.into();
    settings["extra"]["width"] = 2.into();
    let safety = &mut settings["safety"];
    (safety["budgetSpanNs"], safety["extraFree"], safety["repeatRatio"]) =
        (10_000_000_000_u64.into(), 5.0.into(), 0.1.into());
    for class in settings["profiles"].as_array_mut().expect("a list") {
        (class["aimNs"], class["deadlineNs"]) = (500_000_000_u64.into(), 3_000_000_000_u64.into());
    }
    SiteSettings::read(settings).expect("sound")
}

/// What falls due in the world round the core.
enum Due {
    Outcome((badgergauge::PartId, u32), Verdict),
    Deadline(badgergauge::QueryId),
    Timer(badgergauge::TimerId),
    Gone(badgergauge::QueryId),
}

struct Day {
    core: Core,
    now: Time,
    due: BTreeMap<(u64, u64), Due>,
    armed: u64,
    asked: u64,
    answered: u64,
    rng: ChaCha8Rng,
    /// The number in the name of each cell's server.
    names: [u64; SERVERS as usize],
    /// Another broker of the fleet, which speaks of the servers listed here.
    other: Gossip,
}

impl Day {
    fn new() -> Self {
        let rng = ChaCha8Rng::seed_from_u64(11);
        let core = Core::new(Arc::new(settings()), 5).expect("sound");
        let other = Gossip::new(1, 20, 0.01, Duration::from_millis(500), 3).expect("many");
        let now = Time(1_000_000_000_000);
        let (due, names) = (BTreeMap::new(), [0; SERVERS as usize]);
        let mut day = Day { core, now, due, armed: 0, asked: 0, answered: 0, rng, names, other };
        let all: Vec<Member> = (0..SERVERS).map(|cell| day.member(cell, ServerState::Up)).collect();
        day.core.apply_server_list(true, 1, &all, None);
        day
    }

    fn member(&self, cell: u32, state: ServerState) -> Member {
        let name = format!("s{cell}-{}", self.names[cell as usize]);
        Member { name, zone: "z".into(), cell, state, started: Some(self.now) }
    }

    fn arm(&mut self, at: Time, what: Due) {
        self.armed += 1;
        self.due.insert((at.0, self.armed), what);
    }

    /// One server goes, first draining and then removed, and another comes in its cell.
    fn replace(&mut self, cell: u32) {
        for state in [ServerState::Draining, ServerState::Removed] {
            let old = self.member(cell, state);
            self.core.apply_server_list(false, 2, &[old], None);
        }
        self.names[cell as usize] += 1;
        let new = self.member(cell, ServerState::Up);
        self.core.apply_server_list(false, 3, &[new], None);
    }

    fn ask(&mut self) {
        self.asked += 1;
        let class = self.rng.random_range(0..3);
        let shards = [self.rng.random_range(0..20), self.rng.random_range(20..40)];
        let query = NewQuery {
            name: format!("q{}", self.asked),
            class,
            tenant: 0,
            key: None,
            is_retry: self.rng.random_bool(0.1),
            time_left: Duration::from_millis(3000),
            idempotency_key: (class == 1).then(|| format!("k{}", self.asked)),
            body: "t".into(),
            parts: shards.map(|shard| NewPart { shard, weight: 0.5, hint: None }).to_vec(),
        };
        let taken = self.core.accept(self.now, query, ReplyId(self.asked));
        if let Some(id) = taken.ok().filter(|_| self.rng.random_bool(0.05)) {
            let leaves = self.now.after(Duration::from_millis(self.rng.random_range(1..600)));
            self.arm(leaves, Due::Gone(id));
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
                    self.arm(at.min(send.deadline), Due::Outcome(send.attempt, verdict));
                }
                // Word takes its time; what had ended by then counts as it had.
                Command::Cancel(attempt) => {
                    let at = self.now.after(Duration::from_millis(50));
                    self.arm(at, Due::Outcome(attempt, Verdict::Cancelled));
                }
                Command::Finish(..) => self.answered += 1,
                Command::SetTimer(at, timer) => self.arm(at, Due::Timer(timer)),
                Command::SetDeadline(at, query) => self.arm(at, Due::Deadline(query)),
                // All that is sent is written at once here.
                Command::Withdraw(_) => {}
                Command::CloseIdle(_) | Command::Probe(_) | Command::WatchServers => {}
            }
        }
    }

    /// The most that was held at a step's end in this quarter.
    fn quarter(&mut self) -> usize {
        let (mut most, mut commands) = (0, Vec::new());
        for step in 0..QUARTER {
            self.now = self.now.after(STEP);
            if step % REPLACED == 0 {
                self.replace((step / REPLACED) as u32 % SERVERS);
            }
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now.0) {
                match entry.remove() {
                    Due::Outcome(attempt, verdict) => {
                        let value = (verdict == Verdict::Served).then(|| "v".to_owned());
                        self.core.outcome(self.now, attempt, verdict, value, LoadReport::default());
                    }
                    Due::Deadline(query) => commands.extend(self.core.check_deadline(self.now, query)),
                    Due::Timer(timer) => self.core.timer(timer),
                    Due::Gone(query) => self.core.client_gone(query),
                }
            }
            self.ask();
            let cell = self.rng.random_range(0..SERVERS);
            let server = self.core.server_id(&self.member(cell, ServerState::Up).name);
            let (class, verdict, took) = (0, Verdict::Served, Duration::from_millis(20));
            let server = badgergauge::gossip::short_id(server);
            self.other.record(self.now, Observation { server, class, verdict, took });
            for (datagram, _) in self.other.take_due(self.now) {
                self.core.receive_gossip(&datagram);
            }
            self.core.step(self.now, &mut commands);
            self.carry_out(&mut commands);
            drop(self.core.take_gossip(self.now));
            most = most.max(HELD.allocated());
        }
        most
    }
}

// Guards the memory of a long day: each quarter takes in 6,000 queries, 300 new servers and word of thousands of
// attempts, and the last must hold no more than the second did, by the table sizes that hash maps double by.
#[test]
fn what_is_held_does_not_grow_by_the_quarter() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut day = Day::new();
    let most: Vec<usize> = (0..4).map(|_| day.quarter()).collect();
    assert!(
        day.answered * 10 > day.asked * 8,
        "{} of {} answered: the day is no day",
        day.answered,
        day.asked
    );
    assert!(most[3] < 1024 * 1024, "{most:?} bytes");
    assert!(most[3] * 10 <= most[1] * 11, "{most:?} bytes, by quarter");
}

// Guards the bound of the settings: a client that asks without end gets no more than they allow held.
#[test]
fn what_is_asked_beyond_the_bound_is_not_held() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut day = Day::new();
    let most = settings().max_open;
    for _ in 0..most * 3 {
        day.ask();
    }
    // A query of two parts counts as three; one may begin under the bound and end over it.
    assert!(day.core.open_queries() * 3 <= most + 2, "{} open of {most}", day.core.open_queries());
    assert!(day.core.open_queries() * 3 >= most, "{} open of {most}", day.core.open_queries());
}
