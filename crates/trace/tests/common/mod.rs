//! Small trace files in memory, with records that use every kind of event and action.
#![allow(dead_code)]

use std::io::Cursor;
use std::time::Duration;

use badgergauge_core::*;
use badgergauge_trace::record::{NotAccepted, NotAcceptedReason, QueryNames};
use badgergauge_trace::{FileEnd, Gap, Header, Reader, Record, ServerNames, Source, Writer};

pub fn source(broker: &str, run: u64) -> Source {
    Source {
        broker: broker.to_owned(),
        run,
        unix_at_zero: 1_795_766_400_000_000_000,
        settings_digest: Source::digest("{}"),
        classes: vec!["parcel-search".into(), "title-flag".into()],
        zones: vec!["cardiff".into()],
        settings: "{}".into(),
        seed: 5,
        ..Source::default()
    }
}

pub fn servers() -> ServerNames {
    (1..=3).map(|n| (ServerId(n), format!("tile0{n}.cardiff.example.org"))).collect()
}

/// A step with every kind of event and action; its values depend on `n`.
pub fn step(n: u64) -> Record {
    let id = n * 10;
    let part = |i: u64| PartId(id + 1 + i);
    let load = LoadReport { held: Some(n as f64), service_seconds: Some(0.25), ..LoadReport::default() };
    let listed = |server: u64, state| ServerEntry {
        server: ServerId(server),
        zone: if server == 3 { u32::MAX } else { 0 },
        cell: server as u32,
        state,
        started: (server == 2).then_some(Time(n * 7)),
        send_until: (server == 3).then_some(Time(n * 9)),
    };
    let ending = Ending {
        cause: Cause::BelowFloor,
        missing: vec![(part(0), MissingReason::AttemptsExhausted), (part(1), MissingReason::InFlight)],
    };
    let choice =
        Choice { home: ServerId(2), bypassed: Some(BypassReason::Suspect), predicted: 0.5, allowed: 1.5 };
    Record {
        source: 0,
        sequence: n,
        time: Time(1_000_000_000 + n * 5_000_000),
        events: vec![
            Event::Servers(vec![listed(1, ServerState::Up), listed(3, ServerState::Draining)]),
            Event::ServersChanged(vec![listed(2, ServerState::Removed)]),
            Event::ServersFailed,
            Event::Query(Query {
                id: QueryId(id),
                number: QueryNumber(id),
                class: (n % 2) as usize,
                tenant: 0,
                key: Some(0xdead_beef_0000_0000 | n),
                is_retry: n.is_multiple_of(3),
                time_left: Duration::from_millis(5000 - n % 1000),
            }),
            Event::Part(Part {
                id: part(0),
                query: QueryNumber(id),
                shard: ShardId(4),
                weight: 0.25,
                hint: None,
            }),
            Event::Part(Part {
                id: part(1),
                query: QueryNumber(id),
                shard: ShardId(5),
                weight: 0.75,
                hint: None,
            }),
            Event::Outcome {
                part: part(0),
                attempt: 1,
                verdict: Verdict::ConnectionLost,
                took: Duration::from_nanos(n),
                load,
            },
            Event::Probed {
                server: ServerId(1),
                verdict: Verdict::NoAnswer,
                took: Duration::from_millis(3),
                load: LoadReport::default(),
            },
            Event::PeerOutcome {
                server: ServerId(3),
                class: 1,
                verdict: Verdict::NoConnection,
                took: Duration::from_millis(n % 300),
            },
            Event::ClientGone(QueryId(id)),
            Event::Timer(TimerId(n)),
        ],
        actions: vec![
            Action::Send {
                part: part(0),
                server: ServerId(1),
                timeout: Duration::from_millis(900),
                why: choice,
            },
            Action::Cancel { part: part(1), attempt: 0, why: CancelReason::Unresponsive },
            Action::CloseIdle { server: ServerId(3) },
            Action::Probe { server: ServerId(2) },
            Action::Answer { query: QueryId(id), complete: false, why: ending.clone() },
            Action::Refuse {
                query: QueryId(id),
                retry_after: Duration::from_millis(300),
                why: ending.clone(),
            },
            Action::Fail { query: QueryId(id), why: ending },
            Action::SetTimer { timer: TimerId(n), at: Time(1_000_000_000 + n * 6_000_000) },
            Action::WatchServers,
        ],
        query_names: vec![QueryNames {
            query: QueryId(id),
            name: format!("{:016x}", n * 77),
            idempotency_key: (n % 2 == 1).then(|| format!("{n:032x}")),
        }],
        list_versions: vec![n, n + 1],
        not_accepted: vec![NotAccepted { class: 1, reason: NotAcceptedReason::NameInUse }],
        gap: n.is_multiple_of(4).then(|| Gap {
            first: n - 2,
            last: n - 1,
            reason: "the queue was full".into(),
        }),
        note: if n.is_multiple_of(5) { "stopping".into() } else { String::new() },
    }
}

/// Writes a file with blocks of `block_len` records each. Returns its bytes, and the offsets at which the
/// header and each block end.
pub fn file(records: &[Record], block_len: usize, close: bool) -> (Vec<u8>, Vec<usize>) {
    file_with_header(Header::new(vec![source("n1", 9)], false), records, block_len, close)
}

/// As [`file`], with the given header.
pub fn file_with_header(
    header: Header,
    records: &[Record],
    block_len: usize,
    close: bool,
) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let mut ends = Vec::new();
    let mut writer = Writer::new(&mut bytes, header).expect("written");
    ends.push(writer.size() as usize);
    for chunk in records.chunks(block_len) {
        chunk.iter().for_each(|record| writer.add(record, &servers()).expect("written"));
        writer.flush().expect("written");
        ends.push(writer.size() as usize);
    }
    if close {
        writer.finish().expect("written");
    }
    (bytes, ends)
}

/// Reads a file. Returns its records, the state of its end and the number of damaged ranges, or `None` if it
/// can't be opened.
pub fn read(bytes: &[u8]) -> Option<(Vec<Record>, FileEnd, usize)> {
    let mut reader = Reader::open(Cursor::new(bytes)).ok()?;
    let mut records = Vec::new();
    while let Some(block) = reader.next_block().expect("reads from memory") {
        records.extend(block);
    }
    let damage = reader.damage().len();
    reader.end().map(|end| (records, end, damage))
}
