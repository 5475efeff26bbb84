//! Queries that are open while another process takes over.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;

use crate::load::{Outcome, read_answer};
use crate::site::Site;
use crate::stage::{request, until};
use crate::tiles::HELD;

#[test]
fn a_keyed_query_that_is_open_is_answered_once_by_the_old_process() {
    let site = Site::new("keyed");
    let mut old = site.start();
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(request("flag", HELD, &[0], 50_000).as_bytes()).expect("written");
    let part = format!("{HELD}.0");
    let came = || site.tiles.iter().map(|tile| tile.count(&part)).sum::<u32>();
    until("the part does not come", || came() == 1);
    let successor = site.start_successor();
    old.signal(Signal::TERM);
    old.logs("stopping");
    site.serves("meanwhile");
    site.tiles.iter().for_each(|tile| tile.release());
    assert_eq!(read_answer(&mut client), Outcome::Answered(200));
    drop(client);
    assert_eq!(old.exit(), Some(0), "{}", old.log());
    site.serves("after");
    assert_eq!(came(), 1, "the part was sent once");
    successor.stop();
}
