//! Configuration: the one place where it is read, checked and given defaults.

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

/// What is wrong with the configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The variable or file.
    pub location: String,
    /// The key in it; empty where the whole is at fault.
    pub key: String,
    /// What is wrong.
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

/// All that is wrong, at least one fault. It is displayed as the first.
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

/// The limits a broker keeps within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Open descriptors.
    pub sockets: usize,
}

impl ResourceLimits {
    /// Keeps to what the process may open, whatever the configuration says: what clients take beyond that, discovery
    /// and servers would lack.
    fn cap_to_process_limit(&mut self) -> Result<(), String> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let limit = limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX);
        if limit < MIN_SOCKETS {
            return Err(format!(
                "the process may open {limit} descriptors, which is under {MIN_SOCKETS}: raise its limit (ulimit -n)"
            ));
        }
        self.sockets = self.sockets.min(limit);
        Ok(())
    }
}

/// What holds on the platform's busiest days, and where nothing is said.
const DEFAULT_LIMITS: ResourceLimits = ResourceLimits { memory_mb: 192, sockets: 1024 };
/// Under this many descriptors a broker can't reach its servers and its clients.
const MIN_SOCKETS: usize = 64;

/// Addresses for the messages between brokers.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Address that this broker receives messages on.
    pub listen: SocketAddr,
    /// Address of each broker, by its index; includes this broker.
    pub brokers: Vec<SocketAddr>,
}

/// All that a broker is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub control: Option<SocketAddr>,
    /// Where discovery listens; it may be missing where an inventory lists the servers.
    pub discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Its limits.
    pub limits: ResourceLimits,
    /// The settings.
    pub settings: SiteSettings,
    /// Where word from other brokers comes, and where each of them hears it, by number.
    pub peers: Option<PeerAddresses>,
    /// The list of servers as it last had it, in discovery's form.
    pub known_servers: Option<Value>,
    /// The settings as they were given, without spaces.
    pub settings_json: String,
    /// The OGC front, where it has a file.
    pub ogc: Option<OgcConfig>,
    /// What the operator's file switches on.
    pub service: ServiceConfig,
}

/// The OGC front's file, unless `BALANCER_OGC` names another.
const OGC_FILE: &str = "deploy/ogc.yaml";
/// The operator's file, unless `BALANCER_SERVICE` names another.
const SERVICE_FILE: &str = "deploy/service.yaml";
/// The variable that outranks the file's `discovery` at the start, and yields to it on a reload.
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
    /// Reads the environment and the files that it names.
    ///
    /// # Errors
    ///
    /// Names each variable, or file and key, at fault.
    pub fn from_env() -> Result<Self, ConfigErrors> {
        Self::load(|name| env::var(name).ok())
    }

    /// Reads the environment and the files again, while the program runs. Here the file's `discovery` goes
    /// before the variable, which can't change any more: else nothing could move the watch.
    ///
    /// # Errors
    ///
    /// Names each variable, or file and key, at fault.
    pub fn reload() -> Result<Self, ConfigErrors> {
        Self::load(|name| if name == DISCOVERY { None } else { env::var(name).ok() })
    }

    /// Reads a configuration and an OGC front from files alone.
    ///
    /// # Errors
    ///
    /// Names each file and key at fault.
    pub fn from_files(file: &Path, ogc: &Path) -> Result<Self, ConfigErrors> {
        let mut config = Self::read(&place(file), &open(file)?, |_| None)?;
        config.ogc = OgcConfig::read(ogc, &open(ogc)?, &config.settings).map_err(ConfigErrors)?;
        Ok(config)
    }

    /// The keys that differ from the running ones and wait for the next start.
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
        let mut faults = Vec::new();
        let config = open(&file).map_err(ConfigErrors::from);
        let config = config.and_then(|text| Self::read(&place(&file), &text, &variable));
        let mut config = config.map_err(|found| faults.extend(found.0)).ok();
        // Without a file of its own, and none that was asked for, what it configures is off.
        let beside = |variable: &str, usual: &str| {
            let named = env::var_os(variable).map(PathBuf::from);
            let path = named.clone().unwrap_or_else(|| usual.into());
            (named.is_some() || path.exists()).then_some(path)
        };
        if let Some(path) = beside("BALANCER_SERVICE", SERVICE_FILE) {
            let settings = config.as_ref().map(|config| &config.settings);
            let text = open(&path).map_err(|error| vec![error]);
            match text.and_then(|text| ServiceConfig::read(&path, &text, settings)) {
                Ok(service) => drop(config.as_mut().map(|config| config.service = service)),
                Err(found) => faults.extend(found),
            }
        }
        let Some(config) = &mut config else { return Err(ConfigErrors(faults)) };
        if let Some(path) = beside("BALANCER_OGC", OGC_FILE) {
            let text = open(&path).map_err(|error| vec![error]);
            match text.and_then(|text| OgcConfig::read(&path, &text, &config.settings)) {
                Ok(ogc) => config.ogc = ogc,
                Err(found) => faults.extend(found),
            }
        }
        if config.discovery.is_none() {
            match env::var(DISCOVERY).ok().map(|at| address(DISCOVERY, "", &at)).transpose() {
                Ok(discovery) => config.discovery = discovery,
                Err(fault) => faults.push(fault),
            }
        }
        if let Some(word) = variable("BALANCER_LOG_LEVEL") {
            match service::parse_log_level(&word) {
                Ok(level) => config.service.log.level = level,
                Err(fault) => faults.push(error("BALANCER_LOG_LEVEL", "", &fault)),
            }
        }
        if let Some(word) = variable("BALANCER_LOG_FORMAT") {
            match service::parse_log_format(&word) {
                Ok(json) => config.service.log.json = json,
                Err(fault) => faults.push(error("BALANCER_LOG_FORMAT", "", &fault)),
            }
        }
        if let Err(fault) = config.limits.cap_to_process_limit() {
            faults.push(error(&place(&file), "limits.sockets", &fault));
        }
        let unlisted = config.ogc.as_ref().is_none_or(|ogc| ogc.inventory.is_none());
        if config.discovery.is_none() && unlisted && faults.is_empty() {
            let fault = "is missing, BALANCER_DISCOVERY is not set, and no inventory lists the servers";
            faults.push(error(&place(&file), "discovery", fault));
        }
        if faults.is_empty() { Ok(config.clone()) } else { Err(ConfigErrors(faults)) }
    }

    /// Reads a configuration; a variable that is set goes before the file's key.
    ///
    /// # Errors
    ///
    /// Names each variable, or the place and key, at fault.
    pub fn read(
        place: &str,
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigErrors> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| error(place, &e.path().to_string(), &e.inner().to_string()))?;
        let mut faults = Vec::new();
        let told = |name: &str, key: &str, value: Option<String>| match (variable(name), value) {
            (Some(value), _) => Ok((name.to_owned(), String::new(), value)),
            (None, Some(value)) => Ok((place.to_owned(), key.to_owned(), value)),
            (None, None) => Err(error(place, key, &format!("is missing, and {name} is not set"))),
        };
        let address = |(place, key, value): (String, String, String)| address(&place, &key, &value);
        let settings = SiteSettings::read(&file.settings)
            .map_err(|e| faults.push(error(place, &format!("settings.{}", e.key), &e.problem)))
            .ok();
        if let Some(settings) = &settings {
            let found = settings.router.errors();
            faults.extend(found.into_iter().map(|e| error(place, &key_of(e.field), e.problem)));
            for (class, rules) in settings.router.classes.iter().enumerate() {
                if rules.follow_up > 0 {
                    let key = format!("settings.extra.followUp[{class}]");
                    faults.push(error(place, &key, "a second step is not spoken by any front"));
                }
                if settings.classes.get(class).is_none_or(String::is_empty) {
                    faults.push(error(place, &format!("settings.profiles[{class}].name"), "is missing"));
                }
            }
        }
        let mut limit = |key: &str, value: Option<f64>, usual: usize, least: usize| match value {
            None => usual,
            Some(value) if value >= least as f64 => (value as usize).min(usual),
            Some(_) => {
                faults.push(error(place, key, &format!("must be {least} or more")));
                usual
            }
        };
        let limits = ResourceLimits {
            memory_mb: limit("limits.memory_mb", file.limits.memory_mb, DEFAULT_LIMITS.memory_mb, 32),
            sockets: limit("limits.sockets", file.limits.sockets, DEFAULT_LIMITS.sockets, MIN_SOCKETS),
        };
        let seed = file.seed.unwrap_or_default();
        let seed = u64::from_str_radix(if seed.is_empty() { "0" } else { &seed }, 16)
            .map_err(|_| faults.push(error(place, "seed", "must be up to 16 hex digits")));
        let name = told("BALANCER_NAME", "name", file.name).map_err(|fault| faults.push(fault));
        let listen = told("BALANCER_LISTEN", "listen", file.listen).and_then(address);
        let listen = listen.map_err(|fault| faults.push(fault));
        let discovery = told(DISCOVERY, "discovery", file.discovery).ok().map(address).transpose();
        let discovery = discovery.map_err(|fault| faults.push(fault));
        let control = told("BALANCER_CONTROL", "control", file.control).ok().map(address).transpose();
        let control = control.map_err(|fault| faults.push(fault)).ok().flatten();
        let peer_listen =
            file.peer_listen.map(|at| address((place.to_owned(), "peer_listen".to_owned(), at)));
        let peer_listen = peer_listen.transpose().map_err(|fault| faults.push(fault)).ok().flatten();
        let peer = |(n, at): (usize, String)| address((place.to_owned(), format!("peers[{n}]"), at));
        let peers: Result<Vec<_>, _> = file.peers.into_iter().enumerate().map(peer).collect();
        let peers = peers.map_err(|fault| faults.push(fault)).unwrap_or_default();
        match (settings, seed, name, listen, discovery) {
            (Some(settings), Ok(seed), Ok((.., name)), Ok(listen), Ok(discovery)) if faults.is_empty() => {
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
            _ => Err(ConfigErrors(faults)),
        }
    }
}

/// The key that an operator wrote for a field of the module's settings.
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

fn open(file: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(file).map_err(|e| error(&place(file), "", &e.to_string()))
}

fn address(place: &str, key: &str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| error(place, key, &format!("{value:?} is no address")))
}

fn place(path: &Path) -> String {
    path.display().to_string()
}

fn error(location: &str, key: &str, problem: &str) -> ConfigError {
    let key = if key == "." { "" } else { key };
    ConfigError { location: location.to_owned(), key: key.to_owned(), problem: problem.to_owned() }
}
