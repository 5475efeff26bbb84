//! The run itself.

use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use badgergauge_core::core::{Command, Core, FinalAnswer, Member, NewPart, NewQuery, ReplyId};
use badgergauge_core::settings::SiteSettings;
use badgergauge_core::{QueryId, ServerId, ServerState, Time, TimerId, Verdict};
use badgergauge_trace::record::{ServerNames, Source, from_step_record};
use badgergauge_trace::rotation::file_name;
use badgergauge_trace::{Header, Writer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::fleet::{Ills, Server, may_ail};
use crate::heap::Heap;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;
/// The clocks' readings when virtual time begins: room for servers that started before.
const START: u64 = 1000 * SECOND;
/// Unix time of that: 2026-11-27, 08:00, a Friday.
const UNIX: i64 = 1_795_766_400_000_000_000;
/// Tile blocks, and consecutive servers that hold one.
const BLOCKS: u32 = 24;
const WIDTH: usize = 2;
/// Subjects asked about.
const KEYS: u64 = 20_000;

/// What can be the matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trouble {
    /// A server's work takes several times longer.
    Slow,
    /// A server takes parts and answers none.
    Hang,
    /// A server fails half of its parts at once.
    Fail,
    /// A server drains, and is back when it has restarted.
    Drain,
    /// A server dies and is back some seconds later.
    Crash,
    /// A broker is killed and comes back with an old list.
    Broker,
}

/// All of them, in the order in which they come.
pub const TROUBLES: [Trouble; 6] =
    [Trouble::Slow, Trouble::Hang, Trouble::Fail, Trouble::Drain, Trouble::Crash, Trouble::Broker];

/// What to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// For how long, in virtual time.
    pub duration: Duration,
    /// Brokers.
    pub brokers: usize,
    /// Tile servers.
    pub servers: usize,
    /// Queries a second, at all brokers together.
    pub rate: f64,
    /// Brokers' clocks are off by up to this much.
    pub skew: Duration,
    /// From one trouble to the next; none where that is zero.
    pub trouble_every: Duration,
    /// Which ones, in turn.
    pub troubles: Vec<Trouble>,
    /// What chance is drawn from.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            duration: Duration::from_secs(60),
            brokers: 3,
            servers: 14,
            rate: 130.0,
            skew: Duration::from_millis(5),
            trouble_every: Duration::from_secs(45),
            troubles: TROUBLES.to_vec(),
            seed: 7,
        }
    }
}

/// What was made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Made {
    /// Names of the files, in the order begun.
    pub files: Vec<String>,
    /// Steps and decisions in them.
    pub steps: u64,
    /// See `steps`.
    pub decisions: u64,
    /// Tries of clients.
    pub tries: u64,
    /// How far each run's clock is off, by file.
    pub skews: Vec<i64>,
    /// How tries ended: answered whole, in part, refused, failed, nobody left to answer.
    pub ends: [u64; 5],
}

enum Due {
    Arrival,
    /// A client's next try.
    Try(Client),
    Step(usize, u64),
    Timer(usize, u64, TimerId),
    Deadline(usize, u64, QueryId),
    Outcome(usize, u64, (badgergauge_core::PartId, u32), Verdict),
    Attempt(usize, u64, (badgergauge_core::PartId, u32), ServerId, u64),
    List(usize, u64, bool, u64, Vec<(usize, ServerState, u64)>),
    Trouble(usize),
    Over(usize),
    BrokerBack(usize),
}

#[derive(Clone)]
struct Client {
    class: usize,
    key: u64,
    idempotency: Option<String>,
    parts: Vec<NewPart>,
    tries: u32,
    until: u64,
}

struct Broker<W: Write> {
    run: u64,
    core: Core,
    last_step: u64,
    step_due: bool,
    writer: Option<Writer<W>>,
    servers: ServerNames,
    clients: HashMap<u64, Client>,
    /// Work of parts out, by attempt: what the model servers are told.
    works: HashMap<badgergauge_core::PartId, u64>,
}

/// Runs a plan; `create` makes the files.
///
/// # Errors
///
/// When a file can't be written.
pub fn run<W: Write>(plan: &Plan, create: impl FnMut(&str) -> io::Result<W>) -> io::Result<Made> {
    let mut world = World::new(plan, create)?;
    world.go()?;
    Ok(world.made)
}

struct World<'a, W: Write, C> {
    plan: &'a Plan,
    create: C,
    settings: Arc<SiteSettings>,
    settings_json: String,
    rng: ChaCha8Rng,
    due: Heap<Due>,
    servers: Vec<Server>,
    brokers: Vec<Option<Broker<W>>>,
    /// Runs begun by each broker, which outlive it.
    runs: Vec<u64>,
    ailing: BTreeSet<usize>,
    under: HashMap<usize, (Trouble, usize)>,
    version: u64,
    now: u64,
    end: u64,
    next_name: u64,
    commands: Vec<Command>,
    made: Made,
}

/// The settings that all brokers run by.
pub fn settings(brokers: usize, servers: usize) -> serde_json::Value {
    let class = |name: &str, effect: &str, credit: f64, deadline: u64| {
        json!({"name": name, "effect": effect, "credit": credit, "lateShare": 0.3,
            "aimNs": 2 * SECOND, "deadlineNs": deadline, "windowNs": 5 * SECOND, "group": "all"})
    };
    json!({"balancers": brokers, "clients": {"marksRetry": true}, "granularityNs": 5 * MS, "locality": 0,
        "zones": ["cardiff", "newport"], "registryMode": "pushed",
        "extra": {"batch": 1, "callNs": 0, "followUp": [0, 0, 0], "incompleteWorth": [0.9, 0.9, 0.8],
            "leastShare": [1.0, 1.0, 0.8], "needByClass": [1.0, 1.0, 1.0],
            "sets": servers, "slices": BLOCKS, "width": WIDTH},
        "limits": {"cancel": true, "connIdleNs": 15 * SECOND, "connectTimeoutNs": 250 * MS, "maxAttempts": 4,
            "maxOpen": 4000, "maxRetryAfterNs": 2 * SECOND, "maxStreams": 100, "mayProbe": true,
            "retryAfter": true, "secondCopies": false},
        "prices": {"crossZone": 0.05},
        "profiles": [class("parcel-search", "safe", 1.0, 6 * SECOND), class("title-flag", "keyed", 2.0, 5 * SECOND),
            class("area-report", "safe", 5.0, 5 * SECOND)],
        "safety": {"coldFrom": 0.2, "coldNs": 17 * SECOND, "drainGraceNs": 250 * MS, "fallMultiple": 2.0,
            "overloadForNs": SECOND}})
}

impl<'a, W: Write, C: FnMut(&str) -> io::Result<W>> World<'a, W, C> {
    fn new(plan: &'a Plan, create: C) -> io::Result<Self> {
        let json = settings(plan.brokers, plan.servers);
        let invalid = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        if plan.servers < WIDTH || plan.brokers == 0 {
            return Err(invalid("there must be a broker, and two tile servers".into()));
        }
        let site = SiteSettings::read(&json).map_err(|error| invalid(error.to_string()))?;
        let mut world = World {
            plan,
            create,
            settings: Arc::new(site),
            settings_json: json.to_string(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            due: Heap::new(),
            servers: (0..plan.servers).map(|index| Server::new(index, 2)).collect(),
            brokers: (0..plan.brokers).map(|_| None).collect(),
            runs: vec![0; plan.brokers],
            ailing: BTreeSet::new(),
            under: HashMap::new(),
            version: 1,
            now: START,
            end: START + plan.duration.as_nanos() as u64,
            next_name: 0,
            commands: Vec::new(),
            made: Made::default(),
        };
        for broker in 0..plan.brokers {
            world.start(broker, false)?;
        }
        world.due.put(START, Due::Arrival);
        if !plan.trouble_every.is_zero() && !plan.troubles.is_empty() {
            world.due.put(START + plan.trouble_every.as_nanos() as u64, Due::Trouble(0));
        }
        Ok(world)
    }

    /// Starts a broker's next run. One that comes back has an old list: what drains or is gone is up in it.
    fn start(&mut self, index: usize, stale: bool) -> io::Result<()> {
        self.runs[index] += 1;
        let name = format!("n{index}");
        let skew = self.plan.skew.as_nanos() as i64;
        let off = if index == 0 || skew == 0 { 0 } else { self.rng.random_range(-skew..=skew) };
        let run = (UNIX as u64).wrapping_add(self.now - START).wrapping_add(self.runs[index]);
        let seed = self.rng.random();
        let broken = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        let mut core = Core::new(self.settings.clone(), seed).map_err(|error| broken(error.to_string()))?;
        core.enable_recording();
        core.add_note(if stale { "started, with an old list" } else { "started" });
        let members: Vec<Member> =
            self.servers.iter().map(|s| member(s, if stale { ServerState::Up } else { s.state })).collect();
        core.apply_server_list(true, self.version.saturating_sub(1), &members, None);
        let source = Source {
            broker: name.clone(),
            run,
            unix_at_zero: UNIX - START as i64 + off,
            settings_digest: Source::digest(&self.settings_json),
            classes: self.settings.classes.clone(),
            zones: self.settings.zones.clone(),
            settings: self.settings_json.clone(),
            seed,
            ..Source::default()
        };
        let file = file_name(&name, run, 1);
        let writer = Writer::new((self.create)(&file)?, Header::new(vec![source], false))?;
        self.made.files.push(file);
        self.made.skews.push(off);
        self.brokers[index] = Some(Broker {
            run,
            core,
            last_step: 0,
            step_due: false,
            writer: Some(writer),
            servers: ServerNames::new(),
            clients: HashMap::new(),
            works: HashMap::new(),
        });
        // The whole list as it is comes a while after the start.
        let lines = self.lines(0..self.servers.len());
        self.due.put(self.now + 40 * MS, Due::List(index, run, true, self.version, lines));
        self.news(index);
        Ok(())
    }

    fn lines(&self, which: impl Iterator<Item = usize>) -> Vec<(usize, ServerState, u64)> {
        which.map(|index| (index, self.servers[index].state, self.servers[index].started)).collect()
    }

    fn go(&mut self) -> io::Result<()> {
        while let Some((at, due)) = self.due.take() {
            self.now = at;
            // After the end nobody comes, and what is under way ends.
            if at >= self.end + 10 * SECOND {
                break;
            }
            self.happens(due)?;
        }
        for broker in self.brokers.iter_mut().flatten() {
            if let Some(writer) = broker.writer.take() {
                writer.finish()?;
            }
        }
        Ok(())
    }

    fn alive(&mut self, broker: usize, run: u64) -> Option<&mut Broker<W>> {
        self.brokers[broker].as_mut().filter(|broker| broker.run == run)
    }

    fn happens(&mut self, due: Due) -> io::Result<()> {
        let now = Time(self.now);
        match due {
            Due::Arrival => {
                if self.now < self.end {
                    let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.plan.rate.max(1e-9);
                    self.due.put(self.now + (pause * 1e9) as u64, Due::Arrival);
                    let client = self.client();
                    self.arrive(client);
                }
            }
            Due::Try(client) => self.arrive(client),
            Due::Step(index, run) => return self.step(index, run),
            Due::Timer(index, run, timer) => {
                if let Some(broker) = self.alive(index, run) {
                    broker.core.timer(timer);
                    self.news(index);
                }
            }
            Due::Deadline(index, run, query) => {
                if let Some(broker) = self.alive(index, run)
                    && let Some(command) = broker.core.check_deadline(now, query)
                {
                    self.carry_out(index, command);
                    self.news(index);
                }
            }
            Due::Attempt(index, run, attempt, server, work) => {
                let chance = self.rng.random::<f64>();
                let Some(broker) = self.alive(index, run) else { return Ok(()) };
                let name = broker.servers.get(&server).cloned().unwrap_or_default();
                let Some(server) = self.servers.iter_mut().find(|s| s.name == name) else { return Ok(()) };
                if let Some((verdict, at)) = server.take(self.now, work, chance) {
                    self.due.put(at + MS, Due::Outcome(index, run, attempt, verdict));
                }
            }
            Due::Outcome(index, run, attempt, verdict) => {
                if let Some(broker) = self.alive(index, run) {
                    let value = (verdict == Verdict::Served).then(|| "v".to_owned());
                    broker.core.outcome(now, attempt, verdict, value, Default::default());
                    self.news(index);
                }
            }
            Due::List(index, run, whole, version, lines) => {
                let members: Vec<Member> = lines
                    .iter()
                    .map(|(server, state, started)| Member {
                        started: (*started > 0).then_some(Time(*started)),
                        ..member(&self.servers[*server], *state)
                    })
                    .collect();
                if let Some(broker) = self.alive(index, run) {
                    broker.core.apply_server_list(whole, version, &members, None);
                    self.news(index);
                }
            }
            Due::Trouble(number) => self.trouble(number)?,
            Due::Over(number) => self.over(number),
            Due::BrokerBack(index) => self.start(index, true)?,
        }
        Ok(())
    }

    /// A client with a query of its own.
    fn client(&mut self) -> Client {
        let chance = self.rng.random::<f64>();
        let (class, blocks) = match chance {
            c if c < 0.55 => (0, self.rng.random_range(4..=7)),
            c if c < 0.78 => (1, self.rng.random_range(1..=2)),
            _ => (2, BLOCKS),
        };
        // A few subjects are far more popular than the rest.
        let key = (self.rng.random::<f64>().powi(3) * KEYS as f64) as u64;
        let key = mix(key) >> 11;
        let first = (key % u64::from(BLOCKS)) as u32;
        let works: Vec<f64> = (0..blocks).map(|_| 1.0 + 0.4 * (self.rng.random::<f64>() - 0.5)).collect();
        let all: f64 = works.iter().sum();
        let part = |(i, work): (usize, &f64)| NewPart {
            shard: (first + i as u32) % BLOCKS,
            weight: (work / all * 1e6).round() / 1e6,
            hint: None,
        };
        let idempotency = (class == 1).then(|| format!("{:032x}", self.rng.random::<u128>()));
        let until = self.now + if class == 0 { 6 } else { 5 } * SECOND;
        Client {
            class,
            key,
            idempotency,
            parts: works.iter().enumerate().map(part).collect(),
            tries: 0,
            until,
        }
    }

    fn arrive(&mut self, mut client: Client) {
        let index = self.rng.random_range(0..self.brokers.len());
        let name = format!("{:016x}", self.rng.random::<u64>());
        self.next_name += 1;
        self.made.tries += 1;
        let repeated = client.tries > 0;
        client.tries += 1;
        let left = Duration::from_nanos(client.until.saturating_sub(self.now));
        let Some(broker) = self.brokers[index].as_mut() else {
            self.made.ends[4] += 1;
            self.again(client, 500 * MS);
            return;
        };
        let query = NewQuery {
            name,
            class: client.class,
            tenant: 0,
            key: Some(client.key),
            is_retry: repeated,
            time_left: left,
            idempotency_key: client.idempotency.clone(),
            body: String::new(),
            parts: client.parts.clone(),
        };
        match broker.core.accept(Time(self.now), query, ReplyId(self.next_name)) {
            Ok(_) => {
                broker.clients.insert(self.next_name, client);
            }
            Err(_) => {
                self.made.ends[2] += 1;
                self.again(client, 300 * MS);
            }
        }
        self.news(index);
    }

    /// A client that comes back after a wait, if it still has the time.
    fn again(&mut self, client: Client, wait: u64) {
        let at = self.now + wait + self.rng.random_range(1..20) * MS;
        if client.tries < 3 && at + 500 * MS < client.until {
            self.due.put(at, Due::Try(client));
        }
    }

    /// Something is in for a broker: its next step is due, a tick after its last.
    fn news(&mut self, index: usize) {
        let now = self.now;
        if let Some(broker) = self.brokers[index].as_mut().filter(|b| !b.step_due && b.core.has_events()) {
            broker.step_due = true;
            self.due.put(now.max(broker.last_step + 5 * MS), Due::Step(index, broker.run));
        }
    }

    fn step(&mut self, index: usize, run: u64) -> io::Result<()> {
        let now = self.now;
        let mut commands = std::mem::take(&mut self.commands);
        let Some(broker) = self.alive(index, run) else { return Ok(()) };
        broker.step_due = false;
        broker.last_step = now;
        broker.core.step(Time(now), &mut commands);
        if let Some(observed) = broker.core.take_step_record() {
            let (record, names) = from_step_record(observed);
            broker.servers.extend(names);
            if let Some(writer) = &mut broker.writer {
                writer.add(&record, &broker.servers)?;
            }
            self.made.steps += 1;
            self.made.decisions += record.actions.len() as u64;
        }
        for command in commands.drain(..) {
            self.carry_out(index, command);
        }
        self.commands = commands;
        self.news(index);
        Ok(())
    }

    fn carry_out(&mut self, index: usize, command: Command) {
        let now = self.now;
        let work = 160 * MS + self.rng.random_range(0..50) * MS;
        let Some(broker) = self.brokers[index].as_mut() else { return };
        let run = broker.run;
        match command {
            Command::Send(send) => {
                let work = *broker.works.entry(send.attempt.0).or_insert(work / 8);
                self.due.put(now + MS, Due::Attempt(index, run, send.attempt, send.server, work));
                self.due.put(send.deadline.0, Due::Outcome(index, run, send.attempt, Verdict::NoAnswer));
            }
            // All that is sent is written at once here.
            Command::Withdraw(_) => {}
            Command::Cancel(attempt) => {
                self.due.put(now, Due::Outcome(index, run, attempt, Verdict::Cancelled))
            }
            Command::SetTimer(at, timer) => self.due.put(at.0.max(now + 1), Due::Timer(index, run, timer)),
            Command::SetDeadline(at, query) => self.due.put(at.0, Due::Deadline(index, run, query)),
            Command::Finish(ticket, last) => {
                if broker.works.len() > 1 << 16 {
                    broker.works.clear();
                }
                let Some(client) = broker.clients.remove(&ticket.0) else { return };
                match last {
                    FinalAnswer::Answered { complete: whole, .. } => self.made.ends[usize::from(!whole)] += 1,
                    FinalAnswer::Refused { retry_after: hold_off } => {
                        self.made.ends[2] += 1;
                        self.again(client, hold_off.as_nanos() as u64);
                    }
                    FinalAnswer::Failed => {
                        self.made.ends[3] += 1;
                        self.again(client, 100 * MS);
                    }
                }
            }
            Command::CloseIdle(_) | Command::Probe(_) | Command::WatchServers => {}
        }
    }

    /// Tells all brokers of changed servers, each a little later than the change.
    fn publish(&mut self, which: &[usize]) {
        self.version += 1;
        let lines = self.lines(which.iter().copied());
        for index in 0..self.brokers.len() {
            let late = 2 * SECOND + self.rng.random_range(0..3 * MS);
            if let Some(broker) = &self.brokers[index] {
                let due = Due::List(index, broker.run, false, self.version, lines.clone());
                self.due.put(self.now + late, due);
            }
        }
    }

    fn trouble(&mut self, number: usize) -> io::Result<()> {
        let every = self.plan.trouble_every.as_nanos() as u64;
        if self.now >= self.end {
            return Ok(());
        }
        self.due.put(self.now + every, Due::Trouble(number + 1));
        let kind = self.plan.troubles[number % self.plan.troubles.len()];
        let lasts = self.rng.random_range(8..20) * SECOND;
        if kind == Trouble::Broker {
            let index = self.rng.random_range(0..self.brokers.len());
            if let Some(mut broker) = self.brokers[index].take() {
                // Killed outright: what no block holds is lost, and the file is not closed.
                if let Some(mut writer) = broker.writer.take() {
                    writer.flush()?;
                }
                let held: Vec<Client> = {
                    let mut held: Vec<(u64, Client)> = broker.clients.drain().collect();
                    held.sort_by_key(|(ticket, _)| *ticket);
                    held.into_iter().map(|(_, client)| client).collect()
                };
                for client in held {
                    self.made.ends[4] += 1;
                    self.again(client, 200 * MS);
                }
                self.due.put(self.now + self.rng.random_range(300..1500) * MS, Due::BrokerBack(index));
            }
            return Ok(());
        }
        let count = self.servers.len();
        let from = self.rng.random_range(0..count);
        let fit = (0..count).map(|i| (from + i) % count).find(|i| may_ail(*i, count, WIDTH, &self.ailing));
        let Some(index) = fit else { return Ok(()) };
        self.ailing.insert(index);
        self.under.insert(number, (kind, index));
        let server = &mut self.servers[index];
        match kind {
            Trouble::Slow => server.ills = Ills { slow: 6.0, ..Ills::default() },
            Trouble::Hang => server.ills = Ills { hangs: true, ..Ills::default() },
            Trouble::Fail => server.ills = Ills { fails: 0.5, ..Ills::default() },
            Trouble::Drain => {
                server.state = ServerState::Draining;
                self.publish(&[index]);
            }
            Trouble::Crash => {
                server.ills = Ills { down: true, ..Ills::default() };
                server.state = ServerState::Removed;
                self.publish(&[index]);
            }
            Trouble::Broker => {}
        }
        self.due.put(self.now + lasts, Due::Over(number));
        Ok(())
    }

    fn over(&mut self, number: usize) {
        let Some((kind, index)) = self.under.remove(&number) else { return };
        self.ailing.remove(&index);
        let now = self.now;
        if matches!(kind, Trouble::Drain | Trouble::Crash) {
            self.servers[index].restart(now);
            self.publish(&[index]);
        } else {
            self.servers[index].ills = Ills::default();
        }
    }
}

/// Mixes the bits of a number (splitmix64's finisher).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn member(server: &Server, state: ServerState) -> Member {
    Member {
        name: server.name.clone(),
        zone: if server.zone == 0 { "cardiff".into() } else { "newport".into() },
        cell: server.cell,
        state,
        started: (server.started > 0).then_some(Time(server.started)),
    }
}
