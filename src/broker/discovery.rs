//! The server list: watched at discovery and passed to the core.

use super::Broker;
use super::DISCOVERY_KEY;
use crate::backend::Backend;
use crate::core::Core;
use crate::discovery::{ListUpdate, Phase, ServerList, Watch, WatchError};
use crate::interface::{ServerState, Time};
use crate::net::TimerEvent;

/// A draining server gets new attempts for this fraction (1/n) of the configured drain grace, if the list has
/// just arrived. The rest of the grace covers network delay and a busy machine.
const DRAIN_GRACE_DIVISOR: u32 = 2;

impl Broker {
    /// Ends an expired watch, applies an older list that is due, and connects if the schedule allows it.
    pub(super) fn update_watch(&mut self, now: Time) {
        if let Some(error) = self.watch.as_ref().and_then(|watch| watch.timeout_error(now)) {
            self.end_watch(now, &error);
        }
        let Some(watch) = &mut self.watch else { return };
        if let Some(list) = watch.accept_older_list(now) {
            self.apply_update(now, &list, None);
        }
        let Some(watch) = &mut self.watch else { return };
        match watch.connect(now) {
            Ok(true) => {
                if let Some(stream) = watch.stream() {
                    let _ = self.net.poll.add(stream, DISCOVERY_KEY, true, true);
                }
            }
            Ok(false) => {}
            Err(error) => self.log_watch_failure(&error),
        }
        self.arm_watch();
    }

    /// Reads from the watch and applies the lists that it has delivered.
    pub(super) fn watch_ready(&mut self, now: Time) {
        let Some(watch) = &mut self.watch else { return };
        let mut lists = Vec::new();
        let result = watch.on_ready(now, &mut lists);
        for ListUpdate { list, is_live } in lists {
            // The list arrived after the last poll, and may have waited since then.
            let send_until = self.polled_at.after(self.settings.drain_grace / DRAIN_GRACE_DIVISOR);
            self.apply_update(now, &list, Some(send_until).filter(|until| is_live && *until > now));
        }
        let Some(watch) = &mut self.watch else { return };
        match (result, watch.stream()) {
            (Ok(()), Some(stream)) => {
                let _ = self.net.poll.rearm(stream, DISCOVERY_KEY, true, watch.wants_write());
                self.arm_watch();
            }
            (Ok(()), None) => {}
            (Err(error), _) => self.end_watch(now, &error),
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

    /// Ends the current watch after an error; the next one starts by schedule.
    pub(super) fn end_watch(&mut self, now: Time, error: &WatchError) {
        let was_working = |watch: &Watch| matches!(watch.phase(), Phase::Open(_) | Phase::ReadingList(_));
        self.watch_failure_logged &= !self.watch.as_ref().is_some_and(was_working);
        self.log_watch_failure(error);
        if let Some(stream) = self.watch.as_mut().and_then(|watch| watch.disconnect(now)) {
            self.net.poll.remove(&stream);
        }
        self.core.servers_failed();
        self.arm_watch();
    }

    /// Sets the timer for the next update of the watch.
    pub(super) fn arm_watch(&mut self) {
        let Some(watch) = &self.watch else { return };
        // The timer is armed only when the due time changes: rearming it at each event would postpone it
        // again and again while bytes keep arriving in the last millisecond.
        let due = watch.due();
        if due != std::mem::replace(&mut self.watch_timer_at, due) {
            self.net.timers.arm(due, TimerEvent::DiscoveryWatch);
        }
    }
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
