//! The lifecycle of the process from start through drains to shutdown: the only place where its phase
//! changes. It does no I/O, and time is passed in.

use std::time::Duration;

use crate::interface::{Class, Time};

/// How long new connections are accepted after SIGTERM, as clients keep connecting for a while.
const STOP_LISTEN_DELAY: Duration = Duration::from_millis(500);
/// How long a newly accepted client has to send its first request before shutdown closes its connection.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Upper limit of the longest class deadline as used for shutdown. A broker may run for that deadline plus
/// `STOP_LISTEN_DELAY` after SIGTERM.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Queries that are accepted last have this many times the longest aim left before the shutdown deadline.
const SHUTDOWN_AIMS: u32 = 2;
/// How long clients have to close their connections once no response is outstanding. If the process exits
/// with unread input, the kernel resets the connections.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// How long connections may stay idle in a drain: most carry one more request in this time and are closed
/// with its response. All clients have left 2 s later.
const DRAIN_IDLE_TIME: Duration = Duration::from_secs(1);

/// The phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not accepting clients yet: waiting for the first server list.
    Starting,
    /// Serving.
    Serving,
    /// Drained by operators: it still serves requests but closes each connection with its response. The
    /// process does not end.
    Drained,
    /// Told to stop, and still serving on the open connections. Clients may have no other broker: in a
    /// rolling restart this one may be stopped before the previous one is back, so connections are not closed
    /// early.
    Stopping,
    /// Told to stop: each response closes its connection, and idle connections are closed in time.
    Closing,
    /// No response is outstanding: waits for clients to close their connections.
    Lingering,
    /// The process may exit.
    Ended,
}

/// The phase of the process and the times at which it changes. A time that is not set is `u64::MAX`.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// Whether a successor has the listeners.
    handed_over: bool,
    /// In a drain, idle connections are closed from this time on.
    pub drain_idle_until: Time,
    /// After the stop, new connections are accepted until this time.
    pub listen_until: Time,
    /// After the stop, idle connections are kept open until this time.
    pub keep_idle_until: Time,
    /// After the stop, every response is sent by this time.
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
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new clients are accepted and served normally.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether clients should use this broker, through this process or through its successor on the same
    /// listeners.
    pub fn is_available(&self) -> bool {
        self.is_serving() || (self.handed_over && !self.is_drained())
    }

    /// Whether operators have drained it.
    pub fn is_drained(&self) -> bool {
        self.phase == Phase::Drained
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Serving | Phase::Drained)
    }

    /// Whether open connections are closed with their next response.
    pub fn is_closing(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Serving | Phase::Stopping)
    }

    /// Ends the start phase: clients are accepted from now on.
    pub fn started(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// Starts a drain. Returns whether that changed the phase: only a serving process can be drained.
    pub fn drain(&mut self, now: Time) -> bool {
        if self.phase != Phase::Serving {
            return false;
        }
        self.phase = Phase::Drained;
        self.drain_idle_until = now.after(DRAIN_IDLE_TIME);
        true
    }

    /// Ends a drain. Returns whether that changed the phase.
    pub fn resume(&mut self) -> bool {
        if self.phase != Phase::Drained {
            return false;
        }
        self.phase = Phase::Serving;
        self.drain_idle_until = Time(u64::MAX);
        true
    }

    /// How long connections may still stay idle, if a drain is active.
    pub fn drain_idle_left(&self, now: Time) -> Option<Duration> {
        (self.phase == Phase::Drained).then(|| self.drain_idle_until.since(now))
    }

    /// Sets whether a successor accepts clients on the same listeners. If so, the clients of this process can
    /// reconnect there.
    pub fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// Handles SIGTERM. Returns whether it had an effect: a second one has none. One that comes before
    /// clients are accepted ends the process at once.
    pub fn stop(&mut self, now: Time, classes: &[Class]) -> bool {
        match self.phase {
            Phase::Starting => self.phase = Phase::Ended,
            Phase::Serving | Phase::Drained => {
                let deadline = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
                let aim = classes.iter().map(|class| class.aim).max().unwrap_or_default();
                let total = deadline.min(MAX_SHUTDOWN_DEADLINE) + STOP_LISTEN_DELAY;
                // If that leaves no time, each response from now on closes its connection.
                let keep_idle = total.saturating_sub(aim.saturating_mul(SHUTDOWN_AIMS));
                let has_time = keep_idle > STOP_LISTEN_DELAY && !self.is_drained();
                let listen = if self.handed_over { Duration::ZERO } else { STOP_LISTEN_DELAY };
                // If idle connections were closed together with the listeners, those accepted last would be
                // closed before their first request.
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

    /// Applies the phase changes that are due at `now`.
    pub fn advance(&mut self, now: Time) {
        if self.phase == Phase::Stopping && now >= self.keep_idle_until {
            self.phase = Phase::Closing;
        }
        if self.phase == Phase::Lingering && now >= self.linger_until {
            self.phase = Phase::Ended;
        }
    }

    /// Ends a phase if nothing is left to do in it. `listening` says whether listeners are open,
    /// `responses_pending` whether a response is outstanding, and `clients_connected` whether any client is
    /// connected. A process only ends after it was told to stop and its listeners are closed.
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

    /// When the next timed phase change is due, if one is pending.
    pub fn next_transition(&self) -> Option<Time> {
        (self.phase == Phase::Lingering).then_some(self.linger_until)
    }
}

#[cfg(test)]
mod tests;
