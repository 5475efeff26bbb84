//! What a started broker may believe of what it had stored, beside the list that it was given. No I/O and no clock:
//! times are Unix milliseconds.
//!
//! The list at the start may be older than what the broker knew when it ended. What binds most holds: a drain holds
//! until discovery itself says otherwise, whatever a stale list says; an `up` that nobody has confirmed lately is no
//! more than unknown.

use std::collections::BTreeMap;
use std::fmt;

use crate::record::{Server, Standing};

/// What was stored, as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// Which discovery it came from.
    pub discovery: String,
    /// The newest version of the list in it.
    pub index: u64,
    /// Servers by name.
    pub servers: BTreeMap<String, Server>,
}

/// A server in the list that the broker was started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// What the list says of it.
    pub standing: Standing,
    /// When its process started; 0 for long ago.
    pub started_ms: u64,
}

/// Why something is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing else is known of it.
    Listed,
    /// The list is newer than what was stored.
    ListNewer,
    /// The list names another process, younger than the stored one.
    NewProcess,
    /// The list names a process that the stored one has followed.
    OldProcess,
    /// It was told to drain, and the list is older than that.
    DrainHolds,
    /// It was told to be gone, and the list is older than that.
    GoneHolds,
    /// It was up lately, and the list does not have it yet.
    LatelyUp,
    /// It was up once, which is too long ago to act on.
    TooOld,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Listed => "as listed: nothing was stored of it",
            Why::ListNewer => "as listed: the list is newer than the store",
            Why::NewProcess => "as listed: another process than the stored one",
            Why::OldProcess => "as stored: the list names an older process",
            Why::DrainHolds => "as stored: it was told to drain",
            Why::GoneHolds => "as stored: it was told to be gone",
            Why::LatelyUp => "as stored: it was up lately, and is not listed yet",
            Why::TooOld => "left out: it was up too long ago",
        })
    }
}

/// What is believed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    /// How it stands; gone is not to be used.
    pub standing: Standing,
    /// Whether that, its process and its address are those of the store, not of the list.
    pub of_store: bool,
    /// Why.
    pub why: Why,
}

/// Why nothing of the store is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Void {
    /// It came from another discovery, whose servers and versions are others.
    OtherDiscovery,
}

/// What is believed of each server that is listed or stored.
///
/// `list_index` is the version of the list at the start and `up_for_ms` how long an `up` is worth something after
/// it was noted. A clock that has gone back makes what was noted later than `now_ms` count as too old, so that no time is
/// ever longer for it.
///
/// # Errors
///
/// When nothing that was stored may be believed: the list stands as it is.
pub fn plan(
    now_ms: u64,
    up_for_ms: u64,
    discovery: &str,
    list_index: u64,
    listed: &BTreeMap<String, Listed>,
    stored: &Stored,
) -> Result<BTreeMap<String, Belief>, Void> {
    if stored.discovery != discovery {
        return Err(Void::OtherDiscovery);
    }
    let mut beliefs = BTreeMap::new();
    for (name, listed) in listed {
        let of_list = |why| Belief { standing: listed.standing, of_store: false, why };
        let belief = match stored.servers.get(name) {
            None => of_list(Why::Listed),
            Some(_) if list_index > stored.index => of_list(Why::ListNewer),
            Some(server) if listed.started_ms > server.started_ms => of_list(Why::NewProcess),
            Some(server) => {
                let of_store = |why| Belief { standing: server.standing, of_store: true, why };
                match server.standing {
                    Standing::Draining => of_store(Why::DrainHolds),
                    Standing::Gone => of_store(Why::GoneHolds),
                    Standing::Up if listed.started_ms < server.started_ms => of_store(Why::OldProcess),
                    // The store is no older than the list, and says the same or, of a drain, that it is over.
                    Standing::Up => of_store(Why::Listed),
                }
            }
        };
        beliefs.insert(name.clone(), belief);
    }
    for (name, server) in &stored.servers {
        if listed.contains_key(name) || list_index > stored.index {
            continue;
        }
        let age = now_ms.checked_sub(server.noted_ms);
        let lately = age.is_some_and(|age| age <= up_for_ms);
        let (standing, why) = match server.standing {
            Standing::Up if lately => (Standing::Up, Why::LatelyUp),
            Standing::Up => (Standing::Gone, Why::TooOld),
            Standing::Draining => (Standing::Draining, Why::DrainHolds),
            Standing::Gone => (Standing::Gone, Why::GoneHolds),
        };
        beliefs.insert(name.clone(), Belief { standing, of_store: true, why });
    }
    Ok(beliefs)
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: u64 = 1_000_000;

    fn believed(
        list_index: u64,
        listed: Option<(Standing, u64)>,
        stored: Option<(Standing, u64, u64)>,
    ) -> Option<Belief> {
        let listed = listed.map(|(standing, started_ms)| ("s".to_owned(), Listed { standing, started_ms }));
        let server = stored.map(|(standing, started_ms, noted_ms)| {
            let (zone, cell, address) = ("z".to_owned(), 0, None);
            ("s".to_owned(), Server { standing, zone, cell, address, started_ms, noted_ms })
        });
        let stored = Stored { discovery: "d".into(), index: 10, servers: server.into_iter().collect() };
        let plan = plan(NOW, 6000, "d", list_index, &listed.into_iter().collect(), &stored);
        plan.expect("the same discovery").get("s").copied()
    }

    // Each row: the list's version against the store's 10, what the list says, what the store says, what is believed.
    #[test]
    fn what_binds_most_holds_until_a_newer_list_says_otherwise() {
        use Standing::{Draining, Gone, Up};
        type Row = (u64, Option<(Standing, u64)>, Option<(Standing, u64, u64)>, Standing, bool, Why);
        let rows: [Row; 14] = [
            (10, Some((Up, 0)), None, Up, false, Why::Listed),
            (10, Some((Up, 0)), Some((Up, 0, 1)), Up, true, Why::Listed),
            // A drain that a stale list does not know, however long ago it was told.
            (3, Some((Up, 0)), Some((Draining, 0, NOW)), Draining, true, Why::DrainHolds),
            (3, Some((Up, 0)), Some((Draining, 0, 1)), Draining, true, Why::DrainHolds),
            (3, Some((Up, 5)), Some((Gone, 5, 1)), Gone, true, Why::GoneHolds),
            // A list that is newer has the last word.
            (11, Some((Up, 0)), Some((Draining, 0, NOW)), Up, false, Why::ListNewer),
            (11, Some((Draining, 0)), Some((Up, 0, NOW)), Draining, false, Why::ListNewer),
            // Another process is another server; an older one is the list's age.
            (3, Some((Up, 9)), Some((Draining, 5, NOW)), Up, false, Why::NewProcess),
            (3, Some((Up, 2)), Some((Up, 5, NOW)), Up, true, Why::OldProcess),
            (3, Some((Draining, 0)), Some((Up, 0, NOW)), Up, true, Why::Listed),
            // Not in the list: an `up` is worth something for a while, and nothing under a clock that went back.
            (3, None, Some((Up, 0, NOW - 6000)), Up, true, Why::LatelyUp),
            (3, None, Some((Up, 0, NOW - 6001)), Gone, true, Why::TooOld),
            (3, None, Some((Up, 0, NOW + 1)), Gone, true, Why::TooOld),
            (3, None, Some((Draining, 0, NOW + 1)), Draining, true, Why::DrainHolds),
        ];
        for (index, listed, stored, standing, of_store, why) in rows {
            let belief = believed(index, listed, stored);
            assert_eq!(belief, Some(Belief { standing, of_store, why }), "{index} {listed:?} {stored:?}");
        }
        assert_eq!(believed(11, None, Some((Up, 0, NOW))), None, "a newer list that lacks it");
    }

    #[test]
    fn nothing_is_believed_from_another_discovery() {
        let stored = Stored { discovery: "e".into(), ..Stored::default() };
        assert_eq!(plan(NOW, 1, "d", 0, &BTreeMap::new(), &stored), Err(Void::OtherDiscovery));
    }
}
