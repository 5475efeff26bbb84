//! Scenarios as operators write them: the fleet, its load, and a timeline of faults. The whole file is
//! checked, and every error is reported with its line and key.

mod checks;
mod file;

use std::fmt;
use std::time::Duration;

use serde::Deserialize;

/// Time limit for a draining broker to close its clients' connections.
pub const DRAIN_TIME_LIMIT: Duration = Duration::from_secs(4);

/// An error in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The file and the line.
    pub location: String,
    /// The key; empty if the file can't be parsed.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.location, self.problem),
            key => write!(f, "{}: {key}: {}", self.location, self.problem),
        }
    }
}

impl std::error::Error for ScenarioError {}

/// A scenario. Fields are named after the keys of the file where they hold the same value.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Number of broker processes.
    pub brokers: usize,
    /// Number of tile servers at the start.
    pub servers: usize,
    /// Number of zones; servers and brokers are assigned to them round-robin.
    pub zones: usize,
    /// Number of cells: servers `n`, `n + cells` and so on belong to cell `n`.
    pub cells: usize,
    /// Number of cells that hold each tile block.
    pub width: usize,
    /// Mean queries per second and broker. The brokers' rates differ, from half to twice that.
    pub rate: f64,
    /// Parts per query.
    pub parts: usize,
    /// How long clients send queries, in seconds.
    pub seconds: u64,
    /// Seed of everything random.
    pub seed: u64,
    /// Parameters of the tile servers.
    pub tile: TileServerParameters,
    /// Whether brokers have to request the server list; otherwise discovery pushes it.
    pub on_request: bool,
    /// Whether discovery sends its lists indented, in small chunks.
    pub indented: bool,
    /// Whether brokers have a persistent store.
    pub store: bool,
    /// Whether clients reuse connections for further requests.
    pub pooled: bool,
    /// Share of the queries that belong to an unsafe class, whose parts must not run twice.
    pub unsafe_share: f64,
    /// Share of the queries whose clients disconnect before the answer, write slowly, or stop in the middle
    /// of a request.
    pub unruly: f64,
    /// Window in which servers drop a duplicate of a keyed query.
    pub idempotency_window: Duration,
    /// Whether a broker that was told to end is killed as early as the platform may kill it; otherwise it
    /// gets longer, and counts as hung if it has not ended by then.
    pub kills_early: bool,
    /// The timeline, in the order of the file.
    pub events: Vec<Event>,
}

/// Parameters of each tile server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TileServerParameters {
    /// Parts processed at once.
    pub workers: usize,
    /// Mean processing time of a part on a warm server.
    pub mean_service_time: Duration,
    /// Most parts that wait for a worker.
    pub queue_limit: usize,
    /// Most open connections.
    pub max_connections: usize,
    /// Time from a server's start until it is warm.
    pub warm_up_time: Duration,
    /// Speed right after the start, as a share of a warm server's.
    pub cold_from: f64,
    /// A cold server crashes when it gets this multiple of the work that it can do.
    pub fall_multiple: f64,
    /// Longest delay before it reads from a connection.
    pub read_lag: Duration,
}

/// An event of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time since the clients' start.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}

/// What an event does. Variants are named after the keys of the file. `share` is a share of all brokers or
/// servers, `interval` the time between two of them, and `duration` the time until the fault is removed.
#[allow(missing_docs)] // The variants' comments describe their fields.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills brokers at the same time, and starts them again `restart_delay` later.
    Kill { share: f64, restart_delay: Duration },
    /// Restarts all brokers by SIGTERM, in groups of `share` of them.
    Roll { share: f64, interval: Duration },
    /// Upgrades brokers one after the other: a second process takes over from the running one.
    Upgrade { brokers: Brokers, interval: Duration },
    /// Drains brokers, one after the other; each takes clients again after `duration`.
    Drain { brokers: Brokers, interval: Duration, duration: Duration },
    /// Pauses brokers (SIGSTOP, SIGCONT).
    Pause { share: f64, duration: Duration },
    /// Delays brokers right before every n-th of the writes that withdraw a part, as a busy machine may do
    /// between the reading of a clock and a system call.
    Hold { share: f64, delay: Duration, every_nth: u64, duration: Duration },
    /// Wipes the brokers' stores or truncates them to half their length, where they have one. A running
    /// broker keeps its store open, so this is meant for brokers that were killed.
    Stores { share: f64, truncate: bool },
    /// Moves discovery to another address: brokers get a new configuration file and SIGHUP.
    Reload,
    /// Sends brokers these signals, `interval` apart. After a SIGTERM a broker is started again once it has
    /// ended.
    Signals { share: f64, signals: Vec<Signal>, interval: Duration },
    /// Opens `clients` connections to each of the brokers, on which no request is sent.
    Crowd { share: f64, clients: usize, duration: Duration },
    /// Makes a zone's servers unreachable, without closing connections; they come back cold.
    LoseZone { zone: usize, duration: Duration },
    /// Separates a zone's brokers and servers from those of the other zones. With `one_way`, what brokers
    /// send across still arrives, but nothing comes back.
    Partition { zone: usize, one_way: bool, duration: Duration },
    /// Replaces servers by new ones, one after the other, all `within` this time.
    Replace { share: f64, within: Duration },
    /// Changes how servers handle parts.
    Servers { share: f64, behaviour: ServerBehaviour, duration: Duration },
    /// Delays discovery's list updates.
    Late { delay: Duration, duration: Duration },
    /// Makes discovery reject calls.
    TurnAway { duration: Duration },
    /// Makes discovery answer no call; the watches that are open receive nothing, even afterwards.
    Silence { duration: Duration },
    /// Sets delays, losses, resets and the rate (bytes per second) of all links.
    Network {
        delay: Duration,
        jitter: Duration,
        loss: f64,
        reset: f64,
        rate: Option<u64>,
        duration: Duration,
    },
}

/// A selection of brokers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Brokers {
    /// The broker with this index.
    One(usize),
    /// This share of all brokers, in random order.
    Share(f64),
}

/// A signal that operators send to brokers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// SIGHUP, with the configuration unchanged.
    Hup,
    /// SIGTERM.
    Term,
}

/// How a faulty server handles parts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ServerBehaviour {
    /// Answers every part with an error.
    #[serde(rename = "break")]
    Fail,
    /// Rejects every part without processing it.
    #[serde(rename = "turn_away")]
    Reject,
    /// Accepts every part and answers none.
    #[serde(rename = "swallow")]
    Ignore,
    /// Closes the connection on receiving a part.
    #[serde(rename = "hang")]
    CloseConnection,
    /// Takes ten times as long for every part.
    Slow,
    /// Responds with frames that can't be parsed.
    #[serde(rename = "spoil")]
    CorruptResponse,
}

#[cfg(test)]
mod tests;
