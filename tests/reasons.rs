//! The reasons that the router gives with its actions agree with its decisions.

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

/// Sends a query with one part of shard 0 while both replicas are idle. Returns the query's id, the home
/// replica and the other replica.
fn send_to_home(bench: &mut Bench) -> (u64, u64, u64) {
    let (id, actions) = bench.query(0, &[0]);
    let [(server, why)] = choices(&actions)[..] else { panic!("{actions:?}") };
    assert_eq!((why.home, why.bypassed), (server, None));
    assert!(why.predicted > 0.0 && why.predicted <= why.allowed, "{why:?}");
    (id, server.0, if server.0 == 1 { 2 } else { 1 })
}

#[test]
fn a_part_at_its_home_replica_and_a_complete_answer() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let (id, ..) = send_to_home(&mut bench);
    let ended = ending(&bench.finish_attempt(id + 1, 0, Verdict::Served, ms(50)));
    assert_eq!(ended, Some(Ending { cause: Cause::Complete, missing: vec![] }));
}

/// The first reason given for bypassing `server`, among queries of which some have it as their home replica:
/// queries without a key have different ones.
fn bypass_reason(bench: &mut Bench, server: u64) -> Option<BypassReason> {
    (0..40).find_map(|_| {
        let (id, actions) = bench.query(0, &[0]);
        let found =
            choices(&actions).iter().find(|(_, why)| why.home.0 == server).map(|(_, why)| why.bypassed);
        bench.finish_attempt(id + 1, 0, Verdict::Served, ms(50));
        found
    })?
}

#[test]
fn bypassing_a_draining_or_cold_home_is_explained() {
    let mut draining = up(1);
    draining.state = ServerState::Draining;
    let mut bench = Bench::new(settings(), vec![draining, up(2)]);
    assert_eq!(bypass_reason(&mut bench, 1), Some(BypassReason::Draining));
    // A server that starts without capacity may not take even one part.
    let mut cold = up(1);
    cold.started = Some(bench.now);
    let strict = ColdStart { from: 0.0, warm_after: ms(3_600_000), ..settings().cold };
    let mut bench = Bench::new(Settings { cold: strict, ..settings() }, vec![cold, up(2)]);
    assert_eq!(bypass_reason(&mut bench, 1), Some(BypassReason::Cold));
}

#[test]
fn bypassing_a_suspect_home_is_explained() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    for _ in 0..12 {
        let (id, actions) = bench.query(0, &[0]);
        let verdict = if choices(&actions)[0].0.0 == 1 { Verdict::Error } else { Verdict::Served };
        let again = bench.finish_attempt(id + 1, 0, verdict, ms(50));
        if let [(server, why)] = choices(&again)[..] {
            assert_eq!((server.0, why.home.0, why.bypassed), (2, 1, Some(BypassReason::Tried)));
            bench.finish_attempt(id + 1, 1, Verdict::Served, ms(50));
        }
    }
    assert_eq!(bypass_reason(&mut bench, 1), Some(BypassReason::Suspect));
}

#[test]
fn bypassing_a_busy_home_is_explained() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let found = (0..40).flat_map(|_| choices(&bench.query(0, &[0]).1)).filter_map(|(_, why)| why.bypassed);
    let found: Vec<BypassReason> = found.collect();
    assert!(found.contains(&BypassReason::Busy) && found.contains(&BypassReason::Slow), "{found:?}");
}

#[test]
fn a_refusal_without_any_replica_is_explained() {
    let mut bench = Bench::new(settings(), vec![]);
    let (id, actions) = bench.query(0, &[0]);
    let missing = vec![(PartId(id + 1), MissingReason::NoReplica)];
    assert_eq!(ending(&actions), Some(Ending { cause: Cause::BelowFloor, missing }));
}

#[test]
fn a_refusal_for_lack_of_time_is_explained() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let (id, actions) = bench.query_with_time_left(20);
    let missing = vec![(PartId(id + 1), MissingReason::Late)];
    assert_eq!(ending(&actions), Some(Ending { cause: Cause::BelowFloor, missing }));
}

#[test]
fn exhausted_attempts_and_parts_in_flight_are_explained() {
    let settings = Settings { max_attempts: 1, ..settings() };
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, _) = bench.query(0, &[0, 1]);
    let ended = ending(&bench.finish_attempt(id + 1, 0, Verdict::Error, ms(5))).expect("ends");
    assert_eq!(ended.cause, Cause::BelowFloor);
    assert_eq!(
        ended.missing,
        [(PartId(id + 1), MissingReason::AttemptsExhausted), (PartId(id + 2), MissingReason::InFlight)]
    );
}

#[test]
fn a_partial_answer_names_the_parts_in_flight() {
    let class = Class { floor: 0.5, partial_worth: 0.8, late_share: 0.1, ..class() };
    let mut bench = Bench::new(Settings { classes: vec![class], ..settings() }, vec![up(1), up(2)]);
    let (id, _) = bench.query(0, &[0, 1]);
    assert_eq!(ending(&bench.finish_attempt(id + 1, 0, Verdict::Served, ms(50))), None);
    let ended = (0..300).find_map(|_| ending(&bench.wait(ms(10)))).expect("ends");
    assert_eq!(ended.cause, Cause::TimeUp);
    assert_eq!(ended.missing, [(PartId(id + 2), MissingReason::InFlight)]);
}
