//! Liveness checks: a silent connection is probed together with another one to the same server, and closed if
//! only the other one is answered. A connection whose server stops reading a partially written frame is
//! closed as well.

use std::time::Duration;

use super::connection::Connection;
use super::frame::Frame;
use super::{Backend, ClosedBy};
use crate::interface::Time;
use crate::net::Net;

/// A connection is suspect if nothing has been received on it for the aim of a part's class divided by this,
/// while that part is in flight on it.
pub(super) const SILENCE_LIMIT_AIM_DIVISOR: u32 = 6;
/// A suspect connection is dead if its silence reaches this multiple of the limit while its server answers,
/// on another connection, what was written later.
pub(super) const DEAD_SILENCE_MULTIPLE: u32 = 3;
/// Prior for the share of probed connections that turn out to be dead.
const DEAD_SHARE_PRIOR: f64 = 0.05;
/// Weight of the prior, in probed connections.
const DEAD_SHARE_PRIOR_WEIGHT: f64 = 8.0;
/// If all connections to a server are suspect, a further one is opened only while there are fewer than this.
pub(super) const MAX_CONNECTIONS_ALL_SUSPECT: usize = 3;

/// Connections probed because of silence, and those of them that were dead. Both counts are halved when they
/// get large.
#[derive(Default)]
pub(super) struct ProbeCounts {
    probed: f64,
    dead: f64,
}

impl Backend {
    /// Closes dead connections, that is, silent ones whose servers keep answering on others: the parts in
    /// flight on them will never be answered, through no fault of the servers. Probes suspect connections;
    /// the probes are written by the next flush.
    pub fn check_liveness(&mut self, net: &mut Net, now: Time) {
        self.now = self.now.max(now);
        let dead = |(key, connection): (&usize, &Connection)| {
            let last_answered_written = self.servers.get(&connection.server)?.last_answered_written;
            connection.is_dead(now, last_answered_written).then_some(*key)
        };
        for key in self.connections.iter().filter_map(dead).collect::<Vec<_>>() {
            tracing::warn!("closing a silent connection to a server that answers on another connection");
            self.probe_counts.dead +=
                f64::from(u8::from(self.connections.get(&key).is_some_and(|connection| connection.probed)));
            self.close_connection(net, key, ClosedBy::Broker);
        }
        self.close_write_blocked(net, now);
        self.abort_undelivered(net, now);
        self.probe_silent_connections(net, now);
    }

    /// Closes connections whose servers have stopped reading a partially written frame: a part in it would
    /// otherwise wait until its query ends, even when cancelled, as the cancellation is queued behind the
    /// frame.
    fn close_write_blocked(&mut self, net: &mut Net, now: Time) {
        let blocked = self.connections.iter().filter(|(_, connection)| connection.is_write_blocked(now));
        for key in blocked.map(|(key, _)| *key).collect::<Vec<_>>() {
            tracing::warn!("closing a connection whose server stopped reading a partially written frame");
            self.close_connection(net, key, ClosedBy::Broker);
        }
    }

    /// Probes silent connections, and their servers on another connection: if the server answers only there,
    /// the silent connection is dead. Without this, parts could wait on a dead connection unnoticed, because
    /// the router takes the server for a slow one and sends it nothing more. A server that is merely busy
    /// answers both probes, as they bypass its queue. This costs two probes, and a connection if there is no
    /// other, so it is skipped if the expected value of the parts at stake is below their price.
    fn probe_silent_connections(&mut self, net: &mut Net, now: Time) {
        let (prior, weight) = (DEAD_SHARE_PRIOR, DEAD_SHARE_PRIOR_WEIGHT);
        let dead_share = (self.probe_counts.dead + prior * weight) / (self.probe_counts.probed + weight);
        let price = 2.0 * self.settings.probe_price + self.settings.router.handshake_price;
        let needs_probe = |(key, connection): (&usize, &Connection)| {
            let is_worthwhile = dead_share * connection.active_parts() as f64 >= price;
            (is_worthwhile && !connection.probed && connection.is_silent(now))
                .then_some((*key, connection.server))
        };
        if !self.settings.router.may_probe {
            return;
        }
        for (key, server_id) in self.connections.iter().filter_map(needs_probe).collect::<Vec<_>>() {
            let is_healthy = |other: &&usize| {
                let connection = self.connections.get(other);
                **other != key
                    && connection.is_some_and(|connection| {
                        !connection.retired && !connection.is_suspect(now, self.min_silence_limit)
                    })
            };
            let server = self.servers.get(&server_id).filter(|server| server.enabled);
            let other = server.and_then(|server| server.connections.iter().find(is_healthy).copied());
            let may_open = server
                .is_some_and(|server| server.connections.len() < MAX_CONNECTIONS_ALL_SUSPECT)
                && self.connections.len() < self.max_connections;
            let Some(other) =
                other.or_else(|| may_open.then(|| self.open_connection(net, now, server_id)).flatten())
            else {
                continue;
            };
            self.probe_counts.probed += 1.0;
            if self.probe_counts.probed > weight * weight {
                self.probe_counts.probed /= 2.0;
                self.probe_counts.dead /= 2.0;
            }
            for key in [key, other] {
                let Some(connection) = self.connections.get_mut(&key) else { continue };
                connection.queued.push_back(Frame::Probe);
                connection.probes.push_back(now);
                self.unflushed.push(key);
            }
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.probed = true;
            }
        }
    }

    /// How often to call [`Backend::check_liveness`].
    pub fn liveness_check_interval(&self) -> Duration {
        self.min_silence_limit / 2
    }
}
