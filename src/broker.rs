//! The broker's event loop: it collects what is ready, hands it to the core in one step, and executes the
//! core's commands in order.

mod accept;
mod clients;
mod discovery;
mod eviction;
mod inventory;
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

use self::discovery::{apply_list, call_of_key};
use self::inventory::apply_inventory;
use self::signals::SignalFlags;
use self::upgrade::{newer_list, open_store};
use crate::backend::{Backend, Completion, FlushStatus};
use crate::config::settings::SiteSettings;
use crate::config::{Config, PeerAddresses};
use crate::control::{Endpoint, EndpointConfig, Operations, Statistics};
use crate::core::{Command, Core};
use crate::discovery::{CallSchedule, ServerList, Source, Watch};
use crate::front::{Front, PendingRequest};
use crate::interface::{LoadReport, Time, Verdict};
use crate::inventory::Inventory;
use crate::lifecycle::{Lifecycle, Phase as LifecyclePhase};
use crate::net::client::Client;
use crate::net::clock::Clock;
use crate::net::{Net, Ready, TimerEvent, bind_udp};
use crate::record::TraceRecorder;
use crate::state::StateStore;
use crate::upgrade::{PREDECESSOR_KEY, RENDEZVOUS_KEY, SUCCESSOR_KEY, Upgrade};

// Keys under which the poller reports the broker's own sockets. Keys 5 to 7 are defined in
// `crate::upgrade`, and those of calls to discovery in `discovery`.
const CLIENT_LISTENER_KEY: usize = 0;
const SIGNAL_KEY: usize = 1;
const OGC_LISTENER_KEY: usize = 3;
const PEERS_KEY: usize = 4;

/// Descriptors for everything except clients, operators and tile servers: standard streams, poller, signal
/// pipe, listeners and at most [`crate::discovery::MAX_OPEN_CALLS`] calls to discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Operators' connections may use this fraction (1/n) of the descriptors.
const OPERATOR_DESCRIPTOR_DIVISOR: usize = 8;
/// Connections to tile servers may use this fraction (1/n) of the descriptors.
const BACKEND_DESCRIPTOR_DIVISOR: usize = 4;
/// Approximate memory of a client without a request, in bytes, excluding its buffers.
const IDLE_CLIENT_BYTES: usize = 4 * 1024;
/// Clients may use this fraction (1/n) of the memory, and their buffers together the same amount again.
const CLIENT_MEMORY_DIVISOR: usize = 4;
/// Longest interval between two sweeps of idle connections.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// At least this many sweeps fall into the tile servers' idle limit, as a connection must be closed before
/// the server closes it.
const SWEEPS_PER_IDLE_LIMIT: u32 = 10;
/// A client that has been in the middle of a request or a response for this long may be closed to make room.
const SLOW_CLIENT_AFTER: Duration = Duration::from_millis(500);

/// The socket and addresses for gossip between brokers.
struct GossipPeers {
    socket: UdpSocket,
    /// The addresses of the brokers, by broker index.
    addresses: Vec<SocketAddr>,
}

/// A broker with its sockets.
pub struct Broker {
    settings: Arc<SiteSettings>,
    net: Net,
    core: Core,
    /// Records the trace, if enabled.
    trace: Option<TraceRecorder>,
    /// The state that outlasts a restart, if enabled.
    store: Option<StateStore>,
    backend: Backend,
    /// The source of the server list. There is only one source (a watch or an inventory), as each sends the
    /// full list.
    watch: Option<Watch>,
    /// Gossip with other brokers, if enabled.
    peers: Option<GossipPeers>,
    inventory: Option<Inventory>,
    /// When discovery is to be updated next; timers that were set for an earlier time are ignored.
    watch_timer_at: Time,
    /// Whether a failed watch has been logged as a warning since the last one that worked.
    watch_failure_logged: bool,
    /// When the poller was last asked; anything that is ready now has arrived since.
    polled_at: Time,
    /// The listeners with their poller keys, until SIGTERM.
    listeners: Vec<(usize, TcpListener)>,
    /// Upper bound of the connections accepted from each listener since listening began to stop.
    final_accepts: usize,
    /// Listeners that the successor accepts on; kept in case the successor fails.
    released: Vec<(usize, TcpListener)>,
    /// Hand-overs between processes of this broker, if enabled.
    upgrade: Option<Upgrade>,
    /// When the snapshot for the successor was taken.
    snapshot_taken_at: Time,
    /// Client requests and responses.
    front: Front,
    /// Becomes readable when a signal arrives.
    signal: UnixStream,
    /// Which signals have arrived.
    signal_flags: SignalFlags,
    /// The configuration it was started with; a reload updates only discovery's address.
    config: Config,
    clients: HashMap<usize, Client<PendingRequest>>,
    /// How many clients may be connected at present.
    max_clients: usize,
    /// How many clients may be connected while no other process of this broker runs.
    max_clients_standalone: usize,
    /// Descriptors reserved for everything except clients.
    fixed_descriptors: usize,
    /// Bytes held in clients' buffers at present.
    buffered_bytes: usize,
    /// Limit of `buffered_bytes`.
    max_buffered_bytes: usize,
    /// Clients with more input than one iteration takes; they continue in the next iteration.
    unfinished_clients: Vec<usize>,
    /// Whether accepting is paused until a client leaves or the next sweep.
    accept_paused: bool,
    /// The phase of the process between start and end.
    lifecycle: Lifecycle,
    /// State shared with the control endpoint: drain requests, readiness and statistics.
    operations: Arc<Operations>,
    /// Whether the control endpoint is enabled.
    has_control: bool,
    last_step_at: Time,
    /// Buffer for the commands of a step.
    commands: Vec<Command>,
}

impl Broker {
    /// Binds the sockets and loads the last known server list.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is invalid or a socket can't be opened.
    pub fn start(mut config: Config) -> io::Result<Self> {
        let invalid = |message: String| io::Error::new(io::ErrorKind::InvalidInput, message);
        let clock = Clock::start();
        let started_at = clock.now();
        let mut net = Net::new(clock)?;
        // Signal handlers come first: until they are installed, a signal would kill the process.
        let (signal, wake) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        let signal_flags = SignalFlags::install(&wake)?;
        net.poll.add(&signal, SIGNAL_KEY, true, false)?;
        let settings = Arc::new(config.settings.clone());
        let mut core =
            Core::new(settings.clone(), config.seed).map_err(|error| invalid(error.to_string()))?;
        let trace = TraceRecorder::start(&config, &clock, &mut core)?;
        let max_backend_connections = config.limits.sockets / BACKEND_DESCRIPTOR_DIVISOR;
        let memory = config.limits.memory_mb * 1024 * 1024;
        let max_by_memory = memory / CLIENT_MEMORY_DIVISOR / IDLE_CLIENT_BYTES;
        let has_control = config.control.is_some();
        let max_connections = config.limits.sockets / OPERATOR_DESCRIPTOR_DIVISOR;
        let endpoint_config = config.control.map(|address| EndpointConfig { address, max_connections });
        let reserved =
            RESERVED_DESCRIPTORS + endpoint_config.map_or(0, |endpoint| endpoint.max_descriptors());
        let fixed_descriptors = reserved + max_backend_connections;
        let max_by_descriptors = config.limits.sockets.saturating_sub(fixed_descriptors);
        let max_clients = max_by_descriptors.min(max_by_memory).max(1);
        let operations = Arc::new(Operations::new(Statistics::new(&settings.classes)));
        if let Some(endpoint_config) = endpoint_config {
            let endpoint = Endpoint::start(endpoint_config, operations.clone(), net.poll.waker());
            let endpoint = endpoint.map_err(|error| invalid(format!("control: {error}")))?;
            tracing::info!("{} listens to operators on {}", config.name, endpoint.address());
        }
        let mut backend = Backend::new(settings.clone(), max_backend_connections);
        let known =
            config.known_servers.take().map(|known| ServerList::from_value(&known, &clock)).transpose();
        let mut known = known.map_err(|error| invalid(format!("known.{error}")))?;
        let directory = has_control.then(shared_directory).flatten();
        let (mut upgrade, offer) =
            directory.map(|directory| Upgrade::start(&directory, &config.name, config.listen)).unzip();
        let offer = offer.flatten();
        known = newer_list(known, offer.as_ref(), &clock);
        let store = open_store(&config, clock, &mut known, offer.is_some())?;
        if let Some(list) = &mut known {
            list.is_full = true;
            apply_list(&mut core, &mut backend, list, None);
        }
        let mut inventory = config.ogc.as_ref().and_then(|ogc| ogc.inventory.clone()).map(Inventory::new);
        if let Some(inventory) = &mut inventory {
            apply_inventory(inventory, clock.now(), &settings.router, &mut core, &mut backend)
                .map_err(|error| invalid(error.to_string()))?;
        }
        let watch = config.discovery.filter(|_| inventory.is_none()).map(|at| {
            let source = Source::from_settings(&settings.router, settings.drain_grace);
            Watch::new(at, known.as_ref(), clock, CallSchedule::new(clock.now(), source, config.seed))
        });
        let peers = config.peers.take().filter(|peers| {
            core.gossip_enabled() && peers.brokers.len() == settings.router.front_nodes as usize
        });
        let peers = peers.map(|PeerAddresses { listen, brokers }| {
            let adopted = upgrade.as_mut().and_then(|upgrade: &mut Upgrade| upgrade.take_udp_socket(listen));
            let socket = adopted.map_or_else(|| bind_udp(listen, has_control), Ok);
            socket.map(|socket| GossipPeers { socket, addresses: brokers })
        });
        let peers = peers.transpose().map_err(|error| invalid(format!("peer_listen: {error}")))?;
        let front = Front::new(settings.clone(), config.ogc.clone(), config.seed);
        let now = clock.now();
        net.timers.arm(now, TimerEvent::DiscoveryWatch);
        net.timers.arm(now.after(MAX_SWEEP_INTERVAL), TimerEvent::IdleSweep);
        net.timers.arm(now, TimerEvent::SilenceCheck);
        if has_control {
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
            watch_timer_at: now,
            watch_failure_logged: false,
            polled_at: now,
            listeners: Vec::new(),
            final_accepts: 0,
            released: Vec::new(),
            upgrade,
            snapshot_taken_at: now,
            front,
            signal,
            signal_flags,
            config,
            clients: HashMap::new(),
            max_clients,
            max_clients_standalone: max_clients,
            fixed_descriptors,
            buffered_bytes: 0,
            max_buffered_bytes: memory / CLIENT_MEMORY_DIVISOR,
            unfinished_clients: Vec::new(),
            accept_paused: false,
            lifecycle: Lifecycle::default(),
            operations,
            has_control,
            last_step_at: Time(0),
            commands: Vec::new(),
        };
        if let Some(offer) = offer {
            broker.take_over(now, &offer);
        }
        let bound_at = broker.net.clock.now();
        broker.wait_for_first_list()?;
        let listed_at = broker.net.clock.now();
        if !broker.lifecycle.is_stopping() {
            broker.listen()?;
        }
        broker.lifecycle.started();
        if let Some(upgrade) = broker.upgrade.as_mut().filter(|_| broker.lifecycle.is_serving()) {
            upgrade.now_listening(&broker.net);
        }
        let ms = |from: Time, to: Time| to.since(from).as_secs_f64() * 1e3;
        let ready_at = broker.net.clock.now();
        broker.apply_drain_request(ready_at);
        broker.publish_state();
        let first_list = match broker.watch.as_ref().is_some_and(Watch::has_received_list) {
            true => "received",
            false if broker.core.can_serve() => "last known",
            false => "none, not ready",
        };
        tracing::info!(
            "started in {:.1} ms: {:.1} for settings and sockets, {:.1} for the first list ({first_list}), {:.1} to listen",
            ms(started_at, ready_at),
            ms(started_at, bound_at),
            ms(bound_at, listed_at),
            ms(listed_at, ready_at)
        );
        Ok(broker)
    }

    /// Waits a limited time for the first server list from discovery before clients are accepted. A list that
    /// the discovery agent already has is deemed delivered when the process starts, and the last known list
    /// may show a server as up that is draining or removed.
    fn wait_for_first_list(&mut self) -> io::Result<()> {
        let source = Source::from_settings(&self.settings.router, self.settings.drain_grace);
        let until = self.net.clock.now().after(source.first_list_timeout());
        let is_waiting =
            |broker: &Self| broker.watch.as_ref().is_some_and(|watch| !watch.has_received_list());
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while is_waiting(self) && !self.lifecycle.is_stopping() && self.net.clock.now() < until {
            self.run_iteration(&mut ready, &mut due, Some(until))?;
        }
        // Handles signals that arrived meanwhile before the first client.
        self.run_iteration(&mut ready, &mut due, Some(Time(0)))
    }

    /// Addresses of the listeners, the one for platform clients first.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().filter_map(|(_, listener)| listener.local_addr().ok()).collect()
    }

    /// Serves until the process was told to stop and every accepted request is answered.
    ///
    /// # Errors
    ///
    /// Returns an error if the poller fails.
    pub fn run(mut self) -> io::Result<()> {
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while self.is_running() {
            self.run_iteration(&mut ready, &mut due, self.lifecycle.next_transition())?;
        }
        if let Some(trace) = self.trace.take() {
            trace.close(self.net.clock.now());
        }
        Ok(())
    }

    /// Waits until a socket is ready, a timer is due or `until` has passed, then handles what there is.
    fn run_iteration(
        &mut self,
        ready: &mut Vec<Ready>,
        due: &mut Vec<TimerEvent>,
        until: Option<Time>,
    ) -> io::Result<()> {
        let now = self.net.clock.now();
        let next_step = self.core.has_events().then(|| self.last_step_at.after(self.settings.router.tick));
        let wake = self
            .net
            .timers
            .next()
            .into_iter()
            .chain(next_step)
            .chain(self.core.gossip_due())
            .chain(until)
            .min();
        let timeout = if self.unfinished_clients.is_empty() {
            wake.map(|at| at.since(now))
        } else {
            Some(Duration::ZERO)
        };
        self.net.poll.wait(timeout, ready)?;
        let now = self.net.clock.now();
        self.lifecycle.advance(now);
        // Before any request is read, as a drain applies from the response to the operator's call on.
        self.apply_drain_request(now);
        for key in std::mem::take(&mut self.unfinished_clients) {
            self.client_ready(now, key);
        }
        for readiness in ready.drain(..) {
            self.handle_ready(now, readiness.key, readiness.readable);
        }
        self.net.timers.expire(now, due);
        for event in due.drain(..) {
            self.handle_timer(now, event);
        }
        self.flush_backend(now);
        if self.core.has_events() && now.since(self.last_step_at) >= self.settings.router.tick {
            self.step(now);
        }
        self.send_gossip(now);
        self.publish_state();
        self.polled_at = now;
        Ok(())
    }

    /// Whether the loop must continue. It ends once the process was told to stop and no response is
    /// outstanding.
    fn is_running(&mut self) -> bool {
        let now = self.net.clock.now();
        self.lifecycle.advance(now);
        if self.lifecycle.is_stopping() {
            let responses_pending =
                self.core.open_queries() > 0 || self.clients.values().any(Client::has_pending_response);
            self.lifecycle.check_completion(
                now,
                !self.listeners.is_empty(),
                responses_pending,
                !self.clients.is_empty(),
            );
        }
        self.lifecycle.phase() != LifecyclePhase::Ended
    }

    fn handle_ready(&mut self, now: Time, key: usize, readable: bool) {
        if let Some(call) = call_of_key(key) {
            return self.call_ready(now, call);
        }
        match key {
            CLIENT_LISTENER_KEY | OGC_LISTENER_KEY => drop(self.accept(now, key)),
            SIGNAL_KEY => self.handle_signals(now),
            PEERS_KEY => self.receive_gossip(),
            RENDEZVOUS_KEY => {
                if let Some(upgrade) = &mut self.upgrade {
                    upgrade.accept_successors(&self.net);
                }
            }
            SUCCESSOR_KEY => self.successor_ready(now),
            PREDECESSOR_KEY => self.predecessor_ready(now),
            _ if self.backend.on_ready(&mut self.net, now, key, readable) => {}
            _ => {
                if let Some(client) = self.clients.get_mut(&key) {
                    client.write_interest = None;
                }
                self.client_ready(now, key);
            }
        }
    }

    fn handle_timer(&mut self, now: Time, event: TimerEvent) {
        match event {
            TimerEvent::Core(timer) => self.core.timer(timer),
            TimerEvent::QueryDeadline(query) => {
                if let Some(command) = self.core.check_deadline(now, query) {
                    self.execute(now, command);
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
            // A client that could not be closed before may have become idle or slow enough by now.
            TimerEvent::AcceptRetry => self.end_accept_pause(),
            TimerEvent::DiscoveryWatch if now < self.watch_timer_at => {}
            TimerEvent::DiscoveryWatch => self.update_watch(now),
            TimerEvent::SilenceCheck => {
                self.net
                    .timers
                    .arm(now.after(self.backend.liveness_check_interval()), TimerEvent::SilenceCheck);
                self.backend.check_liveness(&mut self.net, now);
            }
            TimerEvent::IdleSweep => self.sweep(now),
            // The backend's outcomes are collected at the end of this iteration.
            TimerEvent::CancelsRead => {}
            TimerEvent::DrainIdleEnd => self.close_drained_idle(now),
            TimerEvent::UpdateGauges => self.update_gauges(now),
            TimerEvent::StopListening => self.stop_listening(now),
            TimerEvent::StopServing => self.close_idle_clients(now),
            TimerEvent::ShutdownDeadline => self.fail_open_queries(now),
        }
    }

    /// Writes what is queued for the servers, and hands the attempts and probes that ended to the core.
    fn flush_backend(&mut self, now: Time) {
        let (mut now, mut flushed) = (now, FlushStatus::Yielded);
        while flushed == FlushStatus::Yielded {
            now = self.catch_up(now);
            for command in self.core.withdraw_ended() {
                self.execute(now, command);
            }
            flushed = self.backend.flush(&mut self.net, now);
        }
        for completion in self.backend.completions.drain(..) {
            match completion {
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
        self.last_step_at = now;
        let mut commands = std::mem::take(&mut self.commands);
        self.core.step(now, &mut commands);
        if let Some(trace) = &mut self.trace {
            trace.record_step(&mut self.core);
        }
        let now = self.catch_up(now);
        for command in commands.drain(..) {
            self.execute(now, command);
        }
        self.commands = commands;
        self.flush_backend(now);
    }

    /// Handles new events before anything is sent, if the iteration has taken long or the process was
    /// suspended: clients may have disconnected and servers may be draining meanwhile. Returns the current
    /// time.
    fn catch_up(&mut self, now: Time) -> Time {
        if !self.net.clock.is_stale(now) {
            return now;
        }
        let later = self.net.clock.now();
        let mut ready = Vec::new();
        if self.net.poll.wait(Some(Duration::ZERO), &mut ready).is_ok() {
            for readiness in ready {
                self.handle_ready(later, readiness.key, readiness.readable);
            }
        }
        let mut due = Vec::new();
        self.net.timers.expire(later, &mut due);
        for event in due {
            self.handle_timer(later, event);
        }
        later
    }

    fn execute(&mut self, now: Time, command: Command) {
        match command {
            // The query ended after the step that issued this command.
            Command::Send(send) if !self.core.is_part_open(send.attempt.0) => {
                self.core.outcome(now, send.attempt, Verdict::NotSent, None, LoadReport::default());
            }
            Command::Send(send) => {
                self.net.timers.arm(send.deadline, TimerEvent::AttemptTimeout(send.attempt));
                if let Some(start_before) = send.start_before.filter(|at| *at < send.deadline) {
                    self.net.timers.arm(start_before, TimerEvent::StartBefore(send.attempt));
                }
                self.backend.send(&mut self.net, now, send);
            }
            Command::Cancel(attempt) => self.backend.cancel(now, attempt, Verdict::Cancelled),
            Command::Withdraw(attempt) => self.backend.withdraw(now, attempt),
            Command::CloseIdle(server) => self.backend.close_idle(&self.net, server),
            Command::Probe(server) => self.backend.probe(&mut self.net, now, server),
            Command::Finish(reply, answer) => self.finish_query(now, reply, answer),
            Command::SetTimer(at, timer) => self.net.timers.arm(at, TimerEvent::Core(timer)),
            Command::SetDeadline(at, query) => self.net.timers.arm(at, TimerEvent::QueryDeadline(query)),
            // The discovery watch reconnects by its own schedule.
            Command::WatchServers => {}
        }
    }

    fn sweep(&mut self, now: Time) {
        let interval = MAX_SWEEP_INTERVAL
            .min(self.settings.connection_idle / SWEEPS_PER_IDLE_LIMIT)
            .max(self.settings.router.tick);
        self.net.timers.arm(now.after(interval), TimerEvent::IdleSweep);
        self.backend.sweep(&self.net, now);
        self.update_inventory(now);
        self.sweep_clients(now);
        self.close_drained_idle(now);
    }
}

/// The directory shared by the processes of one broker, if `TMPDIR` is set.
fn shared_directory() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty()).map(PathBuf::from)
}
