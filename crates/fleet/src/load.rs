//! Open-loop load generator in one thread: each query is due at a drawn time, and its response time counts
//! from then, however late it could be sent. The clients reach brokers through a simulated front (load
//! balancer) that knows which brokers are in service, retry as refusals tell them to, and check every value
//! that they receive. Where connections are pooled, an idle connection carries the next request even after
//! the front has removed its broker, since clients do not see the front's state.

mod answer;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker, connect};
use badgergauge_standin::ledger::UNSAFE_QUERY_PREFIX;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::answer::{Response, check_answer, parse_response};
use crate::pool::{ConnectionPool, ConnectionUsage};

/// How long after its deadline an answer is still waited for; a query without one by then is lost.
const ANSWER_GRACE: Duration = Duration::from_millis(1500);
/// Limit on the tries of a query: the first one, and retries after refusals and connections that failed.
const MAX_TRIES: u32 = 4;
/// How long the clients' thread may take to answer [`ClientCommand::ConnectionUsage`].
const USAGE_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest delay after which a misbehaving client disconnects, or writes the rest of its request.
const MAX_MISBEHAVIOUR_DELAY: Duration = Duration::from_millis(400);
/// How long a client that stalls in mid-request stays connected.
const STALL_DURATION: Duration = Duration::from_secs(4);

/// Whether running a part of a query twice is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// It is always safe.
    Safe,
    /// It is safe within the idempotency window, since the queries carry an idempotency key.
    Keyed,
    /// It is not safe.
    Unsafe,
}

/// A class of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, the first segment of the request path.
    pub name: String,
    /// Response time up to which an answer has its full worth.
    pub aim: Duration,
    /// Response time after which the client has no use for an answer.
    pub deadline: Duration,
    /// Whether running a part of it twice is safe.
    pub retry_safety: RetrySafety,
    /// The smallest share of the parts that an answer may hold.
    pub min_share: f64,
    /// Its share of all queries, in any unit.
    pub share: f64,
}

/// The load that clients generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Queries per second, of all clients.
    pub rate: f64,
    /// Each broker's share of the queries, in any unit.
    pub weights: Vec<f64>,
    /// Parts per query.
    pub parts: usize,
    /// Number of tile blocks (shards).
    pub blocks: u32,
    /// The query classes.
    pub classes: Vec<Class>,
    /// When the load starts, since `base`.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether connections are kept alive for further requests; otherwise each carries one.
    pub pooled: bool,
    /// Share of the queries whose clients misbehave: disconnect early, write slowly or stall.
    pub misbehaving_share: f64,
}

/// Counts of query outcomes, for the queries due in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Queries that were due.
    pub offered: u32,
    /// Complete answers within the aim.
    pub in_time: u32,
    /// Complete answers after the aim and within the deadline.
    pub late: u32,
    /// Incomplete answers, marked as such.
    pub partial: u32,
    /// Given up after refusals.
    pub refused: u32,
    /// Answered with another error status or with a wrong answer.
    pub failed: u32,
    /// Never answered, or only after the deadline.
    pub lost: u32,
    /// Those of `lost` whose connection was reset or closed without an answer.
    pub closed: u32,
    /// Responses that refused a request, each of which may be followed by a retry.
    pub refusals: u32,
    /// Connections that were not accepted, each of which may be followed by a retry.
    pub not_taken: u32,
    /// Abandoned by a client that disconnected.
    pub left: u32,
}

/// A request that was never answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Unanswered {
    /// The request id.
    pub id: String,
    /// The broker.
    pub broker: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When it was found to be unanswered.
    pub ended: Duration,
    /// Whether its connection was closed; otherwise nothing came until the client gave up.
    pub closed: bool,
}

/// A request that a broker refused or whose connection it did not accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the client noticed it.
    pub at: Duration,
    /// The broker.
    pub broker: usize,
    /// The HTTP status of the response; none if the connection was not accepted.
    pub status: Option<u16>,
}

/// A request that was answered with a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// The request id.
    pub id: String,
    /// When the client read the answer.
    pub at: Duration,
}

/// The results of a load, as its clients observed them.
#[derive(Debug)]
pub struct ClientResults {
    /// By the second in which the queries were due.
    pub outcomes: BTreeMap<u64, OutcomeCounts>,
    /// Response times of answered queries in microseconds, counted from when they were due.
    pub times: Histogram<u64>,
    /// Requests that were never answered.
    pub unanswered: Vec<Unanswered>,
    /// Requests that were answered with a failure.
    pub failed: Vec<FailedRequest>,
    /// Requests that brokers refused or did not accept, including those that were retried.
    pub refused: Vec<Refusal>,
    /// Wrong answers: with a value that no server produced, or with a false claim to be complete. Each with
    /// the time and a description.
    pub wrong: Vec<(Duration, String)>,
    /// The longest delay between the time at which a query was due and the time at which it was sent.
    pub lateness: Duration,
}

/// A command to the clients' thread.
#[derive(Clone, Debug)]
pub enum ClientCommand {
    /// Sets the address of a broker in the front, or removes the broker from it.
    SetBroker(usize, Option<SocketAddr>),
    /// Asks how clients use their connections to a broker.
    ConnectionUsage(usize, Sender<ConnectionUsage>),
}

/// Handle to the clients' thread.
pub struct Clients {
    commands: Sender<ClientCommand>,
    waker: Waker,
    thread: JoinHandle<ClientResults>,
}

impl Clients {
    /// Starts the clients; times are since `base`.
    ///
    /// # Errors
    ///
    /// When the poller or the thread can't be created.
    pub fn start(load: Load, base: Instant) -> io::Result<Self> {
        let poll = Poll::new()?;
        let (waker, (sender, commands)) = (poll.waker(), mpsc::channel());
        let times =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| io::Error::other(e.to_string()))?;
        let client_loop = ClientLoop::new(load, base, poll, commands, times);
        let thread = thread::Builder::new().name("clients".into()).spawn(move || client_loop.run())?;
        Ok(Clients { commands: sender, waker, thread })
    }

    /// Sends a command; without effect once the clients have finished.
    pub fn send(&self, command: ClientCommand) {
        // Fails only after the thread has finished.
        let _ = self.commands.send(command);
        self.waker.wake();
    }

    /// How clients use their connections to a broker; none once they have finished, or if they do not reply
    /// within 1 s.
    pub fn connection_usage(&self, broker: usize) -> Option<ConnectionUsage> {
        let (sender, receiver) = mpsc::channel();
        self.send(ClientCommand::ConnectionUsage(broker, sender));
        receiver.recv_timeout(USAGE_REPLY_TIMEOUT).ok()
    }

    /// Whether all queries have been answered or given up.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the clients to finish and returns their results.
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
enum ClientBehaviour {
    /// It sends its request and waits for the answer.
    Normal,
    /// It disconnects this long after it began its request, answered or not.
    Disconnects(Duration),
    /// It writes the second half of its request this long after the first.
    WritesSlowly(Duration),
    /// It writes the first half, and stays connected for [`STALL_DURATION`].
    Stalls,
}

impl ClientBehaviour {
    /// Draws one of the kinds of misbehaviour.
    fn misbehaving(rng: &mut ChaCha8Rng) -> Self {
        let pause = MAX_MISBEHAVIOUR_DELAY.mul_f64(rng.random());
        match rng.random_range(0..3) {
            0 => ClientBehaviour::Disconnects(pause),
            1 => ClientBehaviour::WritesSlowly(pause),
            _ => ClientBehaviour::Stalls,
        }
    }

    /// Whether it abandons its request, so that the outcome does not count.
    fn abandons_request(self) -> bool {
        matches!(self, ClientBehaviour::Disconnects(_) | ClientBehaviour::Stalls)
    }
}

/// A query that a client wants answered.
#[derive(Clone)]
struct Query {
    behaviour: ClientBehaviour,
    /// When it was due.
    due: Duration,
    /// Its deadline.
    deadline_at: Duration,
    class: usize,
    shards: Vec<u32>,
    statement: String,
    key: String,
    tries: u32,
    /// Brokers that did not accept it.
    not_accepted_by: Vec<usize>,
}

/// A request in flight.
struct Attempt {
    query: Query,
    id: String,
    broker: usize,
    stream: TcpStream,
    /// The bytes of the request.
    request: Vec<u8>,
    written: usize,
    /// How many bytes of the request may be written so far.
    writable: usize,
    /// The bytes of the response so far.
    received: Vec<u8>,
    sent: Duration,
}

/// What happens when a timer expires. A timer's number is also the key of the attempt that it was set for.
enum Timer {
    /// The next query is due.
    NextQuery,
    /// A client retries its query.
    Retry(Box<Query>),
    /// The attempt with the timer's own number is given up.
    Expire,
    /// The client of the attempt with this number disconnects.
    Disconnect(usize),
    /// The client of the attempt with this number writes the rest of its request.
    WriteRest(usize),
}

/// How an attempt ended.
enum AttemptResult {
    /// With a complete response.
    Answered(Response),
    /// The connection failed before the whole request was written.
    NotAccepted,
    /// Without a complete response: the connection was closed, or the client gave up.
    Lost { closed: bool },
}

/// The state of the clients' thread.
struct ClientLoop {
    load: Load,
    base: Instant,
    poll: Poll,
    commands: Receiver<ClientCommand>,
    rng: ChaCha8Rng,
    /// By broker: its address while it is in service.
    front: Vec<Option<SocketAddr>>,
    /// Attempts in flight, by key.
    attempts: HashMap<usize, Attempt>,
    pool: ConnectionPool,
    /// Expiry times and numbers of timers, including cancelled ones.
    timer_queue: BinaryHeap<Reverse<(Duration, usize)>>,
    /// Active timers, by number.
    timers: HashMap<usize, Timer>,
    /// The last number given to a timer or a pooled connection.
    last_key: usize,
    queries_sent: u64,
    /// Queries that have not ended.
    open_queries: usize,
    /// Whether more queries are to come.
    is_generating: bool,
    results: ClientResults,
}

impl ClientLoop {
    fn new(
        load: Load,
        base: Instant,
        poll: Poll,
        commands: Receiver<ClientCommand>,
        times: Histogram<u64>,
    ) -> Self {
        let results = ClientResults {
            outcomes: BTreeMap::new(),
            times,
            unanswered: Vec::new(),
            failed: Vec::new(),
            refused: Vec::new(),
            wrong: Vec::new(),
            lateness: Duration::ZERO,
        };
        let front = vec![None; load.weights.len()];
        let rng = ChaCha8Rng::seed_from_u64(load.seed);
        let (attempts, timer_queue, timers) = (HashMap::new(), BinaryHeap::new(), HashMap::new());
        let mut client_loop = ClientLoop {
            load,
            base,
            poll,
            commands,
            rng,
            front,
            attempts,
            pool: ConnectionPool::default(),
            timer_queue,
            timers,
            last_key: 0,
            queries_sent: 0,
            open_queries: 0,
            is_generating: true,
            results,
        };
        client_loop.set_timer(client_loop.load.start, Timer::NextQuery);
        client_loop
    }

    /// Sets a timer and returns its number.
    fn set_timer(&mut self, at: Duration, timer: Timer) -> usize {
        self.last_key += 1;
        self.timer_queue.push(Reverse((at, self.last_key)));
        self.timers.insert(self.last_key, timer);
        self.last_key
    }

    fn run(mut self) -> ClientResults {
        let mut ready: Vec<Ready> = Vec::new();
        while self.is_generating || self.open_queries > 0 {
            let pause =
                self.timer_queue.peek().map(|Reverse((at, _))| at.saturating_sub(self.base.elapsed()));
            if self.poll.wait(pause, &mut ready).is_err() {
                break;
            }
            while let Ok(command) = self.commands.try_recv() {
                self.handle_command(command);
            }
            for report in std::mem::take(&mut ready) {
                self.on_ready(report.key);
            }
            let now = self.base.elapsed();
            while let Some(Reverse((at, id))) = self.timer_queue.peek().copied().filter(|due| due.0.0 <= now)
            {
                self.timer_queue.pop();
                match self.timers.remove(&id) {
                    Some(Timer::NextQuery) => self.start_query(at),
                    Some(Timer::Retry(query)) => self.start_attempt(*query),
                    Some(Timer::Expire) => self.finish_attempt(id, AttemptResult::Lost { closed: false }),
                    Some(Timer::Disconnect(key)) => self.disconnect(key),
                    Some(Timer::WriteRest(key)) => self.write_rest(key),
                    None => {}
                }
            }
        }
        self.results
    }

    fn handle_command(&mut self, command: ClientCommand) {
        match command {
            ClientCommand::SetBroker(broker, at) => self.front[broker] = at,
            ClientCommand::ConnectionUsage(broker, sender) => {
                // Fails if the caller has stopped waiting.
                let _ = sender.send(self.pool.usage(&self.poll, broker));
            }
        }
    }

    fn outcome_counts(&mut self, query: &Query) -> &mut OutcomeCounts {
        self.results.outcomes.entry(query.due.as_secs()).or_default()
    }

    /// Starts a query that is due, and sets the timer for the next one.
    fn start_query(&mut self, at: Duration) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
        let next = at + Duration::from_secs_f64(gap);
        if next < self.load.start + self.load.duration {
            self.set_timer(next, Timer::NextQuery);
        } else {
            self.is_generating = false;
        }
        self.queries_sent += 1;
        let draw = self.rng.random::<f64>() * self.load.classes.iter().map(|c| c.share).sum::<f64>();
        let mut sum = 0.0;
        let class = self.load.classes.iter().position(|class| {
            sum += class.share;
            draw < sum
        });
        let class = class.unwrap_or(0);
        let count = self.load.parts.min(self.load.blocks as usize) as u32;
        // Adjacent blocks, as a map window requests them.
        let first = self.rng.random_range(0..self.load.blocks);
        let shards = (0..count).map(|n| (first + n) % self.load.blocks).collect();
        let is_misbehaving =
            self.load.misbehaving_share > 0.0 && self.rng.random::<f64>() < self.load.misbehaving_share;
        let query = Query {
            behaviour: if is_misbehaving {
                ClientBehaviour::misbehaving(&mut self.rng)
            } else {
                ClientBehaviour::Normal
            },
            due: at,
            deadline_at: at + self.load.classes[class].deadline,
            class,
            shards,
            statement: format!("{:08x}", self.rng.random::<u32>()),
            key: format!("{:016x}{:016x}", self.load.seed, self.queries_sent),
            tries: 0,
            not_accepted_by: Vec::new(),
        };
        self.open_queries += 1;
        self.outcome_counts(&query).offered += 1;
        self.results.lateness = self.results.lateness.max(self.base.elapsed().saturating_sub(at));
        self.start_attempt(query);
    }

    /// Chooses a broker for a query: one that the front has in service, or to which a pooled connection is
    /// idle. Brokers that have not accepted the query come last.
    fn choose_broker(&mut self, query: &Query) -> Option<usize> {
        let available: Vec<usize> =
            (0..self.front.len()).filter(|b| self.front[*b].is_some() || self.pool.has_idle(*b)).collect();
        let untried: Vec<_> =
            available.iter().copied().filter(|b| !query.not_accepted_by.contains(b)).collect();
        let from = if untried.is_empty() { available } else { untried };
        let weights: f64 = from.iter().map(|b| self.load.weights[*b]).sum();
        let mut draw = self.rng.random::<f64>() * weights;
        let chosen = from.iter().find(|b| {
            draw -= self.load.weights[**b];
            draw < 0.0
        });
        chosen.or(from.last()).copied()
    }

    /// A connection for a request, registered with the poller under the key: an idle pooled one, or else a
    /// new one.
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

    fn start_attempt(&mut self, mut query: Query) {
        let now = self.base.elapsed();
        query.tries += 1;
        let left = query.deadline_at.saturating_sub(now);
        // Closed connections are removed first, so that no broker is chosen because of one.
        self.pool.remove_closed(&self.poll);
        let Some(broker) = self.choose_broker(&query) else { return self.not_accepted(query, None) };
        let class = &self.load.classes[query.class];
        let query_id = match class.retry_safety {
            RetrySafety::Unsafe => format!("{UNSAFE_QUERY_PREFIX}{}", query.key),
            RetrySafety::Safe | RetrySafety::Keyed => self.queries_sent.to_string(),
        };
        let id = format!("b{broker}-{query_id}-{}-{}", query.tries, self.last_key);
        let share = 1.0 / query.shards.len() as f64;
        let tablets: Vec<String> =
            query.shards.iter().map(|s| format!("{{\"tablet\":{s},\"fraction\":{share}}}")).collect();
        let body = format!("{{\"tablets\":[{}],\"statement\":\"{}\"}}", tablets.join(","), query.statement);
        let keyed = class.retry_safety == RetrySafety::Keyed;
        let key = if keyed { format!("Idempotency-Key: {}\r\n", query.key) } else { String::new() };
        let retried = if query.tries > 1 { "X-Retried: 1\r\n" } else { "" };
        let connection = if self.load.pooled { "" } else { "Connection: close\r\n" };
        let request = format!(
            "POST /{} HTTP/1.1\r\nHost: b{broker}\r\nX-Request-ID: {id}\r\nX-Timeout: {}u\r\n{key}{retried}\
             {connection}Content-Length: {}\r\n\r\n{body}",
            class.name,
            left.as_micros().max(1),
            body.len()
        );
        let expire = (query.deadline_at + ANSWER_GRACE).max(now);
        let key = self.set_timer(expire, Timer::Expire);
        let Ok(stream) = self.connection(broker, key) else {
            self.timers.remove(&key);
            return self.not_accepted(query, Some(broker));
        };
        self.pool.record_request(broker, now);
        let (request, received) = (request.into_bytes(), Vec::new());
        let writable = match query.behaviour {
            ClientBehaviour::Normal | ClientBehaviour::Disconnects(_) => request.len(),
            ClientBehaviour::WritesSlowly(_) | ClientBehaviour::Stalls => request.len() / 2,
        };
        match query.behaviour {
            ClientBehaviour::Normal => {}
            ClientBehaviour::Disconnects(pause) => drop(self.set_timer(now + pause, Timer::Disconnect(key))),
            ClientBehaviour::WritesSlowly(pause) => drop(self.set_timer(now + pause, Timer::WriteRest(key))),
            ClientBehaviour::Stalls => {
                self.set_timer(now + STALL_DURATION, Timer::Disconnect(key));
            }
        }
        let written = 0;
        self.attempts.insert(
            key,
            Attempt { query, id, broker, stream, request, written, writable, received, sent: now },
        );
    }

    /// Closes the connection of a client that abandons its request.
    fn disconnect(&mut self, key: usize) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        self.timers.remove(&key);
        self.poll.remove(&attempt.stream);
        self.outcome_counts(&attempt.query).left += 1;
        self.open_queries -= 1;
    }

    /// Lets a client that writes slowly write the rest of its request.
    fn write_rest(&mut self, key: usize) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.writable = attempt.request.len();
            self.on_ready(key);
        }
    }

    /// Handles a connection that was not accepted: the client retries at once at another broker, or in 100 ms
    /// where no broker is in service.
    fn not_accepted(&mut self, mut query: Query, broker: Option<usize>) {
        self.outcome_counts(&query).not_taken += 1;
        let now = self.base.elapsed();
        let refusal = broker.map(|broker| Refusal { at: now, broker, status: None });
        self.results.refused.extend(refusal);
        let retry_at = if broker.is_some() { now } else { now + Duration::from_millis(100) };
        query.not_accepted_by.extend(broker);
        // While no broker is in service, clients retry until their deadline; such retries do not count as
        // tries.
        if retry_at < query.deadline_at && (broker.is_none() || query.tries < MAX_TRIES) {
            query.tries -= u32::from(broker.is_none());
            self.set_timer(retry_at, Timer::Retry(Box::new(query)));
        } else {
            self.outcome_counts(&query).refused += 1;
            self.open_queries -= 1;
        }
    }

    fn on_ready(&mut self, key: usize) {
        if self.pool.remove_reported(&self.poll, key) {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        match attempt.advance() {
            Ok(None) => {
                let write = attempt.written < attempt.writable;
                if self.poll.rearm(&attempt.stream, key, true, write).is_err() {
                    self.finish_attempt(key, AttemptResult::Lost { closed: true });
                }
            }
            Ok(Some(response)) => self.finish_attempt(key, AttemptResult::Answered(response)),
            // A request that was not written in full can't have been accepted.
            Err(_) if attempt.written < attempt.request.len() => {
                self.finish_attempt(key, AttemptResult::NotAccepted)
            }
            Err(_) => self.finish_attempt(key, AttemptResult::Lost { closed: true }),
        }
    }

    fn finish_attempt(&mut self, key: usize, result: AttemptResult) {
        if self.attempts.get(&key).is_some_and(|attempt| attempt.query.behaviour.abandons_request()) {
            return self.disconnect(key);
        }
        let Some(attempt) = self.attempts.remove(&key) else { return };
        self.timers.remove(&key);
        let now = self.base.elapsed();
        let Attempt { query, id, broker, stream, sent, .. } = attempt;
        match &result {
            AttemptResult::Answered(response) if self.load.pooled && response.keep_alive => {
                self.last_key += 1;
                self.pool.insert(&self.poll, self.last_key, broker, stream);
            }
            _ => self.poll.remove(&stream),
        }
        let class = self.load.classes[query.class].clone();
        match result {
            AttemptResult::NotAccepted => return self.not_accepted(query, Some(broker)),
            AttemptResult::Lost { closed } => {
                self.results.unanswered.push(Unanswered { id, broker, sent, ended: now, closed });
                let counts = self.outcome_counts(&query);
                counts.lost += 1;
                counts.closed += u32::from(closed);
            }
            AttemptResult::Answered(Response { status: 200, body, .. }) => {
                match check_answer(&query, &body, class.min_share) {
                    Ok(complete) => {
                        let took = now.saturating_sub(query.due);
                        let _ = self.results.times.record(took.as_micros().max(1) as u64);
                        let counts = self.outcome_counts(&query);
                        match (complete, took) {
                            (_, took) if took > class.deadline => counts.lost += 1,
                            (false, _) => counts.partial += 1,
                            (true, took) if took <= class.aim => counts.in_time += 1,
                            (true, _) => counts.late += 1,
                        }
                    }
                    Err(problem) => {
                        self.results.wrong.push((now, format!("{id}: {problem}")));
                        self.outcome_counts(&query).failed += 1;
                    }
                }
            }
            AttemptResult::Answered(Response { status: status @ (429 | 503), retry_after, .. }) => {
                self.results.refused.push(Refusal { at: now, broker, status: Some(status) });
                self.outcome_counts(&query).refusals += 1;
                let retry_at = now + retry_after.unwrap_or(Duration::from_millis(200));
                if retry_at < query.deadline_at && query.tries < MAX_TRIES {
                    self.set_timer(retry_at, Timer::Retry(Box::new(query)));
                    return;
                }
                self.outcome_counts(&query).refused += 1;
            }
            AttemptResult::Answered(_) => {
                self.results.failed.push(FailedRequest { id, at: now });
                self.outcome_counts(&query).failed += 1;
            }
        }
        self.open_queries -= 1;
    }
}

impl Attempt {
    /// Writes and reads as much as possible without blocking. Returns the response once it is complete.
    fn advance(&mut self) -> io::Result<Option<Response>> {
        while self.written < self.writable {
            match self.stream.write(&self.request[self.written..self.writable]) {
                Ok(written) => self.written += written,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
        }
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => self.received.extend_from_slice(&buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
            if let Some(response) = parse_response(&self.received)? {
                return Ok(Some(response));
            }
        }
    }
}
