//! Helpers for tests that run the built program as a process: its configuration, its start up to the log line
//! with its address, and an HTTP exchange.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};

/// The configuration of the recorded exchanges, with one known server per address: server `s{cell}` of cell
/// `cell` at `addresses[cell]`.
pub fn config(addresses: &[String]) -> Value {
    let mut config: Value = serde_json::from_str(include_str!("../exchanges/config.json")).expect("JSON");
    for (cell, address) in addresses.iter().enumerate() {
        let entry = json!({"name": format!("s{cell}"), "address": address, "zone": "z", "group": cell,
            "status": "up", "since_ms": 0});
        config["known"]["endpoints"].as_array_mut().expect("a list").push(entry);
    }
    config
}

/// The command that runs the broker with this configuration file on a port that the operating system assigns.
/// Its discovery address refuses connections, so that it uses the configured list of known servers.
pub fn broker_command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgergauge"));
    command
        .env("BALANCER_CONFIG", config)
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", "127.0.0.1:1");
    command
}

/// Starts the broker and reads its log up to the line with its address. Returns the process, the address and
/// the rest of the log, which the caller must keep reading: a full pipe stops the log.
pub fn start_broker(mut command: Command) -> (Child, String, impl Iterator<Item = String> + Send + 'static) {
    let mut program = command.stderr(Stdio::piped()).spawn().expect("starts");
    let mut lines = BufReader::new(program.stderr.take().expect("piped")).lines().map_while(Result::ok);
    let line = lines.by_ref().find(|line| line.contains(" listens ")).expect("it listens");
    let address = line.rsplit(' ').next().expect("an address").to_owned();
    (program, address, lines)
}

/// Sends a request and returns everything received until the connection is closed.
pub fn exchange(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("listens");
    stream.write_all(request.as_bytes()).expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response
}
