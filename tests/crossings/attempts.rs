//! Attempts at parts: repeats and their window, resets under them, answers that are cut, come late or never end.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::stage::{Stage, delivered, until};

// A part of a keyed class is lost, and the connection for its repeat comes up only after the window in which servers
// drop a repeat is over: the repeat is never written, and the query fails.
#[test]
fn a_repeat_whose_connection_comes_up_late_is_not_written() {
    let mut stage = Stage::new("window", 1);
    // Under the second after which a system knocks again.
    stage.set("/settings/profiles/1/windowNs", json!(900_000_000_u64));
    // A connection is waited for longer than its system takes to knock again.
    stage.set_classes("aimNs", &json!(30_000_000_000_u64));
    stage.start();
    let mut client = stage.client();
    client.ask("flag", "keyed", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "keyed.0");
    stage.tiles[0].hold();
    tile.reset();
    stage.tiles[0].knocked();
    // The connection is let in when its system knocks again, which is a second after the first time.
    stage.tiles[0].let_in();
    let mut late = stage.tiles[0].accept();
    assert_eq!(client.status(), 502, "it may have run, and no repeat may");
    let mut next = stage.client();
    next.ask("flag", "next", 0);
    assert_eq!(late.part(), "next.0");
}

// The same class, with a window that is long enough: the repeat is written as soon as the connection is up.
#[test]
fn a_repeat_inside_its_window_is_written_late() {
    let mut stage = Stage::new("inside", 1);
    stage.set_classes("aimNs", &json!(30_000_000_000_u64));
    stage.start();
    let mut client = stage.client();
    client.ask("flag", "keyed", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "keyed.0");
    stage.tiles[0].hold();
    tile.reset();
    stage.tiles[0].knocked();
    stage.tiles[0].let_in();
    let mut late = stage.tiles[0].accept();
    assert_eq!(late.part(), "keyed.0");
    late.serve("keyed.0", "v");
    assert_eq!(client.status(), 200);
}

// Another site gives the class another effect: what was turned away unseen goes to another server, and what may have
// run is not sent again, also where its connection is reset long after it began.
#[test]
fn an_unsafe_part_is_sent_again_only_if_it_never_ran() {
    let mut stage = Stage::new("unsafe", 2);
    stage.set("/settings/profiles/0/effect", json!("unsafe"));
    stage.set("/settings/extra/width", json!(2));
    stage.set("/settings/limits/maxAttempts", json!(4));
    stage.start();
    let mut client = stage.client();
    client.ask("search", "r1", 0);
    // Whichever of the two it goes to first: the other one's turn comes once that has turned it away.
    let (mut first, other) = stage.first_of_two();
    assert_eq!(first.part(), "r1.0");
    first.send("ar1.0 skipped 1 -\n");
    let mut second = stage.tiles[other].accept();
    assert_eq!(second.part(), "r1.0");
    // A client that is told so after 2 s lets time pass.
    let mut slow = stage.client();
    slow.send("POST /search HTTP/1.1\r\n");
    assert_eq!(slow.status(), 408);
    second.reset();
    assert_eq!(client.status(), 502);
}

// A tile server's last words and its reset are in the sockets when the broker looks: what came whole counts, and the
// half line behind it is the end of nothing.
#[test]
fn what_came_whole_before_a_reset_counts() {
    let mut stage = Stage::new("last-words", 1);
    stage.start();
    let mut client = stage.client();
    client.ask("search", "first", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "first.0");
    let mut other = stage.client();
    other.ask("flag", "second", 0);
    assert_eq!(tile.part(), "second.0");
    stage.stop();
    tile.serve("first.0", "v");
    std::io::Write::write_all(&mut tile.stream, b"\0\0\0\x20asecond.0 served 1 -\nva").expect("written");
    // Closed in order, as a reset would take what was not read along with it.
    tile.delivered();
    tile.close();
    stage.go_on();
    assert_eq!(client.status(), 200);
    let mut again = stage.tiles[0].accept();
    assert_eq!(again.part(), "second.0");
    again.serve("second.0", "w");
    let (_, body) = other.answer();
    assert!(body.contains("\"w\""), "{body}");
}

// An attempt is given up, and its answer comes in the same gathering as the word of the next one: it is nobody's, and
// the part is never out twice.
#[test]
fn an_answer_after_its_attempt_was_given_up_is_nobodys() {
    let mut stage = Stage::new("given-up", 1);
    stage.start();
    let mut client = stage.client();
    client.ask("search", "gone", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "gone.0");
    stage.stop();
    client.close();
    tile.serve("gone.0", "late");
    tile.delivered();
    stage.go_on();
    let mut next = stage.client();
    next.ask("search", "next", 0);
    // Whichever the broker read first, the word that it is given up may come; the part does not.
    let mut frame = tile.frame();
    if frame == "cgone.0" {
        frame = tile.frame();
    }
    assert!(frame.starts_with("qnext.0 "), "{frame}");
    tile.serve("next.0", "v");
    let (_, body) = next.answer();
    assert!(body.contains("\"v\""), "{body}");
}

// A tile server ends a connection that rests, and a part for it is asked for, both while the broker is held. The end is
// met first, whichever came first: the part goes over a new connection, and nothing of it may have run before, so that
// also one that must not be repeated is served.
#[test]
fn a_server_that_ends_an_idle_connection_costs_no_attempt() {
    let mut stage = Stage::new("idle-end", 1);
    stage.set("/settings/profiles/0/effect", json!("unsafe"));
    stage.start();
    let mut client = stage.client();
    client.ask("search", "r1", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "r1.0");
    tile.serve("r1.0", "v");
    assert_eq!(client.status(), 200);
    for (asked_first, id) in [(true, "r2"), (false, "r3")] {
        stage.stop();
        if asked_first {
            client.ask("search", id, 0);
        }
        tile.close();
        if !asked_first {
            client.ask("search", id, 0);
        }
        delivered(&client.stream);
        stage.go_on();
        tile = stage.tiles[0].accept();
        assert_eq!(tile.part(), format!("{id}.0"));
        tile.serve(&format!("{id}.0"), "v");
        assert_eq!(client.status(), 200);
    }
}

// What was seen: of two classes, the one whose parts take long lost them as soon as the other one was served by the same
// server. Why: a connection that said nothing for a sixth of the shortest aim of all classes was in doubt, and for half of
// that aim held for dead if its server answered elsewhere what came later. The server was at work on a part of a class that
// has an aim of its own; a part of an unsafe class would have failed its query.
#[test]
fn a_part_that_takes_long_by_another_classs_aim_is_waited_for() {
    let mut stage = Stage::new("long", 1);
    let short_aim = Duration::from_secs(2);
    stage.set_classes("aimNs", &json!(short_aim.as_nanos() as u64));
    stage.set("/settings/profiles/1/aimNs", json!(50_000_000_000_u64));
    stage.start();
    // The module learns that parts of both take little, so that one does not wait for the other to end.
    let mut waits = stage.client();
    waits.ask("flag", "quick", 0);
    let mut first = stage.tiles[0].accept();
    assert_eq!(first.part(), "quick.0");
    first.serve("quick.0", "v");
    assert_eq!(waits.status(), 200);
    waits.ask("flag", "long", 0);
    assert_eq!(first.part(), "long.0");
    let begun = Instant::now();
    until("time stands still", || begun.elapsed() > short_aim / 2);
    let mut other = stage.client();
    other.ask("search", "short", 0);
    // It comes over the same connection, or over another one.
    let mut second = None;
    until("the part does not come", || {
        second = stage.tiles[0].try_accept();
        second.is_some() || first.has_come()
    });
    let serving = second.as_mut().unwrap_or(&mut first);
    assert_eq!(serving.part(), "short.0");
    serving.serve("short.0", "v");
    assert_eq!(other.status(), 200);
    until("time stands still", || begun.elapsed() > short_aim * 2);
    first.serve("long.0", "v");
    assert_eq!(waits.status(), 200);
}
