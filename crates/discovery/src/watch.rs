//! A watch on discovery, over one connection after another.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};

use badgergauge_core::interface::Time;
use badgergauge_net::clock::Clock;
use badgergauge_net::http::ChunkedDecoder;
use badgergauge_net::outbox::Outbox;

use crate::list::{ListDecoder, ListError, MAX_LIST_BYTES, ServerList};
use crate::registry::ServerRegistry;
use crate::schedule::{CallSchedule, Phase};

/// Reads of one turn.
const READS: usize = 16;

/// Why a watch is over. The last list stays valid, and a new watch is opened.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// It has brought nothing for too long.
    #[error("silent: look whether discovery still runs and can be reached from here")]
    Unresponsive,
    /// Its call was not answered in time.
    #[error("no answer: look whether discovery still runs and can be reached from here")]
    NoResponse,
    /// The answer is another one than a watch's.
    #[error("{0}: look whether the address is that of discovery")]
    UnexpectedResponse(String),
    /// What it brought is no list.
    #[error(transparent)]
    List(#[from] ListError),
    /// Its connection ended, or never came up.
    #[error("{0}: look whether discovery runs at the address in the configuration")]
    ConnectionLost(#[from] io::Error),
}

/// A watch on discovery.
pub struct Watch {
    address: SocketAddr,
    clock: Clock,
    /// The list in hand.
    registry: ServerRegistry,
    link: Option<Link>,
    schedule: CallSchedule,
    /// Whether discovery has given any list yet.
    told: bool,
}

struct Link {
    stream: TcpStream,
    request: Outbox,
    connected: bool,
    bytes: Vec<u8>,
    body: Body,
    decoder: ListDecoder,
    /// Whether it has brought a list: what comes behind that is told as it changes.
    stands: bool,
}

/// How an answer's body comes.
enum Body {
    /// Its head is not whole yet.
    Head,
    /// In chunks.
    Chunked(ChunkedDecoder),
    /// As it is, up to the connection's end. A list ends with its last brace, so a reset is no end of one.
    Plain,
}

/// A list that a watch has brought.
#[derive(Debug)]
pub struct ListUpdate {
    /// The list.
    pub list: ServerList,
    /// Whether it was told as it came; the first one of a watch may hold what counts as told for long.
    pub is_live: bool,
}

impl Watch {
    /// A watch that goes on from a list.
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
        Watch { address, clock, registry, link: None, schedule, told: false }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The list in hand, whole.
    pub fn server_list(&self) -> ServerList {
        self.registry.server_list()
    }

    /// Whether discovery has given any list since the start.
    pub fn has_received_list(&self) -> bool {
        self.told
    }

    /// Leads it elsewhere, from the version in hand, at once. Gives the socket of the old connection for
    /// the poller to forget.
    pub fn set_address(&mut self, address: SocketAddr) -> Option<TcpStream> {
        self.address = address;
        self.schedule.address_changed();
        self.registry.watch_ended();
        self.link.take().map(|link| link.stream)
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.schedule.phase()
    }

    /// The socket, while there is one.
    pub fn stream(&self) -> Option<&TcpStream> {
        self.link.as_ref().map(|link| &link.stream)
    }

    /// Whether the socket has anything to write.
    pub fn wants_write(&self) -> bool {
        self.link.as_ref().is_some_and(|link| !link.connected || !link.request.is_empty())
    }

    /// When silence or a new connection is to be looked at, at the latest.
    pub fn due(&self) -> Time {
        self.registry.due().into_iter().fold(self.schedule.due(), Time::min)
    }

    /// A list that was set aside as it was older than the one in hand, once it must be what discovery has.
    pub fn accept_older_list(&mut self, now: Time) -> Option<ServerList> {
        self.registry.accept_older(now)
    }

    /// Begins a connection if one is due.
    ///
    /// # Errors
    ///
    /// When none could be begun; the next call comes when it is [`Watch::due`].
    pub fn connect(&mut self, now: Time) -> Result<bool, WatchError> {
        if self.link.is_some() || !self.schedule.is_call_due(now) {
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
        self.link = Some(Link { stream, request, connected: false, bytes, body, decoder, stands: false });
        Ok(true)
    }

    /// Why the watch is to be given up, if it is: nothing has come for too long.
    pub fn timeout_error(&self, now: Time) -> Option<WatchError> {
        let why = match self.schedule.phase() {
            Phase::Open(_) | Phase::ReadingList(_) => WatchError::Unresponsive,
            _ => WatchError::NoResponse,
        };
        self.schedule.is_timed_out(now).then_some(why)
    }

    /// Gives up the connection, and gives its socket for the poller to forget. The last list stays valid.
    pub fn disconnect(&mut self, now: Time) -> Option<TcpStream> {
        let link = self.link.take()?;
        self.schedule.watch_ended(now);
        self.registry.watch_ended();
        Some(link.stream)
    }

    /// Does what the socket is ready for, and appends the lists that came.
    ///
    /// # Errors
    ///
    /// When the connection has ended or is of no use; [`Watch::disconnect`] follows.
    pub fn on_ready(&mut self, now: Time, lists: &mut Vec<ListUpdate>) -> Result<(), WatchError> {
        let Some(link) = &mut self.link else { return Ok(()) };
        if !link.connected {
            link.connected = badgergauge_net::is_connected(&link.stream)?;
        }
        if !link.connected || !link.request.flush(&mut link.stream)? {
            return Ok(());
        }
        let mut buffer = [0; 16 * 1024];
        // The rest is reported again: a discovery that sends without a pause must not keep the loop from all else.
        for _ in 0..READS {
            let read = match link.stream.read(&mut buffer) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error.into()),
            };
            link.bytes.extend_from_slice(&buffer[..read]);
            let text = link.take_text()?;
            link.decoder.push(&text);
            let mut whole = false;
            while let Some(list) = link.decoder.next_list(&self.clock)? {
                whole = true;
                self.told = true;
                let older = list.index < self.registry.index();
                let is_live = std::mem::replace(&mut link.stands, true) && !older;
                let list = self.registry.apply(now, list);
                lists.push(ListUpdate { list, is_live });
            }
            // What is left of a list says nothing of the next: only what is whole does.
            let begun = link.decoder.buffered_bytes() > 0;
            if whole || !(begun || matches!(link.body, Body::Head)) {
                self.schedule.received(now);
            }
            if begun {
                self.schedule.list_started(now, !link.stands);
            }
            if matches!(&link.body, Body::Chunked(chunks) if chunks.is_done()) {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(())
    }
}

impl Link {
    /// What has come of the body.
    fn take_text(&mut self) -> Result<Vec<u8>, WatchError> {
        if matches!(self.body, Body::Head) {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response
                .parse(&self.bytes)
                .map_err(|error| WatchError::UnexpectedResponse(error.to_string()))?;
            let httparse::Status::Complete(length) = parsed else {
                return match self.bytes.len() > MAX_LIST_BYTES {
                    true => Err(WatchError::UnexpectedResponse("the head is too long".to_owned())),
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
        let mut text = Vec::new();
        match &mut self.body {
            Body::Head => {}
            Body::Plain => text = std::mem::take(&mut self.bytes),
            Body::Chunked(chunks) => {
                let used = chunks.decode(&self.bytes, &mut text).map_err(|error| {
                    WatchError::UnexpectedResponse(format!("the watch's chunks: {error}"))
                })?;
                self.bytes.drain(..used);
            }
        }
        Ok(text)
    }
}
