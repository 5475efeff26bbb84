//! Tests of the endpoint over loopback connections: its requests, and clients that are idle, slow or
//! disconnect early.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_control::{Endpoint, EndpointConfig, Operations, Outcome, Statistics};
use badgergauge_poll::Poll;

/// Upper bound for a response, whatever other clients do.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);
/// Timeout of a test's own waits, far longer than any correct behaviour takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_CONNECTIONS: usize = 128;
/// The endpoint's grace period before it evicts a connection that has no response yet.
const EVICTION_GRACE: Duration = Duration::from_millis(40);

/// A running endpoint, the state it shares with the broker's event loop, and that loop's poller.
struct Fixture {
    address: SocketAddr,
    operations: Arc<Operations>,
    poll: Poll,
}

fn endpoint_with(max_connections: usize) -> Fixture {
    let classes = ["alpha".to_owned(), "beta".to_owned()];
    let operations = Arc::new(Operations::new(Statistics::new(&classes)));
    let poll = Poll::new().expect("a poller");
    let config = EndpointConfig { address: SocketAddr::from(([127, 0, 0, 1], 0)), max_connections };
    let endpoint = Endpoint::start(config, operations.clone(), poll.waker()).expect("starts");
    Fixture { address: endpoint.address(), operations, poll }
}

fn endpoint() -> Fixture {
    endpoint_with(MAX_CONNECTIONS)
}

impl Fixture {
    fn connect(&self) -> TcpStream {
        connect(self.address)
    }

    fn exchange(&self, request: &str) -> String {
        exchange(self.address, request)
    }

    fn request(&self, method: &str, path: &str) -> (u16, String) {
        request(self.address, method, path)
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream.set_nodelay(true).expect("set");
    stream
}

/// Sends a request and reads until the connection is closed.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(request.as_bytes()).expect("written");
    read_to_end(stream)
}

/// Sends a request without a body; returns the response's status and body.
fn request(address: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let response = exchange(address, &format!("{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n"));
    let body = response.split_once("\r\n\r\n").expect("a head").1.to_owned();
    (status(&response), body)
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response and a clean close");
    response
}

fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1).and_then(|code| code.parse().ok());
    code.unwrap_or_else(|| panic!("no status: {response:?}"))
}

#[test]
fn each_path_accepts_only_its_method() {
    let fixture = endpoint();
    fixture.operations.set_ready(true);
    let endpoints = [
        ("/ops/readiness", "GET"),
        ("/ops/stats", "GET"),
        ("/ops/drain/start", "PUT"),
        ("/ops/drain/stop", "PUT"),
    ];
    for (path, allowed) in endpoints {
        assert_eq!(fixture.request(allowed, path).0, 200, "{allowed} {path}");
        assert_eq!(fixture.request(allowed, &format!("{path}?x=1")).0, 200, "{allowed} {path} with a query");
        fixture.operations.request_drain(false);
        for method in ["GET", "PUT", "POST", "DELETE", "HEAD", "PATCH", "OPTIONS"] {
            if method == allowed {
                continue;
            }
            let response = fixture.exchange(&format!("{method} {path} HTTP/1.1\r\n\r\n"));
            assert_eq!(status(&response), 405, "{method} {path}");
            assert!(response.contains(&format!("\r\nAllow: {allowed}\r\n")), "{response}");
        }
    }
    for path in ["/", "/ops", "/ops/", "/ops/stats/", "/ops/drain", "/ops/drain/start/now", "/up", "*"] {
        for method in ["GET", "PUT", "POST"] {
            assert_eq!(fixture.request(method, path).0, 404, "{method} {path}");
        }
    }
    assert!(!fixture.operations.drain_requested(), "a rejected request has requested a drain");
}

#[test]
fn invalid_requests_are_rejected() {
    let fixture = endpoint();
    let long = "x".repeat(20_000);
    let headers: String = (0..100).map(|number| format!("H{number}: v\r\n")).collect();
    for (request, expected) in [
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
        let response = fixture.exchange(&request);
        assert_eq!(status(&response), expected, "{:?}", &request[..request.len().min(80)]);
        assert!(response.contains("\r\nConnection: close\r\n"), "{response}");
    }
    assert!(!fixture.operations.drain_requested());
}

#[test]
fn requests_may_use_http_1_0_or_have_a_plain_or_chunked_body() {
    let fixture = endpoint();
    for request in [
        "PUT /ops/drain/start HTTP/1.0\r\n\r\n",
        "PUT /ops/drain/start HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        "PUT /ops/drain/start HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "\r\n\r\nPUT /ops/drain/start HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(status(&fixture.exchange(request)), 200, "{request:?}");
        assert!(fixture.operations.drain_requested(), "{request:?}");
        fixture.operations.request_drain(false);
    }
}

#[test]
fn a_request_with_a_truncated_body_has_no_effect() {
    let fixture = endpoint();
    let mut stream = fixture.connect();
    stream.write_all(b"PUT /ops/drain/start HTTP/1.1\r\nContent-Length: 5\r\n\r\nhell").expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    assert_eq!(status(&read_to_end(stream)), 400);
    assert!(!fixture.operations.drain_requested());
}

#[test]
fn only_the_first_request_on_a_connection_is_handled() {
    let fixture = endpoint();
    let both = "GET /ops/readiness HTTP/1.1\r\n\r\nPUT /ops/drain/start HTTP/1.1\r\n\r\n";
    let response = fixture.exchange(both);
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert_eq!(status(&response), 503);
    assert!(!fixture.operations.drain_requested());
}

// Guards against a response lost to a connection reset: more input follows the request than is read per
// readiness event, and closing a socket with unread input resets the connection.
#[test]
fn input_after_a_request_is_discarded() {
    let fixture = endpoint();
    let response = fixture.exchange(&format!("GET /ops/stats HTTP/1.1\r\n\r\n{}", "x".repeat(100_000)));
    assert_eq!(status(&response), 200);
}

#[test]
fn a_client_that_has_shut_down_its_write_side_gets_its_response() {
    let fixture = endpoint();
    let mut stream = fixture.connect();
    stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n").expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    assert_eq!(status(&read_to_end(stream)), 200);
}

// Guards against a drain request that is not noticed until the event loop's next unrelated event.
#[test]
fn a_drain_request_wakes_the_event_loop_even_if_its_client_has_shut_down_its_write_side() {
    let mut fixture = endpoint();
    let mut stream = fixture.connect();
    stream.write_all(b"PUT /ops/drain/start HTTP/1.1\r\n\r\n").expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    let started = Instant::now();
    fixture.poll.wait(Some(TEST_TIMEOUT), &mut Vec::new()).expect("waits");
    assert!(started.elapsed() < TEST_TIMEOUT, "the event loop was not woken");
    assert!(fixture.operations.drain_requested());
    assert_eq!(status(&read_to_end(stream)), 200);
}

#[test]
fn drain_requests_are_idempotent_and_refused_during_shutdown() {
    let fixture = endpoint();
    fixture.operations.set_ready(true);
    for _ in 0..2 {
        assert_eq!(fixture.request("PUT", "/ops/drain/start").0, 200);
        assert!(fixture.operations.drain_requested());
        // Effective from the response on, before the event loop has seen the request.
        assert_eq!(fixture.request("GET", "/ops/readiness").0, 503);
    }
    for _ in 0..2 {
        assert_eq!(fixture.request("PUT", "/ops/drain/stop").0, 200);
        assert!(!fixture.operations.drain_requested());
        assert_eq!(fixture.request("GET", "/ops/readiness").0, 200);
    }
    fixture.operations.set_stopping();
    assert_eq!(fixture.request("GET", "/ops/readiness").0, 503);
    assert_eq!(fixture.request("PUT", "/ops/drain/start").0, 409);
    assert!(!fixture.operations.drain_requested());
}

#[test]
fn statistics_start_at_zero_and_count() {
    let fixture = endpoint();
    let zeros = "balancer.operations.alpha.fulfilled=0\nbalancer.operations.alpha.throttled=0\n\
        balancer.operations.alpha.faulted=0\nbalancer.operations.beta.fulfilled=0\n\
        balancer.operations.beta.throttled=0\nbalancer.operations.beta.faulted=0\nbalancer.relayed=0\n\
        balancer.aborted_connections=0\nbalancer.parts_lost_in_aborts=0\n\
        balancer.malformed_responses=0\nbalancer.unconfirmed_answers=0\n\
        balancer.open_requests=0\nbalancer.registry_entries=0\nbalancer.out_of_rotation=0\n";
    assert_eq!(fixture.request("GET", "/ops/stats"), (200, zeros.to_owned()));
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
    statistics.connections_aborted(1, 5);
    statistics.connections_aborted(2, 0);
    statistics.responses_malformed(1, 0);
    statistics.responses_malformed(2, 1);
    statistics.set_open_requests(9);
    statistics.set_servers(8, 2);
    let expected = "balancer.operations.alpha.fulfilled=1\nbalancer.operations.alpha.throttled=0\n\
        balancer.operations.alpha.faulted=0\nbalancer.operations.beta.fulfilled=0\n\
        balancer.operations.beta.throttled=2\nbalancer.operations.beta.faulted=1\nbalancer.relayed=7\n\
        balancer.aborted_connections=3\nbalancer.parts_lost_in_aborts=5\n\
        balancer.malformed_responses=3\nbalancer.unconfirmed_answers=1\n\
        balancer.open_requests=9\nbalancer.registry_entries=8\nbalancer.out_of_rotation=2\n";
    assert_eq!(fixture.request("GET", "/ops/stats"), (200, expected.to_owned()));
}

// Guards against idle and slow clients that occupy all connections. The slow clients send their requests one
// byte at a time, without pauses, for as long as the test makes complete requests.
#[test]
fn complete_requests_are_served_beside_idle_and_slow_clients() {
    let fixture = endpoint();
    let idle: Vec<TcpStream> = (0..100).map(|_| fixture.connect()).collect();
    let mut slow: Vec<TcpStream> = (0..100).map(|_| fixture.connect()).collect();
    let request = "GET /ops/stats HTTP/1.1\r\nX-Long: ".to_owned() + &"x".repeat(30);
    for byte in request.as_bytes() {
        for stream in &mut slow {
            // Fails on a connection that was evicted.
            let _ = stream.write_all(&[*byte]);
        }
        let started = Instant::now();
        assert_eq!(fixture.request("GET", "/ops/readiness").0, 503);
        assert!(started.elapsed() < MAX_RESPONSE_TIME, "after {:?}", started.elapsed());
    }
    drop(idle);
}

// More simultaneous clients than connections: with a limit of 4, most of them have to wait in the listen
// backlog.
#[test]
fn simultaneous_requests_are_all_served() {
    for max_connections in [4, MAX_CONNECTIONS] {
        let address = endpoint_with(max_connections).address;
        let started = Instant::now();
        let responses: Vec<(u16, Duration)> = thread::scope(|scope| {
            let clients = (0..100).map(|_| {
                scope.spawn(move || {
                    let (status, _) = request(address, "GET", "/ops/stats");
                    (status, started.elapsed())
                })
            });
            let clients: Vec<_> = clients.collect();
            clients.into_iter().map(|client| client.join().expect("served")).collect()
        });
        let failures =
            responses.iter().filter(|(status, after)| *status != 200 || *after >= MAX_RESPONSE_TIME);
        assert_eq!(failures.count(), 0, "{responses:?}");
    }
}

#[test]
fn simultaneous_connections_that_send_later_are_not_evicted() {
    let fixture = endpoint();
    let mut clients: Vec<TcpStream> = (0..100).map(|_| fixture.connect()).collect();
    // A later client's response shows that all of them are accepted.
    assert_eq!(fixture.request("GET", "/ops/stats").0, 200);
    for stream in &mut clients {
        stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n").expect("written");
    }
    for stream in clients {
        assert_eq!(status(&read_to_end(stream)), 200);
    }
}

#[test]
fn the_connection_that_has_waited_longest_is_evicted() {
    let fixture = endpoint_with(2);
    let started = Instant::now();
    let first = fixture.connect();
    let mut second = fixture.connect();
    second.write_all(b"GET /ops/").expect("written");
    assert_eq!(fixture.request("GET", "/ops/stats").0, 200);
    assert!(started.elapsed() >= EVICTION_GRACE, "evicted before the grace period: {:?}", started.elapsed());
    assert!(started.elapsed() < MAX_RESPONSE_TIME, "after {:?}", started.elapsed());
    assert_eq!(read_to_end(first), "", "the first connection was not evicted");
    second.write_all(b"stats HTTP/1.1\r\n\r\n").expect("written");
    assert_eq!(status(&read_to_end(second)), 200, "the second connection was evicted");
}

#[test]
fn clients_that_never_read_their_responses_do_not_delay_others() {
    let fixture = endpoint_with(4);
    let unread: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut stream = fixture.connect();
            stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n").expect("written");
            stream
        })
        .collect();
    let started = Instant::now();
    assert_eq!(fixture.request("GET", "/ops/stats").0, 200);
    assert!(started.elapsed() < MAX_RESPONSE_TIME, "after {:?}", started.elapsed());
    drop(unread);
}

#[test]
fn an_address_in_use_gives_an_error_that_names_the_setting() {
    let fixture = endpoint();
    let config = EndpointConfig { address: fixture.address, max_connections: 1 };
    let result = Endpoint::start(config, fixture.operations.clone(), fixture.poll.waker());
    let error = result.expect_err("the address is in use").to_string();
    assert!(error.contains(&fixture.address.to_string()) && error.contains("BALANCER_CONTROL"), "{error}");
}
