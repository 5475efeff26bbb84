//! The service file: the log, the trace and the store. None of them is required by the platform; whatever the file
//! leaves out is off or has its default.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::ConfigError;
use super::ogc::yaml_message;
use super::settings::SiteSettings;

/// Number of bytes in a MB.
const MB: u64 = 1024 * 1024;

// Deerrors; `deploy/service.yaml` documents the same values.
/// Default maximum size of a trace file, in MB.
const DEFAULT_FILE_MB: u64 = 64;
/// Default maximum age of a trace file, in minutes.
const DEFAULT_FILE_MINUTES: u64 = 15;
/// Default maximum size of all trace files together, in MB.
const DEFAULT_TOTAL_MB: u64 = 2048;
/// Default capacity of the trace queue, in steps.
const DEFAULT_QUEUE_STEPS: usize = 1024;

// Maximum values that the file may set.
/// Maximum of `trace.file_mb`.
const MAX_FILE_MB: u64 = 1024;
/// Maximum of `trace.file_minutes`: one week.
const MAX_FILE_MINUTES: u64 = 7 * 24 * 60;
/// Maximum of `trace.total_mb`.
const MAX_TOTAL_MB: u64 = 1 << 24;
/// Maximum of `trace.queue`, in steps.
const MAX_QUEUE_STEPS: u64 = 1 << 16;

/// Contents of the service file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Log on standard error.
    pub log: LogConfig,
    /// Trace; `None` if it is off.
    pub trace: Option<TraceConfig>,
    /// Path of the store's file; `None` if the store is off.
    pub store: Option<PathBuf>,
}

/// Configuration of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Least severe level that is logged.
    pub level: tracing::Level,
    /// Whether each line is a JSON object instead of text.
    pub json: bool,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { level: tracing::Level::INFO, json: false }
    }
}

/// Configuration of the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceConfig {
    /// Directory of the trace files.
    pub dir: PathBuf,
    /// Size at which a file is rotated, in bytes.
    pub file_bytes: u64,
    /// Age at which a file is rotated.
    pub file_age: Duration,
    /// Maximum size of all files together, in bytes.
    pub total_bytes: u64,
    /// Maximum number of steps that wait to be written.
    pub queue: usize,
    /// Fraction of the queries that is recorded, by index of the class.
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

/// Parses a log level.
///
/// # Errors
///
/// Describes what is wrong with the value.
pub fn parse_log_level(value: &str) -> Result<tracing::Level, String> {
    value.parse().map_err(|_| format!("{value:?} is none of error, warn, info, debug, trace"))
}

/// Parses a log format: `true` for JSON, `false` for text.
///
/// # Errors
///
/// Describes what is wrong with the value.
pub fn parse_log_format(value: &str) -> Result<bool, String> {
    match value {
        "text" => Ok(false),
        "json" => Ok(true),
        _ => Err(format!("{value:?} is none of text, json")),
    }
}

impl ServiceConfig {
    /// Parses the file. Without `settings`, class names are not checked.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its line and key.
    pub fn read(path: &Path, text: &str, settings: Option<&SiteSettings>) -> Result<Self, Vec<ConfigError>> {
        let file_name = path.display().to_string();
        let error = |line: u64, key: &str, problem: String| ConfigError {
            location: format!("{file_name}: line {line}"),
            key: key.to_owned(),
            problem,
        };
        // The file in the repository contains only comments, which is not a valid YAML mapping.
        let is_empty = text.lines().all(|line| line.trim().is_empty() || line.trim().starts_with('#'));
        let file: File = if is_empty {
            File::default()
        } else {
            serde_saphyr::from_str(text).map_err(|yaml_error| {
                let line = yaml_error.location().map_or(1, |at| at.line());
                vec![error(line, "", yaml_message(&yaml_error))]
            })?
        };
        let mut errors = Vec::new();
        let mut service = ServiceConfig::default();
        if let Some(log) = file.log {
            if let Some(value) = log.level {
                match parse_log_level(&value.value) {
                    Ok(level) => service.log.level = level,
                    Err(problem) => errors.push(error(value.referenced.line(), "log.level", problem)),
                }
            }
            if let Some(value) = log.format {
                match parse_log_format(&value.value) {
                    Ok(json) => service.log.json = json,
                    Err(problem) => errors.push(error(value.referenced.line(), "log.format", problem)),
                }
            }
        }
        if let Some(trace) = file.trace {
            let mut number = |key: &str, value: Option<Spanned<u64>>, default: u64, max: u64| match value {
                None => default,
                Some(value) if (1..=max).contains(&value.value) => value.value,
                Some(value) => {
                    errors.push(error(value.referenced.line(), key, format!("must be 1 to {max}")));
                    default
                }
            };
            let total_line = trace.total_mb.as_ref().map_or(1, |total| total.referenced.line());
            let file_bytes = number("trace.file_mb", trace.file_mb, DEFAULT_FILE_MB, MAX_FILE_MB) * MB;
            let total_bytes = number("trace.total_mb", trace.total_mb, DEFAULT_TOTAL_MB, MAX_TOTAL_MB) * MB;
            let minutes =
                number("trace.file_minutes", trace.file_minutes, DEFAULT_FILE_MINUTES, MAX_FILE_MINUTES);
            let queue =
                number("trace.queue", trace.queue, DEFAULT_QUEUE_STEPS as u64, MAX_QUEUE_STEPS) as usize;
            if total_bytes < 2 * file_bytes {
                let problem = "must be at least twice `file_mb`".to_owned();
                errors.push(error(total_line, "trace.total_mb", problem));
            }
            let classes = settings.map_or(&[][..], |settings| &settings.classes[..]);
            let mut sample = vec![1.0; classes.len()];
            for (class, share) in trace.sample.into_iter().flatten() {
                let key = format!("trace.sample.{class}");
                let line = share.referenced.line();
                if !(0.0..=1.0).contains(&share.value) {
                    errors.push(error(line, &key, "must be 0 to 1".into()));
                }
                match classes.iter().position(|known| *known == class) {
                    Some(index) => sample[index] = share.value,
                    None if settings.is_none() => {}
                    None => errors.push(error(line, &key, "no such class".into())),
                }
            }
            if let Some(dir) = trace.dir {
                if dir.value.is_empty() {
                    errors.push(error(dir.referenced.line(), "trace.dir", "must not be empty".into()));
                }
                let dir = PathBuf::from(dir.value);
                let file_age = Duration::from_secs(minutes * 60);
                service.trace = Some(TraceConfig { dir, file_bytes, file_age, total_bytes, queue, sample });
            }
        }
        if let Some(store) = file.store {
            if store.path.value.is_empty() {
                errors.push(error(store.path.referenced.line(), "store.path", "must not be empty".into()));
            }
            service.store = Some(store.path.value.into());
        }
        if errors.is_empty() { Ok(service) } else { Err(errors) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<ServiceConfig, String> {
        let json = include_str!("../../tests/exchanges/config.json");
        let json: serde_json::Value = serde_json::from_str(json).expect("JSON");
        let settings = SiteSettings::read(&json["settings"]).expect("valid");
        ServiceConfig::read(Path::new("s.yaml"), text, Some(&settings))
            .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    }

    // The service file in the repository must not turn anything on: the platform runs with that file.
    #[test]
    fn file_in_the_repository_turns_nothing_on() {
        assert_eq!(read(include_str!("../../deploy/service.yaml")), Ok(ServiceConfig::default()));
    }

    #[test]
    fn all_errors_are_reported_with_their_lines() {
        let text = "log: {level: loud,\n  format: xml}\ntrace:\n  dir: d\n  file_mb: 0\n  total_mb: 3\n\
                    \x20 sample:\n    search: 1.5\n    other: 0.5\n";
        let errors = read(text).expect_err("invalid");
        let expected = "s.yaml: line 1: log.level: \"loud\" is none of error, warn, info, debug, trace\n\
            s.yaml: line 2: log.format: \"xml\" is none of text, json\n\
            s.yaml: line 5: trace.file_mb: must be 1 to 1024\n\
            s.yaml: line 6: trace.total_mb: must be at least twice `file_mb`\n\
            s.yaml: line 9: trace.sample.other: no such class\n\
            s.yaml: line 8: trace.sample.search: must be 0 to 1";
        assert_eq!(errors, expected);
        let empty = read("store:\n  path: \"\"\n").expect_err("invalid");
        assert_eq!(empty, "s.yaml: line 2: store.path: must not be empty");
        let unknown = read("trace:\n  dir: d\n  sise: 1\n").expect_err("invalid");
        assert!(unknown.starts_with("s.yaml: line 3: ") && unknown.contains("sise"), "{unknown}");
    }

    #[test]
    fn given_values_are_used() {
        let service = read("trace: {dir: d, file_mb: 1, file_minutes: 2, sample: {report: 0.5}}\n");
        let trace = service.expect("valid").trace.expect("on");
        assert_eq!((trace.file_bytes, trace.file_age), (MB, Duration::from_secs(120)));
        assert_eq!(trace.sample, [1.0, 1.0, 0.5]);
    }
}
