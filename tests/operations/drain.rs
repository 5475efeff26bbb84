//! Drains: clients are asked to leave, and nothing they have sent is lost.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{request, wait_until, wait_until_delivered};
use crate::{UP, comes_back, drain, operated, readiness, resume, two_seconds_pass, up};

/// Clients' connections have ended so long after a drain began.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// After the end of a drain the broker takes clients again within this time.
const RESUME_TIME: Duration = Duration::from_secs(2);
/// Longer than connections may rest in a drain.
const MORE_THAN_REST: Duration = Duration::from_millis(1200);

// The loop may learn of the request before the drain: it says no all the same, from the answer to the call on.
#[test]
fn up_says_no_from_the_answer_to_the_drain_call_on() {
    let mut harness = operated("at-once", 1);
    harness.start();
    for _ in 0..50 {
        let mut open = harness.client();
        open.send(UP);
        let (head, _) = open.read_response();
        assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("Connection: close"), "{head}");
        drain(&harness);
        open.send(UP);
        let (head, _) = open.read_response();
        assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
        open.expect_eof();
        assert_eq!(up(&harness), 503);
        // Neither call says anything new the second time.
        drain(&harness);
        resume(&harness);
        resume(&harness);
        let resumed = Instant::now();
        comes_back(&harness);
        assert!(resumed.elapsed() < RESUME_TIME, "after {:?}", resumed.elapsed());
    }
}

#[test]
fn a_query_in_a_drain_is_served_and_its_connection_ends_with_the_answer() {
    let mut harness = operated("served", 1);
    harness.start();
    let mut before = harness.client();
    before.send_query("search", "before", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "before.0");
    drain(&harness);
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

// The end is a half-close: what the client sends after it is read away, and never sent on.
#[test]
fn a_connection_that_rests_is_ended_and_what_comes_after_is_never_sent_on() {
    let mut harness = operated("rests", 1);
    harness.start();
    let mut resting = harness.client();
    resting.send(UP);
    assert_eq!(resting.read_status(), 200);
    let mut fresh = harness.client();
    harness.wait_until_input_processed();
    let drained = Instant::now();
    drain(&harness);
    resting.expect_eof();
    fresh.expect_eof();
    assert!(drained.elapsed() < DRAIN_TIME, "after {:?}", drained.elapsed());
    // Nothing restarts, so the connection is still read.
    resting.stream.write_all(request("search", "late", &[0], 50_000).as_bytes()).expect("written");
    harness.wait_until_input_processed();
    let mut next = harness.client();
    next.send_query("search", "next", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "next.0");
    server.serve("next.0", "v");
    assert_eq!(next.read_status(), 200);
    resting.expect_eof();
    assert!(!harness.has_ended());
}

// The broker is held until the time to rest is over, with a request in its socket: both are there when it goes on.
#[test]
fn a_request_in_the_moment_of_the_end_is_answered() {
    let mut harness = operated("moment", 1);
    harness.start();
    let mut resting = harness.client();
    resting.send(UP);
    assert_eq!(resting.read_status(), 200);
    drain(&harness);
    assert_eq!(up(&harness), 503);
    harness.suspend();
    resting.send_query("search", "moment", 0);
    wait_until_delivered(&resting.stream);
    let held = Instant::now();
    wait_until("time stands", || held.elapsed() >= MORE_THAN_REST);
    harness.resume();
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "moment.0");
    server.serve("moment.0", "v");
    let (head, _) = resting.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    resting.expect_eof();
}

// Drained or not when it is held: a request and the call for a drain are in the sockets together.
#[test]
fn a_request_that_crosses_the_call_is_answered() {
    let mut harness = operated("call", 1);
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
fn half_a_request_at_the_end_of_those_that_rest_is_finished() {
    let mut harness = operated("half", 1);
    harness.start();
    let mut resting = harness.client();
    resting.send(UP);
    assert_eq!(resting.read_status(), 200);
    drain(&harness);
    let mut client = harness.client();
    let whole = request("search", "half", &[0], 50_000);
    let (first, rest) = whole.split_at(40);
    client.send(first);
    harness.wait_until_input_processed();
    resting.expect_eof();
    client.send(rest);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "half.0");
    server.serve("half.0", "v");
    assert_eq!(client.read_status(), 200);
    client.expect_eof();
}

// The first drain's time for connections that rest is over in the second one's, or outside of any: it ends nothing.
#[test]
fn drains_in_quick_turns_leave_the_last_one_alone() {
    let mut harness = operated("turns", 1);
    harness.start();
    let mut resting = harness.client();
    resting.send(UP);
    assert_eq!(resting.read_status(), 200);
    for _ in 0..3 {
        drain(&harness);
        assert_eq!(up(&harness), 503);
        resume(&harness);
    }
    two_seconds_pass(&harness);
    resting.send(UP);
    let (head, _) = resting.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("Connection: close"), "{head}");
    drain(&harness);
    resume(&harness);
    drain(&harness);
    let drained = Instant::now();
    resting.expect_eof();
    assert!(drained.elapsed() < DRAIN_TIME, "after {:?}", drained.elapsed());
    assert_eq!((up(&harness), readiness(&harness)), (503, 503));
}

#[test]
fn sigterm_in_a_drain_ends_the_process_with_all_answered() {
    let mut harness = operated("term", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    drain(&harness);
    assert_eq!(up(&harness), 503);
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    // It is too late for that.
    assert_eq!(harness.control_request("PUT", "/ops/drain/stop").0, 409);
    server.serve("open.0", "v");
    let (head, _) = client.read_response();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    client.expect_eof();
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
}

#[test]
fn sighup_in_a_drain_ends_no_drain() {
    let mut harness = operated("hup", 1);
    harness.start();
    drain(&harness);
    harness.set_config("/name", json!("other"));
    harness.reload();
    harness.wait_for_log("reload: name will change");
    assert_eq!((up(&harness), readiness(&harness)), (503, 503));
    resume(&harness);
    comes_back(&harness);
}

// Held with the call in its socket, the broker is drained before the first client: nobody is ever told yes.
#[test]
fn a_drain_asked_before_the_first_list_holds_from_the_first_client_on() {
    let mut harness = operated("early", 1);
    harness.spawn();
    let _call = harness.discovery.accept_call();
    drain(&harness);
    assert_eq!(readiness(&harness), 503);
    harness.wait_until_listening();
    assert_eq!((up(&harness), readiness(&harness)), (503, 503));
    resume(&harness);
    comes_back(&harness);
}
