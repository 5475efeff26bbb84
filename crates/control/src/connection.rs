//! A connection to the control endpoint. It serves a single request and is then closed.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use badgergauge_net::http::{HttpError, RequestReader, Response};
use badgergauge_net::outbox::Outbox;

use crate::handlers::{self, Handled};
use crate::operations::Operations;

/// Time from accepting a connection by which its request must be complete.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the client to read the response, and then to close the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time before a connection that has no response yet may be evicted to make room for another, as its
/// request may still be in transit. With the minimum of eight connections, a client queued behind a hundred
/// idle ones is served after half a second.
const EVICTION_GRACE: Duration = Duration::from_millis(40);
/// Maximum number of reads per readiness event, so that one client can't monopolise the thread.
const MAX_READS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Receiving the request.
    Reading,
    /// Sending the response.
    Writing,
    /// The response is sent and the write side is shut down. Further input is read and discarded, as closing
    /// a socket with unread data would reset the connection and could lose the response.
    Lingering,
}

/// The result of handling a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether a request changed state that the broker's event loop has to act on; also set if its client has
    /// disconnected.
    pub requests_change: bool,
    /// Whether the connection is finished and is to be closed.
    pub is_finished: bool,
}

/// A connection to the control endpoint.
pub struct Connection {
    stream: TcpStream,
    phase: Phase,
    phase_since: Instant,
    reader: RequestReader,
    outbox: Outbox,
    /// Whether the client has shut down its write side.
    input_closed: bool,
}

impl Connection {
    /// A newly accepted connection.
    pub fn new(stream: TcpStream, now: Instant) -> Self {
        let (reader, outbox) = (RequestReader::default(), Outbox::default());
        Connection { stream, phase: Phase::Reading, phase_since: now, reader, outbox, input_closed: false }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether to poll the socket for input.
    pub fn wants_read(&self) -> bool {
        !self.input_closed
    }

    /// Whether to poll the socket for output.
    pub fn wants_write(&self) -> bool {
        self.phase == Phase::Writing
    }

    /// The time at which the connection is closed in any case.
    pub fn expires_at(&self) -> Instant {
        match self.phase {
            Phase::Reading => self.phase_since + REQUEST_TIMEOUT,
            Phase::Writing | Phase::Lingering => self.phase_since + RESPONSE_TIMEOUT,
        }
    }

    /// The time from which the connection may be evicted: at once if its response is sent.
    pub fn evictable_from(&self) -> Instant {
        match self.phase {
            Phase::Reading | Phase::Writing => self.phase_since + EVICTION_GRACE,
            Phase::Lingering => self.phase_since,
        }
    }

    /// Order of eviction, lowest first: connections whose response is sent, then those that have been longest
    /// in their phase.
    pub fn eviction_rank(&self) -> (bool, Instant) {
        (self.phase != Phase::Lingering, self.phase_since)
    }

    /// Handles a readiness event of the socket.
    pub fn on_ready(&mut self, now: Instant, operations: &Operations) -> Progress {
        if self.read().is_err() {
            return Progress { requests_change: false, is_finished: true };
        }
        let requests_change = self.handle_request(now, operations);
        let written = self.write(now);
        // A client that has shut down its write side may still read the response, but can't complete a
        // request.
        let is_finished = written.is_err() || (self.input_closed && self.phase != Phase::Writing);
        Progress { requests_change, is_finished }
    }

    fn read(&mut self) -> io::Result<()> {
        let mut buffer = [0; 4096];
        for _ in 0..MAX_READS {
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    self.input_closed = true;
                    break;
                }
                Ok(read) if self.phase == Phase::Reading => self.reader.push(&buffer[..read]),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Handles the request if it is complete. Returns whether the broker's event loop has to act on it.
    fn handle_request(&mut self, now: Instant, operations: &Operations) -> bool {
        if self.phase != Phase::Reading {
            return false;
        }
        let result = match self.reader.has_complete_request() {
            // The request is truncated: no further input can arrive.
            Ok(false) if self.input_closed && self.reader.has_input() => Err(HttpError::Malformed),
            Ok(false) => return false,
            Ok(true) => self.reader.request().map(|request| handlers::handle(&request, operations)),
            Err(error) => Err(error),
        };
        let handled = result.unwrap_or_else(|error| Handled {
            response: Response::text(error.status(), error.to_string()),
            requests_change: false,
        });
        self.reader = RequestReader::default();
        self.outbox.push(handled.response.head(false));
        self.outbox.push(handled.response.body);
        (self.phase, self.phase_since) = (Phase::Writing, now);
        handled.requests_change
    }

    fn write(&mut self, now: Instant) -> io::Result<()> {
        if self.phase != Phase::Writing || !self.outbox.flush(&mut self.stream)? {
            return Ok(());
        }
        (self.phase, self.phase_since) = (Phase::Lingering, now);
        self.stream.shutdown(Shutdown::Write)
    }
}
