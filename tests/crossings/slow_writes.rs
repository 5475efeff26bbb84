//! A broker that is held up in the middle of what it writes in one turn: what it has gathered is old then.

use std::time::Duration;

use serde_json::json;

use crate::harness::Harness;

/// An attempt for a client that has gone may begin no later than this.
const GONE: Duration = Duration::from_millis(100);

// What was seen: a client's part was written to its server after the client had gone, by as much as the broker was held up
// at another server's connection. Why: the loop looks at its clients, makes one step and writes what comes of it; before
// the writes it looked again where the step itself had been slow, and never between them. A write may take as long as a step.
#[test]
fn what_is_queued_behind_a_write_that_takes_long_is_not_sent_for_a_client_that_has_gone() {
    let mut harness = Harness::new("held-up", 2);
    // However long the test is held up itself, no connection is ended for its silence.
    harness.set_class_option("aimNs", &json!(50_000_000_000_u64));
    harness.can_delay_writes = true;
    harness.start();
    // Both servers have a connection, and a part is out at the first.
    let mut leaves = harness.client();
    leaves.send_query("search", "leaves", 0);
    let mut first = harness.servers[0].accept();
    assert_eq!(first.next_part(), "leaves.0");
    let mut asks = harness.client();
    asks.send_query("search", "before", 1);
    let mut second = harness.servers[1].accept();
    let part = second.next_part();
    second.serve(&part, "v");
    assert_eq!(asks.read_status(), 200);
    // In one turn the broker gives up the part at the first server and has one for the second.
    harness.suspend();
    harness.delay_cancel_writes(GONE * 2);
    leaves.close();
    asks.send_query("search", "gone", 1);
    crate::harness::wait_until_delivered(&asks.stream);
    harness.resume();
    harness.wait_until_write_delayed();
    asks.close();
    harness.release_writes();
    assert_eq!(first.next_frame(), "cleaves.0");
    let mut next = harness.client();
    next.send_query("search", "next", 1);
    assert_eq!(second.next_part(), "next.1");
}
