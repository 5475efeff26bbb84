//! One operator's connection: a single call and its answer.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use badgergauge_net::http::{HttpError, RequestReader, Response};
use badgergauge_net::outbox::Outbox;

use crate::calls::{self, Answered};
use crate::operations::Operations;

/// A call has to be whole in this time after its connection was accepted.
const CALL_TIME: Duration = Duration::from_secs(10);
/// An answer has to be taken in this time, and the connection ended by its caller.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// A connection keeps its place so long where all places are taken: its call may be on the way. Behind a hundred silent
/// callers at eight places, which is the fewest, the next one has its turn after half a second.
const EVICTION_GRACE: Duration = Duration::from_millis(40);
/// Reads of one turn, so that no caller keeps the thread from the others.
const MAX_READS: usize = 4;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The call is coming in.
    Reading,
    /// The answer is being written.
    Writing,
    /// The answer is written and this side has ended: what still comes is read away, as a close over unread bytes
    /// would reset the connection.
    Lingering,
}

/// What a turn at a connection led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Whether its call asked the broker's loop for something, which holds even where the caller has left.
    pub requests_change: bool,
    /// Whether it is over.
    pub is_over: bool,
}

/// A connection of an operator.
pub struct Connection {
    stream: TcpStream,
    phase: Phase,
    since: Instant,
    reader: RequestReader,
    outbox: Outbox,
    /// Whether its caller has ended its side.
    ended: bool,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, now: Instant) -> Self {
        let (reader, outbox) = (RequestReader::default(), Outbox::default());
        Connection { stream, phase: Phase::Reading, since: now, reader, outbox, ended: false }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether it waits to read.
    pub fn wants_read(&self) -> bool {
        !self.ended
    }

    /// Whether it waits to write.
    pub fn wants_write(&self) -> bool {
        self.phase == Phase::Writing
    }

    /// When it is to be ended, whatever it does.
    pub fn expires(&self) -> Instant {
        match self.phase {
            Phase::Reading => self.since + CALL_TIME,
            Phase::Writing | Phase::Lingering => self.since + ANSWER_TIME,
        }
    }

    /// From when on it may be closed to make room for another. One that has its answer may at once.
    pub fn evictable_from(&self) -> Instant {
        match self.phase {
            Phase::Reading | Phase::Writing => self.since + EVICTION_GRACE,
            Phase::Lingering => self.since,
        }
    }

    /// Sorts connections by which is closed first to make room for another: those that have their answer, then those
    /// that stand as they do for longest.
    pub fn eviction_rank(&self) -> (bool, Instant) {
        (self.phase != Phase::Lingering, self.since)
    }

    /// Does what the socket is ready for.
    pub fn ready(&mut self, now: Instant, operations: &Operations) -> Turn {
        if self.read().is_err() {
            return Turn { requests_change: false, is_over: true };
        }
        let requests_change = self.take_call(now, operations);
        let written = self.write(now);
        // A caller that has ended its side may still wait for the answer, but sends no more of its call.
        let is_over = written.is_err() || (self.ended && self.phase != Phase::Writing);
        Turn { requests_change, is_over }
    }

    fn read(&mut self) -> io::Result<()> {
        let mut buffer = [0; 4096];
        for _ in 0..MAX_READS {
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    self.ended = true;
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

    /// Answers the call, if it is whole. Gives whether it asked the broker's loop for something.
    fn take_call(&mut self, now: Instant, operations: &Operations) -> bool {
        if self.phase != Phase::Reading {
            return false;
        }
        let call = match self.reader.has_complete_request() {
            // The rest of it will never come.
            Ok(false) if self.ended && self.reader.has_input() => Err(HttpError::Malformed),
            Ok(false) => return false,
            Ok(true) => self.reader.request().map(|request| calls::answer(&request, operations)),
            Err(error) => Err(error),
        };
        let answered = call.unwrap_or_else(|error| Answered {
            response: Response::text(error.status(), error.to_string()),
            requests_change: false,
        });
        self.reader = RequestReader::default();
        self.outbox.push(answered.response.head(false));
        self.outbox.push(answered.response.body);
        (self.phase, self.since) = (Phase::Writing, now);
        answered.requests_change
    }

    fn write(&mut self, now: Instant) -> io::Result<()> {
        if self.phase != Phase::Writing || !self.outbox.flush(&mut self.stream)? {
            return Ok(());
        }
        (self.phase, self.since) = (Phase::Lingering, now);
        self.stream.shutdown(Shutdown::Write)
    }
}
