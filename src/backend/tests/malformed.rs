//! Responses whose stated length does not fit, and other bytes that can't be a response.

use std::thread;
use std::time::Instant;

use socket2::SockRef;

use super::super::connection::READ_BUFFER_BYTES;
use super::*;

/// How long the poller may report nothing.
const EVENT_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER: &str = "aq1.0 served 1 -\n66dd359f0ebf4d38";

/// A frame with a length prefix that states `difference` bytes more than it has.
fn frame_with_wrong_length(frame: &str, difference: isize) -> Vec<u8> {
    let length = u32::try_from(frame.len().checked_add_signed(difference).expect("not negative"));
    [&length.expect("short").to_be_bytes()[..], frame.as_bytes()].concat()
}

fn frame(text: &str) -> Vec<u8> {
    frame_with_wrong_length(text, 0)
}

impl Fixture {
    /// Sends parts 1 to `parts` on one connection, and returns the server's end of it.
    fn send_on_one_connection(&mut self, parts: u64) -> TcpStream {
        for part in 1..=parts {
            self.send(part);
        }
        self.write_all();
        assert_eq!(self.backend.connections.len(), 1, "all parts share a connection");
        self.server.accept().expect("connected").0
    }

    /// Handles what the poller reports until all connections are closed, and returns the values served.
    fn values_until_closed(&mut self) -> Vec<String> {
        while !self.backend.connections.is_empty() {
            let mut ready = Vec::new();
            self.net.poll.wait(Some(EVENT_TIMEOUT), &mut ready).expect("polls");
            assert!(!ready.is_empty(), "the connection stays open");
            for report in ready {
                let now = self.net.clock.now();
                self.backend.on_ready(&mut self.net, now, report.key, report.readable);
            }
        }
        let served = |completion| match completion {
            Completion::Attempt { verdict: Verdict::Served, value, .. } => value,
            _ => None,
        };
        self.backend.completions.drain(..).filter_map(served).collect()
    }
}

// Guards against half of a value that is served as a whole one: an answer whose stated length is too short
// ends within the value, and only the bytes behind it show that.
#[test]
fn answer_with_too_short_length_is_not_served() {
    for missing in 1..ANSWER.len() as isize {
        let mut fixture = fixture();
        let mut server = fixture.send_on_one_connection(1);
        server.write_all(&frame_with_wrong_length(ANSWER, -missing)).expect("written");
        assert_eq!(fixture.values_until_closed(), Vec::<String>::new(), "{missing} bytes missing");
        let withheld = fixture.backend.withheld_outcomes.len();
        assert_eq!(withheld, 1, "{missing} bytes missing: the attempt fails and may have run");
        assert_eq!(fixture.backend.take_malformed().connections, 1);
    }
}

// Guards against losing good answers with a malformed one: the length of a frame is confirmed by the start of
// the next one.
#[test]
fn answers_confirmed_by_the_next_frame_are_served() {
    let mut fixture = fixture();
    let mut server = fixture.send_on_one_connection(2);
    let bytes = [frame("aq2.0 served 1 -\nwhole"), frame_with_wrong_length(ANSWER, -8)].concat();
    server.write_all(&bytes).expect("written");
    assert_eq!(fixture.values_until_closed(), ["whole"]);
    let counts = fixture.backend.take_malformed();
    assert_eq!((counts.connections, counts.unconfirmed_answers), (1, 1));
}

// Guards against a value that ends in another answer: a length that is too long takes in the start of the next
// frame, or all of it.
#[test]
fn answer_with_too_long_length_is_not_served() {
    let next = frame("aq2.0 served 1 -\nother");
    for excess in 1..=next.len() as isize {
        let mut fixture = fixture();
        let mut server = fixture.send_on_one_connection(2);
        let bytes = [frame_with_wrong_length(ANSWER, excess), next.clone()].concat();
        server.write_all(&bytes).expect("written");
        assert_eq!(fixture.values_until_closed(), Vec::<String>::new(), "{excess} bytes too many");
        assert_eq!(fixture.backend.withheld_outcomes.len(), 2, "{excess} bytes too many: both may have run");
    }
}

/// Waits until the only connection has received this many bytes that are not read yet.
fn wait_until_received(fixture: &Fixture, count: usize) {
    let connection = fixture.backend.connections.values().next().expect("one");
    let (mut buffer, started) = (vec![0; count], Instant::now());
    while connection.stream.peek(&mut buffer).unwrap_or(0) < count {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the bytes do not arrive");
        thread::yield_now();
    }
}

// Guards against an answer that is judged before the bytes behind it are read: it ends where the broker stops
// reading in one turn, with the rest of its value still in the socket.
#[test]
fn answer_at_the_read_limit_is_judged_by_the_bytes_still_unread() {
    // The first multiple of the read buffer's size that exceeds the limit.
    const READ_IN_ONE_TURN: usize = 6 * READ_BUFFER_BYTES;
    let mut fixture = fixture();
    let mut server = fixture.send_on_one_connection(2);
    let short = frame_with_wrong_length(ANSWER, -8);
    let long_answer = |length: usize| {
        let line = "aq2.0 served 1 -\n";
        frame(&(line.to_owned() + &"v".repeat(length - line.len() - 4)))
    };
    // An answer may be repeated; the repetition is ignored.
    let (first, rest_of_turn) = (long_answer(50_000), READ_IN_ONE_TURN + 8 - short.len() - 50_000);
    let bytes = [first, long_answer(rest_of_turn), short].concat();
    let connection = fixture.backend.connections.values().next().expect("one");
    SockRef::from(&connection.stream).set_recv_buffer_size(4 * bytes.len()).expect("set");
    let count = bytes.len();
    let writer = thread::spawn(move || server.write_all(&bytes).map(|()| server));
    wait_until_received(&fixture, count);
    assert_eq!(fixture.values_until_closed().len(), 1, "only the long answer is served");
    assert_eq!(fixture.backend.take_malformed().unconfirmed_answers, 1);
    drop(writer.join().expect("no panic").expect("written"));
}
