//! Queries that are open during a hand-over.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;

use crate::fixture::Fixture;
use crate::harness::{request, wait_until};
use crate::load::{Outcome, read_response};
use crate::tiles::DELAYED_PREFIX;

#[test]
fn an_open_query_with_an_idempotency_key_is_answered_once_by_the_old_process() {
    let fixture = Fixture::new("keyed");
    let mut old = fixture.start();
    let mut client = TcpStream::connect(fixture.listen).expect("connected");
    client.write_all(request("flag", DELAYED_PREFIX, &[0], 50_000).as_bytes()).expect("written");
    let part = format!("{DELAYED_PREFIX}.0");
    let received = || fixture.tile_servers.iter().map(|server| server.count(&part)).sum::<u32>();
    wait_until("the part does not arrive", || received() == 1);
    let successor = fixture.start_successor();
    old.signal(Signal::TERM);
    old.wait_for_log("stopping");
    fixture.assert_serves("meanwhile");
    fixture.tile_servers.iter().for_each(|server| server.release());
    assert_eq!(read_response(&mut client), Outcome::Answered(200));
    drop(client);
    assert_eq!(old.wait_for_exit(), Some(0), "{}", old.log());
    fixture.assert_serves("after");
    assert_eq!(received(), 1, "the part was not sent exactly once");
    successor.stop();
}
