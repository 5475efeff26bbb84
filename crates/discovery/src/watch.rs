//! A watch on discovery's server list over successive connections.

use std::io;
use std::net::{SocketAddr, TcpStream};

use badgergauge_core::interface::Time;
use badgergauge_net::clock::Clock;

use crate::connection::{Connection, Received};
use crate::list::{ListError, ServerList};
use crate::open_calls::MAX_OPEN_CALLS;
use crate::registry::ServerRegistry;
use crate::schedule::{CallSchedule, Phase};

/// Maximum number of reads per readiness event, so that a discovery that sends without pause does not block
/// the event loop.
const MAX_READS: usize = 16;

/// Why a watch has ended. The current list stays valid, and a new watch is opened.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Nothing was received for too long.
    #[error("silent: nothing received in time; check that discovery runs and is reachable from here")]
    Unresponsive,
    /// The call was not answered in time.
    #[error("no answer: check that discovery runs and is reachable from here")]
    NoResponse,
    /// The response is not one to a watch request.
    #[error("{0}: check that the address is that of discovery")]
    UnexpectedResponse(String),
    /// An invalid list was received.
    #[error(transparent)]
    List(#[from] ListError),
    /// The connection was closed, failed, or could not be established.
    #[error("{0}: check that discovery runs at the configured address")]
    ConnectionLost(#[from] io::Error),
}

/// Identifies an open call. It is below [`MAX_OPEN_CALLS`], and is used again for later calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(usize);

impl CallId {
    /// The call with this index, if it is below [`MAX_OPEN_CALLS`].
    pub fn from_index(index: usize) -> Option<Self> {
        (index < MAX_OPEN_CALLS).then_some(CallId(index))
    }

    /// The index.
    pub fn index(self) -> usize {
        self.0
    }
}

/// A watch on discovery that reconnects when its connection fails.
pub struct Watch {
    address: SocketAddr,
    clock: Clock,
    registry: ServerRegistry,
    /// The open calls by their ids: the one that the schedule follows, and earlier ones that are not answered yet.
    calls: [Option<Connection>; MAX_OPEN_CALLS],
    /// The call that the schedule follows: the latest one, or the one that was answered.
    current: Option<CallId>,
    /// Sockets of closed calls, which the caller has to remove from the poller.
    closed: Vec<TcpStream>,
    schedule: CallSchedule,
    /// Whether any list was received since the start.
    has_received_list: bool,
}

/// A list received by a watch.
#[derive(Debug)]
pub struct ListUpdate {
    /// The list.
    pub list: ServerList,
    /// Whether the changes were pushed when they happened. The first list of a connection, or an older list,
    /// may contain changes that were deemed delivered long ago.
    pub is_live: bool,
}

impl Watch {
    /// Creates a watch that continues from a known list.
    pub fn new(
        address: SocketAddr,
        known: Option<&ServerList>,
        clock: Clock,
        schedule: CallSchedule,
    ) -> Self {
        let mut registry = ServerRegistry::default();
        if let Some(known) = known {
            registry.apply(clock.now(), known.clone());
        }
        Watch {
            address,
            clock,
            registry,
            calls: Default::default(),
            current: None,
            closed: Vec::new(),
            schedule,
            has_received_list: false,
        }
    }

    /// The address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The complete current list.
    pub fn server_list(&self) -> ServerList {
        self.registry.server_list()
    }

    /// Whether any list was received since the start.
    pub fn has_received_list(&self) -> bool {
        self.has_received_list
    }

    /// Changes the address of discovery and reconnects at once, continuing from the current version.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.schedule.address_changed();
        self.registry.watch_ended();
        self.close_calls_except(None);
    }

    /// The state of the watch.
    pub fn phase(&self) -> Phase {
        self.schedule.phase()
    }

    /// The socket of a call.
    pub fn stream(&self, call: CallId) -> Option<&TcpStream> {
        self.calls[call.0].as_ref().map(|connection| &connection.stream)
    }

    /// Whether the poller should report when a call's socket is writable.
    pub fn wants_write(&self, call: CallId) -> bool {
        self.calls[call.0].as_ref().is_some_and(Connection::wants_write)
    }

    /// Takes the sockets of the calls that were closed; the caller must remove them from the poller.
    pub fn take_closed(&mut self) -> Vec<TcpStream> {
        std::mem::take(&mut self.closed)
    }

    /// When the next call, timeout or replacement of the current list by an older one is due.
    pub fn due(&self) -> Time {
        self.registry.due().into_iter().fold(self.schedule.due(), Time::min)
    }

    /// Returns the list that was set aside as older than the current one, once it has replaced the current
    /// one, see [`ServerRegistry::accept_older`].
    pub fn accept_older_list(&mut self, now: Time) -> Option<ServerList> {
        self.registry.accept_older(now)
    }

    /// Makes a call if one is due, and closes earlier ones that are in its way. Returns the call if one was made.
    ///
    /// # Errors
    ///
    /// If the connection could not be started; the next call is made when it is [`Watch::due`].
    pub fn connect(&mut self, now: Time) -> Result<Option<CallId>, WatchError> {
        if self.current.is_some() || !self.schedule.is_call_due(now) {
            return Ok(None);
        }
        let open: Vec<(CallId, Time)> = (0..)
            .zip(&self.calls)
            .filter_map(|(index, call)| Some((CallId(index), call.as_ref()?.started)))
            .collect();
        for call in self.schedule.open_call_ages().calls_to_close(&open, now) {
            self.close(call);
        }
        self.schedule.call_started(now);
        let started = Connection::start(now, self.address, self.registry.index());
        let free = self.calls.iter().position(Option::is_none);
        match (started, free) {
            (Ok(connection), Some(index)) => {
                self.calls[index] = Some(connection);
                self.current = Some(CallId(index));
                Ok(self.current)
            }
            (Err(error), _) => {
                self.schedule.watch_ended(now);
                Err(error.into())
            }
            (Ok(_), None) => {
                self.schedule.watch_ended(now);
                Ok(None)
            }
        }
    }

    /// The error with which the watch ends if it has timed out.
    pub fn timeout_error(&self, now: Time) -> Option<WatchError> {
        let error = match self.schedule.phase() {
            Phase::Open(_) | Phase::ReadingList(_) => WatchError::Unresponsive,
            _ => WatchError::NoResponse,
        };
        self.schedule.is_timed_out(now).then_some(error)
    }

    /// Schedules the next call after the current one has timed out. A call that is not answered yet stays open: a slow
    /// discovery may still answer it. The current list stays valid.
    pub fn timed_out(&mut self, now: Time) {
        let Some(call) = self.current else { return };
        // A first list that has started is given up as long as the next one is given more time.
        let can_be_answered =
            self.calls[call.0].as_ref().is_some_and(|connection| match connection.is_reading_first_list() {
                true => self.schedule.list_timeout_is_longest(),
                false => connection.is_unanswered(),
            });
        if !can_be_answered {
            self.close(call);
        }
        self.current = None;
        self.schedule.watch_ended(now);
        self.registry.watch_ended();
    }

    /// Closes a call after an error. If it was the current one, the next call is scheduled, and the result is true. The
    /// current list stays valid.
    pub fn fail(&mut self, call: CallId, now: Time) -> bool {
        self.close(call);
        if self.current != Some(call) {
            return false;
        }
        self.current = None;
        self.schedule.watch_ended(now);
        self.registry.watch_ended();
        true
    }

    fn close(&mut self, call: CallId) {
        self.closed.extend(self.calls[call.0].take().map(|connection| connection.stream));
    }

    fn close_calls_except(&mut self, kept: Option<CallId>) {
        for index in 0..MAX_OPEN_CALLS {
            if kept != Some(CallId(index)) {
                self.close(CallId(index));
            }
        }
        self.current = kept;
    }

    /// Handles readiness of a call's socket: completes the connection, sends the request, and appends received
    /// lists to `lists`.
    ///
    /// # Errors
    ///
    /// If the connection has ended or the response is invalid; the caller must then call [`Watch::fail`].
    pub fn on_ready(
        &mut self,
        call: CallId,
        now: Time,
        lists: &mut Vec<ListUpdate>,
    ) -> Result<(), WatchError> {
        let Some(connection) = &mut self.calls[call.0] else { return Ok(()) };
        if !connection.send_request()? {
            return Ok(());
        }
        // The poller reports the socket again if more is left to read.
        for _ in 0..MAX_READS {
            let Some(connection) = &mut self.calls[call.0] else { return Ok(()) };
            let Some(received) = connection.read(&self.clock)? else { return Ok(()) };
            let has_ended = received.has_ended;
            self.handle(call, now, received, lists);
            if has_ended {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(())
    }

    /// Applies what a call has received. The first call that is answered becomes the current one.
    fn handle(&mut self, call: CallId, now: Time, received: Received, lists: &mut Vec<ListUpdate>) {
        if received.has_item {
            self.close_calls_except(Some(call));
        }
        for received_list in received.lists {
            self.has_received_list = true;
            let is_older = received_list.list.index < self.registry.index();
            let list = self.registry.apply(now, received_list.list);
            lists.push(ListUpdate { list, is_live: received_list.is_later && !is_older });
        }
        if self.current != Some(call) {
            return;
        }
        if received.is_complete {
            self.schedule.received(now);
        }
        if received.list_started {
            let has_list = self.calls[call.0].as_ref().is_some_and(Connection::has_list);
            self.schedule.list_started(now, !has_list);
        }
    }
}
