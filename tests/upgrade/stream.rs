//! Upgrades in a row while clients come without a pause.

use std::time::{Duration, Instant};

use crate::load::{Load, Outcome};
use crate::site::{Site, TAKEN_OVER};

/// How many upgrades the test makes, unless `UPGRADES` says otherwise.
const UPGRADES: usize = 10;
/// Requests for a part that come between two upgrades at the least.
const REQUESTS_BETWEEN: usize = 100;

fn upgrades() -> usize {
    std::env::var("UPGRADES").map_or(UPGRADES, |word| word.parse().expect("a number"))
}

#[test]
fn clients_lose_nothing_to_upgrades_in_a_row() {
    let site = Site::new("row");
    let mut running = site.start();
    let load = Load::start(site.listen);
    let mut ready_times: Vec<Duration> = Vec::new();
    for _ in 0..upgrades() {
        load.wait_for(REQUESTS_BETWEEN);
        let begun = Instant::now();
        let successor = site.start();
        ready_times.push(begun.elapsed());
        successor.logs(TAKEN_OVER);
        successor.logs("sockets of the running process are taken over");
        std::mem::replace(&mut running, successor).stop();
    }
    load.wait_for(REQUESTS_BETWEEN);
    let tally = load.end();
    ready_times.sort();
    println!(
        "{} upgrades, {} requests: {} without a whole answer ({} refused, {} reset, {} closed unread); ready after {:.1} \
         ms (median), {:.1} ms (worst)\n{tally:?}",
        ready_times.len(),
        tally.total(),
        tally.lost(),
        tally.count(|outcome| *outcome == Outcome::Refused),
        tally.count(|outcome| *outcome == Outcome::Reset),
        tally.count(|outcome| *outcome == Outcome::ClosedUnread),
        ready_times[ready_times.len() / 2].as_secs_f64() * 1e3,
        ready_times[ready_times.len() - 1].as_secs_f64() * 1e3,
    );
    tally.assert_whole();
    tally.assert_up_throughout();
    running.stop();
}
