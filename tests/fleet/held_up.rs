//! Brokers that are held up between the reading of their clock and a write, as a busy machine does.
//!
//! What was seen: a part that was given up went out again, on another connection, before its server had read that it was
//! given up. The server then had two attempts of it at work, and an effect may be doubled.
//!
//! Why: the loop reads its clock once a turn, and that reading, from before the write, stood for the moment at which a
//! server was told of a give-up. A part goes out again 50 ms after that moment, which leaves its server time to read. With
//! 100 ms between the clock and the write, these 50 ms were over as the write was made. The same held where this broker
//! closed the connection, and for all that was written or closed in the same turn behind the write that was held up.
//!
//! What showed it: with the moment read after the write alone, the six plays below still had 3, 0, 2, 3, 2 and 0 parts out
//! twice; with the moment read after the close as well they have none, and neither have 60 others (seeds 1 to 23).

use crate::{SPLIT, fleet, rules, sum};

/// Each broker is held up from the start on; before that, the seed.
const HOLD: &str = "seed: SEED
events:
  - {at: 0, hold: {share: 1, by_ms: 100, every: 4, for_s: 9}}
";

// Each broker is held up for 100 ms right before every fourth write that gives a part up, while servers swallow parts by
// turns. Servers read their connections up to 30 ms late, or 2 ms; never is a part out twice.
#[test]
fn a_part_that_is_given_up_late_never_has_two_attempts_out() {
    std::thread::scope(|scope| {
        for (lag_ms, seed) in [(30, 1), (30, 2), (30, 3), (2, 1), (2, 2), (2, 3)] {
            scope.spawn(move || {
                let scenario = SPLIT.replace("events:\n", HOLD);
                let scenario =
                    scenario.replace("LAG", &lag_ms.to_string()).replace("SEED", &seed.to_string());
                let record = fleet(&format!("held-up-{lag_ms}-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "lag {lag_ms} ms, seed {seed}: {:?}", record.broken);
                let lost = sum(&record, |row| row.parts_lost);
                assert!(lost > 20, "seed {seed}: hardly a part was lost, so hardly one was given up");
            });
        }
    });
}
