//! One call to discovery over one connection: sends the request and decodes the lists in the response.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};

use badgergauge_core::interface::Time;
use badgergauge_net::clock::Clock;
use badgergauge_net::http::ChunkedDecoder;
use badgergauge_net::outbox::Outbox;

use crate::list::{ListDecoder, MAX_LIST_BYTES, ServerList};
use crate::watch::WatchError;

/// Size of the buffer for a read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// A call to discovery.
pub(crate) struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// When the call was made.
    pub started: Time,
    request: Outbox,
    connected: bool,
    bytes: Vec<u8>,
    body: Body,
    decoder: ListDecoder,
    /// Whether anything complete was received in the response's body.
    has_item: bool,
    /// Whether a list was received. Later lists are pushed when they change.
    has_list: bool,
}

/// State of the response body.
enum Body {
    /// The response head is incomplete.
    Head,
    /// The body uses chunked transfer coding.
    Chunked(ChunkedDecoder),
    /// The body is delimited by the end of the connection. As a list ends with its last brace, a reset can't
    /// truncate one unnoticed.
    Plain,
}

/// A list and whether it was pushed, see [`crate::ListUpdate`].
pub(crate) struct ReceivedList {
    pub list: ServerList,
    /// Whether another list came before it on this connection.
    pub is_later: bool,
}

/// What was received with one read.
#[derive(Default)]
pub(crate) struct Received {
    /// Complete lists.
    pub lists: Vec<ReceivedList>,
    /// Whether anything complete was received in the body: a list or an empty line.
    pub has_item: bool,
    /// Whether the head of the response is complete and no list has started that is incomplete.
    pub is_complete: bool,
    /// Whether a list has started and is incomplete.
    pub list_started: bool,
    /// Whether the response has ended.
    pub has_ended: bool,
}

impl Connection {
    /// Starts to connect, and prepares the request for the changes after version `index`.
    pub fn start(now: Time, address: SocketAddr, index: u64) -> io::Result<Self> {
        let stream = badgergauge_net::connect(address)?;
        let mut request = Outbox::default();
        request.push(format!("GET /discovery/hosts?stream=1&index={index} HTTP/1.1\r\n").into_bytes());
        request.push(format!("Host: {address}\r\nAccept: application/json\r\n\r\n").into_bytes());
        Ok(Connection {
            stream,
            started: now,
            request,
            connected: false,
            bytes: Vec::new(),
            body: Body::Head,
            decoder: ListDecoder::default(),
            has_item: false,
            has_list: false,
        })
    }

    /// Whether the poller should report when the socket is writable.
    pub fn wants_write(&self) -> bool {
        !self.connected || !self.request.is_empty()
    }

    /// Whether a list was received.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Whether nothing complete was received in the response's body.
    pub fn is_unanswered(&self) -> bool {
        !self.has_item
    }

    /// Whether the first list has started and is incomplete.
    pub fn is_reading_first_list(&self) -> bool {
        !self.has_list && self.decoder.buffered_bytes() > 0
    }

    /// Completes the connection and sends the request. Returns whether all of it is sent.
    pub fn send_request(&mut self) -> io::Result<bool> {
        if !self.connected {
            self.connected = badgergauge_net::is_connected(&self.stream)?;
        }
        Ok(self.connected && self.request.flush(&mut self.stream)?)
    }

    /// Reads once. Returns `None` if nothing is there to read.
    pub fn read(&mut self, clock: &Clock) -> Result<Option<Received>, WatchError> {
        let mut buffer = [0; READ_BYTES];
        let read = loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(read) => break read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        };
        self.bytes.extend_from_slice(&buffer[..read]);
        let body = self.take_body()?;
        self.decoder.push(&body);
        let mut received = Received::default();
        while let Some(list) = self.decoder.next_list(clock)? {
            let is_later = std::mem::replace(&mut self.has_list, true);
            received.lists.push(ReceivedList { list, is_later });
        }
        // Only complete items count as received: the start of a list does not mean that the rest will arrive.
        received.list_started = self.decoder.buffered_bytes() > 0;
        received.has_item = !received.lists.is_empty() || !(body.is_empty() || received.list_started);
        received.is_complete =
            !received.lists.is_empty() || !(received.list_started || matches!(self.body, Body::Head));
        received.has_ended = matches!(&self.body, Body::Chunked(chunks) if chunks.is_done());
        self.has_item |= received.has_item;
        Ok(Some(received))
    }

    /// Returns the newly received part of the body, after decoding the response head and any chunked transfer
    /// coding.
    fn take_body(&mut self) -> Result<Vec<u8>, WatchError> {
        if matches!(self.body, Body::Head) {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response
                .parse(&self.bytes)
                .map_err(|error| WatchError::UnexpectedResponse(error.to_string()))?;
            let httparse::Status::Complete(length) = parsed else {
                return match self.bytes.len() > MAX_LIST_BYTES {
                    true => Err(WatchError::UnexpectedResponse("response head too long".to_owned())),
                    false => Ok(Vec::new()),
                };
            };
            if response.code != Some(200) {
                return Err(WatchError::UnexpectedResponse(format!("status {}", response.code.unwrap_or(0))));
            }
            let chunked = response.headers.iter().any(|header| {
                header.name.eq_ignore_ascii_case("transfer-encoding")
                    && header.value.eq_ignore_ascii_case(b"chunked")
            });
            self.bytes.drain(..length);
            self.body = if chunked { Body::Chunked(ChunkedDecoder::default()) } else { Body::Plain };
        }
        let mut body = Vec::new();
        match &mut self.body {
            Body::Head => {}
            Body::Plain => body = std::mem::take(&mut self.bytes),
            Body::Chunked(chunks) => {
                let used = chunks.decode(&self.bytes, &mut body).map_err(|error| {
                    WatchError::UnexpectedResponse(format!("invalid chunked transfer coding: {error}"))
                })?;
                self.bytes.drain(..used);
            }
        }
        Ok(body)
    }
}
