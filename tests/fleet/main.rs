//! Fleets of the program as processes, with faults between them. Each test asserts figures of the whole fleet, and
//! shows that they fail where the part that they rest on is taken away.

mod held_up;
mod soak;

use std::path::Path;
use std::sync::{Condvar, Mutex, PoisonError};

use badgergauge_fleet::record::{Record, Row};
use badgergauge_fleet::run::{self, Options};
use badgergauge_fleet::scenario::Scenario;
use serde_json::json;

/// A fleet keeps this many cores busy at its peaks: no more are played side by side, so that none waits for another.
const CORES_PER_FLEET: usize = 2;

/// Fleets that are being played.
static PLAYING: Mutex<usize> = Mutex::new(0);
static PLAYED: Condvar = Condvar::new();

/// A place for one fleet beside the others.
struct Place;

impl Place {
    /// Waits for a place.
    fn take() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let most = (cores / CORES_PER_FLEET).max(1);
        let playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut playing =
            PLAYED.wait_while(playing, |playing| *playing >= most).unwrap_or_else(PoisonError::into_inner);
        *playing += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *PLAYING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        PLAYED.notify_one();
    }
}

/// Plays a fleet.
fn fleet(name: &str, scenario: &str, change: impl FnOnce(&mut Options)) -> Record {
    let dir = std::env::temp_dir().join(format!("badgergauge-fleet-{}-{name}", std::process::id()));
    let mut options = Options::new(Path::new(env!("CARGO_BIN_EXE_badgergauge")), &dir, name);
    let _place = Place::take();
    // A run of a few seconds has few to hold it for.
    options.full_service_hold = 3;
    change(&mut options);
    let scenario = Scenario::read(Path::new(name), scenario).expect("sound");
    let record = run::run(&scenario, &options).expect("the harness does its part");
    let _ = std::fs::remove_dir_all(&dir);
    record
}

fn rules(record: &Record) -> Vec<&str> {
    record.broken.iter().map(|broken| broken.rule.as_str()).collect()
}

fn sum(record: &Record, of: impl Fn(&Row) -> u32) -> u32 {
    record.rows.iter().map(of).sum()
}

fn most(record: &Record, of: impl Fn(&Row) -> u32) -> u32 {
    record.rows.iter().map(of).max().unwrap_or(0)
}

fn strain(record: &Record) -> f64 {
    record.rows.iter().map(|row| row.strain).fold(0.0, f64::max)
}

const HERD: &str = "
brokers: 8
servers: 6
zones: 2
rate: 15
seconds: 10
on_request: true
events:
  - {at: 3, turn_away: {for_s: 4}}
  - {at: 3, kill: {share: 0.7, back_s: 0.3}}
";

// Six of eight brokers are killed at once while discovery turns callers away. The list that they start on, stale as
// it is, brings the fleet back within 3 s; without it, it is not back before discovery is.
#[test]
fn a_herd_of_restarted_brokers_is_back_before_discovery_is() {
    let record = fleet("herd", HERD, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert!(record.full_service_s.is_some_and(|took| took <= 3.0), "{:?} s", record.full_service_s);
    // Each broker that waits for the list asks at most thrice in its first second, and seldomer from then on.
    let calls = most(&record, |row| row.list_calls);
    assert!((6..=3 * 8).contains(&calls), "{calls} calls for the list in a second");
    // A server has each broker connect again, and some once more as connections stand idle: not many times each.
    let hands = most(&record, |row| row.handshakes_most);
    assert!(hands <= 8 * 6, "{hands} handshakes at one server in a second");
    let blind = fleet("blind", HERD, |options| options.has_initial_list = false);
    assert!(
        blind.full_service_s.is_none_or(|took| took > 3.0),
        "{:?} s without a list",
        blind.full_service_s
    );
}

const ROLL: &str = "
brokers: 8
servers: 6
zones: 2
cells: 3
rate: 15
seconds: 12
tile: {cold_s: 4}
events:
  - {at: 2, roll: {share: 0.25, every_s: 1.5}}
  - {at: 3, replace: {share: 0.5, within_s: 4}}
  - {at: 8, reload: {}}
";

// All brokers are restarted in turn while half of the servers are replaced: nobody is left without an answer, as
// they finish what they took. Killed in place of that, they leave some.
#[test]
fn a_roll_of_all_brokers_over_half_the_servers_replaced_loses_nothing() {
    let record = fleet("roll", ROLL, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert_eq!(sum(&record, |row| row.lost), 0);
    let (served, offered) = (sum(&record, |row| row.in_time), sum(&record, |row| row.offered));
    assert!(served * 100 >= offered * 95, "{served} of {offered} in time");
    assert!(
        strain(&record) > 0.0 && strain(&record) < 1.0,
        "cold servers under {} of their limit",
        strain(&record)
    );
    // Twice the queries, each for longer: a dozen are open when their broker is killed, on the mean.
    let busy =
        ROLL.replace("rate: 15", "rate: 30").replace("cold_s: 4", "cold_s: 4, service_ms: 40, workers: 16");
    let killed = fleet("killed", &busy, |options| options.kill_on_roll = true);
    assert!(sum(&killed, |row| row.lost) > 0, "brokers that are killed lose nothing: the test shows nothing");
}

const SPLIT: &str = "
brokers: 8
servers: 6
zones: 2
cells: 3
rate: 15
seconds: 9
tile: {read_lag_ms: LAG}
events:
  - {at: 2, servers: {share: 0.5, manner: swallow, for_s: 1}}
  - {at: 3.5, servers: {share: 0.5, manner: swallow, for_s: 1}}
  - {at: 5, servers: {share: 0.5, manner: swallow, for_s: 1}}
  - {at: 2, late: {by_s: 2, for_s: 4}}
  - {at: 3, partition: {zone: 1, for_s: 3}}
  - {at: 2, network: {delay_ms: 1, jitter_ms: 3, reset: 0.01, for_s: 1}}
  - {at: 6.5, network: {reset: 0.01, for_s: 1}}
";

// A zone is cut off while half of the servers swallow parts by turns, connections are reset under requests, and servers
// read their connections up to 30 ms late. Parts that are given up go out again, and no server ever has two of one:
// the 50 ms that the protocol gives are waited for, of which the rest is left to a busy machine. Where servers read later than that, there are some.
#[test]
fn a_split_fleet_repeats_parts_and_never_has_two_of_one_out() {
    let record = fleet("split", &SPLIT.replace("LAG", "30"), |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    // Not one of many repeats is a second copy, and they are no storm either.
    let parts = sum(&record, |row| row.parts);
    assert!(sum(&record, |row| row.parts_lost) > 20, "hardly a part was lost: the test shows nothing");
    assert!(record.attempts_per_part < 1.5, "{} attempts a part, {parts} parts", record.attempts_per_part);
    let late = fleet("late", &SPLIT.replace("LAG", "400"), |_| {});
    assert!(rules(&late).contains(&"SecondCopy"), "{:?}", rules(&late));
}

const ZONE: &str = "
brokers: 8
servers: 6
zones: 2
cells: 3
width: 1
rate: 20
seconds: 9
tile: {workers: 2, cold_s: 8, cold_from: 0.05, fall_multiple: 1}
events:
  - {at: 2, lose_zone: {zone: 1, for_s: 1.5}}
";

// A zone's servers come back cold, to a fleet that asks more of them than they can do. All brokers together stay
// under what makes one fall; where brokers take a cold server for a warm one, it falls.
#[test]
fn a_zone_that_comes_back_cold_is_spared_by_all_brokers_together() {
    let record = fleet("zone", ZONE, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert!(strain(&record) > 0.1 && strain(&record) < 1.0, "{} of the joint limit", strain(&record));
    let unaware = fleet("unaware", ZONE, |options| {
        options.setting_overrides = vec![("/safety/coldNs".into(), json!(1))]
    });
    assert!(
        rules(&unaware).contains(&"ColdFell"),
        "{:?}, {} of the limit",
        rules(&unaware),
        strain(&unaware)
    );
}

const KEYED: &str = "
brokers: 5
servers: 6
zones: 2
cells: 3
rate: 20
seconds: 5
tile: {service_ms: 80, workers: 16}
events:
  - {at: 1, network: {reset: 0.05, for_s: 4}}
";

// Connections are reset under requests and answers: keyed parts run again, inside their window, and no effect is
// doubled. Servers that forget keys at once show that there were some.
#[test]
fn keyed_parts_are_repeated_inside_their_window_alone() {
    let record = fleet("keyed", KEYED, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert!(record.repeated > 0, "no keyed part was repeated: the test shows nothing");
    let doubled = fleet("doubled", KEYED, |options| options.idempotency_window = std::time::Duration::ZERO);
    assert!(rules(&doubled).contains(&"Doubled"), "{:?}, {} repeated", rules(&doubled), doubled.repeated);
}

const DRAINED: &str = "
brokers: 6
servers: 6
zones: 2
cells: 3
rate: 20
seconds: 6
on_request: true
store: STORE
events:
  - {at: 1.5, replace: {share: 0.5, within_s: 0.1}}
  - {at: 2.1, turn_away: {for_s: 3}}
  - {at: 2.2, kill: {share: 1, back_s: 0.2}}
LOST";

// All brokers are killed after half of the servers were told to drain, and come back on a list from before that while
// discovery turns callers away. What they had stored holds: nothing goes to those servers. Without a store, or with
// stores that were wiped or cut meanwhile, parts do, as from any broker that starts as new.
#[test]
fn drains_hold_over_a_crash_of_all_brokers_where_they_were_stored() {
    let play = |name: &str, store: &str, lost: &str| {
        let scenario = DRAINED.replace("STORE", store).replace("LOST", lost);
        fleet(name, &scenario, |options| options.drains_persist = true)
    };
    let kept = play("kept", "true", "");
    assert_eq!(rules(&kept), [""; 0], "{:?}", kept.broken);
    let served =
        |record: &Record| record.rows.iter().filter(|row| row.second == 4).map(Row::share).sum::<f64>();
    assert!(served(&kept) > 0.95, "{} served two seconds after the crash", served(&kept));
    for (name, store, lost) in [
        ("none", "false", ""),
        ("wiped", "true", "  - {at: 2.3, wipe_stores: {share: 1}}\n"),
        ("cut", "true", "  - {at: 2.3, cut_stores: {share: 1}}\n"),
    ] {
        let record = play(name, store, lost);
        assert!(rules(&record).contains(&"Drained"), "{name}: {:?}", rules(&record));
        assert!(rules(&record).iter().all(|rule| *rule == "Drained"), "{name}: {:?}", record.broken);
        assert!(served(&record) > 0.9, "{name}: {} served", served(&record));
    }
}

const INDENTED: &str = "
brokers: 5
servers: 6
zones: 2
cells: 3
rate: 15
seconds: 5
indented: true
events:
  - {at: 1, replace: {share: 0.5, within_s: 1}}
  - {at: 2, kill: {share: 0.4, back_s: 0.2}}
";

// Lists come indented and in chunks of 61 bytes to brokers that know no server of old, while half of the servers are
// replaced and two of five brokers are killed. Taken line by line, no such list is ever read, and no broker is ready.
#[test]
fn a_fleet_whose_lists_come_indented_and_cut_serves() {
    let record = fleet("indented", INDENTED, |options| options.has_initial_list = false);
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    let (served, offered) = (sum(&record, |row| row.in_time), sum(&record, |row| row.offered));
    assert!(served * 100 >= offered * 90, "{served} of {offered} in time");
    // One call for each start, and one more for each whose agent was not there yet: watches stand.
    let calls = sum(&record, |row| row.list_calls);
    assert!(calls <= 4 * 5, "{calls} calls for the list: watches are opened again and again");
}

const SILENCE: &str = "
brokers: 6
servers: 6
zones: 2
cells: 3
rate: 20
seconds: 11
events:
  - {at: 1, silence: {for_s: 7}}
  - {at: 6.5, replace: {share: 0.5, within_s: 0.1}}
";

// The agents fall silent, half of the servers drain meanwhile, and the agents are back: from that moment what they
// have counts as told. The brokers have long given their silent watches up, ask at a pace that meets the agents
// within the grace, and send those servers nothing more. With a pace for a grace of seconds some parts are late, as
// they were where a call might stay unanswered for 5 s.
#[test]
fn agents_that_are_back_after_a_silence_are_met_within_the_grace() {
    let record = fleet("silence", SILENCE, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    let slow = fleet("slow", SILENCE, |options| {
        options.setting_overrides = vec![("/safety/drainGraceNs".into(), json!(16_000_000_000_u64))];
    });
    assert!(rules(&slow).contains(&"Drained"), "{:?}", rules(&slow));
}

const SEAMLESS: &str = "
brokers: 3
servers: 4
zones: 1
cells: 2
rate: 20
seconds: 7
seed: SEED
pooled: true
events:
  - {at: 1, upgrade: {broker: 0}}
  - {at: 1, drain: {broker: 2, for_s: 4.5}}
  - {at: 2.5, upgrade: {broker: 1}}
";

// Two of three brokers are upgraded in turn while the third is drained and taken back: no request is lost or refused,
// no connection ends under one, and no effect is doubled, whatever the seed. The fleets are small enough to run side
// by side, and none of the figures hangs on how fast they are.
#[test]
fn upgrades_and_a_drain_go_unnoticed_whatever_the_seed() {
    std::thread::scope(|scope| {
        for seed in 1..=5 {
            scope.spawn(move || {
                let scenario = SEAMLESS.replace("SEED", &seed.to_string());
                let record = fleet(&format!("seamless-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "seed {seed}: {:?}", record.broken);
                assert_eq!(sum(&record, |row| row.lost), 0, "seed {seed}");
                let ready = record.upgrades.iter().filter(|upgrade| upgrade.ready_s.is_some()).count();
                assert_eq!((record.upgrades.len(), ready), (2, 2), "seed {seed}: {:?}", record.upgrades);
                assert!(record.drains.len() == 1 && record.drains[0].back_s.is_some(), "seed {seed}");
                assert!(sum(&record, |row| row.in_time) > 100, "seed {seed}: hardly a query was answered");
            });
        }
    });
}

const REPLACED: &str = "
brokers: 1
servers: 2
rate: 200
parts: 1
seconds: 2
pooled: true
tile: {service_ms: 1}
events:
  - {at: 0.7, upgrade: {broker: 0}}
";

const UNCONTROLLED: &str = "
brokers: 2
servers: 2
rate: 10
seconds: 5
pooled: true
events:
  - {at: 0.2, upgrade: {broker: 0}}
  - {at: 0.2, drain: {broker: 1, for_s: 4.1}}
";

// The checks find what they are there for: a process that is gone before the next is ready, and brokers without a
// control endpoint, which are never ready and do not drain.
#[test]
fn an_upgrade_with_a_gap_and_brokers_that_do_not_drain_break_rules() {
    let replaced = std::thread::spawn(|| {
        fleet("replaced", REPLACED, |options| {
            options.upgrade_gap = Some(std::time::Duration::from_millis(500))
        })
    });
    // A broker's processes share a folder: where there was one already, the next one hangs.
    let hangs = "mkdir \"$TMPDIR/started\" 2>/dev/null || exec sleep 1000";
    let real = env!("CARGO_BIN_EXE_badgergauge");
    let program = script("uncontrolled", &format!("{hangs}\nunset BALANCER_CONTROL\nexec {real}"));
    let uncontrolled = fleet("uncontrolled", UNCONTROLLED, |options| {
        options.program.clone_from(&program);
        options.ready_timeout = std::time::Duration::from_secs(1);
    });
    let _ = std::fs::remove_file(&program);
    let replaced = replaced.join().expect("played");
    assert!(rules(&replaced).contains(&"Refused"), "{:?}", rules(&replaced));
    let found = |what: &str| uncontrolled.broken.iter().any(|broken| broken.what.contains(what));
    assert!(found("b0 run 2 was not ready"), "{:?}", uncontrolled.broken);
    for what in ["call that starts a drain", "is up", "were idle", "was sent a request", "call that stops"] {
        assert!(found(what), "{what}: {:?}", uncontrolled.broken);
    }
    assert!(
        rules(&uncontrolled).iter().all(|rule| ["NotReady", "NotDrained"].contains(rule)),
        "{:?}",
        uncontrolled.broken
    );
}

const PAIR: &str = "
brokers: 2
servers: 2
rate: 5
seconds: 1
";

/// A program in place of the broker's.
fn script(name: &str, text: &str) -> std::path::PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("badgergauge-fleet-{}-{name}.sh", std::process::id()));
    std::fs::write(&path, format!("#!/bin/sh\n{text}\n")).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("set");
    path
}

const CRASH: &str = "
brokers: 4
servers: 4
zones: 2
rate: 20
seconds: 6
";

// A broker that crashes in the middle of a run is found, named, and breaks the run's verdict; the front goes on sending
// to it until it notices, and the others take its clients over.
#[test]
fn a_broker_that_crashes_in_mid_run_is_named_and_the_others_serve_on() {
    let real = env!("CARGO_BIN_EXE_badgergauge");
    // It is ended by a process that it started itself, two seconds after its start.
    let crash = "case \"$BALANCER_CONFIG\" in *b1.json) (sleep 2; kill -9 $$) & ;; esac";
    let program = script("crash", &format!("{crash}\nexec {real}"));
    let record = fleet("crash", CRASH, |options| options.program.clone_from(&program));
    let _ = std::fs::remove_file(&program);
    let crashed: Vec<&str> =
        record.broken.iter().filter(|b| b.rule == "Crashed").map(|b| b.what.as_str()).collect();
    assert!(
        matches!(crashed[..], [what] if what.starts_with("b1 exited unexpectedly")),
        "{:?}",
        record.broken
    );
    let last = record.rows.iter().filter(|row| row.second == 4).map(Row::share).fold(1.0, f64::min);
    assert!(last > 0.95, "{last} served two seconds after the crash");
}

// A broker that dies as it starts, as one does whose port was taken meanwhile, is started again, and no run waits
// for ever for one that never starts or that hangs.
#[test]
fn a_broker_that_dies_or_hangs_as_it_starts_is_started_again_or_ends_the_run() {
    let real = env!("CARGO_BIN_EXE_badgergauge");
    let once = script(
        "once",
        &format!("if mkdir \"$BALANCER_CONFIG.tried\" 2>/dev/null; then exit 1; fi\nexec {real}"),
    );
    let record = fleet("once", PAIR, |options| options.program.clone_from(&once));
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert_eq!(record.used.iter().map(|used| used.starts).collect::<Vec<_>>(), [2, 2]);
    let scenario = Scenario::read(Path::new("pair"), PAIR).expect("sound");
    for (name, text, said) in
        [("dies", "exit 1", "exited unexpectedly"), ("hangs", "exec sleep 1000", "was not up")]
    {
        let program = script(name, text);
        let dir = std::env::temp_dir().join(format!("badgergauge-fleet-{}-{name}", std::process::id()));
        let mut options = Options::new(&program, &dir, name);
        options.start_timeout = std::time::Duration::from_millis(500);
        let fault = run::run(&scenario, &options).expect_err("no broker starts").to_string();
        assert!(fault.contains(said), "{fault}");
        let _ = (std::fs::remove_dir_all(&dir), std::fs::remove_file(&program));
    }
    let _ = std::fs::remove_file(&once);
}

const STORED: &str = "
brokers: 3
servers: 4
cells: 2
rate: 10
seconds: 6
store: true
events:
  - {at: 1, upgrade: {share: 1, every_s: 1}}
";

// What was seen: a broker with a store could not be upgraded; the new process ended with exit code 1. Why: one process alone
// may have a store open, and the new process opened it while the old one ran.
#[test]
fn brokers_with_a_store_are_upgraded() {
    let record = fleet("stored", STORED, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert_eq!(record.upgrades.len(), 3);
    assert!(record.upgrades.iter().all(|upgrade| upgrade.ready_s.is_some()), "{:?}", record.upgrades);
}
