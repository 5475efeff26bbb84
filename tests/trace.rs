//! Tests the trace recorder with the running program: traces contain the requests and decisions, and
//! replaying them gives the same decisions.

use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use badgergauge_standin::{Behaviour, TileServer};
use badgergauge_trace::merge::{MergedStream, trace_files};
use badgergauge_trace::tools;
mod program;

/// Upper bound on waits, so that a failing test ends; no result depends on its length.
const WAIT_LIMIT: std::time::Duration = std::time::Duration::from_secs(20);

struct Broker {
    program: Child,
    address: String,
    dir: PathBuf,
    log: std::sync::mpsc::Receiver<String>,
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Broker {
    fn start(name: &str, servers: &[TileServer], service: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("badgergauge-trace-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let addresses: Vec<String> = servers.iter().map(|server| server.address().to_string()).collect();
        let mut config = program::config(&addresses);
        // Both servers hold every shard.
        config["settings"]["extra"]["width"] = 2.into();
        std::fs::write(dir.join("config.json"), config.to_string()).expect("written");
        std::fs::write(
            dir.join("service.yaml"),
            service.replace("DIR", &dir.join("t").display().to_string()),
        )
        .expect("written");
        let mut command = program::broker_command(&dir.join("config.json"));
        command.env("BALANCER_SERVICE", dir.join("service.yaml"));
        let (program, address, mut lines) = program::start_broker(command);
        let (sender, log) = std::sync::mpsc::channel();
        std::thread::spawn(move || lines.try_for_each(|line| sender.send(line)));
        Broker { program, address, dir, log }
    }

    fn request(&self, class: &str, name: &str, headers: &str) -> String {
        let body = r#"{"tablets":[{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.5}],"statement":"secret-text"}"#;
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {name}\r\nX-Timeout: 9000m\r\n{headers}\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        program::exchange(&self.address, &request)
    }

    fn signal(&self, signal: &str) {
        let id = self.program.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &id]).status().expect("runs").success());
    }

    fn stop(&mut self) {
        self.signal("TERM");
        assert_eq!(self.program.wait().expect("ends").code(), Some(0));
    }

    fn files(&self) -> Vec<PathBuf> {
        trace_files(&[self.dir.join("t")]).expect("files")
    }
}

fn servers() -> Vec<TileServer> {
    (0..2).map(|_| TileServer::start().expect("starts")).collect()
}

fn open_all(files: &[PathBuf]) -> MergedStream {
    MergedStream::open(files, i64::MIN..i64::MAX).expect("sound")
}

fn explain(files: &[PathBuf], name: &str) -> Vec<String> {
    let (lines, ..) = tools::explain(files, name, false).expect("read");
    lines.into_iter().map(|explained| explained.line.text).collect()
}

// Guards against steps that are lost between a request and the trace: SIGHUP starts a new file, SIGTERM
// closes it, and replaying both files gives every decision again.
#[test]
fn requests_and_decisions_are_recorded() {
    let servers = servers();
    let mut broker = Broker::start("record", &servers, "trace: {dir: DIR, file_mb: 1, total_mb: 4}\n");
    assert!(broker.request("search", "q1", "X-Route-Key: 00000000deadbeef\r\n").contains("\"full\":true"));
    // One server fails: its parts are sent to the other.
    servers[0].set_behaviour(Behaviour::Fail);
    for number in 2..8 {
        assert!(broker.request("search", &format!("q{number}"), "").contains("\"full\":true"));
    }
    broker.signal("HUP");
    while !broker.log.recv_timeout(WAIT_LIMIT).expect("it says so").contains("a new file begins") {}
    servers[0].set_behaviour(Behaviour::Serve);
    assert!(broker.request("flag", "q8", "Idempotency-Key: key-8\r\n").contains("\"full\":true"));
    broker.stop();
    let files = broker.files();
    assert_eq!(files.len(), 2, "{files:?}");
    let (runs, notices, _) = tools::verify(open_all(&files), true, &mut |_, _| {}).expect("read");
    assert!(notices.is_empty(), "{notices:?}");
    assert_eq!((runs.len(), &runs[0].difference, &runs[0].stopped), (1, &None, &None));
    assert!(runs[0].decisions >= 8 * 3, "{}", runs[0].decisions);
    let first = explain(&files, "q1");
    let key = "key 00000000deadbeef";
    assert!(first[0].starts_with("query 1 taken: search \"q1\"") && first[0].contains(key), "{first:?}");
    let contains = |text: &str| first.iter().any(|line| line.contains(text));
    assert!(contains("block 0: sent to s") && contains("its home") && contains("served after"), "{first:?}");
    assert!(first.last().is_some_and(|line| line.contains("answered whole")), "{first:?}");
    let moved = (2..8).flat_map(|number| explain(&files, &format!("q{number}")));
    assert!(moved.filter(|line| line.contains("it was at its home s0 before")).count() >= 1);
    // A query is also found by its idempotency key.
    assert_eq!(explain(&files, "key-8"), explain(&files, "q8"));
    // The contents of parts and of the servers' answers are never recorded.
    for path in &files {
        let mut reader = badgergauge_trace::merge::open(path).expect("sound");
        while let Some(records) = reader.next_block().expect("read") {
            let text = format!("{records:?}");
            assert!(
                !text.contains("secret-text")
                    && !text.contains(&badgergauge_standin::part_value(0, b"secret-text"))
            );
        }
    }
}

// Guards against losing records in a crash: blocks written before it are readable, and the file is reported
// as not closed.
#[test]
fn the_trace_of_a_killed_broker_is_readable() {
    let mut broker = Broker::start("killed", &servers(), "trace: {dir: DIR}\n");
    assert!(broker.request("search", "q1", "").contains("\"full\":true"));
    // Blocks are written once a second: one has been written when the file has grown beyond its header.
    let length =
        || broker.files().iter().map(|path| std::fs::metadata(path).expect("there").len()).sum::<u64>();
    let header = length();
    while length() == header {
        std::thread::yield_now();
    }
    broker.program.kill().expect("runs");
    broker.program.wait().expect("ends");
    let files = broker.files();
    let mut merged = open_all(&files);
    let mut named = Vec::new();
    while let Some(record) = merged.next_record().expect("read") {
        named.extend(record.query_names.into_iter().map(|named| named.name));
    }
    assert_eq!(named, ["q1"]);
    let notices = merged.notices();
    assert!(notices.iter().all(|notice| notice.message.contains("not closed")), "{notices:?}");
}

// Guards against starting without a trace: if the folder cannot be created, the program exits with an error
// that names the setting and the path.
#[test]
fn a_trace_folder_that_cannot_be_created_is_an_error() {
    let dir = std::env::temp_dir().join(format!("badgergauge-trace-{}-refused", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    std::fs::write(dir.join("file"), "").expect("written");
    std::fs::write(dir.join("config.json"), include_str!("exchanges/config.json")).expect("written");
    let service = format!("trace: {{dir: \"{}\"}}\n", dir.join("file/t").display());
    std::fs::write(dir.join("service.yaml"), service).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_badgergauge"))
        .env("BALANCER_CONFIG", dir.join("config.json"))
        .env("BALANCER_SERVICE", dir.join("service.yaml"))
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", "127.0.0.1:1")
        .output()
        .expect("runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr.contains("trace.dir: ") && stderr.contains(&Path::new("file/t").display().to_string()),
        "{stderr}"
    );
    std::fs::remove_dir_all(&dir).expect("removed");
}
