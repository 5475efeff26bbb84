//! A scenario's file, as YAML, and its reading.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::checks::Checks;
use super::{Event, Fault, Manner, Scenario, ScenarioFault, Signal, Tile};

/// Longest time for which a broker is held up, in milliseconds.
const MAX_HOLD_MS: f64 = 1000.0;
/// The window of keyed queries, in milliseconds.
const WINDOW_MS: f64 = 5000.0;
/// Longest time between two signals of a series, in milliseconds.
const MAX_SIGNAL_GAP_MS: f64 = 60_000.0;
/// Most connections of a crowd to one broker.
const MAX_CROWD: u64 = 10_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    brokers: Spanned<u64>,
    servers: Spanned<u64>,
    zones: Option<Spanned<u64>>,
    cells: Option<Spanned<u64>>,
    width: Option<Spanned<u64>>,
    rate: Spanned<f64>,
    parts: Option<Spanned<u64>>,
    seconds: Spanned<u64>,
    seed: Option<u64>,
    #[serde(default)]
    on_request: bool,
    #[serde(default)]
    indented: bool,
    #[serde(default)]
    store: bool,
    #[serde(default)]
    pooled: bool,
    unsafe_share: Option<Spanned<f64>>,
    unruly: Option<Spanned<f64>>,
    #[serde(default)]
    kills_early: bool,
    window_ms: Option<Spanned<f64>>,
    #[serde(default)]
    tile: TileFile,
    #[serde(default)]
    events: Vec<EventFile>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TileFile {
    workers: Option<Spanned<u64>>,
    service_ms: Option<Spanned<f64>>,
    queue: Option<Spanned<u64>>,
    connections: Option<Spanned<u64>>,
    cold_s: Option<Spanned<f64>>,
    cold_from: Option<Spanned<f64>>,
    fall_multiple: Option<Spanned<f64>>,
    read_lag_ms: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EventFile {
    at: Spanned<f64>,
    kill: Option<Some2>,
    roll: Option<Some2>,
    upgrade: Option<OfBrokers>,
    drain: Option<OfBrokers>,
    pause: Option<Some2>,
    hold: Option<HoldFile>,
    wipe_stores: Option<Share>,
    cut_stores: Option<Share>,
    reload: Option<Nothing>,
    signals: Option<SignalsFile>,
    crowd: Option<CrowdFile>,
    lose_zone: Option<OfZone>,
    partition: Option<Split>,
    replace: Option<Some2>,
    servers: Option<OfServers>,
    late: Option<Lateness>,
    turn_away: Option<Lasting>,
    silence: Option<Lasting>,
    network: Option<NetworkFile>,
}

/// A share, and the one time that goes with it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Some2 {
    share: Spanned<f64>,
    back_s: Option<Spanned<f64>>,
    every_s: Option<Spanned<f64>>,
    for_s: Option<Spanned<f64>>,
    within_s: Option<Spanned<f64>>,
}

/// One broker, or a share of them with the time between two.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OfBrokers {
    pub(super) broker: Option<Spanned<u64>>,
    pub(super) share: Option<Spanned<f64>>,
    pub(super) every_s: Option<Spanned<f64>>,
    pub(super) for_s: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HoldFile {
    share: Spanned<f64>,
    by_ms: Spanned<f64>,
    every: Spanned<u64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Share {
    share: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Nothing {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SignalsFile {
    share: Spanned<f64>,
    series: Vec<Signal>,
    every_ms: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CrowdFile {
    share: Spanned<f64>,
    clients: Spanned<u64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OfZone {
    zone: Spanned<u64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Split {
    zone: Spanned<u64>,
    #[serde(default)]
    one_way: bool,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OfServers {
    share: Spanned<f64>,
    manner: Manner,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Lateness {
    by_s: Spanned<f64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Lasting {
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NetworkFile {
    delay_ms: Option<Spanned<f64>>,
    jitter_ms: Option<Spanned<f64>>,
    loss: Option<Spanned<f64>>,
    reset: Option<Spanned<f64>>,
    bytes_per_s: Option<Spanned<u64>>,
    for_s: Spanned<f64>,
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// Every fault, with its line and key.
    pub fn read(path: &Path, text: &str) -> Result<Self, Vec<ScenarioFault>> {
        let place = path.display().to_string();
        let mut checks = Checks { place: &place, faults: Vec::new() };
        let file: File = match serde_saphyr::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let line = error.location().map_or(1, |at| at.line());
                let said = error.without_snippet().to_string();
                let said = said.lines().next().unwrap_or("not YAML").trim_start_matches("error: ").to_owned();
                checks.fault(line, "", said);
                return Err(checks.faults);
            }
        };
        let brokers = checks.count("brokers", &file.brokers, 1, 100);
        let servers = checks.count("servers", &file.servers, 1, 200);
        let zones = file.zones.as_ref().map_or(1, |v| checks.count("zones", v, 1, 8));
        let cells = file.cells.as_ref().map_or(servers, |v| checks.count("cells", v, 1, servers as u64));
        let width = file.width.as_ref().map_or(2.min(cells), |v| checks.count("width", v, 1, cells as u64));
        let rate = checks.figure("rate", &file.rate, 0.1, 1000.0);
        let parts = file.parts.as_ref().map_or(4, |v| checks.count("parts", v, 1, 24));
        let seconds = checks.count("seconds", &file.seconds, 1, 3600) as u64;
        let tile = &file.tile;
        let ms = |value: f64| Duration::from_secs_f64(value / 1e3);
        let tile = Tile {
            workers: tile.workers.as_ref().map_or(4, |v| checks.count("tile.workers", v, 1, 1000)),
            service: ms(tile
                .service_ms
                .as_ref()
                .map_or(10.0, |v| checks.figure("tile.service_ms", v, 0.1, 10_000.0))),
            queue: tile.queue.as_ref().map_or(100, |v| checks.count("tile.queue", v, 0, 100_000)),
            connections: tile
                .connections
                .as_ref()
                .map_or(200, |v| checks.count("tile.connections", v, 1, 10_000)),
            cold_for: Duration::from_secs_f64(
                tile.cold_s.as_ref().map_or(10.0, |v| checks.figure("tile.cold_s", v, 0.0, 3600.0)),
            ),
            cold_from: tile.cold_from.as_ref().map_or(0.2, |v| checks.figure("tile.cold_from", v, 0.01, 1.0)),
            fall_multiple: tile
                .fall_multiple
                .as_ref()
                .map_or(2.0, |v| checks.figure("tile.fall_multiple", v, 1.0, 100.0)),
            read_lag: ms(tile
                .read_lag_ms
                .as_ref()
                .map_or(0.0, |v| checks.figure("tile.read_lag_ms", v, 0.0, 1000.0))),
        };
        let window = file.window_ms.as_ref();
        let window = window.map_or(WINDOW_MS, |value| checks.figure("window_ms", value, 1.0, 60_000.0));
        let window = ms(window);
        let mut events = Vec::new();
        for (n, event) in file.events.iter().enumerate() {
            let at = checks.seconds(&format!("events[{n}].at"), &event.at);
            let faults = event.faults(&mut checks, &format!("events[{n}]"), brokers, zones);
            if let [fault] = &faults[..] {
                events.push(Event { at, fault: fault.clone() });
            } else {
                let said = format!("must name one fault, and names {}", faults.len());
                checks.fault(event.at.referenced.line(), &format!("events[{n}]"), said);
            }
        }
        let (seed, on_request, store) = (file.seed.unwrap_or(1), file.on_request, file.store);
        let (indented, pooled) = (file.indented, file.pooled);
        let mut share = |key: &str, value: &Option<Spanned<f64>>| {
            value.as_ref().map_or(0.0, |value| checks.figure(key, value, 0.0, 1.0))
        };
        let unsafe_share = share("unsafe_share", &file.unsafe_share);
        let unruly = share("unruly", &file.unruly);
        let scenario = Scenario {
            brokers,
            servers,
            zones,
            cells,
            width,
            rate,
            parts,
            seconds,
            seed,
            tile,
            on_request,
            indented,
            store,
            pooled,
            unsafe_share,
            unruly,
            window,
            kills_early: file.kills_early,
            events,
        };
        if checks.faults.is_empty() { Ok(scenario) } else { Err(checks.faults) }
    }
}

impl EventFile {
    /// The faults that it names: one, if it is sound.
    fn faults(&self, checks: &mut Checks<'_>, at: &str, brokers: usize, zones: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        let line = self.at.referenced.line();
        let key = |name: &str| format!("{at}.{name}");
        if let Some(event) = &self.kill {
            let share = checks.figure(&key("kill.share"), &event.share, 0.0, 1.0);
            let back = checks.needed(&key("kill.back_s"), line, event.back_s.as_ref());
            faults.push(Fault::Kill { share, back });
        }
        if let Some(event) = &self.roll {
            let share = checks.figure(&key("roll.share"), &event.share, 0.01, 1.0);
            let every = checks.needed(&key("roll.every_s"), line, event.every_s.as_ref());
            faults.push(Fault::Roll { share, every });
        }
        if let Some(event) = &self.upgrade {
            let (brokers, every) = checks.brokers(&key("upgrade"), line, event, brokers);
            if let Some(lasts) = &event.for_s {
                let fault = "an upgrade has no time of its own".to_owned();
                checks.fault(lasts.referenced.line(), &key("upgrade.for_s"), fault);
            }
            faults.push(Fault::Upgrade { brokers, every });
        }
        if let Some(event) = &self.drain {
            let (brokers, every) = checks.brokers(&key("drain"), line, event, brokers);
            let lasts = checks.drain_time(&key("drain.for_s"), line, event.for_s.as_ref());
            faults.push(Fault::Drain { brokers, every, lasts });
        }
        if let Some(event) = &self.pause {
            let share = checks.figure(&key("pause.share"), &event.share, 0.0, 1.0);
            let lasts = checks.needed(&key("pause.for_s"), line, event.for_s.as_ref());
            faults.push(Fault::Pause { share, lasts });
        }
        if let Some(event) = &self.hold {
            faults.push(Fault::Hold {
                share: checks.figure(&key("hold.share"), &event.share, 0.0, 1.0),
                by: Duration::from_secs_f64(
                    checks.figure(&key("hold.by_ms"), &event.by_ms, 0.0, MAX_HOLD_MS) / 1e3,
                ),
                every: checks.count(&key("hold.every"), &event.every, 1, 1_000_000) as u64,
                lasts: checks.seconds(&key("hold.for_s"), &event.for_s),
            });
        }
        for (event, name, cut) in
            [(&self.wipe_stores, "wipe_stores", false), (&self.cut_stores, "cut_stores", true)]
        {
            if let Some(event) = event {
                let share = checks.figure(&key(&format!("{name}.share")), &event.share, 0.0, 1.0);
                faults.push(Fault::Stores { share, cut });
            }
        }
        if self.reload.is_some() {
            faults.push(Fault::Reload);
        }
        if let Some(event) = &self.signals {
            faults.push(Fault::Signals {
                share: checks.figure(&key("signals.share"), &event.share, 0.0, 1.0),
                series: event.series.clone(),
                every: Duration::from_secs_f64(
                    checks.figure(&key("signals.every_ms"), &event.every_ms, 0.0, MAX_SIGNAL_GAP_MS) / 1e3,
                ),
            });
        }
        if let Some(event) = &self.crowd {
            faults.push(Fault::Crowd {
                share: checks.figure(&key("crowd.share"), &event.share, 0.0, 1.0),
                clients: checks.count(&key("crowd.clients"), &event.clients, 1, MAX_CROWD),
                lasts: checks.seconds(&key("crowd.for_s"), &event.for_s),
            });
        }
        if let Some(event) = &self.lose_zone {
            let zone = checks.count(&key("lose_zone.zone"), &event.zone, 0, zones as u64 - 1);
            faults
                .push(Fault::LoseZone { zone, lasts: checks.seconds(&key("lose_zone.for_s"), &event.for_s) });
        }
        if let Some(event) = &self.partition {
            let zone = checks.count(&key("partition.zone"), &event.zone, 0, zones as u64 - 1);
            let lasts = checks.seconds(&key("partition.for_s"), &event.for_s);
            faults.push(Fault::Partition { zone, one_way: event.one_way, lasts });
        }
        if let Some(event) = &self.replace {
            let share = checks.figure(&key("replace.share"), &event.share, 0.0, 1.0);
            let within = checks.needed(&key("replace.within_s"), line, event.within_s.as_ref());
            faults.push(Fault::Replace { share, within });
        }
        if let Some(event) = &self.servers {
            let share = checks.figure(&key("servers.share"), &event.share, 0.0, 1.0);
            let lasts = checks.seconds(&key("servers.for_s"), &event.for_s);
            faults.push(Fault::Servers { share, manner: event.manner, lasts });
        }
        if let Some(event) = &self.late {
            let by = checks.seconds(&key("late.by_s"), &event.by_s);
            let lasts = checks.seconds(&key("late.for_s"), &event.for_s);
            faults.push(Fault::Late { by, lasts });
        }
        if let Some(event) = &self.turn_away {
            faults.push(Fault::TurnAway { lasts: checks.seconds(&key("turn_away.for_s"), &event.for_s) });
        }
        if let Some(event) = &self.silence {
            faults.push(Fault::Silence { lasts: checks.seconds(&key("silence.for_s"), &event.for_s) });
        }
        if let Some(event) = &self.network {
            let mut part = |name: &str, value: &Option<Spanned<f64>>, most: f64| {
                value.as_ref().map_or(0.0, |v| checks.figure(&key(&format!("network.{name}")), v, 0.0, most))
            };
            let (delay, jitter) =
                (part("delay_ms", &event.delay_ms, 1e4), part("jitter_ms", &event.jitter_ms, 1e4));
            let (loss, reset) = (part("loss", &event.loss, 1.0), part("reset", &event.reset, 1.0));
            let rate = event.bytes_per_s.as_ref();
            let rate = rate.map(|v| checks.count(&key("network.bytes_per_s"), v, 100, 1 << 40) as u64);
            faults.push(Fault::Network {
                delay: Duration::from_secs_f64(delay / 1e3),
                jitter: Duration::from_secs_f64(jitter / 1e3),
                loss,
                reset,
                rate,
                lasts: checks.seconds(&key("network.for_s"), &event.for_s),
            });
        }
        faults
    }
}
