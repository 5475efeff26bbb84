//! Decoding of events and settings, encoding of actions. Nothing is decided here.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use brookspur::{
    Action, Budget, Class, ColdStart, Effect, Event, Listed, LoadReport, Part, PartId, Query, QueryId,
    QueryNumber, Router, ServerId, ServerState, Settings, ShardId, Tenant, Time, TimerId, Verdict,
};
use serde::Deserialize;
use serde_json::{Value, json};

type Fault = String;

/// All instances of this process, which share nothing but the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Router>,
    lists: BTreeMap<u64, Vec<Listed>>,
}

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "clockNs")]
    clock_ns: u64,
    arrivals: Vec<Vec<Value>>,
}

impl Host {
    /// Takes one line of the wire and gives the reply's.
    pub fn round(&mut self, line: &str) -> Result<String, Fault> {
        let batch: Batch = serde_json::from_str(line).map_err(|error| format!("not a batch: {error}"))?;
        let now = Time(batch.clock_ns);
        let mut pending: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        let mut replies = Vec::new();
        for message in batch.arrivals {
            let message = Message(message);
            match message.name()? {
                "defineList" => {
                    self.lists.insert(message.integer(1, "ref")?, message.entries(2)?);
                }
                "init" => {
                    let instance = message.integer(1, "i")?;
                    pending.remove(&instance);
                    match self.start(&message)? {
                        Ok(router) => {
                            self.instances.insert(instance, router);
                            pending.insert(instance, Vec::new());
                        }
                        Err(fault) => replies.push(json!(["die", instance, fault])),
                    }
                }
                "detach" => {
                    let instance = message.integer(1, "i")?;
                    pending.remove(&instance);
                    self.instances.remove(&instance);
                }
                _ => {
                    let instance = message.integer(1, "i")?;
                    let events = pending.entry(instance).or_default();
                    events.extend(message.event(&self.lists)?);
                }
            }
        }
        for (instance, events) in pending {
            self.step(instance, now, &events, &mut replies);
        }
        Ok(json!({ "actions": replies }).to_string())
    }

    fn start(&self, message: &Message) -> Result<Result<Router, Fault>, Fault> {
        let seed = message.integer(2, "rngSeed")?;
        let facts = message.0.get(3).ok_or("init: no facts")?;
        let facts = Facts::deserialize(facts).map_err(|error| format!("init: facts: {error}"))?;
        Ok(Router::new(facts.settings()?, seed).map_err(|error| error.to_string()))
    }

    fn step(&mut self, instance: u64, now: Time, events: &[Event], replies: &mut Vec<Value>) {
        let Some(router) = self.instances.get_mut(&instance) else { return };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| router.step(now, events, &mut actions))) {
            Ok(()) => replies.extend(actions.iter().map(|action| encode(instance, action))),
            Err(panic) => {
                let text = panic
                    .downcast_ref::<String>()
                    .cloned()
                    .or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
                    .unwrap_or_else(|| "panic".to_owned());
                replies.push(json!(["die", instance, text]));
                self.instances.remove(&instance);
            }
        }
    }
}

fn encode(i: u64, action: &Action) -> Value {
    match *action {
        Action::Send { part, server, time_out } => json!(["callOut", i, part.0, server.0, nanos(time_out)]),
        Action::CloseIdle { server } => json!(["hangUp", i, server.0]),
        Action::Probe { server } => json!(["touch", i, server.0]),
        Action::Cancel { part, attempt } => json!(["dropAttempt", i, part.0, attempt]),
        Action::Answer { query, whole } => json!(["settleQuery", i, query.0, whole]),
        Action::Refuse { query, hold_off } => json!(["notNow", i, query.0, nanos(hold_off)]),
        Action::Fail { query } => json!(["finishError", i, query.0]),
        Action::SetTimer { timer, at } => json!(["arm", i, at.0, timer.0]),
        Action::WatchServers => json!(["tail", i, true]),
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// One message: its name, then its values.
struct Message(Vec<Value>);

impl Message {
    fn name(&self) -> Result<&str, Fault> {
        self.0.first().and_then(Value::as_str).ok_or_else(|| "a message without a name".to_owned())
    }

    fn fault(&self, member: &str) -> Fault {
        format!("{}: bad or missing {member}", self.name().unwrap_or("message"))
    }

    fn value(&self, at: usize) -> &Value {
        self.0.get(at).unwrap_or(&Value::Null)
    }

    fn integer(&self, at: usize, member: &str) -> Result<u64, Fault> {
        self.value(at).as_u64().ok_or_else(|| self.fault(member))
    }

    fn index(&self, at: usize, member: &str) -> Result<usize, Fault> {
        match self.value(at) {
            Value::Null => Ok(0),
            value => value.as_u64().and_then(|n| usize::try_from(n).ok()).ok_or_else(|| self.fault(member)),
        }
    }

    fn small(&self, at: usize, member: &str) -> Result<u32, Fault> {
        self.value(at).as_u64().and_then(|n| u32::try_from(n).ok()).ok_or_else(|| self.fault(member))
    }

    fn number(&self, at: usize, member: &str) -> Result<f64, Fault> {
        self.value(at).as_f64().ok_or_else(|| self.fault(member))
    }

    /// A span; one below zero has no time left.
    fn span(&self, at: usize, member: &str) -> Result<Duration, Fault> {
        let nanos = self.number(at, member)?;
        Ok(Duration::from_nanos(self.value(at).as_u64().unwrap_or(nanos.max(0.0) as u64)))
    }

    fn event(&self, lists: &BTreeMap<u64, Vec<Listed>>) -> Result<Option<Event>, Fault> {
        let event = match self.name()? {
            "req" => self.request()?,
            "outcome" => Event::Outcome {
                part: PartId(self.integer(2, "tid")?),
                attempt: self.small(3, "try")?,
                took: self.span(6, "tookNs")?,
                verdict: self.verdict(7)?,
                load: self.load(8),
            },
            "lapsed" => Event::ClientGone(QueryId(self.integer(2, "tid")?)),
            "wake" => Event::Timer(TimerId(self.integer(2, "handle")?)),
            "discovery" => self.discovery(lists)?,
            "checkResult" => Event::Probed {
                server: ServerId(self.integer(2, "server")?),
                verdict: self.verdict(3)?,
                took: self.span(4, "tookNs")?,
                load: self.load(5),
            },
            // Streams and peers: the module uses neither.
            "begun" | "noteFrom" => return Ok(None),
            other => return Err(format!("unknown message {other:?}")),
        };
        Ok(Some(event))
    }

    fn request(&self) -> Result<Event, Fault> {
        let id = self.integer(2, "tid")?;
        let number = QueryNumber(self.number(11, "jobNo")? as u64);
        let slice = self.number(12, "slice")?;
        if slice >= 0.0 {
            let weight = self.number(10, "heft")?;
            let shard = ShardId(slice as u32);
            return Ok(Event::Part(Part { id: PartId(id), query: number, shard, weight }));
        }
        Ok(Event::Query(Query {
            id: QueryId(id),
            number,
            class: self.index(7, "service")?,
            tenant: self.index(4, "team")?,
            key: self.value(6).as_u64(),
            repeated: self.value(5).as_bool().unwrap_or(false),
            left: self.span(9, "timeBudgetNs")?,
        }))
    }

    fn verdict(&self, at: usize) -> Result<Verdict, Fault> {
        Ok(match self.value(at).as_str() {
            Some("served") => Verdict::Served,
            Some("server_error") => Verdict::Error,
            Some("turned_away") => Verdict::TurnedAway,
            Some("no_answer") => Verdict::NoAnswer,
            Some("no_connection") => Verdict::NoConnection,
            Some("connection_lost") => Verdict::ConnectionLost,
            Some("called_off") => Verdict::Cancelled,
            Some("not_sent") => Verdict::NotSent,
            _ => return Err(self.fault("verdict")),
        })
    }

    fn load(&self, at: usize) -> LoadReport {
        let value = |name: &str| self.value(at).get(name).and_then(Value::as_f64);
        LoadReport {
            held: value("busy_reqs"),
            waiting: value("pending"),
            utilisation: value("cpu_share"),
            service_seconds: value("svc_ms").map(|ms| ms / 1e3),
        }
    }

    fn discovery(&self, lists: &BTreeMap<u64, Vec<Listed>>) -> Result<Event, Fault> {
        let kind = self.value(2).as_str().ok_or_else(|| self.fault("kind"))?;
        if kind == "broken" {
            return Ok(Event::ServersFailed);
        }
        let list = lists.get(&self.integer(4, "ref")?).ok_or_else(|| self.fault("ref"))?.clone();
        match kind {
            "patch" => Ok(Event::ServersChanged(list)),
            "whole" | "stale_copy" => Ok(Event::Servers(list)),
            _ => Err(self.fault("kind")),
        }
    }

    fn entries(&self, at: usize) -> Result<Vec<Listed>, Fault> {
        let entries = self.value(at).as_array().ok_or_else(|| self.fault("membersList"))?;
        entries
            .iter()
            .map(|entry| {
                let entry = Message(entry.as_array().ok_or_else(|| self.fault("entry"))?.clone());
                let member = |at: usize, name: &str| {
                    entry.value(at).as_u64().ok_or_else(|| self.fault(&format!("{name} of an entry")))
                };
                let small = |at: usize, name: &str| {
                    member(at, name).and_then(|n| u32::try_from(n).map_err(|_| self.fault(name)))
                };
                Ok(Listed {
                    server: ServerId(member(0, "server")?),
                    zone: small(1, "zone")?,
                    cell: small(3, "position")?,
                    state: match entry.value(4).as_str() {
                        Some("up") => ServerState::Up,
                        Some("draining") => ServerState::Draining,
                        Some("removed") => ServerState::Removed,
                        _ => return Err(self.fault("state of an entry")),
                    },
                    started: entry.value(6).as_u64().filter(|&ns| ns > 0).map(Time),
                })
            })
            .collect()
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    balancers: u32,
    #[serde(default)]
    locality: u32,
    granularity_ns: u64,
    #[serde(default)]
    clients: Clients,
    registry_mode: String,
    profiles: Vec<Profile>,
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
    #[serde(default)]
    may_probe: bool,
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
    fall_multiple: f64,
    overload_for_ns: u64,
    budget_span_ns: Option<u64>,
    extra_free: Option<f64>,
    repeat_ratio: Option<f64>,
}

impl Facts {
    fn settings(&self) -> Result<Settings, Fault> {
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
            max_attempts: self.limits.max_attempts,
            second_copies: self.limits.second_copies,
            cancel: self.limits.cancel,
            may_probe: self.limits.may_probe,
            reports_by_probe: self.stats.how == "probe",
            reports_queue: self.stats.columns.iter().any(|c| c == "pending" || c == "busy_reqs"),
            repeats_marked: self.clients.marks_retry,
            max_hold_off: match self.limits.retry_after {
                true => span(self.limits.max_retry_after_ns),
                false => Duration::ZERO,
            },
            list_on_request: match self.registry_mode.as_str() {
                "pushed" => false,
                "on_request" => true,
                other => return Err(format!("init: facts: unknown registryMode {other:?}")),
            },
            cross_zone_price: self.prices.cross_zone,
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

    fn class(&self, index: usize) -> Result<Class, Fault> {
        let profile = &self.profiles[index];
        let short = || format!("init: facts: extra has no figures for class {index}");
        Ok(Class {
            aim: Duration::from_nanos(profile.aim_ns),
            deadline: Duration::from_nanos(profile.deadline_ns),
            worth: profile.credit,
            late_share: profile.late_share,
            effect: match profile.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed(Duration::from_nanos(profile.window_ns)),
                "unsafe" => Effect::Unsafe,
                other => return Err(format!("init: facts: unknown effect {other:?}")),
            },
            need: *self.extra.need_by_class.get(index).ok_or_else(short)?,
            floor: *self.extra.least_share.get(index).ok_or_else(short)?,
            partial_worth: *self.extra.incomplete_worth.get(index).ok_or_else(short)?,
            follow_up: *self.extra.follow_up.get(index).ok_or_else(short)?,
        })
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}
