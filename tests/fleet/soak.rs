//! Drawn scenarios, a few fixed seeds: fleets under events that cross each other. `badgergauge fleet soak` plays more.

use std::path::Path;

use badgergauge_fleet::run::Options;
use badgergauge_fleet::soak;

use crate::Place;

/// Plays a seed, which is to break no rule.
fn keeps_the_rules(seed: u64) {
    let dir = std::env::temp_dir().join(format!("badgergauge-soak-{}-{seed}", std::process::id()));
    let options = Options::new(Path::new(env!("CARGO_BIN_EXE_badgergauge")), &dir, "soak");
    let place = Place::take();
    let outcome = soak::run(seed, &options).expect("the harness does its part");
    drop(place);
    let _ = std::fs::remove_dir_all(&dir);
    let late = outcome.record.lateness_ms;
    assert!(
        outcome.unexplained.is_empty(),
        "{:?}, {late} ms late\n{}",
        outcome.unexplained,
        outcome.scenario.text
    );
}

/// A test for each seed.
macro_rules! seeds {
    ($($name:ident: $seed:literal,)*) => {
        $(#[test] fn $name() { keeps_the_rules($seed); })*
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
}
