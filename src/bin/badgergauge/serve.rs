//! `serve` and `check`.

use badgergauge::broker::Broker;
use badgergauge::config::Config;
use badgergauge::{inventory, log};

use crate::{DONE, REFUSED};

/// Serves until SIGTERM.
pub fn serve() -> u8 {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("badgergauge: {faults}");
            return REFUSED;
        }
    };
    let guard = log::start(config.service.log);
    if let Err(error) = &guard {
        eprintln!("badgergauge: no log: {error}");
    }
    match Broker::start(config).and_then(Broker::run) {
        Ok(()) => DONE,
        Err(error) => {
            drop(guard);
            eprintln!("badgergauge: {error}");
            REFUSED
        }
    }
}

/// Says every fault of the configuration.
pub fn check() -> u8 {
    let mut faults: Vec<String> = Vec::new();
    match Config::from_env() {
        Err(found) => faults.extend(found.0.iter().map(ToString::to_string)),
        Ok(config) => {
            if let Some(path) = config.ogc.as_ref().and_then(|ogc| ogc.inventory.as_ref()) {
                match std::fs::read_to_string(path) {
                    Ok(text) => {
                        faults.extend(inventory::errors(path, &text).iter().map(ToString::to_string));
                    }
                    Err(error) => faults.push(format!("{}: {error}", path.display())),
                }
            }
            if faults.is_empty() {
                let on = |on: bool| if on { "on" } else { "off" };
                println!("{}: sound", config.name);
                println!("clients: {}", config.listen);
                let control = config.control.map_or_else(|| "off".to_owned(), |address| address.to_string());
                println!("control: {control}");
                println!("OGC front: {}", on(config.ogc.is_some()));
                println!("trace: {}", on(config.service.trace.is_some()));
            }
        }
    }
    for fault in &faults {
        eprintln!("badgergauge: {fault}");
    }
    if faults.is_empty() { DONE } else { REFUSED }
}
