//! The statistics: once no query is open they equal what clients and tile servers have counted.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::json;
use socket2::SockRef;

use crate::controlled_broker;
use crate::harness::{Client, Harness, request, server_entry, wait_until, wait_until_delivered};

const CLASSES: [&str; 3] = ["search", "flag", "report"];

/// A part that a tile server has not answered yet, with the connection for its answer.
struct HeldPart {
    connection: TcpStream,
    id: String,
}

#[derive(Default)]
struct ServerState {
    /// Number of parts received.
    parts: u64,
    held: Vec<HeldPart>,
}

/// A tile server that counts the parts it receives and handles each by the prefix of its id: `served`,
/// `skipped`, `broke`, `reset` (resets the connection), `held` (answers after a release).
struct CountingServer {
    address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

impl CountingServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(ServerState::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve_connection(connection, &state));
            }
        });
        CountingServer { address, state }
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("lock not poisoned")
    }

    fn parts(&self) -> u64 {
        self.state().parts
    }

    /// Answers all held parts.
    fn release(&self) {
        for mut part in std::mem::take(&mut self.state().held) {
            send_frame(&mut part.connection, &format!("a{} served 1 -\nv", part.id));
        }
    }
}

fn serve_connection(mut connection: TcpStream, state: &Mutex<ServerState>) {
    while let Some(frame) = read_frame(&mut connection) {
        match frame.chars().next() {
            Some('p') => send_frame(&mut connection, "pserved"),
            Some('q') => {
                let id = frame[1..].split(' ').next().expect("an id").to_owned();
                state.lock().expect("lock not poisoned").parts += 1;
                if !serve_part(&mut connection, id, state) {
                    return;
                }
            }
            _ => {}
        }
    }
}

/// Handles a part by the prefix of its id. Returns whether the connection stays open.
fn serve_part(connection: &mut TcpStream, id: String, state: &Mutex<ServerState>) -> bool {
    match id.split('-').next() {
        Some("held") => {
            let connection = connection.try_clone().expect("a descriptor");
            state.lock().expect("lock not poisoned").held.push(HeldPart { connection, id });
        }
        Some("reset") => {
            SockRef::from(&*connection).set_linger(Some(Duration::ZERO)).expect("set");
            return false;
        }
        Some("skipped") => send_frame(connection, &format!("a{id} skipped 1 -\n")),
        Some("broke") => send_frame(connection, &format!("a{id} broke 1 -\n")),
        _ => send_frame(connection, &format!("a{id} served 1 -\nv")),
    }
    true
}

fn read_frame(connection: &mut TcpStream) -> Option<String> {
    let mut length = [0; 4];
    connection.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    connection.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8(bytes).expect("text"))
}

/// Ignores errors, as the broker may have closed the connection.
fn send_frame(connection: &mut TcpStream, frame: &str) {
    let mut bytes = u32::try_from(frame.len()).expect("short").to_be_bytes().to_vec();
    bytes.extend_from_slice(frame.as_bytes());
    let _ = connection.write_all(&bytes);
}

/// The statistics of the control endpoint by name, without the common prefix.
type Statistics = BTreeMap<String, u64>;

fn parse(text: &str) -> Statistics {
    let parse_line = |line: &str| {
        let (name, value) = line.split_once('=').expect("a name and a value");
        (name.strip_prefix("balancer.").expect("the prefix").to_owned(), value.parse().expect("a number"))
    };
    text.lines().map(parse_line).collect()
}

/// Whether this is a counter, which never decreases.
fn is_counter(name: &str) -> bool {
    name.starts_with("operations.")
        || [
            "relayed",
            "aborted_connections",
            "parts_lost_in_aborts",
            "malformed_responses",
            "unconfirmed_answers",
        ]
        .contains(&name)
}

/// A broker with statistics. Each poll checks that no counter decreases, and the responses to clients are
/// counted.
struct StatisticsTest {
    harness: Harness,
    servers: Vec<CountingServer>,
    last: Statistics,
    /// The responses to clients, under the names of the statistics.
    responses: Statistics,
}

impl StatisticsTest {
    fn start(name: &str) -> Self {
        let servers = vec![CountingServer::start(), CountingServer::start()];
        let mut harness = controlled_broker(name, 2);
        let entries = servers
            .iter()
            .zip(0..)
            .map(|(server, cell)| server_entry(&format!("s{cell}"), server.address, cell, "up"));
        harness.set_config("/known/endpoints", entries.collect());
        harness.start();
        let zeros = CLASSES.iter().flat_map(|class| {
            ["fulfilled", "throttled", "faulted"].map(|outcome| (format!("operations.{class}.{outcome}"), 0))
        });
        StatisticsTest { harness, servers, last: Statistics::new(), responses: zeros.collect() }
    }

    fn poll(&mut self) -> Statistics {
        let (status, text) = self.harness.control_request("GET", "/ops/stats");
        assert_eq!(status, 200);
        let statistics = parse(&text);
        for (name, before) in self.last.iter().filter(|(name, _)| is_counter(name)) {
            assert!(statistics[name] >= *before, "{name} decreased from {before}: {text}");
        }
        self.last = statistics.clone();
        statistics
    }

    /// Waits until a statistic has this value.
    fn wait_for_value(&mut self, name: &str, value: u64) {
        wait_until(&format!("{name} does not reach {value}"), || self.poll()[name] == value);
    }

    /// Reads a client's next response and counts it.
    fn read_response(&mut self, class: &str, client: &mut Client) -> (u16, String) {
        let (head, body) = client.read_response();
        let status: u16 = head.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status");
        let outcome = match status {
            200 => "fulfilled",
            503 => "throttled",
            409 | 502 => "faulted",
            other => panic!("unexpected status {other}: {head}"),
        };
        *self.responses.get_mut(&format!("operations.{class}.{outcome}")).expect("a known class") += 1;
        (status, body)
    }

    fn query(&mut self, class: &str, id: &str, shards: &[u32]) -> (u16, String) {
        let mut client = self.harness.client();
        client.send(&request(class, id, shards, 50_000));
        self.read_response(class, &mut client)
    }

    /// Waits until the statistics equal the counts of clients and tile servers.
    fn wait_until_equal(&mut self) {
        let relayed: u64 = self.servers.iter().map(CountingServer::parts).sum();
        let expected: Statistics =
            self.responses.clone().into_iter().chain([("relayed".to_owned(), relayed)]).collect();
        wait_until(&format!("the statistics do not reach {expected:?}"), || {
            let statistics = self.poll();
            expected.iter().all(|(name, value)| statistics.get(name) == Some(value))
                && statistics["open_requests"] == 0
        });
    }
}

#[test]
fn all_statistics_start_at_zero_and_cover_each_class() {
    let mut test = StatisticsTest::start("zeros");
    test.wait_for_value("registry_entries", 2);
    let statistics = test.poll();
    assert_eq!(statistics.len(), CLASSES.len() * 3 + 8);
    let others = statistics.iter().filter(|(name, _)| *name != "registry_entries");
    assert!(others.into_iter().all(|(_, value)| *value == 0), "{statistics:?}");
}

#[test]
fn statistics_equal_what_clients_and_servers_count() {
    let mut test = StatisticsTest::start("all-outcomes");
    let mut statuses = Vec::new();
    for round in 0..5 {
        for class in CLASSES {
            statuses.push(test.query(class, &format!("served-{class}{round}"), &[0, 1]).0);
            statuses.push(test.query(class, &format!("skipped-{class}{round}"), &[0]).0);
            statuses.push(test.query(class, &format!("broke-{class}{round}"), &[1]).0);
            statuses.push(test.query(class, &format!("reset-{class}{round}"), &[0]).0);
            test.poll();
        }
    }
    test.wait_until_equal();
    // Each outcome occurred. Other tests check which outcome each part has.
    for expected in [200, 502, 503] {
        assert!(statuses.contains(&expected), "{statuses:?}");
    }
}

#[test]
fn a_partial_answer_counts_as_fulfilled() {
    let mut test = StatisticsTest::start("partial");
    let mut client = test.harness.client();
    client.send(&request("report", "held-partial", &[0, 1], 1500));
    wait_until("a part does not arrive", || test.servers.iter().all(|server| server.state().held.len() == 1));
    test.servers[0].release();
    // The other part stays held until the query runs out of time.
    let (status, body) = test.read_response("report", &mut client);
    assert!(status == 200 && body.contains("\"full\":false"), "{status}: {body}");
    test.wait_until_equal();
}

#[test]
fn open_requests_exclude_clients_that_disconnect() {
    let mut test = StatisticsTest::start("open");
    let mut clients: Vec<Client> = (0..6).map(|_| test.harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query("search", &format!("held-{number}"), 0);
    }
    test.wait_for_value("open_requests", 6);
    // A query with this id is already open.
    assert_eq!(test.query("search", "held-0", &[0]).0, 409);
    // If a client disconnected before its part was sent, the part would not be sent. Waits until all parts
    // are sent.
    wait_until("a part does not arrive", || test.servers[0].parts() == 6);
    for client in clients.drain(4..) {
        client.close();
    }
    test.wait_for_value("open_requests", 4);
    test.servers[0].release();
    for client in &mut clients {
        assert_eq!(test.read_response("search", client).0, 200);
    }
    // Clients that disconnected got no response. They are counted only in `relayed`.
    test.wait_until_equal();
}

#[test]
fn invalid_queries_are_not_counted() {
    let mut test = StatisticsTest::start("invalid");
    let body = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
    for (bad, expected) in [
        (format!("POST /search HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 90m\r\n{}", body("no JSON")), 400),
        (format!("POST /search HTTP/1.1\r\nX-Timeout: 90m\r\n{}", body("{}")), 400),
        (format!("POST /none HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 90m\r\n{}", body("{}")), 404),
        ("GET /search HTTP/1.1\r\n\r\n".to_owned(), 405),
    ] {
        let mut client = test.harness.client();
        client.send(&bad);
        assert_eq!(client.read_status(), expected, "{bad}");
    }
    // The statistics of a later query have arrived, so those of the invalid ones would have too.
    assert_eq!(test.query("flag", "served-behind", &[0]).0, 200);
    test.wait_until_equal();
}

#[test]
fn draining_servers_are_listed_and_out_of_rotation() {
    let mut test = StatisticsTest::start("servers");
    let mut call = test.harness.discovery.accept_call();
    call.start_watch();
    let entries = |status: &str| {
        let entry = |cell: u32, status: &str| {
            server_entry(&format!("s{cell}"), test.servers[cell as usize].address, cell, status)
        };
        json!([entry(0, "up"), entry(1, status)])
    };
    let list = json!({"index": 2, "snapshot": true, "endpoints": entries("draining")});
    call.send_list(&list);
    test.wait_for_value("out_of_rotation", 1);
    assert_eq!(test.poll()["registry_entries"], 2);
}

// Two unsafe parts are in flight on one connection to a silent server. One client disconnects, so the
// connection is aborted; the other client is told that its part may have run, and the part is not sent again.
#[test]
fn an_unsafe_part_on_an_aborted_connection_is_reported_as_one_that_may_have_run() {
    let mut harness = controlled_broker("aborts", 1);
    harness.set_config("/settings/profiles/0/effect", json!("unsafe"));
    harness.set_config("/settings/profiles/0/aimNs", json!(1_200_000_000_u64));
    harness.set_config("/settings/limits/mayProbe", json!(false));
    harness.set_config("/settings/limits/maxAttempts", json!(4));
    harness.start();
    let (mut leaving, mut staying) = (harness.client(), harness.client());
    harness.wait_until_input_processed();
    harness.suspend();
    leaving.send_query("search", "leaves", 0);
    staying.send_query("search", "stays", 0);
    wait_until_delivered(&leaving.stream);
    wait_until_delivered(&staying.stream);
    harness.resume();
    let mut server = harness.servers[0].accept();
    let mut parts = [server.next_part(), server.next_part()];
    parts.sort();
    assert_eq!(parts, ["leaves.0", "stays.0"]);
    leaving.close();
    assert_eq!(staying.read_status(), 502);
    assert!(harness.servers[0].try_accept().is_none(), "the part was not sent again");
    let (_, text) = harness.control_request("GET", "/ops/stats");
    let statistics = parse(&text);
    assert_eq!((statistics["aborted_connections"], statistics["parts_lost_in_aborts"]), (1, 1), "{text}");
}
