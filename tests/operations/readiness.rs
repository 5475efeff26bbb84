//! Readiness on the control endpoint: it says what `GET /up` says to clients.

use serde_json::json;

use crate::stage::until;
use crate::{comes_back, drain, operated, readiness, resume, up};

// The broker knows no server before its first list, so that it stays unready however long its start takes.
#[test]
fn readiness_is_no_before_clients_may_come_and_yes_after() {
    let mut stage = operated("ready", 1);
    stage.set("/known/endpoints", json!([]));
    stage.spawn();
    let mut call = stage.discovery.call();
    assert_eq!(readiness(&stage), 503);
    stage.started();
    assert_eq!((up(&stage), readiness(&stage)), (503, 503));
    call.open();
    call.list(&stage.list(2, 1, "up"));
    until("it never says yes", || readiness(&stage) == 200);
    assert_eq!(up(&stage), 200);
}

#[test]
fn readiness_is_no_in_a_drain_and_while_the_process_stops() {
    let mut stage = operated("unready", 1);
    stage.start();
    until("it never says yes", || readiness(&stage) == 200);
    drain(&stage);
    assert_eq!(readiness(&stage), 503);
    resume(&stage);
    comes_back(&stage);
    let mut client = stage.client();
    client.ask("search", "open", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "open.0");
    stage.signal("TERM");
    stage.log("stopping");
    assert_eq!(readiness(&stage), 503);
    tile.serve("open.0", "v");
    assert_eq!(client.status(), 200);
    drop(client);
    assert_eq!(stage.exit(), Some(0));
}
