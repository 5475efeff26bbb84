//! Files that were cut short, damaged, or made by others: what is whole is read as it was written, and
//! nothing else is.

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
fn a_file_gives_back_what_was_written() {
    let records = steps(40);
    let (bytes, ends) = file(&records, 7, true);
    assert_eq!(read(&bytes), Some((records.clone(), FileEnd::Complete, 0)));
    // Without a footer too: a broker that was killed between two blocks leaves that.
    let (open, _) = file(&records, 7, false);
    assert_eq!(open.len(), *ends.last().expect("some"));
    assert_eq!(read(&open), Some((records, FileEnd::Unclosed, 0)));
}

// A crash may cut a file anywhere: every block that is whole is read, none that is not, and it is said.
#[test]
fn a_file_cut_at_every_byte_gives_the_blocks_before_the_cut() {
    let records = steps(12);
    let (bytes, ends) = file(&records, 3, true);
    let header = ends[0];
    for cut in 0..bytes.len() {
        let found = Reader::open(Cursor::new(&bytes[..cut])).map(|_| ());
        if cut < header {
            let right = match found {
                Err(OpenError::Empty) => cut == 0,
                Err(OpenError::Truncated) => cut > 0,
                _ => false,
            };
            assert!(right, "cut at {cut}");
            continue;
        }
        let whole = ends.iter().rposition(|end| *end <= cut).expect("the header is whole");
        let expected = &records[..whole * 3];
        let (got, end, damage) = read(&bytes[..cut]).expect("opens");
        assert_eq!((got.as_slice(), damage), (expected, 0), "cut at {cut}");
        let last = ends[whole];
        let right = match end {
            FileEnd::Unclosed => cut == last,
            FileEnd::Truncated { at, bytes } => at as usize == last && last + bytes as usize == cut,
            FileEnd::DamagedIndex { at } => whole == 4 && at as usize == last,
            FileEnd::Complete => false,
        };
        assert!(right, "cut at {cut}: {end:?}");
    }
}

/// What a damaged file may give: records as they were written, in their order, or nothing.
fn is_some_of(got: &[Record], records: &[Record]) -> bool {
    let mut rest = records.iter();
    got.iter().all(|record| rest.any(|known| known == record))
}

// Every single bit, and every byte overwritten: never a wrong record, never a panic, and never silence about
// a block that is missing.
#[test]
fn a_flipped_bit_anywhere_never_gives_a_wrong_record() {
    let records = steps(6);
    let (bytes, ends) = file(&records, 2, true);
    let last = *ends.last().expect("some");
    for at in 0..bytes.len() {
        for change in [1_u8, 2, 4, 8, 16, 32, 64, 128, 255] {
            let mut broken = bytes.clone();
            broken[at] ^= change;
            let Some((got, end, damage)) = read(&broken) else {
                assert!(at < ends[0], "byte {at}: only a header keeps a file shut");
                continue;
            };
            assert!(is_some_of(&got, &records), "byte {at} ^ {change}");
            if got.len() < records.len() {
                assert!(
                    damage > 0 || end != FileEnd::Complete,
                    "byte {at} ^ {change}: records are gone and nothing is said"
                );
                // One block is lost at the most.
                assert_eq!(got.len(), records.len() - 2, "byte {at} ^ {change}");
            }
            assert!(
                at < last || end != FileEnd::Complete,
                "byte {at} ^ {change}: the index is damaged and nothing is said"
            );
            let mut reader = Reader::open(Cursor::new(&broken)).expect("opened before");
            assert!(
                at < last || reader.index().expect("memory").is_none(),
                "byte {at}: an index that is wrong"
            );
        }
    }
}

#[test]
fn a_damaged_block_is_named_with_its_steps() {
    let records = steps(9);
    let (mut bytes, ends) = file(&records, 3, true);
    bytes[ends[1] + frame::FRAME_HEADER_LEN + 5] ^= 1;
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("opens");
    let mut got = Vec::new();
    while let Some(block) = reader.next_block().expect("memory") {
        got.extend(block.into_iter().map(|record| record.sequence));
    }
    assert_eq!(got, [1, 2, 3, 7, 8, 9]);
    let [damage] = reader.damage() else { panic!("{:?}", reader.damage()) };
    assert_eq!((damage.bytes.clone(), damage.sequences), (ends[1] as u64..ends[2] as u64, Some((4, 6))));
    // A head that is damaged says nothing, so the next sound one is looked for.
    let (mut bytes, ends) = file(&records, 3, true);
    bytes[ends[1] + 6] ^= 1;
    assert_eq!(read(&bytes).map(|(got, ..)| got.len()), Some(6));
    assert_eq!(ends.len(), 4);
}

#[test]
fn a_newer_minor_version_is_read_and_a_newer_major_one_refused() {
    let records = steps(2);
    let (bytes, ends) = file(&records, 2, true);
    let message = bytes[frame::PREAMBLE_LEN..ends[0]].to_vec();
    let with = |version, extra: &[u8]| {
        let message = [&message[..], extra].concat();
        [&frame::encode_preamble(version, &message)[..], &message, &bytes[ends[0]..ends[1]]].concat()
    };
    // Field 100, of a kind that this build does not know, is skipped.
    let newer = with((frame::FORMAT_VERSION.0, frame::FORMAT_VERSION.1 + 9), &[0xa2, 0x06, 0x02, b'h', b'i']);
    assert_eq!(read(&newer).map(|(got, ..)| got), Some(records));
    let error = Reader::open(Cursor::new(with((2, 3), &[]))).err().expect("refused");
    assert_eq!(error.to_string(), "is of version 2.3, and this program reads versions 1.x");
    let foreign = Reader::open(Cursor::new(&b"no trace, but as long as the head of one"[..])).err();
    assert!(matches!(foreign, Some(OpenError::NotATrace)), "{foreign:?}");
}

// A length that lies must not make a reader take memory: heads with every length and a right checksum.
#[test]
fn lengths_that_lie_take_no_memory() {
    let (bytes, ends) = file(&steps(2), 2, false);
    for (packed, raw) in [(u32::MAX, 1), (1, u32::MAX), (8 << 20, 32 << 20), (40, 32 << 20), (40, 0)] {
        let lie = FrameHeader {
            compressed_len: packed,
            uncompressed_len: raw,
            records: u32::MAX,
            ..FrameHeader::default()
        };
        let file = [&bytes[..ends[1]], &lie.encode(), &[7; 40]].concat();
        let (got, end, damage) = read(&file).expect("opens");
        assert_eq!(got.len(), 2);
        assert!(damage > 0 || end != FileEnd::Unclosed, "{packed} {raw}");
    }
}

// What a fuzzer found worth keeping: bytes that once led far into the reader. Each must end in peace.
#[test]
fn the_corpus_ends_in_peace() {
    let corpus = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus");
    let mut tried = HashSet::new();
    for entry in std::fs::read_dir(corpus).expect("there") {
        let path = entry.expect("read").path();
        let bytes = std::fs::read(&path).expect("read");
        let _ = read(&bytes);
        // And behind a sound header, as blocks.
        let (mut file, _) = file(&[], 1, false);
        file.extend_from_slice(&bytes);
        assert!(read(&file).is_some(), "{}", path.display());
        tried.insert(path);
    }
    assert!(tried.len() >= 8, "{}", tried.len());
}

fn any_step() -> impl Strategy<Value = Vec<Record>> {
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
    fn writer_and_reader_agree(records in any_step(), a_block in 1_usize..9) {
        let (bytes, _) = file(&records, a_block, true);
        prop_assert_eq!(read(&bytes), Some((records, FileEnd::Complete, 0)));
    }

    #[test]
    fn bytes_overwritten_at_random_never_give_a_wrong_record(
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
            prop_assert!(is_some_of(&got, &records));
        }
    }

    #[test]
    fn whatever_it_is_it_ends_in_peace(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = read(&bytes);
        let (mut file, _) = file(&steps(2), 1, false);
        file.extend_from_slice(&bytes);
        let (got, ..) = read(&file).expect("the header is sound");
        prop_assert_eq!(got, steps(2));
    }
}

#[test]
fn servers_are_named_in_every_block() {
    let (bytes, ends) = file(&steps(4), 2, true);
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("opens");
    reader.block_at(ends[1] as u64).expect("memory");
    assert_eq!(reader.servers(), &servers());
    assert_ne!(reader.servers(), &ServerNames::new());
}
