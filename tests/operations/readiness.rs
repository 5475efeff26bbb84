//! Readiness on the control endpoint: it says what `GET /up` says to clients.

use serde_json::json;

use crate::harness::wait_until;
use crate::{comes_back, drain, operated, readiness, resume, up};

// The broker knows no server before its first list, so that it stays unready however long its start takes.
#[test]
fn readiness_is_no_before_clients_may_come_and_yes_after() {
    let mut harness = operated("ready", 1);
    harness.set_config("/known/endpoints", json!([]));
    harness.spawn();
    let mut call = harness.discovery.accept_call();
    assert_eq!(readiness(&harness), 503);
    harness.wait_until_listening();
    assert_eq!((up(&harness), readiness(&harness)), (503, 503));
    call.start_watch();
    call.send_list(&harness.server_list(2, 1, "up"));
    wait_until("it never says yes", || readiness(&harness) == 200);
    assert_eq!(up(&harness), 200);
}

#[test]
fn readiness_is_no_in_a_drain_and_while_the_process_stops() {
    let mut harness = operated("unready", 1);
    harness.start();
    wait_until("it never says yes", || readiness(&harness) == 200);
    drain(&harness);
    assert_eq!(readiness(&harness), 503);
    resume(&harness);
    comes_back(&harness);
    let mut client = harness.client();
    client.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    assert_eq!(readiness(&harness), 503);
    server.serve("open.0", "v");
    assert_eq!(client.read_status(), 200);
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
}
