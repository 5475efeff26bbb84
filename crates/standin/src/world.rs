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
const BEAT: Duration = Duration::from_secs(2);
/// What a silent watch misses counts as told so long after it fell silent, says the standing test's page.
const SILENT_IS_TOLD: Duration = Duration::from_secs(6);
/// Bytes of a chunk where lists come in small ones.
const SMALL_CHUNK: usize = 61;

/// A tile server of the world.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Its name.
    pub name: String,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it is up from the start; others are kept for later.
    pub up: bool,
}

/// What the world is made of.
#[derive(Clone, Debug)]
pub struct Setting {
    /// What each server can do.
    pub parameters: ServerParameters,
    /// The servers, those of later included.
    pub servers: Vec<Placed>,
    /// How many brokers ask discovery.
    pub brokers: usize,
    /// Cells, and how many of them hold a shard, as the settings say.
    pub cells: u32,
    /// Holders of each shard.
    pub width: u32,
    /// How long a key is known after its part first ran.
    pub window: Duration,
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
pub enum Listed {
    /// It serves.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is not in the list.
    Gone,
}

/// What the world is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Tell {
    /// A server does this with parts from now on.
    Behave(usize, Behaviour),
    /// A server's process ends: its connections are reset.
    Stop(usize),
    /// A server's process starts, cold.
    Start(usize),
    /// The list changes.
    List(usize, Listed),
    /// What discovery has to say comes so late from now on.
    Late(Duration),
    /// Discovery turns callers away until then.
    TurnAwayUntil(Duration),
    /// Discovery is silent until then: it takes connections, answers none of them, and the watches that are open
    /// bring nothing any more, then or later.
    SilentUntil(Duration),
    /// A broker's process is gone.
    BrokerGone(usize),
    /// A broker's process starts.
    BrokerStarts(usize),
    /// The world ends.
    End,
}

/// The running world.
pub struct World {
    tell: Sender<Tell>,
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
        setting: Setting,
        start: Instant,
        addresses: impl FnOnce(&[SocketAddr]) -> io::Result<Vec<Vec<SocketAddr>>>,
    ) -> io::Result<Self> {
        let bind = || -> io::Result<TcpListener> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        };
        let tile_listeners: Vec<_> = setting.servers.iter().map(|_| bind()).collect::<Result<_, _>>()?;
        let discovery_listeners: Vec<_> = (0..setting.brokers).map(|_| bind()).collect::<Result<_, _>>()?;
        let at = |all: &[TcpListener]| all.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>();
        let (tiles, discovery) = (at(&tile_listeners)?, at(&discovery_listeners)?);
        let addresses = addresses(&tiles)?;
        let ledger = Arc::new(Mutex::new(Ledger::new(setting.window)));
        let (tell, told) = mpsc::channel();
        let mut running = Running::new(setting, start, addresses, ledger.clone(), told)?;
        let tiles_of = tile_listeners.into_iter().enumerate().map(|(s, l)| (Which::Tile(s), l));
        let discovery_of = discovery_listeners.into_iter().enumerate().map(|(b, l)| (Which::Discovery(b), l));
        for (which, listener) in tiles_of.chain(discovery_of) {
            let key = running.new_key();
            running.poll.add(&listener, key, true, false)?;
            running.listeners.insert(key, (which, listener));
        }
        let waker = running.poll.waker();
        let thread = thread::Builder::new().name("world".into()).spawn(move || running.run())?;
        Ok(World { tell, waker, thread: Some(thread), ledger, tiles, discovery })
    }

    /// Where discovery listens for a broker.
    pub fn discovery(&self, broker: usize) -> SocketAddr {
        self.discovery[broker]
    }

    /// Where a server listens itself.
    pub fn tile(&self, server: usize) -> SocketAddr {
        self.tiles[server]
    }

    /// Tells it something; it takes hold at once.
    pub fn tell(&self, what: Tell) {
        // It ends only with `drop`, after which nobody tells it anything.
        let _ = self.tell.send(what);
        self.waker.wake();
    }

    /// What was seen so far.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.tell(Tell::End);
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
enum Which {
    Tile(usize),
    Discovery(usize),
}

enum Due {
    /// A connection is read, late as it may be.
    Read(usize),
    /// A part's answer goes out: on a connection, of an id, as these bytes.
    Answer(usize, String, Vec<u8>),
    /// The list as it is now is told.
    Push(u64),
    /// An empty line on every watch.
    Beat,
    /// Discovery speaks again.
    Back,
    /// What a broker's silent watch has missed counts as told, if that watch is still there.
    Told(usize),
}

struct Link {
    which: Which,
    stream: TcpStream,
    bytes: Vec<u8>,
    out: Vec<u8>,
    /// When the first byte of the frame under way came.
    begun: Option<Duration>,
    /// Whether discovery's head was written.
    watching: bool,
    /// Since when it brings nothing any more, though it stays open.
    silent: Option<Duration>,
}

struct Running {
    setting: Setting,
    start: Instant,
    /// Where each broker finds each server.
    addresses: Vec<Vec<SocketAddr>>,
    ledger: Arc<Mutex<Ledger>>,
    told: Receiver<Tell>,
    poll: Poll,
    last_key: usize,
    listeners: HashMap<usize, (Which, TcpListener)>,
    links: HashMap<usize, Link>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    what: HashMap<u64, Due>,
    last_due: u64,
    models: Vec<ServerModel>,
    /// A server takes no connection before that: it fell over, or its process is not there.
    down: Vec<Option<Duration>>,
    /// When each server's process started, in Unix milliseconds; 0 for long ago.
    since_ms: Vec<u64>,
    list: Vec<Listed>,
    index: u64,
    /// What callers see: each version with what it says.
    views: BTreeMap<u64, Vec<(Listed, u64)>>,
    /// The newest version that has been told.
    shown: u64,
    late: Duration,
    turn_away_until: Duration,
    silent_until: Duration,
    rng: ChaCha8Rng,
}

impl Link {
    /// Whether it is a watch on which something may still come.
    fn speaks(&self) -> bool {
        self.watching && self.silent.is_none()
    }
}

impl Running {
    fn new(
        setting: Setting,
        start: Instant,
        addresses: Vec<Vec<SocketAddr>>,
        ledger: Arc<Mutex<Ledger>>,
        told: Receiver<Tell>,
    ) -> io::Result<Self> {
        let list: Vec<Listed> =
            setting.servers.iter().map(|s| if s.up { Listed::Up } else { Listed::Gone }).collect();
        let models = setting.servers.iter().map(|_| ServerModel::new(setting.parameters, None)).collect();
        let down = setting.servers.iter().map(|s| (!s.up).then_some(Duration::MAX)).collect();
        let since_ms = vec![0; setting.servers.len()];
        let view = list.iter().map(|state| (*state, 0)).collect();
        let mut running = Running {
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
            setting,
            start,
            addresses,
            ledger,
            told,
            poll: Poll::new()?,
            last_key: 0,
            listeners: HashMap::new(),
            links: HashMap::new(),
            due: BinaryHeap::new(),
            what: HashMap::new(),
            last_due: 0,
            models,
            down,
            since_ms,
            list,
            index: 1,
            views: BTreeMap::from([(1, view)]),
            shown: 1,
            late: Duration::ZERO,
            turn_away_until: Duration::ZERO,
            silent_until: Duration::ZERO,
        };
        running.arm(BEAT, Due::Beat);
        Ok(running)
    }

    fn new_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn arm(&mut self, at: Duration, what: Due) {
        self.last_due += 1;
        self.due.push(Reverse((at, self.last_due)));
        self.what.insert(self.last_due, what);
    }

    fn run(mut self) {
        let mut ready: Vec<Ready> = Vec::new();
        loop {
            let pause = self.due.peek().map(|Reverse((at, _))| at.saturating_sub(self.start.elapsed()));
            if self.poll.wait(pause, &mut ready).is_err() {
                return;
            }
            let now = self.start.elapsed();
            while let Ok(tell) = self.told.try_recv() {
                if tell == Tell::End {
                    return;
                }
                self.heed(now, tell);
            }
            for report in std::mem::take(&mut ready) {
                self.ready(now, report);
            }
            while let Some(Reverse((_, id))) = self.due.peek().copied().filter(|due| due.0.0 <= now) {
                self.due.pop();
                if let Some(what) = self.what.remove(&id) {
                    self.falls_due(now, what);
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
        if report.readable && self.links.contains_key(&key) {
            let tile = matches!(self.links[&key].which, Which::Tile(_));
            let lag = if tile { self.setting.read_lag.mul_f64(self.rng.random()) } else { Duration::ZERO };
            if lag.is_zero() { self.read(now, key) } else { self.arm(now + lag, Due::Read(key)) }
        }
    }

    fn falls_due(&mut self, now: Duration, what: Due) {
        match what {
            Due::Read(key) => self.read(now, key),
            Due::Answer(key, id, bytes) => {
                lock(&self.ledger).part_finished(key, &id);
                self.send(key, &bytes);
            }
            Due::Push(version) => self.push(now, version),
            Due::Beat => {
                self.arm(now + BEAT, Due::Beat);
                let watching: Vec<usize> =
                    self.links.iter().filter(|(_, l)| l.speaks()).map(|(key, _)| *key).collect();
                watching.into_iter().for_each(|key| self.send(key, b"1\r\n\n\r\n"));
            }
            Due::Back => {
                let silent = |broker: usize| {
                    let of = |link: &&Link| link.which == Which::Discovery(broker) && link.watching;
                    self.links.values().filter(of).filter_map(|link| link.silent).min()
                };
                let since: Vec<_> = (0..self.setting.brokers).map(silent).collect();
                for (broker, since) in since.into_iter().enumerate() {
                    match since {
                        Some(since) => self.arm(since + SILENT_IS_TOLD, Due::Told(broker)),
                        None => self.has(now, broker),
                    }
                }
            }
            Due::Told(broker) => self.has(now, broker),
        }
    }

    fn heed(&mut self, now: Duration, tell: Tell) {
        match tell {
            Tell::Behave(server, behaviour) => self.models[server].set_behaviour(behaviour),
            Tell::Stop(server) => {
                self.down[server] = Some(Duration::MAX);
                self.reset(server);
            }
            Tell::Start(server) => self.starts(now, server),
            Tell::List(server, state) => {
                self.list[server] = state;
                self.changed(now);
            }
            Tell::Late(late) => self.late = late,
            Tell::TurnAwayUntil(until) => self.turn_away_until = until,
            Tell::SilentUntil(until) => {
                self.silent_until = until;
                let watches =
                    self.links.values_mut().filter(|link| matches!(link.which, Which::Discovery(_)));
                watches.for_each(|link| link.silent = link.silent.or(Some(now)));
                self.arm(until, Due::Back);
            }
            Tell::BrokerGone(broker) => lock(&self.ledger).forget_broker(broker),
            Tell::BrokerStarts(broker) => self.has(now, broker),
            Tell::End => {}
        }
    }

    /// A server's process starts, or comes back after it fell over.
    fn starts(&mut self, now: Duration, server: usize) {
        self.down[server] = None;
        self.models[server] = ServerModel::new(self.setting.parameters, Some(now));
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.since_ms[server] = unix.as_millis() as u64;
        self.changed(now);
    }

    fn changed(&mut self, now: Duration) {
        self.index += 1;
        let view = self.list.iter().copied().zip(self.since_ms.iter().copied()).collect();
        self.views.insert(self.index, view);
        self.arm(now + self.late, Due::Push(self.index));
    }

    /// Resets all connections of a server, as its process's end would.
    fn reset(&mut self, server: usize) {
        let of: Vec<usize> =
            self.links.iter().filter(|(_, l)| l.which == Which::Tile(server)).map(|(key, _)| *key).collect();
        for key in of {
            self.drop_link(key, true);
        }
    }

    fn drop_link(&mut self, key: usize, reset: bool) {
        let Some(link) = self.links.remove(&key) else { return };
        self.poll.remove(&link.stream);
        if let (Which::Discovery(broker), Some(_)) = (link.which, link.silent) {
            // What that watch missed is no longer missed: the agent has it.
            self.has(self.start.elapsed(), broker);
        }
        if reset {
            let _ = socket2::SockRef::from(&link.stream).set_linger(Some(Duration::ZERO));
        }
        lock(&self.ledger).connection_closed(key);
    }

    fn accept(&mut self, now: Duration, key: usize) {
        loop {
            let Some((which, listener)) = self.listeners.get(&key) else { return };
            let (which, accepted) = (*which, listener.accept());
            let Ok((stream, _)) = accepted else { break };
            let fit = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            if fit.is_err() {
                continue;
            }
            if let Which::Tile(server) = which {
                let is_down = match self.down[server] {
                    Some(until) if until > now => true,
                    Some(_) => {
                        self.starts(now, server);
                        false
                    }
                    None => false,
                };
                let open = self.links.values().filter(|l| l.which == which).count();
                let mut ledger = lock(&self.ledger);
                let counts = ledger.counts_mut(now, server);
                if is_down || open >= self.setting.parameters.max_connections {
                    counts.refused_connections += 1;
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    continue;
                }
                counts.handshakes += 1;
                counts.max_open = counts.max_open.max(open as u32 + 1);
            }
            let key = self.new_key();
            if self.poll.add(&stream, key, true, false).is_ok() {
                let (bytes, out) = (Vec::new(), Vec::new());
                self.links.insert(
                    key,
                    Link { which, stream, bytes, out, begun: None, watching: false, silent: None },
                );
            }
        }
        if let Some((_, listener)) = self.listeners.get(&key) {
            let _ = self.poll.rearm(listener, key, true, false);
        }
    }

    /// Queues bytes on a connection and writes what it takes.
    fn send(&mut self, key: usize, bytes: &[u8]) {
        if let Some(link) = self.links.get_mut(&key) {
            link.out.extend_from_slice(bytes);
            self.write(key);
        }
    }

    fn write(&mut self, key: usize) {
        let Some(link) = self.links.get_mut(&key) else { return };
        while !link.out.is_empty() {
            match link.stream.write(&link.out) {
                Ok(written) => drop(link.out.drain(..written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.drop_link(key, false),
            }
        }
        self.ask(key);
    }

    fn ask(&mut self, key: usize) {
        let Some(link) = self.links.get(&key) else { return };
        let _ = self.poll.rearm(&link.stream, key, true, !link.out.is_empty());
    }

    fn read(&mut self, now: Duration, key: usize) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let mut buffer = [0; 16 * 1024];
        let over = loop {
            match link.stream.read(&mut buffer) {
                Ok(0) => break true,
                Ok(read) => link.bytes.extend_from_slice(&buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break false,
                // The network has ended it, or its broker's process has: nobody waits for what came before.
                Err(_) => return self.drop_link(key, false),
            }
        };
        match link.which {
            Which::Tile(server) => self.frames(now, key, server),
            Which::Discovery(broker) => self.call_for_list(now, key, broker),
        }
        let Some(link) = self.links.get(&key) else { return };
        if over {
            if matches!(link.which, Which::Tile(_)) && !link.bytes.is_empty() {
                let what = format!("a frame of {} bytes so far was never ended", link.bytes.len());
                lock(&self.ledger).record_violation(now, Rule::CutFrame, what);
            }
            self.drop_link(key, false);
        } else {
            self.ask(key);
        }
    }

    /// Takes the whole frames that have come on a connection.
    fn frames(&mut self, now: Duration, key: usize, server: usize) {
        loop {
            let Some(link) = self.links.get_mut(&key) else { return };
            let Some((length, rest)) = link.bytes.split_first_chunk::<4>() else {
                link.begun = (!link.bytes.is_empty()).then(|| link.begun.unwrap_or(now));
                return;
            };
            let length = u32::from_be_bytes(*length) as usize;
            let begun = link.begun.unwrap_or(now);
            if length == 0 || length > MAX_FRAME_BYTES {
                return self.misplaced(now, key, "a frame of no use".to_owned());
            }
            let Some(frame) = rest.get(..length).map(<[u8]>::to_vec) else {
                link.begun = Some(begun);
                return;
            };
            link.bytes.drain(..4 + length);
            link.begun = None;
            match frame[0] {
                b'q' => self.call(now, begun, key, server, &frame[1..]),
                b'c' => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    lock(&self.ledger).part_finished(key, &id);
                }
                b'p' | b'l' => {
                    lock(&self.ledger).counts_mut(now, server).probes += 1;
                    let answer: &[u8] = if frame[0] == b'p' { b"pserved" } else { b"l-" };
                    self.send(key, &framed(answer));
                }
                _ => return self.misplaced(now, key, "no such frame".to_owned()),
            }
        }
    }

    fn misplaced(&mut self, now: Duration, key: usize, what: String) {
        lock(&self.ledger).record_violation(now, Rule::Misplaced, what);
        self.drop_link(key, false);
    }

    fn call(&mut self, now: Duration, begun: Duration, key: usize, server: usize, rest: &[u8]) {
        let parts = match parse_call(rest) {
            Ok(parts) => parts,
            Err(fault) => return self.misplaced(now, key, fault.to_string()),
        };
        for part in parts {
            let named = PartRef { id: &part.id, shard: part.shard, key: part.key.as_deref() };
            self.notice_reset(&part.id);
            lock(&self.ledger).part_received(now, begun, server, key, named);
            let (cell, cells) = (self.setting.servers[server].cell, self.setting.cells.max(1));
            let holds = (0..self.setting.width).any(|n| (part.shard + n) % cells == cell % cells);
            if !holds {
                let what = format!("{} of shard {} went to cell {cell}", part.id, part.shard);
                lock(&self.ledger).record_violation(now, Rule::Misplaced, what);
            }
            let cold = self.models[server].relative_speed(now) < 1.0;
            let (work, taken) = self.models[server].accept_part(now, self.rng.random());
            let cold_load = self.models[server].cold_load(now);
            let mut ledger = lock(&self.ledger);
            let counts = ledger.counts_mut(now, server);
            counts.parts += 1;
            counts.cold_work += if cold { work } else { 0.0 };
            counts.cold_load = counts.cold_load.max(cold_load);
            let id = &part.id;
            let (at, answer) = match taken {
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
                    return self.drop_link(key, false);
                }
                PartOutcome::ServerCrashed => {
                    counts.lost += 1;
                    let name = &self.setting.servers[server].name;
                    ledger.record_violation(
                        now,
                        Rule::ColdFell,
                        format!("{name} fell over while it was cold"),
                    );
                    drop(ledger);
                    self.down[server] = Some(now + self.setting.parameters.restart_delay);
                    return self.reset(server);
                }
            };
            if matches!(taken, PartOutcome::Served(_) | PartOutcome::Corrupted(_)) {
                ledger.part_executed(now, named);
            }
            drop(ledger);
            let bytes = framed(answer.as_bytes());
            self.arm(at, Due::Answer(key, part.id, bytes));
        }
    }

    /// A part whose connection the network has reset is over, also where this server has yet to look. What its
    /// broker ended by a close or said in a frame is over once it is read.
    fn notice_reset(&mut self, id: &str) {
        let Some(on) = lock(&self.ledger).connection_of(id) else { return };
        let Some(link) = self.links.get(&on) else { return };
        // What came before a reset may stand unread before it, so reading would not show it.
        if matches!(link.stream.take_error(), Ok(Some(error)) if error.kind() == io::ErrorKind::ConnectionReset)
        {
            self.drop_link(on, false);
        }
    }

    fn call_for_list(&mut self, now: Duration, key: usize, broker: usize) {
        let Some(link) = self.links.get_mut(&key).filter(|link| !link.watching) else { return };
        if !link.bytes.windows(4).any(|four| four == b"\r\n\r\n") {
            return;
        }
        link.bytes.clear();
        if now < self.silent_until {
            link.silent = Some(now);
            return;
        }
        let turned_away = now < self.turn_away_until;
        {
            let mut ledger = lock(&self.ledger);
            let calls = ledger.list_calls.entry(now.as_secs()).or_default();
            calls.received += 1;
            calls.rejected += u32::from(turned_away);
        }
        if turned_away {
            self.send(key, b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return self.drop_link(key, false);
        }
        link.watching = true;
        self.send(key, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.tell_list(now, key, broker);
    }

    fn push(&mut self, now: Duration, version: u64) {
        if version <= self.shown {
            return;
        }
        self.shown = version;
        self.views = self.views.split_off(&version);
        (0..self.setting.brokers).for_each(|broker| self.has(now, broker));
        let watching = self.links.iter().filter(|(_, link)| link.speaks());
        let watching: Vec<(usize, Which)> = watching.map(|(key, link)| (*key, link.which)).collect();
        for (key, which) in watching {
            if let Which::Discovery(broker) = which {
                self.tell_list(now, key, broker);
            }
        }
    }

    /// What a broker's agent has counts as told, unless it is silent, or a watch of that broker is.
    fn has(&mut self, now: Duration, broker: usize) {
        let missed = |link: &Link| {
            let silent = link.silent.is_some_and(|since| now < since + SILENT_IS_TOLD);
            link.which == Which::Discovery(broker) && link.watching && silent
        };
        if self.setting.pushed && now >= self.silent_until && !self.links.values().any(missed) {
            self.tells(now, broker);
        }
    }

    /// A broker counts as told what the list shows now.
    fn tells(&mut self, now: Duration, broker: usize) {
        let Some(view) = self.views.get(&self.shown) else { return };
        let mut ledger = lock(&self.ledger);
        for (server, (state, _)) in view.iter().enumerate() {
            ledger.set_drain_known(now, broker, server, *state != Listed::Up);
        }
    }

    /// Writes the list as it is shown now to a watch: what is written counts as told.
    fn tell_list(&mut self, now: Duration, key: usize, broker: usize) {
        let Some(view) = self.views.get(&self.shown).cloned() else { return };
        let mut endpoints = Vec::new();
        self.tells(now, broker);
        for (server, (state, since)) in view.into_iter().enumerate() {
            let placed = &self.setting.servers[server];
            let status = match state {
                Listed::Up => "up",
                Listed::Draining => "draining",
                Listed::Gone => continue,
            };
            let address = self.addresses[broker][server].to_string();
            endpoints.push(json!({"name": placed.name, "address": address, "zone": placed.zone,
                "group": placed.cell, "status": status, "weight": 1.0, "since_ms": since}));
        }
        let list = json!({"index": self.shown, "snapshot": true, "endpoints": endpoints});
        let (text, most) = match self.setting.indented {
            true => (format!("\n{list:#}\n"), SMALL_CHUNK),
            false => (format!("{list}\n"), usize::MAX),
        };
        for piece in text.as_bytes().chunks(most) {
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            self.send(key, &chunk);
        }
    }
}

/// A frame with its length before it.
fn framed(frame: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(frame.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    bytes
}
