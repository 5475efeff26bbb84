//! What the fault proxy costs: bytes a second and the time of a round trip through it, beside a direct connection, in
//! one run, by turns. `cargo bench -p badgergauge-fleet --bench proxy`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_fleet::proxy::Builder;

/// Rounds, each by turns direct and through the proxy.
const ROUNDS: usize = 5;
const BYTES: usize = 64 * 1024 * 1024;
const TRIPS: usize = 4000;
/// About a part's frame and its answer.
const FRAME: usize = 100;

/// Sends back what comes, on each connection.
fn echo() -> SocketAddr {
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

/// MB a second there and back.
fn throughput(at: SocketAddr) -> f64 {
    let mut stream = connect(at);
    let mut back = stream.try_clone().expect("cloned");
    let start = Instant::now();
    let writer = thread::spawn(move || {
        let piece = vec![7; 64 * 1024];
        for _ in 0..BYTES / piece.len() {
            stream.write_all(&piece).expect("written");
        }
    });
    let (mut buffer, mut read) = (vec![0; 64 * 1024], 0);
    while read < BYTES {
        read += back.read(&mut buffer).expect("comes back");
    }
    writer.join().expect("written");
    BYTES as f64 / 1e6 / start.elapsed().as_secs_f64()
}

/// Times of round trips, sorted, with so many connections at once.
fn trips(at: SocketAddr, connections: usize) -> Vec<Duration> {
    let each = move || {
        let mut stream = connect(at);
        let mut frame = [7; FRAME];
        let trip = |_| {
            let start = Instant::now();
            stream.write_all(&frame).expect("written");
            stream.read_exact(&mut frame).expect("comes back");
            start.elapsed()
        };
        (0..TRIPS / connections).map(trip).collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..connections).map(|_| thread::spawn(each)).collect();
    let mut times: Vec<Duration> = threads.into_iter().flat_map(|t| t.join().expect("done")).collect();
    times.sort_unstable();
    times
}

fn main() {
    let direct = echo();
    let mut builder = Builder::new(1);
    let (_, proxied) = builder.tcp(direct).expect("a port");
    let _proxy = builder.start().expect("starts");
    let median = |mut figures: Vec<f64>| {
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
    };
    let mut figures: [[Vec<f64>; 2]; 5] = Default::default();
    for _ in 0..ROUNDS {
        for (n, at) in [direct, proxied].into_iter().enumerate() {
            figures[0][n].push(throughput(at));
            for (row, connections) in [(1, 1), (3, 32)] {
                let times = trips(at, connections);
                let micros = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e6;
                figures[row][n].push(micros(0.5));
                figures[row + 1][n].push(micros(0.99));
            }
        }
    }
    let names = [
        "throughput there and back, MB/s",
        "round trip of 100 bytes, 1 connection, median, us",
        "                                         99th, us",
        "                     32 connections, median, us",
        "                                         99th, us",
    ];
    println!("median of {ROUNDS} rounds by turns{:>29}{:>10}{:>8}", "direct", "proxy", "ratio");
    for (name, [direct, proxied]) in names.into_iter().zip(figures) {
        let (direct, proxied) = (median(direct), median(proxied));
        println!("{name:<52}{direct:>10.1}{proxied:>10.1}{:>8.2}", proxied / direct);
    }
}
