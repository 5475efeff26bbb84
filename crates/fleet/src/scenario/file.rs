//! The YAML format of scenario files, and its parser.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::checks::Checks;
use super::{Event, Fault, Scenario, ScenarioError, ServerBehaviour, Signal, TileServerParameters};

/// Longest delay before a broker's write, in milliseconds.
const MAX_WRITE_DELAY_MS: f64 = 1000.0;
/// Default of the window in which servers drop duplicates of keyed queries, in milliseconds.
const DEFAULT_WINDOW_MS: f64 = 5000.0;
/// Longest interval between two signals, in milliseconds.
const MAX_SIGNAL_GAP_MS: f64 = 60_000.0;
/// Most idle clients that connect to one broker.
const MAX_IDLE_CLIENTS: u64 = 10_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScenarioFile {
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
    kill: Option<ShareAndTime>,
    roll: Option<ShareAndTime>,
    upgrade: Option<BrokerSelection>,
    drain: Option<BrokerSelection>,
    pause: Option<ShareAndTime>,
    hold: Option<WriteDelayFile>,
    wipe_stores: Option<ShareFile>,
    cut_stores: Option<ShareFile>,
    reload: Option<NoFields>,
    signals: Option<SignalsFile>,
    crowd: Option<IdleClientsFile>,
    lose_zone: Option<ZoneFile>,
    partition: Option<PartitionFile>,
    replace: Option<ShareAndTime>,
    servers: Option<ServersFile>,
    late: Option<ListDelayFile>,
    turn_away: Option<DurationFile>,
    silence: Option<DurationFile>,
    network: Option<NetworkFile>,
}

/// A share, and a time; which of the times is required depends on the event.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ShareAndTime {
    share: Spanned<f64>,
    back_s: Option<Spanned<f64>>,
    every_s: Option<Spanned<f64>>,
    for_s: Option<Spanned<f64>>,
    within_s: Option<Spanned<f64>>,
}

/// One broker, or a share of them with the interval between two.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BrokerSelection {
    pub(super) broker: Option<Spanned<u64>>,
    pub(super) share: Option<Spanned<f64>>,
    pub(super) every_s: Option<Spanned<f64>>,
    pub(super) for_s: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WriteDelayFile {
    share: Spanned<f64>,
    by_ms: Spanned<f64>,
    every: Spanned<u64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ShareFile {
    share: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NoFields {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SignalsFile {
    share: Spanned<f64>,
    #[serde(rename = "series")]
    signals: Vec<Signal>,
    every_ms: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IdleClientsFile {
    share: Spanned<f64>,
    clients: Spanned<u64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneFile {
    zone: Spanned<u64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PartitionFile {
    zone: Spanned<u64>,
    #[serde(default)]
    one_way: bool,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServersFile {
    share: Spanned<f64>,
    #[serde(rename = "manner")]
    behaviour: ServerBehaviour,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ListDelayFile {
    by_s: Spanned<f64>,
    for_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DurationFile {
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
    /// Parses and checks a scenario file's text; `path` is used in error messages.
    ///
    /// # Errors
    ///
    /// All errors of the file, with their lines and keys. Text that can't be parsed gives a single error.
    pub fn read(path: &Path, text: &str) -> Result<Self, Vec<ScenarioError>> {
        let file_name = path.display().to_string();
        let mut checks = Checks { file: &file_name, errors: Vec::new() };
        let file: ScenarioFile = match serde_saphyr::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let line = error.location().map_or(1, |at| at.line());
                let message = error.without_snippet().to_string();
                let problem =
                    message.lines().next().unwrap_or("not YAML").trim_start_matches("error: ").to_owned();
                checks.error(line, "", problem);
                return Err(checks.errors);
            }
        };
        let brokers = checks.count("brokers", &file.brokers, 1, 100);
        let servers = checks.count("servers", &file.servers, 1, 200);
        let zones = file.zones.as_ref().map_or(1, |v| checks.count("zones", v, 1, 8));
        let cells = file.cells.as_ref().map_or(servers, |v| checks.count("cells", v, 1, servers as u64));
        let width = file.width.as_ref().map_or(2.min(cells), |v| checks.count("width", v, 1, cells as u64));
        let rate = checks.number("rate", &file.rate, 0.1, 1000.0);
        let parts = file.parts.as_ref().map_or(4, |v| checks.count("parts", v, 1, 24));
        let seconds = checks.count("seconds", &file.seconds, 1, 3600) as u64;
        let tile = &file.tile;
        let ms = |value: f64| Duration::from_secs_f64(value / 1e3);
        let tile = TileServerParameters {
            workers: tile.workers.as_ref().map_or(4, |v| checks.count("tile.workers", v, 1, 1000)),
            mean_service_time: ms(tile
                .service_ms
                .as_ref()
                .map_or(10.0, |v| checks.number("tile.service_ms", v, 0.1, 10_000.0))),
            queue_limit: tile.queue.as_ref().map_or(100, |v| checks.count("tile.queue", v, 0, 100_000)),
            max_connections: tile
                .connections
                .as_ref()
                .map_or(200, |v| checks.count("tile.connections", v, 1, 10_000)),
            warm_up_time: Duration::from_secs_f64(
                tile.cold_s.as_ref().map_or(10.0, |v| checks.number("tile.cold_s", v, 0.0, 3600.0)),
            ),
            cold_from: tile.cold_from.as_ref().map_or(0.2, |v| checks.number("tile.cold_from", v, 0.01, 1.0)),
            fall_multiple: tile
                .fall_multiple
                .as_ref()
                .map_or(2.0, |v| checks.number("tile.fall_multiple", v, 1.0, 100.0)),
            read_lag: ms(tile
                .read_lag_ms
                .as_ref()
                .map_or(0.0, |v| checks.number("tile.read_lag_ms", v, 0.0, 1000.0))),
        };
        let window = file.window_ms.as_ref();
        let window =
            window.map_or(DEFAULT_WINDOW_MS, |value| checks.number("window_ms", value, 1.0, 60_000.0));
        let idempotency_window = ms(window);
        let mut events = Vec::new();
        for (n, event) in file.events.iter().enumerate() {
            let at = checks.seconds(&format!("events[{n}].at"), &event.at);
            let faults = event.faults(&mut checks, &format!("events[{n}]"), brokers, zones);
            if let [fault] = &faults[..] {
                events.push(Event { at, fault: fault.clone() });
            } else {
                let problem = format!("must contain exactly one fault, has {}", faults.len());
                checks.error(event.at.referenced.line(), &format!("events[{n}]"), problem);
            }
        }
        let (seed, on_request, store) = (file.seed.unwrap_or(1), file.on_request, file.store);
        let (indented, pooled) = (file.indented, file.pooled);
        let mut share = |key: &str, value: &Option<Spanned<f64>>| {
            value.as_ref().map_or(0.0, |value| checks.number(key, value, 0.0, 1.0))
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
            idempotency_window,
            kills_early: file.kills_early,
            events,
        };
        if checks.errors.is_empty() { Ok(scenario) } else { Err(checks.errors) }
    }
}

impl EventFile {
    /// The faults that the event contains: exactly one in a valid file.
    fn faults(&self, checks: &mut Checks<'_>, event_key: &str, brokers: usize, zones: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        let line = self.at.referenced.line();
        let key = |name: &str| format!("{event_key}.{name}");
        if let Some(event) = &self.kill {
            let share = checks.number(&key("kill.share"), &event.share, 0.0, 1.0);
            let restart_delay = checks.required_seconds(&key("kill.back_s"), line, event.back_s.as_ref());
            faults.push(Fault::Kill { share, restart_delay });
        }
        if let Some(event) = &self.roll {
            let share = checks.number(&key("roll.share"), &event.share, 0.01, 1.0);
            let interval = checks.required_seconds(&key("roll.every_s"), line, event.every_s.as_ref());
            faults.push(Fault::Roll { share, interval });
        }
        if let Some(event) = &self.upgrade {
            let (brokers, interval) = checks.brokers(&key("upgrade"), line, event, brokers);
            if let Some(duration) = &event.for_s {
                let problem = "must not be set for an upgrade".to_owned();
                checks.error(duration.referenced.line(), &key("upgrade.for_s"), problem);
            }
            faults.push(Fault::Upgrade { brokers, interval });
        }
        if let Some(event) = &self.drain {
            let (brokers, interval) = checks.brokers(&key("drain"), line, event, brokers);
            let duration = checks.drain_duration(&key("drain.for_s"), line, event.for_s.as_ref());
            faults.push(Fault::Drain { brokers, interval, duration });
        }
        if let Some(event) = &self.pause {
            let share = checks.number(&key("pause.share"), &event.share, 0.0, 1.0);
            let duration = checks.required_seconds(&key("pause.for_s"), line, event.for_s.as_ref());
            faults.push(Fault::Pause { share, duration });
        }
        if let Some(event) = &self.hold {
            faults.push(Fault::Hold {
                share: checks.number(&key("hold.share"), &event.share, 0.0, 1.0),
                delay: Duration::from_secs_f64(
                    checks.number(&key("hold.by_ms"), &event.by_ms, 0.0, MAX_WRITE_DELAY_MS) / 1e3,
                ),
                every_nth: checks.count(&key("hold.every"), &event.every, 1, 1_000_000) as u64,
                duration: checks.seconds(&key("hold.for_s"), &event.for_s),
            });
        }
        for (event, name, truncate) in
            [(&self.wipe_stores, "wipe_stores", false), (&self.cut_stores, "cut_stores", true)]
        {
            if let Some(event) = event {
                let share = checks.number(&key(&format!("{name}.share")), &event.share, 0.0, 1.0);
                faults.push(Fault::Stores { share, truncate });
            }
        }
        if self.reload.is_some() {
            faults.push(Fault::Reload);
        }
        if let Some(event) = &self.signals {
            faults.push(Fault::Signals {
                share: checks.number(&key("signals.share"), &event.share, 0.0, 1.0),
                signals: event.signals.clone(),
                interval: Duration::from_secs_f64(
                    checks.number(&key("signals.every_ms"), &event.every_ms, 0.0, MAX_SIGNAL_GAP_MS) / 1e3,
                ),
            });
        }
        if let Some(event) = &self.crowd {
            faults.push(Fault::Crowd {
                share: checks.number(&key("crowd.share"), &event.share, 0.0, 1.0),
                clients: checks.count(&key("crowd.clients"), &event.clients, 1, MAX_IDLE_CLIENTS),
                duration: checks.seconds(&key("crowd.for_s"), &event.for_s),
            });
        }
        if let Some(event) = &self.lose_zone {
            let zone = checks.count(&key("lose_zone.zone"), &event.zone, 0, zones as u64 - 1);
            faults.push(Fault::LoseZone {
                zone,
                duration: checks.seconds(&key("lose_zone.for_s"), &event.for_s),
            });
        }
        if let Some(event) = &self.partition {
            let zone = checks.count(&key("partition.zone"), &event.zone, 0, zones as u64 - 1);
            let duration = checks.seconds(&key("partition.for_s"), &event.for_s);
            faults.push(Fault::Partition { zone, one_way: event.one_way, duration });
        }
        if let Some(event) = &self.replace {
            let share = checks.number(&key("replace.share"), &event.share, 0.0, 1.0);
            let within = checks.required_seconds(&key("replace.within_s"), line, event.within_s.as_ref());
            faults.push(Fault::Replace { share, within });
        }
        if let Some(event) = &self.servers {
            let share = checks.number(&key("servers.share"), &event.share, 0.0, 1.0);
            let duration = checks.seconds(&key("servers.for_s"), &event.for_s);
            faults.push(Fault::Servers { share, behaviour: event.behaviour, duration });
        }
        if let Some(event) = &self.late {
            let delay = checks.seconds(&key("late.by_s"), &event.by_s);
            let duration = checks.seconds(&key("late.for_s"), &event.for_s);
            faults.push(Fault::Late { delay, duration });
        }
        if let Some(event) = &self.turn_away {
            faults.push(Fault::TurnAway { duration: checks.seconds(&key("turn_away.for_s"), &event.for_s) });
        }
        if let Some(event) = &self.silence {
            faults.push(Fault::Silence { duration: checks.seconds(&key("silence.for_s"), &event.for_s) });
        }
        if let Some(event) = &self.network {
            let mut number = |name: &str, value: &Option<Spanned<f64>>, max: f64| {
                value.as_ref().map_or(0.0, |v| checks.number(&key(&format!("network.{name}")), v, 0.0, max))
            };
            let (delay, jitter) =
                (number("delay_ms", &event.delay_ms, 1e4), number("jitter_ms", &event.jitter_ms, 1e4));
            let (loss, reset) = (number("loss", &event.loss, 1.0), number("reset", &event.reset, 1.0));
            let rate = event.bytes_per_s.as_ref();
            let rate = rate.map(|v| checks.count(&key("network.bytes_per_s"), v, 100, 1 << 40) as u64);
            faults.push(Fault::Network {
                delay: Duration::from_secs_f64(delay / 1e3),
                jitter: Duration::from_secs_f64(jitter / 1e3),
                loss,
                reset,
                rate,
                duration: checks.seconds(&key("network.for_s"), &event.for_s),
            });
        }
        faults
    }
}
