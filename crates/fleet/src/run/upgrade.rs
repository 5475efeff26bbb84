//! Upgrades: a successor process of a broker is started beside the running one, and replaces it once it is
//! ready.

use std::io;
use std::time::Duration;

use badgergauge_standin::ledger::{Rule, Violation};
use rustix::process::Signal;

use super::settings::query_classes;
use super::{Fleet, POLL_INTERVAL, Task};
use crate::control;
use crate::process::Process;
use crate::record::ObservedUpgrade;
use crate::scenario::Scenario;

/// The predecessor has at least this time to exit after SIGTERM, plus [`KILL_MARGIN`].
const MIN_STOP_GRACE: Duration = Duration::from_secs(3);
/// Added to the time that a process has to exit before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A process that replaces the current one once it is ready.
pub struct Successor {
    process: Process,
    run: u32,
    control: usize,
    began: Duration,
}

/// A process that has been replaced and sent SIGTERM.
pub struct Predecessor {
    process: Process,
    run: u32,
    /// Its processor time at the last sample, in seconds.
    pub cpu_seconds: f64,
    killed: bool,
}

impl Predecessor {
    /// Samples its processor time.
    pub fn sample(&mut self) {
        if let Some(used) = self.process.resource_usage() {
            self.cpu_seconds = used.cpu_seconds;
        }
    }
}

/// How long a process may take to exit after SIGTERM: the longest deadline of a class, but at least
/// [`MIN_STOP_GRACE`], plus [`KILL_MARGIN`].
pub(super) fn stop_grace(scenario: &Scenario) -> Duration {
    let longest = query_classes(scenario).iter().map(|class| class.deadline).max().unwrap_or_default();
    longest.max(MIN_STOP_GRACE) + KILL_MARGIN
}

impl Fleet<'_> {
    /// Starts an upgrade.
    pub(super) fn upgrade(&mut self, broker: usize) -> io::Result<()> {
        let state = &self.brokers[broker];
        if state.process.is_none() || state.successor.is_some() || state.predecessor.is_some() {
            let what = format!("b{broker} can't be upgraded: it is down, or its last upgrade has not ended");
            self.record_violation(Rule::NotReady, what);
            return Ok(());
        }
        if let Some(gap) = self.options.upgrade_gap {
            // Dropping the process kills it.
            self.brokers[broker].process = None;
            self.schedule(self.now() + gap, Task::StartSuccessor(broker));
            return Ok(());
        }
        self.start_successor(broker)
    }

    /// Starts the successor process.
    pub(super) fn start_successor(&mut self, broker: usize) -> io::Result<()> {
        let state = &self.brokers[broker];
        let (run, control) = (state.starts + 1, 1 - state.control);
        let began = self.now();
        let process = self.spawn(broker, run, control)?;
        let old_run = self.brokers[broker].run;
        self.brokers[broker].successor = Some(Successor { process, run, control, began });
        self.gathered.upgrades.push(ObservedUpgrade {
            broker,
            began,
            old_run,
            run,
            ..ObservedUpgrade::default()
        });
        self.schedule(began + POLL_INTERVAL, Task::CheckReady(broker));
        Ok(())
    }

    /// Polls the successor until it is ready or the ready timeout has passed.
    pub(super) fn check_ready(&mut self, broker: usize) {
        let Some(successor) = &self.brokers[broker].successor else { return };
        let (began, run) = (successor.began, successor.run);
        let ready = control::is_ready(self.ports[broker].control[successor.control].address());
        let now = self.now();
        if now.saturating_sub(began) > self.options.ready_timeout {
            // Dropping the successor kills it; the current process continues to serve.
            self.brokers[broker].successor = None;
            let what = format!("b{broker} run {run} was not ready within {:?}", self.options.ready_timeout);
            self.record_violation(Rule::NotReady, what);
        } else if ready {
            self.take_over(broker, now);
        } else {
            self.schedule(now + POLL_INTERVAL, Task::CheckReady(broker));
        }
    }

    /// Makes the successor the broker's current process, and sends SIGTERM to the one that it replaces.
    fn take_over(&mut self, broker: usize, now: Duration) {
        let state = &mut self.brokers[broker];
        let Some(successor) = state.successor.take() else { return };
        let (old_run, run) = (state.run, successor.run);
        let old = state.process.replace(successor.process);
        (state.run, state.control, state.stopping) = (run, successor.control, false);
        let old_cpu = std::mem::take(&mut state.running_cpu);
        if let Some(process) = old {
            process.signal(Signal::TERM);
            state.predecessor =
                Some(Predecessor { process, run: old_run, cpu_seconds: old_cpu, killed: false });
            self.schedule(now + stop_grace(self.scenario), Task::KillPredecessor(broker, old_run));
        }
        self.update_upgrade(broker, run, |upgrade| upgrade.ready = Some(now));
    }

    /// Kills the predecessor, if it is the given run and has not exited.
    pub(super) fn kill_predecessor(&mut self, broker: usize, run: u32) {
        if let Some(old) = self.brokers[broker].predecessor.as_mut().filter(|old| old.run == run) {
            old.killed = true;
            old.process.signal(Signal::KILL);
        }
    }

    /// Handles the exit of a process that is not the current one: the predecessor, or a successor that was
    /// not ready.
    pub(super) fn upgrade_process_ended(&mut self, broker: usize, run: u32) -> io::Result<()> {
        let (now, state) = (self.now(), &mut self.brokers[broker]);
        if let Some(mut old) = state.predecessor.take_if(|old| old.run == run) {
            let status = old.process.wait()?;
            self.gathered.faults.record_reaped(broker, run, self.base.elapsed());
            state.ended_cpu += old.cpu_seconds;
            let current = state.run;
            self.update_upgrade(broker, current, |upgrade| {
                (upgrade.old_ended, upgrade.killed) = (Some(now), old.killed);
            });
            if !old.killed && !status.success() {
                self.gathered
                    .crashed
                    .push((now, format!("b{broker} run {run} exited after SIGTERM with {status}")));
            }
        } else if let Some(mut successor) = state.successor.take_if(|next| next.run == run) {
            let status = successor.process.wait()?;
            let what = format!("b{broker} run {run} exited before it took over: {status}");
            self.record_violation(Rule::NotReady, what);
        }
        Ok(())
    }

    /// Updates the record of the upgrade to the given run.
    fn update_upgrade(&mut self, broker: usize, run: u32, update: impl FnOnce(&mut ObservedUpgrade)) {
        let mut upgrades = self.gathered.upgrades.iter_mut();
        if let Some(upgrade) = upgrades.find(|upgrade| upgrade.broker == broker && upgrade.run == run) {
            update(upgrade);
        }
    }

    /// Records a violation of a rule that the harness itself has observed.
    pub(super) fn record_violation(&mut self, rule: Rule, what: String) {
        let at = self.now();
        self.gathered.violations.push(Violation { at, rule, details: what, second_copy: None });
    }
}
