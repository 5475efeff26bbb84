//! The settings that the harness's platform gives a broker, what it tells the stand-ins, and the classes that its clients
//! ask.

use std::time::Duration;

use badgergauge_standin::ledger;
use badgergauge_standin::model::ServerParameters;
use badgergauge_standin::world::{ServerConfig, WorldConfig};
use serde_json::{Value, json};

use super::Options;
use crate::load::{Class, Effect};
use crate::scenario::Scenario;
use crate::schedule::{Schedule, zone_of};

/// The window of keyed queries.
pub const WINDOW: Duration = Duration::from_secs(5);

/// What a query of each class earns, in their order.
const CREDITS: [f64; 4] = [1.0, 2.0, 5.0, 3.0];
/// What an answer that is not whole is worth, by class.
const INCOMPLETE_WORTH: [f64; 4] = [0.9, 0.9, 0.8, 0.9];

/// The classes that clients ask.
pub fn classes(scenario: &Scenario) -> Vec<Class> {
    let class = |name: &str, effect: Effect, least: f64, share: f64| Class {
        name: name.to_owned(),
        aim: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        effect,
        least,
        share,
    };
    let mut classes = vec![
        class("parcel-search", Effect::Safe, 1.0, 0.7),
        class("title-flag", Effect::Keyed, 1.0, 0.15),
        class("area-report", Effect::Safe, 0.8, 0.15),
    ];
    if scenario.unsafe_share > 0.0 {
        let safe_share = 1.0 - scenario.unsafe_share;
        classes.iter_mut().for_each(|class| class.share *= safe_share);
        classes.push(class("title-transfer", Effect::Unsafe, 1.0, scenario.unsafe_share));
    }
    classes
}

/// The settings, as the platform gives them.
pub fn settings(scenario: &Scenario, me: usize) -> Value {
    let classes = classes(scenario);
    let each = |value: f64| vec![value; classes.len()];
    let least: Vec<f64> = classes.iter().map(|class| class.least).collect();
    let profiles: Vec<Value> = classes
        .iter()
        .zip(CREDITS)
        .map(|(class, credit)| {
            json!({"name": class.name, "effect": class.effect, "credit": credit,
                "lateShare": 0.3, "aimNs": class.aim.as_nanos() as u64,
                "deadlineNs": class.deadline.as_nanos() as u64, "windowNs": scenario.idempotency_window.as_nanos() as u64})
        })
        .collect();
    let zones: Vec<String> = (0..scenario.zones).map(|zone| format!("z{zone}")).collect();
    json!({"balancers": scenario.brokers, "me": me, "granularityNs": 5_000_000,
        "locality": zone_of(me, scenario.zones), "zones": zones, "clients": {"marksRetry": true},
        "registryMode": if scenario.on_request { "on_request" } else { "pushed" }, "profiles": profiles,
        "extra": {"batch": 1, "callNs": 0, "followUp": vec![0; classes.len()],
            "incompleteWorth": INCOMPLETE_WORTH[..classes.len()], "leastShare": least, "needByClass": each(1.0), "sets": scenario.cells,
            "slices": blocks(scenario), "width": scenario.width},
        "limits": {"cancel": true, "maxAttempts": 4, "maxOpen": 4000, "maxRetryAfterNs": 2_000_000_000_u64,
            "maxStreams": 100, "mayProbe": false, "retryAfter": true, "secondCopies": false, "peers": true},
        "prices": {"handshake": 0.001, "peer": 0.01},
        "safety": {"drainGraceNs": ledger::DRAIN_GRACE.as_nanos() as u64, "coldFrom": scenario.tile.cold_from, "coldNs": scenario.tile.warm_up_time.as_nanos() as u64,
            "fallMultiple": scenario.tile.fall_multiple, "overloadForNs": 1_000_000_000}})
}

/// Tile blocks that there are.
pub fn blocks(scenario: &Scenario) -> u32 {
    scenario.cells as u32 * 4
}

/// A server as it stands in lists.
pub fn placed(scenario: &Scenario, server: usize, cell: usize, up: bool) -> ServerConfig {
    let (name, zone) = (format!("t{server:03}"), format!("z{}", zone_of(server, scenario.zones)));
    ServerConfig { name, zone, cell: cell as u32, initially_up: up }
}

/// What the stand-ins are told of the fleet.
pub fn setting(scenario: &Scenario, options: &Options, schedule: &Schedule) -> WorldConfig {
    let first = (0..scenario.servers).map(|server| (server, server % scenario.cells, true));
    let later = schedule.added_servers.iter().enumerate();
    let later = later.map(|(n, cell)| (scenario.servers + n, *cell, false));
    let placed = first.chain(later).map(|(server, cell, up)| placed(scenario, server, cell, up));
    WorldConfig {
        parameters: ServerParameters {
            workers: scenario.tile.workers,
            mean_service_time: scenario.tile.mean_service_time,
            queue_limit: scenario.tile.queue_limit,
            max_connections: scenario.tile.max_connections,
            cold_from: scenario.tile.cold_from,
            warm_up_time: scenario.tile.warm_up_time,
            fall_multiple: scenario.tile.fall_multiple,
            load_window: Duration::from_secs(1),
            restart_delay: Duration::from_secs(1),
        },
        servers: placed.collect(),
        brokers: scenario.brokers,
        cells: scenario.cells as u32,
        width: scenario.width as u32,
        idempotency_window: options.window.min(scenario.idempotency_window),
        read_lag: scenario.tile.read_lag,
        pushed: !scenario.on_request,
        indented: scenario.indented,
        seed: scenario.seed,
    }
}
