//! Sockets, time and signals: the poller, the timer wheel, HTTP connections and the way out.
#![deny(unsafe_code)]

pub mod client;
pub mod clock;
pub mod http;
pub mod outbox;
pub mod wheel;

use std::io;

use badgergauge_poll::Poll;
pub use badgergauge_poll::{LISTEN_BACKLOG, Ready, bind_udp, connect, is_connected, listen};

use self::clock::Clock;
use self::wheel::TimerWheel;
use badgergauge_core::core::AttemptId;
use badgergauge_core::{QueryId, ServerId, TimerId};

/// What falls due on the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the module's.
    Core(TimerId),
    /// The end of a query's time.
    QueryDeadline(QueryId),
    /// The end of the wait for an attempt.
    AttemptTimeout(AttemptId),
    /// The end of the wait for a connection to a server, by its key.
    ConnectTimeout(usize),
    /// The end of the wait for the rest of an answer, by its connection's key.
    ResponseStalled(usize),
    /// Discovery's silence, or the wait before the next watch.
    DiscoveryWatch,
    /// The end of what a server that drains may still be sent.
    DrainGraceExpired(ServerId),
    /// A look for connections to servers that have fallen silent.
    SilenceCheck,
    /// The end of the wait after word that attempts were given up: their outcomes may be told.
    CancelsRead,
    /// A look over connections that stand idle.
    IdleSweep,
    /// The end of listening after SIGTERM.
    StopListening,
    /// The end of taking requests on the connections there are, after it.
    StopServing,
    /// The end of the time for which connections may rest in a drain.
    DrainIdleEnd,
    /// The gauges that operators read are to be set anew.
    UpdateGauges,
    /// The end of the process's time: what is open is answered.
    ShutdownDeadline,
    /// The end of the time in which an attempt may still begin.
    LatestSend(AttemptId),
}

/// What everything on the loop shares.
pub struct Net {
    /// The poller.
    pub poll: Poll,
    /// The timers.
    pub timers: TimerWheel<TimerEvent>,
    /// The clock.
    pub clock: Clock,
    last_key: usize,
}

/// Keys up to this one are fixed; those beyond are given out once and never again, so that a report
/// meant for a connection that is gone can't meet another.
const LAST_FIXED_KEY: usize = 15;

impl Net {
    /// A loop's poller, timers and clock.
    ///
    /// # Errors
    ///
    /// When the system has no descriptors left.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let timers = TimerWheel::new(clock.now());
        Ok(Net { poll: Poll::new()?, timers, clock, last_key: LAST_FIXED_KEY })
    }

    /// A key that was never given out before.
    pub fn new_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }
}
