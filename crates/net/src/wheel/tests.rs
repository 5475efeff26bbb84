use super::*;

// Guards against timers that expire early, are lost beyond one revolution of the wheel, or expire out of
// order.
#[test]
fn timers_expire_in_order_never_early_and_beyond_one_revolution() {
    let ms = |ms: u64| Time(ms * 1_000_000);
    let mut wheel = TimerWheel::new(ms(7));
    let mut due = Vec::new();
    wheel.arm(ms(5000), "far");
    wheel.arm(Time(20_500_000), "between ticks");
    wheel.arm(ms(12), "near");
    wheel.arm(ms(3), "past");
    assert_eq!(wheel.next(), Some(ms(7)));
    wheel.expire(Time(20_900_000), &mut due);
    assert_eq!(due, ["past", "near"]);
    assert_eq!(wheel.next(), Some(ms(21)));
    wheel.expire(ms(21), &mut due);
    assert_eq!(due.split_off(2), ["between ticks"]);
    wheel.expire(wheel.next().expect("one is left"), &mut due);
    wheel.expire(ms(4999), &mut due);
    assert_eq!(due.len(), 2);
    wheel.expire(ms(9000), &mut due);
    assert_eq!((due.pop(), wheel.next()), (Some("far"), None));
}
