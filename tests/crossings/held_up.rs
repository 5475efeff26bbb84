//! A broker that is held up in the middle of what it writes in one turn: what it has gathered is old then.

use std::time::Duration;

use serde_json::json;

use crate::stage::Stage;

/// An attempt for a client that has gone may begin no later than this.
const GONE: Duration = Duration::from_millis(100);

// What was seen: a client's part was written to its server after the client had gone, by as much as the broker was held up
// at another server's connection. Why: the loop looks at its clients, makes one step and writes what comes of it; before
// the writes it looked again where the step itself had been slow, and never between them. A write may take as long as a step.
#[test]
fn what_is_queued_behind_a_write_that_takes_long_is_not_sent_for_a_client_that_has_gone() {
    let mut stage = Stage::new("held-up", 2);
    // However long the test is held up itself, no connection is ended for its silence.
    stage.set_classes("aimNs", &json!(50_000_000_000_u64));
    stage.holds_writes = true;
    stage.start();
    // Both servers have a connection, and a part is out at the first.
    let mut leaves = stage.client();
    leaves.ask("search", "leaves", 0);
    let mut first = stage.tiles[0].accept();
    assert_eq!(first.part(), "leaves.0");
    let mut asks = stage.client();
    asks.ask("search", "before", 1);
    let mut second = stage.tiles[1].accept();
    let part = second.part();
    second.serve(&part, "v");
    assert_eq!(asks.status(), 200);
    // In one turn the broker gives up the part at the first server and has one for the second.
    stage.stop();
    stage.hold_give_ups(GONE * 2);
    leaves.close();
    asks.ask("search", "gone", 1);
    crate::stage::delivered(&asks.stream);
    stage.go_on();
    stage.held();
    asks.close();
    stage.release();
    assert_eq!(first.frame(), "cleaves.0");
    let mut next = stage.client();
    next.ask("search", "next", 1);
    assert_eq!(second.part(), "next.1");
}
