//! The list of servers: asked for, watched, and given to the core.

use super::Broker;
use super::WATCH;
use crate::backend::Backend;
use crate::core::Core;
use crate::discovery::{ListUpdate, Phase, ServerList, Watch, WatchError};
use crate::interface::{ServerState, Time};
use crate::net::TimerEvent;

/// A server that drains is sent to for this part of the settings' grace, where it was told just now: the rest is left
/// for what goes on the way and for a busy machine.
const DRAIN_PART: u32 = 2;

impl Broker {
    pub(super) fn tend_watch(&mut self, now: Time) {
        if let Some(error) = self.watch.as_ref().and_then(|watch| watch.timeout_error(now)) {
            self.end_watch(now, &error);
        }
        let Some(watch) = &mut self.watch else { return };
        if let Some(list) = watch.accept_older_list(now) {
            self.take_told(now, &list, None);
        }
        let Some(watch) = &mut self.watch else { return };
        match watch.connect(now) {
            Ok(true) => {
                if let Some(stream) = watch.stream() {
                    let _ = self.net.poll.add(stream, WATCH, true, true);
                }
            }
            Ok(false) => {}
            Err(error) => self.watch_failed(&error),
        }
        self.arm_watch();
    }

    pub(super) fn watch_ready(&mut self, now: Time) {
        let Some(watch) = &mut self.watch else { return };
        let mut lists = Vec::new();
        let result = watch.on_ready(now, &mut lists);
        for ListUpdate { list, is_live } in lists {
            // It came since the loop last looked, and may have waited for that long.
            let until = self.looked.after(self.settings.drain_grace / DRAIN_PART);
            self.take_told(now, &list, Some(until).filter(|until| is_live && *until > now));
        }
        let Some(watch) = &mut self.watch else { return };
        match (result, watch.stream()) {
            (Ok(()), Some(stream)) => {
                let _ = self.net.poll.rearm(stream, WATCH, true, watch.wants_write());
                self.arm_watch();
            }
            (Ok(()), None) => {}
            (Err(error), _) => self.end_watch(now, &error),
        }
    }

    /// Takes a list that discovery has told; those that drain in it may be sent to until then, if at all.
    pub(super) fn take_told(&mut self, now: Time, list: &ServerList, until: Option<Time>) {
        take_list(&mut self.core, &mut self.backend, list, until);
        let draining = list.members.iter().filter(|(member, _)| member.state == ServerState::Draining);
        for (member, _) in draining {
            self.net
                .timers
                .arm(until.unwrap_or(now), TimerEvent::DrainGraceExpired(self.core.server_id(&member.name)));
        }
        if let Some(store) = &mut self.store {
            store.note(list);
        }
    }

    /// Says why a watch failed: once, and again only after one has stood meanwhile, as calls to an agent that is
    /// away follow each other closely.
    pub(super) fn watch_failed(&mut self, why: &WatchError) {
        match std::mem::replace(&mut self.watch_away, true) {
            false => tracing::warn!("discovery: {why}"),
            true => tracing::debug!("discovery: {why}"),
        }
    }

    pub(super) fn end_watch(&mut self, now: Time, why: &WatchError) {
        let stood = |watch: &Watch| matches!(watch.phase(), Phase::Open(_) | Phase::ReadingList(_));
        self.watch_away &= !self.watch.as_ref().is_some_and(stood);
        self.watch_failed(why);
        if let Some(stream) = self.watch.as_mut().and_then(|watch| watch.disconnect(now)) {
            self.net.poll.remove(&stream);
        }
        self.core.servers_failed();
        self.arm_watch();
    }

    pub(super) fn arm_watch(&mut self) {
        let Some(watch) = &self.watch else { return };
        // Not a moment later than it is due, however often it is looked at: bytes that come again and again in the last
        // millisecond would put it off without end.
        let due = watch.due();
        if due != std::mem::replace(&mut self.watch_at, due) {
            self.net.timers.arm(due, TimerEvent::DiscoveryWatch);
        }
    }
}

/// Gives a list to the core, and its addresses to the connections.
pub(super) fn take_list(core: &mut Core, backend: &mut Backend, list: &ServerList, until: Option<Time>) {
    let members: Vec<_> = list.members.iter().map(|(member, _)| member.clone()).collect();
    for server in core.apply_server_list(list.is_full, list.index, &members, until) {
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
