//! Lists that come late, in part, out of order or not at all, just before a server drains.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{
    DiscoveryCall, HANG_TIMEOUT, Harness, WATCH_RESPONSE_HEAD, wait_until, wait_until_delivered,
};

/// A change counts as told so long after discovery had it and could be reached.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);

/// A harness with a broker whose list has come, each of the shards held by both tile servers: it has one to go to.
fn told(name: &str, set: impl FnOnce(&mut Harness)) -> (Harness, DiscoveryCall) {
    let mut harness = Harness::new(name, 2);
    harness.set_config("/settings/extra/width", json!(2));
    set(&mut harness);
    harness.start();
    let mut call = harness.discovery.accept_call();
    call.start_watch();
    call.send_list(&harness.server_list(2, 0, "up"));
    harness.wait_for_log("version 2, 2 up");
    (harness, call)
}

fn asked_for(harness: &mut Harness) {
    harness.set_config("/settings/registryMode", json!("on_request"));
}

/// Answers the next call with a list in which server 0 drains, and checks that it was told in time.
fn drains_in_time(harness: &Harness, call: &mut DiscoveryCall, since: Instant) {
    call.start_watch();
    call.send_list(&harness.server_list(3, 0, "draining"));
    harness.wait_for_log("version 3, 1 up, 1 draining");
    assert!(since.elapsed() < COUNTS_AS_TOLD, "told after {:?}", since.elapsed());
    // From now on all goes to the other one.
    let mut client = harness.client();
    for query in 0..8 {
        client.send_query("search", &format!("after{query}"), query);
    }
    let mut other = harness.servers[1].accept();
    for query in 0..8 {
        let part = other.next_part();
        assert_eq!(part, format!("after{query}.{query}"));
        other.serve(&part, "v");
        assert_eq!(client.read_status(), 200);
    }
}

/// A watch falls silent just before a drain, and the next call fails too: the one after that comes in time.
fn silent_and_failing(name: &str, on_request: bool, answer: Option<&str>) {
    let (harness, _silent) = told(name, |harness| {
        if on_request {
            asked_for(harness);
            harness.set_config("/settings/balancers", json!(20));
        }
    });
    let since = Instant::now();
    let mut failing = harness.discovery.accept_call();
    if let Some(answer) = answer {
        failing.write_raw(answer);
    }
    let mut call = harness.discovery.accept_call();
    drains_in_time(&harness, &mut call, since);
}

const TURNED_AWAY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

#[test]
fn a_watch_falls_silent_and_the_next_call_is_not_answered() {
    silent_and_failing("silent-asked", true, None);
}

#[test]
fn a_watch_falls_silent_and_the_next_call_is_turned_away() {
    silent_and_failing("away-asked", true, Some(TURNED_AWAY));
}

#[test]
fn a_watch_on_an_agent_falls_silent_and_the_next_call_is_not_answered() {
    silent_and_failing("silent-pushed", false, None);
}

#[test]
fn a_watch_on_an_agent_falls_silent_and_the_next_call_is_turned_away() {
    silent_and_failing("away-pushed", false, Some(TURNED_AWAY));
}

// A list begins and trickles on without ever ending. It is no sign of life: the watch is given up in time.
#[test]
fn a_list_that_never_ends_is_given_up() {
    let (harness, mut open) = told("trickle", |_| {});
    let since = Instant::now();
    open.write_raw("1\r\n{\r\n");
    while !open.is_closed() {
        let _ = std::io::Write::write_all(&mut open.stream, b"1\r\n \r\n");
        assert!(since.elapsed() < HANG_TIMEOUT, "it is not given up");
        harness.wait_until_input_processed();
    }
    let mut first = harness.discovery.accept_call();
    first.write_raw(&format!("{WATCH_RESPONSE_HEAD}1\r\n{{\r\n"));
    wait_until("the first list of a watch is waited for without end", || first.is_closed());
    let mut call = harness.discovery.accept_call();
    drains_in_time(&harness, &mut call, since);
}

// A discovery that sends without a pause keeps the loop from nothing: clients are served meanwhile.
#[test]
fn a_discovery_that_floods_holds_nobody_up() {
    let (harness, mut open) = told("flood", |_| {});
    let flood = std::thread::spawn(move || {
        let junk = "800\r\n".to_owned() + &" ".repeat(0x800) + "\r\n";
        // The list never ends, and the watch is given up.
        open.write_raw("1\r\n{\r\n");
        while std::io::Write::write_all(&mut open.stream, junk.as_bytes()).is_ok() {}
    });
    let mut served = 0;
    while !flood.is_finished() || served == 0 {
        harness.wait_until_input_processed();
        served += 1;
    }
    flood.join().expect("its connection was reset");
    assert!(served > 3, "{served} answers while it flooded");
}

// Discovery turned three hundred brokers away for a while. Once it can be reached it is asked again in time, however
// long the back-off had grown.
#[test]
fn a_discovery_that_turned_callers_away_is_asked_again_in_time() {
    let (harness, open) = told("away", |harness| {
        asked_for(harness);
        harness.set_config("/settings/balancers", json!(300));
    });
    drop(open);
    for _ in 0..3 {
        harness.discovery.accept_call().write_raw(TURNED_AWAY);
    }
    let since = Instant::now();
    let mut call = harness.discovery.accept_call();
    drains_in_time(&harness, &mut call, since);
}

// An older list comes after a newer one, over another watch: what drains in the newer one is not sent to.
#[test]
fn an_older_list_after_a_newer_one_undoes_no_drain() {
    let (harness, mut open) = told("older", |_| {});
    open.send_list(&harness.server_list(5, 0, "draining"));
    harness.wait_for_log("version 5, 1 up, 1 draining");
    drop(open);
    let mut call = harness.discovery.accept_call();
    call.start_watch();
    call.send_list(&harness.server_list(4, 0, "up"));
    harness.wait_for_log("version 5, 1 up, 1 draining");
    let mut client = harness.client();
    let mut other = None;
    for query in 0..8 {
        client.send_query("search", &format!("q{query}"), query);
        let part = other.get_or_insert_with(|| harness.servers[1].accept()).next_part();
        other.as_mut().expect("there").serve(&part, "v");
        assert_eq!(client.read_status(), 200);
    }
}

// Old and new discovery both answer around SIGHUP: the broker is held while the list of old is on its way and the file
// moves discovery. What the new one says holds, and the old one's list, which is read first or never, undoes nothing.
#[test]
fn a_list_on_its_way_from_the_discovery_of_old_undoes_nothing() {
    let (mut harness, mut old) = told("moved", |_| {});
    let new = crate::harness::Discovery::new();
    harness.set_config("/discovery", json!(new.address.to_string()));
    harness.suspend();
    old.send_list(&harness.server_list(3, 0, "up"));
    wait_until_delivered(&old.stream);
    harness.reload();
    harness.resume();
    let mut call = new.accept_call();
    call.start_watch();
    call.send_list(&harness.server_list(4, 0, "draining"));
    harness.wait_for_log("version 4, 1 up, 1 draining");
    let mut client = harness.client();
    client.send_query("search", "q1", 0);
    assert_eq!(harness.servers[1].accept().next_part(), "q1.0");
}

// A discovery whose answer has neither chunks nor a length: its lists are read as they come, and a reset in the middle
// of one is no end of it.
#[test]
fn an_answer_without_length_brings_lists_and_its_reset_ends_none() {
    let mut harness = Harness::new("plain", 2);
    harness.set_config("/settings/extra/width", json!(2));
    harness.start();
    let mut call = harness.discovery.accept_call();
    call.write_raw("HTTP/1.1 200 OK\r\n\r\n");
    call.write_raw(&format!("{}\n", harness.server_list(2, 0, "up")));
    harness.wait_for_log("version 2, 2 up");
    let next = harness.server_list(3, 0, "draining").to_string();
    call.write_raw(&next[..next.len() - 1]);
    harness.wait_until_input_processed();
    socket2::SockRef::from(&call.stream).set_linger(Some(Duration::ZERO)).expect("set");
    drop(call);
    let mut call = harness.discovery.accept_call();
    assert!(call.head.contains("index=2 "), "{}", call.head);
    drains_in_time(&harness, &mut call, Instant::now());
}

// A drain is told while a part waits for a connection to that server to come up: the part is not written there.
#[test]
fn a_drain_takes_back_what_waits_for_a_connection() {
    let mut harness = Harness::new("waits", 1);
    harness.set_config("/settings/safety/drainGraceNs", json!(2_000_000_000_u64));
    harness.servers[0].block_connects();
    harness.start();
    let mut call = harness.discovery.accept_call();
    call.start_watch();
    call.send_list(&harness.server_list(2, 0, "up"));
    harness.wait_for_log("version 2, 1 up");
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    harness.servers[0].wait_for_connect_attempt();
    call.send_list(&harness.server_list(3, 0, "draining"));
    // Its one holder is gone: the query ends, and the server is let in to see what comes.
    assert_eq!(client.read_status(), 503);
    harness.servers[0].allow_connects();
    call.send_list(&harness.server_list(4, 0, "up"));
    harness.wait_for_log("version 4, 1 up");
    client.send_query("search", "r2", 0);
    assert_eq!(harness.servers[0].accept().next_part(), "r2.0");
}

// A query and the word that its one server is gone are in the sockets when the broker looks, the query first: the step
// knows both, and nothing is sent.
#[test]
fn a_drain_and_a_query_in_one_gathering() {
    let mut harness = Harness::new("gathering", 1);
    harness.start();
    let mut call = harness.discovery.accept_call();
    call.start_watch();
    call.send_list(&harness.server_list(2, 0, "up"));
    harness.wait_for_log("version 2, 1 up");
    let mut client = harness.client();
    harness.wait_until_input_processed();
    harness.suspend();
    client.send_query("search", "late", 0);
    call.send_list(&json!({"index": 3, "snapshot": true, "endpoints": []}));
    wait_until_delivered(&client.stream);
    wait_until_delivered(&call.stream);
    harness.resume();
    assert_eq!(client.read_status(), 503);
    call.send_list(&harness.server_list(4, 0, "up"));
    harness.wait_for_log("version 4, 1 up");
    client.send_query("search", "next", 0);
    assert_eq!(harness.servers[0].accept().next_part(), "next.0");
}
