//! Which connection carries a part, and when a further one is opened.

use super::connection::Connection;
use super::connection_losses::LOSSES_HALF_LIFE_AIMS;
use super::frame::Frame;
use super::liveness::DOUBTED;
use super::{Backend, ClosedBy};
use crate::interface::{ServerId, Time};
use crate::net::{Net, TimerEvent};

/// Connections to one server at the most; one is the rule.
const MOST_PER_SERVER: usize = 8;
/// Connections are closed once idle for this share of the servers' limit: from the limit on, what is
/// written to one ends as a reset.
const IDLE_SHARE: f64 = 0.8;

impl Backend {
    /// Whether what the step under way sends on a connection still joins the last call on it.
    pub(super) fn may_join(&self, connection: &Connection) -> bool {
        let batch = self.settings.router.batch as usize;
        let room = |frame: &Frame| matches!(frame, Frame::Query(parts) if parts.len() < batch);
        connection.step == self.step && connection.waiting.back().is_some_and(room)
    }

    pub(super) fn is_stale(&self, connection: &Connection, now: Time) -> bool {
        connection.is_idle()
            && now.since(connection.last_used) >= self.settings.connection_idle.mul_f64(IDLE_SHARE)
    }

    /// A connection that may carry a part of this name, a new one if need be.
    pub(super) fn connection_for(
        &mut self,
        net: &mut Net,
        now: Time,
        id: ServerId,
        name: &str,
    ) -> Option<usize> {
        let aim = self.settings.router.shortest_aim().as_secs_f64();
        self.servers.get_mut(&id)?.losses.fade(now, aim * LOSSES_HALF_LIFE_AIMS);
        let server = self.servers.get(&id).filter(|server| server.open)?;
        let address = server.address;
        // What a new connection costs, in parts: its price, and the time that its first part waits.
        let opening_cost = self.settings.router.handshake_price + self.setup.mean() / aim;
        let fits = |key: &&usize| {
            self.connections.get(key).is_some_and(|connection| {
                // An earlier attempt of the part that was given up may yet be answered, under the same id:
                // on another connection the two can't be mixed up.
                connection.address == address
                    && !connection.retired
                    && connection.parts.len() < self.settings.max_streams
                    && !connection.parts.contains_key(name)
                    && !self.is_stale(connection, now)
            })
        };
        let fit: Vec<usize> = server.connections.iter().filter(fits).copied().collect();
        let (doubted, sound): (Vec<usize>, Vec<usize>) = fit.into_iter().partition(|key| {
            self.connections.get(key).is_some_and(|connection| connection.is_doubted(now, self.least_quiet))
        });
        // What one step sends to one server shares calls, and so a connection.
        let joins =
            |key: &&usize| self.connections.get(key).is_some_and(|connection| self.may_join(connection));
        if let Some(key) = sound.iter().find(joins) {
            return Some(*key);
        }
        // The first on which no more is to be lost than a connection costs, or else the emptiest.
        let out = |key: &&usize| self.connections.get(key).map_or(0, Connection::waited_for);
        let full = server.connections.len() >= MOST_PER_SERVER || self.connections.len() >= self.most;
        let cheap = sound.iter().find(|key| server.losses.cost(|| out(key)) <= opening_cost);
        if let Some(key) = cheap.or(sound.iter().min_by_key(out).filter(|_| full)) {
            return Some(*key);
        }
        // One that has fallen silent may be all that is wrong: another connection shows it.
        if server.connections.len() >= DOUBTED
            && let Some(key) = doubted
                .into_iter()
                .max_by_key(|key| self.connections.get(key).map(|connection| connection.heard))
        {
            return Some(key);
        }
        if server.connections.len() >= MOST_PER_SERVER {
            return None;
        }
        if self.connections.len() >= self.most {
            // Room for a server that is needed goes before a connection that is not.
            let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
            let oldest = idle.min_by_key(|(_, connection)| connection.last_used).map(|(key, _)| *key)?;
            self.drop_connection(net, oldest, ClosedBy::Broker);
        }
        self.open_connection(net, now, id)
    }

    /// A new connection to a server.
    pub(super) fn open_connection(&mut self, net: &mut Net, now: Time, id: ServerId) -> Option<usize> {
        let address = self.servers.get(&id)?.address;
        let stream = crate::net::connect(address).ok()?;
        let key = net.new_key();
        net.poll.add(&stream, key, true, true).ok()?;
        net.timers.arm(now.after(self.setup.limit()), TimerEvent::ConnectTimeout(key));
        let connection = Connection::new(id, address, stream, now);
        self.connections.insert(key, connection);
        self.servers.get_mut(&id)?.connections.push(key);
        Some(key)
    }
}
