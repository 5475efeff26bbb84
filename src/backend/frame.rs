//! Encoding and decoding of the frames of the tile server protocol.

use std::collections::HashMap;

use crate::config::settings::{SiteSettings, load_report};
use crate::core::{AttemptId, SendAttempt};
use crate::interface::{LoadReport, Time, Verdict};

/// Longest frame that is accepted: a value has to fit into a response to a client.
pub(super) const MAX_FRAME_BYTES: usize = 64 * 1024;

/// A frame to be sent to a tile server.
pub(super) enum Frame {
    /// Parts of one request, each with its id on the wire.
    Query(Vec<(String, SendAttempt)>),
    /// Cancels the part with this id on the wire.
    Cancel(String),
    /// A probe, in the form that requests a load report if the settings say so.
    Probe,
}

impl Frame {
    /// Removes an attempt from the frame. Returns its id on the wire and the number of parts left, or `None`
    /// if the frame does not contain the attempt.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> Option<(String, usize)> {
        let Frame::Query(parts) = self else { return None };
        let at = parts.iter().position(|(_, send)| send.attempt == attempt)?;
        let (wire_id, _) = parts.remove(at);
        Some((wire_id, parts.len()))
    }
}

/// Encodes a frame with its length prefix. Deadlines are sent as the time left at `now`.
pub(super) fn encode(frame: &Frame, now: Time, settings: &SiteSettings) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    match frame {
        Frame::Query(parts) => {
            bytes.push(b'q');
            for (wire_id, send) in parts {
                let time_left_ms = send.deadline.since(now).as_millis().max(1);
                let options = match &send.idempotency_key {
                    Some(key) => format!("d={time_left_ms},k={key}"),
                    None => format!("d={time_left_ms}"),
                };
                let line = format!("{wire_id} {} {options} {}\n", send.shard, send.body.len());
                bytes.extend_from_slice(line.as_bytes());
                bytes.extend_from_slice(send.body.as_bytes());
            }
        }
        Frame::Cancel(wire_id) => {
            bytes.push(b'c');
            bytes.extend_from_slice(wire_id.as_bytes());
        }
        Frame::Probe => bytes.push(if settings.router.reports_by_probe { b'l' } else { b'p' }),
    }
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Decodes a response: the part's id on the wire, the verdict, the value and the load report. An unreadable
/// load report is ignored; `None` if anything else is malformed.
pub(super) fn decode_response(payload: &[u8]) -> Option<(&str, Verdict, Option<String>, LoadReport)> {
    let end = payload.iter().position(|&byte| byte == b'\n')?;
    // Only the report may contain bytes that are not UTF-8.
    let mut fields = payload[..end].splitn(4, |&byte| byte == b' ');
    let mut field = || std::str::from_utf8(fields.next()?).ok().filter(|field| !field.is_empty());
    let (wire_id, verdict, _score) = (field()?, field()?, field()?);
    let load = parse_load_report(&String::from_utf8_lossy(fields.next()?));
    let (verdict, value) = match verdict {
        // A value that is not UTF-8 can't be forwarded unchanged, and must not be forwarded changed.
        "served" => match std::str::from_utf8(&payload[end + 1..]) {
            Ok(value) => (Verdict::Served, Some(value.to_owned())),
            Err(_) => (Verdict::Error, None),
        },
        "broke" => (Verdict::Error, None),
        "skipped" => (Verdict::Rejected, None),
        _ => return None,
    };
    Some((wire_id, verdict, value, load))
}

/// Parses a load report: `name=value` pairs separated by commas or semicolons. Pairs whose value is not a
/// finite, non-negative number are ignored.
pub(super) fn parse_load_report(text: &str) -> LoadReport {
    let pairs: HashMap<&str, f64> = text
        .split([',', ';'])
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        .filter(|(_, value): &(&str, f64)| value.is_finite() && *value >= 0.0)
        .collect();
    load_report(|name| pairs.get(name).copied())
}
