//! The ordinary path and the six rules, one small case each.

mod common;

use badgergauge::*;
use common::*;

#[test]
fn answers_whole_when_every_part_is_in() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let (id, actions) = bench.query(0, &[0, 1]);
    assert_eq!(sends(&actions).len(), 2);
    bench.now = bench.now.after(ms(50));
    assert_eq!(ends(&bench.end(id + 1, 0, Verdict::Served, ms(50))), 0);
    let actions = bench.end(id + 2, 0, Verdict::Served, ms(50));
    assert!(answers(&actions, id, true));
}

#[test]
fn refuses_at_once_and_sends_nothing_when_a_needed_part_has_no_replica() {
    let mut settings = settings();
    settings.cells = 2;
    let mut bench = Bench::new(settings, vec![up(1)]);
    let (id, actions) = bench.query(0, &[0, 1]);
    assert!(sends(&actions).is_empty());
    let refused = actions
        .iter()
        .any(|a| matches!(a, Action::Refuse { query, retry_after: hold_off, .. } if query.0 == id && !hold_off.is_zero()));
    assert!(refused, "{actions:?}");
}

#[test]
fn a_partial_class_is_answered_from_the_parts_that_came_by_the_aim() {
    let mut settings = settings();
    settings.classes[0].floor = 0.5;
    settings.classes[0].partial_worth = 0.8;
    let mut bench = Bench::new(settings, vec![up(1)]);
    let (id, _) = bench.query(0, &[0, 1]);
    bench.now = bench.now.after(ms(50));
    assert_eq!(ends(&bench.end(id + 1, 0, Verdict::Served, ms(50))), 0);
    let mut actions = Vec::new();
    for _ in 0..95 {
        actions.extend(bench.wait(ms(10)));
    }
    assert!(answers(&actions, id, false), "{actions:?}");
    assert!(bench.now <= Time(2_000_000_000));
}

#[test]
fn nothing_goes_to_a_draining_server() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let draining = ServerEntry { state: ServerState::Draining, ..up(1) };
    bench.step(&[Event::ServersChanged(vec![draining])]);
    for _ in 0..20 {
        let (_, actions) = bench.query(0, &[0]);
        assert!(sends(&actions).iter().all(|&(_, server)| server == 2));
    }
}

/// A release left one holder of three: it was sent all, fell behind, and a third of the queries was refused for a
/// second, while the one that drained stood idle for the rest of its grace. Within what is left of that it takes what
/// the other would take much longer for; after it, and where nobody said until when, nothing.
#[test]
fn a_draining_server_takes_what_another_is_too_slow_for_and_only_while_it_may() {
    let settings = Settings { budget: None, hedging: false, ..settings() };
    let play = |until: Option<u64>, later: bool| {
        let mut bench = Bench::new(settings.clone(), vec![up(1), up(2)]);
        let until = until.map(|span| bench.now.after(ms(span)));
        let draining = ServerEntry { state: ServerState::Draining, send_until: until, ..up(1) };
        bench.step(&[Event::ServersChanged(vec![draining.clone()])]);
        if later {
            // The list says so again: what was told first counts.
            let until = Some(bench.now.after(ms(60_000)));
            bench.step(&[Event::ServersChanged(vec![ServerEntry { send_until: until, ..draining }])]);
        }
        let mut sent = Vec::new();
        for _ in 0..20 {
            let now = bench.now;
            sent.extend(sends(&bench.query(0, &[0]).1).into_iter().map(|(_, server)| (now, server)));
            bench.now = bench.now.after(ms(20));
        }
        let old: Vec<Time> = sent.iter().filter(|(_, server)| *server == 1).map(|(at, _)| *at).collect();
        (old, until, sent.len())
    };
    for (until, later) in [(None, false), (None, true), (Some(0), false), (Some(0), true)] {
        assert_eq!(play(until, later).0, [], "until {until:?}");
    }
    for later in [false, true] {
        let (old, until, all) = play(Some(200), later);
        assert!(old.len() >= 2 && old.len() < all - old.len(), "{} of {all} to the old one", old.len());
        assert!(old.iter().all(|at| Some(*at) < until), "{old:?} until {until:?}");
    }
}

#[test]
fn an_unsafe_part_that_may_have_run_is_neither_resent_nor_refused() {
    let mut settings = settings();
    settings.classes[0].retry_safety = RetrySafety::Unsafe;
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, _) = bench.query(0, &[0]);
    let actions = bench.end(id + 1, 0, Verdict::Error, ms(5));
    assert!(sends(&actions).is_empty());
    assert!(fails(&actions, id), "{actions:?}");
}

#[test]
fn an_unsafe_part_that_never_ran_is_tried_again() {
    let mut settings = settings();
    settings.classes[0].retry_safety = RetrySafety::Unsafe;
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, first) = bench.query(0, &[0]);
    let again = bench.end(id + 1, 0, Verdict::Rejected, ms(1));
    assert_eq!(sends(&again).len(), 1);
    assert_ne!(sends(&first)[0].1, sends(&again)[0].1);
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut bench = Bench::new(settings(), vec![up(1), up(2)]);
    let mut further = 0;
    for _ in 0..40 {
        let (id, _) = bench.query(0, &[0]);
        for attempt in 0..4 {
            further += sends(&bench.end(id + 1, attempt, Verdict::ConnectionLost, ms(1))).len();
        }
    }
    // 80 requests taken: 5 and a twentieth of them.
    assert!((5..=9).contains(&further), "{further}");
}

#[test]
fn a_cold_server_gets_its_share_at_most() {
    let started = ServerEntry { started: Some(Time(1_000_000_000)), ..up(1) };
    let mut bench = Bench::new(settings(), vec![started]);
    // Room of 0.2 x 3 cores for a second, shared by two front nodes; parts count 100 ms at the start.
    let sent: usize = (0..50).map(|_| sends(&bench.query(0, &[0]).1).len()).sum();
    assert!((1..=3).contains(&sent), "{sent}");
}

#[test]
fn every_query_ends_once_before_its_client_leaves() {
    let mut bench = Bench::new(settings(), vec![up(1)]);
    let (_, mut actions) = bench.query(0, &[0, 1, 2, 3]);
    for _ in 0..400 {
        actions.extend(bench.wait(ms(10)));
    }
    assert_eq!(ends(&actions), 1);
}

#[test]
fn a_class_that_needs_a_share_sends_all_and_answers_from_the_first() {
    let mut settings = settings();
    settings.classes[0].need = 0.5;
    settings.classes[0].floor = 0.5;
    let mut bench = Bench::new(settings, vec![up(1), up(2)]);
    let (id, actions) = bench.query(0, &[0, 1, 2, 3]);
    assert_eq!(sends(&actions).len(), 4);
    bench.end(id + 1, 0, Verdict::Served, ms(20));
    let actions = bench.end(id + 3, 0, Verdict::Served, ms(20));
    assert!(answers(&actions, id, true), "{actions:?}");
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
fn impossible_settings_name_the_field() {
    let mut settings = settings();
    settings.width = 2;
    let error = Router::new(settings, 1).err().expect("must fail");
    assert_eq!(error.field, "width");
}

#[test]
fn spans_without_end_do_no_harm() {
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
        assert_eq!(ends(&actions), 1);
    }
}

/// What was seen: beside a class with an aim of 50 s, one with an aim of 600 ms was refused 200 times of 200, though an
/// idle server served each part in 20 ms. Why: no part was predicted to take under a fifth of the unit, which is a
/// share of the mean aim of all classes. With aims far apart that floor alone was more than the short aim allows. Each
/// class now has a floor of its own.
#[test]
fn a_class_with_a_short_aim_is_served_at_rest_beside_one_with_a_long_aim() {
    const QUERIES: u64 = 200;
    const SHARE_SERVED: f64 = 0.99;
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
                let actions = bench.end(query + 1, 0, Verdict::Served, ms(20));
                served += u64::from(answers(&actions, query, true));
            }
            bench.wait(ms(100));
        }
        let least = (2.0 * QUERIES as f64 * SHARE_SERVED) as u64;
        assert!(served >= least, "aims {short} and {long} ms: {served} of {} queries served", 2 * QUERIES);
    }
}
