//! `badgergauge fleet soak`: runs randomly generated scenarios in parallel.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use badgergauge_fleet::run::Options;
use badgergauge_fleet::soak::{self, Outcome};

use crate::fleet::broker_program;
use crate::{EXIT_OK, EXIT_RULE_BROKEN};

/// CPU cores that one fleet uses at peak load.
const CORES_PER_FLEET: usize = 2;

/// Arguments of `fleet soak`.
#[derive(clap::Args)]
pub struct Soak {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 50, conflicts_with = "seed")]
    seeds: u64,
    /// Run only this seed; keeps its files in `--out` in any case.
    #[arg(long, conflicts_with = "first")]
    seed: Option<u64>,
    /// Output folder. Keeps the files of the seeds that broke a rule, or of the single seed.
    #[arg(long, default_value = "fleet-soak")]
    out: PathBuf,
    /// Number of fleets to run in parallel; half the number of CPU cores by default.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=64))]
    at_once: Option<u16>,
    /// Broker executable to run instead of this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Let the brokers record their decisions and the reasons in trace files.
    #[arg(long)]
    trace: bool,
}

/// Runs the seeds and returns the exit code.
///
/// # Errors
///
/// When the test harness itself fails for any of the seeds.
pub fn run(arguments: &Soak) -> io::Result<u8> {
    let program = broker_program(arguments.program.as_deref())?;
    let (first, seeds) = match arguments.seed {
        Some(seed) => (seed, 1),
        None => (arguments.first, arguments.seeds),
    };
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let workers = arguments.at_once.map_or((cores / CORES_PER_FLEET).max(1), usize::from);
    let next_seed = AtomicU64::new(first);
    let broken = AtomicU64::new(0);
    let worker = || -> io::Result<()> {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= first + seeds {
                return Ok(());
            }
            let outcome = run_seed(arguments, &program, seed)?;
            broken.fetch_add(u64::from(!outcome.unexplained.is_empty()), Ordering::Relaxed);
            println!("{}", format_outcome(seed, &outcome));
        }
    };
    let results: Vec<io::Result<()>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..workers).map(|_| scope.spawn(worker)).collect();
        let panicked = |_| Err(io::Error::other("a worker thread panicked"));
        threads.into_iter().map(|thread| thread.join().unwrap_or_else(panicked)).collect()
    });
    results.into_iter().collect::<io::Result<()>>()?;
    let broken = broken.into_inner();
    println!("{seeds} seeds from {first}: {broken} broke a rule");
    Ok(if broken == 0 { EXIT_OK } else { EXIT_RULE_BROKEN })
}

fn run_seed(arguments: &Soak, program: &Path, seed: u64) -> io::Result<Outcome> {
    let dir = arguments.out.join(format!("seed-{seed}"));
    let mut options = Options::new(program, &dir, &format!("seed-{seed}"));
    options.trace = arguments.trace;
    let outcome = soak::run(seed, &options)?;
    if outcome.unexplained.is_empty() && arguments.seed.is_none() {
        fs::remove_dir_all(&dir)?;
    }
    Ok(outcome)
}

/// One line for a seed: its events, the broken rules, and how late the harness sent at worst.
fn format_outcome(seed: u64, outcome: &Outcome) -> String {
    let record = &outcome.record;
    let mut line = format!(
        "seed {seed}: {} brokers, {} servers; {}; ",
        record.brokers,
        record.servers,
        outcome.scenario.events.join(", ")
    );
    if outcome.unexplained.is_empty() {
        line += "no rule broken";
    }
    for (n, broken) in outcome.unexplained.iter().enumerate() {
        let separator = if n > 0 { " | " } else { "" };
        let _ = write!(line, "{separator}{:.3} s {}: {}", broken.at, broken.rule, broken.what);
    }
    let _ = write!(line, "; {:.1} ms late", record.lateness_ms);
    line
}
