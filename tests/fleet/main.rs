//! Runs fleets of broker processes under faults. Each test asserts figures of the whole fleet, and most also
//! run the fleet without the mechanism under test to show that the check then fails.

mod cuts;
mod held_up;
mod late_actions;
mod soak;

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Condvar, Mutex, PoisonError};

use badgergauge_fleet::record::{Record, Row};
use badgergauge_fleet::run::{self, Options};
use badgergauge_fleet::scenario::Scenario;
use serde_json::json;

/// Cores that a fleet keeps busy at its peaks. Limits how many fleets run at the same time, so that none is
/// starved.
const CORES_PER_FLEET: usize = 2;

/// Number of fleets that are running.
static RUNNING: Mutex<usize> = Mutex::new(0);
/// Signalled when a fleet has finished.
static FINISHED: Condvar = Condvar::new();

/// Permit to run one fleet, released on drop.
struct FleetPermit;

impl FleetPermit {
    /// Waits until fewer fleets run than the cores allow.
    fn acquire() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let limit = (cores / CORES_PER_FLEET).max(1);
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running =
            FINISHED.wait_while(running, |running| *running >= limit).unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FINISHED.notify_one();
    }
}

/// Runs a fleet through a scenario and returns its record.
fn run_fleet(name: &str, scenario: &str, change: impl FnOnce(&mut Options)) -> Record {
    let dir = std::env::temp_dir().join(format!("badgergauge-fleet-{}-{name}", std::process::id()));
    let mut options = Options::new(Path::new(env!("CARGO_BIN_EXE_badgergauge")), &dir, name);
    let _permit = FleetPermit::acquire();
    // A run of a few seconds is too short for the default of 10 s.
    options.full_service_hold = 3;
    change(&mut options);
    let scenario = Scenario::read(Path::new(name), scenario).expect("sound");
    let record = run::run(&scenario, &options).expect("the harness works");
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

// Six of eight brokers are killed at once while discovery rejects calls. With the (stale) server list that
// brokers start with, the fleet is back in full service within 3 s; without it, only once discovery answers
// again.
#[test]
fn a_fleet_recovers_from_a_mass_restart_without_discovery() {
    let record = run_fleet("herd", HERD, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert!(record.full_service_s.is_some_and(|took| took <= 3.0), "{:?} s", record.full_service_s);
    // A broker that waits for the list makes at most three calls in its first second, and fewer from then on.
    let calls = most(&record, |row| row.list_calls);
    assert!((6..=3 * 8).contains(&calls), "{calls} calls for the list in a second");
    // Each broker reconnects to a server once, and some reconnect again after closing an idle connection.
    let hands = most(&record, |row| row.handshakes_most);
    assert!(hands <= 8 * 6, "{hands} handshakes at one server in a second");
    let without_list = run_fleet("blind", HERD, |options| options.has_initial_list = false);
    assert!(
        without_list.full_service_s.is_none_or(|took| took > 3.0),
        "{:?} s without a list",
        without_list.full_service_s
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

// All brokers are restarted in turn while half of the servers are replaced. No query is lost, since a broker
// finishes the queries that it has accepted. If the brokers are killed instead, some queries are lost.
#[test]
fn a_rolling_restart_while_servers_are_replaced_loses_no_query() {
    let record = run_fleet("roll", ROLL, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert_eq!(sum(&record, |row| row.lost), 0);
    let (served, offered) = (sum(&record, |row| row.in_time), sum(&record, |row| row.offered));
    assert!(served * 100 >= offered * 95, "{served} of {offered} in time");
    assert!(
        strain(&record) > 0.0 && strain(&record) < 1.0,
        "cold servers under {} of their limit",
        strain(&record)
    );
    // Twice the rate and longer service times: on average a dozen queries are open when their broker is
    // killed.
    let busy =
        ROLL.replace("rate: 15", "rate: 30").replace("cold_s: 4", "cold_s: 4, service_ms: 40, workers: 16");
    let killed = run_fleet("killed", &busy, |options| options.kill_on_roll = true);
    assert!(sum(&killed, |row| row.lost) > 0, "killed brokers lost no query: the test proves nothing");
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

// A zone is cut off, half of the servers at times never answer parts, connections are reset under requests,
// and servers read their connections up to 30 ms late. Parts that are withdrawn are sent again, and no two
// attempts of a part are ever in flight: brokers wait the 50 ms that the protocol gives a server to read the
// withdrawal. The 20 ms beyond the read lag allow for a busy machine. With servers that read up to 400 ms
// late, second copies occur.
#[test]
fn a_partitioned_fleet_retries_parts_without_second_copies() {
    let record = run_fleet("split", &SPLIT.replace("LAG", "30"), |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    // None of the many retries is a second copy, and they do not grow into a retry storm.
    let parts = sum(&record, |row| row.parts);
    assert!(sum(&record, |row| row.parts_lost) > 20, "too few parts were lost: the test proves nothing");
    assert!(record.attempts_per_part < 1.5, "{} attempts a part, {parts} parts", record.attempts_per_part);
    let late = run_fleet("late", &SPLIT.replace("LAG", "400"), |_| {});
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

/// The same with more load and a longer outage: brokers that treat cold servers as warm put more than twice the
/// limit on one.
fn long_outage() -> String {
    ZONE.replace("rate: 20", "rate: 25").replace("for_s: 1.5", "for_s: 3")
}

// A zone's servers come back cold to a fleet with more load than they can serve. The brokers' joint load on a
// cold server stays below the limit at which it fails, after a short outage and after a long one; if brokers
// treat cold servers as warm, a server fails after the long one.
#[test]
fn brokers_jointly_limit_the_load_on_a_zone_that_comes_back_cold() {
    std::thread::scope(|scope| {
        for (name, scenario) in [("zone", ZONE.to_owned()), ("long-outage", long_outage())] {
            scope.spawn(move || {
                let record = run_fleet(name, &scenario, |_| {});
                let late = record.lateness_ms;
                assert_eq!(rules(&record), [""; 0], "{name}, {late} ms late: {:?}", record.broken);
                let strain = strain(&record);
                assert!(strain > 0.1 && strain < 1.0, "{name}, {late} ms late: {strain} of the joint limit");
            });
        }
        scope.spawn(|| {
            let unaware = run_fleet("unaware", &long_outage(), |options| {
                options.setting_overrides = vec![("/safety/coldNs".into(), json!(1))]
            });
            let (strain, late) = (strain(&unaware), unaware.lateness_ms);
            let rules = rules(&unaware);
            assert!(rules.contains(&"ColdFell"), "{rules:?}, {strain} of the limit, {late} ms late");
        });
    });
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

// Connections are reset under requests and answers. Keyed parts are run again within the idempotency window,
// and no effect is doubled. Servers that forget keys at once show that there were retries that could double
// one.
#[test]
fn keyed_parts_are_retried_only_within_the_idempotency_window() {
    let record = run_fleet("keyed", KEYED, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert!(record.repeated > 0, "no keyed part was retried: the test proves nothing");
    let doubled =
        run_fleet("doubled", KEYED, |options| options.idempotency_window = std::time::Duration::ZERO);
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

// All brokers are killed after half of the servers began to drain, and restart with a list from before that
// while discovery rejects calls. The drains in their stores stay in force: no part is sent to those servers.
// Without a store, or with a store that was wiped or truncated meanwhile, parts are sent to them, as by any
// newly started broker.
#[test]
fn stored_drains_survive_a_crash_of_all_brokers() {
    let run = |name: &str, store: &str, lost: &str| {
        let scenario = DRAINED.replace("STORE", store).replace("LOST", lost);
        run_fleet(name, &scenario, |options| options.drains_persist = true)
    };
    let kept = run("kept", "true", "");
    assert_eq!(rules(&kept), [""; 0], "{:?}", kept.broken);
    let served =
        |record: &Record| record.rows.iter().filter(|row| row.second == 4).map(Row::share).sum::<f64>();
    assert!(served(&kept) > 0.95, "{} served two seconds after the crash", served(&kept));
    for (name, store, lost) in [
        ("none", "false", ""),
        ("wiped", "true", "  - {at: 2.3, wipe_stores: {share: 1}}\n"),
        ("cut", "true", "  - {at: 2.3, cut_stores: {share: 1}}\n"),
    ] {
        let record = run(name, store, lost);
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

// Server lists arrive as indented JSON in chunks of 61 bytes, at brokers without an initial list, while half
// of the servers are replaced and two of five brokers are killed. A broker that decoded lists line by line
// would never read one, and would never be ready.
#[test]
fn a_fleet_reads_indented_server_lists_in_chunks() {
    let record = run_fleet("indented", INDENTED, |options| options.has_initial_list = false);
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    let (served, offered) = (sum(&record, |row| row.in_time), sum(&record, |row| row.offered));
    assert!(served * 100 >= offered * 90, "{served} of {offered} in time");
    // One call for each start, and one more where the agent was not up yet: watches stay open.
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

// The discovery agents stop answering, half of the servers begin to drain meanwhile, and the agents come
// back: from that moment on their lists are deemed delivered. By then the brokers have given up their
// unresponsive watches, and their calls are frequent enough to reach the agents within the drain grace, so
// they send those servers no more parts. With a call interval for a grace of 16 s some parts are sent too
// late; so they were when a call could stay unanswered for 5 s.
#[test]
fn brokers_reach_agents_within_the_drain_grace_after_an_outage() {
    let record = run_fleet("silence", SILENCE, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    let slow = run_fleet("slow", SILENCE, |options| {
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

// Two of three brokers are upgraded in turn while the third is drained and put back into service. For every
// seed, no request is lost or refused, no connection is closed under one, and no effect is doubled. The
// fleets are small enough to run in parallel, and no assertion depends on their speed.
#[test]
fn upgrades_and_a_drain_go_unnoticed_for_every_seed() {
    std::thread::scope(|scope| {
        for seed in 1..=5 {
            scope.spawn(move || {
                let scenario = SEAMLESS.replace("SEED", &seed.to_string());
                let record = run_fleet(&format!("seamless-{seed}"), &scenario, |_| {});
                assert_eq!(rules(&record), [""; 0], "seed {seed}: {:?}", record.broken);
                assert_eq!(sum(&record, |row| row.lost), 0, "seed {seed}");
                let ready = record.upgrades.iter().filter(|upgrade| upgrade.ready_s.is_some()).count();
                assert_eq!((record.upgrades.len(), ready), (2, 2), "seed {seed}: {:?}", record.upgrades);
                assert!(record.drains.len() == 1 && record.drains[0].back_s.is_some(), "seed {seed}");
                assert!(sum(&record, |row| row.in_time) > 100, "seed {seed}: too few queries were answered");
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

// The harness's checks report an upgrade whose predecessor is killed before its successor is ready, and
// brokers without a control endpoint, which never report readiness and do not drain.
#[test]
fn an_upgrade_with_a_gap_and_brokers_that_do_not_drain_break_rules() {
    let replaced = std::thread::spawn(|| {
        run_fleet("replaced", REPLACED, |options| {
            options.upgrade_gap = Some(std::time::Duration::from_millis(500))
        })
    });
    // A broker's processes share `TMPDIR`: every process after the first one finds the folder there, and
    // hangs.
    let hangs = "mkdir \"$TMPDIR/started\" 2>/dev/null || exec sleep 1000";
    let real = env!("CARGO_BIN_EXE_badgergauge");
    let program = script("uncontrolled", &format!("{hangs}\nunset BALANCER_CONTROL\nexec {real}"));
    let uncontrolled = run_fleet("uncontrolled", UNCONTROLLED, |options| {
        options.program.clone_from(&program);
        options.ready_timeout = std::time::Duration::from_secs(1);
    });
    let _ = std::fs::remove_file(&program);
    let replaced = replaced.join().expect("the fleet has run");
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

/// Writes a shell script that runs in place of the broker's program. A child process writes it: a broker that
/// another test forks meanwhile would hold a file of this process open for writing, and a file that is open
/// for writing can't be executed.
fn script(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("badgergauge-fleet-{}-{name}.sh", std::process::id()));
    let mut writer = Command::new("sh")
        .args(["-c", "cat > \"$0\" && chmod 700 \"$0\""])
        .arg(&path)
        .stdin(Stdio::piped())
        .spawn()
        .expect("a shell");
    let mut input = writer.stdin.take().expect("piped");
    input.write_all(format!("#!/bin/sh\n{text}\n").as_bytes()).expect("written");
    drop(input);
    assert!(writer.wait().expect("ended").success(), "{} is not written", path.display());
    path
}

const CRASH: &str = "
brokers: 4
servers: 4
zones: 2
rate: 20
seconds: 6
";

// A broker that crashes during a run is recorded by name as a violation. The front sends clients to it until
// it notices; then the other brokers serve them.
#[test]
fn a_broker_that_crashes_during_a_run_is_reported_and_the_others_serve() {
    let real = env!("CARGO_BIN_EXE_badgergauge");
    // A background process of the script kills it two seconds after its start.
    let crash = "case \"$BALANCER_CONFIG\" in *b1.json) (sleep 2; kill -9 $$) & ;; esac";
    let program = script("crash", &format!("{crash}\nexec {real}"));
    let record = run_fleet("crash", CRASH, |options| options.program.clone_from(&program));
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

// A broker that exits while it starts, for instance since its port was taken, is started again. A run fails
// instead of waiting for ever when a broker exits at every start or hangs.
#[test]
fn a_broker_that_fails_to_start_is_started_again_or_ends_the_run() {
    let real = env!("CARGO_BIN_EXE_badgergauge");
    let once = script(
        "once",
        &format!("if mkdir \"$BALANCER_CONFIG.tried\" 2>/dev/null; then exit 1; fi\nexec {real}"),
    );
    let record = run_fleet("once", PAIR, |options| options.program.clone_from(&once));
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

// Guards against a broker with a store that can't be upgraded: only one process may have a store open, and
// the successor exited with code 1 since it opened the store while its predecessor was running.
#[test]
fn brokers_with_a_store_are_upgraded() {
    let record = run_fleet("stored", STORED, |_| {});
    assert_eq!(rules(&record), [""; 0], "{:?}", record.broken);
    assert_eq!(record.upgrades.len(), 3);
    assert!(record.upgrades.iter().all(|upgrade| upgrade.ready_s.is_some()), "{:?}", record.upgrades);
}
