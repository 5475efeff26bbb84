//! `badgergauge fleet`: runs scenarios of broker processes with injected faults, and reports on runs.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use badgergauge_fleet::record::Record;
use badgergauge_fleet::run::{self, Options};
use badgergauge_fleet::scenario::Scenario;
use badgergauge_fleet::{report, schedule};

use crate::soak::{self, Soak};
use crate::{EXIT_ERROR, EXIT_OK, EXIT_RULE_BROKEN};

/// Subcommands of `badgergauge fleet`.
#[derive(clap::Subcommand)]
pub enum Fleet {
    /// Runs a scenario, prints a report and lists the broken rules.
    #[command(after_help = "Example:\n  badgergauge fleet run scenarios/herd.yaml --brokers 30 --out run")]
    Run(Run),
    /// Validates a scenario: reports every error in it, or prints its schedule.
    #[command(after_help = "Example:\n  badgergauge fleet check scenarios/herd.yaml")]
    Check(Check),
    /// Runs randomly generated scenarios, one per seed, and prints one line for each: its events and the
    /// broken rules.
    #[command(after_help = "Example:\n  badgergauge fleet soak --first 1 --seeds 50 --out soak")]
    Soak(Soak),
    /// Prints the per-second figures of a run, and optionally plots them.
    #[command(after_help = "Example:\n  badgergauge fleet report run --plot run.svg")]
    Report(Report),
}

/// Arguments of `fleet run`.
#[derive(clap::Args)]
pub struct Run {
    /// Scenario file.
    scenario: PathBuf,
    /// Number of brokers; overrides the scenario's.
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=100))]
    brokers: Option<u8>,
    /// Seed of the random number generator; overrides the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Output folder for configuration, logs and the record of the run; created if missing.
    #[arg(long, default_value = "fleet-run")]
    out: PathBuf,
    /// Broker executable to run instead of this one, for comparison with another build.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Override of a setting of the brokers, such as `/limits/maxOpen=100`.
    #[arg(long, value_name = "PATH=JSON")]
    set: Vec<String>,
    /// Let the brokers record their decisions and the reasons in trace files in `--out`; see `badgergauge
    /// trace`.
    #[arg(long)]
    trace: bool,
}

/// Arguments of `fleet check`.
#[derive(clap::Args)]
pub struct Check {
    /// Scenario file.
    scenario: PathBuf,
}

/// Arguments of `fleet report`.
#[derive(clap::Args)]
pub struct Report {
    /// Output folder of the run.
    run: PathBuf,
    /// Plot the run to this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Runs a subcommand and returns the exit code.
pub fn run(command: Fleet) -> u8 {
    let result = match command {
        Fleet::Run(arguments) => run_scenario(&arguments),
        Fleet::Check(arguments) => check(&arguments),
        Fleet::Soak(arguments) => soak::run(&arguments).map_err(|error| vec![error.to_string()]),
        Fleet::Report(arguments) => show_report(&arguments),
    };
    result.unwrap_or_else(|errors| {
        errors.iter().for_each(|error| eprintln!("badgergauge: fleet: {error}"));
        EXIT_ERROR
    })
}

fn read_scenario(path: &Path) -> Result<Scenario, Vec<String>> {
    let text = fs::read_to_string(path).map_err(|error| vec![format!("{}: {error}", path.display())])?;
    Scenario::read(path, &text).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

/// The broker executable: `given`, or the one of this process.
///
/// # Errors
///
/// When the path can't be resolved.
pub fn broker_program(given: Option<&Path>) -> io::Result<PathBuf> {
    given.map_or_else(std::env::current_exe, fs::canonicalize)
}

fn run_scenario(arguments: &Run) -> Result<u8, Vec<String>> {
    let messages = |error: io::Error| vec![error.to_string()];
    let mut scenario = read_scenario(&arguments.scenario)?;
    if let Some(brokers) = arguments.brokers {
        scenario.brokers = usize::from(brokers);
    }
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let program = broker_program(arguments.program.as_deref()).map_err(messages)?;
    let name = arguments.scenario.file_stem().map_or_else(String::new, |stem| stem.display().to_string());
    let mut options = Options::new(&program, &arguments.out, &name);
    options.trace = arguments.trace;
    for set in &arguments.set {
        let (path, value) =
            set.split_once('=').ok_or_else(|| vec![format!("--set {set}: must be PATH=JSON")])?;
        let value = serde_json::from_str(value).map_err(|error| vec![format!("--set {set}: {error}")])?;
        options.set.push((path.to_owned(), value));
    }
    let record = run::run(&scenario, &options).map_err(messages)?;
    print!("{}", report::table(&record));
    Ok(if record.broken.is_empty() { EXIT_OK } else { EXIT_RULE_BROKEN })
}

fn check(arguments: &Check) -> Result<u8, Vec<String>> {
    let scenario = read_scenario(&arguments.scenario)?;
    let schedule = schedule::Schedule::new(&scenario);
    println!(
        "{} brokers, {} servers, {} s, seed {}",
        scenario.brokers, scenario.servers, scenario.seconds, scenario.seed
    );
    for (at, action) in &schedule.actions {
        println!("{:>8.3} s  {action:?}", at.as_secs_f64());
    }
    Ok(EXIT_OK)
}

fn show_report(arguments: &Report) -> Result<u8, Vec<String>> {
    let path = arguments.run.join("record.json");
    let errors = |error: String| vec![format!("{}: {error}", path.display())];
    let text = fs::read_to_string(&path).map_err(|error| errors(error.to_string()))?;
    let record: Record = serde_json::from_str(&text).map_err(|error| errors(error.to_string()))?;
    print!("{}", report::table(&record));
    if let Some(plot) = &arguments.plot {
        report::draw(&record, plot).map_err(|error| vec![format!("{}: {error}", plot.display())])?;
    }
    Ok(EXIT_OK)
}
