//! The simulator's protocol: decodes settings and events, passes them to the routers and encodes their
//! actions. All decisions are made by the routers.

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

/// An error message for standard error or, for a single instance, for the simulator.
type ErrorText = String;

/// All router instances of this process. They share only the numbered server lists that the simulator
/// defines.
#[derive(Default)]
pub struct Instances {
    routers: BTreeMap<u64, Router>,
    lists: BTreeMap<u64, Vec<ServerEntry>>,
}

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "clockNs")]
    clock_ns: u64,
    arrivals: Vec<Vec<Value>>,
}

impl Instances {
    /// Processes one input line, a batch of messages at one time, and returns the output line.
    ///
    /// # Errors
    ///
    /// When the line is not a valid batch.
    pub fn process_batch(&mut self, line: &str) -> Result<String, ErrorText> {
        let batch: Batch = serde_json::from_str(line).map_err(|error| format!("invalid batch: {error}"))?;
        let now = Time(batch.clock_ns);
        let mut pending: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        let mut replies = Vec::new();
        for message in batch.arrivals {
            let message = Message(message);
            match message.name()? {
                "defineList" => {
                    self.lists.insert(message.get_u64(1, "ref")?, message.entries(2)?);
                }
                "init" => {
                    let instance = message.get_u64(1, "i")?;
                    pending.remove(&instance);
                    match self.start_router(&message)? {
                        Ok(router) => {
                            self.routers.insert(instance, router);
                            pending.insert(instance, Vec::new());
                        }
                        Err(error) => replies.push(json!(["die", instance, error])),
                    }
                }
                "detach" => {
                    let instance = message.get_u64(1, "i")?;
                    pending.remove(&instance);
                    self.routers.remove(&instance);
                }
                _ => {
                    let instance = message.get_u64(1, "i")?;
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

    /// Creates the router of an `init` message. The inner error is reported to the simulator for this
    /// instance only.
    fn start_router(&self, message: &Message) -> Result<Result<Router, ErrorText>, ErrorText> {
        let seed = message.get_u64(2, "rngSeed")?;
        let settings = message.0.get(3).ok_or("init: no facts")?;
        let settings = SiteSettings::read(settings).map_err(|error| format!("init: facts: {error}"))?;
        // The simulator delivers queries without network delay.
        let settings = badgergauge::Settings { network_allowance: Duration::ZERO, ..settings.router };
        Ok(Router::new(settings, seed).map_err(|error| error.to_string()))
    }

    fn step(&mut self, instance: u64, now: Time, events: &[Event], replies: &mut Vec<Value>) {
        let Some(router) = self.routers.get_mut(&instance) else { return };
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
                self.routers.remove(&instance);
            }
        }
    }
}

fn encode(i: u64, action: &Action) -> Value {
    match *action {
        Action::Send { part, server, timeout, .. } => {
            json!(["callOut", i, part.0, server.0, nanos(timeout)])
        }
        Action::CloseIdle { server } => json!(["hangUp", i, server.0]),
        Action::Probe { server } => json!(["touch", i, server.0]),
        Action::Cancel { part, attempt, .. } => json!(["dropAttempt", i, part.0, attempt]),
        Action::Answer { query, complete, .. } => json!(["settleQuery", i, query.0, complete]),
        Action::Refuse { query, retry_after, .. } => json!(["notNow", i, query.0, nanos(retry_after)]),
        Action::Fail { query, .. } => json!(["finishError", i, query.0]),
        Action::SetTimer { timer, at } => json!(["arm", i, at.0, timer.0]),
        Action::WatchServers => json!(["tail", i, true]),
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// A message, or an entry of a server list: a JSON array of positional members. A message's first member is
/// its name.
struct Message(Vec<Value>);

impl Message {
    fn name(&self) -> Result<&str, ErrorText> {
        self.0.first().and_then(Value::as_str).ok_or_else(|| "a message without a name".to_owned())
    }

    fn invalid(&self, member: &str) -> ErrorText {
        format!("{}: invalid or missing {member}", self.name().unwrap_or("message"))
    }

    fn value(&self, at: usize) -> &Value {
        self.0.get(at).unwrap_or(&Value::Null)
    }

    fn get_u64(&self, at: usize, member: &str) -> Result<u64, ErrorText> {
        self.value(at).as_u64().ok_or_else(|| self.invalid(member))
    }

    /// An index, 0 for null.
    fn get_index(&self, at: usize, member: &str) -> Result<usize, ErrorText> {
        match self.value(at) {
            Value::Null => Ok(0),
            value => value.as_u64().and_then(|n| usize::try_from(n).ok()).ok_or_else(|| self.invalid(member)),
        }
    }

    fn get_u32(&self, at: usize, member: &str) -> Result<u32, ErrorText> {
        self.value(at).as_u64().and_then(|n| u32::try_from(n).ok()).ok_or_else(|| self.invalid(member))
    }

    fn get_f64(&self, at: usize, member: &str) -> Result<f64, ErrorText> {
        self.value(at).as_f64().ok_or_else(|| self.invalid(member))
    }

    /// A duration in nanoseconds; a negative one, which means that no time is left, is read as zero.
    fn get_duration(&self, at: usize, member: &str) -> Result<Duration, ErrorText> {
        let nanos = self.get_f64(at, member)?;
        Ok(Duration::from_nanos(self.value(at).as_u64().unwrap_or(nanos.max(0.0) as u64)))
    }

    fn event(&self, lists: &BTreeMap<u64, Vec<ServerEntry>>) -> Result<Option<Event>, ErrorText> {
        let event = match self.name()? {
            "req" => self.request()?,
            "outcome" => Event::Outcome {
                part: PartId(self.get_u64(2, "tid")?),
                attempt: self.get_u32(3, "try")?,
                took: self.get_duration(6, "tookNs")?,
                verdict: self.verdict(7)?,
                load: self.load(8),
            },
            "lapsed" => Event::ClientGone(QueryId(self.get_u64(2, "tid")?)),
            "wake" => Event::Timer(TimerId(self.get_u64(2, "handle")?)),
            "discovery" => self.discovery(lists)?,
            "checkResult" => Event::Probed {
                server: ServerId(self.get_u64(2, "server")?),
                verdict: self.verdict(3)?,
                took: self.get_duration(4, "tookNs")?,
                load: self.load(5),
            },
            // The router uses neither streams nor messages from peers.
            "begun" | "noteFrom" => return Ok(None),
            other => return Err(format!("unknown message {other:?}")),
        };
        Ok(Some(event))
    }

    fn request(&self) -> Result<Event, ErrorText> {
        let id = self.get_u64(2, "tid")?;
        let number = QueryNumber(self.get_f64(11, "jobNo")? as u64);
        let shard = self.get_f64(12, "slice")?;
        if shard >= 0.0 {
            let weight = self.get_f64(10, "heft")?;
            let shard = ShardId(shard as u32);
            let hint = self.value(8).as_u64().map(Duration::from_nanos);
            return Ok(Event::Part(Part { id: PartId(id), query: number, shard, weight, hint }));
        }
        Ok(Event::Query(Query {
            id: QueryId(id),
            number,
            class: self.get_index(7, "service")?,
            tenant: self.get_index(4, "team")?,
            key: self.value(6).as_u64(),
            is_retry: self.value(5).as_bool().unwrap_or(false),
            time_left: self.get_duration(9, "timeBudgetNs")?,
        }))
    }

    fn verdict(&self, at: usize) -> Result<Verdict, ErrorText> {
        Ok(match self.value(at).as_str() {
            Some("served") => Verdict::Served,
            Some("server_error") => Verdict::Error,
            Some("turned_away") => Verdict::Rejected,
            Some("no_answer") => Verdict::NoAnswer,
            Some("no_connection") => Verdict::NoConnection,
            Some("connection_lost") => Verdict::ConnectionLost,
            Some("called_off") => Verdict::Cancelled,
            Some("not_sent") => Verdict::NotSent,
            _ => return Err(self.invalid("verdict")),
        })
    }

    fn load(&self, at: usize) -> LoadReport {
        load_report(|name| self.value(at).get(name).and_then(Value::as_f64))
    }

    fn discovery(&self, lists: &BTreeMap<u64, Vec<ServerEntry>>) -> Result<Event, ErrorText> {
        let kind = self.value(2).as_str().ok_or_else(|| self.invalid("kind"))?;
        if kind == "broken" {
            return Ok(Event::ServersFailed);
        }
        let list = lists.get(&self.get_u64(4, "ref")?).ok_or_else(|| self.invalid("ref"))?.clone();
        match kind {
            "patch" => Ok(Event::ServersChanged(list)),
            "whole" | "stale_copy" => Ok(Event::Servers(list)),
            _ => Err(self.invalid("kind")),
        }
    }

    fn entries(&self, at: usize) -> Result<Vec<ServerEntry>, ErrorText> {
        let entries = self.value(at).as_array().ok_or_else(|| self.invalid("membersList"))?;
        entries
            .iter()
            .map(|entry| {
                let entry = Message(entry.as_array().ok_or_else(|| self.invalid("entry"))?.clone());
                let member = |at: usize, name: &str| {
                    entry.value(at).as_u64().ok_or_else(|| self.invalid(&format!("{name} of an entry")))
                };
                let member_u32 = |at: usize, name: &str| {
                    member(at, name).and_then(|n| u32::try_from(n).map_err(|_| self.invalid(name)))
                };
                Ok(ServerEntry {
                    server: ServerId(member(0, "server")?),
                    zone: member_u32(1, "zone")?,
                    cell: member_u32(3, "position")?,
                    state: match entry.value(4).as_str() {
                        Some("up") => ServerState::Up,
                        Some("draining") => ServerState::Draining,
                        Some("removed") => ServerState::Removed,
                        _ => return Err(self.invalid("state of an entry")),
                    },
                    started: entry.value(6).as_u64().filter(|&ns| ns > 0).map(Time),
                    send_until: None,
                })
            })
            .collect()
    }
}
