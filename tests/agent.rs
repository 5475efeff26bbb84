//! The start of a process whose discovery is a local agent. The agent's list is deemed delivered from the
//! start of the process, so the process must not accept clients before it has the list, but must not wait
//! long for a silent agent.

mod program;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use serde_json::json;

/// Starts an agent that accepts one call and answers it with this list once `may_answer` receives a message.
fn start_agent(list: String, may_answer: std::sync::mpsc::Receiver<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            request.push(byte[0]);
        }
        // If the sender is dropped without a message, the agent stays silent.
        if may_answer.recv().is_ok() {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            write!(stream, "{head}{:x}\r\n{list}\r\n", list.len()).expect("written");
            let _ = stream.read(&mut [0]);
        }
    });
    address
}

/// Starts a broker. Returns its log up to the line that says that it listens for clients, and the time until
/// then.
fn start_broker(name: &str, agent_answers: bool) -> (Vec<String>, Duration) {
    let directory = std::env::temp_dir().join(format!("badgergauge-agent-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("created");
    let mut config = program::config(&["127.0.0.1:9".to_owned(), "127.0.0.1:9".to_owned()]);
    config["settings"]["safety"]["drainGraceNs"] =
        json!(if agent_answers { 60_000_000_000_u64 } else { 400_000_000 });
    let file = directory.join("config.json");
    std::fs::write(&file, config.to_string()).expect("written");
    let list = json!({"index": 7, "snapshot": true, "endpoints": [
        {"name": "s0", "address": "127.0.0.1:9", "zone": "z", "group": 0, "status": "draining"},
        {"name": "s1", "address": "127.0.0.1:9", "zone": "z", "group": 1, "status": "up"}]});
    let (sender, may_answer) = std::sync::mpsc::channel();
    let agent = start_agent(format!("{list:#}"), may_answer);
    if agent_answers {
        sender.send(()).expect("the agent runs");
    }
    let mut command = program::broker_command(&file);
    command.env("BALANCER_DISCOVERY", agent.to_string()).stderr(std::process::Stdio::piped());
    let started = Instant::now();
    let mut child = command.spawn().expect("starts");
    let log = std::io::BufReader::new(child.stderr.take().expect("piped"));
    let mut lines = Vec::new();
    for line in std::io::BufRead::lines(log).map_while(Result::ok) {
        lines.push(line);
        if lines.last().is_some_and(|line| line.contains(" listens ")) {
            break;
        }
    }
    let duration = started.elapsed();
    child.kill().expect("running");
    child.wait().expect("exited");
    let _ = std::fs::remove_dir_all(&directory);
    (lines, duration)
}

// Guards against accepting clients with the configured list, in which both servers are up: parts were sent to
// a draining server until the watch had received its first list.
#[test]
fn clients_are_accepted_once_the_agents_list_is_received() {
    let (lines, _) = start_broker("told", true);
    let position = |text: &str| lines.iter().position(|line| line.contains(text));
    let (received, listens) = (position("version 7, 1 up, 1 draining"), position(" listens "));
    assert!(received.is_some() && received < listens, "{lines:?}");
}

// A silent agent delays the start by half of the drain grace, but not longer.
#[test]
fn a_silent_agent_delays_the_start_only_briefly() {
    let (lines, duration) = start_broker("silent", false);
    assert!(lines.last().is_some_and(|line| line.contains(" listens ")), "{lines:?}");
    assert!(duration >= Duration::from_millis(200), "{duration:?}: the process did not wait for the agent");
    assert!(duration < Duration::from_secs(10), "{duration:?}");
}
