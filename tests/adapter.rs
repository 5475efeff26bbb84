//! Runs the adapter as a process: framing, malformed input and several instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_badgergauge-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all of its input.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter exits")
}

const SETTINGS: &str = r#"{"balancers":2,"granularityNs":5000000,"registryMode":"pushed","locality":0,"unknown":[1],
"profiles":[{"aimNs":1000000000,"deadlineNs":3000000000,"effect":"safe","credit":1.0,"lateShare":0.0}],
"extra":{"batch":1,"callNs":0,"sets":1,"slices":2,"width":1,"followUp":[0],"leastShare":[1.0],"needByClass":[1.0],
"incompleteWorth":[0.9]},"limits":{"cancel":true,"maxAttempts":3,"secondCopies":true,"retryAfter":true,
"maxRetryAfterNs":1000000000},"safety":{"coldFrom":0.2,"coldNs":1000000000,"fallMultiple":3.0,"overloadForNs":1000000000}}"#;

fn init_batch(instances: &[u32]) -> String {
    let settings = SETTINGS.replace('\n', "");
    let mut events: Vec<String> = instances.iter().map(|i| format!(r#"["init",{i},5,{settings}]"#)).collect();
    events.push(r#"["defineList",0,[[11,0,0,0,"up",1,null]]]"#.to_owned());
    events.extend(instances.iter().map(|i| format!(r#"["discovery",{i},"stale_copy",1,0]"#)));
    format!(r#"{{"clockNs":1000,"arrivals":[{}]}}"#, events.join(","))
}

#[test]
fn exits_successfully_at_end_of_input() {
    let output = run("{\"clockNs\":1,\"arrivals\":[]}\n");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"actions\":[]}\n");
}

#[test]
fn a_query_is_sent_only_by_the_instance_that_received_it() {
    let query = r#"{"clockNs":2000,"arrivals":[["req",3,100,false,0,false,null,0,null,3000000000,1,7,-1],["req",3,101,false,0,false,null,0,null,3000000000,1,7,1]]}"#;
    let output = run(&format!("{}\n{query}\n", init_batch(&[2, 3])));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let stdout = String::from_utf8_lossy(&output.stdout);
    let reply = stdout.lines().nth(1).expect("two replies");
    assert!(reply.contains(r#"["callOut",3,101,11,"#), "{reply}");
    assert!(!reply.contains(r#""callOut",2"#), "{reply}");
}

#[test]
fn a_malformed_line_ends_the_adapter_with_a_one_line_error() {
    for line in
        ["nonsense", r#"{"clockNs":1,"arrivals":[["req",3]]}"#, r#"{"clockNs":1,"arrivals":[["what",3]]}"#]
    {
        let output = run(&format!("{}\n{line}\n", init_batch(&[3])));
        assert!(!output.status.success(), "{line}");
        assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1, "{line}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(stderr.contains("line 2") && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn invalid_settings_are_reported_for_that_instance() {
    let output = run(&format!("{}\n", init_batch(&[3]).replace(r#""width":1"#, r#""width":9"#)));
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(stdout.contains(r#"["die",3,"settings: width"#), "{stdout}");
}
