//! The endpoint's thread: it accepts operators' connections and gives each its turn.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_poll::{Poll, Ready, Waker};
use thiserror::Error;

use crate::connection::Connection;
use crate::operations::Operations;

/// Descriptors that the endpoint uses beside its connections: its listener and its poller with its event and timer.
const OWN_DESCRIPTORS: usize = 4;
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

/// Where an endpoint listens, and how much it may hold.
#[derive(Clone, Copy, Debug)]
pub struct EndpointConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections held at the most; beyond that the one that is missed least makes room.
    pub max_connections: usize,
}

impl EndpointConfig {
    /// Descriptors that the endpoint uses at the most.
    pub fn max_descriptors(&self) -> usize {
        self.max_connections + OWN_DESCRIPTORS
    }
}

impl Endpoint {
    /// Listens and serves calls from then on. `waker` wakes the broker's loop when a call has asked for a change.
    ///
    /// # Errors
    ///
    /// When it can't listen or there is no thread for it.
    pub fn start(
        config: EndpointConfig,
        operations: Arc<Operations>,
        waker: Waker,
    ) -> Result<Self, EndpointError> {
        let bind = |source| EndpointError::Bind { address: config.address, source };
        let listener = badgergauge_poll::listen(config.address, false).map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let server = Server::new(listener, config.max_connections, operations, waker);
        let server = server.map_err(EndpointError::Thread)?;
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
    max_connections: usize,
    connections: HashMap<usize, Connection>,
    last_key: usize,
    /// When to accept again, after there was no room.
    accepts_at: Option<Instant>,
}

impl Server {
    fn new(
        listener: TcpListener,
        max_connections: usize,
        operations: Arc<Operations>,
        waker: Waker,
    ) -> io::Result<Self> {
        let poll = Poll::new()?;
        poll.add(&listener, LISTENER, true, false)?;
        Ok(Server {
            listener,
            poll,
            operations,
            waker,
            max_connections,
            connections: HashMap::new(),
            last_key: LISTENER,
            accepts_at: None,
        })
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
        for accepted in 0..MAX_ACCEPTS {
            let is_full = self.connections.len() >= self.max_connections;
            // Whether another one waits is for the next report to say: nobody has to go for none.
            if is_full && accepted > 0 {
                break;
            }
            if is_full && !self.make_room(now) {
                // Those that wait keep their place in the system's queue until someone may go.
                self.accepts_at = self.connections.values().map(Connection::evictable_from).min();
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_ok() {
                        self.admit(now, Connection::new(stream, now));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if is_transient(&error) => {}
                // No descriptor is free: reported at once again, this would spin. One that makes room frees one.
                Err(_) => {
                    self.make_room(now);
                    self.accepts_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
        let _ = self.poll.rearm(&self.listener, LISTENER, true, false);
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

    /// Closes the connection that is missed least, if one may be closed. Gives whether there is room.
    fn make_room(&mut self, now: Instant) -> bool {
        let evictable = self.connections.iter().filter(|(_, connection)| connection.evictable_from() <= now);
        // Those of one turn are told apart by their keys, which count up.
        let first = evictable.min_by_key(|(key, connection)| (connection.eviction_rank(), **key));
        let Some(key) = first.map(|(key, _)| *key) else { return false };
        self.close(key);
        true
    }

    fn serve(&mut self, now: Instant, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let turn = connection.ready(now, &self.operations);
        if turn.requests_change {
            self.waker.wake();
        }
        if turn.is_over {
            return self.close(key);
        }
        let Some(connection) = self.connections.get(&key) else { return };
        if self
            .poll
            .rearm(connection.stream(), key, connection.wants_read(), connection.wants_write())
            .is_err()
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

/// Whether the caller that was next has left, or the call was interrupted: the one behind it may be accepted.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
