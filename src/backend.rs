//! Tile servers: attempts at them, over the few connections that carry their frames.

mod cancel;
mod connect_time;
mod connection;
mod connection_losses;
mod frame;
mod liveness;
mod selection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use self::cancel::{GIVE_UP_READ_WITHIN, HeldOutcome};
use self::connect_time::ConnectTime;
use self::connection::{CarriedPart, Connection};
use self::connection_losses::ConnectionLosses;
use self::frame::{Frame, read_answer, read_report};
use self::liveness::QUIET_PART;
use crate::config::settings::SiteSettings;
use crate::core::{AttemptId, SendAttempt};
use crate::interface::{LoadReport, RetrySafety, ServerId, Time, Verdict};
use crate::net::{Net, TimerEvent};

/// The result of an attempt or a probe.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The result of an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        verdict: Verdict,
        /// The value that the server returned, if it served the part.
        value: Option<String>,
        /// The load report that came with the response.
        load: LoadReport,
    },
    /// The result of a probe.
    Probe {
        /// The server that was probed.
        server: ServerId,
        /// The outcome of the probe.
        verdict: Verdict,
        /// Time from queueing the probe to its response; zero if there was none.
        round_trip: Duration,
        /// The load report that came with the response.
        load: LoadReport,
    },
}

/// How far a call of [`Backend::flush`] came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushStatus {
    /// All was written that the sockets take.
    Complete,
    /// A write took long, and others wait.
    Yielded,
}

struct Server {
    address: SocketAddr,
    /// Whether it may be sent anything new.
    open: bool,
    connections: Vec<usize>,
    /// When the youngest part that it has answered was written.
    answered: Time,
    losses: ConnectionLosses,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClosedBy {
    /// This broker.
    Broker,
    /// Its server or the network: it was reset or closed, or could not be written.
    Peer,
}

/// All connections to tile servers.
pub struct Backend {
    settings: Arc<SiteSettings>,
    most: usize,
    /// No connection is in doubt that has said something so short a time ago, whatever class waits on it.
    least_quiet: Duration,
    servers: HashMap<ServerId, Server>,
    connections: HashMap<usize, Connection>,
    /// Which connection answers for an attempt.
    attempts: HashMap<AttemptId, usize>,
    unflushed: Vec<usize>,
    step: u64,
    /// How long connections take to come up.
    setup: ConnectTime,
    /// Connections that were probed for their silence, and those of them that were dead; both are halved now and then.
    probed: [f64; 2],
    /// Attempts whose last byte was written since this was last taken.
    relayed: u64,
    /// What has ended and has not been taken yet.
    pub completions: Vec<Completion>,
    /// The time of the latest call that told it.
    now: Time,
    /// Outcomes of attempts that were given up, until their servers have heard so.
    held_outcomes: Vec<HeldOutcome>,
    /// When the wheel brings the next look at them.
    held_outcomes_due: Option<Time>,
    /// Parts that may have run, by their id on the wire, whose connection ended: when, whether they had
    /// been given up before, and who ended it. Kept for the longest deadline, and only while debug lines
    /// are written: the probe of the rule on second copies reads it.
    closed: HashMap<String, (Time, bool, ClosedBy)>,
}

impl Backend {
    /// No connections yet, and `most` of them at any time.
    pub fn new(settings: Arc<SiteSettings>, most: usize) -> Self {
        let aim = settings.router.shortest_aim();
        Backend {
            least_quiet: aim / QUIET_PART,
            setup: ConnectTime::for_aim(aim, settings.connect_timeout),
            settings,
            most,
            servers: HashMap::new(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
            unflushed: Vec::new(),
            step: 0,
            probed: [0.0; 2],
            relayed: 0,
            completions: Vec::new(),
            now: Time(0),
            held_outcomes: Vec::new(),
            held_outcomes_due: None,
            closed: HashMap::new(),
        }
    }

    /// A server may be sent to at this address; connections to an older one get nothing new.
    pub fn enable_server(&mut self, server: ServerId, address: SocketAddr) {
        let known = self.servers.entry(server).or_insert_with(|| Server {
            address,
            open: true,
            connections: Vec::new(),
            answered: Time(0),
            losses: ConnectionLosses::default(),
        });
        (known.address, known.open) = (address, true);
    }

    /// A server may be sent nothing new: what is queued and not begun comes back unsent. A send counts
    /// from its first byte, so a frame that was begun is finished.
    pub fn disable_server(&mut self, server: ServerId) {
        let Some(state) = self.servers.get_mut(&server) else { return };
        state.open = false;
        for key in state.connections.clone() {
            let Some(connection) = self.connections.get_mut(&key) else { continue };
            connection.unencode();
            for frame in std::mem::take(&mut connection.waiting) {
                match frame {
                    Frame::Query(parts) => {
                        for (name, send) in parts {
                            connection.parts.remove(&name);
                            finish(
                                &mut self.attempts,
                                &mut self.completions,
                                send.attempt,
                                Verdict::NoConnection,
                            );
                        }
                    }
                    Frame::Probe => drop(connection.probes.pop_back()),
                    // Word that a part is given up is nothing new, and still of use.
                    Frame::Cancel(name) => connection.waiting.push_back(Frame::Cancel(name)),
                }
            }
        }
    }

    /// How many attempts were written whole since this was last asked.
    pub fn take_relayed(&mut self) -> u64 {
        std::mem::take(&mut self.relayed)
    }

    /// Queues an attempt; it is written by [`Backend::flush`].
    pub fn send(&mut self, net: &mut Net, now: Time, send: SendAttempt) {
        self.now = self.now.max(now);
        let name = format!("{}.{}", send.query, send.shard);
        let Some(key) = self.connection_for(net, now, send.server, &name) else {
            self.completions.push(Completion::Attempt {
                attempt: send.attempt,
                verdict: Verdict::NoConnection,
                value: None,
                load: LoadReport::default(),
            });
            return;
        };
        let (attempt, quiet, step) = (send.attempt, send.aim / QUIET_PART, self.step);
        if attempt.1 > 0 && tracing::enabled!(tracing::Level::DEBUG) {
            self.log_repeat(now, &name, key);
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection
            .parts
            .insert(name.clone(), CarriedPart { attempt, quiet, written: None, abandoned: None, told: None });
        self.attempts.insert(attempt, key);
        let batch = self.settings.router.batch as usize;
        match connection.waiting.back_mut() {
            Some(Frame::Query(parts)) if connection.step == step && parts.len() < batch => {
                parts.push((name, send))
            }
            _ => {
                connection.waiting.push_back(Frame::Query(vec![(name, send)]));
                if let Some(server) = self.servers.get_mut(&connection.server) {
                    server.losses.calls += 1.0;
                }
            }
        }
        connection.step = step;
        self.unflushed.push(key);
    }

    /// Logs a part that goes out again while word that an earlier attempt of it was given up may not have
    /// reached its server: that word waits to be written, waits behind a full connection, or was written a
    /// moment ago on another connection. A probe of the rule on second copies; it decides nothing.
    fn log_repeat(&mut self, now: Time, name: &str, key: usize) {
        for (other, connection) in &self.connections {
            let Some(part) = connection.parts.get(name).filter(|_| *other != key) else { continue };
            let Some(abandoned) = part.abandoned.filter(|_| part.written.is_some()) else { continue };
            let told_ms = part.told.map(|told| now.since(told).as_secs_f64() * 1e3);
            let waiting = connection.outbox.len() + connection.waiting.len();
            tracing::debug!(
                "again: {name} goes out again {:.3} ms after it was given up; word of that written {}, \
                 {waiting} frames wait on its connection, {} parts are on it",
                now.since(abandoned).as_secs_f64() * 1e3,
                told_ms.map_or("not yet".to_string(), |ms| format!("{ms:.3} ms ago")),
                connection.parts.len(),
            );
        }
        if let Some((at, abandoned, ended)) = self.closed.remove(name) {
            tracing::debug!(
                "again: {name} goes out again {:.3} ms after its connection was ended {}{}",
                now.since(at).as_secs_f64() * 1e3,
                match ended {
                    ClosedBy::Broker => "here",
                    ClosedBy::Peer => "by its server or the network",
                },
                if abandoned { ", given up before" } else { "" },
            );
        }
    }

    /// Sends a probe; its result comes like any other.
    pub fn probe(&mut self, net: &mut Net, now: Time, server: ServerId) {
        match self.connection_for(net, now, server, "") {
            Some(key) => {
                if let Some(connection) = self.connections.get_mut(&key) {
                    connection.waiting.push_back(Frame::Probe);
                    connection.probes.push_back(now);
                }
                self.unflushed.push(key);
            }
            None => {
                self.completions.push(Completion::Probe {
                    server,
                    verdict: Verdict::NoConnection,
                    round_trip: Duration::ZERO,
                    load: LoadReport::default(),
                });
            }
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, net: &Net, server: ServerId) {
        let connections = self.servers.get(&server).map(|s| s.connections.clone()).unwrap_or_default();
        for key in connections {
            if self.connections.get(&key).is_some_and(Connection::is_idle) {
                self.drop_connection(net, key, ClosedBy::Broker);
            }
        }
    }

    /// Writes what was queued; the step's frames are complete with this. Where a write has taken long, what is left is
    /// written by the next call: a client may have gone meanwhile, or a server have begun to drain.
    pub fn flush(&mut self, net: &mut Net, now: Time) -> FlushStatus {
        self.now = self.now.max(now);
        self.step += 1;
        let mut unflushed = std::mem::take(&mut self.unflushed).into_iter();
        let mut flushed = FlushStatus::Complete;
        while flushed == FlushStatus::Complete
            && let Some(key) = unflushed.next()
        {
            let Some(connection) = self.connections.get_mut(&key).filter(|connection| connection.connected)
            else {
                continue;
            };
            let result = connection.write(now, &net.clock, &self.settings);
            self.relayed += std::mem::take(&mut connection.relayed);
            self.finish_late(key);
            match result {
                Ok(()) => self.ask(net, key, false),
                Err(_) => self.drop_connection(net, key, ClosedBy::Peer),
            }
            if unflushed.len() > 0 && net.clock.is_stale(now) {
                flushed = FlushStatus::Yielded;
            }
        }
        self.unflushed.extend(unflushed);
        self.release(net, now);
        flushed
    }

    /// Attempts that were left out of what was written, as they may not begin any more.
    fn finish_late(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        for attempt in std::mem::take(&mut connection.late) {
            finish(&mut self.attempts, &mut self.completions, attempt, Verdict::NotSent);
        }
    }

    /// Does what a connection is ready for. Gives whether the key is one of a connection here.
    pub fn on_ready(&mut self, net: &mut Net, now: Time, key: usize, readable: bool) -> bool {
        self.now = self.now.max(now);
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        let mut result = Ok(());
        if !connection.connected {
            result = crate::net::is_connected(&connection.stream).map(|up| connection.connected = up);
            if connection.connected {
                self.setup.learn(now.since(connection.last_used));
            }
            connection.last_used = now;
        }
        if result.is_ok() && connection.connected {
            result = connection.write(now, &net.clock, &self.settings);
            self.relayed += std::mem::take(&mut connection.relayed);
            // What came before the end counts, so reading goes on where writing failed.
            if readable || result.is_err() {
                result = result.and(connection.read(now));
            }
        }
        self.finish_late(key);
        let Some(connection) = self.connections.get_mut(&key) else { return true };
        let (server, begun) = (connection.server, connection.begun);
        let (frames, mut sound) = connection.frames();
        connection.begun = if connection.bytes.is_empty() {
            None
        } else {
            begun.filter(|_| frames.is_empty()).or(Some(now))
        };
        if connection.begun.is_some() && connection.begun != begun {
            net.timers.arm(now.after(self.stall()), TimerEvent::ResponseStalled(key));
        }
        // What came whole before the fault counts; behind it nothing can be told apart any more.
        for frame in &frames {
            if !self.answer(now, key, server, frame) {
                sound = false;
                break;
            }
        }
        if !sound {
            tracing::warn!("an answer could not be read: its connection ends");
        }
        match (result, sound) {
            (Ok(()), true) => self.ask(net, key, true),
            (Err(_), _) => self.drop_connection(net, key, ClosedBy::Peer),
            (Ok(()), false) => self.drop_connection(net, key, ClosedBy::Broker),
        }
        true
    }

    /// How long a frame that was begun may take to be whole.
    fn stall(&self) -> Duration {
        self.settings.connect_timeout.min(self.least_quiet * 2)
    }

    /// A frame that was begun should be whole by now: a server writes each at once, so one that stays
    /// unfinished has a length that does not fit, and would swallow all answers behind it.
    pub fn on_response_stalled(&mut self, net: &Net, now: Time, key: usize) {
        self.now = self.now.max(now);
        let limit = now.before(self.stall());
        let begun = self.connections.get(&key).and_then(|connection| connection.begun);
        if begun.is_some_and(|begun| begun <= limit) {
            tracing::warn!("an answer did not end: its connection ends");
            self.drop_connection(net, key, ClosedBy::Broker);
        }
    }

    /// The time for a connection to come up is over.
    pub fn on_connect_timeout(&mut self, net: &Net, key: usize) {
        if self.connections.get(&key).is_some_and(|connection| !connection.connected) {
            self.drop_connection(net, key, ClosedBy::Broker);
        }
    }

    /// Closes connections that stood idle for long, or that lead to an address of old.
    pub fn sweep(&mut self, net: &Net, now: Time) {
        self.now = self.now.max(now);
        // What a server has swallowed would else count against the connection's streams for good.
        let long_ago =
            now.before(self.settings.router.classes.iter().map(|c| c.deadline).max().unwrap_or_default());
        for connection in self.connections.values_mut() {
            connection.retired |=
                connection.parts.values().any(|p| p.abandoned.is_some_and(|at| at < long_ago));
        }
        let stale = |(key, connection): (&usize, &Connection)| {
            let gone = connection.retired
                || self
                    .servers
                    .get(&connection.server)
                    .is_none_or(|s| !s.open || s.address != connection.address);
            (connection.is_idle() && (gone || self.is_stale(connection, now))).then_some(*key)
        };
        for key in self.connections.iter().filter_map(stale).collect::<Vec<_>>() {
            self.drop_connection(net, key, ClosedBy::Broker);
        }
        self.servers.retain(|_, server| server.open || !server.connections.is_empty());
        self.closed.retain(|_, (at, _, _)| *at >= long_ago);
    }

    /// Asks the poller for what a connection waits for.
    fn ask(&mut self, net: &Net, key: usize, reported: bool) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let write = connection.wants_write();
        if reported || write != connection.asked_write {
            connection.asked_write = write;
            if net.poll.rearm(&connection.stream, key, true, write).is_err() {
                self.drop_connection(net, key, ClosedBy::Broker);
            }
        }
    }

    /// Ends a connection. Whether a part's last byte was written decides if it may have run.
    fn drop_connection(&mut self, net: &Net, key: usize, closed_by: ClosedBy) {
        let Some(connection) = self.connections.remove(&key) else { return };
        net.poll.remove(&connection.stream);
        drop(connection.stream);
        // As with writes: the close is known to have happened only now, however old the loop's reading is.
        let closed = self.now.max(net.clock.now());
        if let Some(server) = self.servers.get_mut(&connection.server) {
            server.connections.retain(|k| *k != key);
            let lost =
                connection.parts.values().any(|part| part.written.is_some() && part.abandoned.is_none());
            server.losses.ends += f64::from(u8::from(lost));
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            for (name, part) in connection.parts.iter().filter(|(_, part)| part.written.is_some()) {
                self.closed.insert(name.clone(), (self.now, part.abandoned.is_some(), closed_by));
            }
        }
        let mut parts: Vec<(String, CarriedPart)> =
            connection.parts.into_iter().filter(|(_, part)| part.abandoned.is_none()).collect();
        parts.sort_by_key(|(_, part)| part.attempt);
        // Closing here is word that all on it are given up, which its server has yet to read.
        let heard = closed.after(GIVE_UP_READ_WITHIN);
        if closed_by == ClosedBy::Broker {
            for held in self.held_outcomes.iter_mut().filter(|held| held.key == key) {
                held.due = held.due.max(heard);
            }
        }
        for (name, part) in parts {
            if part.written.is_none() {
                finish(&mut self.attempts, &mut self.completions, part.attempt, Verdict::NoConnection);
            } else if closed_by == ClosedBy::Peer {
                finish(&mut self.attempts, &mut self.completions, part.attempt, Verdict::ConnectionLost);
            } else {
                self.hold(part.attempt, Verdict::ConnectionLost, key, name, heard);
            }
        }
        for _ in connection.probes {
            let verdict = if connection.connected { Verdict::ConnectionLost } else { Verdict::NoConnection };
            self.completions.push(Completion::Probe {
                server: connection.server,
                verdict,
                round_trip: Duration::ZERO,
                load: LoadReport::default(),
            });
        }
    }

    /// Takes one frame from a server. Gives whether it made sense: the part that a spoilt one answers can't be
    /// told, so all that are out on the connection have failed.
    fn answer(&mut self, now: Time, key: usize, server: ServerId, frame: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        match frame.split_first() {
            Some((b'a', rest)) => {
                let Some((name, verdict, value, load)) = read_answer(rest) else { return false };
                // One that has not been written whole can't be answered.
                let Some((part, written)) = connection.parts.get(name).and_then(|p| Some((p, p.written?)))
                else {
                    return name == connection.answered;
                };
                if let Some(server) = self.servers.get_mut(&server) {
                    server.answered = server.answered.max(written);
                }
                // One that was given up is disregarded: its attempt has had its outcome.
                if part.abandoned.is_none() && self.attempts.remove(&part.attempt).is_some() {
                    self.completions.push(Completion::Attempt {
                        attempt: part.attempt,
                        verdict,
                        value,
                        load,
                    });
                }
                connection.parts.remove(name);
                name.clone_into(&mut connection.answered);
            }
            Some((b'p' | b'l', rest)) => {
                let Some(sent) = connection.probes.pop_front() else { return false };
                if let Some(server) = self.servers.get_mut(&server) {
                    server.answered = server.answered.max(sent);
                }
                let (verdict, load) = match rest {
                    b"broke" => (Verdict::Error, LoadReport::default()),
                    report => (Verdict::Served, read_report(&String::from_utf8_lossy(report))),
                };
                self.completions.push(Completion::Probe {
                    server,
                    verdict,
                    round_trip: now.since(sent),
                    load,
                });
            }
            Some((b'e', words)) => {
                tracing::warn!("a frame was not understood: {}", String::from_utf8_lossy(words));
            }
            _ => return false,
        }
        true
    }

    /// How many connections there are.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }
}

fn finish(
    attempts: &mut HashMap<AttemptId, usize>,
    done: &mut Vec<Completion>,
    attempt: AttemptId,
    verdict: Verdict,
) {
    if attempts.remove(&attempt).is_some() {
        done.push(Completion::Attempt { attempt, verdict, value: None, load: LoadReport::default() });
    }
}

/// Whether a class's parts carry the query's idempotency key.
pub fn is_keyed(effect: RetrySafety) -> bool {
    matches!(effect, RetrySafety::Keyed(_))
}

#[cfg(test)]
mod tests;
