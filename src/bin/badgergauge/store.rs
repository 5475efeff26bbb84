//! `badgergauge store`: inspects a broker's store.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use badgergauge::config::Config;
use badgergauge::discovery::ServerList;
use badgergauge::net::clock::Clock;
use badgergauge::state;
use badgergauge_store::engine::Store;

use crate::{EXIT_ERROR, EXIT_OK};

/// Subcommands of `badgergauge store`.
#[derive(clap::Subcommand)]
pub enum StoreCommand {
    /// Shows which broker the store belongs to, and a summary of its contents.
    #[command(after_help = "Example:\n  badgergauge store info /var/lib/badgergauge/state")]
    Info(StorePath),
    /// Reads all records, and shows which of them the broker would restore with its present configuration,
    /// and why.
    #[command(after_help = "Example:\n  BALANCER_CONFIG=config.json badgergauge store check \
        /var/lib/badgergauge/state")]
    Check(StorePath),
    /// Prints every record as one line of JSON.
    #[command(after_help = "Example:\n  badgergauge store dump /var/lib/badgergauge/state")]
    Dump(StorePath),
}

/// Location of the store.
#[derive(clap::Args)]
pub struct StorePath {
    /// Store file. The broker must not be running, as it holds a lock on the file.
    path: PathBuf,
}

/// Runs a subcommand and returns the exit code.
pub fn run(command: StoreCommand) -> u8 {
    let (path, result) = match command {
        StoreCommand::Info(StorePath { path }) => (path.clone(), info(&path)),
        StoreCommand::Check(StorePath { path }) => (path.clone(), check(&path)),
        StoreCommand::Dump(StorePath { path }) => (path.clone(), dump(&path)),
    };
    match result {
        Ok(()) => EXIT_OK,
        Err(error) => {
            eprintln!("badgergauge: store: {}: {error}", path.display());
            EXIT_ERROR
        }
    }
}

fn message(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn info(path: &Path) -> Result<(), String> {
    let store = Store::open_existing(path).map_err(message)?;
    let (header, stored) = (store.header(), store.read().map_err(message)?);
    println!("broker {}, installation {}, format {}", header.name, header.site, header.format);
    println!("opened {} times; discovery {:?}, version {}", header.opened, header.discovery, header.index);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for server in stored.servers.values() {
        *counts.entry(format!("{:?}", server.status).to_lowercase()).or_default() += 1;
    }
    let counts: Vec<String> = counts.iter().map(|(status, count)| format!("{count} {status}")).collect();
    let size = std::fs::metadata(path).map_err(message)?.len();
    println!("{} servers ({}), {} kB", stored.servers.len(), counts.join(", "), size / 1024);
    Ok(())
}

fn check(path: &Path) -> Result<(), String> {
    let stored = Store::open_existing(path).and_then(|store| store.read()).map_err(message)?;
    println!("sound: {} servers", stored.servers.len());
    let config = Config::from_env().map_err(message)?;
    let clock = Clock::start();
    let known = config.known_servers.as_ref().map(|known| ServerList::from_value(known, &clock)).transpose();
    let known = known.map_err(|error| error.to_string())?;
    let discovery = config.discovery.map_or(String::new(), |at| at.to_string());
    match state::resolve_stored(&clock, &discovery, known.as_ref(), &stored) {
        Ok(resolutions) => {
            for (name, resolution) in resolutions {
                println!("{name}: {:?}, {}", resolution.status, resolution.reason);
            }
        }
        Err(reason) => println!("nothing would be believed: {reason}"),
    }
    Ok(())
}

fn dump(path: &Path) -> Result<(), String> {
    let stored = Store::open_existing(path).and_then(|store| store.read()).map_err(message)?;
    for (name, server) in stored.servers {
        println!("{}", serde_json::json!({"kind": "server", "name": name, "server": server}));
    }
    Ok(())
}
