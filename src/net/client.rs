//! A client's connection: requests in, one at a time, and answers out.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};

use super::http::{Reader, Response};
use super::outbox::Outbox;
use crate::interface::{QueryId, Time};

/// A connection, with what is open on it.
pub struct Client<P> {
    /// The socket.
    pub stream: TcpStream,
    /// Where it was accepted: the key of the listener.
    pub listener: usize,
    /// What came in.
    pub reader: Reader,
    /// The query that it waits for, and what the front keeps for the answer.
    pub open: Option<(QueryId, P)>,
    /// When the request that is coming in, or waits for its answer, began.
    pub since: Time,
    /// Whether the request allows another after it.
    pub keep_alive: bool,
    /// Whether it ends once all is written.
    pub closing: bool,
    /// Whether the poller was asked for writability.
    pub asked_write: bool,
    outbox: Outbox,
    /// All is said; what still comes is read away so that the answer isn't lost to a reset.
    lingers: bool,
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It goes on.
    Open,
    /// It is over.
    Over,
}

impl<P> Client<P> {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, listener: usize, now: Time) -> Self {
        Client {
            stream,
            listener,
            reader: Reader::default(),
            open: None,
            since: now,
            keep_alive: true,
            closing: false,
            asked_write: false,
            outbox: Outbox::default(),
            lingers: false,
        }
    }

    /// Whether it stands between two requests.
    pub fn is_idle(&self) -> bool {
        self.open.is_none() && !self.reader.begun() && self.outbox.is_empty() && !self.closing
    }

    /// Whether anything waits to be written.
    pub fn wants_write(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Whether more is to be read now.
    pub fn wants_read(&self) -> bool {
        !self.reader.full()
    }

    /// Reads what is there.
    pub fn read(&mut self, now: Time) -> Fate {
        let mut buffer = [0; 8 * 1024];
        while self.wants_read() {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Fate::Over,
                Ok(_) if self.closing => {}
                Ok(read) => {
                    if !self.reader.begun() && self.open.is_none() {
                        self.since = now;
                    }
                    self.reader.push(&buffer[..read]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Fate::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Fate::Over,
            }
        }
        Fate::Open
    }

    /// Queues an answer.
    pub fn answer(&mut self, response: Response, keep_alive: bool) {
        self.outbox.push(response.head(keep_alive));
        self.outbox.push(response.body);
        self.closing = !keep_alive;
    }

    /// Writes what the socket takes. An answer after which the connection ends is followed by its end
    /// in this direction alone.
    pub fn write(&mut self) -> Fate {
        match self.outbox.flush(&mut self.stream) {
            Err(_) => Fate::Over,
            Ok(true) if self.closing && !self.lingers => {
                self.lingers = true;
                match self.stream.shutdown(Shutdown::Write) {
                    Ok(()) => Fate::Open,
                    Err(_) => Fate::Over,
                }
            }
            Ok(_) => Fate::Open,
        }
    }
}
