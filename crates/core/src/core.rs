//! The broker's core: what is open, whatever wire it came on.
//!
//! It hands events to the decision module, one step at a time, and turns the module's actions into
//! [`Command`]s in terms of the outside: names, texts and values. It does no I/O and reads no clock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decide::snapshot::budgets::Spending;
use crate::decide::snapshot::{Snapshot, SnapshotError};
use crate::decide::{RETRY_AFTER_SHARE, Router};
use crate::gossip::{self, Gossip, Observation, short_id};
use crate::interface::*;
use crate::settings::{PeerSettings, SiteSettings};

/// Whom a query's final answer goes to: a number of the front's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyId(pub u64);

/// A part of a query as a front takes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewPart {
    /// The shard it asks.
    pub shard: u32,
    /// Its share of the weight.
    pub weight: f64,
    /// A rough guess at its work, where the client gives one.
    pub hint: Option<Duration>,
}

/// A query as a front takes it.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// Its external name, which no other open query bears.
    pub name: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; 0 where there are none.
    pub tenant: usize,
    /// What it asks about.
    pub key: Option<u64>,
    /// Whether its client marked it as a repetition.
    pub is_retry: bool,
    /// Time until its client gives up.
    pub time_left: Duration,
    /// Its idempotency key, in a keyed class.
    pub idempotency_key: Option<String>,
    /// What each part carries.
    pub body: String,
    /// Its parts, each of another shard.
    pub parts: Vec<NewPart>,
}

/// Why a query is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    /// As many queries and parts are open as may be.
    AtCapacity {
        /// How long the client should stay away; zero where clients are told no such time.
        retry_after: Duration,
    },
    /// A query of this name is open.
    NameInUse,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Answered, from the parts that are in.
    Answered {
        /// Whether the answer is marked whole.
        complete: bool,
        /// Shard and value of each part that is in, in the order asked; none for one that is not.
        values: Vec<(u32, Option<String>)>,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// For how long the client is asked to stay away.
        retry_after: Duration,
    },
    /// Failed, with no promise.
    Failed,
}

/// An attempt, as the module numbers it.
pub type AttemptId = (PartId, u32);

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct SendAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// To whom.
    pub server: ServerId,
    /// The query's name.
    pub query: Arc<str>,
    /// The shard asked.
    pub shard: u32,
    /// The query's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// What the part carries.
    pub body: Arc<str>,
    /// Its class's aim.
    pub aim: Duration,
    /// When the broker stops waiting.
    pub deadline: Time,
    /// After this it may not begin any more: the window in which a repeat is dropped is over.
    pub start_before: Option<Time>,
}

/// What the loop is to do, in order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt; those of one step to one server share frames.
    Send(SendAttempt),
    /// Give an attempt up and bring back its outcome.
    Cancel(AttemptId),
    /// Take an attempt back if nothing of it has been written: its query is over.
    Withdraw(AttemptId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Probe a server.
    Probe(ServerId),
    /// Give a query its final answer.
    Finish(ReplyId, FinalAnswer),
    /// Bring back a timer of the module's.
    SetTimer(Time, TimerId),
    /// Bring back the deadline of a query.
    SetDeadline(Time, QueryId),
    /// Ask discovery anew.
    WatchServers,
}

/// A server as discovery or an inventory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, the same at every broker.
    pub name: String,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// When its process last started, if lately.
    pub started: Option<Time>,
}

/// The names of a query that was taken.
#[derive(Clone, Debug)]
pub struct QueryNames {
    /// The query.
    pub query: QueryId,
    /// Its external name.
    pub name: Arc<str>,
    /// Its idempotency key, in a keyed class.
    pub idempotency_key: Option<Arc<str>>,
}

/// All that a step was about, for whoever records it.
#[derive(Clone, Debug, Default)]
pub struct StepRecord {
    /// The step's number, from 1.
    pub sequence: u64,
    /// When it was.
    pub now: Time,
    /// What the module was told.
    pub events: Vec<Event>,
    /// What it asked for.
    pub actions: Vec<Action>,
    /// The names of the queries among the events.
    pub query_names: Vec<QueryNames>,
    /// Servers named since the last step.
    pub new_servers: Vec<(ServerId, String)>,
    /// Versions of the lists among the events.
    pub list_versions: Vec<u64>,
    /// Queries that were not taken since the last step, by class.
    pub not_accepted: Vec<(usize, NotAccepted)>,
    /// What the broker has to say of itself.
    pub note: String,
}

struct Open {
    name: Arc<str>,
    ticket: ReplyId,
    class: usize,
    idempotency: Option<Arc<str>>,
    text: Arc<str>,
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
    /// Attempts so far.
    attempts: u32,
}

struct Attempt {
    sent: Time,
    server: ServerId,
    class: usize,
    /// Withdrawn as its server said nothing.
    silent: bool,
}

/// The core's state. See the module's page.
pub struct Core {
    settings: Arc<SiteSettings>,
    router: Router,
    queries: HashMap<QueryId, Open>,
    names: HashMap<Arc<str>, QueryId>,
    parts: HashMap<PartId, PartEntry>,
    attempts: HashMap<AttemptId, Attempt>,
    servers: HashMap<ServerId, String>,
    ids: HashMap<String, ServerId>,
    listed: HashMap<ServerId, ServerState>,
    /// Listed servers by the half of the id that brokers use among each other.
    shorts: HashMap<u32, ServerId>,
    events: Vec<Event>,
    actions: Vec<Action>,
    last_id: u64,
    /// Attempts of queries that are over: they are taken back where nothing of them was written.
    over: Vec<AttemptId>,
    /// What has gathered for whoever records, where anybody does.
    observed: Option<Box<StepRecord>>,
    sequence: u64,
    /// What this broker has to say to others, where it may.
    word: Option<Gossip>,
}

impl Core {
    /// A core with nothing open.
    ///
    /// # Errors
    ///
    /// When the module does not take its settings.
    pub fn new(settings: Arc<SiteSettings>, seed: u64) -> Result<Self, SettingsError> {
        let router = Router::new(settings.router.clone(), seed)?;
        let aim = settings.router.shortest_aim();
        let brokers = settings.router.front_nodes as usize;
        let word = |peers: PeerSettings| Gossip::new(peers.index, brokers, peers.price, aim, seed);
        let word = settings.peers.and_then(word);
        Ok(Core {
            settings,
            router,
            queries: HashMap::new(),
            names: HashMap::new(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            servers: HashMap::new(),
            ids: HashMap::new(),
            listed: HashMap::new(),
            shorts: HashMap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            last_id: 0,
            over: Vec::new(),
            observed: None,
            sequence: 0,
            word,
        })
    }

    /// What another process must know to take over from this one at `now`: what the module has learned.
    ///
    /// Ids of servers are hashes of their names, so they mean the same there. Nothing is handed over of queries,
    /// not of keyed or unsafe ones either:
    ///
    /// - A query that is open here is answered here, exactly once, and its parts go out again only from here:
    ///   `may_have_run` and [`SendAttempt::start_before`] are kept for each part of an open query and end with it, in `close`.
    /// - A client's own retry is a new query, whichever process takes it: no process keeps an idempotency key
    ///   beyond the query that brought it. The key goes out with each part, and the servers drop what they have
    ///   run under it within the class's window. That holds whichever process sent the first attempt.
    /// - A class that is [`RetrySafety::Unsafe`] has no key. A query of it that may have run ends as [`FinalAnswer::Failed`],
    ///   which invites no retry, and one that is [`FinalAnswer::Refused`] never ran.
    ///
    /// Word for other brokers that is not said yet is dropped, and ids of queries and parts start anew: they are
    /// names within one process.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        self.router.snapshot(now)
    }

    /// Takes over what another process has learned, before or after the first list of servers; see
    /// [`Router::restore`].
    ///
    /// # Errors
    ///
    /// When the snapshot does not fit the settings, is not sound, or a query was taken already. The core is
    /// unchanged then.
    pub fn restore(&mut self, now: Time, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        if self.last_id > 0 {
            return Err(SnapshotError::InUse);
        }
        self.router.restore(now, snapshot)
    }

    /// Another process of this broker spends in place of this one from now on; see [`Router::suspend_budgets`].
    pub fn hold_budgets_back(&mut self) {
        self.router.suspend_budgets();
    }

    /// What this process has spent from `since` on; see [`Router::spending`].
    pub fn spending(&self, now: Time, since: Time) -> Spending {
        self.router.spending(now, since)
    }

    /// Spends from now on, beyond what another process of this broker has spent; see [`Router::take_over_budgets`].
    ///
    /// # Errors
    ///
    /// When what was spent holds numbers that can't be true. The core is unchanged then.
    pub fn take_budgets_over(&mut self, now: Time, spending: &Spending) -> Result<(), SnapshotError> {
        self.router.take_over_budgets(now, spending)
    }

    /// The other process has ended without telling what it has spent; see [`Router::limit_budget_suspension`].
    pub fn recover_budgets(&mut self, now: Time) {
        self.router.limit_budget_suspension(now);
    }

    /// The listed servers that the module avoids at present; see [`Router::avoided`].
    pub fn avoided(&self) -> Vec<ServerId> {
        self.router.avoided()
    }

    /// Keeps what each step was about from now on, for [`Core::take_step_record`].
    pub fn enable_recording(&mut self) {
        self.observed = Some(Box::default());
    }

    /// What the last step was about. To be asked for after each step, or it adds up.
    pub fn take_step_record(&mut self) -> Option<StepRecord> {
        let observed = self.observed.as_mut()?;
        (observed.sequence > 0).then(|| std::mem::take(&mut **observed))
    }

    /// What the broker has to say of itself goes with the next step.
    pub fn add_note(&mut self, note: &str) {
        if let Some(observed) = &mut self.observed {
            if !observed.note.is_empty() {
                observed.note.push_str("; ");
            }
            observed.note.push_str(note);
        }
    }

    /// How long a client stays away that is refused before anything was decided: as long as the module says.
    fn hold_off(&self, class: usize) -> Duration {
        let module = &self.settings.router;
        module.classes[class].aim.mul_f64(RETRY_AFTER_SHARE).min(module.max_retry_after)
    }

    /// Takes a query: from here on it is owed exactly one final answer.
    ///
    /// # Errors
    ///
    /// When it is not taken.
    pub fn accept(&mut self, now: Time, query: NewQuery, ticket: ReplyId) -> Result<QueryId, NotAccepted> {
        let why = if self.queries.len() + self.parts.len() >= self.settings.max_open {
            Some(NotAccepted::AtCapacity { retry_after: self.hold_off(query.class) })
        } else {
            self.names.contains_key(query.name.as_str()).then_some(NotAccepted::NameInUse)
        };
        if let Some(why) = why {
            if let Some(observed) = &mut self.observed {
                observed.not_accepted.push((query.class, why));
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
        let idempotency: Option<Arc<str>> = query.idempotency_key.map(Into::into);
        if let Some(observed) = &mut self.observed {
            observed.query_names.push(QueryNames {
                query: id,
                name: name.clone(),
                idempotency_key: idempotency.clone(),
            });
        }
        let open = Open {
            name,
            ticket,
            class: query.class,
            idempotency,
            text: query.body.into(),
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

    /// The client of a query has left: nobody is owed an answer any more.
    pub fn client_gone(&mut self, id: QueryId) {
        if self.close(id).is_some() {
            self.events.push(Event::ClientGone(id));
        }
    }

    /// Whom the open query of this name is answered to.
    pub fn reply_id_of(&self, name: &str) -> Option<ReplyId> {
        Some(self.queries.get(self.names.get(name)?)?.ticket)
    }

    /// There is no time for what is open: each query fails.
    pub fn fail_open_queries(&mut self) -> Vec<Command> {
        let mut ids: Vec<QueryId> = self.queries.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.fail(id)).collect()
    }

    fn fail(&mut self, id: QueryId) -> Option<Command> {
        let open = self.close(id)?;
        self.events.push(Event::ClientGone(id));
        Some(Command::Finish(open.ticket, FinalAnswer::Failed))
    }

    /// Guards the rule that a query ends before its client's time does, should the module ever hold one
    /// longer: fails a query whose time is over.
    pub fn check_deadline(&mut self, now: Time, id: QueryId) -> Option<Command> {
        if self.queries.get(&id)?.ends_at > now {
            return None;
        }
        self.fail(id)
    }

    /// An attempt ended; any further end of it is disregarded.
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
        if let Some(word) = &mut self.word {
            // One that was withdrawn for the server's silence is as one that was never answered.
            let verdict = if attempt.silent { Verdict::NoAnswer } else { verdict };
            word.record(
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

    /// A probe ended.
    pub fn probed(&mut self, server: ServerId, verdict: Verdict, took: Duration, load: LoadReport) {
        self.events.push(Event::Probed { server, verdict, took, load });
    }

    /// Gives the datagrams for other brokers that are due, each with the numbers of those who are to hear it.
    pub fn take_gossip(&mut self, now: Time) -> Vec<(Vec<u8>, Vec<usize>)> {
        self.word.as_mut().map(|word| word.take_due(now)).unwrap_or_default()
    }

    /// When something is to be said at the latest.
    pub fn gossip_due(&self) -> Option<Time> {
        self.word.as_ref().and_then(Gossip::due)
    }

    /// Whether brokers may say anything to each other, and would.
    pub fn gossip_enabled(&self) -> bool {
        self.word.is_some()
    }

    /// Takes a datagram of another broker; what it says of servers that are not listed here is left out.
    pub fn receive_gossip(&mut self, bytes: &[u8]) {
        if self.word.is_none() {
            return;
        }
        for Observation { server, class, verdict, took } in gossip::decode(bytes) {
            let Some(server) = self.shorts.get(&server).copied() else { continue };
            self.events.push(Event::PeerOutcome { server, class, verdict, took });
        }
    }

    /// A timer of the module's fell due.
    pub fn timer(&mut self, timer: TimerId) {
        self.events.push(Event::Timer(timer));
    }

    /// Discovery can't be reached; the last list stays valid.
    pub fn servers_failed(&mut self) {
        self.events.push(Event::ServersFailed);
    }

    /// Takes a list of servers, whole or of changes, and gives who may no longer be sent anything. `version` is the
    /// list's number, for the record; `until` is when those that drain may be sent nothing more, where what the list
    /// says was told just now: whoever takes it ends them by then, if they still are [`Core::is_draining`].
    pub fn apply_server_list(
        &mut self,
        whole: bool,
        version: u64,
        members: &[Member],
        until: Option<Time>,
    ) -> Vec<ServerId> {
        if let Some(observed) = &mut self.observed {
            observed.list_versions.push(version);
        }
        let before = if whole { std::mem::take(&mut self.listed) } else { HashMap::new() };
        let mut stopped: Vec<ServerId> = Vec::new();
        let mut lines = Vec::with_capacity(members.len());
        for member in members {
            let server = self.server_id(&member.name);
            if member.state == ServerState::Removed {
                self.listed.remove(&server);
            } else {
                self.listed.insert(server, member.state);
            }
            let until = until.filter(|_| member.state == ServerState::Draining);
            if member.state != ServerState::Up && until.is_none() {
                stopped.push(server);
            }
            let zone = self.settings.zones.iter().position(|zone| *zone == member.zone);
            lines.push(ServerEntry {
                server,
                zone: zone.map_or(u32::MAX, |zone| zone as u32),
                cell: member.cell,
                state: member.state,
                started: member.started,
                send_until: until,
            });
        }
        if whole {
            // A full list drops those that are absent.
            stopped.extend(before.into_keys().filter(|server| !self.listed.contains_key(server)));
            lines.retain(|line| line.state != ServerState::Removed);
            self.events.push(Event::Servers(lines));
        } else {
            self.events.push(Event::ServersChanged(lines));
        }
        // Names that are gone do not come back: kept, they would add up over a long day.
        self.ids.retain(|_, id| self.listed.contains_key(id));
        self.servers.retain(|id, _| self.listed.contains_key(id));
        self.shorts = self.listed.keys().map(|id| (short_id(*id), *id)).collect();
        stopped
    }

    /// The id of a server: from its name alone, so that all brokers send a key to the same home.
    pub fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let mut id = ServerId(hash);
        while self.servers.contains_key(&id) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.servers.insert(id, name.to_owned());
        if let Some(observed) = &mut self.observed {
            observed.new_servers.push((id, name.to_owned()));
        }
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Whether a server drains, as far as the list says.
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.listed.get(&server) == Some(&ServerState::Draining)
    }

    /// How many servers are listed as running, and how many as draining.
    pub fn server_counts(&self) -> (usize, usize) {
        let up = self.listed.values().filter(|state| **state == ServerState::Up).count();
        (up, self.listed.len() - up)
    }

    /// Whether a server that runs is listed.
    pub fn can_serve(&self) -> bool {
        self.server_counts().0 > 0
    }

    /// Whether a part's query is open.
    pub fn is_part_open(&self, part: PartId) -> bool {
        self.parts.contains_key(&part)
    }

    /// Queries that are owed an answer.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Whether anything has happened since the last step.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// The attempts of queries that have ended since the last step, to be taken back where nothing of them was written.
    pub fn withdraw_ended(&mut self) -> impl Iterator<Item = Command> + use<> {
        std::mem::take(&mut self.over).into_iter().map(Command::Withdraw)
    }

    /// Hands all that has happened to the module and gives what it wants done.
    pub fn step(&mut self, now: Time, commands: &mut Vec<Command>) {
        let mut events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        for event in &mut events {
            // A client's time has gone on since its query was taken: the module counts from the step.
            if let Event::Query(query) = event
                && let Some(open) = self.queries.get(&query.id)
            {
                query.time_left = open.ends_at.since(now);
            }
        }
        self.router.step(now, &events, &mut actions);
        for event in &events {
            // A query's deadline is set once the module has seen it.
            if let Event::Query(query) = event
                && let Some(open) = self.queries.get(&query.id)
            {
                commands.push(Command::SetDeadline(open.ends_at, query.id));
            }
        }
        self.sequence += 1;
        match &mut self.observed {
            Some(observed) => {
                (observed.sequence, observed.now) = (self.sequence, now);
                // Moved and not copied: the next step begins with an empty one either way.
                observed.events = std::mem::take(&mut events);
                observed.actions.clone_from(&actions);
            }
            None => events.clear(),
        }
        for action in actions.drain(..) {
            commands.extend(self.carry_out(now, action));
        }
        commands.extend(self.withdraw_ended());
        // What was refused on the spot came in meanwhile.
        events.append(&mut self.events);
        (self.events, self.actions) = (events, actions);
    }

    fn carry_out(&mut self, now: Time, action: Action) -> Option<Command> {
        Some(match action {
            Action::Send { part, server, timeout: time_out, .. } => {
                return self.send(now, part, server, time_out);
            }
            Action::Cancel { part, attempt, why } => {
                self.attempts.get_mut(&(part, attempt))?.silent = why == CancelReason::Unresponsive;
                Command::Cancel((part, attempt))
            }
            Action::CloseIdle { server } => Command::CloseIdle(server),
            Action::Probe { server } => Command::Probe(server),
            Action::Answer { query, complete: whole, .. } => {
                let open = self.close(query)?;
                let values = open.parts.into_iter().map(|part| (part.shard, part.value)).collect();
                Command::Finish(open.ticket, FinalAnswer::Answered { complete: whole, values })
            }
            Action::Refuse { query, retry_after: hold_off, .. } => {
                Command::Finish(self.close(query)?.ticket, FinalAnswer::Refused { retry_after: hold_off })
            }
            Action::Fail { query, .. } => Command::Finish(self.close(query)?.ticket, FinalAnswer::Failed),
            Action::SetTimer { timer, at } => Command::SetTimer(at, timer),
            Action::WatchServers => Command::WatchServers,
        })
    }

    fn send(&mut self, now: Time, part: PartId, server: ServerId, time_out: Duration) -> Option<Command> {
        let entry = self.parts.get_mut(&part)?;
        let open = self.queries.get(&entry.query)?;
        let number = entry.attempts;
        entry.attempts += 1;
        let class = open.class;
        let latest = match self.settings.router.classes[class].retry_safety {
            RetrySafety::Keyed(window) => {
                open.parts[entry.index].may_have_run.map(|first| first.after(window))
            }
            RetrySafety::Safe | RetrySafety::Unsafe => None,
        };
        self.attempts.insert((part, number), Attempt { sent: now, server, class, silent: false });
        Some(Command::Send(SendAttempt {
            attempt: (part, number),
            server,
            query: open.name.clone(),
            shard: open.parts[entry.index].shard,
            idempotency_key: open.idempotency.clone(),
            body: open.text.clone(),
            aim: self.settings.router.classes[class].aim,
            deadline: now.after(time_out).min(open.ends_at),
            start_before: latest,
        }))
    }

    /// Ends a query: whoever gets it here is the only one to answer it.
    fn close(&mut self, id: QueryId) -> Option<Open> {
        let open = self.queries.remove(&id)?;
        self.names.remove(&open.name);
        for part in &open.parts {
            let attempts = self.parts.remove(&part.id).map_or(0, |entry| entry.attempts);
            let out = (0..attempts).map(|number| (part.id, number));
            self.over.extend(out.filter(|attempt| self.attempts.contains_key(attempt)));
        }
        Some(open)
    }
}

#[cfg(test)]
mod tests;
