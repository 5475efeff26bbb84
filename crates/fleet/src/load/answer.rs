//! What brokers answer: responses read whole, and answers judged by every value in them.

use std::io;
use std::time::Duration;

use badgergauge_standin::value;

use super::Wish;

/// A value, shard and weight apart, that no answer may be longer than.
const LONGEST: usize = 1024 * 1024;

/// A whole response.
#[derive(Debug, PartialEq)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) retry_after: Option<Duration>,
    pub(super) body: Vec<u8>,
    /// Whether its connection may carry another request.
    pub(super) keeps_open: bool,
}

/// Whether an answer is whole.
///
/// # Errors
///
/// When it holds what no server made for it, or claims to be whole and is not, or holds less than its class may.
pub(super) fn judge(wish: &Wish, body: &[u8], min_share: f64) -> Result<bool, String> {
    let body: serde_json::Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let full = body["full"].as_bool().ok_or("`full` is missing")?;
    let pieces = body["pieces"].as_array().ok_or("`pieces` is missing")?;
    let mut shards = std::collections::BTreeSet::new();
    for piece in pieces {
        let shard =
            piece["tablet"].as_u64().and_then(|s| u32::try_from(s).ok()).ok_or("`tablet` is missing")?;
        if !wish.shards.contains(&shard) || !shards.insert(shard) {
            return Err(format!("tablet {shard} was not asked, or came twice"));
        }
        if piece["cell"].as_str() != Some(&value(shard, wish.statement.as_bytes())) {
            return Err(format!("the value of tablet {shard} is no server's"));
        }
    }
    let whole = shards.len() == wish.shards.len();
    if full != whole {
        return Err(format!("{} of {} parts, and `full` is {full}", shards.len(), wish.shards.len()));
    }
    if (shards.len() as f64) < min_share * wish.shards.len() as f64 - 1e-9 {
        return Err(format!(
            "{} of {} parts are less than the class's least",
            shards.len(),
            wish.shards.len()
        ));
    }
    Ok(whole)
}

/// Status, `Retry-After` and body of a response that is whole.
pub(super) fn response(bytes: &[u8]) -> io::Result<Option<Response>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let bad = |fault: &str| io::Error::new(io::ErrorKind::InvalidData, fault.to_owned());
    let head = match response.parse(bytes).map_err(|error| bad(&error.to_string()))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial => return Ok(None),
    };
    let text = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    };
    let number = |name: &str| text(name)?.parse::<f64>().ok();
    let length = number("Content-Length").ok_or_else(|| bad("no length"))? as usize;
    if length > LONGEST {
        return Err(bad("too long"));
    }
    let retry_after = number("Retry-After").map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 60.0)));
    let status = response.code.ok_or_else(|| bad("no status"))?;
    let closes = text("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    // More than was asked for can't belong to the next answer.
    let keeps_open = !closes && bytes.len() == head + length;
    let body = bytes.get(head..head + length);
    Ok(body.map(|body| Response { status, retry_after, body: body.to_vec(), keeps_open }))
}

#[cfg(test)]
mod tests {
    use super::super::Habit;
    use super::*;

    fn wish() -> Wish {
        let (due, ends) = (Duration::ZERO, Duration::from_secs(1));
        let (shards, statement, key) = (vec![3, 4], "t".to_owned(), "k".to_owned());
        let habit = Habit::Patient;
        Wish { habit, due, ends, class: 0, shards, statement, key, tries: 1, not: Vec::new() }
    }

    fn body(full: bool, pieces: &[(u32, &str)]) -> String {
        let piece = |(shard, text): &(u32, &str)| {
            format!("{{\"tablet\":{shard},\"cell\":\"{}\"}}", value(*shard, text.as_bytes()))
        };
        let pieces: Vec<String> = pieces.iter().map(piece).collect();
        format!("{{\"full\":{full},\"pieces\":[{}]}}", pieces.join(","))
    }

    // Each of the ways in which an answer can be wrong is found, and what is right is not held to be wrong.
    #[test]
    fn answers_are_judged_by_every_value_and_by_what_they_claim() {
        let judge = |body: String, least| judge(&wish(), body.as_bytes(), least);
        assert_eq!(judge(body(true, &[(3, "t"), (4, "t")]), 1.0), Ok(true));
        assert_eq!(judge(body(false, &[(3, "t")]), 0.5), Ok(false));
        for (wrong, least) in [
            (body(true, &[(3, "t")]), 0.5),
            (body(false, &[(3, "t"), (4, "t")]), 0.5),
            (body(true, &[(3, "t"), (4, "u")]), 1.0),
            (body(true, &[(3, "t"), (3, "t")]), 1.0),
            (body(true, &[(3, "t"), (5, "t")]), 1.0),
            (body(false, &[(3, "t")]), 1.0),
            ("{".to_owned(), 0.0),
        ] {
            assert!(judge(wrong.clone(), least).is_err(), "{wrong}");
        }
    }

    #[test]
    fn a_response_is_read_once_it_is_whole() {
        let text = b"HTTP/1.1 503 Busy\r\nRetry-After: 0.25\r\nContent-Length: 4\r\n\r\nbusy";
        for end in 0..text.len() {
            assert_eq!(response(&text[..end]).expect("sound so far"), None, "{end}");
        }
        let whole = response(text).expect("sound").expect("whole");
        let retry_after = Some(Duration::from_millis(250));
        let busy = Response { status: 503, retry_after, body: b"busy".to_vec(), keeps_open: true };
        assert_eq!(whole, busy);
        let closing = b"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n";
        assert!(!response(closing).expect("sound").expect("whole").keeps_open);
        assert!(response(b"nonsense\r\n\r\n").is_err());
    }
}
