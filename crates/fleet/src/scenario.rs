//! A scenario as an operator writes it: the fleet, its load, and a timeline of faults. Checked as a whole: each
//! fault of the file is named with its line and key.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

/// A broker that drains has so long to be rid of its clients' connections.
pub const DRAINED_WITHIN: Duration = Duration::from_secs(4);

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioFault {
    /// The file and the line.
    pub place: String,
    /// The key; empty where the whole is at fault.
    pub key: String,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for ScenarioFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.place, self.fault),
            key => write!(f, "{}: {key}: {}", self.place, self.fault),
        }
    }
}

impl std::error::Error for ScenarioFault {}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Broker processes.
    pub brokers: usize,
    /// Tile servers that are up at the start.
    pub servers: usize,
    /// Zones; servers and brokers are spread over them in turn.
    pub zones: usize,
    /// Holders of each tile block, by cell: servers `n`, `n + cells` and so on are of cell `n`.
    pub cells: usize,
    /// Cells that hold a tile block.
    pub width: usize,
    /// Queries a second and broker, on the mean; some brokers get twice that, some half.
    pub rate: f64,
    /// Parts of a query.
    pub parts: usize,
    /// How long clients ask.
    pub seconds: u64,
    /// For everything that is drawn.
    pub seed: u64,
    /// What each server can do.
    pub tile: Tile,
    /// Whether the list comes only to who asks for it.
    pub on_request: bool,
    /// Whether lists come indented, in small chunks.
    pub indented: bool,
    /// Whether brokers have a store that lasts.
    pub store: bool,
    /// Whether clients keep their connections for further requests.
    pub pooled: bool,
    /// The timeline, in the file's order.
    pub events: Vec<Event>,
}

/// What a server can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tile {
    /// Parts it works on at once.
    pub workers: usize,
    /// Mean time of a part.
    pub service: Duration,
    /// Parts that may wait.
    pub queue: usize,
    /// Connections it holds.
    pub connections: usize,
    /// How long it takes to become warm.
    pub cold_for: Duration,
    /// Its speed when it has just started, as a share of a warm one's.
    pub cold_from: f64,
    /// A cold one falls over under so many times the work that it can do.
    pub fall_multiple: f64,
    /// How late it may read a connection.
    pub read_lag: Duration,
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, from the clients' start.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// What may happen. The fields are the keys of the file, times as spans.
#[allow(missing_docs)] // Each variant says what its fields mean.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// So many of the brokers are killed at once, and started again so much later.
    Kill { share: f64, back: Duration },
    /// All brokers are restarted by SIGTERM, so many of them at a time, each group so long after the one before.
    Roll { share: f64, every: Duration },
    /// Brokers are upgraded one after the other, each so long after the one before: a second process takes over from
    /// the running one.
    Upgrade { brokers: Brokers, every: Duration },
    /// Brokers are drained, each so long after the one before, and taken back.
    Drain { brokers: Brokers, every: Duration, lasts: Duration },
    /// So many of the brokers are stopped for a while (SIGSTOP, SIGCONT).
    Pause { share: f64, lasts: Duration },
    /// So many of the brokers' stores are wiped or cut to half their length, where they have one; brokers that run
    /// keep theirs open, so it is for those that were killed.
    Stores { share: f64, cut: bool },
    /// Discovery moves: brokers get a new file and SIGHUP.
    Reload,
    /// A zone's servers are gone without a word for a while, and come back cold.
    LoseZone { zone: usize, lasts: Duration },
    /// A zone is cut off: its brokers and servers reach those of no other zone, nor these them. `one_way`: what
    /// brokers send across still arrives, and nothing comes back.
    Partition { zone: usize, one_way: bool, lasts: Duration },
    /// So many of the servers are replaced by new ones, one after the other.
    Replace { share: f64, within: Duration },
    /// So many of the servers do something else with parts for a while.
    Servers { share: f64, manner: Manner, lasts: Duration },
    /// What discovery has to say comes late for a while.
    Late { by: Duration, lasts: Duration },
    /// Discovery turns callers away for a while.
    TurnAway { lasts: Duration },
    /// Discovery answers no call for a while, and the watches that are open fall silent for good.
    Silence { lasts: Duration },
    /// All links do so for a while.
    Network { delay: Duration, jitter: Duration, loss: f64, reset: f64, rate: Option<u64>, lasts: Duration },
}

/// A choice of brokers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Brokers {
    /// This one.
    One(usize),
    /// So many of all, in drawn order.
    Share(f64),
}

/// What a server may be made to do with parts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Manner {
    /// It answers each with an error.
    Break,
    /// It turns each away.
    TurnAway,
    /// It answers none.
    Swallow,
    /// It closes the connection on each.
    Hang,
    /// It takes ten times as long.
    Slow,
    /// Its answers can't be read.
    Spoil,
}

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
    wipe_stores: Option<Share>,
    cut_stores: Option<Share>,
    reload: Option<Nothing>,
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
struct OfBrokers {
    broker: Option<Spanned<u64>>,
    share: Option<Spanned<f64>>,
    every_s: Option<Spanned<f64>>,
    for_s: Option<Spanned<f64>>,
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

/// Gathers what is wrong, by line and key.
struct Checks<'a> {
    place: &'a str,
    faults: Vec<ScenarioFault>,
}

impl Checks<'_> {
    fn fault(&mut self, line: u64, key: &str, fault: String) {
        let place = format!("{}: line {line}", self.place);
        self.faults.push(ScenarioFault { place, key: key.to_owned(), fault });
    }

    fn count(&mut self, key: &str, value: &Spanned<u64>, least: u64, most: u64) -> usize {
        if !(least..=most).contains(&value.value) {
            self.fault(value.referenced.line(), key, format!("must be {least} to {most}"));
        }
        value.value.clamp(least, most) as usize
    }

    fn figure(&mut self, key: &str, value: &Spanned<f64>, least: f64, most: f64) -> f64 {
        if !(least..=most).contains(&value.value) {
            self.fault(value.referenced.line(), key, format!("must be {least} to {most}"));
        }
        if value.value.is_finite() { value.value.clamp(least, most) } else { least }
    }

    fn seconds(&mut self, key: &str, value: &Spanned<f64>) -> Duration {
        Duration::from_secs_f64(self.figure(key, value, 0.0, 3600.0))
    }

    /// How long a drain lasts: longer than its brokers have to be rid of their clients.
    fn drain_time(&mut self, key: &str, line: u64, value: Option<&Spanned<f64>>) -> Duration {
        let lasts = self.needed(key, line, value);
        if let Some(value) = value
            && lasts <= DRAINED_WITHIN
        {
            let fault = format!("must be over {}", DRAINED_WITHIN.as_secs());
            self.fault(value.referenced.line(), key, fault);
        }
        lasts
    }

    /// The brokers that an event names, and the time between two. `among` is how many there are.
    fn brokers(&mut self, key: &str, line: u64, event: &OfBrokers, among: usize) -> (Brokers, Duration) {
        let of = |name: &str| format!("{key}.{name}");
        let every = event.every_s.as_ref();
        match (&event.broker, &event.share) {
            (Some(broker), None) => {
                if let Some(every) = every {
                    let fault = "one broker has no time between two".to_owned();
                    self.fault(every.referenced.line(), &of("every_s"), fault);
                }
                let broker = self.count(&of("broker"), broker, 0, among as u64 - 1);
                (Brokers::One(broker), Duration::ZERO)
            }
            (None, Some(share)) => {
                let share = self.figure(&of("share"), share, 0.01, 1.0);
                (Brokers::Share(share), self.needed(&of("every_s"), line, every))
            }
            _ => {
                self.fault(line, key, "must name either `broker` or `share`".to_owned());
                (Brokers::One(0), Duration::ZERO)
            }
        }
    }

    /// A time that has to be there.
    fn needed(&mut self, key: &str, line: u64, value: Option<&Spanned<f64>>) -> Duration {
        match value {
            Some(value) => self.seconds(key, value),
            None => {
                self.fault(line, key, "is missing".to_owned());
                Duration::ZERO
            }
        }
    }
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

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Scenario, String> {
        let said = |faults: Vec<ScenarioFault>| faults.iter().map(|f| format!("{f}\n")).collect::<String>();
        Scenario::read(Path::new("s.yaml"), text).map_err(said)
    }

    #[test]
    fn what_is_left_out_has_its_default_and_what_is_given_is_taken() {
        let scenario = read(
            "brokers: 4\nservers: 6\nrate: 20\nseconds: 9\nevents:\n  - {at: 2.5, kill: {share: 0.7, back_s: 0.5}}\n",
        )
        .expect("sound");
        assert_eq!((scenario.cells, scenario.width, scenario.zones, scenario.parts), (6, 2, 1, 4));
        let back = Duration::from_millis(500);
        let kill = Event { at: Duration::from_millis(2500), fault: Fault::Kill { share: 0.7, back } };
        assert_eq!(scenario.events, [kill]);
    }

    // The library that the repository ships reads, and each of its events does something.
    #[test]
    fn the_scenarios_of_the_repository_are_sound() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
        let mut seen = 0;
        for entry in std::fs::read_dir(folder).expect("there") {
            let path = entry.expect("read").path();
            let text = std::fs::read_to_string(&path).expect("read");
            let scenario = Scenario::read(&path, &text).unwrap_or_else(|faults| panic!("{faults:?}"));
            let schedule = crate::schedule::Schedule::new(&scenario);
            assert_eq!(schedule.acts.is_empty(), scenario.events.is_empty(), "{}", path.display());
            assert!(schedule.ends() < Duration::from_secs(scenario.seconds), "{}: ends late", path.display());
            seen += 1;
        }
        assert!(seen >= 7, "{seen} scenarios");
    }

    #[test]
    fn upgrades_and_drains_are_read_for_one_broker_or_a_share() {
        let scenario = read(
            "brokers: 4\nservers: 6\nrate: 20\nseconds: 9\npooled: true\nevents:\n  \
            - {at: 1, upgrade: {broker: 3}}\n  - {at: 1, upgrade: {share: 0.5, every_s: 1.5}}\n  \
            - {at: 2, drain: {broker: 0, for_s: 5}}\n  - {at: 2, drain: {share: 1, every_s: 0, for_s: 6}}\n",
        )
        .expect("sound");
        let faults: Vec<Fault> = scenario.events.into_iter().map(|event| event.fault).collect();
        let (every, seconds) = (Duration::from_millis(1500), Duration::from_secs);
        let expected = [
            Fault::Upgrade { brokers: Brokers::One(3), every: Duration::ZERO },
            Fault::Upgrade { brokers: Brokers::Share(0.5), every },
            Fault::Drain { brokers: Brokers::One(0), every: Duration::ZERO, lasts: seconds(5) },
            Fault::Drain { brokers: Brokers::Share(1.0), every: Duration::ZERO, lasts: seconds(6) },
        ];
        assert!(scenario.pooled);
        assert_eq!(faults, expected);
    }

    #[test]
    fn upgrades_and_drains_of_no_broker_or_for_no_time_are_refused() {
        let text = "brokers: 4\nservers: 6\nrate: 20\nseconds: 9\nevents:\n  \
            - {at: 1, upgrade: {broker: 4}}\n  - {at: 1, upgrade: {}}\n  - {at: 1, upgrade: {share: 0.5}}\n  \
            - {at: 1, upgrade: {share: 0, every_s: 1}}\n  - {at: 1, upgrade: {broker: 1, share: 1, every_s: 1}}\n  \
            - {at: 1, upgrade: {broker: 1, every_s: 1}}\n  - {at: 1, upgrade: {broker: 1, for_s: 1}}\n  \
            - {at: 1, drain: {broker: 1}}\n  - {at: 1, drain: {broker: 1, for_s: 4}}\n";
        let expected = "s.yaml: line 6: events[0].upgrade.broker: must be 0 to 3\n\
            s.yaml: line 7: events[1].upgrade: must name either `broker` or `share`\n\
            s.yaml: line 8: events[2].upgrade.every_s: is missing\n\
            s.yaml: line 9: events[3].upgrade.share: must be 0.01 to 1\n\
            s.yaml: line 10: events[4].upgrade: must name either `broker` or `share`\n\
            s.yaml: line 11: events[5].upgrade.every_s: one broker has no time between two\n\
            s.yaml: line 12: events[6].upgrade.for_s: an upgrade has no time of its own\n\
            s.yaml: line 13: events[7].drain.for_s: is missing\n\
            s.yaml: line 14: events[8].drain.for_s: must be over 4\n";
        assert_eq!(read(text).expect_err("faulty"), expected);
        let unknown = read(
            "brokers: 1\nservers: 1\nrate: 1\nseconds: 1\nevents:\n  - {at: 1, drain: {broker: 0, back_s: 5}}\n",
        );
        let unknown = unknown.expect_err("faulty");
        assert!(unknown.starts_with("s.yaml: line 6: ") && unknown.contains("back_s"), "{unknown}");
    }

    #[test]
    fn all_faults_are_named_with_their_lines() {
        let text = "brokers: 0\nservers: 6\nzones: 2\nrate: -1\nseconds: 9\nevents:\n  - at: 1\n    \
            kill: {share: 7, back_s: 1}\n  - at: 2\n  - at: 3\n    lose_zone: {zone: 2, for_s: 1}\n  \
            - at: 4\n    roll: {share: 0.1}\n";
        let expected = "s.yaml: line 1: brokers: must be 1 to 100\n\
            s.yaml: line 4: rate: must be 0.1 to 1000\n\
            s.yaml: line 8: events[0].kill.share: must be 0 to 1\n\
            s.yaml: line 9: events[1]: must name one fault, and names 0\n\
            s.yaml: line 11: events[2].lose_zone.zone: must be 0 to 1\n\
            s.yaml: line 12: events[3].roll.every_s: is missing\n";
        assert_eq!(read(text).expect_err("faulty"), expected);
        let unknown = read("brokers: 1\nservers: 1\nrate: 1\nseconds: 1\nseeds: 4\n").expect_err("faulty");
        assert!(unknown.starts_with("s.yaml: line 5: ") && unknown.contains("seeds"), "{unknown}");
        assert!(read("").is_err() && read("- 1").is_err() && read("brokers: {").is_err());
    }
}
