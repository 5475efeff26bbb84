//! The fault proxy: forwards TCP connections and UDP datagrams between processes, and delays, drops, cuts,
//! resets or throttles them per link on command. It runs on one thread with one poller; its random choices
//! come from a seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker, connect};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, SockRef, Socket, Type};

use crate::attempt_log::{AttemptLog, Observation, WriteEvent};
use crate::port::{ReservedPort, shut_down_listener};

/// Bytes buffered for one direction of a connection above which no more is read from its sender.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Backlog of a listener whose link is not cut.
const BACKLOG: i32 = 1024;
/// Number of connections that the proxy opens to its own listener to fill the accept queue at a backlog of 0.
/// Further connection attempts then time out, as with an unreachable machine.
const QUEUE_FILLERS: usize = 2;
/// Longest datagram that is forwarded, in bytes; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Index of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link(pub usize);

/// How a link treats its traffic. `fleet check` prints the `Debug` output.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rule {
    /// Delay of everything that is forwarded.
    pub delay: Duration,
    /// Upper bound of a random additional delay, drawn for each chunk or datagram. Connections keep their
    /// order.
    pub jitter: Duration,
    /// Share of the datagrams that are dropped.
    pub loss: f64,
    /// Share of the chunks, in either direction, on which the connection is reset. The chunk is lost with it.
    pub reset: f64,
    /// Bytes per second read from each side; unlimited if none.
    pub rate: Option<u64>,
    /// Whether nothing is forwarded from the side that connected to the other. Bytes sent meanwhile, and an
    /// orderly end, are forwarded once the cut is over, as the sender's system keeps sending them. If the
    /// sender resets the connection meanwhile, they are dropped, and the other side learns of it only then.
    pub cut_there: bool,
    /// Whether nothing is forwarded back to the side that connected.
    pub cut_back: bool,
}

impl Rule {
    /// Cuts both directions: connections stay open without traffic, and new ones time out.
    pub fn cut() -> Self {
        Rule { cut_there: true, cut_back: true, ..Rule::default() }
    }

    /// Whether either direction is cut.
    pub fn is_cut(&self) -> bool {
        self.cut_there || self.cut_back
    }

    /// Whether frames may arrive truncated: their connection is reset, or its traffic ends in a cut.
    pub fn truncates_frames(&self) -> bool {
        self.is_cut() || self.reset > 0.0
    }
}

/// A command to the running proxy.
#[derive(Clone, Debug)]
pub enum ProxyCommand {
    /// Sets the rule of links.
    SetRule(Vec<Link>, Rule),
    /// Takes links down, as if the process behind them had ended: resets their connections and refuses new
    /// ones.
    Down(Vec<Link>),
    /// Brings links up again.
    Up(Vec<Link>),
    /// Resets the connections of links, and changes nothing else.
    Reset(Vec<Link>),
    /// Sets the target address of new connections on links.
    SetTarget(Vec<Link>, SocketAddr),
    /// Ends the proxy's thread.
    Shutdown,
}

/// Collects the links of a proxy before it starts.
pub struct Builder {
    rng: ChaCha8Rng,
    routes: Vec<Route>,
    observer: Option<Observer>,
}

/// Records what is written on some links by the sides that connected.
struct Observer {
    links: HashSet<usize>,
    log: Arc<Mutex<AttemptLog>>,
}

impl Observer {
    /// Records an event on a connection, of which `target` is the proxy's stream to the target.
    fn observe(&self, link: usize, target: &TcpStream, at: Duration, is_cut: bool, event: WriteEvent<'_>) {
        if self.links.contains(&link)
            && let Ok(connection) = target.local_addr()
        {
            let observation = Observation { at, connection, is_cut, event };
            self.log.lock().unwrap_or_else(PoisonError::into_inner).observe(observation);
        }
    }
}

enum Route {
    Tcp {
        port: ReservedPort,
        listener: Option<TcpListener>,
        to: SocketAddr,
    },
    /// Datagrams received on the socket are sent to `to` from the socket of the `reverse` link, which is the
    /// address that the receiver knows the sender by.
    Udp {
        socket: UdpSocket,
        reverse: usize,
        to: SocketAddr,
    },
}

/// Opens a listener at an address that a [`ReservedPort`] keeps bound, so that no other process gets the port
/// while nothing listens there.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Builder {
    /// A builder without links. The proxy draws its random choices from `seed`.
    pub fn new(seed: u64) -> Self {
        Builder { rng: ChaCha8Rng::seed_from_u64(seed), routes: Vec::new(), observer: None }
    }

    /// Records what the sides that connect write on these links, which lead to tile servers.
    pub fn observe(&mut self, links: impl IntoIterator<Item = Link>, log: Arc<Mutex<AttemptLog>>) {
        self.observer = Some(Observer { links: links.into_iter().map(|link| link.0).collect(), log });
    }

    /// Adds a link for connections to an address. Returns the link and the proxy's address for it.
    ///
    /// # Errors
    ///
    /// When no loopback port is free.
    pub fn tcp(&mut self, to: SocketAddr) -> io::Result<(Link, SocketAddr)> {
        let port = ReservedPort::new()?;
        let address = port.address();
        let listener = Some(listen(address)?);
        self.routes.push(Route::Tcp { port, listener, to });
        Ok((Link(self.routes.len() - 1), address))
    }

    /// Adds two links for datagrams between two receivers, one per direction. Returns the link from the first
    /// to the second with the address that the first sends to, then the reverse link with the address that
    /// the second sends to.
    ///
    /// # Errors
    ///
    /// When no loopback port is free.
    pub fn udp(&mut self, one: SocketAddr, other: SocketAddr) -> io::Result<[(Link, SocketAddr); 2]> {
        let first = self.routes.len();
        let mut ends = [(Link(first), one), (Link(first + 1), other)];
        for (n, to) in [other, one].into_iter().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            ends[n].1 = socket.local_addr()?;
            self.routes.push(Route::Udp { socket, reverse: first + 1 - n, to });
        }
        Ok(ends)
    }

    /// Starts the proxy's thread.
    ///
    /// # Errors
    ///
    /// When the poller or the thread can't be created, or a socket can't be registered.
    pub fn start(self) -> io::Result<Proxy> {
        let (sender, commands) = mpsc::channel();
        let poll = Poll::new()?;
        for (key, route) in self.routes.iter().enumerate() {
            match route {
                Route::Tcp { listener: Some(listener), .. } => poll.add(listener, key, true, false)?,
                Route::Tcp { .. } => {}
                Route::Udp { socket, .. } => poll.add(socket, key, true, false)?,
            }
        }
        let waker = poll.waker();
        let rules = vec![Rule::default(); self.routes.len()];
        let queue_fillers = self.routes.iter().map(|_| Vec::new()).collect();
        let running = Running {
            start: Instant::now(),
            next_key: self.routes.len(),
            rng: self.rng,
            observer: self.observer,
            routes: self.routes,
            rules,
            queue_fillers,
            commands,
            poll,
            connections: HashMap::new(),
            stream_connections: HashMap::new(),
            timers: BinaryHeap::new(),
            delayed: HashMap::new(),
        };
        let thread = thread::Builder::new().name("proxy".into()).spawn(move || running.run())?;
        Ok(Proxy { sender, waker, thread: Some(thread) })
    }
}

/// A running proxy. Dropping it stops its thread and closes its connections.
pub struct Proxy {
    sender: Sender<ProxyCommand>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Sends the proxy a command, which its thread carries out shortly after.
    pub fn send(&self, command: ProxyCommand) {
        // The thread normally ends only with `drop`, after which no command is sent.
        let _ = self.sender.send(command);
        self.waker.wake();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.send(ProxyCommand::Shutdown);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One direction of a connection.
#[derive(Default)]
struct Flow {
    /// Buffered chunks, each with the time at which it is due.
    chunks: VecDeque<(Duration, Vec<u8>)>,
    buffered_bytes: usize,
    /// Due time of the last chunk; a later chunk is not due before it, so that the order is kept.
    last_due: Duration,
    /// Nothing is read before this time, to keep to the link's rate.
    read_at: Duration,
    /// Whether the sender has shut down its side.
    ended: bool,
    /// Whether the shutdown was forwarded to the receiver.
    end_forwarded: bool,
    /// Whether the sender reset the connection while this direction was cut.
    reset_unseen: bool,
}

/// A forwarded connection: the client's, and the proxy's own to the target.
struct Connection {
    link: usize,
    /// The client's stream, and the one to the target.
    streams: [TcpStream; 2],
    /// The streams' poll keys.
    keys: [usize; 2],
    /// From the client to the target, and back.
    flows: [Flow; 2],
}

struct Running {
    start: Instant,
    /// The next unused key for streams and delayed datagrams; links use their indices as keys.
    next_key: usize,
    rng: ChaCha8Rng,
    observer: Option<Observer>,
    routes: Vec<Route>,
    rules: Vec<Rule>,
    /// Connections that fill the accept queues of cut links, by link.
    queue_fillers: Vec<Vec<TcpStream>>,
    commands: Receiver<ProxyCommand>,
    poll: Poll,
    /// Connections by the key of the client's stream.
    connections: HashMap<usize, Connection>,
    /// The connection's key by each stream's key.
    stream_connections: HashMap<usize, usize>,
    /// Timers: due time, and the key of a connection or of a delayed datagram.
    timers: BinaryHeap<Reverse<(Duration, usize)>>,
    /// Delayed datagrams by key: link and bytes.
    delayed: HashMap<usize, (usize, Vec<u8>)>,
}

impl Running {
    fn run(mut self) {
        let mut ready: Vec<Ready> = Vec::new();
        loop {
            let timeout = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(self.start.elapsed()));
            if self.poll.wait(timeout, &mut ready).is_err() {
                return;
            }
            while let Ok(command) = self.commands.try_recv() {
                match command {
                    ProxyCommand::Shutdown => return,
                    ProxyCommand::SetRule(links, rule) => {
                        links.into_iter().for_each(|link| self.set_rule(link.0, rule))
                    }
                    ProxyCommand::Down(links) => links.into_iter().for_each(|link| self.take_down(link.0)),
                    ProxyCommand::Up(links) => links.into_iter().for_each(|link| self.bring_up(link.0)),
                    ProxyCommand::Reset(links) => {
                        links.into_iter().for_each(|link| self.reset_connections(link.0))
                    }
                    ProxyCommand::SetTarget(links, address) => links.into_iter().for_each(|link| {
                        if let Some(Route::Tcp { to, .. }) = self.routes.get_mut(link.0) {
                            *to = address;
                        }
                    }),
                }
            }
            for event in std::mem::take(&mut ready) {
                if event.key < self.routes.len() {
                    self.on_link_ready(event.key);
                } else if let Some(connection) = self.stream_connections.get(&event.key).copied() {
                    self.forward(connection);
                }
            }
            let now = self.start.elapsed();
            while let Some(Reverse((_, key))) = self.timers.peek().copied().filter(|timer| timer.0.0 <= now) {
                self.timers.pop();
                match self.delayed.remove(&key) {
                    Some((link, bytes)) => self.send_datagram(link, &bytes),
                    None => self.forward(key),
                }
            }
        }
    }

    fn set_rule(&mut self, link: usize, rule: Rule) {
        let was_cut = self.rules[link].is_cut();
        self.rules[link] = rule;
        if let Route::Tcp { listener: Some(listener), port, .. } = &self.routes[link] {
            if rule.is_cut() && !was_cut {
                let _ = SockRef::from(listener).listen(0);
                let fillers = (0..QUEUE_FILLERS).filter_map(|_| connect(port.address()).ok());
                self.queue_fillers[link] = fillers.collect();
            } else if was_cut && !rule.is_cut() {
                let _ = SockRef::from(listener).listen(BACKLOG);
                let _ = self.poll.rearm(listener, link, true, false);
            }
        }
        let keys: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.link == link)
            .map(|(key, _)| *key)
            .collect();
        keys.into_iter().for_each(|key| self.forward(key));
        if was_cut && !rule.is_cut() {
            self.on_link_ready(link);
            self.queue_fillers[link].clear();
        }
    }

    fn reset_connections(&mut self, link: usize) {
        let keys: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.link == link)
            .map(|(key, _)| *key)
            .collect();
        keys.into_iter().for_each(|key| self.drop_connection(key, true));
    }

    fn take_down(&mut self, link: usize) {
        if let Route::Tcp { listener, .. } = &mut self.routes[link]
            && let Some(listener) = listener.take()
        {
            self.poll.remove(&listener);
            shut_down_listener(listener);
        }
        self.reset_connections(link);
    }

    fn bring_up(&mut self, link: usize) {
        if let Route::Tcp { listener, port, .. } = &mut self.routes[link]
            && listener.is_none()
            && let Ok(new) = listen(port.address())
            && self.poll.add(&new, link, true, false).is_ok()
        {
            *listener = Some(new);
        }
    }

    fn drop_connection(&mut self, key: usize, reset: bool) {
        let Some(connection) = self.connections.remove(&key) else { return };
        for (stream, key) in connection.streams.iter().zip(connection.keys) {
            self.poll.remove(stream);
            self.stream_connections.remove(&key);
            if reset {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Handles a listener or a datagram socket that is readable.
    fn on_link_ready(&mut self, link: usize) {
        match &self.routes[link] {
            Route::Tcp { .. } => self.accept(link),
            Route::Udp { .. } => self.receive_datagrams(link),
        }
    }

    fn accept(&mut self, link: usize) {
        loop {
            let Route::Tcp { listener: Some(listener), to, .. } = &self.routes[link] else { return };
            if self.rules[link].is_cut() {
                return;
            }
            let to = *to;
            let Ok((stream, from)) = listener.accept() else { break };
            if self.queue_fillers[link]
                .iter()
                .any(|filler| filler.local_addr().is_ok_and(|address| address == from))
            {
                continue;
            }
            // Resets the client's connection if the target does not accept one.
            let Ok(target) = connect(to) else {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            };
            let keys = [self.next_key, self.next_key + 1];
            self.next_key += 2;
            let registered = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            let registered = registered.and_then(|()| self.poll.add(&stream, keys[0], true, false));
            if registered.and_then(|()| self.poll.add(&target, keys[1], true, true)).is_err() {
                continue;
            }
            self.stream_connections.extend(keys.map(|key| (key, keys[0])));
            let flows = [Flow::default(), Flow::default()];
            self.connections.insert(keys[0], Connection { link, streams: [stream, target], keys, flows });
        }
        if let Route::Tcp { listener: Some(listener), .. } = &self.routes[link] {
            let _ = self.poll.rearm(listener, link, true, false);
        }
    }

    fn receive_datagrams(&mut self, link: usize) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Route::Udp { socket, .. } = &self.routes[link] {
            let Ok((length, _)) = socket.recv_from(&mut bytes) else { break };
            let rule = self.rules[link];
            if rule.cut_there || (rule.loss > 0.0 && self.rng.random_bool(rule.loss.min(1.0))) {
                continue;
            }
            let delay = rule.delay + rule.jitter.mul_f64(self.rng.random());
            if delay.is_zero() {
                self.send_datagram(link, &bytes[..length]);
            } else {
                let key = self.next_key;
                self.next_key += 1;
                self.delayed.insert(key, (link, bytes[..length].to_vec()));
                self.timers.push(Reverse((self.start.elapsed() + delay, key)));
            }
        }
        if let Route::Udp { socket, .. } = &self.routes[link] {
            let _ = self.poll.rearm(socket, link, true, false);
        }
    }

    /// Sends a datagram on, from the address that its receiver knows its sender by.
    fn send_datagram(&mut self, link: usize, bytes: &[u8]) {
        let Route::Udp { reverse, to, .. } = &self.routes[link] else { return };
        if let Route::Udp { socket, .. } = &self.routes[*reverse] {
            // A datagram that can't be sent is dropped, as UDP allows.
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Forwards what is due on a connection, in both directions, and registers for what it waits for next.
    fn forward(&mut self, key: usize) {
        let now = self.start.elapsed();
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let rule = self.rules[connection.link];
        let cuts = [rule.cut_there, rule.cut_back];
        let [client, target] = &connection.streams;
        let mut broken = false;
        let mut next_due: Option<Duration> = None;
        // By stream: whether to wait until it is readable, and until it is writable.
        let mut interest = [[false; 2]; 2];
        for (n, (from, to)) in [(client, target), (target, client)].into_iter().enumerate() {
            let cut = cuts[n];
            if broken {
                break;
            }
            if connection.flows.iter().any(|flow| flow.reset_unseen) {
                // Nobody reads or sends on the side that was reset.
                broken |= connection.flows[n].reset_unseen && !cut;
                continue;
            }
            let observer = self.observer.as_ref().filter(|_| n == 0);
            let mut observe = |event: WriteEvent<'_>| {
                if let Some(observer) = observer {
                    observer.observe(connection.link, target, now, cut, event);
                }
            };
            let flow = &mut connection.flows[n];
            if flow.read(from, now, &rule, &mut self.rng, &mut observe)
                || matches!(from.take_error(), Ok(Some(_)))
            {
                observe(WriteEvent::Ended);
                broken |= flow.on_reset(cut);
                continue;
            }
            if !cut {
                match connection.flows[n].write(to, now) {
                    Ok(blocked) => interest[1 - n][1] |= blocked,
                    // The receiver has reset the connection, which its sender learns in the other direction.
                    Err(_) => {
                        broken |= connection.flows[1 - n].on_reset(cuts[1 - n]);
                        continue;
                    }
                }
            }
            let flow = &connection.flows[n];
            let open = !flow.ended && flow.buffered_bytes < MAX_BUFFERED_BYTES;
            interest[n][0] |= open && flow.read_at <= now;
            if !cut {
                let chunk = flow.chunks.front().map(|(at, _)| *at).filter(|at| *at > now);
                let read = (open && flow.read_at > now).then_some(flow.read_at);
                next_due = next_due.into_iter().chain(chunk).chain(read).min();
            }
        }
        if broken {
            return self.drop_connection(key, true);
        }
        if connection.flows.iter().all(|flow| flow.end_forwarded) {
            return self.drop_connection(key, false);
        }
        if connection.flows.iter().any(|flow| flow.reset_unseen) {
            // The poller reports a stream that was reset again and again; the end of the cut continues here.
            return;
        }
        for ((stream, key), [read, write]) in connection.streams.iter().zip(connection.keys).zip(interest) {
            let _ = self.poll.rearm(stream, key, read, write);
        }
        if let Some(at) = next_due {
            self.timers.push(Reverse((at, key)));
        }
    }
}

impl Flow {
    /// Reads what is available, as far as buffer and rate allow. Returns whether the connection is broken or
    /// is to be reset.
    fn read(
        &mut self,
        mut from: &TcpStream,
        now: Duration,
        rule: &Rule,
        rng: &mut ChaCha8Rng,
        observe: &mut impl FnMut(WriteEvent<'_>),
    ) -> bool {
        let mut buffer = [0; 16 * 1024];
        while !self.ended && self.buffered_bytes < MAX_BUFFERED_BYTES && self.read_at <= now {
            let max = rule.rate.map_or(buffer.len(), |rate| buffer.len().min((rate / 20).max(1) as usize));
            match from.read(&mut buffer[..max]) {
                Ok(0) => {
                    observe(WriteEvent::Ended);
                    self.ended = true;
                }
                Ok(read) => {
                    observe(WriteEvent::Bytes(&buffer[..read]));
                    if rule.reset > 0.0 && rng.random_bool(rule.reset.min(1.0)) {
                        return true;
                    }
                    let delay = rule.delay
                        + if rule.jitter.is_zero() {
                            Duration::ZERO
                        } else {
                            rule.jitter.mul_f64(rng.random())
                        };
                    self.last_due = self.last_due.max(now + delay);
                    self.buffered_bytes += read;
                    self.chunks.push_back((self.last_due, buffer[..read].to_vec()));
                    if let Some(rate) = rule.rate {
                        self.read_at = now + Duration::from_secs_f64(read as f64 / rate.max(1) as f64);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::NotConnected => break,
                Err(_) => return true,
            }
        }
        false
    }

    /// Handles a reset by the sender. Returns whether it reaches the receiver: while the direction is cut, it
    /// does not, and what has not crossed the cut is dropped.
    fn on_reset(&mut self, cut: bool) -> bool {
        if cut {
            self.reset_unseen = true;
            self.chunks.clear();
            self.buffered_bytes = 0;
        }
        !cut
    }

    /// Writes what is due. Returns whether the receiver accepts no more for now.
    fn write(&mut self, mut to: &TcpStream, now: Duration) -> io::Result<bool> {
        while let Some((_, chunk)) = self.chunks.front_mut().filter(|(at, _)| *at <= now) {
            match to.write(chunk) {
                Ok(written) => {
                    self.buffered_bytes -= written;
                    if written < chunk.len() {
                        chunk.drain(..written);
                    } else {
                        self.chunks.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) =>
                {
                    return Ok(true);
                }
                Err(error) => return Err(error),
            }
        }
        if self.ended && self.chunks.is_empty() && !self.end_forwarded {
            self.end_forwarded = true;
            let _ = to.shutdown(std::net::Shutdown::Write);
        }
        Ok(false)
    }
}
