//! Holds the current server list and decides which parts of an older list are applied to it. Without I/O; the
//! caller supplies the time.
//!
//! A list with a lower version can follow a newer one: from a discovery instance that lags behind the one
//! called before, from another instance after SIGHUP, or from one that was restarted and restarts its version
//! count. Its restrictions (servers that it marks as draining or removed) are applied at once. What it would
//! reinstate (servers that are draining or removed in the newer list) is applied only once it has stayed
//! current for [`DELIVERY_DEADLINE`], the longest that any change may take to be delivered. A list that is
//! merely late can therefore not undo a drain, while a discovery that has restarted its version count is
//! accepted eventually.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgergauge_core::core::Member;
use badgergauge_core::interface::{ServerState, Time};

use crate::list::ServerList;
use crate::schedule::DELIVERY_DEADLINE;

type Members = BTreeMap<String, (Member, Option<SocketAddr>)>;

/// The current server list, and an older list that may replace it.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    index: u64,
    members: Members,
    older: Option<OlderList>,
}

/// A list with a lower version than the current one, which has been in effect at discovery since `since`.
#[derive(Debug)]
struct OlderList {
    since: Time,
    index: u64,
    members: Members,
}

fn apply_changes(members: &mut Members, list: &ServerList) {
    if list.is_full {
        members.clear();
    }
    for (member, address) in &list.members {
        match member.state {
            ServerState::Removed => drop(members.remove(&member.name)),
            _ => drop(members.insert(member.name.clone(), (member.clone(), *address))),
        }
    }
}

impl ServerRegistry {
    /// The version of the current list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The complete current list.
    pub fn server_list(&self) -> ServerList {
        ServerList { index: self.index, is_full: true, members: self.members.values().cloned().collect() }
    }

    /// Applies a received list, and returns the changes of it that take effect now.
    pub fn apply(&mut self, now: Time, list: ServerList) -> ServerList {
        if list.index >= self.index {
            self.index = list.index;
            self.older = None;
            apply_changes(&mut self.members, &list);
            return list;
        }
        match &mut self.older {
            Some(older) => {
                older.index = list.index;
                apply_changes(&mut older.members, &list);
            }
            // Changes without their full list can only be late ones to a list before the current one.
            None if !list.is_full => {}
            None => {
                let mut members = Members::new();
                apply_changes(&mut members, &list);
                self.older = Some(OlderList { since: now, index: list.index, members });
            }
        }
        let restrictions = self.restrictions(&list);
        apply_changes(&mut self.members, &restrictions);
        restrictions
    }

    /// The servers of the current list that an older list marks as draining or removed, as changes to the
    /// current list.
    fn restrictions(&self, list: &ServerList) -> ServerList {
        let listed = |name: &str| list.members.iter().find(|(member, _)| member.name == name);
        let change = |(member, address): &(Member, Option<SocketAddr>)| {
            let state = match listed(&member.name) {
                Some((listed, _)) if listed.state == ServerState::Up => return None,
                Some((listed, _)) => listed.state,
                None if list.is_full => ServerState::Removed,
                None => return None,
            };
            (state != member.state).then(|| (Member { state, ..member.clone() }, *address))
        };
        let members = self.members.values().filter_map(change).collect();
        ServerList { index: self.index, is_full: false, members }
    }

    /// When the older list, if there is one, replaces the current list.
    pub fn due(&self) -> Option<Time> {
        Some(self.older.as_ref()?.since.after(DELIVERY_DEADLINE))
    }

    /// Makes the older list current and returns it in full, if it has been in effect for
    /// [`DELIVERY_DEADLINE`]: by then it must be what discovery has.
    pub fn accept_older(&mut self, now: Time) -> Option<ServerList> {
        let older = self.older.take_if(|older| now >= older.since.after(DELIVERY_DEADLINE))?;
        (self.index, self.members) = (older.index, older.members);
        Some(self.server_list())
    }

    /// Discards the older list, as the watch has ended: only the next watch can tell whether it is still
    /// current.
    pub fn watch_ended(&mut self) {
        self.older = None;
    }
}

#[cfg(test)]
mod tests;
