//! A client that asks again as soon as it is answered.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use badgergauge_standin::part_value;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// Parts of a query.
const PARTS: usize = 5;
/// Shards of the recorded exchanges' configuration.
const SHARDS: usize = 40;
const STATEMENT: &str = "c41e77d0";
/// Longest text of a reason that is told; the rest of an answer says no more.
const LONGEST_REASON: usize = 120;

/// What became of queries.
#[derive(Default)]
pub struct Answers {
    /// How long each took that was answered whole, in milliseconds.
    pub times: Vec<f64>,
    /// The others, by status and reason.
    pub bad: BTreeMap<String, usize>,
}

impl Answers {
    /// Takes another client's in.
    pub fn add(&mut self, other: Answers) {
        self.times.extend(other.times);
        for (what, count) in other.bad {
            *self.bad.entry(what).or_default() += count;
        }
    }
}

/// An answer off the wire.
struct Answer {
    status: u16,
    body: String,
}

/// A client with its connection, which it opens anew where it ends.
pub struct Client {
    address: String,
    stream: TcpStream,
    number: usize,
    asked: usize,
    random: ChaCha8Rng,
}

impl Client {
    /// Connects to a broker.
    pub fn connect(address: &str, number: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number as u64);
        Client { address: address.to_owned(), stream: open(address), number, asked: 0, random }
    }

    /// Asks so many queries, one after another.
    pub fn ask(&mut self, queries: usize) -> Answers {
        let mut answers = Answers::default();
        for _ in 0..queries {
            let shards = sample(&mut self.random, SHARDS, PARTS).into_vec();
            let request = self.request(&shards);
            let start = Instant::now();
            let answer = self.exchange(&request);
            let took = start.elapsed();
            match answer.map_err(|error| format!("connection: {error}")).and_then(|a| check(&a, &shards)) {
                Ok(()) => answers.times.push(took.as_secs_f64() * 1e3),
                Err(why) => *answers.bad.entry(why).or_default() += 1,
            }
        }
        answers
    }

    /// A query over these shards, on the wire.
    fn request(&mut self, shards: &[usize]) -> String {
        let tablets: Vec<Value> =
            shards.iter().map(|shard| json!({"tablet": shard, "fraction": 1.0 / PARTS as f64})).collect();
        let body = json!({"tablets": tablets, "statement": STATEMENT}).to_string();
        self.asked += 1;
        format!(
            "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: {:04x}{:012x}\r\nX-Route-Key: {:016x}\r\n\
             X-Timeout: 5000m\r\nContent-Length: {}\r\n\r\n{body}",
            self.number,
            self.asked,
            self.random.random::<u64>(),
            body.len()
        )
    }

    fn exchange(&mut self, request: &str) -> io::Result<Answer> {
        let answer = self.stream.write_all(request.as_bytes()).and_then(|()| self.receive());
        if answer.is_err() {
            self.stream = open(&self.address);
        }
        answer
    }

    /// Reads one answer, whose body has a length.
    fn receive(&mut self) -> io::Result<Answer> {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 8192]);
        loop {
            match self.stream.read(&mut buffer)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => bytes.extend_from_slice(&buffer[..read]),
            }
            if let Some((answer, stays)) = parse(&bytes)? {
                if !stays {
                    self.stream = open(&self.address);
                }
                return Ok(answer);
            }
        }
    }
}

fn open(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the broker listens");
    stream.set_nodelay(true).expect("set");
    stream
}

/// The answer that some bytes hold, if it is whole, and whether its connection stays open.
fn parse(bytes: &[u8]) -> io::Result<Option<(Answer, bool)>> {
    let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let text = std::str::from_utf8(bytes).map_err(|_| invalid("no text"))?;
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Ok(None) };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("no status"))?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    };
    let length = header("Content-Length").and_then(|length| length.parse::<usize>().ok());
    let length = length.ok_or_else(|| invalid("no length"))?;
    if body.len() < length {
        return Ok(None);
    }
    let stays = header("Connection").is_none_or(|said| !said.eq_ignore_ascii_case("close"));
    Ok(Some((Answer { status, body: body[..length].to_owned() }, stays)))
}

/// Whether an answer holds the right value of each shard.
///
/// # Errors
///
/// Says what it was instead: status and reason.
fn check(answer: &Answer, shards: &[usize]) -> Result<(), String> {
    let told: String = answer.body.trim().chars().take(LONGEST_REASON).collect();
    if answer.status != 200 {
        return Err(format!("{} {told}", answer.status));
    }
    let body: Value = serde_json::from_str(&answer.body).map_err(|_| format!("200, no JSON: {told}"))?;
    if body["full"] != true {
        let pieces = body["pieces"].as_array().map_or(0, Vec::len);
        return Err(format!("200, not whole: {pieces} of {PARTS} pieces"));
    }
    let is_right = |shard: &usize| {
        let expected = part_value(*shard as u32, STATEMENT.as_bytes());
        let mut pieces = body["pieces"].as_array().into_iter().flatten();
        pieces.any(|piece| piece["tablet"] == *shard && piece["cell"] == expected.as_str())
    };
    match shards.iter().all(is_right) {
        true => Ok(()),
        false => Err("200, said to be whole, with a wrong or missing piece".to_owned()),
    }
}
