//! The reasons that the module gives with its actions: what they say is what was decided.

mod common;

use badgergauge::*;
use common::*;

fn choices(actions: &[Action]) -> Vec<(ServerId, Choice)> {
    let choice = |a: &Action| match a {
        Action::Send { server, why, .. } => Some((*server, *why)),
        _ => None,
    };
    actions.iter().filter_map(choice).collect()
}

fn ending(actions: &[Action]) -> Option<Ending> {
    actions.iter().find_map(|a| match a {
        Action::Answer { why, .. } | Action::Refuse { why, .. } | Action::Fail { why, .. } => {
            Some(why.clone())
        }
        _ => None,
    })
}

fn settings() -> Settings {
    Settings { budget: None, hedging: false, ..common::settings() }
}

/// Where a part of shard 0 goes while all is well, and the other replica.
fn home(bench: &mut Bench) -> (u64, u64, u64) {
    let (id, actions) = bench.query(0, &[0]);
    let [(server, why)] = choices(&actions)[..] else { panic!("{actions:?}") };
    assert_eq!((why.home, why.bypassed), (server, None));
    assert!(why.predicted > 0.0 && why.predicted <= why.allowed, "{why:?}");
    (id, server.0, if server.0 == 1 { 2 } else { 1 })
}

#[test]
fn a_part_at_home_and_a_whole_answer() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let (id, ..) = home(&mut bench);
    let ended = ending(&bench.end(id + 1, 0, Verdict::Served, ms(50)));
    assert_eq!(ended, Some(Ending { cause: Cause::Complete, missing: vec![] }));
}

/// Queries without a key have homes of their own; `seen` gives the first reason for leaving `server`.
fn left(bench: &mut Bench, server: u64) -> Option<BypassReason> {
    (0..40).find_map(|_| {
        let (id, actions) = bench.query(0, &[0]);
        let found =
            choices(&actions).iter().find(|(_, why)| why.home.0 == server).map(|(_, why)| why.bypassed);
        bench.end(id + 1, 0, Verdict::Served, ms(50));
        found
    })?
}

#[test]
fn draining_and_cold_homes_are_named() {
    let mut draining = up(1);
    draining.state = ServerState::Draining;
    let mut bench = Bench::new(settings(), vec![draining, up(2)]);
    assert_eq!(left(&mut bench, 1), Some(BypassReason::Draining));
    // A part is more than a server may take that starts from nothing.
    let mut cold = up(1);
    cold.started = Some(bench.now);
    let strict = ColdStart { from: 0.0, warm_after: ms(3_600_000), ..settings().cold };
    let mut bench = Bench::new(Settings { cold: strict, ..settings() }, vec![cold, up(2)]);
    assert_eq!(left(&mut bench, 1), Some(BypassReason::Cold));
}

#[test]
fn a_doubtful_home_is_named() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    for _ in 0..12 {
        let (id, actions) = bench.query(0, &[0]);
        let verdict = if choices(&actions)[0].0.0 == 1 { Verdict::Error } else { Verdict::Served };
        let again = bench.end(id + 1, 0, verdict, ms(50));
        if let [(server, why)] = choices(&again)[..] {
            assert_eq!((server.0, why.home.0, why.bypassed), (2, 1, Some(BypassReason::Tried)));
            bench.end(id + 1, 1, Verdict::Served, ms(50));
        }
    }
    assert_eq!(left(&mut bench, 1), Some(BypassReason::Suspect));
}

#[test]
fn a_busy_home_is_named() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let found = (0..40).flat_map(|_| choices(&bench.query(0, &[0]).1)).filter_map(|(_, why)| why.bypassed);
    let found: Vec<BypassReason> = found.collect();
    assert!(found.contains(&BypassReason::Busy) && found.contains(&BypassReason::Slow), "{found:?}");
}

#[test]
fn a_query_that_no_server_may_take_says_so() {
    let mut bench = Bench::new(settings(), vec![]);
    let (id, actions) = bench.query(0, &[0]);
    let missing = vec![(PartId(id + 1), MissingReason::NoReplica)];
    assert_eq!(ending(&actions), Some(Ending { cause: Cause::BelowFloor, missing }));
}

#[test]
fn a_part_without_time_says_so() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let (id, actions) = bench.with_left(20);
    let missing = vec![(PartId(id + 1), MissingReason::Late)];
    assert_eq!(ending(&actions), Some(Ending { cause: Cause::BelowFloor, missing }));
}

#[test]
fn spent_attempts_and_parts_held_back_say_so() {
    let settings = Settings { max_attempts: 1, ..settings() };
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, _) = bench.query(0, &[0, 1]);
    let ended = ending(&bench.end(id + 1, 0, Verdict::Error, ms(5))).expect("ends");
    assert_eq!(ended.cause, Cause::BelowFloor);
    assert_eq!(
        ended.missing,
        [(PartId(id + 1), MissingReason::AttemptsExhausted), (PartId(id + 2), MissingReason::InFlight)]
    );
}

#[test]
fn a_partial_answer_names_what_is_out() {
    let class = Class { floor: 0.5, partial_worth: 0.8, late_share: 0.1, ..class() };
    let mut bench = Bench::new(Settings { classes: vec![class], ..settings() }, vec![up(1), up(2)]);
    let (id, _) = bench.query(0, &[0, 1]);
    assert_eq!(ending(&bench.end(id + 1, 0, Verdict::Served, ms(50))), None);
    let ended = (0..300).find_map(|_| ending(&bench.wait(ms(10)))).expect("ends");
    assert_eq!(ended.cause, Cause::TimeUp);
    assert_eq!(ended.missing, [(PartId(id + 2), MissingReason::InFlight)]);
}
