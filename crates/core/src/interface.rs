//! Data types of the router's interface: settings, events, actions, and the ids and times they carry.
//!
//! The router itself is in [`crate::decide`].

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment on the caller's clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` after this one, saturating at the maximum.
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }

    /// Returns the moment `span` before this one, saturating at the origin.
    pub fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// Id of a query; never reused.
    QueryId(u64);
    /// Number by which parts refer to their query.
    QueryNumber(u64);
    /// Id of a part; never reused.
    PartId(u64);
    /// Id of a server. It survives a restart of the process; a replacement machine gets a new one.
    ServerId(u64);
    /// Id of a shard.
    ShardId(u32);
    /// Id of a timer, assigned by the router.
    TimerId(u64);
}

/// Whether a part of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Repeated execution is harmless.
    Safe,
    /// Servers deduplicate by idempotency key for this long after the first attempt that may have run.
    Keyed(Duration),
    /// Every execution has its own side effect.
    Unsafe,
}

/// A class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Target response time: an answer within it earns the full worth.
    pub aim: Duration,
    /// Total time a client waits, over all its retries.
    pub deadline: Duration,
    /// Worth of a complete answer within the aim.
    pub worth: f64,
    /// Fraction of the worth that a later answer earns.
    pub late_share: f64,
    /// Whether parts may be retried after an attempt that may have run.
    pub retry_safety: RetrySafety,
    /// Share of the first step's weight at which an answer counts as complete.
    pub need: f64,
    /// Minimum share of the weight for any answer.
    pub floor: f64,
    /// Worth of a partial answer, before it is scaled by the answer's share divided by the need.
    pub partial_worth: f64,
    /// Number of parts in the second step; 0 if the class has only one step.
    pub follow_up: u32,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Queries per second within the tenant's quota, over all front nodes.
    pub quota_per_second: f64,
}

/// Budget for further attempts, that is, attempts of a part after its first one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Length of the sliding window over which attempts are counted.
    pub window: Duration,
    /// Further attempts allowed in any window regardless of traffic.
    pub free: f64,
    /// Further attempts allowed for each query or part accepted in the window.
    pub share: f64,
}

/// Load limits for a server that has just started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// Minimum fraction of its capacity that a server has at start.
    pub from: f64,
    /// Time after which a server is warm at the latest.
    pub warm_after: Duration,
    /// A cold server is overloaded when sent this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... during a window of this length.
    pub window: Duration,
}

/// Load reported by a server; `None` for values that were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in the server, running or waiting.
    pub held: Option<f64>,
    /// Number of requests waiting.
    pub waiting: Option<f64>,
    /// CPU utilisation, as a fraction.
    pub utilisation: Option<f64>,
    /// Recent service time without queueing, in seconds.
    pub service_seconds: Option<f64>,
}

/// Configuration of a router. The default value is empty and does not pass [`Settings::validate`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of front nodes (brokers) that route to the same servers, including this one.
    pub front_nodes: u32,
    /// Zone of this front node.
    pub zone: u32,
    /// Query classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a query beyond its tenant's quota, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Total number of shards.
    pub shards: u32,
    /// Number of server cells. A shard is held by the cells `(shard + j) % cells` for `j` below `width`.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub width: u32,
    /// Maximum number of parts in one call.
    pub batch: u32,
    /// Server work per call, in addition to that of its parts.
    pub call_cost: Duration,
    /// Minimum time between two steps.
    pub tick: Duration,
    /// Part of a client's time that passes before its query is accepted and after its answer is sent, which
    /// the router cannot observe. [`Query::time_left`] already excludes it; the aim of a class does not.
    pub network_allowance: Duration,
    /// Maximum number of attempts per part.
    pub max_attempts: u32,
    /// Whether hedging is allowed: two attempts of one part in flight at once.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancel: bool,
    /// Whether clients mark their retries.
    pub retries_marked: bool,
    /// Longest retry-after time that clients respect; zero if they are not sent one.
    pub max_retry_after: Duration,
    /// Whether the server list is sent only on request, rather than pushed.
    pub list_on_request: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether only probe results carry load reports.
    pub reports_by_probe: bool,
    /// Whether load reports include the number of requests waiting or held.
    pub reports_queue: bool,
    /// Budget for further attempts; `None` if unlimited.
    pub budget: Option<Budget>,
    /// Cost of sending a part to another zone, as a fraction of the worth of a part.
    pub cross_zone_price: f64,
    /// Cost of a new connection, as a fraction of the worth of a part.
    pub handshake_price: f64,
    /// Load limits for servers that have just started.
    pub cold: ColdStart,
}

/// An invalid field of [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Constraint that it violates.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns the shortest aim of any class, or zero if there are no classes.
    pub fn shortest_aim(&self) -> Duration {
        self.classes.iter().map(|class| class.aim).min().unwrap_or_default()
    }

    /// Returns the longest window over which further attempts or sends to cold servers are counted.
    pub fn longest_budget_window(&self) -> Duration {
        self.budget.map_or(Duration::ZERO, |budget| budget.window).max(self.cold.window)
    }

    /// Returns the cells whose servers hold a shard.
    pub fn cells_of(&self, shard: ShardId) -> impl Iterator<Item = u32> + use<> {
        let (first, cells) = (u64::from(shard.0), u64::from(self.cells.max(1)));
        (0..u64::from(self.width)).map(move |j| ((first + j) % cells) as u32)
    }

    /// Checks that every field is in its valid range.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns every invalid field.
    pub fn errors(&self) -> Vec<SettingsError> {
        let finite = |x: f64| x.is_finite() && x >= 0.0;
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        let checks = [
            ("front_nodes", self.front_nodes > 0, "must be at least 1"),
            ("classes", !self.classes.is_empty(), "must not be empty"),
            ("classes.aim", self.classes.iter().all(|c| !c.aim.is_zero()), "must be above zero"),
            ("classes.deadline", self.classes.iter().all(|c| !c.deadline.is_zero()), "must be above zero"),
            ("classes.worth", self.classes.iter().all(|c| finite(c.worth)), "must be a finite amount"),
            ("classes.late_share", self.classes.iter().all(|c| fraction(c.late_share)), "must be in 0..=1"),
            ("classes.need", self.classes.iter().all(|c| fraction(c.need)), "must be in 0..=1"),
            ("classes.floor", self.classes.iter().all(|c| fraction(c.floor)), "must be in 0..=1"),
            (
                "classes.partial_worth",
                self.classes.iter().all(|c| finite(c.partial_worth)),
                "must be a finite amount",
            ),
            (
                "tenants.quota_per_second",
                self.tenants.iter().all(|t| finite(t.quota_per_second)),
                "must be a finite rate",
            ),
            ("cross_zone_price", finite(self.cross_zone_price), "must be a finite amount"),
            ("handshake_price", finite(self.handshake_price), "must be a finite amount"),
            ("over_share_worth", finite(self.over_share_worth), "must be a finite amount"),
            ("shards", self.shards > 0, "must be at least 1"),
            ("cells", self.cells > 0, "must be at least 1"),
            ("width", (1..=self.cells).contains(&self.width), "must be in 1..=cells"),
            ("batch", self.batch > 0, "must be at least 1"),
            ("tick", !self.tick.is_zero(), "must be above zero"),
            ("max_attempts", self.max_attempts > 0, "must be at least 1"),
            (
                "budget",
                self.budget.is_none_or(|b| finite(b.free) && finite(b.share) && !b.window.is_zero()),
                "must have a window and finite amounts",
            ),
            ("cold.from", fraction(self.cold.from), "must be in 0..=1"),
            ("cold.fall_multiple", finite(self.cold.fall_multiple), "must be a finite amount"),
        ];
        let failed = checks.into_iter().filter(|(_, valid, _)| !valid);
        failed.map(|(field, _, problem)| SettingsError { field, problem }).collect()
    }
}

/// An accepted query. Its parts follow in the same step.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Id of the query.
    pub id: QueryId,
    /// Number by which its parts refer to it.
    pub number: QueryNumber,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Routing key, if the deployment uses keys.
    pub key: Option<u64>,
    /// Whether its client marked it as a retry.
    pub is_retry: bool,
    /// Time until its client gives up on this try.
    pub time_left: Duration,
}

/// A part of a query, in its first or second step.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Number of its query.
    pub query: QueryNumber,
    /// Shard that it reads or writes.
    pub shard: ShardId,
    /// Share of the step's weight.
    pub weight: f64,
    /// Rough estimate of its server work, if given.
    pub hint: Option<Duration>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server answered with a result.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// The server rejected it without running it, because its queue was full or it was draining.
    Rejected,
    /// No answer before the timeout; it may have run, or may still run.
    NoAnswer,
    /// No connection before the timeout; it never ran.
    NoConnection,
    /// The connection was lost; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Verdict {
    /// Returns whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Verdict::Rejected | Verdict::NoConnection | Verdict::NotSent)
    }
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Running.
    #[default]
    Up,
    /// Completing its work; nothing new may be sent to it.
    Draining,
    /// No longer present.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: u32,
    /// Cell of the server.
    pub cell: u32,
    /// State of the server.
    pub state: ServerState,
    /// When its process last started, if recently.
    pub started: Option<Time>,
    /// End of the grace period during which a server that has just begun to drain may still be sent attempts.
    pub send_until: Option<Time>,
}

/// An input to the router: something that happened since the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A query was accepted.
    Query(Query),
    /// A part of a query was accepted.
    Part(Part),
    /// An attempt ended; every attempt ends exactly once.
    Outcome {
        /// Part of the attempt.
        part: PartId,
        /// Number of the attempt, counted from 0 in the order in which the part's attempts were sent.
        attempt: u32,
        /// How the attempt ended.
        verdict: Verdict,
        /// Time since it was sent.
        took: Duration,
        /// Load that the server reported with the answer.
        load: LoadReport,
    },
    /// A probe of a server ended; every probe ends exactly once.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// How the probe ended.
        verdict: Verdict,
        /// Time since it was sent.
        took: Duration,
        /// Load that the server reported with the answer.
        load: LoadReport,
    },
    /// The client of a query disconnected; the query and its parts have ended.
    ClientGone(QueryId),
    /// A timer expired.
    Timer(TimerId),
    /// The full server list; servers that are not in it are gone.
    Servers(Vec<ServerEntry>),
    /// The entries of the server list that changed.
    ServersChanged(Vec<ServerEntry>),
    /// The server list could not be fetched; the last one stays valid.
    ServersFailed,
    /// Another front node reported how one of its own attempts ended.
    PeerOutcome {
        /// Server of the attempt.
        server: ServerId,
        /// Class of the query.
        class: usize,
        /// How the attempt ended.
        verdict: Verdict,
        /// Time since it was sent.
        took: Duration,
    },
}

/// Why a part was not sent to its home replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BypassReason {
    /// This front node has enough calls in flight there.
    Busy,
    /// Another replica is predicted to be considerably faster.
    Slow,
    /// Its predicted time exceeds the time left.
    Late,
    /// Recent attempts there failed, hung or lost their connection.
    Suspect,
    /// It is draining.
    Draining,
    /// It has just started and has already been sent as much as it may take.
    Cold,
    /// An attempt of the part was or is there.
    Tried,
    /// An attempt of the part there was cancelled because the server did not respond.
    Unresponsive,
}

/// Why a part is sent to a particular replica. Informational only; no decision depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Replica chosen by the hash among all that are listed.
    pub home: ServerId,
    /// Why the home replica was bypassed; `None` if the part goes there.
    pub bypassed: Option<BypassReason>,
    /// Upper estimate of the part's time at the chosen replica, in seconds.
    pub predicted: f32,
    /// Time the part was allowed when it was sent, in seconds.
    pub allowed: f32,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The query has ended.
    QueryEnded,
    /// The server has answered nothing since the attempt was sent, and another replica may.
    Unresponsive,
}

/// Why a part has no result when its query ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingReason {
    /// No decision was made on it.
    #[default]
    Undecided,
    /// An attempt is in flight.
    InFlight,
    /// No replica was predicted to serve it in the time left.
    Late,
    /// No replica is listed, running and open to new attempts.
    NoReplica,
    /// The maximum number of attempts has been made.
    AttemptsExhausted,
    /// It may have run and must not be executed twice.
    UnsafeToRetry,
    /// The budget for further attempts is exhausted.
    BudgetExhausted,
    /// It could have been sent, but too few of the query's other parts could.
    Withheld,
}

/// What made a query end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All results needed for a complete answer have arrived.
    Complete,
    /// The aim or the client's deadline was reached.
    TimeUp,
    /// The results that can still arrive are below the floor of any answer.
    BelowFloor,
    /// No attempt is in flight and none will be sent.
    NothingInFlight,
}

/// Details of how a query ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// What made the query end.
    pub cause: Cause,
    /// Parts without a result, and why.
    pub missing: Vec<(PartId, MissingReason)>,
}

/// An instruction to the caller. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part. Attempts of one step to one server share calls.
    Send {
        /// Part to send.
        part: PartId,
        /// Destination.
        server: ServerId,
        /// Time after which the attempt is abandoned.
        timeout: Duration,
        /// Why this server was chosen.
        why: Choice,
    },
    /// Close the idle connections to a server; attempts in flight on others continue.
    CloseIdle {
        /// Server whose connections to close.
        server: ServerId,
    },
    /// Probe a server and report [`Event::Probed`].
    Probe {
        /// Server to probe.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Part of the attempt.
        part: PartId,
        /// Number of the attempt.
        attempt: u32,
        /// Why it is cancelled.
        why: CancelReason,
    },
    /// Answer a query from the results that have arrived. A second step may follow.
    Answer {
        /// Query to answer.
        query: QueryId,
        /// Whether the answer is marked as complete.
        complete: bool,
        /// Why it ends now.
        why: Ending,
    },
    /// Refuse a query: its client may safely retry.
    Refuse {
        /// Query to refuse.
        query: QueryId,
        /// Time the client should wait before it retries.
        retry_after: Duration,
        /// Why it is refused.
        why: Ending,
    },
    /// Fail a query. It may have run, so the client must not assume that a retry is safe.
    Fail {
        /// Query to fail.
        query: QueryId,
        /// Why it fails.
        why: Ending,
    },
    /// Report [`Event::Timer`] in the first step at or after this time.
    SetTimer {
        /// Id of the timer.
        timer: TimerId,
        /// When it expires.
        at: Time,
    },
    /// Subscribe to the server list.
    WatchServers,
}
