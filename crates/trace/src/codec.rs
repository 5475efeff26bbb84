//! Records to the messages of a block, and back.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use badgergauge_core::{
    Action, Cause, Choice, Ending, Event, Left, Listed, LoadReport, Missing, Part, PartId, Query, QueryId,
    QueryNumber, ServerId, ServerState, ShardId, Time, TimerId, Verdict, Withdrawn,
};

use crate::record::{Gap, NotTaken, NotTakenReason, QueryNames, Record, ServerNames, server_name};
use crate::wire::{self, action, event};

const VERDICTS: [Verdict; 8] = [
    Verdict::Served,
    Verdict::Error,
    Verdict::TurnedAway,
    Verdict::NoAnswer,
    Verdict::NoConnection,
    Verdict::ConnectionLost,
    Verdict::Cancelled,
    Verdict::NotSent,
];
const STATES: [ServerState; 3] = [ServerState::Up, ServerState::Draining, ServerState::Removed];
const LEFT: [Option<Left>; 9] = [
    None,
    Some(Left::Busy),
    Some(Left::Slow),
    Some(Left::Late),
    Some(Left::Doubtful),
    Some(Left::Draining),
    Some(Left::Cold),
    Some(Left::Tried),
    Some(Left::Silent),
];
const CAUSES: [Cause; 4] = [Cause::Whole, Cause::TimeUp, Cause::TooLittle, Cause::NothingOut];
const MISSING: [Missing; 8] = [
    Missing::Unasked,
    Missing::Out,
    Missing::Late,
    Missing::Closed,
    Missing::Spent,
    Missing::Risk,
    Missing::Budget,
    Missing::Held,
];

fn code<T: PartialEq>(all: &[T], value: &T) -> u32 {
    all.iter().position(|known| known == value).unwrap_or(0) as u32
}

/// What makes a block unreadable although its checksum holds: a writer of another mind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

fn known<T: Copy>(all: &[T], code: u32, what: &'static str) -> Result<T, DecodeError> {
    all.get(code as usize).copied().ok_or(DecodeError(what))
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// Steps on their way into a block.
#[derive(Default)]
pub struct Encoder {
    block: wire::Block,
    indexes: HashMap<ServerId, u32>,
    sequences: BTreeMap<u32, u64>,
    time: i64,
    id: u64,
}

impl Encoder {
    /// Adds a record. Gives about how many bytes the block has grown by.
    pub fn add(&mut self, record: &Record, servers: &ServerNames) -> usize {
        let time = record.time.0 as i64;
        let sequence = self.sequences.entry(record.source).or_default();
        let mut step = wire::Step {
            source: record.source,
            sequence: record.sequence.wrapping_sub(std::mem::replace(sequence, record.sequence)),
            time: time.wrapping_sub(std::mem::replace(&mut self.time, time)),
            versions: record.versions.clone(),
            note: record.note.clone(),
            gap: record.gap.as_ref().map(|gap| wire::Gap {
                first_before: record.sequence.saturating_sub(gap.first),
                last_before: record.sequence.saturating_sub(gap.last),
                why: gap.reason.clone(),
            }),
            ..wire::Step::default()
        };
        let refused = |n: &NotTaken| wire::NotTaken {
            class: n.class as u32,
            why: u32::from(n.reason == NotTakenReason::NameInUse),
        };
        step.not_taken = record.not_taken.iter().map(refused).collect();
        let mut names = record.query_names.iter();
        let mut last_query = None;
        step.events.reserve_exact(record.events.len());
        for event in &record.events {
            let kind = self.event(event, &mut names, &mut last_query, servers);
            step.events.push(wire::Event { kind: Some(kind) });
        }
        step.actions.reserve_exact(record.actions.len());
        for action in &record.actions {
            let kind = self.action(action, record.time, servers);
            step.actions.push(wire::Action { kind: Some(kind) });
        }
        let size = prost::Message::encoded_len(&step) + 4;
        self.block.steps.push(step);
        size
    }

    /// The block so far; the next one starts from nothing.
    pub fn take(&mut self) -> wire::Block {
        std::mem::take(self).block
    }

    fn id(&mut self, id: u64) -> i64 {
        id.wrapping_sub(std::mem::replace(&mut self.id, id)) as i64
    }

    fn server(&mut self, id: ServerId, servers: &ServerNames) -> u32 {
        let block = &mut self.block;
        *self.indexes.entry(id).or_insert_with(|| {
            block.servers.push(wire::Server { id: id.0, name: server_name(servers, id) });
            block.servers.len() as u32 - 1
        })
    }

    fn event<'a>(
        &mut self,
        event: &Event,
        names: &mut impl Iterator<Item = &'a QueryNames>,
        last_query: &mut Option<u64>,
        servers: &ServerNames,
    ) -> event::Kind {
        match event {
            Event::Query(query) => {
                let named = names.next().filter(|named| named.query == query.id);
                *last_query = Some(query.number.0);
                event::Kind::Query(wire::Query {
                    id: self.id(query.id.0),
                    class: query.class as u32,
                    tenant: query.tenant as u32,
                    key: query.key,
                    repeated_try: query.repeated,
                    left: nanos(query.left),
                    name: named.map(|named| named.name.clone()).unwrap_or_default(),
                    idempotency_key: named.and_then(|named| named.idempotency.clone()).unwrap_or_default(),
                    number: (query.number.0 != query.id.0).then_some(query.number.0),
                })
            }
            Event::Part(part) => event::Kind::Part(wire::Part {
                id: self.id(part.id.0),
                shard: part.shard.0,
                weight: part.weight,
                query: (*last_query != Some(part.query.0)).then_some(part.query.0),
                hint: part.hint.map(nanos),
            }),
            Event::Outcome { part, attempt, verdict, took, load } => event::Kind::Outcome(wire::Outcome {
                part: self.id(part.0),
                attempt: *attempt,
                verdict: code(&VERDICTS, verdict),
                took: nanos(*took),
                load: load_of(load),
            }),
            Event::Probed { server, verdict, took, load } => event::Kind::Probed(wire::Probed {
                server: self.server(*server, servers),
                verdict: code(&VERDICTS, verdict),
                took: nanos(*took),
                load: load_of(load),
            }),
            Event::ClientGone(query) => event::Kind::ClientGone(self.id(query.0)),
            Event::Timer(timer) => event::Kind::Timer(timer.0),
            Event::Servers(lines) => event::Kind::Servers(self.listing(lines, servers)),
            Event::ServersChanged(lines) => event::Kind::ServersChanged(self.listing(lines, servers)),
            Event::ServersFailed => event::Kind::ServersFailed(true),
            Event::Told { server, class, verdict, took } => event::Kind::Told(wire::Told {
                server: self.server(*server, servers),
                class: *class as u32,
                verdict: code(&VERDICTS, verdict),
                took: nanos(*took),
            }),
        }
    }

    fn listing(&mut self, lines: &[Listed], servers: &ServerNames) -> wire::Listing {
        let line = |line: &Listed| wire::Listed {
            server: self.server(line.server, servers),
            zone: line.zone,
            cell: line.cell,
            state: code(&STATES, &line.state),
            started: line.started.map(|at| at.0),
            until: line.until.map(|at| at.0),
        };
        wire::Listing { lines: lines.iter().map(line).collect() }
    }

    fn ending(&mut self, why: &Ending) -> wire::Ending {
        let missing = |(part, missing): &(PartId, Missing)| wire::Missing {
            part: self.id(part.0),
            why: code(&MISSING, missing),
        };
        wire::Ending { cause: code(&CAUSES, &why.cause), missing: why.missing.iter().map(missing).collect() }
    }

    fn action(&mut self, action: &Action, now: Time, servers: &ServerNames) -> action::Kind {
        match action {
            Action::Send { part, server, time_out, why } => action::Kind::Send(wire::Send {
                part: self.id(part.0),
                server: self.server(*server, servers),
                time_out: nanos(*time_out),
                home: self.server(why.home, servers),
                left: code(&LEFT, &why.left),
                predicted: why.predicted,
                allowed: why.allowed,
            }),
            Action::Cancel { part, attempt, why } => action::Kind::Cancel(wire::Cancel {
                part: self.id(part.0),
                attempt: *attempt,
                silent: *why == Withdrawn::Silent,
            }),
            Action::CloseIdle { server } => action::Kind::CloseIdle(self.server(*server, servers)),
            Action::Probe { server } => action::Kind::Probe(self.server(*server, servers)),
            Action::Answer { query, whole, why } => {
                let query = self.id(query.0);
                action::Kind::Answer(wire::Answer { query, whole: *whole, why: Some(self.ending(why)) })
            }
            Action::Refuse { query, hold_off, why } => {
                let (query, hold_off) = (self.id(query.0), nanos(*hold_off));
                action::Kind::Refuse(wire::Refuse { query, hold_off, why: Some(self.ending(why)) })
            }
            Action::Fail { query, why } => {
                let query = self.id(query.0);
                action::Kind::Fail(wire::Fail { query, why: Some(self.ending(why)) })
            }
            Action::SetTimer { timer, at } => action::Kind::SetTimer(wire::SetTimer {
                timer: timer.0,
                at: (at.0 as i64).wrapping_sub(now.0 as i64),
            }),
            Action::WatchServers => action::Kind::WatchServers(true),
        }
    }
}

fn load_of(load: &LoadReport) -> Option<wire::Load> {
    (*load != LoadReport::default()).then_some(wire::Load {
        held: load.held,
        waiting: load.waiting,
        utilisation: load.utilisation,
        service_seconds: load.service_seconds,
    })
}

fn load_from(load: Option<wire::Load>) -> LoadReport {
    load.map_or_else(LoadReport::default, |load| LoadReport {
        held: load.held,
        waiting: load.waiting,
        utilisation: load.utilisation,
        service_seconds: load.service_seconds,
    })
}

/// Reads a block's records, and the names of its servers into `servers`.
///
/// # Errors
///
/// When it says something that no writer says; then nothing of it is given.
pub fn decode(
    block: wire::Block,
    sources: usize,
    servers: &mut ServerNames,
) -> Result<Vec<Record>, DecodeError> {
    let ids: Vec<ServerId> = block.servers.iter().map(|server| ServerId(server.id)).collect();
    let mut decoder = Decoder { servers: &ids, id: 0, last_query: None };
    let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
    let mut time = 0_i64;
    let mut records = Vec::with_capacity(block.steps.len());
    for step in block.steps {
        if step.source as usize >= sources {
            return Err(DecodeError("a source that the header does not name"));
        }
        let sequence = sequences.entry(step.source).or_default();
        *sequence = sequence.wrapping_add(step.sequence);
        time = time.wrapping_add(step.time);
        let mut record = Record {
            source: step.source,
            sequence: *sequence,
            time: Time(u64::try_from(time).map_err(|_| DecodeError("a time before the clock's zero"))?),
            versions: step.versions,
            note: step.note,
            gap: step.gap.map(|gap| Gap {
                first: sequence.saturating_sub(gap.first_before),
                last: sequence.saturating_sub(gap.last_before),
                reason: gap.why,
            }),
            events: Vec::with_capacity(step.events.len()),
            actions: Vec::with_capacity(step.actions.len()),
            ..Record::default()
        };
        decoder.last_query = None;
        for not in step.not_taken {
            let reason =
                known(&[NotTakenReason::Full, NotTakenReason::NameInUse], not.why, "an unknown refusal")?;
            record.not_taken.push(NotTaken { class: not.class as usize, reason });
        }
        // A kind that a newer writer knows is skipped, as its fields are.
        for kind in step.events.into_iter().filter_map(|event| event.kind) {
            let event = decoder.event(kind, &mut record.query_names)?;
            record.events.push(event);
        }
        for kind in step.actions.into_iter().filter_map(|action| action.kind) {
            record.actions.push(decoder.action(kind, record.time)?);
        }
        records.push(record);
    }
    for server in block.servers {
        servers.insert(ServerId(server.id), server.name);
    }
    Ok(records)
}

struct Decoder<'a> {
    servers: &'a [ServerId],
    id: u64,
    last_query: Option<u64>,
}

impl Decoder<'_> {
    fn id(&mut self, delta: i64) -> u64 {
        self.id = self.id.wrapping_add(delta as u64);
        self.id
    }

    fn server(&self, index: u32) -> Result<ServerId, DecodeError> {
        known(self.servers, index, "a server that the block does not name")
    }

    fn event(&mut self, kind: event::Kind, named: &mut Vec<QueryNames>) -> Result<Event, DecodeError> {
        let verdict = |code| known(&VERDICTS, code, "an unknown verdict");
        Ok(match kind {
            event::Kind::Query(query) => {
                let id = self.id(query.id);
                let number = query.number.unwrap_or(id);
                self.last_query = Some(number);
                let idempotency = Some(query.idempotency_key).filter(|key| !key.is_empty());
                named.push(QueryNames { query: QueryId(id), name: query.name, idempotency });
                Event::Query(Query {
                    id: QueryId(id),
                    number: QueryNumber(number),
                    class: query.class as usize,
                    tenant: query.tenant as usize,
                    key: query.key,
                    repeated: query.repeated_try,
                    left: Duration::from_nanos(query.left),
                })
            }
            event::Kind::Part(part) => Event::Part(Part {
                id: PartId(self.id(part.id)),
                query: QueryNumber(
                    part.query.or(self.last_query).ok_or(DecodeError("a part without its query"))?,
                ),
                shard: ShardId(part.shard),
                weight: part.weight,
                hint: part.hint.map(Duration::from_nanos),
            }),
            event::Kind::Outcome(outcome) => Event::Outcome {
                part: PartId(self.id(outcome.part)),
                attempt: outcome.attempt,
                verdict: verdict(outcome.verdict)?,
                took: Duration::from_nanos(outcome.took),
                load: load_from(outcome.load),
            },
            event::Kind::Probed(probed) => Event::Probed {
                server: self.server(probed.server)?,
                verdict: verdict(probed.verdict)?,
                took: Duration::from_nanos(probed.took),
                load: load_from(probed.load),
            },
            event::Kind::ClientGone(query) => Event::ClientGone(QueryId(self.id(query))),
            event::Kind::Timer(timer) => Event::Timer(TimerId(timer)),
            event::Kind::Servers(list) => Event::Servers(self.listing(&list)?),
            event::Kind::ServersChanged(list) => Event::ServersChanged(self.listing(&list)?),
            event::Kind::ServersFailed(_) => Event::ServersFailed,
            event::Kind::Told(told) => Event::Told {
                server: self.server(told.server)?,
                class: told.class as usize,
                verdict: verdict(told.verdict)?,
                took: Duration::from_nanos(told.took),
            },
        })
    }

    fn listing(&self, list: &wire::Listing) -> Result<Vec<Listed>, DecodeError> {
        let line = |line: &wire::Listed| {
            Ok(Listed {
                server: self.server(line.server)?,
                zone: line.zone,
                cell: line.cell,
                state: known(&STATES, line.state, "an unknown state")?,
                started: line.started.map(Time),
                until: line.until.map(Time),
            })
        };
        list.lines.iter().map(line).collect()
    }

    fn ending(&mut self, why: Option<wire::Ending>) -> Result<Ending, DecodeError> {
        let why = why.unwrap_or_default();
        let cause = known(&CAUSES, why.cause, "an unknown cause")?;
        let mut missing = Vec::with_capacity(why.missing.len());
        for one in why.missing {
            missing.push((PartId(self.id(one.part)), known(&MISSING, one.why, "an unknown want")?));
        }
        Ok(Ending { cause, missing })
    }

    fn action(&mut self, kind: action::Kind, now: Time) -> Result<Action, DecodeError> {
        Ok(match kind {
            action::Kind::Send(send) => Action::Send {
                part: PartId(self.id(send.part)),
                server: self.server(send.server)?,
                time_out: Duration::from_nanos(send.time_out),
                why: Choice {
                    home: self.server(send.home)?,
                    left: known(&LEFT, send.left, "an unknown reason")?,
                    predicted: send.predicted,
                    allowed: send.allowed,
                },
            },
            action::Kind::Cancel(cancel) => Action::Cancel {
                part: PartId(self.id(cancel.part)),
                attempt: cancel.attempt,
                why: if cancel.silent { Withdrawn::Silent } else { Withdrawn::Over },
            },
            action::Kind::CloseIdle(server) => Action::CloseIdle { server: self.server(server)? },
            action::Kind::Probe(server) => Action::Probe { server: self.server(server)? },
            action::Kind::Answer(answer) => Action::Answer {
                query: QueryId(self.id(answer.query)),
                whole: answer.whole,
                why: self.ending(answer.why)?,
            },
            action::Kind::Refuse(refuse) => Action::Refuse {
                query: QueryId(self.id(refuse.query)),
                hold_off: Duration::from_nanos(refuse.hold_off),
                why: self.ending(refuse.why)?,
            },
            action::Kind::Fail(fail) => {
                Action::Fail { query: QueryId(self.id(fail.query)), why: self.ending(fail.why)? }
            }
            action::Kind::SetTimer(set) => Action::SetTimer {
                timer: TimerId(set.timer),
                at: Time((now.0 as i64).wrapping_add(set.at) as u64),
            },
            action::Kind::WatchServers(_) => Action::WatchServers,
        })
    }
}
