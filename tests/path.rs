//! The router's decisions on the ordinary path of a query and the six safety rules, one small case each.

mod common;

use badgergauge::*;
use common::*;

#[test]
fn a_query_is_answered_as_complete_when_every_part_was_served() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let (id, actions) = bench.query(0, &[0, 1]);
    assert_eq!(sends(&actions).len(), 2);
    bench.now = bench.now.after(ms(50));
    assert_eq!(count_ended_queries(&bench.finish_attempt(id + 1, 0, Verdict::Served, ms(50))), 0);
    let actions = bench.finish_attempt(id + 2, 0, Verdict::Served, ms(50));
    assert!(has_answer(&actions, id, true));
}

#[test]
fn a_query_is_refused_at_once_when_a_needed_part_has_no_replica() {
    let mut settings = settings();
    settings.cells = 2;
    let mut bench = Bench::new(settings, vec![up(1)]);
    let (id, actions) = bench.query(0, &[0, 1]);
    assert!(sends(&actions).is_empty());
    let refused = actions.iter().any(
        |a| matches!(a, Action::Refuse { query, retry_after, .. } if query.0 == id && !retry_after.is_zero()),
    );
    assert!(refused, "{actions:?}");
}

#[test]
fn a_partial_class_is_answered_at_the_aim_from_the_parts_served() {
    let mut settings = settings();
    settings.classes[0].floor = 0.5;
    settings.classes[0].partial_worth = 0.8;
    let mut bench = Bench::new(settings, vec![up(1)]);
    let (id, _) = bench.query(0, &[0, 1]);
    bench.now = bench.now.after(ms(50));
    assert_eq!(count_ended_queries(&bench.finish_attempt(id + 1, 0, Verdict::Served, ms(50))), 0);
    let mut actions = Vec::new();
    for _ in 0..95 {
        actions.extend(bench.wait(ms(10)));
    }
    assert!(has_answer(&actions, id, false), "{actions:?}");
    assert!(bench.now <= Time(2_000_000_000));
}

#[test]
fn a_draining_server_is_sent_nothing() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let draining = ServerEntry { state: ServerState::Draining, ..up(1) };
    bench.step(&[Event::ServersChanged(vec![draining])]);
    for _ in 0..20 {
        let (_, actions) = bench.query(0, &[0]);
        assert!(sends(&actions).iter().all(|&(_, server)| server == 2));
    }
}

/// Guards against overload of the last server that holds a shard, while the others drain: it was sent
/// everything and fell behind, and a third of the queries was refused for a second. A draining server
/// therefore takes parts within its grace period if the other one would take much longer, and none after that
/// period or where it is unknown.
#[test]
fn a_draining_server_takes_parts_within_its_grace_period_when_the_other_is_slow() {
    let settings = Settings { budget: None, hedging: false, ..settings() };
    let run = |until: Option<u64>, relisted: bool| {
        let mut bench = Bench::new(settings.clone(), vec![up(1), up(2)]);
        let until = until.map(|span| bench.now.after(ms(span)));
        let draining = ServerEntry { state: ServerState::Draining, send_until: until, ..up(1) };
        bench.step(&[Event::ServersChanged(vec![draining.clone()])]);
        if relisted {
            // The list reports it again with a later end: the first one applies.
            let until = Some(bench.now.after(ms(60_000)));
            bench.step(&[Event::ServersChanged(vec![ServerEntry { send_until: until, ..draining }])]);
        }
        let mut sent = Vec::new();
        for _ in 0..20 {
            let now = bench.now;
            sent.extend(sends(&bench.query(0, &[0]).1).into_iter().map(|(_, server)| (now, server)));
            bench.now = bench.now.after(ms(20));
        }
        let to_draining: Vec<Time> =
            sent.iter().filter(|(_, server)| *server == 1).map(|(at, _)| *at).collect();
        (to_draining, until, sent.len())
    };
    for (until, relisted) in [(None, false), (None, true), (Some(0), false), (Some(0), true)] {
        assert_eq!(run(until, relisted).0, [], "until {until:?}");
    }
    for relisted in [false, true] {
        let (to_draining, until, all) = run(Some(200), relisted);
        assert!(
            to_draining.len() >= 2 && to_draining.len() < all - to_draining.len(),
            "{} of {all} to the draining server",
            to_draining.len()
        );
        assert!(to_draining.iter().all(|at| Some(*at) < until), "{to_draining:?} until {until:?}");
    }
}

#[test]
fn an_unsafe_part_that_may_have_run_is_neither_resent_nor_refused() {
    let mut settings = settings();
    settings.classes[0].retry_safety = RetrySafety::Unsafe;
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, _) = bench.query(0, &[0]);
    let actions = bench.finish_attempt(id + 1, 0, Verdict::Error, ms(5));
    assert!(sends(&actions).is_empty());
    assert!(has_failure(&actions, id), "{actions:?}");
}

#[test]
fn an_unsafe_part_that_never_ran_is_retried() {
    let mut settings = settings();
    settings.classes[0].retry_safety = RetrySafety::Unsafe;
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, first) = bench.query(0, &[0]);
    let again = bench.finish_attempt(id + 1, 0, Verdict::Rejected, ms(1));
    assert_eq!(sends(&again).len(), 1);
    assert_ne!(sends(&first)[0].1, sends(&again)[0].1);
}

#[test]
fn retries_stay_within_the_budget() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let mut retries = 0;
    for _ in 0..40 {
        let (id, _) = bench.query(0, &[0]);
        for attempt in 0..4 {
            retries += sends(&bench.finish_attempt(id + 1, attempt, Verdict::ConnectionLost, ms(1))).len();
        }
    }
    // 80 queries and parts were accepted: the budget allows 5 retries and a twentieth of those 80.
    assert!((5..=9).contains(&retries), "{retries}");
}

#[test]
fn a_cold_server_is_sent_its_share_at_most() {
    let started = ServerEntry { started: Some(Time(1_000_000_000)), ..up(1) };
    let mut bench = Bench::new(settings(), vec![started]);
    // The limit is 0.2 x 3 core seconds in a second, shared by two front nodes; a part's initial cost is 100
    // ms.
    let sent: usize = (0..50).map(|_| sends(&bench.query(0, &[0]).1).len()).sum();
    assert!((1..=3).contains(&sent), "{sent}");
}

#[test]
fn every_query_ends_exactly_once() {
    let mut bench = Bench::new(settings(), vec![up(1)]);
    let (_, mut actions) = bench.query(0, &[0, 1, 2, 3]);
    for _ in 0..400 {
        actions.extend(bench.wait(ms(10)));
    }
    assert_eq!(count_ended_queries(&actions), 1);
}

#[test]
fn a_class_that_needs_a_share_sends_all_parts_and_answers_from_the_first_served() {
    let mut settings = settings();
    settings.classes[0].need = 0.5;
    settings.classes[0].floor = 0.5;
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, actions) = bench.query(0, &[0, 1, 2, 3]);
    assert_eq!(sends(&actions).len(), 4);
    bench.finish_attempt(id + 1, 0, Verdict::Served, ms(20));
    let actions = bench.finish_attempt(id + 3, 0, Verdict::Served, ms(20));
    assert!(has_answer(&actions, id, true), "{actions:?}");
}

#[test]
fn unknown_ids_are_ignored() {
    let mut bench = Bench::new(settings(), vec![]);
    bench.step(&[
        outcome(9, 3, Verdict::Served, ms(1)),
        Event::ClientGone(QueryId(5)),
        Event::Timer(TimerId(99)),
        Event::Part(Part {
            id: PartId(1),
            query: QueryNumber(4),
            shard: ShardId(77),
            weight: f64::NAN,
            hint: None,
        }),
        Event::ServersFailed,
    ]);
}

#[test]
fn invalid_settings_name_the_field() {
    let mut settings = settings();
    settings.width = 2;
    let error = Router::new(settings, 1).err().expect("must fail");
    assert_eq!(error.field, "width");
}

#[test]
fn unlimited_deadlines_do_not_overflow() {
    let mut settings = settings();
    settings.classes[0].deadline = std::time::Duration::MAX;
    let mut bench = Bench::new(settings, vec![up(1)]);
    for id in [10, 20] {
        let query = Query {
            id: QueryId(id),
            number: QueryNumber(id),
            class: 0,
            tenant: 9,
            key: None,
            is_retry: true,
            time_left: std::time::Duration::MAX,
        };
        let part = Part {
            id: PartId(id + 1),
            query: QueryNumber(id),
            shard: ShardId(0),
            weight: f64::NAN,
            hint: None,
        };
        let mut actions = bench.step(&[Event::Query(query), Event::Part(part)]);
        for _ in 0..110 {
            actions.extend(bench.wait(ms(10)));
        }
        assert_eq!(count_ended_queries(&actions), 1);
    }
}

/// Guards against refusing a class with a short aim next to one with a long aim: with aims of 600 ms and 50
/// s, all 200 queries of the short one were refused, though an idle server served each part in 20 ms. The
/// least predicted time was a fifth of the fit's unit, which is a share of the mean aim, and exceeded the
/// short aim. Each class now has its own.
#[test]
fn a_class_with_a_short_aim_is_served_next_to_one_with_a_long_aim() {
    const QUERIES: u64 = 200;
    const MIN_SHARE_SERVED: f64 = 0.99;
    for (short, long) in [(1000, 60_000), (600, 50_000), (1000, 10_000), (700, 3000)] {
        let mut settings = settings();
        settings.classes =
            [short, long].map(|aim| Class { aim: ms(aim), deadline: ms(aim * 3), ..class() }).to_vec();
        let mut bench = Bench::new(settings, vec![up(1)]);
        let mut served = 0;
        for _ in 0..QUERIES {
            for class in [0, 1] {
                let (query, actions) = bench.query(class, &[0]);
                if sends(&actions).is_empty() {
                    continue;
                }
                bench.now = bench.now.after(ms(20));
                let actions = bench.finish_attempt(query + 1, 0, Verdict::Served, ms(20));
                served += u64::from(has_answer(&actions, query, true));
            }
            bench.wait(ms(100));
        }
        let least = (2.0 * QUERIES as f64 * MIN_SHARE_SERVED) as u64;
        assert!(served >= least, "aims {short} and {long} ms: {served} of {} queries served", 2 * QUERIES);
    }
}
