//! Successive upgrades under continuous load.

use std::time::{Duration, Instant};

use crate::fixture::{Fixture, TAKEN_OVER_LOG};
use crate::load::{Load, Outcome};

/// Default number of upgrades, which the environment variable `UPGRADES` overrides.
const DEFAULT_UPGRADES: usize = 10;
/// Minimum number of queries between two upgrades.
const QUERIES_BETWEEN_UPGRADES: usize = 100;

fn upgrades() -> usize {
    std::env::var("UPGRADES").map_or(DEFAULT_UPGRADES, |count| count.parse().expect("a number"))
}

#[test]
fn successive_upgrades_lose_no_requests() {
    let fixture = Fixture::new("row");
    let mut running = fixture.start();
    let load = Load::start(fixture.listen);
    let mut ready_times: Vec<Duration> = Vec::new();
    for _ in 0..upgrades() {
        load.wait_for(QUERIES_BETWEEN_UPGRADES);
        let started = Instant::now();
        let successor = fixture.start();
        ready_times.push(started.elapsed());
        successor.wait_for_log(TAKEN_OVER_LOG);
        successor.wait_for_log("sockets of the running process are taken over");
        std::mem::replace(&mut running, successor).stop();
    }
    load.wait_for(QUERIES_BETWEEN_UPGRADES);
    let outcomes = load.finish();
    ready_times.sort();
    println!(
        "{} upgrades, {} requests: {} without a complete response ({} refused, {} reset, {} closed without a \
         response); ready after {:.1} ms (median), {:.1} ms (maximum)\n{outcomes:?}",
        ready_times.len(),
        outcomes.total(),
        outcomes.lost(),
        outcomes.count(|outcome| *outcome == Outcome::Refused),
        outcomes.count(|outcome| *outcome == Outcome::Reset),
        outcomes.count(|outcome| *outcome == Outcome::ClosedWithoutResponse),
        ready_times[ready_times.len() / 2].as_secs_f64() * 1e3,
        ready_times[ready_times.len() - 1].as_secs_f64() * 1e3,
    );
    outcomes.assert_all_succeeded();
    outcomes.assert_always_up();
    running.stop();
}
