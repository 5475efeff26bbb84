//! Many stand-in tile servers and a discovery service, in one thread on one poller. [`ServerModel`] decides
//! how servers handle parts, and [`Ledger`] counts them and checks the protocol's rules; this module does the
//! socket I/O.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::ledger::{Ledger, PartRef, Rule};
use crate::model::{Behaviour, PartOutcome, ServerModel, ServerParameters};
use crate::{MAX_FRAME_BYTES, parse_call, part_value};

/// Interval at which discovery writes an empty line to every watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a list update is deemed delivered to a broker whose watch is stalled, counted from the
/// stall, as the specification of the fleet test has it.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// Size of a chunk when lists are sent in small chunks: [`WorldConfig::indented`].
const SMALL_CHUNK_BYTES: usize = 61;

/// Configuration of a tile server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Its name.
    pub name: String,
    /// Name of its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it is up and listed from the start; others wait for [`WorldCommand::StartServer`].
    pub initially_up: bool,
}

/// Configuration of a world.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Capacity and timing of each server.
    pub parameters: ServerParameters,
    /// All servers, including those that start later.
    pub servers: Vec<ServerConfig>,
    /// Number of brokers; discovery has a listener for each.
    pub brokers: usize,
    /// Number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold each shard.
    pub width: u32,
    /// How long servers remember an idempotency key after its part was first executed.
    pub idempotency_window: Duration,
    /// Largest delay before a server reads from a readable connection, as a busy server would; drawn anew for
    /// each read.
    pub read_lag: Duration,
    /// Whether lists are pushed to an agent beside each broker. A broker then counts as informed once its
    /// agent is, even without a watch.
    pub pushed: bool,
    /// Whether lists are sent as indented JSON in small chunks.
    pub indented: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A server's state in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts parts.
    Up,
    /// It finishes the parts that it has.
    Draining,
    /// It is not in the list.
    Removed,
}

/// A command to the running world. Servers and brokers are given by index, times count from the start of the
/// run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorldCommand {
    /// Sets how a server handles parts.
    SetBehaviour(usize, Behaviour),
    /// Stops a server, which resets its connections.
    StopServer(usize),
    /// Starts a server, cold.
    StartServer(usize),
    /// Changes a server's state in the list.
    SetListed(usize, ListedState),
    /// Delays later list updates by this much.
    DelayListUpdates(Duration),
    /// Makes discovery answer calls with status 503 until then.
    RejectCallsUntil(Duration),
    /// Stalls discovery until then: it accepts connections but does not answer, and the watches that are open
    /// now receive nothing, even afterwards.
    StallDiscoveryUntil(Duration),
    /// Reports that a broker's process has ended.
    BrokerStopped(usize),
    /// Reports that a broker's process starts.
    BrokerStarted(usize),
    /// Ends the world's thread.
    Shutdown,
}

/// A running world. Dropping it stops its thread.
pub struct World {
    sender: Sender<WorldCommand>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
    ledger: Arc<Mutex<Ledger>>,
    tile_addresses: Vec<SocketAddr>,
    discovery_addresses: Vec<SocketAddr>,
}

impl World {
    /// Binds all sockets and starts the world's thread. `addresses` gets the servers' addresses and returns
    /// the addresses to list for them, by broker and server; a test puts proxies there. Times count from
    /// `start`.
    ///
    /// # Errors
    ///
    /// When a port can't be bound, when `addresses` fails, or when the thread can't be started.
    pub fn start(
        config: WorldConfig,
        start: Instant,
        addresses: impl FnOnce(&[SocketAddr]) -> io::Result<Vec<Vec<SocketAddr>>>,
    ) -> io::Result<Self> {
        let bind = || -> io::Result<TcpListener> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        };
        let tile_listeners: Vec<_> = config.servers.iter().map(|_| bind()).collect::<Result<_, _>>()?;
        let discovery_listeners: Vec<_> = (0..config.brokers).map(|_| bind()).collect::<Result<_, _>>()?;
        let local_addresses =
            |all: &[TcpListener]| all.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>();
        let tile_addresses = local_addresses(&tile_listeners)?;
        let discovery_addresses = local_addresses(&discovery_listeners)?;
        let addresses = addresses(&tile_addresses)?;
        let ledger = Arc::new(Mutex::new(Ledger::new(config.idempotency_window)));
        let (sender, commands) = mpsc::channel();
        let mut event_loop = EventLoop::new(config, start, addresses, ledger.clone(), commands)?;
        let tile_endpoints = tile_listeners.into_iter().enumerate().map(|(s, l)| (Endpoint::Tile(s), l));
        let discovery_endpoints =
            discovery_listeners.into_iter().enumerate().map(|(b, l)| (Endpoint::Discovery(b), l));
        for (endpoint, listener) in tile_endpoints.chain(discovery_endpoints) {
            let key = event_loop.new_key();
            event_loop.poll.add(&listener, key, true, false)?;
            event_loop.listeners.insert(key, (endpoint, listener));
        }
        let waker = event_loop.poll.waker();
        let thread = thread::Builder::new().name("world".into()).spawn(move || event_loop.run())?;
        Ok(World { sender, waker, thread: Some(thread), ledger, tile_addresses, discovery_addresses })
    }

    /// Address on which discovery listens for a broker.
    pub fn discovery_address(&self, broker: usize) -> SocketAddr {
        self.discovery_addresses[broker]
    }

    /// Address on which a server itself listens.
    pub fn tile_address(&self, server: usize) -> SocketAddr {
        self.tile_addresses[server]
    }

    /// Sends a command. The thread applies it before it handles any socket event that follows.
    pub fn send(&self, command: WorldCommand) {
        // The thread ends early only if its poller fails; the command then has no effect.
        let _ = self.sender.send(command);
        self.waker.wake();
    }

    /// The counters and violations so far.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.send(WorldCommand::Shutdown);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Locks the ledger. A poisoned lock is usable: no update leaves the ledger inconsistent when a thread
/// panics.
fn lock(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The service at a listener or connection.
#[derive(Clone, Copy, PartialEq)]
enum Endpoint {
    /// A tile server, by index.
    Tile(usize),
    /// Discovery, as seen by the broker of this index.
    Discovery(usize),
}

enum TimerEvent {
    /// Reads a connection after its read lag.
    Read { connection: usize },
    /// Sends the response to a part.
    SendResponse { connection: usize, part_id: String, frame: Vec<u8> },
    /// Publishes a version of the list.
    PublishList { version: u64 },
    /// Writes an empty line to every watch.
    Heartbeat,
    /// Ends a stall of discovery.
    DiscoveryResumes,
    /// Ends the rejection of calls.
    CallsAnswered,
    /// Deems the list delivered to a broker that could not read it.
    DeemedDelivered { broker: usize },
}

/// An accepted connection.
struct Connection {
    endpoint: Endpoint,
    stream: TcpStream,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
    /// When the first byte of the unfinished frame was received.
    frame_started: Option<Duration>,
    /// Whether discovery has written the response head, so that lists follow.
    is_watch: bool,
    /// Since when discovery no longer writes to it, though it stays open.
    stalled_since: Option<Duration>,
}

/// A server's entry in a version of the list.
#[derive(Clone, Copy)]
struct ListEntry {
    state: ListedState,
    /// When its process started, in Unix milliseconds; 0 for before the run.
    since_ms: u64,
}

/// The state of the world's thread.
struct EventLoop {
    config: WorldConfig,
    start: Instant,
    /// Listed address of each server, by broker and server.
    addresses: Vec<Vec<SocketAddr>>,
    ledger: Arc<Mutex<Ledger>>,
    commands: Receiver<WorldCommand>,
    poll: Poll,
    /// The last poll key that was assigned.
    last_key: usize,
    listeners: HashMap<usize, (Endpoint, TcpListener)>,
    connections: HashMap<usize, Connection>,
    /// Due time and id of each timer.
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// The timers' events by id.
    timer_events: HashMap<u64, TimerEvent>,
    /// Id of the last timer that was set.
    last_timer: u64,
    models: Vec<ServerModel>,
    /// Until when each server refuses connections: it has crashed, or was stopped (`Duration::MAX`). `None`
    /// if it is up.
    down_until: Vec<Option<Duration>>,
    /// When each server's process started, in Unix milliseconds; 0 for before the run.
    since_ms: Vec<u64>,
    /// Current state of each server in the list.
    list: Vec<ListedState>,
    /// The newest version of the list.
    version: u64,
    /// The published version and those that are yet to be published.
    list_versions: BTreeMap<u64, Vec<ListEntry>>,
    /// The published version.
    published: u64,
    /// Since when each server has not been listed as up, if it isn't.
    not_up_since: Vec<Option<Duration>>,
    publish_delay: Duration,
    reject_calls_until: Duration,
    stalled_until: Duration,
    rng: ChaCha8Rng,
}

impl Connection {
    /// Whether it is a watch that still receives updates.
    fn is_live_watch(&self) -> bool {
        self.is_watch && self.stalled_since.is_none()
    }
}

impl EventLoop {
    fn new(
        config: WorldConfig,
        start: Instant,
        addresses: Vec<Vec<SocketAddr>>,
        ledger: Arc<Mutex<Ledger>>,
        commands: Receiver<WorldCommand>,
    ) -> io::Result<Self> {
        let list: Vec<ListedState> = config
            .servers
            .iter()
            .map(|s| if s.initially_up { ListedState::Up } else { ListedState::Removed })
            .collect();
        let not_up_since =
            list.iter().map(|state| (*state != ListedState::Up).then_some(Duration::ZERO)).collect();
        let models = config.servers.iter().map(|_| ServerModel::new(config.parameters, None)).collect();
        let down_until = config.servers.iter().map(|s| (!s.initially_up).then_some(Duration::MAX)).collect();
        let since_ms = vec![0; config.servers.len()];
        let entries = list.iter().map(|state| ListEntry { state: *state, since_ms: 0 }).collect();
        let mut event_loop = EventLoop {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            start,
            addresses,
            ledger,
            commands,
            poll: Poll::new()?,
            last_key: 0,
            listeners: HashMap::new(),
            connections: HashMap::new(),
            timers: BinaryHeap::new(),
            timer_events: HashMap::new(),
            last_timer: 0,
            models,
            down_until,
            since_ms,
            list,
            version: 1,
            list_versions: BTreeMap::from([(1, entries)]),
            published: 1,
            not_up_since,
            publish_delay: Duration::ZERO,
            reject_calls_until: Duration::ZERO,
            stalled_until: Duration::ZERO,
        };
        event_loop.set_timer(HEARTBEAT_INTERVAL, TimerEvent::Heartbeat);
        Ok(event_loop)
    }

    fn new_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn set_timer(&mut self, at: Duration, event: TimerEvent) {
        self.last_timer += 1;
        self.timers.push(Reverse((at, self.last_timer)));
        self.timer_events.insert(self.last_timer, event);
    }

    fn run(mut self) {
        let mut ready: Vec<Ready> = Vec::new();
        loop {
            let timeout = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(self.start.elapsed()));
            if self.poll.wait(timeout, &mut ready).is_err() {
                return;
            }
            let now = self.start.elapsed();
            while let Ok(command) = self.commands.try_recv() {
                if command == WorldCommand::Shutdown {
                    return;
                }
                self.apply_command(now, command);
            }
            for report in std::mem::take(&mut ready) {
                self.on_ready(now, report);
            }
            while let Some(Reverse((_, id))) = self.timers.peek().copied().filter(|due| due.0.0 <= now) {
                self.timers.pop();
                if let Some(event) = self.timer_events.remove(&id) {
                    self.on_timer(now, event);
                }
            }
        }
    }

    fn on_ready(&mut self, now: Duration, report: Ready) {
        let key = report.key;
        if self.listeners.contains_key(&key) {
            self.accept(now, key);
            return;
        }
        if report.writable {
            self.write(key);
        }
        if report.readable && self.connections.contains_key(&key) {
            let tile = matches!(self.connections[&key].endpoint, Endpoint::Tile(_));
            let lag = if tile { self.config.read_lag.mul_f64(self.rng.random()) } else { Duration::ZERO };
            if lag.is_zero() {
                self.read(now, key)
            } else {
                self.set_timer(now + lag, TimerEvent::Read { connection: key })
            }
        }
    }

    fn on_timer(&mut self, now: Duration, event: TimerEvent) {
        match event {
            TimerEvent::Read { connection } => self.read(now, connection),
            TimerEvent::SendResponse { connection, part_id, frame } => {
                lock(&self.ledger).part_finished(now, connection, &part_id);
                self.queue_bytes(connection, &frame);
            }
            TimerEvent::PublishList { version } => self.publish_list(now, version),
            TimerEvent::Heartbeat => {
                self.set_timer(now + HEARTBEAT_INTERVAL, TimerEvent::Heartbeat);
                let watching: Vec<usize> =
                    self.connections.iter().filter(|(_, l)| l.is_live_watch()).map(|(key, _)| *key).collect();
                watching.into_iter().for_each(|key| self.queue_bytes(key, b"1\r\n\n\r\n"));
            }
            TimerEvent::DiscoveryResumes => {
                let stalled_since = |broker: usize| {
                    let is_watch_of_broker = |connection: &&Connection| {
                        connection.endpoint == Endpoint::Discovery(broker) && connection.is_watch
                    };
                    self.connections
                        .values()
                        .filter(is_watch_of_broker)
                        .filter_map(|connection| connection.stalled_since)
                        .min()
                };
                let since: Vec<_> = (0..self.config.brokers).map(stalled_since).collect();
                for (broker, since) in since.into_iter().enumerate() {
                    match since {
                        Some(since) => {
                            self.set_timer(since + DELIVERY_DEADLINE, TimerEvent::DeemedDelivered { broker })
                        }
                        None => self.deliver_to_agent(now, broker),
                    }
                }
            }
            TimerEvent::CallsAnswered => self.deliver_to_agents(now),
            TimerEvent::DeemedDelivered { broker } => self.deliver_to_agent(now, broker),
        }
    }

    fn apply_command(&mut self, now: Duration, command: WorldCommand) {
        match command {
            WorldCommand::SetBehaviour(server, behaviour) => self.models[server].set_behaviour(behaviour),
            WorldCommand::StopServer(server) => {
                self.down_until[server] = Some(Duration::MAX);
                self.reset_server_connections(server);
            }
            WorldCommand::StartServer(server) => self.start_server(now, server),
            WorldCommand::SetListed(server, state) => {
                self.list[server] = state;
                self.schedule_publish(now);
            }
            WorldCommand::DelayListUpdates(delay) => self.publish_delay = delay,
            WorldCommand::RejectCallsUntil(until) => {
                self.reject_calls_until = until;
                self.set_timer(until, TimerEvent::CallsAnswered);
            }
            WorldCommand::StallDiscoveryUntil(until) => {
                self.stalled_until = until;
                let watches = self
                    .connections
                    .values_mut()
                    .filter(|connection| matches!(connection.endpoint, Endpoint::Discovery(_)));
                watches
                    .for_each(|connection| connection.stalled_since = connection.stalled_since.or(Some(now)));
                self.set_timer(until, TimerEvent::DiscoveryResumes);
            }
            WorldCommand::BrokerStopped(broker) => lock(&self.ledger).forget_broker(broker),
            WorldCommand::BrokerStarted(broker) => self.deliver_to_agent(now, broker),
            WorldCommand::Shutdown => {}
        }
    }

    /// Starts a server's process, also after a crash.
    fn start_server(&mut self, now: Duration, server: usize) {
        self.down_until[server] = None;
        self.models[server] = ServerModel::new(self.config.parameters, Some(now));
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.since_ms[server] = unix.as_millis() as u64;
        self.schedule_publish(now);
    }

    /// Creates a new version of the list, to be published after the delay.
    fn schedule_publish(&mut self, now: Duration) {
        self.version += 1;
        let servers = self.list.iter().zip(&self.since_ms);
        let entries =
            servers.map(|(state, since_ms)| ListEntry { state: *state, since_ms: *since_ms }).collect();
        self.list_versions.insert(self.version, entries);
        self.set_timer(now + self.publish_delay, TimerEvent::PublishList { version: self.version });
    }

    /// Resets all connections of a server, as the end of its process does.
    fn reset_server_connections(&mut self, server: usize) {
        let keys: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| l.endpoint == Endpoint::Tile(server))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.close_connection(key, true);
        }
    }

    fn close_connection(&mut self, key: usize, reset: bool) {
        let Some(connection) = self.connections.remove(&key) else { return };
        self.poll.remove(&connection.stream);
        if let (Endpoint::Discovery(broker), Some(_)) = (connection.endpoint, connection.stalled_since) {
            // Without the stalled watch, the broker gets the list through its agent.
            self.deliver_to_agent(self.start.elapsed(), broker);
        }
        if reset {
            let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        lock(&self.ledger).connection_closed(self.start.elapsed(), key);
    }

    fn accept(&mut self, now: Duration, key: usize) {
        loop {
            let Some((endpoint, listener)) = self.listeners.get(&key) else { return };
            let (endpoint, accepted) = (*endpoint, listener.accept());
            let Ok((stream, peer)) = accepted else { break };
            let configured = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            if configured.is_err() {
                continue;
            }
            if let Endpoint::Tile(server) = endpoint {
                let is_down = match self.down_until[server] {
                    Some(until) if until > now => true,
                    Some(_) => {
                        self.start_server(now, server);
                        false
                    }
                    None => false,
                };
                let open = self.connections.values().filter(|l| l.endpoint == endpoint).count();
                let mut ledger = lock(&self.ledger);
                let counts = ledger.counts_mut(now, server);
                if is_down || open >= self.config.parameters.max_connections {
                    counts.refused_connections += 1;
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    continue;
                }
                counts.handshakes += 1;
                counts.max_open = counts.max_open.max(open as u32 + 1);
            }
            let key = self.new_key();
            if self.poll.add(&stream, key, true, false).is_ok() {
                lock(&self.ledger).connection_opened(key, peer);
                self.connections.insert(
                    key,
                    Connection {
                        endpoint,
                        stream,
                        read_buffer: Vec::new(),
                        write_buffer: Vec::new(),
                        frame_started: None,
                        is_watch: false,
                        stalled_since: None,
                    },
                );
            }
        }
        if let Some((_, listener)) = self.listeners.get(&key) {
            let _ = self.poll.rearm(listener, key, true, false);
        }
    }

    /// Queues bytes on a connection and writes as many as its socket accepts.
    fn queue_bytes(&mut self, key: usize, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.write_buffer.extend_from_slice(bytes);
            self.write(key);
        }
    }

    fn write(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        while !connection.write_buffer.is_empty() {
            match connection.stream.write(&connection.write_buffer) {
                Ok(written) => drop(connection.write_buffer.drain(..written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.close_connection(key, false),
            }
        }
        self.rearm(key);
    }

    fn rearm(&mut self, key: usize) {
        let Some(connection) = self.connections.get(&key) else { return };
        let _ = self.poll.rearm(&connection.stream, key, true, !connection.write_buffer.is_empty());
    }

    fn read(&mut self, now: Duration, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let mut buffer = [0; 16 * 1024];
        let is_closed = loop {
            match connection.stream.read(&mut buffer) {
                Ok(0) => break true,
                Ok(read) => connection.read_buffer.extend_from_slice(&buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break false,
                // The network or the end of the broker's process reset it: nobody waits for answers to its
                // parts.
                Err(_) => return self.close_connection(key, false),
            }
        };
        match connection.endpoint {
            Endpoint::Tile(server) => self.process_frames(now, key, server),
            Endpoint::Discovery(broker) => self.on_discovery_call(now, key, broker),
        }
        let Some(connection) = self.connections.get(&key) else { return };
        if is_closed {
            if matches!(connection.endpoint, Endpoint::Tile(_)) && !connection.read_buffer.is_empty() {
                let details =
                    format!("connection closed after {} bytes of a frame", connection.read_buffer.len());
                lock(&self.ledger).record_violation(now, Rule::CutFrame, details);
            }
            self.close_connection(key, false);
        } else {
            self.rearm(key);
        }
    }

    /// Processes the complete frames in a connection's read buffer.
    fn process_frames(&mut self, now: Duration, key: usize, server: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&key) else { return };
            let Some((length, rest)) = connection.read_buffer.split_first_chunk::<4>() else {
                connection.frame_started =
                    (!connection.read_buffer.is_empty()).then(|| connection.frame_started.unwrap_or(now));
                return;
            };
            let length = u32::from_be_bytes(*length) as usize;
            let frame_started = connection.frame_started.unwrap_or(now);
            if length == 0 || length > MAX_FRAME_BYTES {
                return self.reject_frame(
                    now,
                    key,
                    format!("a frame of {length} bytes, which is not from 1 to {MAX_FRAME_BYTES}"),
                );
            }
            let Some(frame) = rest.get(..length).map(<[u8]>::to_vec) else {
                connection.frame_started = Some(frame_started);
                return;
            };
            connection.read_buffer.drain(..4 + length);
            connection.frame_started = None;
            match frame[0] {
                b'q' => self.on_call(now, frame_started, key, server, &frame[1..]),
                b'c' => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    lock(&self.ledger).part_finished(now, key, &id);
                }
                b'p' | b'l' => {
                    lock(&self.ledger).counts_mut(now, server).probes += 1;
                    let answer: &[u8] = if frame[0] == b'p' { b"pserved" } else { b"l-" };
                    self.queue_bytes(key, &encode_frame(answer));
                }
                kind => return self.reject_frame(now, key, format!("a frame of unknown kind {kind:#04x}")),
            }
        }
    }

    /// Records an invalid frame and closes its connection.
    fn reject_frame(&mut self, now: Duration, key: usize, details: String) {
        lock(&self.ledger).record_violation(now, Rule::Misplaced, details);
        self.close_connection(key, false);
    }

    /// Handles the parts of a call frame, whose first byte was received at `frame_started`.
    fn on_call(&mut self, now: Duration, frame_started: Duration, key: usize, server: usize, rest: &[u8]) {
        let parts = match parse_call(rest) {
            Ok(parts) => parts,
            Err(error) => return self.reject_frame(now, key, error.to_string()),
        };
        for part in parts {
            let part_ref = PartRef { id: &part.id, shard: part.shard, key: part.key.as_deref() };
            self.detect_reset(&part.id);
            lock(&self.ledger).part_received(now, frame_started, server, key, part_ref);
            let (cell, cells) = (self.config.servers[server].cell, self.config.cells.max(1));
            let holds_shard = (0..self.config.width).any(|n| (part.shard + n) % cells == cell % cells);
            if !holds_shard {
                let details = format!(
                    "{} of shard {} sent to cell {cell}, which does not hold the shard",
                    part.id, part.shard
                );
                lock(&self.ledger).record_violation(now, Rule::Misplaced, details);
            }
            let is_cold = self.models[server].relative_speed(now) < 1.0;
            let (work, outcome) = self.models[server].accept_part(now, self.rng.random());
            let cold_load = self.models[server].cold_load(now);
            let mut ledger = lock(&self.ledger);
            let counts = ledger.counts_mut(now, server);
            counts.parts += 1;
            counts.cold_work += if is_cold { work } else { 0.0 };
            counts.cold_load = counts.cold_load.max(cold_load);
            let id = &part.id;
            let (at, response) = match outcome {
                PartOutcome::Served(at) => {
                    let value = part_value(part.shard, part.text);
                    (at, format!("a{id} served {} -\n{value}", part.shard + 1))
                }
                // A frame of an unknown kind, which a broker can't parse.
                PartOutcome::Corrupted(at) => (at, format!("z{id} served")),
                PartOutcome::Failed(at) => {
                    counts.lost += 1;
                    (at, format!("a{id} broke 0 -\n"))
                }
                PartOutcome::Rejected => {
                    counts.rejected += 1;
                    (now, format!("a{id} skipped 0 -\n"))
                }
                PartOutcome::Ignored => {
                    counts.lost += 1;
                    continue;
                }
                PartOutcome::ConnectionClosed => {
                    counts.lost += 1;
                    drop(ledger);
                    return self.close_connection(key, false);
                }
                PartOutcome::ServerCrashed => {
                    counts.lost += 1;
                    let name = &self.config.servers[server].name;
                    ledger.record_violation(
                        now,
                        Rule::ColdFell,
                        format!("{name} crashed under its load while cold"),
                    );
                    drop(ledger);
                    self.down_until[server] = Some(now + self.config.parameters.restart_delay);
                    return self.reset_server_connections(server);
                }
            };
            if matches!(outcome, PartOutcome::Served(_) | PartOutcome::Corrupted(_)) {
                ledger.part_executed(now, part_ref);
            }
            drop(ledger);
            let frame = encode_frame(response.as_bytes());
            let event = TimerEvent::SendResponse { connection: key, part_id: part.id, frame };
            self.set_timer(at, event);
        }
    }

    /// Closes the connection on which a part is in flight if the network has reset it, so that the part is
    /// not counted as a second copy. An orderly close or a cancel frame ends a part only when it is read.
    fn detect_reset(&mut self, id: &str) {
        let Some(previous) = lock(&self.ledger).connection_of(id) else { return };
        let Some(connection) = self.connections.get(&previous) else { return };
        // Reading would not show the reset while earlier bytes are unread.
        if matches!(connection.stream.take_error(), Ok(Some(error)) if error.kind() == io::ErrorKind::ConnectionReset)
        {
            self.close_connection(previous, false);
        }
    }

    /// Answers a broker's call for the list once its request head is complete.
    fn on_discovery_call(&mut self, now: Duration, key: usize, broker: usize) {
        let Some(connection) = self.connections.get_mut(&key).filter(|connection| !connection.is_watch)
        else {
            return;
        };
        if !connection.read_buffer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            return;
        }
        connection.read_buffer.clear();
        if now < self.stalled_until {
            connection.stalled_since = Some(now);
            return;
        }
        let rejected = now < self.reject_calls_until;
        {
            let mut ledger = lock(&self.ledger);
            let calls = ledger.list_calls.entry(now.as_secs()).or_default();
            calls.received += 1;
            calls.rejected += u32::from(rejected);
        }
        if rejected {
            self.queue_bytes(key, b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return self.close_connection(key, false);
        }
        connection.is_watch = true;
        self.queue_bytes(key, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.write_list(now, key, broker);
    }

    /// Publishes a version of the list to agents and live watches, unless a newer one has been published.
    fn publish_list(&mut self, now: Duration, version: u64) {
        if version <= self.published {
            return;
        }
        self.published = version;
        self.list_versions = self.list_versions.split_off(&version);
        for (entry, since) in self.list_versions[&version].iter().zip(&mut self.not_up_since) {
            *since = (entry.state != ListedState::Up).then(|| since.unwrap_or(now));
        }
        self.deliver_to_agents(now);
        for broker in 0..self.config.brokers {
            self.set_timer(now + DELIVERY_DEADLINE, TimerEvent::DeemedDelivered { broker });
        }
        let watching = self.connections.iter().filter(|(_, connection)| connection.is_live_watch());
        let watching: Vec<(usize, Endpoint)> =
            watching.map(|(key, connection)| (*key, connection.endpoint)).collect();
        for (key, endpoint) in watching {
            if let Endpoint::Discovery(broker) = endpoint {
                self.write_list(now, key, broker);
            }
        }
    }

    /// Delivers the published list to the agents of all brokers.
    fn deliver_to_agents(&mut self, now: Duration) {
        (0..self.config.brokers).for_each(|broker| self.deliver_to_agent(now, broker));
    }

    /// Marks the published list as delivered to a broker's agent where lists are pushed, unless discovery is
    /// stalled or a watch of that broker has been stalled for less than the delivery deadline. While calls
    /// are rejected, a broker without a watch can't read what its agent holds.
    fn deliver_to_agent(&mut self, now: Duration, broker: usize) {
        let is_undelivered = |connection: &Connection| {
            let is_stalled = connection.stalled_since.is_some_and(|since| now < since + DELIVERY_DEADLINE);
            connection.endpoint == Endpoint::Discovery(broker) && connection.is_watch && is_stalled
        };
        if self.config.pushed && now >= self.stalled_until && !self.connections.values().any(is_undelivered) {
            if now < self.reject_calls_until {
                self.mark_overdue(now, broker);
            } else {
                self.mark_delivered(now, broker);
            }
        }
    }

    /// Records what a broker whose calls are rejected counts as knowing: each change once the delivery
    /// deadline has passed since its publication.
    fn mark_overdue(&mut self, now: Duration, broker: usize) {
        let mut ledger = lock(&self.ledger);
        for (server, since) in self.not_up_since.iter().enumerate() {
            match since {
                None => ledger.set_drain_known(now, broker, server, false),
                Some(since) if now >= *since + DELIVERY_DEADLINE => {
                    ledger.set_drain_known(now, broker, server, true);
                }
                Some(_) => {}
            }
        }
    }

    /// Records that a broker knows the published list.
    fn mark_delivered(&mut self, now: Duration, broker: usize) {
        let Some(entries) = self.list_versions.get(&self.published) else { return };
        let mut ledger = lock(&self.ledger);
        for (server, entry) in entries.iter().enumerate() {
            ledger.set_drain_known(now, broker, server, entry.state != ListedState::Up);
        }
    }

    /// Writes the published list to a watch, and marks it as delivered.
    fn write_list(&mut self, now: Duration, key: usize, broker: usize) {
        let Some(entries) = self.list_versions.get(&self.published).cloned() else { return };
        let mut endpoints = Vec::new();
        self.mark_delivered(now, broker);
        for (server, entry) in entries.into_iter().enumerate() {
            let config = &self.config.servers[server];
            let status = match entry.state {
                ListedState::Up => "up",
                ListedState::Draining => "draining",
                ListedState::Removed => continue,
            };
            let address = self.addresses[broker][server].to_string();
            endpoints.push(json!({"name": config.name, "address": address, "zone": config.zone,
                "group": config.cell, "status": status, "weight": 1.0, "since_ms": entry.since_ms}));
        }
        let list = json!({"index": self.published, "snapshot": true, "endpoints": endpoints});
        let (text, max_chunk) = match self.config.indented {
            true => (format!("\n{list:#}\n"), SMALL_CHUNK_BYTES),
            false => (format!("{list}\n"), usize::MAX),
        };
        for piece in text.as_bytes().chunks(max_chunk) {
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            self.queue_bytes(key, &chunk);
        }
    }
}

/// Prefixes a frame with its length.
fn encode_frame(frame: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(frame.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    bytes
}

#[cfg(test)]
mod tests;
