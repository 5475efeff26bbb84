//! Clients that leave: from then on no attempt begins for them, whatever it waited for.

use std::io::Write;

use serde_json::json;

use crate::stage::{Client, HANGS, Stage, delivered, request};

/// A client leaves while its part waits for a connection to come up. The connection comes up later and carries the
/// next client's part first.
fn leaves_while_a_connection_comes_up(name: &str, cancel: bool) {
    let mut stage = Stage::new(name, 2);
    stage.set("/settings/limits/cancel", json!(cancel));
    stage.tiles[0].hold();
    stage.start();
    let mut gone = stage.client();
    gone.ask("search", "gone", 0);
    stage.tiles[0].knocked();
    gone.close();
    stage.settle();
    // The step that was told of it has been made once a later query's part is out.
    let mut other = stage.client();
    other.ask("search", "other", 1);
    let mut elsewhere = stage.tiles[1].accept();
    assert_eq!(elsewhere.part(), "other.1");
    stage.tiles[0].let_in();
    let mut next = stage.client();
    next.ask("search", "next", 0);
    assert_eq!(stage.tiles[0].accept().part(), "next.0");
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
        let mut stage = Stage::new(&format!("much-{round}"), 1);
        stage.start();
        let mut gone = stage.client();
        stage.settle();
        stage.stop();
        gone.ask("search", "gone", 0);
        gone.send(&"x".repeat(junk));
        delivered(&gone.stream);
        gone.close();
        let mut next = stage.client();
        next.ask("search", "next", 0);
        stage.go_on();
        assert_eq!(stage.tiles[0].accept().part(), "next.0", "{junk} bytes behind the request");
    }
}

// More than a connection's buffer holds lies behind a request that is out. Its client's end is seen all the same, and
// the broker does not turn in circles over it.
#[test]
fn the_end_of_one_that_has_sent_too_much_is_seen() {
    let mut stage = Stage::new("too-much", 1);
    stage.start();
    let mut gone = stage.client();
    gone.ask("search", "gone", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "gone.0");
    gone.stream.set_write_timeout(Some(HANGS)).expect("set");
    gone.stream.write_all(&[b'x'; 200_000]).expect("written");
    gone.reset();
    assert_eq!(tile.frame(), "cgone.0");
}

// A client closes its connection and sends its request once more on a new one, while the broker is held: the broker
// learns of the new connection first, and the name is free all the same.
#[test]
fn a_request_that_is_sent_once_more_finds_its_name_free() {
    let mut stage = Stage::new("once-more", 1);
    // A busy machine may hold the broker for long: its connection is not to be doubted for that.
    stage.set_classes("aimNs", &json!(60_000_000_000_u64));
    stage.start();
    let mut first = stage.client();
    first.ask("search", "same", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "same.0");
    stage.stop();
    let mut second = stage.client();
    second.send(&request("search", "same", &[0], 50_000));
    delivered(&second.stream);
    first.close();
    stage.go_on();
    // The earlier part may yet be answered under the same id, so the new one goes over another connection.
    let mut other = stage.tiles[0].accept();
    assert_eq!(other.part(), "same.0");
    other.serve("same.0", "v");
    assert_eq!(second.status(), 200);
}

// The protocol's page knows one end of a client's, the close of its connection, and an end of its sending alone can't be
// told apart from it: whoever ends its sending has gone.
#[test]
fn an_end_of_sending_is_an_end() {
    let mut stage = Stage::new("sending", 1);
    stage.start();
    let mut client = stage.client();
    client.ask("search", "gone", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "gone.0");
    client.stream.shutdown(std::net::Shutdown::Write).expect("open");
    assert_eq!(tile.frame(), "cgone.0");
    client.ends();
}

// A burst of clients takes all the room there is and leaves, while its connections come up: the room is given back, and
// nothing of the burst is ever written.
#[test]
fn a_burst_that_leaves_gives_its_room_back() {
    let mut stage = Stage::new("burst", 2);
    // Ten queries of one part each.
    stage.set("/settings/limits/maxOpen", json!(20));
    stage.tiles[0].hold();
    stage.start();
    let mut burst: Vec<_> = (0..10).map(|_| stage.client()).collect();
    for (number, client) in burst.iter_mut().enumerate() {
        client.ask("search", &format!("gone{number}"), 0);
    }
    stage.tiles[0].knocked();
    let mut refused = stage.client();
    refused.ask("search", "refused", 1);
    assert_eq!(refused.status(), 503);
    burst.into_iter().for_each(Client::close);
    stage.settle();
    let mut tile = None;
    for number in 0..10 {
        let (mut client, part) = (stage.client(), format!("after{number}"));
        client.ask("search", &part, 1);
        let tile = tile.get_or_insert_with(|| stage.tiles[1].accept());
        assert_eq!(tile.part(), format!("{part}.1"));
        tile.serve(&format!("{part}.1"), "v");
        assert_eq!(client.status(), 200);
    }
    stage.tiles[0].let_in();
    let mut next = stage.client();
    next.ask("search", "next", 0);
    assert_eq!(stage.tiles[0].accept().part(), "next.0");
}

// What was seen: a client refused for want of room got no `Retry-After`, though the settings allow one of up to 2 s, and came
// back at once, again and again. Why: only refusals by the module carried its time to stay away; these are made before it
// is asked.
#[test]
fn a_client_refused_for_want_of_room_is_told_when_to_come_back() {
    for (allowed, expected) in [(true, Some("Retry-After: 0.300")), (false, None)] {
        let mut stage = Stage::new("full", 1);
        stage.set("/settings/limits/maxOpen", json!(2));
        stage.set("/settings/limits/retryAfter", json!(allowed));
        stage.set("/settings/limits/maxRetryAfterNs", json!(2_000_000_000_u64));
        stage.set_classes("aimNs", &json!(2_000_000_000_u64));
        stage.start();
        let mut first = stage.client();
        first.ask("search", "first", 0);
        let mut tile = stage.tiles[0].accept();
        assert_eq!(tile.part(), "first.0");
        let mut refused = stage.client();
        refused.ask("search", "refused", 0);
        let (head, _) = refused.answer();
        assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
        assert_eq!(head.lines().find(|line| line.starts_with("Retry-After")), expected, "{head}");
        tile.serve("first.0", "v");
        assert_eq!(first.status(), 200);
    }
}
