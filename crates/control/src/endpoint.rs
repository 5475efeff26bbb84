//! The endpoint's thread: it accepts operators' connections and gives each its turn.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker};
use thiserror::Error;

use crate::connection::{Connection, Turn};
use crate::operations::Operations;

/// Connections held at the most; beyond that the one that is missed least makes room.
const MAX_CONNECTIONS: usize = 32;
/// Descriptors that the endpoint uses at the most: its connections, its listener, its poller, and one connection that
/// was accepted and waits for room.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 5;
/// Connections accepted before those that are ready get their turn.
const MAX_ACCEPTS: usize = 16;
/// How long the thread waits at the most before it looks for connections whose time is over.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Pause before the next accept after the system had no descriptor for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

const LISTENER: usize = 0;

/// Why the endpoint can't be started.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// Its address can't be bound.
    #[error(
        "{address}: {source}: another process may hold the address; name a free one in `control` or $BALANCER_CONTROL"
    )]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The system has no descriptors or threads left for it.
    #[error("no thread for it: {0}; raise the limits on descriptors (ulimit -n) or threads")]
    Thread(io::Error),
}

/// A running control endpoint. Its thread ends with the process.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    address: SocketAddr,
}

impl Endpoint {
    /// Listens at an address and serves calls from then on. `waker` wakes the broker's loop when a call has asked for a
    /// change.
    ///
    /// # Errors
    ///
    /// When it can't listen or there is no thread for it.
    pub fn start(
        address: SocketAddr,
        operations: Arc<Operations>,
        waker: Waker,
    ) -> Result<Self, EndpointError> {
        let bind = |source| EndpointError::Bind { address, source };
        let listener = TcpListener::bind(address).map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let server = Server::new(listener, operations, waker).map_err(EndpointError::Thread)?;
        let thread = thread::Builder::new().name("control".to_owned());
        thread.spawn(move || server.run()).map_err(EndpointError::Thread)?;
        Ok(Endpoint { address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Server {
    listener: TcpListener,
    poll: Poll,
    operations: Arc<Operations>,
    waker: Waker,
    connections: HashMap<usize, Connection>,
    last_key: usize,
    /// When to accept again, after the system had no room.
    accepts_at: Option<Instant>,
}

impl Server {
    fn new(listener: TcpListener, operations: Arc<Operations>, waker: Waker) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let poll = Poll::new()?;
        poll.add(&listener, LISTENER, true, false)?;
        let connections = HashMap::new();
        Ok(Server { listener, poll, operations, waker, connections, last_key: LISTENER, accepts_at: None })
    }

    fn run(mut self) {
        let mut ready = Vec::new();
        loop {
            let wait = self.next_due(Instant::now());
            if self.poll.wait(Some(wait), &mut ready).is_err() {
                // The poller itself has failed: nothing more can be served here, and clients still are.
                return;
            }
            let now = Instant::now();
            for report in ready.drain(..) {
                self.ready(now, report);
            }
            self.expire(now);
        }
    }

    /// How long nothing is due.
    fn next_due(&self, now: Instant) -> Duration {
        let expiries = self.connections.values().map(Connection::expires);
        let next = expiries.chain(self.accepts_at).min();
        next.map_or(LONGEST_WAIT, |at| at.saturating_duration_since(now).min(LONGEST_WAIT))
    }

    fn ready(&mut self, now: Instant, report: Ready) {
        if report.key == LISTENER {
            self.accept(now);
        } else {
            self.serve(now, report.key);
        }
    }

    fn accept(&mut self, now: Instant) {
        self.accepts_at = None;
        for _ in 0..MAX_ACCEPTS {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.make_room();
                    if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_ok() {
                        self.admit(now, Connection::new(stream, now));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // Its caller has left, or no descriptor is free: reported at once again, the latter would spin.
                Err(_) => {
                    self.accepts_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
        let _ = self.poll.ask(&self.listener, LISTENER, true, false);
    }

    fn admit(&mut self, now: Instant, connection: Connection) {
        self.last_key += 1;
        let key = self.last_key;
        if self.poll.add(connection.stream(), key, true, false).is_ok() {
            self.connections.insert(key, connection);
            // A call often comes with its connection: it is answered before anyone has to make room.
            self.serve(now, key);
        }
    }

    fn make_room(&mut self) {
        if self.connections.len() < MAX_CONNECTIONS {
            return;
        }
        let first = self.connections.iter().min_by_key(|(_, connection)| connection.eviction_rank());
        if let Some(key) = first.map(|(key, _)| *key) {
            self.close(key);
        }
    }

    fn serve(&mut self, now: Instant, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        match connection.ready(now, &self.operations) {
            Turn::Over => return self.close(key),
            Turn::ChangeRequested => self.waker.wake(),
            Turn::Open => {}
        }
        let Some(connection) = self.connections.get(&key) else { return };
        if self.poll.ask(connection.stream(), key, connection.wants_read(), connection.wants_write()).is_err()
        {
            self.close(key);
        }
    }

    fn expire(&mut self, now: Instant) {
        if self.accepts_at.is_some_and(|at| at <= now) {
            self.accept(now);
        }
        let expired =
            |(key, connection): (&usize, &Connection)| (connection.expires() <= now).then_some(*key);
        for key in self.connections.iter().filter_map(expired).collect::<Vec<_>>() {
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(connection) = self.connections.remove(&key) {
            self.poll.remove(connection.stream());
        }
    }
}
