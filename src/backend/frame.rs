//! Frames as tile servers speak them: their writing and their reading.

use std::collections::HashMap;

use crate::config::settings::{SiteSettings, load_report};
use crate::core::{AttemptId, SendAttempt};
use crate::interface::{LoadReport, Time, Verdict};

/// Longest frame that is read: a value has to fit into an answer to a client.
pub(super) const MAX_FRAME: usize = 64 * 1024;
/// What a frame carries.
pub(super) enum Frame {
    Query(Vec<(String, SendAttempt)>),
    Cancel(String),
    Probe,
}

/// Takes an attempt out of a frame: its id on the wire, and how many are left.
pub(super) fn without(frame: &mut Frame, attempt: AttemptId) -> Option<(String, usize)> {
    let Frame::Query(parts) = frame else { return None };
    let at = parts.iter().position(|(_, send)| send.attempt == attempt)?;
    let (name, _) = parts.remove(at);
    Some((name, parts.len()))
}

/// A frame as it goes over the wire.
pub(super) fn encode(frame: &Frame, now: Time, settings: &SiteSettings) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    match frame {
        Frame::Query(parts) => {
            bytes.push(b'q');
            for (name, send) in parts {
                let wait = send.deadline.since(now).as_millis().max(1);
                let list = match &send.idempotency_key {
                    Some(key) => format!("d={wait},k={key}"),
                    None => format!("d={wait}"),
                };
                let line = format!("{name} {} {list} {}\n", send.shard, send.body.len());
                bytes.extend_from_slice(line.as_bytes());
                bytes.extend_from_slice(send.body.as_bytes());
            }
        }
        Frame::Cancel(name) => {
            bytes.push(b'c');
            bytes.extend_from_slice(name.as_bytes());
        }
        Frame::Probe => bytes.push(if settings.router.reports_by_probe { b'l' } else { b'p' }),
    }
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// The id, verdict, value and load report of an answer. A report that can't be read spoils nothing.
pub(super) fn read_answer(rest: &[u8]) -> Option<(&str, Verdict, Option<String>, LoadReport)> {
    let end = rest.iter().position(|&byte| byte == b'\n')?;
    // Only the report may hold noise.
    let mut words = rest[..end].splitn(4, |&byte| byte == b' ');
    let mut word = || std::str::from_utf8(words.next()?).ok().filter(|word| !word.is_empty());
    let (name, verdict, _score) = (word()?, word()?, word()?);
    let load = read_report(&String::from_utf8_lossy(words.next()?));
    let (verdict, value) = match verdict {
        // A value that is not text can't be passed on unchanged, and nothing else may be passed on.
        "served" => match std::str::from_utf8(&rest[end + 1..]) {
            Ok(value) => (Verdict::Served, Some(value.to_owned())),
            Err(_) => (Verdict::Error, None),
        },
        "broke" => (Verdict::Error, None),
        "skipped" => (Verdict::Rejected, None),
        _ => return None,
    };
    Some((name, verdict, value, load))
}

/// A load report: `name=value`, apart from each other by commas or semicolons.
pub(super) fn read_report(text: &str) -> LoadReport {
    let pairs: HashMap<&str, f64> = text
        .split([',', ';'])
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        .filter(|(_, figure): &(&str, f64)| figure.is_finite() && *figure >= 0.0)
        .collect();
    load_report(|name| pairs.get(name).copied())
}
