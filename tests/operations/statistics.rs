//! The statistics: they equal what clients and tile servers count for themselves once all is quiet.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::json;
use socket2::SockRef;

use crate::harness::{Client, Harness, request, server_entry, wait_until};
use crate::operated;

const CLASSES: [&str; 3] = ["search", "flag", "report"];

/// A part that waits at a tile server, with the connection that its answer goes to.
struct HeldPart {
    connection: TcpStream,
    id: String,
}

#[derive(Default)]
struct TileState {
    /// Parts that have come whole.
    parts: u64,
    held: Vec<HeldPart>,
}

/// A tile server that counts the parts it is asked for and does what the first word of each one's id says: `served`,
/// `skipped`, `broke`, `reset` (its connection), `held` (until it is released).
struct CountingTile {
    address: SocketAddr,
    state: Arc<Mutex<TileState>>,
}

impl CountingTile {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(TileState::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(connection, &state));
            }
        });
        CountingTile { address, state }
    }

    fn state(&self) -> MutexGuard<'_, TileState> {
        self.state.lock().expect("no thread has panicked")
    }

    fn parts(&self) -> u64 {
        self.state().parts
    }

    /// Serves all parts that are held.
    fn release(&self) {
        for mut part in std::mem::take(&mut self.state().held) {
            send(&mut part.connection, &format!("a{} served 1 -\nv", part.id));
        }
    }
}

fn serve(mut connection: TcpStream, state: &Mutex<TileState>) {
    while let Some(frame) = frame(&mut connection) {
        match frame.chars().next() {
            Some('p') => send(&mut connection, "pserved"),
            Some('q') => {
                let id = frame[1..].split(' ').next().expect("an id").to_owned();
                state.lock().expect("no thread has panicked").parts += 1;
                if !serve_part(&mut connection, id, state) {
                    return;
                }
            }
            _ => {}
        }
    }
}

/// Does what a part's id says. Gives whether the connection goes on.
fn serve_part(connection: &mut TcpStream, id: String, state: &Mutex<TileState>) -> bool {
    match id.split('-').next() {
        Some("held") => {
            let connection = connection.try_clone().expect("a descriptor");
            state.lock().expect("no thread has panicked").held.push(HeldPart { connection, id });
        }
        Some("reset") => {
            SockRef::from(&*connection).set_linger(Some(Duration::ZERO)).expect("set");
            return false;
        }
        Some("skipped") => send(connection, &format!("a{id} skipped 1 -\n")),
        Some("broke") => send(connection, &format!("a{id} broke 1 -\n")),
        _ => send(connection, &format!("a{id} served 1 -\nv")),
    }
    true
}

fn frame(connection: &mut TcpStream) -> Option<String> {
    let mut length = [0; 4];
    connection.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    connection.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8(bytes).expect("text"))
}

/// The broker may have ended the connection meanwhile.
fn send(connection: &mut TcpStream, frame: &str) {
    let mut bytes = u32::try_from(frame.len()).expect("short").to_be_bytes().to_vec();
    bytes.extend_from_slice(frame.as_bytes());
    let _ = connection.write_all(&bytes);
}

/// The figures of the control endpoint, by name.
type Figures = BTreeMap<String, u64>;

fn parse(text: &str) -> Figures {
    let figure = |line: &str| {
        let (name, value) = line.split_once('=').expect("a name and a value");
        (name.strip_prefix("balancer.").expect("the prefix").to_owned(), value.parse().expect("a number"))
    };
    text.lines().map(figure).collect()
}

/// Whether a figure counts, and so never falls.
fn is_counter(name: &str) -> bool {
    name.starts_with("operations.") || name == "relayed"
}

/// A broker under statistics: polls check that no counter falls, and clients' answers are counted.
struct Day {
    harness: Harness,
    servers: Vec<CountingTile>,
    last: Figures,
    /// What clients have been told, in the endpoint's words.
    told: Figures,
}

impl Day {
    fn start(name: &str) -> Self {
        let servers = vec![CountingTile::start(), CountingTile::start()];
        let mut harness = operated(name, 2);
        let lines = servers
            .iter()
            .zip(0..)
            .map(|(server, cell)| server_entry(&format!("s{cell}"), server.address, cell, "up"));
        harness.set_config("/known/endpoints", lines.collect());
        harness.start();
        let zeros = CLASSES.iter().flat_map(|class| {
            ["fulfilled", "throttled", "faulted"].map(|outcome| (format!("operations.{class}.{outcome}"), 0))
        });
        Day { harness, servers, last: Figures::new(), told: zeros.collect() }
    }

    fn poll(&mut self) -> Figures {
        let (status, text) = self.harness.control_request("GET", "/ops/stats");
        assert_eq!(status, 200);
        let figures = parse(&text);
        for (name, before) in self.last.iter().filter(|(name, _)| is_counter(name)) {
            assert!(figures[name] >= *before, "{name} has fallen from {before}: {text}");
        }
        self.last = figures.clone();
        figures
    }

    /// Waits until a figure has this value.
    fn until_figure(&mut self, name: &str, value: u64) {
        wait_until(&format!("{name} does not come to {value}"), || self.poll()[name] == value);
    }

    /// Counts the answer that a client gets.
    fn answered(&mut self, class: &str, client: &mut Client) -> (u16, String) {
        let (head, body) = client.read_response();
        let status: u16 = head.split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status");
        let outcome = match status {
            200 => "fulfilled",
            503 => "throttled",
            409 | 502 => "faulted",
            other => panic!("a client was told {other}: {head}"),
        };
        *self.told.get_mut(&format!("operations.{class}.{outcome}")).expect("a class there is") += 1;
        (status, body)
    }

    fn query(&mut self, class: &str, id: &str, shards: &[u32]) -> (u16, String) {
        let mut client = self.harness.client();
        client.send(&request(class, id, shards, 50_000));
        self.answered(class, &mut client)
    }

    /// Waits until the figures equal what clients and tile servers count.
    fn until_equal(&mut self) {
        let relayed: u64 = self.servers.iter().map(CountingTile::parts).sum();
        let expected: Figures =
            self.told.clone().into_iter().chain([("relayed".to_owned(), relayed)]).collect();
        wait_until(&format!("the figures do not come to {expected:?}"), || {
            let figures = self.poll();
            expected.iter().all(|(name, value)| figures.get(name) == Some(value))
                && figures["open_requests"] == 0
        });
    }
}

#[test]
fn all_figures_start_at_zero_and_each_class_is_there() {
    let mut day = Day::start("zeros");
    day.until_figure("registry_entries", 2);
    let figures = day.poll();
    assert_eq!(figures.len(), CLASSES.len() * 3 + 4);
    let others = figures.iter().filter(|(name, _)| *name != "registry_entries");
    assert!(others.into_iter().all(|(_, value)| *value == 0), "{figures:?}");
}

#[test]
fn the_figures_of_a_day_equal_what_clients_and_servers_count() {
    let mut day = Day::start("day");
    let mut statuses = Vec::new();
    for round in 0..5 {
        for class in CLASSES {
            statuses.push(day.query(class, &format!("served-{class}{round}"), &[0, 1]).0);
            statuses.push(day.query(class, &format!("skipped-{class}{round}"), &[0]).0);
            statuses.push(day.query(class, &format!("broke-{class}{round}"), &[1]).0);
            statuses.push(day.query(class, &format!("reset-{class}{round}"), &[0]).0);
            day.poll();
        }
    }
    day.until_equal();
    // Each outcome was among them: what they are for each part is the business of other tests.
    for expected in [200, 502, 503] {
        assert!(statuses.contains(&expected), "{statuses:?}");
    }
}

#[test]
fn a_partial_answer_counts_as_fulfilled() {
    let mut day = Day::start("partial");
    let mut client = day.harness.client();
    client.send(&request("report", "held-partial", &[0, 1], 1500));
    wait_until("a part does not come", || day.servers.iter().all(|server| server.state().held.len() == 1));
    day.servers[0].release();
    // The other part is held until there is no time left for it.
    let (status, body) = day.answered("report", &mut client);
    assert!(status == 200 && body.contains("\"full\":false"), "{status}: {body}");
    day.until_equal();
}

#[test]
fn open_requests_are_those_that_are_held_and_clients_that_leave_are_none() {
    let mut day = Day::start("open");
    let mut clients: Vec<Client> = (0..6).map(|_| day.harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_query("search", &format!("held-{number}"), 0);
    }
    day.until_figure("open_requests", 6);
    // It is owed an answer under that name already.
    assert_eq!(day.query("search", "held-0", &[0]).0, 409);
    // A client that leaves before its part is sent has none sent for it: all parts are out first.
    wait_until("a part does not come", || day.servers[0].parts() == 6);
    for client in clients.drain(4..) {
        client.close();
    }
    day.until_figure("open_requests", 4);
    day.servers[0].release();
    for client in &mut clients {
        assert_eq!(day.answered("search", client).0, 200);
    }
    // Those that have left were told nothing, and count nowhere but in what was relayed.
    day.until_equal();
}

#[test]
fn what_is_no_valid_query_is_not_counted() {
    let mut day = Day::start("invalid");
    let body = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
    for (bad, expected) in [
        (format!("POST /search HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 90m\r\n{}", body("no JSON")), 400),
        (format!("POST /search HTTP/1.1\r\nX-Timeout: 90m\r\n{}", body("{}")), 400),
        (format!("POST /none HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 90m\r\n{}", body("{}")), 404),
        ("GET /search HTTP/1.1\r\n\r\n".to_owned(), 405),
    ] {
        let mut client = day.harness.client();
        client.send(&bad);
        assert_eq!(client.read_status(), expected, "{bad}");
    }
    // The figures of a query behind them have come, so theirs would have.
    assert_eq!(day.query("flag", "served-behind", &[0]).0, 200);
    day.until_equal();
}

#[test]
fn servers_that_drain_are_listed_and_out_of_rotation() {
    let mut day = Day::start("servers");
    let mut call = day.harness.discovery.accept_call();
    call.start_watch();
    let lines = |state: &str| {
        let server = |cell: u32, state: &str| {
            server_entry(&format!("s{cell}"), day.servers[cell as usize].address, cell, state)
        };
        json!([server(0, "up"), server(1, state)])
    };
    let list = json!({"index": 2, "snapshot": true, "endpoints": lines("draining")});
    call.send_list(&list);
    day.until_figure("out_of_rotation", 1);
    assert_eq!(day.poll()["registry_entries"], 2);
}
