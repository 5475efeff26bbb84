//! The environment shared by the processes of one broker: directory, address, configuration, discovery, tile
//! servers.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use badgergauge::handover::Rendezvous;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::harness::{Discovery, request, server_entry, wait_until};
use crate::load::{Outcome, exchange};
use crate::process::Process;
use crate::program;
use crate::tiles::{TileServer, start_discovery};

const NAME: &str = "n0";
const TILE_SERVERS: u32 = 2;
/// Logged by a successor once it has the sockets.
pub const TAKEN_OVER_LOG: &str = "sockets of the running process are taken over";

/// The environment of one broker.
pub struct Fixture {
    directory: PathBuf,
    /// The address on which clients connect, the same for each process.
    pub listen: SocketAddr,
    /// Reserves the port while no process listens. This socket does not listen itself.
    _port: Socket,
    pub tile_servers: Vec<TileServer>,
    discovery: SocketAddr,
    processes: AtomicU32,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Fixture {
    pub fn new(name: &str) -> Self {
        Fixture::with(name, |_, _| {})
    }

    /// Creates an environment in which `change` has modified the settings and the entries of discovery's
    /// list.
    pub fn with(name: &str, change: impl FnOnce(&mut Value, &mut [Value])) -> Self {
        // Kept short, as the length of a Unix socket path is limited.
        let directory = std::env::temp_dir().join(format!("bg-up-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory).expect("created");
        let port = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        port.set_reuse_address(true).expect("set");
        port.set_reuse_port(true).expect("set");
        port.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
        let listen = port.local_addr().expect("bound").as_socket().expect("an IP address");
        let tile_servers: Vec<TileServer> = (0..TILE_SERVERS).map(|_| TileServer::start()).collect();
        let addresses: Vec<String> = tile_servers.iter().map(|server| server.address.to_string()).collect();
        let mut config = program::config(&addresses);
        let mut entries: Vec<_> = tile_servers
            .iter()
            .zip(0..)
            .map(|(server, cell)| server_entry(&format!("s{cell}"), server.address, cell, "up"))
            .collect();
        change(&mut config["settings"], &mut entries);
        config["known"]["endpoints"] = entries.iter().cloned().collect();
        fs::write(directory.join("config.json"), config.to_string()).expect("written");
        let discovery = start_discovery(&json!({"index": 1, "snapshot": true, "endpoints": entries}));
        Fixture { directory, listen, _port: port, tile_servers, discovery, processes: AtomicU32::new(0) }
    }

    /// The path of the hand-over socket.
    pub fn rendezvous(&self) -> Rendezvous {
        Rendezvous::new(&self.directory, NAME, self.listen)
    }

    /// Starts a process with this discovery and returns without waiting.
    pub fn spawn_with_discovery(&self, discovery: SocketAddr) -> Process {
        let number = self.processes.fetch_add(1, Ordering::Relaxed);
        let log = self.directory.join(format!("{number}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgergauge"));
        command
            .env("BALANCER_CONFIG", self.directory.join("config.json"))
            .env("BALANCER_NAME", NAME)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_CONTROL", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &self.directory)
            .stderr(Stdio::from(File::create(&log).expect("created")));
        Process::new(command.spawn().expect("starts"), log)
    }

    /// Starts a process and returns without waiting.
    pub fn spawn(&self) -> Process {
        self.spawn_with_discovery(self.discovery)
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&self) -> Process {
        let process = self.spawn();
        process.wait_until_ready();
        process
    }

    /// Starts a process that takes over from a running one, and waits until it is ready.
    pub fn start_successor(&self) -> Process {
        let process = self.start();
        process.wait_for_log(TAKEN_OVER_LOG);
        process
    }

    /// Starts a successor and suspends it when it has received the sockets of `old` but is not ready yet.
    pub fn start_suspended_successor(&self, old: &Process) -> Process {
        let successor = self.start_suspended();
        old.wait_for_log("a new process has the listening sockets");
        successor
    }

    /// Starts a process and suspends it when it has requested the sockets of the running one but is not ready
    /// yet. As it waits only briefly for its first list, it may already be ready on a busy machine. It is
    /// then killed and another one is started.
    pub fn start_suspended(&self) -> Process {
        let mut suspended = None;
        wait_until("every process is ready before it is suspended", || {
            let before = self.socket_identity();
            let discovery = Discovery::new();
            let process = self.spawn_with_discovery(discovery.address);
            // The process calls discovery after the running process has answered it.
            let _call = discovery.accept_call();
            process.suspend();
            // The log may lag behind, but a process that is ready has replaced the hand-over socket.
            suspended = (self.socket_identity() == before).then_some(process);
            suspended.is_some()
        });
        suspended.expect("started")
    }

    /// Inode and change time of the hand-over socket, which differ once it is replaced.
    fn socket_identity(&self) -> (u64, i64, i64) {
        let file = fs::metadata(self.rendezvous().path()).expect("a process listens for its successor");
        (file.ino(), file.ctime(), file.ctime_nsec())
    }

    /// Sends a query with one part, for the first tile server, on a new connection.
    pub fn query(&self, id: &str) -> Outcome {
        self.query_server(id, 0)
    }

    /// Sends a query with one part, for the tile server of this index, on a new connection.
    pub fn query_server(&self, id: &str, index: usize) -> Outcome {
        exchange(self.listen, &request("search", id, &[index as u32], 50_000))
    }

    /// A complete server list of this version, in which the last tile server has this status.
    pub fn server_list(&self, index: u64, status: &str) -> Value {
        let entries = self.tile_servers.iter().zip(0..).map(|(server, cell)| {
            let status = if cell + 1 == TILE_SERVERS { status } else { "up" };
            server_entry(&format!("s{cell}"), server.address, cell, status)
        });
        json!({"index": index, "snapshot": true, "endpoints": entries.collect::<Vec<_>>()})
    }

    /// Modifies the configuration of processes that are started later.
    pub fn edit_config(&self, change: impl FnOnce(&mut Value)) {
        let path = self.directory.join("config.json");
        let text = fs::read_to_string(&path).expect("written by `with`");
        let mut config = serde_json::from_str(&text).expect("JSON");
        change(&mut config);
        fs::write(path, config.to_string()).expect("written");
    }

    /// Sends 20 queries, each on a new connection, and checks that all succeed.
    pub fn assert_serves(&self, name: &str) {
        for number in 0..20 {
            assert_eq!(self.query(&format!("{name}-{number}")), Outcome::Answered(200), "{name}, {number}");
        }
    }
}
