//! `store`: a look into a broker's store.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use badgergauge::config::Config;
use badgergauge::discovery::ServerList;
use badgergauge::net::clock::Clock;
use badgergauge::state;
use badgergauge_store::engine::Store;

use crate::{DONE, REFUSED};

/// What `store` does.
#[derive(clap::Subcommand)]
pub enum Tool {
    /// Says whose store it is, and what is in it.
    #[command(after_help = "Example:\n  badgergauge store info /var/lib/badgergauge/state")]
    Info(At),
    /// Reads everything, and says what a start with the broker's configuration would believe of it and why.
    #[command(after_help = "Example:\n  BALANCER_CONFIG=config.json badgergauge store check \
        /var/lib/badgergauge/state")]
    Check(At),
    /// Writes every record as a line of JSON.
    #[command(after_help = "Example:\n  badgergauge store dump /var/lib/badgergauge/state")]
    Dump(At),
}

/// Which store.
#[derive(clap::Args)]
pub struct At {
    /// The file. The broker must not be running: it keeps the file for itself.
    path: PathBuf,
}

/// Runs one of them.
pub fn run(tool: Tool) -> u8 {
    let (path, done) = match tool {
        Tool::Info(At { path }) => (path.clone(), info(&path)),
        Tool::Check(At { path }) => (path.clone(), check(&path)),
        Tool::Dump(At { path }) => (path.clone(), dump(&path)),
    };
    match done {
        Ok(()) => DONE,
        Err(fault) => {
            eprintln!("badgergauge: store: {}: {fault}", path.display());
            REFUSED
        }
    }
}

fn plain(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn info(path: &Path) -> Result<(), String> {
    let store = Store::open_existing(path).map_err(plain)?;
    let (head, stored) = (store.header(), store.read().map_err(plain)?);
    println!("broker {}, installation {}, format {}", head.name, head.site, head.format);
    println!("opened {} times; discovery {:?}, version {}", head.opened, head.discovery, head.index);
    let mut standing: BTreeMap<String, usize> = BTreeMap::new();
    for server in stored.servers.values() {
        *standing.entry(format!("{:?}", server.status).to_lowercase()).or_default() += 1;
    }
    let counted: Vec<String> =
        standing.iter().map(|(standing, count)| format!("{count} {standing}")).collect();
    let size = std::fs::metadata(path).map_err(plain)?.len();
    println!("{} servers ({}), {} kB", stored.servers.len(), counted.join(", "), size / 1024);
    Ok(())
}

fn check(path: &Path) -> Result<(), String> {
    let stored = Store::open_existing(path).and_then(|store| store.read()).map_err(plain)?;
    println!("sound: {} servers", stored.servers.len());
    let config = Config::from_env().map_err(plain)?;
    let clock = Clock::start();
    let known = config.known.as_ref().map(|known| ServerList::from_value(known, &clock)).transpose();
    let known = known.map_err(|error| error.to_string())?;
    let discovery = config.discovery.map_or(String::new(), |at| at.to_string());
    match state::beliefs(&clock, &discovery, known.as_ref(), &stored) {
        Ok(beliefs) => {
            for (name, belief) in beliefs {
                println!("{name}: {:?}, {}", belief.status, belief.reason);
            }
        }
        Err(why) => println!("nothing would be believed: {why}"),
    }
    Ok(())
}

fn dump(path: &Path) -> Result<(), String> {
    let stored = Store::open_existing(path).and_then(|store| store.read()).map_err(plain)?;
    for (name, server) in stored.servers {
        println!("{}", serde_json::json!({"kind": "server", "name": name, "server": server}));
    }
    Ok(())
}
