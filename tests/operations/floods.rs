//! Control connections and clients that use all available descriptors.

use std::time::{Duration, Instant};

use crate::harness::{Client, Harness};
use crate::{controlled_broker, readiness_status, start_drain, stop_drain, up_status};

/// Every control request is answered within this time.
const ANSWER_TIME: Duration = Duration::from_secs(1);

fn assert_in_time(harness: &Harness, request: impl FnOnce(&Harness)) {
    let started = Instant::now();
    request(harness);
    assert!(started.elapsed() < ANSWER_TIME, "after {:?}", started.elapsed());
}

// The process may open 64 descriptors, eight of which are reserved for control connections. Neither side
// may use up those of the other.
#[test]
fn silent_connections_that_use_all_descriptors_block_nothing_else() {
    let mut harness = controlled_broker("filled", 1);
    harness.shell_prelude = "ulimit -n 64;";
    harness.config.as_object_mut().expect("an object").remove("limits");
    harness.start();
    // Suspended meanwhile, the broker finds all of them waiting.
    harness.suspend();
    let operators: Vec<Client> = (0..100).map(|_| harness.control_client()).collect();
    let clients: Vec<Client> = (0..100).map(|_| harness.client()).collect();
    harness.resume();
    assert_in_time(&harness, |harness| assert_eq!(readiness_status(harness), 200));
    assert_in_time(&harness, start_drain);
    assert_eq!(up_status(&harness), 503);
    assert_in_time(&harness, stop_drain);
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    drop((operators, clients));
}
