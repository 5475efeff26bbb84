//! The broker's core: tracks open queries and attempts, independent of the protocol they arrived by.
//!
//! It passes events to the [`Router`], one step at a time, and translates the router's actions into
//! [`Command`]s that carry external names, bodies and values. It does no I/O and reads no clock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decide::snapshot::budgets::Spending;
use crate::decide::snapshot::{Snapshot, SnapshotError};
use crate::decide::{RETRY_AFTER_SHARE, Router};
use crate::gossip::{self, Gossip, Observation, short_id};
use crate::interface::*;
use crate::settings::{PeerSettings, SiteSettings};
use crate::spent_names::SpentNames;

/// Identifies the recipient of a query's final answer; assigned by the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyId(pub u64);

/// A part of a query as received by a front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewPart {
    /// Shard that it reads or writes.
    pub shard: u32,
    /// Share of the query's weight.
    pub weight: f64,
    /// Rough estimate of its server work, if the client gives one.
    pub hint: Option<Duration>,
}

/// A query as received by a front end.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// External name, unique among open queries.
    pub name: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; 0 if there are no tenants.
    pub tenant: usize,
    /// Routing key, if the deployment uses keys.
    pub key: Option<u64>,
    /// Whether its client marked it as a retry.
    pub is_retry: bool,
    /// Time until its client gives up.
    pub time_left: Duration,
    /// Idempotency key, in a keyed class.
    pub idempotency_key: Option<String>,
    /// Request body sent with each part.
    pub body: String,
    /// The parts, each for a different shard.
    pub parts: Vec<NewPart>,
}

/// Why a query was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    /// The maximum number of queries and parts is open.
    AtCapacity {
        /// Time the client should wait before it retries; zero if clients are not sent one.
        retry_after: Duration,
    },
    /// A query with this name is already open, or was one of an unsafe class that may have run.
    NameInUse,
}

/// The final answer of a query; every accepted query gets exactly one unless its client disconnects.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Answered from the results that arrived.
    Answered {
        /// Whether the answer is marked as complete.
        complete: bool,
        /// Shard and value of each part, in the order of the query; `None` for a part without a result.
        values: Vec<(u32, Option<String>)>,
    },
    /// Refused: a retry is harmless.
    Refused {
        /// Time the client should wait before it retries.
        retry_after: Duration,
    },
    /// Failed: the query may have run, so a retry may not be safe.
    Failed,
}

/// Id of an attempt: its part, and its number counted from 0 in the order of the part's attempts.
pub type AttemptId = (PartId, u32);

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct SendAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Destination.
    pub server: ServerId,
    /// Name of the query.
    pub query: Arc<str>,
    /// Shard of the part.
    pub shard: u32,
    /// Idempotency key of the query.
    pub idempotency_key: Option<Arc<str>>,
    /// Request body.
    pub body: Arc<str>,
    /// Whether the part may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Aim of the query's class.
    pub aim: Duration,
    /// When the broker stops waiting for the answer.
    pub deadline: Time,
    /// The attempt must not start after this time, when servers no longer deduplicate an earlier attempt.
    pub start_before: Option<Time>,
}

/// An instruction to the broker's event loop. Commands are carried out in order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt; attempts of one step to one server share frames.
    Send(SendAttempt),
    /// Cancel an attempt and report its outcome.
    Cancel(AttemptId),
    /// Withdraw an attempt of a query that has ended, if none of it has been written.
    Withdraw(AttemptId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Probe a server.
    Probe(ServerId),
    /// Send a query's final answer.
    Finish(ReplyId, FinalAnswer),
    /// Call [`Core::timer`] at this time.
    SetTimer(Time, TimerId),
    /// Call [`Core::check_deadline`] at this time.
    SetDeadline(Time, QueryId),
    /// Request the server list from discovery again.
    WatchServers,
}

/// A server as listed by discovery or an inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the server, the same at every broker.
    pub name: String,
    /// Name of its zone.
    pub zone: String,
    /// Cell of the server.
    pub cell: u32,
    /// State of the server.
    pub state: ServerState,
    /// When its process last started, if recently.
    pub started: Option<Time>,
}

/// The external names of an accepted query.
#[derive(Clone, Debug)]
pub struct QueryNames {
    /// Id of the query.
    pub query: QueryId,
    /// External name.
    pub name: Arc<str>,
    /// Idempotency key, in a keyed class.
    pub idempotency_key: Option<Arc<str>>,
}

/// Everything that went into and came out of a step, for trace recording.
#[derive(Clone, Debug, Default)]
pub struct StepRecord {
    /// Number of the step, from 1.
    pub sequence: u64,
    /// Time of the step.
    pub now: Time,
    /// Events passed to the router.
    pub events: Vec<Event>,
    /// Actions returned by the router.
    pub actions: Vec<Action>,
    /// Names of the queries among the events.
    pub query_names: Vec<QueryNames>,
    /// Servers that were assigned an id since the last step.
    pub new_servers: Vec<(ServerId, String)>,
    /// Versions of the server lists among the events.
    pub list_versions: Vec<u64>,
    /// Class and reason of each query that was not accepted since the last step.
    pub not_accepted: Vec<(usize, NotAccepted)>,
    /// Notes of the broker on its own state, such as its start and stop.
    pub note: String,
}

struct OpenQuery {
    name: Arc<str>,
    reply_id: ReplyId,
    class: usize,
    idempotency_key: Option<Arc<str>>,
    body: Arc<str>,
    ends_at: Time,
    parts: Vec<OpenPart>,
}

struct OpenPart {
    id: PartId,
    shard: u32,
    value: Option<String>,
    /// When the first attempt that may have run was sent.
    may_have_run: Option<Time>,
}

struct PartEntry {
    query: QueryId,
    index: usize,
    /// Number of attempts so far.
    attempts: u32,
}

struct Attempt {
    sent: Time,
    server: ServerId,
    class: usize,
    /// Cancelled because its server did not respond.
    unresponsive: bool,
}

/// The broker's core; see the [module documentation](self).
pub struct Core {
    settings: Arc<SiteSettings>,
    router: Router,
    queries: HashMap<QueryId, OpenQuery>,
    names: HashMap<Arc<str>, QueryId>,
    /// Names of closed queries of unsafe classes that may have run.
    spent_names: SpentNames,
    parts: HashMap<PartId, PartEntry>,
    attempts: HashMap<AttemptId, Attempt>,
    server_names: HashMap<ServerId, String>,
    server_ids: HashMap<String, ServerId>,
    listed: HashMap<ServerId, ServerState>,
    /// Listed servers by the half of the id that is used in messages between brokers.
    short_ids: HashMap<u32, ServerId>,
    events: Vec<Event>,
    actions: Vec<Action>,
    last_id: u64,
    /// Attempts of queries that have ended, to be withdrawn if none of them has been written.
    ended_attempts: Vec<AttemptId>,
    /// Record of the next step, if recording is enabled.
    step_record: Option<Box<StepRecord>>,
    sequence: u64,
    /// Outcomes to send to other brokers, if enabled.
    gossip: Option<Gossip>,
}

impl Core {
    /// Creates a core without open queries.
    ///
    /// # Errors
    ///
    /// When the router's settings are invalid.
    pub fn new(settings: Arc<SiteSettings>, seed: u64) -> Result<Self, SettingsError> {
        let router = Router::new(settings.router.clone(), seed)?;
        let aim = settings.router.shortest_aim();
        let brokers = settings.router.front_nodes as usize;
        let gossip = |peers: PeerSettings| Gossip::new(peers.index, brokers, peers.price, aim, seed);
        let gossip = settings.peers.and_then(gossip);
        Ok(Core {
            settings,
            router,
            queries: HashMap::new(),
            names: HashMap::new(),
            spent_names: SpentNames::default(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            server_names: HashMap::new(),
            server_ids: HashMap::new(),
            listed: HashMap::new(),
            short_ids: HashMap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            last_id: 0,
            ended_attempts: Vec::new(),
            step_record: None,
            sequence: 0,
            gossip,
        })
    }

    /// Returns what another process needs to take over from this one at `now`: the state learned by the
    /// router.
    ///
    /// Server ids are hashes of server names, so they are the same in the other process. No queries are
    /// handed over, including keyed and unsafe ones:
    ///
    /// - A query that is open in this process is answered by it, exactly once, and its parts are retried only
    ///   from here: `may_have_run` and [`SendAttempt::start_before`] are kept for each part of an open query
    ///   until `close` removes the query.
    /// - A client's retry is a new query, whichever process accepts it: no process keeps an idempotency key
    ///   beyond the query that carried it. The key is sent with each part, and servers drop a part that they
    ///   have already run under it within the class's window, whichever process sent the first attempt.
    /// - A class that is [`RetrySafety::Unsafe`] has no key. A query of it that may have run ends as
    ///   [`FinalAnswer::Failed`], which does not invite a retry, and one that is [`FinalAnswer::Refused`]
    ///   never ran.
    ///
    /// Pending outcome messages to other brokers are dropped, and ids of queries and parts start anew, as
    /// they are local to one process.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        self.router.snapshot(now)
    }

    /// Restores the state learned by another process, before or after the first server list; see
    /// [`Router::restore`].
    ///
    /// # Errors
    ///
    /// When the snapshot does not match the settings, is invalid, or a query has already been accepted. The
    /// core is then unchanged.
    pub fn restore(&mut self, now: Time, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        if self.last_id > 0 {
            return Err(SnapshotError::InUse);
        }
        self.router.restore(now, snapshot)
    }

    /// Stops using the budgets, which another process of this broker uses from now on; see
    /// [`Router::suspend_budgets`].
    pub fn suspend_budgets(&mut self) {
        self.router.suspend_budgets();
    }

    /// Returns what this process has spent of its budgets from `since` on; see [`Router::spending`].
    pub fn spending(&self, now: Time, since: Time) -> Spending {
        self.router.spending(now, since)
    }

    /// Starts using the budgets, counting what another process of this broker has spent; see
    /// [`Router::take_over_budgets`].
    ///
    /// # Errors
    ///
    /// When `spending` holds invalid numbers. The core is then unchanged.
    pub fn take_over_budgets(&mut self, now: Time, spending: &Spending) -> Result<(), SnapshotError> {
        self.router.take_over_budgets(now, spending)
    }

    /// Handles the end of the other process without a report of its spending: suspended budgets stay suspended
    /// for as long as that spending may count; see [`Router::limit_budget_suspension`].
    pub fn limit_budget_suspension(&mut self, now: Time) {
        self.router.limit_budget_suspension(now);
    }

    /// Returns the listed servers that the router currently avoids; see [`Router::avoided`].
    pub fn avoided(&self) -> Vec<ServerId> {
        self.router.avoided()
    }

    /// Records each step from now on, for [`Core::take_step_record`].
    pub fn enable_recording(&mut self) {
        self.step_record = Some(Box::default());
    }

    /// Returns the record of the last step. Must be called after each step, or records accumulate.
    pub fn take_step_record(&mut self) -> Option<StepRecord> {
        let record = self.step_record.as_mut()?;
        (record.sequence > 0).then(|| std::mem::take(&mut **record))
    }

    /// Adds a note to the record of the next step.
    pub fn add_note(&mut self, note: &str) {
        if let Some(record) = &mut self.step_record {
            if !record.note.is_empty() {
                record.note.push_str("; ");
            }
            record.note.push_str(note);
        }
    }

    /// Returns the retry-after time for a query that is refused before it reaches the router: the same as the
    /// router's.
    fn retry_after(&self, class: usize) -> Duration {
        let settings = &self.settings.router;
        settings.classes[class].aim.mul_f64(RETRY_AFTER_SHARE).min(settings.max_retry_after)
    }

    /// Accepts a query, which from then on gets exactly one final answer.
    ///
    /// # Errors
    ///
    /// When the query is not accepted.
    pub fn accept(&mut self, now: Time, query: NewQuery, reply_id: ReplyId) -> Result<QueryId, NotAccepted> {
        let why = if self.queries.len() + self.parts.len() >= self.settings.max_open {
            Some(NotAccepted::AtCapacity { retry_after: self.retry_after(query.class) })
        } else {
            let name = query.name.as_str();
            let is_in_use = self.names.contains_key(name) || self.spent_names.contains(name);
            is_in_use.then_some(NotAccepted::NameInUse)
        };
        if let Some(why) = why {
            if let Some(record) = &mut self.step_record {
                record.not_accepted.push((query.class, why));
            }
            return Err(why);
        }
        let id = QueryId(self.next_id());
        let number = QueryNumber(id.0);
        self.events.push(Event::Query(Query {
            id,
            number,
            class: query.class,
            tenant: query.tenant,
            key: query.key,
            is_retry: query.is_retry,
            time_left: query.time_left,
        }));
        let mut parts = Vec::with_capacity(query.parts.len());
        for (index, NewPart { shard, weight, hint }) in query.parts.into_iter().enumerate() {
            let part = PartId(self.next_id());
            let new = Part { id: part, query: number, shard: ShardId(shard), weight, hint };
            self.events.push(Event::Part(new));
            self.parts.insert(part, PartEntry { query: id, index, attempts: 0 });
            parts.push(OpenPart { id: part, shard, value: None, may_have_run: None });
        }
        let name: Arc<str> = query.name.into();
        self.names.insert(name.clone(), id);
        let idempotency_key: Option<Arc<str>> = query.idempotency_key.map(Into::into);
        if let Some(record) = &mut self.step_record {
            record.query_names.push(QueryNames {
                query: id,
                name: name.clone(),
                idempotency_key: idempotency_key.clone(),
            });
        }
        let open = OpenQuery {
            name,
            reply_id,
            class: query.class,
            idempotency_key,
            body: query.body.into(),
            ends_at: now.after(query.time_left),
            parts,
        };
        self.queries.insert(id, open);
        Ok(id)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Ends a query whose client has disconnected; it gets no answer.
    pub fn client_gone(&mut self, id: QueryId) {
        if self.close(id).is_some() {
            self.events.push(Event::ClientGone(id));
        }
    }

    /// Returns the recipient of the answer to the open query with this name.
    pub fn reply_id_of(&self, name: &str) -> Option<ReplyId> {
        Some(self.queries.get(self.names.get(name)?)?.reply_id)
    }

    /// Fails every open query, for a broker that stops.
    pub fn fail_open_queries(&mut self) -> Vec<Command> {
        let mut ids: Vec<QueryId> = self.queries.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.fail(id)).collect()
    }

    fn fail(&mut self, id: QueryId) -> Option<Command> {
        let open = self.close(id)?;
        self.events.push(Event::ClientGone(id));
        Some(Command::Finish(open.reply_id, FinalAnswer::Failed))
    }

    /// Fails a query whose client deadline has passed. A safeguard: the router should have ended it earlier.
    pub fn check_deadline(&mut self, now: Time, id: QueryId) -> Option<Command> {
        if self.queries.get(&id)?.ends_at > now {
            return None;
        }
        self.fail(id)
    }

    /// Handles the end of an attempt; later outcomes of the same attempt are ignored.
    pub fn outcome(
        &mut self,
        now: Time,
        id: AttemptId,
        verdict: Verdict,
        value: Option<String>,
        load: LoadReport,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let took = now.since(attempt.sent);
        if let Some(gossip) = &mut self.gossip {
            // An attempt cancelled because the server did not respond counts as unanswered.
            let verdict = if attempt.unresponsive { Verdict::NoAnswer } else { verdict };
            gossip.record(
                now,
                Observation { server: short_id(attempt.server), class: attempt.class, verdict, took },
            );
        }
        if let Some(entry) = self.parts.get(&id.0)
            && let Some(open) = self.queries.get_mut(&entry.query)
        {
            let part = &mut open.parts[entry.index];
            if verdict == Verdict::Served {
                part.value = value;
            }
            if !verdict.never_ran() {
                part.may_have_run = part.may_have_run.into_iter().chain([attempt.sent]).min();
            }
        }
        self.events.push(Event::Outcome { part: id.0, attempt: id.1, verdict, took, load });
    }

    /// Handles the end of a probe.
    pub fn probed(&mut self, server: ServerId, verdict: Verdict, took: Duration, load: LoadReport) {
        self.events.push(Event::Probed { server, verdict, took, load });
    }

    /// Returns the outcome datagrams that are due, each with the indices of the brokers to send it to.
    pub fn take_gossip(&mut self, now: Time) -> Vec<(Vec<u8>, Vec<usize>)> {
        self.gossip.as_mut().map(|gossip| gossip.take_due(now)).unwrap_or_default()
    }

    /// Returns when the next outcome datagram is due at the latest.
    pub fn gossip_due(&self) -> Option<Time> {
        self.gossip.as_ref().and_then(Gossip::due)
    }

    /// Returns whether outcomes are exchanged with other brokers.
    pub fn gossip_enabled(&self) -> bool {
        self.gossip.is_some()
    }

    /// Handles an outcome datagram from another broker; outcomes of servers that are not listed are ignored.
    pub fn receive_gossip(&mut self, bytes: &[u8]) {
        if self.gossip.is_none() {
            return;
        }
        for Observation { server, class, verdict, took } in gossip::decode(bytes) {
            let Some(server) = self.short_ids.get(&server).copied() else { continue };
            self.events.push(Event::PeerOutcome { server, class, verdict, took });
        }
    }

    /// Handles the expiry of a router timer.
    pub fn timer(&mut self, timer: TimerId) {
        self.events.push(Event::Timer(timer));
    }

    /// Handles a failure to reach discovery; the last server list stays valid.
    pub fn servers_failed(&mut self) {
        self.events.push(Event::ServersFailed);
    }

    /// Applies a server list, full or of changes only, and returns the servers that may no longer be sent
    /// anything.
    ///
    /// `version` is the version of the list, for recording. `send_until` is given if the list has just been
    /// received: draining servers may still be sent attempts until then, and the caller stops sending to
    /// those that still are [`Core::is_draining`] at that time.
    pub fn apply_server_list(
        &mut self,
        full: bool,
        version: u64,
        members: &[Member],
        send_until: Option<Time>,
    ) -> Vec<ServerId> {
        if let Some(record) = &mut self.step_record {
            record.list_versions.push(version);
        }
        let before = if full { std::mem::take(&mut self.listed) } else { HashMap::new() };
        let mut stopped: Vec<ServerId> = Vec::new();
        let mut entries = Vec::with_capacity(members.len());
        for member in members {
            let server = self.server_id(&member.name);
            if member.state == ServerState::Removed {
                self.listed.remove(&server);
            } else {
                self.listed.insert(server, member.state);
            }
            let send_until = send_until.filter(|_| member.state == ServerState::Draining);
            if member.state != ServerState::Up && send_until.is_none() {
                stopped.push(server);
            }
            let zone = self.settings.zones.iter().position(|zone| *zone == member.zone);
            entries.push(ServerEntry {
                server,
                zone: zone.map_or(u32::MAX, |zone| zone as u32),
                cell: member.cell,
                state: member.state,
                started: member.started,
                send_until,
            });
        }
        if full {
            // Servers that are absent from a full list are gone.
            stopped.extend(before.into_keys().filter(|server| !self.listed.contains_key(server)));
            entries.retain(|entry| entry.state != ServerState::Removed);
            self.events.push(Event::Servers(entries));
        } else {
            self.events.push(Event::ServersChanged(entries));
        }
        // Removed names do not return; keeping them would let memory grow as servers are replaced.
        self.server_ids.retain(|_, id| self.listed.contains_key(id));
        self.server_names.retain(|id, _| self.listed.contains_key(id));
        self.short_ids = self.listed.keys().map(|id| (short_id(*id), *id)).collect();
        stopped
    }

    /// Returns the id of a server. It is a hash (FNV-1a) of the name, so that all brokers agree on a key's
    /// home replica.
    pub fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.server_ids.get(name) {
            return *id;
        }
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let mut id = ServerId(hash);
        while self.server_names.contains_key(&id) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.server_names.insert(id, name.to_owned());
        if let Some(record) = &mut self.step_record {
            record.new_servers.push((id, name.to_owned()));
        }
        self.server_ids.insert(name.to_owned(), id);
        id
    }

    /// Returns whether a server is listed as draining.
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.listed.get(&server) == Some(&ServerState::Draining)
    }

    /// Returns the number of servers listed as running and as draining.
    pub fn server_counts(&self) -> (usize, usize) {
        let up = self.listed.values().filter(|state| **state == ServerState::Up).count();
        (up, self.listed.len() - up)
    }

    /// Returns whether at least one running server is listed.
    pub fn can_serve(&self) -> bool {
        self.server_counts().0 > 0
    }

    /// Returns whether the part's query is open.
    pub fn is_part_open(&self, part: PartId) -> bool {
        self.parts.contains_key(&part)
    }

    /// Returns the number of open queries.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Returns whether there are events for the next step.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns commands to withdraw the attempts of queries that have ended since the last call.
    pub fn withdraw_ended(&mut self) -> impl Iterator<Item = Command> + use<> {
        std::mem::take(&mut self.ended_attempts).into_iter().map(Command::Withdraw)
    }

    /// Passes the pending events to the router and appends the resulting commands.
    pub fn step(&mut self, now: Time, commands: &mut Vec<Command>) {
        let mut events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        for event in &mut events {
            // The router counts the client's time from the step, which is later than the acceptance of the
            // query.
            if let Event::Query(query) = event
                && let Some(open) = self.queries.get(&query.id)
            {
                query.time_left = open.ends_at.since(now);
            }
        }
        self.router.step(now, &events, &mut actions);
        for event in &events {
            // A query's deadline is set once the router has received the query.
            if let Event::Query(query) = event
                && let Some(open) = self.queries.get(&query.id)
            {
                commands.push(Command::SetDeadline(open.ends_at, query.id));
            }
        }
        self.sequence += 1;
        match &mut self.step_record {
            Some(record) => {
                (record.sequence, record.now) = (self.sequence, now);
                // Moved rather than copied: the next step starts with an empty list in either case.
                record.events = std::mem::take(&mut events);
                record.actions.clone_from(&actions);
            }
            None => events.clear(),
        }
        for action in actions.drain(..) {
            commands.extend(self.command(now, action));
        }
        commands.extend(self.withdraw_ended());
        // Carrying out the actions may have added events.
        events.append(&mut self.events);
        (self.events, self.actions) = (events, actions);
    }

    fn command(&mut self, now: Time, action: Action) -> Option<Command> {
        Some(match action {
            Action::Send { part, server, timeout, .. } => {
                return self.send(now, part, server, timeout);
            }
            Action::Cancel { part, attempt, why } => {
                self.attempts.get_mut(&(part, attempt))?.unresponsive = why == CancelReason::Unresponsive;
                Command::Cancel((part, attempt))
            }
            Action::CloseIdle { server } => Command::CloseIdle(server),
            Action::Probe { server } => Command::Probe(server),
            Action::Answer { query, complete, .. } => {
                let open = self.close(query)?;
                let values = open.parts.into_iter().map(|part| (part.shard, part.value)).collect();
                Command::Finish(open.reply_id, FinalAnswer::Answered { complete, values })
            }
            Action::Refuse { query, retry_after, .. } => {
                Command::Finish(self.close(query)?.reply_id, FinalAnswer::Refused { retry_after })
            }
            Action::Fail { query, .. } => Command::Finish(self.close(query)?.reply_id, FinalAnswer::Failed),
            Action::SetTimer { timer, at } => Command::SetTimer(at, timer),
            Action::WatchServers => Command::WatchServers,
        })
    }

    fn send(&mut self, now: Time, part: PartId, server: ServerId, timeout: Duration) -> Option<Command> {
        let entry = self.parts.get_mut(&part)?;
        let open = self.queries.get(&entry.query)?;
        let number = entry.attempts;
        entry.attempts += 1;
        let class = open.class;
        let retry_safety = self.settings.router.classes[class].retry_safety;
        let start_before = match retry_safety {
            RetrySafety::Keyed(window) => {
                open.parts[entry.index].may_have_run.map(|first| first.after(window))
            }
            RetrySafety::Safe | RetrySafety::Unsafe => None,
        };
        self.attempts.insert((part, number), Attempt { sent: now, server, class, unresponsive: false });
        Some(Command::Send(SendAttempt {
            attempt: (part, number),
            server,
            query: open.name.clone(),
            shard: open.parts[entry.index].shard,
            idempotency_key: open.idempotency_key.clone(),
            body: open.body.clone(),
            retry_safety,
            aim: self.settings.router.classes[class].aim,
            deadline: now.after(timeout).min(open.ends_at),
            start_before,
        }))
    }

    /// Removes an open query. Only the caller that receives it may answer it, so that it is answered once.
    fn close(&mut self, id: QueryId) -> Option<OpenQuery> {
        let open = self.queries.remove(&id)?;
        self.names.remove(&open.name);
        let mut may_have_run = false;
        for part in &open.parts {
            let attempts = self.parts.remove(&part.id).map_or(0, |entry| entry.attempts);
            let sent = (0..attempts).map(|number| (part.id, number));
            let ended_before = self.ended_attempts.len();
            self.ended_attempts.extend(sent.filter(|attempt| self.attempts.contains_key(attempt)));
            may_have_run |= part.may_have_run.is_some() || self.ended_attempts.len() > ended_before;
        }
        let retry_safety = self.settings.router.classes[open.class].retry_safety;
        if may_have_run && retry_safety == RetrySafety::Unsafe {
            self.spent_names.insert(open.name.clone());
        }
        Some(open)
    }
}

#[cfg(test)]
mod tests;
