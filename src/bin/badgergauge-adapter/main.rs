//! Speaks the simulator's wire on standard input and output, one [`badgergauge::Router`] an instance.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let stdin = io::stdin().lock();
    let mut stdout = io::stdout().lock();
    for (index, line) in stdin.lines().enumerate() {
        let reply = line.map_err(|error| error.to_string()).and_then(|line| host.round(&line));
        match reply {
            Ok(reply) => {
                if writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(fault) => {
                eprintln!("badgergauge-adapter: line {}: {fault}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
