//! Conversion between records and the protobuf messages of a block.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use badgergauge_core::{
    Action, BypassReason, CancelReason, Cause, Choice, Ending, Event, LoadReport, MissingReason, Part,
    PartId, Query, QueryId, QueryNumber, ServerEntry, ServerId, ServerState, ShardId, Time, TimerId, Verdict,
};

use crate::record::{Gap, NotAccepted, NotAcceptedReason, QueryNames, Record, ServerNames, server_name};
use crate::wire::{self, action, event};

// The tables below give the values of each enum by their code in the file: the order is part of the format.

const VERDICTS: [Verdict; 8] = [
    Verdict::Served,
    Verdict::Error,
    Verdict::Rejected,
    Verdict::NoAnswer,
    Verdict::NoConnection,
    Verdict::ConnectionLost,
    Verdict::Cancelled,
    Verdict::NotSent,
];
const STATES: [ServerState; 3] = [ServerState::Up, ServerState::Draining, ServerState::Removed];
/// Why the home replica was left; `None` if the part was sent to it.
const LEFT: [Option<BypassReason>; 9] = [
    None,
    Some(BypassReason::Busy),
    Some(BypassReason::Slow),
    Some(BypassReason::Late),
    Some(BypassReason::Suspect),
    Some(BypassReason::Draining),
    Some(BypassReason::Cold),
    Some(BypassReason::Tried),
    Some(BypassReason::Unresponsive),
];
const CAUSES: [Cause; 4] = [Cause::Complete, Cause::TimeUp, Cause::BelowFloor, Cause::NothingInFlight];
const MISSING: [MissingReason; 8] = [
    MissingReason::Undecided,
    MissingReason::InFlight,
    MissingReason::Late,
    MissingReason::NoReplica,
    MissingReason::AttemptsExhausted,
    MissingReason::UnsafeToRetry,
    MissingReason::BudgetExhausted,
    MissingReason::Withheld,
];

/// Returns the position of a value in a table, or 0 if the table lacks it.
fn to_code<T: PartialEq>(table: &[T], value: &T) -> u32 {
    table.iter().position(|known| known == value).unwrap_or(0) as u32
}

/// Why a block with a valid checksum can't be decoded: its writer does not follow the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

/// Returns the value at a position in a table, or an error with this reason if there is none.
fn from_code<T: Copy>(table: &[T], code: u32, reason: &'static str) -> Result<T, DecodeError> {
    table.get(code as usize).copied().ok_or(DecodeError(reason))
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Encodes records into the message of a block.
///
/// Sequence numbers, times and ids are stored as differences to the previous value in the block, and servers
/// as indexes into the block's table.
#[derive(Default)]
pub struct Encoder {
    block: wire::Block,
    /// Index of each server in the block's table.
    server_indexes: HashMap<ServerId, u32>,
    /// Sequence number of the last step, by source.
    sequences: BTreeMap<u32, u64>,
    /// Time of the last step in nanoseconds.
    time: i64,
    /// The last id of a query or a part.
    id: u64,
}

impl Encoder {
    /// Adds a record to the block. Returns the approximate number of bytes by which the block has grown.
    pub fn add(&mut self, record: &Record, servers: &ServerNames) -> usize {
        let time = record.time.0 as i64;
        let sequence = self.sequences.entry(record.source).or_default();
        let mut step = wire::Step {
            source: record.source,
            sequence: record.sequence.wrapping_sub(std::mem::replace(sequence, record.sequence)),
            time: time.wrapping_sub(std::mem::replace(&mut self.time, time)),
            versions: record.list_versions.clone(),
            note: record.note.clone(),
            gap: record.gap.as_ref().map(|gap| wire::Gap {
                first_before: record.sequence.saturating_sub(gap.first),
                last_before: record.sequence.saturating_sub(gap.last),
                why: gap.reason.clone(),
            }),
            ..wire::Step::default()
        };
        let not_accepted = |n: &NotAccepted| wire::NotTaken {
            class: n.class as u32,
            why: u32::from(n.reason == NotAcceptedReason::NameInUse),
        };
        step.not_taken = record.not_accepted.iter().map(not_accepted).collect();
        let mut query_names = record.query_names.iter();
        let mut last_query = None;
        step.events.reserve_exact(record.events.len());
        for event in &record.events {
            let kind = self.event(event, &mut query_names, &mut last_query, servers);
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

    /// Returns the block and resets the encoder for the next one.
    pub fn take(&mut self) -> wire::Block {
        std::mem::take(self).block
    }

    /// Returns the difference of an id to the previous one in the block.
    fn id(&mut self, id: u64) -> i64 {
        id.wrapping_sub(std::mem::replace(&mut self.id, id)) as i64
    }

    /// Returns the index of a server in the block's table, and adds it if it is new.
    fn server(&mut self, id: ServerId, servers: &ServerNames) -> u32 {
        let block = &mut self.block;
        *self.server_indexes.entry(id).or_insert_with(|| {
            block.servers.push(wire::Server { id: id.0, name: server_name(servers, id) });
            block.servers.len() as u32 - 1
        })
    }

    fn event<'a>(
        &mut self,
        event: &Event,
        query_names: &mut impl Iterator<Item = &'a QueryNames>,
        last_query: &mut Option<u64>,
        servers: &ServerNames,
    ) -> event::Kind {
        match event {
            Event::Query(query) => {
                let names = query_names.next().filter(|names| names.query == query.id);
                *last_query = Some(query.number.0);
                event::Kind::Query(wire::Query {
                    id: self.id(query.id.0),
                    class: query.class as u32,
                    tenant: query.tenant as u32,
                    key: query.key,
                    repeated_try: query.is_retry,
                    left: nanos(query.time_left),
                    name: names.map(|names| names.name.clone()).unwrap_or_default(),
                    idempotency_key: names
                        .and_then(|names| names.idempotency_key.clone())
                        .unwrap_or_default(),
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
                verdict: to_code(&VERDICTS, verdict),
                took: nanos(*took),
                load: load_to_wire(load),
            }),
            Event::Probed { server, verdict, took, load } => event::Kind::Probed(wire::Probed {
                server: self.server(*server, servers),
                verdict: to_code(&VERDICTS, verdict),
                took: nanos(*took),
                load: load_to_wire(load),
            }),
            Event::ClientGone(query) => event::Kind::ClientGone(self.id(query.0)),
            Event::Timer(timer) => event::Kind::Timer(timer.0),
            Event::Servers(lines) => event::Kind::Servers(self.listing(lines, servers)),
            Event::ServersChanged(lines) => event::Kind::ServersChanged(self.listing(lines, servers)),
            Event::ServersFailed => event::Kind::ServersFailed(true),
            Event::PeerOutcome { server, class, verdict, took } => event::Kind::Told(wire::Told {
                server: self.server(*server, servers),
                class: *class as u32,
                verdict: to_code(&VERDICTS, verdict),
                took: nanos(*took),
            }),
        }
    }

    fn listing(&mut self, lines: &[ServerEntry], servers: &ServerNames) -> wire::Listing {
        let line = |line: &ServerEntry| wire::Listed {
            server: self.server(line.server, servers),
            zone: line.zone,
            cell: line.cell,
            state: to_code(&STATES, &line.state),
            started: line.started.map(|at| at.0),
            until: line.send_until.map(|at| at.0),
        };
        wire::Listing { lines: lines.iter().map(line).collect() }
    }

    fn ending(&mut self, ending: &Ending) -> wire::Ending {
        let missing = |(part, missing): &(PartId, MissingReason)| wire::Missing {
            part: self.id(part.0),
            why: to_code(&MISSING, missing),
        };
        wire::Ending {
            cause: to_code(&CAUSES, &ending.cause),
            missing: ending.missing.iter().map(missing).collect(),
        }
    }

    fn action(&mut self, action: &Action, now: Time, servers: &ServerNames) -> action::Kind {
        match action {
            Action::Send { part, server, timeout: time_out, why } => action::Kind::Send(wire::Send {
                part: self.id(part.0),
                server: self.server(*server, servers),
                time_out: nanos(*time_out),
                home: self.server(why.home, servers),
                left: to_code(&LEFT, &why.bypassed),
                predicted: why.predicted,
                allowed: why.allowed,
            }),
            Action::Cancel { part, attempt, why } => action::Kind::Cancel(wire::Cancel {
                part: self.id(part.0),
                attempt: *attempt,
                silent: *why == CancelReason::Unresponsive,
            }),
            Action::CloseIdle { server } => action::Kind::CloseIdle(self.server(*server, servers)),
            Action::Probe { server } => action::Kind::Probe(self.server(*server, servers)),
            Action::Answer { query, complete: whole, why } => {
                let query = self.id(query.0);
                action::Kind::Answer(wire::Answer { query, whole: *whole, why: Some(self.ending(why)) })
            }
            Action::Refuse { query, retry_after: hold_off, why } => {
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

/// Encodes a load report; an empty one is left out.
fn load_to_wire(load: &LoadReport) -> Option<wire::Load> {
    (*load != LoadReport::default()).then_some(wire::Load {
        held: load.held,
        waiting: load.waiting,
        utilisation: load.utilisation,
        service_seconds: load.service_seconds,
    })
}

fn load_from_wire(load: Option<wire::Load>) -> LoadReport {
    load.map_or_else(LoadReport::default, |load| LoadReport {
        held: load.held,
        waiting: load.waiting,
        utilisation: load.utilisation,
        service_seconds: load.service_seconds,
    })
}

/// Decodes a block's records, and adds the names of its servers to `servers`. `sources` is the number of
/// sources in the header.
///
/// # Errors
///
/// Returns an error if any value is invalid; then no record of the block is returned.
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
            return Err(DecodeError("source index that the header does not list"));
        }
        let sequence = sequences.entry(step.source).or_default();
        *sequence = sequence.wrapping_add(step.sequence);
        time = time.wrapping_add(step.time);
        let mut record = Record {
            source: step.source,
            sequence: *sequence,
            time: Time(u64::try_from(time).map_err(|_| DecodeError("time before the zero of the clock"))?),
            list_versions: step.versions,
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
        for not_accepted in step.not_taken {
            let reason = from_code(
                &[NotAcceptedReason::AtCapacity, NotAcceptedReason::NameInUse],
                not_accepted.why,
                "unknown reason for a query not accepted",
            )?;
            record.not_accepted.push(NotAccepted { class: not_accepted.class as usize, reason });
        }
        // Kinds of events and actions from a newer minor version are skipped, as unknown fields are.
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

/// State of decoding a block; see [`Encoder`].
struct Decoder<'a> {
    servers: &'a [ServerId],
    id: u64,
    /// Number of the last query in the step.
    last_query: Option<u64>,
}

impl Decoder<'_> {
    /// Restores an id from its difference to the previous one in the block.
    fn id(&mut self, delta: i64) -> u64 {
        self.id = self.id.wrapping_add(delta as u64);
        self.id
    }

    fn server(&self, index: u32) -> Result<ServerId, DecodeError> {
        from_code(self.servers, index, "server index that the block does not list")
    }

    fn event(&mut self, kind: event::Kind, query_names: &mut Vec<QueryNames>) -> Result<Event, DecodeError> {
        let verdict = |code| from_code(&VERDICTS, code, "unknown verdict");
        Ok(match kind {
            event::Kind::Query(query) => {
                let id = self.id(query.id);
                let number = query.number.unwrap_or(id);
                self.last_query = Some(number);
                let idempotency_key = Some(query.idempotency_key).filter(|key| !key.is_empty());
                query_names.push(QueryNames { query: QueryId(id), name: query.name, idempotency_key });
                Event::Query(Query {
                    id: QueryId(id),
                    number: QueryNumber(number),
                    class: query.class as usize,
                    tenant: query.tenant as usize,
                    key: query.key,
                    is_retry: query.repeated_try,
                    time_left: Duration::from_nanos(query.left),
                })
            }
            event::Kind::Part(part) => Event::Part(Part {
                id: PartId(self.id(part.id)),
                query: QueryNumber(
                    part.query.or(self.last_query).ok_or(DecodeError("part without a query"))?,
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
                load: load_from_wire(outcome.load),
            },
            event::Kind::Probed(probed) => Event::Probed {
                server: self.server(probed.server)?,
                verdict: verdict(probed.verdict)?,
                took: Duration::from_nanos(probed.took),
                load: load_from_wire(probed.load),
            },
            event::Kind::ClientGone(query) => Event::ClientGone(QueryId(self.id(query))),
            event::Kind::Timer(timer) => Event::Timer(TimerId(timer)),
            event::Kind::Servers(list) => Event::Servers(self.listing(&list)?),
            event::Kind::ServersChanged(list) => Event::ServersChanged(self.listing(&list)?),
            event::Kind::ServersFailed(_) => Event::ServersFailed,
            event::Kind::Told(told) => Event::PeerOutcome {
                server: self.server(told.server)?,
                class: told.class as usize,
                verdict: verdict(told.verdict)?,
                took: Duration::from_nanos(told.took),
            },
        })
    }

    fn listing(&self, list: &wire::Listing) -> Result<Vec<ServerEntry>, DecodeError> {
        let line = |line: &wire::Listed| {
            Ok(ServerEntry {
                server: self.server(line.server)?,
                zone: line.zone,
                cell: line.cell,
                state: from_code(&STATES, line.state, "unknown server state")?,
                started: line.started.map(Time),
                send_until: line.until.map(Time),
            })
        };
        list.lines.iter().map(line).collect()
    }

    fn ending(&mut self, ending: Option<wire::Ending>) -> Result<Ending, DecodeError> {
        let ending = ending.unwrap_or_default();
        let cause = from_code(&CAUSES, ending.cause, "unknown cause of an ending")?;
        let mut missing = Vec::with_capacity(ending.missing.len());
        for part in ending.missing {
            missing.push((
                PartId(self.id(part.part)),
                from_code(&MISSING, part.why, "unknown reason for a missing part")?,
            ));
        }
        Ok(Ending { cause, missing })
    }

    fn action(&mut self, kind: action::Kind, now: Time) -> Result<Action, DecodeError> {
        Ok(match kind {
            action::Kind::Send(send) => Action::Send {
                part: PartId(self.id(send.part)),
                server: self.server(send.server)?,
                timeout: Duration::from_nanos(send.time_out),
                why: Choice {
                    home: self.server(send.home)?,
                    bypassed: from_code(&LEFT, send.left, "unknown reason for leaving the home replica")?,
                    predicted: send.predicted,
                    allowed: send.allowed,
                },
            },
            action::Kind::Cancel(cancel) => Action::Cancel {
                part: PartId(self.id(cancel.part)),
                attempt: cancel.attempt,
                why: if cancel.silent { CancelReason::Unresponsive } else { CancelReason::QueryEnded },
            },
            action::Kind::CloseIdle(server) => Action::CloseIdle { server: self.server(server)? },
            action::Kind::Probe(server) => Action::Probe { server: self.server(server)? },
            action::Kind::Answer(answer) => Action::Answer {
                query: QueryId(self.id(answer.query)),
                complete: answer.whole,
                why: self.ending(answer.why)?,
            },
            action::Kind::Refuse(refuse) => Action::Refuse {
                query: QueryId(self.id(refuse.query)),
                retry_after: Duration::from_nanos(refuse.hold_off),
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
