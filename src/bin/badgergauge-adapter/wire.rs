//! Decoding of events and settings, encoding of actions. Nothing is decided here.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use badgergauge::config::settings::{SiteSettings, load_report};
use badgergauge::{
    Action, Event, LoadReport, Part, PartId, Query, QueryId, QueryNumber, Router, ServerEntry, ServerId,
    ServerState, ShardId, Time, TimerId, Verdict,
};
use serde::Deserialize;
use serde_json::{Value, json};

type Fault = String;

/// All instances of this process, which share nothing but the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Router>,
    lists: BTreeMap<u64, Vec<ServerEntry>>,
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
        let facts = SiteSettings::read(facts).map_err(|error| format!("init: facts: {error}"))?;
        // Here a query is there as soon as it is sent.
        let settings = badgergauge::Settings { network_allowance: Duration::ZERO, ..facts.router };
        Ok(Router::new(settings, seed).map_err(|error| error.to_string()))
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
        Action::Send { part, server, timeout: time_out, .. } => {
            json!(["callOut", i, part.0, server.0, nanos(time_out)])
        }
        Action::CloseIdle { server } => json!(["hangUp", i, server.0]),
        Action::Probe { server } => json!(["touch", i, server.0]),
        Action::Cancel { part, attempt, .. } => json!(["dropAttempt", i, part.0, attempt]),
        Action::Answer { query, complete: whole, .. } => json!(["settleQuery", i, query.0, whole]),
        Action::Refuse { query, retry_after: hold_off, .. } => json!(["notNow", i, query.0, nanos(hold_off)]),
        Action::Fail { query, .. } => json!(["finishError", i, query.0]),
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

    fn event(&self, lists: &BTreeMap<u64, Vec<ServerEntry>>) -> Result<Option<Event>, Fault> {
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
            let hint = self.value(8).as_u64().map(Duration::from_nanos);
            return Ok(Event::Part(Part { id: PartId(id), query: number, shard, weight, hint }));
        }
        Ok(Event::Query(Query {
            id: QueryId(id),
            number,
            class: self.index(7, "service")?,
            tenant: self.index(4, "team")?,
            key: self.value(6).as_u64(),
            is_retry: self.value(5).as_bool().unwrap_or(false),
            time_left: self.span(9, "timeBudgetNs")?,
        }))
    }

    fn verdict(&self, at: usize) -> Result<Verdict, Fault> {
        Ok(match self.value(at).as_str() {
            Some("served") => Verdict::Served,
            Some("server_error") => Verdict::Error,
            Some("turned_away") => Verdict::Rejected,
            Some("no_answer") => Verdict::NoAnswer,
            Some("no_connection") => Verdict::NoConnection,
            Some("connection_lost") => Verdict::ConnectionLost,
            Some("called_off") => Verdict::Cancelled,
            Some("not_sent") => Verdict::NotSent,
            _ => return Err(self.fault("verdict")),
        })
    }

    fn load(&self, at: usize) -> LoadReport {
        load_report(|name| self.value(at).get(name).and_then(Value::as_f64))
    }

    fn discovery(&self, lists: &BTreeMap<u64, Vec<ServerEntry>>) -> Result<Event, Fault> {
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

    fn entries(&self, at: usize) -> Result<Vec<ServerEntry>, Fault> {
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
                Ok(ServerEntry {
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
                    send_until: None,
                })
            })
            .collect()
    }
}
