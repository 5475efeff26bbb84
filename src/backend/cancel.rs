//! Attempts that are given up: taken back where nothing of them was written, and else held until their server has had
//! time to read that they are over.

use std::time::Duration;

use super::frame::Frame;
use super::{Backend, Completion, finish};
use crate::core::AttemptId;
use crate::interface::{LoadReport, Time, Verdict};
use crate::net::{Net, TimerEvent};

/// How long after word that an attempt is given up has been written (a frame `c`, or this broker's close of
/// its connection) the attempt counts as over: the slack that the protocol gives every time limit, taken as how
/// late a server may be found to have read what was written. Until then its part is not sent again: a server
/// may read the next attempt, on another connection, before that word, and two would be out at once.
pub(super) const GIVE_UP_READ_WITHIN: Duration = Duration::from_millis(50);

/// The outcome of an attempt that was given up, held until its server has heard so.
pub(super) struct HeldOutcome {
    pub(super) due: Time,
    /// The connection that carries the word, and the part's id on it.
    pub(super) key: usize,
    name: String,
    done: Completion,
}

impl Backend {
    /// Stops waiting for an attempt, with this verdict if it may have run.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId, verdict: Verdict) {
        self.now = self.now.max(now);
        self.withdraw(now, attempt);
        let Some(&key) = self.attempts.get(&attempt) else { return };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let Some((name, part)) = connection.parts.iter_mut().find(|(_, part)| part.attempt == attempt) else {
            return;
        };
        part.abandoned = Some(now);
        let since = part.written.unwrap_or(now).max(connection.heard);
        connection.doubted |= now.since(since) >= part.quiet;
        connection.waiting.push_back(Frame::Cancel(name.clone()));
        let name = name.clone();
        self.unflushed.push(key);
        self.hold(attempt, verdict, key, name, now.after(GIVE_UP_READ_WITHIN));
    }

    /// Takes an attempt back if nothing of it has been written: it never began, and never will.
    pub fn withdraw(&mut self, now: Time, attempt: AttemptId) {
        self.now = self.now.max(now);
        let Some(connection) = self.attempts.get(&attempt).and_then(|key| self.connections.get_mut(key))
        else {
            return;
        };
        if connection.take_back(attempt) {
            finish(&mut self.attempts, &mut self.completions, attempt, Verdict::NotSent);
        }
    }

    /// Keeps the outcome of an attempt given up on a connection until its server has heard so; the twin of
    /// [`finish`] for such attempts.
    pub(super) fn hold(&mut self, attempt: AttemptId, verdict: Verdict, key: usize, name: String, due: Time) {
        if self.attempts.remove(&attempt).is_some() {
            let done = Completion::Attempt { attempt, verdict, value: None, load: LoadReport::default() };
            self.held_outcomes.push(HeldOutcome { due, key, name, done });
        }
    }

    /// Tells the outcomes of attempts given up whose servers have heard so by now, and has the wheel bring
    /// the next look.
    pub(super) fn release(&mut self, net: &mut Net, now: Time) {
        let mut index = 0;
        while index < self.held_outcomes.len() {
            let held = &mut self.held_outcomes[index];
            let told = self
                .connections
                .get(&held.key)
                .and_then(|connection| connection.parts.get(&held.name))
                .map(|p| p.told);
            let heard = match told {
                // The connection is gone, or the server answered the part.
                None => held.due,
                // The word waits behind other frames.
                Some(None) => now.after(GIVE_UP_READ_WITHIN),
                Some(Some(at)) => held.due.max(at.after(GIVE_UP_READ_WITHIN)),
            };
            if heard <= now {
                let held = self.held_outcomes.swap_remove(index);
                self.completions.push(held.done);
            } else {
                held.due = heard;
                index += 1;
            }
        }
        let next = self.held_outcomes.iter().map(|held| held.due).min();
        if let Some(next) = next
            && self.held_outcomes_due.is_none_or(|armed| armed <= now || next < armed)
        {
            net.timers.arm(next, TimerEvent::CancelsRead);
            self.held_outcomes_due = Some(next);
        }
    }
}
