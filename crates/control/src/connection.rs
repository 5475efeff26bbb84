//! One operator's connection: a single call and its answer.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use badgergauge_net::http::{Reader, Response};
use badgergauge_net::outbox::Outbox;

use crate::calls::{self, Answered};
use crate::operations::Operations;

/// A call has to be whole in this time after its connection was accepted.
const CALL_TIME: Duration = Duration::from_secs(10);
/// An answer has to be taken in this time, and the connection ended by its caller.
const ANSWER_TIME: Duration = Duration::from_secs(2);
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
pub enum Turn {
    /// It goes on.
    Open,
    /// It goes on, and its call asked the broker's loop for something.
    ChangeRequested,
    /// It is over.
    Over,
}

/// A connection of an operator.
pub struct Connection {
    stream: TcpStream,
    phase: Phase,
    since: Instant,
    reader: Reader,
    outbox: Outbox,
    /// Whether its caller has ended its side.
    ended: bool,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, now: Instant) -> Self {
        let (reader, outbox) = (Reader::default(), Outbox::default());
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

    /// Sorts connections by how soon they may make room for another: those that have been answered first, then
    /// those whose call has been unfinished for longest.
    pub fn eviction_rank(&self) -> (bool, Instant) {
        (self.phase == Phase::Reading, self.since)
    }

    /// Does what the socket is ready for.
    pub fn ready(&mut self, now: Instant, operations: &Operations) -> Turn {
        if self.read().is_err() {
            return Turn::Over;
        }
        let turn = self.take_call(now, operations);
        match self.write(now) {
            // A caller that has ended its side may still wait for the answer, but sends no more of its call.
            Ok(()) if !self.ended || self.phase == Phase::Writing => turn,
            _ => Turn::Over,
        }
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

    fn take_call(&mut self, now: Instant, operations: &Operations) -> Turn {
        if self.phase != Phase::Reading {
            return Turn::Open;
        }
        let call = match self.reader.ready() {
            Ok(false) => return Turn::Open,
            Ok(true) => self.reader.request().map(|request| calls::answer(&request, operations)),
            Err(error) => Err(error),
        };
        let answered = call.unwrap_or_else(|error| Answered {
            response: Response::text(error.status(), error.to_string()),
            requests_change: false,
        });
        self.reader = Reader::default();
        self.outbox.push(answered.response.head(false));
        self.outbox.push(answered.response.body);
        (self.phase, self.since) = (Phase::Writing, now);
        if answered.requests_change { Turn::ChangeRequested } else { Turn::Open }
    }

    fn write(&mut self, now: Instant) -> io::Result<()> {
        if self.phase != Phase::Writing || !self.outbox.flush(&mut self.stream)? {
            return Ok(());
        }
        (self.phase, self.since) = (Phase::Lingering, now);
        self.stream.shutdown(Shutdown::Write)
    }
}
