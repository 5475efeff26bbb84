//! The server list: watched at discovery and passed to the core.

use super::Broker;
use crate::backend::Backend;
use crate::core::Core;
use crate::discovery::{CallId, ListUpdate, MAX_OPEN_CALLS, Phase, ServerList, Watch, WatchError};
use crate::interface::{ServerState, Time};
use crate::net::{LAST_FIXED_KEY, TimerEvent};

/// A draining server gets new attempts for this fraction (1/n) of the configured drain grace, if the list has
/// just arrived. The rest of the grace covers network delay and a busy machine.
const DRAIN_GRACE_DIVISOR: u32 = 2;

/// Key of the first call to discovery. The calls have consecutive keys, up to the last fixed one.
const FIRST_CALL_KEY: usize = 8;
const _: () = assert!(FIRST_CALL_KEY + MAX_OPEN_CALLS <= LAST_FIXED_KEY + 1);

impl Broker {
    /// Ends an expired watch, applies an older list that is due, and connects if the schedule allows it.
    pub(super) fn update_watch(&mut self, now: Time) {
        let Some(watch) = &mut self.watch else { return };
        if let Some(error) = watch.timeout_error(now) {
            let was_working = is_working(watch);
            watch.timed_out(now);
            self.watch_ended(&error, was_working);
        }
        let Some(watch) = &mut self.watch else { return };
        if let Some(list) = watch.accept_older_list(now) {
            self.apply_update(now, &list, None);
        }
        let Some(watch) = &mut self.watch else { return };
        match watch.connect(now) {
            Ok(Some(call)) => {
                if let Some(stream) = watch.stream(call) {
                    let _ = self.net.poll.add(stream, call_key(call), true, true);
                }
            }
            Ok(None) => {}
            Err(error) => self.log_watch_failure(&error),
        }
        self.arm_watch();
    }

    /// Reads from a call to discovery and applies the lists that it has delivered.
    pub(super) fn call_ready(&mut self, now: Time, call: CallId) {
        let Some(watch) = &mut self.watch else { return };
        let mut lists = Vec::new();
        let result = watch.on_ready(call, now, &mut lists);
        for ListUpdate { list, is_live } in lists {
            // The list arrived after the last poll, and may have waited since then.
            let send_until = self.polled_at.after(self.settings.drain_grace / DRAIN_GRACE_DIVISOR);
            self.apply_update(now, &list, Some(send_until).filter(|until| is_live && *until > now));
        }
        let Some(watch) = &mut self.watch else { return };
        match (result, watch.stream(call)) {
            (Ok(()), Some(stream)) => {
                let _ = self.net.poll.rearm(stream, call_key(call), true, watch.wants_write(call));
                self.arm_watch();
            }
            (Ok(()), None) => {}
            (Err(error), _) => {
                let was_working = is_working(watch);
                match watch.fail(call, now) {
                    true => self.watch_ended(&error, was_working),
                    false => tracing::debug!("discovery: an earlier call: {error}"),
                }
                self.arm_watch();
            }
        }
    }

    /// Applies a list from discovery. Servers that it shows as draining may get attempts until
    /// `send_until`, if given.
    pub(super) fn apply_update(&mut self, now: Time, list: &ServerList, send_until: Option<Time>) {
        apply_list(&mut self.core, &mut self.backend, list, send_until);
        let draining = list.members.iter().filter(|(member, _)| member.state == ServerState::Draining);
        for (member, _) in draining {
            self.net.timers.arm(
                send_until.unwrap_or(now),
                TimerEvent::DrainGraceExpired(self.core.server_id(&member.name)),
            );
        }
        if let Some(store) = &mut self.store {
            store.record_list(list);
        }
    }

    /// Logs error a watch failed. Only the first failure since the last working watch is a warning, as calls
    /// to an unreachable agent are retried at short intervals.
    pub(super) fn log_watch_failure(&mut self, error: &WatchError) {
        match std::mem::replace(&mut self.watch_failure_logged, true) {
            false => tracing::warn!("discovery: {error}"),
            true => tracing::debug!("discovery: {error}"),
        }
    }

    /// Handles the end of the current watch; the next one starts by schedule.
    fn watch_ended(&mut self, error: &WatchError, was_working: bool) {
        self.watch_failure_logged &= !was_working;
        self.log_watch_failure(error);
        self.core.servers_failed();
    }

    /// Removes the sockets of closed calls from the poller, and sets the timer for the next update of the watch.
    pub(super) fn arm_watch(&mut self) {
        let Some(watch) = &mut self.watch else { return };
        for stream in watch.take_closed() {
            self.net.poll.remove(&stream);
        }
        // The timer is armed only when the due time changes: rearming it at each event would postpone it
        // again and again while bytes keep arriving in the last millisecond.
        let due = watch.due();
        if due != std::mem::replace(&mut self.watch_timer_at, due) {
            self.net.timers.arm(due, TimerEvent::DiscoveryWatch);
        }
    }
}

/// The key under which the poller reports a call's socket.
fn call_key(call: CallId) -> usize {
    FIRST_CALL_KEY + call.index()
}

/// The call to discovery that the poller reports under a key.
pub(super) fn call_of_key(key: usize) -> Option<CallId> {
    CallId::from_index(key.checked_sub(FIRST_CALL_KEY)?)
}

fn is_working(watch: &Watch) -> bool {
    matches!(watch.phase(), Phase::Open(_) | Phase::ReadingList(_))
}

/// Passes a list to the core, and the addresses of the servers that are up to the backend.
pub(super) fn apply_list(
    core: &mut Core,
    backend: &mut Backend,
    list: &ServerList,
    send_until: Option<Time>,
) {
    let members: Vec<_> = list.members.iter().map(|(member, _)| member.clone()).collect();
    for server in core.apply_server_list(list.is_full, list.index, &members, send_until) {
        backend.disable_server(server);
    }
    let (up, draining) = core.server_counts();
    tracing::info!("servers: version {}, {up} up, {draining} draining", list.index);
    for (member, address) in &list.members {
        if let (ServerState::Up, Some(address)) = (member.state, address) {
            backend.enable_server(core.server_id(&member.name), *address);
        }
    }
}
