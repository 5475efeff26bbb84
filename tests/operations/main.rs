//! What operators do with a running broker: drains, readiness and figures, each on real sockets. The stage, with its
//! stand-ins that hold a moment, is that of `tests/crossings`.

#[path = "../program/mod.rs"]
mod program;
#[path = "../crossings/stage.rs"]
mod stage;

mod drain;
mod figures;
mod floods;
mod readiness;

use stage::{Stage, until};

const UP: &str = "GET /up HTTP/1.1\r\n\r\n";

/// A stage with so many tile servers whose broker, not started yet, listens to operators.
fn operated(name: &str, tiles: usize) -> Stage {
    let mut stage = Stage::new(&format!("operated-{name}"), tiles);
    stage.is_operated = true;
    stage
}

/// Begins a drain.
fn drain(stage: &Stage) {
    assert_eq!(stage.operate("PUT", "/ops/drain/start").0, 200);
}

/// Ends a drain.
fn resume(stage: &Stage) {
    assert_eq!(stage.operate("PUT", "/ops/drain/stop").0, 200);
}

/// What `GET /up` says on a new connection.
fn up(stage: &Stage) -> u16 {
    let mut client = stage.client();
    client.send(UP);
    client.status()
}

/// What the endpoint says of readiness.
fn readiness(stage: &Stage) -> u16 {
    stage.operate("GET", "/ops/readiness").0
}

/// Waits until the broker takes clients again.
fn comes_back(stage: &Stage) {
    until("it does not take clients again", || up(stage) == 200 && readiness(stage) == 200);
}

/// Lets 2 s pass, by the broker's own clock: a client that does not end its request is told so then.
fn two_seconds_pass(stage: &Stage) {
    let mut slow = stage.client();
    slow.send("POST /search HTTP/1.1\r\n");
    assert_eq!(slow.status(), 408);
}
