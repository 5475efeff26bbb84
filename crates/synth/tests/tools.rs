//! The tools over traces of stand-in traffic: nothing is lost, nothing comes twice, clocks are put right, keys
//! are gone, and this build decides as it did.

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

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgergauge-synth-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn make(folder: &Path, plan: &SynthOptions) -> SynthOutput {
    fs::create_dir_all(folder).expect("a folder");
    run(plan, |name| File::create_new(folder.join(name))).expect("made")
}

fn plan(seconds: u64) -> SynthOptions {
    SynthOptions {
        duration: Duration::from_secs(seconds),
        rate: 60.0,
        fault_interval: Duration::from_secs(2),
        // Lists change most, as clocks are compared by them; a broker is killed, and its clients come back.
        faults: vec![Fault::Drain, Fault::Crash, Fault::BrokerKill, Fault::Drain, Fault::Fail, Fault::Slow],
        ..SynthOptions::default()
    }
}

fn open(paths: &[PathBuf]) -> MergedStream {
    MergedStream::open(&trace_files(paths).expect("there"), i64::MIN..i64::MAX).expect("sound")
}

type Key = (String, u64, u64);

/// All records of a stream by run and number, and the order they came in.
fn all(mut merged: MergedStream) -> (BTreeMap<Key, Record>, Vec<Key>) {
    let (mut records, mut order) = (BTreeMap::new(), Vec::new());
    let sources = merged.header().sources.clone();
    while let Some(mut record) = merged.next_record().expect("read") {
        let source = &sources[record.source as usize];
        let key = (source.broker.clone(), source.run, record.sequence);
        record.source = 0;
        order.push(key.clone());
        assert!(records.insert(key.clone(), record).is_none(), "{key:?} came twice");
    }
    (records, order)
}

fn no_progress() -> impl FnMut(u64, u64) {
    |_, _| {}
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let folder = Folder::new("seed");
    let (a, b) = (make(&folder.at("a"), &plan(6)), make(&folder.at("b"), &plan(6)));
    assert_eq!(a, b);
    for name in &a.files {
        assert!(
            fs::read(folder.at("a").join(name)).expect("a")
                == fs::read(folder.at("b").join(name)).expect("b")
        );
    }
    let other = make(&folder.at("c"), &SynthOptions { seed: 8, ..plan(6) });
    assert_ne!(a.decisions, other.decisions);
}

// An hour in little: cut into windows, shuffled, some given twice, and merged: every step once, as it was.
#[test]
fn windows_merged_again_give_every_decision_once() {
    let folder = Folder::new("windows");
    let made = make(&folder.at("t"), &plan(20));
    let (whole, _) = all(open(&[folder.at("t")]));
    assert_eq!(whole.len() as u64, made.steps);
    let start = whole.values().map(|r| r.time).min().expect("some");
    let start = start.0 as i64 + 1_795_766_400_000_000_000 - 1000 * 1_000_000_000;
    let second = 1_000_000_000_i64;
    let mut cuts = Vec::new();
    for window in 0..12 {
        let from = if window == 0 { i64::MIN } else { start + window * 3 * second };
        let to = if window == 11 { i64::MAX } else { start + (window + 1) * 3 * second };
        let path = folder.at(&format!("w{window}.bgt"));
        let merged =
            MergedStream::open(&trace_files(&[folder.at("t")]).expect("there"), from..to).expect("sound");
        tools::write_all(merged, &path, &mut no_progress()).expect("written");
        cuts.push(path);
    }
    cuts.reverse();
    cuts.push(cuts[3].clone());
    // The originals of one broker overlap all its windows.
    cuts.push(folder.at("t").join(&made.files[0]));
    let written = tools::write_all(open(&cuts), &folder.at("all.bgt"), &mut no_progress()).expect("written");
    assert_eq!((written.steps, written.decisions), (made.steps, made.decisions));
    assert!(written.duplicates > 0);
    let (merged, order) = all(open(&[folder.at("all.bgt")]));
    assert!(merged == whole);
    let mut last: BTreeMap<(String, u64), u64> = BTreeMap::new();
    for (broker, run, sequence) in order {
        let before = last.insert((broker, run), sequence);
        assert!(before.is_none_or(|before| before < sequence));
    }
}

// Clocks that disagree by some milliseconds: the estimate is within what it says, and every repeat comes after
// what it repeats.
#[test]
fn clocks_are_put_right_and_causes_come_first() {
    let folder = Folder::new("clocks");
    let skew = Duration::from_millis(40);
    let made = make(
        &folder.at("t"),
        &SynthOptions {
            max_clock_skew: skew,
            rate: 150.0,
            servers: 8,
            faults: vec![Fault::Drain, Fault::Fail],
            ..plan(24)
        },
    );
    let mut merged = open(&[folder.at("t")]);
    let alignment = tools::align(open(&[folder.at("t")]), &mut no_progress()).expect("read");
    assert_eq!(alignment.causality_violations, 0);
    assert!(alignment.retries > 0);
    for (offset, skew) in alignment.offsets.iter().zip(&made.clock_skews) {
        let wrong = (offset.nanos + skew).abs();
        assert!(wrong <= offset.error.unwrap_or(0).max(2_000_000), "{offset:?} for {skew}");
    }
    assert!(made.clock_skews.iter().any(|skew| skew.abs() > 5_000_000), "{:?}", made.clock_skews);
    merged.apply_offsets(&alignment.offsets.iter().map(|offset| offset.nanos).collect::<Vec<_>>());
    tools::write_all(merged, &folder.at("all.bgt"), &mut no_progress()).expect("written");
    // First tries that were refused, and their repeats, in the order of the merged file.
    let mut merged = open(&[folder.at("all.bgt")]);
    let (mut open_tries, mut refused, mut repeats) = (BTreeMap::new(), BTreeMap::new(), 0);
    let mut place = 0_u64;
    while let Some(record) = merged.next_record().expect("read") {
        place += 1;
        let queries = record.events.iter().filter_map(|event| match event {
            Event::Query(query) => Some(query),
            _ => None,
        });
        for (query, named) in queries.zip(&record.query_names) {
            let Some(key) = &named.idempotency_key else { continue };
            if query.is_retry {
                repeats += 1;
                assert!(
                    refused.get(key).is_some_and(|at| *at < place),
                    "{key} is repeated before it is refused"
                );
            } else {
                open_tries.insert((record.source, query.id), key.clone());
            }
        }
        for action in &record.actions {
            if let Action::Refuse { query, .. } | Action::Fail { query, .. } = action
                && let Some(key) = open_tries.remove(&(record.source, *query))
            {
                refused.insert(key, place);
            }
        }
    }
    assert!(repeats > 0);
}

#[test]
fn this_build_decides_as_it_did_and_a_difference_is_named() {
    let folder = Folder::new("verify");
    let made = make(&folder.at("t"), &plan(12));
    let (runs, _, _) = tools::verify(open(&[folder.at("t")]), true, &mut no_progress()).expect("read");
    assert_eq!(runs.iter().map(|run| run.decisions).sum::<u64>(), made.decisions);
    assert!(runs.iter().all(|run| run.difference.is_none() && run.stopped.is_none()));
    // One send of one broker goes elsewhere on record.
    let path = folder.at("t").join(&made.files[1]);
    let mut reader = badgergauge_trace::merge::open(&path).expect("sound");
    let mut file = Vec::new();
    let mut writer = Writer::new(&mut file, reader.header().clone()).expect("written");
    let mut changed = None;
    while let Some(records) = reader.next_block().expect("read") {
        for mut record in records {
            let servers = reader.servers().clone();
            let index = record.actions.iter().position(|a| matches!(a, Action::Send { .. }));
            if let (None, Some(index), true) = (&changed, index, record.sequence > 500)
                && let Action::Send { server, .. } = &mut record.actions[index]
            {
                *server = *servers.keys().find(|other| *other != server).expect("others");
                changed = Some((record.sequence, index));
            }
            writer.add(&record, &servers).expect("written");
        }
    }
    writer.finish().expect("written");
    fs::write(folder.at("changed.bgt"), file).expect("written");
    let (runs, _, _) =
        tools::verify(open(&[folder.at("changed.bgt")]), false, &mut no_progress()).expect("read");
    let first = runs[0].difference.as_ref().expect("differs");
    assert_eq!(Some((first.sequence, first.index)), changed);
    assert!(first.query.is_some());
    // What can't be verified says why: a window, a masked file.
    let merged =
        MergedStream::open(std::slice::from_ref(&path), 1_795_766_403_000_000_000..i64::MAX).expect("sound");
    tools::write_all(merged, &folder.at("late.bgt"), &mut no_progress()).expect("written");
    let (runs, _, _) =
        tools::verify(open(&[folder.at("late.bgt")]), false, &mut no_progress()).expect("read");
    assert!(matches!(runs[0].stopped, Some(Unverifiable::Missing(1, _))), "{:?}", runs[0].stopped);
    tools::copy(&path, &folder.at("masked.bgt"), Some(&Mask::new(b"0123456789abcdef"))).expect("masked");
    let (runs, _, _) =
        tools::verify(open(&[folder.at("masked.bgt")]), false, &mut no_progress()).expect("read");
    assert_eq!(runs[0].stopped, Some(Unverifiable::Masked));
}

/// The first of the words that bytes hold.
fn holds(bytes: &[u8], words: &std::collections::HashSet<[u8; 8]>) -> Option<String> {
    let found = bytes.windows(8).position(|window| words.contains(window))?;
    Some(format!("{:?} at {found}", String::from_utf8_lossy(&bytes[found.saturating_sub(8)..found + 16])))
}

#[test]
fn masked_files_hold_no_original_key() {
    let folder = Folder::new("mask");
    let made = make(&folder.at("t"), &plan(8));
    let mask = Mask::new(b"a secret of sixteen bytes and more");
    let mut words = std::collections::HashSet::<[u8; 8]>::new();
    let mut keys = BTreeMap::new();
    for name in &made.files {
        let path = folder.at("t").join(name);
        let mut reader = badgergauge_trace::merge::open(&path).expect("sound");
        while let Some(records) = reader.next_block().expect("read") {
            for record in records {
                for event in &record.events {
                    if let Event::Query(query) = event {
                        let key = query.key.expect("every query has one");
                        words.extend([key.to_le_bytes(), key.to_be_bytes()]);
                        let hex = format!("{key:016x}").into_bytes();
                        words.extend(hex.chunks_exact(8).filter_map(|c| c.first_chunk::<8>().copied()));
                        keys.insert(key, mask.key(key));
                    }
                }
                for word in record.query_names.iter().filter_map(|named| named.idempotency_key.as_deref()) {
                    words.extend(
                        word.as_bytes().chunks_exact(8).filter_map(|c| c.first_chunk::<8>().copied()),
                    );
                }
            }
        }
        tools::copy(&path, &folder.at(name), Some(&mask)).expect("masked");
    }
    assert!(words.len() > 500);
    // The check can fail: the originals hold them, once unpacked.
    let unpacked = |path: &Path| {
        let bytes = fs::read(path).expect("there");
        let mut all = bytes.clone();
        let mut at = 0;
        while let Some(next) = (at..bytes.len())
            .find(|at| badgergauge_trace::frame::FrameHeader::decode(&bytes[*at..]).is_some())
        {
            let frame = badgergauge_trace::frame::FrameHeader::decode(&bytes[next..]).expect("found");
            let from = next + badgergauge_trace::frame::FRAME_HEADER_LEN;
            at = from + frame.compressed_len as usize;
            all.extend(zstd::decode_all(&bytes[from..at]).expect("sound"));
        }
        all
    };
    assert!(holds(&unpacked(&folder.at("t").join(&made.files[0])), &words).is_some());
    for name in &made.files {
        assert_eq!(holds(&unpacked(&folder.at(name)), &words), None, "{name}");
    }
    // The same key has the same stand-in at every broker, and nothing else has changed.
    let masked: Vec<PathBuf> = made.files.iter().map(|name| folder.at(name)).collect();
    let (whole, _) = all(open(&[folder.at("t")]));
    let (masked, _) = all(open(&masked));
    assert_eq!(masked.len(), whole.len());
    for (key, record) in &whole {
        let other = &masked[key];
        assert!(record.actions == other.actions);
        for pair in record.events.iter().zip(&other.events) {
            if let (Event::Query(a), Event::Query(b)) = pair {
                assert_eq!(b.key, Some(keys[&a.key.expect("has one")]));
            } else {
                assert!(pair.0 == pair.1);
            }
        }
    }
}

#[test]
fn a_story_is_the_same_by_the_index_and_by_a_full_scan() {
    let folder = Folder::new("explain");
    make(&folder.at("t"), &SynthOptions { rate: 110.0, servers: 8, ..plan(20) });
    let paths = trace_files(&[folder.at("t")]).expect("there");
    // A title-flag that was tried at two brokers.
    let (mut merged, mut tries) = (open(&[folder.at("t")]), BTreeMap::<String, Vec<(u32, String)>>::new());
    while let Some(record) = merged.next_record().expect("read") {
        for named in record.query_names {
            if let Some(key) = named.idempotency_key {
                tries.entry(key).or_default().push((record.source, named.name));
            }
        }
    }
    let two = |tries: &&Vec<(u32, String)>| tries.iter().any(|one| one.0 != tries[0].0);
    let tries = tries.values().find(two).expect("some are tried at two brokers");
    let (told, stats, notices) = tools::explain(&paths, &tries[0].1, false).expect("read");
    let (scanned, all_of_it, _) = tools::explain(&paths, &tries[0].1, true).expect("read");
    assert_eq!(told, scanned);
    assert!(stats.blocks < all_of_it.blocks, "{stats:?} {all_of_it:?}");
    // A broker that was killed left a file without an index, which says so.
    assert!(notices.iter().all(|notice| notice.message.contains("not closed")), "{notices:?}");
    let taken = told.iter().filter(|one| one.line.text.contains(" taken: title-flag ")).count();
    assert_eq!(taken, tries.len());
    assert!(told.is_sorted_by_key(|one| one.unix));
    assert!(tools::explain(&paths, "nothing of this name", false).expect("read").0.is_empty());
}

fn small(path: &Path, run: u64, zero: i64, sequences: std::ops::RangeInclusive<u64>, masked: bool) {
    let source = badgergauge_trace::Source {
        broker: "n1".into(),
        run,
        unix_at_zero: zero,
        classes: vec!["c".into()],
        ..Default::default()
    };
    let mut writer =
        Writer::new(File::create(path).expect("made"), Header::new(vec![source], masked)).expect("written");
    for sequence in sequences {
        let time = Time(sequence * 1_000_000);
        let record = Record { sequence, time, note: format!("{run} {sequence}"), ..Record::default() };
        writer.add(&record, &Default::default()).expect("written");
    }
    writer.finish().expect("written");
}

#[test]
fn odd_inputs_are_told_apart() {
    let folder = Folder::new("odd");
    let (a, b, c) = (folder.at("a.bgt"), folder.at("b.bgt"), folder.at("c.bgt"));
    // Two runs of one broker under one name, the second with a clock that was set back into the first.
    small(&a, 1, 1_000_000_000, 1..=50, false);
    small(&b, 2, 980_000_000, 1..=50, false);
    let (records, order) = all(open(&[a.clone(), b.clone()]));
    assert_eq!((records.len(), order.len()), (100, 100));
    for run in [1, 2] {
        let own: Vec<u64> = order.iter().filter(|key| key.1 == run).map(|key| key.2).collect();
        assert_eq!(own, (1..=50).collect::<Vec<_>>());
    }
    // The same run twice, overlapping, from files of its own.
    small(&c, 1, 1_000_000_000, 30..=80, false);
    assert_eq!(all(open(&[c.clone(), a.clone()])).0.len(), 80);
    // An empty file, one of another major version, and one that is masked, are refused with their name.
    let refused = |path: &Path| match MergedStream::open(&[a.clone(), path.to_owned()], i64::MIN..i64::MAX) {
        Ok(_) => panic!("{} is taken", path.display()),
        Err(error) => error.to_string(),
    };
    fs::write(&b, "").expect("written");
    assert_eq!(refused(&b), format!("{}: is empty", b.display()));
    let mut bytes = fs::read(&a).expect("there");
    bytes.splice(..badgergauge_trace::frame::PREAMBLE_LEN, {
        let length = u32::from_le_bytes(bytes[12..16].try_into().expect("4")) as usize;
        badgergauge_trace::frame::encode_preamble((2, 0), &bytes[24..24 + length])
    });
    fs::write(&b, &bytes).expect("written");
    assert_eq!(
        refused(&b),
        format!("{}: is of version 2.0, and this program reads versions 1.x", b.display())
    );
    small(&b, 3, 0, 1..=2, true);
    assert!(refused(&b).contains("is masked and"), "{}", refused(&b));
    assert!(matches!(
        trace_files(&[folder.at("t"), folder.0.join("none")]).map(|f| open_error(&f)),
        Ok(true)
    ));
    // Nothing is written over, and nothing half written is left.
    let error =
        tools::write_all(open(std::slice::from_ref(&a)), &c, &mut no_progress()).expect_err("there already");
    assert!(matches!(error, ToolError::Write(..)), "{error}");
    assert!(
        !folder.0.read_dir().expect("there").any(|e| e
            .expect("read")
            .path()
            .to_string_lossy()
            .ends_with(".part"))
    );
}

fn open_error(files: &[PathBuf]) -> bool {
    matches!(MergedStream::open(files, i64::MIN..i64::MAX), Err(MergeError::Open(..)))
}

#[test]
fn a_repaired_file_is_sound_and_holds_what_was_whole() {
    let folder = Folder::new("repair");
    let made = make(&folder.at("t"), &SynthOptions { brokers: 1, faults: vec![], ..plan(20) });
    let path = folder.at("t").join(&made.files[0]);
    let bytes = fs::read(&path).expect("there");
    let cut = folder.at("cut.bgt");
    fs::write(&cut, &bytes[..bytes.len() * 2 / 3]).expect("written");
    let (written, end) = tools::copy(&cut, &folder.at("sound.bgt"), None).expect("repaired");
    assert!(matches!(end, FileEnd::Truncated { .. }), "{end:?}");
    assert_eq!(written.notices.len(), 1);
    let (whole, _) = all(open(&[path]));
    let (sound, _) = all(open(&[folder.at("sound.bgt")]));
    assert!(!sound.is_empty() && sound.len() < whole.len());
    assert!(sound.iter().all(|(key, record)| whole.get(key) == Some(record)));
    let mut reader = badgergauge_trace::merge::open(&folder.at("sound.bgt")).expect("sound");
    assert!(reader.index().expect("read").is_some());
}
