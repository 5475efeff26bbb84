//! A watch on discovery, over one connection after another.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};

use badgergauge_core::interface::Time;
use badgergauge_net::clock::Clock;
use badgergauge_net::http::ChunkedDecoder;
use badgergauge_net::outbox::Outbox;

use crate::list::{ListError, Listing, MAX_LIST, Values};
use crate::pace::{Pace, Phase};
use crate::register::Register;

/// Reads of one turn.
const READS: usize = 16;

/// Why a watch is over. The last list stays valid, and a new watch is opened.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// It has brought nothing for too long.
    #[error("silent: look whether discovery still runs and can be reached from here")]
    Silent,
    /// Its call was not answered in time.
    #[error("no answer: look whether discovery still runs and can be reached from here")]
    NoAnswer,
    /// The answer is another one than a watch's.
    #[error("{0}: look whether the address is that of discovery")]
    Answer(String),
    /// What it brought is no list.
    #[error(transparent)]
    List(#[from] ListError),
    /// Its connection ended, or never came up.
    #[error("{0}: look whether discovery runs at the address in the configuration")]
    Lost(#[from] io::Error),
}

/// A watch on discovery.
pub struct Watch {
    address: SocketAddr,
    clock: Clock,
    /// The list in hand.
    register: Register,
    link: Option<Link>,
    pace: Pace,
    /// Whether discovery has given any list yet.
    told: bool,
}

struct Link {
    stream: TcpStream,
    request: Outbox,
    connected: bool,
    bytes: Vec<u8>,
    body: Body,
    values: Values,
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
pub struct Told {
    /// The list.
    pub list: Listing,
    /// Whether it was told as it came; the first one of a watch may hold what counts as told for long.
    pub at_once: bool,
}

impl Watch {
    /// A watch that goes on from a list.
    pub fn new(address: SocketAddr, known: Option<&Listing>, clock: Clock, pace: Pace) -> Self {
        let mut register = Register::default();
        if let Some(known) = known {
            register.take(clock.now(), known.clone());
        }
        Watch { address, clock, register, link: None, pace, told: false }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The list in hand, whole.
    pub fn listing(&self) -> Listing {
        self.register.listing()
    }

    /// Whether discovery has given any list since the start.
    pub fn has_told(&self) -> bool {
        self.told
    }

    /// Leads it elsewhere, from the version in hand, at once. Gives the socket of the old connection for
    /// the poller to forget.
    pub fn move_to(&mut self, address: SocketAddr) -> Option<TcpStream> {
        self.address = address;
        self.pace.moved();
        self.register.ended();
        self.link.take().map(|link| link.stream)
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.pace.phase()
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
        self.register.due().into_iter().fold(self.pace.due(), Time::min)
    }

    /// A list that was set aside as it was older than the one in hand, once it must be what discovery has.
    pub fn believe(&mut self, now: Time) -> Option<Listing> {
        self.register.believe(now)
    }

    /// Begins a connection if one is due.
    ///
    /// # Errors
    ///
    /// When none could be begun; the next call comes when it is [`Watch::due`].
    pub fn connect(&mut self, now: Time) -> Result<bool, WatchError> {
        if self.link.is_some() || !self.pace.may_ask(now) {
            return Ok(false);
        }
        self.pace.asked(now);
        let stream = match badgergauge_net::connect(self.address) {
            Ok(stream) => stream,
            Err(error) => {
                self.pace.ended(now);
                return Err(error.into());
            }
        };
        let mut request = Outbox::default();
        let line = format!("GET /discovery/hosts?stream=1&index={} HTTP/1.1\r\n", self.register.index());
        request.push(line.into_bytes());
        request.push(format!("Host: {}\r\nAccept: application/json\r\n\r\n", self.address).into_bytes());
        let (bytes, values) = (Vec::new(), Values::default());
        let body = Body::Head;
        self.link = Some(Link { stream, request, connected: false, bytes, body, values, stands: false });
        Ok(true)
    }

    /// Why the watch is to be given up, if it is: nothing has come for too long.
    pub fn is_over(&self, now: Time) -> Option<WatchError> {
        let why = match self.pace.phase() {
            Phase::Open(_) | Phase::List(_) => WatchError::Silent,
            _ => WatchError::NoAnswer,
        };
        self.pace.is_over(now).then_some(why)
    }

    /// Gives up the connection, and gives its socket for the poller to forget. The last list stays valid.
    pub fn drop_link(&mut self, now: Time) -> Option<TcpStream> {
        let link = self.link.take()?;
        self.pace.ended(now);
        self.register.ended();
        Some(link.stream)
    }

    /// Does what the socket is ready for, and appends the lists that came.
    ///
    /// # Errors
    ///
    /// When the connection has ended or is of no use; [`Watch::drop_link`] follows.
    pub fn ready(&mut self, now: Time, lists: &mut Vec<Told>) -> Result<(), WatchError> {
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
            link.values.push(&text);
            let mut whole = false;
            while let Some(list) = link.values.next(&self.clock)? {
                whole = true;
                self.told = true;
                let older = list.index < self.register.index();
                let at_once = std::mem::replace(&mut link.stands, true) && !older;
                let list = self.register.take(now, list);
                lists.push(Told { list, at_once });
            }
            // What is left of a list says nothing of the next: only what is whole does.
            let begun = link.values.held() > 0;
            if whole || !(begun || matches!(link.body, Body::Head)) {
                self.pace.heard(now);
            }
            if begun {
                self.pace.begun(now, !link.stands);
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
            let parsed =
                response.parse(&self.bytes).map_err(|error| WatchError::Answer(error.to_string()))?;
            let httparse::Status::Complete(length) = parsed else {
                return match self.bytes.len() > MAX_LIST {
                    true => Err(WatchError::Answer("the head is too long".to_owned())),
                    false => Ok(Vec::new()),
                };
            };
            if response.code != Some(200) {
                return Err(WatchError::Answer(format!("status {}", response.code.unwrap_or(0))));
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
                let used = chunks
                    .decode(&self.bytes, &mut text)
                    .map_err(|error| WatchError::Answer(format!("the watch's chunks: {error}")))?;
                self.bytes.drain(..used);
            }
        }
        Ok(text)
    }
}
