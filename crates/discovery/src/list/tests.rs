use super::*;

fn encode(index: u64, names: &[&str], indented: bool) -> String {
    let endpoint = |name: &&str| {
        serde_json::json!({"name": name, "address": "127.0.0.1:9", "zone": "z}\"{", "type": "m", "group": 1,
            "status": "up", "weight": 1.0, "since_ms": 0})
    };
    let list = serde_json::json!({"index": index, "snapshot": true,
        "endpoints": names.iter().map(endpoint).collect::<Vec<_>>()});
    if indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) }.expect("JSON")
}

fn decode(decoder: &mut ListDecoder, clock: &Clock, bytes: &[u8]) -> Result<Vec<(u64, usize)>, ListError> {
    decoder.push(bytes);
    let mut decoded = Vec::new();
    while let Some(list) = decoder.next_list(clock)? {
        decoded.push((list.index, list.members.len()));
    }
    Ok(decoded)
}

// Guards against failing on indented lists: every watch was closed at the first line of one, and the broker
// never served.
#[test]
fn lists_are_decoded_with_any_whitespace_and_fragmentation() {
    let clock = Clock::start();
    for indented in [false, true] {
        let stream = format!(
            "\n\n{}\n\r\n \t{}{}\nnoise\n{}",
            encode(1, &["a", "b"], indented),
            encode(2, &[], indented),
            encode(3, &["c"], !indented),
            encode(4, &["d"; 40], indented),
        );
        let all = vec![(1, 2), (2, 0), (3, 1), (4, 40)];
        assert_eq!(decode(&mut ListDecoder::default(), &clock, stream.as_bytes()), Ok(all.clone()));
        for cut in 0..=stream.len() {
            let (first, rest) = stream.as_bytes().split_at(cut);
            let mut decoder = ListDecoder::default();
            let mut decoded = decode(&mut decoder, &clock, first).expect("valid");
            decoded.extend(decode(&mut decoder, &clock, rest).expect("valid"));
            assert_eq!((decoded, decoder.buffered_bytes()), (all.clone(), 0), "cut at {cut}");
        }
        let mut decoder = ListDecoder::default();
        let bytes = stream.as_bytes().chunks(1);
        let decoded: Vec<_> = bytes.flat_map(|b| decode(&mut decoder, &clock, b).expect("valid")).collect();
        assert_eq!(decoded, all, "split into single bytes");
    }
}

// Guards against late delivery: a list is returned as soon as its last byte has arrived, whatever follows.
#[test]
fn a_list_is_returned_with_its_last_byte() {
    let clock = Clock::start();
    let (first, second) = (encode(1, &["a"], true), encode(2, &["b"], true));
    let mut decoder = ListDecoder::default();
    assert_eq!(decode(&mut decoder, &clock, &first.as_bytes()[..first.len() - 1]), Ok(vec![]));
    let rest = format!("}}{}", &second[..second.len() / 2]);
    assert_eq!(decode(&mut decoder, &clock, rest.as_bytes()), Ok(vec![(1, 1)]));
}

// Guards memory use and the current list against invalid input.
#[test]
fn invalid_lists_are_rejected_with_the_problem_and_its_position() {
    let clock = Clock::start();
    let cases = [
        ("{\"index\":1,\n\"snapshot\":}", "line 2"),
        ("{\"index\":1,\"snapshot\":true}", "endpoints"),
        ("{\"index\":-1,\"snapshot\":true,\"endpoints\":[]}", "line 1"),
        ("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"odd\"}]}", "a: status"),
        ("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"up\"}]}", "a: address"),
    ];
    for (text, expected) in cases {
        let error =
            decode(&mut ListDecoder::default(), &clock, text.as_bytes()).expect_err("invalid").to_string();
        assert!(error.contains(expected) && error.contains("stays in use"), "{text}: {error}");
    }
    let mut decoder = ListDecoder::default();
    let open = b"{\"index\":[[[[{";
    let long = (0..=MAX_LIST_BYTES / 1024).find_map(|_| decode(&mut decoder, &clock, &[b' '; 1024]).err());
    assert_eq!((long, decoder.buffered_bytes()), (None, 0), "white space between lists is not buffered");
    assert_eq!(decode(&mut decoder, &clock, open), Ok(vec![]));
    let long = (0..=MAX_LIST_BYTES / 1024).find_map(|_| decode(&mut decoder, &clock, &[b' '; 1024]).err());
    assert_eq!(long, Some(ListError::TooLong));
}
