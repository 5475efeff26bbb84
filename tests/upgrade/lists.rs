//! The list of servers in an upgrade.

use serde_json::json;

use crate::load::Outcome;
use crate::process::Process;
use crate::site::{Site, TAKEN_OVER};
use crate::stage::Discovery;

/// The server that drains, which alone holds the shard of its number.
const DRAINS: usize = 1;

/// Starts a process while discovery answers nobody.
fn start_while_discovery_is_silent(site: &Site) -> Process {
    let silent = Discovery::new();
    let process = site.spawn_with(silent.address);
    process.becomes_ready();
    process
}

// What was seen: a broker went on to send to a server for seconds after it was told that it drains. Why: it was upgraded
// while discovery turned callers away. The process that took over went by the list that its configuration holds, in which
// the server was up, as only the old process had been told.
#[test]
fn a_server_that_the_old_process_was_told_to_drain_is_not_sent_to_by_the_new_one() {
    let site = Site::new("drain");
    let discovery = Discovery::new();
    let old = site.spawn_with(discovery.address);
    let mut call = discovery.call();
    call.open();
    call.list(&site.list(1, "up"));
    old.becomes_ready();
    assert_eq!(site.post_to("before", DRAINS), Outcome::Answered(200));
    call.list(&site.list(2, "draining"));
    old.logs("servers: version 2, 1 up, 1 draining");
    let new = start_while_discovery_is_silent(&site);
    new.logs(TAKEN_OVER);
    old.logs("the new process takes clients");
    assert_eq!(site.post_to("after", DRAINS), Outcome::Answered(503));
    assert_eq!(site.tiles[DRAINS].count(&format!("after.{DRAINS}")), 0);
    old.stop();
    new.stop();
}

// A list of its own that is newer than the old process's is what a process goes by.
#[test]
fn a_newer_list_of_its_own_is_not_given_up() {
    let site = Site::with("newer", |_, _| {});
    let old = start_while_discovery_is_silent(&site);
    site.configure(|config| {
        config["known"]["index"] = json!(7);
        config["known"]["endpoints"][DRAINS]["status"] = json!("draining");
    });
    let new = start_while_discovery_is_silent(&site);
    new.logs(TAKEN_OVER);
    old.logs("the new process takes clients");
    assert_eq!(site.post_to("after", DRAINS), Outcome::Answered(503));
    old.stop();
    new.stop();
}
