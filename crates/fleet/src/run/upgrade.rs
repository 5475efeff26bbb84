//! Upgrades: a second process of a broker is started beside the running one, and takes over once it is ready.

use std::io;
use std::time::Duration;

use badgergauge_standin::ledger::{Rule, Violation};
use rustix::process::Signal;

use super::settings::classes;
use super::{ASK_AGAIN, Due, Fleet};
use crate::control;
use crate::process::Process;
use crate::record::ObservedUpgrade;
use crate::scenario::Scenario;

/// The old process has at the least so long after SIGTERM, and `KILL_MARGIN` more.
const SHORTEST_END: Duration = Duration::from_secs(3);
/// See `SHORTEST_END`.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A process that is to take over.
pub struct Next {
    process: Process,
    run: u32,
    control: usize,
    began: Duration,
}

/// A process that was taken over from.
pub struct Old {
    process: Process,
    run: u32,
    /// Its processor time when it was last looked at.
    pub cpu: f64,
    killed: bool,
}

impl Old {
    /// Reads its processor time.
    pub fn sample(&mut self) {
        if let Some(used) = self.process.uses() {
            self.cpu = used.cpu;
        }
    }
}

/// After SIGTERM the old process has so long: the longest deadline, or [`SHORTEST_END`] where that is longer, and a
/// margin.
pub(super) fn kill_after(scenario: &Scenario) -> Duration {
    let longest = classes(scenario).iter().map(|class| class.deadline).max().unwrap_or_default();
    longest.max(SHORTEST_END) + KILL_MARGIN
}

impl Fleet<'_> {
    /// Begins an upgrade.
    pub(super) fn upgrade(&mut self, broker: usize) -> io::Result<()> {
        let state = &self.brokers[broker];
        if state.process.is_none() || state.next.is_some() || state.old.is_some() {
            let what = format!("b{broker} can't be upgraded: it is down, or its last upgrade is not over");
            self.break_rule(Rule::NotReady, what);
            return Ok(());
        }
        if let Some(gap) = self.options.upgrade_gap {
            // Dropping it kills it.
            self.brokers[broker].process = None;
            self.arm(self.now() + gap, Due::StartNext(broker));
            return Ok(());
        }
        self.start_next(broker)
    }

    /// Starts the process that is to take over.
    pub(super) fn start_next(&mut self, broker: usize) -> io::Result<()> {
        let state = &self.brokers[broker];
        let (run, control) = (state.starts + 1, 1 - state.control);
        let began = self.now();
        let process = self.spawn(broker, run, control)?;
        let old_run = self.brokers[broker].run;
        self.brokers[broker].next = Some(Next { process, run, control, began });
        self.gathered.upgrades.push(ObservedUpgrade {
            broker,
            began,
            old_run,
            run,
            ..ObservedUpgrade::default()
        });
        self.arm(began + ASK_AGAIN, Due::AskReady(broker));
        Ok(())
    }

    /// Asks the process that is to take over whether it is ready, until it is or its time is over.
    pub(super) fn ask_ready(&mut self, broker: usize) {
        let Some(next) = &self.brokers[broker].next else { return };
        let (began, run) = (next.began, next.run);
        let ready = control::is_ready(self.ports[broker].control[next.control].address());
        let now = self.now();
        if now.saturating_sub(began) > self.options.ready_within {
            // Dropping it ends it; the old one serves on.
            self.brokers[broker].next = None;
            let what = format!("b{broker} run {run} was not ready in {:?}", self.options.ready_within);
            self.break_rule(Rule::NotReady, what);
        } else if ready {
            self.take_over(broker, now);
        } else {
            self.arm(now + ASK_AGAIN, Due::AskReady(broker));
        }
    }

    /// The new process is the broker from now on, and the old one is told to end.
    fn take_over(&mut self, broker: usize, now: Duration) {
        let state = &mut self.brokers[broker];
        let Some(next) = state.next.take() else { return };
        let (old_run, run) = (state.run, next.run);
        let old = state.process.replace(next.process);
        (state.run, state.control, state.ends) = (run, next.control, false);
        let old_cpu = std::mem::take(&mut state.cpu[1]);
        if let Some(process) = old {
            process.signal(Signal::TERM);
            state.old = Some(Old { process, run: old_run, cpu: old_cpu, killed: false });
            self.arm(now + kill_after(self.scenario), Due::KillOld(broker, old_run));
        }
        self.note_upgrade(broker, run, |upgrade| upgrade.ready = Some(now));
    }

    /// Kills the process that was taken over from, if it has not ended.
    pub(super) fn kill_old(&mut self, broker: usize, run: u32) {
        if let Some(old) = self.brokers[broker].old.as_mut().filter(|old| old.run == run) {
            old.killed = true;
            old.process.signal(Signal::KILL);
        }
    }

    /// A process that is not the current one has ended: the one that was taken over from, or one that was to take
    /// over.
    pub(super) fn ended_in_upgrade(&mut self, broker: usize, run: u32) -> io::Result<()> {
        let (now, state) = (self.now(), &mut self.brokers[broker]);
        if let Some(mut old) = state.old.take_if(|old| old.run == run) {
            let status = old.process.reap()?;
            state.cpu[0] += old.cpu;
            let current = state.run;
            self.note_upgrade(broker, current, |upgrade| {
                (upgrade.old_ended, upgrade.killed) = (Some(now), old.killed);
            });
            if !old.killed && !status.success() {
                self.gathered
                    .crashed
                    .push((now, format!("b{broker} run {run} ended after SIGTERM: {status}")));
            }
        } else if let Some(mut next) = state.next.take_if(|next| next.run == run) {
            let status = next.process.reap()?;
            let what = format!("b{broker} run {run} ended before it took over: {status}");
            self.break_rule(Rule::NotReady, what);
        }
        Ok(())
    }

    fn note_upgrade(&mut self, broker: usize, run: u32, note: impl FnOnce(&mut ObservedUpgrade)) {
        let mut upgrades = self.gathered.upgrades.iter_mut();
        if let Some(upgrade) = upgrades.find(|upgrade| upgrade.broker == broker && upgrade.run == run) {
            note(upgrade);
        }
    }

    /// Notes a rule that the harness itself saw broken.
    pub(super) fn break_rule(&mut self, rule: Rule, what: String) {
        let at = self.now();
        self.gathered.violations.push(Violation { at, rule, details: what });
    }
}
