//! The end of the process, and of connections.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{Harness, request, wait_until, wait_until_delivered};

/// After SIGTERM new connections are taken for so long.
const LAST_LISTENING: Duration = Duration::from_millis(500);

// A request whose answer has more time than the broker has left gets its answer before SIGKILL may come.
#[test]
fn what_was_taken_is_answered_before_the_broker_may_be_killed() {
    let mut harness = Harness::new("hung", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("flag", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    let begun = Instant::now();
    harness.signal("TERM");
    let status = client.read_status();
    // 3 s and 0.7 s: the longest deadline counts as 3 s where it is longer.
    assert!(begun.elapsed() < Duration::from_millis(3700), "after {:?}", begun.elapsed());
    assert_eq!(status, 502, "it may have run");
    client.expect_eof();
    assert_eq!(harness.wait_for_exit(), Some(0));
}

// SIGTERM before clients may come: nothing was taken, so it ends at once and never listens.
#[test]
fn a_broker_that_is_told_to_end_before_it_is_ready_never_listens() {
    let mut harness = Harness::new("early", 1);
    harness.spawn();
    // The agent takes the call and says nothing: the start waits for it.
    let _call = harness.discovery.accept_call();
    harness.suspend();
    harness.signal("TERM");
    harness.resume();
    assert_eq!(harness.wait_for_exit(), Some(0));
    let log = harness.remaining_log();
    assert!(!log.iter().any(|line| line.contains(" listens ")), "{log:?}");
}

// Bytes that nobody will read lie behind the last request of a connection when the process ends. The answer and the
// connection's end arrive, and no reset.
#[test]
fn the_last_answer_is_not_lost_to_bytes_behind_its_request() {
    let mut harness = Harness::new("behind", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    harness.suspend();
    // The answer comes first, so that what lies behind the request is more than is read with it.
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

// A client rests on its connection until the broker ends it, and asks in that very moment: what was in before the end
// is served, and what comes after it is never sent on.
#[test]
fn a_request_that_crosses_the_brokers_end_is_never_sent_on() {
    let mut harness = Harness::new("crosses", 1);
    harness.start();
    let mut resting = harness.client();
    resting.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(resting.read_status(), 200);
    let mut open = harness.client();
    open.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    harness.signal("TERM");
    resting.expect_eof();
    // The broker goes on for the open query: it reads what comes now, and must not take it.
    let _ = resting.stream.write_all(request("search", "late", &[0], 50_000).as_bytes());
    server.serve("open.0", "v");
    assert_eq!(open.read_status(), 200);
    open.expect_eof();
    assert_eq!(harness.wait_for_exit(), Some(0));
    server.expect_closed();
}

// The time between two requests counts from the answer: a client whose query took long may ask again after it.
#[test]
fn a_connection_rests_from_its_answer_on() {
    let mut harness = Harness::new("rests", 1);
    harness.set_class_option("aimNs", &json!(30_000_000_000_u64));
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    // Each of these is told so after 2 s: 6 s pass, more than a connection may rest.
    let unfinished = || {
        let mut slow = harness.client();
        slow.send("POST /search HTTP/1.1\r\n");
        assert_eq!(slow.read_status(), 408);
    };
    (0..3).for_each(|_| unfinished());
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    unfinished();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), 200);
}

// A client is slow to read an answer that is longer than the system holds, and its query took long: it gets the whole.
#[test]
fn an_answer_that_is_read_slowly_is_not_cut() {
    let mut harness = Harness::new("slowly", 1);
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
    // Each takes 2 s.
    let unfinished = || {
        let mut slow = harness.client();
        slow.send("POST /search HTTP/1.1\r\n");
        assert_eq!(slow.read_status(), 408);
    };
    unfinished();
    let value = "v".repeat(60_000);
    parts.iter().for_each(|part| server.serve(part, &value));
    unfinished();
    let (_, body) = client.read_response();
    assert!(body.len() > shards.len() * value.len() && body.ends_with("]}"), "{} bytes", body.len());
}

// Half a request is in when SIGTERM comes, and the other half comes after it: it is taken and answered, and what lies
// behind it is not.
#[test]
fn half_a_request_at_sigterm_is_finished() {
    let mut harness = Harness::new("half", 1);
    harness.start();
    let mut client = harness.client();
    let whole = request("search", "r1", &[0], 50_000);
    client.send(&whole[..40]);
    harness.wait_until_input_processed();
    harness.signal("TERM");
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    client.send(&format!("{}{}", &whole[40..], request("search", "behind", &[0], 50_000)));
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    client.expect_eof();
    drop(client);
    assert_eq!(harness.wait_for_exit(), Some(0));
    server.expect_closed();
}

// Whoever looks why a broker was slow to be ready reads it in its log.
#[test]
fn a_start_says_where_its_time_went() {
    let mut harness = Harness::new("says", 1);
    harness.start();
    let line = harness.wait_for_log("started in ");
    assert!(line.contains(" for the first list (last known)") && line.contains(" to listen"), "{line}");
}

// What was seen: a request on a connection that the broker had just taken found it closed, with no answer. Why: where the
// classes' aims leave no time to serve on, the broker ended all connections that rested in the moment in which it
// stopped listening, and with them those that it had taken in that moment, whose first request was on its way.
#[test]
fn a_client_that_was_taken_as_the_listening_ended_may_still_ask() {
    let mut harness = Harness::new("last-taken", 1);
    harness.start();
    harness.signal("TERM");
    harness.wait_for_log("stopping");
    harness.suspend();
    // The time for which it listens passes while it is held, with a client in its queue.
    let held = Instant::now();
    let mut client = harness.client();
    wait_until("time stands still", || held.elapsed() > LAST_LISTENING);
    harness.resume();
    harness.wait_for_log("stopping, 1 clients left");
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_status(), 503);
    client.expect_eof();
    assert_eq!(harness.wait_for_exit(), Some(0));
}
