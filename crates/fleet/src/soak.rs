//! Random scenarios: generates a fleet, its load and a series of overlapping events from a seed. A generated
//! scenario is the text of a scenario file, so that it can be kept, read and run again.

use std::fmt::Write;
use std::io;
use std::path::Path;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{BrokenRule, Record};
use crate::run::{self, Options};
use crate::scenario::{Scenario, ScenarioError};

/// How long clients send queries, in seconds.
const LOAD_SECONDS: u64 = 9;
/// The rule whose violation is explained by faults of servers, discovery or the network, as brokers refuse
/// what they can't serve.
const EXPLAINED_BY_FAULTS: &str = "Refused";
/// Values of the `manner` key.
const SERVER_BEHAVIOURS: [&str; 6] = ["break", "turn_away", "swallow", "hang", "slow", "spoil"];
/// Values of the `series` key.
const SIGNAL_SERIES: [&str; 5] =
    ["[hup, hup, term]", "[term, term]", "[hup, term, hup]", "[term, hup]", "[hup, hup, hup]"];

/// A generated scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GeneratedScenario {
    /// Text of the scenario file.
    pub text: String,
    /// Names of its events.
    pub events: Vec<&'static str>,
    /// Whether it contains faults of servers, discovery or the network.
    has_environment_faults: bool,
}

/// The result of a seed's run.
#[derive(Debug)]
pub struct Outcome {
    /// The generated scenario.
    pub scenario: GeneratedScenario,
    /// The violations that the scenario's faults don't explain.
    pub unexplained: Vec<BrokenRule>,
    /// The record of the run, with all violations.
    pub record: Record,
}

/// Generates one scenario. The order of the random draws determines what a seed gives.
struct Generator {
    rng: ChaCha8Rng,
    scenario: GeneratedScenario,
}

impl Generator {
    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn between(&mut self, min: f64, max: f64) -> f64 {
        self.rng.random_range(min..max)
    }

    fn pick(&mut self, values: &[&'static str]) -> &'static str {
        values.choose(&mut self.rng).copied().unwrap_or_default()
    }

    fn add_event(&mut self, at: f64, name: &'static str, fields: &str) {
        let _ = writeln!(self.scenario.text, "  - {{at: {at:.2}, {name}: {{{fields}}}}}");
        self.scenario.events.push(name);
    }

    fn add_fleet(&mut self, seed: u64) {
        let cells = self.rng.random_range(2..=4);
        let (brokers, servers) = (self.rng.random_range(3..=6), cells * 2);
        let rate = self.between(15.0, 30.0);
        let (zones, parts) = (self.rng.random_range(1..=2), self.rng.random_range(2..=5));
        let [on_request, indented, store] = [0.5, 0.2, 0.2].map(|probability| self.chance(probability));
        let (pooled, unruly) = (self.chance(0.8), if self.chance(0.5) { 0.1 } else { 0.0 });
        let (cold, service) = (self.between(1.0, 4.0), self.between(5.0, 25.0));
        let read_lag = self.pick(&["0", "30", "30"]);
        let window = self.pick(&["5000", "400"]);
        self.scenario.text = format!(
            "brokers: {brokers}\nservers: {servers}\nzones: {zones}\ncells: {cells}\nrate: {rate:.1}\n\
             parts: {parts}\nseconds: {LOAD_SECONDS}\nseed: {seed}\non_request: {on_request}\nindented: {indented}\n\
             store: {store}\npooled: {pooled}\nunsafe_share: 0.15\nunruly: {unruly}\nkills_early: true\nwindow_ms: {window}\n\
             tile: {{cold_s: {cold:.1}, service_ms: {service:.1}, read_lag_ms: {read_lag}}}\nevents:\n"
        );
    }

    /// Adds one or two events that restart brokers. They may overlap, also while an earlier process is still
    /// ending.
    fn add_restarts(&mut self, start_delay: f64) {
        for _ in 0..self.rng.random_range(1..=2) {
            let (at, every) = (start_delay + self.between(0.5, 4.0), self.between(0.5, 2.0));
            match self.rng.random_range(0..4) {
                0 => {
                    let share = self.between(0.2, 0.5);
                    self.add_event(at, "roll", &format!("share: {share:.2}, every_s: {every:.2}"));
                }
                1 => {
                    let (share, back) = (self.between(0.2, 0.6), self.between(0.1, 1.0));
                    self.add_event(at, "kill", &format!("share: {share:.2}, back_s: {back:.2}"));
                }
                _ => {
                    let (series, interval) = (self.pick(&SIGNAL_SERIES), self.between(0.0, 10.0));
                    let share = self.between(0.3, 1.0);
                    let fields = format!("share: {share:.2}, series: {series}, every_ms: {interval:.1}");
                    self.add_event(at, "signals", &fields);
                }
            }
        }
    }

    /// Adds upgrades or drains of brokers, possibly with SIGHUPs in the meantime; clients must not notice
    /// these.
    fn add_seamless_events(&mut self, start_delay: f64) {
        let (at, every, share) =
            (start_delay + self.between(0.5, 3.0), self.between(0.8, 2.0), self.between(0.3, 0.8));
        if self.chance(0.6) {
            self.add_event(at, "upgrade", &format!("share: {share:.2}, every_s: {every:.2}"));
        } else {
            // The drains have to end before the clients do.
            let (at, every, share) = (self.between(0.2, 1.5), self.between(0.2, 0.8), share.min(0.5));
            self.add_event(at, "drain", &format!("share: {share:.2}, every_s: {every:.2}, for_s: 4.5"));
        }
        if self.chance(0.5) {
            let (at, interval) = (at + self.between(0.0, 2.0), self.between(0.0, 10.0));
            self.add_event(
                at,
                "signals",
                &format!("share: 1.0, series: [hup, hup], every_ms: {interval:.1}"),
            );
        }
    }

    /// Adds write delays, reloads and idle clients at brokers.
    fn add_broker_faults(&mut self, start_delay: f64) {
        if self.chance(0.6) {
            let (at, by) = (start_delay + self.between(0.0, 1.0), self.between(80.0, 140.0));
            let (share, every) = (self.between(0.5, 1.0), self.rng.random_range(1..=4));
            let fields = format!("share: {share:.2}, by_ms: {by:.0}, every: {every}, for_s: 8");
            self.add_event(at, "hold", &fields);
        }
        if self.chance(0.3) {
            let at = start_delay + self.between(0.0, 6.0);
            self.add_event(at, "reload", "");
        }
        if self.chance(0.25) {
            let (at, share) = (start_delay + self.between(0.0, 4.0), self.between(0.2, 1.0));
            let clients = self.rng.random_range(200..=1200);
            self.add_event(at, "crowd", &format!("share: {share:.2}, clients: {clients}, for_s: 3"));
        }
    }

    /// Adds faults of servers, discovery and the network.
    fn add_environment_faults(&mut self, start_delay: f64) {
        let before = self.scenario.events.len();
        // Servers that repeatedly stop answering make brokers withdraw parts and send them elsewhere.
        if self.chance(0.5) {
            for start in [1.0, 2.5, 4.0] {
                self.add_event(start_delay + start, "servers", "share: 0.5, manner: swallow, for_s: 1");
            }
        } else if self.chance(0.5) {
            let (at, duration) = (start_delay + self.between(0.0, 5.0), self.between(0.5, 4.5));
            let (share, manner) = (self.between(0.2, 0.5), self.pick(&SERVER_BEHAVIOURS));
            self.add_event(
                at,
                "servers",
                &format!("share: {share:.2}, manner: {manner}, for_s: {duration:.2}"),
            );
        }
        if self.chance(0.3) {
            let (at, duration) = (start_delay + self.between(0.0, 4.0), self.between(0.5, 3.0));
            let one_way = self.chance(0.5);
            self.add_event(at, "partition", &format!("zone: 0, one_way: {one_way}, for_s: {duration:.2}"));
        }
        if self.chance(0.25) {
            let (at, share, within) =
                (start_delay + self.between(0.0, 3.0), self.between(0.2, 0.5), self.between(1.0, 3.0));
            self.add_event(at, "replace", &format!("share: {share:.2}, within_s: {within:.2}"));
        }
        if self.chance(0.3) {
            let (at, duration) = (start_delay + self.between(0.0, 5.0), self.between(0.5, 3.0));
            let (delay, jitter, reset) =
                (self.between(0.0, 15.0), self.between(0.0, 10.0), self.between(0.0, 0.02));
            let fields = format!(
                "delay_ms: {delay:.1}, jitter_ms: {jitter:.1}, reset: {reset:.3}, for_s: {duration:.2}"
            );
            self.add_event(at, "network", &fields);
        }
        if self.chance(0.4) {
            let (at, duration) = (start_delay + self.between(0.0, 4.0), self.between(0.5, 4.0));
            match self.rng.random_range(0..3) {
                0 => self.add_event(at, "late", &format!("by_s: 0.50, for_s: {duration:.2}")),
                1 => self.add_event(at, "turn_away", &format!("for_s: {duration:.2}")),
                _ => self.add_event(at, "silence", &format!("for_s: {duration:.2}")),
            }
        }
        self.scenario.has_environment_faults = self.scenario.events.len() > before;
    }
}

/// Generates a scenario. The same seed gives the same text.
pub fn generate(seed: u64) -> GeneratedScenario {
    let scenario =
        GeneratedScenario { text: String::new(), events: Vec::new(), has_environment_faults: false };
    let mut generator = Generator { rng: ChaCha8Rng::seed_from_u64(seed), scenario };
    generator.add_fleet(seed);
    // Some fleets run undisturbed for a while before the first event.
    let start_delay = if generator.chance(0.2) { 4.0 } else { 0.0 };
    if generator.chance(0.65) {
        generator.add_restarts(start_delay);
    } else {
        generator.add_seamless_events(start_delay);
    }
    generator.add_broker_faults(start_delay);
    generator.add_environment_faults(start_delay);
    generator.scenario
}

/// Generates a scenario, writes it to `scenario.yaml` in the directory of `options`, and runs it.
///
/// # Errors
///
/// When the harness itself fails: the file can't be written, or the run can't be carried out.
pub fn run(seed: u64, options: &Options) -> io::Result<Outcome> {
    let generated = generate(seed);
    std::fs::create_dir_all(&options.dir)?;
    std::fs::write(options.dir.join("scenario.yaml"), &generated.text)?;
    let invalid = |errors: Vec<ScenarioError>| io::Error::other(format!("seed {seed}: {errors:?}"));
    let scenario = Scenario::read(Path::new("scenario.yaml"), &generated.text).map_err(invalid)?;
    let record = run::run(&scenario, options)?;
    let is_unexplained =
        |broken: &&BrokenRule| !(generated.has_environment_faults && broken.rule == EXPLAINED_BY_FAULTS);
    let unexplained = record.broken.iter().filter(is_unexplained).cloned().collect();
    Ok(Outcome { scenario: generated, unexplained, record })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_seed_gives_a_valid_and_reproducible_scenario() {
        let mut events = std::collections::BTreeSet::new();
        for seed in 0..300 {
            let generated = generate(seed);
            let read = Scenario::read(Path::new("generated"), &generated.text);
            assert!(read.is_ok(), "seed {seed}: {read:?}\n{}", generated.text);
            assert_eq!(generated, generate(seed));
            events.extend(generated.events);
        }
        let all = [
            "crowd",
            "drain",
            "hold",
            "kill",
            "late",
            "network",
            "partition",
            "reload",
            "replace",
            "roll",
            "servers",
            "signals",
            "silence",
            "turn_away",
            "upgrade",
        ];
        assert!(events.into_iter().eq(all), "some seed generates each event");
    }
}
