//! `badgergauge serve` and `badgergauge check`.

use badgergauge::broker::Broker;
use badgergauge::config::Config;
use badgergauge::inventory::{InventoryWarning, UnheldShards};
use badgergauge::{inventory, log};

use crate::{EXIT_ERROR, EXIT_OK};

/// Runs the broker until SIGTERM and returns the exit code.
pub fn serve() -> u8 {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(errors) => {
            eprintln!("badgergauge: {errors}");
            return EXIT_ERROR;
        }
    };
    let guard = log::start(config.service.log);
    if let Err(error) = &guard {
        eprintln!("badgergauge: cannot start logging: {error}");
    }
    match Broker::start(config).and_then(Broker::run) {
        Ok(()) => EXIT_OK,
        Err(error) => {
            drop(guard);
            eprintln!("badgergauge: {error}");
            EXIT_ERROR
        }
    }
}

/// Reports every error in the configuration and returns the exit code.
pub fn check() -> u8 {
    let mut errors: Vec<String> = Vec::new();
    match Config::from_env() {
        Err(found) => errors.extend(found.0.iter().map(ToString::to_string)),
        Ok(config) => {
            if let Some(path) = config.ogc.as_ref().and_then(|ogc| ogc.inventory.as_ref()) {
                match inventory::load(path, &config.settings.router) {
                    Ok(servers) => {
                        if let Some(shards) = UnheldShards::find(&servers, &config.settings.router) {
                            let warning = InventoryWarning::UnheldShards(shards);
                            eprintln!("badgergauge: warning: {}: {warning}", path.display());
                        }
                    }
                    Err(found) => errors.extend(found.iter().map(ToString::to_string)),
                }
            }
            if errors.is_empty() {
                let on_off = |on: bool| if on { "on" } else { "off" };
                println!("{}: sound", config.name);
                println!("clients: {}", config.listen);
                let control = config.control.map_or_else(|| "off".to_owned(), |address| address.to_string());
                println!("control: {control}");
                println!("OGC front: {}", on_off(config.ogc.is_some()));
                println!("trace: {}", on_off(config.service.trace.is_some()));
            }
        }
    }
    for error in &errors {
        eprintln!("badgergauge: {error}");
    }
    if errors.is_empty() { EXIT_OK } else { EXIT_ERROR }
}
