//! The decision module's interface: settings, events, actions, and the ids and times they carry.
//!
//! Everything here is data. The decisions are in [`crate::decide`].

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment on the caller's clock, in nanoseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The time from `earlier` to this moment, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` after this one.
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }

    /// The moment `span` before this one, or the origin.
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
    /// A query's id, never used again.
    QueryId(u64);
    /// The number under which a query's parts name it.
    QueryNumber(u64);
    /// A part's id, never used again.
    PartId(u64);
    /// A server. A restarted process keeps its id; a machine that replaces it has a new one.
    ServerId(u64);
    /// A shard.
    ShardId(u32);
    /// A timer, as the module named it.
    TimerId(u64);
}

/// What repeating a part of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Repeats do no harm.
    Safe,
    /// Servers drop a repeat for this long after the first attempt that may have run.
    Keyed(Duration),
    /// Every run has an effect of its own.
    Unsafe,
}

/// A class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Duration,
    /// A client's whole patience, over all its tries.
    pub deadline: Duration,
    /// Worth of a whole answer within the aim.
    pub worth: f64,
    /// Fraction of the worth that a later answer earns.
    pub late_share: f64,
    /// What a repeat may do.
    pub retry_safety: RetrySafety,
    /// Share of the first step's weight that makes an answer whole.
    pub need: f64,
    /// Least share of the weight that any answer may rest on.
    pub floor: f64,
    /// An answer that is not whole earns this, times its share over the need.
    pub partial_worth: f64,
    /// Parts of a second step; 0 where there is none.
    pub follow_up: u32,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Queries a second over all front nodes that are within its share.
    pub quota_per_second: f64,
}

/// The budget of further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The window that counts.
    pub window: Duration,
    /// Further attempts allowed in any window, however light the traffic.
    pub free: f64,
    /// Further attempts allowed for each query or part taken in the window.
    pub share: f64,
}

/// How a server that has just started must be treated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// It starts at this fraction of its capacity or above.
    pub from: f64,
    /// It is warm after this long at the latest.
    pub warm_after: Duration,
    /// It falls over when sent this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over a window of this length.
    pub window: Duration,
}

/// What a server reports of its load; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests held.
    pub held: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Fraction of its CPU in use.
    pub utilisation: Option<f64>,
    /// Recent service time without waiting, in seconds.
    pub service_seconds: Option<f64>,
}

/// All that a router is told at its start. The default is empty, and no router takes it as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Front nodes that route to the same servers, this one included.
    pub front_nodes: u32,
    /// This front node's zone.
    pub zone: u32,
    /// Classes of query, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a query beyond its tenant's share, as a fraction of its class's.
    pub over_share_worth: f64,
    /// Shards in all.
    pub shards: u32,
    /// Cells of servers. A shard is held by the cells `(shard + j) % cells` for `j` below `width`.
    pub cells: u32,
    /// Consecutive cells that hold a shard.
    pub width: u32,
    /// Most parts in one call.
    pub batch: u32,
    /// Work a call costs a server beside that of its parts.
    pub call_cost: Duration,
    /// Shortest time between two steps.
    pub tick: Duration,
    /// What passes of a client's time before its query is taken and after its answer is given, unseen here. The
    /// time left that comes with a query is less this already; its class's aim is not.
    pub network_allowance: Duration,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// Whether two attempts of one part may be out at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether clients mark their repetitions.
    pub retries_marked: bool,
    /// Longest hold-off that clients heed; zero where they are told none.
    pub max_retry_after: Duration,
    /// Whether the list of servers comes only when asked for.
    pub list_on_request: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether load reports come with the results of probes alone.
    pub reports_by_probe: bool,
    /// Whether load reports tell how many requests wait or are held.
    pub reports_queue: bool,
    /// Budget of further attempts, where there is one.
    pub budget: Option<Budget>,
    /// What a part that crosses zones costs, as a fraction of the worth of a part.
    pub cross_zone_price: f64,
    /// What a new connection costs, as a fraction of the worth of a part.
    pub handshake_price: f64,
    /// Figures of servers that have just started.
    pub cold: ColdStart,
}

/// Why a router could not be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The shortest aim of any class.
    pub fn shortest_aim(&self) -> Duration {
        self.classes.iter().map(|class| class.aim).min().unwrap_or_default()
    }

    /// For how long what is spent on cold servers, or on further attempts, counts at the most.
    pub fn longest_budget_window(&self) -> Duration {
        self.budget.map_or(Duration::ZERO, |budget| budget.window).max(self.cold.window)
    }

    /// The cells whose servers hold a shard.
    pub fn cells_of(&self, shard: ShardId) -> impl Iterator<Item = u32> + use<> {
        let (first, cells) = (u64::from(shard.0), u64::from(self.cells.max(1)));
        (0..u64::from(self.width)).map(move |j| ((first + j) % cells) as u32)
    }

    /// Tells whether the settings can be true.
    ///
    /// # Errors
    ///
    /// Names the first field that cannot be.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Every field that cannot be true.
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
        let faulty = checks.into_iter().filter(|(_, holds, _)| !holds);
        faulty.map(|(field, _, fault)| SettingsError { field, problem: fault }).collect()
    }
}

/// A query taken in. Its parts follow in the same step.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// The number that its parts bear.
    pub number: QueryNumber,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// What it asks about, where the site has keys.
    pub key: Option<u64>,
    /// Whether its client marked it as a repetition.
    pub is_retry: bool,
    /// Time until its client gives up this try.
    pub time_left: Duration,
}

/// A part of a query, of its first step or its second.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Its id.
    pub id: PartId,
    /// Number of its query.
    pub query: QueryNumber,
    /// The shard it asks.
    pub shard: ShardId,
    /// Its share of the step's weight.
    pub weight: f64,
    /// A rough guess at its work, where there is one.
    pub hint: Option<Duration>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen: a full queue, or draining.
    Rejected,
    /// No answer in time; it may have run, or may yet.
    NoAnswer,
    /// No connection in time; it never ran.
    NoConnection,
    /// The connection was lost; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Verdict {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Verdict::Rejected | Verdict::NoConnection | Verdict::NotSent)
    }
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Runs.
    #[default]
    Up,
    /// Completes its work and must be sent nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// A line of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// When its process last started, if lately.
    pub started: Option<Time>,
    /// Until when it may still be sent anything, where it drains and this was told just now.
    pub send_until: Option<Time>,
}

/// What happened since the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A query was taken in.
    Query(Query),
    /// A part of a query.
    Part(Part),
    /// An attempt ended; every attempt ends exactly once.
    Outcome {
        /// The part.
        part: PartId,
        /// Number of the attempt, in the order of the part's sends from 0.
        attempt: u32,
        /// How it ended.
        verdict: Verdict,
        /// Time since it was sent.
        took: Duration,
        /// The server's load, where it came along.
        load: LoadReport,
    },
    /// A probe of a server ended; every probe ends exactly once.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        verdict: Verdict,
        /// Time since it was sent.
        took: Duration,
        /// The server's load, where it came along.
        load: LoadReport,
    },
    /// The client of a query left; the query and its parts are over.
    ClientGone(QueryId),
    /// A timer fell due.
    Timer(TimerId),
    /// The whole list of servers; one that is absent is gone.
    Servers(Vec<ServerEntry>),
    /// The lines of the list that changed.
    ServersChanged(Vec<ServerEntry>),
    /// The list could not be had; the last one stays valid.
    ServersFailed,
    /// Another front node tells how an attempt of its own ended.
    PeerOutcome {
        /// The server.
        server: ServerId,
        /// The class asked.
        class: usize,
        /// How it ended.
        verdict: Verdict,
        /// Time since it was sent.
        took: Duration,
    },
}

/// Why a part's home replica was left for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BypassReason {
    /// Enough own calls are out there.
    Busy,
    /// Another is predicted to be so much faster.
    Slow,
    /// Its prediction is over what is left.
    Late,
    /// It failed, hung or was lost lately.
    Suspect,
    /// It drains.
    Draining,
    /// It has just started, and has been sent what it may take.
    Cold,
    /// The part was there before, or is.
    Tried,
    /// The part was there before and taken back, as nothing was heard.
    Unresponsive,
}

/// Why a part is sent where it is. It tells what was decided and changes nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The replica that the hash gives, among all that are listed.
    pub home: ServerId,
    /// Why that was left; none where the part goes there.
    pub bypassed: Option<BypassReason>,
    /// Upper estimate of the part's time at the replica chosen, in seconds.
    pub predicted: f32,
    /// What it was allowed at that moment, in seconds.
    pub allowed: f32,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its query has ended.
    QueryEnded,
    /// Its server has answered nothing since it was sent, and another may.
    Unresponsive,
}

/// Why a part is not in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingReason {
    /// Nothing was decided on it.
    #[default]
    Undecided,
    /// An attempt is out.
    InFlight,
    /// No replica was predicted to serve it in what was left.
    Late,
    /// No replica is listed, up, and may be sent anything.
    NoReplica,
    /// Its attempts are spent.
    AttemptsExhausted,
    /// It may have run, and must not be sent again.
    UnsafeToRetry,
    /// The budget of further attempts is spent.
    BudgetExhausted,
    /// It could have been sent, but too few others could.
    Withheld,
}

/// What made a query end when it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All that a whole answer needs is in.
    Complete,
    /// Its time is up: the aim's, or its client's.
    TimeUp,
    /// What can still come in is less than any answer may rest on.
    BelowFloor,
    /// Nothing is out, and nothing more will be sent.
    NothingInFlight,
}

/// Why a query ends as it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// What made it end.
    pub cause: Cause,
    /// The parts that are not in, and why.
    pub missing: Vec<(PartId, MissingReason)>,
}

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part. Those of one step to one server share calls.
    Send {
        /// The part.
        part: PartId,
        /// To whom.
        server: ServerId,
        /// When the attempt is given up.
        timeout: Duration,
        /// Why there.
        why: Choice,
    },
    /// Close the idle connections to a server; what is out on others goes on.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Probe a server and bring back [`Event::Probed`].
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        why: CancelReason,
    },
    /// Answer a query from the parts that are in. A second step may follow.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer is marked whole.
        complete: bool,
        /// Why now.
        why: Ending,
    },
    /// Refuse a query: its client may safely come back.
    Refuse {
        /// The query.
        query: QueryId,
        /// How long the client should stay away.
        retry_after: Duration,
        /// Why.
        why: Ending,
    },
    /// Fail a query, promising nothing.
    Fail {
        /// The query.
        query: QueryId,
        /// Why.
        why: Ending,
    },
    /// Bring back [`Event::Timer`] in the first step at or after this time.
    SetTimer {
        /// The timer.
        timer: TimerId,
        /// When it falls due.
        at: Time,
    },
    /// Subscribe to the list of servers.
    WatchServers,
}
