//! The broker's loop: it gathers what is ready, hands it to the core in one step, and carries out
//! what comes back, in order.

mod accept;
mod clients;
mod discovery;
mod operators;
mod peers;
mod signals;
mod upgrade;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use self::discovery::take_list;
use self::signals::SignalFlags;
use self::upgrade::{newer_list, open_store};
use crate::backend::{Backend, Completion, FlushStatus};
use crate::config::Config;
use crate::config::settings::SiteSettings;
use crate::control::{Endpoint, EndpointConfig, Operations, Statistics};
use crate::core::{Command, Core};
use crate::discovery::{CallSchedule, ServerList, Source, Watch};
use crate::front::{Front, Pending};
use crate::interface::{LoadReport, Time, Verdict};
use crate::inventory::Inventory;
use crate::lifecycle::{Lifecycle, Phase as LifePhase};
use crate::net::client::Client;
use crate::net::clock::Clock;
use crate::net::{Net, Ready, TimerEvent, bind_udp};
use crate::record::TraceRecorder;
use crate::state::StateStore;
use crate::upgrade::{RENDEZVOUS, TO_PREDECESSOR, TO_SUCCESSOR, Upgrade};

const LISTEN: usize = 0;
const SIGNAL: usize = 1;
const WATCH: usize = 2;
const OGC_LISTEN: usize = 3;
const PEERS: usize = 4;

/// Descriptors for all but clients and tile servers: standard streams, poller, signal, listeners, watch.
const RESERVED: usize = 24;
/// Share of the descriptors that operators' connections may take.
const OPERATOR_SHARE: usize = 8;
/// A client without a request costs about so much memory, beside what its buffers hold.
const CLIENT_MEMORY: usize = 4 * 1024;
/// Share of the memory that clients may take, and as much again for what their buffers hold.
const CLIENT_SHARE: usize = 4;
/// How often idle connections are looked over, and at the least so often in the servers' idle limit: they
/// must be closed before it.
const SWEEP: Duration = Duration::from_millis(500);
const SWEEPS: u32 = 10;
/// And one that has not ended its first request for so long.
const SLOW: Duration = Duration::from_millis(500);

/// A broker on its sockets.
pub struct Broker {
    settings: Arc<SiteSettings>,
    net: Net,
    core: Core,
    /// The trace, where it is on.
    trace: Option<TraceRecorder>,
    /// What lasts over a restart, where it is on.
    store: Option<StateStore>,
    backend: Backend,
    /// Where the list of servers comes from: one source alone, as each gives it whole.
    watch: Option<Watch>,
    /// Where word goes to and comes from other brokers, and their addresses by number.
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    inventory: Option<Inventory>,
    /// When discovery is to be tended next; timers set for earlier are void.
    watch_at: Time,
    /// Whether it was said that no watch stands.
    watch_away: bool,
    /// When the loop last asked what is ready: whatever is ready now came since.
    looked: Time,
    /// The listeners, by key, until SIGTERM.
    listeners: Vec<(usize, TcpListener)>,
    /// Connections that may have been accepted at the end of listening, at each listener.
    last_accepts: usize,
    /// Listeners on which a successor accepts in this process's place.
    released: Vec<(usize, TcpListener)>,
    /// Hand-overs, where they are on.
    upgrade: Option<Upgrade>,
    /// When the successor was given what this process has learned.
    snapshot_taken: Time,
    front: Front,
    signal: UnixStream,
    /// What signals have asked for; `signal` wakes the loop to look.
    signal_flags: SignalFlags,
    /// What it runs by.
    config: Config,
    clients: HashMap<usize, Client<Pending>>,
    most_clients: usize,
    /// How many clients may be held while no other process of this broker runs.
    most_clients_alone: usize,
    /// Descriptors for all but clients.
    fixed_descriptors: usize,
    /// What clients' buffers hold, and what they may hold together.
    buffered: usize,
    most_buffered: usize,
    /// Clients that have had their turn and have more requests in.
    again: Vec<usize>,
    /// Whether listeners wait for a client to leave.
    crowded: bool,
    /// Where the process stands between its start and its end.
    lifecycle: Lifecycle,
    /// What operators ask for and read, and whether anybody can.
    operations: Arc<Operations>,
    is_operated: bool,
    last_step: Time,
    /// What the step under way wants done.
    commands: Vec<Command>,
}

impl Broker {
    /// Binds the sockets and takes the list of old.
    ///
    /// # Errors
    ///
    /// When the configuration can't be followed.
    pub fn start(mut config: Config) -> io::Result<Self> {
        let invalid = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        let clock = Clock::start();
        let born = clock.now();
        let mut net = Net::new(clock)?;
        // Signals are heeded before anything can go wrong: one that came earlier would end the program.
        let (signal, wake) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        let signal_flags = SignalFlags::listen(&wake)?;
        net.poll.add(&signal, SIGNAL, true, false)?;
        let settings = Arc::new(config.settings.clone());
        let mut core =
            Core::new(settings.clone(), config.seed).map_err(|error| invalid(error.to_string()))?;
        let trace = TraceRecorder::start(&config, &clock, &mut core)?;
        let backend_links = config.bounds.sockets / 4;
        let memory = config.bounds.memory_mb * 1024 * 1024;
        let by_memory = memory / CLIENT_SHARE / CLIENT_MEMORY;
        let is_operated = config.control.is_some();
        let max_connections = config.bounds.sockets / OPERATOR_SHARE;
        let endpoint = config.control.map(|address| EndpointConfig { address, max_connections });
        let reserved = RESERVED + endpoint.map_or(0, |endpoint| endpoint.max_descriptors());
        let fixed_descriptors = reserved + backend_links;
        let by_descriptors = config.bounds.sockets.saturating_sub(fixed_descriptors);
        let most_clients = by_descriptors.min(by_memory).max(1);
        let operations = Arc::new(Operations::new(Statistics::new(&settings.classes)));
        if let Some(endpoint) = endpoint {
            let endpoint = Endpoint::start(endpoint, operations.clone(), net.poll.waker());
            let endpoint = endpoint.map_err(|error| invalid(format!("control: {error}")))?;
            tracing::info!("{} listens to operators on {}", config.name, endpoint.address());
        }
        let mut backend = Backend::new(settings.clone(), backend_links);
        let known = config.known.take().map(|known| ServerList::from_value(&known, &clock)).transpose();
        let mut known = known.map_err(|fault| invalid(format!("known.{fault}")))?;
        let folder = is_operated.then(shared_folder).flatten();
        let (mut upgrade, offer) =
            folder.map(|folder| Upgrade::begin(&folder, &config.name, config.listen)).unzip();
        let offer = offer.flatten();
        known = newer_list(known, offer.as_ref(), &clock);
        let store = open_store(&config, clock, &mut known, offer.is_some())?;
        if let Some(list) = &mut known {
            list.is_full = true;
            take_list(&mut core, &mut backend, list, None);
        }
        let mut inventory = config.ogc.as_ref().and_then(|ogc| ogc.inventory.clone()).map(Inventory::new);
        if let Some(list) = inventory
            .as_mut()
            .map(|i| i.reread(clock.now()))
            .transpose()
            .map_err(|e| invalid(e.to_string()))?
            .flatten()
        {
            take_list(&mut core, &mut backend, &list, None);
        }
        let watch = config.discovery.filter(|_| inventory.is_none()).map(|at| {
            let source = Source::from_settings(&settings.router, settings.drain_grace);
            Watch::new(at, known.as_ref(), clock, CallSchedule::new(clock.now(), source, config.seed))
        });
        let peers = config
            .peers
            .take()
            .filter(|(_, all)| core.gossip_enabled() && all.len() == settings.router.front_nodes as usize);
        let peers = peers.map(|(at, all)| {
            let adopted = upgrade.as_mut().and_then(|upgrade: &mut Upgrade| upgrade.take_datagrams(at));
            let socket = adopted.map_or_else(|| bind_udp(at, is_operated), Ok);
            socket.map(|socket| (socket, all))
        });
        let peers = peers.transpose().map_err(|error| invalid(format!("peer_listen: {error}")))?;
        let front = Front::new(settings.clone(), config.ogc.clone(), config.seed);
        let now = clock.now();
        net.timers.arm(now, TimerEvent::DiscoveryWatch);
        net.timers.arm(now.after(SWEEP), TimerEvent::IdleSweep);
        net.timers.arm(now, TimerEvent::SilenceCheck);
        if is_operated {
            net.timers.arm(now, TimerEvent::UpdateGauges);
        }
        let mut broker = Broker {
            settings,
            net,
            core,
            trace,
            store,
            backend,
            watch,
            peers,
            inventory,
            watch_at: now,
            watch_away: false,
            looked: now,
            listeners: Vec::new(),
            last_accepts: 0,
            released: Vec::new(),
            upgrade,
            snapshot_taken: now,
            front,
            signal,
            signal_flags,
            config,
            clients: HashMap::new(),
            most_clients,
            most_clients_alone: most_clients,
            fixed_descriptors,
            buffered: 0,
            most_buffered: memory / CLIENT_SHARE,
            again: Vec::new(),
            crowded: false,
            lifecycle: Lifecycle::default(),
            operations,
            is_operated,
            last_step: Time(0),
            commands: Vec::new(),
        };
        if let Some(offer) = offer {
            broker.take_over(now, &offer);
        }
        let bound = broker.net.clock.now();
        broker.await_list()?;
        let listed = broker.net.clock.now();
        if !broker.lifecycle.is_stopping() {
            broker.listen()?;
        }
        broker.lifecycle.started();
        if let Some(upgrade) = broker.upgrade.as_mut().filter(|_| broker.lifecycle.is_serving()) {
            upgrade.listening(&broker.net);
        }
        let ms = |from: Time, to: Time| to.since(from).as_secs_f64() * 1e3;
        let ready = broker.net.clock.now();
        broker.heed_drain(ready);
        broker.show_operators();
        let told = match broker.watch.as_ref().is_some_and(Watch::has_received_list) {
            true => "told",
            false if broker.core.can_serve() => "the one of old",
            false => "none: not ready",
        };
        tracing::info!(
            "started in {:.1} ms: {:.1} for settings and sockets, {:.1} for the first list ({told}), {:.1} to listen",
            ms(born, ready),
            ms(born, bound),
            ms(bound, listed),
            ms(listed, ready)
        );
        Ok(broker)
    }

    /// Waits for the first list, a moment at the most. What discovery's agent has counts as told from the process's
    /// first moment, and the list of old may call a server sound that drains or is gone: clients come after it.
    fn await_list(&mut self) -> io::Result<()> {
        let source = Source::from_settings(&self.settings.router, self.settings.drain_grace);
        let until = self.net.clock.now().after(source.first_list_timeout());
        let waits = |broker: &Self| broker.watch.as_ref().is_some_and(|watch| !watch.has_received_list());
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while waits(self) && !self.lifecycle.is_stopping() && self.net.clock.now() < until {
            self.turn(&mut ready, &mut due, Some(until))?;
        }
        // What signals asked for meanwhile goes before the first client.
        self.turn(&mut ready, &mut due, Some(Time(0)))
    }

    /// Where it listens: to the platform's clients first.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().filter_map(|(_, listener)| listener.local_addr().ok()).collect()
    }

    /// Serves until SIGTERM has come and all that was taken is answered.
    ///
    /// # Errors
    ///
    /// When the poller fails.
    pub fn run(mut self) -> io::Result<()> {
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while self.goes_on() {
            self.turn(&mut ready, &mut due, self.lifecycle.due())?;
        }
        if let Some(trace) = self.trace.take() {
            trace.close(self.net.clock.now());
        }
        Ok(())
    }

    /// Waits until anything is ready or due, or until a time, and does it.
    fn turn(
        &mut self,
        ready: &mut Vec<Ready>,
        due: &mut Vec<TimerEvent>,
        until: Option<Time>,
    ) -> io::Result<()> {
        let now = self.net.clock.now();
        let step = self.core.has_events().then(|| self.last_step.after(self.settings.router.tick));
        let wake =
            self.net.timers.next().into_iter().chain(step).chain(self.core.gossip_due()).chain(until).min();
        let pause = if self.again.is_empty() { wake.map(|at| at.since(now)) } else { Some(Duration::ZERO) };
        self.net.poll.wait(pause, ready)?;
        let now = self.net.clock.now();
        self.lifecycle.pass(now);
        // Before any request is read: whoever has the answer to a call for a drain is told of it from then on.
        self.heed_drain(now);
        for key in std::mem::take(&mut self.again) {
            self.client_ready(now, key);
        }
        for report in ready.drain(..) {
            self.ready(now, report.key, report.readable);
        }
        self.net.timers.expire(now, due);
        for what in due.drain(..) {
            self.due(now, what);
        }
        self.gather(now);
        if self.core.has_events() && now.since(self.last_step) >= self.settings.router.tick {
            self.step(now);
        }
        self.say(now);
        self.show_operators();
        self.looked = now;
        Ok(())
    }

    /// Whether the process goes on: it ends once it was told to and nothing is owed to anyone.
    fn goes_on(&mut self) -> bool {
        let now = self.net.clock.now();
        self.lifecycle.pass(now);
        if self.lifecycle.is_stopping() {
            let owed =
                self.core.open_queries() > 0 || self.clients.values().any(Client::has_pending_response);
            self.lifecycle.left(now, !self.listeners.is_empty(), owed, !self.clients.is_empty());
        }
        self.lifecycle.phase() != LifePhase::Ended
    }

    fn ready(&mut self, now: Time, key: usize, readable: bool) {
        match key {
            LISTEN | OGC_LISTEN => drop(self.accept(now, key)),
            SIGNAL => self.signalled(now),
            WATCH => self.watch_ready(now),
            PEERS => self.hear(),
            RENDEZVOUS => {
                if let Some(upgrade) = &mut self.upgrade {
                    upgrade.accept(&self.net);
                }
            }
            TO_SUCCESSOR => self.successor_ready(now),
            TO_PREDECESSOR => self.predecessor_ready(now),
            _ if self.backend.on_ready(&mut self.net, now, key, readable) => {}
            _ => {
                if let Some(client) = self.clients.get_mut(&key) {
                    client.write_interest = None;
                }
                self.client_ready(now, key);
            }
        }
    }

    fn due(&mut self, now: Time, what: TimerEvent) {
        match what {
            TimerEvent::Core(timer) => self.core.timer(timer),
            TimerEvent::QueryDeadline(query) => {
                if let Some(command) = self.core.check_deadline(now, query) {
                    self.carry_out(now, command);
                }
            }
            TimerEvent::AttemptTimeout(attempt) => self.backend.cancel(now, attempt, Verdict::NoAnswer),
            TimerEvent::StartBefore(attempt) => self.backend.withdraw(now, attempt),
            TimerEvent::ConnectTimeout(key) => self.backend.on_connect_timeout(&self.net, key),
            TimerEvent::ResponseStalled(key) => self.backend.on_response_stalled(&self.net, now, key),
            TimerEvent::DrainGraceExpired(server) if self.core.is_draining(server) => {
                self.backend.disable_server(server)
            }
            TimerEvent::DrainGraceExpired(_) => {}
            TimerEvent::DiscoveryWatch if now < self.watch_at => {}
            TimerEvent::DiscoveryWatch => self.tend_watch(now),
            TimerEvent::SilenceCheck => {
                self.net
                    .timers
                    .arm(now.after(self.backend.liveness_check_interval()), TimerEvent::SilenceCheck);
                self.backend.check_liveness(&mut self.net, now);
            }
            TimerEvent::IdleSweep => self.sweep(now),
            // The outcomes come with the gather that follows.
            TimerEvent::CancelsRead => {}
            TimerEvent::DrainIdleEnd => self.end_resting(now),
            TimerEvent::UpdateGauges => self.set_gauges(now),
            TimerEvent::StopListening => self.stop_listening(now),
            TimerEvent::StopServing => self.stop_serving(now),
            TimerEvent::ShutdownDeadline => self.fail_open(now),
        }
    }

    /// Writes what is queued for the servers, and hands what ended at them to the core.
    fn gather(&mut self, now: Time) {
        let (mut now, mut flushed) = (now, FlushStatus::Yielded);
        while flushed == FlushStatus::Yielded {
            now = self.look_again(now);
            for command in self.core.withdraw_ended() {
                self.carry_out(now, command);
            }
            flushed = self.backend.flush(&mut self.net, now);
        }
        for done in self.backend.completions.drain(..) {
            match done {
                Completion::Attempt { attempt, verdict, value, load } => {
                    self.core.outcome(now, attempt, verdict, value, load)
                }
                Completion::Probe { server, verdict, round_trip, load } => {
                    self.core.probed(server, verdict, round_trip, load)
                }
            }
        }
    }

    fn step(&mut self, now: Time) {
        self.last_step = now;
        let mut commands = std::mem::take(&mut self.commands);
        self.core.step(now, &mut commands);
        if let Some(trace) = &mut self.trace {
            trace.take(&mut self.core);
        }
        let now = self.look_again(now);
        for command in commands.drain(..) {
            self.carry_out(now, command);
        }
        self.commands = commands;
        self.gather(now);
    }

    /// What was gathered is as old as the turn has taken, and the process may have been held up in it. Where that is long,
    /// what has come meanwhile is taken in before anything is sent: clients that have left, servers that drain. Gives
    /// the time it is.
    fn look_again(&mut self, now: Time) -> Time {
        if !self.net.clock.is_stale(now) {
            return now;
        }
        let later = self.net.clock.now();
        let mut ready = Vec::new();
        if self.net.poll.wait(Some(Duration::ZERO), &mut ready).is_ok() {
            for report in ready {
                self.ready(later, report.key, report.readable);
            }
        }
        let mut due = Vec::new();
        self.net.timers.expire(later, &mut due);
        for what in due {
            self.due(later, what);
        }
        later
    }

    fn carry_out(&mut self, now: Time, command: Command) {
        match command {
            // Its query ended after the step that wanted it sent.
            Command::Send(send) if !self.core.is_part_open(send.attempt.0) => {
                self.core.outcome(now, send.attempt, Verdict::NotSent, None, LoadReport::default());
            }
            Command::Send(send) => {
                self.net.timers.arm(send.deadline, TimerEvent::AttemptTimeout(send.attempt));
                if let Some(latest) = send.start_before.filter(|latest| *latest < send.deadline) {
                    self.net.timers.arm(latest, TimerEvent::StartBefore(send.attempt));
                }
                self.backend.send(&mut self.net, now, send);
            }
            Command::Cancel(attempt) => self.backend.cancel(now, attempt, Verdict::Cancelled),
            Command::Withdraw(attempt) => self.backend.withdraw(now, attempt),
            Command::CloseIdle(server) => self.backend.close_idle(&self.net, server),
            Command::Probe(server) => self.backend.probe(&mut self.net, now, server),
            Command::Finish(ticket, last) => self.finish(now, ticket, last),
            Command::SetTimer(at, timer) => self.net.timers.arm(at, TimerEvent::Core(timer)),
            Command::SetDeadline(at, query) => self.net.timers.arm(at, TimerEvent::QueryDeadline(query)),
            // The watch goes on by itself.
            Command::WatchServers => {}
        }
    }

    fn sweep(&mut self, now: Time) {
        let pause = SWEEP.min(self.settings.connection_idle / SWEEPS).max(self.settings.router.tick);
        self.net.timers.arm(now.after(pause), TimerEvent::IdleSweep);
        self.backend.sweep(&self.net, now);
        match self.inventory.as_mut().map(|inventory| inventory.reread(now)) {
            Some(Ok(Some(list))) => take_list(&mut self.core, &mut self.backend, &list, None),
            Some(Err(error)) => tracing::warn!("{error}"),
            _ => {}
        }
        self.sweep_clients(now);
        self.end_resting(now);
        // Whoever had to be left alone a moment ago may have to make room by now.
        if std::mem::take(&mut self.crowded) {
            self.listen_on();
        }
    }
}

/// The folder that processes of one broker share, where they were given one.
fn shared_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from)
}
