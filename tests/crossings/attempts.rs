//! Attempts: retries and their idempotency window, connection resets during them, and answers that are
//! truncated, late or never complete.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{Harness, wait_until, wait_until_delivered};

// The connection for the retry of a keyed part is established only after the idempotency window, in which
// servers discard duplicates, has passed. The retry must not be sent, and the query fails.
#[test]
fn a_retry_is_not_sent_after_its_idempotency_window() {
    let mut harness = Harness::new("window", 1);
    // Shorter than the 1 s after which the kernel retransmits a SYN.
    harness.set_config("/settings/profiles/1/windowNs", json!(900_000_000_u64));
    // The broker waits for a connection for longer than the kernel takes to retransmit.
    harness.set_class_option("aimNs", &json!(30_000_000_000_u64));
    harness.start();
    let mut client = harness.client();
    client.send_query("flag", "keyed", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "keyed.0");
    harness.servers[0].block_connects();
    server.reset();
    harness.servers[0].wait_for_connect_attempt();
    // The connection is established by the retransmitted SYN, 1 s after the first one.
    harness.servers[0].allow_connects();
    let mut reconnected = harness.servers[0].accept();
    assert_eq!(client.read_status(), 502, "the part may have run and must not be retried");
    let mut next = harness.client();
    next.send_query("flag", "next", 0);
    assert_eq!(reconnected.next_part(), "next.0");
}

// The same with a window that is long enough: the retry is sent as soon as the connection is established.
#[test]
fn a_retry_is_sent_within_its_idempotency_window() {
    let mut harness = Harness::new("inside", 1);
    harness.set_class_option("aimNs", &json!(30_000_000_000_u64));
    harness.start();
    let mut client = harness.client();
    client.send_query("flag", "keyed", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "keyed.0");
    harness.servers[0].block_connects();
    server.reset();
    harness.servers[0].wait_for_connect_attempt();
    harness.servers[0].allow_connects();
    let mut reconnected = harness.servers[0].accept();
    assert_eq!(reconnected.next_part(), "keyed.0");
    reconnected.serve("keyed.0", "v");
    assert_eq!(client.read_status(), 200);
}

// A part of an unsafe class that a server skipped without running it is sent to another server. One that
// may have run is not sent again, even if its connection is reset long after the attempt started.
#[test]
fn an_unsafe_part_is_retried_only_if_it_did_not_run() {
    let mut harness = Harness::new("unsafe", 2);
    harness.set_config("/settings/profiles/0/effect", json!("unsafe"));
    harness.set_config("/settings/extra/width", json!(2));
    harness.set_config("/settings/limits/maxAttempts", json!(4));
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    // The broker picks either server. It tries the other one once the first has skipped the part.
    let (mut first, other) = harness.first_of_two();
    assert_eq!(first.next_part(), "r1.0");
    first.send("ar1.0 skipped 1 -\n");
    let mut second = harness.servers[other].accept();
    assert_eq!(second.next_part(), "r1.0");
    // Lets 2 s pass: the broker then answers a client that does not finish its request.
    let mut slow = harness.client();
    slow.send("POST /search HTTP/1.1\r\n");
    assert_eq!(slow.read_status(), 408);
    second.reset();
    assert_eq!(client.read_status(), 502);
}

// A tile server sends a complete answer and half of another one and closes the connection, all before the
// broker reads. The complete answer counts; the truncated one completes nothing.
#[test]
fn a_complete_answer_before_the_close_counts() {
    let mut harness = Harness::new("answer-before-close", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "first", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "first.0");
    let mut other = harness.client();
    other.send_query("flag", "second", 0);
    assert_eq!(server.next_part(), "second.0");
    harness.suspend();
    server.serve("first.0", "v");
    std::io::Write::write_all(&mut server.stream, b"\0\0\0\x20asecond.0 served 1 -\nva").expect("written");
    // An orderly close, as a reset would discard what the broker has not read.
    server.wait_until_delivered();
    server.close();
    harness.resume();
    assert_eq!(client.read_status(), 200);
    let mut reconnected = harness.servers[0].accept();
    assert_eq!(reconnected.next_part(), "second.0");
    reconnected.serve("second.0", "w");
    let (_, body) = other.read_response();
    assert!(body.contains("\"w\""), "{body}");
}

// The broker cancels an attempt whose answer is already in the socket. The answer must be ignored, and the
// part must not be sent again.
#[test]
fn an_answer_to_a_cancelled_attempt_is_ignored() {
    let mut harness = Harness::new("cancelled", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "gone", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "gone.0");
    harness.suspend();
    client.close();
    server.serve("gone.0", "late");
    server.wait_until_delivered();
    harness.resume();
    let mut next = harness.client();
    next.send_query("search", "next", 0);
    // Depending on what the broker reads first, it may send a cancel frame, but not the part again.
    let mut frame = server.next_frame();
    if frame == "cgone.0" {
        frame = server.next_frame();
    }
    assert!(frame.starts_with("qnext.0 "), "{frame}");
    server.serve("next.0", "v");
    let (_, body) = next.read_response();
    assert!(body.contains("\"v\""), "{body}");
}

// A tile server closes an idle connection and a client requests a part for it, both while the broker is
// suspended. In either order the broker must see the close first and use a new connection. Nothing may have
// run on the old one, so even an unsafe part is served.
#[test]
fn an_idle_connection_closed_by_the_server_costs_no_attempt() {
    let mut harness = Harness::new("idle-end", 1);
    harness.set_config("/settings/profiles/0/effect", json!("unsafe"));
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    for (asked_first, id) in [(true, "r2"), (false, "r3")] {
        harness.suspend();
        if asked_first {
            client.send_query("search", id, 0);
        }
        server.close();
        if !asked_first {
            client.send_query("search", id, 0);
        }
        wait_until_delivered(&client.stream);
        harness.resume();
        server = harness.servers[0].accept();
        assert_eq!(server.next_part(), format!("{id}.0"));
        server.serve(&format!("{id}.0"), "v");
        assert_eq!(client.read_status(), 200);
    }
}

// Regression test: liveness checks used the shortest aim of all classes. A connection without data for a
// sixth of it was suspected, and after half of it counted as dead if the server had answered a later part
// elsewhere. Parts of a slow class were therefore lost as soon as the same server answered a fast class. An
// unsafe part would have failed its query.
#[test]
fn a_part_slower_than_another_classs_aim_is_not_lost() {
    let mut harness = Harness::new("long", 1);
    let short_aim = Duration::from_secs(2);
    harness.set_class_option("aimNs", &json!(short_aim.as_nanos() as u64));
    harness.set_config("/settings/profiles/1/aimNs", json!(50_000_000_000_u64));
    harness.start();
    // The broker learns that parts of both classes are fast, so that one does not wait for the other to
    // finish.
    let mut flag_client = harness.client();
    flag_client.send_query("flag", "quick", 0);
    let mut first = harness.servers[0].accept();
    assert_eq!(first.next_part(), "quick.0");
    first.serve("quick.0", "v");
    assert_eq!(flag_client.read_status(), 200);
    flag_client.send_query("flag", "long", 0);
    assert_eq!(first.next_part(), "long.0");
    let started = Instant::now();
    wait_until("the time does not pass", || started.elapsed() > short_aim / 2);
    let mut search_client = harness.client();
    search_client.send_query("search", "short", 0);
    // It arrives on the same connection or on another one.
    let mut second = None;
    wait_until("the part does not arrive", || {
        second = harness.servers[0].try_accept();
        second.is_some() || first.has_input()
    });
    let serving = second.as_mut().unwrap_or(&mut first);
    assert_eq!(serving.next_part(), "short.0");
    serving.serve("short.0", "v");
    assert_eq!(search_client.read_status(), 200);
    wait_until("the time does not pass", || started.elapsed() > short_aim * 2);
    first.serve("long.0", "v");
    assert_eq!(flag_client.read_status(), 200);
}
