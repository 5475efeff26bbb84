//! The trace tools on synthetic traces: merging loses and duplicates no record, clock offsets are corrected,
//! masking removes the original keys, and replaying a trace with this build gives the recorded decisions.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgergauge_core::{Action, Event, Time};
use badgergauge_synth::{Fault, SynthOptions, SynthOutput, run};
use badgergauge_trace::mask::Mask;
use badgergauge_trace::merge::{MergeError, MergedStream, trace_files};
use badgergauge_trace::replay::Unverifiable;
use badgergauge_trace::tools::{self, ToolError};
use badgergauge_trace::{FileEnd, Header, Record, Writer};

/// A directory that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgergauge-synth-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("create directory");
        TempDir(path)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn generate(dir: &Path, options: &SynthOptions) -> SynthOutput {
    fs::create_dir_all(dir).expect("create directory");
    run(options, |name| File::create_new(dir.join(name))).expect("generate traces")
}

fn options(seconds: u64) -> SynthOptions {
    SynthOptions {
        duration: Duration::from_secs(seconds),
        rate: 60.0,
        fault_interval: Duration::from_secs(2),
        // Drains and crashes change the server list, by which clocks are compared. Killing a broker makes
        // clients retry.
        faults: vec![Fault::Drain, Fault::Crash, Fault::BrokerKill, Fault::Drain, Fault::Fail, Fault::Slow],
        ..SynthOptions::default()
    }
}

fn open(paths: &[PathBuf]) -> MergedStream {
    MergedStream::open(&trace_files(paths).expect("file exists"), i64::MIN..i64::MAX).expect("valid trace")
}

/// Broker, run and sequence number of a record.
type RecordKey = (String, u64, u64);

/// All records of a stream by broker, run and sequence number, and their order in the stream.
fn read_all(mut merged: MergedStream) -> (BTreeMap<RecordKey, Record>, Vec<RecordKey>) {
    let (mut records, mut order) = (BTreeMap::new(), Vec::new());
    let sources = merged.header().sources.clone();
    while let Some(mut record) = merged.next_record().expect("read trace") {
        let source = &sources[record.source as usize];
        let key = (source.broker.clone(), source.run, record.sequence);
        record.source = 0;
        order.push(key.clone());
        assert!(records.insert(key.clone(), record).is_none(), "{key:?} is in the stream twice");
    }
    (records, order)
}

fn no_progress() -> impl FnMut(u64, u64) {
    |_, _| {}
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let dir = TempDir::new("seed");
    let (a, b) = (generate(&dir.path("a"), &options(6)), generate(&dir.path("b"), &options(6)));
    assert_eq!(a, b);
    for name in &a.files {
        assert!(
            fs::read(dir.path("a").join(name)).expect("read file")
                == fs::read(dir.path("b").join(name)).expect("read file")
        );
    }
    let other = generate(&dir.path("c"), &SynthOptions { seed: 8, ..options(6) });
    assert_ne!(a.decisions, other.decisions);
}

// Cuts a trace into time windows and merges them out of order, with one window and one original file given
// twice. The merged file must hold every step exactly once, unchanged.
#[test]
fn merged_windows_hold_every_decision_once() {
    let dir = TempDir::new("windows");
    let output = generate(&dir.path("t"), &options(20));
    let (whole, _) = read_all(open(&[dir.path("t")]));
    assert_eq!(whole.len() as u64, output.steps);
    let start = whole.values().map(|r| r.time).min().expect("at least one record");
    let start = start.0 as i64 + 1_795_766_400_000_000_000 - 1000 * 1_000_000_000;
    let second = 1_000_000_000_i64;
    let mut cuts = Vec::new();
    for window in 0..12 {
        let from = if window == 0 { i64::MIN } else { start + window * 3 * second };
        let to = if window == 11 { i64::MAX } else { start + (window + 1) * 3 * second };
        let path = dir.path(&format!("w{window}.bgt"));
        let merged = MergedStream::open(&trace_files(&[dir.path("t")]).expect("file exists"), from..to)
            .expect("valid trace");
        tools::write_all(merged, &path, &mut no_progress()).expect("write trace");
        cuts.push(path);
    }
    cuts.reverse();
    cuts.push(cuts[3].clone());
    // This original file overlaps all windows of its broker.
    cuts.push(dir.path("t").join(&output.files[0]));
    let written =
        tools::write_all(open(&cuts), &dir.path("all.bgt"), &mut no_progress()).expect("write trace");
    assert_eq!((written.steps, written.decisions), (output.steps, output.decisions));
    assert!(written.duplicates > 0);
    let (merged, order) = read_all(open(&[dir.path("all.bgt")]));
    assert!(merged == whole);
    let mut last: BTreeMap<(String, u64), u64> = BTreeMap::new();
    for (broker, run, sequence) in order {
        let before = last.insert((broker, run), sequence);
        assert!(before.is_none_or(|before| before < sequence));
    }
}

// Brokers' clocks are off by up to 40 ms. The estimated offsets must be within their stated error, and after
// their correction every retry must come after the request that it retries.
#[test]
fn clocks_are_put_right_and_causes_come_first() {
    let dir = TempDir::new("clocks");
    let skew = Duration::from_millis(40);
    let output = generate(
        &dir.path("t"),
        &SynthOptions {
            max_clock_skew: skew,
            rate: 150.0,
            servers: 8,
            faults: vec![Fault::Drain, Fault::Fail],
            ..options(24)
        },
    );
    let mut merged = open(&[dir.path("t")]);
    let alignment = tools::align(open(&[dir.path("t")]), &mut no_progress()).expect("read trace");
    assert_eq!(alignment.causality_violations, 0);
    assert!(alignment.retries > 0);
    for (offset, skew) in alignment.offsets.iter().zip(&output.clock_skews) {
        let wrong = (offset.nanos + skew).abs();
        assert!(wrong <= offset.error.unwrap_or(0).max(2_000_000), "{offset:?} for {skew}");
    }
    assert!(output.clock_skews.iter().any(|skew| skew.abs() > 5_000_000), "{:?}", output.clock_skews);
    merged.apply_offsets(&alignment.offsets.iter().map(|offset| offset.nanos).collect::<Vec<_>>());
    tools::write_all(merged, &dir.path("all.bgt"), &mut no_progress()).expect("write trace");
    // In the order of the merged file, each retry must follow the refusal of its first request.
    let mut merged = open(&[dir.path("all.bgt")]);
    let (mut open_requests, mut refused, mut retries) = (BTreeMap::new(), BTreeMap::new(), 0);
    let mut position = 0_u64;
    while let Some(record) = merged.next_record().expect("read trace") {
        position += 1;
        let queries = record.events.iter().filter_map(|event| match event {
            Event::Query(query) => Some(query),
            _ => None,
        });
        for (query, named) in queries.zip(&record.query_names) {
            let Some(key) = &named.idempotency_key else { continue };
            if query.is_retry {
                retries += 1;
                assert!(
                    refused.get(key).is_some_and(|at| *at < position),
                    "{key} is retried before it is refused"
                );
            } else {
                open_requests.insert((record.source, query.id), key.clone());
            }
        }
        for action in &record.actions {
            if let Action::Refuse { query, .. } | Action::Fail { query, .. } = action
                && let Some(key) = open_requests.remove(&(record.source, *query))
            {
                refused.insert(key, position);
            }
        }
    }
    assert!(retries > 0);
}

#[test]
fn verify_reproduces_decisions_and_reports_the_first_difference() {
    let dir = TempDir::new("verify");
    let output = generate(&dir.path("t"), &options(12));
    let (runs, _, _) = tools::verify(open(&[dir.path("t")]), true, &mut no_progress()).expect("read trace");
    assert_eq!(runs.iter().map(|run| run.decisions).sum::<u64>(), output.decisions);
    assert!(runs.iter().all(|run| run.difference.is_none() && run.stopped.is_none()));
    // Change the server of one recorded send.
    let path = dir.path("t").join(&output.files[1]);
    let mut reader = badgergauge_trace::merge::open(&path).expect("valid trace");
    let mut file = Vec::new();
    let mut writer = Writer::new(&mut file, reader.header().clone()).expect("write trace");
    let mut changed = None;
    while let Some(records) = reader.next_block().expect("read trace") {
        for mut record in records {
            let servers = reader.servers().clone();
            let index = record.actions.iter().position(|a| matches!(a, Action::Send { .. }));
            if let (None, Some(index), true) = (&changed, index, record.sequence > 500)
                && let Action::Send { server, .. } = &mut record.actions[index]
            {
                *server = *servers.keys().find(|other| *other != server).expect("another server");
                changed = Some((record.sequence, index));
            }
            writer.add(&record, &servers).expect("write trace");
        }
    }
    writer.finish().expect("write trace");
    fs::write(dir.path("changed.bgt"), file).expect("write trace");
    let (runs, _, _) =
        tools::verify(open(&[dir.path("changed.bgt")]), false, &mut no_progress()).expect("read trace");
    let first = runs[0].difference.as_ref().expect("a difference");
    assert_eq!(Some((first.sequence, first.index)), changed);
    assert!(first.query.is_some());
    // A trace without the start of its run, or a masked one, can't be verified; the reason is reported.
    let merged = MergedStream::open(std::slice::from_ref(&path), 1_795_766_403_000_000_000..i64::MAX)
        .expect("valid trace");
    tools::write_all(merged, &dir.path("late.bgt"), &mut no_progress()).expect("write trace");
    let (runs, _, _) =
        tools::verify(open(&[dir.path("late.bgt")]), false, &mut no_progress()).expect("read trace");
    assert!(matches!(runs[0].stopped, Some(Unverifiable::Missing(1, _))), "{:?}", runs[0].stopped);
    tools::copy(&path, &dir.path("masked.bgt"), Some(&Mask::new(b"0123456789abcdef"))).expect("masked");
    let (runs, _, _) =
        tools::verify(open(&[dir.path("masked.bgt")]), false, &mut no_progress()).expect("read trace");
    assert_eq!(runs[0].stopped, Some(Unverifiable::Masked));
}

/// The first of the patterns that occurs in the bytes, with its surroundings and position.
fn find_pattern(bytes: &[u8], patterns: &std::collections::HashSet<[u8; 8]>) -> Option<String> {
    let found = bytes.windows(8).position(|window| patterns.contains(window))?;
    Some(format!("{:?} at {found}", String::from_utf8_lossy(&bytes[found.saturating_sub(8)..found + 16])))
}

#[test]
fn masked_files_contain_no_original_key() {
    let dir = TempDir::new("mask");
    let output = generate(&dir.path("t"), &options(8));
    let mask = Mask::new(b"a secret of sixteen bytes and more");
    let mut patterns = std::collections::HashSet::<[u8; 8]>::new();
    let mut keys = BTreeMap::new();
    for name in &output.files {
        let path = dir.path("t").join(name);
        let mut reader = badgergauge_trace::merge::open(&path).expect("valid trace");
        while let Some(records) = reader.next_block().expect("read trace") {
            for record in records {
                for event in &record.events {
                    if let Event::Query(query) = event {
                        let key = query.key.expect("a query has a key");
                        patterns.extend([key.to_le_bytes(), key.to_be_bytes()]);
                        let hex = format!("{key:016x}").into_bytes();
                        patterns.extend(hex.chunks_exact(8).filter_map(|c| c.first_chunk::<8>().copied()));
                        keys.insert(key, mask.key(key));
                    }
                }
                for key in record.query_names.iter().filter_map(|named| named.idempotency_key.as_deref()) {
                    patterns
                        .extend(key.as_bytes().chunks_exact(8).filter_map(|c| c.first_chunk::<8>().copied()));
                }
            }
        }
        tools::copy(&path, &dir.path(name), Some(&mask)).expect("masked");
    }
    assert!(patterns.len() > 500);
    // The same search finds the keys in an original file, so it can fail.
    let decompressed = |path: &Path| {
        let bytes = fs::read(path).expect("file exists");
        let mut all = bytes.clone();
        let mut at = 0;
        while let Some(next) = (at..bytes.len())
            .find(|at| badgergauge_trace::frame::FrameHeader::decode(&bytes[*at..]).is_some())
        {
            let frame =
                badgergauge_trace::frame::FrameHeader::decode(&bytes[next..]).expect("a frame header");
            let from = next + badgergauge_trace::frame::FRAME_HEADER_LEN;
            at = from + frame.compressed_len as usize;
            all.extend(zstd::decode_all(&bytes[from..at]).expect("valid trace"));
        }
        all
    };
    assert!(find_pattern(&decompressed(&dir.path("t").join(&output.files[0])), &patterns).is_some());
    for name in &output.files {
        assert_eq!(find_pattern(&decompressed(&dir.path(name)), &patterns), None, "{name}");
    }
    // A key has the same masked value at every broker, and nothing else has changed.
    let masked: Vec<PathBuf> = output.files.iter().map(|name| dir.path(name)).collect();
    let (whole, _) = read_all(open(&[dir.path("t")]));
    let (masked, _) = read_all(open(&masked));
    assert_eq!(masked.len(), whole.len());
    for (key, record) in &whole {
        let other = &masked[key];
        assert!(record.actions == other.actions);
        for pair in record.events.iter().zip(&other.events) {
            if let (Event::Query(a), Event::Query(b)) = pair {
                assert_eq!(b.key, Some(keys[&a.key.expect("a query has a key")]));
            } else {
                assert!(pair.0 == pair.1);
            }
        }
    }
}

#[test]
fn explain_gives_the_same_lines_by_index_and_by_full_scan() {
    let dir = TempDir::new("explain");
    generate(&dir.path("t"), &SynthOptions { rate: 110.0, servers: 8, ..options(20) });
    let paths = trace_files(&[dir.path("t")]).expect("file exists");
    // A title-flag query that was sent to two brokers.
    let (mut merged, mut requests) = (open(&[dir.path("t")]), BTreeMap::<String, Vec<(u32, String)>>::new());
    while let Some(record) = merged.next_record().expect("read trace") {
        for named in record.query_names {
            if let Some(key) = named.idempotency_key {
                requests.entry(key).or_default().push((record.source, named.name));
            }
        }
    }
    let at_two_brokers =
        |requests: &&Vec<(u32, String)>| requests.iter().any(|request| request.0 != requests[0].0);
    let requests = requests.values().find(at_two_brokers).expect("a query that was sent to two brokers");
    let (lines, stats, notices) = tools::explain(&paths, &requests[0].1, false).expect("read trace");
    let (scanned, scan_stats, _) = tools::explain(&paths, &requests[0].1, true).expect("read trace");
    assert_eq!(lines, scanned);
    assert!(stats.blocks < scan_stats.blocks, "{stats:?} {scan_stats:?}");
    // The file of the killed broker has no index, which the notice reports.
    assert!(notices.iter().all(|notice| notice.message.contains("not closed")), "{notices:?}");
    let accepted = lines.iter().filter(|line| line.line.text.contains(" taken: title-flag ")).count();
    assert_eq!(accepted, requests.len());
    assert!(lines.is_sorted_by_key(|line| line.unix));
    assert!(tools::explain(&paths, "nothing of this name", false).expect("read trace").0.is_empty());
}

/// Writes a trace of one run with these sequence numbers, one step per millisecond. `zero` is the Unix time
/// of clock zero in nanoseconds.
fn write_trace(path: &Path, run: u64, zero: i64, sequences: std::ops::RangeInclusive<u64>, masked: bool) {
    let source = badgergauge_trace::Source {
        broker: "n1".into(),
        run,
        unix_at_zero: zero,
        classes: vec!["c".into()],
        ..Default::default()
    };
    let mut writer = Writer::new(File::create(path).expect("create file"), Header::new(vec![source], masked))
        .expect("write trace");
    for sequence in sequences {
        let time = Time(sequence * 1_000_000);
        let record = Record { sequence, time, note: format!("{run} {sequence}"), ..Record::default() };
        writer.add(&record, &Default::default()).expect("write trace");
    }
    writer.finish().expect("write trace");
}

#[test]
fn unusual_inputs_are_merged_or_refused() {
    let dir = TempDir::new("odd");
    let (a, b, c) = (dir.path("a.bgt"), dir.path("b.bgt"), dir.path("c.bgt"));
    // Two runs of one broker, the second with a clock that was set back into the time of the first.
    write_trace(&a, 1, 1_000_000_000, 1..=50, false);
    write_trace(&b, 2, 980_000_000, 1..=50, false);
    let (records, order) = read_all(open(&[a.clone(), b.clone()]));
    assert_eq!((records.len(), order.len()), (100, 100));
    for run in [1, 2] {
        let own: Vec<u64> = order.iter().filter(|key| key.1 == run).map(|key| key.2).collect();
        assert_eq!(own, (1..=50).collect::<Vec<_>>());
    }
    // One run in two files that overlap.
    write_trace(&c, 1, 1_000_000_000, 30..=80, false);
    assert_eq!(read_all(open(&[c.clone(), a.clone()])).0.len(), 80);
    // An empty file, one of another major version and a masked one are refused, and the error names the file.
    let refusal = |path: &Path| match MergedStream::open(&[a.clone(), path.to_owned()], i64::MIN..i64::MAX) {
        Ok(_) => panic!("{} is accepted", path.display()),
        Err(error) => error.to_string(),
    };
    fs::write(&b, "").expect("write trace");
    assert_eq!(refusal(&b), format!("{}: is empty", b.display()));
    let mut bytes = fs::read(&a).expect("file exists");
    bytes.splice(..badgergauge_trace::frame::PREAMBLE_LEN, {
        let length = u32::from_le_bytes(bytes[12..16].try_into().expect("four bytes")) as usize;
        badgergauge_trace::frame::encode_preamble((2, 0), &bytes[24..24 + length])
    });
    fs::write(&b, &bytes).expect("write trace");
    assert_eq!(
        refusal(&b),
        format!("{}: is of version 2.0, and this program reads versions 1.x", b.display())
    );
    write_trace(&b, 3, 0, 1..=2, true);
    assert!(refusal(&b).contains("is masked and"), "{}", refusal(&b));
    assert!(matches!(trace_files(&[dir.path("t"), dir.0.join("none")]).map(|f| is_open_error(&f)), Ok(true)));
    // An existing file is not overwritten, and no partly written file remains.
    let error = tools::write_all(open(std::slice::from_ref(&a)), &c, &mut no_progress())
        .expect_err("the file exists");
    assert!(matches!(error, ToolError::Write(..)), "{error}");
    assert!(
        !dir.0.read_dir().expect("file exists").any(|e| e
            .expect("read trace")
            .path()
            .to_string_lossy()
            .ends_with(".part"))
    );
}

/// Whether opening fails because a file can't be opened.
fn is_open_error(files: &[PathBuf]) -> bool {
    matches!(MergedStream::open(files, i64::MIN..i64::MAX), Err(MergeError::Open(..)))
}

#[test]
fn a_repaired_file_is_valid_and_holds_the_complete_records() {
    let dir = TempDir::new("repair");
    let output = generate(&dir.path("t"), &SynthOptions { brokers: 1, faults: vec![], ..options(20) });
    let path = dir.path("t").join(&output.files[0]);
    let bytes = fs::read(&path).expect("file exists");
    let cut = dir.path("cut.bgt");
    fs::write(&cut, &bytes[..bytes.len() * 2 / 3]).expect("write trace");
    let (written, end) = tools::copy(&cut, &dir.path("sound.bgt"), None).expect("repaired");
    assert!(matches!(end, FileEnd::Truncated { .. }), "{end:?}");
    assert_eq!(written.notices.len(), 1);
    let (whole, _) = read_all(open(&[path]));
    let (sound, _) = read_all(open(&[dir.path("sound.bgt")]));
    assert!(!sound.is_empty() && sound.len() < whole.len());
    assert!(sound.iter().all(|(key, record)| whole.get(key) == Some(record)));
    let mut reader = badgergauge_trace::merge::open(&dir.path("sound.bgt")).expect("valid trace");
    assert!(reader.index().expect("read trace").is_some());
}
