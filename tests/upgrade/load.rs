//! Clients that open a connection for each request, and what has become of each.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};

use crate::stage::{HANGS, request, until};

/// Half of them ask for parts, fewer at once than a broker that has just started refuses, and half ask whether the
/// broker is up.
const THREADS: usize = 8;
pub const UP: &str = "GET /up HTTP/1.1\r\n\r\n";

/// What has become of one connection and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A whole answer came, with this status.
    Answered(u16),
    Refused,
    Reset,
    /// It ended, and nothing had come.
    ClosedUnread,
    /// It ended within the answer.
    Incomplete,
    /// No whole answer came in time.
    NoAnswer,
}

/// Opens a connection, writes one request and reads its answer.
pub fn exchange(address: SocketAddr, request: &str) -> Outcome {
    match TcpStream::connect(address) {
        Ok(mut stream) => answer(&mut stream, request),
        Err(error) => fault(error.kind()),
    }
}

fn fault(kind: ErrorKind) -> Outcome {
    match kind {
        ErrorKind::ConnectionRefused => Outcome::Refused,
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Outcome::NoAnswer,
        _ => Outcome::Reset,
    }
}

/// Writes one request on a connection and reads its answer.
fn answer(stream: &mut TcpStream, request: &str) -> Outcome {
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return fault(error.kind());
    }
    read_answer(stream)
}

/// Reads the answer to a request that was written.
pub fn read_answer(stream: &mut TcpStream) -> Outcome {
    stream.set_read_timeout(Some(HANGS)).expect("set");
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(status) = whole_answer(&bytes) {
            return Outcome::Answered(status);
        }
        match stream.read(&mut buffer) {
            Ok(0) if bytes.is_empty() => return Outcome::ClosedUnread,
            Ok(0) => return Outcome::Incomplete,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return fault(error.kind()),
        }
    }
}

/// The status of an answer, once it is whole.
fn whole_answer(bytes: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "))?;
    let is_whole = body.len() >= length.trim().parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    is_whole.then_some(status)
}

/// How many requests of each kind had each outcome.
#[derive(Debug, Default)]
pub struct Tally {
    pub parts: BTreeMap<Outcome, usize>,
    pub ups: BTreeMap<Outcome, usize>,
}

impl Tally {
    /// All requests.
    pub fn total(&self) -> usize {
        self.parts.values().chain(self.ups.values()).sum()
    }

    /// Requests with an outcome of this kind.
    pub fn count(&self, is_counted: impl Fn(&Outcome) -> bool) -> usize {
        let all = self.parts.iter().chain(&self.ups);
        all.filter(|(outcome, _)| is_counted(outcome)).map(|(_, count)| count).sum()
    }

    /// Requests that got no whole answer.
    pub fn lost(&self) -> usize {
        self.count(|outcome| !matches!(outcome, Outcome::Answered(_)))
    }

    /// Nothing is lost, and each part was answered with success.
    pub fn assert_whole(&self) {
        assert_eq!(self.lost(), 0, "{self:?}");
        assert!(self.parts.keys().all(|outcome| *outcome == Outcome::Answered(200)), "{self:?}");
    }

    /// The broker said at no time that it is not up.
    pub fn assert_up_throughout(&self) {
        assert!(self.ups.keys().all(|outcome| *outcome == Outcome::Answered(200)), "{self:?}");
    }
}

/// Clients that come without a pause until they are told to end.
pub struct Load {
    ends: Arc<AtomicBool>,
    /// Requests for a part that have had their outcome.
    done: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Tally>>,
}

impl Load {
    pub fn start(address: SocketAddr) -> Self {
        let (ends, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let threads = (0..THREADS).map(|thread| {
            let (ends, done) = (ends.clone(), done.clone());
            thread::spawn(move || run(address, thread, &ends, &done))
        });
        Load { threads: threads.collect(), ends, done }
    }

    /// Waits until so many more requests for a part have had their outcome.
    pub fn wait_for(&self, more: usize) {
        let enough = self.done.load(Ordering::Relaxed) + more;
        until("the clients do not get on", || self.done.load(Ordering::Relaxed) >= enough);
    }

    /// Ends the load. Gives what has become of all.
    pub fn end(self) -> Tally {
        self.ends.store(true, Ordering::Relaxed);
        let mut all = Tally::default();
        for thread in self.threads {
            let tally = thread.join().expect("a sound client");
            tally
                .parts
                .into_iter()
                .for_each(|(outcome, count)| *all.parts.entry(outcome).or_default() += count);
            tally.ups.into_iter().for_each(|(outcome, count)| *all.ups.entry(outcome).or_default() += count);
        }
        all
    }
}

fn run(address: SocketAddr, thread: usize, ends: &AtomicBool, done: &AtomicUsize) -> Tally {
    let mut tally = Tally::default();
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        number += 1;
        if thread.is_multiple_of(2) {
            *tally.ups.entry(exchange(address, UP)).or_default() += 1;
        } else {
            let part = request("search", &format!("c{thread}-{number}"), &[0], 50_000);
            *tally.parts.entry(exchange(address, &part)).or_default() += 1;
            done.fetch_add(1, Ordering::Relaxed);
        }
    }
    tally
}
