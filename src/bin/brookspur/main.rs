//! One broker on real sockets.

use std::process::ExitCode;

use brookspur::broker::Broker;
use brookspur::config::Config;

fn main() -> ExitCode {
    let broker = match Config::from_env() {
        Ok(config) => Broker::start(config).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match broker.and_then(|broker| broker.run().map_err(|error| error.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brookspur: {error}");
            ExitCode::FAILURE
        }
    }
}
