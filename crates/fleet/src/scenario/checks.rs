//! Range checks of a scenario file's values. Errors are collected with their line and key.

use std::time::Duration;

use serde_saphyr::Spanned;

use super::file::BrokerSelection;
use super::{Brokers, DRAIN_TIME_LIMIT, ScenarioError};

/// Checks values and collects the errors. A value that is out of range is reported and replaced by one in
/// range, so that the rest of the file is checked too.
pub(super) struct Checks<'a> {
    pub(super) file: &'a str,
    pub(super) errors: Vec<ScenarioError>,
}

impl Checks<'_> {
    pub(super) fn error(&mut self, line: u64, key: &str, problem: String) {
        let location = format!("{}: line {line}", self.file);
        self.errors.push(ScenarioError { location, key: key.to_owned(), problem });
    }

    pub(super) fn count(&mut self, key: &str, value: &Spanned<u64>, min: u64, max: u64) -> usize {
        if !(min..=max).contains(&value.value) {
            self.error(value.referenced.line(), key, format!("must be {min} to {max}"));
        }
        value.value.clamp(min, max) as usize
    }

    pub(super) fn number(&mut self, key: &str, value: &Spanned<f64>, min: f64, max: f64) -> f64 {
        if !(min..=max).contains(&value.value) {
            self.error(value.referenced.line(), key, format!("must be {min} to {max}"));
        }
        if value.value.is_finite() { value.value.clamp(min, max) } else { min }
    }

    pub(super) fn seconds(&mut self, key: &str, value: &Spanned<f64>) -> Duration {
        Duration::from_secs_f64(self.number(key, value, 0.0, 3600.0))
    }

    /// A drain's duration. It has to exceed the time limit for closing the clients' connections, which is
    /// checked during the drain.
    pub(super) fn drain_duration(&mut self, key: &str, line: u64, value: Option<&Spanned<f64>>) -> Duration {
        let duration = self.required_seconds(key, line, value);
        if let Some(value) = value
            && duration <= DRAIN_TIME_LIMIT
        {
            let problem = format!("must be over {}", DRAIN_TIME_LIMIT.as_secs());
            self.error(value.referenced.line(), key, problem);
        }
        duration
    }

    /// The brokers that an event selects out of `count`, and the time between two of them.
    pub(super) fn brokers(
        &mut self,
        key: &str,
        line: u64,
        event: &BrokerSelection,
        count: usize,
    ) -> (Brokers, Duration) {
        let subkey = |name: &str| format!("{key}.{name}");
        let interval = event.every_s.as_ref();
        match (&event.broker, &event.share) {
            (Some(broker), None) => {
                if let Some(interval) = interval {
                    let problem = "must not be set for a single broker".to_owned();
                    self.error(interval.referenced.line(), &subkey("every_s"), problem);
                }
                let broker = self.count(&subkey("broker"), broker, 0, count as u64 - 1);
                (Brokers::One(broker), Duration::ZERO)
            }
            (None, Some(share)) => {
                let share = self.number(&subkey("share"), share, 0.01, 1.0);
                (Brokers::Share(share), self.required_seconds(&subkey("every_s"), line, interval))
            }
            _ => {
                self.error(line, key, "must set either `broker` or `share`".to_owned());
                (Brokers::One(0), Duration::ZERO)
            }
        }
    }

    /// A required number of seconds.
    pub(super) fn required_seconds(
        &mut self,
        key: &str,
        line: u64,
        value: Option<&Spanned<f64>>,
    ) -> Duration {
        match value {
            Some(value) => self.seconds(key, value),
            None => {
                self.error(line, key, "is missing".to_owned());
                Duration::ZERO
            }
        }
    }
}
