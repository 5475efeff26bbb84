//! Tests of `.ci/verdict`, which evaluates a run of all tests: each of its rules passes and fails where it
//! should.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

/// Output of a run with a target that passes and one with a failing test.
const RUN_OUTPUT: &str = "
     Running unittests src/lib.rs (target/debug/deps/badgergauge-1f2e3d4c5b6a7988)
test tests::sound ... ok
test result: ok. 1 passed; 0 failed; 0 ignored
     Running tests/crossings/main.rs (target/debug/deps/crossings-0123456789abcdef)
test lists::late ... FAILED
test lists::sound ... ok
test result: FAILED. 1 passed; 1 failed; 0 ignored
   Doc-tests badgergauge_core
test crates/core/src/lib.rs - (line 8) ... ok
test result: ok. 1 passed; 0 failed; 0 ignored
error: 1 target failed:
    `-p badgergauge --test crossings`
";

/// The fields of a list entry after the test: command and seed, observation, issue number.
const ENTRY_FIELDS: &str = "cargo test --test crossings lists::late, no seed | 3 of 5 runs late | 32";

/// Returns an entry of the list of known failures.
fn entry(test: &str) -> String {
    format!("{test} | {ENTRY_FIELDS}\n")
}

/// Runs `.ci/verdict` on a list of known failures, the log of a run and its exit status. Returns whether it
/// passes, and its output. `name` makes the temporary directory unique.
fn verdict(name: &str, known: Option<&str>, log: &str, status: u32) -> (bool, String) {
    let dir: PathBuf = std::env::temp_dir().join(format!("badgergauge-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("temporary directory created");
    let [known_file, log_file] = ["known", "log"].map(|file| dir.join(file));
    if let Some(known) = known {
        fs::write(&known_file, known).expect("written");
    }
    fs::write(&log_file, log).expect("written");
    let verdict = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/verdict");
    let output = Command::new(verdict)
        .args([&known_file, &log_file])
        .arg(status.to_string())
        .output()
        .expect("verdict runs");
    let _ = fs::remove_dir_all(&dir);
    let printed =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), printed)
}

#[test]
fn only_listed_tests_may_fail_and_they_are_named() {
    let listed = entry("crossings lists::late");
    let (passes, printed) = verdict("listed", Some(&listed), RUN_OUTPUT, 101);
    assert!(
        passes && printed.contains(&format!("crossings lists::late: FAILED | {ENTRY_FIELDS}")),
        "{printed}"
    );
    let (passes, printed) = verdict("unlisted", None, RUN_OUTPUT, 101);
    assert!(!passes && printed.contains("fails: crossings lists::late"), "{printed}");
    let (passes, printed) = verdict("other", Some(&entry("crossings lists::sound")), RUN_OUTPUT, 101);
    assert!(!passes && printed.contains("fails: crossings lists::late"), "{printed}");
    // A test of the same name in another target does not count.
    let (passes, printed) = verdict("target", Some(&entry("badgergauge lists::late")), RUN_OUTPUT, 101);
    assert!(!passes && printed.contains("is no test: badgergauge lists::late"), "{printed}");
}

#[test]
fn a_run_without_failures_passes_and_a_listed_test_may_pass() {
    let green = RUN_OUTPUT.replace("FAILED.", "ok.").replace("FAILED", "ok");
    let green = &green[..green.find("error:").expect("the last lines")];
    assert!(verdict("green", None, green, 0).0);
    let (passes, printed) = verdict("green-listed", Some(&entry("crossings lists::late")), green, 0);
    assert!(passes && printed.contains("crossings lists::late: ok"), "{printed}");
}

#[test]
fn the_list_is_validated() {
    let (passes, printed) = verdict("no-test", Some(&entry("crossings lists::gone")), RUN_OUTPUT, 101);
    assert!(!passes && printed.contains("is no test: crossings lists::gone"), "{printed}");
    // Any number of entries, with blank lines between them, but each test only once.
    let tests = ["crossings lists::late", "crossings lists::sound", "badgergauge tests::sound"];
    let several = tests.map(entry).join("\n");
    assert!(verdict("several", Some(&several), RUN_OUTPUT, 101).0);
    let (passes, printed) = verdict("twice", Some(&(several + &entry(tests[0]))), RUN_OUTPUT, 101);
    assert!(!passes && printed.contains("lists a test twice"), "{printed}");
    for malformed in [
        "crossings lists::late\n".to_owned(),
        "crossings lists::late | the cause | 32\n".to_owned(),
        entry("lists::late"),
        entry("a b c"),
        "a b || seen | 32\n".to_owned(),
        "a b | no seed || 32\n".to_owned(),
        "a b | no seed | seen |\n".to_owned(),
        "a b | no seed | seen | 32 | more\n".to_owned(),
    ] {
        let (passes, printed) = verdict("odd", Some(&malformed), RUN_OUTPUT, 101);
        assert!(!passes && printed.contains("is not `TARGET TEST"), "{malformed}: {printed}");
    }
}

#[test]
fn an_entry_must_name_a_seed_and_an_issue() {
    let with = |command: &str, issue: &str| format!("crossings lists::late | {command} | late | {issue}\n");
    for command in
        ["fleet soak --seed 7", "drawn on seeds 3 and 5", "seed=3 cargo test", "cargo test, no seed"]
    {
        let (passes, printed) = verdict("seed", Some(&with(command, "40")), RUN_OUTPUT, 101);
        assert!(passes, "{command}: {printed}");
    }
    let (passes, printed) = verdict("no-seed", Some(&with("cargo test", "40")), RUN_OUTPUT, 101);
    assert!(!passes && printed.contains("names no seed"), "{printed}");
    for issue in ["the roadmap", "40b"] {
        let (passes, printed) = verdict("no-issue", Some(&with("no seed", issue)), RUN_OUTPUT, 101);
        assert!(!passes && printed.contains("names no issue"), "{issue}: {printed}");
    }
}

#[test]
fn a_target_without_a_result_fails_whatever_is_listed() {
    // A target crashes after another one whose listed test fails.
    let crashed = RUN_OUTPUT.replace(
        "   Doc-tests",
        "     Running tests/fleet.rs (target/debug/deps/fleet-0123456789abcdef)\ntest a ... ok\n   Doc-tests",
    );
    let (passes, printed) = verdict("crashed", Some(&entry("crossings lists::late")), &crashed, 101);
    assert!(!passes && printed.contains("1 targets gave no result"), "{printed}");
    let (passes, printed) =
        verdict("unbuilt", Some(&entry("crossings lists::late")), "error: could not compile\n", 101);
    assert!(!passes && printed.contains("no test was run"), "{printed}");
    let green =
        "     Running a (target/debug/deps/a-0123456789abcdef)\ntest t ... ok\ntest result: ok. 1 passed\n";
    assert!(verdict("ended", None, green, 0).0);
    let (passes, printed) = verdict("ended-badly", None, green, 101);
    assert!(!passes && printed.contains("cargo ended with 101"), "{printed}");
}
