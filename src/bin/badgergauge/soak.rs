//! `fleet soak`: scenarios drawn from seeds, played side by side.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use badgergauge_fleet::run::Options;
use badgergauge_fleet::soak::{self, Outcome};

use crate::fleet::broker_program;
use crate::{BROKEN, DONE};

/// Cores that a fleet keeps busy at its peaks.
const CORES_PER_FLEET: usize = 2;

/// What `fleet soak` is told.
#[derive(clap::Args)]
pub struct Soak {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// So many seeds.
    #[arg(long, default_value_t = 50, conflicts_with = "seed")]
    seeds: u64,
    /// This seed alone; all that was written stays in `--out`.
    #[arg(long, conflicts_with = "first")]
    seed: Option<u64>,
    /// A folder for what was written: of each seed that broke a rule, or of the one seed.
    #[arg(long, default_value = "fleet-soak")]
    out: PathBuf,
    /// So many fleets at once; half as many as there are cores if it is not given.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=64))]
    at_once: Option<u16>,
    /// The broker's program, in place of this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Brokers write what they decide, and why, to trace files.
    #[arg(long)]
    trace: bool,
}

/// Plays them. Gives the exit code.
///
/// # Errors
///
/// When the harness can't do its part, for any of the seeds.
pub fn run(arguments: &Soak) -> io::Result<u8> {
    let program = broker_program(arguments.program.as_deref())?;
    let (first, seeds) = match arguments.seed {
        Some(seed) => (seed, 1),
        None => (arguments.first, arguments.seeds),
    };
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let at_once = arguments.at_once.map_or((cores / CORES_PER_FLEET).max(1), usize::from);
    let next = AtomicU64::new(first);
    let broken = AtomicU64::new(0);
    let worker = || -> io::Result<()> {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + seeds {
                return Ok(());
            }
            let outcome = play(arguments, &program, seed)?;
            broken.fetch_add(u64::from(!outcome.broken.is_empty()), Ordering::Relaxed);
            println!("{}", line(seed, &outcome));
        }
    };
    let results: Vec<io::Result<()>> = thread::scope(|scope| {
        let workers: Vec<_> = (0..at_once).map(|_| scope.spawn(worker)).collect();
        let panicked = |_| Err(io::Error::other("a player panicked"));
        workers.into_iter().map(|worker| worker.join().unwrap_or_else(panicked)).collect()
    });
    results.into_iter().collect::<io::Result<()>>()?;
    let broken = broken.into_inner();
    println!("{seeds} seeds from {first}: {broken} broke a rule");
    Ok(if broken == 0 { DONE } else { BROKEN })
}

fn play(arguments: &Soak, program: &Path, seed: u64) -> io::Result<Outcome> {
    let dir = arguments.out.join(format!("seed-{seed}"));
    let mut options = Options::new(program, &dir, &format!("seed-{seed}"));
    options.trace = arguments.trace;
    let outcome = soak::play(seed, &options)?;
    if outcome.broken.is_empty() && arguments.seed.is_none() {
        fs::remove_dir_all(&dir)?;
    }
    Ok(outcome)
}

/// A seed's line: what was drawn, which rules were broken, and how late the harness was.
fn line(seed: u64, outcome: &Outcome) -> String {
    let record = &outcome.record;
    let mut line = format!(
        "seed {seed}: {} brokers, {} servers; {}; ",
        record.brokers,
        record.servers,
        outcome.drawn.events.join(", ")
    );
    if outcome.broken.is_empty() {
        line += "no rule broken";
    }
    for (n, broken) in outcome.broken.iter().enumerate() {
        let separator = if n > 0 { " | " } else { "" };
        let _ = write!(line, "{separator}{:.3} s {}: {}", broken.at, broken.rule, broken.what);
    }
    let _ = write!(line, "; {:.1} ms late", record.lateness_ms);
    line
}
