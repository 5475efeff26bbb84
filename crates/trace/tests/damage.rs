//! Truncated, damaged and foreign files: intact blocks are read as they were written, and nothing else is.

mod common;

use std::collections::HashSet;
use std::io::Cursor;

use badgergauge_trace::frame::{self, FrameHeader};
use badgergauge_trace::{FileEnd, OpenError, Reader, Record, ServerNames};
use common::*;
use proptest::prelude::*;

fn steps(count: u64) -> Vec<Record> {
    (1..=count).map(step).collect()
}

#[test]
fn written_records_are_read_back() {
    let records = steps(40);
    let (bytes, ends) = file(&records, 7, true);
    assert_eq!(read(&bytes), Some((records.clone(), FileEnd::Complete, 0)));
    // Also without a footer, as left by a broker that was killed between two blocks.
    let (unclosed, _) = file(&records, 7, false);
    assert_eq!(unclosed.len(), *ends.last().expect("not empty"));
    assert_eq!(read(&unclosed), Some((records, FileEnd::Unclosed, 0)));
}

// A crash may truncate a file anywhere: all complete blocks before the cut are read, nothing else is, and the
// truncation is reported.
#[test]
fn file_truncated_at_any_byte_yields_the_blocks_before() {
    let records = steps(12);
    let (bytes, ends) = file(&records, 3, true);
    let header = ends[0];
    for cut in 0..bytes.len() {
        let opened = Reader::open(Cursor::new(&bytes[..cut])).map(|_| ());
        if cut < header {
            let expected = match opened {
                Err(OpenError::Empty) => cut == 0,
                Err(OpenError::Truncated) => cut > 0,
                _ => false,
            };
            assert!(expected, "cut at {cut}");
            continue;
        }
        let complete = ends.iter().rposition(|end| *end <= cut).expect("the header is complete");
        let expected = &records[..complete * 3];
        let (got, end, damage) = read(&bytes[..cut]).expect("opens");
        assert_eq!((got.as_slice(), damage), (expected, 0), "cut at {cut}");
        let last = ends[complete];
        let expected_end = match end {
            FileEnd::Unclosed => cut == last,
            FileEnd::Truncated { at, bytes } => at as usize == last && last + bytes as usize == cut,
            FileEnd::DamagedIndex { at } => complete == 4 && at as usize == last,
            FileEnd::Complete => false,
        };
        assert!(expected_end, "cut at {cut}: {end:?}");
    }
}

/// Returns whether `got` is a subsequence of `records`, which is all that a damaged file may yield.
fn is_subsequence(got: &[Record], records: &[Record]) -> bool {
    let mut rest = records.iter();
    got.iter().all(|record| rest.any(|known| known == record))
}

// Flips every single bit and inverts every byte: the reader must not panic, return a wrong record or fail to
// report a missing block.
#[test]
fn flipped_bit_never_yields_a_wrong_record() {
    let records = steps(6);
    let (bytes, ends) = file(&records, 2, true);
    let last = *ends.last().expect("not empty");
    for at in 0..bytes.len() {
        for change in [1_u8, 2, 4, 8, 16, 32, 64, 128, 255] {
            let mut damaged = bytes.clone();
            damaged[at] ^= change;
            let Some((got, end, damage)) = read(&damaged) else {
                assert!(at < ends[0], "byte {at}: only damage to the header may prevent opening");
                continue;
            };
            assert!(is_subsequence(&got, &records), "byte {at} ^ {change}");
            if got.len() < records.len() {
                assert!(
                    damage > 0 || end != FileEnd::Complete,
                    "byte {at} ^ {change}: records are missing without a report"
                );
                // At most one block is lost.
                assert_eq!(got.len(), records.len() - 2, "byte {at} ^ {change}");
            }
            assert!(
                at < last || end != FileEnd::Complete,
                "byte {at} ^ {change}: the index is damaged without a report"
            );
            let mut reader = Reader::open(Cursor::new(&damaged)).expect("opened before");
            assert!(
                at < last || reader.index().expect("reads from memory").is_none(),
                "byte {at}: a damaged index is returned"
            );
        }
    }
}

#[test]
fn damaged_block_is_reported_with_its_sequence_numbers() {
    let records = steps(9);
    let (mut bytes, ends) = file(&records, 3, true);
    bytes[ends[1] + frame::FRAME_HEADER_LEN + 5] ^= 1;
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("opens");
    let mut got = Vec::new();
    while let Some(block) = reader.next_block().expect("reads from memory") {
        got.extend(block.into_iter().map(|record| record.sequence));
    }
    assert_eq!(got, [1, 2, 3, 7, 8, 9]);
    let [damage] = reader.damage() else { panic!("{:?}", reader.damage()) };
    assert_eq!((damage.bytes.clone(), damage.sequences), (ends[1] as u64..ends[2] as u64, Some((4, 6))));
    // After a damaged frame header, the reader searches for the next intact one.
    let (mut bytes, ends) = file(&records, 3, true);
    bytes[ends[1] + 6] ^= 1;
    assert_eq!(read(&bytes).map(|(got, ..)| got.len()), Some(6));
    assert_eq!(ends.len(), 4);
}

#[test]
fn newer_minor_version_is_read_and_newer_major_version_refused() {
    let records = steps(2);
    let (bytes, ends) = file(&records, 2, true);
    let message = bytes[frame::PREAMBLE_LEN..ends[0]].to_vec();
    let with = |version, extra: &[u8]| {
        let message = [&message[..], extra].concat();
        [&frame::encode_preamble(version, &message)[..], &message, &bytes[ends[0]..ends[1]]].concat()
    };
    // The unknown field 100 is skipped.
    let newer = with((frame::FORMAT_VERSION.0, frame::FORMAT_VERSION.1 + 9), &[0xa2, 0x06, 0x02, b'h', b'i']);
    assert_eq!(read(&newer).map(|(got, ..)| got), Some(records));
    let error = Reader::open(Cursor::new(with((2, 3), &[]))).err().expect("refused");
    assert_eq!(error.to_string(), "is of version 2.3, and this program reads versions 1.x");
    let foreign = Reader::open(Cursor::new(&b"no trace, but as long as the head of one"[..])).err();
    assert!(matches!(foreign, Some(OpenError::NotATrace)), "{foreign:?}");
}

// Guards against allocations by a wrong length: frame headers with extreme lengths and a valid checksum.
#[test]
fn wrong_lengths_cause_no_allocation() {
    let (bytes, ends) = file(&steps(2), 2, false);
    for (packed, raw) in [(u32::MAX, 1), (1, u32::MAX), (8 << 20, 32 << 20), (40, 32 << 20), (40, 0)] {
        let wrong = FrameHeader {
            compressed_len: packed,
            uncompressed_len: raw,
            records: u32::MAX,
            ..FrameHeader::default()
        };
        let file = [&bytes[..ends[1]], &wrong.encode(), &[7; 40]].concat();
        let (got, end, damage) = read(&file).expect("opens");
        assert_eq!(got.len(), 2);
        assert!(damage > 0 || end != FileEnd::Unclosed, "{packed} {raw}");
    }
}

// Inputs from fuzzing that reached code deep in the reader. None may cause a panic.
#[test]
fn fuzzing_corpus_causes_no_panic() {
    let corpus = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus");
    let mut tried = HashSet::new();
    for entry in std::fs::read_dir(corpus).expect("there") {
        let path = entry.expect("read").path();
        let bytes = std::fs::read(&path).expect("read");
        let _ = read(&bytes);
        // Also as blocks after a valid header.
        let (mut file, _) = file(&[], 1, false);
        file.extend_from_slice(&bytes);
        assert!(read(&file).is_some(), "{}", path.display());
        tried.insert(path);
    }
    assert!(tried.len() >= 8, "{}", tried.len());
}

fn any_steps() -> impl Strategy<Value = Vec<Record>> {
    let one = (1_u64..50, 0_usize..10, 0_usize..9, any::<u64>(), any::<bool>(), 0_u64..20_000_000);
    proptest::collection::vec(one, 0..30).prop_map(|numbers| {
        let mut time = 1_000_000_000;
        let mut records = Vec::new();
        for (index, (n, events, actions, key, named, after)) in numbers.into_iter().enumerate() {
            let mut record = step(n);
            record.sequence = index as u64 + 1;
            record.gap = None;
            time += after;
            record.time = badgergauge_core::Time(time);
            for event in &mut record.events {
                if let badgergauge_core::Event::Query(query) = event {
                    (query.key, query.class) = (named.then_some(key), (key % 300) as usize);
                }
            }
            record.events.truncate(events);
            record.actions.truncate(actions);
            if events <= 3 {
                record.query_names.clear();
            }
            record.actions.retain(|a| !matches!(a, badgergauge_core::Action::SetTimer { .. }));
            records.push(record);
        }
        records
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn written_records_are_read_back_for_any_steps(records in any_steps(), block_len in 1_usize..9) {
        let (bytes, _) = file(&records, block_len, true);
        prop_assert_eq!(read(&bytes), Some((records, FileEnd::Complete, 0)));
    }

    #[test]
    fn randomly_overwritten_bytes_never_yield_a_wrong_record(
        at in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..12),
        cut in any::<prop::sample::Index>(),
    ) {
        let records = steps(8);
        let (mut bytes, _) = file(&records, 2, true);
        for (index, value) in at {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        bytes.truncate(cut.index(bytes.len()) + 1);
        if let Some((got, ..)) = read(&bytes) {
            prop_assert!(is_subsequence(&got, &records));
        }
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = read(&bytes);
        let (mut file, _) = file(&steps(2), 1, false);
        file.extend_from_slice(&bytes);
        let (got, ..) = read(&file).expect("the header is valid");
        prop_assert_eq!(got, steps(2));
    }
}

#[test]
fn every_block_has_the_server_names() {
    let (bytes, ends) = file(&steps(4), 2, true);
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("opens");
    reader.block_at(ends[1] as u64).expect("reads from memory");
    assert_eq!(reader.servers(), &servers());
    assert_ne!(reader.servers(), &ServerNames::new());
}
