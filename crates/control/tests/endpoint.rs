//! The endpoint on a port that the system picks: its calls, and callers that hold connections or leave early.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_control::{Endpoint, EndpointConfig, Operations, Outcome, Statistics};
use badgergauge_poll::Poll;

/// Every answer comes within this time, whatever other callers do.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Long after anything that works has happened.
const HANGS: Duration = Duration::from_secs(20);
const MAX_CONNECTIONS: usize = 128;
/// Callers keep their place so long where all are taken.
const EVICTION_GRACE: Duration = Duration::from_millis(40);

/// A running endpoint, what it shares with the broker's loop, and that loop's poller.
struct Fixture {
    address: SocketAddr,
    operations: Arc<Operations>,
    poll: Poll,
}

fn endpoint_for(max_connections: usize) -> Fixture {
    let classes = ["alpha".to_owned(), "beta".to_owned()];
    let operations = Arc::new(Operations::new(Statistics::new(&classes)));
    let poll = Poll::new().expect("a poller");
    let config = EndpointConfig { address: SocketAddr::from(([127, 0, 0, 1], 0)), max_connections };
    let endpoint = Endpoint::start(config, operations.clone(), poll.waker()).expect("starts");
    Fixture { address: endpoint.address(), operations, poll }
}

fn endpoint() -> Fixture {
    endpoint_for(MAX_CONNECTIONS)
}

impl Fixture {
    fn connect(&self) -> TcpStream {
        connect(self.address)
    }

    fn exchange(&self, call: &str) -> String {
        exchange(self.address, call)
    }

    fn call(&self, method: &str, path: &str) -> (u16, String) {
        call(self.address, method, path)
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("listens");
    stream.set_read_timeout(Some(HANGS)).expect("set");
    stream.set_nodelay(true).expect("set");
    stream
}

/// Writes a call and reads all that comes until the connection ends.
fn exchange(address: SocketAddr, call: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(call.as_bytes()).expect("written");
    read_to_end(stream)
}

/// The status and the body of the answer to a call.
fn call(address: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let answer = exchange(address, &format!("{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n"));
    let body = answer.split_once("\r\n\r\n").expect("a head").1.to_owned();
    (status(&answer), body)
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer and the connection's end");
    answer
}

fn status(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1).and_then(|word| word.parse().ok());
    word.unwrap_or_else(|| panic!("no status: {answer:?}"))
}

#[test]
fn each_path_answers_its_method_alone() {
    let fixture = endpoint();
    fixture.operations.set_ready(true);
    let calls = [
        ("/ops/readiness", "GET"),
        ("/ops/stats", "GET"),
        ("/ops/drain/start", "PUT"),
        ("/ops/drain/stop", "PUT"),
    ];
    for (path, allowed) in calls {
        assert_eq!(fixture.call(allowed, path).0, 200, "{allowed} {path}");
        assert_eq!(fixture.call(allowed, &format!("{path}?x=1")).0, 200, "{allowed} {path} with a query");
        fixture.operations.request_drain(false);
        for method in ["GET", "PUT", "POST", "DELETE", "HEAD", "PATCH", "OPTIONS"] {
            if method == allowed {
                continue;
            }
            let answer = fixture.exchange(&format!("{method} {path} HTTP/1.1\r\n\r\n"));
            assert_eq!(status(&answer), 405, "{method} {path}");
            assert!(answer.contains(&format!("\r\nAllow: {allowed}\r\n")), "{answer}");
        }
    }
    for path in ["/", "/ops", "/ops/", "/ops/stats/", "/ops/drain", "/ops/drain/start/now", "/up", "*"] {
        for method in ["GET", "PUT", "POST"] {
            assert_eq!(fixture.call(method, path).0, 404, "{method} {path}");
        }
    }
    assert!(!fixture.operations.drain_requested(), "no wrong call asks for anything");
}

#[test]
fn what_is_no_call_is_refused() {
    let fixture = endpoint();
    let long = "x".repeat(20_000);
    let headers: String = (0..100).map(|number| format!("H{number}: v\r\n")).collect();
    for (call, expected) in [
        ("no call\r\n\r\n".to_owned(), 400),
        ("GET /ops/stats\r\n\r\n".to_owned(), 400),
        ("GET /ops/stats HTTP/2.0\r\n\r\n".to_owned(), 400),
        ("GET /ops/stats HTTP/1.1\r\nContent-Length: many\r\n\r\n".to_owned(), 400),
        (
            "PUT /ops/drain/start HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
            400,
        ),
        ("PUT /ops/drain/start HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n".to_owned(), 413),
        ("PUT /ops/drain/start HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_owned(), 501),
        (format!("GET /ops/stats HTTP/1.1\r\nX: {long}\r\n\r\n"), 431),
        (format!("GET /{long}"), 431),
        (format!("GET /ops/stats HTTP/1.1\r\n{headers}\r\n"), 431),
    ] {
        let answer = fixture.exchange(&call);
        assert_eq!(status(&answer), expected, "{:?}", &call[..call.len().min(80)]);
        assert!(answer.contains("\r\nConnection: close\r\n"), "{answer}");
    }
    assert!(!fixture.operations.drain_requested());
}

#[test]
fn a_call_may_be_of_http_1_0_have_a_body_or_come_in_chunks() {
    let fixture = endpoint();
    for call in [
        "PUT /ops/drain/start HTTP/1.0\r\n\r\n",
        "PUT /ops/drain/start HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        "PUT /ops/drain/start HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "\r\n\r\nPUT /ops/drain/start HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(status(&fixture.exchange(call)), 200, "{call:?}");
        assert!(fixture.operations.drain_requested(), "{call:?}");
        fixture.operations.request_drain(false);
    }
}

#[test]
fn a_call_whose_body_is_not_whole_asks_for_nothing() {
    let fixture = endpoint();
    let mut stream = fixture.connect();
    stream.write_all(b"PUT /ops/drain/start HTTP/1.1\r\nContent-Length: 5\r\n\r\nhell").expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    assert_eq!(status(&read_to_end(stream)), 400);
    assert!(!fixture.operations.drain_requested());
}

#[test]
fn only_the_first_of_several_calls_on_a_connection_counts() {
    let fixture = endpoint();
    let both = "GET /ops/readiness HTTP/1.1\r\n\r\nPUT /ops/drain/start HTTP/1.1\r\n\r\n";
    let answer = fixture.exchange(both);
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert_eq!(status(&answer), 503);
    assert!(!fixture.operations.drain_requested());
}

// More lies behind the call than a turn reads: the answer is not lost to a reset.
#[test]
fn bytes_behind_a_call_are_read_away() {
    let fixture = endpoint();
    let answer = fixture.exchange(&format!("GET /ops/stats HTTP/1.1\r\n\r\n{}", "x".repeat(100_000)));
    assert_eq!(status(&answer), 200);
}

#[test]
fn a_caller_that_has_ended_its_side_gets_its_answer() {
    let fixture = endpoint();
    let mut stream = fixture.connect();
    stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n").expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    assert_eq!(status(&read_to_end(stream)), 200);
}

// The loop would otherwise learn of the drain by chance, with its next event.
#[test]
fn the_loop_is_woken_for_a_drain_whose_caller_has_ended_its_side() {
    let mut fixture = endpoint();
    let mut stream = fixture.connect();
    stream.write_all(b"PUT /ops/drain/start HTTP/1.1\r\n\r\n").expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    let begun = Instant::now();
    fixture.poll.wait(Some(HANGS), &mut Vec::new()).expect("waits");
    assert!(begun.elapsed() < HANGS, "nothing has woken it");
    assert!(fixture.operations.drain_requested());
    assert_eq!(status(&read_to_end(stream)), 200);
}

#[test]
fn drains_are_idempotent_and_refused_by_a_process_that_stops() {
    let fixture = endpoint();
    fixture.operations.set_ready(true);
    for _ in 0..2 {
        assert_eq!(fixture.call("PUT", "/ops/drain/start").0, 200);
        assert!(fixture.operations.drain_requested());
        // From the answer on, before the loop has seen it.
        assert_eq!(fixture.call("GET", "/ops/readiness").0, 503);
    }
    for _ in 0..2 {
        assert_eq!(fixture.call("PUT", "/ops/drain/stop").0, 200);
        assert!(!fixture.operations.drain_requested());
        assert_eq!(fixture.call("GET", "/ops/readiness").0, 200);
    }
    fixture.operations.set_stopping();
    assert_eq!(fixture.call("GET", "/ops/readiness").0, 503);
    assert_eq!(fixture.call("PUT", "/ops/drain/start").0, 409);
    assert!(!fixture.operations.drain_requested());
}

#[test]
fn statistics_start_at_zero_and_count() {
    let fixture = endpoint();
    let zeros = "balancer.operations.alpha.fulfilled=0\nbalancer.operations.alpha.throttled=0\n\
        balancer.operations.alpha.faulted=0\nbalancer.operations.beta.fulfilled=0\n\
        balancer.operations.beta.throttled=0\nbalancer.operations.beta.faulted=0\nbalancer.relayed=0\n\
        balancer.open_requests=0\nbalancer.registry_entries=0\nbalancer.out_of_rotation=0\n";
    assert_eq!(fixture.call("GET", "/ops/stats"), (200, zeros.to_owned()));
    let statistics = fixture.operations.statistics();
    for (class, outcome) in [
        (0, Outcome::Fulfilled),
        (1, Outcome::Throttled),
        (1, Outcome::Throttled),
        (1, Outcome::Faulted),
        (2, Outcome::Faulted),
    ] {
        statistics.request_ended(class, outcome);
    }
    statistics.attempts_relayed(3);
    statistics.attempts_relayed(4);
    statistics.set_open_requests(9);
    statistics.set_servers(8, 2);
    let counted = "balancer.operations.alpha.fulfilled=1\nbalancer.operations.alpha.throttled=0\n\
        balancer.operations.alpha.faulted=0\nbalancer.operations.beta.fulfilled=0\n\
        balancer.operations.beta.throttled=2\nbalancer.operations.beta.faulted=1\nbalancer.relayed=7\n\
        balancer.open_requests=9\nbalancer.registry_entries=8\nbalancer.out_of_rotation=2\n";
    assert_eq!(fixture.call("GET", "/ops/stats"), (200, counted.to_owned()));
}

// Each byte-at-a-time caller sends one byte of a call, without a pause, for as long as the whole calls beside it take.
#[test]
fn whole_calls_are_answered_beside_silent_and_slow_callers() {
    let fixture = endpoint();
    let silent: Vec<TcpStream> = (0..100).map(|_| fixture.connect()).collect();
    let mut slow: Vec<TcpStream> = (0..100).map(|_| fixture.connect()).collect();
    let call = "GET /ops/stats HTTP/1.1\r\nX-Long: ".to_owned() + &"x".repeat(30);
    for byte in call.as_bytes() {
        for stream in &mut slow {
            // One that had to make room meets the end of its connection.
            let _ = stream.write_all(&[*byte]);
        }
        let begun = Instant::now();
        assert_eq!(fixture.call("GET", "/ops/readiness").0, 503);
        assert!(begun.elapsed() < ANSWER_TIME, "after {:?}", begun.elapsed());
    }
    drop(silent);
}

// More of them than there are places, all connected before the first calls.
#[test]
fn many_calls_at_once_are_all_answered() {
    for max_connections in [4, MAX_CONNECTIONS] {
        let address = endpoint_for(max_connections).address;
        let begun = Instant::now();
        let answers: Vec<(u16, Duration)> = thread::scope(|scope| {
            let calls = (0..100).map(|_| {
                scope.spawn(move || {
                    let (status, _) = call(address, "GET", "/ops/stats");
                    (status, begun.elapsed())
                })
            });
            let calls: Vec<_> = calls.collect();
            calls.into_iter().map(|call| call.join().expect("answered")).collect()
        });
        let late = answers.iter().filter(|(status, after)| *status != 200 || *after >= ANSWER_TIME);
        assert_eq!(late.count(), 0, "{answers:?}");
    }
}

#[test]
fn callers_that_connect_together_and_call_later_all_keep_their_place() {
    let fixture = endpoint();
    let mut callers: Vec<TcpStream> = (0..100).map(|_| fixture.connect()).collect();
    // All of them are accepted once a later one has its answer.
    assert_eq!(fixture.call("GET", "/ops/stats").0, 200);
    for stream in &mut callers {
        stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n").expect("written");
    }
    for stream in callers {
        assert_eq!(status(&read_to_end(stream)), 200);
    }
}

#[test]
fn the_caller_that_waits_longest_makes_room() {
    let fixture = endpoint_for(2);
    let begun = Instant::now();
    let first = fixture.connect();
    let mut second = fixture.connect();
    second.write_all(b"GET /ops/").expect("written");
    assert_eq!(fixture.call("GET", "/ops/stats").0, 200);
    assert!(begun.elapsed() >= EVICTION_GRACE, "the first had no time to call: {:?}", begun.elapsed());
    assert!(begun.elapsed() < ANSWER_TIME, "after {:?}", begun.elapsed());
    assert_eq!(read_to_end(first), "", "it has made room");
    second.write_all(b"stats HTTP/1.1\r\n\r\n").expect("written");
    assert_eq!(status(&read_to_end(second)), 200, "it had not to");
}

#[test]
fn a_caller_that_never_reads_its_answer_holds_nobody_up() {
    let fixture = endpoint_for(4);
    let unread: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut stream = fixture.connect();
            stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n").expect("written");
            stream
        })
        .collect();
    let begun = Instant::now();
    assert_eq!(fixture.call("GET", "/ops/stats").0, 200);
    assert!(begun.elapsed() < ANSWER_TIME, "after {:?}", begun.elapsed());
    drop(unread);
}

#[test]
fn an_address_in_use_is_refused_with_what_to_do() {
    let fixture = endpoint();
    let config = EndpointConfig { address: fixture.address, max_connections: 1 };
    let refused = Endpoint::start(config, fixture.operations.clone(), fixture.poll.waker());
    let fault = refused.expect_err("the address is taken").to_string();
    assert!(fault.contains(&fixture.address.to_string()) && fault.contains("BALANCER_CONTROL"), "{fault}");
}
