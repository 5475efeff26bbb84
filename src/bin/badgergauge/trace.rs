//! `trace`: the tools that read trace files.

use std::fs::{self, File};
use std::io::{self, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgergauge_synth::Plan;
use badgergauge_trace::align::Offset;
use badgergauge_trace::describe::{Describer, Line, REASONS};
use badgergauge_trace::mask::Mask;
use badgergauge_trace::merge::{MergedStream, Notice, open, run_name, trace_files};
use badgergauge_trace::read::End;
use badgergauge_trace::record::server_name;
use badgergauge_trace::summary::{Summary, SummaryBuilder};
use badgergauge_trace::tools::{self, ToolError};
use badgergauge_trace::{Record, Source};
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use jiff::Timestamp;
use serde_json::json;

use crate::{DONE, INCOMPLETE, REFUSED};

/// The tools.
#[derive(Subcommand)]
pub enum Trace {
    /// Makes traces of stand-in traffic through the real core, in virtual time; the same seed, the same bytes.
    #[command(
        after_help = "Example:\n  badgergauge trace synth --duration 1h --brokers 3 --seed 7 --skew 5ms \
        --out hour"
    )]
    Synth(Synth),
    /// Says what files hold: whose records, when, how many, and whether anything is wrong.
    #[command(after_help = "Example:\n  badgergauge trace info hour/*.bgt")]
    Info(Inputs),
    /// Prints every event and decision, one a line, with the reasons.
    #[command(
        after_help = "Example:\n  badgergauge trace cat hour --class title-flag --reason draining --json"
    )]
    Cat(Cat),
    /// Writes what lies in a window of time into one file.
    #[command(
        after_help = "Example:\n  badgergauge trace cut hour --from +10m --to +12m --out incident.bgt\n\n\
        A time is like 2026-11-27T08:10:00Z, or like +90s: so long after the first step. The window holds its \
        beginning and not its end, so that windows in a row hold every step once."
    )]
    Cut(Cut),
    /// Puts the traces of several brokers together, in the order of time, with their clocks put right.
    #[command(
        after_help = "Example:\n  badgergauge trace merge n0/ n1/ n2/ --out all.bgt\n  badgergauge trace \
        merge a.bgt b.bgt --offset n1=-4ms --out all.bgt"
    )]
    Merge(Merge),
    /// Writes files again with title numbers and idempotency keys replaced by stand-in values.
    #[command(after_help = "Example:\n  head -c 32 /dev/urandom > mask.key\n  badgergauge trace mask hour \
        --key-file mask.key --out masked")]
    Mask(MaskArguments),
    /// Sums up service by class and by server.
    #[command(after_help = "Example:\n  badgergauge trace summary hour --format csv")]
    Summary(SummaryArguments),
    /// Tells the whole story of one query, every try at every broker.
    #[command(after_help = "Example:\n  badgergauge trace explain 9b1f03aa5c7e2d41 hour")]
    Explain(Explain),
    /// Makes every decision once more with this build, and says the first that differs.
    #[command(after_help = "Example:\n  badgergauge trace verify hour\n\nExit codes: 0 no difference, 1 a \
        difference, 3 not all could be verified.")]
    Verify(Verify),
    /// Writes a sound file from one that was cut short or damaged.
    #[command(after_help = "Example:\n  badgergauge trace repair broken.bgt --out sound.bgt")]
    Repair(Repair),
}

/// Files to read.
#[derive(Args)]
pub struct Inputs {
    /// Trace files, or folders of them.
    #[arg(required = true)]
    inputs: Vec<PathBuf>,
}

/// See [`Trace::Synth`].
#[derive(Args)]
pub struct Synth {
    /// How long, in virtual time.
    #[arg(long, value_parser = span, default_value = "1m")]
    duration: Duration,
    /// Brokers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=64))]
    brokers: u8,
    /// Tile servers.
    #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u8).range(4..=64))]
    servers: u8,
    /// Queries a second, at all brokers together.
    #[arg(long, default_value_t = 130.0)]
    rate: f64,
    /// What chance is drawn from.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// How far brokers' clocks are off at the most.
    #[arg(long, value_parser = span, default_value = "5ms")]
    skew: Duration,
    /// From one trouble to the next; 0s for none.
    #[arg(long, value_parser = span, default_value = "45s")]
    trouble_every: Duration,
    /// The folder to write to; made if it is missing.
    #[arg(long)]
    out: PathBuf,
}

/// See [`Trace::Cat`].
#[derive(Args)]
pub struct Cat {
    #[command(flatten)]
    inputs: Inputs,
    /// JSON lines in place of text.
    #[arg(long)]
    json: bool,
    /// Only what is about queries of this class.
    #[arg(long)]
    class: Option<String>,
    /// Only what names this server.
    #[arg(long)]
    server: Option<String>,
    /// Only what is about the query of this name.
    #[arg(long)]
    query: Option<String>,
    /// Only decisions for this reason.
    #[arg(long, value_parser = clap::builder::PossibleValuesParser::new(REASONS))]
    reason: Option<String>,
}

/// See [`Trace::Cut`].
#[derive(Args)]
pub struct Cut {
    #[command(flatten)]
    inputs: Inputs,
    /// From this time on.
    #[arg(long, allow_hyphen_values = true)]
    from: Option<String>,
    /// Up to this time.
    #[arg(long)]
    to: Option<String>,
    /// The file to write; it must not be there.
    #[arg(long)]
    out: PathBuf,
}

/// See [`Trace::Merge`].
#[derive(Args)]
pub struct Merge {
    #[command(flatten)]
    inputs: Inputs,
    /// What to add to a broker's times, in place of the estimate: BROKER=5ms.
    #[arg(long, value_parser = offset, allow_hyphen_values = true)]
    offset: Vec<(String, i64)>,
    /// Leave the clocks as they are, but for what `--offset` says.
    #[arg(long)]
    no_align: bool,
    /// The file to write; it must not be there.
    #[arg(long)]
    out: PathBuf,
}

/// See [`Trace::Mask`].
#[derive(Args)]
pub struct MaskArguments {
    #[command(flatten)]
    inputs: Inputs,
    /// The file with the secret: the same one gives the same stand-ins.
    #[arg(long)]
    key_file: PathBuf,
    /// The folder to write to, each file under its own name; made if it is missing.
    #[arg(long)]
    out: PathBuf,
}

/// Forms of a summary.
#[derive(Clone, Copy, ValueEnum)]
pub enum Form {
    /// Columns to read.
    Table,
    /// One object.
    Json,
    /// Comma-separated, the classes and then the servers.
    Csv,
}

/// See [`Trace::Summary`].
#[derive(Args)]
pub struct SummaryArguments {
    #[command(flatten)]
    inputs: Inputs,
    /// What to print.
    #[arg(long, value_enum, default_value = "table")]
    format: Form,
}

/// See [`Trace::Explain`].
#[derive(Args)]
pub struct Explain {
    /// The query's name (`X-Request-ID`), or its idempotency key.
    query: String,
    #[command(flatten)]
    inputs: Inputs,
    /// JSON lines in place of text.
    #[arg(long)]
    json: bool,
    /// Read everything in place of the indexes.
    #[arg(long)]
    scan: bool,
}

/// See [`Trace::Verify`].
#[derive(Args)]
pub struct Verify {
    #[command(flatten)]
    inputs: Inputs,
    /// The reasons must agree too.
    #[arg(long)]
    reasons: bool,
}

/// See [`Trace::Repair`].
#[derive(Args)]
pub struct Repair {
    /// The file to read.
    input: PathBuf,
    /// The file to write; it must not be there.
    #[arg(long)]
    out: PathBuf,
}

/// A span such as 5ms, 90s, 12m or 1h.
fn span(text: &str) -> Result<Duration, String> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let seconds = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err(format!("{text:?} is no span such as 5ms, 90s, 12m or 1h")),
    };
    let number: f64 = number.parse().map_err(|_| format!("{text:?} begins with no number"))?;
    Duration::try_from_secs_f64(number * seconds).map_err(|error| format!("{text:?}: {error}"))
}

/// `BROKER=5ms` or `BROKER=-5ms`.
fn offset(text: &str) -> Result<(String, i64), String> {
    let (broker, value) = text.split_once('=').ok_or("must be BROKER=SPAN")?;
    let (sign, value) = value.strip_prefix('-').map_or((1, value), |value| (-1, value));
    let nanos = i64::try_from(span(value)?.as_nanos()).map_err(|_| "is too long")?;
    Ok((broker.to_owned(), sign * nanos))
}

/// A time in Unix nanoseconds, absolute or from `start` on.
fn moment(text: &str, start: i64) -> Result<i64, String> {
    if let Some(after) = text.strip_prefix('+') {
        return Ok(start.saturating_add(i64::try_from(span(after)?.as_nanos()).unwrap_or(i64::MAX)));
    }
    let at: Timestamp = text.parse().map_err(|error| format!("{text:?} is no time: {error}"))?;
    i64::try_from(at.as_nanosecond()).map_err(|_| format!("{text:?} is out of range"))
}

fn shown(unix: i64) -> String {
    Timestamp::from_nanosecond(i128::from(unix)).map_or_else(|_| unix.to_string(), |at| format!("{at:.6}"))
}

/// Progress on a terminal, and none in a pipe.
struct Bar(ProgressBar);

impl Bar {
    fn new(what: &'static str) -> Self {
        if !io::stderr().is_terminal() {
            return Bar(ProgressBar::hidden());
        }
        let bar = ProgressBar::new(0).with_message(what);
        let style = ProgressStyle::with_template("{msg} {wide_bar} {bytes}/{total_bytes} {eta}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Bar(bar)
    }

    fn at(&self, done: u64, all: u64) {
        self.0.set_length(all);
        self.0.set_position(done);
    }
}

impl Drop for Bar {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}

/// Why a tool ends early.
enum Stop {
    Tool(ToolError),
    /// Whoever reads standard output has had enough.
    Pipe,
}

impl<E: Into<ToolError>> From<E> for Stop {
    fn from(error: E) -> Self {
        Stop::Tool(error.into())
    }
}

fn unfit(fault: String) -> Stop {
    Stop::Tool(ToolError::InvalidInput(fault))
}

fn piped(error: io::Error) -> Stop {
    match error.kind() {
        io::ErrorKind::BrokenPipe => Stop::Pipe,
        _ => Stop::Tool(ToolError::Write("standard output".into(), error)),
    }
}

/// Runs a tool.
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
        Err(Stop::Pipe) => DONE,
        Err(Stop::Tool(error)) => {
            eprintln!("badgergauge: trace: {error}");
            REFUSED
        }
    }
}

/// Says what was found out about the files; a result that lacks something for it is incomplete.
fn say(notices: &[Notice]) -> u8 {
    let mut code = DONE;
    for Notice { path, message } in notices {
        eprintln!("badgergauge: trace: {}: {message}", path.display());
        // An index that is missing costs time alone.
        if *message != End::Open.to_string() {
            code = INCOMPLETE;
        }
    }
    code
}

fn synth(arguments: &Synth) -> Result<u8, Stop> {
    let folder = |error| ToolError::Write(arguments.out.clone(), error);
    if !(arguments.rate > 0.0 && arguments.rate <= 10_000.0) {
        return Err(unfit("--rate: must be above 0 and 10000 at the most".into()));
    }
    fs::create_dir_all(&arguments.out).map_err(folder)?;
    let plan = Plan {
        duration: arguments.duration,
        brokers: arguments.brokers.into(),
        servers: arguments.servers.into(),
        rate: arguments.rate,
        skew: arguments.skew,
        trouble_every: arguments.trouble_every,
        seed: arguments.seed,
        ..Plan::default()
    };
    let create = |name: &str| {
        let file = File::options().write(true).create_new(true).open(arguments.out.join(name))?;
        Ok(BufWriter::new(file))
    };
    let made = badgergauge_synth::run(&plan, create).map_err(folder)?;
    let [whole, partial, refused, failed, nobody] = made.ends;
    let said = json!({"files": made.files, "steps": made.steps, "decisions": made.decisions, "tries": made.tries,
        "whole": whole, "partial": partial, "refused": refused, "failed": failed, "nobody": nobody,
        "skewsNs": made.skews});
    println!("{said}");
    Ok(DONE)
}

fn info(arguments: &Inputs) -> Result<u8, Stop> {
    let mut code = DONE;
    for path in trace_files(&arguments.inputs)? {
        let mut reader = open(&path)?;
        let (major, minor) = reader.version();
        let lost = |error| ToolError::Write(path.clone(), error);
        let indexed = reader.index().map_err(lost)?;
        let mut out = io::stdout().lock();
        let mut print = |line: String| writeln!(out, "{line}").map_err(piped);
        print(format!("{}: version {major}.{minor}, {} bytes", path.display(), reader.length()))?;
        print(format!(
            "  made by {}{}",
            reader.header().made_by,
            if reader.header().masked { ", masked" } else { "" }
        ))?;
        let (mut steps, mut blocks, mut missing, mut taken) = (0_u64, 0_u64, 0_u64, 0_u64);
        let sources = reader.header().sources.clone();
        let mut spans: Vec<Option<(u64, u64, i64, i64)>> = vec![None; sources.len()];
        while let Some(records) = reader.next_block().map_err(lost)? {
            blocks += 1;
            for record in records {
                steps += 1;
                taken += record.named.len() as u64;
                missing += record.gap.as_ref().map_or(0, |gap| gap.last - gap.first + 1);
                let unix = sources[record.source as usize].unix(record.time);
                let span = spans[record.source as usize].get_or_insert((
                    record.sequence,
                    record.sequence,
                    unix,
                    unix,
                ));
                *span = (
                    span.0.min(record.sequence),
                    span.1.max(record.sequence),
                    span.2.min(unix),
                    span.3.max(unix),
                );
            }
        }
        for (source, span) in sources.iter().zip(spans) {
            let held = span.map_or_else(
                || "no steps".to_owned(),
                |(first, last, from, to)| {
                    format!("steps {first} to {last}, {} to {}", shown(from), shown(to))
                },
            );
            let sampled = if source.is_whole() { "" } else { ", a sample" };
            let moved =
                if source.moved == 0 { String::new() } else { format!(", moved by {} ns", source.moved) };
            print(format!("  {}: {held}{sampled}{moved}", run_name(source)))?;
        }
        print(format!(
            "  {blocks} blocks, {steps} steps, {taken} queries taken, {missing} steps named as missing"
        ))?;
        let index = if indexed.is_some() { "indexed" } else { "no index" };
        let end = reader.end().unwrap_or(End::Open);
        print(format!("  {index}, {end}"))?;
        for damage in reader.damage() {
            print(format!("  damaged: {damage}"))?;
        }
        if !reader.damage().is_empty() || !matches!(end, End::Whole | End::Open) {
            code = INCOMPLETE;
        }
    }
    Ok(code)
}

fn all(arguments: &Inputs) -> Result<MergedStream, Stop> {
    Ok(MergedStream::open(&trace_files(&arguments.inputs)?, i64::MIN..i64::MAX)?)
}

fn cat(arguments: &Cat) -> Result<u8, Stop> {
    let mut merged = all(&arguments.inputs)?;
    let sources = merged.header().sources.clone();
    if let Some(class) = &arguments.class
        && !sources.iter().any(|source| source.classes.contains(class))
    {
        return Err(unfit(format!("--class: no broker here has a class {class:?}")));
    }
    let mut describers = vec![Describer::default(); sources.len()];
    let mut queries = std::collections::BTreeSet::new();
    let mut out = BufWriter::new(io::stdout().lock());
    while let Some(record) = merged.next_record()? {
        let source = &sources[record.source as usize];
        let named = record.named.iter().filter(|named| Some(&named.name) == arguments.query.as_ref());
        queries.extend(named.map(|named| (record.source, named.query)));
        let lines = describers[record.source as usize].describe(&record, source, merged.servers());
        for (index, line) in lines.iter().enumerate() {
            let class = |class: &String| line.class.is_some_and(|index| source.class(index) == class);
            let server =
                |name: &String| line.servers.iter().any(|id| server_name(merged.servers(), *id) == *name);
            let wanted = arguments.class.as_ref().is_none_or(class)
                && arguments.server.as_ref().is_none_or(server)
                && (arguments.query.is_none()
                    || line.query.is_some_and(|q| queries.contains(&(record.source, q))))
                && arguments.reason.as_ref().is_none_or(|reason| line.reasons.contains(&reason.as_str()));
            if wanted {
                print_line(&mut out, &record, source, index, line, arguments.json).map_err(piped)?;
            }
        }
    }
    out.flush().map_err(piped)?;
    Ok(say(&merged.notices()))
}

fn print_line(
    out: &mut impl Write,
    record: &Record,
    source: &Source,
    index: usize,
    line: &Line,
    as_json: bool,
) -> io::Result<()> {
    let at = shown(source.unix(record.time));
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
        first.map_or(0, |record| merged.header().sources[record.source as usize].unix(record.time))
    } else {
        0
    };
    let at = |name: &str, text: &Option<String>, open: i64| {
        let text = text.as_deref().map(|text| moment(text, start));
        text.transpose().map(|at| at.unwrap_or(open)).map_err(|fault| unfit(format!("--{name}: {fault}")))
    };
    let window = at("from", &arguments.from, i64::MIN)?..at("to", &arguments.to, i64::MAX)?;
    let bar = Bar::new("cutting");
    let written =
        tools::write_all(MergedStream::open(&files, window)?, &arguments.out, &mut |d, a| bar.at(d, a))?;
    drop(bar);
    println!("{}: {} steps, {} decisions", arguments.out.display(), written.steps, written.decisions);
    Ok(say(&written.notices))
}

fn merge(arguments: &Merge) -> Result<u8, Stop> {
    let files = trace_files(&arguments.inputs.inputs)?;
    let mut merged = MergedStream::open(&files, i64::MIN..i64::MAX)?;
    let sources = merged.header().sources.clone();
    for (broker, _) in &arguments.offset {
        if !sources.iter().any(|source| source.broker == *broker) {
            return Err(unfit(format!("--offset: there is no broker {broker:?}")));
        }
    }
    let mut offsets = vec![Offset::default(); sources.len()];
    let mut code = DONE;
    if !arguments.no_align {
        let bar = Bar::new("comparing clocks");
        let alignment =
            tools::align(MergedStream::open(&files, i64::MIN..i64::MAX)?, &mut |d, a| bar.at(d, a))?;
        drop(bar);
        offsets = alignment.offsets;
        println!("{} repeats of one broker's clients at another", alignment.retries);
        if alignment.causality_violations > 0 {
            code = INCOMPLETE;
            eprintln!(
                "badgergauge: trace: {} repeats come before what they repeat, whatever the offsets",
                alignment.causality_violations
            );
        }
    }
    for (source, found) in sources.iter().zip(&mut offsets) {
        let given = arguments.offset.iter().rev().find(|(broker, _)| *broker == source.broker);
        let why = match (given, found.error) {
            (Some((_, nanos)), _) => {
                found.nanos = *nanos;
                "as given".to_owned()
            }
            (None, Some(error)) => {
                format!(
                    "give or take {:.3} ms, by {} list versions",
                    error as f64 / 1e6,
                    found.common_versions
                )
            }
            (None, None) if found.common_versions > 0 => "the others are measured by it".to_owned(),
            (None, None) => "nothing to measure it by".to_owned(),
        };
        let repeats = match found.retry_correction {
            0 => String::new(),
            by if given.is_none() => format!(", moved by {:.3} ms for repeats", by as f64 / 1e6),
            _ => String::new(),
        };
        println!("{}: {:+.3} ms, {why}{repeats}", run_name(source), found.nanos as f64 / 1e6);
    }
    merged.apply_offsets(&offsets.iter().map(|offset| offset.nanos).collect::<Vec<_>>());
    let bar = Bar::new("merging");
    let written = tools::write_all(merged, &arguments.out, &mut |d, a| bar.at(d, a))?;
    drop(bar);
    println!(
        "{}: {} steps, {} decisions, {} steps were there more than once",
        arguments.out.display(),
        written.steps,
        written.decisions,
        written.duplicates
    );
    Ok(code.max(say(&written.notices)))
}

fn mask(arguments: &MaskArguments) -> Result<u8, Stop> {
    let secret = fs::read(&arguments.key_file)
        .map_err(|error| unfit(format!("--key-file: {}: {error}", arguments.key_file.display())))?;
    if secret.len() < 16 {
        return Err(unfit(format!(
            "--key-file: {}: must hold 16 bytes or more",
            arguments.key_file.display()
        )));
    }
    let mask = Mask::new(&secret);
    fs::create_dir_all(&arguments.out).map_err(|error| ToolError::Write(arguments.out.clone(), error))?;
    let mut code = DONE;
    for path in trace_files(&arguments.inputs.inputs)? {
        let name = path.file_name().map_or_else(|| Path::new("trace.bgt").into(), PathBuf::from);
        let (written, _) = tools::copy(&path, &arguments.out.join(name), Some(&mask))?;
        code = code.max(say(&written.notices));
    }
    Ok(code)
}

fn repair(arguments: &Repair) -> Result<u8, Stop> {
    let (written, _) = tools::copy(&arguments.input, &arguments.out, None)?;
    println!("{}: {} steps, {} decisions", arguments.out.display(), written.steps, written.decisions);
    Ok(say(&written.notices))
}

fn summary(arguments: &SummaryArguments) -> Result<u8, Stop> {
    let mut merged = all(&arguments.inputs)?;
    let sources = merged.header().sources.clone();
    let bar = Bar::new("summing up");
    let mut builder = SummaryBuilder::new(&sources);
    tools::for_each_record(&mut merged, &mut |done, all| bar.at(done, all), |_, record| {
        builder.add(&record, &sources[record.source as usize]);
        Ok(())
    })?;
    drop(bar);
    let summary = builder.finish(merged.servers());
    let mut out = io::stdout().lock();
    match arguments.format {
        Form::Json => {
            let json = serde_json::to_string_pretty(&summary).map_err(|error| unfit(error.to_string()))?;
            writeln!(out, "{json}").map_err(piped)?;
        }
        Form::Csv => csv(&summary, &mut out)?,
        Form::Table => table(&summary, &mut out).map_err(piped)?,
    }
    Ok(say(&merged.notices()))
}

fn csv(summary: &Summary, out: &mut impl Write) -> Result<(), Stop> {
    let fault = |error: csv::Error| match error.into_kind() {
        csv::ErrorKind::Io(error) => piped(error),
        other => unfit(format!("{other:?}")),
    };
    let mut classes = csv::Writer::from_writer(&mut *out);
    summary.classes.iter().try_for_each(|row| classes.serialize(row)).map_err(fault)?;
    classes.flush().map_err(piped)?;
    drop(classes);
    writeln!(out).map_err(piped)?;
    let mut servers = csv::Writer::from_writer(&mut *out);
    summary.servers.iter().try_for_each(|row| servers.serialize(row)).map_err(fault)?;
    servers.flush().map_err(piped)
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
    writeln!(out, "\nworth is answered over asked, a repeat asking once more; tries are attempts a part\n")?;
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
    let (told, stats, notices) = tools::explain(&files, &arguments.query, arguments.scan)?;
    if told.is_empty() {
        say(&notices);
        return Err(unfit(format!("no query of the name or key {:?} is on record", arguments.query)));
    }
    let mut out = BufWriter::new(io::stdout().lock());
    for one in &told {
        let source = Source { broker: one.broker.clone(), run: one.run, ..Source::default() };
        let time = badgergauge::Time(u64::try_from(one.unix).unwrap_or(0));
        let record = Record { sequence: one.sequence, time, ..Record::default() };
        print_line(&mut out, &record, &source, one.index, &one.line, arguments.json).map_err(piped)?;
    }
    out.flush().map_err(piped)?;
    tracing::debug!("{} blocks read, {} files without an index", stats.blocks, stats.scanned_files);
    Ok(say(&notices))
}

fn verify(arguments: &Verify) -> Result<u8, Stop> {
    let bar = Bar::new("deciding once more");
    let (runs, notices, servers) =
        tools::verify(all(&arguments.inputs)?, arguments.reasons, &mut |d, a| bar.at(d, a))?;
    drop(bar);
    let mut code = say(&notices);
    for run in &runs {
        let name = run_name(&run.source);
        println!("{name}: {} decisions the same", run.decisions);
        if let Some(why) = &run.stopped {
            println!("{name}: not verified from there on: {why}");
            code = code.max(INCOMPLETE);
        }
    }
    // The first of them all, by time.
    let differing = runs.iter().filter_map(|run| Some((run, run.difference.as_ref()?)));
    let Some((run, first)) = differing.min_by_key(|(run, first)| run.source.unix(first.time)) else {
        return Ok(code);
    };
    let at = shown(run.source.unix(first.time));
    let name = run_name(&run.source);
    println!("first difference: {name}, step {}, action {}, at {at}", first.sequence, first.index);
    println!("  query: {}", first.query.as_deref().unwrap_or("of none, or not known"));
    let describer = Describer::default();
    for (what, action) in [("recorded", &first.recorded), ("this build", &first.decided)] {
        let said =
            action.as_ref().map_or_else(|| "nothing more".to_owned(), |a| describer.action(a, &servers).0);
        println!("  {what}: {said}");
    }
    Ok(REFUSED)
}
