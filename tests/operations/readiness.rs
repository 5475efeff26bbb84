//! Readiness on the control endpoint, which matches what `GET /up` reports to clients.

use serde_json::json;

use crate::harness::wait_until;
use crate::{controlled_broker, readiness_status, start_drain, stop_drain, up_status, wait_until_ready};

// The broker knows no server before its first list, so it stays unready however long its start takes.
#[test]
fn the_broker_is_unready_before_its_first_list_and_ready_after() {
    let mut harness = controlled_broker("ready", 1);
    harness.set_config("/known/endpoints", json!([]));
    harness.spawn();
    let mut call = harness.discovery.accept_call();
    assert_eq!(readiness_status(&harness), 503);
    harness.wait_until_listening();
    assert_eq!((up_status(&harness), readiness_status(&harness)), (503, 503));
    call.start_watch();
    call.send_list(&harness.server_list(2, 1, "up"));
    wait_until("the broker does not become ready", || readiness_status(&harness) == 200);
    assert_eq!(up_status(&harness), 200);
}

#[test]
fn the_broker_is_unready_in_a_drain_and_while_it_stops() {
    let mut harness = controlled_broker("unready", 1);
    harness.start();
    wait_until("the broker does not become ready", || readiness_status(&harness) == 200);
    start_drain(&harness);
    assert_eq!(readiness_status(&harness), 503);
    stop_drain(&harness);
    wait_until_ready(&harness);
    let mut client = harness.client();
    client.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    assert_eq!(readiness_status(&harness), 503);
    server.serve("open.0", "v");
    assert_eq!(client.read_status(), 200);
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
}
