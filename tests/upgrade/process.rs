//! Controls a broker process through its log, its control endpoint and signals.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

use rustix::process::{Pid, Signal, kill_process};

use crate::harness::wait_until;
use crate::load::{Outcome, exchange};

/// A running broker process, which is killed when dropped.
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

    /// The process's log up to now.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("readable log")
    }

    /// Whether the log contains this text.
    fn has_logged(&self, text: &str) -> bool {
        self.log().contains(text)
    }

    /// Waits until the log contains this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(&format!("{text:?} is not logged"), || self.has_logged(text));
    }

    /// The address of the control endpoint, once it is logged.
    fn control(&self) -> Option<SocketAddr> {
        let log = self.log();
        let (_, after) = log.split_once(" listens to operators on ")?;
        let (address, _) = after.split_once('\n')?;
        address.trim().parse().ok()
    }

    /// Whether the control endpoint reports readiness.
    pub fn is_ready(&self) -> bool {
        let request = "GET /ops/readiness HTTP/1.1\r\nHost: control\r\n\r\n";
        self.control().is_some_and(|control| exchange(control, request) == Outcome::Answered(200))
    }

    /// Waits until the process is ready.
    pub fn wait_until_ready(&self) {
        wait_until("the process does not become ready", || self.is_ready());
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("running");
    }

    /// Suspends the process until [`Process::resume`] is called.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        wait_until("the process is not suspended", || self.thread_states().all(|state| state == 'T'));
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn thread_states(&self) -> impl Iterator<Item = char> + use<> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("running");
        let stat = tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
        stat.filter_map(|stat| stat.rsplit(") ").next()?.chars().next())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(mut self) {
        self.child.kill().expect("running");
        self.child.wait().expect("a child process");
    }

    /// Waits for the process's exit and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut code = None;
        wait_until("the process does not exit", || {
            let status = self.child.try_wait().expect("a child process");
            code = status.and_then(|status| status.code());
            status.is_some()
        });
        code
    }

    /// Stops the process with SIGTERM and checks that it exits with status 0.
    pub fn stop(mut self) {
        self.signal(Signal::TERM);
        assert_eq!(self.wait_for_exit(), Some(0), "{}", self.log());
    }
}
