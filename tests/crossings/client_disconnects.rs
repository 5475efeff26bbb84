//! Clients that leave: from then on no attempt begins for them, whatever it waited for.

use std::io::Write;

use serde_json::json;

use crate::harness::{Client, HANG_TIMEOUT, Harness, request, wait_until_delivered};

/// A client leaves while its part waits for a connection to come up. The connection comes up later and carries the
/// next client's part first.
fn leaves_while_a_connection_comes_up(name: &str, cancel: bool) {
    let mut harness = Harness::new(name, 2);
    harness.set_config("/settings/limits/cancel", json!(cancel));
    harness.servers[0].block_connects();
    harness.start();
    let mut gone = harness.client();
    gone.send_query("search", "gone", 0);
    harness.servers[0].wait_for_connect_attempt();
    gone.close();
    harness.wait_until_input_processed();
    // The step that was told of it has been made once a later query's part is out.
    let mut other = harness.client();
    other.send_query("search", "other", 1);
    let mut elsewhere = harness.servers[1].accept();
    assert_eq!(elsewhere.next_part(), "other.1");
    harness.servers[0].allow_connects();
    let mut next = harness.client();
    next.send_query("search", "next", 0);
    assert_eq!(harness.servers[0].accept().next_part(), "next.0");
}

#[test]
fn a_client_that_leaves_while_a_connection_comes_up_is_not_sent_on() {
    leaves_while_a_connection_comes_up("coming-up", true);
}

// Where the settings allow no cancelling, what has not been written is taken back all the same: it never began.
#[test]
fn what_was_never_written_is_taken_back_where_nothing_may_be_cancelled() {
    leaves_while_a_connection_comes_up("no-cancel", false);
}

// A client asks, sends much more at once and goes, all while the broker is held. The end lies behind what one turn
// reads: the request is not taken before that is read.
#[test]
fn one_that_sends_much_at_once_and_goes_is_not_sent_on() {
    for (round, junk) in [0, 40_000, 120_000].into_iter().enumerate() {
        let mut harness = Harness::new(&format!("much-{round}"), 1);
        harness.start();
        let mut gone = harness.client();
        harness.wait_until_input_processed();
        harness.suspend();
        gone.send_query("search", "gone", 0);
        gone.send(&"x".repeat(junk));
        wait_until_delivered(&gone.stream);
        gone.close();
        let mut next = harness.client();
        next.send_query("search", "next", 0);
        harness.resume();
        assert_eq!(harness.servers[0].accept().next_part(), "next.0", "{junk} bytes behind the request");
    }
}

// More than a connection's buffer holds lies behind a request that is out. Its client's end is seen all the same, and
// the broker does not turn in circles over it.
#[test]
fn the_end_of_one_that_has_sent_too_much_is_seen() {
    let mut harness = Harness::new("too-much", 1);
    harness.start();
    let mut gone = harness.client();
    gone.send_query("search", "gone", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "gone.0");
    gone.stream.set_write_timeout(Some(HANG_TIMEOUT)).expect("set");
    gone.stream.write_all(&[b'x'; 200_000]).expect("written");
    gone.reset();
    assert_eq!(server.next_frame(), "cgone.0");
}

// A client closes its connection and sends its request once more on a new one, while the broker is held: the broker
// learns of the new connection first, and the name is free all the same.
#[test]
fn a_request_that_is_sent_once_more_finds_its_name_free() {
    let mut harness = Harness::new("once-more", 1);
    // A busy machine may hold the broker for long: its connection is not to be doubted for that.
    harness.set_class_option("aimNs", &json!(60_000_000_000_u64));
    harness.start();
    let mut first = harness.client();
    first.send_query("search", "same", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "same.0");
    harness.suspend();
    let mut second = harness.client();
    second.send(&request("search", "same", &[0], 50_000));
    wait_until_delivered(&second.stream);
    first.close();
    harness.resume();
    // The earlier part may yet be answered under the same id, so the new one goes over another connection.
    let mut other = harness.servers[0].accept();
    assert_eq!(other.next_part(), "same.0");
    other.serve("same.0", "v");
    assert_eq!(second.read_status(), 200);
}

// The protocol's page knows one end of a client's, the close of its connection, and an end of its sending alone can't be
// told apart from it: whoever ends its sending has gone.
#[test]
fn an_end_of_sending_is_an_end() {
    let mut harness = Harness::new("sending", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "gone", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "gone.0");
    client.stream.shutdown(std::net::Shutdown::Write).expect("open");
    assert_eq!(server.next_frame(), "cgone.0");
    client.expect_eof();
}

// A burst of clients takes all the room there is and leaves, while its connections come up: the room is given back, and
// nothing of the burst is ever written.
#[test]
fn a_burst_that_leaves_gives_its_room_back() {
    let mut harness = Harness::new("burst", 2);
    // Ten queries of one part each.
    harness.set_config("/settings/limits/maxOpen", json!(20));
    harness.servers[0].block_connects();
    harness.start();
    let mut burst: Vec<_> = (0..10).map(|_| harness.client()).collect();
    for (number, client) in burst.iter_mut().enumerate() {
        client.send_query("search", &format!("gone{number}"), 0);
    }
    harness.servers[0].wait_for_connect_attempt();
    let mut refused = harness.client();
    refused.send_query("search", "refused", 1);
    assert_eq!(refused.read_status(), 503);
    burst.into_iter().for_each(Client::close);
    harness.wait_until_input_processed();
    let mut server = None;
    for number in 0..10 {
        let (mut client, part) = (harness.client(), format!("after{number}"));
        client.send_query("search", &part, 1);
        let server = server.get_or_insert_with(|| harness.servers[1].accept());
        assert_eq!(server.next_part(), format!("{part}.1"));
        server.serve(&format!("{part}.1"), "v");
        assert_eq!(client.read_status(), 200);
    }
    harness.servers[0].allow_connects();
    let mut next = harness.client();
    next.send_query("search", "next", 0);
    assert_eq!(harness.servers[0].accept().next_part(), "next.0");
}

// What was seen: a client refused for want of room got no `Retry-After`, though the settings allow one of up to 2 s, and came
// back at once, again and again. Why: only refusals by the module carried its time to stay away; these are made before it
// is asked.
#[test]
fn a_client_refused_for_want_of_room_is_told_when_to_come_back() {
    for (allowed, expected) in [(true, Some("Retry-After: 0.300")), (false, None)] {
        let mut harness = Harness::new("full", 1);
        harness.set_config("/settings/limits/maxOpen", json!(2));
        harness.set_config("/settings/limits/retryAfter", json!(allowed));
        harness.set_config("/settings/limits/maxRetryAfterNs", json!(2_000_000_000_u64));
        harness.set_class_option("aimNs", &json!(2_000_000_000_u64));
        harness.start();
        let mut first = harness.client();
        first.send_query("search", "first", 0);
        let mut server = harness.servers[0].accept();
        assert_eq!(server.next_part(), "first.0");
        let mut refused = harness.client();
        refused.send_query("search", "refused", 0);
        let (head, _) = refused.read_response();
        assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
        assert_eq!(head.lines().find(|line| line.starts_with("Retry-After")), expected, "{head}");
        server.serve("first.0", "v");
        assert_eq!(first.read_status(), 200);
    }
}
