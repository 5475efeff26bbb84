//! Callers and clients that take all the descriptors there are.

use std::time::{Duration, Instant};

use crate::harness::{Client, Harness};
use crate::{drain, operated, readiness, resume, up};

/// Every call to operators is answered within this time.
const ANSWER_TIME: Duration = Duration::from_secs(1);

fn in_time(harness: &Harness, call: impl FnOnce(&Harness)) {
    let begun = Instant::now();
    call(harness);
    assert!(begun.elapsed() < ANSWER_TIME, "after {:?}", begun.elapsed());
}

// The process may open 64 descriptors, eight of them for operators. Neither side takes what the other needs.
#[test]
fn silent_callers_and_clients_that_fill_the_descriptors_hold_up_nobody() {
    let mut harness = operated("filled", 1);
    harness.shell_prelude = "ulimit -n 64;";
    harness.config.as_object_mut().expect("an object").remove("limits");
    harness.start();
    // Held meanwhile, it finds all of them waiting.
    harness.suspend();
    let callers: Vec<Client> = (0..100).map(|_| harness.control_client()).collect();
    let clients: Vec<Client> = (0..100).map(|_| harness.client()).collect();
    harness.resume();
    in_time(&harness, |harness| assert_eq!(readiness(harness), 200));
    in_time(&harness, drain);
    assert_eq!(up(&harness), 503);
    in_time(&harness, resume);
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    drop((callers, clients));
}
