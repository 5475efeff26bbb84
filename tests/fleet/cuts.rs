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
