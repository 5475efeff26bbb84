//! Randomly drawn scenarios with overlapping events, for a few fixed seeds and one that found a fault. `badgergauge fleet soak` runs
//! more.

use std::path::Path;

use badgergauge_fleet::run::Options;
use badgergauge_fleet::soak;

use crate::FleetPermit;

/// Runs the scenario of a seed, and asserts that it breaks no rule.
fn assert_no_violation(seed: u64) {
    let dir = std::env::temp_dir().join(format!("badgergauge-soak-{}-{seed}", std::process::id()));
    let options = Options::new(Path::new(env!("CARGO_BIN_EXE_badgergauge")), &dir, "soak");
    let permit = FleetPermit::acquire();
    let outcome = soak::run(seed, &options).expect("the harness works");
    drop(permit);
    let _ = std::fs::remove_dir_all(&dir);
    let late = outcome.record.lateness_ms;
    assert!(
        outcome.unexplained.is_empty(),
        "{:?}, {late} ms late\n{}",
        outcome.unexplained,
        outcome.scenario.text
    );
}

/// Defines a test for each seed.
macro_rules! seeds {
    ($($name:ident: $seed:literal,)*) => {
        $(#[test] fn $name() { assert_no_violation($seed); })*
    };
}

seeds! {
    seed_1: 1,
    seed_2: 2,
    seed_3: 3,
    seed_4: 4,
    seed_5: 5,
    seed_6: 6,
    seed_7: 7,
    seed_8: 8,
    seed_111: 111,
}
