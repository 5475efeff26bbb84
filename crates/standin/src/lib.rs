//! Stand-ins on loopback: a tile server that speaks the frames of the platform's protocol and serves every part
//! with a value made from the shard and the text alone, so that two servers of a shard give the same answer.
//!
//! What one does with each part is a [`Behaviour`]; a test or the demo may change it while the server runs. A
//! [`world`] is many of them with a discovery, in one thread, with service times, cold starts and limits.

pub mod ledger;
pub mod model;
pub mod world;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Longest frame that is taken.
pub(crate) const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// What a server does with the parts that come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Serves each.
    #[default]
    Serve,
    /// Answers each with an error.
    Fail,
    /// Turns each away unseen.
    Reject,
    /// Takes each and answers none.
    Ignore,
    /// Closes the connection on the first.
    CloseConnection,
}

/// A part that came, as its call named it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPart {
    /// The id of the part: the query's, a dot, the shard.
    pub id: String,
    /// The shard.
    pub shard: u32,
    /// The query's idempotency key, in a keyed class.
    pub key: Option<String>,
}

#[derive(Default)]
struct Shared {
    behaviour: Behaviour,
    received: Vec<ReceivedPart>,
    recording: bool,
}

/// A running stand-in. Its threads end with the process.
pub struct TileServer {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl TileServer {
    /// Starts one on a port of its own.
    ///
    /// # Errors
    ///
    /// When loopback has no port left.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let of_threads = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = of_threads.clone();
                // An error ends the connection, which is all that a tile server would show of it.
                thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(TileServer { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.shared).behaviour = behaviour;
    }

    /// Whether it remembers what comes; off at first, as the demo may run for days.
    pub fn record_parts(&self, recording: bool) {
        lock(&self.shared).recording = recording;
    }

    /// The parts that came while it remembered, and forgets them.
    pub fn take_received_parts(&self) -> Vec<ReceivedPart> {
        std::mem::take(&mut lock(&self.shared).received)
    }
}

/// The state stays usable when a thread has panicked: each change to it is whole.
fn lock(shared: &Mutex<Shared>) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The value of a part: of the shard and the text, nothing else.
pub fn part_value(shard: u32, text: &[u8]) -> String {
    let start = 0xcbf2_9ce4_8422_2325_u64 ^ u64::from(shard);
    let hash = text.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
    format!("{hash:016x}")
}

fn invalid(fault: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, fault.to_owned())
}

fn serve(mut stream: TcpStream, shared: &Mutex<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return write(&mut stream, b"ea frame of no use");
        }
        let mut frame = vec![0; length];
        stream.read_exact(&mut frame)?;
        match frame[0] {
            b'q' => call(&mut stream, &frame[1..], shared)?,
            b'c' => {}
            b'p' => write(&mut stream, b"pserved")?,
            b'l' => write(&mut stream, b"l-")?,
            _ => return write(&mut stream, b"eno such frame"),
        }
    }
}

fn write(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(|_| invalid("too long"))?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes)
}

/// A part as a call carries it.
pub(crate) struct CallPart<'a> {
    pub(crate) id: String,
    pub(crate) shard: u32,
    pub(crate) key: Option<String>,
    pub(crate) text: &'a [u8],
}

/// The parts of a call: for each a line and its text.
pub(crate) fn parse_call(mut rest: &[u8]) -> io::Result<Vec<CallPart<'_>>> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n').ok_or_else(|| invalid("no line"))?;
        let line = std::str::from_utf8(&rest[..end]).map_err(|_| invalid("not text"))?;
        let mut words = line.split(' ');
        let mut word = || words.next().ok_or_else(|| invalid("a word is missing"));
        let (id, shard, list, length) = (word()?.to_owned(), word()?, word()?, word()?);
        let shard = shard.parse().map_err(|_| invalid("no shard"))?;
        let length: usize = length.parse().map_err(|_| invalid("no length"))?;
        let text = rest.get(end + 1..end + 1 + length).ok_or_else(|| invalid("the text is short"))?;
        rest = &rest[end + 1 + length..];
        let key = list.split(',').find_map(|entry| entry.strip_prefix("k=")).map(str::to_owned);
        parts.push(CallPart { id, shard, key, text });
    }
    Ok(parts)
}

fn call(stream: &mut TcpStream, rest: &[u8], shared: &Mutex<Shared>) -> io::Result<()> {
    for CallPart { id, shard, key, text } in parse_call(rest)? {
        let behaviour = {
            let mut shared = lock(shared);
            if shared.recording {
                shared.received.push(ReceivedPart { id: id.clone(), shard, key });
            }
            shared.behaviour
        };
        match behaviour {
            Behaviour::Serve => {
                let value = part_value(shard, text);
                write(stream, format!("a{id} served {} -\n{value}", shard + 1).as_bytes())?;
            }
            Behaviour::Fail => write(stream, format!("a{id} broke 0 -\n").as_bytes())?,
            Behaviour::Reject => write(stream, format!("a{id} skipped 0 -\n").as_bytes())?,
            Behaviour::Ignore => {}
            Behaviour::CloseConnection => return Err(invalid("told to")),
        }
    }
    Ok(())
}
