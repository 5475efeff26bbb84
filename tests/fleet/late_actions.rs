//! Actions of the schedule that a busy machine carries out later than planned.

use std::time::Duration;

use crate::{rules, run_fleet, sum};

/// Three of four brokers are killed, each with several requests in flight.
const KILLS: &str = "
brokers: 4
servers: 4
cells: 2
rate: 40
seconds: 5
pooled: true
tile: {service_ms: 100, workers: 32}
events:
  - {at: 2, kill: {share: 0.75, back_s: 0.5}}
";
/// Longer than a request takes, so that all requests that a kill closes were sent after its planned time.
const ACTION_DELAY: Duration = Duration::from_millis(400);
/// More closed requests than one in this many are a violation unless a kill explains them.
const REQUESTS_PER_CLOSED: u32 = 200;

// Guards against requests that a late kill closes being counted as closed by a broker that lives.
#[test]
fn requests_closed_by_a_late_kill_break_no_rule() {
    let record = run_fleet("late-kills", KILLS, |options| options.action_delay = ACTION_DELAY);
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    let (closed, offered) = (sum(&record, |row| row.closed), sum(&record, |row| row.offered));
    assert!(closed * REQUESTS_PER_CLOSED > offered, "{closed} of {offered} closed: the test proves nothing");
}
