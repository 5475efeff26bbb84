//! Tests the shared library preloaded into a process: this test's own executable, started again as a child.

use std::io::{IoSlice, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs};

/// Environment variable that is set in the child only, to the address that it writes to.
const CHILD_VARIABLE: &str = "BADGERGAUGE_WRITE_DELAY_CHILD";
const DELAY: Duration = Duration::from_secs(1);
/// A frame that cancels a part.
const CANCEL: &[u8] = b"\0\0\0\x05cq1.0";
/// A frame that requests a part.
const QUERY: &[u8] = b"\0\0\0\x05qq1.0";

/// The shared library that Cargo built for this test, in the directory of its executable.
fn library() -> PathBuf {
    let test = env::current_exe().expect("known");
    test.parent().expect("a directory").join("libbadgergauge_write_delay.so")
}

/// Writes frames as the broker does and prints the duration of each write, in milliseconds.
fn write_as_child(address: &str) {
    let mut stream = TcpStream::connect(address).expect("listens");
    for frame in [QUERY, CANCEL, QUERY, CANCEL] {
        let start = Instant::now();
        let written = stream.write_vectored(&[IoSlice::new(frame)]).expect("written");
        assert_eq!(written, frame.len(), "a short frame is written at once");
        println!("took {}", start.elapsed().as_millis());
    }
}

/// The duration of each write of the child.
fn write_times(plan: &str) -> Vec<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let path = env::temp_dir().join(format!("badgergauge-write-delay-{}", std::process::id()));
    fs::write(&path, plan).expect("written");
    let mut child = Command::new(env::current_exe().expect("known"))
        .args(["--exact", "every_second_cancel_is_delayed", "--nocapture"])
        .env(CHILD_VARIABLE, listener.local_addr().expect("bound").to_string())
        .env("LD_PRELOAD", library())
        .env("BADGERGAUGE_WRITE_DELAY", &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let (mut stream, _) = listener.accept().expect("connects");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("read");
    assert_eq!(received, [QUERY, CANCEL, QUERY, CANCEL].concat(), "the written bytes are unchanged");
    let mut output = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut output).expect("text");
    assert!(child.wait().expect("ended").success(), "{output}");
    let _ = fs::remove_file(path);
    let times = output.lines().filter_map(|line| line.split("took ").nth(1));
    times.map(|time| Duration::from_millis(time.parse().expect("a number"))).collect()
}

#[test]
fn every_second_cancel_is_delayed() {
    if let Ok(address) = env::var(CHILD_VARIABLE) {
        return write_as_child(&address);
    }
    assert!(library().exists(), "{} was not built", library().display());
    let delayed: Vec<bool> = write_times("2 1000").iter().map(|time| *time >= DELAY).collect();
    assert_eq!(delayed, [false, false, false, true]);
    // An invalid plan delays nothing.
    assert!(write_times("none").iter().all(|time| *time < DELAY));
}
