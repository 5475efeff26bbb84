//! Gossip datagrams between brokers.

use super::{Broker, GossipPeers, PEERS_KEY};
use crate::gossip;
use crate::interface::Time;

/// Datagrams received per iteration, so that other ready sockets get their turn.
const MAX_DATAGRAMS_PER_ITERATION: usize = 128;

impl Broker {
    /// Sends the gossip that is due. A datagram that can't be sent now is dropped, as the next one follows
    /// soon.
    pub(super) fn send_gossip(&mut self, now: Time) {
        for (datagram, recipients) in self.core.take_gossip(now) {
            let Some(GossipPeers { socket, addresses }) = &self.peers else { continue };
            for at in recipients.into_iter().filter_map(|peer| addresses.get(peer)) {
                let _ = socket.send_to(&datagram, at);
            }
        }
    }

    /// Receives a bounded number of datagrams and ignores those of unknown senders.
    pub(super) fn receive_gossip(&mut self) {
        let Some(GossipPeers { socket, addresses }) = &self.peers else { return };
        let mut buffer = [0; gossip::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match socket.recv_from(&mut buffer) {
                Ok((length, sender)) if addresses.contains(&sender) => {
                    self.core.receive_gossip(&buffer[..length])
                }
                Ok(_) => {}
                Err(_) => break,
            }
        }
        let _ = self.net.poll.rearm(socket, PEERS_KEY, true, false);
    }
}
