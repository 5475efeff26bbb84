//! Operations on a running broker: drains, readiness and statistics, on real sockets. The test harness is
//! that of `tests/crossings`.

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

/// A harness with this many tile servers whose broker, not started yet, has a control endpoint.
fn controlled_broker(name: &str, servers: usize) -> Harness {
    let mut harness = Harness::new(&format!("control-{name}"), servers);
    harness.has_control = true;
    harness
}

fn start_drain(harness: &Harness) {
    assert_eq!(harness.control_request("PUT", "/ops/drain/start").0, 200);
}

fn stop_drain(harness: &Harness) {
    assert_eq!(harness.control_request("PUT", "/ops/drain/stop").0, 200);
}

/// The status of `GET /up` on a new connection.
fn up_status(harness: &Harness) -> u16 {
    let mut client = harness.client();
    client.send(UP);
    client.read_status()
}

/// The status of the control endpoint's readiness.
fn readiness_status(harness: &Harness) -> u16 {
    harness.control_request("GET", "/ops/readiness").0
}

/// Waits until the broker accepts queries again.
fn wait_until_ready(harness: &Harness) {
    wait_until("the broker does not become ready again", || {
        up_status(harness) == 200 && readiness_status(harness) == 200
    });
}

/// Lets 2 s pass by the broker's clock: a client that does not finish its request then gets a 408.
fn wait_two_seconds(harness: &Harness) {
    let mut slow = harness.client();
    slow.send("POST /search HTTP/1.1\r\n");
    assert_eq!(slow.read_status(), 408);
}
