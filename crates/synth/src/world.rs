//! The simulation: brokers, tile servers, clients and server faults on one queue of timed events.

use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use badgergauge_core::core::{Command, Core, FinalAnswer, Member, NewPart, NewQuery, ReplyId};
use badgergauge_core::settings::SiteSettings;
use badgergauge_core::{PartId, QueryId, ServerId, ServerState, Time, TimerId, Verdict};
use badgergauge_trace::record::{ServerNames, Source, from_step_record};
use badgergauge_trace::rotation::file_name;
use badgergauge_trace::{Header, Writer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::fleet::{Impairment, Server, can_impair};
use crate::heap::EventQueue;

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;
/// Nanoseconds in a second.
const SECOND: u64 = 1000 * MS;
/// Reading of the brokers' monotonic clocks at the start of virtual time, in nanoseconds. Above zero, so that
/// servers can have start times before it.
const CLOCK_START: u64 = 1000 * SECOND;
/// Unix time at the start of virtual time, in nanoseconds: Friday 2026-11-27, 08:00 UTC.
const UNIX_START: i64 = 1_795_766_400_000_000_000;
/// Number of tile blocks, which are the shards.
const TILE_BLOCKS: u32 = 24;
/// Consecutive servers that hold each tile block.
const REPLICAS: usize = 2;
/// Number of distinct routing keys.
const ROUTING_KEYS: u64 = 20_000;

/// A fault that the simulation injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A server takes several times longer for its work.
    Slow,
    /// A server accepts parts and answers none.
    Hang,
    /// A server fails half of its parts immediately.
    Fail,
    /// A server drains, then restarts and comes back.
    Drain,
    /// A server crashes and comes back some seconds later.
    Crash,
    /// A broker is killed and restarts with an outdated server list.
    BrokerKill,
}

/// Every fault, in the order in which they are injected by default.
pub const ALL_FAULTS: [Fault; 6] =
    [Fault::Slow, Fault::Hang, Fault::Fail, Fault::Drain, Fault::Crash, Fault::BrokerKill];

/// Options of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct SynthOptions {
    /// Length of the traffic, in virtual time.
    pub duration: Duration,
    /// Number of brokers.
    pub brokers: usize,
    /// Number of tile servers.
    pub servers: usize,
    /// Queries per second, over all brokers together.
    pub rate: f64,
    /// Largest offset of a broker's clock, in either direction. The first broker's clock is exact.
    pub max_clock_skew: Duration,
    /// Time from one fault to the next; zero injects no faults.
    pub fault_interval: Duration,
    /// The faults to inject, in turn.
    pub faults: Vec<Fault>,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for SynthOptions {
    fn default() -> Self {
        SynthOptions {
            duration: Duration::from_secs(60),
            brokers: 3,
            servers: 14,
            rate: 130.0,
            max_clock_skew: Duration::from_millis(5),
            fault_interval: Duration::from_secs(45),
            faults: ALL_FAULTS.to_vec(),
            seed: 7,
        }
    }
}

/// How many client requests ended in each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcomes {
    /// Answered in full.
    pub complete: u64,
    /// Answered in part.
    pub partial: u64,
    /// Refused by the broker.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Sent to a broker that was down, or that was killed before it answered.
    pub no_broker: u64,
}

/// What a simulation produced.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SynthOutput {
    /// Names of the trace files, in order of creation.
    pub files: Vec<String>,
    /// Steps in the files.
    pub steps: u64,
    /// Decisions in the files.
    pub decisions: u64,
    /// Requests sent by clients, retries included.
    pub requests: u64,
    /// Clock offset of each run in nanoseconds, in the order of `files`.
    pub clock_skews: Vec<i64>,
    /// How the requests ended.
    pub outcomes: RequestOutcomes,
}

/// An attempt at a part: the part and the number of the attempt.
type AttemptId = (PartId, u32);

/// A server's entry in an update of the server list.
#[derive(Clone)]
struct ListEntry {
    server: usize,
    state: ServerState,
    /// In nanoseconds of virtual time; 0 for unknown.
    started_at: u64,
}

/// An event of the simulation. Events with a `run` are dropped once that run of the broker has ended.
enum Event {
    /// A new client sends its first request.
    Arrival,
    /// A client retries.
    Retry(Client),
    Step {
        broker: usize,
        run: u64,
    },
    Timer {
        broker: usize,
        run: u64,
        timer: TimerId,
    },
    Deadline {
        broker: usize,
        run: u64,
        query: QueryId,
    },
    /// An attempt's outcome reaches its broker.
    Outcome {
        broker: usize,
        run: u64,
        attempt: AttemptId,
        verdict: Verdict,
    },
    /// An attempt reaches its server; `work` is in nanoseconds.
    Attempt {
        broker: usize,
        run: u64,
        attempt: AttemptId,
        server: ServerId,
        work: u64,
    },
    /// A full list or an update of it reaches a broker.
    ServerList {
        broker: usize,
        run: u64,
        is_full: bool,
        version: u64,
        entries: Vec<ListEntry>,
    },
    /// The fault of this number begins.
    FaultBegins(usize),
    /// The fault of this number ends.
    FaultEnds(usize),
    BrokerRestarts(usize),
}

#[derive(Clone)]
struct Client {
    class: usize,
    key: u64,
    idempotency_key: Option<String>,
    parts: Vec<NewPart>,
    /// Requests sent so far.
    requests: u32,
    /// When the client gives up, in nanoseconds of virtual time.
    deadline: u64,
}

/// A run of a broker.
struct Broker<W: Write> {
    run: u64,
    core: Core,
    last_step: u64,
    step_due: bool,
    writer: Option<Writer<W>>,
    servers: ServerNames,
    /// Clients that wait for an answer, by reply id.
    clients: HashMap<u64, Client>,
    /// Work of each part in nanoseconds, so that every attempt at it costs the same.
    part_work: HashMap<PartId, u64>,
}

/// Runs a simulation and writes a trace file for each run of a broker; `create` opens a file by name.
///
/// # Errors
///
/// When a file can't be written, or when there are too few brokers or servers.
pub fn run<W: Write>(
    options: &SynthOptions,
    create: impl FnMut(&str) -> io::Result<W>,
) -> io::Result<SynthOutput> {
    let mut simulation = Simulation::new(options, create)?;
    simulation.run()?;
    Ok(simulation.output)
}

struct Simulation<'a, W: Write, C> {
    options: &'a SynthOptions,
    create: C,
    settings: Arc<SiteSettings>,
    settings_json: String,
    rng: ChaCha8Rng,
    events: EventQueue<Event>,
    servers: Vec<Server>,
    /// `None` while a broker is down.
    brokers: Vec<Option<Broker<W>>>,
    /// Number of runs that each broker has started.
    runs: Vec<u64>,
    /// Servers that have a fault.
    impaired: BTreeSet<usize>,
    /// Server faults under way, by number: the kind and the server.
    active_faults: HashMap<usize, (Fault, usize)>,
    list_version: u64,
    now: u64,
    end: u64,
    last_reply_id: u64,
    /// Kept between steps to reuse its allocation.
    commands: Vec<Command>,
    output: SynthOutput,
}

/// The settings that all brokers run with.
pub fn settings(brokers: usize, servers: usize) -> serde_json::Value {
    let class = |name: &str, effect: &str, credit: f64, deadline: u64| {
        json!({"name": name, "effect": effect, "credit": credit, "lateShare": 0.3,
            "aimNs": 2 * SECOND, "deadlineNs": deadline, "windowNs": 5 * SECOND, "group": "all"})
    };
    json!({"balancers": brokers, "clients": {"marksRetry": true}, "granularityNs": 5 * MS, "locality": 0,
        "zones": ["cardiff", "newport"], "registryMode": "pushed",
        "extra": {"batch": 1, "callNs": 0, "followUp": [0, 0, 0], "incompleteWorth": [0.9, 0.9, 0.8],
            "leastShare": [1.0, 1.0, 0.8], "needByClass": [1.0, 1.0, 1.0],
            "sets": servers, "slices": TILE_BLOCKS, "width": REPLICAS},
        "limits": {"cancel": true, "connIdleNs": 15 * SECOND, "connectTimeoutNs": 250 * MS, "maxAttempts": 4,
            "maxOpen": 4000, "maxRetryAfterNs": 2 * SECOND, "maxStreams": 100, "mayProbe": true,
            "retryAfter": true, "secondCopies": false},
        "prices": {"crossZone": 0.05},
        "profiles": [class("parcel-search", "safe", 1.0, 6 * SECOND), class("title-flag", "keyed", 2.0, 5 * SECOND),
            class("area-report", "safe", 5.0, 5 * SECOND)],
        "safety": {"coldFrom": 0.2, "coldNs": 17 * SECOND, "drainGraceNs": 250 * MS, "fallMultiple": 2.0,
            "overloadForNs": SECOND}})
}

fn invalid_input(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, message)
}

impl<'a, W: Write, C: FnMut(&str) -> io::Result<W>> Simulation<'a, W, C> {
    fn new(options: &'a SynthOptions, create: C) -> io::Result<Self> {
        let json = settings(options.brokers, options.servers);
        if options.servers < REPLICAS || options.brokers == 0 {
            return Err(invalid_input("at least one broker and two tile servers are required".into()));
        }
        let settings = SiteSettings::read(&json).map_err(|error| invalid_input(error.to_string()))?;
        let mut simulation = Simulation {
            options,
            create,
            settings: Arc::new(settings),
            settings_json: json.to_string(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            events: EventQueue::new(),
            servers: (0..options.servers).map(|index| Server::new(index, 2)).collect(),
            brokers: (0..options.brokers).map(|_| None).collect(),
            runs: vec![0; options.brokers],
            impaired: BTreeSet::new(),
            active_faults: HashMap::new(),
            list_version: 1,
            now: CLOCK_START,
            end: CLOCK_START + options.duration.as_nanos() as u64,
            last_reply_id: 0,
            commands: Vec::new(),
            output: SynthOutput::default(),
        };
        for broker in 0..options.brokers {
            simulation.start_broker(broker, false)?;
        }
        simulation.events.push(CLOCK_START, Event::Arrival);
        if !options.fault_interval.is_zero() && !options.faults.is_empty() {
            let first_fault = CLOCK_START + options.fault_interval.as_nanos() as u64;
            simulation.events.push(first_fault, Event::FaultBegins(0));
        }
        Ok(simulation)
    }

    /// Starts a broker's next run. With a stale list, servers that drain or are gone are listed as up.
    fn start_broker(&mut self, index: usize, stale_list: bool) -> io::Result<()> {
        self.runs[index] += 1;
        let name = format!("n{index}");
        let max_skew = self.options.max_clock_skew.as_nanos() as i64;
        let skew = if index == 0 || max_skew == 0 { 0 } else { self.rng.random_range(-max_skew..=max_skew) };
        let run = (UNIX_START as u64).wrapping_add(self.now - CLOCK_START).wrapping_add(self.runs[index]);
        let seed = self.rng.random();
        let mut core =
            Core::new(self.settings.clone(), seed).map_err(|error| invalid_input(error.to_string()))?;
        core.enable_recording();
        core.add_note(if stale_list { "started, with an old list" } else { "started" });
        let members: Vec<Member> = self
            .servers
            .iter()
            .map(|server| member(server, if stale_list { ServerState::Up } else { server.state }))
            .collect();
        core.apply_server_list(true, self.list_version.saturating_sub(1), &members, None);
        let source = Source {
            broker: name.clone(),
            run,
            unix_at_zero: UNIX_START - CLOCK_START as i64 + skew,
            settings_digest: Source::digest(&self.settings_json),
            classes: self.settings.classes.clone(),
            zones: self.settings.zones.clone(),
            settings: self.settings_json.clone(),
            seed,
            ..Source::default()
        };
        let file = file_name(&name, run, 1);
        let writer = Writer::new((self.create)(&file)?, Header::new(vec![source], false))?;
        self.output.files.push(file);
        self.output.clock_skews.push(skew);
        self.brokers[index] = Some(Broker {
            run,
            core,
            last_step: 0,
            step_due: false,
            writer: Some(writer),
            servers: ServerNames::new(),
            clients: HashMap::new(),
            part_work: HashMap::new(),
        });
        // The first list from discovery arrives 40 ms after the start.
        let entries = self.list_entries(0..self.servers.len());
        let version = self.list_version;
        let event = Event::ServerList { broker: index, run, is_full: true, version, entries };
        self.events.push(self.now + 40 * MS, event);
        self.schedule_step(index);
        Ok(())
    }

    fn list_entries(&self, servers: impl Iterator<Item = usize>) -> Vec<ListEntry> {
        let entry = |server: usize| {
            let Server { state, started_at, .. } = self.servers[server];
            ListEntry { server, state, started_at }
        };
        servers.map(entry).collect()
    }

    fn run(&mut self) -> io::Result<()> {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            // No clients arrive after the end; open queries have ten seconds to finish.
            if at >= self.end + 10 * SECOND {
                break;
            }
            self.handle_event(event)?;
        }
        for broker in self.brokers.iter_mut().flatten() {
            if let Some(writer) = broker.writer.take() {
                writer.finish()?;
            }
        }
        Ok(())
    }

    /// The broker, if this run of it has not ended.
    fn running_broker(&mut self, broker: usize, run: u64) -> Option<&mut Broker<W>> {
        self.brokers[broker].as_mut().filter(|broker| broker.run == run)
    }

    fn handle_event(&mut self, event: Event) -> io::Result<()> {
        let now = Time(self.now);
        match event {
            Event::Arrival => {
                if self.now < self.end {
                    // Arrivals are a Poisson process.
                    let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.options.rate.max(1e-9);
                    self.events.push(self.now + (pause * 1e9) as u64, Event::Arrival);
                    let client = self.new_client();
                    self.send_request(client);
                }
            }
            Event::Retry(client) => self.send_request(client),
            Event::Step { broker, run } => return self.step(broker, run),
            Event::Timer { broker: index, run, timer } => {
                if let Some(broker) = self.running_broker(index, run) {
                    broker.core.timer(timer);
                    self.schedule_step(index);
                }
            }
            Event::Deadline { broker: index, run, query } => {
                if let Some(broker) = self.running_broker(index, run)
                    && let Some(command) = broker.core.check_deadline(now, query)
                {
                    self.execute(index, command);
                    self.schedule_step(index);
                }
            }
            Event::Attempt { broker: index, run, attempt, server, work } => {
                let draw = self.rng.random::<f64>();
                let Some(broker) = self.running_broker(index, run) else { return Ok(()) };
                let name = broker.servers.get(&server).cloned().unwrap_or_default();
                let Some(server) = self.servers.iter_mut().find(|s| s.name == name) else { return Ok(()) };
                if let Some((verdict, at)) = server.accept_part(self.now, work, draw) {
                    self.events.push(at + MS, Event::Outcome { broker: index, run, attempt, verdict });
                }
            }
            Event::Outcome { broker: index, run, attempt, verdict } => {
                if let Some(broker) = self.running_broker(index, run) {
                    let value = (verdict == Verdict::Served).then(|| "v".to_owned());
                    broker.core.outcome(now, attempt, verdict, value, Default::default());
                    self.schedule_step(index);
                }
            }
            Event::ServerList { broker: index, run, is_full, version, entries } => {
                let members: Vec<Member> = entries
                    .iter()
                    .map(|entry| Member {
                        started: (entry.started_at > 0).then_some(Time(entry.started_at)),
                        ..member(&self.servers[entry.server], entry.state)
                    })
                    .collect();
                if let Some(broker) = self.running_broker(index, run) {
                    broker.core.apply_server_list(is_full, version, &members, None);
                    self.schedule_step(index);
                }
            }
            Event::FaultBegins(number) => self.begin_fault(number)?,
            Event::FaultEnds(number) => self.end_fault(number),
            Event::BrokerRestarts(index) => self.start_broker(index, true)?,
        }
        Ok(())
    }

    /// A client with a query drawn at random.
    fn new_client(&mut self) -> Client {
        let draw = self.rng.random::<f64>();
        let (class, blocks) = match draw {
            c if c < 0.55 => (0, self.rng.random_range(4..=7)),
            c if c < 0.78 => (1, self.rng.random_range(1..=2)),
            _ => (2, TILE_BLOCKS),
        };
        // The cube makes a few keys far more popular than the rest.
        let key = (self.rng.random::<f64>().powi(3) * ROUTING_KEYS as f64) as u64;
        let key = mix(key) >> 11;
        let first = (key % u64::from(TILE_BLOCKS)) as u32;
        let work: Vec<f64> = (0..blocks).map(|_| 1.0 + 0.4 * (self.rng.random::<f64>() - 0.5)).collect();
        let total: f64 = work.iter().sum();
        let part = |(i, work): (usize, &f64)| NewPart {
            shard: (first + i as u32) % TILE_BLOCKS,
            weight: (work / total * 1e6).round() / 1e6,
            hint: None,
        };
        let idempotency_key = (class == 1).then(|| format!("{:032x}", self.rng.random::<u128>()));
        let deadline = self.now + if class == 0 { 6 } else { 5 } * SECOND;
        Client {
            class,
            key,
            idempotency_key,
            parts: work.iter().enumerate().map(part).collect(),
            requests: 0,
            deadline,
        }
    }

    /// Sends a client's query to a broker chosen at random.
    fn send_request(&mut self, mut client: Client) {
        let index = self.rng.random_range(0..self.brokers.len());
        let name = format!("{:016x}", self.rng.random::<u64>());
        self.last_reply_id += 1;
        self.output.requests += 1;
        let is_retry = client.requests > 0;
        client.requests += 1;
        let time_left = Duration::from_nanos(client.deadline.saturating_sub(self.now));
        let Some(broker) = self.brokers[index].as_mut() else {
            self.output.outcomes.no_broker += 1;
            self.schedule_retry(client, 500 * MS);
            return;
        };
        let query = NewQuery {
            name,
            class: client.class,
            tenant: 0,
            key: Some(client.key),
            is_retry,
            time_left,
            idempotency_key: client.idempotency_key.clone(),
            body: String::new(),
            parts: client.parts.clone(),
        };
        match broker.core.accept(Time(self.now), query, ReplyId(self.last_reply_id)) {
            Ok(_) => {
                broker.clients.insert(self.last_reply_id, client);
            }
            Err(_) => {
                self.output.outcomes.refused += 1;
                self.schedule_retry(client, 300 * MS);
            }
        }
        self.schedule_step(index);
    }

    /// Lets a client retry after a wait in nanoseconds, unless it has sent three requests or would have less
    /// than 500 ms left.
    fn schedule_retry(&mut self, client: Client, wait: u64) {
        let at = self.now + wait + self.rng.random_range(1..20) * MS;
        if client.requests < 3 && at + 500 * MS < client.deadline {
            self.events.push(at, Event::Retry(client));
        }
    }

    /// Schedules a broker's next step if it has input, at least 5 ms after its last.
    fn schedule_step(&mut self, index: usize) {
        let now = self.now;
        if let Some(broker) = self.brokers[index].as_mut().filter(|b| !b.step_due && b.core.has_events()) {
            broker.step_due = true;
            let event = Event::Step { broker: index, run: broker.run };
            self.events.push(now.max(broker.last_step + 5 * MS), event);
        }
    }

    fn step(&mut self, index: usize, run: u64) -> io::Result<()> {
        let now = self.now;
        let mut commands = std::mem::take(&mut self.commands);
        let Some(broker) = self.running_broker(index, run) else { return Ok(()) };
        broker.step_due = false;
        broker.last_step = now;
        broker.core.step(Time(now), &mut commands);
        if let Some(step) = broker.core.take_step_record() {
            let (record, names) = from_step_record(step);
            broker.servers.extend(names);
            if let Some(writer) = &mut broker.writer {
                writer.add(&record, &broker.servers)?;
            }
            self.output.steps += 1;
            self.output.decisions += record.actions.len() as u64;
        }
        for command in commands.drain(..) {
            self.execute(index, command);
        }
        self.commands = commands;
        self.schedule_step(index);
        Ok(())
    }

    fn execute(&mut self, index: usize, command: Command) {
        let now = self.now;
        let work = 160 * MS + self.rng.random_range(0..50) * MS;
        let Some(broker) = self.brokers[index].as_mut() else { return };
        let run = broker.run;
        match command {
            Command::Send(send) => {
                let (attempt, server) = (send.attempt, send.server);
                let work = *broker.part_work.entry(attempt.0).or_insert(work / 8);
                self.events.push(now + MS, Event::Attempt { broker: index, run, attempt, server, work });
                let timeout = Event::Outcome { broker: index, run, attempt, verdict: Verdict::NoAnswer };
                self.events.push(send.deadline.0, timeout);
            }
            // Sends are written immediately, so there is never one to withdraw.
            Command::Withdraw(_) => {}
            Command::Cancel(attempt) => {
                let cancelled = Event::Outcome { broker: index, run, attempt, verdict: Verdict::Cancelled };
                self.events.push(now, cancelled);
            }
            Command::SetTimer(at, timer) => {
                self.events.push(at.0.max(now + 1), Event::Timer { broker: index, run, timer });
            }
            Command::SetDeadline(at, query) => {
                self.events.push(at.0, Event::Deadline { broker: index, run, query });
            }
            Command::Finish(reply_id, answer) => {
                // Bounds the memory of long simulations.
                if broker.part_work.len() > 1 << 16 {
                    broker.part_work.clear();
                }
                let Some(client) = broker.clients.remove(&reply_id.0) else { return };
                let outcomes = &mut self.output.outcomes;
                match answer {
                    FinalAnswer::Answered { complete: true, .. } => outcomes.complete += 1,
                    FinalAnswer::Answered { complete: false, .. } => outcomes.partial += 1,
                    FinalAnswer::Refused { retry_after } => {
                        outcomes.refused += 1;
                        self.schedule_retry(client, retry_after.as_nanos() as u64);
                    }
                    FinalAnswer::Failed => {
                        outcomes.failed += 1;
                        self.schedule_retry(client, 100 * MS);
                    }
                }
            }
            Command::CloseIdle(_) | Command::Probe(_) | Command::WatchServers => {}
        }
    }

    /// Sends the state of changed servers to all brokers. It arrives after 2 s, up to 3 ms apart between
    /// brokers.
    fn publish(&mut self, servers: &[usize]) {
        self.list_version += 1;
        let entries = self.list_entries(servers.iter().copied());
        for index in 0..self.brokers.len() {
            let delay = 2 * SECOND + self.rng.random_range(0..3 * MS);
            if let Some(broker) = &self.brokers[index] {
                let event = Event::ServerList {
                    broker: index,
                    run: broker.run,
                    is_full: false,
                    version: self.list_version,
                    entries: entries.clone(),
                };
                self.events.push(self.now + delay, event);
            }
        }
    }

    fn begin_fault(&mut self, number: usize) -> io::Result<()> {
        let interval = self.options.fault_interval.as_nanos() as u64;
        if self.now >= self.end {
            return Ok(());
        }
        self.events.push(self.now + interval, Event::FaultBegins(number + 1));
        let fault = self.options.faults[number % self.options.faults.len()];
        let duration = self.rng.random_range(8..20) * SECOND;
        if fault == Fault::BrokerKill {
            let index = self.rng.random_range(0..self.brokers.len());
            if let Some(mut broker) = self.brokers[index].take() {
                // A killed process does not close its trace file: the file has no index.
                if let Some(mut writer) = broker.writer.take() {
                    writer.flush()?;
                }
                // Sorted, as the map's order is random and each retry draws a random number.
                let waiting: Vec<Client> = {
                    let mut waiting: Vec<(u64, Client)> = broker.clients.drain().collect();
                    waiting.sort_by_key(|(reply_id, _)| *reply_id);
                    waiting.into_iter().map(|(_, client)| client).collect()
                };
                for client in waiting {
                    self.output.outcomes.no_broker += 1;
                    self.schedule_retry(client, 200 * MS);
                }
                let restart = self.now + self.rng.random_range(300..1500) * MS;
                self.events.push(restart, Event::BrokerRestarts(index));
            }
            return Ok(());
        }
        let count = self.servers.len();
        let from = self.rng.random_range(0..count);
        let candidate =
            (0..count).map(|i| (from + i) % count).find(|i| can_impair(*i, count, REPLICAS, &self.impaired));
        let Some(index) = candidate else { return Ok(()) };
        self.impaired.insert(index);
        self.active_faults.insert(number, (fault, index));
        let server = &mut self.servers[index];
        match fault {
            Fault::Slow => server.impairment = Impairment { slowdown: 6.0, ..Impairment::default() },
            Fault::Hang => server.impairment = Impairment { is_hanging: true, ..Impairment::default() },
            Fault::Fail => server.impairment = Impairment { error_rate: 0.5, ..Impairment::default() },
            Fault::Drain => {
                server.state = ServerState::Draining;
                self.publish(&[index]);
            }
            Fault::Crash => {
                server.impairment = Impairment { is_down: true, ..Impairment::default() };
                server.state = ServerState::Removed;
                self.publish(&[index]);
            }
            Fault::BrokerKill => {}
        }
        self.events.push(self.now + duration, Event::FaultEnds(number));
        Ok(())
    }

    fn end_fault(&mut self, number: usize) {
        let Some((fault, index)) = self.active_faults.remove(&number) else { return };
        self.impaired.remove(&index);
        let now = self.now;
        if matches!(fault, Fault::Drain | Fault::Crash) {
            self.servers[index].restart(now);
            self.publish(&[index]);
        } else {
            self.servers[index].impairment = Impairment::default();
        }
    }
}

/// Mixes the bits of a number, so that consecutive numbers give unrelated ones (based on splitmix64's
/// finalizer).
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
        started: (server.started_at > 0).then_some(Time(server.started_at)),
    }
}
