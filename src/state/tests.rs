use super::*;

fn member(name: &str, state: ServerState) -> (Member, Option<SocketAddr>) {
    let member = Member { name: name.into(), zone: "z".into(), cell: 0, state, started: None };
    (member, "127.0.0.1:9".parse().ok())
}

// Guards against stored records that resurrect removed servers or grow without bound: a server that a full
// list omits is stored as removed like one that is listed so, and a bounded number of removed servers is
// kept.
#[test]
fn removed_servers_are_kept_up_to_a_limit() {
    let path = std::env::temp_dir().join(format!("badgergauge-state-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let owner = Owner { name: "b0".into(), site: "s".into() };
    let (store, _) = Store::open(&path, &owner).expect("the store opens");
    let mut state_store = StateStore {
        writer: Writer::start(store, |error| panic!("{error}")).expect("the writer starts"),
        clock: Clock::start(),
        discovery: "d".into(),
        listed: BTreeSet::new(),
        removed: VecDeque::new(),
    };
    let full_list = |index, members| ServerList { index, is_full: true, members };
    state_store.record_list(&full_list(1, vec![member("a", ServerState::Up), member("b", ServerState::Up)]));
    state_store.record_list(&full_list(2, vec![member("a", ServerState::Draining)]));
    let update = vec![member("c", ServerState::Up)];
    state_store.record_list(&ServerList { index: 3, is_full: false, members: update });
    for n in 0..300 {
        let update = vec![member(&format!("x{n}"), ServerState::Up)];
        state_store.record_list(&ServerList { index: 4 + n, is_full: false, members: update });
        let update = vec![member(&format!("x{n}"), ServerState::Removed)];
        state_store.record_list(&ServerList { index: 4 + n, is_full: false, members: update });
    }
    drop(state_store);
    let (_, stored) = Store::open(&path, &owner).expect("the store opens");
    let status = |name: &str| stored.servers.get(name).map(|server| server.status);
    assert_eq!(status("a"), Some(ServerStatus::Draining));
    assert_eq!((status("c"), status("x299")), (Some(ServerStatus::Up), Some(ServerStatus::Gone)));
    assert_eq!((status("b"), status("x0")), (None, None), "the oldest are dropped first");
    assert_eq!(stored.servers.len(), 2 + MIN_REMOVED_KEPT);
    std::fs::remove_file(&path).expect("the store file exists");
}

// The start list is changed only by the records that were chosen.
#[test]
fn the_start_list_includes_the_chosen_records() {
    let clock = Clock::start();
    let known = ServerList {
        index: 3,
        is_full: true,
        members: vec![
            member("drains", ServerState::Up),
            member("gone", ServerState::Up),
            member("new", ServerState::Up),
        ],
    };
    let server = |status, address: Option<&str>| ServerRecord {
        status,
        zone: "z".into(),
        cell: 1,
        address: address.and_then(|at| at.parse().ok()),
        started_ms: 0,
        noted_ms: unix_ms(),
    };
    let stored = StoredState {
        discovery: "d".into(),
        index: 5,
        servers: BTreeMap::from([
            ("drains".into(), server(ServerStatus::Draining, Some("127.0.0.1:7"))),
            ("gone".into(), server(ServerStatus::Gone, None)),
            ("lately".into(), server(ServerStatus::Up, Some("127.0.0.1:8"))),
            ("nowhere".into(), server(ServerStatus::Up, None)),
        ]),
    };
    let resolutions = resolve_stored(&clock, "d", Some(&known), &stored).expect("the same discovery");
    let list = apply_resolutions(&clock, Some(known), &resolutions, &stored);
    let lines: Vec<_> =
        list.members.iter().map(|(m, at)| (m.name.as_str(), m.state, at.map(|at| at.port()))).collect();
    let expected = [
        ("drains", ServerState::Draining, Some(7)),
        ("lately", ServerState::Up, Some(8)),
        ("new", ServerState::Up, Some(9)),
    ];
    assert_eq!((lines.as_slice(), list.index), (&expected[..], 3));
}
