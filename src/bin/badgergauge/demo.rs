//! `demo`: a fleet of stand-ins and a broker over them, in one process, on loopback ports of its own.

use std::path::{Path, PathBuf};
use std::{fs, io, thread};

use badgergauge::broker::Broker;
use badgergauge::config::Config;
use badgergauge::log;
use badgergauge_standin::TileServer;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{DONE, REFUSED};

/// Tile blocks of the demo.
const BLOCKS: usize = 24;

/// What `demo` is told.
#[derive(clap::Args)]
pub struct Arguments {
    /// Stand-in tile servers.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(2..=64))]
    servers: u8,
}

/// A folder that goes with the demo.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("badgergauge-demo-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs until Ctrl-C or SIGTERM.
pub fn run(arguments: &Arguments) -> u8 {
    match demo(arguments) {
        Ok(()) => DONE,
        Err(error) => {
            eprintln!("badgergauge: demo: {error}");
            REFUSED
        }
    }
}

fn demo(arguments: &Arguments) -> Result<(), String> {
    let plain = |error: io::Error| error.to_string();
    let folder = Folder::new().map_err(plain)?;
    let count = usize::from(arguments.servers);
    let servers = (0..count).map(|_| TileServer::start()).collect::<Result<Vec<_>, _>>().map_err(plain)?;
    let config = write(&folder.0, &servers).map_err(plain)?;
    let config =
        Config::from_files(&config, &folder.0.join("ogc.yaml")).map_err(|faults| faults.to_string())?;
    let _log = log::start(config.service.log)?;
    let broker = Broker::start(config).map_err(plain)?;
    // Ctrl-C ends it as SIGTERM does: what was taken is answered first.
    let mut signals = signal_hook::iterator::Signals::new([SIGINT]).map_err(plain)?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            let _ = signal_hook::low_level::raise(SIGTERM);
        }
    });
    let [platform, ogc] = broker.addresses()[..] else { return Err("a front does not listen".into()) };
    println!("{count} tile servers, {BLOCKS} tile blocks, one broker. Ctrl-C ends it.\n");
    println!("The platform's protocol, one query of two parts:\n");
    println!(
        "  curl -s http://{platform}/parcel-search -H 'X-Request-ID: d1' -H 'X-Timeout: 5000m' \
         -d '{{\"tablets\":[{{\"tablet\":3,\"fraction\":0.5}},{{\"tablet\":9,\"fraction\":0.5}}],\"statement\":\"c41e77d0\"}}'\n"
    );
    println!("OGC feature queries (WFS 2.0), a page of five:\n");
    println!(
        "  curl -s 'http://{ogc}/wfs?SERVICE=WFS&VERSION=2.0.2&REQUEST=GetFeature&TYPENAMES=tcm:parcel&COUNT=5'\n"
    );
    broker.run().map_err(plain)
}

/// Writes the demo's configuration, inventory and front, and gives the configuration's path.
fn write(dir: &Path, servers: &[TileServer]) -> io::Result<PathBuf> {
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
