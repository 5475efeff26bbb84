//! A watch on discovery's server list over successive connections.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};

use badgergauge_core::interface::Time;
use badgergauge_net::clock::Clock;
use badgergauge_net::http::ChunkedDecoder;
use badgergauge_net::outbox::Outbox;

use crate::list::{ListDecoder, ListError, MAX_LIST_BYTES, ServerList};
use crate::registry::ServerRegistry;
use crate::schedule::{CallSchedule, Phase};

/// Maximum number of reads per readiness event, so that a discovery that sends without pause does not block
/// the event loop.
const MAX_READS: usize = 16;

/// Why a watch has ended. The current list stays valid, and a new watch is opened.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Nothing was received for too long.
    #[error("silent: nothing received in time; check that discovery runs and is reachable from here")]
    Unresponsive,
    /// The call was not answered in time.
    #[error("no answer: check that discovery runs and is reachable from here")]
    NoResponse,
    /// The response is not one to a watch request.
    #[error("{0}: check that the address is that of discovery")]
    UnexpectedResponse(String),
    /// An invalid list was received.
    #[error(transparent)]
    List(#[from] ListError),
    /// The connection was closed, failed, or could not be established.
    #[error("{0}: check that discovery runs at the configured address")]
    ConnectionLost(#[from] io::Error),
}

/// A watch on discovery that reconnects when its connection fails.
pub struct Watch {
    address: SocketAddr,
    clock: Clock,
    registry: ServerRegistry,
    connection: Option<Connection>,
    schedule: CallSchedule,
    /// Whether any list was received since the start.
    has_received_list: bool,
}

struct Connection {
    stream: TcpStream,
    request: Outbox,
    connected: bool,
    bytes: Vec<u8>,
    body: Body,
    decoder: ListDecoder,
    /// Whether a list was received on this connection. Later lists are pushed when they change.
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

/// A list received by a watch.
#[derive(Debug)]
pub struct ListUpdate {
    /// The list.
    pub list: ServerList,
    /// Whether the changes were pushed when they happened. The first list of a connection, or an older list,
    /// may contain changes that were deemed delivered long ago.
    pub is_live: bool,
}

impl Watch {
    /// Creates a watch that continues from a known list.
    pub fn new(
        address: SocketAddr,
        known: Option<&ServerList>,
        clock: Clock,
        schedule: CallSchedule,
    ) -> Self {
        let mut registry = ServerRegistry::default();
        if let Some(known) = known {
            registry.apply(clock.now(), known.clone());
        }
        Watch { address, clock, registry, connection: None, schedule, has_received_list: false }
    }

    /// The address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The complete current list.
    pub fn server_list(&self) -> ServerList {
        self.registry.server_list()
    }

    /// Whether any list was received since the start.
    pub fn has_received_list(&self) -> bool {
        self.has_received_list
    }

    /// Changes the address of discovery and reconnects at once, continuing from the current version. Returns
    /// the old connection's socket, which the caller must remove from the poller.
    pub fn set_address(&mut self, address: SocketAddr) -> Option<TcpStream> {
        self.address = address;
        self.schedule.address_changed();
        self.registry.watch_ended();
        self.connection.take().map(|connection| connection.stream)
    }

    /// The state of the watch.
    pub fn phase(&self) -> Phase {
        self.schedule.phase()
    }

    /// The socket of the current connection.
    pub fn stream(&self) -> Option<&TcpStream> {
        self.connection.as_ref().map(|connection| &connection.stream)
    }

    /// Whether the poller should report when the socket is writable.
    pub fn wants_write(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| !connection.connected || !connection.request.is_empty())
    }

    /// When the next call, timeout or replacement of the current list by an older one is due.
    pub fn due(&self) -> Time {
        self.registry.due().into_iter().fold(self.schedule.due(), Time::min)
    }

    /// Returns the list that was set aside as older than the current one, once it has replaced the current
    /// one, see [`ServerRegistry::accept_older`].
    pub fn accept_older_list(&mut self, now: Time) -> Option<ServerList> {
        self.registry.accept_older(now)
    }

    /// Starts a connection if a call is due. Returns whether one was started.
    ///
    /// # Errors
    ///
    /// If the connection could not be started; the next call is made when it is [`Watch::due`].
    pub fn connect(&mut self, now: Time) -> Result<bool, WatchError> {
        if self.connection.is_some() || !self.schedule.is_call_due(now) {
            return Ok(false);
        }
        self.schedule.call_started(now);
        let stream = match badgergauge_net::connect(self.address) {
            Ok(stream) => stream,
            Err(error) => {
                self.schedule.watch_ended(now);
                return Err(error.into());
            }
        };
        let mut request = Outbox::default();
        let line = format!("GET /discovery/hosts?stream=1&index={} HTTP/1.1\r\n", self.registry.index());
        request.push(line.into_bytes());
        request.push(format!("Host: {}\r\nAccept: application/json\r\n\r\n", self.address).into_bytes());
        let (bytes, decoder) = (Vec::new(), ListDecoder::default());
        let body = Body::Head;
        self.connection =
            Some(Connection { stream, request, connected: false, bytes, body, decoder, has_list: false });
        Ok(true)
    }

    /// The error with which the watch ends if it has timed out.
    pub fn timeout_error(&self, now: Time) -> Option<WatchError> {
        let error = match self.schedule.phase() {
            Phase::Open(_) | Phase::ReadingList(_) => WatchError::Unresponsive,
            _ => WatchError::NoResponse,
        };
        self.schedule.is_timed_out(now).then_some(error)
    }

    /// Closes the connection and schedules the next call. Returns the socket, which the caller must remove
    /// from the poller. The current list stays valid.
    pub fn disconnect(&mut self, now: Time) -> Option<TcpStream> {
        let connection = self.connection.take()?;
        self.schedule.watch_ended(now);
        self.registry.watch_ended();
        Some(connection.stream)
    }

    /// Handles readiness of the socket: completes the connection, sends the request, and appends received
    /// lists to `lists`.
    ///
    /// # Errors
    ///
    /// If the connection has ended or the response is invalid; the caller must then call
    /// [`Watch::disconnect`].
    pub fn on_ready(&mut self, now: Time, lists: &mut Vec<ListUpdate>) -> Result<(), WatchError> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if !connection.connected {
            connection.connected = badgergauge_net::is_connected(&connection.stream)?;
        }
        if !connection.connected || !connection.request.flush(&mut connection.stream)? {
            return Ok(());
        }
        let mut buffer = [0; 16 * 1024];
        // The poller reports the socket again if more is left to read.
        for _ in 0..MAX_READS {
            let read = match connection.stream.read(&mut buffer) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error.into()),
            };
            connection.bytes.extend_from_slice(&buffer[..read]);
            let body = connection.take_body()?;
            connection.decoder.push(&body);
            let mut received_list = false;
            while let Some(list) = connection.decoder.next_list(&self.clock)? {
                received_list = true;
                self.has_received_list = true;
                let older = list.index < self.registry.index();
                let is_live = std::mem::replace(&mut connection.has_list, true) && !older;
                let list = self.registry.apply(now, list);
                lists.push(ListUpdate { list, is_live });
            }
            // Only complete items count as received: the start of a list does not mean that the rest will
            // arrive.
            let list_started = connection.decoder.buffered_bytes() > 0;
            if received_list || !(list_started || matches!(connection.body, Body::Head)) {
                self.schedule.received(now);
            }
            if list_started {
                self.schedule.list_started(now, !connection.has_list);
            }
            if matches!(&connection.body, Body::Chunked(chunks) if chunks.is_done()) {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(())
    }
}

impl Connection {
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
