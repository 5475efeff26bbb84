//! The broker, and the tools round it.

mod demo;
mod fleet;
mod serve;
mod soak;
mod store;
mod trace;

use std::io;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

/// Done.
pub const DONE: u8 = 0;
/// What was given can't be used.
pub const REFUSED: u8 = 1;
/// A result that is not complete was written all the same.
pub const INCOMPLETE: u8 = 3;
/// A run of a fleet broke a rule.
pub const BROKEN: u8 = 4;

/// A broker for sharded queries, and the tools round it.
///
/// Without a command it serves, by the variables and files that the README lists.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, 1 input refused, 2 wrong usage, 3 a result that is not \
    complete was written all the same, 4 a fleet broke a rule.\n\nExample:\n  badgergauge demo"
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves until SIGTERM; the same as no command.
    #[command(after_help = "Example:\n  BALANCER_NAME=n0 BALANCER_LISTEN=127.0.0.1:9000 \
        BALANCER_DISCOVERY=127.0.0.1:8500 \\\n    BALANCER_CONFIG=config.json badgergauge serve")]
    Serve,
    /// Reads all configuration as a start would and says every fault, with its file, line and key.
    #[command(after_help = "Example:\n  BALANCER_CONFIG=config.json BALANCER_SERVICE=service.yaml \
        badgergauge check")]
    Check,
    /// Puts up stand-in tile servers and a broker on loopback ports, and says how to ask them.
    #[command(after_help = "Example:\n  badgergauge demo --servers 6    # and Ctrl-C when done")]
    Demo(demo::Arguments),
    /// Runs a fleet of brokers as processes on loopback, with faults between them, and reports what was seen.
    #[command(
        subcommand,
        after_help = "Example:\n  badgergauge fleet run scenarios/herd.yaml --out run && \
        badgergauge fleet report run"
    )]
    Fleet(fleet::Fleet),
    /// Looks into the store of a broker that is not running.
    #[command(subcommand, after_help = "Example:\n  badgergauge store info /var/lib/badgergauge/state")]
    Store(store::Tool),
    /// Makes, reads, cuts, merges, masks and checks trace files.
    #[command(
        subcommand,
        after_help = "Example:\n  badgergauge trace synth --duration 1m --out t && badgergauge \
        trace summary t"
    )]
    Trace(trace::Trace),
    /// Writes the completions for a shell to standard output.
    #[command(after_help = "Example:\n  badgergauge completions bash > badgergauge.bash")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let code = match Arguments::parse().command.unwrap_or(Command::Serve) {
        Command::Serve => serve::serve(),
        Command::Check => serve::check(),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Fleet(tool) => fleet::run(tool),
        Command::Store(tool) => store::run(tool),
        Command::Trace(tool) => trace::run(tool),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "badgergauge", &mut io::stdout());
            DONE
        }
    };
    ExitCode::from(code)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound() {
        Arguments::command().debug_assert();
    }
}
