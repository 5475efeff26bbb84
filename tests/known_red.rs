//! What `.ci/verdict` says of a run of all tests: each of its rules is shown to pass and to fail.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

/// A run with one target that passes and one in which a test fails.
const RUN: &str = "
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

/// What an entry says behind its test: command and seed, what was seen, and the issue.
const REST: &str = "cargo test --test crossings lists::late, no seed | 3 of 5 runs late | 32";

/// A line of the list.
fn entry(test: &str) -> String {
    format!("{test} | {REST}\n")
}

/// Whether the verdict passes, and what it prints.
fn verdict(name: &str, known: Option<&str>, log: &str, status: u32) -> (bool, String) {
    let dir: PathBuf = std::env::temp_dir().join(format!("badgergauge-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let [list, run] = ["known", "log"].map(|file| dir.join(file));
    if let Some(known) = known {
        fs::write(&list, known).expect("written");
    }
    fs::write(&run, log).expect("written");
    let verdict = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/verdict");
    let output = Command::new(verdict).args([&list, &run]).arg(status.to_string()).output().expect("it runs");
    let _ = fs::remove_dir_all(&dir);
    let said =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), said)
}

#[test]
fn only_listed_tests_may_fail_and_they_are_named() {
    let listed = entry("crossings lists::late");
    let (passes, said) = verdict("listed", Some(&listed), RUN, 101);
    assert!(passes && said.contains(&format!("crossings lists::late: FAILED | {REST}")), "{said}");
    let (passes, said) = verdict("unlisted", None, RUN, 101);
    assert!(!passes && said.contains("fails: crossings lists::late"), "{said}");
    let (passes, said) = verdict("other", Some(&entry("crossings lists::sound")), RUN, 101);
    assert!(!passes && said.contains("fails: crossings lists::late"), "{said}");
    // The same name in another target is another test.
    let (passes, said) = verdict("target", Some(&entry("badgergauge lists::late")), RUN, 101);
    assert!(!passes && said.contains("is no test: badgergauge lists::late"), "{said}");
}

#[test]
fn a_run_without_failures_passes_and_a_listed_test_may_pass() {
    let green = RUN.replace("FAILED.", "ok.").replace("FAILED", "ok");
    let green = &green[..green.find("error:").expect("the last lines")];
    assert!(verdict("green", None, green, 0).0);
    let (passes, said) = verdict("green-listed", Some(&entry("crossings lists::late")), green, 0);
    assert!(passes && said.contains("crossings lists::late: ok"), "{said}");
}

#[test]
fn the_list_itself_is_held_to_its_rules() {
    let (passes, said) = verdict("no-test", Some(&entry("crossings lists::gone")), RUN, 101);
    assert!(!passes && said.contains("is no test: crossings lists::gone"), "{said}");
    // As many entries as there are known faults, with blank lines between them, each test once.
    let tests = ["crossings lists::late", "crossings lists::sound", "badgergauge tests::sound"];
    let several = tests.map(entry).join("\n");
    assert!(verdict("several", Some(&several), RUN, 101).0);
    let (passes, said) = verdict("twice", Some(&(several + &entry(tests[0]))), RUN, 101);
    assert!(!passes && said.contains("lists a test twice"), "{said}");
    for odd in [
        "crossings lists::late\n".to_owned(),
        "crossings lists::late | the cause | 32\n".to_owned(),
        entry("lists::late"),
        entry("a b c"),
        "a b || seen | 32\n".to_owned(),
        "a b | no seed || 32\n".to_owned(),
        "a b | no seed | seen |\n".to_owned(),
        "a b | no seed | seen | 32 | more\n".to_owned(),
    ] {
        let (passes, said) = verdict("odd", Some(&odd), RUN, 101);
        assert!(!passes && said.contains("is not `TARGET TEST"), "{odd}: {said}");
    }
}

#[test]
fn an_entry_names_its_seed_and_its_issue() {
    let with = |command: &str, issue: &str| format!("crossings lists::late | {command} | late | {issue}\n");
    for command in
        ["fleet soak --seed 7", "drawn on seeds 3 and 5", "seed=3 cargo test", "cargo test, no seed"]
    {
        let (passes, said) = verdict("seed", Some(&with(command, "40")), RUN, 101);
        assert!(passes, "{command}: {said}");
    }
    let (passes, said) = verdict("no-seed", Some(&with("cargo test", "40")), RUN, 101);
    assert!(!passes && said.contains("names no seed"), "{said}");
    for issue in ["the roadmap", "40b"] {
        let (passes, said) = verdict("no-issue", Some(&with("no seed", issue)), RUN, 101);
        assert!(!passes && said.contains("names no issue"), "{issue}: {said}");
    }
}

#[test]
fn what_gives_no_result_fails_whatever_is_listed() {
    // A target that crashes behind one whose listed test fails.
    let crashed = RUN.replace(
        "   Doc-tests",
        "     Running tests/fleet.rs (target/debug/deps/fleet-0123456789abcdef)\ntest a ... ok\n   Doc-tests",
    );
    let (passes, said) = verdict("crashed", Some(&entry("crossings lists::late")), &crashed, 101);
    assert!(!passes && said.contains("1 targets gave no result"), "{said}");
    let (passes, said) =
        verdict("unbuilt", Some(&entry("crossings lists::late")), "error: could not compile\n", 101);
    assert!(!passes && said.contains("no test was run"), "{said}");
    let green =
        "     Running a (target/debug/deps/a-0123456789abcdef)\ntest t ... ok\ntest result: ok. 1 passed\n";
    assert!(verdict("ended", None, green, 0).0);
    let (passes, said) = verdict("ended-badly", None, green, 101);
    assert!(!passes && said.contains("cargo ended with 101"), "{said}");
}
