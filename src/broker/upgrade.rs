//! What the broker does in a hand-over, as predecessor and as successor.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};

use serde_json::Value;

use super::{Broker, OGC_LISTEN, PEERS};
use crate::config::Config;
use crate::discovery::{ServerList, Watch};
use crate::handover::{ClientLimits, Offer, PredecessorAction, SocketRole, joint_client_limits};
use crate::interface::Time;
use crate::net::clock::Clock;
use crate::state::StateStore;
use crate::upgrade::PredecessorNews;

impl Broker {
    /// The channel to the successor is ready.
    pub(super) fn successor_ready(&mut self, now: Time) {
        let stopping = self.lifecycle.is_stopping();
        let Some(upgrade) = &mut self.upgrade else { return };
        match upgrade.successor_ready(&self.net, stopping) {
            PredecessorAction::None | PredecessorAction::Refuse(_) => {}
            PredecessorAction::Offer => self.offer_sockets(now),
            PredecessorAction::StopAccepting => self.stop_accepting(now),
            PredecessorAction::ResumeAccepting => self.resume_accepting(now),
            PredecessorAction::UseFullLimits => self.serve_on(),
        }
    }

    /// Gives the listening sockets to the successor, and goes on to accept.
    fn offer_sockets(&mut self, now: Time) {
        let limits = self.joint_limits(self.clients.len());
        self.snapshot_taken = now;
        let snapshot = serde_json::to_string(&self.core.snapshot(now)).ok();
        let Some(upgrade) = &mut self.upgrade else { return };
        let mut roles = Vec::new();
        let mut sockets: Vec<BorrowedFd<'_>> = Vec::new();
        for (key, listener) in &self.listeners {
            roles.push(role_of(*key));
            sockets.push(listener.as_fd());
        }
        if let Some((socket, _)) = &self.peers {
            roles.push(SocketRole::Peers);
            sockets.push(socket.as_fd());
        }
        let list = self.watch.as_ref().map(|watch| watch.server_list().to_value(&self.net.clock).to_string());
        let offer = Offer { roles, clients: self.clients.len(), snapshot, list };
        upgrade.offer(&self.net, offer, &sockets);
        self.most_clients = self.most_clients.min(limits.predecessor);
        tracing::info!("upgrade: a new process has the listening sockets and gets ready");
    }

    /// How many clients this process and another one beside it may hold.
    fn joint_limits(&self, predecessor_clients: usize) -> ClientLimits {
        joint_client_limits(self.config.bounds.sockets, self.fixed_descriptors, predecessor_clients)
    }

    /// The successor takes the clients from now on. The sockets are kept, in case that it fails.
    fn stop_accepting(&mut self, now: Time) {
        for (key, listener) in self.listeners.drain(..) {
            self.net.poll.remove(&listener);
            self.released.push((key, listener));
        }
        if let Some((socket, _)) = &self.peers {
            self.net.poll.remove(socket);
        }
        // Cold servers fall under the sum of both processes, and the budget of further attempts is one.
        self.core.suspend_budgets();
        let spending = self.core.spending(now, self.snapshot_taken);
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.leave_rendezvous(&self.net);
            upgrade.tell_spending(&self.net, serde_json::to_string(&spending).unwrap_or_default());
        }
        self.lifecycle.set_handed_over(true);
        tracing::info!("upgrade: the new process takes clients, {} are left here", self.clients.len());
    }

    /// The successor has ended before it was ready: this process has accepted all along, and shares no limit any more.
    fn serve_on(&mut self) {
        self.most_clients = self.most_clients_alone;
        tracing::warn!("upgrade: the new process has ended before it was ready, this one serves on");
    }

    /// The successor has ended, and this process goes on in its place.
    fn resume_accepting(&mut self, now: Time) {
        self.core.limit_budget_suspension(now);
        for (key, listener) in self.released.drain(..) {
            if self.net.poll.add(&listener, key, true, false).is_ok() {
                self.listeners.push((key, listener));
            }
        }
        if let Some((socket, _)) = &self.peers {
            let _ = self.net.poll.add(socket, PEERS, true, false);
        }
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.await_successor(&self.net);
        }
        self.lifecycle.set_handed_over(false);
        self.most_clients = self.most_clients_alone;
        tracing::warn!("upgrade: the new process has ended, clients are taken here again");
    }

    /// The channel to the predecessor is ready: it says what it has spent, and then nothing more but its end.
    pub(super) fn predecessor_ready(&mut self, now: Time) {
        let Some(upgrade) = &mut self.upgrade else { return };
        match upgrade.predecessor_ready(&self.net) {
            PredecessorNews::None => {}
            PredecessorNews::Spending(spending) => self.take_budgets_over(now, &spending),
            PredecessorNews::Ended => {
                self.core.limit_budget_suspension(now);
                self.most_clients = self.most_clients_alone;
                tracing::info!("upgrade: the old process has ended");
                self.take_store_over();
            }
        }
    }

    /// Opens the store that the predecessor has closed, and notes the list in it: what is stored is no newer.
    fn take_store_over(&mut self) {
        if self.store.is_some() {
            return;
        }
        let mut known = self.watch.as_ref().map(Watch::server_list);
        match StateStore::open(&self.config, self.net.clock, &mut known) {
            Ok(store) => self.store = store,
            Err(error) => tracing::warn!("upgrade: {error}: nothing is stored until the next start"),
        }
        if let (Some(store), Some(watch)) = (&mut self.store, &self.watch) {
            store.note(&watch.server_list());
        }
    }

    /// Spends from now on what both processes may spend together.
    fn take_budgets_over(&mut self, now: Time, spending: &str) {
        let read = serde_json::from_str(spending).map_err(|error| error.to_string());
        let taken =
            read.and_then(|read| self.core.take_over_budgets(now, &read).map_err(|error| error.to_string()));
        if let Err(error) = taken {
            tracing::warn!("upgrade: what the old process has spent can't be read: {error}");
            self.core.limit_budget_suspension(now);
        }
    }

    /// Goes on from where the predecessor is, within what it leaves of the limits.
    pub(super) fn take_over(&mut self, now: Time, offer: &Offer) {
        let limits = self.joint_limits(offer.clients);
        self.most_clients = self.most_clients.min(limits.successor);
        tracing::info!("upgrade: {} sockets of the running process are taken over", offer.roles.len());
        self.restore(now, offer.snapshot.as_deref());
        self.core.suspend_budgets();
    }

    /// Takes what the predecessor's module has learned, where it can be read.
    fn restore(&mut self, now: Time, snapshot: Option<&str>) {
        let Some(snapshot) = snapshot else { return };
        let read = serde_json::from_str(snapshot).map_err(|error| error.to_string());
        let restored = read.and_then(|read| self.core.restore(now, &read).map_err(|error| error.to_string()));
        match restored {
            Ok(()) => tracing::info!("upgrade: goes on with what the old process has learned"),
            Err(error) => tracing::warn!("upgrade: starts with nothing learned: {error}"),
        }
    }
}

/// The list that a process starts with: its own, or its predecessor's where that is no older. Discovery may be away when
/// the process starts, and its own list of old may call a server sound that the predecessor was told to drain.
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

/// Opens the store, if there is to be one. A process that takes over finds it open still by its predecessor: it needs
/// nothing of it, as it has the predecessor's list, and opens it when that one has ended.
pub(super) fn open_store(
    config: &Config,
    clock: Clock,
    known: &mut Option<ServerList>,
    takes_over: bool,
) -> io::Result<Option<StateStore>> {
    match StateStore::open(config, clock, known) {
        Err(error) if takes_over && error.kind() == io::ErrorKind::AddrInUse => {
            tracing::info!("upgrade: the store is the old process's until that has ended");
            Ok(None)
        }
        opened => opened,
    }
}

/// What a listener is for, by its key.
pub(super) fn role_of(key: usize) -> SocketRole {
    if key == OGC_LISTEN { SocketRole::OgcClients } else { SocketRole::Clients }
}
