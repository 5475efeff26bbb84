//! The `badgergauge` program: the broker and its command line tools.

mod demo;
mod fleet;
mod serve;
mod soak;
mod store;
mod trace;

use std::io;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

/// Exit code: success.
pub const EXIT_OK: u8 = 0;
/// Exit code: the input was refused or the command failed; for `trace verify`, a decision differs.
pub const EXIT_ERROR: u8 = 1;
/// Exit code: an incomplete result was written.
pub const EXIT_INCOMPLETE: u8 = 3;
/// Exit code: a fleet run broke a rule.
pub const EXIT_RULE_BROKEN: u8 = 4;

/// A broker for sharded queries, and its tools.
///
/// Without a command it runs the broker, configured by the environment variables and files listed in the
/// README.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 input refused or command failed, 2 wrong usage, 3 an \
    incomplete result was written, 4 a fleet broke a rule.\n\nExample:\n  badgergauge demo"
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the broker until SIGTERM; the default without a command.
    #[command(after_help = "Example:\n  BALANCER_NAME=n0 BALANCER_LISTEN=127.0.0.1:9000 \
        BALANCER_DISCOVERY=127.0.0.1:8500 \\\n    BALANCER_CONFIG=config.json badgergauge serve")]
    Serve,
    /// Validates the configuration that the broker would start with; reports every error with its file, line
    /// and key.
    #[command(after_help = "Example:\n  BALANCER_CONFIG=config.json BALANCER_SERVICE=service.yaml \
        badgergauge check")]
    Check,
    /// Starts simulated tile servers and a broker on loopback ports, and prints example requests.
    #[command(after_help = "Example:\n  badgergauge demo --servers 6    # stop it with Ctrl-C")]
    Demo(demo::Arguments),
    /// Runs a fleet of broker processes on loopback with injected faults, and reports the results.
    #[command(
        subcommand,
        after_help = "Example:\n  badgergauge fleet run scenarios/herd.yaml --out run && \
        badgergauge fleet report run"
    )]
    Fleet(fleet::Fleet),
    /// Inspects the store of a broker that is not running.
    #[command(subcommand, after_help = "Example:\n  badgergauge store info /var/lib/badgergauge/state")]
    Store(store::StoreCommand),
    /// Generates, reads, cuts, merges, masks and verifies trace files.
    #[command(
        subcommand,
        after_help = "Example:\n  badgergauge trace synth --duration 1m --out t && badgergauge \
        trace summary t"
    )]
    Trace(trace::Trace),
    /// Prints the completion script for a shell.
    #[command(after_help = "Example:\n  badgergauge completions bash > badgergauge.bash")]
    Completions {
        /// Shell to generate completions for.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let code = match Arguments::parse().command.unwrap_or(Command::Serve) {
        Command::Serve => serve::serve(),
        Command::Check => serve::check(),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Fleet(command) => fleet::run(command),
        Command::Store(command) => store::run(command),
        Command::Trace(tool) => trace::run(tool),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "badgergauge", &mut io::stdout());
            EXIT_OK
        }
    };
    ExitCode::from(code)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn command_line_definition_is_valid() {
        Arguments::command().debug_assert();
    }
}
