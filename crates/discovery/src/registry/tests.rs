use std::time::Duration;

use super::*;

fn list(index: u64, is_full: bool, states: &[(&str, ServerState)]) -> ServerList {
    let member = |(name, state): &(&str, ServerState)| {
        let (name, zone) = ((*name).to_owned(), "z".to_owned());
        (Member { name, zone, cell: 0, state: *state, started: None }, "127.0.0.1:9".parse().ok())
    };
    ServerList { index, is_full, members: states.iter().map(member).collect() }
}

fn states(list: &ServerList) -> Vec<(&str, ServerState)> {
    list.members.iter().map(|(member, _)| (member.name.as_str(), member.state)).collect()
}

use ServerState::{Draining, Removed, Up};

// Guards drains against late lists: a server that a newer list marks as draining or removed is not reinstated
// by an older one.
#[test]
fn an_older_list_does_not_undo_a_drain() {
    let mut registry = ServerRegistry::default();
    let now = Time(1_000_000_000);
    let newest = list(43, true, &[("a", Draining), ("b", Up), ("c", Up)]);
    assert_eq!(registry.apply(now, newest.clone()), newest);
    // In the older list a is up, b drains, c is missing, and d is a server that was removed in the newer
    // list.
    let older = registry.apply(now, list(41, true, &[("a", Up), ("b", Draining), ("d", Up)]));
    assert_eq!(states(&older), [("b", Draining), ("c", Removed)]);
    assert!(!older.is_full);
    // Late changes without a full list likewise only restrict and do not reinstate servers.
    let mut registry = ServerRegistry::default();
    registry.apply(now, newest);
    let late = registry.apply(now, list(42, false, &[("a", Up), ("b", Removed), ("e", Up)]));
    assert_eq!((states(&late), registry.due()), (vec![("b", Removed)], None));
    assert_eq!(registry.index(), 43);
    // The next newer list takes effect unchanged.
    let newer = list(44, false, &[("a", Up)]);
    assert_eq!(registry.apply(now, newer.clone()), newer);
}

// Guards against ignoring a discovery that has restarted its version count: its list, with later changes,
// replaces the current one after the delivery deadline. A newer list or the end of the watch cancels that.
#[test]
fn a_restarted_version_count_is_accepted_after_the_delivery_deadline() {
    let now = Time(1_000_000_000);
    let start = || {
        let mut registry = ServerRegistry::default();
        registry.apply(now, list(43, true, &[("a", Draining), ("b", Up)]));
        registry.apply(now, list(1, true, &[("a", Up), ("b", Up)]));
        registry
    };
    let mut registry = start();
    let meanwhile = registry.apply(now, list(2, false, &[("b", Draining), ("c", Up)]));
    assert_eq!(states(&meanwhile), [("b", Draining)]);
    let due = registry.due().expect("an older list is pending");
    assert_eq!(due.since(now), DELIVERY_DEADLINE);
    assert_eq!(registry.accept_older(due.before(Duration::from_millis(1))), None);
    let accepted = registry.accept_older(due).expect("accepted");
    assert_eq!(states(&accepted), [("a", Up), ("b", Draining), ("c", Up)]);
    assert_eq!((accepted.index, registry.index(), registry.due()), (2, 2, None));
    let next = list(3, false, &[("a", Draining)]);
    assert_eq!(registry.apply(now, next.clone()), next);

    let mut newer = start();
    newer.apply(now, list(44, false, &[]));
    let mut ended = start();
    ended.watch_ended();
    assert_eq!((newer.due(), ended.due()), (None, None));
}
