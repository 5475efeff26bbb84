//! A broker that is delayed in the middle of the writes of one loop iteration: the input it has read is out
//! of date by then.

use std::time::Duration;

use serde_json::json;

use crate::harness::Harness;

/// An attempt for a client may start at the latest this long after the client has disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

// Regression test: a part was sent after its client had disconnected, if the broker was delayed in a write
// to another server. The loop reads from its clients, makes one step and writes the results. It checked the
// clients again before these writes if the step was slow, but not between the writes, which can be just as
// slow.
#[test]
fn no_part_is_sent_after_a_slow_write_for_a_client_that_has_disconnected() {
    let mut harness = Harness::new("slow-write", 2);
    // No connection is closed as unresponsive, however long the test itself is delayed.
    harness.set_class_option("aimNs", &json!(50_000_000_000_u64));
    harness.can_delay_writes = true;
    harness.start();
    // Both servers have a connection, and the first has a part in flight.
    let mut cancelled_client = harness.client();
    cancelled_client.send_query("search", "leaves", 0);
    let mut first = harness.servers[0].accept();
    assert_eq!(first.next_part(), "leaves.0");
    let mut client = harness.client();
    client.send_query("search", "before", 1);
    let mut second = harness.servers[1].accept();
    let part = second.next_part();
    second.serve(&part, "v");
    assert_eq!(client.read_status(), 200);
    // In one loop iteration the broker cancels the part at the first server and has a part for the second.
    harness.suspend();
    harness.delay_cancel_writes(DISCONNECT_GRACE * 2);
    cancelled_client.close();
    client.send_query("search", "gone", 1);
    crate::harness::wait_until_delivered(&client.stream);
    harness.resume();
    harness.wait_until_write_delayed();
    client.close();
    harness.release_writes();
    assert_eq!(first.next_frame(), "cleaves.0");
    let mut next = harness.client();
    next.send_query("search", "next", 1);
    assert_eq!(second.next_part(), "next.1");
}
