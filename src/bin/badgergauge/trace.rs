//! `badgergauge trace`: tools that read, convert and generate trace files.

use std::fs::{self, File};
use std::io::{self, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgergauge_synth::{RequestOutcomes, SynthOptions};
use badgergauge_trace::align::Offset;
use badgergauge_trace::describe::{Describer, Line, REASONS};
use badgergauge_trace::mask::Mask;
use badgergauge_trace::merge::{MergedStream, Notice, open, run_name, trace_files};
use badgergauge_trace::read::FileEnd;
use badgergauge_trace::record::server_name;
use badgergauge_trace::summary::{Summary, SummaryBuilder};
use badgergauge_trace::tools::{self, ToolError};
use badgergauge_trace::{Record, Source};
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use jiff::Timestamp;
use serde_json::json;

use crate::{EXIT_ERROR, EXIT_INCOMPLETE, EXIT_OK};

/// Subcommands of `badgergauge trace`.
#[derive(Subcommand)]
pub enum Trace {
    /// Generates traces of synthetic traffic through the real decision module in virtual time; the same seed
    /// gives the same bytes.
    #[command(
        after_help = "Example:\n  badgergauge trace synth --duration 1h --brokers 3 --seed 7 --skew 5ms \
        --out hour"
    )]
    Synth(Synth),
    /// Shows the contents of trace files: brokers and runs, time ranges, number of records, and any damage.
    #[command(after_help = "Example:\n  badgergauge trace info hour/*.bgt")]
    Info(Inputs),
    /// Prints every event and decision with its reasons, one per line.
    #[command(
        after_help = "Example:\n  badgergauge trace cat hour --class title-flag --reason draining --json"
    )]
    Cat(Cat),
    /// Writes the steps in a time window into one file.
    #[command(
        after_help = "Example:\n  badgergauge trace cut hour --from +10m --to +12m --out incident.bgt\n\n\
        A time is absolute (2026-11-27T08:10:00Z) or relative to the first step (+90s). The window includes \
        its start and excludes its end, so that consecutive windows contain every step once."
    )]
    Cut(Cut),
    /// Merges the traces of several brokers into one file in order of time, corrected for clock offsets.
    #[command(
        after_help = "Example:\n  badgergauge trace merge n0/ n1/ n2/ --out all.bgt\n  badgergauge trace \
        merge a.bgt b.bgt --offset n1=-4ms --out all.bgt"
    )]
    Merge(Merge),
    /// Copies trace files with route keys and idempotency keys replaced by pseudonyms.
    #[command(after_help = "Example:\n  head -c 32 /dev/urandom > mask.key\n  badgergauge trace mask hour \
        --key-file mask.key --out masked")]
    Mask(MaskArguments),
    /// Summarises service by class and by server.
    #[command(after_help = "Example:\n  badgergauge trace summary hour --format csv")]
    Summary(SummaryArguments),
    /// Prints all events and decisions of one query: every try at every broker.
    #[command(after_help = "Example:\n  badgergauge trace explain 9b1f03aa5c7e2d41 hour")]
    Explain(Explain),
    /// Replays traces with this build and reports the first decision that differs.
    #[command(after_help = "Example:\n  badgergauge trace verify hour\n\nExit codes: 0 no difference, 1 a \
        difference, 3 not everything could be verified.")]
    Verify(Verify),
    /// Copies the intact blocks of a truncated or damaged file into a new, valid one.
    #[command(after_help = "Example:\n  badgergauge trace repair broken.bgt --out sound.bgt")]
    Repair(Repair),
}

/// Input files.
#[derive(Args)]
pub struct Inputs {
    /// Trace files, or folders that contain some.
    #[arg(required = true)]
    inputs: Vec<PathBuf>,
}

/// See [`Trace::Synth`].
#[derive(Args)]
pub struct Synth {
    /// Duration in virtual time.
    #[arg(long, value_parser = parse_duration, default_value = "1m")]
    duration: Duration,
    /// Number of brokers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=64))]
    brokers: u8,
    /// Number of tile servers.
    #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u8).range(4..=64))]
    servers: u8,
    /// Queries per second, over all brokers.
    #[arg(long, default_value_t = 130.0)]
    rate: f64,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Maximum clock skew of a broker.
    #[arg(long, value_parser = parse_duration, default_value = "5ms")]
    skew: Duration,
    /// Interval between injected faults; 0s for none.
    #[arg(long, value_parser = parse_duration, default_value = "45s")]
    trouble_every: Duration,
    /// Output folder; created if missing.
    #[arg(long)]
    out: PathBuf,
}

/// See [`Trace::Cat`].
#[derive(Args)]
pub struct Cat {
    #[command(flatten)]
    inputs: Inputs,
    /// Print JSON lines instead of text.
    #[arg(long)]
    json: bool,
    /// Print only lines that concern queries of this class.
    #[arg(long)]
    class: Option<String>,
    /// Print only lines that concern this server.
    #[arg(long)]
    server: Option<String>,
    /// Print only lines that concern the query of this name.
    #[arg(long)]
    query: Option<String>,
    /// Print only lines with this reason.
    #[arg(long, value_parser = clap::builder::PossibleValuesParser::new(REASONS))]
    reason: Option<String>,
}

/// See [`Trace::Cut`].
#[derive(Args)]
pub struct Cut {
    #[command(flatten)]
    inputs: Inputs,
    /// Start of the window, inclusive.
    #[arg(long, allow_hyphen_values = true)]
    from: Option<String>,
    /// End of the window, exclusive.
    #[arg(long)]
    to: Option<String>,
    /// Output file; must not exist.
    #[arg(long)]
    out: PathBuf,
}

/// See [`Trace::Merge`].
#[derive(Args)]
pub struct Merge {
    #[command(flatten)]
    inputs: Inputs,
    /// Offset to add to a broker's times instead of the estimated one: BROKER=5ms.
    #[arg(long, value_parser = parse_offset, allow_hyphen_values = true)]
    offset: Vec<(String, i64)>,
    /// Do not estimate clock offsets; apply only those given by `--offset`.
    #[arg(long)]
    no_align: bool,
    /// Output file; must not exist.
    #[arg(long)]
    out: PathBuf,
}

/// See [`Trace::Mask`].
#[derive(Args)]
pub struct MaskArguments {
    #[command(flatten)]
    inputs: Inputs,
    /// File with the secret key, at least 16 bytes; the same key gives the same pseudonyms.
    #[arg(long)]
    key_file: PathBuf,
    /// Output folder, created if missing; files keep their names.
    #[arg(long)]
    out: PathBuf,
}

/// Output formats of a summary.
#[derive(Clone, Copy, ValueEnum)]
pub enum SummaryFormat {
    /// Aligned columns.
    Table,
    /// One JSON object.
    Json,
    /// Comma-separated values: the classes, an empty line, then the servers.
    Csv,
}

/// See [`Trace::Summary`].
#[derive(Args)]
pub struct SummaryArguments {
    #[command(flatten)]
    inputs: Inputs,
    /// Output format.
    #[arg(long, value_enum, default_value = "table")]
    format: SummaryFormat,
}

/// See [`Trace::Explain`].
#[derive(Args)]
pub struct Explain {
    /// The query's name (`X-Request-ID`), or its idempotency key.
    query: String,
    #[command(flatten)]
    inputs: Inputs,
    /// Print JSON lines instead of text.
    #[arg(long)]
    json: bool,
    /// Read all blocks instead of using the indexes.
    #[arg(long)]
    scan: bool,
}

/// See [`Trace::Verify`].
#[derive(Args)]
pub struct Verify {
    #[command(flatten)]
    inputs: Inputs,
    /// Compare the reasons of the decisions too.
    #[arg(long)]
    reasons: bool,
}

/// See [`Trace::Repair`].
#[derive(Args)]
pub struct Repair {
    /// Input file.
    input: PathBuf,
    /// Output file; must not exist.
    #[arg(long)]
    out: PathBuf,
}

/// Parses a duration such as 5ms, 90s, 12m or 1h.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let seconds = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err(format!("{text:?} is not a duration such as 5ms, 90s, 12m or 1h")),
    };
    let number: f64 = number.parse().map_err(|_| format!("{text:?} does not start with a number"))?;
    Duration::try_from_secs_f64(number * seconds).map_err(|error| format!("{text:?}: {error}"))
}

/// Parses a clock offset, `BROKER=5ms` or `BROKER=-5ms`, to the broker's name and nanoseconds.
fn parse_offset(text: &str) -> Result<(String, i64), String> {
    let (broker, value) = text.split_once('=').ok_or("must be BROKER=DURATION")?;
    let (sign, value) = value.strip_prefix('-').map_or((1, value), |value| (-1, value));
    let nanos = i64::try_from(parse_duration(value)?.as_nanos()).map_err(|_| "is too long")?;
    Ok((broker.to_owned(), sign * nanos))
}

/// Parses a time, absolute or relative to `start`, to Unix nanoseconds.
fn parse_time(text: &str, start: i64) -> Result<i64, String> {
    if let Some(after) = text.strip_prefix('+') {
        let nanos = i64::try_from(parse_duration(after)?.as_nanos()).unwrap_or(i64::MAX);
        return Ok(start.saturating_add(nanos));
    }
    let at: Timestamp = text.parse().map_err(|error| format!("{text:?} is not a valid time: {error}"))?;
    i64::try_from(at.as_nanosecond()).map_err(|_| format!("{text:?} is out of range"))
}

/// Formats a time in Unix nanoseconds with microsecond precision.
fn format_time(unix: i64) -> String {
    Timestamp::from_nanosecond(i128::from(unix)).map_or_else(|_| unix.to_string(), |at| format!("{at:.6}"))
}

/// A progress bar on standard error; hidden if that is not a terminal.
struct Progress(ProgressBar);

impl Progress {
    fn new(message: &'static str) -> Self {
        if !io::stderr().is_terminal() {
            return Progress(ProgressBar::hidden());
        }
        let bar = ProgressBar::new(0).with_message(message);
        let style = ProgressStyle::with_template("{msg} {wide_bar} {bytes}/{total_bytes} {eta}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Progress(bar)
    }

    fn update(&self, done: u64, total: u64) {
        self.0.set_length(total);
        self.0.set_position(done);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}

/// Why a tool ends early.
enum Stop {
    /// It failed.
    Error(ToolError),
    /// The reader of standard output closed the pipe.
    BrokenPipe,
}

impl<E: Into<ToolError>> From<E> for Stop {
    fn from(error: E) -> Self {
        Stop::Error(error.into())
    }
}

fn invalid_input(fault: String) -> Stop {
    Stop::Error(ToolError::InvalidInput(fault))
}

/// Maps an error of writing to standard output.
fn stdout_error(error: io::Error) -> Stop {
    match error.kind() {
        io::ErrorKind::BrokenPipe => Stop::BrokenPipe,
        _ => Stop::Error(ToolError::Write("standard output".into(), error)),
    }
}

/// Runs a tool and returns the exit code.
pub fn run(tool: Trace) -> u8 {
    let done = match tool {
        Trace::Synth(arguments) => synth(&arguments),
        Trace::Info(arguments) => info(&arguments),
        Trace::Cat(arguments) => cat(&arguments),
        Trace::Cut(arguments) => cut(&arguments),
        Trace::Merge(arguments) => merge(&arguments),
        Trace::Mask(arguments) => mask(&arguments),
        Trace::Summary(arguments) => summary(&arguments),
        Trace::Explain(arguments) => explain(&arguments),
        Trace::Verify(arguments) => verify(&arguments),
        Trace::Repair(arguments) => repair(&arguments),
    };
    match done {
        Ok(code) => code,
        Err(Stop::BrokenPipe) => EXIT_OK,
        Err(Stop::Error(error)) => {
            eprintln!("badgergauge: trace: {error}");
            EXIT_ERROR
        }
    }
}

/// Prints the problems found in the input files to standard error. Returns the exit code: [`EXIT_INCOMPLETE`] if
/// the result may lack records because of one.
fn report_notices(notices: &[Notice]) -> u8 {
    let mut code = EXIT_OK;
    for Notice { path, message } in notices {
        eprintln!("badgergauge: trace: {}: {message}", path.display());
        // Without an index, reading is slower but complete.
        if *message != FileEnd::Unclosed.to_string() {
            code = EXIT_INCOMPLETE;
        }
    }
    code
}

fn synth(arguments: &Synth) -> Result<u8, Stop> {
    let write_error = |error| ToolError::Write(arguments.out.clone(), error);
    if !(arguments.rate > 0.0 && arguments.rate <= 10_000.0) {
        return Err(invalid_input("--rate: must be greater than 0 and at most 10000".into()));
    }
    fs::create_dir_all(&arguments.out).map_err(write_error)?;
    let options = SynthOptions {
        duration: arguments.duration,
        brokers: arguments.brokers.into(),
        servers: arguments.servers.into(),
        rate: arguments.rate,
        max_clock_skew: arguments.skew,
        fault_interval: arguments.trouble_every,
        seed: arguments.seed,
        ..SynthOptions::default()
    };
    let create = |name: &str| {
        let file = File::options().write(true).create_new(true).open(arguments.out.join(name))?;
        Ok(BufWriter::new(file))
    };
    let output = badgergauge_synth::run(&options, create).map_err(write_error)?;
    let RequestOutcomes { complete, partial, refused, failed, no_broker } = output.outcomes;
    let report = json!({"files": output.files, "steps": output.steps, "decisions": output.decisions,
        "tries": output.requests, "whole": complete, "partial": partial, "refused": refused, "failed": failed,
        "nobody": no_broker, "skewsNs": output.clock_skews});
    println!("{report}");
    Ok(EXIT_OK)
}

/// The steps of one run in a file.
#[derive(Clone, Copy)]
struct StepRange {
    /// Sequence numbers of the first and the last step.
    first: u64,
    last: u64,
    /// Unix times of the earliest and the latest step, in nanoseconds.
    from: i64,
    to: i64,
}

fn info(arguments: &Inputs) -> Result<u8, Stop> {
    let mut code = EXIT_OK;
    for path in trace_files(&arguments.inputs)? {
        let mut reader = open(&path)?;
        let (major, minor) = reader.version();
        let io_error = |error| ToolError::Write(path.clone(), error);
        let index = reader.index().map_err(io_error)?;
        let mut out = io::stdout().lock();
        let mut print = |line: String| writeln!(out, "{line}").map_err(stdout_error);
        print(format!("{}: version {major}.{minor}, {} bytes", path.display(), reader.length()))?;
        print(format!(
            "  made by {}{}",
            reader.header().made_by,
            if reader.header().masked { ", masked" } else { "" }
        ))?;
        let (mut steps, mut blocks, mut missing, mut taken) = (0_u64, 0_u64, 0_u64, 0_u64);
        let sources = reader.header().sources.clone();
        let mut ranges: Vec<Option<StepRange>> = vec![None; sources.len()];
        while let Some(records) = reader.next_block().map_err(io_error)? {
            blocks += 1;
            for record in records {
                steps += 1;
                taken += record.query_names.len() as u64;
                missing += record.gap.as_ref().map_or(0, |gap| gap.last - gap.first + 1);
                let unix = sources[record.source as usize].unix_nanos(record.time);
                let range = ranges[record.source as usize].get_or_insert(StepRange {
                    first: record.sequence,
                    last: record.sequence,
                    from: unix,
                    to: unix,
                });
                *range = StepRange {
                    first: range.first.min(record.sequence),
                    last: range.last.max(record.sequence),
                    from: range.from.min(unix),
                    to: range.to.max(unix),
                };
            }
        }
        for (source, range) in sources.iter().zip(ranges) {
            let steps = range.map_or_else(
                || "no steps".to_owned(),
                |StepRange { first, last, from, to }| {
                    format!("steps {first} to {last}, {} to {}", format_time(from), format_time(to))
                },
            );
            let sampled = if source.is_unsampled() { "" } else { ", sampled" };
            let offset = if source.moved == 0 {
                String::new()
            } else {
                format!(", clock offset {} ns applied", source.moved)
            };
            print(format!("  {}: {steps}{sampled}{offset}", run_name(source)))?;
        }
        print(format!(
            "  {blocks} blocks, {steps} steps, {taken} queries taken, {missing} steps recorded as missing"
        ))?;
        let index = if index.is_some() { "indexed" } else { "no index" };
        let end = reader.end().unwrap_or(FileEnd::Unclosed);
        print(format!("  {index}, {end}"))?;
        for damage in reader.damage() {
            print(format!("  damaged: {damage}"))?;
        }
        if !reader.damage().is_empty() || !matches!(end, FileEnd::Complete | FileEnd::Unclosed) {
            code = EXIT_INCOMPLETE;
        }
    }
    Ok(code)
}

/// Opens all input files as one stream, for all times.
fn open_all(arguments: &Inputs) -> Result<MergedStream, Stop> {
    Ok(MergedStream::open(&trace_files(&arguments.inputs)?, i64::MIN..i64::MAX)?)
}

fn cat(arguments: &Cat) -> Result<u8, Stop> {
    let mut merged = open_all(&arguments.inputs)?;
    let sources = merged.header().sources.clone();
    if let Some(class) = &arguments.class
        && !sources.iter().any(|source| source.classes.contains(class))
    {
        return Err(invalid_input(format!("--class: no broker in these files has a class {class:?}")));
    }
    let mut describers = vec![Describer::default(); sources.len()];
    let mut queries = std::collections::BTreeSet::new();
    let mut out = BufWriter::new(io::stdout().lock());
    while let Some(record) = merged.next_record()? {
        let source = &sources[record.source as usize];
        let named = record.query_names.iter().filter(|named| Some(&named.name) == arguments.query.as_ref());
        queries.extend(named.map(|named| (record.source, named.query)));
        let lines = describers[record.source as usize].describe(&record, source, merged.servers());
        for (index, line) in lines.iter().enumerate() {
            let class = |class: &String| line.class.is_some_and(|index| source.class_name(index) == class);
            let server =
                |name: &String| line.servers.iter().any(|id| server_name(merged.servers(), *id) == *name);
            let wanted = arguments.class.as_ref().is_none_or(class)
                && arguments.server.as_ref().is_none_or(server)
                && (arguments.query.is_none()
                    || line.query.is_some_and(|q| queries.contains(&(record.source, q))))
                && arguments.reason.as_ref().is_none_or(|reason| line.reasons.contains(&reason.as_str()));
            if wanted {
                print_line(&mut out, &record, source, index, line, arguments.json).map_err(stdout_error)?;
            }
        }
    }
    out.flush().map_err(stdout_error)?;
    Ok(report_notices(&merged.notices()))
}

fn print_line(
    out: &mut impl Write,
    record: &Record,
    source: &Source,
    index: usize,
    line: &Line,
    as_json: bool,
) -> io::Result<()> {
    let at = format_time(source.unix_nanos(record.time));
    if as_json {
        let mut json = line.json.clone();
        json["time"] = at.into();
        json["broker"] = source.broker.clone().into();
        json["run"] = format!("{:016x}", source.run).into();
        json["step"] = record.sequence.into();
        json["index"] = index.into();
        return writeln!(out, "{json}");
    }
    writeln!(out, "{at} {} #{}.{index} {}", source.broker, record.sequence, line.text)
}

fn cut(arguments: &Cut) -> Result<u8, Stop> {
    let files = trace_files(&arguments.inputs.inputs)?;
    let relative = [&arguments.from, &arguments.to].into_iter().flatten().any(|text| text.starts_with('+'));
    let start = if relative {
        let mut merged = MergedStream::open(&files, i64::MIN..i64::MAX)?;
        let first = merged.next_record()?;
        first.map_or(0, |record| merged.header().sources[record.source as usize].unix_nanos(record.time))
    } else {
        0
    };
    let bound = |name: &str, text: &Option<String>, default: i64| {
        let time = text.as_deref().map(|text| parse_time(text, start));
        time.transpose()
            .map(|time| time.unwrap_or(default))
            .map_err(|fault| invalid_input(format!("--{name}: {fault}")))
    };
    let window = bound("from", &arguments.from, i64::MIN)?..bound("to", &arguments.to, i64::MAX)?;
    let progress = Progress::new("cutting");
    let written =
        tools::write_all(MergedStream::open(&files, window)?, &arguments.out, &mut |done, total| {
            progress.update(done, total)
        })?;
    drop(progress);
    println!("{}: {} steps, {} decisions", arguments.out.display(), written.steps, written.decisions);
    Ok(report_notices(&written.notices))
}

fn merge(arguments: &Merge) -> Result<u8, Stop> {
    let files = trace_files(&arguments.inputs.inputs)?;
    let mut merged = MergedStream::open(&files, i64::MIN..i64::MAX)?;
    let sources = merged.header().sources.clone();
    for (broker, _) in &arguments.offset {
        if !sources.iter().any(|source| source.broker == *broker) {
            return Err(invalid_input(format!("--offset: no broker {broker:?} in these files")));
        }
    }
    let mut offsets = vec![Offset::default(); sources.len()];
    let mut code = EXIT_OK;
    if !arguments.no_align {
        let progress = Progress::new("comparing clocks");
        let alignment = tools::align(MergedStream::open(&files, i64::MIN..i64::MAX)?, &mut |done, total| {
            progress.update(done, total)
        })?;
        drop(progress);
        offsets = alignment.offsets;
        println!("{} client retries at another broker", alignment.retries);
        if alignment.causality_violations > 0 {
            code = EXIT_INCOMPLETE;
            eprintln!(
                "badgergauge: trace: {} client retries precede their first tries with any clock offsets",
                alignment.causality_violations
            );
        }
    }
    for (source, found) in sources.iter().zip(&mut offsets) {
        let given = arguments.offset.iter().rev().find(|(broker, _)| *broker == source.broker);
        let basis = match (given, found.error) {
            (Some((_, nanos)), _) => {
                found.nanos = *nanos;
                "given by --offset".to_owned()
            }
            (None, Some(error)) => {
                format!(
                    "+/- {:.3} ms, estimated from {} list versions",
                    error as f64 / 1e6,
                    found.common_versions
                )
            }
            (None, None) if found.is_reference => "reference clock".to_owned(),
            (None, None) if found.common_versions > 0 => {
                format!("error unknown, estimated from {} list versions", found.common_versions)
            }
            (None, None) => "no common list versions to estimate from".to_owned(),
        };
        let retries = match found.retry_correction {
            0 => String::new(),
            nanos if given.is_none() => format!(", {:+.3} ms of it for client retries", nanos as f64 / 1e6),
            _ => String::new(),
        };
        println!("{}: {:+.3} ms, {basis}{retries}", run_name(source), found.nanos as f64 / 1e6);
    }
    merged.apply_offsets(&offsets.iter().map(|offset| offset.nanos).collect::<Vec<_>>());
    let progress = Progress::new("merging");
    let written = tools::write_all(merged, &arguments.out, &mut |done, total| progress.update(done, total))?;
    drop(progress);
    println!(
        "{}: {} steps, {} decisions, {} duplicate steps dropped",
        arguments.out.display(),
        written.steps,
        written.decisions,
        written.duplicates
    );
    Ok(code.max(report_notices(&written.notices)))
}

fn mask(arguments: &MaskArguments) -> Result<u8, Stop> {
    let secret = fs::read(&arguments.key_file)
        .map_err(|error| invalid_input(format!("--key-file: {}: {error}", arguments.key_file.display())))?;
    if secret.len() < 16 {
        return Err(invalid_input(format!(
            "--key-file: {}: must contain at least 16 bytes",
            arguments.key_file.display()
        )));
    }
    let mask = Mask::new(&secret);
    fs::create_dir_all(&arguments.out).map_err(|error| ToolError::Write(arguments.out.clone(), error))?;
    let mut code = EXIT_OK;
    for path in trace_files(&arguments.inputs.inputs)? {
        let name = path.file_name().map_or_else(|| Path::new("trace.bgt").into(), PathBuf::from);
        let (written, _) = tools::copy(&path, &arguments.out.join(name), Some(&mask))?;
        code = code.max(report_notices(&written.notices));
    }
    Ok(code)
}

fn repair(arguments: &Repair) -> Result<u8, Stop> {
    let (written, _) = tools::copy(&arguments.input, &arguments.out, None)?;
    println!("{}: {} steps, {} decisions", arguments.out.display(), written.steps, written.decisions);
    Ok(report_notices(&written.notices))
}

fn summary(arguments: &SummaryArguments) -> Result<u8, Stop> {
    let mut merged = open_all(&arguments.inputs)?;
    let sources = merged.header().sources.clone();
    let progress = Progress::new("summarising");
    let mut builder = SummaryBuilder::new(&sources);
    tools::for_each_record(&mut merged, &mut |done, total| progress.update(done, total), |_, record| {
        builder.add(&record, &sources[record.source as usize]);
        Ok(())
    })?;
    drop(progress);
    let summary = builder.finish(merged.servers());
    let mut out = io::stdout().lock();
    match arguments.format {
        SummaryFormat::Json => {
            let json =
                serde_json::to_string_pretty(&summary).map_err(|error| invalid_input(error.to_string()))?;
            writeln!(out, "{json}").map_err(stdout_error)?;
        }
        SummaryFormat::Csv => csv(&summary, &mut out)?,
        SummaryFormat::Table => table(&summary, &mut out).map_err(stdout_error)?,
    }
    Ok(report_notices(&merged.notices()))
}

fn csv(summary: &Summary, out: &mut impl Write) -> Result<(), Stop> {
    let fault = |error: csv::Error| match error.into_kind() {
        csv::ErrorKind::Io(error) => stdout_error(error),
        other => invalid_input(format!("{other:?}")),
    };
    let mut classes = csv::Writer::from_writer(&mut *out);
    summary.classes.iter().try_for_each(|row| classes.serialize(row)).map_err(fault)?;
    classes.flush().map_err(stdout_error)?;
    drop(classes);
    writeln!(out).map_err(stdout_error)?;
    let mut servers = csv::Writer::from_writer(&mut *out);
    summary.servers.iter().try_for_each(|row| servers.serialize(row)).map_err(fault)?;
    servers.flush().map_err(stdout_error)
}

fn table(summary: &Summary, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8}",
        "class",
        "taken",
        "whole",
        "partial",
        "refused",
        "failed",
        "gone",
        "late",
        "worth",
        "tries",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "max ms"
    )?;
    for row in &summary.classes {
        let worth = match (row.worth, row.worth_asked) {
            (worth, Some(asked)) if asked > 0.0 => format!("{:.3}", worth.unwrap_or(0.0) / asked),
            _ => "-".to_owned(),
        };
        let tries = if row.parts > 0 { row.attempts as f64 / row.parts as f64 } else { 0.0 };
        writeln!(
            out,
            "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7.3} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
            row.class,
            row.taken,
            row.whole,
            row.partial,
            row.refused,
            row.failed,
            row.gone,
            row.late,
            worth,
            tries,
            row.p50_ms,
            row.p90_ms,
            row.p99_ms,
            row.max_ms
        )?;
    }
    writeln!(
        out,
        "\nworth: share earned of the worth asked for, counting retries again; tries: attempts per part\n"
    )?;
    writeln!(
        out,
        "{:<24} {:>9} {:>9} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>8} {:>8}",
        "server",
        "sent",
        "served",
        "error",
        "turned",
        "no answer",
        "no conn",
        "lost",
        "cancelled",
        "p50 ms",
        "p99 ms"
    )?;
    for row in &summary.servers {
        writeln!(
            out,
            "{:<24} {:>9} {:>9} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>8.1} {:>8.1}",
            row.server,
            row.sent,
            row.served,
            row.error,
            row.turned_away,
            row.no_answer,
            row.no_connection,
            row.connection_lost,
            row.cancelled,
            row.p50_ms,
            row.p99_ms
        )?;
    }
    let not_taken: u64 = summary.classes.iter().map(|row| row.not_taken).sum();
    writeln!(
        out,
        "\n{} steps, {} missing, {not_taken} queries not taken",
        summary.steps, summary.missing_steps
    )
}

fn explain(arguments: &Explain) -> Result<u8, Stop> {
    let files = trace_files(&arguments.inputs.inputs)?;
    let (lines, stats, notices) = tools::explain(&files, &arguments.query, arguments.scan)?;
    if lines.is_empty() {
        report_notices(&notices);
        return Err(invalid_input(format!(
            "no query with the name or idempotency key {:?} found",
            arguments.query
        )));
    }
    let mut out = BufWriter::new(io::stdout().lock());
    for explained in &lines {
        let source = Source { broker: explained.broker.clone(), run: explained.run, ..Source::default() };
        let time = badgergauge::Time(u64::try_from(explained.unix).unwrap_or(0));
        let record = Record { sequence: explained.sequence, time, ..Record::default() };
        print_line(&mut out, &record, &source, explained.index, &explained.line, arguments.json)
            .map_err(stdout_error)?;
    }
    out.flush().map_err(stdout_error)?;
    tracing::debug!("{} blocks read, {} full reads of files", stats.blocks, stats.scanned_files);
    Ok(report_notices(&notices))
}

fn verify(arguments: &Verify) -> Result<u8, Stop> {
    let progress = Progress::new("replaying");
    let (runs, notices, servers) =
        tools::verify(open_all(&arguments.inputs)?, arguments.reasons, &mut |done, total| {
            progress.update(done, total)
        })?;
    drop(progress);
    let mut code = report_notices(&notices);
    for run in &runs {
        let name = run_name(&run.source);
        println!("{name}: {} decisions identical", run.decisions);
        if let Some(why) = &run.stopped {
            println!("{name}: not verified beyond these: {why}");
            code = code.max(EXIT_INCOMPLETE);
        }
    }
    // The earliest difference of all runs.
    let differing = runs.iter().filter_map(|run| Some((run, run.difference.as_ref()?)));
    let Some((run, first)) = differing.min_by_key(|(run, first)| run.source.unix_nanos(first.time)) else {
        return Ok(code);
    };
    let at = format_time(run.source.unix_nanos(first.time));
    let name = run_name(&run.source);
    println!("first difference: {name}, step {}, action {}, at {at}", first.sequence, first.index);
    println!("  query: {}", first.query.as_deref().unwrap_or("none or unknown"));
    let describer = Describer::default();
    for (origin, action) in [("recorded", &first.recorded), ("this build", &first.decided)] {
        let text = action
            .as_ref()
            .map_or_else(|| "no further action".to_owned(), |a| describer.action(a, &servers).0);
        println!("  {origin}: {text}");
    }
    Ok(EXIT_ERROR)
}
