//! Selects the connection that carries a part, and decides when to open a further one.

use std::time::Duration;

use socket2::SockRef;

use super::connection::Connection;
use super::connection_losses::LOSSES_HALF_LIFE_AIMS;
use super::frame::Frame;
use super::liveness::MAX_CONNECTIONS_ALL_SUSPECT;
use super::{Backend, ClosedBy};
use crate::interface::{ServerId, Time};
use crate::net::{Net, TimerEvent};

/// Most connections to one server; one is usual.
const MAX_CONNECTIONS_PER_SERVER: usize = 8;
/// Connections are closed after being idle for this share of the servers' idle limit: once a server has
/// reached the limit, it resets the connection when something is written to it.
const IDLE_LIMIT_SHARE: f64 = 0.8;

impl Backend {
    /// Whether a part sent in the current step may join the last query frame queued on a connection.
    pub(super) fn may_join(&self, connection: &Connection) -> bool {
        let batch = self.settings.router.batch as usize;
        let has_room = |frame: &Frame| matches!(frame, Frame::Query(parts) if parts.len() < batch);
        connection.step == self.step && connection.queued.back().is_some_and(has_room)
    }

    /// Whether a connection has been idle for so long that its server may soon reset it.
    pub(super) fn is_stale(&self, connection: &Connection, now: Time) -> bool {
        connection.is_idle()
            && now.since(connection.last_used) >= self.settings.connection_idle.mul_f64(IDLE_LIMIT_SHARE)
    }

    /// Selects a connection to a server for a part with this id on the wire, and opens one if needed. `None`
    /// if the server is disabled or no connection can be opened.
    pub(super) fn connection_for(
        &mut self,
        net: &mut Net,
        now: Time,
        id: ServerId,
        wire_id: &str,
    ) -> Option<usize> {
        let aim = self.settings.router.shortest_aim().as_secs_f64();
        self.servers.get_mut(&id)?.losses.decay(now, aim * LOSSES_HALF_LIFE_AIMS);
        let server = self.servers.get(&id).filter(|server| server.enabled)?;
        let address = server.address;
        // Cost of a new connection, in parts: the handshake's price, and the time that its first part waits.
        let opening_cost = self.settings.router.handshake_price + self.connect_time.mean() / aim;
        let is_usable = |key: &&usize| {
            self.connections.get(key).is_some_and(|connection| {
                // A cancelled attempt of the same part may still be answered, under the same id: on another
                // connection the two responses can't be confused.
                connection.address == address
                    && !connection.retired
                    && connection.parts.len() < self.settings.max_streams
                    && !connection.parts.contains_key(wire_id)
                    && !self.is_stale(connection, now)
            })
        };
        let usable: Vec<usize> = server.connections.iter().filter(is_usable).copied().collect();
        let (suspect, healthy): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(|key| {
            self.connections
                .get(key)
                .is_some_and(|connection| connection.is_suspect(now, self.min_silence_limit))
        });
        // Parts sent to a server in the same step share a frame, and so a connection.
        let may_join =
            |key: &&usize| self.connections.get(key).is_some_and(|connection| self.may_join(connection));
        if let Some(key) = healthy.iter().find(may_join) {
            return Some(*key);
        }
        // The first connection on which the expected loss does not exceed the cost of a new one; with no room
        // for a new one, the one with the fewest parts.
        let active_parts = |key: &&usize| self.connections.get(key).map_or(0, Connection::active_parts);
        let is_full = server.connections.len() >= MAX_CONNECTIONS_PER_SERVER
            || self.connections.len() >= self.max_connections;
        let cheap =
            healthy.iter().find(|key| server.losses.expected_cost(|| active_parts(key)) <= opening_cost);
        if let Some(key) = cheap.or(healthy.iter().min_by_key(active_parts).filter(|_| is_full)) {
            return Some(*key);
        }
        // Few suspect connections may be dead while the server is fine, which another connection shows. With
        // more of them, the one that received something last is used.
        if server.connections.len() >= MAX_CONNECTIONS_ALL_SUSPECT
            && let Some(key) = suspect
                .into_iter()
                .max_by_key(|key| self.connections.get(key).map(|connection| connection.last_received))
        {
            return Some(key);
        }
        if server.connections.len() >= MAX_CONNECTIONS_PER_SERVER {
            return None;
        }
        if self.connections.len() >= self.max_connections {
            // An idle connection is closed to make room for a server that is needed now.
            let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
            let oldest = idle.min_by_key(|(_, connection)| connection.last_used).map(|(key, _)| *key)?;
            self.close_connection(net, oldest, ClosedBy::Broker);
        }
        self.open_connection(net, now, id)
    }

    /// Opens a connection to a server, and returns its key. `None` if the server is unknown or the system
    /// refuses.
    pub(super) fn open_connection(&mut self, net: &mut Net, now: Time, id: ServerId) -> Option<usize> {
        let address = self.servers.get(&id)?.address;
        let stream = crate::net::connect(address).ok()?;
        // Whenever the connection ends, also by the end of the process, no part on it may be delivered later.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()?;
        let key = net.new_key();
        net.poll.add(&stream, key, true, true).ok()?;
        net.timers.arm(now.after(self.connect_time.timeout()), TimerEvent::ConnectTimeout(key));
        let connection = Connection::new(id, address, stream, now);
        self.connections.insert(key, connection);
        self.servers.get_mut(&id)?.connections.push(key);
        Some(key)
    }
}
