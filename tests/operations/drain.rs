//! Drains: clients are asked to disconnect, and no request they have sent is lost.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{request, wait_until, wait_until_delivered};
use crate::{
    UP, controlled_broker, readiness_status, start_drain, stop_drain, up_status, wait_two_seconds,
    wait_until_ready,
};

/// All client connections are closed within this time after the start of a drain.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// The broker accepts queries again within this time after the end of a drain.
const RESUME_TIME: Duration = Duration::from_secs(2);
/// Longer than connections may stay idle in a drain.
const LONGER_THAN_IDLE_TIME: Duration = Duration::from_millis(1200);

// The event loop may see the request before the drain. `/up` must still report not ready from the response
// to the control request on.
#[test]
fn up_reports_unready_from_the_response_to_the_drain_request_on() {
    let mut harness = controlled_broker("at-once", 1);
    harness.start();
    for _ in 0..50 {
        let mut open = harness.client();
        open.send(UP);
        let (head, _) = open.read_response();
        assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("Connection: close"), "{head}");
        start_drain(&harness);
        open.send(UP);
        let (head, _) = open.read_response();
        assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
        open.expect_eof();
        assert_eq!(up_status(&harness), 503);
        // Repeated control requests change nothing.
        start_drain(&harness);
        stop_drain(&harness);
        stop_drain(&harness);
        let resumed = Instant::now();
        wait_until_ready(&harness);
        assert!(resumed.elapsed() < RESUME_TIME, "after {:?}", resumed.elapsed());
    }
}

#[test]
fn a_query_in_a_drain_is_served_and_its_connection_closed() {
    let mut harness = controlled_broker("served", 1);
    harness.start();
    let mut before = harness.client();
    before.send_query("search", "before", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "before.0");
    start_drain(&harness);
    let mut after = harness.client();
    after.send_query("search", "after", 0);
    assert_eq!(server.next_part(), "after.0");
    for (client, part) in [(&mut before, "before.0"), (&mut after, "after.0")] {
        server.serve(part, "v");
        let (head, _) = client.read_response();
        assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
        client.expect_eof();
    }
}

// The broker half-closes the connection: data that the client sends afterwards is read and discarded, and
// never sent to a server.
#[test]
fn an_idle_connection_is_closed_and_later_queries_are_never_sent() {
    let mut harness = controlled_broker("idle", 1);
    harness.start();
    let mut idle = harness.client();
    idle.send(UP);
    assert_eq!(idle.read_status(), 200);
    let mut unused = harness.client();
    harness.wait_until_input_processed();
    let drained = Instant::now();
    start_drain(&harness);
    idle.expect_eof();
    unused.expect_eof();
    assert!(drained.elapsed() < DRAIN_TIME, "after {:?}", drained.elapsed());
    // The process keeps running, so the connection is still read.
    idle.stream.write_all(request("search", "late", &[0], 50_000).as_bytes()).expect("written");
    harness.wait_until_input_processed();
    let mut next = harness.client();
    next.send_query("search", "next", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "next.0");
    server.serve("next.0", "v");
    assert_eq!(next.read_status(), 200);
    idle.expect_eof();
    assert!(!harness.has_exited());
}

// The broker is suspended until the idle time has passed, with a request in its socket: it sees both when
// it resumes.
#[test]
fn a_request_at_the_end_of_the_idle_time_is_answered() {
    let mut harness = controlled_broker("idle-end", 1);
    harness.start();
    let mut idle = harness.client();
    idle.send(UP);
    assert_eq!(idle.read_status(), 200);
    start_drain(&harness);
    assert_eq!(up_status(&harness), 503);
    harness.suspend();
    idle.send_query("search", "moment", 0);
    wait_until_delivered(&idle.stream);
    let suspended = Instant::now();
    wait_until("the time does not pass", || suspended.elapsed() >= LONGER_THAN_IDLE_TIME);
    harness.resume();
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "moment.0");
    server.serve("moment.0", "v");
    let (head, _) = idle.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    idle.expect_eof();
}

// A request and the control request that starts a drain are in the sockets together; the broker may handle
// either first.
#[test]
fn a_request_concurrent_with_the_drain_request_is_answered() {
    let mut harness = controlled_broker("concurrent", 1);
    harness.start();
    let mut client = harness.client();
    client.send(UP);
    assert_eq!(client.read_status(), 200);
    harness.suspend();
    let mut operator = harness.control_client();
    operator.send("PUT /ops/drain/start HTTP/1.1\r\n\r\n");
    client.send_query("search", "crosses", 0);
    wait_until_delivered(&operator.stream);
    wait_until_delivered(&client.stream);
    harness.resume();
    assert_eq!(operator.read_status(), 200);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "crosses.0");
    server.serve("crosses.0", "v");
    let (head, _) = client.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    client.expect_eof();
}

#[test]
fn a_partial_request_is_served_when_idle_connections_are_closed() {
    let mut harness = controlled_broker("half", 1);
    harness.start();
    let mut idle = harness.client();
    idle.send(UP);
    assert_eq!(idle.read_status(), 200);
    start_drain(&harness);
    let mut client = harness.client();
    let text = request("search", "half", &[0], 50_000);
    let (first, rest) = text.split_at(40);
    client.send(first);
    harness.wait_until_input_processed();
    idle.expect_eof();
    client.send(rest);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "half.0");
    server.serve("half.0", "v");
    assert_eq!(client.read_status(), 200);
    client.expect_eof();
}

// The idle timer of the first drain fires during the second one or outside any: it must close nothing.
#[test]
fn timers_of_earlier_drains_do_not_affect_the_last_one() {
    let mut harness = controlled_broker("repeated", 1);
    harness.start();
    let mut idle = harness.client();
    idle.send(UP);
    assert_eq!(idle.read_status(), 200);
    for _ in 0..3 {
        start_drain(&harness);
        assert_eq!(up_status(&harness), 503);
        stop_drain(&harness);
    }
    wait_two_seconds(&harness);
    idle.send(UP);
    let (head, _) = idle.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("Connection: close"), "{head}");
    start_drain(&harness);
    stop_drain(&harness);
    start_drain(&harness);
    let drained = Instant::now();
    idle.expect_eof();
    assert!(drained.elapsed() < DRAIN_TIME, "after {:?}", drained.elapsed());
    assert_eq!((up_status(&harness), readiness_status(&harness)), (503, 503));
}

#[test]
fn sigterm_in_a_drain_answers_all_queries() {
    let mut harness = controlled_broker("term", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    start_drain(&harness);
    assert_eq!(up_status(&harness), 503);
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    // The broker is already stopping.
    assert_eq!(harness.control_request("PUT", "/ops/drain/stop").0, 409);
    server.serve("open.0", "v");
    let (head, _) = client.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    client.expect_eof();
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
}

#[test]
fn sighup_does_not_end_a_drain() {
    let mut harness = controlled_broker("hup", 1);
    harness.start();
    start_drain(&harness);
    harness.set_config("/name", json!("other"));
    harness.reload();
    harness.wait_for_log("reload: name will change");
    assert_eq!((up_status(&harness), readiness_status(&harness)), (503, 503));
    stop_drain(&harness);
    wait_until_ready(&harness);
}

// With the drain request in its socket before the first list, the broker drains before its first client:
// readiness and `/up` must never report ready.
#[test]
fn a_drain_requested_before_the_first_list_applies_from_the_first_client_on() {
    let mut harness = controlled_broker("early", 1);
    harness.spawn();
    let _call = harness.discovery.accept_call();
    start_drain(&harness);
    assert_eq!(readiness_status(&harness), 503);
    harness.wait_until_listening();
    assert_eq!((up_status(&harness), readiness_status(&harness)), (503, 503));
    stop_drain(&harness);
    wait_until_ready(&harness);
}
