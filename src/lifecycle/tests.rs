use super::*;
use crate::interface::RetrySafety;

fn classes(aim_ms: u64, deadline_ms: u64) -> Vec<Class> {
    let [aim, deadline] = [aim_ms, deadline_ms].map(Duration::from_millis);
    let (worth, late_share, retry_safety, need) = (1.0, 0.0, RetrySafety::Safe, 1.0);
    vec![Class {
        aim,
        deadline,
        worth,
        late_share,
        retry_safety,
        need,
        floor: 1.0,
        partial_worth: 0.0,
        follow_up: 0,
    }]
}

fn at(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

fn stopped(aim_ms: u64, deadline_ms: u64) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    lifecycle.started();
    assert!(lifecycle.stop(at(0), &classes(aim_ms, deadline_ms)));
    lifecycle
}

// Guards against a broker that is killed while it owes responses, 0.7 s after the longest deadline or after
// 3.7 s. Whatever the settings, all responses are sent and all connections closed before that.
#[test]
fn all_responses_are_sent_before_the_process_may_be_killed() {
    for (aim, deadline) in [(500, 3000), (2000, 6000), (100, 400), (1000, 1000), (30_000, 60_000)] {
        let mut lifecycle = stopped(aim, deadline);
        let killed = at(deadline.min(3000) + 700);
        assert!(
            lifecycle.shutdown_deadline < killed && lifecycle.keep_idle_until <= lifecycle.shutdown_deadline
        );
        assert!(lifecycle.listen_until <= at(500));
        lifecycle.advance(lifecycle.keep_idle_until);
        assert_eq!(lifecycle.phase(), Phase::Closing, "{aim} {deadline}");
        // A connection closed at the last moment lingers no longer than the shutdown deadline.
        lifecycle.check_completion(lifecycle.shutdown_deadline, false, false, true);
        let due = lifecycle.next_transition().expect("it lingers");
        assert!(due <= lifecycle.shutdown_deadline, "{due:?}");
        lifecycle.advance(due);
        assert_eq!(lifecycle.phase(), Phase::Ended);
    }
}

// A second SIGTERM has no effect; one during the start ends the process, and a late end of the start changes
// nothing.
#[test]
fn sigterm_acts_once_and_ends_a_process_that_is_still_starting() {
    let mut early = Lifecycle::default();
    assert!(early.stop(at(0), &classes(500, 3000)));
    assert_eq!(early.phase(), Phase::Ended);
    early.started();
    assert_eq!(early.phase(), Phase::Ended);
    let mut twice = stopped(500, 3000);
    let before = (twice.keep_idle_until, twice.shutdown_deadline);
    assert!(!twice.stop(at(400), &classes(500, 3000)));
    assert_eq!((twice.keep_idle_until, twice.shutdown_deadline), before);
}

// The process must not end while a response is outstanding or new connections are accepted. If time is left
// it keeps serving, and it ends early only if all clients have left.
#[test]
fn the_process_ends_once_nothing_is_pending_and_not_before() {
    let mut lifecycle = stopped(500, 3000);
    for (listening, responses_pending, clients_connected) in
        [(true, false, false), (false, true, true), (false, false, true)]
    {
        lifecycle.check_completion(at(600), listening, responses_pending, clients_connected);
        assert_eq!(lifecycle.phase(), Phase::Stopping);
    }
    let mut without_clients = lifecycle;
    without_clients.check_completion(at(600), false, false, false);
    assert_eq!(without_clients.phase(), Phase::Ended);
    lifecycle.advance(at(2500));
    assert!(lifecycle.is_closing());
    lifecycle.check_completion(at(2500), false, true, true);
    assert_eq!(lifecycle.phase(), Phase::Closing);
    lifecycle.check_completion(at(2600), false, false, true);
    assert_eq!((lifecycle.phase(), lifecycle.next_transition()), (Phase::Lingering, Some(at(2800))));
    lifecycle.check_completion(at(2700), false, false, false);
    assert_eq!(lifecycle.phase(), Phase::Ended);
}

// A drain lets clients leave without ending the process; starting and ending it are idempotent, also in quick
// turns.
#[test]
fn a_drain_and_its_end_are_idempotent() {
    let mut lifecycle = Lifecycle::default();
    assert!(!lifecycle.drain(at(0)) && !lifecycle.resume(), "clients are not accepted yet");
    lifecycle.started();
    assert!(!lifecycle.resume());
    for turn in 0..3 {
        let now = at(turn * 10);
        assert!(lifecycle.drain(now) && !lifecycle.drain(now.after(Duration::from_millis(5))));
        assert_eq!(
            lifecycle.drain_idle_until,
            now.after(DRAIN_IDLE_TIME),
            "a second call does not postpone it"
        );
        assert!(lifecycle.is_closing() && !lifecycle.is_serving() && !lifecycle.is_stopping());
        lifecycle.check_completion(now, false, false, false);
        assert_eq!(lifecycle.phase(), Phase::Drained, "a drained process does not end");
        assert!(lifecycle.resume() && !lifecycle.resume());
        assert!(lifecycle.is_serving() && !lifecycle.is_closing());
    }
}

// SIGTERM during a drain: clients were already told to leave, so only the last accepted connections are
// waited for. No drain starts or ends after SIGTERM.
#[test]
fn sigterm_during_a_drain_ends_the_process() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.started();
    lifecycle.drain(at(0));
    assert!(lifecycle.stop(at(100), &classes(500, 3000)));
    assert_eq!((lifecycle.phase(), lifecycle.listen_until), (Phase::Closing, at(600)));
    assert!(!lifecycle.resume() && !lifecycle.drain(at(200)));
    lifecycle.check_completion(at(1099), false, false, true);
    assert_eq!(lifecycle.phase(), Phase::Closing, "the clients accepted last may still send a request");
    lifecycle.check_completion(at(1100), false, false, true);
    assert_eq!(lifecycle.phase(), Phase::Lingering);
}

// Guards clients accepted just before listening stops: they get time for a first request, even if aims leave
// no time to keep serving. Short deadlines limit that time.
#[test]
fn a_first_request_may_arrive_after_listening_has_ended() {
    for (deadline, until) in [(3000, 1000), (400, 900)] {
        let mut lifecycle = stopped(5000, deadline);
        assert_eq!((lifecycle.phase(), lifecycle.listen_until), (Phase::Closing, at(500)));
        lifecycle.check_completion(at(until - 1), false, false, true);
        assert_eq!(lifecycle.phase(), Phase::Closing);
        lifecycle.check_completion(at(until), false, false, true);
        assert_eq!(lifecycle.phase(), Phase::Lingering);
    }
}

// After a hand-over each response closes its connection, and idle connections are kept open as long as there
// is time to answer what they may still send.
#[test]
fn after_a_hand_over_responses_close_their_connections() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.started();
    lifecycle.set_handed_over(true);
    assert!(lifecycle.is_serving() && !lifecycle.is_closing());
    assert!(lifecycle.stop(at(0), &classes(500, 3000)));
    assert_eq!((lifecycle.phase(), lifecycle.listen_until), (Phase::Closing, at(0)));
    assert!(lifecycle.is_available() && !lifecycle.is_serving(), "the broker is up, in another process");
    lifecycle.check_completion(at(10), false, false, true);
    assert_eq!(lifecycle.phase(), Phase::Closing, "idle clients have time");
    lifecycle.check_completion(lifecycle.keep_idle_until, false, false, true);
    assert_eq!(lifecycle.phase(), Phase::Lingering);
}

// A client accepted just before the hand-over may send its first request after SIGTERM, even if aims leave no
// more time.
#[test]
fn after_a_hand_over_a_first_request_may_still_arrive() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.started();
    lifecycle.set_handed_over(true);
    assert!(lifecycle.stop(at(0), &classes(5000, 3000)));
    assert_eq!((lifecycle.phase(), lifecycle.keep_idle_until), (Phase::Closing, at(500)));
    lifecycle.check_completion(at(499), false, false, true);
    assert_eq!(lifecycle.phase(), Phase::Closing);
    lifecycle.check_completion(at(500), false, false, true);
    assert_eq!(lifecycle.phase(), Phase::Lingering);
}

// A readiness request that reaches the old process over a kept connection is about the broker, which is
// available as long as one of its processes accepts clients.
#[test]
fn a_broker_is_available_while_any_of_its_processes_accepts_clients() {
    let mut lifecycle = Lifecycle::default();
    assert!(!lifecycle.is_available());
    lifecycle.started();
    assert!(lifecycle.is_available());
    lifecycle.drain(at(0));
    assert!(!lifecycle.is_available());
    lifecycle.resume();
    lifecycle.set_handed_over(true);
    lifecycle.stop(at(0), &classes(500, 3000));
    assert!(lifecycle.is_available());
    lifecycle.set_handed_over(false);
    assert!(!lifecycle.is_available(), "the successor has ended");
}
