//! What the benchmarks of the running program share: a folder of their own, the broker as a child process, and what
//! the system counts of it.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::{fs, io, thread};

use badgergauge_standin::TileServer;
use serde_json::Value;

#[path = "../../tests/program/mod.rs"]
mod program;

/// The system counts CPU in hundredths of a second.
const TICK_MICROS: f64 = 10_000.0;

/// A folder that goes with the benchmark.
pub struct Folder(PathBuf);

impl Folder {
    /// A new, empty one.
    pub fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("badgergauge-bench-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The broker as a process, which does not outlive the benchmark.
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
    /// Starts a broker's program with `config.json` and `service.yaml` of a folder, and waits until it listens.
    /// Nobody listens at its discovery: the list is the known one.
    pub fn start(program: &Path, folder: &Folder) -> Self {
        let mut command = Command::new(program);
        command
            .env("BALANCER_CONFIG", folder.path().join("config.json"))
            .env("BALANCER_SERVICE", folder.path().join("service.yaml"))
            .env("BALANCER_LISTEN", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", "127.0.0.1:1")
            .stdout(Stdio::null());
        let (process, address, log) = program::start_broker(command);
        thread::spawn(move || log.for_each(drop));
        Broker { process, address }
    }

    /// Where it listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// CPU of the process so far, all threads, user and system, in microseconds.
    pub fn cpu_micros(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("it runs");
        // The program's name, which stands in brackets, may hold anything.
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
        let [user, system] = [11, 12].map(|index: usize| fields[index].parse::<f64>().expect("a number"));
        (user + system) * TICK_MICROS
    }

    /// The process's peak of memory, in KiB.
    pub fn peak_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).expect("it runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|peak| peak.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
    }

    /// Ends it as an operator would, and waits for its end.
    pub fn stop(mut self) {
        let kill =
            Command::new("kill").args(["-s", "TERM", &self.process.id().to_string()]).status().expect("runs");
        assert!(kill.success(), "the signal was sent");
        self.process.wait().expect("it ends");
    }
}

/// Stand-in tile servers.
pub fn tile_servers(count: usize) -> Vec<TileServer> {
    (0..count).map(|_| TileServer::start().expect("starts")).collect()
}

/// The recorded exchanges' configuration over these servers, each with a cell of its own, with so many replicas of
/// each shard and so many open queries at the most.
pub fn config(servers: &[TileServer], replicas: usize, most_open: usize) -> Value {
    let addresses: Vec<String> = servers.iter().map(|server| server.address().to_string()).collect();
    let mut config = program::config(&addresses);
    config["settings"]["extra"]["sets"] = servers.len().into();
    config["settings"]["extra"]["width"] = replicas.into();
    config["settings"]["limits"]["maxOpen"] = most_open.into();
    config
}

/// The middle one of some figures.
pub fn median(figures: impl IntoIterator<Item = f64>) -> f64 {
    quantile(figures, 0.5)
}

/// The figure under which this share of some figures lies.
pub fn quantile(figures: impl IntoIterator<Item = f64>, share: f64) -> f64 {
    let mut figures: Vec<f64> = figures.into_iter().collect();
    figures.sort_by(f64::total_cmp);
    let index = (figures.len() as f64 * share) as usize;
    figures[index.min(figures.len() - 1)]
}
