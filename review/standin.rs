//! Stand-ins for the cases of the review: tile servers, a discovery agent, clients, and the platform that starts
//! and ends the broker. One program, built with `rustc` alone; each case is a module with its own check.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "1/case.rs"]
mod crowd;
#[path = "3/case.rs"]
mod inventory;
#[path = "2/case.rs"]
mod spoilt;

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The record of a run: what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn add(&self, line: &str) {
        let text = format!("{:10.1} {line}\n", self.now_ms());
        let _ = lock(&self.file).write_all(text.as_bytes());
    }
}

/// The value of a part: every holder of a shard gives the same (FNV-1a over the shard and the text).
pub fn part_value(shard: u32, text: &str) -> String {
    let start = 0xcbf2_9ce4_8422_2325_u64 ^ u64::from(shard);
    let hash = text.bytes().fold(start, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    format!("{hash:016x}")
}

/// Whether the tile servers of a cell hold a shard.
pub fn holds(cell: u32, shard: u32) -> bool {
    (0..WIDTH).any(|j| (shard + j) % CELLS == cell)
}

/// How a tile server treats the parts that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Sound,
    /// Answers with a frame whose stated length ends in the middle of the value. The rest of the value is in
    /// the same write. Nothing more is written on that connection, which stays open.
    ShortLength,
}

/// One part as a tile server got it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at_ms: f64,
    pub server: String,
    pub id: String,
    pub shard: u32,
    pub holds: bool,
}

/// A tile server in service.
pub struct Tile {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub manner: Arc<Mutex<Manner>>,
}

/// What all tile servers share.
#[derive(Clone)]
pub struct Tiles {
    pub record: Record,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    /// Time that a part takes.
    pub work: Duration,
}

impl Tiles {
    pub fn new(record: &Record, work: Duration) -> Self {
        Tiles { record: record.clone(), sent: Arc::default(), work }
    }

    pub fn start(&self, name: &str, zone: &str, cell: u32) -> Result<Tile> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let manner = Arc::new(Mutex::new(Manner::Sound));
        let tile = Tile {
            name: name.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            cell,
            manner: manner.clone(),
        };
        let (all, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (all, name, manner) = (all.clone(), name.clone(), manner.clone());
                thread::spawn(move || drop(all.serve(&name, cell, stream, &manner)));
            }
        });
        Ok(tile)
    }

    fn serve(&self, name: &str, cell: u32, mut stream: TcpStream, manner: &Mutex<Manner>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let silent = Arc::new(AtomicBool::new(false));
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let length = u32::from_be_bytes(length) as usize;
            if length == 0 || length > 1 << 20 {
                return Err(ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            stream.read_exact(&mut frame)?;
            match frame[0] {
                b'q' => self.call(name, cell, &frame[1..], &writer, &silent, *lock(manner))?,
                b'p' => write_frame(&writer, &silent, b"pserved")?,
                b'l' => write_frame(&writer, &silent, b"l-")?,
                b'c' => self.record.add(&format!("{name} reads c {}", String::from_utf8_lossy(&frame[1..]))),
                _ => return write_frame(&writer, &silent, b"eno such frame"),
            }
        }
    }

    fn call(
        &self,
        name: &str,
        cell: u32,
        mut rest: &[u8],
        writer: &Arc<Mutex<TcpStream>>,
        silent: &Arc<AtomicBool>,
        manner: Manner,
    ) -> io::Result<()> {
        let bad = || io::Error::from(ErrorKind::InvalidData);
        while !rest.is_empty() {
            let end = rest.iter().position(|b| *b == b'\n').ok_or_else(bad)?;
            let line = std::str::from_utf8(&rest[..end]).map_err(|_| bad())?.to_owned();
            let fields: Vec<&str> = line.split(' ').collect();
            let [id, shard, options, length] = fields[..] else { return Err(bad()) };
            let shard: u32 = shard.parse().map_err(|_| bad())?;
            let length: usize = length.parse().map_err(|_| bad())?;
            let text = rest.get(end + 1..end + 1 + length).ok_or_else(bad)?;
            let text = String::from_utf8_lossy(text).into_owned();
            rest = &rest[end + 1 + length..];
            let holds = holds(cell, shard);
            let at_ms = self.record.now_ms();
            lock(&self.sent).push(Sent { at_ms, server: name.to_owned(), id: id.to_owned(), shard, holds });
            let note = if holds { "" } else { ", WHICH IT DOES NOT HOLD" };
            self.record.add(&format!("{name} (cell {cell}) gets part {id}, shard {shard}{note}, {options}"));
            let (all, id, name) = (self.clone(), id.to_owned(), name.to_owned());
            let (writer, silent) = (writer.clone(), silent.clone());
            thread::spawn(move || {
                thread::sleep(all.work);
                if !holds {
                    return drop(write_frame(&writer, &silent, format!("a{id} broke 0 -\n").as_bytes()));
                }
                let value = part_value(shard, &text);
                let frame = format!("a{id} served {} -\n{value}", shard + 1);
                if manner == Manner::ShortLength {
                    let stated = (frame.len() - 8) as u32;
                    all.record.add(&format!(
                        "{name} runs {id}, value {value}; its answer states {stated} bytes and has {}",
                        frame.len()
                    ));
                    let bytes = [&stated.to_be_bytes()[..], frame.as_bytes()].concat();
                    let stream = lock(&writer);
                    if !silent.swap(true, Ordering::SeqCst) {
                        let _ = (&*stream).write_all(&bytes);
                    }
                    return;
                }
                all.record.add(&format!("{name} runs {id}, value {value}"));
                let _ = write_frame(&writer, &silent, frame.as_bytes());
            });
        }
        Ok(())
    }
}

fn write_frame(writer: &Mutex<TcpStream>, silent: &AtomicBool, frame: &[u8]) -> io::Result<()> {
    let bytes = [&(frame.len() as u32).to_be_bytes()[..], frame].concat();
    let stream = lock(writer);
    if silent.load(Ordering::SeqCst) {
        return Ok(());
    }
    (&*stream).write_all(&bytes)
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub status: &'static str,
    /// Version of the list in which it last changed.
    pub changed: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"m2\",\"group\":{},\"status\":\"{}\",\
             \"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address, self.zone, self.cell, self.status
        )
    }
}

pub fn list_json(index: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{full},\"endpoints\":[{}]}}", entries.join(","))
}

#[derive(Default)]
pub struct AgentState {
    pub index: u64,
    pub entries: BTreeMap<String, Entry>,
    /// Nothing is written, and calls are accepted and not answered.
    pub silent: bool,
    /// The first answer to a call is the whole list, which leaves out what drains.
    pub whole_first: bool,
}

/// The agent on the broker's machine through which discovery speaks.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    pub state: Arc<Mutex<AgentState>>,
    record: Record,
}

impl Agent {
    pub fn start(record: &Record) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let agent = Agent { address: listener.local_addr()?, state: Arc::default(), record: record.clone() };
        let started = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                thread::spawn(move || drop(agent.watch(stream)));
            }
        });
        Ok(started)
    }

    /// Puts a tile server into the list, or changes its status.
    pub fn set(&self, tile: &Tile, status: &'static str) {
        let mut state = lock(&self.state);
        state.index += 1;
        let entry = Entry {
            name: tile.name.clone(),
            address: tile.address,
            zone: tile.zone.clone(),
            cell: tile.cell,
            status,
            changed: state.index,
        };
        state.entries.insert(tile.name.clone(), entry);
    }

    pub fn entries(&self) -> (u64, Vec<Entry>) {
        let state = lock(&self.state);
        (state.index, state.entries.values().cloned().collect())
    }

    fn watch(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let after = head.split("index=").nth(1).unwrap_or("0");
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        let mut seen: u64 = digits.parse().unwrap_or(0);
        while lock(&self.state).silent {
            thread::sleep(ms(5));
        }
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let (mut first, mut written) = (true, Instant::now());
        loop {
            let mut text = None;
            {
                let state = lock(&self.state);
                if !state.silent {
                    if first && state.whole_first {
                        let up: Vec<Entry> =
                            state.entries.values().filter(|e| e.status == "up").cloned().collect();
                        text = Some(list_json(state.index, true, &up));
                    } else if first || state.index > seen {
                        let changed: Vec<Entry> =
                            state.entries.values().filter(|e| e.changed > seen).cloned().collect();
                        text = Some(list_json(state.index, false, &changed));
                    } else if written.elapsed() >= ms(2000) {
                        text = Some(String::new());
                    }
                    seen = state.index;
                }
            }
            if let Some(text) = text {
                first = false;
                written = Instant::now();
                let line = format!("{text}\n");
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
                if !text.is_empty() {
                    self.record.add(&format!("discovery writes {text}"));
                }
            }
            thread::sleep(ms(2));
        }
    }
}

/// An answer to a client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub close: bool,
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads one HTTP answer until `until`; an error if it does not come whole by then.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).into_owned();
                let close = header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                return Ok(Answer { status, body, close });
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(ErrorKind::TimedOut.into()),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    format!("{:016x}", unix.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A request of the platform's protocol. Returns its id and its bytes.
pub fn request(class: &Class, shards: &[u32], timeout_ms: u64, text: &str) -> (String, String) {
    let id = new_id();
    let share = 1.0 / shards.len() as f64;
    let parts: Vec<String> =
        shards.iter().map(|s| format!("{{\"tablet\":{s},\"fraction\":{share}}}")).collect();
    let body = format!("{{\"tablets\":[{}],\"statement\":\"{text}\"}}", parts.join(","));
    let key = match class.effect {
        "keyed" => format!("Idempotency-Key: {}{}\r\n", new_id(), new_id()),
        _ => String::new(),
    };
    let bytes = format!(
        "POST /{} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Route-Key: {}\r\n\
         X-Timeout: {timeout_ms}m\r\n{key}Content-Length: {}\r\n\r\n{body}",
        class.name,
        new_id(),
        body.len()
    );
    (id, bytes)
}

/// How long after its time a request may still get its final answer before it counts as lost: half a second, and
/// the 50 ms of every time limit.
pub const AFTER_ITS_TIME: Duration = Duration::from_millis(550);

/// A client of the platform. It sends one request at a time and keeps its connection.
pub struct Client {
    record: Record,
    listen: SocketAddr,
    stream: Option<TcpStream>,
}

/// What became of a request.
pub struct Asked {
    pub text: String,
    /// Milliseconds from the first time that it was sent.
    pub took_ms: f64,
    /// `None` without a final answer by the time of the request and `AFTER_ITS_TIME`.
    pub answer: Option<Answer>,
}

impl Client {
    pub fn new(record: &Record, listen: SocketAddr) -> Self {
        Client { record: record.clone(), listen, stream: None }
    }

    /// Sends a request. Where its connection ends without an answer, the request crossed the end of the connection:
    /// it is sent once more, on a new one.
    pub fn ask(&mut self, class: &Class, shards: &[u32], timeout_ms: u64) -> Asked {
        let text = new_id();
        let (id, bytes) = request(class, shards, timeout_ms, &text);
        let started = Instant::now();
        let until = started + ms(timeout_ms) + AFTER_ITS_TIME;
        let mut answer = None;
        for _ in 0..2 {
            let kept = self.stream.take();
            let on = if kept.is_some() { "its connection" } else { "a new connection" };
            self.record
                .add(&format!("client sends {id} on {on}: {} {shards:?}, {timeout_ms} ms", class.name));
            let stream = kept.map_or_else(|| TcpStream::connect(self.listen), Ok);
            let got = stream.and_then(|mut stream| {
                stream.set_nodelay(true)?;
                stream.write_all(bytes.as_bytes())?;
                let answer = read_answer(&mut stream, until)?;
                if !answer.close {
                    self.stream = Some(stream);
                }
                Ok(answer)
            });
            match got {
                Ok(got) => {
                    answer = Some(got);
                    break;
                }
                Err(error) => self.record.add(&format!("client {id}: {error}")),
            }
            if Instant::now() >= until {
                break;
            }
        }
        let took_ms = started.elapsed().as_secs_f64() * 1e3;
        self.record.add(&match &answer {
            Some(a) => {
                format!("client gets {} for {id} after {took_ms:.0} ms: {}", a.status, a.body.trim_end())
            }
            None => format!("client has no final answer for {id} after {took_ms:.0} ms"),
        });
        Asked { text, took_ms, answer }
    }
}

/// A port of 127.0.0.1 that is free now.
pub fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// A broker's process, ended when this is dropped.
pub struct Broker {
    pub child: Child,
    pub listen: SocketAddr,
    pub log: PathBuf,
}

impl Broker {
    /// Starts `run` of the deploy file from the repository's root, as the platform does.
    pub fn start(root: &Path, folder: &Path, listen: SocketAddr, env: &[(&str, String)]) -> Result<Self> {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|line| {
            let (key, rest) = line.split_once('=')?;
            (key.trim() == "run").then(|| rest.split('"').nth(1).map(str::to_owned))?
        });
        let run = run.ok_or("deploy/balancer.toml has no run")?;
        let log = folder.join(format!("broker-{}.log", new_id()));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(root)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", listen.to_string())
            .env("TMPDIR", folder)
            .envs(env.iter().map(|(key, value)| (*key, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?);
        // It ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
        Ok(Broker { child, listen, log })
    }

    /// Waits until `GET /up` answers 200, as the front does.
    pub fn wait_up(&self, within: Duration) -> Result<()> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ =
                    stream.write_all(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                if read_answer(&mut stream, Instant::now() + ms(500)).is_ok_and(|a| a.status == 200) {
                    return Ok(());
                }
            }
            thread::sleep(ms(20));
        }
        Err("the broker did not become ready".into())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A class of query in the settings.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub window_ms: u64,
    pub credit: f64,
    pub late: f64,
    pub floor: f64,
}

/// Settings of a small deployment: one broker, twelve tile servers in a ring, each shard on two of them.
pub struct Settings {
    pub classes: [Class; 3],
    pub sockets: u32,
}

pub const CELLS: u32 = 12;
pub const WIDTH: u32 = 2;
pub const SHARDS: u32 = 24;

impl Settings {
    /// The classes of the operators' parcel viewer.
    pub fn parcel_viewer() -> Self {
        let class = |name, deadline_ms, effect, credit, late, floor| Class {
            name,
            aim_ms: 2000,
            deadline_ms,
            effect,
            window_ms: 5000,
            credit,
            late,
            floor,
        };
        Settings {
            classes: [
                class("parcel-search", 6000, "safe", 1.0, 0.3, 1.0),
                class("title-flag", 5000, "keyed", 2.0, 0.3, 1.0),
                class("area-report", 5000, "safe", 5.0, 0.1, 0.8),
            ],
            sockets: 1024,
        }
    }

    /// The classes of `deploy/sites/moorland-signals.toml`, with the fewest descriptors that a broker is given.
    pub fn moorland_signals() -> Self {
        let class = |name, aim_ms, deadline_ms, effect, credit, late, floor| Class {
            name,
            aim_ms,
            deadline_ms,
            effect,
            window_ms: 700,
            credit,
            late,
            floor,
        };
        Settings {
            classes: [
                class("signal-trace", 900, 1800, "safe", 1.0, 0.0, 1.0),
                class("moor-summary", 3000, 7500, "safe", 3.0, 0.3, 0.7),
                class("gate-order", 700, 2200, "keyed", 1.0, 0.1, 1.0),
            ],
            sockets: 256,
        }
    }

    pub fn config(&self, known: Option<&str>) -> String {
        let profiles: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"aimNs\":{},\"credit\":{},\"deadlineNs\":{},\"effect\":\"{}\",\"group\":\"all\",\
                     \"lateShare\":{},\"name\":\"{}\",\"streamed\":false,\"windowNs\":{}}}",
                    class.aim_ms * 1_000_000,
                    class.credit,
                    class.deadline_ms * 1_000_000,
                    class.effect,
                    class.late,
                    class.name,
                    class.window_ms * 1_000_000
                )
            })
            .collect();
        let floors: Vec<String> = self.classes.iter().map(|class| class.floor.to_string()).collect();
        let known = known.map(|k| format!("\"known\":{k},")).unwrap_or_default();
        format!(
            "{{\"seed\":\"{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{}}},{known}\
             \"settings\":{{\"balancers\":1,\"clients\":{{\"marksRetry\":true}},\
             \"extra\":{{\"batch\":1,\"callNs\":0,\"followUp\":[0,0,0],\"incompleteWorth\":[0.9,0.9,0.8],\
             \"leastShare\":[{}],\"needByClass\":[1.0,1.0,1.0],\"sets\":{CELLS},\"slices\":{SHARDS},\
             \"warmKeys\":false,\"width\":{WIDTH}}},\
             \"goal\":{{\"whole\":0.45,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.35}},\
             \"granularityNs\":5000000,\"kindOfService\":\"fanout\",\"kinds\":[\"small-2core\"],\
             \"limits\":{{\"cancel\":true,\"connIdleNs\":15000000000,\"connectTimeoutNs\":250000000,\
             \"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\"maxAttempts\":4,\"maxOpen\":200,\
             \"maxRetryAfterNs\":2000000000,\"maxStreams\":100,\"mayProbe\":true,\"peers\":false,\
             \"retryAfter\":true,\"secondCopies\":false}},\"locality\":0,\"me\":0,\"overShareWorth\":0.1,\
             \"prices\":{{\"connection\":0.02,\"crossZone\":0.052,\"handshake\":0.0,\"lateFail\":0.093,\"moves\":0.0,\
             \"origin\":0.0,\"peer\":0.01,\"probe\":0.01,\"registryMode\":0.0,\"waste\":0.024}},\
             \"profiles\":[{}],\"registryMode\":\"pushed\",\
             \"safety\":{{\"coldFrom\":0.2,\"coldNs\":17000000000,\"drainGraceNs\":250000000,\"fallMultiple\":2.0,\
             \"graceToAnswerNs\":20000000,\"mustAskInNs\":10000000000,\"overloadForNs\":1000000000}},\
             \"stats\":{{\"columns\":[],\"how\":\"none\"}},\"tenants\":[],\"tier\":0,\"tiers\":[\"tile-fleet\"],\
             \"weightKind\":\"nominal\",\"worthBy\":\"request\",\"zones\":[\"cardiff\",\"newport\"]}}}}",
            new_id(),
            self.sockets,
            floors.join(","),
            profiles.join(","),
        )
    }
}

/// Twelve tile servers in a ring, each in the next zone.
pub fn ring(tiles: &Tiles) -> Result<Vec<Tile>> {
    let zone = |cell: u32| ["cardiff", "newport"][cell as usize % 2];
    (0..CELLS).map(|cell| tiles.start(&format!("s-{cell:02}"), zone(cell), cell)).collect()
}

/// So many shards with numbers in a row.
pub fn shards_from(first: u32, count: u32) -> Vec<u32> {
    (0..count).map(|n| (first + n) % SHARDS).collect()
}

/// The pieces of an answer: shard and value.
pub fn pieces(body: &str) -> Vec<(u32, String)> {
    let piece = |text: &str| {
        let (shard, rest) = text.split_once(",\"cell\":\"")?;
        Some((shard.parse().ok()?, rest.split_once('"')?.0.to_owned()))
    };
    body.split("{\"tablet\":").skip(1).filter_map(piece).collect()
}

/// Writes the configuration and starts a broker that watches the agent.
pub fn broker_with_agent(setup: &Setup, settings: &Settings, agent: &Agent) -> Result<Broker> {
    let (index, entries) = agent.entries();
    let config = setup.folder.join("config.json");
    std::fs::write(&config, settings.config(Some(&list_json(index, true, &entries))))?;
    let env = [
        ("BALANCER_DISCOVERY", agent.address.to_string()),
        ("BALANCER_CONFIG", config.display().to_string()),
    ];
    let broker = Broker::start(&setup.root, &setup.folder, free_address()?, &env)?;
    broker.wait_up(ms(6000))?;
    Ok(broker)
}

/// What a case is given.
pub struct Setup {
    pub root: PathBuf,
    /// A temporary folder of this run.
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

/// A run that takes longer could not run.
const LONGEST_RUN: Duration = Duration::from_secs(100);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, case_folder] = &args[..] else {
        eprintln!("usage: standin CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), new_id()));
    let run = || -> Result<bool> {
        std::fs::create_dir_all(&folder)?;
        let record = Record::create(&Path::new(case_folder).join("record.txt"))?;
        record.add(&format!("case {case}, with the disruption: {trouble}"));
        let setup =
            Setup { root: PathBuf::from(root), folder: folder.clone(), record: record.clone(), trouble };
        let held = match case.as_str() {
            "crowd" => crowd::run(&setup),
            "spoilt" => spoilt::run(&setup),
            "inventory" => inventory::run(&setup),
            _ => Err(format!("no case {case}").into()),
        };
        // What the broker logged belongs to the record.
        let mut logs: Vec<PathBuf> =
            std::fs::read_dir(&folder)?.flatten().map(|entry| entry.path()).collect();
        logs.retain(|path| path.extension().is_some_and(|extension| extension == "log"));
        logs.sort();
        for path in logs {
            for line in std::fs::read_to_string(&path).unwrap_or_default().lines() {
                record.add(&format!("log: {line}"));
            }
        }
        match &held {
            Ok(held) => record.add(if *held { "the rule held" } else { "THE RULE WAS BROKEN" }),
            Err(error) => record.add(&format!("could not run: {error}")),
        }
        held
    };
    let emergency = folder.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        let _ = std::fs::remove_dir_all(&emergency);
        eprintln!("could not run: it took too long");
        std::process::exit(2);
    });
    let held = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err("it panicked".into()));
    let _ = std::fs::remove_dir_all(&folder);
    match held {
        Ok(held) => {
            println!("{}", if held { "the rule held" } else { "the rule was broken" });
            std::process::exit(i32::from(!held));
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            std::process::exit(2);
        }
    }
}
