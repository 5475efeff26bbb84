//! A closed-loop client: it sends the next query as soon as it has a response.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use badgergauge_standin::part_value;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// Number of parts of a query.
const PARTS_PER_QUERY: usize = 5;
/// Number of shards in the configuration of the recorded exchanges.
const SHARDS: usize = 40;
const STATEMENT: &str = "c41e77d0";
/// Length in characters to which a response body is cut in a failure's reason.
const MAX_REASON_CHARS: usize = 120;

/// The outcomes of queries.
#[derive(Default)]
pub struct Results {
    /// Latency of each query with a complete answer, in milliseconds.
    pub latencies_ms: Vec<f64>,
    /// Number of the other queries, by status and reason.
    pub failures: BTreeMap<String, usize>,
}

impl Results {
    /// Adds the results of another client.
    pub fn merge(&mut self, other: Results) {
        self.latencies_ms.extend(other.latencies_ms);
        for (reason, count) in other.failures {
            *self.failures.entry(reason).or_default() += count;
        }
    }
}

/// An HTTP response.
struct Response {
    status: u16,
    body: String,
}

/// A client with its connection, which it reopens when it is closed.
pub struct Client {
    address: String,
    stream: TcpStream,
    number: usize,
    sent: usize,
    random: ChaCha8Rng,
}

impl Client {
    /// Connects to a broker. `number` identifies the client in request ids and selects its random stream.
    pub fn connect(address: &str, number: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number as u64);
        Client { address: address.to_owned(), stream: connect(address), number, sent: 0, random }
    }

    /// Sends queries one after another and returns their outcomes.
    pub fn run_queries(&mut self, queries: usize) -> Results {
        let mut results = Results::default();
        for _ in 0..queries {
            let shards = sample(&mut self.random, SHARDS, PARTS_PER_QUERY).into_vec();
            let request = self.request(&shards);
            let start = Instant::now();
            let response = self.exchange(&request);
            let latency = start.elapsed();
            match response.map_err(|error| format!("connection: {error}")).and_then(|r| check(&r, &shards)) {
                Ok(()) => results.latencies_ms.push(latency.as_secs_f64() * 1e3),
                Err(reason) => *results.failures.entry(reason).or_default() += 1,
            }
        }
        results
    }

    /// Returns the HTTP request of a query over these shards.
    fn request(&mut self, shards: &[usize]) -> String {
        let tablets: Vec<Value> = shards
            .iter()
            .map(|shard| json!({"tablet": shard, "fraction": 1.0 / PARTS_PER_QUERY as f64}))
            .collect();
        let body = json!({"tablets": tablets, "statement": STATEMENT}).to_string();
        self.sent += 1;
        format!(
            "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: {:04x}{:012x}\r\nX-Route-Key: {:016x}\r\n\
             X-Timeout: 5000m\r\nContent-Length: {}\r\n\r\n{body}",
            self.number,
            self.sent,
            self.random.random::<u64>(),
            body.len()
        )
    }

    /// Sends a request and reads its response; reconnects on an error.
    fn exchange(&mut self, request: &str) -> io::Result<Response> {
        let response = self.stream.write_all(request.as_bytes()).and_then(|()| self.receive());
        if response.is_err() {
            self.stream = connect(&self.address);
        }
        response
    }

    /// Reads one response with a `Content-Length`; reconnects if the broker closes the connection after it.
    fn receive(&mut self) -> io::Result<Response> {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 8192]);
        loop {
            match self.stream.read(&mut buffer)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => bytes.extend_from_slice(&buffer[..read]),
            }
            if let Some((response, keep_alive)) = parse(&bytes)? {
                if !keep_alive {
                    self.stream = connect(&self.address);
                }
                return Ok(response);
            }
        }
    }
}

fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the broker listens");
    stream.set_nodelay(true).expect("set");
    stream
}

/// Parses a response. Returns `None` while it is incomplete, otherwise the response and whether the
/// connection stays open.
///
/// # Errors
///
/// Returns `InvalidData` if the bytes are not UTF-8 text or have no status or length.
fn parse(bytes: &[u8]) -> io::Result<Option<(Response, bool)>> {
    let invalid = |message: &str| io::Error::new(io::ErrorKind::InvalidData, message.to_owned());
    let text = std::str::from_utf8(bytes).map_err(|_| invalid("response is not UTF-8 text"))?;
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Ok(None) };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("response without a status"))?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    };
    let length = header("Content-Length").and_then(|length| length.parse::<usize>().ok());
    let length = length.ok_or_else(|| invalid("response without a Content-Length"))?;
    if body.len() < length {
        return Ok(None);
    }
    let keep_alive = header("Connection").is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    Ok(Some((Response { status, body: body[..length].to_owned() }, keep_alive)))
}

/// Checks that a response is complete and has the expected value of each shard.
///
/// # Errors
///
/// Returns the status and the reason why the response does not count as a complete answer.
fn check(response: &Response, shards: &[usize]) -> Result<(), String> {
    let text: String = response.body.trim().chars().take(MAX_REASON_CHARS).collect();
    if response.status != 200 {
        return Err(format!("{} {text}", response.status));
    }
    let body: Value = serde_json::from_str(&response.body).map_err(|_| format!("200, not JSON: {text}"))?;
    if body["full"] != true {
        let pieces = body["pieces"].as_array().map_or(0, Vec::len);
        return Err(format!("200, incomplete: {pieces} of {PARTS_PER_QUERY} pieces"));
    }
    let has_expected_value = |shard: &usize| {
        let expected = part_value(*shard as u32, STATEMENT.as_bytes());
        let mut pieces = body["pieces"].as_array().into_iter().flatten();
        pieces.any(|piece| piece["tablet"] == *shard && piece["cell"] == expected.as_str())
    };
    match shards.iter().all(has_expected_value) {
        true => Ok(()),
        false => Err("200, marked complete, with a wrong or missing piece".to_owned()),
    }
}
