//! Open-loop clients in one thread: each query is due at a drawn time and counts from then, however late it could be
//! sent. They go through a front that knows which brokers are there, come again as they are told to, and check
//! every value that they get. Where connections are pooled, one that is idle carries the next request also after the
//! front has taken its broker out, as clients do that know nothing of the front.

mod answer;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker, connect};
use badgergauge_standin::ledger::UNSAFE_QUERY;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::answer::{Response, judge, response};
use crate::pool::{ConnectionPool, ConnectionUsage};

/// How long after its time an answer is still waited for: what comes later, or never, is lost.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Tries of a query: the first, and those after refusals and connections that were not taken.
const TRIES: u32 = 4;
/// The clients' thread says so fast what they hold.
const HELD_WITHIN: Duration = Duration::from_secs(1);
/// An unruly client leaves, writes on, or stays in mid-request for this long at the most.
const UNRULY_FOR: Duration = Duration::from_millis(400);
/// One that stops in mid-request stays so long.
const STAYS: Duration = Duration::from_secs(4);

/// What running a part twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// Nothing.
    Safe,
    /// Nothing within a window, as its queries carry an idempotency key.
    Keyed,
    /// Harm.
    Unsafe,
}

/// A class of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: String,
    /// Answers earn their whole worth up to then.
    pub aim: Duration,
    /// The client's time.
    pub deadline: Duration,
    /// What running a part of it twice does.
    pub retry_safety: RetrySafety,
    /// The least share of an answer.
    pub min_share: f64,
    /// Its share of the queries.
    pub share: f64,
}

/// What clients ask.
#[derive(Clone, Debug)]
pub struct Load {
    /// Queries a second, of all clients.
    pub rate: f64,
    /// Each broker's share of them, in any unit.
    pub weights: Vec<f64>,
    /// Parts of a query.
    pub parts: usize,
    /// Tile blocks there are.
    pub blocks: u32,
    /// The classes.
    pub classes: Vec<Class>,
    /// From when, since `base`, and for how long they ask.
    pub start: Duration,
    /// See `from`.
    pub duration: Duration,
    /// For everything that is drawn.
    pub seed: u64,
    /// Whether connections are kept for further requests; else each carries one.
    pub pooled: bool,
    /// Share of the queries whose clients are unruly.
    pub misbehaving_share: f64,
}

/// Queries by what became of them, by the second in which they were due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Queries that were due.
    pub offered: u32,
    /// Whole answers within the aim.
    pub in_time: u32,
    /// Whole answers after it, within the client's time.
    pub late: u32,
    /// Answers that were not whole, marked so.
    pub partial: u32,
    /// Given up after refusals.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Never answered, or after the client's time.
    pub lost: u32,
    /// Of those that were lost: their connection was reset or closed without an answer.
    pub closed: u32,
    /// Refusals, each of which may be followed by another try.
    pub refusals: u32,
    /// Connections that were not taken, each followed by another try.
    pub not_taken: u32,
    /// Their clients left.
    pub left: u32,
}

/// A request that was never answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Unanswered {
    /// Its id.
    pub id: String,
    /// The broker.
    pub broker: usize,
    /// When it was sent, and when that was found.
    pub sent: Duration,
    /// See `sent`.
    pub ended: Duration,
    /// Its connection ended; else nothing came at all.
    pub closed: bool,
}

/// A request that a broker did not take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When.
    pub at: Duration,
    /// The broker.
    pub broker: usize,
    /// The status it answered; none if it did not take the connection.
    pub status: Option<u16>,
}

/// What clients saw.
#[derive(Debug)]
pub struct ClientResults {
    /// By second.
    pub outcomes: BTreeMap<u64, OutcomeCounts>,
    /// Times of answered queries, from when they were due, in microseconds.
    pub times: Histogram<u64>,
    /// Requests that were never answered.
    pub unanswered: Vec<Unanswered>,
    /// Requests that brokers did not take, also those that were tried again.
    pub refused: Vec<Refusal>,
    /// Answers that hold what no server made, or are marked whole and are not: when, and what.
    pub wrong: Vec<(Duration, String)>,
    /// How late the harness itself sent at the worst, beyond when a query was due.
    pub lateness: Duration,
}

/// What the front is told.
#[derive(Clone, Debug)]
pub enum ClientCommand {
    /// A broker is there at this address, or is not there.
    SetBroker(usize, Option<SocketAddr>),
    /// Somebody asks what clients hold of a broker's connections.
    ConnectionUsage(usize, Sender<ConnectionUsage>),
}

/// The running clients.
pub struct Clients {
    tell: Sender<ClientCommand>,
    waker: Waker,
    thread: JoinHandle<ClientResults>,
}

impl Clients {
    /// Starts them; times are since `base`.
    ///
    /// # Errors
    ///
    /// When the system has no descriptors left.
    pub fn start(load: Load, base: Instant) -> io::Result<Self> {
        let poll = Poll::new()?;
        let (waker, (tell, told)) = (poll.waker(), mpsc::channel());
        let times =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| io::Error::other(e.to_string()))?;
        let running = Running::new(load, base, poll, told, times);
        let thread = thread::Builder::new().name("clients".into()).spawn(move || running.run())?;
        Ok(Clients { tell, waker, thread })
    }

    /// Tells the front something.
    pub fn send(&self, what: ClientCommand) {
        // Once all are answered nobody hears it, which is fine.
        let _ = self.tell.send(what);
        self.waker.wake();
    }

    /// What clients hold of a broker's connections; none once all are answered, or if they do not say in time.
    pub fn connection_usage(&self, broker: usize) -> Option<ConnectionUsage> {
        let (sender, receiver) = mpsc::channel();
        self.send(ClientCommand::ConnectionUsage(broker, sender));
        receiver.recv_timeout(HELD_WITHIN).ok()
    }

    /// Whether all have been answered or given up.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// What they saw, once all are done.
    ///
    /// # Errors
    ///
    /// When their thread panicked.
    pub fn join(self) -> io::Result<ClientResults> {
        self.thread.join().map_err(|_| io::Error::other("the clients' thread panicked"))
    }
}

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// It sends its request, and waits.
    Patient,
    /// It leaves so long after its request, answered or not.
    Leaves(Duration),
    /// It writes the second half of its request so long after the first.
    WritesSlowly(Duration),
    /// It writes the first half, and stays.
    Stops,
}

impl Habit {
    fn unruly(rng: &mut ChaCha8Rng) -> Self {
        let pause = UNRULY_FOR.mul_f64(rng.random());
        match rng.random_range(0..3) {
            0 => Habit::Leaves(pause),
            1 => Habit::WritesSlowly(pause),
            _ => Habit::Stops,
        }
    }

    /// Whether what becomes of its request is nobody's concern.
    fn leaves(self) -> bool {
        matches!(self, Habit::Leaves(_) | Habit::Stops)
    }
}

/// A query that a client wants answered.
#[derive(Clone)]
struct Wish {
    habit: Habit,
    due: Duration,
    ends: Duration,
    class: usize,
    shards: Vec<u32>,
    statement: String,
    key: String,
    tries: u32,
    /// Brokers that did not take it.
    not: Vec<usize>,
}

struct Try {
    wish: Wish,
    id: String,
    broker: usize,
    stream: TcpStream,
    out: Vec<u8>,
    written: usize,
    /// How much may be written by now.
    ready_to_write: usize,
    bytes: Vec<u8>,
    sent: Duration,
}

enum Due {
    /// The next query is due.
    Next,
    /// A client comes again.
    Again(Box<Wish>),
    /// The try of the same number is given up.
    Expire,
    /// The client of the try of this number leaves.
    Leave(usize),
    /// It writes the rest of its request.
    WriteOn(usize),
}

enum Ended {
    /// With a whole response.
    Answered(Response),
    /// The connection was not taken: nothing of the request went out, or it was refused.
    NotTaken,
    /// Without a whole response: by the connection's end, or by time.
    Lost { closed: bool },
}

struct Running {
    load: Load,
    base: Instant,
    poll: Poll,
    told: Receiver<ClientCommand>,
    rng: ChaCha8Rng,
    front: Vec<Option<SocketAddr>>,
    tries: HashMap<usize, Try>,
    pool: ConnectionPool,
    due: BinaryHeap<Reverse<(Duration, usize)>>,
    what: HashMap<usize, Due>,
    last: usize,
    /// Queries asked so far, and those that are not ended.
    asked: u64,
    open: usize,
    asking: bool,
    seen: ClientResults,
}

impl Running {
    fn new(
        load: Load,
        base: Instant,
        poll: Poll,
        told: Receiver<ClientCommand>,
        times: Histogram<u64>,
    ) -> Self {
        let seen = ClientResults {
            outcomes: BTreeMap::new(),
            times,
            unanswered: Vec::new(),
            refused: Vec::new(),
            wrong: Vec::new(),
            lateness: Duration::ZERO,
        };
        let front = vec![None; load.weights.len()];
        let rng = ChaCha8Rng::seed_from_u64(load.seed);
        let (tries, due, what) = (HashMap::new(), BinaryHeap::new(), HashMap::new());
        let mut running = Running {
            load,
            base,
            poll,
            told,
            rng,
            front,
            tries,
            pool: ConnectionPool::default(),
            due,
            what,
            last: 0,
            asked: 0,
            open: 0,
            asking: true,
            seen,
        };
        running.arm(running.load.start, Due::Next);
        running
    }

    fn arm(&mut self, at: Duration, what: Due) -> usize {
        self.last += 1;
        self.due.push(Reverse((at, self.last)));
        self.what.insert(self.last, what);
        self.last
    }

    fn run(mut self) -> ClientResults {
        let mut ready: Vec<Ready> = Vec::new();
        while self.asking || self.open > 0 {
            let pause = self.due.peek().map(|Reverse((at, _))| at.saturating_sub(self.base.elapsed()));
            if self.poll.wait(pause, &mut ready).is_err() {
                break;
            }
            while let Ok(tell) = self.told.try_recv() {
                self.hear(tell);
            }
            for report in std::mem::take(&mut ready) {
                self.ready(report.key);
            }
            let now = self.base.elapsed();
            while let Some(Reverse((at, id))) = self.due.peek().copied().filter(|due| due.0.0 <= now) {
                self.due.pop();
                match self.what.remove(&id) {
                    Some(Due::Next) => self.next(at),
                    Some(Due::Again(wish)) => self.attempt(*wish),
                    Some(Due::Expire) => self.end(id, Ended::Lost { closed: false }),
                    Some(Due::Leave(key)) => self.leave(key),
                    Some(Due::WriteOn(key)) => self.write_on(key),
                    None => {}
                }
            }
        }
        self.seen
    }

    fn hear(&mut self, tell: ClientCommand) {
        match tell {
            ClientCommand::SetBroker(broker, at) => self.front[broker] = at,
            ClientCommand::ConnectionUsage(broker, sender) => {
                // Whoever asked may have given up waiting.
                let _ = sender.send(self.pool.usage(&self.poll, broker));
            }
        }
    }

    fn fates(&mut self, wish: &Wish) -> &mut OutcomeCounts {
        self.seen.outcomes.entry(wish.due.as_secs()).or_default()
    }

    /// A query is due, and then the next one.
    fn next(&mut self, at: Duration) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
        let next = at + Duration::from_secs_f64(gap);
        if next < self.load.start + self.load.duration {
            self.arm(next, Due::Next);
        } else {
            self.asking = false;
        }
        self.asked += 1;
        let luck = self.rng.random::<f64>() * self.load.classes.iter().map(|c| c.share).sum::<f64>();
        let mut sum = 0.0;
        let class = self.load.classes.iter().position(|class| {
            sum += class.share;
            luck < sum
        });
        let class = class.unwrap_or(0);
        let count = self.load.parts.min(self.load.blocks as usize) as u32;
        // Neighbours, as a map's window asks them.
        let first = self.rng.random_range(0..self.load.blocks);
        let shards = (0..count).map(|n| (first + n) % self.load.blocks).collect();
        let is_unruly =
            self.load.misbehaving_share > 0.0 && self.rng.random::<f64>() < self.load.misbehaving_share;
        let wish = Wish {
            habit: if is_unruly { Habit::unruly(&mut self.rng) } else { Habit::Patient },
            due: at,
            ends: at + self.load.classes[class].deadline,
            class,
            shards,
            statement: format!("{:08x}", self.rng.random::<u32>()),
            key: format!("{:016x}{:016x}", self.load.seed, self.asked),
            tries: 0,
            not: Vec::new(),
        };
        self.open += 1;
        self.fates(&wish).offered += 1;
        self.seen.lateness = self.seen.lateness.max(self.base.elapsed().saturating_sub(at));
        self.attempt(wish);
    }

    /// The broker that a client goes to: one that the front gives it, or that it has a connection to.
    fn choose(&mut self, wish: &Wish) -> Option<usize> {
        let there: Vec<usize> =
            (0..self.front.len()).filter(|b| self.front[*b].is_some() || self.pool.has_idle(*b)).collect();
        let fresh: Vec<_> = there.iter().copied().filter(|b| !wish.not.contains(b)).collect();
        let from = if fresh.is_empty() { there } else { fresh };
        let weights: f64 = from.iter().map(|b| self.load.weights[*b]).sum();
        let mut luck = self.rng.random::<f64>() * weights;
        let chosen = from.iter().find(|b| {
            luck -= self.load.weights[**b];
            luck < 0.0
        });
        chosen.or(from.last()).copied()
    }

    /// A connection for a request, registered under the key: an idle one, or a new one.
    fn connection(&mut self, broker: usize, key: usize) -> io::Result<TcpStream> {
        if let Some(stream) = self.pool.take(&self.poll, broker) {
            return match self.poll.rearm(&stream, key, true, true) {
                Ok(()) => Ok(stream),
                Err(error) => {
                    self.poll.remove(&stream);
                    Err(error)
                }
            };
        }
        let at = self.front[broker].ok_or(io::ErrorKind::NotConnected)?;
        let stream = connect(at)?;
        self.poll.add(&stream, key, true, true)?;
        Ok(stream)
    }

    fn attempt(&mut self, mut wish: Wish) {
        let now = self.base.elapsed();
        wish.tries += 1;
        let left = wish.ends.saturating_sub(now);
        // Ends that have come are seen before a broker is chosen for its connections.
        self.pool.remove_closed(&self.poll);
        let Some(broker) = self.choose(&wish) else { return self.not_taken(wish, None) };
        let class = &self.load.classes[wish.class];
        let query = match class.retry_safety {
            RetrySafety::Unsafe => format!("{UNSAFE_QUERY}{}", wish.key),
            RetrySafety::Safe | RetrySafety::Keyed => self.asked.to_string(),
        };
        let id = format!("b{broker}-{query}-{}-{}", wish.tries, self.last);
        let share = 1.0 / wish.shards.len() as f64;
        let tablets: Vec<String> =
            wish.shards.iter().map(|s| format!("{{\"tablet\":{s},\"fraction\":{share}}}")).collect();
        let body = format!("{{\"tablets\":[{}],\"statement\":\"{}\"}}", tablets.join(","), wish.statement);
        let keyed = class.retry_safety == RetrySafety::Keyed;
        let key = if keyed { format!("Idempotency-Key: {}\r\n", wish.key) } else { String::new() };
        let retried = if wish.tries > 1 { "X-Retried: 1\r\n" } else { "" };
        let last = if self.load.pooled { "" } else { "Connection: close\r\n" };
        let out = format!(
            "POST /{} HTTP/1.1\r\nHost: b{broker}\r\nX-Request-ID: {id}\r\nX-Timeout: {}u\r\n{key}{retried}\
             {last}Content-Length: {}\r\n\r\n{body}",
            class.name,
            left.as_micros().max(1),
            body.len()
        );
        let expire = (wish.ends + PATIENCE).max(now);
        let key = self.arm(expire, Due::Expire);
        let Ok(stream) = self.connection(broker, key) else {
            self.what.remove(&key);
            return self.not_taken(wish, Some(broker));
        };
        self.pool.record_request(broker, now);
        let (out, bytes) = (out.into_bytes(), Vec::new());
        let ready_to_write = match wish.habit {
            Habit::Patient | Habit::Leaves(_) => out.len(),
            Habit::WritesSlowly(_) | Habit::Stops => out.len() / 2,
        };
        match wish.habit {
            Habit::Patient => {}
            Habit::Leaves(pause) => drop(self.arm(now + pause, Due::Leave(key))),
            Habit::WritesSlowly(pause) => drop(self.arm(now + pause, Due::WriteOn(key))),
            Habit::Stops => drop(self.arm(now + STAYS, Due::Leave(key))),
        }
        let written = 0;
        self.tries
            .insert(key, Try { wish, id, broker, stream, out, written, ready_to_write, bytes, sent: now });
    }

    /// A client leaves: its connection is closed, whatever comes.
    fn leave(&mut self, key: usize) {
        let Some(attempt) = self.tries.remove(&key) else { return };
        self.what.remove(&key);
        self.poll.remove(&attempt.stream);
        self.fates(&attempt.wish).left += 1;
        self.open -= 1;
    }

    /// A client that writes slowly writes the rest.
    fn write_on(&mut self, key: usize) {
        if let Some(attempt) = self.tries.get_mut(&key) {
            attempt.ready_to_write = attempt.out.len();
            self.ready(key);
        }
    }

    /// A broker did not take the connection: the client goes to another at once, or soon where there is none.
    fn not_taken(&mut self, mut wish: Wish, broker: Option<usize>) {
        self.fates(&wish).not_taken += 1;
        let now = self.base.elapsed();
        let refusal = broker.map(|broker| Refusal { at: now, broker, status: None });
        self.seen.refused.extend(refusal);
        let again = if broker.is_some() { now } else { now + Duration::from_millis(100) };
        wish.not.extend(broker);
        // Where no broker is there at all, clients come until their time is over.
        if again < wish.ends && (broker.is_none() || wish.tries < TRIES) {
            wish.tries -= u32::from(broker.is_none());
            self.arm(again, Due::Again(Box::new(wish)));
        } else {
            self.fates(&wish).refused += 1;
            self.open -= 1;
        }
    }

    fn ready(&mut self, key: usize) {
        if self.pool.remove_reported(&self.poll, key) {
            return;
        }
        let Some(attempt) = self.tries.get_mut(&key) else { return };
        match attempt.advance() {
            Ok(None) => {
                let write = attempt.written < attempt.ready_to_write;
                if self.poll.rearm(&attempt.stream, key, true, write).is_err() {
                    self.end(key, Ended::Lost { closed: true });
                }
            }
            Ok(Some(response)) => self.end(key, Ended::Answered(response)),
            // What was written in part can't have been taken.
            Err(_) if attempt.written < attempt.out.len() => self.end(key, Ended::NotTaken),
            Err(_) => self.end(key, Ended::Lost { closed: true }),
        }
    }

    fn end(&mut self, key: usize, how: Ended) {
        if self.tries.get(&key).is_some_and(|attempt| attempt.wish.habit.leaves()) {
            return self.leave(key);
        }
        let Some(attempt) = self.tries.remove(&key) else { return };
        self.what.remove(&key);
        let now = self.base.elapsed();
        let Try { wish, id, broker, stream, sent, .. } = attempt;
        match &how {
            Ended::Answered(response) if self.load.pooled && response.keeps_open => {
                self.last += 1;
                self.pool.insert(&self.poll, self.last, broker, stream);
            }
            _ => self.poll.remove(&stream),
        }
        let class = self.load.classes[wish.class].clone();
        match how {
            Ended::NotTaken => return self.not_taken(wish, Some(broker)),
            Ended::Lost { closed } => {
                self.seen.unanswered.push(Unanswered { id, broker, sent, ended: now, closed });
                let fates = self.fates(&wish);
                fates.lost += 1;
                fates.closed += u32::from(closed);
            }
            Ended::Answered(Response { status: 200, body, .. }) => match judge(&wish, &body, class.min_share)
            {
                Ok(whole) => {
                    let took = now.saturating_sub(wish.due);
                    let _ = self.seen.times.record(took.as_micros().max(1) as u64);
                    let fates = self.fates(&wish);
                    match (whole, took) {
                        (_, took) if took > class.deadline => fates.lost += 1,
                        (false, _) => fates.partial += 1,
                        (true, took) if took <= class.aim => fates.in_time += 1,
                        (true, _) => fates.late += 1,
                    }
                }
                Err(fault) => {
                    self.seen.wrong.push((now, format!("{id}: {fault}")));
                    self.fates(&wish).failed += 1;
                }
            },
            Ended::Answered(Response { status: status @ (429 | 503), retry_after, .. }) => {
                self.seen.refused.push(Refusal { at: now, broker, status: Some(status) });
                self.fates(&wish).refusals += 1;
                let again = now + retry_after.unwrap_or(Duration::from_millis(200));
                if again < wish.ends && wish.tries < TRIES {
                    self.arm(again, Due::Again(Box::new(wish)));
                    return;
                }
                self.fates(&wish).refused += 1;
            }
            Ended::Answered(_) => self.fates(&wish).failed += 1,
        }
        self.open -= 1;
    }
}

impl Try {
    /// Writes and reads what is possible. Gives the response once it is whole.
    fn advance(&mut self) -> io::Result<Option<Response>> {
        while self.written < self.ready_to_write {
            match self.stream.write(&self.out[self.written..self.ready_to_write]) {
                Ok(written) => self.written += written,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
        }
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => self.bytes.extend_from_slice(&buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
            if let Some(response) = response(&self.bytes)? {
                return Ok(Some(response));
            }
        }
    }
}
