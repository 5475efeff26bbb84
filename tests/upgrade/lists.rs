//! The server list during an upgrade.

use serde_json::json;

use crate::fixture::{Fixture, TAKEN_OVER_LOG};
use crate::harness::Discovery;
use crate::load::Outcome;
use crate::process::Process;

/// Index of the server that drains. It is the only one with the shard of this number.
const DRAINING: usize = 1;

/// Starts a process whose discovery does not answer.
fn start_with_silent_discovery(fixture: &Fixture) -> Process {
    let silent = Discovery::new();
    let process = fixture.spawn_with_discovery(silent.address);
    process.wait_until_ready();
    process
}

// Guards against sending to a draining server for seconds after an upgrade while discovery rejects calls. The
// new process used the list from its configuration, in which the server was up; only the old process knew of
// the drain.
#[test]
fn the_new_process_honours_a_drain_that_only_the_old_one_received() {
    let fixture = Fixture::new("drain");
    let discovery = Discovery::new();
    let old = fixture.spawn_with_discovery(discovery.address);
    let mut call = discovery.accept_call();
    call.start_watch();
    call.send_list(&fixture.server_list(1, "up"));
    old.wait_until_ready();
    assert_eq!(fixture.query_server("before", DRAINING), Outcome::Answered(200));
    call.send_list(&fixture.server_list(2, "draining"));
    old.wait_for_log("servers: version 2, 1 up, 1 draining");
    let new = start_with_silent_discovery(&fixture);
    new.wait_for_log(TAKEN_OVER_LOG);
    old.wait_for_log("the new process takes clients");
    assert_eq!(fixture.query_server("after", DRAINING), Outcome::Answered(503));
    assert_eq!(fixture.tile_servers[DRAINING].count(&format!("after.{DRAINING}")), 0);
    old.stop();
    new.stop();
}

// A new process keeps its own list if that is newer than the old process's list.
#[test]
fn a_newer_list_of_the_new_process_is_kept() {
    let fixture = Fixture::with("newer", |_, _| {});
    let old = start_with_silent_discovery(&fixture);
    fixture.edit_config(|config| {
        config["known"]["index"] = json!(7);
        config["known"]["endpoints"][DRAINING]["status"] = json!("draining");
    });
    let new = start_with_silent_discovery(&fixture);
    new.wait_for_log(TAKEN_OVER_LOG);
    old.wait_for_log("the new process takes clients");
    assert_eq!(fixture.query_server("after", DRAINING), Outcome::Answered(503));
    old.stop();
    new.stop();
}
