//! Overhead of the fault proxy: throughput and round-trip time through it and over a direct connection,
//! measured alternately in one run. Run with `cargo bench -p badgergauge-fleet --bench proxy`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_fleet::proxy::Builder;

/// Rounds; each measures the direct connection and then the proxied one.
const ROUNDS: usize = 5;
/// Bytes per throughput measurement.
const BYTES: usize = 64 * 1024 * 1024;
/// Round trips per latency measurement, over all connections.
const ROUND_TRIPS: usize = 4000;
/// Bytes per round trip and direction, about the size of a part's frame and its answer.
const FRAME_BYTES: usize = 100;

/// Starts a server that echoes what it receives on each connection.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buffer = [0; 64 * 1024];
                let _ = stream.set_nodelay(true);
                while let Ok(read @ 1..) = stream.read(&mut buffer) {
                    if stream.write_all(&buffer[..read]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("listens");
    stream.set_nodelay(true).expect("set");
    stream
}

/// Throughput of echoed data, in MB/s.
fn throughput(at: SocketAddr) -> f64 {
    let mut stream = connect(at);
    let mut back = stream.try_clone().expect("cloned");
    let start = Instant::now();
    let writer = thread::spawn(move || {
        let chunk = vec![7; 64 * 1024];
        for _ in 0..BYTES / chunk.len() {
            stream.write_all(&chunk).expect("written");
        }
    });
    let (mut buffer, mut read) = (vec![0; 64 * 1024], 0);
    while read < BYTES {
        read += back.read(&mut buffer).expect("echoed");
    }
    writer.join().expect("written");
    BYTES as f64 / 1e6 / start.elapsed().as_secs_f64()
}

/// Sorted round-trip times with this many connections at once.
fn round_trips(at: SocketAddr, connections: usize) -> Vec<Duration> {
    let measure = move || {
        let mut stream = connect(at);
        let mut frame = [7; FRAME_BYTES];
        let round_trip = |_| {
            let start = Instant::now();
            stream.write_all(&frame).expect("written");
            stream.read_exact(&mut frame).expect("echoed");
            start.elapsed()
        };
        (0..ROUND_TRIPS / connections).map(round_trip).collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..connections).map(|_| thread::spawn(measure)).collect();
    let mut times: Vec<Duration> = threads.into_iter().flat_map(|t| t.join().expect("done")).collect();
    times.sort_unstable();
    times
}

fn main() {
    let direct = start_echo_server();
    let mut builder = Builder::new(1);
    let (_, proxied) = builder.tcp(direct).expect("a port");
    let _proxy = builder.start().expect("starts");
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let mut values: [[Vec<f64>; 2]; 5] = Default::default();
    for _ in 0..ROUNDS {
        for (n, at) in [direct, proxied].into_iter().enumerate() {
            values[0][n].push(throughput(at));
            for (row, connections) in [(1, 1), (3, 32)] {
                let times = round_trips(at, connections);
                let micros = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e6;
                values[row][n].push(micros(0.5));
                values[row + 1][n].push(micros(0.99));
            }
        }
    }
    let names = [
        "echo throughput, MB/s",
        "round trip of 100 bytes, 1 connection, median, us",
        "                                         99th, us",
        "                     32 connections, median, us",
        "                                         99th, us",
    ];
    println!("median of {ROUNDS} alternating rounds{:>32}{:>10}{:>8}", "direct", "proxy", "ratio");
    for (name, [direct, proxied]) in names.into_iter().zip(values) {
        let (direct, proxied) = (median(direct), median(proxied));
        println!("{name:<52}{direct:>10.1}{proxied:>10.1}{:>8.2}", proxied / direct);
    }
}
