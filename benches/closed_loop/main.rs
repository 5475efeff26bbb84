//! What a query costs the broker's process, and how long it takes, where clients ask again as soon as they are
//! answered and tile servers answer at once: on loopback, with the built program as a process of its own.
//!
//! `cargo bench --bench closed_loop` (Linux). Variables set what it does:
//!
//! - `BENCH_PROGRAM`: the broker's program; the one of this build where it is not set.
//! - `BENCH_AGAINST`: a second program, of another commit say. Both run in turn, and ratios are taken pair by pair.
//! - `BENCH_ROUNDS`: how often, 3 where it is not set.
//! - `BENCH_SEED`: what the queries are drawn from, 1 where it is not set.
//!
//! No verdict hangs on it. Each answer that is not a whole 200 is counted, by its status and reason.

mod client;
#[path = "../support/mod.rs"]
mod support;

use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::thread;

use client::{Answers, Client};
use support::{Broker, Folder};

const CLIENTS: usize = 64;
const QUERIES_PER_CLIENT: usize = 400;
/// Before anything is counted: connections come up, and buffers grow to what they need.
const WARM_UP_PER_CLIENT: usize = 25;
const SERVERS: usize = 6;
const REPLICAS: usize = 2;
const MOST_OPEN: usize = 1000;

/// What one run gave.
struct Run {
    /// CPU of the broker's process for a query, in microseconds.
    cpu: f64,
    /// Median time of a query, in milliseconds.
    median: f64,
    /// 99th percentile of it.
    late: f64,
    /// Queries that were not answered whole.
    bad: usize,
}

fn main() {
    // `cargo test --benches` runs it so.
    if env::args().any(|argument| argument == "--test") {
        return;
    }
    let own = PathBuf::from(env!("CARGO_BIN_EXE_badgergauge"));
    let program = env::var_os("BENCH_PROGRAM").map_or(own, PathBuf::from);
    let against = env::var_os("BENCH_AGAINST").map(PathBuf::from);
    let rounds: usize = variable("BENCH_ROUNDS", 3).max(1);
    let seed: u64 = variable("BENCH_SEED", 1);
    let servers = support::tile_servers(SERVERS);
    let folder = Folder::new().expect("a folder");
    let config = support::config(&servers, REPLICAS, MOST_OPEN);
    fs::write(folder.path().join("config.json"), config.to_string()).expect("written");
    fs::write(folder.path().join("service.yaml"), "# off\n").expect("written");

    let mut pairs = Vec::new();
    for round in 0..rounds {
        let this = run(&program, &folder, seed + round as u64);
        print_run(round, "program", &this);
        let other = against.as_ref().map(|program| run(program, &folder, seed + round as u64));
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

/// A variable of the environment, or what holds where it is not set.
fn variable<T: FromStr>(name: &str, otherwise: T) -> T {
    match env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name}: {text} is no such number")),
        Err(_) => otherwise,
    }
}

/// Plays all clients over one broker.
fn run(program: &Path, folder: &Folder, seed: u64) -> Run {
    let broker = Broker::start(program, folder);
    let mut clients: Vec<Client> =
        (0..CLIENTS).map(|number| Client::connect(broker.address(), number, seed)).collect();
    ask_all(&mut clients, WARM_UP_PER_CLIENT);
    let before = broker.cpu_micros();
    let answers = ask_all(&mut clients, QUERIES_PER_CLIENT);
    let after = broker.cpu_micros();
    drop(clients);
    broker.stop();
    for (what, count) in &answers.bad {
        println!("    {count} answered: {what}");
    }
    Run {
        cpu: (after - before) / (CLIENTS * QUERIES_PER_CLIENT) as f64,
        median: support::median(answers.times.iter().copied()),
        late: support::quantile(answers.times.iter().copied(), 0.99),
        bad: answers.bad.values().sum(),
    }
}

/// Each client asks so many queries, one after another, all clients at once.
fn ask_all(clients: &mut [Client], queries: usize) -> Answers {
    let mut all = Answers::default();
    thread::scope(|scope| {
        let running: Vec<_> =
            clients.iter_mut().map(|client| scope.spawn(move || client.ask(queries))).collect();
        for thread in running {
            all.add(thread.join().expect("a client's thread"));
        }
    });
    all
}

fn print_run(round: usize, which: &str, run: &Run) {
    println!(
        "round {round}, {which}: {:.1} us CPU a query, median {:.2} ms, 99th percentile {:.2} ms, {} bad",
        run.cpu, run.median, run.late, run.bad
    );
}

fn print_medians<'a>(which: &str, runs: impl Iterator<Item = &'a Run> + Clone) {
    println!(
        "{which}: {:.1} us CPU a query, median {:.2} ms, 99th percentile {:.2} ms (medians), {} bad in all",
        support::median(runs.clone().map(|run| run.cpu)),
        support::median(runs.clone().map(|run| run.median)),
        support::median(runs.clone().map(|run| run.late)),
        runs.map(|run| run.bad).sum::<usize>()
    );
}

fn print_ratios(pairs: &[(Run, Option<Run>)]) {
    let ratio = |figure: fn(&Run) -> f64| {
        let ratios = pairs.iter().filter_map(|(this, other)| Some(figure(this) / figure(other.as_ref()?)));
        let ratios: Vec<f64> = ratios.collect();
        let (least, most) = (support::quantile(ratios.clone(), 0.0), support::quantile(ratios.clone(), 1.0));
        format!("{:.3} ({least:.3} to {most:.3})", support::median(ratios))
    };
    println!(
        "ratios, median of {} pairs: CPU {}, median time {}, 99th percentile {}",
        pairs.len(),
        ratio(|run| run.cpu),
        ratio(|run| run.median),
        ratio(|run| run.late)
    );
}
