//! Reconciles the stored state with the list of servers that a broker is started with. No I/O and no clock:
//! times are Unix milliseconds.
//!
//! The list at the start may be older than what the broker knew when it ended. The more restrictive status
//! wins: a drain stays in force until discovery itself ends it, whatever an outdated list says, and a stored
//! `up` that was not confirmed recently is ignored.

use std::collections::BTreeMap;
use std::fmt;

use crate::record::{ServerRecord, ServerStatus};

/// The contents of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The discovery that it came from.
    pub discovery: String,
    /// The newest version of discovery's list in it.
    pub index: u64,
    /// The servers' records by name.
    pub servers: BTreeMap<String, ServerRecord>,
}

/// A server in the list that the broker was started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Its status in the list.
    pub status: ServerStatus,
    /// When its process started, in Unix milliseconds; 0 if unknown or too long ago to matter.
    pub started_ms: u64,
}

/// Why a status was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The store has no record of the server, or has it up and is at least as new as the list. In the second
    /// case the list may have it draining: that drain has ended.
    Listed,
    /// The list is newer than the store.
    NewerList,
    /// The list names a process that started after the stored one.
    NewProcess,
    /// The list names a process that started before the stored one.
    OlderProcess,
    /// The store has it draining, and the list is no newer.
    StoredDrain,
    /// The store has it removed, and the list is no newer.
    StoredRemoval,
    /// The store had it up recently, and the list does not have it yet.
    RecentlyUp,
    /// The store had it up, but too long ago to rely on, and the list does not have it.
    Stale,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Listed => "as listed: no drain or removal is stored",
            Reason::NewerList => "as listed: the list is newer than the store",
            Reason::NewProcess => "as listed: a newer process than the stored one",
            Reason::OlderProcess => "as stored: the list names an older process",
            Reason::StoredDrain => "as stored: it was draining",
            Reason::StoredRemoval => "as stored: it was removed",
            Reason::RecentlyUp => "as stored: it was up recently and is not listed yet",
            Reason::Stale => "ignored: it was last up too long ago",
        })
    }
}

/// The status that a broker starts with for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// The status; a server that is gone is not used.
    pub status: ServerStatus,
    /// Whether the status, the process and the address are taken from the store instead of the list.
    pub from_store: bool,
    /// Why.
    pub reason: Reason,
}

/// Why the stored state can't be used at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconcileError {
    /// It came from another discovery, which has its own servers and list versions.
    OtherDiscovery,
}

/// Chooses the status of each server that is listed or stored.
///
/// `list_index` is the version of the list at the start, and `up_for_ms` is how long a stored `up` stays
/// valid after its record was updated. If the system clock was set back, a record updated after `now_ms`
/// counts as stale, so that its validity is never extended.
///
/// # Errors
///
/// When the stored state can't be used; the list applies unchanged then.
pub fn reconcile(
    now_ms: u64,
    up_for_ms: u64,
    discovery: &str,
    list_index: u64,
    listed: &BTreeMap<String, ListedServer>,
    stored: &StoredState,
) -> Result<BTreeMap<String, Resolution>, ReconcileError> {
    if stored.discovery != discovery {
        return Err(ReconcileError::OtherDiscovery);
    }
    let mut resolutions = BTreeMap::new();
    for (name, listed) in listed {
        let from_list = |reason| Resolution { status: listed.status, from_store: false, reason };
        let resolution = match stored.servers.get(name) {
            None => from_list(Reason::Listed),
            Some(_) if list_index > stored.index => from_list(Reason::NewerList),
            Some(server) if listed.started_ms > server.started_ms => from_list(Reason::NewProcess),
            Some(server) => {
                let from_store = |reason| Resolution { status: server.status, from_store: true, reason };
                match server.status {
                    ServerStatus::Draining => from_store(Reason::StoredDrain),
                    ServerStatus::Gone => from_store(Reason::StoredRemoval),
                    ServerStatus::Up if listed.started_ms < server.started_ms => {
                        from_store(Reason::OlderProcess)
                    }
                    // The store is at least as new as the list: it has the same status, or knows that a drain
                    // has ended.
                    ServerStatus::Up => from_store(Reason::Listed),
                }
            }
        };
        resolutions.insert(name.clone(), resolution);
    }
    for (name, server) in &stored.servers {
        if listed.contains_key(name) || list_index > stored.index {
            continue;
        }
        let age = now_ms.checked_sub(server.noted_ms);
        let is_recent = age.is_some_and(|age| age <= up_for_ms);
        let (status, reason) = match server.status {
            ServerStatus::Up if is_recent => (ServerStatus::Up, Reason::RecentlyUp),
            ServerStatus::Up => (ServerStatus::Gone, Reason::Stale),
            ServerStatus::Draining => (ServerStatus::Draining, Reason::StoredDrain),
            ServerStatus::Gone => (ServerStatus::Gone, Reason::StoredRemoval),
        };
        resolutions.insert(name.clone(), Resolution { status, from_store: true, reason });
    }
    Ok(resolutions)
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: u64 = 1_000_000;

    fn resolve(
        list_index: u64,
        listed: Option<(ServerStatus, u64)>,
        stored: Option<(ServerStatus, u64, u64)>,
    ) -> Option<Resolution> {
        let listed = listed.map(|(status, started_ms)| ("s".to_owned(), ListedServer { status, started_ms }));
        let server = stored.map(|(status, started_ms, noted_ms)| {
            let (zone, cell, address) = ("z".to_owned(), 0, None);
            ("s".to_owned(), ServerRecord { status, zone, cell, address, started_ms, noted_ms })
        });
        let stored = StoredState { discovery: "d".into(), index: 10, servers: server.into_iter().collect() };
        let resolutions = reconcile(NOW, 6000, "d", list_index, &listed.into_iter().collect(), &stored);
        resolutions.expect("the same discovery").get("s").copied()
    }

    // Each row: the list's version (the store's is 10), the server in the list, its record, and the expected
    // resolution.
    #[test]
    fn the_more_restrictive_status_wins_until_a_newer_list() {
        use ServerStatus::{Draining, Gone, Up};
        type Row =
            (u64, Option<(ServerStatus, u64)>, Option<(ServerStatus, u64, u64)>, ServerStatus, bool, Reason);
        let rows: [Row; 14] = [
            (10, Some((Up, 0)), None, Up, false, Reason::Listed),
            (10, Some((Up, 0)), Some((Up, 0, 1)), Up, true, Reason::Listed),
            // A drain or removal that an outdated list does not have, however old the record is.
            (3, Some((Up, 0)), Some((Draining, 0, NOW)), Draining, true, Reason::StoredDrain),
            (3, Some((Up, 0)), Some((Draining, 0, 1)), Draining, true, Reason::StoredDrain),
            (3, Some((Up, 5)), Some((Gone, 5, 1)), Gone, true, Reason::StoredRemoval),
            // A newer list wins.
            (11, Some((Up, 0)), Some((Draining, 0, NOW)), Up, false, Reason::NewerList),
            (11, Some((Draining, 0)), Some((Up, 0, NOW)), Draining, false, Reason::NewerList),
            // The record of another process does not apply; an older process in the list means that the list
            // is outdated.
            (3, Some((Up, 9)), Some((Draining, 5, NOW)), Up, false, Reason::NewProcess),
            (3, Some((Up, 2)), Some((Up, 5, NOW)), Up, true, Reason::OlderProcess),
            (3, Some((Draining, 0)), Some((Up, 0, NOW)), Up, true, Reason::Listed),
            // Not in the list: a stored `up` is valid for a limited time, and not at all if the clock was set
            // back.
            (3, None, Some((Up, 0, NOW - 6000)), Up, true, Reason::RecentlyUp),
            (3, None, Some((Up, 0, NOW - 6001)), Gone, true, Reason::Stale),
            (3, None, Some((Up, 0, NOW + 1)), Gone, true, Reason::Stale),
            (3, None, Some((Draining, 0, NOW + 1)), Draining, true, Reason::StoredDrain),
        ];
        for (index, listed, stored, status, from_store, reason) in rows {
            let resolution = resolve(index, listed, stored);
            assert_eq!(
                resolution,
                Some(Resolution { status, from_store, reason }),
                "{index} {listed:?} {stored:?}"
            );
        }
        assert_eq!(resolve(11, None, Some((Up, 0, NOW))), None, "a newer list does not have it");
    }

    #[test]
    fn state_from_another_discovery_is_not_used() {
        let stored = StoredState { discovery: "e".into(), ..StoredState::default() };
        assert_eq!(reconcile(NOW, 1, "d", 0, &BTreeMap::new(), &stored), Err(ReconcileError::OtherDiscovery));
    }
}
