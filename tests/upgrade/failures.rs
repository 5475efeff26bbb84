//! Hand-overs in which a process is killed or stopped, reloads its settings, or a third process starts.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;

use crate::fixture::Fixture;
use crate::harness::request;
use crate::load::{Load, Outcome, UP_REQUEST, read_response};

/// Minimum number of queries that the clients send in each phase of an upgrade.
const REQUESTS_PER_PHASE: usize = 50;
/// Number of connections in the accept queue of the suspended process.
const WAITING: usize = 20;
/// Number of those connections that send a query; the others call `GET /up`. A broker would refuse some of a
/// burst of 20 queries.
const WAITING_QUERIES: usize = 6;

#[test]
fn a_successor_killed_before_it_is_ready_loses_no_requests() {
    let fixture = Fixture::new("killed");
    let old = fixture.start();
    let load = Load::start(fixture.listen);
    let successor = fixture.start_suspended_successor(&old);
    load.wait_for(REQUESTS_PER_PHASE);
    successor.kill();
    old.wait_for_log("this one continues to serve");
    load.wait_for(REQUESTS_PER_PHASE);
    let further = fixture.start_successor();
    old.stop();
    load.wait_for(REQUESTS_PER_PHASE);
    load.finish().assert_all_succeeded();
    further.stop();
}

#[test]
fn the_old_process_resumes_after_a_ready_successor_is_killed() {
    let fixture = Fixture::new("ready");
    let old = fixture.start();
    let successor = fixture.start_successor();
    old.wait_for_log("the new process takes clients");
    successor.kill();
    // These connections stay in the accept queue until the old process resumes accepting.
    fixture.assert_serves("again");
    old.wait_for_log("this one accepts clients again");
    assert!(old.is_ready());
    let further = fixture.start_successor();
    old.stop();
    fixture.assert_serves("further");
    further.stop();
}

#[test]
fn the_successor_serves_the_accept_queue_of_a_killed_old_process() {
    let fixture = Fixture::new("old");
    let old = fixture.start();
    let successor = fixture.start_suspended_successor(&old);
    old.suspend();
    let waiting: Vec<TcpStream> = (0..WAITING)
        .map(|number| {
            let mut stream = TcpStream::connect(fixture.listen).expect("queued");
            let part = request("search", &format!("waits-{number}"), &[0], 50_000);
            let request = if number < WAITING_QUERIES { &part } else { UP_REQUEST };
            stream.write_all(request.as_bytes()).expect("written");
            stream
        })
        .collect();
    old.kill();
    successor.resume();
    for mut stream in waiting {
        assert_eq!(read_response(&mut stream), Outcome::Answered(200));
    }
    successor.wait_until_ready();
    fixture.assert_serves("after");
    let further = fixture.start();
    successor.stop();
    fixture.assert_serves("further");
    further.stop();
}

#[test]
fn an_old_process_stopped_before_the_successor_is_ready_loses_no_requests() {
    let fixture = Fixture::new("early");
    let mut old = fixture.start();
    let load = Load::start(fixture.listen);
    let successor = fixture.start_suspended_successor(&old);
    load.wait_for(REQUESTS_PER_PHASE);
    old.signal(Signal::TERM);
    // After its exit nobody accepts: clients wait in the accept queue, which the successor shares.
    assert_eq!(old.wait_for_exit(), Some(0), "{}", old.log());
    successor.resume();
    successor.wait_until_ready();
    load.wait_for(REQUESTS_PER_PHASE);
    load.finish().assert_all_succeeded();
    successor.stop();
}

#[test]
fn an_old_process_that_reloads_its_settings_completes_the_hand_over() {
    let fixture = Fixture::new("reload");
    let old = fixture.start();
    let load = Load::start(fixture.listen);
    let successor = fixture.start_suspended_successor(&old);
    old.signal(Signal::HUP);
    load.wait_for(REQUESTS_PER_PHASE);
    successor.resume();
    successor.wait_until_ready();
    old.wait_for_log("the new process takes clients");
    old.signal(Signal::HUP);
    load.wait_for(REQUESTS_PER_PHASE);
    old.stop();
    load.wait_for(REQUESTS_PER_PHASE);
    load.finish().assert_all_succeeded();
    successor.stop();
}

#[test]
fn a_third_process_during_a_hand_over_loses_no_requests() {
    let fixture = Fixture::new("third");
    let old = fixture.start();
    let load = Load::start(fixture.listen);
    let second = fixture.start_suspended_successor(&old);
    let third = fixture.start();
    third.wait_for_log("the running process refused: Busy");
    load.wait_for(REQUESTS_PER_PHASE);
    second.resume();
    second.wait_until_ready();
    old.wait_for_log("the new process takes clients");
    load.wait_for(REQUESTS_PER_PHASE);
    old.stop();
    load.wait_for(REQUESTS_PER_PHASE);
    load.finish().assert_all_succeeded();
    second.stop();
    fixture.assert_serves("third");
    third.stop();
}

// Guards against a third process, started during an upgrade, that takes over the hand-over socket's path. Its
// request was refused, but once it was ready it replaced the socket of the process that was taking over. The
// next upgrade then found no predecessor after the third process had ended, and the process with the clients
// had no successor.
#[test]
fn a_third_process_does_not_replace_the_socket_of_the_second() {
    let fixture = Fixture::new("path");
    let old = fixture.start();
    let second = fixture.start_suspended_successor(&old);
    let third = fixture.start_suspended();
    second.resume();
    second.wait_until_ready();
    old.wait_for_log("the new process takes clients");
    third.resume();
    third.wait_until_ready();
    third.wait_for_log("the running process refused: Busy");
    third.wait_for_log("another process of this broker listens on it");
    old.stop();
    third.stop();
    let fourth = fixture.start_successor();
    second.wait_for_log("a new process has the listening sockets");
    second.stop();
    fixture.assert_serves("path");
    fourth.stop();
}
