use super::*;

fn member(name: &str, state: ServerState) -> (Member, Option<SocketAddr>) {
    let member = Member { name: name.into(), zone: "z".into(), cell: 0, state, started: None };
    (member, "127.0.0.1:9".parse().ok())
}

// Guards what a list of old is judged by: a server that a whole list leaves out is gone, as one that is said to
// be, and of those that are gone a bounded number is kept, however many come and go.
#[test]
fn servers_that_went_are_kept_as_gone_and_not_for_ever() {
    let path = std::env::temp_dir().join(format!("badgergauge-state-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let owner = Owner { name: "b0".into(), site: "s".into() };
    let (store, _) = Store::open(&path, &owner).expect("opens");
    let mut keeper = StateStore {
        writer: Writer::start(store, |fault| panic!("{fault}")).expect("starts"),
        clock: Clock::start(),
        discovery: "d".into(),
        listed: BTreeSet::new(),
        gone: VecDeque::new(),
    };
    let whole = |index, members| ServerList { index, is_full: true, members };
    keeper.note(&whole(1, vec![member("a", ServerState::Up), member("b", ServerState::Up)]));
    keeper.note(&whole(2, vec![member("a", ServerState::Draining)]));
    let changed = vec![member("c", ServerState::Up)];
    keeper.note(&ServerList { index: 3, is_full: false, members: changed });
    for n in 0..300 {
        let gone = vec![member(&format!("x{n}"), ServerState::Up)];
        keeper.note(&ServerList { index: 4 + n, is_full: false, members: gone });
        let gone = vec![member(&format!("x{n}"), ServerState::Removed)];
        keeper.note(&ServerList { index: 4 + n, is_full: false, members: gone });
    }
    drop(keeper);
    let (_, stored) = Store::open(&path, &owner).expect("opens");
    let standing = |name: &str| stored.servers.get(name).map(|server| server.status);
    assert_eq!(standing("a"), Some(ServerStatus::Draining));
    assert_eq!((standing("c"), standing("x299")), (Some(ServerStatus::Up), Some(ServerStatus::Gone)));
    assert_eq!((standing("b"), standing("x0")), (None, None), "the oldest went first");
    assert_eq!(stored.servers.len(), 2 + LEAST_GONE);
    std::fs::remove_file(&path).expect("there");
}

// A list at the start is changed by what is believed, and by nothing else.
#[test]
fn the_list_at_the_start_is_as_it_is_believed() {
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
    let server = |standing, address: Option<&str>| ServerRecord {
        status: standing,
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
    let beliefs = beliefs(&clock, "d", Some(&known), &stored).expect("the same discovery");
    let list = believed(&clock, Some(known), &beliefs, &stored);
    let lines: Vec<_> =
        list.members.iter().map(|(m, at)| (m.name.as_str(), m.state, at.map(|at| at.port()))).collect();
    let expected = [
        ("drains", ServerState::Draining, Some(7)),
        ("lately", ServerState::Up, Some(8)),
        ("new", ServerState::Up, Some(9)),
    ];
    assert_eq!((lines.as_slice(), list.index), (&expected[..], 3));
}
