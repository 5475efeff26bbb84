//! The built program as a process, for the tests that start it: the recorded exchanges' configuration with
//! servers that are known, its start up to the line that names where it listens, and one exchange over HTTP.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};

/// The recorded exchanges' configuration, with server `s{cell}` of cell `cell` known at the address of that
/// place in the list.
pub fn config(addresses: &[String]) -> Value {
    let mut config: Value = serde_json::from_str(include_str!("../exchanges/config.json")).expect("JSON");
    for (cell, address) in addresses.iter().enumerate() {
        let line = json!({"name": format!("s{cell}"), "address": address, "zone": "z", "group": cell,
            "status": "up", "since_ms": 0});
        config["known"]["endpoints"].as_array_mut().expect("a list").push(line);
    }
    config
}

/// The broker with this configuration file, listening at a port that the system picks. Nobody listens at
/// its discovery: the list is the known one.
pub fn broker(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgergauge"));
    command
        .env("BALANCER_CONFIG", config)
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", "127.0.0.1:1");
    command
}

/// Starts it and reads its log up to the line that says where it listens. Gives the process, that address,
/// and the log's further lines, which have to be read for it not to stop.
pub fn listening(mut command: Command) -> (Child, String, impl Iterator<Item = String> + Send + 'static) {
    let mut program = command.stderr(Stdio::piped()).spawn().expect("starts");
    let mut lines = BufReader::new(program.stderr.take().expect("piped")).lines().map_while(Result::ok);
    let line = lines.by_ref().find(|line| line.contains(" listens ")).expect("it listens");
    let address = line.rsplit(' ').next().expect("an address").to_owned();
    (program, address, lines)
}

/// Writes one request whole and gives all that comes until the connection ends.
pub fn exchange(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("listens");
    stream.write_all(request.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}
