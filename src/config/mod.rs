//! Reads and checks the configuration and fills in its defaults.

pub mod ogc;
pub mod service;

pub use badgergauge_core::settings;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fmt, fs};

use serde::Deserialize;
use serde_json::Value;

use self::ogc::OgcConfig;
use self::service::ServiceConfig;
use self::settings::SiteSettings;

/// An error in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Environment variable or file, with the line where it is known.
    pub location: String,
    /// Key in the file; empty if the error concerns the whole file or an environment variable.
    pub key: String,
    /// Description of what is wrong.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.location, self.problem),
            key => write!(f, "{}: {key}: {}", self.location, self.problem),
        }
    }
}

impl std::error::Error for ConfigError {}

/// All errors in the configuration; contains at least one. Displays as the first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.first().map_or(Ok(()), |first| first.fmt(f))
    }
}

impl std::error::Error for ConfigErrors {}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

/// Resource limits of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Number of open file descriptors.
    pub sockets: usize,
}

impl ResourceLimits {
    /// Lowers `sockets` to the descriptor limit of the process. Without this, clients could use up the descriptors
    /// that discovery and the servers need.
    fn cap_to_process_limit(&mut self) -> Result<(), String> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let limit = limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX);
        if limit < MIN_SOCKETS {
            return Err(format!(
                "the process may open only {limit} file descriptors, at least {MIN_SOCKETS} are needed: raise its \
                 limit (ulimit -n)"
            ));
        }
        self.sockets = self.sockets.min(limit);
        Ok(())
    }
}

/// Limits on the platform's busiest days; also the defaults and the maximum.
const DEFAULT_LIMITS: ResourceLimits = ResourceLimits { memory_mb: 192, sockets: 1024 };
/// Minimum memory limit, in MB.
const MIN_MEMORY_MB: usize = 32;
/// Minimum number of file descriptors. With fewer, a broker can't connect to its servers and its clients.
const MIN_SOCKETS: usize = 64;

/// Addresses for the messages between brokers.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Address that this broker receives messages on.
    pub listen: SocketAddr,
    /// Address of each broker, by its index; includes this broker.
    pub brokers: Vec<SocketAddr>,
}

/// Configuration of a broker.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the broker.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the control endpoint; `None` if it is off.
    pub control: Option<SocketAddr>,
    /// Address of discovery; may be `None` if an inventory lists the servers.
    pub discovery: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Resource limits.
    pub limits: ResourceLimits,
    /// Settings of the deployment.
    pub settings: SiteSettings,
    /// Addresses for the messages between brokers; `None` if they are off.
    pub peers: Option<PeerAddresses>,
    /// Server list to start with, in discovery's format.
    pub known_servers: Option<Value>,
    /// The settings as configured, as compact JSON.
    pub settings_json: String,
    /// Configuration of the OGC front end; `None` if it is off.
    pub ogc: Option<OgcConfig>,
    /// Configuration of the log, the trace and the store.
    pub service: ServiceConfig,
}

/// Default path of the OGC front end's file; `BALANCER_OGC` overrides it.
const OGC_FILE: &str = "deploy/ogc.yaml";
/// Default path of the service file; `BALANCER_SERVICE` overrides it.
const SERVICE_FILE: &str = "deploy/service.yaml";
/// Variable for discovery's address. It overrides the file's `discovery` at start-up; on a reload the file's key
/// has precedence.
const DISCOVERY: &str = "BALANCER_DISCOVERY";

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    control: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Value>,
    #[serde(default)]
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    #[serde(default)]
    memory_mb: Option<f64>,
    #[serde(default)]
    sockets: Option<f64>,
}

impl Config {
    /// Reads the environment variables and the files that they name.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its variable, or its file and key.
    pub fn from_env() -> Result<Self, ConfigErrors> {
        Self::load(|name| env::var(name).ok())
    }

    /// Reads the environment variables and the files again, while the program runs. The file's `discovery` has
    /// precedence over the variable here: a running process's environment can't be changed, so the watch could
    /// otherwise never be moved to another address.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its variable, or its file and key.
    pub fn reload() -> Result<Self, ConfigErrors> {
        Self::load(|name| if name == DISCOVERY { None } else { env::var(name).ok() })
    }

    /// Reads a configuration and an OGC front end's file, ignoring the environment.
    ///
    /// # Errors
    ///
    /// Returns all errors of the first invalid file, each with its file and key.
    pub fn from_files(file: &Path, ogc: &Path) -> Result<Self, ConfigErrors> {
        let mut config = Self::read(&display(file), &read_file(file)?, |_| None)?;
        config.ogc = OgcConfig::read(ogc, &read_file(ogc)?, &config.settings).map_err(ConfigErrors)?;
        Ok(config)
    }

    /// Returns the keys whose values differ from those of the running configuration and take effect only after
    /// a restart.
    pub fn changes_needing_restart(&self, running: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name == running.name),
            ("listen", self.listen == running.listen),
            ("control", self.control == running.control),
            ("limits", self.limits == running.limits),
            ("settings", self.settings == running.settings),
            ("log", self.service.log == running.service.log),
            ("store", self.service.store == running.service.store),
        ];
        keys.into_iter().filter_map(|(key, same)| (!same).then_some(key)).collect()
    }

    fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigErrors> {
        let file = env::var_os("BALANCER_CONFIG").map(PathBuf::from);
        let file = file.ok_or_else(|| error("BALANCER_CONFIG", "", "is not set"))?;
        let mut errors = Vec::new();
        let config = read_file(&file).map_err(ConfigErrors::from);
        let config = config.and_then(|text| Self::read(&display(&file), &text, &variable));
        let mut config = config.map_err(|found| errors.extend(found.0)).ok();
        // A file that no variable names is optional: if it does not exist, what it configures is off.
        let optional_file = |variable: &str, default: &str| {
            let named = env::var_os(variable).map(PathBuf::from);
            let path = named.clone().unwrap_or_else(|| default.into());
            (named.is_some() || path.exists()).then_some(path)
        };
        if let Some(path) = optional_file("BALANCER_SERVICE", SERVICE_FILE) {
            let settings = config.as_ref().map(|config| &config.settings);
            let text = read_file(&path).map_err(|error| vec![error]);
            match text.and_then(|text| ServiceConfig::read(&path, &text, settings)) {
                Ok(service) => drop(config.as_mut().map(|config| config.service = service)),
                Err(found) => errors.extend(found),
            }
        }
        let Some(config) = &mut config else { return Err(ConfigErrors(errors)) };
        if let Some(path) = optional_file("BALANCER_OGC", OGC_FILE) {
            let text = read_file(&path).map_err(|error| vec![error]);
            match text.and_then(|text| OgcConfig::read(&path, &text, &config.settings)) {
                Ok(ogc) => config.ogc = ogc,
                Err(found) => errors.extend(found),
            }
        }
        if config.discovery.is_none() {
            match env::var(DISCOVERY).ok().map(|address| parse_address(DISCOVERY, "", &address)).transpose() {
                Ok(discovery) => config.discovery = discovery,
                Err(error) => errors.push(error),
            }
        }
        if let Some(value) = variable("BALANCER_LOG_LEVEL") {
            match service::parse_log_level(&value) {
                Ok(level) => config.service.log.level = level,
                Err(problem) => errors.push(error("BALANCER_LOG_LEVEL", "", &problem)),
            }
        }
        if let Some(value) = variable("BALANCER_LOG_FORMAT") {
            match service::parse_log_format(&value) {
                Ok(json) => config.service.log.json = json,
                Err(problem) => errors.push(error("BALANCER_LOG_FORMAT", "", &problem)),
            }
        }
        if let Err(problem) = config.limits.cap_to_process_limit() {
            errors.push(error(&display(&file), "limits.sockets", &problem));
        }
        let no_inventory = config.ogc.as_ref().is_none_or(|ogc| ogc.inventory.is_none());
        if config.discovery.is_none() && no_inventory && errors.is_empty() {
            let problem = "is missing, BALANCER_DISCOVERY is not set, and no inventory lists the servers";
            errors.push(error(&display(&file), "discovery", problem));
        }
        if errors.is_empty() { Ok(config.clone()) } else { Err(ConfigErrors(errors)) }
    }

    /// Parses a configuration file. An environment variable that is set overrides the file's key; `file_name` is used
    /// in error messages.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its variable, or its file and key.
    pub fn read(
        file_name: &str,
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigErrors> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| error(file_name, &e.path().to_string(), &e.inner().to_string()))?;
        let mut errors = Vec::new();
        let variable_or_key = |name: &str, key: &str, value: Option<String>| match (variable(name), value) {
            (Some(value), _) => Ok((name.to_owned(), String::new(), value)),
            (None, Some(value)) => Ok((file_name.to_owned(), key.to_owned(), value)),
            (None, None) => Err(error(file_name, key, &format!("is missing, and {name} is not set"))),
        };
        let address =
            |(location, key, value): (String, String, String)| parse_address(&location, &key, &value);
        let settings = SiteSettings::read(&file.settings)
            .map_err(|e| errors.push(error(file_name, &format!("settings.{}", e.key), &e.problem)))
            .ok();
        if let Some(settings) = &settings {
            let found = settings.router.errors();
            errors.extend(found.into_iter().map(|e| error(file_name, &key_of(e.field), e.problem)));
            for (class, rules) in settings.router.classes.iter().enumerate() {
                if rules.follow_up > 0 {
                    let key = format!("settings.extra.followUp[{class}]");
                    errors.push(error(file_name, &key, "a second step is not supported by any front end"));
                }
                if settings.classes.get(class).is_none_or(String::is_empty) {
                    errors.push(error(file_name, &format!("settings.profiles[{class}].name"), "is missing"));
                }
            }
        }
        let mut limit = |key: &str, value: Option<f64>, default: usize, min: usize| match value {
            None => default,
            Some(value) if value >= min as f64 => (value as usize).min(default),
            Some(_) => {
                errors.push(error(file_name, key, &format!("must be {min} or more")));
                default
            }
        };
        let limits = ResourceLimits {
            memory_mb: limit(
                "limits.memory_mb",
                file.limits.memory_mb,
                DEFAULT_LIMITS.memory_mb,
                MIN_MEMORY_MB,
            ),
            sockets: limit("limits.sockets", file.limits.sockets, DEFAULT_LIMITS.sockets, MIN_SOCKETS),
        };
        let seed = file.seed.unwrap_or_default();
        let seed = u64::from_str_radix(if seed.is_empty() { "0" } else { &seed }, 16)
            .map_err(|_| errors.push(error(file_name, "seed", "must be up to 16 hex digits")));
        let name = variable_or_key("BALANCER_NAME", "name", file.name).map_err(|error| errors.push(error));
        let listen = variable_or_key("BALANCER_LISTEN", "listen", file.listen).and_then(address);
        let listen = listen.map_err(|error| errors.push(error));
        let discovery = variable_or_key(DISCOVERY, "discovery", file.discovery).ok().map(address).transpose();
        let discovery = discovery.map_err(|error| errors.push(error));
        let control =
            variable_or_key("BALANCER_CONTROL", "control", file.control).ok().map(address).transpose();
        let control = control.map_err(|error| errors.push(error)).ok().flatten();
        let peer_listen =
            file.peer_listen.map(|value| address((file_name.to_owned(), "peer_listen".to_owned(), value)));
        let peer_listen = peer_listen.transpose().map_err(|error| errors.push(error)).ok().flatten();
        let peer =
            |(n, value): (usize, String)| address((file_name.to_owned(), format!("peers[{n}]"), value));
        let peers: Result<Vec<_>, _> = file.peers.into_iter().enumerate().map(peer).collect();
        let peers = peers.map_err(|error| errors.push(error)).unwrap_or_default();
        match (settings, seed, name, listen, discovery) {
            (Some(settings), Ok(seed), Ok((.., name)), Ok(listen), Ok(discovery)) if errors.is_empty() => {
                Ok(Config {
                    name,
                    listen,
                    control,
                    discovery,
                    seed,
                    limits,
                    known_servers: file.known.filter(|known| !known.is_null()),
                    settings,
                    settings_json: file.settings.to_string(),
                    peers: peer_listen
                        .filter(|_| !peers.is_empty())
                        .map(|listen| PeerAddresses { listen, brokers: peers }),
                    ogc: None,
                    service: ServiceConfig::default(),
                })
            }
            _ => Err(ConfigErrors(errors)),
        }
    }
}

/// Returns the configuration key of a field of the router's settings.
fn key_of(field: &str) -> String {
    let key = match field {
        "front_nodes" => "balancers",
        "classes" => "profiles",
        "classes.aim" => "profiles[].aimNs",
        "classes.deadline" => "profiles[].deadlineNs",
        "classes.worth" => "profiles[].credit",
        "classes.late_share" => "profiles[].lateShare",
        "classes.need" => "extra.needByClass",
        "classes.floor" => "extra.leastShare",
        "classes.partial_worth" => "extra.incompleteWorth",
        "tenants.quota_per_second" => "tenants[].quotaPerS",
        "cross_zone_price" => "prices.crossZone",
        "handshake_price" => "prices.handshake",
        "over_share_worth" => "overShareWorth",
        "shards" => "extra.slices",
        "cells" => "extra.sets",
        "width" => "extra.width",
        "batch" => "extra.batch",
        "tick" => "granularityNs",
        "max_attempts" => "limits.maxAttempts",
        "budget" => "safety.budgetSpanNs",
        "cold.from" => "safety.coldFrom",
        "cold.fall_multiple" => "safety.fallMultiple",
        other => other,
    };
    format!("settings.{key}")
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|e| error(&display(path), "", &e.to_string()))
}

fn parse_address(location: &str, key: &str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| error(location, key, &format!("{value:?} is no address")))
}

fn display(path: &Path) -> String {
    path.display().to_string()
}

fn error(location: &str, key: &str, problem: &str) -> ConfigError {
    // `serde_path_to_error` displays the path of the whole document as ".".
    let key = if key == "." { "" } else { key };
    ConfigError { location: location.to_owned(), key: key.to_owned(), problem: problem.to_owned() }
}
