//! What may lie at the path where the processes meet.

use std::fs;
use std::os::unix::net::UnixListener;

use crate::load::Load;
use crate::site::Site;

/// Requests that a stream of clients makes in a phase of an upgrade.
const SOME: usize = 50;

#[test]
fn a_stale_socket_is_replaced() {
    let site = Site::new("stale");
    drop(UnixListener::bind(site.rendezvous().path()).expect("bound"));
    let first = site.start();
    let second = site.start_successor();
    first.stop();
    site.serves("second");
    second.stop();
}

#[test]
fn a_foreign_file_is_left_alone_and_the_start_goes_on_beside_a_running_process() {
    let site = Site::new("foreign");
    let path = site.rendezvous().path().to_owned();
    fs::write(&path, "mine").expect("written");
    let first = site.start();
    first.logs("exists and is not a socket");
    let load = Load::start(site.listen);
    let second = site.start();
    second.logs("exists and is not a socket");
    load.wait_for(SOME);
    load.end().assert_whole();
    assert_eq!(fs::read_to_string(&path).expect("there"), "mine");
    first.stop();
    site.serves("second");
    second.stop();
}
