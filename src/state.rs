//! The store beside the broker, where the operator's file switches it on: what of it is believed at the start, and
//! each list noted as it comes. What is believed is decided in [`badgergauge_store::reconcile`].

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

/// Whatever discovery has to tell counts as told so much later at the latest, says the protocol: an `up` that was
/// noted longer ago may have been taken back since.
const UP_FOR: Duration = Duration::from_secs(6);
/// Servers that are gone are kept, as a list of old may still have them: as many as there are in the list, and so
/// many at the least. The oldest go first.
const LEAST_GONE: usize = 64;

/// The store of a running broker.
pub struct StateStore {
    writer: Writer,
    clock: Clock,
    discovery: String,
    listed: BTreeSet<String>,
    gone: VecDeque<String>,
}

fn standing(state: ServerState) -> ServerStatus {
    match state {
        ServerState::Up => ServerStatus::Up,
        ServerState::Draining => ServerStatus::Draining,
        ServerState::Removed => ServerStatus::Gone,
    }
}

/// Whose store a broker's is. The installation is told by what its list and its queries hang on.
pub fn owner(config: &Config) -> Owner {
    let module = &config.settings.router;
    let site = format!(
        "{:?} {:?} {} {} {}",
        config.settings.zones, config.settings.classes, module.shards, module.cells, module.width
    );
    Owner { name: config.name.clone(), site: format!("{:08x}", checksum("site", site.as_bytes())) }
}

/// Unix time, in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a start with this list would believe of what was stored.
///
/// # Errors
///
/// Says why nothing is believed.
pub fn beliefs(
    clock: &Clock,
    discovery: &str,
    known: Option<&ServerList>,
    stored: &StoredState,
) -> Result<BTreeMap<String, Resolution>, String> {
    let members = known.map_or(&[][..], |list| &list.members);
    let listed = members.iter().map(|(member, _)| {
        let started_ms = clock.unix_ms(member.started);
        (member.name.clone(), ListedServer { status: standing(member.state), started_ms })
    });
    let index = known.map_or(0, |list| list.index);
    reconcile(unix_ms(), UP_FOR.as_millis() as u64, discovery, index, &listed.collect(), stored)
        .map_err(|_| format!("it came from another discovery, {:?}", stored.discovery))
}

/// The list as it is believed.
fn believed(
    clock: &Clock,
    known: Option<ServerList>,
    beliefs: &BTreeMap<String, Resolution>,
    stored: &StoredState,
) -> ServerList {
    let known = known.unwrap_or(ServerList { index: 0, is_full: true, members: Vec::new() });
    let mut members: BTreeMap<String, (Member, Option<SocketAddr>)> =
        known.members.into_iter().map(|line| (line.0.name.clone(), line)).collect();
    for (name, belief) in beliefs.iter().filter(|(_, belief)| belief.from_store) {
        let Some(server) = stored.servers.get(name) else { continue };
        let state = match belief.status {
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
    /// Opens the store, if there is to be one, and changes the list at the start to what is believed. A store that
    /// can't be used is set aside, with a line that says why, and the broker starts as new.
    ///
    /// # Errors
    ///
    /// When another process has the store open, or none can be made.
    pub fn open(config: &Config, clock: Clock, known: &mut Option<ServerList>) -> io::Result<Option<Self>> {
        let (Some(path), Some(discovery)) = (&config.service.store, config.discovery) else {
            return Ok(None);
        };
        let refused = |fault: StoreError| {
            let kind =
                if fault == StoreError::Locked { io::ErrorKind::AddrInUse } else { io::ErrorKind::Other };
            io::Error::new(kind, format!("store {}: {fault}", path.display()))
        };
        let owner = owner(config);
        let (store, stored) = match Store::open(path, &owner) {
            Ok(opened) => opened,
            Err(fault @ (StoreError::Locked | StoreError::Io(_))) => return Err(refused(fault)),
            Err(fault) => {
                let aside = set_aside(path)?;
                tracing::warn!("store: set aside as {}: {fault}", aside.display());
                Store::open(path, &owner).map_err(refused)?
            }
        };
        let discovery = discovery.to_string();
        tell(path, &stored, store.header().opened);
        let mut keeper = StateStore {
            writer: Writer::start(store, |fault| tracing::warn!("store: not written: {fault}"))?,
            clock,
            discovery,
            listed: BTreeSet::new(),
            gone: VecDeque::new(),
        };
        if stored.servers.is_empty() {
            return Ok(Some(keeper));
        }
        match beliefs(&clock, &keeper.discovery, known.as_ref(), &stored) {
            Ok(beliefs) => {
                for (name, belief) in
                    beliefs.iter().filter(|(_, b)| b.from_store && b.reason != Reason::Listed)
                {
                    tracing::info!("store: {name}: {}", belief.reason);
                }
                *known = Some(believed(&clock, known.take(), &beliefs, &stored));
            }
            Err(why) => tracing::warn!("store: nothing of it is believed: {why}"),
        }
        for (name, server) in stored.servers {
            match server.status {
                ServerStatus::Gone => keeper.gone.push_back(name),
                _ => drop(keeper.listed.insert(name)),
            }
        }
        Ok(Some(keeper))
    }

    /// Notes a list of discovery's.
    pub fn note(&mut self, list: &ServerList) {
        let noted_ms = unix_ms();
        let mut changes = BTreeMap::new();
        let mut here = BTreeSet::new();
        for (member, address) in &list.members {
            let (zone, cell) = (member.zone.clone(), member.cell);
            let (standing, started_ms) = (standing(member.state), self.clock.unix_ms(member.started));
            let server =
                ServerRecord { status: standing, zone, cell, address: *address, started_ms, noted_ms };
            if standing == ServerStatus::Gone {
                self.leaves(&member.name);
            } else {
                self.listed.insert(member.name.clone());
                self.gone.retain(|name| *name != member.name);
                here.insert(member.name.clone());
            }
            changes.insert(member.name.clone(), Some(server));
        }
        if list.is_full {
            // A whole list tells by leaving out: whatever process an older list may name, it is not there.
            for name in self.listed.difference(&here).cloned().collect::<Vec<_>>() {
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
                self.leaves(&name);
            }
        }
        while self.gone.len() > self.listed.len().max(LEAST_GONE) {
            let oldest = self.gone.pop_front().unwrap_or_default();
            changes.insert(oldest, None);
        }
        self.writer.enqueue(changes, Some((self.discovery.clone(), list.index)));
    }

    /// From now on lists come from another discovery.
    pub fn moved(&mut self, discovery: SocketAddr) {
        self.discovery = discovery.to_string();
    }

    fn leaves(&mut self, name: &str) {
        if self.listed.remove(name) {
            self.gone.push_back(name.to_owned());
        }
    }
}

fn tell(path: &Path, stored: &StoredState, opened: u64) {
    let newest = stored.servers.values().map(|server| server.noted_ms).max();
    let age = newest.map_or(String::new(), |at| {
        format!(", noted {:.1} s ago at the latest", unix_ms().saturating_sub(at) as f64 / 1e3)
    });
    let (servers, index) = (stored.servers.len(), stored.index);
    tracing::info!(
        "store: {}: opened {opened} times, {servers} servers, version {index}{age}",
        path.display()
    );
}

#[cfg(test)]
mod tests;
