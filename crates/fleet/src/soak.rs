//! Scenarios drawn from a seed: a fleet, its load, and a series of events that cross each other. A drawn scenario is the
//! text of a scenario's file, so that it can be kept, read and played again.

use std::fmt::Write;
use std::io;
use std::path::Path;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{Broken, Record};
use crate::run::{self, Options};
use crate::scenario::Scenario;

/// How long clients ask, in seconds.
const SECONDS: u64 = 9;
/// Rules that a fault of servers, discovery or the network explains: what can't be served is refused.
const EXPLAINED_BY_FAULTS: &str = "Refused";
const MANNERS: [&str; 6] = ["break", "turn_away", "swallow", "hang", "slow", "spoil"];
const SIGNALS: [&str; 5] =
    ["[hup, hup, term]", "[term, term]", "[hup, term, hup]", "[term, hup]", "[hup, hup, hup]"];

/// A drawn scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drawn {
    /// The scenario's file.
    pub text: String,
    /// Its events, by name.
    pub events: Vec<&'static str>,
    /// Whether servers, discovery or the network are at fault in it.
    faulty: bool,
}

/// What came of a seed.
#[derive(Debug)]
pub struct Outcome {
    /// What was drawn.
    pub drawn: Drawn,
    /// The rules that were broken.
    pub broken: Vec<Broken>,
    /// The whole record.
    pub record: Record,
}

/// Draws the events of one scenario.
struct Draw {
    rng: ChaCha8Rng,
    drawn: Drawn,
}

impl Draw {
    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        self.rng.random_range(least..most)
    }

    fn one(&mut self, of: &[&'static str]) -> &'static str {
        of.choose(&mut self.rng).copied().unwrap_or_default()
    }

    fn event(&mut self, at: f64, name: &'static str, fields: &str) {
        let _ = writeln!(self.drawn.text, "  - {{at: {at:.2}, {name}: {{{fields}}}}}");
        self.drawn.events.push(name);
    }

    fn fleet(&mut self, seed: u64) {
        let cells = self.rng.random_range(2..=4);
        let (brokers, servers) = (self.rng.random_range(3..=6), cells * 2);
        let rate = self.between(15.0, 30.0);
        let (zones, parts) = (self.rng.random_range(1..=2), self.rng.random_range(2..=5));
        let [on_request, indented, store] = [0.5, 0.2, 0.2].map(|share| self.chance(share));
        let (pooled, unruly) = (self.chance(0.8), if self.chance(0.5) { 0.1 } else { 0.0 });
        let (cold, service) = (self.between(1.0, 4.0), self.between(5.0, 25.0));
        let read_lag = self.one(&["0", "30", "30"]);
        let window = self.one(&["5000", "400"]);
        self.drawn.text = format!(
            "brokers: {brokers}\nservers: {servers}\nzones: {zones}\ncells: {cells}\nrate: {rate:.1}\n\
             parts: {parts}\nseconds: {SECONDS}\nseed: {seed}\non_request: {on_request}\nindented: {indented}\n\
             store: {store}\npooled: {pooled}\nunsafe_share: 0.15\nunruly: {unruly}\nkills_early: true\nwindow_ms: {window}\n\
             tile: {{cold_s: {cold:.1}, service_ms: {service:.1}, read_lag_ms: {read_lag}}}\nevents:\n"
        );
    }

    /// Brokers that end and come back. Two events may cross, also while a process of before ends.
    fn restarts(&mut self, quiet: f64) {
        for _ in 0..self.rng.random_range(1..=2) {
            let (at, every) = (quiet + self.between(0.5, 4.0), self.between(0.5, 2.0));
            match self.rng.random_range(0..4) {
                0 => {
                    let share = self.between(0.2, 0.5);
                    self.event(at, "roll", &format!("share: {share:.2}, every_s: {every:.2}"));
                }
                1 => {
                    let (share, back) = (self.between(0.2, 0.6), self.between(0.1, 1.0));
                    self.event(at, "kill", &format!("share: {share:.2}, back_s: {back:.2}"));
                }
                _ => {
                    let (series, gap) = (self.one(&SIGNALS), self.between(0.0, 10.0));
                    let share = self.between(0.3, 1.0);
                    let fields = format!("share: {share:.2}, series: {series}, every_ms: {gap:.1}");
                    self.event(at, "signals", &fields);
                }
            }
        }
    }

    /// Brokers that are upgraded or drained, with SIGHUPs meanwhile: clients must not notice.
    fn seamless(&mut self, quiet: f64) {
        let (at, every, share) =
            (quiet + self.between(0.5, 3.0), self.between(0.8, 2.0), self.between(0.3, 0.8));
        if self.chance(0.6) {
            self.event(at, "upgrade", &format!("share: {share:.2}, every_s: {every:.2}"));
        } else {
            // They are over before the clients are.
            let (at, every, share) = (self.between(0.2, 1.5), self.between(0.2, 0.8), share.min(0.5));
            self.event(at, "drain", &format!("share: {share:.2}, every_s: {every:.2}, for_s: 4.5"));
        }
        if self.chance(0.5) {
            let (at, gap) = (at + self.between(0.0, 2.0), self.between(0.0, 10.0));
            self.event(at, "signals", &format!("share: 1.0, series: [hup, hup], every_ms: {gap:.1}"));
        }
    }

    fn brokers_troubles(&mut self, quiet: f64) {
        if self.chance(0.6) {
            let (at, by) = (quiet + self.between(0.0, 1.0), self.between(80.0, 140.0));
            let (share, every) = (self.between(0.5, 1.0), self.rng.random_range(1..=4));
            let fields = format!("share: {share:.2}, by_ms: {by:.0}, every: {every}, for_s: 8");
            self.event(at, "hold", &fields);
        }
        if self.chance(0.3) {
            let at = quiet + self.between(0.0, 6.0);
            self.event(at, "reload", "");
        }
        if self.chance(0.25) {
            let (at, share) = (quiet + self.between(0.0, 4.0), self.between(0.2, 1.0));
            let clients = self.rng.random_range(200..=1200);
            self.event(at, "crowd", &format!("share: {share:.2}, clients: {clients}, for_s: 3"));
        }
    }

    fn faults_around(&mut self, quiet: f64) {
        let before = self.drawn.events.len();
        // Servers that fall silent in turns make brokers give parts up, and send them elsewhere.
        if self.chance(0.5) {
            for turn in [1.0, 2.5, 4.0] {
                self.event(quiet + turn, "servers", "share: 0.5, manner: swallow, for_s: 1");
            }
        } else if self.chance(0.5) {
            let (at, lasts) = (quiet + self.between(0.0, 5.0), self.between(0.5, 4.5));
            let (share, manner) = (self.between(0.2, 0.5), self.one(&MANNERS));
            self.event(at, "servers", &format!("share: {share:.2}, manner: {manner}, for_s: {lasts:.2}"));
        }
        if self.chance(0.3) {
            let (at, lasts) = (quiet + self.between(0.0, 4.0), self.between(0.5, 3.0));
            let one_way = self.chance(0.5);
            self.event(at, "partition", &format!("zone: 0, one_way: {one_way}, for_s: {lasts:.2}"));
        }
        if self.chance(0.25) {
            let (at, share, within) =
                (quiet + self.between(0.0, 3.0), self.between(0.2, 0.5), self.between(1.0, 3.0));
            self.event(at, "replace", &format!("share: {share:.2}, within_s: {within:.2}"));
        }
        if self.chance(0.3) {
            let (at, lasts) = (quiet + self.between(0.0, 5.0), self.between(0.5, 3.0));
            let (delay, jitter, reset) =
                (self.between(0.0, 15.0), self.between(0.0, 10.0), self.between(0.0, 0.02));
            let fields =
                format!("delay_ms: {delay:.1}, jitter_ms: {jitter:.1}, reset: {reset:.3}, for_s: {lasts:.2}");
            self.event(at, "network", &fields);
        }
        if self.chance(0.4) {
            let (at, lasts) = (quiet + self.between(0.0, 4.0), self.between(0.5, 4.0));
            match self.rng.random_range(0..3) {
                0 => self.event(at, "late", &format!("by_s: 0.50, for_s: {lasts:.2}")),
                1 => self.event(at, "turn_away", &format!("for_s: {lasts:.2}")),
                _ => self.event(at, "silence", &format!("for_s: {lasts:.2}")),
            }
        }
        self.drawn.faulty = self.drawn.events.len() > before;
    }
}

/// Draws a scenario. The same seed gives the same text.
pub fn draw(seed: u64) -> Drawn {
    let drawn = Drawn { text: String::new(), events: Vec::new(), faulty: false };
    let mut draw = Draw { rng: ChaCha8Rng::seed_from_u64(seed), drawn };
    draw.fleet(seed);
    // Some fleets have been quiet for long when trouble comes.
    let quiet = if draw.chance(0.2) { 4.0 } else { 0.0 };
    if draw.chance(0.65) {
        draw.restarts(quiet);
    } else {
        draw.seamless(quiet);
    }
    draw.brokers_troubles(quiet);
    draw.faults_around(quiet);
    draw.drawn
}

/// Draws a scenario, keeps it as `scenario.yaml` in the folder of `options`, and plays it.
///
/// # Errors
///
/// When the harness itself can't do its part.
pub fn play(seed: u64, options: &Options) -> io::Result<Outcome> {
    let drawn = draw(seed);
    std::fs::create_dir_all(&options.dir)?;
    std::fs::write(options.dir.join("scenario.yaml"), &drawn.text)?;
    let faults = |faults: Vec<_>| io::Error::other(format!("seed {seed}: {faults:?}"));
    let scenario = Scenario::read(Path::new("scenario.yaml"), &drawn.text).map_err(faults)?;
    let record = run::run(&scenario, options)?;
    let judged = |broken: &&Broken| !(drawn.faulty && broken.rule == EXPLAINED_BY_FAULTS);
    let broken = record.broken.iter().filter(judged).cloned().collect();
    Ok(Outcome { drawn, broken, record })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_seed_draws_a_sound_scenario_and_the_same_again() {
        let mut events = std::collections::BTreeSet::new();
        for seed in 0..300 {
            let drawn = draw(seed);
            let read = Scenario::read(Path::new("drawn"), &drawn.text);
            assert!(read.is_ok(), "seed {seed}: {read:?}\n{}", drawn.text);
            assert_eq!(drawn, draw(seed));
            events.extend(drawn.events);
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
        assert!(events.into_iter().eq(all), "each event is drawn by some seed");
    }
}
