//! Runs a scenario: starts the stand-ins, the fault proxy, the brokers and the clients, applies the schedule
//! of faults, and writes the record.

mod drain;
mod idle_clients;
mod links;
mod settings;
mod upgrade;
mod write_delay;

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use badgergauge_standin::world::{World, WorldCommand};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::attempt_log::AttemptLog;
use crate::control;
use crate::fault_log::InterruptionKind;
use crate::load::{ClientCommand, Clients, Load};
use crate::port::ReservedPort;
use crate::process::{LogEvent, Process, ProcessEvent};
use crate::proxy::{Builder, Link, Proxy, ProxyCommand, Rule};
use crate::record::{self, BrokenRule, BrokerUsage, FleetUsage, Record, RunObservations};
use crate::scenario::{Fault, Scenario};
use crate::schedule::{Action, Links, Schedule, StandInCommand};
use links::FleetLinks;
use settings::{
    IDEMPOTENCY_WINDOW, block_count, broker_settings, query_classes, server_config, world_config,
};

/// Default of [`Options::start_timeout`].
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Default of [`Options::ready_timeout`].
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// A broker that is still running this long after SIGTERM counts as hung and is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the front takes to notice that a broker has died or drains.
const FRONT_DELAY: Duration = Duration::from_millis(500);
/// How long after a broker's SIGTERM the front still sends it new clients.
const FRONT_DELAY_ON_STOP: Duration = Duration::from_millis(300);
/// How many times in a row a broker that fails to start is started again: another process may have taken its
/// port.
const MAX_START_RETRIES: u32 = 3;
/// Interval at which a broker that is not up or ready yet is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Brokers exchange gossip only in fleets larger than this; smaller ones get no gossip links.
const MAX_BROKERS_WITHOUT_GOSSIP: usize = 8;
/// Default of [`Options::full_service_hold`], in seconds.
pub const FULL_SERVICE_HOLD: usize = 10;

/// Options of a run besides its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// The broker's program.
    pub program: PathBuf,
    /// Folder for configuration, logs and the record; created if it is missing.
    pub dir: PathBuf,
    /// The scenario's name.
    pub name: String,
    /// Overrides of the brokers' settings: a JSON pointer and a value. For comparisons, and to show that
    /// checks fail.
    pub setting_overrides: Vec<(String, Value)>,
    /// How long the stand-in servers remember an idempotency key; the window in the brokers' settings is 5 s.
    pub idempotency_window: Duration,
    /// Consecutive seconds of full service that count as recovered.
    pub full_service_hold: usize,
    /// Whether a broker starts with the server list as it was at the run's start, as on the platform;
    /// otherwise it knows no server until discovery has sent a list.
    pub has_initial_list: bool,
    /// Whether a broker must respect server drains that it learnt of before a restart, as one with a store can;
    /// the platform does not require it.
    pub drains_persist: bool,
    /// A broker that is not up within this time has failed to start.
    pub start_timeout: Duration,
    /// Rolling restarts kill brokers instead of sending SIGTERM, to measure what that costs.
    pub kill_on_roll: bool,
    /// Each broker writes its decisions and their reasons to trace files in a folder of its own.
    pub trace: bool,
    /// The successor process of an upgrade must accept clients within this time.
    pub ready_timeout: Duration,
    /// Upgrades kill the running process and start its successor this much later, to measure what that costs.
    pub upgrade_gap: Option<Duration>,
    /// Applies every action of the schedule this much later than planned, as a busy machine does; to show that
    /// violations are judged by what was done and not by the plan.
    pub action_delay: Duration,
    /// The library that delays brokers before writes; required if the scenario has a `hold` event.
    pub write_delay_library: Option<PathBuf>,
}

impl Options {
    /// The default options.
    pub fn new(program: &Path, dir: &Path, name: &str) -> Self {
        let (dir, name) = (dir.to_owned(), name.to_owned());
        Options {
            program: program.to_owned(),
            dir,
            name,
            setting_overrides: Vec::new(),
            idempotency_window: IDEMPOTENCY_WINDOW,
            full_service_hold: FULL_SERVICE_HOLD,
            has_initial_list: true,
            drains_persist: false,
            start_timeout: START_TIMEOUT,
            kill_on_roll: false,
            trace: false,
            ready_timeout: READY_TIMEOUT,
            upgrade_gap: None,
            action_delay: Duration::ZERO,
            write_delay_library: write_delay::library_beside(program),
        }
    }
}

/// State of one broker of the fleet, over all of its processes.
#[derive(Default)]
struct Broker {
    process: Option<Process>,
    /// Which of the broker's starts the current process is, from 1.
    run: u32,
    starts: u32,
    /// Index of the control address that the current process uses.
    control: usize,
    /// The process of an upgrade that is not ready yet.
    successor: Option<upgrade::Successor>,
    /// The process that the current one has replaced, until it has exited.
    predecessor: Option<upgrade::Predecessor>,
    /// Consecutive starts that failed.
    failed_starts: u32,
    /// It was sent SIGTERM or killed, so that its exit is no crash.
    stopping: bool,
    /// It is to be started once the process has exited.
    restart_pending: bool,
    /// It was killed, on purpose or since it had not exited in time.
    killed: bool,
    /// When it was started, until it is up.
    starting_since: Option<Duration>,
    /// Its client address, once it listens.
    address: Option<SocketAddr>,
    /// Whether its discovery address has been moved by a reload.
    discovery_moved: bool,
    /// Processor time of its processes that have ended, in seconds.
    ended_cpu: f64,
    /// Processor time of the running process at the last sample, in seconds.
    running_cpu: f64,
    /// Peak resident memory of a process, in MiB.
    memory_mb: f64,
    warnings: u32,
}

/// The ports of a broker, which all of its processes share.
struct Ports {
    clients: ReservedPort,
    /// Two, so that both processes of an upgrade have one.
    control: [ReservedPort; 2],
}

impl Ports {
    fn new() -> io::Result<Self> {
        Ok(Ports { clients: ReservedPort::new()?, control: [ReservedPort::new()?, ReservedPort::new()?] })
    }
}

/// Something that the runner does at a given time.
#[derive(Clone, Debug, PartialEq)]
enum Task {
    /// Applies an act of the schedule.
    Apply(Action),
    /// Removes a broker from the front, if the given run is still its current one.
    RemoveFromFront(usize, u32),
    /// Kills a broker that was sent SIGTERM, if the given run has not exited.
    CheckStopped(usize, u32),
    /// Reads processor time and memory.
    SampleUsage,
    /// Polls the brokers that are starting.
    CheckStarting,
    /// Starts the successor process of an upgrade.
    StartSuccessor(usize),
    /// Polls the successor process for readiness.
    CheckReady(usize),
    /// Kills the predecessor process with the given run, if it has not exited.
    KillPredecessor(usize, u32),
    /// Checks how clients use a draining broker; by the drain's index.
    CheckDrain(usize),
    /// Polls a broker whose drain was stopped; by the drain's index.
    CheckBack(usize),
}

/// A running fleet. Times are since `base`.
struct Fleet<'a> {
    scenario: &'a Scenario,
    options: &'a Options,
    base: Instant,
    /// When the clients start; the times of the schedule count from it.
    clients_start: Duration,
    world: World,
    proxy: Proxy,
    /// What the brokers wrote to tile servers, where the scenario cuts links.
    attempts: Arc<Mutex<AttemptLog>>,
    links: FleetLinks,
    clients: Option<Clients>,
    brokers: Vec<Broker>,
    ports: Vec<Ports>,
    event_sender: Sender<ProcessEvent>,
    events: Receiver<ProcessEvent>,
    tasks: Vec<(Duration, Task)>,
    gathered: RunObservations,
    /// By broker: connections of clients that send no request.
    idle_clients: Vec<Vec<TcpStream>>,
    /// Processor time of the fleet at the last sample, in seconds.
    cpu_before: f64,
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// When the harness itself fails: no free port or descriptor, an I/O error in the folder, or a broker that
/// does not start.
pub fn run(scenario: &Scenario, options: &Options) -> io::Result<Record> {
    fs::create_dir_all(&options.dir)?;
    write_delay::check(scenario, options)?;
    let schedule = Schedule::new(scenario);
    let base = Instant::now();
    let mut builder = Builder::new(scenario.seed);
    let mut links = FleetLinks::default();
    let world = World::start(world_config(scenario, options, &schedule), base, |tiles| {
        let mut addresses: Vec<Vec<SocketAddr>> = Vec::new();
        for _ in 0..scenario.brokers {
            let linked: Vec<(Link, SocketAddr)> =
                tiles.iter().map(|at| builder.tcp(*at)).collect::<Result<_, _>>()?;
            links.tiles.push(linked.iter().map(|(link, _)| *link).collect());
            addresses.push(linked.into_iter().map(|(_, at)| at).collect());
        }
        links.tile_addresses.clone_from(&addresses);
        Ok(addresses)
    })?;
    for broker in 0..scenario.brokers {
        let [one, other] =
            [builder.tcp(world.discovery_address(broker))?, builder.tcp(world.discovery_address(broker))?];
        links.discovery.push([one.0, other.0]);
        links.discovery_addresses.push([one.1, other.1]);
    }
    if scenario.brokers > MAX_BROKERS_WITHOUT_GOSSIP {
        // The sockets stay open until all ports are chosen, so that no two brokers get the same one.
        let sockets: Vec<UdpSocket> =
            (0..scenario.brokers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        links.gossip_listen = sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        for one in 0..scenario.brokers {
            for other in one + 1..scenario.brokers {
                let ends = builder.udp(links.gossip_listen[one], links.gossip_listen[other])?;
                for ((from, to), (link, at)) in [(one, other), (other, one)].into_iter().zip(ends) {
                    links.gossip.insert((from, to), link);
                    links.gossip_addresses.insert((from, to), at);
                }
            }
        }
    }
    let attempts = Arc::new(Mutex::new(AttemptLog::default()));
    if scenario.events.iter().any(|event| cuts_links(&event.fault)) {
        builder.observe(links.tiles.iter().flatten().copied(), attempts.clone());
    }
    let proxy = builder.start()?;
    // Servers that join later are down at first.
    let later: Vec<usize> = (scenario.servers..scenario.servers + schedule.added_servers.len()).collect();
    proxy.send(ProxyCommand::Down(links.select(&Links::Servers(later), scenario)));
    let (event_sender, events) = mpsc::channel();
    let brokers = (0..scenario.brokers).map(|_| Broker::default()).collect();
    let ports = (0..scenario.brokers).map(|_| Ports::new()).collect::<Result<_, _>>()?;
    let mut fleet = Fleet {
        scenario,
        options,
        base,
        clients_start: Duration::ZERO,
        world,
        proxy,
        attempts,
        links,
        clients: None,
        brokers,
        ports,
        event_sender,
        events,
        tasks: Vec::new(),
        gathered: RunObservations::default(),
        idle_clients: (0..scenario.brokers).map(|_| Vec::new()).collect(),
        cpu_before: 0.0,
    };
    fleet.run(&schedule)
}

impl Fleet<'_> {
    fn now(&self) -> Duration {
        self.base.elapsed()
    }

    fn schedule(&mut self, at: Duration, task: Task) {
        self.tasks.push((at, task));
    }

    fn run(&mut self, schedule: &Schedule) -> io::Result<Record> {
        for broker in 0..self.scenario.brokers {
            self.start(broker)?;
        }
        self.schedule(Duration::from_secs(1), Task::SampleUsage);
        self.schedule(Duration::ZERO, Task::CheckStarting);
        while self.brokers.iter().any(|broker| broker.address.is_none() || broker.starting_since.is_some()) {
            if !self.gathered.crashed.is_empty() {
                return Err(io::Error::other(self.gathered.crashed[0].1.clone()));
            }
            self.step()?;
        }
        // Clients start on a whole second, so that the rows of all counts cover the same seconds.
        self.clients_start = Duration::from_secs(self.now().as_secs() + 1);
        for (at, action) in &schedule.actions {
            let due = *at + self.clients_start + self.options.action_delay;
            self.schedule(due, Task::Apply(action.clone()));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ 0xc11e);
        // Weights from 0.5 to 2, so that traffic is spread unevenly.
        let weights: Vec<f64> =
            (0..self.scenario.brokers).map(|_| 2_f64.powf(rng.random::<f64>() * 2.0 - 1.0)).collect();
        let load = Load {
            rate: self.scenario.rate * self.scenario.brokers as f64,
            weights,
            parts: self.scenario.parts,
            blocks: block_count(self.scenario),
            classes: query_classes(self.scenario),
            start: self.clients_start,
            duration: Duration::from_secs(self.scenario.seconds),
            seed: self.scenario.seed,
            pooled: self.scenario.pooled,
            misbehaving_share: self.scenario.unruly,
        };
        let clients = Clients::start(load, self.base)?;
        for (n, broker) in self.brokers.iter().enumerate() {
            clients.send(ClientCommand::SetBroker(n, broker.address));
        }
        self.clients = Some(clients);
        let schedule_end = schedule.end() + self.clients_start + self.options.action_delay;
        let clients_run = |fleet: &Self| fleet.clients.as_ref().is_some_and(|clients| !clients.is_finished());
        while self.now() < schedule_end || clients_run(self) || !self.is_idle() {
            self.step()?;
        }
        let Some(clients) = self.clients.take() else {
            return Err(io::Error::other("the clients are not running"));
        };
        let results = clients.join()?;
        self.brokers.iter_mut().for_each(|broker| broker.process = None);
        let ledger = self.world.ledger();
        let attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let broken = record::violations(&ledger, &results, &self.gathered, schedule, &attempts);
        drop(attempts);
        let rows = record::rows(&ledger, &results, &self.gathered, self.clients_start.as_secs());
        let fault_at = schedule.actions.first().map(|(at, _)| at.as_secs_f64());
        let (steady, full_service_s) = record::full_service(&rows, fault_at, self.options.full_service_hold);
        let offered: u32 = rows.iter().map(|row| row.offered).sum();
        let parts: u32 = rows.iter().map(|row| row.parts).sum();
        let ms = |quantile: f64| results.times.value_at_quantile(quantile) as f64 / 1e3;
        let at = |at: Duration| at.as_secs_f64() - self.clients_start.as_secs_f64();
        let broken = broken.into_iter();
        let used = |broker: &Broker| BrokerUsage {
            starts: broker.starts,
            cpu: broker.ended_cpu + broker.running_cpu,
            memory_mb: broker.memory_mb,
            warnings: broker.warnings,
        };
        let record = Record {
            name: self.options.name.clone(),
            brokers: self.scenario.brokers,
            servers: self.scenario.servers,
            seed: self.scenario.seed,
            fault_at,
            full_service_s,
            steady,
            times_ms: [ms(0.5), ms(0.99)],
            lateness_ms: results.lateness.as_secs_f64() * 1e3,
            attempts_per_part: f64::from(parts) / (f64::from(offered.max(1)) * self.scenario.parts as f64),
            repeated: ledger.reruns_in_window,
            used: self.brokers.iter().map(used).collect(),
            upgrades: record::upgrade_records(&self.gathered, self.clients_start),
            drains: record::drain_records(&self.gathered, self.clients_start),
            broken: broken
                .map(|b| BrokenRule { at: at(b.at), rule: format!("{:?}", b.rule), what: b.details })
                .collect(),
            rows,
        };
        fs::write(self.options.dir.join("record.json"), serde_json::to_string_pretty(&record)?)?;
        Ok(record)
    }

    /// Waits up to 100 ms for a process event or the next task, and handles what has come.
    fn step(&mut self) -> io::Result<()> {
        let now = self.now();
        let next = self.tasks.iter().map(|(at, _)| *at).min().unwrap_or(now + Duration::from_millis(100));
        let pause = next.saturating_sub(now).min(Duration::from_millis(100));
        match self.events.recv_timeout(pause) {
            Ok(event) => self.handle_event(event)?,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
        let now = self.now();
        let mut due: Vec<(Duration, Task)> = self.tasks.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, task) in due {
            self.run_task(task)?;
        }
        Ok(())
    }

    fn run_task(&mut self, task: Task) -> io::Result<()> {
        match task {
            Task::Apply(action) => self.apply(action)?,
            Task::RemoveFromFront(broker, run) => {
                if self.brokers[broker].run == run {
                    self.set_front(broker, None);
                }
            }
            Task::CheckStopped(broker, run) => {
                let hangs = self.brokers[broker].run == run && self.brokers[broker].process.is_some();
                if hangs && self.scenario.kills_early {
                    self.brokers[broker].killed = true;
                    self.signal(broker, Signal::KILL);
                } else if hangs {
                    let what = format!("b{broker} did not exit after SIGTERM");
                    self.gathered.crashed.push((self.now(), what));
                    self.signal(broker, Signal::KILL);
                }
            }
            Task::SampleUsage => {
                self.sample_usage();
                let next = Duration::from_secs(self.now().as_secs() + 1);
                self.schedule(next, Task::SampleUsage);
            }
            Task::CheckStarting => {
                let starting: Vec<usize> =
                    (0..self.brokers.len()).filter(|b| self.brokers[*b].starting_since.is_some()).collect();
                for broker in starting {
                    self.check_starting(broker);
                }
                if self.brokers.iter().any(|broker| broker.starting_since.is_some()) {
                    self.schedule(self.now() + POLL_INTERVAL, Task::CheckStarting);
                }
            }
            Task::StartSuccessor(broker) => self.start_successor(broker)?,
            Task::CheckReady(broker) => self.check_ready(broker),
            Task::KillPredecessor(broker, run) => self.kill_predecessor(broker, run),
            Task::CheckDrain(drain) => self.check_drain(drain),
            Task::CheckBack(drain) => self.check_back(drain),
        }
        Ok(())
    }

    fn apply(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::Kill(broker) => {
                (self.brokers[broker].stopping, self.brokers[broker].killed) = (true, true);
                self.interrupt(broker, InterruptionKind::Kill);
                let run = self.brokers[broker].run;
                self.schedule(self.now() + FRONT_DELAY, Task::RemoveFromFront(broker, run));
            }
            // The old process may not have been waited for yet; the start follows once it has.
            Action::Start(broker) if self.brokers[broker].process.is_some() => {
                self.brokers[broker].restart_pending = true
            }
            Action::Start(broker) => self.start(broker)?,
            Action::Restart(broker) => {
                let grace =
                    if self.scenario.kills_early { upgrade::stop_grace(self.scenario) } else { STOP_TIMEOUT };
                let state = &mut self.brokers[broker];
                let was_stopping = std::mem::replace(&mut state.stopping, true);
                state.restart_pending = true;
                let run = state.run;
                self.signal(broker, if self.options.kill_on_roll { Signal::KILL } else { Signal::TERM });
                if !was_stopping {
                    self.schedule(self.now() + FRONT_DELAY_ON_STOP, Task::RemoveFromFront(broker, run));
                    self.schedule(self.now() + grace, Task::CheckStopped(broker, run));
                }
            }
            Action::Hup(broker) => self.signal(broker, Signal::HUP),
            Action::CrowdComes(broker, clients) => {
                let address = self.ports[broker].clients.address();
                self.idle_clients[broker] = idle_clients::connect(address, clients);
            }
            Action::CrowdLeaves(broker) => self.idle_clients[broker].clear(),
            Action::Upgrade(broker) => {
                let now = self.now();
                self.gathered.faults.record_seamless(broker, now);
                self.upgrade(broker)?;
            }
            Action::StartDrain(broker) => {
                let now = self.now();
                self.gathered.faults.record_seamless(broker, now);
                self.start_drain(broker);
            }
            Action::StopDrain(broker) => self.stop_drain(broker),
            Action::Pause(broker) => self.interrupt(broker, InterruptionKind::Pause),
            Action::Resume(broker) => {
                self.signal(broker, Signal::CONT);
                let (now, run) = (self.now(), self.brokers[broker].run);
                self.gathered.faults.record_resume(broker, run, now);
            }
            Action::DelayWrites(broker, delay) => self.delay_writes(broker, delay)?,
            Action::Cut(broker) => {
                let path = self.file(broker, "state");
                if path.exists() {
                    let file = fs::File::options().write(true).open(&path)?;
                    file.set_len(file.metadata()?.len() / 2)?;
                }
            }
            Action::Wipe(broker) => {
                let path = self.file(broker, "state");
                if path.exists() {
                    fs::remove_file(path)?;
                }
            }
            Action::Reload(broker) => {
                self.brokers[broker].discovery_moved = true;
                self.write_config(broker)?;
                self.signal(broker, Signal::HUP);
            }
            Action::World(StandInCommand(WorldCommand::RejectCallsUntil(until))) => {
                self.world.send(WorldCommand::RejectCallsUntil(until + self.clients_start));
            }
            Action::World(StandInCommand(WorldCommand::StallDiscoveryUntil(until))) => {
                self.world.send(WorldCommand::StallDiscoveryUntil(until + self.clients_start));
            }
            Action::World(StandInCommand(command)) => self.world.send(command),
            Action::Server(server, up) => {
                let links = self.links.select(&Links::Servers(vec![server]), self.scenario);
                self.proxy.send(if up { ProxyCommand::Up(links) } else { ProxyCommand::Down(links) });
            }
            Action::Links(links, rule) => self.set_links(&links, rule),
            Action::ResetLinks(links) => {
                self.proxy.send(ProxyCommand::Reset(self.links.select(&links, self.scenario)));
            }
        }
        Ok(())
    }

    /// Whether no upgrade is under way and no drain is being stopped.
    fn is_idle(&self) -> bool {
        let upgrades =
            self.brokers.iter().any(|broker| broker.successor.is_some() || broker.predecessor.is_some());
        !upgrades
            && !self
                .tasks
                .iter()
                .any(|(_, task)| matches!(task, Task::StartSuccessor(_) | Task::CheckBack(_)))
    }

    /// The control address of a broker's current process.
    fn control(&self, broker: usize) -> SocketAddr {
        self.ports[broker].control[self.brokers[broker].control].address()
    }

    fn set_links(&mut self, links: &Links, rule: Rule) {
        let began = self.now();
        self.proxy.send(ProxyCommand::SetRule(self.links.select(links, self.scenario), rule));
        let ended = self.now();
        self.gathered.faults.record_rule(links, &rule, began, ended);
    }

    fn signal(&self, broker: usize, signal: Signal) {
        if let Some(process) = &self.brokers[broker].process {
            process.signal(signal);
        }
    }

    /// Kills or pauses a broker's process, if it has one.
    fn interrupt(&mut self, broker: usize, kind: InterruptionKind) {
        if self.brokers[broker].process.is_none() {
            return;
        }
        let (now, run) = (self.now(), self.brokers[broker].run);
        self.gathered.faults.record_interruption(kind, broker, run, now);
        self.signal(broker, kind.signal());
    }

    /// Tells the front a broker's address, or that it is gone.
    fn set_front(&self, broker: usize, at: Option<SocketAddr>) {
        if let Some(clients) = &self.clients {
            clients.send(ClientCommand::SetBroker(broker, at));
        }
    }

    /// The path of a broker's file in the run's folder.
    fn file(&self, broker: usize, extension: &str) -> PathBuf {
        self.options.dir.join(format!("b{broker}.{extension}"))
    }

    /// Writes a broker's configuration file.
    fn write_config(&self, broker: usize) -> io::Result<()> {
        let state = &self.brokers[broker];
        let mut settings = broker_settings(self.scenario, broker);
        for (path, value) in &self.options.setting_overrides {
            let target = settings
                .pointer_mut(path)
                .ok_or_else(|| io::Error::other(format!("the brokers' settings have no {path}")))?;
            *target = value.clone();
        }
        let discovery = self.links.discovery_addresses[broker][usize::from(state.discovery_moved)];
        let mut config = json!({"name": format!("b{broker}"), "seed": format!("{:x}", self.scenario.seed * 1000 + broker as u64 + 1),
            "discovery": discovery.to_string(), "settings": settings});
        if let Some(listen) = self.links.gossip_listen.get(broker) {
            let peer_address = |other: usize| {
                self.links.gossip_addresses.get(&(broker, other)).unwrap_or(listen).to_string()
            };
            config["peer_listen"] = listen.to_string().into();
            config["peers"] = (0..self.scenario.brokers).map(peer_address).collect();
        }
        if self.options.has_initial_list {
            let servers = (0..self.scenario.servers).map(|server| {
                let config = server_config(self.scenario, server, server % self.scenario.cells, true);
                let address = self.links.tile_addresses[broker][server].to_string();
                json!({"name": config.name, "address": address, "zone": config.zone, "group": config.cell,
                    "status": "up", "weight": 1.0, "since_ms": 0})
            });
            config["known"] = json!({"index": 1, "snapshot": true, "endpoints": servers.collect::<Vec<_>>()});
        }
        fs::write(self.file(broker, "json"), config.to_string())
    }

    fn start(&mut self, broker: usize) -> io::Result<()> {
        self.write_config(broker)?;
        let control = 1 - self.brokers[broker].control;
        let run = self.brokers[broker].starts + 1;
        let process = self.spawn(broker, run, control)?;
        let now = self.now();
        let state = &mut self.brokers[broker];
        (state.run, state.control) = (run, control);
        (state.stopping, state.restart_pending, state.starting_since, state.address) =
            (false, false, Some(now), None);
        state.process = Some(process);
        if !self.tasks.iter().any(|(_, task)| *task == Task::CheckStarting) {
            self.schedule(now, Task::CheckStarting);
        }
        Ok(())
    }

    /// Starts a process of a broker with its current configuration file and the given control address.
    fn spawn(&mut self, broker: usize, run: u32, control: usize) -> io::Result<Process> {
        let ports = &self.ports[broker];
        let mut command = Command::new(&self.options.program);
        command
            .env("BALANCER_CONFIG", self.file(broker, "json"))
            .env("BALANCER_LISTEN", ports.clients.address().to_string())
            .env("BALANCER_CONTROL", ports.control[control].address().to_string())
            .env("TMPDIR", self.temp_dir(broker)?)
            .env("BALANCER_LOG_FORMAT", "json")
            .env("BALANCER_SERVICE", self.write_service_file(broker)?)
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_NAME")
            .current_dir(&self.options.dir);
        self.preload_write_delay(broker, &mut command)?;
        let log = self.file(broker, "log");
        let process = Process::start(command, &log, broker, run, self.event_sender.clone())?;
        self.brokers[broker].starts = run;
        self.world.send(WorldCommand::BrokerStarted(broker));
        Ok(process)
    }

    /// The `TMPDIR` that all processes of a broker share.
    fn temp_dir(&self, broker: usize) -> io::Result<PathBuf> {
        let path = self.file(broker, "tmp");
        fs::create_dir_all(&path)?;
        fs::canonicalize(path)
    }

    /// Writes a broker's service file with the store and the trace folder, if the run has them, and returns
    /// its path.
    fn write_service_file(&self, broker: usize) -> io::Result<PathBuf> {
        let path = self.file(broker, "yaml");
        let mut text = "# Settings beyond the platform's.\n".to_owned();
        if self.scenario.store {
            let state = fs::canonicalize(&self.options.dir)?.join(format!("b{broker}.state"));
            text += &format!("store: {{path: \"{}\"}}\n", state.display());
        }
        if self.options.trace {
            let traces = fs::canonicalize(&self.options.dir)?.join(format!("b{broker}.trace"));
            text += &format!("trace: {{dir: \"{}\"}}\n", traces.display());
        }
        fs::write(&path, text)?;
        fs::canonicalize(path)
    }

    /// Polls a broker that is starting, and adds it to the front once it is up.
    fn check_starting(&mut self, broker: usize) {
        let now = self.now();
        let state = &mut self.brokers[broker];
        let Some(started) = state.starting_since else { return };
        if now.saturating_sub(started) > self.options.start_timeout {
            state.starting_since = None;
            let what = format!("b{broker} was not up {:?} after its start", self.options.start_timeout);
            self.gathered.crashed.push((now, what));
            return;
        }
        if let Some(at) = state.address.filter(|at| control::is_up(*at)) {
            state.starting_since = None;
            state.failed_starts = 0;
            self.set_front(broker, Some(at));
        }
    }

    fn handle_event(&mut self, event: ProcessEvent) -> io::Result<()> {
        let (now, state) = (self.now(), &mut self.brokers[event.broker]);
        match event.event {
            LogEvent::Listening(at) if event.run == state.run => state.address = Some(at),
            LogEvent::Warning(_) => {
                state.warnings += 1;
                *self.gathered.warnings.entry(now.as_secs()).or_default() += 1;
            }
            LogEvent::Ended if event.run == state.run => {
                let Some(mut process) = state.process.take() else { return Ok(()) };
                let status = process.wait()?;
                self.gathered.faults.record_reaped(event.broker, event.run, self.base.elapsed());
                state.ended_cpu += state.running_cpu;
                state.running_cpu = 0.0;
                if !self.options.drains_persist {
                    self.world.send(WorldCommand::BrokerStopped(event.broker));
                }
                // Another process may have taken one of its ports before it could listen.
                let failed_to_start = state.starting_since.take().is_some() && !state.stopping;
                state.failed_starts += u32::from(failed_to_start);
                let retry = failed_to_start && state.failed_starts <= MAX_START_RETRIES;
                let exited_badly =
                    state.restart_pending && !state.killed && !self.options.kill_on_roll && !status.success();
                if exited_badly && self.scenario.kills_early {
                    let what = format!("b{} exited after SIGTERM with {status}", event.broker);
                    self.gathered.crashed.push((now, what));
                }
                state.killed = false;
                let (run, crashed) = (state.run, !state.stopping && !retry);
                let start_again = state.restart_pending || retry;
                if crashed {
                    let what = format!("b{} exited unexpectedly: {status}", event.broker);
                    self.gathered.crashed.push((now, what));
                    // The front notices the exit only after a delay, as after a kill.
                    self.schedule(now + FRONT_DELAY, Task::RemoveFromFront(event.broker, run));
                }
                if start_again {
                    self.start(event.broker)?;
                }
            }
            LogEvent::Ended => self.upgrade_process_ended(event.broker, event.run)?,
            LogEvent::Listening(_) => {}
        }
        Ok(())
    }

    /// Samples the processor time and memory of all processes.
    fn sample_usage(&mut self) {
        let (mut cpu, mut memory) = (0.0, 0.0_f64);
        for broker in &mut self.brokers {
            if let Some(used) = broker.process.as_ref().and_then(Process::resource_usage) {
                broker.running_cpu = used.cpu_seconds;
                let resident = used.resident_bytes as f64 / (1024.0 * 1024.0);
                broker.memory_mb = broker.memory_mb.max(resident);
                memory = memory.max(resident);
            }
            broker.predecessor.iter_mut().for_each(upgrade::Predecessor::sample);
            cpu += broker.ended_cpu
                + broker.running_cpu
                + broker.predecessor.as_ref().map_or(0.0, |old| old.cpu_seconds);
        }
        let second = self.now().as_secs().saturating_sub(1);
        let cpu_used = (cpu - self.cpu_before).max(0.0);
        self.gathered.usage.insert(second, FleetUsage { cpu: cpu_used, memory_mb: memory });
        self.cpu_before = cpu;
    }
}

/// Whether a fault cuts links between brokers and tile servers.
fn cuts_links(fault: &Fault) -> bool {
    matches!(fault, Fault::LoseZone { .. } | Fault::Partition { .. })
}
