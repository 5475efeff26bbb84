use super::*;

fn text(index: u64, names: &[&str], indented: bool) -> String {
    let endpoint = |name: &&str| {
        serde_json::json!({"name": name, "address": "127.0.0.1:9", "zone": "z}\"{", "type": "m", "group": 1,
            "status": "up", "weight": 1.0, "since_ms": 0})
    };
    let list = serde_json::json!({"index": index, "snapshot": true,
        "endpoints": names.iter().map(endpoint).collect::<Vec<_>>()});
    if indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) }.expect("JSON")
}

fn take(decoder: &mut ListDecoder, clock: &Clock, bytes: &[u8]) -> Result<Vec<(u64, usize)>, ListError> {
    decoder.push(bytes);
    let mut taken = Vec::new();
    while let Some(list) = decoder.next_list(clock)? {
        taken.push((list.index, list.members.len()));
    }
    Ok(taken)
}

// Guards the list itself: where it came indented every watch was dropped at its first line, again and again, and
// nothing was served.
#[test]
fn lists_are_read_however_they_are_laid_out_and_cut() {
    let clock = Clock::start();
    for indented in [false, true] {
        let stream = format!(
            "\n\n{}\n\r\n \t{}{}\nnoise\n{}",
            text(1, &["a", "b"], indented),
            text(2, &[], indented),
            text(3, &["c"], !indented),
            text(4, &["d"; 40], indented),
        );
        let all = vec![(1, 2), (2, 0), (3, 1), (4, 40)];
        assert_eq!(take(&mut ListDecoder::default(), &clock, stream.as_bytes()), Ok(all.clone()));
        for cut in 0..=stream.len() {
            let (first, rest) = stream.as_bytes().split_at(cut);
            let mut decoder = ListDecoder::default();
            let mut taken = take(&mut decoder, &clock, first).expect("sound");
            taken.extend(take(&mut decoder, &clock, rest).expect("sound"));
            assert_eq!((taken, decoder.buffered_bytes()), (all.clone(), 0), "cut at {cut}");
        }
        let mut decoder = ListDecoder::default();
        let bytes = stream.as_bytes().chunks(1);
        let taken: Vec<_> = bytes.flat_map(|b| take(&mut decoder, &clock, b).expect("sound")).collect();
        assert_eq!(taken, all, "byte by byte");
    }
}

// Guards against a list that is told late: it is given as soon as its last byte is in, whatever follows.
#[test]
fn a_list_is_given_with_its_last_byte() {
    let clock = Clock::start();
    let (first, second) = (text(1, &["a"], true), text(2, &["b"], true));
    let mut decoder = ListDecoder::default();
    assert_eq!(take(&mut decoder, &clock, &first.as_bytes()[..first.len() - 1]), Ok(vec![]));
    let rest = format!("}}{}", &second[..second.len() / 2]);
    assert_eq!(take(&mut decoder, &clock, rest.as_bytes()), Ok(vec![(1, 1)]));
}

// Guards memory, and the list in hand, against what is no list.
#[test]
fn what_is_no_list_is_refused_with_what_and_where() {
    let clock = Clock::start();
    let faults = [
        ("{\"index\":1,\n\"snapshot\":}", "line 2"),
        ("{\"index\":1,\"snapshot\":true}", "endpoints"),
        ("{\"index\":-1,\"snapshot\":true,\"endpoints\":[]}", "line 1"),
        ("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"odd\"}]}", "a: status"),
        ("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"up\"}]}", "a: address"),
    ];
    for (text, words) in faults {
        let error =
            take(&mut ListDecoder::default(), &clock, text.as_bytes()).expect_err("no list").to_string();
        assert!(error.contains(words) && error.contains("stays in use"), "{text}: {error}");
    }
    let mut decoder = ListDecoder::default();
    let open = b"{\"index\":[[[[{";
    let long = (0..=MAX_LIST_BYTES / 1024).find_map(|_| take(&mut decoder, &clock, &[b' '; 1024]).err());
    assert_eq!((long, decoder.buffered_bytes()), (None, 0), "white space adds up to nothing");
    assert_eq!(take(&mut decoder, &clock, open), Ok(vec![]));
    let long = (0..=MAX_LIST_BYTES / 1024).find_map(|_| take(&mut decoder, &clock, &[b' '; 1024]).err());
    assert_eq!(long, Some(ListError::TooLong));
}
