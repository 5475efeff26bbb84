//! What operators do with a running broker: drains, readiness and figures, each on real sockets. The harness, with its
//! stand-ins that hold a moment, is that of `tests/crossings`.

#[path = "../crossings/harness.rs"]
mod harness;
#[path = "../program/mod.rs"]
mod program;

mod drain;
mod floods;
mod readiness;
mod statistics;

use harness::{Harness, wait_until};

const UP: &str = "GET /up HTTP/1.1\r\n\r\n";

/// A harness with so many tile servers whose broker, not started yet, listens to operators.
fn operated(name: &str, servers: usize) -> Harness {
    let mut harness = Harness::new(&format!("operated-{name}"), servers);
    harness.has_control = true;
    harness
}

/// Begins a drain.
fn drain(harness: &Harness) {
    assert_eq!(harness.control_request("PUT", "/ops/drain/start").0, 200);
}

/// Ends a drain.
fn resume(harness: &Harness) {
    assert_eq!(harness.control_request("PUT", "/ops/drain/stop").0, 200);
}

/// What `GET /up` says on a new connection.
fn up(harness: &Harness) -> u16 {
    let mut client = harness.client();
    client.send(UP);
    client.read_status()
}

/// What the endpoint says of readiness.
fn readiness(harness: &Harness) -> u16 {
    harness.control_request("GET", "/ops/readiness").0
}

/// Waits until the broker takes clients again.
fn comes_back(harness: &Harness) {
    wait_until("it does not take clients again", || up(harness) == 200 && readiness(harness) == 200);
}

/// Lets 2 s pass, by the broker's own clock: a client that does not end its request is told so then.
fn two_seconds_pass(harness: &Harness) {
    let mut slow = harness.client();
    slow.send("POST /search HTTP/1.1\r\n");
    assert_eq!(slow.read_status(), 408);
}
