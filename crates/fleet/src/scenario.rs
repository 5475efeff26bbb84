//! A scenario as an operator writes it: the fleet, its load, and a timeline of faults. Checked as a whole: each
//! fault of the file is named with its line and key.

mod checks;
mod file;

use std::fmt;
use std::time::Duration;

use serde::Deserialize;

/// A broker that drains has so long to be rid of its clients' connections.
pub const DRAINED_WITHIN: Duration = Duration::from_secs(4);

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioFault {
    /// The file and the line.
    pub place: String,
    /// The key; empty where the whole is at fault.
    pub key: String,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for ScenarioFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.place, self.fault),
            key => write!(f, "{}: {key}: {}", self.place, self.fault),
        }
    }
}

impl std::error::Error for ScenarioFault {}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Broker processes.
    pub brokers: usize,
    /// Tile servers that are up at the start.
    pub servers: usize,
    /// Zones; servers and brokers are spread over them in turn.
    pub zones: usize,
    /// Holders of each tile block, by cell: servers `n`, `n + cells` and so on are of cell `n`.
    pub cells: usize,
    /// Cells that hold a tile block.
    pub width: usize,
    /// Queries a second and broker, on the mean; some brokers get twice that, some half.
    pub rate: f64,
    /// Parts of a query.
    pub parts: usize,
    /// How long clients ask.
    pub seconds: u64,
    /// For everything that is drawn.
    pub seed: u64,
    /// What each server can do.
    pub tile: Tile,
    /// Whether the list comes only to who asks for it.
    pub on_request: bool,
    /// Whether lists come indented, in small chunks.
    pub indented: bool,
    /// Whether brokers have a store that lasts.
    pub store: bool,
    /// Whether clients keep their connections for further requests.
    pub pooled: bool,
    /// Share of the queries that are of an unsafe class: what has run may not run again.
    pub unsafe_share: f64,
    /// Share of the queries whose clients leave before they are answered, write slowly, or stop in mid-request.
    pub unruly: f64,
    /// The window in which servers drop a repeat of a keyed query.
    pub window: Duration,
    /// A broker that was told to end is killed as early as the platform may; else it is held for hanging after a while.
    pub kills_early: bool,
    /// The timeline, in the file's order.
    pub events: Vec<Event>,
}

/// What a server can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tile {
    /// Parts it works on at once.
    pub workers: usize,
    /// Mean time of a part.
    pub service: Duration,
    /// Parts that may wait.
    pub queue: usize,
    /// Connections it holds.
    pub connections: usize,
    /// How long it takes to become warm.
    pub cold_for: Duration,
    /// Its speed when it has just started, as a share of a warm one's.
    pub cold_from: f64,
    /// A cold one falls over under so many times the work that it can do.
    pub fall_multiple: f64,
    /// How late it may read a connection.
    pub read_lag: Duration,
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, from the clients' start.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// What may happen. The fields are the keys of the file, times as spans.
#[allow(missing_docs)] // Each variant says what its fields mean.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// So many of the brokers are killed at once, and started again so much later.
    Kill { share: f64, back: Duration },
    /// All brokers are restarted by SIGTERM, so many of them at a time, each group so long after the one before.
    Roll { share: f64, every: Duration },
    /// Brokers are upgraded one after the other, each so long after the one before: a second process takes over from
    /// the running one.
    Upgrade { brokers: Brokers, every: Duration },
    /// Brokers are drained, each so long after the one before, and taken back.
    Drain { brokers: Brokers, every: Duration, lasts: Duration },
    /// So many of the brokers are stopped for a while (SIGSTOP, SIGCONT).
    Pause { share: f64, lasts: Duration },
    /// So many of the brokers are held up for a moment right before some of the writes that give a part up: before
    /// each `every`-th of them, by so long, as a busy machine may do between a clock's reading and a system call.
    Hold { share: f64, by: Duration, every: u64, lasts: Duration },
    /// So many of the brokers' stores are wiped or cut to half their length, where they have one; brokers that run
    /// keep theirs open, so it is for those that were killed.
    Stores { share: f64, cut: bool },
    /// Discovery moves: brokers get a new file and SIGHUP.
    Reload,
    /// So many of the brokers get these signals, each so long after the one before. After a SIGTERM they are started again
    /// once they have ended.
    Signals { share: f64, series: Vec<Signal>, every: Duration },
    /// So many of the brokers are connected to by clients that ask for nothing, so many each.
    Crowd { share: f64, clients: usize, lasts: Duration },
    /// A zone's servers are gone without a word for a while, and come back cold.
    LoseZone { zone: usize, lasts: Duration },
    /// A zone is cut off: its brokers and servers reach those of no other zone, nor these them. `one_way`: what
    /// brokers send across still arrives, and nothing comes back.
    Partition { zone: usize, one_way: bool, lasts: Duration },
    /// So many of the servers are replaced by new ones, one after the other.
    Replace { share: f64, within: Duration },
    /// So many of the servers do something else with parts for a while.
    Servers { share: f64, manner: Manner, lasts: Duration },
    /// What discovery has to say comes late for a while.
    Late { by: Duration, lasts: Duration },
    /// Discovery turns callers away for a while.
    TurnAway { lasts: Duration },
    /// Discovery answers no call for a while, and the watches that are open fall silent for good.
    Silence { lasts: Duration },
    /// All links do so for a while.
    Network { delay: Duration, jitter: Duration, loss: f64, reset: f64, rate: Option<u64>, lasts: Duration },
}

/// A choice of brokers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Brokers {
    /// This one.
    One(usize),
    /// So many of all, in drawn order.
    Share(f64),
}

/// A signal that an operator sends.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// SIGHUP, with the configuration as it stands.
    Hup,
    /// SIGTERM.
    Term,
}

/// What a server may be made to do with parts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Manner {
    /// It answers each with an error.
    Break,
    /// It turns each away.
    TurnAway,
    /// It answers none.
    Swallow,
    /// It closes the connection on each.
    Hang,
    /// It takes ten times as long.
    Slow,
    /// Its answers can't be read.
    Spoil,
}

#[cfg(test)]
mod tests;
