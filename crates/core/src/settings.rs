//! The settings: one JSON object, the same from the simulator's wire and in a broker's configuration.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::interface::{Budget, Class, ColdStart, LoadReport, RetrySafety, Settings, Tenant};

/// What is wrong with the settings, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteSettingsError {
    /// The key at fault, as a path.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for SiteSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for SiteSettingsError {}

fn fault(key: &str, fault: String) -> SiteSettingsError {
    SiteSettingsError { key: key.to_owned(), problem: fault }
}

/// The settings: what the module takes, and what the broker round it needs.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The module's part.
    pub router: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the tenants, by index; empty where queries belong to none.
    pub tenants: Vec<String>,
    /// Queries and parts that may be open; beyond that queries are not taken.
    pub max_open: usize,
    /// Servers close connections that stand idle so long.
    pub connection_idle: Duration,
    /// Connections that are not made in this time are given up.
    pub connect_timeout: Duration,
    /// Parts that one connection carries at once.
    pub max_streams: usize,
    /// What a probe costs, as a fraction of the worth of a part.
    pub probe_price: f64,
    /// After it was told that a server drains or is gone a broker may send to it for so long.
    pub drain_grace: Duration,
    /// This broker's number, and what a full message to another may cost; none where they may say nothing.
    pub peers: Option<PeerSettings>,
}

/// Outcome messages between brokers, where they are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSettings {
    /// This broker's index among all brokers.
    pub index: usize,
    /// Cost of a datagram of the maximum size, as a fraction of the worth of a part.
    pub price: f64,
}

/// What a request and its answer spend on the way and in a broker's buffers, which it can't see.
const ON_THE_WAY: Duration = Duration::from_millis(5);

impl SiteSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Names the first key at fault.
    pub fn read(json: &Value) -> Result<Self, SiteSettingsError> {
        let facts: Facts = serde_path_to_error::deserialize(json)
            .map_err(|error| fault(&error.path().to_string(), error.inner().to_string()))?;
        let positive = |key: &str, holds: bool| match holds {
            true => Ok(()),
            false => Err(fault(key, "must be above zero".to_owned())),
        };
        positive("limits.maxStreams", facts.limits.max_streams > 0)?;
        positive("limits.maxOpen", facts.limits.max_open > 0)?;
        positive("limits.connIdleNs", facts.limits.conn_idle_ns > 0)?;
        positive("limits.connectTimeoutNs", facts.limits.connect_timeout_ns > 0)?;
        positive("safety.drainGraceNs", facts.safety.drain_grace_ns > 0)?;
        Ok(SiteSettings {
            router: facts.module()?,
            classes: facts.profiles.into_iter().map(|profile| profile.name).collect(),
            zones: facts.zones,
            tenants: facts.tenants.into_iter().map(|tenant| tenant.name).collect(),
            max_open: facts.limits.max_open,
            connection_idle: Duration::from_nanos(facts.limits.conn_idle_ns),
            connect_timeout: Duration::from_nanos(facts.limits.connect_timeout_ns),
            max_streams: facts.limits.max_streams,
            probe_price: facts.prices.probe.max(0.0),
            drain_grace: Duration::from_nanos(facts.safety.drain_grace_ns),
            peers: facts.limits.peers.then_some(PeerSettings { index: facts.me, price: facts.prices.peer }),
        })
    }
}

/// A load report from its values, asked for by the names in the settings' `stats.columns`, or by those of the
/// protocol's page.
pub fn load_report(value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let either = |name, other| value(name).or_else(|| value(other));
    LoadReport {
        held: either("busy_reqs", "inflight"),
        waiting: either("pending", "queue"),
        utilisation: either("cpu_share", "util"),
        service_seconds: either("svc_ms", "latency_ms").map(|ms| ms / 1e3),
    }
}

fn idle_ns() -> u64 {
    15_000_000_000
}

fn connect_ns() -> u64 {
    250_000_000
}

fn drain_ns() -> u64 {
    250_000_000
}

fn unbounded() -> usize {
    usize::MAX
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
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
    tenants: Vec<TenantFacts>,
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
struct TenantFacts {
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
    #[serde(default = "idle_ns")]
    conn_idle_ns: u64,
    #[serde(default = "connect_ns")]
    connect_timeout_ns: u64,
    #[serde(default = "unbounded")]
    max_open: usize,
    #[serde(default = "unbounded")]
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
    #[serde(default = "drain_ns")]
    drain_grace_ns: u64,
    fall_multiple: f64,
    overload_for_ns: u64,
    budget_span_ns: Option<u64>,
    extra_free: Option<f64>,
    repeat_ratio: Option<f64>,
}

impl Facts {
    fn module(&self) -> Result<Settings, SiteSettingsError> {
        let span = Duration::from_nanos;
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
            call_cost: span(self.extra.call_ns),
            tick: span(self.granularity_ns),
            network_allowance: ON_THE_WAY,
            max_attempts: self.limits.max_attempts,
            hedging: self.limits.second_copies,
            cancel: self.limits.cancel,
            may_probe: self.limits.may_probe,
            reports_by_probe: self.stats.how == "probe",
            reports_queue: self.stats.columns.iter().any(|c| c == "pending" || c == "busy_reqs"),
            retries_marked: self.clients.marks_retry,
            max_retry_after: match self.limits.retry_after {
                true => span(self.limits.max_retry_after_ns),
                false => Duration::ZERO,
            },
            list_on_request: match self.registry_mode.as_str() {
                "pushed" => false,
                "on_request" => true,
                other => return Err(fault("registryMode", format!("unknown word {other:?}"))),
            },
            cross_zone_price: self.prices.cross_zone,
            handshake_price: self.prices.handshake,
            budget: safety.budget_span_ns.map(|window| Budget {
                window: span(window),
                free: safety.extra_free.unwrap_or(0.0),
                share: safety.repeat_ratio.unwrap_or(0.0),
            }),
            cold: ColdStart {
                from: safety.cold_from,
                warm_after: span(safety.cold_ns),
                fall_multiple: safety.fall_multiple,
                window: span(safety.overload_for_ns),
            },
        })
    }

    fn class(&self, index: usize) -> Result<Class, SiteSettingsError> {
        let profile = &self.profiles[index];
        let figure = |figures: &[f64], key: &str| {
            figures.get(index).copied().ok_or_else(|| fault(key, format!("has no figure for class {index}")))
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
                    return Err(fault(
                        &format!("profiles[{index}].effect"),
                        format!("unknown word {other:?}"),
                    ));
                }
            },
            need: figure(&self.extra.need_by_class, "extra.needByClass")?,
            floor: figure(&self.extra.least_share, "extra.leastShare")?,
            partial_worth: figure(&self.extra.incomplete_worth, "extra.incompleteWorth")?,
            follow_up: *self
                .extra
                .follow_up
                .get(index)
                .ok_or_else(|| fault("extra.followUp", format!("has no figure for class {index}")))?,
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
