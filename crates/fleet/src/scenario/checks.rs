//! Bounds on what a scenario's file says; what is out of them is gathered by line and key.

use std::time::Duration;

use serde_saphyr::Spanned;

use super::file::OfBrokers;
use super::{Brokers, DRAINED_WITHIN, ScenarioFault};

/// Gathers what is wrong, by line and key.
pub(super) struct Checks<'a> {
    pub(super) place: &'a str,
    pub(super) faults: Vec<ScenarioFault>,
}

impl Checks<'_> {
    pub(super) fn fault(&mut self, line: u64, key: &str, fault: String) {
        let place = format!("{}: line {line}", self.place);
        self.faults.push(ScenarioFault { place, key: key.to_owned(), fault });
    }

    pub(super) fn count(&mut self, key: &str, value: &Spanned<u64>, least: u64, most: u64) -> usize {
        if !(least..=most).contains(&value.value) {
            self.fault(value.referenced.line(), key, format!("must be {least} to {most}"));
        }
        value.value.clamp(least, most) as usize
    }

    pub(super) fn figure(&mut self, key: &str, value: &Spanned<f64>, least: f64, most: f64) -> f64 {
        if !(least..=most).contains(&value.value) {
            self.fault(value.referenced.line(), key, format!("must be {least} to {most}"));
        }
        if value.value.is_finite() { value.value.clamp(least, most) } else { least }
    }

    pub(super) fn seconds(&mut self, key: &str, value: &Spanned<f64>) -> Duration {
        Duration::from_secs_f64(self.figure(key, value, 0.0, 3600.0))
    }

    /// How long a drain lasts: longer than its brokers have to be rid of their clients.
    pub(super) fn drain_time(&mut self, key: &str, line: u64, value: Option<&Spanned<f64>>) -> Duration {
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
    pub(super) fn brokers(
        &mut self,
        key: &str,
        line: u64,
        event: &OfBrokers,
        among: usize,
    ) -> (Brokers, Duration) {
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
    pub(super) fn needed(&mut self, key: &str, line: u64, value: Option<&Spanned<f64>>) -> Duration {
        match value {
            Some(value) => self.seconds(key, value),
            None => {
                self.fault(line, key, "is missing".to_owned());
                Duration::ZERO
            }
        }
    }
}
