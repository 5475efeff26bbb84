//! The record of a run: counters of the whole fleet by second, violated rules, and figures derived from them.
//! No I/O.
//!
//! Times in [`Record`] count in seconds from the clients' start; the other times count from the start of the
//! run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use badgergauge_standin::ledger::{Effect, Ledger, Rule, TIME_LIMIT_SLACK, Violation, query_id};
use serde::{Deserialize, Serialize};

use crate::attempt_log::AttemptLog;
use crate::fault_log::FaultLog;
use crate::load::{ClientResults, OutcomeCounts, Refusal};
use crate::schedule::{Action, Schedule};

/// Service counts as full again from this share of the steady one on.
pub const FULL_SERVICE_SHARE: f64 = 0.95;
/// A request counts as not accepted if its connection was closed without an answer because its broker stopped
/// listening. More than one request in this many is a violation.
const REQUESTS_PER_CLOSED: usize = 200;

/// Counters of one second, over the whole fleet. Queries are counted in the second in which they were due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Seconds since the clients' start; negative while brokers start.
    pub second: i64,
    /// Queries that were due.
    pub offered: u32,
    /// Complete answers within the aim.
    pub in_time: u32,
    /// Complete answers after the aim.
    pub late: u32,
    /// Incomplete answers.
    pub partial: u32,
    /// Queries whose client gave up after refusals.
    pub refused: u32,
    /// Queries that failed.
    pub failed: u32,
    /// Queries without an answer in the client's time.
    pub lost: u32,
    /// Queries counted in `lost` whose connection was reset or closed without an answer.
    #[serde(default)]
    pub closed: u32,
    /// Refusals, including those that were followed by a retry.
    pub refusals: u32,
    /// Connections that no broker accepted.
    pub not_taken: u32,
    /// Queries whose client disconnected.
    #[serde(default)]
    pub left: u32,
    /// Calls for the server list.
    pub list_calls: u32,
    /// Calls for the server list that discovery rejected.
    pub list_turned_away: u32,
    /// Connections accepted by all servers.
    pub handshakes: u32,
    /// Connections accepted by the server with most of them.
    pub handshakes_most: u32,
    /// Largest number of connections open at one server.
    pub open_most: u32,
    /// Connections that servers closed on arrival.
    pub connections_refused: u32,
    /// Parts that servers received.
    pub parts: u32,
    /// Parts that servers rejected.
    pub turned_away: u32,
    /// Parts that failed or were never answered.
    pub parts_lost: u32,
    /// Work received by cold servers, in seconds of a warm worker.
    pub cold_work: f64,
    /// Highest load of a cold server, as a share of the load that crashes it.
    pub strain: f64,
    /// Probes that servers received.
    pub probes: u32,
    /// Processor time of all brokers, in seconds.
    pub cpu: f64,
    /// Largest resident memory of a broker, in MB.
    pub memory_mb: f64,
    /// Warnings in the brokers' logs.
    pub warnings: u32,
}

impl Row {
    /// Share of the queries that were answered completely within their aim; 1 if there were none.
    pub fn share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { f64::from(self.in_time) / f64::from(self.offered) }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BrokenRule {
    /// When it was seen, in seconds since the clients' start.
    pub at: f64,
    /// The rule's name.
    pub rule: String,
    /// What was seen.
    pub what: String,
}

/// Resource usage and log warnings of one broker's processes, over all of its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrokerUsage {
    /// Number of starts.
    pub starts: u32,
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Largest resident memory, in MB.
    pub memory_mb: f64,
    /// Warnings in its log.
    pub warnings: u32,
}

/// An upgrade of a broker. Times are in seconds since the clients' start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpgradeRecord {
    /// The broker.
    pub broker: usize,
    /// When the new process was started.
    pub at: f64,
    /// Number of the old process among the broker's starts.
    pub old_run: u32,
    /// Number of the new process among the broker's starts.
    pub run: u32,
    /// Seconds until the new process was ready; none if it never was.
    pub ready_s: Option<f64>,
    /// When the old process had ended.
    pub old_ended: Option<f64>,
    /// Whether the old process had to be killed.
    pub killed: bool,
}

/// A drain of a broker. Times are in seconds since the clients' start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The broker.
    pub broker: usize,
    /// When it was told to drain.
    pub at: f64,
    /// Idle client connections that were still open at the drain's time limit.
    pub idle: usize,
    /// Seconds from the last request sent to it until the drain's time limit; none if there was no request.
    pub unused_s: Option<f64>,
    /// Seconds from the end of the drain until it was up again; none if it was not.
    pub back_s: Option<f64>,
}

/// The record of a run, as written to `record.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The scenario's name.
    pub name: String,
    /// Number of brokers.
    pub brokers: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// The scenario's seed.
    pub seed: u64,
    /// Time of the first fault; none if there was no fault.
    pub fault_at: Option<f64>,
    /// Seconds from the first fault until the fleet served its steady share again; none if it did not, or if
    /// there was no fault.
    pub full_service_s: Option<f64>,
    /// Share of the queries answered completely in time before the first fault.
    pub steady: f64,
    /// Counters by second.
    pub rows: Vec<Row>,
    /// Median and 99th percentile of the response times, in milliseconds.
    pub times_ms: [f64; 2],
    /// Largest delay of the harness itself in sending a query, in milliseconds.
    pub lateness_ms: f64,
    /// Attempts at servers per part that clients requested.
    pub attempts_per_part: f64,
    /// Keyed parts that were executed again within their idempotency window.
    pub repeated: u32,
    /// Resource usage by broker.
    pub used: Vec<BrokerUsage>,
    /// Upgrades, in time order.
    #[serde(default)]
    pub upgrades: Vec<UpgradeRecord>,
    /// Drains, in time order.
    #[serde(default)]
    pub drains: Vec<DrainRecord>,
    /// Violations, in time order.
    pub broken: Vec<BrokenRule>,
}

/// An upgrade as seen by the runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedUpgrade {
    /// The broker.
    pub broker: usize,
    /// When the new process was started.
    pub began: Duration,
    /// Number of the old process among the broker's starts.
    pub old_run: u32,
    /// Number of the new process among the broker's starts.
    pub run: u32,
    /// When the new process reported that it was ready.
    pub ready: Option<Duration>,
    /// When the old process had ended.
    pub old_ended: Option<Duration>,
    /// Whether the old process had to be killed.
    pub killed: bool,
}

/// A drain as seen by the runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedDrain {
    /// The broker.
    pub broker: usize,
    /// When it was told to drain.
    pub began: Duration,
    /// Idle client connections that were still open at the drain's time limit.
    pub idle: usize,
    /// Time from the last request sent to it until the drain's time limit.
    pub unused: Option<Duration>,
    /// When it was told to accept clients again.
    pub stopped: Option<Duration>,
    /// When it reported that it was up again.
    pub back: Option<Duration>,
}

/// Resource usage of the fleet in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// Processor time of all brokers, in seconds.
    pub cpu: f64,
    /// Largest resident memory of a broker, in MB.
    pub memory_mb: f64,
}

/// Observations of the runner itself.
#[derive(Debug, Default)]
pub struct RunObservations {
    /// Warnings in the brokers' logs, by second.
    pub warnings: BTreeMap<u64, u32>,
    /// Resource usage, by second.
    pub usage: BTreeMap<u64, FleetUsage>,
    /// Brokers that exited unexpectedly or did not start: time and description.
    pub crashed: Vec<(Duration, String)>,
    /// Violations of rules that the runner checks.
    pub violations: Vec<Violation>,
    /// Upgrades.
    pub upgrades: Vec<ObservedUpgrade>,
    /// Drains.
    pub drains: Vec<ObservedDrain>,
    /// The faults that the runner caused.
    pub faults: FaultLog,
}

/// The upgrades for the record; the clients started at `offset`.
pub fn upgrade_records(observations: &RunObservations, offset: Duration) -> Vec<UpgradeRecord> {
    let since_start = |at: Duration| at.as_secs_f64() - offset.as_secs_f64();
    let to_record = |upgrade: &ObservedUpgrade| UpgradeRecord {
        broker: upgrade.broker,
        at: since_start(upgrade.began),
        old_run: upgrade.old_run,
        run: upgrade.run,
        ready_s: upgrade.ready.map(|ready| (ready - upgrade.began).as_secs_f64()),
        old_ended: upgrade.old_ended.map(since_start),
        killed: upgrade.killed,
    };
    observations.upgrades.iter().map(to_record).collect()
}

/// The drains for the record; the clients started at `offset`.
pub fn drain_records(observations: &RunObservations, offset: Duration) -> Vec<DrainRecord> {
    let to_record = |drain: &ObservedDrain| DrainRecord {
        broker: drain.broker,
        at: drain.began.as_secs_f64() - offset.as_secs_f64(),
        idle: drain.idle,
        unused_s: drain.unused.map(|unused| unused.as_secs_f64()),
        back_s: drain.back.zip(drain.stopped).map(|(back, stopped)| (back - stopped).as_secs_f64()),
    };
    observations.drains.iter().map(to_record).collect()
}

/// Requests and connections that brokers refused after the start of their first upgrade or drain. Brokers
/// that the schedule also kills or restarts are left out, as they may refuse some.
fn refusals(seen: &ClientResults, faults: &FaultLog, schedule: &Schedule) -> Vec<Violation> {
    let seamless_from = |broker: usize| {
        let ends = |action: &Action| matches!(action, Action::Kill(b) | Action::Restart(b) if *b == broker);
        let ended = schedule.actions.iter().any(|(_, action)| ends(action));
        faults.seamless_from(broker).filter(|_| !ended)
    };
    let violation = |refusal: &Refusal| {
        let how = match refusal.status {
            Some(status) => format!("answered {status}"),
            None => "did not take a connection or request".to_owned(),
        };
        Violation {
            at: refusal.at,
            rule: Rule::Refused,
            details: format!("b{} {how}", refusal.broker),
            second_copy: None,
        }
    };
    let refused = seen.refused.iter();
    let refused =
        refused.filter(|refusal| seamless_from(refusal.broker).is_some_and(|from| refusal.at >= from));
    refused.map(violation).collect()
}

/// Parts with an effect that were executed when a cut had ended, although their clients had been told of a
/// failure, or got no answer, during the cut. A server has [`TIME_LIMIT_SLACK`] to read a cancellation.
fn late_effects(effects: &[Effect], seen: &ClientResults, faults: &FaultLog) -> Vec<Violation> {
    let unanswered = seen.unanswered.iter().map(|lost| (lost.id.as_str(), lost.ended));
    let failed = seen.failed.iter().map(|failed| (failed.id.as_str(), failed.at));
    let told: HashMap<&str, Duration> = unanswered.chain(failed).collect();
    let violation = |effect: &Effect| {
        let told_at = *told.get(query_id(&effect.part_id))?;
        faults.cut_ended_between(told_at + TIME_LIMIT_SLACK, effect.at).then(|| {
            let late = effect.at.saturating_sub(told_at).as_millis();
            let details =
                format!("{} executed {late} ms after its client knew of the failure", effect.part_id);
            Violation { at: effect.at, rule: Rule::LateEffect, details, second_copy: None }
        })
    };
    effects.iter().filter_map(violation).collect()
}

/// The violations of a run, in time order, without those that the faults explain.
pub fn violations(
    ledger: &Ledger,
    seen: &ClientResults,
    observations: &RunObservations,
    schedule: &Schedule,
    attempts: &AttemptLog,
) -> Vec<Violation> {
    let faults = &observations.faults;
    let mut found = Vec::new();
    for violation in &ledger.violations {
        let explained = violation.rule == Rule::CutFrame && faults.excuses_truncation(violation.at);
        let cancelled = violation.second_copy.as_ref().is_some_and(|copy| attempts.is_excused(copy));
        if !explained && !cancelled {
            let mut violation = violation.clone();
            if let Some(copy) = &violation.second_copy {
                violation.details.push_str(&format!("; {}", attempts.describe(copy)));
            }
            found.push(violation);
        }
    }
    let mut closed = Vec::new();
    for lost in &seen.unanswered {
        if faults.excuses_no_answer(lost) {
            continue;
        }
        let how = if lost.closed { "its connection was closed" } else { "nothing came" };
        let took = lost.ended.saturating_sub(lost.sent).as_millis();
        let details = format!("{} had no answer: {how} after {took} ms", lost.id);
        let violation = Violation { at: lost.ended, rule: Rule::NoAnswer, details, second_copy: None };
        if lost.closed { closed.push(violation) } else { found.push(violation) }
    }
    let offered: u32 = seen.outcomes.values().map(|fates| fates.offered).sum();
    // Upgrades and drains must not close any request.
    if schedule.is_seamless() || closed.len() * REQUESTS_PER_CLOSED > offered as usize {
        found.append(&mut closed);
    }
    found.extend(refusals(seen, faults, schedule));
    found.extend(late_effects(&ledger.effects, seen, faults));
    found.extend(observations.violations.iter().cloned());
    let wrong = seen.wrong.iter();
    found.extend(wrong.map(|(at, details)| Violation {
        at: *at,
        rule: Rule::WrongAnswer,
        details: details.clone(),
        second_copy: None,
    }));
    let crashed = observations.crashed.iter();
    found.extend(crashed.map(|(at, details)| Violation {
        at: *at,
        rule: Rule::Crashed,
        details: details.clone(),
        second_copy: None,
    }));
    found.sort_by_key(|violation| violation.at);
    found
}

/// The counters by second, numbered from the clients' start, which was at second `offset`.
pub fn rows(ledger: &Ledger, seen: &ClientResults, observations: &RunObservations, offset: u64) -> Vec<Row> {
    let mut rows: BTreeMap<u64, Row> = BTreeMap::new();
    for (second, outcomes) in &seen.outcomes {
        let OutcomeCounts {
            offered,
            in_time,
            late,
            partial,
            refused,
            failed,
            lost,
            closed,
            refusals,
            not_taken,
            left,
        } = *outcomes;
        let row = Row {
            offered,
            in_time,
            late,
            partial,
            refused,
            failed,
            lost,
            closed,
            refusals,
            not_taken,
            left,
            ..Row::default()
        };
        rows.insert(*second, row);
    }
    for ((second, _), counts) in &ledger.server_counts {
        let row = rows.entry(*second).or_default();
        row.handshakes += counts.handshakes;
        row.handshakes_most = row.handshakes_most.max(counts.handshakes);
        row.open_most = row.open_most.max(counts.max_open);
        row.connections_refused += counts.refused_connections;
        row.parts += counts.parts;
        row.turned_away += counts.rejected;
        row.parts_lost += counts.lost;
        row.cold_work += counts.cold_work;
        row.strain = row.strain.max(counts.cold_load);
        row.probes += counts.probes;
    }
    for (second, calls) in &ledger.list_calls {
        let row = rows.entry(*second).or_default();
        (row.list_calls, row.list_turned_away) = (calls.received, calls.rejected);
    }
    for (second, warnings) in &observations.warnings {
        rows.entry(*second).or_default().warnings = *warnings;
    }
    for (second, usage) in &observations.usage {
        let row = rows.entry(*second).or_default();
        (row.cpu, row.memory_mb) = (usage.cpu, usage.memory_mb);
    }
    let numbered = rows.into_iter().map(|(second, row)| Row { second: second as i64 - offset as i64, ..row });
    numbered.collect()
}

/// The share of queries answered completely in time before the first fault, and the seconds from that fault
/// until the fleet served [`FULL_SERVICE_SHARE`] of it again in each of `hold` consecutive seconds, or of
/// those left in the run.
pub fn full_service(rows: &[Row], fault_at: Option<f64>, hold: usize) -> (f64, Option<f64>) {
    let active: Vec<&Row> = rows.iter().filter(|row| row.second >= 0 && row.offered > 0).collect();
    let mean = |rows: &[&Row]| {
        let (served, offered) = rows.iter().fold((0, 0), |(s, o), row| (s + row.in_time, o + row.offered));
        if offered == 0 { 1.0 } else { f64::from(served) / f64::from(offered) }
    };
    let Some(fault_at) = fault_at else { return (mean(&active), None) };
    let before: Vec<&Row> =
        active.iter().copied().filter(|row| ((row.second + 1) as f64) <= fault_at).collect();
    let steady = mean(&before);
    let after: Vec<&Row> =
        active.iter().copied().filter(|row| row.second as f64 >= fault_at.floor()).collect();
    let is_full = |n: usize| {
        let held = &after[n..(n + hold).min(after.len())];
        held.iter().all(|row| row.share() >= FULL_SERVICE_SHARE * steady)
    };
    let recovered = (0..after.len()).find(|n| is_full(*n));
    (steady, recovered.map(|n| (after[n].second as f64 - fault_at).max(0.0)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fault_log::InterruptionKind;
    use crate::load::{FailedRequest, Unanswered};
    use crate::proxy::Rule as NetworkRule;
    use crate::schedule::Links;

    const S: Duration = Duration::from_secs(1);

    fn seen(unanswered: Vec<Unanswered>) -> ClientResults {
        let times = hdrhistogram::Histogram::new(3).expect("valid precision");
        let outcomes = BTreeMap::from([(0, OutcomeCounts { offered: 300, ..OutcomeCounts::default() })]);
        let (failed, refused, wrong) = (Vec::new(), Vec::new(), Vec::new());
        ClientResults { outcomes, times, unanswered, failed, refused, wrong, lateness: Duration::ZERO }
    }

    fn lost(broker: usize, sent: Duration, ended: Duration, closed: bool) -> Unanswered {
        Unanswered { id: format!("b{broker}-1"), broker, sent, ended, closed }
    }

    fn violated_rules(ledger: &Ledger, seen: &ClientResults) -> Vec<Rule> {
        let schedule = Schedule { actions: vec![(S * 10, Action::Kill(1))], added_servers: Vec::new() };
        let mut observations = RunObservations::default();
        let (kill, resets) = (S * 11, NetworkRule { reset: 0.1, ..NetworkRule::default() });
        observations.faults.record_interruption(InterruptionKind::Kill, 1, 1, kill);
        observations.faults.record_reaped(1, 1, kill);
        observations.faults.record_rule(&Links::All, &resets, S * 21, S * 21);
        observations.faults.record_rule(&Links::All, &NetworkRule::default(), S * 23, S * 23);
        let all = violations(ledger, seen, &observations, &schedule, &AttemptLog::default());
        all.into_iter().map(|violation| violation.rule).collect()
    }

    // Violations that a scheduled fault explains are left out; all others stay, also those of the same rule.
    #[test]
    fn only_violations_that_a_fault_explains_are_left_out() {
        let ledger = Ledger::default();
        assert_eq!(violated_rules(&ledger, &seen(vec![lost(1, S * 10, S * 11, true)])), []);
        assert_eq!(violated_rules(&ledger, &seen(vec![lost(1, S * 10, S * 14, false)])), []);
        assert_eq!(violated_rules(&ledger, &seen(vec![lost(0, S * 10, S * 14, false)])), [Rule::NoAnswer]);
        assert_eq!(violated_rules(&ledger, &seen(vec![lost(1, S * 12, S * 16, false)])), [Rule::NoAnswer]);
        assert_eq!(violated_rules(&ledger, &seen(vec![lost(1, S * 2, S * 6, false)])), [Rule::NoAnswer]);
        // One closed request in 300 is allowed; two are more than one in 200.
        let closed = lost(0, S * 30, S * 30, true);
        assert_eq!(violated_rules(&ledger, &seen(vec![closed.clone()])), []);
        assert_eq!(violated_rules(&ledger, &seen(vec![closed.clone(), closed])).len(), 2);
        let mut ledger = Ledger::default();
        for at in [11, 12, 13, 21, 25] {
            ledger.record_violation(S * at, Rule::CutFrame, at.to_string());
        }
        assert_eq!(
            violated_rules(&ledger, &seen(Vec::new())),
            [Rule::CutFrame, Rule::CutFrame],
            "those at 13 and 25 s"
        );
        let mut ledger = Ledger::default();
        ledger.record_violation(S * 11, Rule::SecondCopy, String::new());
        assert_eq!(violated_rules(&ledger, &seen(Vec::new())), [Rule::SecondCopy]);
    }

    // During an upgrade or a drain no request may be closed or refused. Before it, and at brokers that are
    // also killed, some may be.
    #[test]
    fn upgrades_and_drains_must_not_close_or_refuse_requests() {
        let refusal = |broker, at, status| Refusal { at, broker, status };
        let mut seen = seen(vec![lost(0, S * 3, S * 3, true)]);
        seen.refused = vec![
            refusal(0, S * 5, None),
            refusal(0, S * 6, None),
            refusal(1, S * 9, Some(503)),
            refusal(2, S * 9, None),
            refusal(3, S * 9, None),
        ];
        let actions = vec![
            (S * 5, Action::Upgrade(0)),
            (S * 5, Action::StartDrain(1)),
            (S * 5, Action::Upgrade(3)),
            (S * 6, Action::Kill(3)),
        ];
        let schedule = Schedule { actions, added_servers: Vec::new() };
        let mut observations = RunObservations::default();
        for broker in [0, 1, 3] {
            observations.faults.record_seamless(broker, S * 6);
        }
        observations.violations.push(Violation {
            at: S * 12,
            rule: Rule::NotReady,
            details: String::new(),
            second_copy: None,
        });
        let all = violations(&Ledger::default(), &seen, &observations, &schedule, &AttemptLog::default());
        let all: Vec<(Rule, Duration)> =
            all.into_iter().map(|violation| (violation.rule, violation.at)).collect();
        let expected = [
            (Rule::NoAnswer, S * 3),
            (Rule::Refused, S * 6),
            (Rule::Refused, S * 9),
            (Rule::NotReady, S * 12),
        ];
        assert_eq!(all, expected);
    }

    // A part is late if its client knew of the failure while a cut lasted that has ended when the part is
    // executed. A server may execute it within the slack, or while the cut lasts.
    #[test]
    fn effects_after_a_cut_are_late_if_their_clients_knew_of_a_failure() {
        let ms = Duration::from_millis;
        let mut seen = seen(vec![lost(0, S * 10, ms(11_000), true)]);
        seen.failed.push(FailedRequest { id: "b1-u7-1-2".into(), at: ms(11_960) });
        let mut faults = FaultLog::default();
        faults.record_rule(&Links::AcrossZone(1), &NetworkRule::cut(), S * 11, S * 11);
        faults.record_rule(&Links::AcrossZone(1), &NetworkRule::default(), S * 12, S * 12);
        let late = |part_id: &str, at: Duration| {
            let effects = vec![Effect { part_id: part_id.into(), at }];
            let found = late_effects(&effects, &seen, &faults);
            found.iter().map(|violation| violation.rule).collect::<Vec<_>>()
        };
        assert_eq!(late("b0-1.3", S * 12), [Rule::LateEffect]);
        assert_eq!(late("b0-1.3", ms(11_999)), [], "the cut lasts");
        assert_eq!(late("b0-2.3", S * 12), [], "a query that was answered");
        assert_eq!(late("b1-u7-1-2.3", ms(12_001)), [], "told less than the slack before the end of the cut");
        seen.failed[0].at = ms(11_949);
        let late_part = Effect { part_id: "b1-u7-1-2.3".into(), at: ms(12_500) };
        let found = late_effects(&[late_part], &seen, &faults);
        assert_eq!(found.len(), 1);
        assert_eq!(found[0].details, "b1-u7-1-2.3 executed 551 ms after its client knew of the failure");
    }

    #[test]
    fn upgrades_and_drains_are_recorded_relative_to_the_clients_start() {
        let mut observations = RunObservations::default();
        let ready = Some(S * 6);
        observations.upgrades.push(ObservedUpgrade {
            broker: 2,
            began: S * 5,
            old_run: 1,
            run: 2,
            ready,
            ..ObservedUpgrade::default()
        });
        let (stopped, back) = (Some(S * 9), Some(S * 10));
        observations.drains.push(ObservedDrain {
            broker: 1,
            began: S * 4,
            stopped,
            back,
            ..ObservedDrain::default()
        });
        let expected = UpgradeRecord {
            broker: 2,
            at: 4.0,
            old_run: 1,
            run: 2,
            ready_s: Some(1.0),
            ..UpgradeRecord::default()
        };
        assert_eq!(upgrade_records(&observations, S), [expected]);
        assert_eq!(
            drain_records(&observations, S),
            [DrainRecord { broker: 1, at: 3.0, back_s: Some(1.0), ..DrainRecord::default() }]
        );
    }

    #[test]
    fn service_is_full_again_once_the_share_holds() {
        let rows = |shares: &[u32]| -> Vec<Row> {
            let row = |(n, in_time): (usize, &u32)| Row {
                second: n as i64,
                offered: 100,
                in_time: *in_time,
                ..Row::default()
            };
            shares.iter().enumerate().map(row).collect()
        };
        let shares = rows(&[98, 98, 98, 40, 96, 60, 94, 97, 98, 98]);
        let (steady, took) = full_service(&shares, Some(3.0), 3);
        assert_eq!(((steady * 100.0).round(), took), (98.0, Some(3.0)));
        assert_eq!(full_service(&rows(&[98, 98, 50, 50]), Some(2.0), 3).1, None);
        assert_eq!(full_service(&rows(&[98, 98]), None, 3).1, None);
    }
}
