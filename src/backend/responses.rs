//! Responses of tile servers: received frames become the outcomes of attempts and probes.

use std::time::Duration;

use super::frame::{decode_response, parse_load_report};
use super::frame_reader::TakenFrames;
use super::response_error::{MalformedCounts, ResponseError};
use super::{Backend, ClosedBy, Completion};
use crate::interface::{LoadReport, Time, Verdict};
use crate::net::{Net, TimerEvent};

impl Backend {
    /// Handles the frames that were received on a connection. Returns whether all of them were valid: it is
    /// unknown which part a malformed response belongs to, and where the next frame starts. The caller then
    /// closes the connection, and all parts in flight on it have failed.
    pub(super) fn handle_responses(&mut self, net: &mut Net, now: Time, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&key) else { return true };
        let taken = connection.take_frames();
        self.time_partial_frame(net, now, key, !taken.frames.is_empty());
        let handled = taken.frames.iter().try_for_each(|frame| self.handle_frame(now, key, frame));
        let Some(error) = handled.err().or(taken.error.clone()) else { return true };
        self.count_malformed(key, &error, &taken);
        false
    }

    /// Starts the time within which a partially received frame must be completed.
    fn time_partial_frame(&mut self, net: &mut Net, now: Time, key: usize, frame_completed: bool) {
        let timeout = self.response_stall_timeout();
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let before = connection.partial_since;
        connection.partial_since = if connection.reader.is_empty() {
            None
        } else {
            before.filter(|_| !frame_completed).or(Some(now))
        };
        if connection.partial_since.is_some() && connection.partial_since != before {
            net.timers.arm(now.after(timeout), TimerEvent::ResponseStalled(key));
        }
    }

    /// Counts and logs a malformed response.
    fn count_malformed(&mut self, key: usize, error: &ResponseError, taken: &TakenFrames) {
        let Some(connection) = self.connections.get(&key) else { return };
        self.malformed.connections += 1;
        if let Some([b'a', ..]) = taken.unconfirmed.as_deref() {
            self.malformed.unconfirmed_answers += 1;
        }
        tracing::warn!(
            "closing a connection to a tile server: malformed response from {}: {error}; discarded in front of \
             it: {} bytes; {} parts in flight on it: check the server's log and version",
            connection.address,
            taken.unconfirmed.as_ref().map_or(0, Vec::len),
            connection.active_parts(),
        );
    }

    /// Returns the connections that were closed because of malformed responses since the last call.
    pub fn take_malformed(&mut self) -> MalformedCounts {
        std::mem::take(&mut self.malformed)
    }

    /// How long a frame may stay partially received.
    fn response_stall_timeout(&self) -> Duration {
        self.settings.connect_timeout.min(self.min_silence_limit * 2)
    }

    /// Closes a connection whose frame has stayed partially received for too long. A server writes each frame
    /// at once, so the length of an unfinished one is wrong, and all following responses would be taken for
    /// its content.
    pub fn on_response_stalled(&mut self, net: &Net, now: Time, key: usize) {
        self.now = self.now.max(now);
        let limit = now.before(self.response_stall_timeout());
        let Some(connection) = self.connections.get(&key) else { return };
        if connection.partial_since.is_some_and(|since| since <= limit) {
            self.malformed.connections += 1;
            tracing::warn!(
                "closing a connection to a tile server: response not completed in time by {}, {} bytes of a \
                 frame received: check the server's log and version",
                connection.address,
                connection.reader.len(),
            );
            self.close_connection(net, key, ClosedBy::Broker);
        }
    }

    /// Handles one frame.
    fn handle_frame(&mut self, now: Time, key: usize, frame: &[u8]) -> Result<(), ResponseError> {
        match frame.split_first() {
            Some((b'a', payload)) => self.handle_answer(key, payload),
            Some((b'p' | b'l', payload)) => self.handle_probe_answer(now, key, payload),
            Some((b'e', message)) => {
                tracing::warn!(
                    "a tile server reported an invalid frame: {}",
                    String::from_utf8_lossy(message)
                );
                Ok(())
            }
            Some((letter, _)) => Err(ResponseError::UnknownLetter(*letter)),
            None => Err(ResponseError::LengthOutOfRange(0)),
        }
    }

    /// Handles the answer to a part.
    fn handle_answer(&mut self, key: usize, payload: &[u8]) -> Result<(), ResponseError> {
        let Some(connection) = self.connections.get_mut(&key) else { return Ok(()) };
        let (wire_id, verdict, value, load) =
            decode_response(payload).ok_or(ResponseError::UnreadableAnswer)?;
        // A response to a part that is not completely written is invalid.
        let Some((part, written_at)) =
            connection.parts.get(wire_id).and_then(|part| Some((part, part.written_at?)))
        else {
            let is_duplicate = wire_id == connection.last_answered;
            return if is_duplicate { Ok(()) } else { Err(ResponseError::UnknownPart) };
        };
        if let Some(server) = self.servers.get_mut(&connection.server) {
            server.last_answered_written = server.last_answered_written.max(written_at);
        }
        connection.answered_written = connection.answered_written.max(written_at);
        // The response to a cancelled attempt is discarded: its outcome is settled.
        if part.cancelled_at.is_none() && self.attempts.remove(&part.attempt).is_some() {
            self.completions.push(Completion::Attempt { attempt: part.attempt, verdict, value, load });
        }
        connection.parts.remove(wire_id);
        wire_id.clone_into(&mut connection.last_answered);
        Ok(())
    }

    /// Handles the answer to a probe.
    fn handle_probe_answer(&mut self, now: Time, key: usize, payload: &[u8]) -> Result<(), ResponseError> {
        let Some(connection) = self.connections.get_mut(&key) else { return Ok(()) };
        let queued_at = connection.probes.pop_front().ok_or(ResponseError::UnknownProbe)?;
        let server = connection.server;
        if let Some(server) = self.servers.get_mut(&server) {
            server.last_answered_written = server.last_answered_written.max(queued_at);
        }
        connection.answered_written = connection.answered_written.max(queued_at);
        let (verdict, load) = match payload {
            b"broke" => (Verdict::Error, LoadReport::default()),
            report => (Verdict::Served, parse_load_report(&String::from_utf8_lossy(report))),
        };
        let round_trip = now.since(queued_at);
        self.completions.push(Completion::Probe { server, verdict, round_trip, load });
        Ok(())
    }
}
