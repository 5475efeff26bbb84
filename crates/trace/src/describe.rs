//! Describes records as text and JSON lines, one for each event and action, with the query, servers and
//! reasons that each concerns. No I/O.

use std::time::Duration;

use badgergauge_core::{
    Action, BypassReason, CancelReason, Cause, Choice, Ending, Event, MissingReason, PartId, QueryId,
    ServerEntry, ServerId, ServerState, Verdict,
};
use serde_json::{Value, json};

use crate::record::{NotAcceptedReason, Record, ServerNames, Source, server_name};
use crate::track::{QueryTracker, query_of_action, query_of_event};

/// The description of one event, action, gap or note.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The description as text, without the time and the broker.
    pub text: String,
    /// The description as a JSON object.
    pub json: Value,
    /// The query that it concerns.
    pub query: Option<QueryId>,
    /// Index of that query's class.
    pub class: Option<usize>,
    /// The servers that it concerns.
    pub servers: Vec<ServerId>,
    /// The names of its reasons, from [`REASONS`].
    pub reasons: Vec<&'static str>,
}

/// The name of the reason why a part was not sent to its home replica.
pub fn left_name(left: BypassReason) -> &'static str {
    match left {
        BypassReason::Busy => "busy",
        BypassReason::Slow => "slow",
        BypassReason::Late => "late",
        BypassReason::Suspect => "doubtful",
        BypassReason::Draining => "draining",
        BypassReason::Cold => "cold",
        BypassReason::Tried => "tried",
        BypassReason::Unresponsive => "silent",
    }
}

/// The name of the reason why a part has no answer.
pub fn missing_name(missing: MissingReason) -> &'static str {
    match missing {
        MissingReason::Undecided => "unasked",
        MissingReason::InFlight => "out",
        MissingReason::Late => "no-time",
        MissingReason::NoReplica => "closed",
        MissingReason::AttemptsExhausted => "spent",
        MissingReason::UnsafeToRetry => "risk",
        MissingReason::BudgetExhausted => "budget",
        MissingReason::Withheld => "held",
    }
}

/// The name of the cause of a query's end.
pub fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Complete => "whole",
        Cause::TimeUp => "time-up",
        Cause::BelowFloor => "too-little",
        Cause::NothingInFlight => "nothing-out",
    }
}

/// The name of the outcome of an attempt.
pub fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Served => "served",
        Verdict::Error => "error",
        Verdict::Rejected => "turned-away",
        Verdict::NoAnswer => "no-answer",
        Verdict::NoConnection => "no-connection",
        Verdict::ConnectionLost => "connection-lost",
        Verdict::Cancelled => "cancelled",
        Verdict::NotSent => "not-sent",
    }
}

/// The names of all reasons that records can be filtered by.
pub const REASONS: [&str; 22] = [
    "home",
    "busy",
    "slow",
    "late",
    "doubtful",
    "draining",
    "cold",
    "tried",
    "silent",
    "whole",
    "time-up",
    "too-little",
    "nothing-out",
    "unasked",
    "out",
    "no-time",
    "closed",
    "spent",
    "risk",
    "budget",
    "held",
    "not-taken",
];

fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Up => "up",
        ServerState::Draining => "draining",
        ServerState::Removed => "removed",
    }
}

/// A duration in milliseconds, rounded to microseconds.
fn ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}

fn left_text(left: BypassReason, home: &str) -> String {
    match left {
        BypassReason::Busy => format!("its home {home} has reached this broker's limit of parts in flight"),
        BypassReason::Slow => {
            format!("its home {home} is predicted to be too slow compared with the other replicas")
        }
        BypassReason::Late => format!("its home {home} is not predicted to answer in the time left"),
        BypassReason::Suspect => format!("its home {home} recently failed, timed out or lost its connection"),
        BypassReason::Draining => format!("its home {home} is draining"),
        BypassReason::Cold => format!("its home {home} is cold and has reached its limit of parts"),
        BypassReason::Tried => format!("it was at its home {home} before"),
        BypassReason::Unresponsive => {
            format!("it was cancelled at its home {home}, which had stopped answering")
        }
    }
}

fn missing_text(missing: MissingReason) -> &'static str {
    match missing {
        MissingReason::Undecided => "no decision was made on it yet",
        MissingReason::InFlight => "its answer was still outstanding",
        MissingReason::Late => "no replica was predicted to answer in the time left",
        MissingReason::NoReplica => "no replica was listed, up and available",
        MissingReason::AttemptsExhausted => "its limit of attempts was reached",
        MissingReason::UnsafeToRetry => "it may have been executed, and must not be sent again",
        MissingReason::BudgetExhausted => "the retry budget was exhausted",
        MissingReason::Withheld => "it could have been sent, but too few of the other parts could",
    }
}

fn cause_text(cause: Cause) -> &'static str {
    match cause {
        Cause::Complete => "all needed parts are answered",
        Cause::TimeUp => "the time limit was reached",
        Cause::BelowFloor => "too few parts can still be answered",
        Cause::NothingInFlight => "no part is in flight and none can be sent",
    }
}

/// Describes the records of one run; it must observe all of them, in order.
#[derive(Clone, Debug, Default)]
pub struct Describer {
    tracker: QueryTracker,
}

impl Describer {
    /// The queries observed so far.
    pub fn tracker(&self) -> &QueryTracker {
        &self.tracker
    }

    /// Observes a record; required before [`Describer::lines`] is called for it.
    pub fn observe(&mut self, record: &Record) {
        record.events.iter().for_each(|event| self.tracker.observe(record.time, event));
    }

    /// Observes a record and returns its lines.
    pub fn describe(&mut self, record: &Record, source: &Source, servers: &ServerNames) -> Vec<Line> {
        self.observe(record);
        self.lines(record, source, servers)
    }

    /// The lines of a record that has been observed, in order.
    pub fn lines(&self, record: &Record, source: &Source, servers: &ServerNames) -> Vec<Line> {
        let mut lines = Vec::new();
        let mut push = |text: String, json: Value, reasons: Vec<&'static str>| {
            lines.push(Line { text, json, query: None, class: None, servers: vec![], reasons });
        };
        if let Some(gap) = &record.gap {
            push(
                format!("steps {} to {} are missing: {}", gap.first, gap.last, gap.reason),
                json!({"kind": "gap", "first": gap.first, "last": gap.last, "why": gap.reason}),
                vec![],
            );
        }
        if !record.note.is_empty() {
            push(record.note.clone(), json!({"kind": "note", "text": record.note}), vec![]);
        }
        for rejected in &record.not_accepted {
            let class = source.class_name(rejected.class);
            // `why` is a value in the JSON output, which stays the same for programs that read it.
            let (text, why) = match rejected.reason {
                NotAcceptedReason::AtCapacity => {
                    ("the limit of open queries and parts is reached", "as many are open as may be")
                }
                NotAcceptedReason::NameInUse => {
                    ("a query of the same name is open or may have run", "one of its name is open")
                }
            };
            push(
                format!("a query of class {class} is not taken: {text}"),
                json!({"kind": "not-taken", "class": class, "why": why}),
                vec!["not-taken"],
            );
        }
        let mut named = record.query_names.iter();
        let mut versions = record.list_versions.iter();
        for event in &record.events {
            let (text, json, concerned) = self.event(event, &mut named, &mut versions, source, servers);
            let query = query_of_event(&self.tracker, event);
            lines.push(self.line(text, json, query, concerned, vec![]));
        }
        for action in &record.actions {
            let (text, json, concerned, reasons) = self.action(action, servers);
            let query = query_of_action(&self.tracker, action);
            lines.push(self.line(text, json, query, concerned, reasons));
        }
        lines
    }

    fn line(
        &self,
        text: String,
        json: Value,
        query: Option<QueryId>,
        servers: Vec<ServerId>,
        reasons: Vec<&'static str>,
    ) -> Line {
        let class = query.and_then(|query| self.tracker.query(query)).map(|tracked| tracked.class);
        Line { text, json, query, class, servers, reasons }
    }

    /// A part as text and as JSON: its query's id and its tile block.
    fn part(&self, part: PartId) -> (String, Value) {
        match (self.tracker.query_of_part(part), self.tracker.shard_of_part(part)) {
            (Some(tracked), Some(shard)) => (
                format!("query {} block {shard}", tracked.query.0),
                json!({"query": tracked.query.0, "block": shard}),
            ),
            _ => (format!("part {}", part.0), json!({"part": part.0})),
        }
    }

    fn event<'a>(
        &self,
        event: &Event,
        named: &mut impl Iterator<Item = &'a crate::record::QueryNames>,
        versions: &mut impl Iterator<Item = &'a u64>,
        source: &Source,
        servers: &ServerNames,
    ) -> (String, Value, Vec<ServerId>) {
        match event {
            Event::Query(query) => {
                let names = named.next();
                let name = names.map_or("", |named| named.name.as_str());
                let idempotency = names.and_then(|named| named.idempotency_key.as_deref());
                let class = source.class_name(query.class);
                let key = query.key.map(|key| format!("{key:016x}"));
                let retry_text = if query.is_retry { ", a retry" } else { "" };
                let key_text = key.as_ref().map_or_else(String::new, |key| format!(", key {key}"));
                let idempotency_text =
                    idempotency.map_or_else(String::new, |key| format!(", idempotency key {key}"));
                (
                    format!(
                        "query {} taken: {class} {name:?}{key_text}{idempotency_text}{retry_text}, {} ms left",
                        query.id.0,
                        ms(query.time_left)
                    ),
                    json!({"kind": "query", "query": query.id.0, "name": name, "class": class, "key": key,
                        "idempotency": idempotency, "repeated": query.is_retry, "leftMs": ms(query.time_left)}),
                    vec![],
                )
            }
            Event::Part(part) => {
                let (text, mut json) = self.part(part.id);
                json["kind"] = "part".into();
                json["weight"] = part.weight.into();
                (format!("{text}: weight {:.4}", part.weight), json, vec![])
            }
            Event::Outcome { part, attempt, verdict, took, .. } => {
                let (text, mut json) = self.part(*part);
                let word = verdict_name(*verdict);
                json["kind"] = "outcome".into();
                json["attempt"] = (*attempt).into();
                json["verdict"] = word.into();
                json["tookMs"] = ms(*took).into();
                (format!("{text} attempt {attempt}: {word} after {} ms", ms(*took)), json, vec![])
            }
            Event::Probed { server, verdict, took, .. } => {
                let (name, word) = (server_name(servers, *server), verdict_name(*verdict));
                let json = json!({"kind": "probed", "server": name, "verdict": word, "tookMs": ms(*took)});
                (format!("probe of {name}: {word} after {} ms", ms(*took)), json, vec![*server])
            }
            Event::ClientGone(query) => (
                format!("query {}: its client disconnected", query.0),
                json!({"kind": "client-gone", "query": query.0}),
                vec![],
            ),
            Event::Timer(timer) => {
                (format!("timer {}", timer.0), json!({"kind": "timer", "timer": timer.0}), vec![])
            }
            Event::Servers(list) => self.list("servers", list, versions.next(), servers),
            Event::ServersChanged(list) => self.list("servers-changed", list, versions.next(), servers),
            Event::PeerOutcome { server, verdict, took, .. } => {
                let (name, word) = (server_name(servers, *server), verdict_name(*verdict));
                let json = json!({"kind": "told", "server": name, "verdict": word, "tookMs": ms(*took)});
                (
                    format!("report on {name} from another broker: {word} after {} ms", ms(*took)),
                    json,
                    vec![*server],
                )
            }
            Event::ServersFailed => {
                ("the server list is unavailable".into(), json!({"kind": "servers-failed"}), vec![])
            }
        }
    }

    fn list(
        &self,
        kind: &str,
        list: &[ServerEntry],
        version: Option<&u64>,
        servers: &ServerNames,
    ) -> (String, Value, Vec<ServerId>) {
        let version = version.copied().unwrap_or(0);
        let entry = |listed: &ServerEntry| {
            format!("{} {}", server_name(servers, listed.server), state_name(listed.state))
        };
        let entries: Vec<String> = list.iter().map(entry).collect();
        let prefix = if kind == "servers" { "server list" } else { "server list changes," };
        (
            format!("{prefix} version {version}: {}", entries.join(", ")),
            json!({"kind": kind, "version": version, "servers": list.iter().map(|line| json!({
                "server": server_name(servers, line.server), "state": state_name(line.state),
                "cell": line.cell})).collect::<Vec<_>>()}),
            list.iter().map(|line| line.server).collect(),
        )
    }

    fn ending(&self, why: &Ending) -> (String, Value, Vec<&'static str>) {
        let mut text = cause_text(why.cause).to_owned();
        let mut reasons = vec![cause_name(why.cause)];
        let mut missing = Vec::new();
        for (part, why) in &why.missing {
            let block = self
                .tracker
                .shard_of_part(*part)
                .map_or_else(|| part.0.to_string(), |block| block.to_string());
            text.push_str(&format!("; block {block}: {}", missing_text(*why)));
            missing.push(json!({"block": block, "why": missing_name(*why)}));
            if !reasons.contains(&missing_name(*why)) {
                reasons.push(missing_name(*why));
            }
        }
        (text, json!({"cause": cause_name(why.cause), "missing": missing}), reasons)
    }

    /// Describes an action: text, JSON, the servers that it concerns, and the names of its reasons.
    pub fn action(
        &self,
        action: &Action,
        servers: &ServerNames,
    ) -> (String, Value, Vec<ServerId>, Vec<&'static str>) {
        match action {
            Action::Send { part, server, timeout: time_out, why } => {
                let Choice { home, bypassed: left, predicted, allowed } = why;
                let ((text, mut json), name) = (self.part(*part), server_name(servers, *server));
                let home_name = server_name(servers, *home);
                json["kind"] = "send".into();
                json["server"] = name.clone().into();
                json["home"] = home_name.clone().into();
                json["left"] = left.map(left_name).into();
                json["predictedMs"] = seconds_to_ms(*predicted).into();
                json["allowedMs"] = seconds_to_ms(*allowed).into();
                json["timeOutMs"] = ms(*time_out).into();
                let why = left.map_or_else(|| "its home".to_owned(), |left| left_text(left, &home_name));
                let predicted =
                    format!("predicted {} of {} ms", seconds_to_ms(*predicted), seconds_to_ms(*allowed));
                let mut concerned = vec![*server];
                if home != server {
                    concerned.push(*home);
                }
                (
                    format!("{text}: sent to {name}, {why}; {predicted}"),
                    json,
                    concerned,
                    vec![left.map_or("home", left_name)],
                )
            }
            Action::Cancel { part, attempt, why } => {
                let (text, mut json) = self.part(*part);
                let silent = *why == CancelReason::Unresponsive;
                json["kind"] = "cancel".into();
                json["attempt"] = (*attempt).into();
                json["silent"] = silent.into();
                let why = if silent { "its server stopped answering" } else { "the query has ended" };
                let reasons = if silent { vec!["silent"] } else { vec![] };
                (format!("{text} attempt {attempt}: cancelled, {why}"), json, vec![], reasons)
            }
            Action::CloseIdle { server } => {
                let name = server_name(servers, *server);
                (
                    format!("idle connections to {name} closed"),
                    json!({"kind": "close-idle", "server": name}),
                    vec![*server],
                    vec![],
                )
            }
            Action::Probe { server } => {
                let name = server_name(servers, *server);
                (format!("{name} probed"), json!({"kind": "probe", "server": name}), vec![*server], vec![])
            }
            Action::Answer { query, complete: whole, why } => {
                let (text, why, reasons) = self.ending(why);
                let kind = if *whole { "whole" } else { "partially" };
                let json = json!({"kind": "answer", "query": query.0, "whole": whole, "why": why});
                (format!("query {} answered {kind}: {text}", query.0), json, vec![], reasons)
            }
            Action::Refuse { query, retry_after: hold_off, why } => {
                let (text, why, reasons) = self.ending(why);
                let json =
                    json!({"kind": "refuse", "query": query.0, "holdOffMs": ms(*hold_off), "why": why});
                (format!("query {} refused for {} ms: {text}", query.0, ms(*hold_off)), json, vec![], reasons)
            }
            Action::Fail { query, why } => {
                let (text, why, reasons) = self.ending(why);
                (
                    format!("query {} failed: {text}", query.0),
                    json!({"kind": "fail", "query": query.0, "why": why}),
                    vec![],
                    reasons,
                )
            }
            Action::SetTimer { timer, at } => (
                format!("timer {} set", timer.0),
                json!({"kind": "set-timer", "timer": timer.0, "at": at.0}),
                vec![],
                vec![],
            ),
            Action::WatchServers => {
                ("the server list is requested".into(), json!({"kind": "watch-servers"}), vec![], vec![])
            }
        }
    }
}

/// Seconds in milliseconds, rounded to tenths.
fn seconds_to_ms(seconds: f32) -> f64 {
    (f64::from(seconds) * 1e4).round() / 10.0
}
