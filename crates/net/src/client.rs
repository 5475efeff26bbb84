//! A client's HTTP connection: requests are read one at a time and their responses written.
//!
//! The state of a connection is one [`Phase`], and every transition is made in this module, so that
//! concurrent events (the client's end of stream, bytes behind a request, the broker closing the connection)
//! are handled in one place: `docs/design/crossings.md`.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::http::{HttpError, Request, RequestReader, Response};
use super::outbox::Outbox;
use badgergauge_core::{QueryId, Time};

/// Reads per turn of the event loop, so that a client that sends without a pause can't starve the others.
const MAX_READS_PER_TURN: usize = 4;
/// Bytes that are discarded after the last response; a client that sends more gets its connection reset.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Time to complete a request: the first counts from the accept, each later one from its first byte. Together
/// with the interval of the idle sweep this stays under the 3 s within which a client that sends nothing
/// useful has to be answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may stay idle between a response and the next request.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the client may take to close its side after the broker has closed its own.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of a connection.
#[derive(Debug)]
pub enum Phase<P> {
    /// No part of a request has been received since the accept or the last response.
    Idle {
        /// Whether no complete request has been received on this connection yet.
        first: bool,
    },
    /// Part of a request has been received.
    Reading {
        /// Whether it is the first on this connection.
        first: bool,
    },
    /// A query is open; holds what the front end needs to build its response.
    Waiting(QueryId, P),
    /// A response is being written.
    Responding {
        /// Whether the connection closes after it.
        close: bool,
    },
    /// The broker has shut down its sending side (half-close). Input is read and discarded until the client
    /// closes its side: closing a socket with unread input resets the connection, and the last response could
    /// be lost.
    Lingering,
}

/// A client connection with its buffers and the request it is working on.
pub struct Client<P> {
    /// The socket.
    pub stream: TcpStream,
    /// The key of the listener that accepted it.
    pub listener: usize,
    /// Bytes of its buffers that the broker's memory accounting includes at present.
    pub accounted_bytes: usize,
    /// Whether the poller was last asked to report writability as well; `None` once that report has been
    /// delivered.
    pub write_interest: Option<bool>,
    phase: Phase<P>,
    /// When the phase was entered; while a response is written, when the client last accepted any of it.
    phase_since: Time,
    accepted_at: Time,
    /// When the request being received, or the last one consumed, began.
    request_started_at: Time,
    reader: RequestReader,
    /// Whether the last read emptied the socket. A request is processed only then, because the client's end
    /// of stream may follow it.
    drained: bool,
    /// More input than a buffer holds followed a request. It was discarded, so later requests can't be
    /// delimited.
    overrun: bool,
    /// Whether the last consumed request allows another one on this connection.
    keep_alive: bool,
    outbox: Outbox,
    /// Bytes discarded since the half-close.
    lingered_bytes: usize,
}

/// Whether a connection can still be used after an operation on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is usable.
    Open,
    /// It has failed, or was closed by the client: the caller drops it.
    Closed,
}

/// Whether a complete request can be processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// No complete request has been received, or one is in progress already.
    Incomplete,
    /// A request is complete, but the socket may hold more input than one turn reads. It is processed after
    /// that input has been read, as the client's end of stream may follow it.
    InputUnread,
    /// A complete request can be processed.
    Ready,
}

/// What to do with a connection whose phase has timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// It was idle for too long: close it with [`Client::half_close`].
    CloseIdle,
    /// Its request did not complete in time: answer with an error.
    RejectRequest,
    /// Its client does not read the response or does not close its side: drop it.
    Drop,
}

impl<P> Client<P> {
    /// A connection that was just accepted and is registered with the poller for reading.
    pub fn new(stream: TcpStream, listener: usize, now: Time) -> Self {
        Client {
            stream,
            listener,
            accounted_bytes: 0,
            write_interest: Some(false),
            phase: Phase::Idle { first: true },
            phase_since: now,
            accepted_at: now,
            request_started_at: now,
            reader: RequestReader::default(),
            drained: false,
            overrun: false,
            keep_alive: true,
            outbox: Outbox::default(),
            lingered_bytes: 0,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> &Phase<P> {
        &self.phase
    }

    /// When the current phase was entered; while a response is written, when the client last accepted any of
    /// it.
    pub fn phase_since(&self) -> Time {
        self.phase_since
    }

    /// When the connection was accepted.
    pub fn accepted_at(&self) -> Time {
        self.accepted_at
    }

    /// When the first byte of the last consumed request was received.
    pub fn request_started_at(&self) -> Time {
        self.request_started_at
    }

    /// The open query, if there is one.
    pub fn query(&self) -> Option<QueryId> {
        match &self.phase {
            Phase::Waiting(query, _) => Some(*query),
            _ => None,
        }
    }

    /// Whether the connection is between two requests.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle { .. })
    }

    /// Whether a response, or the rest of one, is still to be sent, including one to a partly received
    /// request.
    pub fn has_pending_response(&self) -> bool {
        !matches!(self.phase, Phase::Idle { .. } | Phase::Lingering)
    }

    /// Whether there is output to write.
    pub fn wants_write(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Memory of its buffers, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.reader.buffer_bytes() + self.outbox.pending_bytes()
    }

    /// Whether a request is being received whose buffers already exceed `limit` bytes.
    pub fn has_oversized_request(&self, limit: usize) -> bool {
        matches!(self.phase, Phase::Reading { .. }) && self.reader.buffer_bytes() > limit
    }

    fn enter(&mut self, now: Time, phase: Phase<P>) {
        (self.phase, self.phase_since) = (phase, now);
    }

    /// Reads the available input, up to the limit of one turn; the poller reports the rest again. Input is
    /// read in every phase, as the client's end of stream is only seen after it.
    pub fn read(&mut self, now: Time) -> ConnectionState {
        let mut buffer = [0; 8 * 1024];
        self.drained = false;
        for _ in 0..MAX_READS_PER_TURN {
            match self.stream.read(&mut buffer) {
                Ok(0) => return ConnectionState::Closed,
                Ok(read) if matches!(self.phase, Phase::Lingering) => {
                    self.lingered_bytes += read;
                    if self.lingered_bytes > MAX_LINGER_BYTES {
                        return ConnectionState::Closed;
                    }
                }
                Ok(_) if self.reader.is_full() => self.overrun = true,
                Ok(read) => self.push(now, &buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.drained = true;
                    return ConnectionState::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ConnectionState::Closed,
            }
        }
        ConnectionState::Open
    }

    fn push(&mut self, now: Time, bytes: &[u8]) {
        // A request that arrives while the previous one is in progress starts now, not when it is processed.
        if !self.reader.has_input() {
            self.request_started_at = now;
        }
        self.reader.push(bytes);
        if let Phase::Idle { first } = self.phase {
            // The timeout of the first request counts from the accept.
            self.enter(if first { self.accepted_at } else { now }, Phase::Reading { first });
        }
    }

    /// Whether a request can be processed. There is one in progress per connection at a time.
    ///
    /// # Errors
    ///
    /// When the input is not a valid request or exceeds a limit.
    pub fn request_status(&mut self) -> Result<RequestStatus, HttpError> {
        let Phase::Reading { first } = self.phase else { return Ok(RequestStatus::Incomplete) };
        let complete = self.reader.has_complete_request()?;
        // Only empty lines were received, which don't start a request.
        if !complete && !self.reader.has_input() {
            self.enter(self.phase_since, Phase::Idle { first });
        }
        Ok(match (complete, self.drained) {
            (false, _) => RequestStatus::Incomplete,
            (true, false) => RequestStatus::InputUnread,
            (true, true) => RequestStatus::Ready,
        })
    }

    /// The complete request.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn request(&self) -> Result<Request<'_>, HttpError> {
        self.reader.request()
    }

    /// Removes the complete request from the buffer and keeps the input behind it. `keep_alive` is whether
    /// the request allows another one on this connection.
    pub fn consume_request(&mut self, keep_alive: bool) {
        self.reader.consume_request();
        self.keep_alive = keep_alive;
    }

    /// Records that the consumed request opened a query; `pending` is returned by [`Client::finish_query`].
    pub fn start_query(&mut self, now: Time, query: QueryId, pending: P) {
        self.enter(now, Phase::Waiting(query, pending));
    }

    /// Ends the open query and returns what was kept for its response, which the caller queues next; `None`
    /// if no query is open.
    pub fn finish_query(&mut self, now: Time) -> Option<P> {
        if !matches!(self.phase, Phase::Waiting(..)) {
            return None;
        }
        match std::mem::replace(&mut self.phase, Phase::Responding { close: false }) {
            Phase::Waiting(_, pending) => {
                self.phase_since = now;
                Some(pending)
            }
            _ => None,
        }
    }

    /// Queues a response. The connection closes after it unless both `keep_open` and the request allow it to
    /// stay open.
    pub fn queue_response(&mut self, now: Time, response: Response, keep_open: bool) {
        let close = !(keep_open && self.keep_alive && !self.overrun);
        self.outbox.push(response.head(!close));
        self.outbox.push(response.body);
        if close {
            self.reader = RequestReader::default();
        }
        self.enter(now, Phase::Responding { close });
    }

    /// Writes as much as the socket accepts. After a response that closes the connection the sending side is
    /// shut down.
    pub fn write(&mut self, now: Time) -> ConnectionState {
        let Phase::Responding { close } = self.phase else { return ConnectionState::Open };
        let before = self.outbox.pending_bytes();
        match self.outbox.flush(&mut self.stream) {
            Err(_) => return ConnectionState::Closed,
            Ok(false) => {
                if self.outbox.pending_bytes() < before {
                    self.phase_since = now;
                }
                return ConnectionState::Open;
            }
            Ok(true) => {}
        }
        if close {
            return self.half_close(now);
        }
        let has_input = self.reader.has_input();
        self.enter(
            now,
            if has_input { Phase::Reading { first: false } } else { Phase::Idle { first: false } },
        );
        ConnectionState::Open
    }

    /// Shuts down the sending side. Requests that arrive from here on are discarded: the client sees the end
    /// of stream and can retry on another connection.
    pub fn half_close(&mut self, now: Time) -> ConnectionState {
        self.reader = RequestReader::default();
        self.enter(now, Phase::Lingering);
        match self.stream.shutdown(Shutdown::Write) {
            Ok(()) => ConnectionState::Open,
            Err(_) => ConnectionState::Closed,
        }
    }

    /// The action to take if the current phase has timed out. `write_timeout` is how long a client may accept
    /// nothing of its response.
    pub fn timeout_action(&self, now: Time, write_timeout: Duration) -> Option<TimeoutAction> {
        let (limit, action) = match self.phase {
            Phase::Idle { first: true } => (REQUEST_TIMEOUT, TimeoutAction::CloseIdle),
            Phase::Idle { first: false } => (KEEP_ALIVE_TIMEOUT, TimeoutAction::CloseIdle),
            Phase::Reading { .. } => (REQUEST_TIMEOUT, TimeoutAction::RejectRequest),
            Phase::Waiting(..) => return None,
            Phase::Responding { .. } => (write_timeout, TimeoutAction::Drop),
            Phase::Lingering => (LINGER_TIMEOUT, TimeoutAction::Drop),
        };
        (now.since(self.phase_since) >= limit).then_some(action)
    }
}

#[cfg(test)]
mod tests;
