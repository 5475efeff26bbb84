//! The commands beside serving, as processes.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

mod program;

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgergauge"));
    command.env_clear();
    command
}

/// Asks as one of the demo's `curl` lines would, and gives the answer.
fn ask(line: &str) -> String {
    let words: Vec<&str> = line.split('\'').collect();
    let url = line.split("http://").nth(1).expect("a URL").split(['\'', ' ']).next().expect("a URL");
    let (address, path) = url.split_once('/').expect("a path");
    let headers: Vec<&str> = words.iter().copied().filter(|w| w.starts_with("X-")).collect();
    let body = words.iter().copied().find(|w| w.starts_with('{'));
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.unwrap_or_default();
    let head = headers.iter().map(|h| format!("{h}\r\n")).collect::<String>();
    let request = format!(
        "{method} /{path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{head}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    program::exchange(address, &request)
}

// Guards the first minutes with the program: both lines that the demo prints work as they are, and it ends
// cleanly on Ctrl-C and leaves nothing behind.
#[test]
fn the_demo_answers_on_both_fronts_and_ends_cleanly() {
    let folder = std::env::temp_dir().join(format!("badgergauge-commands-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut demo = program()
        .args(["demo", "--servers", "3"])
        .env("TMPDIR", &folder)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    let lines = BufReader::new(demo.stdout.take().expect("piped")).lines().map_while(Result::ok);
    let curls: Vec<String> = lines.filter(|line| line.contains("curl")).take(2).collect();
    let [platform, ogc] = &curls[..] else { panic!("{curls:?}") };
    let answer = ask(platform);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("\"full\":true"), "{answer}");
    let answer = ask(ogc);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("numberReturned=\"5\""), "{answer}");
    let id = demo.id().to_string();
    assert!(Command::new("kill").args(["-s", "INT", &id]).status().expect("runs").success());
    assert_eq!(demo.wait().expect("ends").code(), Some(0));
    assert_eq!(std::fs::read_dir(&folder).expect("there").count(), 0);
    std::fs::remove_dir(&folder).expect("empty");
}

// Guards `check`: it says every fault of every file, not the first alone.
#[test]
fn check_names_every_fault() {
    let folder = std::env::temp_dir().join(format!("badgergauge-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("written");
        path
    };
    let sound = include_str!("exchanges/config.json");
    let config = file("config.json", sound);
    let ogc = "listen: \"127.0.0.1:0\"\ninventory: i.csv\nnamespace: {prefix: t, uri: \"urn:t\"}\nfeature_types: []\n";
    let ogc = file("ogc.yaml", ogc);
    file("i.csv", "name,address,zone,cell\na,127.0.0.1:1,z,0\nb,127.0.0.1:2,z,1\n");
    let service = file("service.yaml", "trace: {dir: d}\n");
    let check = |config: &std::path::Path| {
        let output = program()
            .arg("check")
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_OGC", &ogc)
            .env("BALANCER_SERVICE", &service)
            .env("BALANCER_LISTEN", "127.0.0.1:0")
            .output()
            .expect("runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(check(&config), (Some(0), String::new()));
    // Two faults of the inventory, in lines of their own.
    file("i.csv", "name,address,zone,cell\na,nowhere,z,0\nb,127.0.0.1:2,z,x\n");
    let (code, said) = check(&config);
    assert_eq!(code, Some(1));
    assert!(said.contains("line 2: a.address: ") && said.contains("line 3: b.cell: "), "{said}");
    // Faults of three files at once.
    let faulty = sound.replace("\"sockets\":1024", "\"sockets\":3").replace("\"seed\":\"8", "\"seed\":\"x");
    let faulty = faulty.replace("\"leastShare\":[1.0,1.0,0.5]", "\"leastShare\":[1.0,1.0,2.0]");
    let config = file("config.json", &faulty.replace("\"sets\":2", "\"sets\":0"));
    file("service.yaml", "log: {level: loud}\n");
    let (code, said) = check(&config);
    assert_eq!(code, Some(1));
    for fault in [
        "limits.sockets",
        "seed",
        "settings.extra.leastShare: must",
        "settings.extra.sets: must",
        "service.yaml: line 1: log.level",
    ] {
        assert!(said.contains(fault), "{fault} in {said}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

// Guards operators who look up where to call: `check` says it, whether it is in the variable, the file or nowhere.
#[test]
fn check_says_where_operators_call() {
    let folder = std::env::temp_dir().join(format!("badgergauge-check-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let plain = include_str!("exchanges/config.json");
    let named = plain.replace("\"control\":null", "\"control\":\"127.0.0.1:7001\"");
    let check = |text: &str, variable: Option<&str>| {
        let config = folder.join("config.json");
        std::fs::write(&config, text).expect("written");
        let mut command = program();
        command.arg("check").env("BALANCER_CONFIG", &config).env("BALANCER_LISTEN", "127.0.0.1:0");
        command.env("BALANCER_DISCOVERY", "127.0.0.1:1").env_remove("BALANCER_CONTROL");
        command.envs(variable.map(|address| ("BALANCER_CONTROL", address)));
        let output = command.output().expect("runs");
        let said = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), said(&output.stdout), said(&output.stderr))
    };
    for (text, variable, line) in [
        (plain, None, "control: off\n"),
        (&named, None, "control: 127.0.0.1:7001\n"),
        (&named, Some("127.0.0.1:7002"), "control: 127.0.0.1:7002\n"),
    ] {
        let (code, said, faults) = check(text, variable);
        assert_eq!(code, Some(0), "{faults}");
        assert!(said.contains(line), "{line:?} in {said}");
    }
    let (code, _, faults) = check(plain, Some("nowhere"));
    assert_eq!(code, Some(1));
    assert!(faults.contains("BALANCER_CONTROL: \"nowhere\" is no address"), "{faults}");
    std::fs::remove_dir_all(&folder).expect("removed");
}

// Guards the exit codes: 2 is for wrong usage, and help says how to call a command.
#[test]
fn wrong_usage_and_help() {
    assert_eq!(program().arg("serv").output().expect("runs").status.code(), Some(2));
    for command in ["serve", "check", "demo", "completions"] {
        let output = program().args([command, "--help"]).output().expect("runs");
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && said.contains("Example:\n"), "{command}: {said}");
    }
    let output = program().args(["completions", "bash"]).output().expect("runs");
    assert!(String::from_utf8_lossy(&output.stdout).contains("_badgergauge"));
}
