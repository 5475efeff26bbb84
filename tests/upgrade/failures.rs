//! Hand-overs in which one of the processes ends, is told something, or is not alone.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;

use crate::load::{Load, Outcome, UP, read_answer};
use crate::site::Site;
use crate::stage::request;

/// Requests that a stream of clients makes in a phase of an upgrade.
const SOME: usize = 50;
/// Connections that wait in the queue of a held process, and those among them that ask for a part: a burst of twenty
/// parts is more than any broker takes at once, and it would refuse some.
const WAITING: usize = 20;
const WAITING_PARTS: usize = 6;

#[test]
fn a_successor_that_is_killed_before_it_is_ready_costs_nothing() {
    let site = Site::new("killed");
    let old = site.start();
    let load = Load::start(site.listen);
    let successor = site.held_successor(&old);
    load.wait_for(SOME);
    successor.kill();
    old.logs("this one serves on");
    load.wait_for(SOME);
    let further = site.start_successor();
    old.stop();
    load.wait_for(SOME);
    load.end().assert_whole();
    further.stop();
}

#[test]
fn a_successor_that_is_killed_once_it_was_ready_leaves_the_clients_to_the_old_process() {
    let site = Site::new("ready");
    let old = site.start();
    let successor = site.start_successor();
    old.logs("the new process takes clients");
    successor.kill();
    // These wait in the queue until the old process accepts again.
    site.serves("again");
    old.logs("clients are taken here again");
    assert!(old.is_ready());
    let further = site.start_successor();
    old.stop();
    site.serves("further");
    further.stop();
}

#[test]
fn an_old_process_that_is_killed_in_mid_hand_over_leaves_its_queue_to_the_successor() {
    let site = Site::new("old");
    let old = site.start();
    let successor = site.held_successor(&old);
    old.hold();
    let waiting: Vec<TcpStream> = (0..WAITING)
        .map(|number| {
            let mut stream = TcpStream::connect(site.listen).expect("it waits in the queue");
            let part = request("search", &format!("waits-{number}"), &[0], 50_000);
            let request = if number < WAITING_PARTS { &part } else { UP };
            stream.write_all(request.as_bytes()).expect("written");
            stream
        })
        .collect();
    old.kill();
    successor.go_on();
    for mut stream in waiting {
        assert_eq!(read_answer(&mut stream), Outcome::Answered(200));
    }
    successor.becomes_ready();
    site.serves("after");
    let further = site.start();
    successor.stop();
    site.serves("further");
    further.stop();
}

#[test]
fn an_old_process_that_is_told_to_end_early_leaves_nobody_behind() {
    let site = Site::new("early");
    let mut old = site.start();
    let load = Load::start(site.listen);
    let successor = site.held_successor(&old);
    load.wait_for(SOME);
    old.signal(Signal::TERM);
    // Nobody accepts once it has ended: clients wait in the queue that the successor holds too.
    assert_eq!(old.exit(), Some(0), "{}", old.log());
    successor.go_on();
    successor.becomes_ready();
    load.wait_for(SOME);
    load.end().assert_whole();
    successor.stop();
}

#[test]
fn an_old_process_that_reads_its_settings_anew_in_mid_hand_over_goes_on() {
    let site = Site::new("reload");
    let old = site.start();
    let load = Load::start(site.listen);
    let successor = site.held_successor(&old);
    old.signal(Signal::HUP);
    load.wait_for(SOME);
    successor.go_on();
    successor.becomes_ready();
    old.logs("the new process takes clients");
    old.signal(Signal::HUP);
    load.wait_for(SOME);
    old.stop();
    load.wait_for(SOME);
    load.end().assert_whole();
    successor.stop();
}

#[test]
fn a_third_process_beside_a_hand_over_costs_nothing() {
    let site = Site::new("third");
    let old = site.start();
    let load = Load::start(site.listen);
    let second = site.held_successor(&old);
    let third = site.start();
    third.logs("the running process refused: Busy");
    load.wait_for(SOME);
    second.go_on();
    second.becomes_ready();
    old.logs("the new process takes clients");
    load.wait_for(SOME);
    old.stop();
    load.wait_for(SOME);
    load.end().assert_whole();
    second.stop();
    site.serves("third");
    third.stop();
}

// What was seen: after an upgrade during which a third process was started and ended, the next upgrade found nobody to take
// over from; the process that had taken over kept its clients and had no successor. Why: the third process had been refused, and
// still took the path where processes meet once it was ready, from a process that was listening there.
#[test]
fn a_third_process_leaves_the_path_to_the_one_that_takes_over() {
    let site = Site::new("path");
    let old = site.start();
    let second = site.held_successor(&old);
    let third = site.held_before_ready();
    second.go_on();
    second.becomes_ready();
    old.logs("the new process takes clients");
    third.go_on();
    third.becomes_ready();
    third.logs("the running process refused: Busy");
    third.logs("another process of this broker listens on it");
    old.stop();
    third.stop();
    let fourth = site.start_successor();
    second.logs("a new process has the listening sockets");
    second.stop();
    site.serves("path");
    fourth.stop();
}
