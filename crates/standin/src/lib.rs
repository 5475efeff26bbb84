//! Stand-in tile servers on loopback for tests and the demo. A server speaks the platform's frame protocol
//! and serves every part with a value that depends only on the shard and the text, so that all replicas of a
//! shard give the same answer.
//!
//! [`TileServer`] is a simple server whose [`Behaviour`] can be changed while it runs. A [`world`] runs many
//! servers and a discovery service in one thread, with service times, cold starts and limits.

pub mod ledger;
pub mod model;
pub mod world;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Largest accepted frame, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// How a server handles the parts that it receives; all but `Serve` are faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Serves every part.
    #[default]
    Serve,
    /// Answers every part with an error.
    Fail,
    /// Rejects every part without processing it.
    Reject,
    /// Accepts every part and answers none.
    Ignore,
    /// Closes the connection on receiving a part.
    CloseConnection,
}

/// A part that a server received, as its call identifies it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPart {
    /// The part's id: the query's id, a dot and the shard.
    pub id: String,
    /// The shard.
    pub shard: u32,
    /// The query's idempotency key, if its class is keyed.
    pub key: Option<String>,
}

#[derive(Default)]
struct Shared {
    behaviour: Behaviour,
    received: Vec<ReceivedPart>,
    recording: bool,
}

/// A running stand-in tile server. Its threads end with the process.
pub struct TileServer {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl TileServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let shared_state = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared_state.clone();
                // On an error the connection is closed, which is all that a peer of a real server sees.
                thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(TileServer { address, shared })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it handles parts from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.shared).behaviour = behaviour;
    }

    /// Turns the recording of received parts on or off. It is off at first, as the demo may run for days and
    /// the record grows without a limit.
    pub fn record_parts(&self, recording: bool) {
        lock(&self.shared).recording = recording;
    }

    /// Returns the recorded parts and clears the record.
    pub fn take_received_parts(&self) -> Vec<ReceivedPart> {
        std::mem::take(&mut lock(&self.shared).received)
    }
}

/// Locks the state. A poisoned lock is usable: no update leaves the state inconsistent when a thread panics.
fn lock(shared: &Mutex<Shared>) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The value that servers return for a part: a hash of the shard and the text (FNV-1a).
pub fn part_value(shard: u32, text: &[u8]) -> String {
    let start = 0xcbf2_9ce4_8422_2325_u64 ^ u64::from(shard);
    let hash = text.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
    format!("{hash:016x}")
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

fn serve(mut stream: TcpStream, shared: &Mutex<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return write_frame(&mut stream, b"ea frame of no use");
        }
        let mut frame = vec![0; length];
        stream.read_exact(&mut frame)?;
        match frame[0] {
            b'q' => handle_call(&mut stream, &frame[1..], shared)?,
            b'c' => {}
            b'p' => write_frame(&mut stream, b"pserved")?,
            b'l' => write_frame(&mut stream, b"l-")?,
            _ => return write_frame(&mut stream, b"eno such frame"),
        }
    }
}

fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(|_| invalid_data("the frame is too long"))?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes)
}

/// A part in a call frame.
pub(crate) struct CallPart<'a> {
    pub(crate) id: String,
    pub(crate) shard: u32,
    pub(crate) key: Option<String>,
    pub(crate) text: &'a [u8],
}

/// Parses the body of a call frame: for each part a header line, `ID SHARD OPTIONS LENGTH`, and a text of
/// that many bytes.
pub(crate) fn parse_call(mut rest: &[u8]) -> io::Result<Vec<CallPart<'_>>> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest
            .iter()
            .position(|b| *b == b'\n')
            .ok_or_else(|| invalid_data("a part has no newline after its header"))?;
        let line =
            std::str::from_utf8(&rest[..end]).map_err(|_| invalid_data("a part's header is not UTF-8"))?;
        let mut fields = line.split(' ');
        let mut field =
            || fields.next().ok_or_else(|| invalid_data("a part's header has fewer than four fields"));
        let (id, shard, options, length) = (field()?.to_owned(), field()?, field()?, field()?);
        let shard = shard.parse().map_err(|_| invalid_data("a part's shard is not a number"))?;
        let length: usize =
            length.parse().map_err(|_| invalid_data("a part's text length is not a number"))?;
        let text = rest
            .get(end + 1..end + 1 + length)
            .ok_or_else(|| invalid_data("a part's text is shorter than its length field"))?;
        rest = &rest[end + 1 + length..];
        let key = options.split(',').find_map(|entry| entry.strip_prefix("k=")).map(str::to_owned);
        parts.push(CallPart { id, shard, key, text });
    }
    Ok(parts)
}

/// The ids of the parts of a call, given the rest of its frame after the letter.
///
/// # Errors
///
/// When the call does not have the form that the protocol states.
pub fn call_part_ids(rest: &[u8]) -> io::Result<Vec<String>> {
    Ok(parse_call(rest)?.into_iter().map(|part| part.id).collect())
}

fn handle_call(stream: &mut TcpStream, rest: &[u8], shared: &Mutex<Shared>) -> io::Result<()> {
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
                write_frame(stream, format!("a{id} served {} -\n{value}", shard + 1).as_bytes())?;
            }
            Behaviour::Fail => write_frame(stream, format!("a{id} broke 0 -\n").as_bytes())?,
            Behaviour::Reject => write_frame(stream, format!("a{id} skipped 0 -\n").as_bytes())?,
            Behaviour::Ignore => {}
            Behaviour::CloseConnection => return Err(invalid_data("closing the connection, as configured")),
        }
    }
    Ok(())
}
