//! The fault proxy: every link between two processes can pass through it, TCP and UDP, and is delayed, lost, cut,
//! reset, slowed or taken away as told. One thread, one poller. What is drawn is drawn from its seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker, connect};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, SockRef, Socket, Type};

use crate::port::{ReservedPort, shut_down_listener};

/// What a direction of a connection holds before no more is read from its sender.
const HELD: usize = 64 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections of the proxy's own that fill the queue of a listener whose backlog is none: a further one never
/// comes up, as with a machine that is gone.
const FILLS: usize = 2;
/// Longest datagram that is passed on.
const DATAGRAM: usize = 2048;

/// A link, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link(pub usize);

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rule {
    /// Everything comes so much later.
    pub delay: Duration,
    /// And up to so much more, drawn for each piece; the order is kept on a connection.
    pub jitter: Duration,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Share of the pieces, either way, at which the connection is reset: the request that went, or whose answer
    /// came, is lost with it.
    pub reset: f64,
    /// Bytes a second that are taken from each side; no bound where none.
    pub rate: Option<u64>,
    /// Nothing passes from the one who connected to the other; what it sends waits, as in a network that is cut.
    pub cut_there: bool,
    /// Nothing passes back.
    pub cut_back: bool,
}

impl Rule {
    /// A link that is cut both ways: connections stay open and silent, new ones never come up.
    pub fn cut() -> Self {
        Rule { cut_there: true, cut_back: true, ..Rule::default() }
    }

    fn is_cut(&self) -> bool {
        self.cut_there || self.cut_back
    }
}

/// What the proxy is told.
#[derive(Clone, Debug)]
pub enum Tell {
    /// These links do so from now on.
    Set(Vec<Link>, Rule),
    /// The process that these links lead to has ended: connections are reset, new ones refused.
    Down(Vec<Link>),
    /// It is there again.
    Up(Vec<Link>),
    /// These links' connections are reset, and nothing else changes.
    Reset(Vec<Link>),
    /// Connections that are opened on these links lead here from now on.
    Lead(Vec<Link>, SocketAddr),
    /// It ends.
    End,
}

/// What is to be linked, before the proxy runs.
pub struct Builder {
    rng: ChaCha8Rng,
    routes: Vec<Route>,
}

enum Route {
    Tcp {
        port: ReservedPort,
        listener: Option<TcpListener>,
        to: SocketAddr,
    },
    /// Datagrams that come here go on from the socket of the link back, to where its receiver hears.
    Udp {
        socket: UdpSocket,
        back: usize,
        to: SocketAddr,
    },
}

/// A listener at an address that a holder keeps bound meanwhile, so that nobody else gets its port while none
/// listens there.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Builder {
    /// No links yet.
    pub fn new(seed: u64) -> Self {
        Builder { rng: ChaCha8Rng::seed_from_u64(seed), routes: Vec::new() }
    }

    /// A link for connections to an address. Gives it, and where to connect.
    ///
    /// # Errors
    ///
    /// When loopback has no port left.
    pub fn tcp(&mut self, to: SocketAddr) -> io::Result<(Link, SocketAddr)> {
        let port = ReservedPort::new()?;
        let at = port.address();
        let listener = Some(listen(at)?);
        self.routes.push(Route::Tcp { port, listener, to });
        Ok((Link(self.routes.len() - 1), at))
    }

    /// Two links for datagrams between two who hear at these addresses. Gives the link from the first to the
    /// second with the address that the first sends to, and the link back with the second's.
    ///
    /// # Errors
    ///
    /// When loopback has no port left.
    pub fn udp(&mut self, one: SocketAddr, other: SocketAddr) -> io::Result<[(Link, SocketAddr); 2]> {
        let first = self.routes.len();
        let mut ends = [(Link(first), one), (Link(first + 1), other)];
        for (n, to) in [other, one].into_iter().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            ends[n].1 = socket.local_addr()?;
            self.routes.push(Route::Udp { socket, back: first + 1 - n, to });
        }
        Ok(ends)
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// When the system has no descriptors left.
    pub fn start(self) -> io::Result<Proxy> {
        let (tell, told) = mpsc::channel();
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
        let fills = self.routes.iter().map(|_| Vec::new()).collect();
        let running = Running {
            start: Instant::now(),
            next: self.routes.len(),
            rng: self.rng,
            routes: self.routes,
            rules,
            fills,
            told,
            poll,
            pairs: HashMap::new(),
            sides: HashMap::new(),
            due: BinaryHeap::new(),
            late: HashMap::new(),
        };
        let thread = thread::Builder::new().name("proxy".into()).spawn(move || running.run())?;
        Ok(Proxy { tell, waker, thread: Some(thread) })
    }
}

/// The running proxy.
pub struct Proxy {
    tell: Sender<Tell>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Tells it something; it takes hold at once.
    pub fn tell(&self, what: Tell) {
        // It ends only with `drop`, after which nobody tells it anything.
        let _ = self.tell.send(what);
        self.waker.wake();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.tell(Tell::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One direction of a connection.
#[derive(Default)]
struct Flow {
    pieces: VecDeque<(Duration, Vec<u8>)>,
    held: usize,
    /// The last piece's time: none overtakes another.
    last: Duration,
    /// Nothing is read before that.
    read_at: Duration,
    /// Its sender has ended it, and its receiver was told.
    ended: bool,
    passed_end: bool,
}

struct Pair {
    link: usize,
    /// The one who connected, and the other; their keys.
    streams: [TcpStream; 2],
    keys: [usize; 2],
    /// From the one who connected to the other, and back.
    flows: [Flow; 2],
}

struct Running {
    start: Instant,
    /// The next key.
    next: usize,
    rng: ChaCha8Rng,
    routes: Vec<Route>,
    rules: Vec<Rule>,
    /// Connections that fill listeners' queues.
    fills: Vec<Vec<TcpStream>>,
    told: Receiver<Tell>,
    poll: Poll,
    /// Connections by the key of the one who connected.
    pairs: HashMap<usize, Pair>,
    /// Which pair a key belongs to.
    sides: HashMap<usize, usize>,
    /// When which pair, or which late datagram, is to be looked at.
    due: BinaryHeap<Reverse<(Duration, usize)>>,
    /// Datagrams that are late: link and bytes.
    late: HashMap<usize, (usize, Vec<u8>)>,
}

impl Running {
    fn run(mut self) {
        let mut ready: Vec<Ready> = Vec::new();
        loop {
            let pause = self.due.peek().map(|Reverse((at, _))| at.saturating_sub(self.start.elapsed()));
            if self.poll.wait(pause, &mut ready).is_err() {
                return;
            }
            while let Ok(tell) = self.told.try_recv() {
                match tell {
                    Tell::End => return,
                    Tell::Set(links, rule) => links.into_iter().for_each(|link| self.set(link.0, rule)),
                    Tell::Down(links) => links.into_iter().for_each(|link| self.down(link.0)),
                    Tell::Up(links) => links.into_iter().for_each(|link| self.up(link.0)),
                    Tell::Reset(links) => links.into_iter().for_each(|link| self.reset_all(link.0)),
                    Tell::Lead(links, address) => links.into_iter().for_each(|link| {
                        if let Some(Route::Tcp { to, .. }) = self.routes.get_mut(link.0) {
                            *to = address;
                        }
                    }),
                }
            }
            for report in std::mem::take(&mut ready) {
                if report.key < self.routes.len() {
                    self.arrives(report.key);
                } else if let Some(pair) = self.sides.get(&report.key).copied() {
                    self.pump(pair);
                }
            }
            let now = self.start.elapsed();
            while let Some(Reverse((_, key))) = self.due.peek().copied().filter(|due| due.0.0 <= now) {
                self.due.pop();
                match self.late.remove(&key) {
                    Some((link, bytes)) => self.pass_datagram(link, &bytes),
                    None => self.pump(key),
                }
            }
        }
    }

    fn set(&mut self, link: usize, rule: Rule) {
        let was_cut = self.rules[link].is_cut();
        self.rules[link] = rule;
        if let Route::Tcp { listener: Some(listener), port, .. } = &self.routes[link] {
            if rule.is_cut() && !was_cut {
                let _ = SockRef::from(listener).listen(0);
                let fills = (0..FILLS).filter_map(|_| connect(port.address()).ok());
                self.fills[link] = fills.collect();
            } else if was_cut && !rule.is_cut() {
                let _ = SockRef::from(listener).listen(BACKLOG);
                let _ = self.poll.rearm(listener, link, true, false);
            }
        }
        let of: Vec<usize> = self.pairs.iter().filter(|(_, p)| p.link == link).map(|(key, _)| *key).collect();
        of.into_iter().for_each(|key| self.pump(key));
        if was_cut && !rule.is_cut() {
            self.arrives(link);
            self.fills[link].clear();
        }
    }

    fn reset_all(&mut self, link: usize) {
        let of: Vec<usize> = self.pairs.iter().filter(|(_, p)| p.link == link).map(|(key, _)| *key).collect();
        of.into_iter().for_each(|key| self.drop_pair(key, true));
    }

    fn down(&mut self, link: usize) {
        if let Route::Tcp { listener, .. } = &mut self.routes[link]
            && let Some(listener) = listener.take()
        {
            self.poll.remove(&listener);
            shut_down_listener(listener);
        }
        self.reset_all(link);
    }

    fn up(&mut self, link: usize) {
        if let Route::Tcp { listener, port, .. } = &mut self.routes[link]
            && listener.is_none()
            && let Ok(new) = listen(port.address())
            && self.poll.add(&new, link, true, false).is_ok()
        {
            *listener = Some(new);
        }
    }

    fn drop_pair(&mut self, key: usize, reset: bool) {
        let Some(pair) = self.pairs.remove(&key) else { return };
        for (stream, key) in pair.streams.iter().zip(pair.keys) {
            self.poll.remove(stream);
            self.sides.remove(&key);
            if reset {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Something waits at a listener or a datagram socket.
    fn arrives(&mut self, link: usize) {
        match &self.routes[link] {
            Route::Tcp { .. } => self.accept(link),
            Route::Udp { .. } => self.take_datagrams(link),
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
            if self.fills[link].iter().any(|fill| fill.local_addr().is_ok_and(|at| at == from)) {
                continue;
            }
            // Whoever connected finds the connection reset where the other does not take one.
            let Ok(other) = connect(to) else {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            };
            let keys = [self.next, self.next + 1];
            self.next += 2;
            let fit = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            let fit = fit.and_then(|()| self.poll.add(&stream, keys[0], true, false));
            if fit.and_then(|()| self.poll.add(&other, keys[1], true, true)).is_err() {
                continue;
            }
            self.sides.extend(keys.map(|key| (key, keys[0])));
            let flows = [Flow::default(), Flow::default()];
            self.pairs.insert(keys[0], Pair { link, streams: [stream, other], keys, flows });
        }
        if let Route::Tcp { listener: Some(listener), .. } = &self.routes[link] {
            let _ = self.poll.rearm(listener, link, true, false);
        }
    }

    fn take_datagrams(&mut self, link: usize) {
        let mut bytes = [0; DATAGRAM];
        while let Route::Udp { socket, .. } = &self.routes[link] {
            let Ok((length, _)) = socket.recv_from(&mut bytes) else { break };
            let rule = self.rules[link];
            if rule.cut_there || (rule.loss > 0.0 && self.rng.random_bool(rule.loss.min(1.0))) {
                continue;
            }
            let wait = rule.delay + rule.jitter.mul_f64(self.rng.random());
            if wait.is_zero() {
                self.pass_datagram(link, &bytes[..length]);
            } else {
                let key = self.next;
                self.next += 1;
                self.late.insert(key, (link, bytes[..length].to_vec()));
                self.due.push(Reverse((self.start.elapsed() + wait, key)));
            }
        }
        if let Route::Udp { socket, .. } = &self.routes[link] {
            let _ = self.poll.rearm(socket, link, true, false);
        }
    }

    /// A datagram goes on from the address that its receiver knows its sender by.
    fn pass_datagram(&mut self, link: usize, bytes: &[u8]) {
        let Route::Udp { back, to, .. } = &self.routes[link] else { return };
        if let Route::Udp { socket, .. } = &self.routes[*back] {
            // One that can't be sent is lost, as datagrams may be.
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Moves what can be moved on a connection, both ways, and asks for what is to come.
    fn pump(&mut self, key: usize) {
        let now = self.start.elapsed();
        let Some(pair) = self.pairs.get_mut(&key) else { return };
        let rule = self.rules[pair.link];
        let [one, other] = &pair.streams;
        let mut broken = false;
        let mut next: Option<Duration> = None;
        // Whether to wait for each stream to be readable, and writable.
        let mut wants = [[false; 2]; 2];
        for (n, (from, to)) in [(one, other), (other, one)].into_iter().enumerate() {
            let flow = &mut pair.flows[n];
            let cut = if n == 0 { rule.cut_there } else { rule.cut_back };
            if !cut && !broken {
                broken |= flow.read(from, now, &rule, &mut self.rng);
            }
            if !cut && !broken {
                match flow.write(to, now) {
                    Ok(blocked) => wants[1 - n][1] |= blocked,
                    Err(_) => broken = true,
                }
            }
            let open = !cut && !flow.ended && flow.held < HELD;
            wants[n][0] |= open && flow.read_at <= now;
            if !cut {
                let piece = flow.pieces.front().map(|(at, _)| *at).filter(|at| *at > now);
                let read = (open && flow.read_at > now).then_some(flow.read_at);
                next = next.into_iter().chain(piece).chain(read).min();
            }
        }
        if broken {
            return self.drop_pair(key, true);
        }
        if pair.flows.iter().all(|flow| flow.passed_end) {
            return self.drop_pair(key, false);
        }
        for ((stream, key), [read, write]) in pair.streams.iter().zip(pair.keys).zip(wants) {
            let _ = self.poll.rearm(stream, key, read, write);
        }
        if let Some(at) = next {
            self.due.push(Reverse((at, key)));
        }
    }
}

impl Flow {
    /// Reads what is there and may be held. Gives whether the connection is broken.
    fn read(&mut self, mut from: &TcpStream, now: Duration, rule: &Rule, rng: &mut ChaCha8Rng) -> bool {
        let mut buffer = [0; 16 * 1024];
        while !self.ended && self.held < HELD && self.read_at <= now {
            let most = rule.rate.map_or(buffer.len(), |rate| buffer.len().min((rate / 20).max(1) as usize));
            match from.read(&mut buffer[..most]) {
                Ok(0) => self.ended = true,
                Ok(read) => {
                    if rule.reset > 0.0 && rng.random_bool(rule.reset.min(1.0)) {
                        return true;
                    }
                    let wait = rule.delay
                        + if rule.jitter.is_zero() {
                            Duration::ZERO
                        } else {
                            rule.jitter.mul_f64(rng.random())
                        };
                    self.last = self.last.max(now + wait);
                    self.held += read;
                    self.pieces.push_back((self.last, buffer[..read].to_vec()));
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

    /// Writes what is due. Gives whether the receiver takes no more for now.
    fn write(&mut self, mut to: &TcpStream, now: Duration) -> io::Result<bool> {
        while let Some((_, piece)) = self.pieces.front_mut().filter(|(at, _)| *at <= now) {
            match to.write(piece) {
                Ok(written) => {
                    self.held -= written;
                    if written < piece.len() {
                        piece.drain(..written);
                    } else {
                        self.pieces.pop_front();
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
        if self.ended && self.pieces.is_empty() && !self.passed_end {
            self.passed_end = true;
            let _ = to.shutdown(std::net::Shutdown::Write);
        }
        Ok(false)
    }
}
