//! Event loop building blocks: poller, timers, clock, HTTP connections and output buffers.
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

/// What a timer of the event loop triggers when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the decision module.
    Core(TimerId),
    /// A query reaches its deadline.
    QueryDeadline(QueryId),
    /// An attempt was not answered in time.
    AttemptTimeout(AttemptId),
    /// A connection to a server, by its key, was not established in time.
    ConnectTimeout(usize),
    /// The rest of a partly received response is overdue on a connection, by its key.
    ResponseStalled(usize),
    /// The watch on discovery is to be checked: it was silent for too long, or the wait before the next watch
    /// is over.
    DiscoveryWatch,
    /// The grace period in which a draining server may still be sent attempts is over.
    DrainGraceExpired(ServerId),
    /// Connections to servers are to be checked for silence.
    SilenceCheck,
    /// Servers have had time to read the cancellation of attempts, whose outcomes may now be reported.
    CancelsRead,
    /// Idle connections are to be checked.
    IdleSweep,
    /// Accepting is to be tried again after no client could make room.
    AcceptRetry,
    /// After SIGTERM: the listeners are to be closed.
    StopListening,
    /// After SIGTERM: no more requests are to be accepted on open connections.
    StopServing,
    /// Idle connections may not stay open any longer during a drain.
    DrainIdleEnd,
    /// The gauges for operators are to be updated.
    UpdateGauges,
    /// The process has to end: open queries are to be answered now.
    ShutdownDeadline,
    /// An attempt may not start any more if it has not been written yet.
    StartBefore(AttemptId),
}

/// State shared by everything that runs on the event loop.
pub struct Net {
    /// The poller.
    pub poll: Poll,
    /// The timers.
    pub timers: TimerWheel<TimerEvent>,
    /// The clock.
    pub clock: Clock,
    last_key: usize,
}

/// Keys up to this one are fixed. Higher keys are never reused, so that a late event for a closed connection
/// can't be taken for one of another connection.
pub const LAST_FIXED_KEY: usize = 15;

impl Net {
    /// Creates a poller and an empty timer wheel that starts at the clock's current time.
    ///
    /// # Errors
    ///
    /// When the poller can't be created, for instance for want of file descriptors.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let timers = TimerWheel::new(clock.now());
        Ok(Net { poll: Poll::new()?, timers, clock, last_key: LAST_FIXED_KEY })
    }

    /// A poller key that has not been used before.
    pub fn new_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }
}
