//! The shared object in a process that it is preloaded into: this test's own program, started once more as a child.

use std::io::{IoSlice, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs};

/// Set in the child, with the address that it writes to.
const CHILD: &str = "BADGERGAUGE_WRITE_DELAY_CHILD";
const DELAY: Duration = Duration::from_secs(1);
/// A frame that gives a part up, and one that asks for a part.
const GIVE_UP: &[u8] = b"\0\0\0\x05cq1.0";
const CALL: &[u8] = b"\0\0\0\x05qq1.0";

/// The shared object that Cargo built for this test, which lies beside it.
fn library() -> PathBuf {
    let test = env::current_exe().expect("known");
    test.parent().expect("a folder").join("libbadgergauge_write_delay.so")
}

/// Writes frames as the broker does, and prints how long each write took, in milliseconds.
fn write_as_child(address: &str) {
    let mut stream = TcpStream::connect(address).expect("listens");
    for frame in [CALL, GIVE_UP, CALL, GIVE_UP] {
        let start = Instant::now();
        let written = stream.write_vectored(&[IoSlice::new(frame)]).expect("written");
        assert_eq!(written, frame.len(), "so few bytes go out at once");
        println!("took {}", start.elapsed().as_millis());
    }
}

/// How long each of the child's writes took.
fn times(plan: &str) -> Vec<Duration> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let path = env::temp_dir().join(format!("badgergauge-write-delay-{}", std::process::id()));
    fs::write(&path, plan).expect("written");
    let mut child = Command::new(env::current_exe().expect("known"))
        .args(["--exact", "every_second_give_up_is_held_up", "--nocapture"])
        .env(CHILD, listener.local_addr().expect("bound").to_string())
        .env("LD_PRELOAD", library())
        .env("BADGERGAUGE_WRITE_DELAY", &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let (mut stream, _) = listener.accept().expect("connects");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("read");
    assert_eq!(received, [CALL, GIVE_UP, CALL, GIVE_UP].concat(), "what is written is unchanged");
    let mut output = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut output).expect("text");
    assert!(child.wait().expect("ended").success(), "{output}");
    let _ = fs::remove_file(path);
    let times = output.lines().filter_map(|line| line.split("took ").nth(1));
    times.map(|time| Duration::from_millis(time.parse().expect("a number"))).collect()
}

#[test]
fn every_second_give_up_is_held_up() {
    if let Ok(address) = env::var(CHILD) {
        return write_as_child(&address);
    }
    assert!(library().exists(), "{} was not built", library().display());
    let delayed: Vec<bool> = times("2 1000").iter().map(|time| *time >= DELAY).collect();
    assert_eq!(delayed, [false, false, false, true]);
    // A plan that can't be read delays nothing.
    assert!(times("none").iter().all(|time| *time < DELAY));
}
