//! A broker process: started from the built program, observed through its log lines, signalled and killed by
//! its id. Dropping a [`Process`] kills it, also while the owner unwinds from a panic.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::Sender;
use std::thread;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// An event read from the log of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// It listens for clients on this address.
    Listening(SocketAddr),
    /// It logged a warning or an error with this message.
    Warning(String),
    /// Its log has ended: the process has exited or is about to.
    Ended,
}

/// A log event of one process of a broker.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessEvent {
    /// The broker.
    pub broker: usize,
    /// Which of the broker's starts the process is, from 1.
    pub run: u32,
    /// What its log shows.
    pub event: LogEvent,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time so far, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// A running process.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a command. A thread reads its standard error line by line, appends the lines to the file `log`
    /// and sends what they show to `events`.
    ///
    /// # Errors
    ///
    /// When the log can't be opened, or the process or the thread can't be started.
    pub fn start(
        mut command: Command,
        log: &Path,
        broker: usize,
        run: u32,
        events: Sender<ProcessEvent>,
    ) -> io::Result<Self> {
        let mut file = File::options().create(true).append(true).open(log)?;
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let Some(stderr) = child.stderr.take() else {
            return Err(io::Error::other("standard error of the process is not piped"));
        };
        // From here on dropping `process` kills the child, whatever fails below.
        let process = Process { child };
        thread::Builder::new().name(format!("log of b{broker}")).spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let _ = writeln!(file, "{line}");
                if let Some(event) = parse_log_line(&line) {
                    let _ = events.send(ProcessEvent { broker, run, event });
                }
            }
            let _ = events.send(ProcessEvent { broker, run, event: LogEvent::Ended });
        })?;
        Ok(process)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; without effect on a process that has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the process to exit, which the end of its log has announced, and returns its exit status.
    ///
    /// # Errors
    ///
    /// When the system can't wait for it.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Its processor time and memory; none once it has ended.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let ticks = rustix::param::clock_ticks_per_second();
        parse_stat(&stat, ticks, rustix::param::page_size() as u64)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL, since a process stopped by SIGSTOP does not handle SIGTERM, and no client waits for its
        // queries.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Parses `/proc/PID/stat`: fields 14 (utime), 15 (stime) and 24 (rss), counted after the name in brackets.
fn parse_stat(stat: &str, ticks_per_second: u64, page_size: u64) -> Option<ResourceUsage> {
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let number = |n: usize| fields.get(n - 3).and_then(|field| field.parse::<u64>().ok());
    let cpu_seconds = (number(14)? + number(15)?) as f64 / ticks_per_second as f64;
    Some(ResourceUsage { cpu_seconds, resident_bytes: number(24)? * page_size })
}

/// The event that a log line shows, if any: a line is a JSON object with a level and a message.
fn parse_log_line(line: &str) -> Option<LogEvent> {
    let line: Value = serde_json::from_str(line).ok()?;
    let message = line["message"].as_str()?;
    if let Some((_, at)) = message.split_once(" listens to clients on ") {
        return at.parse().ok().map(LogEvent::Listening);
    }
    matches!(line["level"].as_str(), Some("WARN" | "ERROR")).then(|| LogEvent::Warning(message.to_owned()))
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc;

    use super::*;

    #[test]
    fn log_lines_become_events_and_others_are_ignored() {
        let line =
            |level: &str, message: &str| format!("{{\"level\":\"{level}\",\"message\":\"{message}\"}}");
        let listens = LogEvent::Listening("127.0.0.1:81".parse().expect("an address"));
        assert_eq!(parse_log_line(&line("INFO", "n0 listens to clients on 127.0.0.1:81")), Some(listens));
        assert_eq!(
            parse_log_line(&line("WARN", "discovery: status 503")),
            Some(LogEvent::Warning("discovery: status 503".into()))
        );
        assert_eq!(parse_log_line(&line("INFO", "servers: version 3")), None);
        assert_eq!(parse_log_line("thread panicked"), None);
    }

    #[test]
    fn proc_stat_is_parsed_whatever_the_process_name() {
        let stat = "77 (a) b) S 1 77 77 0 -1 4194560 500 0 0 0 250 150 0 0 20 0 2 0 1 1000 300 1844";
        assert_eq!(
            parse_stat(stat, 100, 4096),
            Some(ResourceUsage { cpu_seconds: 4.0, resident_bytes: 300 * 4096 })
        );
        assert_eq!(parse_stat("77 (a", 100, 4096), None);
    }

    // Guards against processes left behind by a failing test: `Process` kills its child also during
    // unwinding.
    #[test]
    fn a_process_is_killed_on_drop_also_during_a_panic() {
        let log = std::env::temp_dir().join(format!("badgergauge-fleet-guard-{}", std::process::id()));
        let (sender, events) = mpsc::channel();
        let mut command = Command::new("sleep");
        command.arg("1000");
        let process = Process::start(command, &log, 3, 1, sender).expect("starts");
        let id = process.id();
        // The process exists, but its resident memory is 0 for a moment after the fork.
        let start = std::time::Instant::now();
        while process.resource_usage().is_none_or(|used| used.resident_bytes == 0) {
            assert!(start.elapsed() < std::time::Duration::from_secs(20), "resident memory stays 0");
            thread::yield_now();
        }
        let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
            let _held = process;
            panic!("a test fails");
        }));
        assert!(ended.is_err());
        assert_eq!(events.recv(), Ok(ProcessEvent { broker: 3, run: 1, event: LogEvent::Ended }));
        assert!(!Path::new(&format!("/proc/{id}")).exists(), "{id} is left behind");
        let _ = fs::remove_file(log);
    }
}
