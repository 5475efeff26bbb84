use super::*;

/// Nanoseconds per millisecond.
const MS: u64 = 1_000_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Simulates brokers that call a discovery which serves `rate` calls per second one after the other, and
/// rejects calls that would wait for more than 2 s. Returns the times at which calls were made and at which
/// brokers received their list, in seconds. At time 0 the brokers' watches become silent if `silent` is set;
/// otherwise the brokers start.
fn simulate_brokers(brokers: u32, rate: f64, silent: bool) -> (Vec<f64>, Vec<f64>) {
    let start = |n| {
        let mut schedule = CallSchedule::new(Time(0), Source::Shared { brokers }, u64::from(n));
        if silent {
            schedule.received(Time(0));
            assert!(
                !schedule.is_timed_out(Time(0).after(WATCH_TIMEOUT - ms(1)))
                    && schedule.is_timed_out(Time(0).after(WATCH_TIMEOUT))
            );
            schedule.watch_ended(Time(0).after(WATCH_TIMEOUT));
        }
        schedule
    };
    let mut schedules: Vec<CallSchedule> = (0..brokers).map(start).collect();
    let seconds = |time: Time| time.since(Time(0)).as_secs_f64();
    let mut calls: Vec<(f64, usize)> =
        schedules.iter().enumerate().map(|(n, schedule)| (seconds(schedule.due()), n)).collect();
    let (mut free_at, mut made, mut delivered) = (0.0_f64, Vec::new(), Vec::new());
    while let Some((next, _)) = calls.iter().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0)) {
        let (at, broker) = calls.swap_remove(next);
        made.push(at);
        let served = free_at.max(at) + 1.0 / rate;
        if served <= at + 2.0 {
            free_at = served;
            delivered.push(served);
        } else {
            let failed = Time(((at + 2.0) * 1e9) as u64);
            schedules[broker].call_started(Time((at * 1e9) as u64));
            schedules[broker].watch_ended(failed);
            calls.push((seconds(schedules[broker].due()), broker));
        }
    }
    (made, delivered)
}

// Guards discovery against simultaneous calls from all brokers: brokers that were killed together called
// together, were rejected together and retried together, so that most had no list for 10 s.
#[test]
fn brokers_that_start_together_spread_their_calls() {
    for brokers in [30, 100, 300] {
        let (made, delivered) = simulate_brokers(brokers, 20.0, false);
        let starts = (0..60).map(|tenth| f64::from(tenth) / 10.0);
        let most = starts.map(|from| made.iter().filter(|at| (from..from + 0.1).contains(*at)).count()).max();
        assert!(most < Some(brokers as usize / 5 + 5), "{most:?} of {brokers} brokers called within 0.1 s");
        assert_eq!(delivered.len(), brokers as usize);
        // If discovery needs longer for all brokers than the delivery deadline, delays are still bound by the
        // deadline, so the brokers that are served last call more often.
        let most = if Duration::from_secs(u64::from(brokers) / 20) <= DELIVERY_DEADLINE { 2.0 } else { 2.2 };
        assert!(
            made.len() as f64 <= most * delivered.len() as f64,
            "{} calls for {brokers} lists",
            made.len()
        );
    }
}

// Guards drains when watches become silent: missed changes are deemed delivered 6 s later. With a watch
// timeout of 5 s followed by a backoff, one of 300 brokers had its list only after 9 s. All must have it
// within the deadline if discovery can serve their calls in that time.
#[test]
fn a_silent_watch_is_replaced_within_the_delivery_deadline() {
    for brokers in [1, 30, 100, 300] {
        let (made, delivered) = simulate_brokers(brokers, f64::from(brokers).max(30.0), true);
        let last = delivered.iter().copied().fold(0.0, f64::max);
        assert!(
            last < DELIVERY_DEADLINE.as_secs_f64(),
            "{brokers} brokers: the last list came after {last} s"
        );
        assert_eq!(made.len(), delivered.len(), "{brokers} brokers: a call was rejected");
        let worst = WATCH_TIMEOUT + MAX_RECONNECT_SPREAD + CALL_TIMEOUT;
        assert!(worst <= DELIVERY_DEADLINE, "{worst:?}");
    }
}

// Guards drains with pushed lists: what the agent has is deemed delivered whether or not a watch is open. An
// agent that has come back must therefore be reached within the grace, even if the previous call was still
// waiting for it.
#[test]
fn an_agent_that_has_come_back_is_reached_within_the_grace() {
    for (grace, seed) in [(ms(250), 1), (ms(250), 2), (ms(2000), 3), (ms(2000), 4), (ms(100), 5)] {
        let source = Source::Agent { grace };
        for back in [3, 70, 1111, 2500, 9973] {
            let mut schedule = CallSchedule::new(Time(0), source, seed);
            let back = Time(back * MS);
            // Calls made while the agent is away stay unanswered; later ones are answered at once.
            let reached = loop {
                let at = schedule.due();
                assert!(schedule.is_call_due(at));
                schedule.call_started(at);
                if at >= back {
                    break at;
                }
                assert!(
                    schedule.is_timed_out(schedule.due())
                        && !schedule.is_timed_out(schedule.due().before(ms(1)))
                );
                schedule.watch_ended(schedule.due());
            };
            assert!(reached.since(back) < grace, "{grace:?}, back at {back:?}: reached at {reached:?}");
        }
        // A watch that ends while the agent is running is reopened quickly.
        let mut schedule = CallSchedule::new(Time(0), source, seed);
        schedule.received(Time(MS));
        schedule.watch_ended(Time(2 * MS));
        assert!(schedule.due().since(Time(2 * MS)) < grace / 4);
    }
}

// Guards small installations against needless delays: one broker or a broker with an agent calls at once,
// three brokers within 40 ms.
#[test]
fn few_brokers_call_without_delay() {
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

// Guards the start-up time: a silent agent delays it only briefly, and a shared discovery does not delay it.
#[test]
fn the_wait_for_the_first_list_is_bounded() {
    assert_eq!(Source::Agent { grace: ms(250) }.first_list_timeout(), ms(125));
    assert_eq!(Source::Agent { grace: ms(2000) }.first_list_timeout(), ms(250));
    assert_eq!(Source::Shared { brokers: 300 }.first_list_timeout(), Duration::ZERO);
}

/// How a call fails: it is refused at once, it is not answered, or its first list stops in the middle.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Refused,
    Unanswered,
    Incomplete,
}

/// Makes the call that is due and lets it fail.
fn fail_call(schedule: &mut CallSchedule, how: Failure) {
    let at = schedule.due();
    assert!(schedule.is_call_due(at));
    schedule.call_started(at);
    let ended = match how {
        Failure::Refused => at,
        Failure::Unanswered => schedule.due(),
        Failure::Incomplete => {
            schedule.list_started(at, true);
            // Further parts of the list do not extend the timeout.
            schedule.list_started(schedule.due().before(ms(1)), true);
            schedule.due()
        }
    };
    schedule.watch_ended(ended);
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

// Guards drains against long backoffs: however many calls have failed and in whatever way, once discovery can
// be reached the next call is made early enough that even the slowest answer arrives within 6 s. The call in
// progress at that moment may still fail.
#[test]
fn changes_are_delivered_within_the_deadline_after_any_failures() {
    for source in SOURCES {
        for (seed, how) in (0..40)
            .flat_map(|s| [Failure::Refused, Failure::Unanswered, Failure::Incomplete].map(|how| (s, how)))
        {
            let mut schedule = CallSchedule::new(Time(0), source, seed);
            schedule.received(Time(0));
            schedule.watch_ended(Time(MS));
            for before in 0..12 {
                // Discovery can be reached from the moment of this call, but the call still fails.
                let back = schedule.due();
                let mut last = schedule.clone();
                fail_call(&mut last, how);
                let delivered = last.due().after(CALL_TIMEOUT);
                assert!(
                    delivered.since(back) <= DELIVERY_DEADLINE,
                    "{source:?} {how:?} {before}: {:?}",
                    delivered.since(back)
                );
                fail_call(&mut schedule, how);
            }
        }
    }
}

// Guards drains against a watch that becomes silent, ends or stops in the middle of a list when the next call
// fails as well: the call after that must have at least 1 s for its answer within the 6 s. The sums of the
// constants must allow for it.
#[test]
fn a_failed_watch_and_a_failed_call_fit_into_the_delivery_deadline() {
    let worst = WATCH_TIMEOUT + MAX_RECONNECT_SPREAD + FIRST_CALL_TIMEOUT + MIN_BACKOFF;
    assert!(worst + Duration::from_secs(1) <= DELIVERY_DEADLINE, "{worst:?}");
    assert!(WATCH_TIMEOUT + LIST_TIMEOUT + MAX_RECONNECT_SPREAD + FIRST_CALL_TIMEOUT <= DELIVERY_DEADLINE);
    for source in SOURCES {
        for (seed, how) in (0..40).flat_map(|s| [Failure::Refused, Failure::Unanswered].map(|how| (s, how))) {
            let mut schedule = CallSchedule::new(Time(0), source, seed);
            schedule.received(Time(MS));
            let last_received = Time(MS);
            let timed_out = schedule.due();
            assert!(schedule.is_timed_out(timed_out) && timed_out.since(last_received) == WATCH_TIMEOUT);
            schedule.watch_ended(timed_out);
            fail_call(&mut schedule, how);
            let delivered = schedule.due().after(Duration::from_secs(1));
            let delay = delivered.since(last_received);
            assert!(delay <= DELIVERY_DEADLINE, "{source:?} {how:?}: {delay:?}");
            // A watch that stalls in the middle of a list times out, even if single bytes keep arriving.
            let mut schedule = CallSchedule::new(Time(0), source, seed);
            schedule.received(Time(0));
            schedule.list_started(Time(0).after(WATCH_TIMEOUT).before(ms(1)), false);
            schedule.list_started(schedule.due().before(ms(1)), false);
            schedule.watch_ended(schedule.due());
            let delivered = schedule.due().after(FIRST_CALL_TIMEOUT);
            let delay = delivered.since(Time(0));
            assert!(delay <= DELIVERY_DEADLINE, "{source:?}: {delay:?}");
        }
    }
}

// Guards long lists on slow connections: the timeout of the first list grows with each call that did not
// complete it.
#[test]
fn the_timeout_of_the_first_list_grows_with_each_incomplete_one() {
    let mut schedule = CallSchedule::new(Time(0), Source::Agent { grace: ms(250) }, 1);
    let mut timeouts = Vec::new();
    for _ in 0..6 {
        schedule.call_started(schedule.due());
        let started = schedule.due().before(ms(1));
        schedule.list_started(started, true);
        timeouts.push(schedule.due().since(started));
        schedule.watch_ended(schedule.due());
    }
    assert_eq!(timeouts, [125, 250, 500, 1000, 2000, 2000].map(ms));
    schedule.call_started(schedule.due());
    schedule.received(schedule.due());
    assert_eq!((schedule.failed_calls, schedule.incomplete_lists), (0, 0));
}
