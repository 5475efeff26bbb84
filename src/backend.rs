//! Connections to tile servers, and the attempts and probes that they carry.

mod cancel;
mod connect_time;
mod connection;
mod connection_losses;
mod frame;
mod frame_reader;
mod liveness;
mod response_error;
mod responses;
mod selection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use self::cancel::AbortCounts;
use self::cancel::{CANCEL_READ_ALLOWANCE, WithheldOutcome};
use self::connect_time::ConnectTime;
use self::connection::{Connection, PartState};
use self::connection_losses::ConnectionLosses;
use self::frame::Frame;
use self::liveness::{ProbeCounts, SILENCE_LIMIT_AIM_DIVISOR};
pub use self::response_error::MalformedCounts;
use crate::config::settings::SiteSettings;
use crate::core::{AttemptId, SendAttempt};
use crate::interface::{LoadReport, RetrySafety, ServerId, Time, Verdict};
use crate::net::Net;

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

/// Result of a call of [`Backend::flush`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushStatus {
    /// Everything that the sockets accept is written.
    Complete,
    /// A write took long, and other connections are still to be written.
    Yielded,
}

struct Server {
    address: SocketAddr,
    /// Whether it may be sent anything new.
    enabled: bool,
    connections: Vec<usize>,
    /// When the latest of the parts that it has answered was written, or of the probes was queued.
    last_answered_written: Time,
    losses: ConnectionLosses,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClosedBy {
    /// This broker.
    Broker,
    /// The server or the network: the connection was reset or closed, or could not be written.
    Peer,
}

/// A part that may have run and whose connection ended.
struct ClosedPart {
    closed_at: Time,
    /// Whether it was cancelled before.
    was_cancelled: bool,
    closed_by: ClosedBy,
}

/// All connections to tile servers.
pub struct Backend {
    settings: Arc<SiteSettings>,
    max_connections: usize,
    /// The shortest silence limit of any class: a connection with a shorter silence is not suspect.
    min_silence_limit: Duration,
    servers: HashMap<ServerId, Server>,
    connections: HashMap<usize, Connection>,
    /// The connection that carries each attempt.
    attempts: HashMap<AttemptId, usize>,
    /// Connections with something queued since the last flush.
    unflushed: Vec<usize>,
    /// Silent connections on which a part with an effect was cancelled; the next flush aborts them.
    to_abort: Vec<usize>,
    step: u64,
    connect_time: ConnectTime,
    probe_counts: ProbeCounts,
    /// Attempts written completely since this was last taken.
    relayed: u64,
    /// Connections aborted since this was last taken.
    aborts: AbortCounts,
    /// Connections closed because of malformed responses since this was last taken.
    malformed: MalformedCounts,
    /// Results that have not been collected yet.
    pub completions: Vec<Completion>,
    /// The latest time passed to any call.
    now: Time,
    /// Outcomes of cancelled attempts whose servers have not had time to read the cancellation.
    withheld_outcomes: Vec<WithheldOutcome>,
    /// When the timer that releases withheld outcomes is due.
    withheld_timer: Option<Time>,
    /// Parts that may have run, by their id on the wire, whose connection ended. Kept for the longest
    /// deadline, and only while debug logging is on, for the log line about resent parts.
    closed_parts: HashMap<String, ClosedPart>,
}

impl Backend {
    /// Creates the state without connections; there are at most `max_connections` at any time.
    pub fn new(settings: Arc<SiteSettings>, max_connections: usize) -> Self {
        let aim = settings.router.shortest_aim();
        Backend {
            min_silence_limit: aim / SILENCE_LIMIT_AIM_DIVISOR,
            connect_time: ConnectTime::for_aim(aim, settings.connect_timeout),
            settings,
            max_connections,
            servers: HashMap::new(),
            connections: HashMap::new(),
            attempts: HashMap::new(),
            unflushed: Vec::new(),
            to_abort: Vec::new(),
            step: 0,
            probe_counts: ProbeCounts::default(),
            relayed: 0,
            aborts: AbortCounts::default(),
            malformed: MalformedCounts::default(),
            completions: Vec::new(),
            now: Time(0),
            withheld_outcomes: Vec::new(),
            withheld_timer: None,
            closed_parts: HashMap::new(),
        }
    }

    /// Allows sending to a server at this address; connections to a previous address carry nothing new.
    pub fn enable_server(&mut self, server: ServerId, address: SocketAddr) {
        let state = self.servers.entry(server).or_insert_with(|| Server {
            address,
            enabled: true,
            connections: Vec::new(),
            last_answered_written: Time(0),
            losses: ConnectionLosses::default(),
        });
        (state.address, state.enabled) = (address, true);
    }

    /// Stops sending anything new to a server: queued attempts of which nothing is written complete as never
    /// sent. An attempt counts as sent from its first byte, so a partially written frame is finished.
    pub fn disable_server(&mut self, server: ServerId) {
        let Some(state) = self.servers.get_mut(&server) else { return };
        state.enabled = false;
        for key in state.connections.clone() {
            let Some(connection) = self.connections.get_mut(&key) else { continue };
            connection.requeue_unwritten();
            for frame in std::mem::take(&mut connection.queued) {
                match frame {
                    Frame::Query(parts) => {
                        for (wire_id, send) in parts {
                            connection.parts.remove(&wire_id);
                            complete(
                                &mut self.attempts,
                                &mut self.completions,
                                send.attempt,
                                Verdict::NoConnection,
                            );
                        }
                    }
                    Frame::Probe => drop(connection.probes.pop_back()),
                    // A cancellation is not new work, and still useful.
                    Frame::Cancel(wire_id) => connection.queued.push_back(Frame::Cancel(wire_id)),
                }
            }
        }
    }

    /// Returns the number of attempts written completely since the last call.
    pub fn take_relayed(&mut self) -> u64 {
        std::mem::take(&mut self.relayed)
    }

    /// Queues an attempt; [`Backend::flush`] writes it.
    pub fn send(&mut self, net: &mut Net, now: Time, send: SendAttempt) {
        self.now = self.now.max(now);
        let wire_id = format!("{}.{}", send.query, send.shard);
        let Some(key) = self.connection_for(net, now, send.server, &wire_id) else {
            self.completions.push(Completion::Attempt {
                attempt: send.attempt,
                verdict: Verdict::NoConnection,
                value: None,
                load: LoadReport::default(),
            });
            return;
        };
        let (attempt, silence_limit, step) = (send.attempt, send.aim / SILENCE_LIMIT_AIM_DIVISOR, self.step);
        if attempt.1 > 0 && tracing::enabled!(tracing::Level::DEBUG) {
            self.log_resend(now, &wire_id, key);
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let part = PartState {
            attempt,
            silence_limit,
            has_effect: send.retry_safety != RetrySafety::Safe,
            written_at: None,
            cancelled_at: None,
            cancel_written_at: None,
        };
        connection.parts.insert(wire_id.clone(), part);
        self.attempts.insert(attempt, key);
        let batch = self.settings.router.batch as usize;
        match connection.queued.back_mut() {
            Some(Frame::Query(parts)) if connection.step == step && parts.len() < batch => {
                parts.push((wire_id, send))
            }
            _ => {
                connection.queued.push_back(Frame::Query(vec![(wire_id, send)]));
                if let Some(server) = self.servers.get_mut(&connection.server) {
                    server.losses.requests += 1.0;
                }
            }
        }
        connection.step = step;
        self.unflushed.push(key);
    }

    /// Logs a part that is resent although its server may not have read the cancellation of an earlier
    /// attempt: the cancellation is queued, is held up by a full socket, or was written a moment ago on
    /// another connection. For diagnosing two attempts in flight at once; it has no effect on what is sent.
    fn log_resend(&mut self, now: Time, wire_id: &str, key: usize) {
        for (other, connection) in &self.connections {
            let Some(part) = connection.parts.get(wire_id).filter(|_| *other != key) else { continue };
            let Some(cancelled_at) = part.cancelled_at.filter(|_| part.written_at.is_some()) else {
                continue;
            };
            let cancel_age_ms = part.cancel_written_at.map(|written| now.since(written).as_secs_f64() * 1e3);
            let queued = connection.outbox.len() + connection.queued.len();
            tracing::debug!(
                "resend: {wire_id} is sent again {:.3} ms after it was cancelled; cancellation written {}, \
                 {queued} frames queued and {} parts in flight on its connection",
                now.since(cancelled_at).as_secs_f64() * 1e3,
                cancel_age_ms.map_or("not yet".to_string(), |ms| format!("{ms:.3} ms ago")),
                connection.parts.len(),
            );
        }
        if let Some(ClosedPart { closed_at, was_cancelled, closed_by }) = self.closed_parts.remove(wire_id) {
            tracing::debug!(
                "resend: {wire_id} is sent again {:.3} ms after its connection was closed {}{}",
                now.since(closed_at).as_secs_f64() * 1e3,
                match closed_by {
                    ClosedBy::Broker => "by this broker",
                    ClosedBy::Peer => "by its server or the network",
                },
                if was_cancelled { ", cancelled before" } else { "" },
            );
        }
    }

    /// Queues a probe; its result is added to [`Backend::completions`].
    pub fn probe(&mut self, net: &mut Net, now: Time, server: ServerId) {
        match self.connection_for(net, now, server, "") {
            Some(key) => {
                if let Some(connection) = self.connections.get_mut(&key) {
                    connection.queued.push_back(Frame::Probe);
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
                self.close_connection(net, key, ClosedBy::Broker);
            }
        }
    }

    /// Writes what is queued, and ends the step: later sends start new frames. After a write that took long,
    /// the rest is left to the next call, as a client may have disconnected or a server started to drain in
    /// the meantime.
    pub fn flush(&mut self, net: &mut Net, now: Time) -> FlushStatus {
        self.now = self.now.max(now);
        self.step += 1;
        for key in std::mem::take(&mut self.to_abort) {
            self.abort_connection(net, key);
        }
        let mut unflushed = std::mem::take(&mut self.unflushed).into_iter();
        let mut status = FlushStatus::Complete;
        while status == FlushStatus::Complete
            && let Some(key) = unflushed.next()
        {
            let Some(connection) = self.connections.get_mut(&key).filter(|connection| connection.connected)
            else {
                continue;
            };
            let result = connection.write(now, &net.clock, &self.settings);
            self.relayed += std::mem::take(&mut connection.relayed);
            self.complete_expired(key);
            match result {
                Ok(()) => self.rearm(net, key, false),
                Err(_) => self.close_connection(net, key, ClosedBy::Peer),
            }
            if unflushed.len() > 0 && net.clock.is_stale(now) {
                status = FlushStatus::Yielded;
            }
        }
        self.unflushed.extend(unflushed);
        self.release_withheld(net, now);
        status
    }

    /// Completes attempts that were not written because their latest start had passed.
    fn complete_expired(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        for attempt in std::mem::take(&mut connection.expired) {
            complete(&mut self.attempts, &mut self.completions, attempt, Verdict::NotSent);
        }
    }

    /// Handles a readiness report of the poller. Returns whether `key` is a connection of the backend.
    pub fn on_ready(&mut self, net: &mut Net, now: Time, key: usize, readable: bool) -> bool {
        self.now = self.now.max(now);
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        let mut result = Ok(());
        if !connection.connected {
            result = crate::net::is_connected(&connection.stream)
                .map(|connected| connection.connected = connected);
            if connection.connected {
                self.connect_time.record(now.since(connection.last_used));
            }
            connection.last_used = now;
        }
        if result.is_ok() && connection.connected {
            result = connection.write(now, &net.clock, &self.settings);
            self.relayed += std::mem::take(&mut connection.relayed);
            // Responses received before the end are valid, so they are read even if writing failed.
            if readable || result.is_err() {
                result = result.and(connection.read(now));
            }
        }
        self.complete_expired(key);
        let valid = self.handle_responses(net, now, key);
        match (result, valid) {
            (Ok(()), true) => self.rearm(net, key, true),
            (Err(_), _) => self.close_connection(net, key, ClosedBy::Peer),
            (Ok(()), false) => self.close_connection(net, key, ClosedBy::Broker),
        }
        true
    }

    /// Closes a connection if it is not established yet.
    pub fn on_connect_timeout(&mut self, net: &Net, key: usize) {
        if self.connections.get(&key).is_some_and(|connection| !connection.connected) {
            self.close_connection(net, key, ClosedBy::Broker);
        }
    }

    /// Closes idle connections that have been unused for long, lead to an outdated address or a disabled
    /// server, or are retired; removes state that is no longer needed.
    pub fn sweep(&mut self, net: &Net, now: Time) {
        self.now = self.now.max(now);
        // Cancelled parts that the server never answers would otherwise use up the connection's streams for
        // good.
        let long_ago =
            now.before(self.settings.router.classes.iter().map(|c| c.deadline).max().unwrap_or_default());
        for connection in self.connections.values_mut() {
            connection.retired |=
                connection.parts.values().any(|p| p.cancelled_at.is_some_and(|at| at < long_ago));
        }
        let to_close = |(key, connection): (&usize, &Connection)| {
            let is_obsolete = connection.retired
                || self
                    .servers
                    .get(&connection.server)
                    .is_none_or(|s| !s.enabled || s.address != connection.address);
            (connection.is_idle() && (is_obsolete || self.is_stale(connection, now))).then_some(*key)
        };
        for key in self.connections.iter().filter_map(to_close).collect::<Vec<_>>() {
            self.close_connection(net, key, ClosedBy::Broker);
        }
        self.servers.retain(|_, server| server.enabled || !server.connections.is_empty());
        self.closed_parts.retain(|_, part| part.closed_at >= long_ago);
    }

    /// Updates a connection's registration with the poller, if it changed or the poller has just `reported`
    /// it.
    fn rearm(&mut self, net: &Net, key: usize, reported: bool) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let write = connection.wants_write();
        if reported || write != connection.write_interest {
            connection.write_interest = write;
            if net.poll.rearm(&connection.stream, key, true, write).is_err() {
                self.close_connection(net, key, ClosedBy::Broker);
            }
        }
    }

    /// Closes a connection and completes its attempts: those whose last byte was written may have run, the
    /// others never ran.
    fn close_connection(&mut self, net: &Net, key: usize, closed_by: ClosedBy) {
        let Some(connection) = self.connections.remove(&key) else { return };
        net.poll.remove(&connection.stream);
        connection.prepare_close();
        let is_loss = connection.active_written_parts() > 0;
        drop(connection.stream);
        // As with writes, the close is known to have happened only now; the loop's reading of the clock may
        // be old.
        let closed_at = self.now.max(net.clock.now());
        if let Some(server) = self.servers.get_mut(&connection.server) {
            server.connections.retain(|k| *k != key);
            server.losses.losses += f64::from(u8::from(is_loss));
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            for (wire_id, part) in connection.parts.iter().filter(|(_, part)| part.written_at.is_some()) {
                let was_cancelled = part.cancelled_at.is_some();
                self.closed_parts
                    .insert(wire_id.clone(), ClosedPart { closed_at: self.now, was_cancelled, closed_by });
            }
        }
        let mut parts: Vec<(String, PartState)> =
            connection.parts.into_iter().filter(|(_, part)| part.cancelled_at.is_none()).collect();
        parts.sort_by_key(|(_, part)| part.attempt);
        // A close by this broker cancels all parts on the connection, and its server has yet to notice it.
        let cancel_read_at = closed_at.after(CANCEL_READ_ALLOWANCE);
        if closed_by == ClosedBy::Broker {
            for withheld in self.withheld_outcomes.iter_mut().filter(|withheld| withheld.key == key) {
                withheld.due = withheld.due.max(cancel_read_at);
            }
        }
        for (wire_id, part) in parts {
            if part.written_at.is_none() {
                complete(&mut self.attempts, &mut self.completions, part.attempt, Verdict::NoConnection);
            } else if closed_by == ClosedBy::Peer {
                complete(&mut self.attempts, &mut self.completions, part.attempt, Verdict::ConnectionLost);
            } else {
                self.withhold(part.attempt, Verdict::ConnectionLost, key, wire_id, cancel_read_at);
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

    /// Number of connections, including those being established.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }
}

/// Records the outcome of an attempt, unless it has one already.
fn complete(
    attempts: &mut HashMap<AttemptId, usize>,
    completions: &mut Vec<Completion>,
    attempt: AttemptId,
    verdict: Verdict,
) {
    if attempts.remove(&attempt).is_some() {
        completions.push(Completion::Attempt { attempt, verdict, value: None, load: LoadReport::default() });
    }
}

/// Whether the parts of a class with this retry safety carry the query's idempotency key.
pub fn is_keyed(retry_safety: RetrySafety) -> bool {
    matches!(retry_safety, RetrySafety::Keyed(_))
}

#[cfg(test)]
mod tests;
