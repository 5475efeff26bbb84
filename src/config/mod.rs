//! Configuration: the one place where it is read, checked and given defaults.

pub mod ogc;
pub mod settings;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fmt, fs};

use serde::Deserialize;
use serde_json::Value;

use self::ogc::Ogc;
use self::settings::SiteSettings;

/// What is wrong with the configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The variable or file.
    pub place: String,
    /// The key in it; empty where the whole is at fault.
    pub key: String,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.place, self.fault),
            key => write!(f, "{}: {key}: {}", self.place, self.fault),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The limits a broker keeps within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Open descriptors.
    pub sockets: usize,
}

/// What holds on the platform's busiest days, and where nothing is said.
const BOUNDS: Bounds = Bounds { memory_mb: 192, sockets: 1024 };
/// Under this many descriptors a broker can't reach its servers and its clients.
const LEAST_SOCKETS: usize = 64;

/// All that a broker is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens; it may be missing where an inventory lists the servers.
    pub discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Its limits.
    pub bounds: Bounds,
    /// The settings.
    pub settings: SiteSettings,
    /// The list of servers as it last had it, in discovery's form.
    pub known: Option<Value>,
    /// The OGC front, where it has a file.
    pub ogc: Option<Ogc>,
}

/// The OGC front's file, unless `BALANCER_OGC` names another.
const OGC_FILE: &str = "deploy/ogc.yaml";
/// The variable that outranks the file's `discovery` at the start, and yields to it on a reload.
const DISCOVERY: &str = "BALANCER_DISCOVERY";

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Value>,
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
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    ///
    /// Names the variable, or the file and key, at fault.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::load(|name| env::var(name).ok())
    }

    /// Reads the environment and the file again, while the program runs. Here the file's `discovery` goes
    /// before the variable, which can't change any more: else nothing could move the watch.
    ///
    /// # Errors
    ///
    /// Names the variable, or the file and key, at fault.
    pub fn reread() -> Result<Self, ConfigError> {
        Self::load(|name| if name == DISCOVERY { None } else { env::var(name).ok() })
    }

    /// The keys that differ from the running ones and wait for the next start.
    pub fn kept_until_restart(&self, running: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name == running.name),
            ("listen", self.listen == running.listen),
            ("limits", self.bounds == running.bounds),
            ("settings", self.settings == running.settings),
        ];
        keys.into_iter().filter_map(|(key, same)| (!same).then_some(key)).collect()
    }

    fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file = env::var_os("BALANCER_CONFIG").map(PathBuf::from);
        let file = file.ok_or_else(|| error("BALANCER_CONFIG", "", "is not set"))?;
        let open =
            |file: &Path| fs::read_to_string(file).map_err(|e| error(&place(file), "", &e.to_string()));
        let mut config = Self::read(&place(&file), &open(&file)?, variable)?;
        if config.discovery.is_none() {
            config.discovery = env::var(DISCOVERY).ok().map(|at| address(DISCOVERY, "", &at)).transpose()?;
        }
        let named = env::var_os("BALANCER_OGC").map(PathBuf::from);
        let ogc = named.clone().unwrap_or_else(|| OGC_FILE.into());
        // Without a file of its own, and none that was asked for, the front is off.
        if named.is_some() || ogc.exists() {
            config.ogc = Ogc::read(&ogc, &open(&ogc)?, &config.settings)?;
        }
        if config.discovery.is_none() && config.ogc.as_ref().is_none_or(|ogc| ogc.inventory.is_none()) {
            let fault = "is missing, BALANCER_DISCOVERY is not set, and no inventory lists the servers";
            return Err(error(&place(&file), "discovery", fault));
        }
        Ok(config)
    }

    /// Reads a configuration; a variable that is set goes before the file's key.
    ///
    /// # Errors
    ///
    /// Names the variable, or the place and key, at fault.
    pub fn read(
        place: &str,
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| error(place, &e.path().to_string(), &e.inner().to_string()))?;
        let told = |name: &str, key: &str, value: Option<String>| match (variable(name), value) {
            (Some(value), _) => Ok((name.to_owned(), String::new(), value)),
            (None, Some(value)) => Ok((place.to_owned(), key.to_owned(), value)),
            (None, None) => Err(error(place, key, &format!("is missing, and {name} is not set"))),
        };
        let address = |(place, key, value): (String, String, String)| address(&place, &key, &value);
        let seed = file.seed.unwrap_or_default();
        let settings = SiteSettings::read(&file.settings)
            .map_err(|e| error(place, &format!("settings.{}", e.key), &e.fault))?;
        settings.module.validate().map_err(|e| error(place, &format!("settings.{}", e.field), e.fault))?;
        if let Some(class) = settings.module.classes.iter().position(|class| class.follow_up > 0) {
            let key = format!("settings.extra.followUp[{class}]");
            return Err(error(place, &key, "a second step is not spoken by any front"));
        }
        if let Some(class) = settings.classes.iter().position(String::is_empty) {
            return Err(error(place, &format!("settings.profiles[{class}].name"), "is missing"));
        }
        let limit = |key: &str, value: Option<f64>, usual: usize, least: usize| match value {
            None => Ok(usual),
            Some(value) if value >= least as f64 => Ok((value as usize).min(usual)),
            Some(_) => Err(error(place, key, &format!("must be {least} or more"))),
        };
        Ok(Config {
            name: told("BALANCER_NAME", "name", file.name)?.2,
            listen: address(told("BALANCER_LISTEN", "listen", file.listen)?)?,
            discovery: told(DISCOVERY, "discovery", file.discovery).ok().map(address).transpose()?,
            seed: u64::from_str_radix(if seed.is_empty() { "0" } else { &seed }, 16)
                .map_err(|_| error(place, "seed", "must be up to 16 hex digits"))?,
            bounds: Bounds {
                memory_mb: limit("limits.memory_mb", file.limits.memory_mb, BOUNDS.memory_mb, 32)?,
                sockets: limit("limits.sockets", file.limits.sockets, BOUNDS.sockets, LEAST_SOCKETS)?,
            },
            known: file.known.filter(|known| !known.is_null()),
            settings,
            ogc: None,
        })
    }
}

fn address(place: &str, key: &str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| error(place, key, &format!("{value:?} is no address")))
}

fn place(path: &Path) -> String {
    path.display().to_string()
}

fn error(place: &str, key: &str, fault: &str) -> ConfigError {
    let key = if key == "." { "" } else { key };
    ConfigError { place: place.to_owned(), key: key.to_owned(), fault: fault.to_owned() }
}
