//! Requests of operators through the control endpoint, and the state published there.

use std::time::Duration;

use super::Broker;
use crate::interface::Time;
use crate::net::TimerEvent;

/// Interval between updates of the server gauges. Operators may read values up to half a second old.
const GAUGE_INTERVAL: Duration = Duration::from_millis(200);

impl Broker {
    /// Whether clients should connect, as `GET /up` and the control endpoint report.
    pub(super) fn is_ready(&self) -> bool {
        self.core.can_serve() && self.lifecycle.is_serving()
    }

    /// Starts or ends a drain if operators have requested it.
    pub(super) fn apply_drain_request(&mut self, now: Time) {
        match self.operations.drain_requested() {
            true if self.lifecycle.drain(now) => {
                tracing::info!(
                    "draining, {} clients, {} open queries",
                    self.clients.len(),
                    self.core.open_queries()
                );
                self.net.timers.arm(self.lifecycle.drain_idle_until, TimerEvent::DrainIdleEnd);
            }
            false if self.lifecycle.resume() => tracing::info!("no longer draining"),
            _ => {}
        }
    }

    /// Publishes the current state and statistics to operators.
    pub(super) fn publish_state(&mut self) {
        let statistics = self.operations.statistics();
        statistics.set_open_requests(self.core.open_queries());
        statistics.attempts_relayed(self.backend.take_relayed());
        let aborts = self.backend.take_aborts();
        statistics.connections_aborted(aborts.connections, aborts.lost_parts);
        let malformed = self.backend.take_malformed();
        statistics.responses_malformed(malformed.connections, malformed.unconfirmed_answers);
        self.operations.set_ready(self.is_ready());
    }

    /// Updates the gauges whose values require a pass over all servers.
    pub(super) fn update_gauges(&mut self, now: Time) {
        let (up, draining) = self.core.server_counts();
        self.operations.statistics().set_servers(up + draining, self.core.avoided().len());
        self.net.timers.arm(now.after(GAUGE_INTERVAL), TimerEvent::UpdateGauges);
    }

    /// Closes idle connections once a drain's time for them is over.
    pub(super) fn close_drained_idle(&mut self, now: Time) {
        if self.lifecycle.drain_idle_left(now).is_some_and(|left| left.is_zero()) {
            self.close_idle_clients(now);
        }
    }
}
