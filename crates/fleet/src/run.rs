//! Runs a scenario: stand-ins, fault proxy, brokers, clients, and the schedule of faults between them.

mod crowd;
mod drain;
mod hold;
mod settings;
mod upgrade;
mod wires;

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use badgergauge_standin::world::{World, WorldCommand};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::control;
use crate::load::{Clients, Load, Tell as FrontTell};
use crate::port::HeldPort;
use crate::process::{Note, Process, Said};
use crate::proxy::{Builder, Link, Proxy, ProxyCommand, Rule};
use crate::record::{self, BrokenRule, BrokerUsage, FleetUsage, Record, RunObservations};
use crate::scenario::{Fault, Scenario};
use crate::schedule::{Action, Links, Schedule, StandInCommand};
use settings::{WINDOW, blocks, classes, placed, setting, settings};
use wires::Wires;

/// A broker that has not come up in this time has not started.
const STARTS_IN: Duration = Duration::from_secs(20);
/// A process that is to take over in an upgrade takes clients by then.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// A broker that has not ended so long after SIGTERM hangs.
const STOPS_IN: Duration = Duration::from_secs(10);
/// The front notices a broker's death so late.
const NOTICED: Duration = Duration::from_millis(500);
/// After SIGTERM new clients still come for so long.
const LAST_CLIENTS: Duration = Duration::from_millis(300);
/// A broker that fails to start, as another process took its port, is started again so often.
const STARTS: u32 = 3;
/// A broker that is not up or ready yet is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(10);
/// Brokers that there have to be more of before they speak to each other: fewer need no links for it.
const FEW: usize = 8;
/// Seconds of full service in a row that end the time to it, at the most.
pub const HOLD: usize = 10;

/// What a run needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// The broker's program.
    pub program: PathBuf,
    /// A folder for configuration, logs and the record; made if it is missing.
    pub dir: PathBuf,
    /// The scenario's name.
    pub name: String,
    /// Changes to the brokers' settings: a path in them, and a value. To see checks fail, and to compare.
    pub set: Vec<(String, Value)>,
    /// How long the stand-in servers know a key; the settings' window is 5 s.
    pub window: Duration,
    /// Seconds of full service in a row that end the time to it.
    pub hold: usize,
    /// Whether a broker starts with the list as it was at the run's start, as the platform gives one; else it
    /// knows no server until discovery has told it.
    pub known: bool,
    /// A drain that a broker was told binds it over a restart too, as it has a store; on the platform nothing does.
    pub drains_hold: bool,
    /// A broker that has not come up in this time has not started.
    pub starts_in: Duration,
    /// Rolls kill brokers in place of telling them to end: to see what that costs.
    pub rolls_kill: bool,
    /// Each broker writes what it decided, and why, to trace files in a folder of its own.
    pub trace: bool,
    /// The process that is to take over in an upgrade takes clients by then.
    pub ready_within: Duration,
    /// Upgrades kill the running process and start the one that is to take over so much later: to see what that
    /// costs.
    pub upgrade_gap: Option<Duration>,
    /// The library that holds brokers up before writes; needed where the scenario does.
    pub write_delay: Option<PathBuf>,
}

impl Options {
    /// The usual ones.
    pub fn new(program: &Path, dir: &Path, name: &str) -> Self {
        let (dir, name) = (dir.to_owned(), name.to_owned());
        Options {
            program: program.to_owned(),
            dir,
            name,
            set: Vec::new(),
            window: WINDOW,
            hold: HOLD,
            known: true,
            drains_hold: false,
            starts_in: STARTS_IN,
            rolls_kill: false,
            trace: false,
            ready_within: READY_WITHIN,
            upgrade_gap: None,
            write_delay: hold::library_beside(program),
        }
    }
}

/// A broker of the fleet.
#[derive(Default)]
struct Broker {
    process: Option<Process>,
    /// Which of its starts the process is.
    run: u32,
    starts: u32,
    /// Which of its control addresses the process has.
    control: usize,
    /// The process that is to take over.
    next: Option<upgrade::Next>,
    /// The process that it took over from, until that has ended.
    old: Option<upgrade::Old>,
    /// Starts in a row that failed.
    failed: u32,
    /// It was told to end, or was killed, and is not to be held for crashed.
    ends: bool,
    /// It is to be started once it has ended.
    again: bool,
    /// It was killed, as it had not ended in its time.
    killed: bool,
    /// When it was started, until it is ready.
    started: Option<Duration>,
    address: Option<SocketAddr>,
    /// Whether discovery was moved for it.
    moved: bool,
    /// Processor time of its processes that have ended, and the last figure of the running one.
    cpu: [f64; 2],
    memory_mb: f64,
    warnings: u32,
}

/// The ports of a broker, over all of its processes.
struct Ports {
    clients: HeldPort,
    /// Two, so that the processes of an upgrade each have one.
    control: [HeldPort; 2],
}

impl Ports {
    fn new() -> io::Result<Self> {
        Ok(Ports { clients: HeldPort::new()?, control: [HeldPort::new()?, HeldPort::new()?] })
    }
}

/// What falls due for the runner itself.
#[derive(Clone, Debug, PartialEq)]
enum Due {
    Action(Action),
    /// The front learns that a broker is gone.
    Unlist(usize, u32),
    /// A broker that was told to end is looked at.
    Hangs(usize, u32),
    /// Processor time and memory are read.
    Sample,
    /// Brokers that are starting are asked whether they are up.
    Ask,
    /// The process that is to take over is started.
    StartNext(usize),
    /// The process that is to take over is asked whether it is ready.
    AskReady(usize),
    /// The process that was taken over from is killed, if it is still there.
    KillOld(usize, u32),
    /// What clients hold of a broker that drains is looked at; by the drain's number.
    CheckDrain(usize),
    /// A broker whose drain is over is asked whether it is up; by the drain's number.
    AskBack(usize),
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    options: &'a Options,
    base: Instant,
    offset: Duration,
    world: World,
    proxy: Proxy,
    wires: Wires,
    clients: Option<Clients>,
    brokers: Vec<Broker>,
    ports: Vec<Ports>,
    notes: Sender<Note>,
    heard: Receiver<Note>,
    due: Vec<(Duration, Due)>,
    gathered: RunObservations,
    /// By broker: connections of clients that ask for nothing.
    crowds: Vec<Vec<TcpStream>>,
    cpu_before: f64,
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// When the harness itself can't do its part: no port, no descriptor, no folder, or no broker that starts.
pub fn run(scenario: &Scenario, options: &Options) -> io::Result<Record> {
    fs::create_dir_all(&options.dir)?;
    hold::check(scenario, options)?;
    let schedule = Schedule::new(scenario);
    let base = Instant::now();
    let mut builder = Builder::new(scenario.seed);
    let mut wires = Wires::default();
    let world = World::start(setting(scenario, options, &schedule), base, |tiles| {
        let mut addresses: Vec<Vec<SocketAddr>> = Vec::new();
        for _ in 0..scenario.brokers {
            let linked: Vec<(Link, SocketAddr)> =
                tiles.iter().map(|at| builder.tcp(*at)).collect::<Result<_, _>>()?;
            wires.tiles.push(linked.iter().map(|(link, _)| *link).collect());
            addresses.push(linked.into_iter().map(|(_, at)| at).collect());
        }
        wires.tile_at.clone_from(&addresses);
        Ok(addresses)
    })?;
    for broker in 0..scenario.brokers {
        let [one, other] =
            [builder.tcp(world.discovery_address(broker))?, builder.tcp(world.discovery_address(broker))?];
        wires.lists.push([one.0, other.0]);
        wires.list_at.push([one.1, other.1]);
    }
    if scenario.brokers > FEW {
        // Each holds its port until all are drawn, so that no two get the same.
        let sockets: Vec<UdpSocket> =
            (0..scenario.brokers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        wires.hears = sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        for one in 0..scenario.brokers {
            for other in one + 1..scenario.brokers {
                let ends = builder.udp(wires.hears[one], wires.hears[other])?;
                for ((from, to), (link, at)) in [(one, other), (other, one)].into_iter().zip(ends) {
                    wires.words.insert((from, to), link);
                    wires.word_at.insert((from, to), at);
                }
            }
        }
    }
    let proxy = builder.start()?;
    // Servers of later are not there yet.
    let later: Vec<usize> = (scenario.servers..scenario.servers + schedule.added_servers.len()).collect();
    proxy.send(ProxyCommand::Down(wires.choose(&Links::Servers(later), scenario)));
    let (notes, heard) = mpsc::channel();
    let brokers = (0..scenario.brokers).map(|_| Broker::default()).collect();
    let ports = (0..scenario.brokers).map(|_| Ports::new()).collect::<Result<_, _>>()?;
    let mut fleet = Fleet {
        scenario,
        options,
        base,
        offset: Duration::ZERO,
        world,
        proxy,
        wires,
        clients: None,
        brokers,
        ports,
        notes,
        heard,
        due: Vec::new(),
        gathered: RunObservations::default(),
        crowds: (0..scenario.brokers).map(|_| Vec::new()).collect(),
        cpu_before: 0.0,
    };
    fleet.play(&schedule)
}

impl Fleet<'_> {
    fn now(&self) -> Duration {
        self.base.elapsed()
    }

    fn arm(&mut self, at: Duration, what: Due) {
        self.due.push((at, what));
    }

    fn play(&mut self, schedule: &Schedule) -> io::Result<Record> {
        for broker in 0..self.scenario.brokers {
            self.start(broker)?;
        }
        self.arm(Duration::from_secs(1), Due::Sample);
        self.arm(Duration::ZERO, Due::Ask);
        while self.brokers.iter().any(|broker| broker.address.is_none() || broker.started.is_some()) {
            if !self.gathered.crashed.is_empty() {
                return Err(io::Error::other(self.gathered.crashed[0].1.clone()));
            }
            self.turn()?;
        }
        // Whole seconds before the clients start, so that rows of all counts lie on the same seconds.
        self.offset = Duration::from_secs(self.now().as_secs() + 1);
        for (at, act) in &schedule.actions {
            self.arm(*at + self.offset, Due::Action(act.clone()));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ 0xc11e);
        // From a half to twice the mean: traffic is spread unevenly.
        let weights: Vec<f64> =
            (0..self.scenario.brokers).map(|_| 2_f64.powf(rng.random::<f64>() * 2.0 - 1.0)).collect();
        let load = Load {
            rate: self.scenario.rate * self.scenario.brokers as f64,
            weights,
            parts: self.scenario.parts,
            blocks: blocks(self.scenario),
            classes: classes(self.scenario),
            from: self.offset,
            lasts: Duration::from_secs(self.scenario.seconds),
            seed: self.scenario.seed,
            pooled: self.scenario.pooled,
            unruly: self.scenario.unruly,
        };
        let clients = Clients::start(load, self.base)?;
        for (n, broker) in self.brokers.iter().enumerate() {
            clients.tell(FrontTell::Front(n, broker.address));
        }
        self.clients = Some(clients);
        let ends = schedule.end() + self.offset;
        let asked = |fleet: &Self| fleet.clients.as_ref().is_some_and(|clients| !clients.are_done());
        while self.now() < ends || asked(self) || !self.is_settled() {
            self.turn()?;
        }
        let Some(clients) = self.clients.take() else { return Err(io::Error::other("no clients")) };
        let seen = clients.seen()?;
        self.brokers.iter_mut().for_each(|broker| broker.process = None);
        let rough: Vec<(Duration, Duration)> = self.scenario.events.iter().filter_map(rough).collect();
        let ledger = self.world.ledger();
        let broken = record::violations(&ledger, &seen, &self.gathered, schedule, self.offset, &rough);
        let rows = record::rows(&ledger, &seen, &self.gathered, self.offset.as_secs());
        let fault_at = schedule.actions.first().map(|(at, _)| at.as_secs_f64());
        let (steady, full_service_s) = record::full_service(&rows, fault_at, self.options.hold);
        let asked: u32 = rows.iter().map(|row| row.offered).sum();
        let parts: u32 = rows.iter().map(|row| row.parts).sum();
        let ms = |quantile: f64| seen.times.value_at_quantile(quantile) as f64 / 1e3;
        let at = |at: Duration| at.as_secs_f64() - self.offset.as_secs_f64();
        let broken = broken.into_iter();
        let used = |broker: &Broker| BrokerUsage {
            starts: broker.starts,
            cpu: broker.cpu[0] + broker.cpu[1],
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
            lateness_ms: seen.lateness.as_secs_f64() * 1e3,
            attempts_per_part: f64::from(parts) / (f64::from(asked.max(1)) * self.scenario.parts as f64),
            repeated: ledger.reruns_in_window,
            used: self.brokers.iter().map(used).collect(),
            upgrades: record::upgrade_records(&self.gathered, self.offset),
            drains: record::drain_records(&self.gathered, self.offset),
            broken: broken
                .map(|b| BrokenRule { at: at(b.at), rule: format!("{:?}", b.rule), what: b.details })
                .collect(),
            rows,
        };
        fs::write(self.options.dir.join("record.json"), serde_json::to_string_pretty(&record)?)?;
        Ok(record)
    }

    /// Waits for what comes next, and does it.
    fn turn(&mut self) -> io::Result<()> {
        let now = self.now();
        let next = self.due.iter().map(|(at, _)| *at).min().unwrap_or(now + Duration::from_millis(100));
        let pause = next.saturating_sub(now).min(Duration::from_millis(100));
        match self.heard.recv_timeout(pause) {
            Ok(note) => self.hear(note)?,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
        let now = self.now();
        let mut due: Vec<(Duration, Due)> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, what) in due {
            self.falls_due(what)?;
        }
        Ok(())
    }

    fn falls_due(&mut self, what: Due) -> io::Result<()> {
        match what {
            Due::Action(act) => self.act(act)?,
            Due::Unlist(broker, run) => {
                if self.brokers[broker].run == run {
                    self.list(broker, None);
                }
            }
            Due::Hangs(broker, run) => {
                let hangs = self.brokers[broker].run == run && self.brokers[broker].process.is_some();
                if hangs && self.scenario.kills_early {
                    self.brokers[broker].killed = true;
                    self.signal(broker, Signal::KILL);
                } else if hangs {
                    let what = format!("b{broker} did not end after SIGTERM");
                    self.gathered.crashed.push((self.now(), what));
                    self.signal(broker, Signal::KILL);
                }
            }
            Due::Sample => {
                self.sample();
                let next = Duration::from_secs(self.now().as_secs() + 1);
                self.arm(next, Due::Sample);
            }
            Due::Ask => {
                let waits: Vec<usize> =
                    (0..self.brokers.len()).filter(|b| self.brokers[*b].started.is_some()).collect();
                for broker in waits {
                    self.ask_up(broker);
                }
                if self.brokers.iter().any(|broker| broker.started.is_some()) {
                    self.arm(self.now() + ASK_AGAIN, Due::Ask);
                }
            }
            Due::StartNext(broker) => self.start_next(broker)?,
            Due::AskReady(broker) => self.ask_ready(broker),
            Due::KillOld(broker, run) => self.kill_old(broker, run),
            Due::CheckDrain(drain) => self.check_drain(drain),
            Due::AskBack(drain) => self.ask_back(drain),
        }
        Ok(())
    }

    fn act(&mut self, act: Action) -> io::Result<()> {
        match act {
            Action::Kill(broker) => {
                (self.brokers[broker].ends, self.brokers[broker].killed) = (true, true);
                self.signal(broker, Signal::KILL);
                let run = self.brokers[broker].run;
                self.arm(self.now() + NOTICED, Due::Unlist(broker, run));
            }
            // Its old process may not be reaped yet: it is started once it is.
            Action::Start(broker) if self.brokers[broker].process.is_some() => {
                self.brokers[broker].again = true
            }
            Action::Start(broker) => self.start(broker)?,
            Action::Restart(broker) => {
                let ends_in =
                    if self.scenario.kills_early { upgrade::kill_after(self.scenario) } else { STOPS_IN };
                let state = &mut self.brokers[broker];
                let was_told = std::mem::replace(&mut state.ends, true);
                state.again = true;
                let run = state.run;
                self.signal(broker, if self.options.rolls_kill { Signal::KILL } else { Signal::TERM });
                if !was_told {
                    self.arm(self.now() + LAST_CLIENTS, Due::Unlist(broker, run));
                    self.arm(self.now() + ends_in, Due::Hangs(broker, run));
                }
            }
            Action::Hup(broker) => self.signal(broker, Signal::HUP),
            Action::CrowdComes(broker, clients) => {
                let address = self.ports[broker].clients.address();
                self.crowds[broker] = crowd::gather(address, clients);
            }
            Action::CrowdLeaves(broker) => self.crowds[broker].clear(),
            Action::Upgrade(broker) => self.upgrade(broker)?,
            Action::StartDrain(broker) => self.start_drain(broker),
            Action::StopDrain(broker) => self.stop_drain(broker),
            Action::Pause(broker) => self.signal(broker, Signal::STOP),
            Action::Resume(broker) => self.signal(broker, Signal::CONT),
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
                self.brokers[broker].moved = true;
                self.configure(broker)?;
                self.signal(broker, Signal::HUP);
            }
            Action::World(StandInCommand(WorldCommand::RejectCallsUntil(until))) => {
                self.world.send(WorldCommand::RejectCallsUntil(until + self.offset));
            }
            Action::World(StandInCommand(WorldCommand::StallDiscoveryUntil(until))) => {
                self.world.send(WorldCommand::StallDiscoveryUntil(until + self.offset));
            }
            Action::World(StandInCommand(command)) => self.world.send(command),
            Action::Server(server, up) => {
                let links = self.wires.choose(&Links::Servers(vec![server]), self.scenario);
                self.proxy.send(if up { ProxyCommand::Up(links) } else { ProxyCommand::Down(links) });
            }
            Action::Links(links, rule) => self.set_links(&links, rule),
            Action::ResetLinks(links) => {
                self.proxy.send(ProxyCommand::Reset(self.wires.choose(&links, self.scenario)));
            }
        }
        Ok(())
    }

    /// Whether no upgrade and no drain is under way.
    fn is_settled(&self) -> bool {
        let upgrades = self.brokers.iter().any(|broker| broker.next.is_some() || broker.old.is_some());
        !upgrades && !self.due.iter().any(|(_, due)| matches!(due, Due::StartNext(_) | Due::AskBack(_)))
    }

    fn control(&self, broker: usize) -> SocketAddr {
        self.ports[broker].control[self.brokers[broker].control].address()
    }

    fn set_links(&self, links: &Links, rule: Rule) {
        self.proxy.send(ProxyCommand::SetRule(self.wires.choose(links, self.scenario), rule));
    }

    fn signal(&self, broker: usize, signal: Signal) {
        if let Some(process) = &self.brokers[broker].process {
            process.signal(signal);
        }
    }

    fn list(&self, broker: usize, at: Option<SocketAddr>) {
        if let Some(clients) = &self.clients {
            clients.tell(FrontTell::Front(broker, at));
        }
    }

    fn file(&self, broker: usize, end: &str) -> PathBuf {
        self.options.dir.join(format!("b{broker}.{end}"))
    }

    /// Writes a broker's configuration.
    fn configure(&self, broker: usize) -> io::Result<()> {
        let state = &self.brokers[broker];
        let mut settings = settings(self.scenario, broker);
        for (path, value) in &self.options.set {
            let target =
                settings.pointer_mut(path).ok_or_else(|| io::Error::other(format!("no setting {path}")))?;
            *target = value.clone();
        }
        let list = self.wires.list_at[broker][usize::from(state.moved)];
        let mut config = json!({"name": format!("b{broker}"), "seed": format!("{:x}", self.scenario.seed * 1000 + broker as u64 + 1),
            "discovery": list.to_string(), "settings": settings});
        if let Some(hears) = self.wires.hears.get(broker) {
            let at = |other: usize| self.wires.word_at.get(&(broker, other)).unwrap_or(hears).to_string();
            config["peer_listen"] = hears.to_string().into();
            config["peers"] = (0..self.scenario.brokers).map(at).collect();
        }
        if self.options.known {
            let servers = (0..self.scenario.servers).map(|server| {
                let placed = placed(self.scenario, server, server % self.scenario.cells, true);
                let address = self.wires.tile_at[broker][server].to_string();
                json!({"name": placed.name, "address": address, "zone": placed.zone, "group": placed.cell,
                    "status": "up", "weight": 1.0, "since_ms": 0})
            });
            config["known"] = json!({"index": 1, "snapshot": true, "endpoints": servers.collect::<Vec<_>>()});
        }
        fs::write(self.file(broker, "json"), config.to_string())
    }

    fn start(&mut self, broker: usize) -> io::Result<()> {
        self.configure(broker)?;
        let control = 1 - self.brokers[broker].control;
        let run = self.brokers[broker].starts + 1;
        let process = self.spawn(broker, run, control)?;
        let now = self.now();
        let state = &mut self.brokers[broker];
        (state.run, state.control) = (run, control);
        (state.ends, state.again, state.started, state.address) = (false, false, Some(now), None);
        state.process = Some(process);
        if !self.due.iter().any(|(_, due)| *due == Due::Ask) {
            self.arm(now, Due::Ask);
        }
        Ok(())
    }

    /// Starts a process of a broker, with its configuration as it stands and one of its control addresses.
    fn spawn(&mut self, broker: usize, run: u32, control: usize) -> io::Result<Process> {
        let ports = &self.ports[broker];
        let mut command = Command::new(&self.options.program);
        command
            .env("BALANCER_CONFIG", self.file(broker, "json"))
            .env("BALANCER_LISTEN", ports.clients.address().to_string())
            .env("BALANCER_CONTROL", ports.control[control].address().to_string())
            .env("TMPDIR", self.folder(broker)?)
            .env("BALANCER_LOG_FORMAT", "json")
            .env("BALANCER_SERVICE", self.service(broker)?)
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_NAME")
            .current_dir(&self.options.dir);
        self.preload_write_delay(broker, &mut command)?;
        let log = self.file(broker, "log");
        let process = Process::start(command, &log, broker, run, self.notes.clone())?;
        self.brokers[broker].starts = run;
        self.world.send(WorldCommand::BrokerStarted(broker));
        Ok(process)
    }

    /// The folder for what a broker's processes share.
    fn folder(&self, broker: usize) -> io::Result<PathBuf> {
        let path = self.file(broker, "tmp");
        fs::create_dir_all(&path)?;
        fs::canonicalize(path)
    }

    /// A broker's operator's file: the store and the traces, where it has them, and nothing else.
    fn service(&self, broker: usize) -> io::Result<PathBuf> {
        let path = self.file(broker, "yaml");
        let mut text = "# What goes beyond the platform.\n".to_owned();
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

    /// Takes a broker that is starting into the front once it says that it is up.
    fn ask_up(&mut self, broker: usize) {
        let now = self.now();
        let state = &mut self.brokers[broker];
        let Some(started) = state.started else { return };
        if now.saturating_sub(started) > self.options.starts_in {
            state.started = None;
            let what = format!("b{broker} was not up {:?} after its start", self.options.starts_in);
            self.gathered.crashed.push((now, what));
            return;
        }
        if let Some(at) = state.address.filter(|at| control::is_up(*at)) {
            state.started = None;
            state.failed = 0;
            self.list(broker, Some(at));
        }
    }

    fn hear(&mut self, note: Note) -> io::Result<()> {
        let (now, state) = (self.now(), &mut self.brokers[note.broker]);
        match note.said {
            Said::Listens(at) if note.run == state.run => state.address = Some(at),
            Said::Warns(_) => {
                state.warnings += 1;
                *self.gathered.warnings.entry(now.as_secs()).or_default() += 1;
            }
            Said::Ended if note.run == state.run => {
                let Some(mut process) = state.process.take() else { return Ok(()) };
                let status = process.reap()?;
                state.cpu = [state.cpu[0] + state.cpu[1], 0.0];
                if !self.options.drains_hold {
                    self.world.send(WorldCommand::BrokerStopped(note.broker));
                }
                // Another process may have taken its port between the choice and the bind.
                let failed_to_start = state.started.take().is_some() && !state.ends;
                state.failed += u32::from(failed_to_start);
                let retry = failed_to_start && state.failed <= STARTS;
                let ended_badly =
                    state.again && !state.killed && !self.options.rolls_kill && !status.success();
                if ended_badly && self.scenario.kills_early {
                    let what = format!("b{} was told to end, and ended with {status}", note.broker);
                    self.gathered.crashed.push((now, what));
                }
                state.killed = false;
                let (run, crashed) = (state.run, !state.ends && !retry);
                let again = state.again || retry;
                if crashed {
                    let what = format!("b{} ended by itself: {status}", note.broker);
                    self.gathered.crashed.push((now, what));
                    // Nobody told the front: it notices as it does after a kill.
                    self.arm(now + NOTICED, Due::Unlist(note.broker, run));
                }
                if again {
                    self.start(note.broker)?;
                }
            }
            Said::Ended => self.ended_in_upgrade(note.broker, note.run)?,
            Said::Listens(_) => {}
        }
        Ok(())
    }

    fn sample(&mut self) {
        let (mut cpu, mut memory) = (0.0, 0.0_f64);
        for broker in &mut self.brokers {
            if let Some(used) = broker.process.as_ref().and_then(Process::uses) {
                broker.cpu[1] = used.cpu;
                let resident = used.resident as f64 / (1024.0 * 1024.0);
                broker.memory_mb = broker.memory_mb.max(resident);
                memory = memory.max(resident);
            }
            broker.old.iter_mut().for_each(upgrade::Old::sample);
            cpu += broker.cpu[0] + broker.cpu[1] + broker.old.as_ref().map_or(0.0, |old| old.cpu);
        }
        let second = self.now().as_secs().saturating_sub(1);
        let cpu_used = (cpu - self.cpu_before).max(0.0);
        self.gathered.usage.insert(second, FleetUsage { cpu: cpu_used, memory_mb: memory });
        self.cpu_before = cpu;
    }
}

/// The span in which an event's faults may cut frames.
fn rough(event: &crate::scenario::Event) -> Option<(Duration, Duration)> {
    match &event.fault {
        Fault::Network { reset, duration, .. } if *reset > 0.0 => Some((event.at, event.at + *duration)),
        Fault::LoseZone { duration, .. } | Fault::Partition { duration, .. } => {
            Some((event.at, event.at + *duration))
        }
        _ => None,
    }
}
