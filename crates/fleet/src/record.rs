//! What a run gives: counts of the whole fleet by second, the rules that were broken, and what is drawn from them.
//! No I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use badgergauge_standin::ledger::{Ledger, Rule, Violation};
use serde::{Deserialize, Serialize};

use crate::load::{ClientResults, OutcomeCounts, Refusal};
use crate::schedule::{Act, Schedule};

/// Shares that differ by no more than this from the steady one are full service.
pub const FULL: f64 = 0.95;
/// A request whose connection was closed without an answer as its broker stopped listening is not taken; more than
/// one in so many is too much.
const CLOSED_SHARE: usize = 200;
/// A broker that was killed has lost what came so long before: what it had not answered.
const EXCUSED_BEFORE: Duration = Duration::from_secs(5);
/// A frame may be cut so long after a kill or a fault of the network.
const CUT_AFTER: Duration = Duration::from_secs(1);

/// Counts of one second, over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Seconds since the clients' start; before it while brokers start.
    pub second: i64,
    /// Queries that were due in it, and what became of them in the end.
    pub offered: u32,
    /// Whole answers within the aim.
    pub in_time: u32,
    /// Whole answers after it.
    pub late: u32,
    /// Partial answers.
    pub partial: u32,
    /// Refused for good.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Lost.
    pub lost: u32,
    /// Lost as their connection was reset or closed without an answer.
    #[serde(default)]
    pub closed: u32,
    /// Refusals, those that were tried again included.
    pub refusals: u32,
    /// Connections that no broker took.
    pub not_taken: u32,
    /// Their clients left.
    #[serde(default)]
    pub left: u32,
    /// Calls for the list, and those that were turned away.
    pub list_calls: u32,
    /// See `list_calls`.
    pub list_turned_away: u32,
    /// Connections that came up at all servers, and at the one with most.
    pub handshakes: u32,
    /// See `handshakes`.
    pub handshakes_most: u32,
    /// Connections that a server held at the most.
    pub open_most: u32,
    /// Connections that servers closed at once.
    pub connections_refused: u32,
    /// Parts that came to servers.
    pub parts: u32,
    /// Parts that servers turned away.
    pub turned_away: u32,
    /// Parts that failed or were swallowed.
    pub parts_lost: u32,
    /// Work on cold servers, in seconds of a warm worker.
    pub cold_work: f64,
    /// The highest share of its joint limit that a cold server was under.
    pub strain: f64,
    /// Probes.
    pub probes: u32,
    /// Processor time of all brokers, in seconds.
    pub cpu: f64,
    /// The most resident memory of a broker, in MB.
    pub memory_mb: f64,
    /// Warnings in the brokers' logs.
    pub warnings: u32,
}

impl Row {
    /// Share of the queries that were answered whole within their aim.
    pub fn share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { f64::from(self.in_time) / f64::from(self.offered) }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    /// When, in seconds since the clients' start.
    pub at: f64,
    /// Which rule.
    pub rule: String,
    /// What was seen.
    pub what: String,
}

/// What one broker's processes used and said, over all of its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Used {
    /// Starts.
    pub starts: u32,
    /// Processor time, in seconds.
    pub cpu: f64,
    /// The most resident memory, in MB.
    pub memory_mb: f64,
    /// Warnings in its log.
    pub warnings: u32,
}

/// An upgrade of a broker, in seconds since the clients' start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Upgraded {
    /// The broker.
    pub broker: usize,
    /// When the new process was started.
    pub at: f64,
    /// Which of the broker's starts the old process was: the current one until the new one was ready.
    pub old_run: u32,
    /// Which of the broker's starts the new process was.
    pub run: u32,
    /// How long it took to be ready; none if it never was.
    pub ready_s: Option<f64>,
    /// When the old process had ended.
    pub old_ended: Option<f64>,
    /// The old process had to be killed.
    pub killed: bool,
}

/// A drain of a broker, in seconds since the clients' start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Drained {
    /// The broker.
    pub broker: usize,
    /// When it was told to drain.
    pub at: f64,
    /// Connections that clients held idle when it should have been rid of them.
    pub idle: usize,
    /// How long before then a request was last sent to it; none if none was.
    pub unused_s: Option<f64>,
    /// How long it took to be up again once it was told to; none if it was not.
    pub back_s: Option<f64>,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The scenario's name.
    pub name: String,
    /// Brokers, servers and the seed.
    pub brokers: usize,
    /// See `brokers`.
    pub servers: usize,
    /// See `brokers`.
    pub seed: u64,
    /// When the first fault began, in seconds since the clients' start.
    pub fault_at: Option<f64>,
    /// How long the fleet took from then to serve its steady share again, in seconds; none if it did not, or if
    /// there was no fault.
    pub full_service_s: Option<f64>,
    /// The share that was served before the first fault.
    pub steady: f64,
    /// Counts by second.
    pub rows: Vec<Row>,
    /// Median and 99th percentile of the answers' times, in milliseconds.
    pub times_ms: [f64; 2],
    /// How late the harness itself sent at the worst, in milliseconds.
    pub lateness_ms: f64,
    /// Attempts at servers for each part that clients asked.
    pub attempts_per_part: f64,
    /// Keyed parts that ran again inside their window.
    pub repeated: u32,
    /// By broker.
    pub used: Vec<Used>,
    /// Upgrades, by time.
    #[serde(default)]
    pub upgrades: Vec<Upgraded>,
    /// Drains, by time.
    #[serde(default)]
    pub drains: Vec<Drained>,
    /// Rules that were broken.
    pub broken: Vec<Broken>,
}

/// An upgrade as the runner saw it; times are since the base.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Upgrade {
    /// The broker.
    pub broker: usize,
    /// When the new process was started.
    pub began: Duration,
    /// Which of the broker's starts the old process was.
    pub old_run: u32,
    /// Which of the broker's starts the new process was.
    pub run: u32,
    /// When the new process said that it was ready.
    pub ready: Option<Duration>,
    /// When the old process had ended.
    pub old_ended: Option<Duration>,
    /// The old process had to be killed.
    pub killed: bool,
}

/// A drain as the runner saw it; times are since the base.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    /// The broker.
    pub broker: usize,
    /// When it was told to drain.
    pub began: Duration,
    /// Connections that clients held idle when it should have been rid of them.
    pub idle: usize,
    /// How long before then a request was last sent to it.
    pub unused: Option<Duration>,
    /// When it was told to take clients again.
    pub stopped: Option<Duration>,
    /// When it said that it was up.
    pub back: Option<Duration>,
}

/// What the runner itself has gathered.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Warnings by second since the base.
    pub warnings: BTreeMap<u64, u32>,
    /// Processor time of all brokers, and the most memory of one, by second since the base.
    pub uses: BTreeMap<u64, (f64, f64)>,
    /// Brokers that ended by themselves or did not start: when and what.
    pub crashed: Vec<(Duration, String)>,
    /// Rules that the runner saw broken.
    pub broken: Vec<Violation>,
    /// Upgrades.
    pub upgrades: Vec<Upgrade>,
    /// Drains.
    pub drains: Vec<Drain>,
}

/// The upgrades in seconds since the clients' start, which was at `offset`.
pub fn upgrades(gathered: &Gathered, offset: Duration) -> Vec<Upgraded> {
    let since_start = |at: Duration| at.as_secs_f64() - offset.as_secs_f64();
    let upgraded = |upgrade: &Upgrade| Upgraded {
        broker: upgrade.broker,
        at: since_start(upgrade.began),
        old_run: upgrade.old_run,
        run: upgrade.run,
        ready_s: upgrade.ready.map(|ready| (ready - upgrade.began).as_secs_f64()),
        old_ended: upgrade.old_ended.map(since_start),
        killed: upgrade.killed,
    };
    gathered.upgrades.iter().map(upgraded).collect()
}

/// The drains in seconds since the clients' start, which was at `offset`.
pub fn drains(gathered: &Gathered, offset: Duration) -> Vec<Drained> {
    let drained = |drain: &Drain| Drained {
        broker: drain.broker,
        at: drain.began.as_secs_f64() - offset.as_secs_f64(),
        idle: drain.idle,
        unused_s: drain.unused.map(|unused| unused.as_secs_f64()),
        back_s: drain.back.zip(drain.stopped).map(|(back, stopped)| (back - stopped).as_secs_f64()),
    };
    gathered.drains.iter().map(drained).collect()
}

/// Requests that brokers refused from their first upgrade or drain on. Those that the schedule also kills or
/// restarts may refuse some.
fn refusals(seen: &ClientResults, schedule: &Schedule, offset: Duration) -> Vec<Violation> {
    let seamless_from = |broker: usize| {
        let ends = |act: &Act| matches!(act, Act::Kill(b) | Act::Restart(b) if *b == broker);
        let seamless = |act: &Act| matches!(act, Act::Upgrade(b) | Act::StartDrain(b) if *b == broker);
        let ended = schedule.acts.iter().any(|(_, act)| ends(act));
        let first = schedule.acts.iter().find(|(_, act)| seamless(act));
        first.filter(|_| !ended).map(|(at, _)| *at + offset)
    };
    let breach = |refusal: &Refusal| {
        let how = match refusal.status {
            Some(status) => format!("answered {status}"),
            None => "did not take a connection or request".to_owned(),
        };
        Violation { at: refusal.at, rule: Rule::Refused, details: format!("b{} {how}", refusal.broker) }
    };
    let refused = seen.refused.iter();
    let refused =
        refused.filter(|refusal| seamless_from(refusal.broker).is_some_and(|from| refusal.at >= from));
    refused.map(breach).collect()
}

/// What stays of the rules that the stand-ins and clients saw broken, with those that the schedule explains left
/// out. Times are since the base; clients began at `offset`.
pub fn breaches(
    ledger: &Ledger,
    seen: &ClientResults,
    gathered: &Gathered,
    schedule: &Schedule,
    offset: Duration,
    rough: &[(Duration, Duration)],
) -> Vec<Violation> {
    let excused: Vec<Vec<(Duration, Duration)>> =
        (0..=seen.unanswered.iter().map(|lost| lost.broker).max().unwrap_or(0))
            .map(|broker| schedule.excused(broker))
            .collect();
    let kills: Vec<Duration> = schedule
        .acts
        .iter()
        .filter(|(_, act)| matches!(act, Act::Kill(_)))
        .map(|(at, _)| *at + offset)
        .collect();
    let mut found = Vec::new();
    for breach in &ledger.violations {
        // A process that is killed can't end its frames, and a network that resets cuts them.
        let after = |from: Duration, until: Duration| breach.at >= from && breach.at <= until + CUT_AFTER;
        let explained = breach.rule == Rule::CutFrame
            && (kills.iter().any(|at| after(*at, *at))
                || rough.iter().any(|(from, until)| after(*from + offset, *until + offset)));
        if !explained {
            found.push(breach.clone());
        }
    }
    let mut closed = Vec::new();
    for lost in &seen.unanswered {
        let explained = excused[lost.broker].iter().any(|(from, until)| {
            let (from, until) = (*from + offset, *until + offset);
            lost.sent <= until && lost.ended >= from && lost.sent + EXCUSED_BEFORE >= from
        });
        if explained {
            continue;
        }
        let how = if lost.closed { "its connection was closed" } else { "nothing came" };
        let took = lost.ended.saturating_sub(lost.sent).as_millis();
        let what = format!("{} had no answer: {how} after {took} ms", lost.id);
        let breach = Violation { at: lost.ended, rule: Rule::NoAnswer, details: what };
        if lost.closed { closed.push(breach) } else { found.push(breach) }
    }
    let offered: u32 = seen.outcomes.values().map(|fates| fates.offered).sum();
    // An upgrade or a drain has no price.
    if schedule.is_seamless() || closed.len() * CLOSED_SHARE > offered as usize {
        found.append(&mut closed);
    }
    found.extend(refusals(seen, schedule, offset));
    found.extend(gathered.broken.iter().cloned());
    let wrong = seen.wrong.iter();
    found.extend(wrong.map(|(at, what)| Violation {
        at: *at,
        rule: Rule::WrongAnswer,
        details: what.clone(),
    }));
    let crashed = gathered.crashed.iter();
    found.extend(crashed.map(|(at, what)| Violation { at: *at, rule: Rule::Crashed, details: what.clone() }));
    found.sort_by_key(|breach| breach.at);
    found
}

/// Counts by second, from the clients' second `offset` on; whole seconds.
pub fn rows(ledger: &Ledger, seen: &ClientResults, gathered: &Gathered, offset: u64) -> Vec<Row> {
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
    for ((second, _), cell) in &ledger.server_counts {
        let row = rows.entry(*second).or_default();
        row.handshakes += cell.handshakes;
        row.handshakes_most = row.handshakes_most.max(cell.handshakes);
        row.open_most = row.open_most.max(cell.max_open);
        row.connections_refused += cell.refused_connections;
        row.parts += cell.parts;
        row.turned_away += cell.rejected;
        row.parts_lost += cell.lost;
        row.cold_work += cell.cold_work;
        row.strain = row.strain.max(cell.cold_load);
        row.probes += cell.probes;
    }
    for (second, calls) in &ledger.list_calls {
        let row = rows.entry(*second).or_default();
        (row.list_calls, row.list_turned_away) = (calls.received, calls.rejected);
    }
    for (second, warnings) in &gathered.warnings {
        rows.entry(*second).or_default().warnings = *warnings;
    }
    for (second, (cpu, memory)) in &gathered.uses {
        let row = rows.entry(*second).or_default();
        (row.cpu, row.memory_mb) = (*cpu, *memory);
    }
    let numbered = rows.into_iter().map(|(second, row)| Row { second: second as i64 - offset as i64, ..row });
    numbered.collect()
}

/// The share served before the first fault, and how long after it the fleet served that again, to within
/// [`FULL`], for so many seconds in a row or up to the end.
pub fn full_service(rows: &[Row], fault_at: Option<f64>, hold: usize) -> (f64, Option<f64>) {
    let asked: Vec<&Row> = rows.iter().filter(|row| row.second >= 0 && row.offered > 0).collect();
    let mean = |rows: &[&Row]| {
        let (served, offered) = rows.iter().fold((0, 0), |(s, o), row| (s + row.in_time, o + row.offered));
        if offered == 0 { 1.0 } else { f64::from(served) / f64::from(offered) }
    };
    let Some(fault_at) = fault_at else { return (mean(&asked), None) };
    let before: Vec<&Row> =
        asked.iter().copied().filter(|row| ((row.second + 1) as f64) <= fault_at).collect();
    let steady = mean(&before);
    let after: Vec<&Row> =
        asked.iter().copied().filter(|row| row.second as f64 >= fault_at.floor()).collect();
    let good = |n: usize| {
        let held = &after[n..(n + hold).min(after.len())];
        held.iter().all(|row| row.share() >= FULL * steady)
    };
    let found = (0..after.len()).find(|n| good(*n));
    (steady, found.map(|n| (after[n].second as f64 - fault_at).max(0.0)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::load::Unanswered;

    const S: Duration = Duration::from_secs(1);

    fn seen(unanswered: Vec<Unanswered>) -> ClientResults {
        let times = hdrhistogram::Histogram::new(3).expect("sound");
        let outcomes = BTreeMap::from([(0, OutcomeCounts { offered: 300, ..OutcomeCounts::default() })]);
        let (refused, wrong) = (Vec::new(), Vec::new());
        ClientResults { outcomes, times, unanswered, refused, wrong, lateness: Duration::ZERO }
    }

    fn lost(broker: usize, sent: Duration, ended: Duration, closed: bool) -> Unanswered {
        Unanswered { id: format!("b{broker}-1"), broker, sent, ended, closed }
    }

    fn found(ledger: &Ledger, seen: &ClientResults) -> Vec<Rule> {
        let schedule = Schedule { acts: vec![(S * 10, Act::Kill(1))], later: Vec::new() };
        let crashed = Gathered::default();
        let all = breaches(ledger, seen, &crashed, &schedule, S, &[(S * 20, S * 22)]);
        all.into_iter().map(|breach| breach.rule).collect()
    }

    // What the schedule explains is no fault of a broker's, and nothing else is explained away.
    #[test]
    fn only_what_a_fault_explains_is_left_out() {
        let ledger = Ledger::default();
        assert_eq!(found(&ledger, &seen(vec![lost(1, S * 10, S * 11, true)])), []);
        assert_eq!(found(&ledger, &seen(vec![lost(1, S * 10, S * 14, false)])), []);
        assert_eq!(found(&ledger, &seen(vec![lost(0, S * 10, S * 14, false)])), [Rule::NoAnswer]);
        assert_eq!(found(&ledger, &seen(vec![lost(1, S * 12, S * 16, false)])), [Rule::NoAnswer]);
        assert_eq!(found(&ledger, &seen(vec![lost(1, S * 2, S * 6, false)])), [Rule::NoAnswer]);
        // One in 300 may be closed as it came; two are more than one in 200.
        let closed = lost(0, S * 30, S * 30, true);
        assert_eq!(found(&ledger, &seen(vec![closed.clone()])), []);
        assert_eq!(found(&ledger, &seen(vec![closed.clone(), closed])).len(), 2);
        let mut ledger = Ledger::default();
        for at in [11, 12, 13, 21, 25] {
            ledger.record_violation(S * at, Rule::CutFrame, at.to_string());
        }
        assert_eq!(
            found(&ledger, &seen(Vec::new())),
            [Rule::CutFrame, Rule::CutFrame],
            "those at 13 and 25 s"
        );
        let mut ledger = Ledger::default();
        ledger.record_violation(S * 11, Rule::SecondCopy, String::new());
        assert_eq!(found(&ledger, &seen(Vec::new())), [Rule::SecondCopy]);
    }

    // In an upgrade or a drain no request may be closed or refused; before it, and where brokers are killed too,
    // some may.
    #[test]
    fn an_upgrade_and_a_drain_have_no_price() {
        let refusal = |broker, at, status| Refusal { at, broker, status };
        let mut seen = seen(vec![lost(0, S * 3, S * 3, true)]);
        seen.refused = vec![
            refusal(0, S * 5, None),
            refusal(0, S * 6, None),
            refusal(1, S * 9, Some(503)),
            refusal(2, S * 9, None),
            refusal(3, S * 9, None),
        ];
        let acts = vec![
            (S * 5, Act::Upgrade(0)),
            (S * 5, Act::StartDrain(1)),
            (S * 5, Act::Upgrade(3)),
            (S * 6, Act::Kill(3)),
        ];
        let schedule = Schedule { acts, later: Vec::new() };
        let mut gathered = Gathered::default();
        gathered.broken.push(Violation { at: S * 12, rule: Rule::NotReady, details: String::new() });
        let all = breaches(&Ledger::default(), &seen, &gathered, &schedule, S, &[]);
        let all: Vec<(Rule, Duration)> = all.into_iter().map(|breach| (breach.rule, breach.at)).collect();
        let expected = [
            (Rule::NoAnswer, S * 3),
            (Rule::Refused, S * 6),
            (Rule::Refused, S * 9),
            (Rule::NotReady, S * 12),
        ];
        assert_eq!(all, expected);
    }

    #[test]
    fn upgrades_and_drains_are_recorded_from_the_clients_start() {
        let mut gathered = Gathered::default();
        let ready = Some(S * 6);
        gathered.upgrades.push(Upgrade {
            broker: 2,
            began: S * 5,
            old_run: 1,
            run: 2,
            ready,
            ..Upgrade::default()
        });
        let (stopped, back) = (Some(S * 9), Some(S * 10));
        gathered.drains.push(Drain { broker: 1, began: S * 4, stopped, back, ..Drain::default() });
        let upgraded =
            Upgraded { broker: 2, at: 4.0, old_run: 1, run: 2, ready_s: Some(1.0), ..Upgraded::default() };
        assert_eq!(upgrades(&gathered, S), [upgraded]);
        assert_eq!(
            drains(&gathered, S),
            [Drained { broker: 1, at: 3.0, back_s: Some(1.0), ..Drained::default() }]
        );
    }

    #[test]
    fn service_is_full_again_once_it_stays_so() {
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
