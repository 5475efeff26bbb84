use super::*;

const MS: u64 = 1_000_000;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// Brokers against a discovery that takes `rate` calls a second in turn and turns those away that would wait
/// for two seconds. Gives when each call was made, and when each broker had its list, in seconds. `silent`: their
/// watches fell silent at the begin; else they start then.
fn herd(brokers: u32, rate: f64, silent: bool) -> (Vec<f64>, Vec<f64>) {
    let start = |n| {
        let mut pace = CallSchedule::new(Time(0), Source::Shared { brokers }, u64::from(n));
        if silent {
            pace.received(Time(0));
            assert!(
                !pace.is_timed_out(Time(0).after(WATCH_TIMEOUT - ms(1)))
                    && pace.is_timed_out(Time(0).after(WATCH_TIMEOUT))
            );
            pace.watch_ended(Time(0).after(WATCH_TIMEOUT));
        }
        pace
    };
    let mut paces: Vec<CallSchedule> = (0..brokers).map(start).collect();
    let seconds = |time: Time| time.since(Time(0)).as_secs_f64();
    let mut calls: Vec<(f64, usize)> = paces.iter().enumerate().map(|(n, p)| (seconds(p.due()), n)).collect();
    let (mut free_at, mut made, mut told) = (0.0_f64, Vec::new(), Vec::new());
    while let Some((next, _)) = calls.iter().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0)) {
        let (at, broker) = calls.swap_remove(next);
        made.push(at);
        let done = free_at.max(at) + 1.0 / rate;
        if done <= at + 2.0 {
            free_at = done;
            told.push(done);
        } else {
            let failed = Time(((at + 2.0) * 1e9) as u64);
            paces[broker].call_started(Time((at * 1e9) as u64));
            paces[broker].watch_ended(failed);
            calls.push((seconds(paces[broker].due()), broker));
        }
    }
    (made, told)
}

// Guards discovery against all brokers at once: those that were killed together asked together, were turned
// away together and came back together, so that most had no list for ten seconds.
#[test]
fn brokers_that_start_together_do_not_ask_together() {
    for brokers in [30, 100, 300] {
        let (made, told) = herd(brokers, 20.0, false);
        let most = (0..60).map(|tenth| f64::from(tenth) / 10.0);
        let most = most.map(|from| made.iter().filter(|at| (from..from + 0.1).contains(*at)).count()).max();
        assert!(most < Some(brokers as usize / 5 + 5), "{most:?} of {brokers} in a tenth of a second");
        assert_eq!(told.len(), brokers as usize);
        // Where discovery takes longer for all than a change may take to be told, no wait may be longer either, and a
        // broker whose turn comes last has asked more often.
        let most = if Duration::from_secs(u64::from(brokers) / 20) <= DELIVERY_DEADLINE { 2.0 } else { 2.2 };
        assert!(made.len() as f64 <= most * told.len() as f64, "{} calls for {brokers} lists", made.len());
    }
}

// Guards drains where watches fall silent: what they miss counts as told 6 s later. Held for dead after 5 s and
// asked again after a back-off, a broker of 300 had its list after 9 s; now all have it in time, from a
// discovery that can take their calls in the time there is.
#[test]
fn a_silent_watch_is_back_before_what_it_missed_counts_as_told() {
    for brokers in [1, 30, 100, 300] {
        let (made, told) = herd(brokers, f64::from(brokers).max(30.0), true);
        let last = told.iter().copied().fold(0.0, f64::max);
        assert!(last < DELIVERY_DEADLINE.as_secs_f64(), "{brokers}: {last} s");
        assert_eq!(made.len(), told.len(), "{brokers}: none is turned away");
        let worst = WATCH_TIMEOUT + AFTER_WATCH + CALL;
        assert!(worst <= DELIVERY_DEADLINE, "{worst:?}");
    }
}

// Guards drains where lists are pushed: what the agent has counts as told whether a watch is open or not. So an
// agent that comes back, with its word, is met within the grace, whatever its silence did to the call before.
#[test]
fn an_agent_that_is_back_is_met_within_the_grace() {
    for (grace, seed) in [(ms(250), 1), (ms(250), 2), (ms(2000), 3), (ms(2000), 4), (ms(100), 5)] {
        let source = Source::Agent { grace };
        for back in [3, 70, 1111, 2500, 9973] {
            let mut pace = CallSchedule::new(Time(0), source, seed);
            let back = Time(back * MS);
            // Each call while it is away stays unanswered; each one after that is answered at once.
            let told = loop {
                let at = pace.due();
                assert!(pace.is_call_due(at));
                pace.call_started(at);
                if at >= back {
                    break at;
                }
                assert!(pace.is_timed_out(pace.due()) && !pace.is_timed_out(pace.due().before(ms(1))));
                pace.watch_ended(pace.due());
            };
            assert!(told.since(back) < grace, "{grace:?}, back at {back:?}: met at {told:?}");
        }
        // A watch that ends while the agent stands is opened anew at once.
        let mut pace = CallSchedule::new(Time(0), source, seed);
        pace.received(Time(MS));
        pace.watch_ended(Time(2 * MS));
        assert!(pace.due().since(Time(2 * MS)) < grace / 4);
    }
}

// Guards the few: one broker, or three, ask as soon as they always did; nor does a pushed list wait.
#[test]
fn few_brokers_ask_at_once() {
    let first = |source| CallSchedule::new(Time(0), source, 7).due();
    assert_eq!(first(Source::Shared { brokers: 1 }), Time(0));
    assert_eq!(first(Source::Agent { grace: ms(250) }), Time(0));
    assert!(first(Source::Shared { brokers: 3 }) <= Time(40 * MS));
    let mut many = CallSchedule::new(Time(0), Source::Shared { brokers: u32::MAX }, 7);
    assert!(many.due() > Time(0));
    many.call_started(Time(1));
    many.watch_ended(Time(2));
    assert!(many.due() > Time(2));
    let mut moved = CallSchedule::new(Time(0), Source::Shared { brokers: 300 }, 7);
    moved.address_changed();
    assert!(moved.is_call_due(Time(0)));
}

// Guards the time in which a broker serves nobody: a silent agent holds it up for a moment, and a discovery that
// is shared does not.
#[test]
fn the_first_list_is_waited_for_no_longer_than_it_helps() {
    assert_eq!(Source::Agent { grace: ms(250) }.first_list_timeout(), ms(125));
    assert_eq!(Source::Agent { grace: ms(2000) }.first_list_timeout(), ms(250));
    assert_eq!(Source::Shared { brokers: 300 }.first_list_timeout(), Duration::ZERO);
}

/// How a call goes wrong: it is turned away at once, nobody answers, or its list begins and stops.
#[derive(Clone, Copy, Debug)]
enum Fails {
    Refused,
    Unanswered,
    Cut,
}

/// Makes the call that is due, and has it fail.
fn fail(pace: &mut CallSchedule, how: Fails) {
    let at = pace.due();
    assert!(pace.is_call_due(at));
    pace.call_started(at);
    let ended = match how {
        Fails::Refused => at,
        Fails::Unanswered => pace.due(),
        Fails::Cut => {
            pace.list_started(at, true);
            // More of it is no sign of life.
            pace.list_started(pace.due().before(ms(1)), true);
            pace.due()
        }
    };
    pace.watch_ended(ended);
}

const SOURCES: [Source; 9] = [
    Source::Agent { grace: Duration::from_millis(20) },
    Source::Agent { grace: Duration::from_millis(250) },
    Source::Agent { grace: Duration::from_secs(2) },
    Source::Agent { grace: Duration::from_secs(16) },
    Source::Shared { brokers: 1 },
    Source::Shared { brokers: 3 },
    Source::Shared { brokers: 30 },
    Source::Shared { brokers: 300 },
    Source::Shared { brokers: u32::MAX },
];

// Guards drains against back-off: however many calls have failed, and however, once discovery can be reached what it
// has is asked for so early that the longest answer comes within 6 s. The call under way at that moment may still fail.
#[test]
fn whatever_failed_before_a_change_is_told_within_six_seconds() {
    for source in SOURCES {
        for (seed, how) in
            (0..40).flat_map(|s| [Fails::Refused, Fails::Unanswered, Fails::Cut].map(|how| (s, how)))
        {
            let mut pace = CallSchedule::new(Time(0), source, seed);
            pace.received(Time(0));
            pace.watch_ended(Time(MS));
            for before in 0..12 {
                // It can be reached from the moment on in which this call was made, and the call fails all the same.
                let back = pace.due();
                let mut last = pace.clone();
                fail(&mut last, how);
                let told = last.due().after(CALL);
                assert!(
                    told.since(back) <= DELIVERY_DEADLINE,
                    "{source:?} {how:?} {before}: {:?}",
                    told.since(back)
                );
                fail(&mut pace, how);
            }
        }
    }
}

// Guards drains against a watch that falls silent, ends or stops in the middle of a list, with the next call failing
// too: the call after that has a second and more for its answer within the 6 s. The sums of the constants say so.
#[test]
fn a_watch_and_the_next_call_may_fail_within_the_six_seconds() {
    let worst = WATCH_TIMEOUT + AFTER_WATCH + FIRST_CALL + BACK_OFF[0];
    assert!(worst + Duration::from_secs(1) <= DELIVERY_DEADLINE, "{worst:?}");
    assert!(WATCH_TIMEOUT + LIST + AFTER_WATCH + FIRST_CALL <= DELIVERY_DEADLINE);
    for source in SOURCES {
        for (seed, how) in (0..40).flat_map(|s| [Fails::Refused, Fails::Unanswered].map(|how| (s, how))) {
            let mut pace = CallSchedule::new(Time(0), source, seed);
            pace.received(Time(MS));
            let silent = Time(MS);
            let over = pace.due();
            assert!(pace.is_timed_out(over) && over.since(silent) == WATCH_TIMEOUT);
            pace.watch_ended(over);
            fail(&mut pace, how);
            let told = pace.due().after(Duration::from_secs(1));
            assert!(told.since(silent) <= DELIVERY_DEADLINE, "{source:?} {how:?}: {:?}", told.since(silent));
            // One that stops in the middle of a list is given up, however long its bytes trickle in.
            let mut pace = CallSchedule::new(Time(0), source, seed);
            pace.received(Time(0));
            pace.list_started(Time(0).after(WATCH_TIMEOUT).before(ms(1)), false);
            pace.list_started(pace.due().before(ms(1)), false);
            pace.watch_ended(pace.due());
            let told = pace.due().after(FIRST_CALL);
            assert!(told.since(Time(0)) <= DELIVERY_DEADLINE, "{source:?}: {:?}", told.since(Time(0)));
        }
    }
}

// Guards long lists on a slow way: a first list that is cut again and again gets more time with each call.
#[test]
fn a_first_list_that_takes_long_gets_more_time() {
    let mut pace = CallSchedule::new(Time(0), Source::Agent { grace: ms(250) }, 1);
    let mut limits = Vec::new();
    for _ in 0..6 {
        pace.call_started(pace.due());
        let begun = pace.due().before(ms(1));
        pace.list_started(begun, true);
        limits.push(pace.due().since(begun));
        pace.watch_ended(pace.due());
    }
    assert_eq!(limits, [125, 250, 500, 1000, 2000, 2000].map(ms));
    pace.call_started(pace.due());
    pace.received(pace.due());
    assert_eq!((pace.failed, pace.cut), (0, 0));
}
