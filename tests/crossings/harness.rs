//! A broker on a harness of stand-ins that hold a moment until the test lets it go: connections that come up when they
//! are let in, frames and lists that are written when the test says so, and the broker itself held by SIGSTOP while
//! bytes are put into its sockets. No order is left to chance, and nothing sleeps to make it likely.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use std::{fs, thread};

use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

use crate::program;

/// Long after anything that works has happened; no verdict hangs on it.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// What a signal to the test's own process, as that of a child's end is, interrupts is done again.
fn again<T>(mut call: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

fn read(stream: &mut TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    again(|| stream.read(buffer))
}

/// A connection as the system's own table has it.
struct Line {
    near: u16,
    far: u16,
    state: u8,
    /// Bytes that the other side's system does not have yet.
    unsent: u64,
}

/// The states of a connection that is up, and of one that was begun.
const UP: u8 = 1;
const BEGUN: u8 = 2;

fn sockets() -> impl Iterator<Item = Line> {
    let table = fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let lines: Vec<Line> = table.lines().skip(1).filter_map(line_of).collect();
    lines.into_iter()
}

fn line_of(line: &str) -> Option<Line> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let port = |word: &str| u16::from_str_radix(word.rsplit(':').next()?, 16).ok();
    let unsent = u64::from_str_radix(words.get(4)?.split(':').next()?, 16).ok()?;
    let state = u8::from_str_radix(words.get(3)?, 16).ok()?;
    Some(Line { near: port(words.get(1)?)?, far: port(words.get(2)?)?, state, unsent })
}

/// Waits until all that was written is with the other side's system, whether its process runs or not.
pub fn wait_until_delivered(stream: &TcpStream) {
    let near = stream.local_addr().expect("bound").port();
    let far = stream.peer_addr().expect("connected").port();
    let open = |line: &Line| line.near == near && line.far == far && line.unsent > 0;
    wait_until("it is not delivered", || !sockets().any(|line| open(&line)));
}

/// Closes a connection, and waits until the other side's system knows.
fn close(stream: TcpStream) {
    let near = stream.local_addr().expect("bound").port();
    let far = stream.peer_addr().map_or(0, |far| far.port());
    drop(stream);
    wait_until("the end does not arrive", || {
        !sockets().any(|line| (line.near, line.far, line.state) == (far, near, UP))
    });
}

/// A stand-in tile server.
pub struct TileServer {
    listener: Socket,
    pub address: SocketAddr,
    /// Connections that fill the queue of those to be accepted, so that further ones don't come up, and the ports of
    /// all there were.
    fillers: Vec<TcpStream>,
    own: Vec<u16>,
}

impl TileServer {
    fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(128).expect("listens");
        let address = listener.local_addr().expect("bound").as_socket().expect("of the internet");
        TileServer { listener, address, fillers: Vec::new(), own: Vec::new() }
    }

    /// From now on connections don't come up: the system drops their first packets, as the one place in the queue of
    /// those to be accepted is taken.
    pub fn block_connects(&mut self) {
        self.listener.listen(0).expect("listens");
        let filler = TcpStream::connect(self.address).expect("the one place is free");
        self.own.push(filler.local_addr().expect("bound").port());
        self.fillers.push(filler);
    }

    /// Waits until another one than the harness's own knocks in vain.
    pub fn wait_for_connect_attempt(&self) {
        let port = self.address.port();
        let knocks = |s: &Line| s.far == port && s.state == BEGUN && !self.own.contains(&s.near);
        wait_until("nobody knocks", || sockets().any(|socket| knocks(&socket)));
    }

    /// Lets those in that knock: what was dropped is sent again by their system.
    pub fn allow_connects(&mut self) {
        self.listener.listen(128).expect("listens");
        self.fillers.clear();
    }

    /// A connection that has come, if there is one.
    pub fn try_accept(&self) -> Option<ServerConnection> {
        self.listener.set_nonblocking(true).expect("set");
        let stream = TcpStream::from(self.listener.accept().ok()?.0);
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
        Some(ServerConnection { stream, bytes: Vec::new() })
    }

    /// The next connection: the harness's own are passed over.
    pub fn accept(&self) -> ServerConnection {
        self.listener.set_nonblocking(false).expect("set");
        SockRef::from(&self.listener).set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
        loop {
            let (stream, _) = again(|| self.listener.accept()).expect("a connection comes");
            let stream = TcpStream::from(stream);
            stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
            if !self.own.contains(&stream.peer_addr().map_or(0, |far| far.port())) {
                return ServerConnection { stream, bytes: Vec::new() };
            }
        }
    }
}

/// A connection of the broker's at a stand-in.
pub struct ServerConnection {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl ServerConnection {
    /// The next frame, without its length. Probes, which a broker sends that was held for long, are answered.
    pub fn next_frame(&mut self) -> String {
        loop {
            let frame = self.read_frame();
            if frame != "p" {
                return frame;
            }
            self.send("pserved");
        }
    }

    /// Whether anything has come that was not read, without waiting.
    pub fn has_input(&self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).expect("set");
        peeked.is_ok_and(|count| count > 0)
    }

    fn read_frame(&mut self) -> String {
        loop {
            if let Some((head, rest)) = self.bytes.split_first_chunk::<4>() {
                let length = u32::from_be_bytes(*head) as usize;
                if rest.len() >= length {
                    let frame = String::from_utf8_lossy(&rest[..length]).into_owned();
                    self.bytes.drain(..4 + length);
                    return frame;
                }
            }
            let mut buffer = [0; 4096];
            let read = read(&mut self.stream, &mut buffer).expect("a frame comes");
            assert!(read > 0, "the connection ended");
            self.bytes.extend_from_slice(&buffer[..read]);
        }
    }

    /// The id of the part that the next frame asks for.
    pub fn next_part(&mut self) -> String {
        let frame = self.next_frame();
        assert!(frame.starts_with('q'), "{frame:?} asks for no part");
        frame[1..].split(' ').next().expect("an id").to_owned()
    }

    pub fn send(&mut self, frame: &str) {
        let mut bytes = u32::try_from(frame.len()).expect("short").to_be_bytes().to_vec();
        bytes.extend_from_slice(frame.as_bytes());
        self.stream.write_all(&bytes).expect("written");
    }

    pub fn serve(&mut self, part: &str, value: &str) {
        self.send(&format!("a{part} served 1 -\n{value}"));
    }

    /// Waits until the broker's system has all that was sent.
    pub fn wait_until_delivered(&self) {
        wait_until_delivered(&self.stream);
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
        close(self.stream);
    }

    /// Ends the connection.
    pub fn close(self) {
        close(self.stream);
    }

    /// Waits for the broker's end of the connection.
    pub fn expect_closed(mut self) {
        let mut buffer = [0; 4096];
        loop {
            match read(&mut self.stream, &mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return,
                Err(error) => panic!("it stays open: {error}"),
            }
        }
    }
}

/// A stand-in discovery.
pub struct Discovery {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// What a watch's answer begins with.
pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Discovery {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        Discovery { listener, address }
    }

    /// The next call, read whole.
    pub fn accept_call(&self) -> DiscoveryCall {
        SockRef::from(&self.listener).set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
        loop {
            let (mut stream, _) = again(|| self.listener.accept()).expect("it calls");
            stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
            let (mut head, mut byte) = (Vec::new(), [0]);
            while !head.ends_with(b"\r\n\r\n") && read(&mut stream, &mut byte).is_ok_and(|read| read > 0) {
                head.push(byte[0]);
            }
            // One that was given up while it stood in the queue is passed over.
            stream.set_nonblocking(true).expect("set");
            let over = matches!(stream.peek(&mut [0]), Ok(0));
            stream.set_nonblocking(false).expect("set");
            if head.ends_with(b"\r\n\r\n") && !over {
                return DiscoveryCall { stream, head: String::from_utf8(head).expect("text") };
            }
        }
    }
}

/// A call for the list.
pub struct DiscoveryCall {
    pub stream: TcpStream,
    pub head: String,
}

impl DiscoveryCall {
    pub fn write_raw(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("written");
    }

    /// Answers with a watch.
    pub fn start_watch(&mut self) {
        self.write_raw(WATCH_RESPONSE_HEAD);
    }

    /// A list on an open watch.
    pub fn send_list(&mut self, list: &Value) {
        let line = format!("{list}\n");
        self.write_raw(&format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// Whether the broker has ended the call, without waiting.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let read = self.stream.read(&mut [0; 64]);
        self.stream.set_nonblocking(false).expect("set");
        !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    bytes: VecDeque<u8>,
}

/// The status that an answer's head begins with.
fn parse_status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or_else(|| panic!("{head}"))
}

impl Client {
    fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("listens");
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        Client { stream, bytes: VecDeque::new() }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("written");
    }

    /// Asks for one part of a shard.
    pub fn send_query(&mut self, class: &str, id: &str, shard: u32) {
        self.send(&request(class, id, &[shard], 50_000));
    }

    /// The next answer, whole: its head and its body.
    pub fn read_response(&mut self) -> (String, String) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.byte());
        }
        let head = String::from_utf8(head).expect("text");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).expect("a length");
        let body = (0..length.trim().parse::<usize>().expect("a number")).map(|_| self.byte()).collect();
        (head, String::from_utf8(body).expect("text"))
    }

    /// The status of the next answer.
    pub fn read_status(&mut self) -> u16 {
        let (head, _) = self.read_response();
        parse_status(&head)
    }

    fn byte(&mut self) -> u8 {
        if self.bytes.is_empty() {
            let mut buffer = [0; 16 * 1024];
            let read = read(&mut self.stream, &mut buffer).expect("an answer");
            assert!(read > 0, "the connection ended before its answer did");
            self.bytes.extend(&buffer[..read]);
        }
        self.bytes.pop_front().expect("filled")
    }

    /// Waits for the connection's end, which is to come as one, not as a reset.
    pub fn expect_eof(&mut self) {
        assert!(self.bytes.is_empty(), "more came");
        match read(&mut self.stream, &mut [0; 1]) {
            Ok(0) => {}
            other => panic!("not the end: {other:?}"),
        }
    }

    /// Closes by a reset.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
        close(self.stream);
    }

    /// Closes.
    pub fn close(self) {
        close(self.stream);
    }
}

/// A request as a client writes it.
pub fn request(class: &str, id: &str, shards: &[u32], left_ms: u64) -> String {
    let parts: Vec<String> = shards
        .iter()
        .map(|shard| format!("{{\"tablet\":{shard},\"fraction\":{}}}", 1.0 / shards.len() as f64))
        .collect();
    let body = format!("{{\"tablets\":[{}],\"statement\":\"t\"}}", parts.join(","));
    let key = if class == "flag" { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
    format!(
        "POST /{class} HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Timeout: {left_ms}m\r\n{key}Content-Length: \
         {}\r\n\r\n{body}",
        body.len()
    )
}

/// A line of a list.
pub fn server_entry(name: &str, at: SocketAddr, cell: u32, status: &str) -> Value {
    json!({"name": name, "address": at.to_string(), "zone": "z", "type": "m", "group": cell, "status": status,
        "weight": 1.0, "since_ms": 0})
}

/// Waits for what must come. It looks again and again, as nothing tells of it.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < HANG_TIMEOUT, "{what}");
        thread::yield_now();
    }
}

/// The library that holds a broker before writes, which Cargo builds beside the tests.
fn write_delay() -> PathBuf {
    let test = std::env::current_exe().expect("known");
    let library = test.parent().expect("a folder").join("libbadgergauge_write_delay.so");
    assert!(library.exists(), "{} was not built", library.display());
    library
}

/// A broker with its stand-ins.
pub struct Harness {
    dir: PathBuf,
    pub config: Value,
    pub discovery: Discovery,
    pub servers: Vec<TileServer>,
    program: Option<Child>,
    log: Option<Receiver<String>>,
    address: String,
    /// Whether the broker listens to operators, and where.
    pub has_control: bool,
    control_address: String,
    /// What the broker's shell is told before it starts it.
    pub shell_prelude: &'static str,
    /// Whether writes of the broker's that give a part up can be held: see `hold_give_ups`.
    pub can_delay_writes: bool,
}

impl Drop for Harness {
    fn drop(&mut self) {
        if let Some(mut program) = self.program.take() {
            let _ = program.kill();
            let _ = program.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Harness {
    /// A harness with so many tile servers, each known as that of its cell, and a broker that has not started.
    pub fn new(name: &str, servers: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("badgergauge-crossing-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder");
        let servers: Vec<TileServer> = (0..servers).map(|_| TileServer::new()).collect();
        let addresses: Vec<String> = servers.iter().map(|server| server.address.to_string()).collect();
        let mut config = program::config(&addresses);
        config["settings"]["extra"]["sets"] = json!(servers.len());
        Harness {
            dir,
            config,
            discovery: Discovery::new(),
            servers,
            program: None,
            log: None,
            address: String::new(),
            has_control: false,
            control_address: String::new(),
            shell_prelude: "",
            can_delay_writes: false,
        }
    }

    /// Sets a value of the configuration.
    pub fn set_config(&mut self, pointer: &str, value: Value) {
        let (parent, key) = pointer.rsplit_once('/').expect("a path");
        let parent = self.config.pointer_mut(parent).unwrap_or_else(|| panic!("no {pointer}"));
        match parent {
            Value::Array(all) => all[key.parse::<usize>().expect("a number")] = value,
            other => other[key] = value,
        }
    }

    /// Sets a value of each class.
    pub fn set_class_option(&mut self, key: &str, value: &Value) {
        for class in self.config["settings"]["profiles"].as_array_mut().expect("a list") {
            class[key] = value.clone();
        }
    }

    /// The first connection that comes to one of two tile servers, and the number of the other one.
    pub fn first_of_two(&self) -> (ServerConnection, usize) {
        let mut first = None;
        wait_until("no connection comes", || {
            first = (0..2).find_map(|server| Some((self.servers[server].try_accept()?, 1 - server)));
            first.is_some()
        });
        first.expect("there")
    }

    /// A list with all tile servers, one of them in another state.
    pub fn server_list(&self, index: u64, changed: usize, status: &str) -> Value {
        let state = |cell: usize| if cell == changed { status } else { "up" };
        let lines = self.servers.iter().enumerate().map(|(cell, server)| {
            server_entry(&format!("s{cell}"), server.address, u32::try_from(cell).expect("few"), state(cell))
        });
        json!({"index": index, "snapshot": true, "endpoints": lines.collect::<Vec<_>>()})
    }

    /// Starts the broker, without waiting for anything.
    pub fn spawn(&mut self) {
        let file = self.dir.join("config.json");
        fs::write(&file, self.config.to_string()).expect("written");
        let real = env!("CARGO_BIN_EXE_badgergauge");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("{} exec \"$0\"", self.shell_prelude), real])
            .env("BALANCER_CONFIG", file)
            .env("BALANCER_LISTEN", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", self.discovery.address.to_string())
            .stderr(Stdio::piped());
        if self.has_control {
            command.env("BALANCER_CONTROL", "127.0.0.1:0");
        }
        if self.can_delay_writes {
            command.env("LD_PRELOAD", write_delay()).env("BADGERGAUGE_WRITE_DELAY", self.dir.join("delay"));
        }
        let mut program = command.spawn().expect("starts");
        let log = std::io::BufReader::new(program.stderr.take().expect("piped"));
        let (sender, receiver) = channel();
        thread::spawn(move || {
            let begun = Instant::now();
            for line in std::io::BufRead::lines(log).map_while(Result::ok) {
                eprintln!("{:.3} {line}", begun.elapsed().as_secs_f64());
                if sender.send(line).is_err() {
                    break;
                }
            }
        });
        (self.program, self.log) = (Some(program), Some(receiver));
        if self.has_control {
            self.control_address = self.logged_address(" listens to operators on ");
        }
    }

    /// Waits for the line of the log that ends with an address behind these words.
    fn logged_address(&self, words: &str) -> String {
        let line = self.wait_for_log(words);
        line.rsplit(' ').next().expect("an address").to_owned()
    }

    /// Starts the broker and waits until clients may come.
    pub fn start(&mut self) {
        self.spawn();
        self.wait_until_listening();
    }

    /// Waits until clients may come to a broker that was spawned.
    pub fn wait_until_listening(&mut self) {
        self.address = self.logged_address(" listens to clients on ");
    }

    /// A connection to the control endpoint.
    pub fn control_client(&self) -> Client {
        Client::connect(&self.control_address)
    }

    /// A call to the control endpoint: the status and the body of its answer.
    pub fn control_request(&self, method: &str, path: &str) -> (u16, String) {
        let mut operator = self.control_client();
        operator.send(&format!("{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n"));
        let (head, body) = operator.read_response();
        operator.expect_eof();
        (parse_status(&head), body)
    }

    /// Waits for a line of the log with these words.
    pub fn wait_for_log(&self, words: &str) -> String {
        let log = self.log.as_ref().expect("started");
        loop {
            let line = log.recv_timeout(HANG_TIMEOUT).unwrap_or_else(|_| panic!("no line says {words:?}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// All lines of the log from here on, once the broker has ended.
    pub fn remaining_log(&self) -> Vec<String> {
        self.log.as_ref().expect("started").iter().collect()
    }

    /// Where it listens to clients.
    pub fn address(&self) -> &str {
        &self.address
    }

    pub fn client(&self) -> Client {
        Client::connect(&self.address)
    }

    /// Waits until the broker has taken in all that was in its sockets when this was called.
    pub fn wait_until_input_processed(&self) {
        let mut client = self.client();
        client.send("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n");
        client.read_status();
    }

    pub fn process_id(&self) -> u32 {
        self.program.as_ref().expect("started").id()
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args(["-s", signal, &self.process_id().to_string()]).status();
        assert!(status.expect("runs").success());
    }

    /// Holds the broker: what is written to its sockets waits there, in the order of the writing.
    pub fn suspend(&self) {
        self.signal("STOP");
        wait_until("the broker runs on", || self.states().all(|state| state == 'T'));
    }

    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Holds the broker right before its next write that gives a part up, for this long at the least.
    pub fn delay_cancel_writes(&self, at_least: Duration) {
        fs::write(self.dir.join("delay"), format!("1 {} until-released", at_least.as_millis()))
            .expect("written");
    }

    /// Waits until the broker is held before such a write.
    pub fn wait_until_write_delayed(&self) {
        wait_until("no part is given up", || self.dir.join("delay.waiting").exists());
    }

    /// Lets the broker write, this time and from now on.
    pub fn release_writes(&self) {
        fs::remove_file(self.dir.join("delay")).expect("there");
        fs::remove_file(self.dir.join("delay.waiting")).expect("it was held");
    }

    /// The state of each of its threads.
    fn states(&self) -> impl Iterator<Item = char> + use<> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.process_id())).expect("it runs");
        let stat = tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
        stat.filter_map(|stat| stat.rsplit(") ").next()?.chars().next())
    }

    /// Writes the configuration anew, as it is now, and tells the broker.
    pub fn reload(&self) {
        fs::write(self.dir.join("config.json"), self.config.to_string()).expect("written");
        self.signal("HUP");
    }

    /// Waits for the broker's end. Gives its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut program = self.program.take().expect("started");
        let begun = Instant::now();
        loop {
            if let Some(status) = program.try_wait().expect("a child") {
                return status.code();
            }
            if begun.elapsed() >= HANG_TIMEOUT {
                self.program = Some(program);
                panic!("it does not end");
            }
            thread::yield_now();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.program.as_mut().is_none_or(|program| program.try_wait().expect("a child").is_some())
    }
}
