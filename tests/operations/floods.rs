//! Callers and clients that take all the descriptors there are.

use std::time::{Duration, Instant};

use crate::stage::{Client, Stage};
use crate::{drain, operated, readiness, resume, up};

/// Every call to operators is answered within this time.
const ANSWER_TIME: Duration = Duration::from_secs(1);

fn in_time(stage: &Stage, call: impl FnOnce(&Stage)) {
    let begun = Instant::now();
    call(stage);
    assert!(begun.elapsed() < ANSWER_TIME, "after {:?}", begun.elapsed());
}

// The process may open 64 descriptors, eight of them for operators. Neither side takes what the other needs.
#[test]
fn silent_callers_and_clients_that_fill_the_descriptors_hold_up_nobody() {
    let mut stage = operated("filled", 1);
    stage.limits = "ulimit -n 64;";
    stage.config.as_object_mut().expect("an object").remove("limits");
    stage.start();
    // Held meanwhile, it finds all of them waiting.
    stage.stop();
    let callers: Vec<Client> = (0..100).map(|_| stage.operator()).collect();
    let clients: Vec<Client> = (0..100).map(|_| stage.client()).collect();
    stage.go_on();
    in_time(&stage, |stage| assert_eq!(readiness(stage), 200));
    in_time(&stage, drain);
    assert_eq!(up(&stage), 503);
    in_time(&stage, resume);
    let mut client = stage.client();
    client.ask("search", "r1", 0);
    let mut tile = stage.tiles[0].accept();
    assert_eq!(tile.part(), "r1.0");
    tile.serve("r1.0", "v");
    assert_eq!(client.status(), 200);
    drop((callers, clients));
}
