//! Connections of clients as they come, and who goes when there is no room for one more.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

use super::upgrade::role_of;
use super::{Broker, LISTEN, OGC_LISTEN, PEERS, SLOW};
use crate::front::PendingRequest;
use crate::interface::Time;
use crate::net::client::{Client, ConnectionState, Phase};
use crate::net::http::Response;
use crate::net::{LISTEN_BACKLOG, TimerEvent, listen};

/// A client that has not sent anything for so long after connecting may have to make room for another.
const SILENT: Duration = Duration::from_millis(100);
/// Connections accepted at once, before those that are ready get their turn.
const MAX_ACCEPTS: usize = 64;

impl Broker {
    /// Binds the listeners: clients may come.
    pub(super) fn listen(&mut self) -> io::Result<()> {
        let invalid = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        let ogc = self.config.ogc.as_ref().map(|ogc| ogc.listen);
        let fronts = [(LISTEN, Some(self.config.listen), "clients"), (OGC_LISTEN, ogc, "OGC clients")];
        for (key, at, front) in fronts {
            let Some(at) = at else { continue };
            let adopted = self.upgrade.as_mut().and_then(|upgrade| upgrade.take_listener(role_of(key), at));
            let listener = adopted.map_or_else(|| listen(at, self.is_operated), Ok);
            let listener = listener.map_err(|error| invalid(format!("{at}: {error}")))?;
            self.net.poll.add(&listener, key, true, false)?;
            tracing::info!("{} listens to {front} on {}", self.config.name, listener.local_addr()?);
            self.listeners.push((key, listener));
        }
        if let Some((socket, _)) = &self.peers {
            self.net.poll.add(socket, PEERS, true, false)?;
        }
        Ok(())
    }

    /// Takes connections that wait. Gives whether there may be more.
    pub(super) fn accept(&mut self, now: Time, at: usize) -> bool {
        let mut more = true;
        for accepted in 0..MAX_ACCEPTS {
            if self.clients.len() >= self.most_clients {
                // Whether another one waits is for the next report to say: nobody has to go for none.
                if accepted > 0 {
                    break;
                }
                if !self.make_room(now) {
                    self.crowded = true;
                    return false;
                }
            }
            let Some((_, listener)) = self.listeners.iter().find(|(key, _)| *key == at) else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    let key = self.net.new_key();
                    let fit = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    if fit.and_then(|()| self.net.poll.add(&stream, key, true, false)).is_ok() {
                        self.clients.insert(key, Client::new(stream, at, now));
                        self.client_ready(now, key);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Those that wait come once one has left, or with the next sweep: asked for again at once, they would
                // be reported at once, and take what discovery and servers need.
                Err(error) if is_out_of_room(&error) => {
                    self.make_room(now);
                    self.crowded = true;
                    return false;
                }
                // The client has left.
                Err(_) => {
                    more = false;
                    break;
                }
            }
        }
        self.listen_on();
        more
    }

    /// Asks for the next report of each listener.
    pub(super) fn listen_on(&self) {
        for (key, listener) in &self.listeners {
            let _ = self.net.poll.rearm(listener, *key, true, false);
        }
    }

    /// Closes the connection that is missed least: one that is over but for its end, or on which nothing was
    /// said for a while; the one that has been idle longest; one that does not get on with its request, which is told
    /// so, and at last one that does not take its answer.
    pub(super) fn make_room(&mut self, now: Time) -> bool {
        let rank = |client: &Client<PendingRequest>| {
            let stands = now.since(client.phase_since());
            match client.phase() {
                Phase::Lingering => Some(0),
                Phase::Idle { first: true } if stands >= SILENT => Some(0),
                Phase::Idle { first: false } => Some(1),
                Phase::Idle { first: true } => Some(2),
                Phase::Reading { .. } if stands >= SLOW => Some(3),
                Phase::Responding { .. } if stands >= SLOW => Some(4),
                _ => None,
            }
        };
        loop {
            let ranked = self.clients.iter().filter_map(|(key, c)| Some((rank(c)?, c.phase_since(), *key)));
            let Some((.., key)) = ranked.min() else { return false };
            let Some(client) = self.clients.get_mut(&key) else { return false };
            // What it has said since it was last looked at may make it one that is not to go.
            let before = client.is_idle();
            if before && client.read(now) == ConnectionState::Open && !client.is_idle() {
                self.again.push(key);
                continue;
            }
            if matches!(client.phase(), Phase::Reading { .. }) {
                client.queue_response(now, Response::text(503, "no room: try again"), false);
                let _ = client.write(now);
            }
            self.drop_client(key);
            return true;
        }
    }

    /// Takes those that already wait in the listeners' queues, then closes them: some in each turn of the loop, and no
    /// more than a queue holds, as clients that come as fast as they are taken would keep the loop for themselves.
    pub(super) fn stop_listening(&mut self, now: Time) {
        let more = [LISTEN, OGC_LISTEN].map(|key| self.accept(now, key)).contains(&true);
        self.last_accepts += MAX_ACCEPTS;
        if more && self.last_accepts < LISTEN_BACKLOG {
            self.net.timers.arm(now, TimerEvent::StopListening);
            return;
        }
        for (_, listener) in self.listeners.drain(..) {
            self.net.poll.remove(&listener);
        }
        tracing::info!("stopping, {} clients left", self.clients.len());
    }
}

/// Whether nothing more can be accepted as the process, or the system, has no descriptors or memory left.
pub(super) fn is_out_of_room(error: &io::Error) -> bool {
    let errors = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    errors.iter().any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}
