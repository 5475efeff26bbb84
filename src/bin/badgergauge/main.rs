//! One broker on real sockets.

use std::process::ExitCode;

use badgergauge::broker::Broker;
use badgergauge::config::Config;

fn main() -> ExitCode {
    let broker = match Config::from_env() {
        Ok(config) => Broker::start(config).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match broker.and_then(|broker| broker.run().map_err(|error| error.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgergauge: {error}");
            ExitCode::FAILURE
        }
    }
}
