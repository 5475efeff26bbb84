//! Adapter for the simulator: reads batches of events from standard input, one JSON object per line, and
//! writes the actions of each batch to standard output. Each simulated instance is a [`badgergauge::Router`].

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut instances = wire::Instances::default();
    let stdin = io::stdin().lock();
    let mut stdout = io::stdout().lock();
    for (index, line) in stdin.lines().enumerate() {
        let reply = line.map_err(|error| error.to_string()).and_then(|line| instances.process_batch(&line));
        match reply {
            Ok(reply) => {
                if writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("badgergauge-adapter: line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
