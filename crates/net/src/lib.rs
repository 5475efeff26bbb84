//! Sockets, time and signals: the poller, the timer wheel, HTTP connections and the way out.
#![deny(unsafe_code)]

pub mod client;
pub mod clock;
pub mod http;
pub mod outbox;
pub mod wheel;

use std::io;

use badgergauge_poll::Poll;
pub use badgergauge_poll::{ACCEPT_QUEUE, Ready, connect, connected, datagrams, listen};

use self::clock::Clock;
use self::wheel::Wheel;
use badgergauge_core::core::AttemptId;
use badgergauge_core::{QueryId, ServerId, TimerId};

/// What falls due on the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A timer of the module's.
    Module(TimerId),
    /// The end of a query's time.
    Deadline(QueryId),
    /// The end of the wait for an attempt.
    TimeOut(AttemptId),
    /// The end of the wait for a connection to a server, by its key.
    Connect(usize),
    /// The end of the wait for the rest of an answer, by its connection's key.
    Stalled(usize),
    /// Discovery's silence, or the wait before the next watch.
    Watch,
    /// The end of what a server that drains may still be sent.
    Drained(ServerId),
    /// A look for connections to servers that have fallen silent.
    SilenceCheck,
    /// The end of the wait after word that attempts were given up: their outcomes may be told.
    Heard,
    /// A look over connections that stand idle.
    Sweep,
    /// The end of listening after SIGTERM.
    StopListening,
    /// The end of taking requests on the connections there are, after it.
    StopServing,
    /// The end of the time for which connections may rest in a drain.
    DrainRest,
    /// The gauges that operators read are to be set anew.
    Gauges,
    /// The end of the process's time: what is open is answered.
    EndBy,
    /// The end of the time in which an attempt may still begin.
    Latest(AttemptId),
}

/// What everything on the loop shares.
pub struct Net {
    /// The poller.
    pub poll: Poll,
    /// The timers.
    pub wheel: Wheel<Due>,
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
        let wheel = Wheel::new(clock.now());
        Ok(Net { poll: Poll::new()?, wheel, clock, last_key: LAST_FIXED_KEY })
    }

    /// A key that was never given out before.
    pub fn new_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }
}
