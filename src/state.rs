//! The broker's store of the server list, if configured: what of it is used at the start, and how each new
//! list is recorded. [`badgergauge_store::reconcile`] decides what is used.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use badgergauge_store::engine::{Owner, Store, StoreError, set_aside};
use badgergauge_store::reconcile::{ListedServer, Reason, Resolution, StoredState, reconcile};
use badgergauge_store::record::{ServerRecord, ServerStatus, checksum};
use badgergauge_store::writer::Writer;

use crate::config::Config;
use crate::core::Member;
use crate::discovery::ServerList;
use crate::interface::ServerState;
use crate::net::clock::Clock;

/// How long a stored `up` is valid. By discovery's protocol every change is deemed delivered after this time,
/// so an `up` recorded earlier may have been revoked since.
const UP_VALIDITY: Duration = Duration::from_secs(6);
/// Removed servers are kept, as an older list may still contain them: as many as there are servers in the
/// list, and at least this many. The oldest are dropped first.
const MIN_REMOVED_KEPT: usize = 64;

/// The store of a running broker.
pub struct StateStore {
    writer: Writer,
    clock: Clock,
    /// The address of the discovery that lists come from.
    discovery: String,
    /// Servers in the current list.
    listed: BTreeSet<String>,
    /// Servers stored as removed, the oldest first.
    removed: VecDeque<String>,
}

fn status_of(state: ServerState) -> ServerStatus {
    match state {
        ServerState::Up => ServerStatus::Up,
        ServerState::Draining => ServerStatus::Draining,
        ServerState::Removed => ServerStatus::Gone,
    }
}

/// The owner of a broker's store. The site is identified by the settings that the list and the queries depend
/// on.
pub fn owner(config: &Config) -> Owner {
    let router = &config.settings.router;
    let site_text = format!(
        "{:?} {:?} {} {} {}",
        config.settings.zones, config.settings.classes, router.shards, router.cells, router.width
    );
    Owner { name: config.name.clone(), site: format!("{:08x}", checksum("site", site_text.as_bytes())) }
}

/// The current Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Decides for each server whether a start with this list would use the stored record, and why.
///
/// # Errors
///
/// Returns the reason if nothing stored can be used.
pub fn resolve_stored(
    clock: &Clock,
    discovery: &str,
    known: Option<&ServerList>,
    stored: &StoredState,
) -> Result<BTreeMap<String, Resolution>, String> {
    let members = known.map_or(&[][..], |list| &list.members);
    let listed = members.iter().map(|(member, _)| {
        let started_ms = clock.unix_ms(member.started);
        (member.name.clone(), ListedServer { status: status_of(member.state), started_ms })
    });
    let index = known.map_or(0, |list| list.index);
    reconcile(unix_ms(), UP_VALIDITY.as_millis() as u64, discovery, index, &listed.collect(), stored)
        .map_err(|_| format!("they came from another discovery, {:?}", stored.discovery))
}

/// The start list with the stored records that were chosen.
fn apply_resolutions(
    clock: &Clock,
    known: Option<ServerList>,
    resolutions: &BTreeMap<String, Resolution>,
    stored: &StoredState,
) -> ServerList {
    let known = known.unwrap_or(ServerList { index: 0, is_full: true, members: Vec::new() });
    let mut members: BTreeMap<String, (Member, Option<SocketAddr>)> =
        known.members.into_iter().map(|entry| (entry.0.name.clone(), entry)).collect();
    for (name, resolution) in resolutions.iter().filter(|(_, resolution)| resolution.from_store) {
        let Some(server) = stored.servers.get(name) else { continue };
        let state = match resolution.status {
            ServerStatus::Up if server.address.is_some() => ServerState::Up,
            ServerStatus::Draining => ServerState::Draining,
            ServerStatus::Up | ServerStatus::Gone => {
                members.remove(name);
                continue;
            }
        };
        let ServerRecord { zone, cell, started_ms, .. } = server.clone();
        let started = clock.from_unix_ms(started_ms);
        let member = Member { name: name.clone(), zone, cell, state, started };
        members.insert(name.clone(), (member, server.address));
    }
    ServerList { members: members.into_values().collect(), ..known }
}

impl StateStore {
    /// Opens the store if one is configured, and merges the usable records into the start list. A store that
    /// can't be used is set aside with a warning, and the broker starts with an empty one.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the store open, or a new one can't be created.
    pub fn open(config: &Config, clock: Clock, known: &mut Option<ServerList>) -> io::Result<Option<Self>> {
        let (Some(path), Some(discovery)) = (&config.service.store, config.discovery) else {
            return Ok(None);
        };
        let open_error = |error: StoreError| {
            let kind =
                if error == StoreError::Locked { io::ErrorKind::AddrInUse } else { io::ErrorKind::Other };
            io::Error::new(kind, format!("store {}: {error}", path.display()))
        };
        let owner = owner(config);
        let (store, stored) = match Store::open(path, &owner) {
            Ok(opened) => opened,
            Err(error @ (StoreError::Locked | StoreError::Io(_))) => return Err(open_error(error)),
            Err(error) => {
                let moved_to = set_aside(path)?;
                tracing::warn!("store: set aside as {}: {error}", moved_to.display());
                Store::open(path, &owner).map_err(open_error)?
            }
        };
        let discovery = discovery.to_string();
        log_opened(path, &stored, store.header().opened);
        let mut state_store = StateStore {
            writer: Writer::start(store, |error| tracing::warn!("store: not written: {error}"))?,
            clock,
            discovery,
            listed: BTreeSet::new(),
            removed: VecDeque::new(),
        };
        if stored.servers.is_empty() {
            return Ok(Some(state_store));
        }
        match resolve_stored(&clock, &state_store.discovery, known.as_ref(), &stored) {
            Ok(resolutions) => {
                for (name, resolution) in
                    resolutions.iter().filter(|(_, r)| r.from_store && r.reason != Reason::Listed)
                {
                    tracing::info!("store: {name}: {}", resolution.reason);
                }
                *known = Some(apply_resolutions(&clock, known.take(), &resolutions, &stored));
            }
            Err(reason) => tracing::warn!("store: the stored servers are not used: {reason}"),
        }
        for (name, server) in stored.servers {
            match server.status {
                ServerStatus::Gone => state_store.removed.push_back(name),
                _ => drop(state_store.listed.insert(name)),
            }
        }
        Ok(Some(state_store))
    }

    /// Records a list received from discovery.
    pub fn record_list(&mut self, list: &ServerList) {
        let noted_ms = unix_ms();
        let mut changes = BTreeMap::new();
        let mut present = BTreeSet::new();
        for (member, address) in &list.members {
            let (zone, cell) = (member.zone.clone(), member.cell);
            let (status, started_ms) = (status_of(member.state), self.clock.unix_ms(member.started));
            let server = ServerRecord { status, zone, cell, address: *address, started_ms, noted_ms };
            if status == ServerStatus::Gone {
                self.mark_removed(&member.name);
            } else {
                self.listed.insert(member.name.clone());
                self.removed.retain(|name| *name != member.name);
                present.insert(member.name.clone());
            }
            changes.insert(member.name.clone(), Some(server));
        }
        if list.is_full {
            // A full list removes a server by omission: the omitted server is gone, whichever process of it
            // older lists name.
            for name in self.listed.difference(&present).cloned().collect::<Vec<_>>() {
                let (zone, address) = (String::new(), None);
                let server = ServerRecord {
                    status: ServerStatus::Gone,
                    zone,
                    cell: 0,
                    address,
                    started_ms: u64::MAX,
                    noted_ms,
                };
                changes.insert(name.clone(), Some(server));
                self.mark_removed(&name);
            }
        }
        while self.removed.len() > self.listed.len().max(MIN_REMOVED_KEPT) {
            let oldest = self.removed.pop_front().unwrap_or_default();
            changes.insert(oldest, None);
        }
        self.writer.enqueue(changes, Some((self.discovery.clone(), list.index)));
    }

    /// Sets the address of the discovery that later lists come from.
    pub fn set_discovery(&mut self, discovery: SocketAddr) {
        self.discovery = discovery.to_string();
    }

    fn mark_removed(&mut self, name: &str) {
        if self.listed.remove(name) {
            self.removed.push_back(name.to_owned());
        }
    }
}

fn log_opened(path: &Path, stored: &StoredState, opened: u64) {
    let newest = stored.servers.values().map(|server| server.noted_ms).max();
    let age = newest.map_or(String::new(), |at| {
        format!(", newest record {:.1} s old", unix_ms().saturating_sub(at) as f64 / 1e3)
    });
    let (servers, index) = (stored.servers.len(), stored.index);
    tracing::info!(
        "store: {}: opened {opened} times, {servers} servers, version {index}{age}",
        path.display()
    );
}

#[cfg(test)]
mod tests;
