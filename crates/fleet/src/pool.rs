//! The pool of connections that clients keep open after a response, for their next request to the same
//! broker.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::time::Duration;

use badgergauge_poll::Poll;

/// How clients use their pooled connections to one broker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Open connections without a request in flight.
    pub idle: usize,
    /// When a request was last sent to the broker.
    pub last_request: Option<Duration>,
}

struct IdleConnection {
    broker: usize,
    stream: TcpStream,
}

/// Idle connections, by their poller key. Keys increase over time, so the order is oldest first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: BTreeMap<usize, IdleConnection>,
    last_request: BTreeMap<usize, Duration>,
}

impl ConnectionPool {
    /// Adds a connection that is already registered with the poller; closes it if it can't be watched.
    pub fn insert(&mut self, poll: &Poll, key: usize, broker: usize, stream: TcpStream) {
        if poll.rearm(&stream, key, true, false).is_ok() {
            self.idle.insert(key, IdleConnection { broker, stream });
        } else {
            poll.remove(&stream);
        }
    }

    /// Takes the connection to a broker that has been idle longest, so that all of them are reused.
    /// Connections that the broker has closed meanwhile are removed.
    pub fn take(&mut self, poll: &Poll, broker: usize) -> Option<TcpStream> {
        self.remove_closed(poll);
        let key = *self.idle.iter().find(|(_, idle)| idle.broker == broker)?.0;
        self.idle.remove(&key).map(|idle| idle.stream)
    }

    /// Handles a key that the poller reported: removes its connection if it is an idle one, since the only
    /// event that an idle connection may have is its end. Returns whether it was one.
    pub fn remove_reported(&mut self, poll: &Poll, key: usize) -> bool {
        let idle = self.idle.remove(&key);
        if let Some(idle) = &idle {
            poll.remove(&idle.stream);
        }
        idle.is_some()
    }

    /// Whether there is an idle connection to a broker.
    pub fn has_idle(&self, broker: usize) -> bool {
        self.idle.values().any(|idle| idle.broker == broker)
    }

    /// Records that a request is sent to a broker.
    pub fn record_request(&mut self, broker: usize, now: Duration) {
        self.last_request.insert(broker, now);
    }

    /// How clients use their connections to a broker; closed ones are not counted.
    pub fn usage(&mut self, poll: &Poll, broker: usize) -> ConnectionUsage {
        self.remove_closed(poll);
        let idle = self.idle.values().filter(|idle| idle.broker == broker).count();
        ConnectionUsage { idle, last_request: self.last_request.get(&broker).copied() }
    }

    /// Removes the connections that brokers have closed.
    pub fn remove_closed(&mut self, poll: &Poll) {
        self.idle.retain(|_, idle| {
            let closed = is_closed(&idle.stream);
            if closed {
                poll.remove(&idle.stream);
            }
            !closed
        });
    }
}

/// Whether an idle connection has been closed or has unsolicited input.
fn is_closed(stream: &TcpStream) -> bool {
    !matches!(stream.peek(&mut [0]).map_err(|error: io::Error| error.kind()), Err(ErrorKind::WouldBlock))
}

#[cfg(test)]
mod tests {
    use std::net::TcpListener;
    use std::time::Instant;

    use super::*;

    #[test]
    fn idle_connections_are_reused_oldest_first_and_closed_ones_are_not() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let (poll, mut pool) = (Poll::new().expect("a poller"), ConnectionPool::default());
        let mut others = Vec::new();
        for key in 1..=3 {
            let stream = badgergauge_poll::connect(at).expect("connection starts");
            others.push(listener.accept().expect("accepted").0);
            poll.add(&stream, key, true, false).expect("registered");
            pool.insert(&poll, key, 7, stream);
        }
        assert!(pool.has_idle(7) && !pool.has_idle(6));
        drop(others.remove(0));
        let start = Instant::now();
        while pool.usage(&poll, 7).idle == 3 {
            assert!(start.elapsed() < Duration::from_secs(20), "the closed connection was not noticed");
            std::thread::yield_now();
        }
        let taken = pool.take(&poll, 7).expect("two connections are left");
        assert_eq!(taken.local_addr().expect("up"), others[0].peer_addr().expect("up"));
        poll.remove(&taken);
        pool.record_request(7, Duration::from_secs(2));
        let usage = ConnectionUsage { idle: 1, last_request: Some(Duration::from_secs(2)) };
        assert_eq!(pool.usage(&poll, 7), usage);
        assert!(pool.remove_reported(&poll, 3) && !pool.remove_reported(&poll, 3) && !pool.has_idle(7));
    }
}
