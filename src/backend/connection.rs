//! One connection to a tile server: the frames queued for it, the parts in flight on it, and the bytes
//! received.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::SockRef;

use super::frame::{Frame, MAX_FRAME_BYTES, encode};
use super::frame_reader::{FrameReader, TakenFrames};
use super::liveness::DEAD_SILENCE_MULTIPLE;
use crate::config::settings::SiteSettings;
use crate::core::AttemptId;
use crate::interface::{ServerId, Time};
use crate::net::clock::Clock;
use crate::net::outbox::{MAX_IO_SLICES, Outbox};

/// Size of the buffer for a single read.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A part that was assigned to a connection and is not answered yet.
pub(super) struct PartState {
    pub(super) attempt: AttemptId,
    /// The connection is suspect once nothing has been received for this long. Derived from the aim of the
    /// part's own class, as a server may work on a part of one class for longer than the aim of another.
    pub(super) silence_limit: Duration,
    /// Whether each execution of it counts, so that no attempt may be executed late: its class is not safe.
    pub(super) has_effect: bool,
    /// When the last byte of its frame was written; from then on it may run.
    pub(super) written_at: Option<Time>,
    /// When it was cancelled: its outcome is settled, but a response may still arrive.
    pub(super) cancelled_at: Option<Time>,
    /// When the cancellation was written completely.
    pub(super) cancel_written_at: Option<Time>,
}

/// A connection to a tile server, from the start of its TCP handshake.
pub(super) struct Connection {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) stream: TcpStream,
    pub(super) connected: bool,
    /// Attempts that were not written because their latest start had passed.
    pub(super) expired: Vec<AttemptId>,
    /// Frames that are not encoded yet; they follow those in `encoded`.
    pub(super) queued: VecDeque<Frame>,
    /// Frames that are encoded, one for each buffer in the outbox.
    pub(super) encoded: VecDeque<Frame>,
    pub(super) outbox: Outbox,
    /// Bytes received that are not a complete frame yet.
    pub(super) reader: FrameReader,
    /// Whether the last read stopped at its limit, so that the socket may hold more.
    stopped_at_limit: bool,
    /// Since when a frame has been partially received.
    pub(super) partial_since: Option<Time>,
    /// Since when a frame has been partially written without any progress.
    write_blocked_since: Option<Time>,
    /// When the latest written of the parts answered on it was written: its server has read everything that
    /// was written before.
    pub(super) answered_written: Time,
    /// Id on the wire of the part answered last, whose response may be duplicated.
    pub(super) last_answered: String,
    /// Parts by their id on the wire, which is the same for all attempts of a part.
    pub(super) parts: HashMap<String, PartState>,
    /// When each unanswered probe was queued, oldest first.
    pub(super) probes: VecDeque<Time>,
    pub(super) last_used: Time,
    /// When anything was last received.
    pub(super) last_received: Time,
    /// A part was cancelled on it after its silence limit, and nothing has been received since.
    pub(super) suspect: bool,
    /// It was probed during the current silence.
    pub(super) probed: bool,
    /// Whether the poller is set to report writability.
    pub(super) write_interest: bool,
    /// The step in which its last query frame was queued; only sends of that step may join the frame.
    pub(super) step: u64,
    /// Attempts written completely since this was last taken.
    pub(super) relayed: u64,
    /// Parts cancelled long ago are still unanswered on it: it carries nothing new, and is closed once
    /// nothing in flight on it is waited for.
    pub(super) retired: bool,
}

impl Connection {
    /// Creates the state of a connection that is being established.
    pub(super) fn new(server: ServerId, address: SocketAddr, stream: TcpStream, now: Time) -> Self {
        Connection {
            server,
            address,
            stream,
            connected: false,
            expired: Vec::new(),
            queued: VecDeque::new(),
            encoded: VecDeque::new(),
            outbox: Outbox::default(),
            reader: FrameReader::default(),
            stopped_at_limit: false,
            partial_since: None,
            write_blocked_since: None,
            answered_written: Time(0),
            last_answered: String::new(),
            parts: HashMap::new(),
            probes: VecDeque::new(),
            last_used: now,
            last_received: now,
            suspect: false,
            probed: false,
            write_interest: true,
            step: 0,
            relayed: 0,
            retired: false,
        }
    }

    /// Whether it is established and nothing is queued or in flight on it except cancelled parts.
    pub(super) fn is_idle(&self) -> bool {
        self.connected
            && self.outbox.is_empty()
            && self.queued.is_empty()
            && self.probes.is_empty()
            && self.parts.values().all(|part| part.cancelled_at.is_some())
    }

    /// Number of parts on it that are not cancelled.
    pub(super) fn active_parts(&self) -> usize {
        self.parts.values().filter(|part| part.cancelled_at.is_none()).count()
    }

    /// Number of parts on it that are written completely, so that they may run, and not cancelled.
    pub(super) fn active_written_parts(&self) -> usize {
        let active = self.parts.values().filter(|part| part.cancelled_at.is_none());
        active.filter(|part| part.written_at.is_some()).count()
    }

    /// For each written part that is not cancelled: the start of the silence, and the part's silence limit.
    fn silences(&self) -> impl Iterator<Item = (Time, Duration)> {
        let active = self.parts.values().filter(|part| part.cancelled_at.is_none());
        active.filter_map(|part| Some((part.written_at?.max(self.last_received), part.silence_limit)))
    }

    /// Whether nothing has been received for the silence limit of any part in flight.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        self.silences().any(|(since, limit)| now.since(since) >= limit)
    }

    /// Whether the connection may be dead. A silence starts no earlier than the last byte received, so the
    /// parts need checking only if that is at least the shortest silence limit ago.
    pub(super) fn is_suspect(&self, now: Time, min_silence_limit: Duration) -> bool {
        self.suspect || (now.since(self.last_received) >= min_silence_limit && self.is_silent(now))
    }

    /// Whether it has stayed silent although its server has answered, on another connection, a part written
    /// later. `last_answered_written` is when the latest written of the parts that the server has answered
    /// was written.
    pub(super) fn is_dead(&self, now: Time, last_answered_written: Time) -> bool {
        self.silences().any(|(since, limit)| {
            now.since(since) >= limit * DEAD_SILENCE_MULTIPLE && last_answered_written > since.after(limit)
        })
    }

    /// Whether a part with an effect was cancelled, its server has not shown that it read the cancellation,
    /// and nothing has been received for the part's silence limit. The network may then still deliver the
    /// part, much later, unless the connection is aborted.
    pub(super) fn has_undelivered_cancellation(&self, now: Time) -> bool {
        self.parts.values().filter(|part| part.has_effect && part.cancelled_at.is_some()).any(|part| {
            let Some(written_at) = part.written_at else { return false };
            let is_read = part.cancel_written_at.is_some_and(|at| at <= self.answered_written);
            !is_read && now.since(written_at.max(self.last_received)) >= part.silence_limit
        })
    }

    /// Makes the close of the connection an orderly one if no part on it can be executed any more. Until
    /// then, its close or the end of the process aborts it: the system discards what the server has not
    /// received, which it would otherwise go on delivering.
    pub(super) fn prepare_close(&self) {
        if self.parts.values().all(|part| part.written_at.is_none()) {
            // If this fails, the server sees a reset in place of an orderly end.
            let _ = SockRef::from(&self.stream).set_linger(None);
        }
    }

    /// Whether a frame is partially written and its server has neither read more of it nor sent anything for
    /// a multiple of the longest silence limit of the parts. Such a frame can't be withdrawn: its parts,
    /// which never start, are completed only by closing the connection.
    pub(super) fn is_write_blocked(&self, now: Time) -> bool {
        let longest_limit = self.parts.values().map(|part| part.silence_limit).max();
        self.write_blocked_since.zip(longest_limit).is_some_and(|(since, limit)| {
            now.since(since.max(self.last_received)) >= limit * DEAD_SILENCE_MULTIPLE
        })
    }

    /// Writes what the socket accepts. `now` is the event loop's reading of the clock, which may be out of
    /// date; the clock is therefore read again immediately before and after each write.
    pub(super) fn write(&mut self, now: Time, clock: &Clock, settings: &SiteSettings) -> io::Result<()> {
        self.requeue_unwritten();
        loop {
            let now = now.max(clock.now());
            while self.outbox.len() < MAX_IO_SLICES
                && let Some(mut frame) = self.queued.pop_front()
            {
                if !self.remove_expired(&mut frame, now) {
                    continue;
                }
                self.outbox.push(encode(&frame, now, settings));
                self.encoded.push_back(frame);
            }
            if self.outbox.is_empty() {
                return Ok(());
            }
            let completed_before = self.outbox.completed();
            let pending_before = self.outbox.pending_bytes();
            let result = self.outbox.flush(&mut self.stream);
            // The process may have been suspended before the write, which is known to have happened only now.
            // With an earlier time, the server would seem to have had time to read a cancellation not yet
            // written.
            let written_at = now.max(clock.now());
            let is_partial = self.outbox.partially_written() > 0;
            let progressed = self.outbox.pending_bytes() < pending_before;
            self.write_blocked_since =
                is_partial.then(|| self.write_blocked_since.filter(|_| !progressed).unwrap_or(written_at));
            for _ in completed_before..self.outbox.completed() {
                self.last_used = written_at;
                match self.encoded.pop_front() {
                    Some(Frame::Query(parts)) => {
                        self.relayed += parts.len() as u64;
                        for (wire_id, _) in parts {
                            self.parts.entry(wire_id).and_modify(|part| part.written_at = Some(written_at));
                        }
                    }
                    Some(Frame::Cancel(wire_id)) => {
                        self.parts
                            .entry(wire_id)
                            .and_modify(|part| part.cancel_written_at = Some(written_at));
                    }
                    _ => {}
                }
            }
            if !result? {
                return Ok(());
            }
        }
    }

    /// Returns encoded frames of which nothing is written to the queue. The deadline in a frame, and whether
    /// it may be sent at all, depend on when it is written: a frame that waited for a full socket would
    /// otherwise tell its server more time than is left.
    pub(super) fn requeue_unwritten(&mut self) {
        while self.encoded.len() > self.outbox.partially_written()
            && let Some(frame) = self.encoded.pop_back()
        {
            self.outbox.remove_last_unstarted();
            self.queued.push_front(frame);
        }
    }

    /// Whether anything is queued to be written, or the connection is not established yet.
    pub(super) fn wants_write(&self) -> bool {
        !self.connected || !self.outbox.is_empty() || !self.queued.is_empty()
    }

    /// Removes attempts from a frame whose latest start has passed. Returns whether the frame is still to be
    /// sent.
    pub(super) fn remove_expired(&mut self, frame: &mut Frame, now: Time) -> bool {
        let Frame::Query(parts) = frame else { return true };
        for (wire_id, send) in
            parts.extract_if(.., |(_, send)| send.start_before.is_some_and(|latest| now > latest))
        {
            self.parts.remove(&wire_id);
            self.expired.push(send.attempt);
        }
        !parts.is_empty()
    }

    /// Reads what the socket has received, up to a limit.
    pub(super) fn read(&mut self, now: Time) -> io::Result<()> {
        self.stopped_at_limit = false;
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => {
                    (self.last_used, self.last_received, self.suspect, self.probed) =
                        (now, now, false, false);
                    self.reader.push(&buffer[..read]);
                    // The poller reports the rest again after these frames are handled.
                    if self.reader.len() > MAX_FRAME_BYTES + buffer.len() {
                        self.stopped_at_limit = true;
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Removes the complete frames that were received. The last one stays if the bytes behind it are received by
    /// the system and not read yet: they may show that its length is wrong.
    pub(super) fn take_frames(&mut self) -> TakenFrames {
        let has_unread_bytes = self.stopped_at_limit && matches!(self.stream.peek(&mut [0]), Ok(1));
        self.reader.take_frames(has_unread_bytes)
    }

    /// Withdraws an attempt if nothing of its frame is written. Returns whether it did.
    pub(super) fn withdraw(&mut self, attempt: AttemptId) -> bool {
        self.requeue_unwritten();
        for index in 0..self.queued.len() {
            let Some((wire_id, left)) = self.queued[index].remove_attempt(attempt) else { continue };
            self.parts.remove(&wire_id);
            if left == 0 {
                self.queued.remove(index);
            }
            return true;
        }
        false
    }
}
