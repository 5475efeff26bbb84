//! A broker process of an upgrade, by its log, its control endpoint and its signals.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

use rustix::process::{Pid, Signal, kill_process};

use crate::load::{Outcome, exchange};
use crate::stage::until;

/// A running broker process, which is killed when the test is done with it.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn new(child: Child, log: PathBuf) -> Self {
        Process { child, log }
    }

    /// All lines of its log up to now.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    /// Whether its log has a line with these words.
    fn has_logged(&self, words: &str) -> bool {
        self.log().contains(words)
    }

    /// Waits for a line of its log.
    pub fn logs(&self, words: &str) {
        until(&format!("no line says {words:?}"), || self.has_logged(words));
    }

    /// Where its control endpoint listens, once its log says so.
    fn control(&self) -> Option<SocketAddr> {
        let log = self.log();
        let (_, after) = log.split_once(" listens to operators on ")?;
        let (address, _) = after.split_once('\n')?;
        address.trim().parse().ok()
    }

    /// What its control endpoint says of readiness.
    pub fn is_ready(&self) -> bool {
        let request = "GET /ops/readiness HTTP/1.1\r\nHost: control\r\n\r\n";
        self.control().is_some_and(|control| exchange(control, request) == Outcome::Answered(200))
    }

    /// Waits until it is ready.
    pub fn becomes_ready(&self) {
        until("it does not get ready", || self.is_ready());
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// Holds it: it does nothing until it goes on.
    pub fn hold(&self) {
        self.signal(Signal::STOP);
        until("it runs on", || self.thread_states().all(|state| state == 'T'));
    }

    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    fn thread_states(&self) -> impl Iterator<Item = char> + use<> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
        let stat = tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
        stat.filter_map(|stat| stat.rsplit(") ").next()?.chars().next())
    }

    /// Kills it, and waits until it is gone.
    pub fn kill(mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("a child");
    }

    /// Waits for its end. Gives its exit code.
    pub fn exit(&mut self) -> Option<i32> {
        let mut code = None;
        until("it does not end", || {
            let status = self.child.try_wait().expect("a child");
            code = status.and_then(|status| status.code());
            status.is_some()
        });
        code
    }

    /// Tells it to end, which it has to do with success.
    pub fn stop(mut self) {
        self.signal(Signal::TERM);
        assert_eq!(self.exit(), Some(0), "{}", self.log());
    }
}
