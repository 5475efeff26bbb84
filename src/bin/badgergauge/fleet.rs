//! `fleet`: brokers as processes with faults between them, and the report of a run.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use badgergauge_fleet::record::Record;
use badgergauge_fleet::run::{self, Options};
use badgergauge_fleet::scenario::Scenario;
use badgergauge_fleet::{report, schedule};

use crate::soak::{self, Soak};
use crate::{BROKEN, DONE, REFUSED};

/// What `fleet` does.
#[derive(clap::Subcommand)]
pub enum Fleet {
    /// Runs a scenario to its end, prints what was seen, and tells which rules were broken.
    #[command(after_help = "Example:\n  badgergauge fleet run scenarios/herd.yaml --brokers 30 --out run")]
    Run(Run),
    /// Reads a scenario and says every fault in it, or what would happen when.
    #[command(after_help = "Example:\n  badgergauge fleet check scenarios/herd.yaml")]
    Check(Check),
    /// Plays scenarios drawn from seeds, and prints a line for each: what was drawn, and which rules were broken.
    #[command(after_help = "Example:\n  badgergauge fleet soak --first 1 --seeds 50 --out soak")]
    Soak(Soak),
    /// Prints a run's counts by second, and draws them.
    #[command(after_help = "Example:\n  badgergauge fleet report run --plot run.svg")]
    Report(Report),
}

/// What `fleet run` is told.
#[derive(clap::Args)]
pub struct Run {
    /// The scenario.
    scenario: PathBuf,
    /// So many brokers, in place of the scenario's.
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=100))]
    brokers: Option<u8>,
    /// This seed, in place of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// A folder for configuration, logs and the record; made if it is missing.
    #[arg(long, default_value = "fleet-run")]
    out: PathBuf,
    /// The broker's program, in place of this one: to compare an earlier version.
    #[arg(long)]
    program: Option<PathBuf>,
    /// A change to the brokers' settings, as `/limits/maxOpen=100`.
    #[arg(long, value_name = "PATH=JSON")]
    set: Vec<String>,
    /// Brokers write what they decide, and why, to trace files in `--out`: see `badgergauge trace`.
    #[arg(long)]
    trace: bool,
}

/// What `fleet check` is told.
#[derive(clap::Args)]
pub struct Check {
    /// The scenario.
    scenario: PathBuf,
}

/// What `fleet report` is told.
#[derive(clap::Args)]
pub struct Report {
    /// The folder of a run.
    run: PathBuf,
    /// Draws the run into this file, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Runs one of them.
pub fn run(tool: Fleet) -> u8 {
    let done = match tool {
        Fleet::Run(arguments) => play(&arguments),
        Fleet::Check(arguments) => check(&arguments),
        Fleet::Soak(arguments) => soak::run(&arguments).map_err(|error| vec![error.to_string()]),
        Fleet::Report(arguments) => tell(&arguments),
    };
    done.unwrap_or_else(|faults| {
        faults.iter().for_each(|fault| eprintln!("badgergauge: fleet: {fault}"));
        REFUSED
    })
}

fn read(path: &Path) -> Result<Scenario, Vec<String>> {
    let text = fs::read_to_string(path).map_err(|error| vec![format!("{}: {error}", path.display())])?;
    Scenario::read(path, &text).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// The broker's program: the one that is given, or this one.
pub fn broker_program(given: Option<&Path>) -> io::Result<PathBuf> {
    given.map_or_else(std::env::current_exe, fs::canonicalize)
}

fn play(arguments: &Run) -> Result<u8, Vec<String>> {
    let plain = |error: std::io::Error| vec![error.to_string()];
    let mut scenario = read(&arguments.scenario)?;
    if let Some(brokers) = arguments.brokers {
        scenario.brokers = usize::from(brokers);
    }
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let program = broker_program(arguments.program.as_deref()).map_err(plain)?;
    let name = arguments.scenario.file_stem().map_or_else(String::new, |stem| stem.display().to_string());
    let mut options = Options::new(&program, &arguments.out, &name);
    options.trace = arguments.trace;
    for set in &arguments.set {
        let (path, value) = set.split_once('=').ok_or_else(|| vec![format!("--set {set}: no `=`")])?;
        let value = serde_json::from_str(value).map_err(|error| vec![format!("--set {set}: {error}")])?;
        options.set.push((path.to_owned(), value));
    }
    let record = run::run(&scenario, &options).map_err(plain)?;
    print!("{}", report::table(&record));
    Ok(if record.broken.is_empty() { DONE } else { BROKEN })
}

fn check(arguments: &Check) -> Result<u8, Vec<String>> {
    let scenario = read(&arguments.scenario)?;
    let schedule = schedule::Schedule::new(&scenario);
    println!(
        "{} brokers, {} servers, {} s, seed {}",
        scenario.brokers, scenario.servers, scenario.seconds, scenario.seed
    );
    for (at, act) in &schedule.acts {
        println!("{:>8.3} s  {act:?}", at.as_secs_f64());
    }
    Ok(DONE)
}

fn tell(arguments: &Report) -> Result<u8, Vec<String>> {
    let path = arguments.run.join("record.json");
    let said = |fault: String| vec![format!("{}: {fault}", path.display())];
    let text = fs::read_to_string(&path).map_err(|error| said(error.to_string()))?;
    let record: Record = serde_json::from_str(&text).map_err(|error| said(error.to_string()))?;
    print!("{}", report::table(&record));
    if let Some(plot) = &arguments.plot {
        report::draw(&record, plot).map_err(|fault| vec![format!("{}: {fault}", plot.display())])?;
    }
    Ok(DONE)
}
