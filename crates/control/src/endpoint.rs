//! The endpoint's listener and thread: accepts connections of operators and serves their requests.

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

/// File descriptors used beside the connections: the listener, and the poller with its event and timer
/// descriptors.
const OWN_DESCRIPTORS: usize = 4;
/// Maximum number of connections accepted before ready connections are served.
const MAX_ACCEPTS_PER_EVENT: usize = 16;
/// Maximum time between checks for expired connections.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Delay before the next accept after one has failed, usually for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Poll key of the listener; connections have higher keys.
const LISTENER_KEY: usize = 0;

/// Why the endpoint could not be started.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// The address can't be bound.
    #[error(
        "{address}: {source}; if another process uses the address, set a free one in `control` or $BALANCER_CONTROL"
    )]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The poller or the thread can't be created, usually for want of file descriptors or threads.
    #[error(
        "can't start the endpoint's thread: {0}; raise the limit on file descriptors (ulimit -n) or threads"
    )]
    Thread(io::Error),
}

/// A running control endpoint. Its thread runs until the process exits.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    address: SocketAddr,
}

/// Address and limits of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointConfig {
    /// Address to listen on; port 0 lets the operating system choose a port.
    pub address: SocketAddr,
    /// Maximum number of open connections; when it is reached, one is evicted for each new connection.
    pub max_connections: usize,
}

impl EndpointConfig {
    /// Maximum number of file descriptors that the endpoint uses.
    pub fn max_descriptors(&self) -> usize {
        self.max_connections + OWN_DESCRIPTORS
    }
}

impl Endpoint {
    /// Binds the address and serves requests on a new thread. `waker` wakes the broker's event loop when a
    /// request requires it to act.
    ///
    /// # Errors
    ///
    /// When the address can't be bound, or the poller or the thread can't be created.
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

    /// The bound address.
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
    /// When to accept again, if accepting is suspended because no connection can be evicted or an accept
    /// failed.
    accept_retry_at: Option<Instant>,
}

impl Server {
    fn new(
        listener: TcpListener,
        max_connections: usize,
        operations: Arc<Operations>,
        waker: Waker,
    ) -> io::Result<Self> {
        let poll = Poll::new()?;
        poll.add(&listener, LISTENER_KEY, true, false)?;
        Ok(Server {
            listener,
            poll,
            operations,
            waker,
            max_connections,
            connections: HashMap::new(),
            last_key: LISTENER_KEY,
            accept_retry_at: None,
        })
    }

    fn run(mut self) {
        let mut ready = Vec::new();
        loop {
            let wait = self.time_to_next_expiry(Instant::now());
            if self.poll.wait(Some(wait), &mut ready).is_err() {
                // Without its poller the endpoint can't serve any more; the broker keeps serving its clients.
                return;
            }
            let now = Instant::now();
            for event in ready.drain(..) {
                self.on_ready(now, event);
            }
            self.expire(now);
        }
    }

    /// Time until the next connection expires or accepting resumes, at most [`MAX_WAIT`].
    fn time_to_next_expiry(&self, now: Instant) -> Duration {
        let expiries = self.connections.values().map(Connection::expires_at);
        let next = expiries.chain(self.accept_retry_at).min();
        next.map_or(MAX_WAIT, |at| at.saturating_duration_since(now).min(MAX_WAIT))
    }

    fn on_ready(&mut self, now: Instant, event: Ready) {
        if event.key == LISTENER_KEY {
            self.accept(now);
        } else {
            self.serve(now, event.key);
        }
    }

    fn accept(&mut self, now: Instant) {
        self.accept_retry_at = None;
        for accepted in 0..MAX_ACCEPTS_PER_EVENT {
            let is_full = self.connections.len() >= self.max_connections;
            // Whether another client is waiting is not known until the next event: don't evict for nothing.
            if is_full && accepted > 0 {
                break;
            }
            if is_full && !self.evict(now) {
                // Waiting clients stay in the listen backlog until a connection may be evicted.
                self.accept_retry_at = self.connections.values().map(Connection::evictable_from).min();
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
                // Usually no file descriptor is free. Rearming the listener would report it again immediately
                // and spin; evicting a connection frees a descriptor.
                Err(_) => {
                    self.evict(now);
                    self.accept_retry_at = Some(now + ACCEPT_RETRY_DELAY);
                    return;
                }
            }
        }
        let _ = self.poll.rearm(&self.listener, LISTENER_KEY, true, false);
    }

    fn admit(&mut self, now: Instant, connection: Connection) {
        self.last_key += 1;
        let key = self.last_key;
        if self.poll.add(connection.stream(), key, true, false).is_ok() {
            self.connections.insert(key, connection);
            // The request has often arrived already: serve it before the connection can be evicted.
            self.serve(now, key);
        }
    }

    /// Closes the connection that is first in the order of eviction, if any may be evicted yet. Returns
    /// whether one was closed.
    fn evict(&mut self, now: Instant) -> bool {
        let evictable = self.connections.iter().filter(|(_, connection)| connection.evictable_from() <= now);
        // Connections with the same time are evicted in order of acceptance: keys are assigned in ascending
        // order.
        let first = evictable.min_by_key(|(key, connection)| (connection.eviction_rank(), **key));
        let Some(key) = first.map(|(key, _)| *key) else { return false };
        self.close(key);
        true
    }

    fn serve(&mut self, now: Instant, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let progress = connection.on_ready(now, &self.operations);
        if progress.requests_change {
            self.waker.wake();
        }
        if progress.is_finished {
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
        if self.accept_retry_at.is_some_and(|at| at <= now) {
            self.accept(now);
        }
        let expired =
            |(key, connection): (&usize, &Connection)| (connection.expires_at() <= now).then_some(*key);
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

/// Whether the next client has disconnected before it was accepted, or the system call was interrupted:
/// accepting may continue.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
