//! Brokers that are delayed between reading their clock and a write, as happens on a busy machine.
//!
//! Guards against a second copy of a part: a part was withdrawn and sent again on another connection before
//! its server had read the withdrawal, so the server had two attempts of it at work, and an effect could be
//! doubled.
//!
//! The event loop reads its clock once per iteration, and that reading, from before the write, was taken as
//! the time at which the server was told of the withdrawal. A part is sent again 50 ms after that time, which
//! leaves its server time to read; with 100 ms between the clock and the write, the 50 ms had passed before
//! the write was made. The same happened where the broker closed the connection, and for everything written
//! or closed in the same iteration after the delayed write.
//!
//! With the time read only after the write, the six runs below still had 3, 0, 2, 3, 2 and 0 second copies;
//! with it read after the close as well, neither they nor 60 other runs (seeds 1 to 23) had any.

use crate::{SPLIT, rules, run_fleet, sum};

/// Delays every broker's writes from the start on; preceded by the seed.
const HOLD: &str = "seed: SEED
events:
  - {at: 0, hold: {share: 1, by_ms: 100, every: 4, for_s: 9}}
";

// Each broker is delayed for 100 ms right before every fourth write that withdraws a part, while servers at
// times never answer parts. Servers read their connections up to 30 ms or up to 2 ms late; no part ever has
// two attempts in flight.
#[test]
fn a_part_withdrawn_late_never_has_two_attempts_in_flight() {
    std::thread::scope(|scope| {
        for (lag_ms, seed) in [(30, 1), (30, 2), (30, 3), (2, 1), (2, 2), (2, 3)] {
            scope.spawn(move || {
                let scenario = SPLIT.replace("events:\n", HOLD);
                let scenario =
                    scenario.replace("LAG", &lag_ms.to_string()).replace("SEED", &seed.to_string());
                let record = run_fleet(&format!("held-up-{lag_ms}-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "lag {lag_ms} ms, seed {seed}: {:?}", record.broken);
                let lost = sum(&record, |row| row.parts_lost);
                assert!(lost > 20, "seed {seed}: too few parts were lost, so too few were withdrawn");
            });
        }
    });
}
