//! The load limit of cold servers during an upgrade: a server that has just started is overloaded if both
//! processes together exceed its limit.
//!
//! Both processes used to send to cold servers up to the full limit each: the old one while the new one
//! started, and both after that. The snapshot contains what the old process had sent when it was taken; later
//! attempts were counted only by the process that sent them.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::fixture::Fixture;
use crate::harness::{request, wait_until};
use crate::load::{Outcome, read_response};
use crate::process::Process;

/// Time window of the limit for cold servers (`overloadForNs`).
const WINDOW: Duration = Duration::from_secs(2);
/// Index of the cold server.
const COLD: usize = 1;
/// Maximum number of parts that a cold server may get within the window: a fifth of the capacity of five
/// workers at 0.1 s of work per part, the minimum that the router assumes for aims of 5 s.
const LIMIT: f64 = 20.0;
/// Number of queries that exceeds the limit; the excess is refused.
const QUERIES: usize = 60;

/// Creates two servers. The second one has just started, stays cold and is the only one with shard [`COLD`].
fn fixture(name: &str) -> Fixture {
    Fixture::with(name, |settings, entries| {
        settings["safety"]["coldNs"] = json!(600_000_000_000_u64);
        settings["safety"]["fallMultiple"] = json!(5.0);
        settings["safety"]["overloadForNs"] = json!(WINDOW.as_nanos() as u64);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        entries[COLD]["since_ms"] = json!(now.as_millis() as u64);
    })
}

/// Waits for one window from the process's first step; until then it uses only part of the limit.
fn wait_for_first_window(fixture: &Fixture) {
    let started = Instant::now();
    fixture.assert_serves("first");
    wait_until("the first window does not pass", || started.elapsed() > WINDOW);
}

/// Sends [`QUERIES`] queries for the cold server over one connection, which stays with the process that
/// accepted it.
fn send_queries(client: &mut TcpStream, name: &str) {
    for number in 0..QUERIES {
        let part = request("search", &format!("{name}-{number}"), &[COLD as u32], 50_000);
        client.write_all(part.as_bytes()).expect("written");
        let outcome = read_response(client);
        assert!(matches!(outcome, Outcome::Answered(200 | 503)), "{name}, {number}: {outcome:?}");
    }
}

fn assert_within_limit(fixture: &Fixture) {
    let most = fixture.tile_servers[COLD].max_within(WINDOW);
    assert!(most >= 5, "only {most} parts in {WINDOW:?}: too few for a meaningful test");
    // Allows for the protocol's statistical variation.
    let bound = LIMIT + 2.0 * LIMIT.sqrt() + 2.0;
    assert!((most as f64) <= bound, "{most} parts in {WINDOW:?} exceed the limit of {LIMIT}");
}

fn connect(fixture: &Fixture) -> TcpStream {
    TcpStream::connect(fixture.listen).expect("connected")
}

fn stop(old: Process, successor: Process) {
    old.stop();
    successor.stop();
}

// The new process has the snapshot and is suspended before it accepts clients, while the old one keeps
// sending.
#[test]
fn attempts_of_the_old_process_after_the_snapshot_count_for_both() {
    let fixture = fixture("cold-before");
    let old = fixture.start();
    wait_for_first_window(&fixture);
    let mut old_client = connect(&fixture);
    let successor = fixture.start_suspended_successor(&old);
    send_queries(&mut old_client, "meanwhile");
    successor.resume();
    successor.wait_until_ready();
    old.wait_for_log("the new process takes clients");
    send_queries(&mut connect(&fixture), "after");
    assert_within_limit(&fixture);
    drop(old_client);
    stop(old, successor);
}

// Both processes serve: the new one accepts clients, and the old one still has some.
#[test]
fn both_processes_together_stay_within_the_limit() {
    let fixture = fixture("cold-both");
    let old = fixture.start();
    wait_for_first_window(&fixture);
    let mut old_client = connect(&fixture);
    send_queries(&mut old_client, "before");
    let successor = fixture.start_successor();
    old.wait_for_log("the new process takes clients");
    wait_until("the cold server stays busy", || fixture.tile_servers[COLD].is_idle_for(WINDOW));
    send_queries(&mut connect(&fixture), "new");
    send_queries(&mut old_client, "old");
    assert_within_limit(&fixture);
    drop(old_client);
    stop(old, successor);
}
