//! What the processes of one broker share: their folder, address, configuration, discovery and tile servers.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use badgergauge::handover::Rendezvous;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::load::{Outcome, exchange};
use crate::process::Process;
use crate::program;
use crate::stage::{Discovery, line, request, until};
use crate::tiles::{TileServer, serve_lists};

const NAME: &str = "n0";
const TILES: u32 = 2;
/// What a successor logs once it has the sockets.
pub const TAKEN_OVER: &str = "sockets of the running process are taken over";

/// The surroundings of one broker.
pub struct Site {
    folder: PathBuf,
    /// Where clients connect, the same for each process.
    pub listen: SocketAddr,
    /// Holds the port while no process listens. It does not listen itself.
    _port: Socket,
    pub tiles: Vec<TileServer>,
    discovery: SocketAddr,
    processes: AtomicU32,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    pub fn new(name: &str) -> Self {
        Site::with(name, |_, _| {})
    }

    /// A site whose settings, and whose lines of discovery's list, are changed before anything starts.
    pub fn with(name: &str, change: impl FnOnce(&mut Value, &mut [Value])) -> Self {
        // Short, as the path of a Unix socket is.
        let folder = std::env::temp_dir().join(format!("bg-up-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let port = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        port.set_reuse_address(true).expect("set");
        port.set_reuse_port(true).expect("set");
        port.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
        let listen = port.local_addr().expect("bound").as_socket().expect("of the internet");
        let tiles: Vec<TileServer> = (0..TILES).map(|_| TileServer::start()).collect();
        let addresses: Vec<String> = tiles.iter().map(|tile| tile.address.to_string()).collect();
        let mut config = program::config(&addresses);
        let mut lines: Vec<_> = tiles
            .iter()
            .zip(0..)
            .map(|(tile, cell)| line(&format!("s{cell}"), tile.address, cell, "up"))
            .collect();
        change(&mut config["settings"], &mut lines);
        config["known"]["endpoints"] = lines.iter().cloned().collect();
        fs::write(folder.join("config.json"), config.to_string()).expect("written");
        let discovery = serve_lists(&json!({"index": 1, "snapshot": true, "endpoints": lines}));
        Site { folder, listen, _port: port, tiles, discovery, processes: AtomicU32::new(0) }
    }

    /// Where the processes meet.
    pub fn rendezvous(&self) -> Rendezvous {
        Rendezvous::new(&self.folder, NAME, self.listen)
    }

    /// Starts a process with this discovery, without waiting for anything.
    pub fn spawn_with(&self, discovery: SocketAddr) -> Process {
        let number = self.processes.fetch_add(1, Ordering::Relaxed);
        let log = self.folder.join(format!("{number}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgergauge"));
        command
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_NAME", NAME)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_CONTROL", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &self.folder)
            .stderr(Stdio::from(File::create(&log).expect("created")));
        Process::new(command.spawn().expect("starts"), log)
    }

    /// Starts a process, without waiting for anything.
    pub fn spawn(&self) -> Process {
        self.spawn_with(self.discovery)
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&self) -> Process {
        let process = self.spawn();
        process.becomes_ready();
        process
    }

    /// Starts a process that takes over from a running one, and waits until it is ready.
    pub fn start_successor(&self) -> Process {
        let process = self.start();
        process.logs(TAKEN_OVER);
        process
    }

    /// A successor that has the sockets of this process, is not ready, and is held there.
    pub fn held_successor(&self, old: &Process) -> Process {
        let held = self.held_before_ready();
        old.logs("a new process has the listening sockets");
        held
    }

    /// A process that has asked the running one for its sockets, is not ready, and is held there. It waits for its first
    /// list only a moment: one that has got further, on a busy machine, is ended and another one is started.
    pub fn held_before_ready(&self) -> Process {
        let mut held = None;
        until("each process gets ready before it is held", || {
            let before = self.rendezvous_file();
            let discovery = Discovery::new();
            let process = self.spawn_with(discovery.address);
            // It calls discovery once it has been answered.
            let _call = discovery.call();
            process.hold();
            // Logs are written behind what is done; one that is ready has replaced the file where processes meet.
            held = (self.rendezvous_file() == before).then_some(process);
            held.is_some()
        });
        held.expect("there")
    }

    /// What tells the file where processes meet from one that replaces it.
    fn rendezvous_file(&self) -> (u64, i64, i64) {
        let file = fs::metadata(self.rendezvous().path()).expect("a process waits for its successor");
        (file.ino(), file.ctime(), file.ctime_nsec())
    }

    /// Asks for one part, on a connection of its own.
    pub fn post(&self, id: &str) -> Outcome {
        self.post_to(id, 0)
    }

    /// The same, for the part that the tile server of this number holds.
    pub fn post_to(&self, id: &str, tile: usize) -> Outcome {
        exchange(self.listen, &request("search", id, &[tile as u32], 50_000))
    }

    /// A whole list of this version, in which the last tile server has this status.
    pub fn list(&self, index: u64, status: &str) -> Value {
        let lines = self.tiles.iter().zip(0..).map(|(tile, cell)| {
            let status = if cell + 1 == TILES { status } else { "up" };
            line(&format!("s{cell}"), tile.address, cell, status)
        });
        json!({"index": index, "snapshot": true, "endpoints": lines.collect::<Vec<_>>()})
    }

    /// Changes the configuration of processes that start from now on.
    pub fn configure(&self, change: impl FnOnce(&mut Value)) {
        let path = self.folder.join("config.json");
        let text = fs::read_to_string(&path).expect("written before");
        let mut config = serde_json::from_str(&text).expect("JSON");
        change(&mut config);
        fs::write(path, config.to_string()).expect("written");
    }

    /// Asks some times, each on a connection of its own, which all must be answered.
    pub fn serves(&self, name: &str) {
        for number in 0..20 {
            assert_eq!(self.post(&format!("{name}-{number}")), Outcome::Answered(200), "{name}, {number}");
        }
    }
}
