//! Helpers shared by the benchmarks of the running program: a temporary directory, the broker as a child
//! process with its CPU time and memory use, and statistics.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::{fs, io, thread};

use badgergauge_standin::TileServer;
use serde_json::Value;

#[path = "../../tests/program/mod.rs"]
mod program;

/// Length of the kernel's clock tick, in which it counts CPU time, in microseconds.
const CLOCK_TICK_MICROS: f64 = 10_000.0;

/// A temporary directory that is removed on drop.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates the directory.
    ///
    /// # Errors
    ///
    /// Returns the error of creating it.
    pub fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("badgergauge-bench-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A broker process, killed on drop.
pub struct Broker {
    process: Child,
    address: String,
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Broker {
    /// Starts a broker program with the `config.json` and `service.yaml` of a directory, and waits until it
    /// listens. Its discovery address refuses connections, so that it uses the server list of its
    /// configuration.
    pub fn start(program: &Path, dir: &TempDir) -> Self {
        let mut command = Command::new(program);
        command
            .env("BALANCER_CONFIG", dir.path().join("config.json"))
            .env("BALANCER_SERVICE", dir.path().join("service.yaml"))
            .env("BALANCER_LISTEN", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", "127.0.0.1:1")
            .stdout(Stdio::null());
        let (process, address, log) = program::start_broker(command);
        thread::spawn(move || log.for_each(drop));
        Broker { process, address }
    }

    /// Returns its listening address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the CPU time of the process so far, all threads, user and system, in microseconds.
    pub fn cpu_micros(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("the process runs");
        // The program name, in parentheses, may contain any characters.
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
        let [user, system] = [11, 12].map(|index: usize| fields[index].parse::<f64>().expect("a number"));
        (user + system) * CLOCK_TICK_MICROS
    }

    /// Returns the peak resident memory of the process, in KiB; 0 if unknown.
    pub fn peak_kib(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.process.id())).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|peak| peak.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
    }

    /// Terminates the process with SIGTERM, as an operator would, and waits for its exit.
    pub fn stop(mut self) {
        let kill =
            Command::new("kill").args(["-s", "TERM", &self.process.id().to_string()]).status().expect("runs");
        assert!(kill.success(), "the signal was sent");
        self.process.wait().expect("the process exits");
    }
}

/// Starts stand-in tile servers.
pub fn tile_servers(count: usize) -> Vec<TileServer> {
    (0..count).map(|_| TileServer::start().expect("starts")).collect()
}

/// Returns the configuration of the recorded exchanges for these servers, each in a cell of its own, with the
/// given number of replicas of each shard and limit on open queries.
pub fn config(servers: &[TileServer], replicas: usize, max_open_queries: usize) -> Value {
    let addresses: Vec<String> = servers.iter().map(|server| server.address().to_string()).collect();
    let mut config = program::config(&addresses);
    config["settings"]["extra"]["sets"] = servers.len().into();
    config["settings"]["extra"]["width"] = replicas.into();
    config["settings"]["limits"]["maxOpen"] = max_open_queries.into();
    config
}

/// Returns the median of the values.
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    quantile(values, 0.5)
}

/// Returns the value below which the given share of the values lies.
pub fn quantile(values: impl IntoIterator<Item = f64>, share: f64) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values[index.min(values.len() - 1)]
}
