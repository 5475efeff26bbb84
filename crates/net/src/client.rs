//! A client's connection: requests in, one at a time, and answers out.
//!
//! Where it stands is one [`Phase`], and each change of it is made here, so that what crosses it (the client's end,
//! bytes behind a request, the broker's own end) is decided in one place: `docs/design/crossings.md`.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::http::{HttpError, Reader, Request, Response};
use super::outbox::Outbox;
use badgergauge_core::{QueryId, Time};

/// Reads of one turn: a client that sends without a pause must not keep the loop from the others.
const READS: usize = 4;
/// So much is read away after the last answer; a client that still sends then gets a reset.
const LINGER: usize = 256 * 1024;
/// A client has to end its first request in this time after it has connected, and each other one in this time
/// after it has begun it. With a sweep's pause that is under the 3 s in which whoever sends nothing of use is to be
/// told.
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// So long a connection may rest between an answer and the next request.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
/// After the broker's end of a connection its client has so long for its own.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Where a connection stands.
#[derive(Debug)]
pub enum Phase<P> {
    /// Nothing of a request is in: since its answer before, or since it was accepted.
    Idle {
        /// Whether no request has ever come whole.
        fresh: bool,
    },
    /// A request is coming in.
    Reading {
        /// Whether it is the first.
        fresh: bool,
    },
    /// A query is open, with what the front keeps for its answer.
    Waiting(QueryId, P),
    /// An answer is being written.
    Answering {
        /// Whether the connection ends with it.
        last: bool,
    },
    /// This side has ended (half-close): what still comes is read away until the client ends its own, as a close
    /// over bytes that nobody has read would reset the connection, and the last answer might be lost with it.
    Lingering,
}

/// A connection, with what is open on it.
pub struct Client<P> {
    /// The socket.
    pub stream: TcpStream,
    /// Where it was accepted: the key of the listener.
    pub listener: usize,
    /// Memory that it was last found to hold.
    pub charged: usize,
    /// Whether the report that the poller was last asked for is one of writability too; nothing once it has come.
    pub asked_write: Option<bool>,
    phase: Phase<P>,
    /// When it came to stand so; while an answer is written, when the client last took any of it.
    since: Time,
    /// When it was accepted.
    accepted: Time,
    /// When the request that is coming in, or was taken last, began.
    begun: Time,
    reader: Reader,
    /// Whether all that had come was read when it was last looked at. A request is taken only then: its client's end
    /// may lie behind it.
    drained: bool,
    /// More than a buffer holds came behind a request: it was read away, so nothing behind it can be told apart.
    overrun: bool,
    /// Whether the request that was taken last allows another after it.
    keep_alive: bool,
    outbox: Outbox,
    /// What was read away since this side has ended.
    lingered: usize,
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It goes on.
    Open,
    /// It is over.
    Over,
}

/// Whether a request is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whole {
    /// None is, or one is open.
    No,
    /// One is, and more than one turn reads came with it: it is taken once that is read, as its client's end may lie
    /// behind it.
    Unread,
    /// One is, and may be taken.
    Yes,
}

/// What the time that a connection has stood as it does asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// It has rested for long: this side ends it, by [`Client::end`].
    Rest,
    /// The request that is coming in has to be told that it is late.
    Request,
    /// It is to be dropped: its client takes no answer, or does not end.
    Gone,
}

impl<P> Client<P> {
    /// A connection that was just accepted, with the poller asked to report what comes on it.
    pub fn new(stream: TcpStream, listener: usize, now: Time) -> Self {
        Client {
            stream,
            listener,
            charged: 0,
            asked_write: Some(false),
            phase: Phase::Idle { fresh: true },
            since: now,
            accepted: now,
            begun: now,
            reader: Reader::default(),
            drained: false,
            overrun: false,
            keep_alive: true,
            outbox: Outbox::default(),
            lingered: 0,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> &Phase<P> {
        &self.phase
    }

    /// Since when it stands so.
    pub fn since(&self) -> Time {
        self.since
    }

    /// When it was accepted.
    pub fn accepted(&self) -> Time {
        self.accepted
    }

    /// When the request that was taken last began.
    pub fn begun(&self) -> Time {
        self.begun
    }

    /// The query that it waits for.
    pub fn query(&self) -> Option<QueryId> {
        match &self.phase {
            Phase::Waiting(query, _) => Some(*query),
            _ => None,
        }
    }

    /// Whether it stands between two requests.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle { .. })
    }

    /// Whether anything is owed to it: an answer, the rest of one, or one to the request that is coming in.
    pub fn is_owed(&self) -> bool {
        !matches!(self.phase, Phase::Idle { .. } | Phase::Lingering)
    }

    /// Whether anything waits to be written.
    pub fn wants_write(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Memory that its buffers hold.
    pub fn held(&self) -> usize {
        self.reader.held() + self.outbox.held()
    }

    /// Whether what is in of its request is more than an ordinary one.
    pub fn is_greedy(&self, modest: usize) -> bool {
        matches!(self.phase, Phase::Reading { .. }) && self.reader.held() > modest
    }

    fn enter(&mut self, now: Time, phase: Phase<P>) {
        (self.phase, self.since) = (phase, now);
    }

    /// Reads what is there, or as much of it as one turn allows; the rest is reported again. It is read in each
    /// phase, as the client's end lies behind it.
    pub fn read(&mut self, now: Time) -> Liveness {
        let mut buffer = [0; 8 * 1024];
        self.drained = false;
        for _ in 0..READS {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Liveness::Over,
                Ok(read) if matches!(self.phase, Phase::Lingering) => {
                    self.lingered += read;
                    if self.lingered > LINGER {
                        return Liveness::Over;
                    }
                }
                Ok(_) if self.reader.full() => self.overrun = true,
                Ok(read) => self.push(now, &buffer[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.drained = true;
                    return Liveness::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Liveness::Over,
            }
        }
        Liveness::Open
    }

    fn push(&mut self, now: Time, bytes: &[u8]) {
        // One that comes while the one before is open began then, and not when it is looked at.
        if !self.reader.begun() {
            self.begun = now;
        }
        self.reader.push(bytes);
        if let Phase::Idle { fresh } = self.phase {
            // The first one has its time from the connection's own beginning.
            self.enter(if fresh { self.accepted } else { now }, Phase::Reading { fresh });
        }
    }

    /// Whether a request may be taken: one at a time.
    ///
    /// # Errors
    ///
    /// When what is in can't become one.
    pub fn has_request(&mut self) -> Result<Whole, HttpError> {
        let Phase::Reading { fresh } = self.phase else { return Ok(Whole::No) };
        let whole = self.reader.ready()?;
        // Empty lines before a request are none.
        if !whole && !self.reader.begun() {
            self.enter(self.since, Phase::Idle { fresh });
        }
        Ok(match (whole, self.drained) {
            (false, _) => Whole::No,
            (true, false) => Whole::Unread,
            (true, true) => Whole::Yes,
        })
    }

    /// The request that is whole.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn request(&self) -> Result<Request<'_>, HttpError> {
        self.reader.request()
    }

    /// Lets go of the request that is whole, and keeps what came after it.
    pub fn took(&mut self, keep_alive: bool) {
        self.reader.next();
        self.keep_alive = keep_alive;
    }

    /// The request that was taken is a query, which is open from now on.
    pub fn wait(&mut self, now: Time, query: QueryId, pending: P) {
        self.enter(now, Phase::Waiting(query, pending));
    }

    /// The query is over: what was kept for its answer, which follows. Nothing where none was open.
    pub fn finish(&mut self, now: Time) -> Option<P> {
        if !matches!(self.phase, Phase::Waiting(..)) {
            return None;
        }
        match std::mem::replace(&mut self.phase, Phase::Answering { last: false }) {
            Phase::Waiting(_, pending) => {
                self.since = now;
                Some(pending)
            }
            _ => None,
        }
    }

    /// Queues an answer. The connection ends with it unless it may stay open on both sides.
    pub fn answer(&mut self, now: Time, response: Response, stay: bool) {
        let last = !(stay && self.keep_alive && !self.overrun);
        self.outbox.push(response.head(!last));
        self.outbox.push(response.body);
        if last {
            self.reader = Reader::default();
        }
        self.enter(now, Phase::Answering { last });
    }

    /// Writes what the socket takes. Behind an answer after which the connection ends goes its end, in this
    /// direction alone.
    pub fn write(&mut self, now: Time) -> Liveness {
        let Phase::Answering { last } = self.phase else { return Liveness::Open };
        let before = self.outbox.held();
        match self.outbox.flush(&mut self.stream) {
            Err(_) => return Liveness::Over,
            Ok(false) => {
                if self.outbox.held() < before {
                    self.since = now;
                }
                return Liveness::Open;
            }
            Ok(true) => {}
        }
        if last {
            return self.end(now);
        }
        let begun = self.reader.begun();
        self.enter(now, if begun { Phase::Reading { fresh: false } } else { Phase::Idle { fresh: false } });
        Liveness::Open
    }

    /// Ends this side. What the client sends from here on is never taken: it has met the end, and asks elsewhere.
    pub fn end(&mut self, now: Time) -> Liveness {
        self.reader = Reader::default();
        self.enter(now, Phase::Lingering);
        match self.stream.shutdown(Shutdown::Write) {
            Ok(()) => Liveness::Open,
            Err(_) => Liveness::Over,
        }
    }

    /// What its time asks for, if it is over. A client that takes nothing of its answer for `patience` has gone.
    pub fn expired(&self, now: Time, patience: Duration) -> Option<Expired> {
        let (limit, then) = match self.phase {
            Phase::Idle { fresh: true } => (REQUEST_TIME, Expired::Rest),
            Phase::Idle { fresh: false } => (KEEP_ALIVE, Expired::Rest),
            Phase::Reading { .. } => (REQUEST_TIME, Expired::Request),
            Phase::Waiting(..) => return None,
            Phase::Answering { .. } => (patience, Expired::Gone),
            Phase::Lingering => (LINGER_TIME, Expired::Gone),
        };
        (now.since(self.since) >= limit).then_some(then)
    }
}

#[cfg(test)]
mod tests;
