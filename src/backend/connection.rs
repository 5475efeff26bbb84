//! One connection to a tile server: the frames that wait to be written, the parts that it answers for, and the bytes that
//! have come.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::frame::{Frame, MAX_FRAME, encode, without};
use super::liveness::DEAD_AFTER;
use crate::config::settings::SiteSettings;
use crate::core::AttemptId;
use crate::interface::{ServerId, Time};
use crate::net::clock::Clock;
use crate::net::outbox::{MAX_IO_SLICES, Outbox};

/// What a connection's buffer keeps between answers, which are short as a rule.
const KEPT_BUFFER: usize = 4 * 1024;

/// A part that a connection answers for.
pub(super) struct CarriedPart {
    pub(super) attempt: AttemptId,
    /// Its connection is in doubt once nothing has come for so long: by the aim of its own class, as a server may work
    /// on a part of one class for longer than another one's aim.
    pub(super) quiet: Duration,
    /// When its frame's last byte was written: from here on it may run.
    pub(super) written: Option<Time>,
    /// When it was given up: nobody waits for it any more, but its answer may still come.
    pub(super) abandoned: Option<Time>,
    /// When the word that it was given up was written whole.
    pub(super) told: Option<Time>,
}

/// A connection to a tile server, from the first packet on.
pub(super) struct Connection {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) stream: TcpStream,
    pub(super) connected: bool,
    /// Attempts that might no longer begin when their turn to be written came.
    pub(super) late: Vec<AttemptId>,
    /// Frames that are not encoded yet, then those that are, in step with the outbox.
    pub(super) waiting: VecDeque<Frame>,
    pub(super) encoded: VecDeque<Frame>,
    pub(super) outbox: Outbox,
    pub(super) bytes: Vec<u8>,
    /// Since when a frame is begun and not whole.
    pub(super) begun: Option<Time>,
    /// Since when its server has read nothing of a frame that is partly written.
    blocked: Option<Time>,
    /// The part that was answered last, whose answer may come twice.
    pub(super) answered: String,
    /// Parts by their id on the wire, which recurs over a part's attempts.
    pub(super) parts: HashMap<String, CarriedPart>,
    pub(super) probes: VecDeque<Time>,
    pub(super) last_used: Time,
    /// When anything last came.
    pub(super) heard: Time,
    /// A part was given up on it after a long silence, which goes on.
    pub(super) doubted: bool,
    /// It was probed for this silence of its own.
    pub(super) probed: bool,
    /// Whether the poller was asked for writability.
    pub(super) asked_write: bool,
    /// The number of the step whose sends may still join the last frame.
    pub(super) step: u64,
    /// Attempts whose last byte was written since this was last taken.
    pub(super) relayed: u64,
    /// Parts that were given up long ago are still unanswered on it: it gets nothing new, and ends once
    /// nobody waits for anything on it.
    pub(super) retired: bool,
}

impl Connection {
    /// A connection that was begun, and has still to come up.
    pub(super) fn new(server: ServerId, address: SocketAddr, stream: TcpStream, now: Time) -> Self {
        Connection {
            server,
            address,
            stream,
            connected: false,
            late: Vec::new(),
            waiting: VecDeque::new(),
            encoded: VecDeque::new(),
            outbox: Outbox::default(),
            bytes: Vec::new(),
            begun: None,
            blocked: None,
            answered: String::new(),
            parts: HashMap::new(),
            probes: VecDeque::new(),
            last_used: now,
            heard: now,
            doubted: false,
            probed: false,
            asked_write: true,
            step: 0,
            relayed: 0,
            retired: false,
        }
    }

    /// Whether nothing is out or queued that anyone waits for.
    pub(super) fn is_idle(&self) -> bool {
        self.connected
            && self.outbox.is_empty()
            && self.waiting.is_empty()
            && self.probes.is_empty()
            && self.parts.values().all(|part| part.abandoned.is_some())
    }

    /// Parts on it that someone waits for.
    pub(super) fn waited_for(&self) -> usize {
        self.parts.values().filter(|part| part.abandoned.is_none()).count()
    }

    /// For each part that is out and waited for: since when nothing has come, and how long that may last.
    fn silences(&self) -> impl Iterator<Item = (Time, Duration)> {
        let waited = self.parts.values().filter(|part| part.abandoned.is_none());
        waited.filter_map(|part| Some((part.written?.max(self.heard), part.quiet)))
    }

    /// Whether nothing has come for too long for one of the parts that are out.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        self.silences().any(|(since, quiet)| now.since(since) >= quiet)
    }

    /// Whether it may have fallen silent for good. Silence counts from the last word or later, so the parts that are
    /// out are looked through only where that word is old.
    pub(super) fn is_doubted(&self, now: Time, least_quiet: Duration) -> bool {
        self.doubted || (now.since(self.heard) >= least_quiet && self.is_silent(now))
    }

    /// Whether it has stayed silent while its server answered on another one what was written later. `answered` is when
    /// the youngest part that the server has answered was written.
    pub(super) fn is_dead(&self, now: Time, answered: Time) -> bool {
        self.silences()
            .any(|(since, quiet)| now.since(since) >= quiet * DEAD_AFTER && answered > since.after(quiet))
    }

    /// Whether its server has neither read more of a frame that is partly written nor said anything for long, by the
    /// classes of all parts on it. Such a frame can't be taken back: its parts get their outcome by the connection's end
    /// alone, and did not begin.
    pub(super) fn is_blocked(&self, now: Time) -> bool {
        let longest_quiet = self.parts.values().map(|part| part.quiet).max();
        self.blocked
            .zip(longest_quiet)
            .is_some_and(|(since, quiet)| now.since(since.max(self.heard)) >= quiet * DEAD_AFTER)
    }

    /// Writes what the socket takes. `now` is the loop's reading of the clock, and may be old: what holds from the
    /// moment of a write is measured here, on both sides of it.
    pub(super) fn write(&mut self, now: Time, clock: &Clock, settings: &SiteSettings) -> io::Result<()> {
        self.unencode();
        loop {
            let now = now.max(clock.now());
            while self.outbox.len() < MAX_IO_SLICES
                && let Some(mut frame) = self.waiting.pop_front()
            {
                if !self.leave_late(&mut frame, now) {
                    continue;
                }
                self.outbox.push(encode(&frame, now, settings));
                self.encoded.push_back(frame);
            }
            if self.outbox.is_empty() {
                return Ok(());
            }
            let before = self.outbox.completed();
            let held = self.outbox.pending_bytes();
            let result = self.outbox.flush(&mut self.stream);
            // The process may have been held up before the write: only now is it known to have happened. A server
            // that was told of a give-up by an earlier reading would seem to have had its time to read it.
            let written = now.max(clock.now());
            let has_begun = self.outbox.partially_written() > 0;
            let progressed = self.outbox.pending_bytes() < held;
            self.blocked = has_begun.then(|| self.blocked.filter(|_| !progressed).unwrap_or(written));
            for _ in before..self.outbox.completed() {
                self.last_used = written;
                match self.encoded.pop_front() {
                    Some(Frame::Query(parts)) => {
                        self.relayed += parts.len() as u64;
                        for (name, _) in parts {
                            self.parts.entry(name).and_modify(|part| part.written = Some(written));
                        }
                    }
                    Some(Frame::Cancel(name)) => {
                        self.parts.entry(name).and_modify(|part| part.told = Some(written));
                    }
                    _ => {}
                }
            }
            if !result? {
                return Ok(());
            }
        }
    }

    /// Puts the frames back of which nothing was written. What a frame says, and whether it may go out at all, depends on
    /// when it is written: one that waited behind a full socket would tell its server of time that has gone by.
    pub(super) fn unencode(&mut self) {
        while self.encoded.len() > self.outbox.partially_written()
            && let Some(frame) = self.encoded.pop_back()
        {
            self.outbox.remove_last_unstarted();
            self.waiting.push_front(frame);
        }
    }

    /// Whether anything waits to be written, or the connection has yet to come up.
    pub(super) fn wants_write(&self) -> bool {
        !self.connected || !self.outbox.is_empty() || !self.waiting.is_empty()
    }

    /// Takes the attempts out of a frame that may not begin any more. Gives whether anything is left of it.
    pub(super) fn leave_late(&mut self, frame: &mut Frame, now: Time) -> bool {
        let Frame::Query(parts) = frame else { return true };
        for (name, send) in
            parts.extract_if(.., |(_, send)| send.start_before.is_some_and(|latest| now > latest))
        {
            self.parts.remove(&name);
            self.late.push(send.attempt);
        }
        !parts.is_empty()
    }

    pub(super) fn read(&mut self, now: Time) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => {
                    (self.last_used, self.heard, self.doubted, self.probed) = (now, now, false, false);
                    self.bytes.extend_from_slice(&buffer[..read]);
                    // The rest is reported again, once these frames are taken.
                    if self.bytes.len() > MAX_FRAME + buffer.len() {
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Takes the whole frames out of what was read, and tells whether the rest may become one.
    pub(super) fn frames(&mut self) -> (Vec<Vec<u8>>, bool) {
        let (mut frames, mut at, mut sound) = (Vec::new(), 0, true);
        while let Some((length, rest)) = self.bytes[at..].split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let known = rest.first().is_none_or(|letter| b"aepl".contains(letter));
            if length == 0 || length > MAX_FRAME || !known {
                sound = false;
                break;
            }
            let Some(frame) = rest.get(..length) else { break };
            frames.push(frame.to_vec());
            at += 4 + length;
        }
        self.bytes.drain(..at);
        self.bytes.shrink_to(KEPT_BUFFER);
        (frames, sound)
    }

    /// Takes an attempt back whose frame has not been begun.
    pub(super) fn take_back(&mut self, attempt: AttemptId) -> bool {
        self.unencode();
        for index in 0..self.waiting.len() {
            let Some((name, left)) = without(&mut self.waiting[index], attempt) else { continue };
            self.parts.remove(&name);
            if left == 0 {
                self.waiting.remove(index);
            }
            return true;
        }
        false
    }
}
