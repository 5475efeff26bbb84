//! Shutdown of the process and the end of connections.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{Harness, request, wait_until, wait_until_delivered};

/// How long new connections are accepted after SIGTERM.
const LISTEN_AFTER_SIGTERM: Duration = Duration::from_millis(500);

// A query with more time left than the broker has after SIGTERM must be answered before a SIGKILL may
// follow.
#[test]
fn accepted_queries_are_answered_before_a_kill() {
    let mut harness = Harness::new("unanswered", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("flag", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    let started = Instant::now();
    harness.signal("TERM");
    let status = client.read_status();
    // 3 s and 0.7 s: a longest deadline of more than 3 s counts as 3 s.
    assert!(started.elapsed() < Duration::from_millis(3700), "after {:?}", started.elapsed());
    assert_eq!(status, 502, "the part may have run");
    client.expect_eof();
    assert_eq!(harness.wait_for_exit(), Some(0));
}

// SIGTERM before the broker listens to clients: it has accepted nothing, so it exits at once and never
// listens.
#[test]
fn a_broker_stopped_before_it_is_ready_never_listens() {
    let mut harness = Harness::new("early", 1);
    harness.spawn();
    // The agent accepts the call and does not answer; the start waits for it.
    let _call = harness.discovery.accept_call();
    harness.suspend();
    harness.signal("TERM");
    harness.resume();
    assert_eq!(harness.wait_for_exit(), Some(0));
    let log = harness.remaining_log();
    assert!(!log.iter().any(|line| line.contains(" listens ")), "{log:?}");
}

// Unread bytes follow the last request of a connection when the process exits. The client must receive the
// response and an orderly close, not a reset.
#[test]
fn the_last_response_is_not_lost_to_unread_bytes() {
    let mut harness = Harness::new("unread-bytes", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    harness.suspend();
    // The answer is sent first, so that the bytes after the request are more than the broker reads with it.
    server.serve("r1.0", "v");
    client.send(&"x".repeat(60_000));
    server.wait_until_delivered();
    wait_until_delivered(&client.stream);
    harness.resume();
    assert_eq!(client.read_status(), 200);
    client.expect_eof();
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
}

// A client keeps an idle connection until the broker closes it and sends a query at that moment. Only a
// query that arrived before the close is served; a later one must never be sent to a server.
#[test]
fn a_query_after_the_close_is_never_sent() {
    let mut harness = Harness::new("late-query", 1);
    harness.start();
    let mut idle = harness.client();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.read_status(), 200);
    let mut open = harness.client();
    open.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    harness.signal("TERM");
    idle.expect_eof();
    // The broker keeps running for the open query. It reads the late query and must not start it.
    let _ = idle.stream.write_all(request("search", "late", &[0], 50_000).as_bytes());
    server.serve("open.0", "v");
    assert_eq!(open.read_status(), 200);
    open.expect_eof();
    assert_eq!(harness.wait_for_exit(), Some(0));
    server.expect_closed();
}

// The idle timeout starts at the response: after a slow query the client may send another one.
#[test]
fn the_idle_timeout_starts_at_the_response() {
    let mut harness = Harness::new("idle-timeout", 1);
    harness.set_class_option("aimNs", &json!(30_000_000_000_u64));
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    // Each of these gets a 408 after 2 s. Three take 6 s, longer than the idle timeout.
    let wait_two_seconds = || {
        let mut slow = harness.client();
        slow.send("POST /search HTTP/1.1\r\n");
        assert_eq!(slow.read_status(), 408);
    };
    (0..3).for_each(|_| wait_two_seconds());
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    wait_two_seconds();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), 200);
}

// A client slowly reads a response that is larger than the socket buffers, after a slow query. It must
// receive all of it.
#[test]
fn a_response_that_is_read_slowly_is_not_truncated() {
    let mut harness = Harness::new("slow-reader", 1);
    harness.set_config("/settings/extra/slices", json!(150));
    harness.set_config("/settings/limits/maxOpen", json!(1000));
    harness.set_config("/settings/limits/maxStreams", json!(200));
    harness.start();
    let shards: Vec<u32> = (0..150).collect();
    let mut client = harness.client();
    socket2::SockRef::from(&client.stream).set_recv_buffer_size(64 << 10).expect("set");
    client.send(&request("search", "r1", &shards, 50_000));
    let mut server = harness.servers[0].accept();
    let parts: Vec<String> = shards.iter().map(|_| server.next_part()).collect();
    // Takes 2 s.
    let wait_two_seconds = || {
        let mut slow = harness.client();
        slow.send("POST /search HTTP/1.1\r\n");
        assert_eq!(slow.read_status(), 408);
    };
    wait_two_seconds();
    let value = "v".repeat(60_000);
    parts.iter().for_each(|part| server.serve(part, &value));
    wait_two_seconds();
    let (_, body) = client.read_response();
    assert!(body.len() > shards.len() * value.len() && body.ends_with("]}"), "{} bytes", body.len());
}

// Half a request has arrived at SIGTERM and the other half follows: it must be served, and the request
// after it must not.
#[test]
fn a_partial_request_at_sigterm_is_served() {
    let mut harness = Harness::new("half", 1);
    harness.start();
    let mut client = harness.client();
    let text = request("search", "r1", &[0], 50_000);
    client.send(&text[..40]);
    harness.wait_until_input_processed();
    harness.signal("TERM");
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    client.send(&format!("{}{}", &text[40..], request("search", "behind", &[0], 50_000)));
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    client.expect_eof();
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
    server.expect_closed();
}

// Operators find in the log why a broker was slow to become ready.
#[test]
fn the_start_time_is_logged_by_phase() {
    let mut harness = Harness::new("start-time", 1);
    harness.start();
    let line = harness.wait_for_log("started in ");
    assert!(line.contains(" for the first list (last known)") && line.contains(" to listen"), "{line}");
}

// Regression test: a request on a newly accepted connection found it closed, without a response. If the
// aims of the classes leave no time to keep idle connections, the broker closed all of them as it stopped
// listening, including those accepted at that moment whose first request was still on its way.
#[test]
fn a_client_accepted_as_listening_ends_may_still_send_a_request() {
    let mut harness = Harness::new("last-accepted", 1);
    harness.start();
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    harness.suspend();
    // The listening time passes while the broker is suspended with a client in its accept queue.
    let suspended = Instant::now();
    let mut client = harness.client();
    wait_until("the time does not pass", || suspended.elapsed() > LISTEN_AFTER_SIGTERM);
    harness.resume();
    harness.wait_for_log("stopping, 1 clients left");
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), 503);
    client.expect_eof();
    assert_eq!(harness.wait_for_exit(), Some(0));
}
