//! The broker's part in a hand-over between processes, as predecessor and as successor.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};

use serde_json::Value;

use super::{Broker, OGC_LISTENER_KEY, PEERS_KEY};
use crate::config::Config;
use crate::discovery::{ServerList, Watch};
use crate::handover::{ClientLimits, Offer, PredecessorAction, SocketRole, joint_client_limits};
use crate::interface::Time;
use crate::net::clock::Clock;
use crate::state::StateStore;
use crate::upgrade::PredecessorUpdate;

impl Broker {
    /// Handles a message from the successor, or the end of its channel.
    pub(super) fn successor_ready(&mut self, now: Time) {
        let stopping = self.lifecycle.is_stopping();
        let Some(upgrade) = &mut self.upgrade else { return };
        match upgrade.successor_ready(&self.net, stopping) {
            PredecessorAction::None | PredecessorAction::Refuse(_) => {}
            PredecessorAction::Offer => self.offer_sockets(now),
            PredecessorAction::StopAccepting => self.stop_accepting(now),
            PredecessorAction::ResumeAccepting => self.resume_accepting(now),
            PredecessorAction::UseFullLimits => self.restore_client_limit(),
        }
    }

    /// Sends the listening sockets to the successor, and keeps accepting until it is ready.
    fn offer_sockets(&mut self, now: Time) {
        let limits = self.joint_limits(self.clients.len());
        self.snapshot_taken_at = now;
        let snapshot = serde_json::to_string(&self.core.snapshot(now)).ok();
        let Some(upgrade) = &mut self.upgrade else { return };
        let mut roles = Vec::new();
        let mut sockets: Vec<BorrowedFd<'_>> = Vec::new();
        for (key, listener) in &self.listeners {
            roles.push(role_of(*key));
            sockets.push(listener.as_fd());
        }
        if let Some(peers) = &self.peers {
            roles.push(SocketRole::Peers);
            sockets.push(peers.socket.as_fd());
        }
        let list = self.watch.as_ref().map(|watch| watch.server_list().to_value(&self.net.clock).to_string());
        let offer = Offer { roles, clients: self.clients.len(), snapshot, list };
        upgrade.send_offer(&self.net, offer, &sockets);
        self.max_clients = self.max_clients.min(limits.predecessor);
        tracing::info!("upgrade: a new process has the listening sockets and is starting");
    }

    /// How many clients this process and a second one may each have connected.
    fn joint_limits(&self, predecessor_clients: usize) -> ClientLimits {
        joint_client_limits(self.config.limits.sockets, self.fixed_descriptors, predecessor_clients)
    }

    /// Stops accepting because the successor accepts now. The sockets are kept in case the successor fails.
    fn stop_accepting(&mut self, now: Time) {
        for (key, listener) in self.listeners.drain(..) {
            self.net.poll.remove(&listener);
            self.released.push((key, listener));
        }
        if let Some(peers) = &self.peers {
            self.net.poll.remove(&peers.socket);
        }
        // Both processes share one retry budget and one limit on attempts at cold servers.
        self.core.suspend_budgets();
        let spending = self.core.spending(now, self.snapshot_taken_at);
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.close_rendezvous(&self.net);
            upgrade.send_spending(&self.net, serde_json::to_string(&spending).unwrap_or_default());
        }
        self.lifecycle.set_handed_over(true);
        tracing::info!(
            "upgrade: the new process takes clients, {} remain connected here",
            self.clients.len()
        );
    }

    /// Restores the full client limit after the successor ended before it was ready. Accepting never stopped.
    fn restore_client_limit(&mut self) {
        self.max_clients = self.max_clients_standalone;
        tracing::warn!("upgrade: the new process has ended before it was ready, this one continues to serve");
    }

    /// Accepts clients again because the successor has ended.
    fn resume_accepting(&mut self, now: Time) {
        self.core.limit_budget_suspension(now);
        for (key, listener) in self.released.drain(..) {
            if self.net.poll.add(&listener, key, true, false).is_ok() {
                self.listeners.push((key, listener));
            }
        }
        if let Some(peers) = &self.peers {
            let _ = self.net.poll.add(&peers.socket, PEERS_KEY, true, false);
        }
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.listen_for_successor(&self.net);
        }
        self.lifecycle.set_handed_over(false);
        self.max_clients = self.max_clients_standalone;
        tracing::warn!("upgrade: the new process has ended, this one accepts clients again");
    }

    /// Handles the predecessor's channel: it sends what it has spent of the budgets, then nothing until it
    /// ends.
    pub(super) fn predecessor_ready(&mut self, now: Time) {
        let Some(upgrade) = &mut self.upgrade else { return };
        match upgrade.predecessor_ready(&self.net) {
            PredecessorUpdate::None => {}
            PredecessorUpdate::Spending(spending) => self.take_over_budgets(now, &spending),
            PredecessorUpdate::Ended => {
                self.core.limit_budget_suspension(now);
                self.max_clients = self.max_clients_standalone;
                tracing::info!("upgrade: the old process has ended");
                self.take_over_store();
            }
        }
    }

    /// Opens the store after the predecessor has closed it, and records the current list, which is at least
    /// as new as the stored one.
    fn take_over_store(&mut self) {
        if self.store.is_some() {
            return;
        }
        let mut known = self.watch.as_ref().map(Watch::server_list);
        match StateStore::open(&self.config, self.net.clock, &mut known) {
            Ok(store) => self.store = store,
            Err(error) => {
                tracing::warn!("upgrade: {error}; the server list is not stored until the next start")
            }
        }
        if let (Some(store), Some(watch)) = (&mut self.store, &self.watch) {
            store.record_list(&watch.server_list());
        }
    }

    /// Applies the budgets that both processes share from now on.
    fn take_over_budgets(&mut self, now: Time, spending: &str) {
        let decoded = serde_json::from_str(spending).map_err(|error| error.to_string());
        let applied = decoded.and_then(|decoded| {
            self.core.take_over_budgets(now, &decoded).map_err(|error| error.to_string())
        });
        if let Err(error) = applied {
            tracing::warn!("upgrade: the old process's budget spending can't be read: {error}");
            self.core.limit_budget_suspension(now);
        }
    }

    /// Continues from the predecessor's state, within the client limit that it leaves.
    pub(super) fn take_over(&mut self, now: Time, offer: &Offer) {
        let limits = self.joint_limits(offer.clients);
        self.max_clients = self.max_clients.min(limits.successor);
        tracing::info!("upgrade: {} sockets of the running process are taken over", offer.roles.len());
        self.restore(now, offer.snapshot.as_deref());
        self.core.suspend_budgets();
    }

    /// Restores the router state learned by the predecessor, if it can be read.
    fn restore(&mut self, now: Time, snapshot: Option<&str>) {
        let Some(snapshot) = snapshot else { return };
        let decoded = serde_json::from_str(snapshot).map_err(|error| error.to_string());
        let restored =
            decoded.and_then(|decoded| self.core.restore(now, &decoded).map_err(|error| error.to_string()));
        match restored {
            Ok(()) => tracing::info!("upgrade: restored the router state of the old process"),
            Err(error) => {
                tracing::warn!("upgrade: the router state of the old process is not restored: {error}")
            }
        }
    }
}

/// The server list a process starts with: its own last known list, or the predecessor's if that is at least
/// as new. Discovery may be unreachable at the start, and the process's own list may show a server as up that
/// the predecessor knows to be draining.
pub(super) fn newer_list(
    known: Option<ServerList>,
    offer: Option<&Offer>,
    clock: &Clock,
) -> Option<ServerList> {
    let Some(list) = offer.and_then(|offer| offer.list.as_deref()) else { return known };
    let value = serde_json::from_str::<Value>(list).map_err(|error| error.to_string());
    match value.and_then(|value| ServerList::from_value(&value, clock).map_err(|error| error.to_string())) {
        Ok(list) if known.as_ref().is_none_or(|known| list.index >= known.index) => Some(list),
        Ok(_) => known,
        Err(error) => {
            tracing::warn!("upgrade: the old process's list of servers can't be read: {error}");
            known
        }
    }
}

/// Opens the store if one is configured. While a predecessor still has it open, the successor starts without
/// it: it uses the predecessor's list, and opens the store once the predecessor has ended.
pub(super) fn open_store(
    config: &Config,
    clock: Clock,
    known: &mut Option<ServerList>,
    is_successor: bool,
) -> io::Result<Option<StateStore>> {
    match StateStore::open(config, clock, known) {
        Err(error) if is_successor && error.kind() == io::ErrorKind::AddrInUse => {
            tracing::info!("upgrade: the store stays with the old process until it ends");
            Ok(None)
        }
        opened => opened,
    }
}

/// The hand-over role of a listener, by its poller key.
pub(super) fn role_of(key: usize) -> SocketRole {
    if key == OGC_LISTENER_KEY { SocketRole::OgcClients } else { SocketRole::Clients }
}
