//! Closed-loop benchmark: measures the broker's CPU time per query and the latency, with clients that send
//! the next query as soon as they have a response and tile servers that respond at once. Runs on loopback,
//! with the broker as a separate process.
//!
//! `cargo bench --bench closed_loop` (Linux). Environment variables:
//!
//! - `BENCH_PROGRAM`: the broker program; by default that of this build.
//! - `BENCH_AGAINST`: a second program to compare with, for example of another commit. Both run in turn, and
//!   ratios are computed for each pair of runs.
//! - `BENCH_ROUNDS`: the number of rounds, by default 3.
//! - `BENCH_SEED`: the random seed of the queries, by default 1.
//!
//! The results are informational; no check depends on them. Responses other than a complete 200 are counted
//! by status and reason.

mod client;
#[path = "../support/mod.rs"]
mod support;

use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::thread;

use client::{Client, Results};
use support::{Broker, TempDir};

const CLIENTS: usize = 64;
const QUERIES_PER_CLIENT: usize = 400;
/// Queries per client before the measurement, which set up connections and grow buffers to their working
/// size.
const WARM_UP_QUERIES_PER_CLIENT: usize = 25;
const SERVERS: usize = 6;
/// Replicas of each shard.
const REPLICAS: usize = 2;
/// The broker's limit on open queries.
const MAX_OPEN_QUERIES: usize = 1000;

/// The result of one run.
struct RunResult {
    /// CPU time of the broker process per query, in microseconds.
    cpu_micros: f64,
    /// Median latency, in milliseconds.
    median_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    p99_ms: f64,
    /// Number of queries without a complete answer.
    failed: usize,
}

fn main() {
    // `cargo test --benches` passes this flag.
    if env::args().any(|argument| argument == "--test") {
        return;
    }
    let own_program = PathBuf::from(env!("CARGO_BIN_EXE_badgergauge"));
    let program = env::var_os("BENCH_PROGRAM").map_or(own_program, PathBuf::from);
    let against = env::var_os("BENCH_AGAINST").map(PathBuf::from);
    let rounds: usize = env_or("BENCH_ROUNDS", 3).max(1);
    let seed: u64 = env_or("BENCH_SEED", 1);
    let servers = support::tile_servers(SERVERS);
    let dir = TempDir::new().expect("temporary directory created");
    let config = support::config(&servers, REPLICAS, MAX_OPEN_QUERIES);
    fs::write(dir.path().join("config.json"), config.to_string()).expect("written");
    fs::write(dir.path().join("service.yaml"), "# off\n").expect("written");

    let mut pairs = Vec::new();
    for round in 0..rounds {
        let this = run(&program, &dir, seed + round as u64);
        print_run(round, "program", &this);
        let other = against.as_ref().map(|program| run(program, &dir, seed + round as u64));
        if let Some(other) = &other {
            print_run(round, "against", other);
        }
        pairs.push((this, other));
    }
    print_medians("program", pairs.iter().map(|(this, _)| this));
    if against.is_some() {
        print_medians("against", pairs.iter().filter_map(|(_, other)| other.as_ref()));
        print_ratios(&pairs);
    }
}

/// Returns the value of an environment variable, or a default where it is not set.
fn env_or<T: FromStr>(name: &str, default: T) -> T {
    match env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name}: {text} is not a valid number")),
        Err(_) => default,
    }
}

/// Runs all clients against one broker.
fn run(program: &Path, dir: &TempDir, seed: u64) -> RunResult {
    let broker = Broker::start(program, dir);
    let mut clients: Vec<Client> =
        (0..CLIENTS).map(|number| Client::connect(broker.address(), number, seed)).collect();
    run_clients(&mut clients, WARM_UP_QUERIES_PER_CLIENT);
    let cpu_before = broker.cpu_micros();
    let results = run_clients(&mut clients, QUERIES_PER_CLIENT);
    let cpu_after = broker.cpu_micros();
    drop(clients);
    broker.stop();
    for (reason, count) in &results.failures {
        println!("    {count} failed: {reason}");
    }
    RunResult {
        cpu_micros: (cpu_after - cpu_before) / (CLIENTS * QUERIES_PER_CLIENT) as f64,
        median_ms: support::median(results.latencies_ms.iter().copied()),
        p99_ms: support::quantile(results.latencies_ms.iter().copied(), 0.99),
        failed: results.failures.values().sum(),
    }
}

/// Runs all clients in parallel, each with the given number of queries one after another.
fn run_clients(clients: &mut [Client], queries: usize) -> Results {
    let mut all = Results::default();
    thread::scope(|scope| {
        let running: Vec<_> =
            clients.iter_mut().map(|client| scope.spawn(move || client.run_queries(queries))).collect();
        for thread in running {
            all.merge(thread.join().expect("a client's thread"));
        }
    });
    all
}

fn print_run(round: usize, which: &str, run: &RunResult) {
    println!(
        "round {round}, {which}: {:.1} us CPU per query, median {:.2} ms, p99 {:.2} ms, {} failed",
        run.cpu_micros, run.median_ms, run.p99_ms, run.failed
    );
}

fn print_medians<'a>(which: &str, runs: impl Iterator<Item = &'a RunResult> + Clone) {
    println!(
        "{which}: {:.1} us CPU per query, median {:.2} ms, p99 {:.2} ms (medians), {} failed",
        support::median(runs.clone().map(|run| run.cpu_micros)),
        support::median(runs.clone().map(|run| run.median_ms)),
        support::median(runs.clone().map(|run| run.p99_ms)),
        runs.map(|run| run.failed).sum::<usize>()
    );
}

fn print_ratios(pairs: &[(RunResult, Option<RunResult>)]) {
    let ratio = |value: fn(&RunResult) -> f64| {
        let ratios = pairs.iter().filter_map(|(this, other)| Some(value(this) / value(other.as_ref()?)));
        let ratios: Vec<f64> = ratios.collect();
        let (min, max) = (support::quantile(ratios.clone(), 0.0), support::quantile(ratios.clone(), 1.0));
        format!("{:.3} ({min:.3} to {max:.3})", support::median(ratios))
    };
    println!(
        "ratios, median of {} pairs: CPU {}, median latency {}, p99 {}",
        pairs.len(),
        ratio(|run| run.cpu_micros),
        ratio(|run| run.median_ms),
        ratio(|run| run.p99_ms)
    );
}
