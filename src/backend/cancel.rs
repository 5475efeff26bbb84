//! Cancellation of attempts. An attempt of which nothing is written is withdrawn at once; the outcome of any
//! other is withheld until its server has had time to read the cancellation. Where a server may be
//! unreachable, the connection is aborted, so that no attempt with an effect is delivered late.

use std::time::Duration;

use super::connection::Connection;
use super::frame::Frame;
use super::{Backend, ClosedBy, Completion, complete};
use crate::core::AttemptId;
use crate::interface::{LoadReport, Time, Verdict};
use crate::net::{Net, TimerEvent};

/// How long after a cancellation is written (a frame `c`, or this broker's close of the connection) the
/// server is taken to have read it: the slack that the protocol allows on every time limit. Until then the
/// part is not sent again, as a server could read the next attempt, on another connection, before the
/// cancellation, and two attempts would be in flight at once.
pub(super) const CANCEL_READ_ALLOWANCE: Duration = Duration::from_millis(50);

/// Number of connections that were aborted because a cancelled part might still be delivered, and what that
/// cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AbortCounts {
    /// Connections aborted.
    pub connections: u64,
    /// Other parts in flight on them, whose outcome is unknown since.
    pub lost_parts: u64,
}

/// The outcome of a cancelled attempt, withheld until its server has read the cancellation.
pub(super) struct WithheldOutcome {
    /// Earliest time at which the outcome is reported.
    pub(super) due: Time,
    /// Key of the connection that carries the cancellation.
    pub(super) key: usize,
    /// The part's id on the wire.
    wire_id: String,
    completion: Completion,
}

impl Backend {
    /// Cancels an attempt. Its verdict is `verdict` if it may have run, and [`Verdict::NotSent`] otherwise.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId, verdict: Verdict) {
        self.now = self.now.max(now);
        self.withdraw(now, attempt);
        let Some(&key) = self.attempts.get(&attempt) else { return };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let Some((wire_id, part)) = connection.parts.iter_mut().find(|(_, part)| part.attempt == attempt)
        else {
            return;
        };
        part.cancelled_at = Some(now);
        let since = part.written_at.unwrap_or(now).max(connection.last_received);
        let is_silent = now.since(since) >= part.silence_limit;
        connection.suspect |= is_silent;
        let wire_id = wire_id.clone();
        if is_silent && part.has_effect {
            self.to_abort.push(key);
        } else {
            connection.queued.push_back(Frame::Cancel(wire_id.clone()));
            self.unflushed.push(key);
        }
        self.withhold(attempt, verdict, key, wire_id, now.after(CANCEL_READ_ALLOWANCE));
    }

    /// Closes silent connections on which a part with an effect was cancelled before they fell silent.
    pub(super) fn abort_undelivered(&mut self, net: &Net, now: Time) {
        let undelivered = |(key, connection): (&usize, &Connection)| {
            connection.has_undelivered_cancellation(now).then_some(*key)
        };
        for key in self.connections.iter().filter_map(undelivered).collect::<Vec<_>>() {
            self.abort_connection(net, key);
        }
    }

    /// Closes a connection whose server may be unreachable, so that a cancelled part that has not reached it
    /// is discarded. A cancellation frame would only follow the part, which the server executes when the
    /// network delivers it: possibly long after the part was executed elsewhere, or its client was told that
    /// it failed.
    pub(super) fn abort_connection(&mut self, net: &Net, key: usize) {
        let Some(connection) = self.connections.get(&key) else { return };
        let lost_parts = connection.active_written_parts();
        tracing::debug!(
            "aborting a silent connection to a tile server, as a part with an effect was cancelled on it; \
             {lost_parts} other parts are in flight on it"
        );
        self.aborts.connections += 1;
        self.aborts.lost_parts += lost_parts as u64;
        self.close_connection(net, key, ClosedBy::Broker);
    }

    /// Returns what was aborted since the last call.
    pub fn take_aborts(&mut self) -> AbortCounts {
        std::mem::take(&mut self.aborts)
    }

    /// Withdraws an attempt if nothing of it has been written, so that it never runs.
    pub fn withdraw(&mut self, now: Time, attempt: AttemptId) {
        self.now = self.now.max(now);
        let Some(connection) = self.attempts.get(&attempt).and_then(|key| self.connections.get_mut(key))
        else {
            return;
        };
        if connection.withdraw(attempt) {
            complete(&mut self.attempts, &mut self.completions, attempt, Verdict::NotSent);
        }
    }

    /// Withholds the outcome of a cancelled attempt until its server has read the cancellation. The
    /// counterpart of [`complete`] for cancelled attempts.
    pub(super) fn withhold(
        &mut self,
        attempt: AttemptId,
        verdict: Verdict,
        key: usize,
        wire_id: String,
        due: Time,
    ) {
        if self.attempts.remove(&attempt).is_some() {
            let completion =
                Completion::Attempt { attempt, verdict, value: None, load: LoadReport::default() };
            self.withheld_outcomes.push(WithheldOutcome { due, key, wire_id, completion });
        }
    }

    /// Reports the outcomes of cancelled attempts whose servers have read the cancellation by now, and sets
    /// the timer for the next ones.
    pub(super) fn release_withheld(&mut self, net: &mut Net, now: Time) {
        let mut index = 0;
        while index < self.withheld_outcomes.len() {
            let withheld = &mut self.withheld_outcomes[index];
            let cancel_written = self
                .connections
                .get(&withheld.key)
                .and_then(|connection| connection.parts.get(&withheld.wire_id))
                .map(|part| part.cancel_written_at);
            let due = match cancel_written {
                // The connection is closed, or the server answered the part.
                None => withheld.due,
                // The cancellation is queued behind other frames.
                Some(None) => now.after(CANCEL_READ_ALLOWANCE),
                Some(Some(at)) => withheld.due.max(at.after(CANCEL_READ_ALLOWANCE)),
            };
            if due <= now {
                let withheld = self.withheld_outcomes.swap_remove(index);
                self.completions.push(withheld.completion);
            } else {
                withheld.due = due;
                index += 1;
            }
        }
        let next = self.withheld_outcomes.iter().map(|withheld| withheld.due).min();
        if let Some(next) = next
            && self.withheld_timer.is_none_or(|armed| armed <= now || next < armed)
        {
            net.timers.arm(next, TimerEvent::CancelsRead);
            self.withheld_timer = Some(next);
        }
    }
}
