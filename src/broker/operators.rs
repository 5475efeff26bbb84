//! What operators ask for over the control endpoint, and what they are shown.

use std::time::Duration;

use super::Broker;
use crate::interface::Time;
use crate::net::TimerEvent;

/// How often the gauges of servers are set anew: operators may read them half a second late.
const GAUGE_INTERVAL: Duration = Duration::from_millis(200);

impl Broker {
    /// Whether clients are to come, as `GET /up` and the control endpoint say.
    pub(super) fn is_ready(&self) -> bool {
        self.core.can_serve() && self.lifecycle.is_serving()
    }

    /// Begins or ends a drain, where operators have asked for that.
    pub(super) fn apply_drain_request(&mut self, now: Time) {
        match self.operations.drain_requested() {
            true if self.lifecycle.drain(now) => {
                tracing::info!("draining, {} clients, {} open", self.clients.len(), self.core.open_queries());
                self.net.timers.arm(self.lifecycle.drain_idle_until, TimerEvent::DrainIdleEnd);
            }
            false if self.lifecycle.resume() => tracing::info!("no longer draining"),
            _ => {}
        }
    }

    /// Shows operators where the process stands.
    pub(super) fn publish_state(&mut self) {
        let statistics = self.operations.statistics();
        statistics.set_open_requests(self.core.open_queries());
        statistics.attempts_relayed(self.backend.take_relayed());
        self.operations.set_ready(self.is_ready());
    }

    /// Sets the gauges that take a look at all servers.
    pub(super) fn update_gauges(&mut self, now: Time) {
        let (up, draining) = self.core.server_counts();
        self.operations.statistics().set_servers(up + draining, self.core.avoided().len());
        self.net.timers.arm(now.after(GAUGE_INTERVAL), TimerEvent::UpdateGauges);
    }

    /// Ends the connections that rest, where a drain's time for them is over.
    pub(super) fn close_drained_idle(&mut self, now: Time) {
        if self.lifecycle.drain_idle_left(now).is_some_and(|rest| rest.is_zero()) {
            self.close_idle_clients(now);
        }
    }
}
