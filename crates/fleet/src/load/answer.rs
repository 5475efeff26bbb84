//! Parses brokers' HTTP responses and checks every value of their answers.

use std::io;
use std::time::Duration;

use badgergauge_standin::part_value;

use super::Query;

/// Longest response body that is accepted.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A complete HTTP response.
#[derive(Debug, PartialEq)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) retry_after: Option<Duration>,
    pub(super) body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub(super) keep_alive: bool,
}

/// Checks the body of an answer, and returns whether the answer is complete.
///
/// # Errors
///
/// A description of the problem, when the answer holds a value that no server produced for the query, makes a
/// false claim to be complete, or holds a smaller share of the parts than its class allows.
pub(super) fn check_answer(query: &Query, body: &[u8], min_share: f64) -> Result<bool, String> {
    let body: serde_json::Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let full = body["full"].as_bool().ok_or("`full` is missing")?;
    let pieces = body["pieces"].as_array().ok_or("`pieces` is missing")?;
    let mut shards = std::collections::BTreeSet::new();
    for piece in pieces {
        let shard =
            piece["tablet"].as_u64().and_then(|s| u32::try_from(s).ok()).ok_or("`tablet` is missing")?;
        if !query.shards.contains(&shard) || !shards.insert(shard) {
            return Err(format!("tablet {shard} was not requested, or is repeated"));
        }
        if piece["cell"].as_str() != Some(&part_value(shard, query.statement.as_bytes())) {
            return Err(format!("the value of tablet {shard} was produced by no server"));
        }
    }
    let complete = shards.len() == query.shards.len();
    if full != complete {
        return Err(format!("{} of {} parts, and `full` is {full}", shards.len(), query.shards.len()));
    }
    if (shards.len() as f64) < min_share * query.shards.len() as f64 - 1e-9 {
        return Err(format!(
            "{} of {} parts are fewer than the class allows",
            shards.len(),
            query.shards.len()
        ));
    }
    Ok(complete)
}

/// Parses a response; none while it is incomplete.
///
/// # Errors
///
/// When the bytes are no valid response with a `Content-Length` up to [`MAX_BODY_BYTES`].
pub(super) fn parse_response(bytes: &[u8]) -> io::Result<Option<Response>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let invalid = |problem: &str| io::Error::new(io::ErrorKind::InvalidData, problem.to_owned());
    let head = match response.parse(bytes).map_err(|error| invalid(&error.to_string()))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial => return Ok(None),
    };
    let text = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    };
    let number = |name: &str| text(name)?.parse::<f64>().ok();
    let length =
        number("Content-Length").ok_or_else(|| invalid("response without a valid Content-Length"))? as usize;
    if length > MAX_BODY_BYTES {
        return Err(invalid("response body over 1 MiB"));
    }
    let retry_after = number("Retry-After").map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 60.0)));
    let status = response.code.ok_or_else(|| invalid("response without a status"))?;
    let closes = text("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    // Bytes beyond the body are unsolicited, so the connection can't be reused.
    let keep_alive = !closes && bytes.len() == head + length;
    let body = bytes.get(head..head + length);
    Ok(body.map(|body| Response { status, retry_after, body: body.to_vec(), keep_alive }))
}

#[cfg(test)]
mod tests {
    use super::super::ClientBehaviour;
    use super::*;

    fn query() -> Query {
        let (due, deadline_at) = (Duration::ZERO, Duration::from_secs(1));
        let (shards, statement, key) = (vec![3, 4], "t".to_owned(), "k".to_owned());
        let behaviour = ClientBehaviour::Normal;
        Query {
            behaviour,
            due,
            deadline_at,
            class: 0,
            shards,
            statement,
            key,
            tries: 1,
            not_accepted_by: Vec::new(),
        }
    }

    fn body(full: bool, pieces: &[(u32, &str)]) -> String {
        let piece = |(shard, text): &(u32, &str)| {
            format!("{{\"tablet\":{shard},\"cell\":\"{}\"}}", part_value(*shard, text.as_bytes()))
        };
        let pieces: Vec<String> = pieces.iter().map(piece).collect();
        format!("{{\"full\":{full},\"pieces\":[{}]}}", pieces.join(","))
    }

    // Each way in which an answer can be wrong is reported, and correct answers are accepted.
    #[test]
    fn answers_are_checked_by_every_value_and_their_completeness() {
        let check_answer = |body: String, least| check_answer(&query(), body.as_bytes(), least);
        assert_eq!(check_answer(body(true, &[(3, "t"), (4, "t")]), 1.0), Ok(true));
        assert_eq!(check_answer(body(false, &[(3, "t")]), 0.5), Ok(false));
        for (wrong, least) in [
            (body(true, &[(3, "t")]), 0.5),
            (body(false, &[(3, "t"), (4, "t")]), 0.5),
            (body(true, &[(3, "t"), (4, "u")]), 1.0),
            (body(true, &[(3, "t"), (3, "t")]), 1.0),
            (body(true, &[(3, "t"), (5, "t")]), 1.0),
            (body(false, &[(3, "t")]), 1.0),
            ("{".to_owned(), 0.0),
        ] {
            assert!(check_answer(wrong.clone(), least).is_err(), "{wrong}");
        }
    }

    #[test]
    fn a_response_is_parsed_once_it_is_complete() {
        let text = b"HTTP/1.1 503 Busy\r\nRetry-After: 0.25\r\nContent-Length: 4\r\n\r\nbusy";
        for end in 0..text.len() {
            assert_eq!(parse_response(&text[..end]).expect("valid so far"), None, "{end}");
        }
        let response = parse_response(text).expect("valid").expect("complete");
        let retry_after = Some(Duration::from_millis(250));
        let busy = Response { status: 503, retry_after, body: b"busy".to_vec(), keep_alive: true };
        assert_eq!(response, busy);
        let closing = b"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n";
        assert!(!parse_response(closing).expect("valid").expect("complete").keep_alive);
        assert!(parse_response(b"nonsense\r\n\r\n").is_err());
    }
}
