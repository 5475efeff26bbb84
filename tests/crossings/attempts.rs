//! Attempts at parts: repeats and their window, resets under them, answers that are cut, come late or never end.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{Harness, wait_until, wait_until_delivered};

// A part of a keyed class is lost, and the connection for its repeat comes up only after the window in which servers
// drop a repeat is over: the repeat is never written, and the query fails.
#[test]
fn a_repeat_whose_connection_comes_up_late_is_not_written() {
    let mut harness = Harness::new("window", 1);
    // Under the second after which a system knocks again.
    harness.set_config("/settings/profiles/1/windowNs", json!(900_000_000_u64));
    // A connection is waited for longer than its system takes to knock again.
    harness.set_class_option("aimNs", &json!(30_000_000_000_u64));
    harness.start();
    let mut client = harness.client();
    client.send_query("flag", "keyed", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "keyed.0");
    harness.servers[0].block_connects();
    server.reset();
    harness.servers[0].wait_for_connect_attempt();
    // The connection is let in when its system knocks again, which is a second after the first time.
    harness.servers[0].allow_connects();
    let mut late = harness.servers[0].accept();
    assert_eq!(client.read_status(), 502, "it may have run, and no repeat may");
    let mut next = harness.client();
    next.send_query("flag", "next", 0);
    assert_eq!(late.next_part(), "next.0");
}

// The same class, with a window that is long enough: the repeat is written as soon as the connection is up.
#[test]
fn a_repeat_inside_its_window_is_written_late() {
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
    let mut late = harness.servers[0].accept();
    assert_eq!(late.next_part(), "keyed.0");
    late.serve("keyed.0", "v");
    assert_eq!(client.read_status(), 200);
}

// Another site gives the class another effect: what was turned away unseen goes to another server, and what may have
// run is not sent again, also where its connection is reset long after it began.
#[test]
fn an_unsafe_part_is_sent_again_only_if_it_never_ran() {
    let mut harness = Harness::new("unsafe", 2);
    harness.set_config("/settings/profiles/0/effect", json!("unsafe"));
    harness.set_config("/settings/extra/width", json!(2));
    harness.set_config("/settings/limits/maxAttempts", json!(4));
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    // Whichever of the two it goes to first: the other one's turn comes once that has turned it away.
    let (mut first, other) = harness.first_of_two();
    assert_eq!(first.next_part(), "r1.0");
    first.send("ar1.0 skipped 1 -\n");
    let mut second = harness.servers[other].accept();
    assert_eq!(second.next_part(), "r1.0");
    // A client that is told so after 2 s lets time pass.
    let mut slow = harness.client();
    slow.send("POST /search HTTP/1.1\r\n");
    assert_eq!(slow.read_status(), 408);
    second.reset();
    assert_eq!(client.read_status(), 502);
}

// A tile server's last words and its reset are in the sockets when the broker looks: what came whole counts, and the
// half line behind it is the end of nothing.
#[test]
fn what_came_whole_before_a_reset_counts() {
    let mut harness = Harness::new("last-words", 1);
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
    // Closed in order, as a reset would take what was not read along with it.
    server.wait_until_delivered();
    server.close();
    harness.resume();
    assert_eq!(client.read_status(), 200);
    let mut again = harness.servers[0].accept();
    assert_eq!(again.next_part(), "second.0");
    again.serve("second.0", "w");
    let (_, body) = other.read_response();
    assert!(body.contains("\"w\""), "{body}");
}

// An attempt is given up, and its answer comes in the same gathering as the word of the next one: it is nobody's, and
// the part is never out twice.
#[test]
fn an_answer_after_its_attempt_was_given_up_is_nobodys() {
    let mut harness = Harness::new("given-up", 1);
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
    // Whichever the broker read first, the word that it is given up may come; the part does not.
    let mut frame = server.next_frame();
    if frame == "cgone.0" {
        frame = server.next_frame();
    }
    assert!(frame.starts_with("qnext.0 "), "{frame}");
    server.serve("next.0", "v");
    let (_, body) = next.read_response();
    assert!(body.contains("\"v\""), "{body}");
}

// A tile server ends a connection that rests, and a part for it is asked for, both while the broker is held. The end is
// met first, whichever came first: the part goes over a new connection, and nothing of it may have run before, so that
// also one that must not be repeated is served.
#[test]
fn a_server_that_ends_an_idle_connection_costs_no_attempt() {
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

// What was seen: of two classes, the one whose parts take long lost them as soon as the other one was served by the same
// server. Why: a connection that said nothing for a sixth of the shortest aim of all classes was in doubt, and for half of
// that aim held for dead if its server answered elsewhere what came later. The server was at work on a part of a class that
// has an aim of its own; a part of an unsafe class would have failed its query.
#[test]
fn a_part_that_takes_long_by_another_classs_aim_is_waited_for() {
    let mut harness = Harness::new("long", 1);
    let short_aim = Duration::from_secs(2);
    harness.set_class_option("aimNs", &json!(short_aim.as_nanos() as u64));
    harness.set_config("/settings/profiles/1/aimNs", json!(50_000_000_000_u64));
    harness.start();
    // The module learns that parts of both take little, so that one does not wait for the other to end.
    let mut waits = harness.client();
    waits.send_query("flag", "quick", 0);
    let mut first = harness.servers[0].accept();
    assert_eq!(first.next_part(), "quick.0");
    first.serve("quick.0", "v");
    assert_eq!(waits.read_status(), 200);
    waits.send_query("flag", "long", 0);
    assert_eq!(first.next_part(), "long.0");
    let begun = Instant::now();
    wait_until("time stands still", || begun.elapsed() > short_aim / 2);
    let mut other = harness.client();
    other.send_query("search", "short", 0);
    // It comes over the same connection, or over another one.
    let mut second = None;
    wait_until("the part does not come", || {
        second = harness.servers[0].try_accept();
        second.is_some() || first.has_input()
    });
    let serving = second.as_mut().unwrap_or(&mut first);
    assert_eq!(serving.next_part(), "short.0");
    serving.serve("short.0", "v");
    assert_eq!(other.read_status(), 200);
    wait_until("time stands still", || begun.elapsed() > short_aim * 2);
    first.serve("long.0", "v");
    assert_eq!(waits.read_status(), 200);
}
