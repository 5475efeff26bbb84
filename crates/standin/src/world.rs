//! Many stand-in tile servers and a discovery with its list, in one thread on one poller. What servers do with
//! parts is decided by [`ServerModel`], what of it counts or breaks a rule by [`Ledger`]; here are only the sockets.

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

/// Discovery writes an empty line so often while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// What a silent watch misses counts as told so long after it fell silent, says the standing test's page.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// Bytes of a chunk where lists come in small ones.
const SMALL_CHUNK_BYTES: usize = 61;

/// A tile server of the world.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Its name.
    pub name: String,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it is up from the start; others are kept for later.
    pub initially_up: bool,
}

/// What the world is made of.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// What each server can do.
    pub parameters: ServerParameters,
    /// The servers, those of later included.
    pub servers: Vec<ServerConfig>,
    /// How many brokers ask discovery.
    pub brokers: usize,
    /// Cells, and how many of them hold a shard, as the settings say.
    pub cells: u32,
    /// Holders of each shard.
    pub width: u32,
    /// How long a key is known after its part first ran.
    pub idempotency_window: Duration,
    /// Connections are read up to so late, each drawn anew: servers are busy.
    pub read_lag: Duration,
    /// Lists are pushed to an agent beside each broker: what it has counts as told, watch or none.
    pub pushed: bool,
    /// Lists come indented, in small chunks.
    pub indented: bool,
    /// For random numbers.
    pub seed: u64,
}

/// A server's state in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It serves.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is not in the list.
    Removed,
}

/// What the world is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorldCommand {
    /// A server does this with parts from now on.
    SetBehaviour(usize, Behaviour),
    /// A server's process ends: its connections are reset.
    StopServer(usize),
    /// A server's process starts, cold.
    StartServer(usize),
    /// The list changes.
    SetListed(usize, ListedState),
    /// What discovery has to say comes so late from now on.
    DelayListUpdates(Duration),
    /// Discovery turns callers away until then.
    RejectCallsUntil(Duration),
    /// Discovery is silent until then: it takes connections, answers none of them, and the watches that are open
    /// bring nothing any more, then or later.
    StallDiscoveryUntil(Duration),
    /// A broker's process is gone.
    BrokerStopped(usize),
    /// A broker's process starts.
    BrokerStarted(usize),
    /// The world ends.
    Shutdown,
}

/// The event_loop world.
pub struct World {
    sender: Sender<WorldCommand>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
    ledger: Arc<Mutex<Ledger>>,
    tiles: Vec<SocketAddr>,
    discovery: Vec<SocketAddr>,
}

impl World {
    /// Binds all sockets and starts. `addresses` tells, for a broker and a server, where that broker finds it,
    /// once the world's own addresses are known; times count from `start`.
    ///
    /// # Errors
    ///
    /// When loopback has no port left.
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
        let at = |all: &[TcpListener]| all.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>();
        let (tiles, discovery) = (at(&tile_listeners)?, at(&discovery_listeners)?);
        let addresses = addresses(&tiles)?;
        let ledger = Arc::new(Mutex::new(Ledger::new(config.idempotency_window)));
        let (sender, commands) = mpsc::channel();
        let mut event_loop = EventLoop::new(config, start, addresses, ledger.clone(), commands)?;
        let tiles_of = tile_listeners.into_iter().enumerate().map(|(s, l)| (Endpoint::Tile(s), l));
        let discovery_of =
            discovery_listeners.into_iter().enumerate().map(|(b, l)| (Endpoint::Discovery(b), l));
        for (endpoint, listener) in tiles_of.chain(discovery_of) {
            let key = event_loop.new_key();
            event_loop.poll.add(&listener, key, true, false)?;
            event_loop.listeners.insert(key, (endpoint, listener));
        }
        let waker = event_loop.poll.waker();
        let thread = thread::Builder::new().name("world".into()).spawn(move || event_loop.run())?;
        Ok(World { sender, waker, thread: Some(thread), ledger, tiles, discovery })
    }

    /// Where discovery listens for a broker.
    pub fn discovery_address(&self, broker: usize) -> SocketAddr {
        self.discovery[broker]
    }

    /// Where a server listens itself.
    pub fn tile_address(&self, server: usize) -> SocketAddr {
        self.tiles[server]
    }

    /// Tells it something; it takes hold at once.
    pub fn send(&self, command: WorldCommand) {
        // It ends only with `drop`, after which nobody tells it anything.
        let _ = self.sender.send(command);
        self.waker.wake();
    }

    /// What was seen so far.
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

/// The state stays usable when a thread has panicked: each change to it is whole.
fn lock(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, PartialEq)]
enum Endpoint {
    Tile(usize),
    Discovery(usize),
}

enum TimerEvent {
    /// A connection is read, late as it may be.
    Read(usize),
    /// A part's answer goes out: on a connection, of an id, as these bytes.
    SendResponse(usize, String, Vec<u8>),
    /// The list as it is now is told.
    PublishList(u64),
    /// An empty line on every watch.
    Heartbeat,
    /// Discovery speaks again.
    DiscoveryResumes,
    /// What a broker's silent watch has missed counts as told, if that watch is still there.
    DeemedDelivered(usize),
}

struct Connection {
    endpoint: Endpoint,
    stream: TcpStream,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
    /// When the first byte of the frame under way came.
    frame_started: Option<Duration>,
    /// Whether discovery's head was written.
    is_watch: bool,
    /// Since when it brings nothing any more, though it stays open.
    stalled_since: Option<Duration>,
}

struct EventLoop {
    config: WorldConfig,
    start: Instant,
    /// Where each broker finds each server.
    addresses: Vec<Vec<SocketAddr>>,
    ledger: Arc<Mutex<Ledger>>,
    commands: Receiver<WorldCommand>,
    poll: Poll,
    last_key: usize,
    listeners: HashMap<usize, (Endpoint, TcpListener)>,
    connections: HashMap<usize, Connection>,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    timer_events: HashMap<u64, TimerEvent>,
    last_timer: u64,
    models: Vec<ServerModel>,
    /// A server takes no connection before that: it fell over, or its process is not there.
    down_until: Vec<Option<Duration>>,
    /// When each server's process started, in Unix milliseconds; 0 for long ago.
    since_ms: Vec<u64>,
    list: Vec<ListedState>,
    version: u64,
    /// What callers see: each version with what it says.
    views: BTreeMap<u64, Vec<(ListedState, u64)>>,
    /// The newest version that has been told.
    published: u64,
    publish_delay: Duration,
    reject_calls_until: Duration,
    stalled_until: Duration,
    rng: ChaCha8Rng,
}

impl Connection {
    /// Whether it is a watch on which something may still come.
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
        let models = config.servers.iter().map(|_| ServerModel::new(config.parameters, None)).collect();
        let down_until = config.servers.iter().map(|s| (!s.initially_up).then_some(Duration::MAX)).collect();
        let since_ms = vec![0; config.servers.len()];
        let view = list.iter().map(|state| (*state, 0)).collect();
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
            views: BTreeMap::from([(1, view)]),
            published: 1,
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
            let pause = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(self.start.elapsed()));
            if self.poll.wait(pause, &mut ready).is_err() {
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
                self.ready(now, report);
            }
            while let Some(Reverse((_, id))) = self.timers.peek().copied().filter(|due| due.0.0 <= now) {
                self.timers.pop();
                if let Some(event) = self.timer_events.remove(&id) {
                    self.on_timer(now, event);
                }
            }
        }
    }

    fn ready(&mut self, now: Duration, report: Ready) {
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
            if lag.is_zero() { self.read(now, key) } else { self.set_timer(now + lag, TimerEvent::Read(key)) }
        }
    }

    fn on_timer(&mut self, now: Duration, event: TimerEvent) {
        match event {
            TimerEvent::Read(key) => self.read(now, key),
            TimerEvent::SendResponse(key, id, bytes) => {
                lock(&self.ledger).part_finished(key, &id);
                self.queue_bytes(key, &bytes);
            }
            TimerEvent::PublishList(version) => self.publish_list(now, version),
            TimerEvent::Heartbeat => {
                self.set_timer(now + HEARTBEAT_INTERVAL, TimerEvent::Heartbeat);
                let watching: Vec<usize> =
                    self.connections.iter().filter(|(_, l)| l.is_live_watch()).map(|(key, _)| *key).collect();
                watching.into_iter().for_each(|key| self.queue_bytes(key, b"1\r\n\n\r\n"));
            }
            TimerEvent::DiscoveryResumes => {
                let silent = |broker: usize| {
                    let of = |connection: &&Connection| {
                        connection.endpoint == Endpoint::Discovery(broker) && connection.is_watch
                    };
                    self.connections
                        .values()
                        .filter(of)
                        .filter_map(|connection| connection.stalled_since)
                        .min()
                };
                let since: Vec<_> = (0..self.config.brokers).map(silent).collect();
                for (broker, since) in since.into_iter().enumerate() {
                    match since {
                        Some(since) => {
                            self.set_timer(since + DELIVERY_DEADLINE, TimerEvent::DeemedDelivered(broker))
                        }
                        None => self.on_agent_updated(now, broker),
                    }
                }
            }
            TimerEvent::DeemedDelivered(broker) => self.on_agent_updated(now, broker),
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
            WorldCommand::DelayListUpdates(late) => self.publish_delay = late,
            WorldCommand::RejectCallsUntil(until) => self.reject_calls_until = until,
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
            WorldCommand::BrokerStarted(broker) => self.on_agent_updated(now, broker),
            WorldCommand::Shutdown => {}
        }
    }

    /// A server's process starts, or comes back after it fell over.
    fn start_server(&mut self, now: Duration, server: usize) {
        self.down_until[server] = None;
        self.models[server] = ServerModel::new(self.config.parameters, Some(now));
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.since_ms[server] = unix.as_millis() as u64;
        self.schedule_publish(now);
    }

    fn schedule_publish(&mut self, now: Duration) {
        self.version += 1;
        let view = self.list.iter().copied().zip(self.since_ms.iter().copied()).collect();
        self.views.insert(self.version, view);
        self.set_timer(now + self.publish_delay, TimerEvent::PublishList(self.version));
    }

    /// Resets all connections of a server, as its process's end would.
    fn reset_server_connections(&mut self, server: usize) {
        let of: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| l.endpoint == Endpoint::Tile(server))
            .map(|(key, _)| *key)
            .collect();
        for key in of {
            self.close_connection(key, true);
        }
    }

    fn close_connection(&mut self, key: usize, reset: bool) {
        let Some(connection) = self.connections.remove(&key) else { return };
        self.poll.remove(&connection.stream);
        if let (Endpoint::Discovery(broker), Some(_)) = (connection.endpoint, connection.stalled_since) {
            // What that watch missed is no longer missed: the agent has it.
            self.on_agent_updated(self.start.elapsed(), broker);
        }
        if reset {
            let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        lock(&self.ledger).connection_closed(key);
    }

    fn accept(&mut self, now: Duration, key: usize) {
        loop {
            let Some((endpoint, listener)) = self.listeners.get(&key) else { return };
            let (endpoint, accepted) = (*endpoint, listener.accept());
            let Ok((stream, _)) = accepted else { break };
            let fit = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            if fit.is_err() {
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

    /// Queues bytes on a connection and writes what it takes.
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
        let over = loop {
            match connection.stream.read(&mut buffer) {
                Ok(0) => break true,
                Ok(read) => connection.read_buffer.extend_from_slice(&buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break false,
                // The network has ended it, or its broker's process has: nobody waits for what came before.
                Err(_) => return self.close_connection(key, false),
            }
        };
        match connection.endpoint {
            Endpoint::Tile(server) => self.process_frames(now, key, server),
            Endpoint::Discovery(broker) => self.on_discovery_call(now, key, broker),
        }
        let Some(connection) = self.connections.get(&key) else { return };
        if over {
            if matches!(connection.endpoint, Endpoint::Tile(_)) && !connection.read_buffer.is_empty() {
                let what =
                    format!("a frame of {} bytes so far was never ended", connection.read_buffer.len());
                lock(&self.ledger).record_violation(now, Rule::CutFrame, what);
            }
            self.close_connection(key, false);
        } else {
            self.rearm(key);
        }
    }

    /// Takes the whole frames that have come on a connection.
    fn process_frames(&mut self, now: Duration, key: usize, server: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&key) else { return };
            let Some((length, rest)) = connection.read_buffer.split_first_chunk::<4>() else {
                connection.frame_started =
                    (!connection.read_buffer.is_empty()).then(|| connection.frame_started.unwrap_or(now));
                return;
            };
            let length = u32::from_be_bytes(*length) as usize;
            let begun = connection.frame_started.unwrap_or(now);
            if length == 0 || length > MAX_FRAME_BYTES {
                return self.reject_frame(now, key, "a frame of no use".to_owned());
            }
            let Some(frame) = rest.get(..length).map(<[u8]>::to_vec) else {
                connection.frame_started = Some(begun);
                return;
            };
            connection.read_buffer.drain(..4 + length);
            connection.frame_started = None;
            match frame[0] {
                b'q' => self.on_call(now, begun, key, server, &frame[1..]),
                b'c' => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    lock(&self.ledger).part_finished(key, &id);
                }
                b'p' | b'l' => {
                    lock(&self.ledger).counts_mut(now, server).probes += 1;
                    let answer: &[u8] = if frame[0] == b'p' { b"pserved" } else { b"l-" };
                    self.queue_bytes(key, &encode_frame(answer));
                }
                _ => return self.reject_frame(now, key, "no such frame".to_owned()),
            }
        }
    }

    fn reject_frame(&mut self, now: Duration, key: usize, details: String) {
        lock(&self.ledger).record_violation(now, Rule::Misplaced, details);
        self.close_connection(key, false);
    }

    fn on_call(&mut self, now: Duration, begun: Duration, key: usize, server: usize, rest: &[u8]) {
        let parts = match parse_call(rest) {
            Ok(parts) => parts,
            Err(fault) => return self.reject_frame(now, key, fault.to_string()),
        };
        for part in parts {
            let part_ref = PartRef { id: &part.id, shard: part.shard, key: part.key.as_deref() };
            self.detect_reset(&part.id);
            lock(&self.ledger).part_received(now, begun, server, key, part_ref);
            let (cell, cells) = (self.config.servers[server].cell, self.config.cells.max(1));
            let holds = (0..self.config.width).any(|n| (part.shard + n) % cells == cell % cells);
            if !holds {
                let what = format!("{} of shard {} went to cell {cell}", part.id, part.shard);
                lock(&self.ledger).record_violation(now, Rule::Misplaced, what);
            }
            let cold = self.models[server].relative_speed(now) < 1.0;
            let (work, outcome) = self.models[server].accept_part(now, self.rng.random());
            let cold_load = self.models[server].cold_load(now);
            let mut ledger = lock(&self.ledger);
            let counts = ledger.counts_mut(now, server);
            counts.parts += 1;
            counts.cold_work += if cold { work } else { 0.0 };
            counts.cold_load = counts.cold_load.max(cold_load);
            let id = &part.id;
            let (at, answer) = match outcome {
                PartOutcome::Served(at) => {
                    let value = part_value(part.shard, part.text);
                    (at, format!("a{id} served {} -\n{value}", part.shard + 1))
                }
                // Its length does not fit: what follows can't be told apart.
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
                        format!("{name} fell over while it was cold"),
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
            let bytes = encode_frame(answer.as_bytes());
            self.set_timer(at, TimerEvent::SendResponse(key, part.id, bytes));
        }
    }

    /// A part whose connection the network has reset is over, also where this server has yet to look. What its
    /// broker ended by a close or said in a frame is over once it is read.
    fn detect_reset(&mut self, id: &str) {
        let Some(on) = lock(&self.ledger).connection_of(id) else { return };
        let Some(connection) = self.connections.get(&on) else { return };
        // What came before a reset may stand unread before it, so reading would not show it.
        if matches!(connection.stream.take_error(), Ok(Some(error)) if error.kind() == io::ErrorKind::ConnectionReset)
        {
            self.close_connection(on, false);
        }
    }

    fn on_discovery_call(&mut self, now: Duration, key: usize, broker: usize) {
        let Some(connection) = self.connections.get_mut(&key).filter(|connection| !connection.is_watch)
        else {
            return;
        };
        if !connection.read_buffer.windows(4).any(|four| four == b"\r\n\r\n") {
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

    fn publish_list(&mut self, now: Duration, version: u64) {
        if version <= self.published {
            return;
        }
        self.published = version;
        self.views = self.views.split_off(&version);
        (0..self.config.brokers).for_each(|broker| self.on_agent_updated(now, broker));
        let watching = self.connections.iter().filter(|(_, connection)| connection.is_live_watch());
        let watching: Vec<(usize, Endpoint)> =
            watching.map(|(key, connection)| (*key, connection.endpoint)).collect();
        for (key, which) in watching {
            if let Endpoint::Discovery(broker) = which {
                self.write_list(now, key, broker);
            }
        }
    }

    /// What a broker's agent has counts as told, unless it is silent, or a watch of that broker is.
    fn on_agent_updated(&mut self, now: Duration, broker: usize) {
        let missed = |connection: &Connection| {
            let silent = connection.stalled_since.is_some_and(|since| now < since + DELIVERY_DEADLINE);
            connection.endpoint == Endpoint::Discovery(broker) && connection.is_watch && silent
        };
        if self.config.pushed && now >= self.stalled_until && !self.connections.values().any(missed) {
            self.mark_delivered(now, broker);
        }
    }

    /// A broker counts as told what the list shows now.
    fn mark_delivered(&mut self, now: Duration, broker: usize) {
        let Some(view) = self.views.get(&self.published) else { return };
        let mut ledger = lock(&self.ledger);
        for (server, (state, _)) in view.iter().enumerate() {
            ledger.set_drain_known(now, broker, server, *state != ListedState::Up);
        }
    }

    /// Writes the list as it is shown now to a watch: what is written counts as told.
    fn write_list(&mut self, now: Duration, key: usize, broker: usize) {
        let Some(view) = self.views.get(&self.published).cloned() else { return };
        let mut endpoints = Vec::new();
        self.mark_delivered(now, broker);
        for (server, (state, since)) in view.into_iter().enumerate() {
            let placed = &self.config.servers[server];
            let status = match state {
                ListedState::Up => "up",
                ListedState::Draining => "draining",
                ListedState::Removed => continue,
            };
            let address = self.addresses[broker][server].to_string();
            endpoints.push(json!({"name": placed.name, "address": address, "zone": placed.zone,
                "group": placed.cell, "status": status, "weight": 1.0, "since_ms": since}));
        }
        let list = json!({"index": self.published, "snapshot": true, "endpoints": endpoints});
        let (text, most) = match self.config.indented {
            true => (format!("\n{list:#}\n"), SMALL_CHUNK_BYTES),
            false => (format!("{list}\n"), usize::MAX),
        };
        for piece in text.as_bytes().chunks(most) {
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            self.queue_bytes(key, &chunk);
        }
    }
}

/// A frame with its length before it.
fn encode_frame(frame: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(frame.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    bytes
}
