//! Drains: a broker is told to be rid of its clients, and taken back.

use std::time::Duration;

use badgergauge_standin::ledger::Rule;

use super::{ASK_AGAIN, Due, Fleet, NOTICED};
use crate::control;
use crate::record::ObservedDrain;
use crate::scenario::DRAIN_TIME_LIMIT;

/// Once its clients have left, none has sent a request for so long.
const UNUSED_FOR: Duration = Duration::from_secs(2);
/// After the end of its drain a broker says by then that it is up.
const BACK_WITHIN: Duration = Duration::from_secs(2);

impl Fleet<'_> {
    /// Tells a broker to drain. It says at once that it is not up, which the front notices a little later.
    pub(super) fn start_drain(&mut self, broker: usize) {
        if !control::start_drain(self.control(broker)) {
            self.break_rule(Rule::NotDrained, format!("b{broker} did not take the call that starts a drain"));
        }
        let began = self.now();
        if self.brokers[broker].address.is_some_and(control::is_up) {
            self.break_rule(Rule::NotDrained, format!("b{broker} says in its drain that it is up"));
        }
        let run = self.brokers[broker].run;
        self.gathered.drains.push(ObservedDrain { broker, began, ..ObservedDrain::default() });
        self.arm(began + NOTICED, Due::Unlist(broker, run));
        self.arm(began + DRAIN_TIME_LIMIT, Due::CheckDrain(self.gathered.drains.len() - 1));
    }

    /// Looks at what clients hold of a broker that should be rid of them.
    pub(super) fn check_drain(&mut self, drain: usize) {
        let broker = self.gathered.drains[drain].broker;
        let Some(held) = self.clients.as_ref().and_then(|clients| clients.held(broker)) else {
            self.break_rule(Rule::NotDrained, format!("b{broker}: the clients ended before its drain"));
            return;
        };
        let now = self.now();
        let unused = held.last_request.map(|last| now.saturating_sub(last));
        let record = &mut self.gathered.drains[drain];
        (record.idle, record.unused) = (held.idle, unused);
        if held.idle > 0 {
            let what = format!(
                "{} connections of b{broker} were idle {DRAIN_TIME_LIMIT:?} into its drain",
                held.idle
            );
            self.break_rule(Rule::NotDrained, what);
        }
        if let Some(unused) = unused.filter(|unused| *unused < UNUSED_FOR) {
            let what =
                format!("b{broker} was sent a request {unused:?} before {DRAIN_TIME_LIMIT:?} into its drain");
            self.break_rule(Rule::NotDrained, what);
        }
    }

    /// Tells a broker to take clients again.
    pub(super) fn stop_drain(&mut self, broker: usize) {
        let Some(drain) = self.gathered.drains.iter().rposition(|drain| drain.broker == broker) else {
            return;
        };
        if !control::stop_drain(self.control(broker)) {
            self.break_rule(
                Rule::NotDrained,
                format!("b{broker} did not take the call that stops its drain"),
            );
        }
        let now = self.now();
        self.gathered.drains[drain].stopped = Some(now);
        self.arm(now, Due::AskBack(drain));
    }

    /// Asks a broker whose drain is over whether it is up, until it is or its time is over.
    pub(super) fn ask_back(&mut self, drain: usize) {
        let ObservedDrain { broker, stopped, .. } = self.gathered.drains[drain];
        let Some(address) = self.brokers[broker].address else { return };
        let up = control::is_up(address);
        let now = self.now();
        if stopped.is_none_or(|stopped| now.saturating_sub(stopped) > BACK_WITHIN) {
            let what = format!("b{broker} was not up {BACK_WITHIN:?} after its drain");
            self.break_rule(Rule::NotDrained, what);
        } else if up {
            self.gathered.drains[drain].back = Some(now);
            self.list(broker, Some(address));
        } else {
            self.arm(now + ASK_AGAIN, Due::AskBack(drain));
        }
    }
}
