//! Connections that have fallen silent: probed beside another one to the same server, and ended where that one alone is
//! answered, or where a frame is begun of which the server reads nothing more.

use std::time::Duration;

use super::connection::Connection;
use super::frame::Frame;
use super::{Backend, ClosedBy};
use crate::interface::Time;
use crate::net::Net;

/// A connection that says nothing for this part of the aim of a part's class, while that part is out on it, is in doubt.
pub(super) const QUIET_PART: u32 = 6;
/// One that stays silent for so many times that, while its server answers on another what came later, is dead.
pub(super) const DEAD_AFTER: u32 = 3;
/// Of connections that had fallen silent and were probed, so many were dead before any was seen, and the weight with
/// which that is held.
const DEAD_OF_PROBED: [f64; 2] = [0.05, 8.0];
/// Connections to one server up to which a further one is made where all there are are in doubt.
pub(super) const DOUBTED: usize = 3;

impl Backend {
    /// Ends connections that have fallen silent while their servers go on answering on others: what is out on
    /// them will never be answered, and the servers are not to be blamed. Probes go out with the next flush.
    pub fn check_liveness(&mut self, net: &mut Net, now: Time) {
        self.now = self.now.max(now);
        let dead = |(key, connection): (&usize, &Connection)| {
            let answered = self.servers.get(&connection.server)?.answered;
            connection.is_dead(now, answered).then_some(*key)
        };
        for key in self.connections.iter().filter_map(dead).collect::<Vec<_>>() {
            tracing::warn!("a connection to a server that answers has fallen silent: it ends");
            self.probed[1] +=
                f64::from(u8::from(self.connections.get(&key).is_some_and(|connection| connection.probed)));
            self.drop_connection(net, key, ClosedBy::Broker);
        }
        self.end_blocked(net, now);
        self.probe_silent_connections(net, now);
    }

    /// Ends connections whose servers read nothing more of a frame that was begun: a part in it would wait until its query
    /// ends, given up or not, as the word that it is over waits behind it.
    fn end_blocked(&mut self, net: &mut Net, now: Time) {
        let blocked = self.connections.iter().filter(|(_, connection)| connection.is_blocked(now));
        for key in blocked.map(|(key, _)| *key).collect::<Vec<_>>() {
            tracing::warn!("a server reads nothing more of what was begun: its connection ends");
            self.drop_connection(net, key, ClosedBy::Broker);
        }
    }

    /// Probes connections that have fallen silent, and their servers on another connection: a server that answers
    /// there alone is well, and the connection is dead. Guards against parts that wait for nothing where nobody shows
    /// it: the module sends nothing more to a server that it takes for a slow one. A server that is merely busy answers
    /// both, beside its queue. Costs two probes, and a connection where there is no other: so it is left where those have a
    /// price that the parts at stake are not worth.
    fn probe_silent_connections(&mut self, net: &mut Net, now: Time) {
        let [share, weight] = DEAD_OF_PROBED;
        let dead = (self.probed[1] + share * weight) / (self.probed[0] + weight);
        let price = 2.0 * self.settings.probe_price + self.settings.router.handshake_price;
        let silent = |(key, connection): (&usize, &Connection)| {
            let worth = dead * connection.waited_for() as f64 >= price;
            let probes = worth && !connection.probed && connection.is_silent(now);
            probes.then_some((*key, connection.server))
        };
        if !self.settings.router.may_probe {
            return;
        }
        for (key, server) in self.connections.iter().filter_map(silent).collect::<Vec<_>>() {
            let sound = |other: &&usize| {
                let connection = self.connections.get(other);
                **other != key
                    && connection.is_some_and(|connection| {
                        !connection.retired && !connection.is_doubted(now, self.least_quiet)
                    })
            };
            let of = self.servers.get(&server).filter(|of| of.open);
            let other = of.and_then(|of| of.connections.iter().find(sound).copied());
            let room =
                of.is_some_and(|of| of.connections.len() < DOUBTED) && self.connections.len() < self.most;
            let Some(other) =
                other.or_else(|| room.then(|| self.open_connection(net, now, server)).flatten())
            else {
                continue;
            };
            self.probed[0] += 1.0;
            if self.probed[0] > weight * weight {
                self.probed = self.probed.map(|count| count / 2.0);
            }
            for key in [key, other] {
                let Some(connection) = self.connections.get_mut(&key) else { continue };
                connection.waiting.push_back(Frame::Probe);
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
        self.least_quiet / 2
    }
}
