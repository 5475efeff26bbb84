use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// An answer to a part of a query whose id is in hex digits, as clients choose them.
fn answer() -> impl Strategy<Value = Vec<u8>> {
    let value = prop_oneof!["[0-9a-f]{16}", "[^\0]{0,40}"];
    ("[0-9a-f]{1,16}", 0..40_u32, value)
        .prop_map(|(id, shard, value)| format!("a{id}.{shard} served 1 -\n{value}").into_bytes())
}

fn with_stated_length(frame: &[u8], length: usize) -> Vec<u8> {
    [&(length as u32).to_be_bytes()[..], frame].concat()
}

/// The same cases in each run.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(59),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against any frame that no server made: one of several frames that arrive together states a wrong
    // length, whatever that is.
    #[test]
    fn only_frames_as_sent_are_taken_beside_one_of_wrong_length(
        frames in prop::collection::vec(answer(), 1..5),
        wrong in any::<prop::sample::Index>(),
        stated in prop_oneof![0..300_usize, any::<u32>().prop_map(|length| length as usize)],
    ) {
        let wrong = wrong.index(frames.len());
        prop_assume!(stated != frames[wrong].len());
        let encoded = |(index, frame): (usize, &Vec<u8>)| {
            with_stated_length(frame, if index == wrong { stated } else { frame.len() })
        };
        let mut reader = FrameReader::default();
        reader.push(&frames.iter().enumerate().flat_map(encoded).collect::<Vec<u8>>());
        let taken = reader.take_frames(false);
        // The frame in front of the wrong one may be discarded as well.
        let count = taken.frames.len();
        prop_assert!(count == wrong || (count + 1 == wrong && taken.unconfirmed.is_some()), "{taken:?}");
        prop_assert_eq!(&taken.frames, &frames[..count]);
        prop_assert!(taken.error.is_some() || !reader.is_empty(), "the rest is malformed or incomplete");
    }

    // Guards against good frames that are lost by the way they are split.
    #[test]
    fn all_frames_are_taken_however_they_are_split(
        frames in prop::collection::vec(answer(), 1..5),
        sizes in prop::collection::vec(1..30_usize, 1..200),
    ) {
        let bytes: Vec<u8> = frames.iter().flat_map(|frame| with_stated_length(frame, frame.len())).collect();
        let (mut reader, mut taken, mut rest) = (FrameReader::default(), Vec::new(), &bytes[..]);
        for size in sizes.into_iter().cycle() {
            let (next, behind) = rest.split_at(size.min(rest.len()));
            reader.push(next);
            let received = reader.take_frames(false);
            prop_assert_eq!(received.error, None);
            taken.extend(received.frames);
            rest = behind;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(taken, frames);
    }
}

// A value may contain the byte 0 where no frame can start.
#[test]
fn zero_bytes_that_start_no_frame_are_part_of_a_value() {
    let frame = b"aq.0 served 1 -\nsome\0text".to_vec();
    let mut reader = FrameReader::default();
    reader.push(&with_stated_length(&frame, frame.len()));
    assert_eq!(reader.take_frames(false).frames, [frame]);
}

// The last frame waits for the bytes behind it only if there are any to be read.
#[test]
fn last_frame_stays_while_the_bytes_behind_it_are_unread() {
    let frame = b"aq.0 served 1 -\nvalue".to_vec();
    let mut reader = FrameReader::default();
    reader.push(&[with_stated_length(&frame, frame.len()), with_stated_length(&frame, frame.len())].concat());
    assert_eq!(reader.take_frames(true).frames, std::slice::from_ref(&frame));
    assert_eq!(reader.take_frames(true).frames.len(), 0);
    assert_eq!(reader.take_frames(false).frames, [frame]);
    assert!(reader.is_empty());
}
