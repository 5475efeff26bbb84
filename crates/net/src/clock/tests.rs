use super::*;

// Guards against an inaccurate or unstable mapping of Unix times, which makes cold servers look warm or
// restarted.
#[test]
fn unix_times_map_to_fixed_readings() {
    let clock = Clock::start();
    let unix = clock.unix_at_start.as_millis() as u64;
    let at = clock.from_unix_ms(unix - 4000).expect("4 s before the start");
    let age = clock.now().since(at);
    assert!(age >= Duration::from_secs(4), "{age:?}");
    assert_eq!(clock.from_unix_ms(unix - 4000), Some(at));
    assert_eq!((clock.from_unix_ms(0), clock.from_unix_ms(1)), (None, None));
    assert!(clock.from_unix_ms(unix + 60_000).is_some_and(|at| at > clock.now()));
}
