//! Drains: clients are asked to leave, and nothing they have sent is lost.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::stage::{delivered, request, until};
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
    let mut stage = operated("at-once", 1);
    stage.start();
    for _ in 0..50 {
        let mut open = stage.client();
        open.send(UP);
        let (head, _) = open.answer();
        assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("Connection: close"), "{head}");
        drain(&stage);
        open.send(UP);
        let (head, _) = open.answer();
        assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
        open.ends();
        assert_eq!(up(&stage), 503);
        // Neither call says anything new the second time.
        drain(&stage);
        resume(&stage);
        resume(&stage);
        let resumed = Instant::now();
        comes_back(&stage);
        assert!(resumed.elapsed() < RESUME_TIME, "after {:?}", resumed.elapsed());
    }
}

#[test]
fn a_query_in_a_drain_is_served_and_its_connection_ends_with_the_answer() {
    let mut stage = operated("served", 1);
    stage.start();
    let mut before = stage.client();
    before.ask("search", "before", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "before.0");
    drain(&stage);
    let mut after = stage.client();
    after.ask("search", "after", 0);
    assert_eq!(tile.part(), "after.0");
    for (client, part) in [(&mut before, "before.0"), (&mut after, "after.0")] {
        tile.serve(part, "v");
        let (head, _) = client.answer();
        assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
        client.ends();
    }
}

// The end is a half-close: what the client sends after it is read away, and never sent on.
#[test]
fn a_connection_that_rests_is_ended_and_what_comes_after_is_never_sent_on() {
    let mut stage = operated("rests", 1);
    stage.start();
    let mut resting = stage.client();
    resting.send(UP);
    assert_eq!(resting.status(), 200);
    let mut fresh = stage.client();
    stage.settle();
    let drained = Instant::now();
    drain(&stage);
    resting.ends();
    fresh.ends();
    assert!(drained.elapsed() < DRAIN_TIME, "after {:?}", drained.elapsed());
    // Nothing restarts, so the connection is still read.
    resting.stream.write_all(request("search", "late", &[0], 50_000).as_bytes()).expect("written");
    stage.settle();
    let mut next = stage.client();
    next.ask("search", "next", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "next.0");
    tile.serve("next.0", "v");
    assert_eq!(next.status(), 200);
    resting.ends();
    assert!(!stage.has_ended());
}

// The broker is held until the time to rest is over, with a request in its socket: both are there when it goes on.
#[test]
fn a_request_in_the_moment_of_the_end_is_answered() {
    let mut stage = operated("moment", 1);
    stage.start();
    let mut resting = stage.client();
    resting.send(UP);
    assert_eq!(resting.status(), 200);
    drain(&stage);
    assert_eq!(up(&stage), 503);
    stage.stop();
    resting.ask("search", "moment", 0);
    delivered(&resting.stream);
    let held = Instant::now();
    until("time stands", || held.elapsed() >= MORE_THAN_REST);
    stage.go_on();
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "moment.0");
    tile.serve("moment.0", "v");
    let (head, _) = resting.answer();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    resting.ends();
}

// Drained or not when it is held: a request and the call for a drain are in the sockets together.
#[test]
fn a_request_that_crosses_the_call_is_answered() {
    let mut stage = operated("call", 1);
    stage.start();
    let mut client = stage.client();
    client.send(UP);
    assert_eq!(client.status(), 200);
    stage.stop();
    let mut operator = stage.operator();
    operator.send("PUT /ops/drain/start HTTP/1.1\r\n\r\n");
    client.ask("search", "crosses", 0);
    delivered(&operator.stream);
    delivered(&client.stream);
    stage.go_on();
    assert_eq!(operator.status(), 200);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "crosses.0");
    tile.serve("crosses.0", "v");
    let (head, _) = client.answer();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    client.ends();
}

#[test]
fn half_a_request_at_the_end_of_those_that_rest_is_finished() {
    let mut stage = operated("half", 1);
    stage.start();
    let mut resting = stage.client();
    resting.send(UP);
    assert_eq!(resting.status(), 200);
    drain(&stage);
    let mut client = stage.client();
    let whole = request("search", "half", &[0], 50_000);
    let (first, rest) = whole.split_at(40);
    client.send(first);
    stage.settle();
    resting.ends();
    client.send(rest);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "half.0");
    tile.serve("half.0", "v");
    assert_eq!(client.status(), 200);
    client.ends();
}

// The first drain's time for connections that rest is over in the second one's, or outside of any: it ends nothing.
#[test]
fn drains_in_quick_turns_leave_the_last_one_alone() {
    let mut stage = operated("turns", 1);
    stage.start();
    let mut resting = stage.client();
    resting.send(UP);
    assert_eq!(resting.status(), 200);
    for _ in 0..3 {
        drain(&stage);
        assert_eq!(up(&stage), 503);
        resume(&stage);
    }
    two_seconds_pass(&stage);
    resting.send(UP);
    let (head, _) = resting.answer();
    assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("Connection: close"), "{head}");
    drain(&stage);
    resume(&stage);
    drain(&stage);
    let drained = Instant::now();
    resting.ends();
    assert!(drained.elapsed() < DRAIN_TIME, "after {:?}", drained.elapsed());
    assert_eq!((up(&stage), readiness(&stage)), (503, 503));
}

#[test]
fn sigterm_in_a_drain_ends_the_process_with_all_answered() {
    let mut stage = operated("term", 1);
    stage.start();
    let mut client = stage.client();
    client.ask("search", "open", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "open.0");
    drain(&stage);
    assert_eq!(up(&stage), 503);
    stage.signal("TERM");
    stage.log("stopping");
    // It is too late for that.
    assert_eq!(stage.operate("PUT", "/ops/drain/stop").0, 409);
    tile.serve("open.0", "v");
    let (head, _) = client.answer();
    assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("\r\nConnection: close\r\n"), "{head}");
    client.ends();
    drop(client);
    assert_eq!(stage.exit(), Some(0));
}

#[test]
fn sighup_in_a_drain_ends_no_drain() {
    let mut stage = operated("hup", 1);
    stage.start();
    drain(&stage);
    stage.set("/name", json!("other"));
    stage.reload();
    stage.log("reload: name will change");
    assert_eq!((up(&stage), readiness(&stage)), (503, 503));
    resume(&stage);
    comes_back(&stage);
}

// Held with the call in its socket, the broker is drained before the first client: nobody is ever told yes.
#[test]
fn a_drain_asked_before_the_first_list_holds_from_the_first_client_on() {
    let mut stage = operated("early", 1);
    stage.spawn();
    let _call = stage.discovery.call();
    drain(&stage);
    assert_eq!(readiness(&stage), 503);
    stage.started();
    assert_eq!((up(&stage), readiness(&stage)), (503, 503));
    resume(&stage);
    comes_back(&stage);
}
