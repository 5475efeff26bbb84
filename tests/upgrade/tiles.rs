//! Simulated tile servers that answer by themselves, and a simulated discovery that always sends the same
//! list.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::harness::WATCH_RESPONSE_HEAD;

/// Parts of queries whose id starts with this are answered only after [`TileServer::release`].
pub const DELAYED_PREFIX: &str = "held";

/// State shared by the threads of a tile server.
#[derive(Default)]
struct State {
    /// How often each part was received.
    parts: Mutex<HashMap<String, u32>>,
    /// When parts were received.
    arrivals: Mutex<Vec<Instant>>,
    /// Whether delayed parts are answered.
    released: Mutex<bool>,
    release: Condvar,
}

/// A simulated tile server.
pub struct TileServer {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl TileServer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        TileServer { address, state }
    }

    /// How often this part was received.
    pub fn count(&self, part: &str) -> u32 {
        self.state.parts.lock().expect("lock not poisoned").get(part).copied().unwrap_or(0)
    }

    /// The maximum number of parts received within any period of this length.
    pub fn max_within(&self, period: Duration) -> usize {
        let arrivals = self.state.arrivals.lock().expect("lock not poisoned");
        let within =
            |first: &Instant| arrivals.iter().filter(|at| **at >= *first && **at < *first + period).count();
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// Whether no part was received for this long.
    pub fn is_idle_for(&self, period: Duration) -> bool {
        let arrivals = self.state.arrivals.lock().expect("lock not poisoned");
        arrivals.last().is_none_or(|last| last.elapsed() > period)
    }

    /// Answers delayed parts from now on.
    pub fn release(&self) {
        *self.state.released.lock().expect("lock not poisoned") = true;
        self.state.release.notify_all();
    }
}

/// Serves one connection until it is closed.
fn serve(mut stream: TcpStream, state: &Arc<State>) {
    let _ = stream.set_nodelay(true);
    while let Ok(frame) = read_frame(&mut stream) {
        let Some(part) = frame.strip_prefix('q').and_then(|rest| rest.split(' ').next()) else {
            if frame == "p" && write_frame(&mut stream, "pserved").is_err() {
                return;
            }
            continue;
        };
        *state.parts.lock().expect("lock not poisoned").entry(part.to_owned()).or_default() += 1;
        state.arrivals.lock().expect("lock not poisoned").push(Instant::now());
        let answer = format!("a{part} served 1 -\nv");
        if part.starts_with(DELAYED_PREFIX) {
            let (Ok(mut stream), state) = (stream.try_clone(), state.clone()) else { return };
            thread::spawn(move || {
                let released = state.released.lock().expect("lock not poisoned");
                drop(state.release.wait_while(released, |released| !*released).expect("lock not poisoned"));
                let _ = write_frame(&mut stream, &answer);
            });
        } else if write_frame(&mut stream, &answer).is_err() {
            return;
        }
    }
}

fn read_frame(stream: &mut TcpStream) -> io::Result<String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame)?;
    Ok(String::from_utf8_lossy(&frame).into_owned())
}

fn write_frame(stream: &mut TcpStream, frame: &str) -> io::Result<()> {
    let mut bytes = u32::try_from(frame.len()).expect("short").to_be_bytes().to_vec();
    bytes.extend_from_slice(frame.as_bytes());
    stream.write_all(&bytes)
}

/// Starts a discovery that answers each call with this list and keeps the connection open.
pub fn start_discovery(list: &Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let line = format!("{list}\n");
    let answer = format!("{WATCH_RESPONSE_HEAD}{:x}\r\n{line}\r\n", line.len());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_watch(stream, &answer));
        }
    });
    address
}

/// Answers one call and keeps its connection open until the client closes it.
fn serve_watch(mut stream: TcpStream, answer: &str) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(read) if read > 0 => head.push(byte[0]),
            _ => return,
        }
    }
    if stream.write_all(answer.as_bytes()).is_ok() {
        let _ = stream.read_to_end(&mut Vec::new());
    }
}
