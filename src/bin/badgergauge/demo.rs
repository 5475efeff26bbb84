//! `badgergauge demo`: simulated tile servers and a broker in one process, on loopback ports that the
//! operating system assigns.

use std::path::{Path, PathBuf};
use std::{fs, io, thread};

use badgergauge::broker::Broker;
use badgergauge::config::Config;
use badgergauge::log;
use badgergauge_standin::TileServer;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{EXIT_ERROR, EXIT_OK};

/// Number of shards in the demo; one shard is one tile block.
const BLOCKS: usize = 24;

/// Arguments of `badgergauge demo`.
#[derive(clap::Args)]
pub struct Arguments {
    /// Number of simulated tile servers.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(2..=64))]
    servers: u8,
}

/// A temporary directory that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("badgergauge-demo-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs the demo until Ctrl-C or SIGTERM and returns the exit code.
pub fn run(arguments: &Arguments) -> u8 {
    match run_demo(arguments) {
        Ok(()) => EXIT_OK,
        Err(error) => {
            eprintln!("badgergauge: demo: {error}");
            EXIT_ERROR
        }
    }
}

fn run_demo(arguments: &Arguments) -> Result<(), String> {
    let message = |error: io::Error| error.to_string();
    let dir = TempDir::new().map_err(message)?;
    let count = usize::from(arguments.servers);
    let servers = (0..count).map(|_| TileServer::start()).collect::<Result<Vec<_>, _>>().map_err(message)?;
    let config = write_config(&dir.0, &servers).map_err(message)?;
    let config = Config::from_files(&config, &dir.0.join("ogc.yaml")).map_err(|errors| errors.to_string())?;
    let _log = log::start(config.service.log)?;
    let broker = Broker::start(config).map_err(message)?;
    // Ctrl-C is handled as SIGTERM: accepted requests are answered before the process exits.
    let mut signals = signal_hook::iterator::Signals::new([SIGINT]).map_err(message)?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            let _ = signal_hook::low_level::raise(SIGTERM);
        }
    });
    let [platform, ogc] = broker.addresses()[..] else { return Err("a client listener is missing".into()) };
    println!("{count} tile servers, {BLOCKS} tile blocks, one broker. Press Ctrl-C to stop.\n");
    println!("Platform protocol, one query with two parts:\n");
    println!(
        "  curl -s http://{platform}/parcel-search -H 'X-Request-ID: d1' -H 'X-Timeout: 5000m' \
         -d '{{\"tablets\":[{{\"tablet\":3,\"fraction\":0.5}},{{\"tablet\":9,\"fraction\":0.5}}],\"statement\":\"c41e77d0\"}}'\n"
    );
    println!("OGC feature query (WFS 2.0), one page of five features:\n");
    println!(
        "  curl -s 'http://{ogc}/wfs?SERVICE=WFS&VERSION=2.0.2&REQUEST=GetFeature&TYPENAMES=tcm:parcel&COUNT=5'\n"
    );
    broker.run().map_err(message)
}

/// Writes the configuration, the inventory and the OGC front's configuration to `dir`; returns the path of
/// the configuration.
fn write_config(dir: &Path, servers: &[TileServer]) -> io::Result<PathBuf> {
    let class = |name: &str, effect: &str, credit: f64| {
        json!({"name": name, "effect": effect, "credit": credit, "lateShare": 0.3,
            "aimNs": 2_000_000_000_u64, "deadlineNs": 5_000_000_000_u64, "windowNs": 5_000_000_000_u64})
    };
    let config = json!({"name": "demo", "listen": "127.0.0.1:0", "seed": "1", "settings": {
        "balancers": 1, "granularityNs": 5_000_000, "zones": ["cardiff", "newport"], "registryMode": "pushed",
        "extra": {"batch": 1, "callNs": 0, "followUp": [0, 0, 0], "incompleteWorth": [0.9, 0.9, 0.8],
            "leastShare": [1.0, 1.0, 0.8], "needByClass": [1.0, 1.0, 1.0],
            "sets": servers.len(), "slices": BLOCKS, "width": 2},
        "limits": {"cancel": true, "maxAttempts": 4, "maxOpen": 1000, "maxRetryAfterNs": 2_000_000_000_u64,
            "maxStreams": 100, "mayProbe": true, "retryAfter": true, "secondCopies": false},
        "profiles": [class("parcel-search", "safe", 1.0), class("title-flag", "keyed", 2.0),
            class("area-report", "safe", 5.0)],
        "safety": {"coldFrom": 0.2, "coldNs": 17_000_000_000_u64, "fallMultiple": 2.0,
            "overloadForNs": 1_000_000_000}}});
    let mut inventory = "name,address,zone,cell,state\n".to_owned();
    for (index, server) in servers.iter().enumerate() {
        let zone = if index % 2 == 0 { "cardiff" } else { "newport" };
        inventory.push_str(&format!("tile{index:02},{},{zone},{index},up\n", server.address()));
    }
    let ogc = "listen: \"127.0.0.1:0\"\ninventory: inventory.csv\n\
        namespace: {prefix: tcm, uri: \"urn:tir-cymru-mapping:parcels\"}\nfeature_types:\n  \
        - {name: parcel, title: Land parcels, class: parcel-search, \
        grid: {extent: [160000, 160000, 360000, 400000], columns: 4, rows: 6}}\n";
    let path = dir.join("config.json");
    fs::write(&path, config.to_string())?;
    fs::write(dir.join("inventory.csv"), inventory)?;
    fs::write(dir.join("ogc.yaml"), ogc)?;
    Ok(path)
}
