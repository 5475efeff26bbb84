//! Lengths that do not fit what follows, on every path but tile servers': whatever length a sender states, only
//! what it made is taken.

use badgergauge::config::settings::SiteSettings;
use badgergauge::discovery::{ListDecoder, ServerList};
use badgergauge::front::platform::{self, ParsedRequest};
use badgergauge::net::clock::Clock;
use badgergauge::net::http::{ChunkedDecoder, HttpError, RequestReader};
use serde_json::json;

const BODY: &str = r#"{"tablets":[{"tablet":0,"fraction":1}],"statement":"66dd359f"}"#;

fn settings() -> SiteSettings {
    let config = include_str!("exchanges/config.json");
    let config: serde_json::Value = serde_json::from_str(config).expect("valid JSON");
    SiteSettings::read(&config["settings"]).expect("valid settings")
}

/// A request with this framing header and body.
fn request(framing: &str, body: &str) -> String {
    format!("POST /search HTTP/1.1\r\nX-Request-ID: r1\r\nX-Timeout: 500m\r\n{framing}\r\n\r\n{body}")
}

/// The statements of the queries in the bytes of one connection, up to the first error.
fn statements(bytes: &str, settings: &SiteSettings) -> Vec<String> {
    let mut reader = RequestReader::default();
    reader.push(bytes.as_bytes());
    let mut statements = Vec::new();
    while reader.has_input()
        && let Ok(true) = reader.has_complete_request()
    {
        let parsed = reader.request().map(|request| platform::parse(&request, settings));
        if let Ok(Ok(ParsedRequest::Query(query))) = parsed {
            statements.push(query.body);
        }
        reader.consume_request();
    }
    statements
}

// Guards against a query made of half of a request, or of a request and the start of the next.
#[test]
fn requests_of_wrong_length_give_no_query_but_the_one_that_was_sent() {
    let settings = settings();
    let whole = request(&format!("Content-Length: {}", BODY.len()), BODY);
    assert_eq!(statements(&(whole.clone() + &whole), &settings), ["66dd359f", "66dd359f"]);
    for length in (0..BODY.len() + whole.len()).filter(|length| *length != BODY.len()) {
        let bytes = request(&format!("Content-Length: {length}"), BODY) + &whole;
        let found = statements(&bytes, &settings);
        assert!(found.len() <= 1 && found.iter().all(|text| text == "66dd359f"), "{length}: {found:?}");
    }
}

/// The chunks of a body, each of `piece` bytes at most; the chunk `wrong` states `stated` bytes.
fn chunked(body: &str, piece: usize, wrong: usize, stated: usize) -> String {
    let mut text = String::new();
    for (index, chunk) in body.as_bytes().chunks(piece).enumerate() {
        let length = if index == wrong { stated } else { chunk.len() };
        text += &format!("{length:x}\r\n{}\r\n", String::from_utf8_lossy(chunk));
    }
    text + "0\r\n\r\n"
}

// Guards against the same for a body in chunks of which one states a wrong length.
#[test]
fn chunks_of_wrong_length_give_no_query_but_the_one_that_was_sent() {
    let settings = settings();
    let whole = request("Transfer-Encoding: chunked", &chunked(BODY, BODY.len(), 0, BODY.len()));
    assert_eq!(statements(&(whole.clone() + &whole), &settings), ["66dd359f", "66dd359f"]);
    for piece in [7, 20, BODY.len()] {
        for wrong in 0..BODY.len().div_ceil(piece) {
            for stated in 0..BODY.len() + 30 {
                let bytes = request("Transfer-Encoding: chunked", &chunked(BODY, piece, wrong, stated));
                let found = statements(&bytes, &settings);
                assert!(found.iter().all(|text| text == "66dd359f"), "{piece} {wrong} {stated}: {found:?}");
            }
        }
    }
}

/// The lists that are decoded from a chunked body, up to the first error.
fn lists(bytes: &str, clock: &Clock) -> Vec<ServerList> {
    let (mut chunks, mut decoder, mut lists) =
        (ChunkedDecoder::default(), ListDecoder::default(), Vec::new());
    let mut body = Vec::new();
    let decoded: Result<usize, HttpError> = chunks.decode(bytes.as_bytes(), &mut body);
    // As a watch does, which ends at an error of the coding without looking at what came before it.
    if decoded.is_ok() {
        decoder.push(&body);
        while let Ok(Some(list)) = decoder.next_list(clock) {
            lists.push(list);
        }
    }
    lists
}

// Guards against a list of servers that discovery did not send: one cut short, or joined with the framing of the
// next chunk.
#[test]
fn chunks_of_wrong_length_give_no_list_but_those_that_were_sent() {
    let clock = Clock::start();
    let list = |index: u64, port: u16| {
        let address = format!("10.1.0.18:{port}");
        json!({"index": index, "snapshot": true, "endpoints": [{"name": "s", "address": address, "zone": "a",
            "group": 11, "status": "up", "weight": 1.0, "since_ms": 0}]})
    };
    let sent = [list(41, 9000), list(42, 19000)];
    let body = format!("{}\n{}\n", sent[0], sent[1]);
    let sent: Vec<ServerList> =
        sent.iter().map(|list| ServerList::from_value(list, &clock).expect("valid")).collect();
    assert_eq!(lists(&chunked(&body, body.len(), 0, body.len()), &clock), sent);
    for piece in [13, 60, body.len() / 2] {
        for wrong in 0..body.len().div_ceil(piece) {
            for stated in 0..body.len() + 40 {
                let found = lists(&chunked(&body, piece, wrong, stated), &clock);
                assert!(found.iter().all(|list| sent.contains(list)), "{piece} {wrong} {stated}: {found:?}");
            }
        }
    }
}
