//! Accepting client connections.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

use super::upgrade::role_of;
use super::{Broker, CLIENT_LISTENER_KEY, OGC_LISTENER_KEY, PEERS_KEY};
use crate::interface::Time;
use crate::net::client::Client;
use crate::net::{LISTEN_BACKLOG, TimerEvent, listen};

/// Time until the next attempt to accept after no client could make room.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections accepted per listener and iteration, so that other ready sockets get their turn.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

impl Broker {
    /// Starts to listen for clients and for gossip of other brokers.
    pub(super) fn listen(&mut self) -> io::Result<()> {
        let invalid = |message: String| io::Error::new(io::ErrorKind::InvalidInput, message);
        let ogc = self.config.ogc.as_ref().map(|ogc| ogc.listen);
        let fronts = [
            (CLIENT_LISTENER_KEY, Some(self.config.listen), "clients"),
            (OGC_LISTENER_KEY, ogc, "OGC clients"),
        ];
        for (key, address, front) in fronts {
            let Some(address) = address else { continue };
            let adopted =
                self.upgrade.as_mut().and_then(|upgrade| upgrade.take_listener(role_of(key), address));
            let listener = adopted.map_or_else(|| listen(address, self.has_control), Ok);
            let listener = listener.map_err(|error| invalid(format!("{address}: {error}")))?;
            self.net.poll.add(&listener, key, true, false)?;
            tracing::info!("{} listens to {front} on {}", self.config.name, listener.local_addr()?);
            self.listeners.push((key, listener));
        }
        if let Some(peers) = &self.peers {
            self.net.poll.add(&peers.socket, PEERS_KEY, true, false)?;
        }
        Ok(())
    }

    /// Accepts waiting connections. Returns whether there may be more.
    pub(super) fn accept(&mut self, now: Time, listener_key: usize) -> bool {
        let mut more = true;
        for accepted in 0..MAX_ACCEPTS_PER_ITERATION {
            if self.clients.len() >= self.max_clients {
                // The poller reports whether another connection is waiting; closing a client now might be
                // needless.
                if accepted > 0 {
                    break;
                }
                if !self.make_room(now) {
                    self.pause_accepting(now);
                    return false;
                }
            }
            let Some((_, listener)) = self.listeners.iter().find(|(key, _)| *key == listener_key) else {
                return false;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let key = self.net.new_key();
                    let prepared = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    if prepared.and_then(|()| self.net.poll.add(&stream, key, true, false)).is_ok() {
                        self.clients.insert(key, Client::new(stream, listener_key, now));
                        self.client_ready(now, key);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_out_of_resources(&error) => {
                    self.make_room(now);
                    self.pause_accepting(now);
                    return false;
                }
                // The queue is empty, or the client has disconnected.
                Err(_) => {
                    more = false;
                    break;
                }
            }
        }
        self.rearm_listeners();
        more
    }

    /// Leaves waiting connections in the queue until a client has left or [`ACCEPT_RETRY_DELAY`] has passed. Rearming
    /// at once would make the poller report them again immediately, and take time that discovery and servers need.
    fn pause_accepting(&mut self, now: Time) {
        self.accept_paused = true;
        self.net.timers.arm(now.after(ACCEPT_RETRY_DELAY), TimerEvent::AcceptRetry);
    }

    /// Accepts again after a pause.
    pub(super) fn end_accept_pause(&mut self) {
        if std::mem::take(&mut self.accept_paused) {
            self.rearm_listeners();
        }
    }

    /// Asks the poller for the next report of each listener.
    pub(super) fn rearm_listeners(&self) {
        for (key, listener) in &self.listeners {
            let _ = self.net.poll.rearm(listener, *key, true, false);
        }
    }

    /// Accepts the connections that already wait in the listeners' queues, then closes the listeners. It
    /// takes a limited number in each iteration and no more than a queue holds in total: clients that connect
    /// as fast as they are accepted would otherwise occupy the loop.
    pub(super) fn stop_listening(&mut self, now: Time) {
        let more = [CLIENT_LISTENER_KEY, OGC_LISTENER_KEY].map(|key| self.accept(now, key)).contains(&true);
        self.final_accepts += MAX_ACCEPTS_PER_ITERATION;
        if more && self.final_accepts < LISTEN_BACKLOG {
            self.net.timers.arm(now, TimerEvent::StopListening);
            return;
        }
        for (_, listener) in self.listeners.drain(..) {
            self.net.poll.remove(&listener);
        }
        tracing::info!("stopping, {} clients left", self.clients.len());
    }
}

/// Whether accepting failed because the process or the system has run out of descriptors or memory.
pub(super) fn is_out_of_resources(error: &io::Error) -> bool {
    let errors = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    errors.iter().any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}
