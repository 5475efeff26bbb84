//! The operator's file for what goes beyond the platform: the log, the trace and the store. Off while it says nothing.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::ConfigError;
use super::ogc::yaml_message;
use super::settings::SiteSettings;

/// Bytes in a MB.
const MB: u64 = 1024 * 1024;
/// Defaults, as `deploy/service.yaml` states them.
const FILE_MB: u64 = 64;
const FILE_MINUTES: u64 = 15;
const TOTAL_MB: u64 = 2048;
const QUEUE: usize = 1024;

/// The operator's file as read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// The log on standard error.
    pub log: LogConfig,
    /// The trace, where it is on.
    pub trace: Option<TraceConfig>,
    /// The store's file, where it is on.
    pub store: Option<PathBuf>,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The least severe level that is logged.
    pub level: tracing::Level,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { level: tracing::Level::INFO, json: false }
    }
}

/// Where and how much is recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceConfig {
    /// The folder.
    pub dir: PathBuf,
    /// A file is followed by a new one at this size, in bytes.
    pub file_bytes: u64,
    /// Or at this age.
    pub file_age: Duration,
    /// All files together take this at the most, in bytes.
    pub total_bytes: u64,
    /// Steps that may wait for the disk.
    pub queue: usize,
    /// Share of each class's queries that is recorded, by class.
    pub sample: Vec<f64>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    log: Option<LogFile>,
    trace: Option<TraceFile>,
    store: Option<StoreFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreFile {
    path: Spanned<String>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LogFile {
    level: Option<Spanned<String>>,
    format: Option<Spanned<String>>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TraceFile {
    dir: Option<Spanned<String>>,
    file_mb: Option<Spanned<u64>>,
    file_minutes: Option<Spanned<u64>>,
    total_mb: Option<Spanned<u64>>,
    queue: Option<Spanned<u64>>,
    sample: Option<BTreeMap<String, Spanned<f64>>>,
}

/// The level of a word.
pub fn parse_log_level(word: &str) -> Result<tracing::Level, String> {
    word.parse().map_err(|_| format!("{word:?} is none of error, warn, info, debug, trace"))
}

/// Whether a word asks for JSON.
pub fn parse_log_format(word: &str) -> Result<bool, String> {
    match word {
        "text" => Ok(false),
        "json" => Ok(true),
        _ => Err(format!("{word:?} is none of text, json")),
    }
}

impl ServiceConfig {
    /// Reads the file. Without sound settings, what depends on them is left unchecked.
    ///
    /// # Errors
    ///
    /// Every fault, with the line and the key.
    pub fn read(path: &Path, text: &str, settings: Option<&SiteSettings>) -> Result<Self, Vec<ConfigError>> {
        let file_name = path.display().to_string();
        let at = |line: u64, key: &str, fault: String| ConfigError {
            location: format!("{file_name}: line {line}"),
            key: key.to_owned(),
            problem: fault,
        };
        // A file of comments alone is the usual one.
        let says_nothing = text.lines().all(|line| line.trim().is_empty() || line.trim().starts_with('#'));
        let file: File = if says_nothing {
            File::default()
        } else {
            serde_saphyr::from_str(text).map_err(|error| {
                vec![at(error.location().map_or(1, |at| at.line()), "", yaml_message(&error))]
            })?
        };
        let mut faults = Vec::new();
        let mut service = ServiceConfig::default();
        if let Some(log) = file.log {
            if let Some(word) = log.level {
                match parse_log_level(&word.value) {
                    Ok(level) => service.log.level = level,
                    Err(fault) => faults.push(at(word.referenced.line(), "log.level", fault)),
                }
            }
            if let Some(word) = log.format {
                match parse_log_format(&word.value) {
                    Ok(json) => service.log.json = json,
                    Err(fault) => faults.push(at(word.referenced.line(), "log.format", fault)),
                }
            }
        }
        if let Some(trace) = file.trace {
            let mut number = |key: &str, value: Option<Spanned<u64>>, usual: u64, most: u64| match value {
                None => usual,
                Some(value) if (1..=most).contains(&value.value) => value.value,
                Some(value) => {
                    faults.push(at(value.referenced.line(), key, format!("must be 1 to {most}")));
                    usual
                }
            };
            let total_line = trace.total_mb.as_ref().map_or(1, |total| total.referenced.line());
            let file_bytes = number("trace.file_mb", trace.file_mb, FILE_MB, 1024) * MB;
            let total_bytes = number("trace.total_mb", trace.total_mb, TOTAL_MB, 1 << 24) * MB;
            let minutes = number("trace.file_minutes", trace.file_minutes, FILE_MINUTES, 7 * 24 * 60);
            let queue = number("trace.queue", trace.queue, QUEUE as u64, 1 << 16) as usize;
            if total_bytes < 2 * file_bytes {
                let fault = "must hold two files of `file_mb` at the least".to_owned();
                faults.push(at(total_line, "trace.total_mb", fault));
            }
            let classes = settings.map_or(&[][..], |settings| &settings.classes[..]);
            let mut sample = vec![1.0; classes.len()];
            for (class, share) in trace.sample.into_iter().flatten() {
                let key = format!("trace.sample.{class}");
                let line = share.referenced.line();
                if !(0.0..=1.0).contains(&share.value) {
                    faults.push(at(line, &key, "must be 0 to 1".into()));
                }
                match classes.iter().position(|known| *known == class) {
                    Some(index) => sample[index] = share.value,
                    None if settings.is_none() => {}
                    None => faults.push(at(line, &key, "no such class".into())),
                }
            }
            if let Some(dir) = trace.dir {
                if dir.value.is_empty() {
                    faults.push(at(dir.referenced.line(), "trace.dir", "must not be empty".into()));
                }
                let dir = PathBuf::from(dir.value);
                let file_age = Duration::from_secs(minutes * 60);
                service.trace = Some(TraceConfig { dir, file_bytes, file_age, total_bytes, queue, sample });
            }
        }
        if let Some(store) = file.store {
            if store.path.value.is_empty() {
                faults.push(at(store.path.referenced.line(), "store.path", "must not be empty".into()));
            }
            service.store = Some(store.path.value.into());
        }
        if faults.is_empty() { Ok(service) } else { Err(faults) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<ServiceConfig, String> {
        let json = include_str!("../../tests/exchanges/config.json");
        let json: serde_json::Value = serde_json::from_str(json).expect("JSON");
        let settings = SiteSettings::read(&json["settings"]).expect("sound");
        ServiceConfig::read(Path::new("s.yaml"), text, Some(&settings))
            .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    }

    // Guards the platform: the file as it stands in the repository switches nothing on.
    #[test]
    fn the_file_as_it_stands_is_off() {
        assert_eq!(read(include_str!("../../deploy/service.yaml")), Ok(ServiceConfig::default()));
    }

    #[test]
    fn all_faults_are_named_with_their_lines() {
        let text = "log: {level: loud,\n  format: xml}\ntrace:\n  dir: d\n  file_mb: 0\n  total_mb: 3\n\
                    \x20 sample:\n    search: 1.5\n    other: 0.5\n";
        let faults = read(text).expect_err("faulty");
        let expected = "s.yaml: line 1: log.level: \"loud\" is none of error, warn, info, debug, trace\n\
            s.yaml: line 2: log.format: \"xml\" is none of text, json\n\
            s.yaml: line 5: trace.file_mb: must be 1 to 1024\n\
            s.yaml: line 6: trace.total_mb: must hold two files of `file_mb` at the least\n\
            s.yaml: line 9: trace.sample.other: no such class\n\
            s.yaml: line 8: trace.sample.search: must be 0 to 1";
        assert_eq!(faults, expected);
        let empty = read("store:\n  path: \"\"\n").expect_err("faulty");
        assert_eq!(empty, "s.yaml: line 2: store.path: must not be empty");
        let unknown = read("trace:\n  dir: d\n  sise: 1\n").expect_err("faulty");
        assert!(unknown.starts_with("s.yaml: line 3: ") && unknown.contains("sise"), "{unknown}");
    }

    #[test]
    fn what_is_given_is_taken() {
        let service = read("trace: {dir: d, file_mb: 1, file_minutes: 2, sample: {report: 0.5}}\n");
        let trace = service.expect("sound").trace.expect("on");
        assert_eq!((trace.file_bytes, trace.file_age), (MB, Duration::from_secs(120)));
        assert_eq!(trace.sample, [1.0, 1.0, 0.5]);
    }
}
