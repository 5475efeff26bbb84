//! Network partitions, and what they deliver when they end.

use crate::{rules, run_fleet, sum};

/// Zones that are cut off from each other again and again, for three times as long as servers remember an
/// idempotency key; preceded by the seed.
const CUTS: &str = "
brokers: 4
servers: 8
zones: 2
cells: 4
rate: 40
parts: 4
seconds: 12
seed: SEED
window_ms: 400
unsafe_share: 0.15
tile: {cold_s: 2, service_ms: 10, read_lag_ms: 0}
events:
  - {at: 1.0, partition: {zone: 0, one_way: false, for_s: 1.2}}
  - {at: 3.2, partition: {zone: 0, one_way: false, for_s: 1.2}}
  - {at: 5.4, partition: {zone: 0, one_way: false, for_s: 1.2}}
  - {at: 7.6, partition: {zone: 0, one_way: false, for_s: 1.2}}
  - {at: 9.8, partition: {zone: 0, one_way: false, for_s: 1.2}}
";

// Guards against an effect done twice: a part written into a cut is delivered when the cut ends, long after
// it was executed elsewhere.
#[test]
fn a_part_written_into_a_cut_is_not_executed_when_the_cut_ends() {
    std::thread::scope(|scope| {
        for seed in [1, 3, 4, 6] {
            scope.spawn(move || {
                let scenario = CUTS.replace("SEED", &seed.to_string());
                let record = run_fleet(&format!("cuts-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "seed {seed}: {:?}", record.broken);
                let served = sum(&record, |row| row.in_time);
                assert!(served * 10 >= sum(&record, |row| row.offered) * 9, "seed {seed}: {served} in time");
            });
        }
    });
}

/// A zone that is cut off for longer than a query's deadline; preceded by the seed. Half of the queries have
/// effects that count each time.
const UNSAFE_PARTS: &str = "
brokers: 4
servers: 8
zones: 2
cells: 4
rate: 40
parts: 4
seconds: 9
seed: SEED
unsafe_share: 0.5
tile: {cold_s: 2, service_ms: 10, read_lag_ms: 0}
events:
  - {at: 1.0, partition: {zone: 0, one_way: false, for_s: 2.5}}
  - {at: 4.5, partition: {zone: 1, one_way: false, for_s: 2.5}}
";

// Guards against an effect after its client was told that it failed: an unsafe part written into a cut is
// delivered when the cut ends.
#[test]
fn an_unsafe_part_of_a_failed_query_is_not_executed_when_a_cut_ends() {
    std::thread::scope(|scope| {
        for seed in 1..=4 {
            scope.spawn(move || {
                let scenario = UNSAFE_PARTS.replace("SEED", &seed.to_string());
                let record = run_fleet(&format!("unsafe-parts-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "seed {seed}: {:?}", record.broken);
                let failed = sum(&record, |row| row.failed + row.lost);
                assert!(failed > 0, "seed {seed}: no query failed, so the test proves nothing");
            });
        }
    });
}

/// Zones that are cut off while brokers are killed; preceded by the seed.
const KILLS_IN_CUTS: &str = "
brokers: 4
servers: 8
zones: 2
cells: 4
rate: 40
parts: 4
seconds: 9
seed: SEED
unsafe_share: 0.5
tile: {cold_s: 2, service_ms: 10, read_lag_ms: 0}
events:
  - {at: 1.0, partition: {zone: 0, one_way: false, for_s: 1.2}}
  - {at: 1.15, kill: {share: 0.5, back_s: 0.3}}
  - {at: 3.5, partition: {zone: 0, one_way: false, for_s: 1.2}}
  - {at: 3.65, kill: {share: 0.5, back_s: 0.3}}
  - {at: 6.0, partition: {zone: 1, one_way: false, for_s: 1.2}}
  - {at: 6.15, kill: {share: 0.5, back_s: 0.3}}
";

// Guards against effects of a broker that is gone: the system of a killed process goes on delivering what it
// wrote into a cut.
#[test]
fn a_broker_killed_during_a_cut_leaves_nothing_that_is_executed_when_it_ends() {
    std::thread::scope(|scope| {
        for seed in 1..=4 {
            scope.spawn(move || {
                let scenario = KILLS_IN_CUTS.replace("SEED", &seed.to_string());
                let record = run_fleet(&format!("kills-in-cuts-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "seed {seed}: {:?}", record.broken);
                let closed = sum(&record, |row| row.closed);
                assert!(closed > 0, "seed {seed}: no kill closed a request, so the test proves nothing");
            });
        }
    });
}
