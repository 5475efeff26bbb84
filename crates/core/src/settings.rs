//! Reads the settings: one JSON object, in the same format in the simulator's messages and in a broker's
//! configuration.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::interface::{Budget, Class, ColdStart, LoadReport, RetrySafety, Settings, Tenant};

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteSettingsError {
    /// Path of the invalid key.
    pub key: String,
    /// Description of what is wrong with it.
    pub problem: String,
}

impl fmt::Display for SiteSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for SiteSettingsError {}

fn invalid(key: &str, problem: String) -> SiteSettingsError {
    SiteSettingsError { key: key.to_owned(), problem }
}

/// Settings of a deployment: those of the router and those of the broker around it.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Settings of the router.
    pub router: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the tenants, by index; empty if the deployment has none.
    pub tenants: Vec<String>,
    /// Maximum number of open queries and parts; beyond it, new queries are not accepted.
    pub max_open: usize,
    /// Idle time after which servers close a connection.
    pub connection_idle: Duration,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Maximum number of parts that one connection carries at once.
    pub max_streams: usize,
    /// Cost of a probe, as a fraction of the worth of a part.
    pub probe_price: f64,
    /// How long a broker may still send to a server after discovery reported it as draining or gone.
    pub drain_grace: Duration,
    /// Outcome messages between brokers; `None` if they are not allowed.
    pub peers: Option<PeerSettings>,
}

/// Settings of the outcome messages between brokers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSettings {
    /// This broker's index among all brokers.
    pub index: usize,
    /// Cost of a datagram of the maximum size, as a fraction of the worth of a part.
    pub price: f64,
}

/// Time that a request and its answer spend in the network and in a broker's buffers, which the broker cannot
/// measure.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(5);

impl SiteSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key.
    pub fn read(json: &Value) -> Result<Self, SiteSettingsError> {
        let raw: RawSettings = serde_path_to_error::deserialize(json)
            .map_err(|error| invalid(&error.path().to_string(), error.inner().to_string()))?;
        let positive = |key: &str, is_positive: bool| match is_positive {
            true => Ok(()),
            false => Err(invalid(key, "must be above zero".to_owned())),
        };
        positive("limits.maxStreams", raw.limits.max_streams > 0)?;
        positive("limits.maxOpen", raw.limits.max_open > 0)?;
        positive("limits.connIdleNs", raw.limits.conn_idle_ns > 0)?;
        positive("limits.connectTimeoutNs", raw.limits.connect_timeout_ns > 0)?;
        positive("safety.drainGraceNs", raw.safety.drain_grace_ns > 0)?;
        Ok(SiteSettings {
            router: raw.router()?,
            classes: raw.profiles.into_iter().map(|profile| profile.name).collect(),
            zones: raw.zones,
            tenants: raw.tenants.into_iter().map(|tenant| tenant.name).collect(),
            max_open: raw.limits.max_open,
            connection_idle: Duration::from_nanos(raw.limits.conn_idle_ns),
            connect_timeout: Duration::from_nanos(raw.limits.connect_timeout_ns),
            max_streams: raw.limits.max_streams,
            probe_price: raw.prices.probe.max(0.0),
            drain_grace: Duration::from_nanos(raw.safety.drain_grace_ns),
            peers: raw.limits.peers.then_some(PeerSettings { index: raw.me, price: raw.prices.peer }),
        })
    }
}

/// Builds a load report from named values. Each value is looked up by its name in the settings'
/// `stats.columns` first, then by its name in the protocol specification.
pub fn load_report(value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let either = |name, other| value(name).or_else(|| value(other));
    LoadReport {
        held: either("busy_reqs", "inflight"),
        waiting: either("pending", "queue"),
        utilisation: either("cpu_share", "util"),
        service_seconds: either("svc_ms", "latency_ms").map(|ms| ms / 1e3),
    }
}

fn default_conn_idle_ns() -> u64 {
    15_000_000_000
}

fn default_connect_timeout_ns() -> u64 {
    250_000_000
}

fn default_drain_grace_ns() -> u64 {
    250_000_000
}

fn unlimited() -> usize {
    usize::MAX
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawSettings {
    balancers: u32,
    #[serde(default)]
    me: usize,
    #[serde(default)]
    locality: u32,
    granularity_ns: u64,
    #[serde(default)]
    clients: Clients,
    registry_mode: String,
    profiles: Vec<Profile>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    over_share_worth: Option<f64>,
    extra: Extra,
    limits: Limits,
    #[serde(default)]
    stats: Stats,
    safety: Safety,
    #[serde(default)]
    prices: Prices,
}

#[derive(Default, Deserialize)]
struct Stats {
    #[serde(default)]
    columns: Vec<String>,
    #[serde(default)]
    how: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Clients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    #[serde(default)]
    name: String,
    aim_ns: u64,
    deadline_ns: u64,
    effect: String,
    #[serde(default)]
    window_ns: u64,
    #[serde(default)]
    late_share: f64,
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Extra {
    batch: u32,
    call_ns: u64,
    sets: u32,
    slices: u32,
    width: u32,
    follow_up: Vec<u32>,
    least_share: Vec<f64>,
    need_by_class: Vec<f64>,
    incomplete_worth: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    cancel: bool,
    #[serde(default = "default_conn_idle_ns")]
    conn_idle_ns: u64,
    #[serde(default = "default_connect_timeout_ns")]
    connect_timeout_ns: u64,
    #[serde(default = "unlimited")]
    max_open: usize,
    #[serde(default = "unlimited")]
    max_streams: usize,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    peers: bool,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_ns: u64,
    #[serde(default)]
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Safety {
    cold_from: f64,
    cold_ns: u64,
    #[serde(default = "default_drain_grace_ns")]
    drain_grace_ns: u64,
    fall_multiple: f64,
    overload_for_ns: u64,
    budget_span_ns: Option<u64>,
    extra_free: Option<f64>,
    repeat_ratio: Option<f64>,
}

impl RawSettings {
    fn router(&self) -> Result<Settings, SiteSettingsError> {
        let safety = &self.safety;
        Ok(Settings {
            front_nodes: self.balancers,
            zone: self.locality,
            classes: (0..self.profiles.len()).map(|index| self.class(index)).collect::<Result<_, _>>()?,
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_second: t.quota_per_s }).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            shards: self.extra.slices,
            cells: self.extra.sets,
            width: self.extra.width,
            batch: self.extra.batch,
            call_cost: Duration::from_nanos(self.extra.call_ns),
            tick: Duration::from_nanos(self.granularity_ns),
            network_allowance: NETWORK_ALLOWANCE,
            max_attempts: self.limits.max_attempts,
            hedging: self.limits.second_copies,
            cancel: self.limits.cancel,
            may_probe: self.limits.may_probe,
            reports_by_probe: self.stats.how == "probe",
            reports_queue: self.stats.columns.iter().any(|c| c == "pending" || c == "busy_reqs"),
            retries_marked: self.clients.marks_retry,
            max_retry_after: match self.limits.retry_after {
                true => Duration::from_nanos(self.limits.max_retry_after_ns),
                false => Duration::ZERO,
            },
            list_on_request: match self.registry_mode.as_str() {
                "pushed" => false,
                "on_request" => true,
                other => return Err(invalid("registryMode", format!("unknown value {other:?}"))),
            },
            cross_zone_price: self.prices.cross_zone,
            handshake_price: self.prices.handshake,
            budget: safety.budget_span_ns.map(|window| Budget {
                window: Duration::from_nanos(window),
                free: safety.extra_free.unwrap_or(0.0),
                share: safety.repeat_ratio.unwrap_or(0.0),
            }),
            cold: ColdStart {
                from: safety.cold_from,
                warm_after: Duration::from_nanos(safety.cold_ns),
                fall_multiple: safety.fall_multiple,
                window: Duration::from_nanos(safety.overload_for_ns),
            },
        })
    }

    fn class(&self, index: usize) -> Result<Class, SiteSettingsError> {
        let profile = &self.profiles[index];
        let value = |values: &[f64], key: &str| {
            values.get(index).copied().ok_or_else(|| invalid(key, format!("has no value for class {index}")))
        };
        Ok(Class {
            aim: Duration::from_nanos(profile.aim_ns),
            deadline: Duration::from_nanos(profile.deadline_ns),
            worth: profile.credit,
            late_share: profile.late_share,
            retry_safety: match profile.effect.as_str() {
                "safe" => RetrySafety::Safe,
                "keyed" => RetrySafety::Keyed(Duration::from_nanos(profile.window_ns)),
                "unsafe" => RetrySafety::Unsafe,
                other => {
                    return Err(invalid(
                        &format!("profiles[{index}].effect"),
                        format!("unknown value {other:?}"),
                    ));
                }
            },
            need: value(&self.extra.need_by_class, "extra.needByClass")?,
            floor: value(&self.extra.least_share, "extra.leastShare")?,
            partial_worth: value(&self.extra.incomplete_worth, "extra.incompleteWorth")?,
            follow_up: *self
                .extra
                .follow_up
                .get(index)
                .ok_or_else(|| invalid("extra.followUp", format!("has no value for class {index}")))?,
        })
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    handshake: f64,
    #[serde(default)]
    peer: f64,
    #[serde(default)]
    probe: f64,
}
