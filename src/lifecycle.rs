//! The life of the process, from its start over drains to its end: the one place where its phases change. No I/O, and
//! no clock but what it is given.

use std::time::Duration;

use crate::interface::{Class, Time};

/// After SIGTERM clients still come for a while; so long they are listened to.
const STOP_LISTEN_DELAY: Duration = Duration::from_millis(500);
/// A client whose connection was just taken has so long to send its first request.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// After SIGTERM a broker may go on for the longest deadline, or this, and `STOP_LISTEN_DELAY` more.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Queries that are taken until the last have so many of the longest aim left until then.
const SHUTDOWN_AIMS: u32 = 2;
/// Once nothing is owed, clients that have met the end of their connections have so long to end them too: a process
/// that ends over bytes that it has not read resets them.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// In a drain connections may rest for so long, as most of them carry one more request and end with its answer. Clients
/// have left 2 s after that.
const DRAIN_IDLE_TIME: Duration = Duration::from_secs(1);

/// Where the process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Clients may not come yet: the first list is waited for.
    Starting,
    /// It serves.
    Serving,
    /// Operators have drained it: it serves those that come, and asks all to leave. Nothing of it ends.
    Drained,
    /// It was told to end, and goes on on the connections there are. Clients that still have one use it while it is
    /// open, and whoever restarts brokers in turn may stop this one before the last is back: closing them early would
    /// leave them without any.
    Stopping,
    /// It was told to end, each answer ends its connection, and in time those that rest are ended.
    Closing,
    /// Nothing is owed any more: clients are left to end their connections.
    Lingering,
    /// It ends.
    Ended,
}

/// The process's phase, with the times at which it changes.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// Whether a successor has its listeners.
    handed_over: bool,
    /// From then on connections that rest are ended, while it is drained.
    pub drain_idle_until: Time,
    /// Until then new connections are taken, once it was told to end.
    pub listen_until: Time,
    /// Until then connections may rest, once it was told to end.
    pub keep_idle_until: Time,
    /// By then all is answered.
    pub shutdown_deadline: Time,
    linger_until: Time,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let never = Time(u64::MAX);
        Lifecycle {
            phase: Phase::Starting,
            handed_over: false,
            drain_idle_until: never,
            listen_until: never,
            keep_idle_until: never,
            shutdown_deadline: never,
            linger_until: never,
        }
    }
}

impl Lifecycle {
    /// Where the process stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new clients are welcome.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether clients are to come to this broker, be it to this process or to its successor on the same listeners.
    pub fn is_available(&self) -> bool {
        self.is_serving() || (self.handed_over && !self.is_drained())
    }

    /// Whether operators have drained it.
    pub fn is_drained(&self) -> bool {
        self.phase == Phase::Drained
    }

    /// Whether it was told to end.
    pub fn is_stopping(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Serving | Phase::Drained)
    }

    /// Whether the connections there are will end, as their next answer says.
    pub fn is_closing(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Serving | Phase::Stopping)
    }

    /// Clients may come.
    pub fn started(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// Operators drain it. Gives whether that changes anything: only one that serves can be drained.
    pub fn drain(&mut self, now: Time) -> bool {
        if self.phase != Phase::Serving {
            return false;
        }
        self.phase = Phase::Drained;
        self.drain_idle_until = now.after(DRAIN_IDLE_TIME);
        true
    }

    /// Operators end the drain. Gives whether that changes anything.
    pub fn resume(&mut self) -> bool {
        if self.phase != Phase::Drained {
            return false;
        }
        self.phase = Phase::Serving;
        self.drain_idle_until = Time(u64::MAX);
        true
    }

    /// How long a connection may rest from now on, where a drain says so.
    pub fn drain_idle_left(&self, now: Time) -> Option<Duration> {
        (self.phase == Phase::Drained).then(|| self.drain_idle_until.since(now))
    }

    /// Whether a successor takes clients on the same listeners: then this process's clients have somewhere to go.
    pub fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// SIGTERM has come. Gives whether it says anything new: a second one does not, and one that comes before clients
    /// may is the end.
    pub fn stop(&mut self, now: Time, classes: &[Class]) -> bool {
        match self.phase {
            Phase::Starting => self.phase = Phase::Ended,
            Phase::Serving | Phase::Drained => {
                let deadline = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
                let aim = classes.iter().map(|class| class.aim).max().unwrap_or_default();
                let total = deadline.min(MAX_SHUTDOWN_DEADLINE) + STOP_LISTEN_DELAY;
                // Where that leaves no time, each answer says from now on that its connection ends.
                let keep_idle = total.saturating_sub(aim.saturating_mul(SHUTDOWN_AIMS));
                let has_time = keep_idle > STOP_LISTEN_DELAY && !self.is_drained();
                let listen = if self.handed_over { Duration::ZERO } else { STOP_LISTEN_DELAY };
                // Ended with the listening, the connections that were taken last would end before their first request.
                let min_keep_idle = (listen + FIRST_REQUEST_TIME).min(total);
                let keep_idle = if has_time { keep_idle.max(min_keep_idle) } else { min_keep_idle };
                self.listen_until = now.after(listen);
                self.keep_idle_until = now.after(keep_idle);
                self.shutdown_deadline = now.after(total);
                let keeps_open = has_time && !self.handed_over;
                self.phase = if keeps_open { Phase::Stopping } else { Phase::Closing };
                self.advance(now);
            }
            _ => return false,
        }
        true
    }

    /// Time has gone on.
    pub fn advance(&mut self, now: Time) {
        if self.phase == Phase::Stopping && now >= self.keep_idle_until {
            self.phase = Phase::Closing;
        }
        if self.phase == Phase::Lingering && now >= self.linger_until {
            self.phase = Phase::Ended;
        }
    }

    /// What is left: whether anything is owed, and whether any client has a connection. Only what was told to end and
    /// listens no more may be done.
    pub fn check_completion(
        &mut self,
        now: Time,
        listening: bool,
        responses_pending: bool,
        clients_connected: bool,
    ) {
        match self.phase {
            Phase::Stopping | Phase::Closing if !listening && !responses_pending && !clients_connected => {
                self.phase = Phase::Ended
            }
            Phase::Closing if !listening && !responses_pending && now >= self.keep_idle_until => {
                self.phase = Phase::Lingering;
                self.linger_until = now.after(LINGER_TIME).min(self.shutdown_deadline.max(now));
            }
            Phase::Lingering if !clients_connected => self.phase = Phase::Ended,
            _ => {}
        }
    }

    /// When it is to be looked at again, at the latest.
    pub fn next_transition(&self) -> Option<Time> {
        (self.phase == Phase::Lingering).then_some(self.linger_until)
    }
}

#[cfg(test)]
mod tests;
