//! Clients that open a connection for each request and record its outcome.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};

use crate::harness::{HANG_TIMEOUT, request, wait_until};

/// Number of client threads. Half of them send queries, few enough at once that a broker that has just
/// started refuses none; the other half send `GET /up`.
const THREADS: usize = 8;
/// Request for the broker's status.
pub const UP_REQUEST: &str = "GET /up HTTP/1.1\r\n\r\n";

/// Outcome of one connection and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response was received, with this status.
    Answered(u16),
    /// The connection was refused.
    Refused,
    /// The connection was reset.
    Reset,
    /// The connection was closed before any byte of the response.
    ClosedWithoutResponse,
    /// The connection was closed within the response.
    Incomplete,
    /// No complete response was received in time.
    NoAnswer,
}

/// Opens a connection, sends one request and reads the response.
pub fn exchange(address: SocketAddr, request: &str) -> Outcome {
    match TcpStream::connect(address) {
        Ok(mut stream) => send_request(&mut stream, request),
        Err(error) => outcome_of_error(error.kind()),
    }
}

fn outcome_of_error(kind: ErrorKind) -> Outcome {
    match kind {
        ErrorKind::ConnectionRefused => Outcome::Refused,
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Outcome::NoAnswer,
        _ => Outcome::Reset,
    }
}

/// Sends one request on a connection and reads the response.
fn send_request(stream: &mut TcpStream, request: &str) -> Outcome {
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return outcome_of_error(error.kind());
    }
    read_response(stream)
}

/// Reads the response to a request that was sent.
pub fn read_response(stream: &mut TcpStream) -> Outcome {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(status) = response_status(&bytes) {
            return Outcome::Answered(status);
        }
        match stream.read(&mut buffer) {
            Ok(0) if bytes.is_empty() => return Outcome::ClosedWithoutResponse,
            Ok(0) => return Outcome::Incomplete,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return outcome_of_error(error.kind()),
        }
    }
}

/// The status of a response, once it is complete.
fn response_status(bytes: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "))?;
    let is_complete = body.len() >= length.trim().parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    is_complete.then_some(status)
}

/// Number of requests by kind and outcome.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub queries: BTreeMap<Outcome, usize>,
    /// `GET /up` requests.
    pub up_requests: BTreeMap<Outcome, usize>,
}

impl Outcomes {
    /// Number of all requests.
    pub fn total(&self) -> usize {
        self.queries.values().chain(self.up_requests.values()).sum()
    }

    /// Number of requests whose outcome satisfies the predicate.
    pub fn count(&self, is_counted: impl Fn(&Outcome) -> bool) -> usize {
        let all = self.queries.iter().chain(&self.up_requests);
        all.filter(|(outcome, _)| is_counted(outcome)).map(|(_, count)| count).sum()
    }

    /// Number of requests without a complete response.
    pub fn lost(&self) -> usize {
        self.count(|outcome| !matches!(outcome, Outcome::Answered(_)))
    }

    /// Checks that no request was lost and every query succeeded.
    pub fn assert_all_succeeded(&self) {
        assert_eq!(self.lost(), 0, "{self:?}");
        assert!(self.queries.keys().all(|outcome| *outcome == Outcome::Answered(200)), "{self:?}");
    }

    /// Checks that the broker reported itself as up to every `GET /up`.
    pub fn assert_always_up(&self) {
        assert!(self.up_requests.keys().all(|outcome| *outcome == Outcome::Answered(200)), "{self:?}");
    }
}

/// Clients that send requests continuously until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    /// Number of completed queries, whatever their outcome.
    completed: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Outcomes>>,
}

impl Load {
    pub fn start(address: SocketAddr) -> Self {
        let (stop, completed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let threads = (0..THREADS).map(|thread| {
            let (stop, completed) = (stop.clone(), completed.clone());
            thread::spawn(move || run(address, thread, &stop, &completed))
        });
        Load { threads: threads.collect(), stop, completed }
    }

    /// Waits until this many more queries are completed.
    pub fn wait_for(&self, more: usize) {
        let enough = self.completed.load(Ordering::Relaxed) + more;
        wait_until("the clients make no progress", || self.completed.load(Ordering::Relaxed) >= enough);
    }

    /// Stops the clients and returns the outcomes of all requests.
    pub fn finish(self) -> Outcomes {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Outcomes::default();
        for thread in self.threads {
            let outcomes = thread.join().expect("client thread");
            outcomes
                .queries
                .into_iter()
                .for_each(|(outcome, count)| *all.queries.entry(outcome).or_default() += count);
            outcomes
                .up_requests
                .into_iter()
                .for_each(|(outcome, count)| *all.up_requests.entry(outcome).or_default() += count);
        }
        all
    }
}

fn run(address: SocketAddr, thread: usize, stop: &AtomicBool, completed: &AtomicUsize) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        if thread.is_multiple_of(2) {
            *outcomes.up_requests.entry(exchange(address, UP_REQUEST)).or_default() += 1;
        } else {
            let part = request("search", &format!("c{thread}-{number}"), &[0], 50_000);
            *outcomes.queries.entry(exchange(address, &part)).or_default() += 1;
            completed.fetch_add(1, Ordering::Relaxed);
        }
    }
    outcomes
}
