//! Drains: a broker is told to drain its clients, is checked for leftover ones, and is put back into service.

use std::time::Duration;

use badgergauge_standin::ledger::Rule;

use super::{FRONT_DELAY, Fleet, POLL_INTERVAL, Task};
use crate::control;
use crate::record::ObservedDrain;
use crate::scenario::DRAIN_TIME_LIMIT;

/// At the check of a drain, the last request to the broker must be at least this long ago.
const MIN_UNUSED: Duration = Duration::from_secs(2);
/// A broker must report that it is up within this time after the end of its drain.
const BACK_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet<'_> {
    /// Tells a broker to drain. It must report at once that it is not up; the front notices that a little
    /// later.
    pub(super) fn start_drain(&mut self, broker: usize) {
        if !control::start_drain(self.control(broker)) {
            self.record_violation(
                Rule::NotDrained,
                format!("b{broker} did not accept the call that starts a drain"),
            );
        }
        let began = self.now();
        if self.brokers[broker].address.is_some_and(control::is_up) {
            self.record_violation(
                Rule::NotDrained,
                format!("b{broker} reports while it drains that it is up"),
            );
        }
        let run = self.brokers[broker].run;
        self.gathered.drains.push(ObservedDrain { broker, began, ..ObservedDrain::default() });
        self.schedule(began + FRONT_DELAY, Task::RemoveFromFront(broker, run));
        self.schedule(began + DRAIN_TIME_LIMIT, Task::CheckDrain(self.gathered.drains.len() - 1));
    }

    /// Checks that clients no longer use a broker that has had its time to drain.
    pub(super) fn check_drain(&mut self, drain: usize) {
        let broker = self.gathered.drains[drain].broker;
        let Some(usage) = self.clients.as_ref().and_then(|clients| clients.connection_usage(broker)) else {
            self.record_violation(Rule::NotDrained, format!("b{broker}: the clients ended before its drain"));
            return;
        };
        let now = self.now();
        let unused = usage.last_request.map(|last| now.saturating_sub(last));
        let record = &mut self.gathered.drains[drain];
        (record.idle, record.unused) = (usage.idle, unused);
        if usage.idle > 0 {
            let what = format!(
                "{} connections of b{broker} were idle {DRAIN_TIME_LIMIT:?} into its drain",
                usage.idle
            );
            self.record_violation(Rule::NotDrained, what);
        }
        if let Some(unused) = unused.filter(|unused| *unused < MIN_UNUSED) {
            let what =
                format!("b{broker} was sent a request {unused:?} before {DRAIN_TIME_LIMIT:?} into its drain");
            self.record_violation(Rule::NotDrained, what);
        }
    }

    /// Stops the latest drain of a broker.
    pub(super) fn stop_drain(&mut self, broker: usize) {
        let Some(drain) = self.gathered.drains.iter().rposition(|drain| drain.broker == broker) else {
            return;
        };
        if !control::stop_drain(self.control(broker)) {
            self.record_violation(
                Rule::NotDrained,
                format!("b{broker} did not accept the call that stops its drain"),
            );
        }
        let now = self.now();
        self.gathered.drains[drain].stopped = Some(now);
        self.schedule(now, Task::CheckBack(drain));
    }

    /// Polls a broker whose drain was stopped until it is up or [`BACK_TIMEOUT`] has passed.
    pub(super) fn check_back(&mut self, drain: usize) {
        let ObservedDrain { broker, stopped, .. } = self.gathered.drains[drain];
        let Some(address) = self.brokers[broker].address else { return };
        let up = control::is_up(address);
        let now = self.now();
        if stopped.is_none_or(|stopped| now.saturating_sub(stopped) > BACK_TIMEOUT) {
            let what = format!("b{broker} was not up {BACK_TIMEOUT:?} after its drain");
            self.record_violation(Rule::NotDrained, what);
        } else if up {
            self.gathered.drains[drain].back = Some(now);
            self.set_front(broker, Some(address));
        } else {
            self.schedule(now + POLL_INTERVAL, Task::CheckBack(drain));
        }
    }
}
