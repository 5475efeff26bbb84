//! The list in hand, and what of a list that is older than it may be believed. No I/O, and no clock but what is told.
//!
//! An older list can come after a newer one: from a discovery that lags behind the one that was asked before, from
//! another one after SIGHUP, or from one that was restarted and counts anew. What it takes away (a server that drains
//! in it, or is gone) holds at once; what it would give back (a server that drained or was gone in the newer list) is
//! believed only once it has stood for as long as any change may take to be told. So no drain is undone by a list that
//! is merely late, and a discovery that counts anew is heard.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgergauge_core::core::Member;
use badgergauge_core::interface::{ServerState, Time};

use crate::list::ServerList;
use crate::schedule::DELIVERY_DEADLINE;

type Members = BTreeMap<String, (Member, Option<SocketAddr>)>;

/// The list in hand.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    index: u64,
    members: Members,
    older: Option<Older>,
}

/// An older list that stands since then.
#[derive(Debug)]
struct Older {
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
    /// The version of the list in hand.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The list in hand, whole.
    pub fn server_list(&self) -> ServerList {
        ServerList { index: self.index, is_full: true, members: self.members.values().cloned().collect() }
    }

    /// Takes a list that has come, and gives what of it holds now.
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
            // Changes to a list that is not known can be nothing but late.
            None if !list.is_full => {}
            None => {
                let mut members = Members::new();
                apply_changes(&mut members, &list);
                self.older = Some(Older { since: now, index: list.index, members });
            }
        }
        let taken = self.removals(&list);
        apply_changes(&mut self.members, &taken);
        taken
    }

    /// What an older list takes away from the one in hand, as changes to it.
    fn removals(&self, list: &ServerList) -> ServerList {
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

    /// When an older list is to be believed, at the latest.
    pub fn due(&self) -> Option<Time> {
        Some(self.older.as_ref()?.since.after(DELIVERY_DEADLINE))
    }

    /// The older list, whole, once it has stood for so long that it must be what discovery has.
    pub fn accept_older(&mut self, now: Time) -> Option<ServerList> {
        let older = self.older.take_if(|older| now >= older.since.after(DELIVERY_DEADLINE))?;
        (self.index, self.members) = (older.index, older.members);
        Some(self.server_list())
    }

    /// The watch has ended: whether its older list still stands is for the next one to say.
    pub fn watch_ended(&mut self) {
        self.older = None;
    }
}

#[cfg(test)]
mod tests;
