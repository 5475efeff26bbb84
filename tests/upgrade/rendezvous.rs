//! Existing files at the path of the hand-over socket.

use std::fs;
use std::os::unix::net::UnixListener;

use crate::fixture::Fixture;
use crate::load::Load;

/// Minimum number of queries that the clients send in each phase of an upgrade.
const REQUESTS_PER_PHASE: usize = 50;

#[test]
fn a_stale_socket_is_replaced() {
    let fixture = Fixture::new("stale");
    drop(UnixListener::bind(fixture.rendezvous().path()).expect("bound"));
    let first = fixture.start();
    let second = fixture.start_successor();
    first.stop();
    fixture.assert_serves("second");
    second.stop();
}

#[test]
fn another_kind_of_file_is_not_touched_and_the_process_starts_beside_a_running_one() {
    let fixture = Fixture::new("foreign");
    let path = fixture.rendezvous().path().to_owned();
    fs::write(&path, "content").expect("written");
    let first = fixture.start();
    first.wait_for_log("exists and is not a socket");
    let load = Load::start(fixture.listen);
    let second = fixture.start();
    second.wait_for_log("exists and is not a socket");
    load.wait_for(REQUESTS_PER_PHASE);
    load.finish().assert_all_succeeded();
    assert_eq!(fs::read_to_string(&path).expect("exists"), "content");
    first.stop();
    fixture.assert_serves("second");
    second.stop();
}
