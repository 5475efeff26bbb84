//! Model tile servers: two cores each, first come first served, with a bounded queue.

use std::collections::BTreeSet;

use badgergauge_core::{ServerState, Verdict};

/// Cores of a server.
const CORES: usize = 2;
/// Longest wait for a core, in nanoseconds; parts that would wait longer are rejected.
const MAX_QUEUE_NANOS: u64 = 4_000_000_000;

/// What a fault changes in a server's behaviour.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Factor by which work takes longer; 0 for no change.
    pub slowdown: f64,
    /// Accepts parts and answers none.
    pub is_hanging: bool,
    /// Share of parts that fail immediately, from 0 to 1.
    pub error_rate: f64,
    /// Does not accept connections.
    pub is_down: bool,
}

/// A model tile server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its cell.
    pub cell: u32,
    /// Index of its zone.
    pub zone: usize,
    /// Its state in the server list.
    pub state: ServerState,
    /// When it last started, in nanoseconds of virtual time; 0 for a start before the simulation.
    pub started_at: u64,
    /// What is wrong with it.
    pub impairment: Impairment,
    /// When each core becomes free, in nanoseconds of virtual time.
    core_free_at: [u64; CORES],
}

/// The outcome of an attempt at a server and its time in nanoseconds; `None` if no answer ever comes.
pub type AttemptOutcome = Option<(Verdict, u64)>;

impl Server {
    /// A server that started before the simulation.
    pub fn new(index: usize, zones: usize) -> Self {
        Server {
            name: format!("tile{index:02}.example"),
            cell: index as u32,
            zone: index % zones,
            state: ServerState::Up,
            started_at: 0,
            impairment: Impairment::default(),
            core_free_at: [0; CORES],
        }
    }

    /// Handles a part that arrives now and takes `work` nanoseconds; `draw` is a random number from 0 to 1.
    pub fn accept_part(&mut self, now: u64, work: u64, draw: f64) -> AttemptOutcome {
        if self.impairment.is_down {
            return Some((Verdict::NoConnection, now + 300_000));
        }
        if self.impairment.is_hanging {
            return None;
        }
        if draw < self.impairment.error_rate {
            return Some((Verdict::Error, now + 2_000_000));
        }
        let core = (0..CORES).min_by_key(|core| self.core_free_at[*core]).unwrap_or(0);
        let start = self.core_free_at[core].max(now);
        if start - now > MAX_QUEUE_NANOS || self.state == ServerState::Draining {
            return Some((Verdict::Rejected, now + 500_000));
        }
        let slowdown = if self.impairment.slowdown > 0.0 { self.impairment.slowdown } else { 1.0 };
        self.core_free_at[core] = start + (work as f64 * slowdown) as u64;
        Some((Verdict::Served, self.core_free_at[core]))
    }

    /// Restarts the server: it is up, with no fault and no work.
    pub fn restart(&mut self, now: u64) {
        self.impairment = Impairment::default();
        self.state = ServerState::Up;
        self.started_at = now;
        self.core_free_at = [now; CORES];
    }
}

/// Whether a server may get a fault: it must share no tile block with one that already has one, so that each
/// block keeps a healthy replica.
pub fn can_impair(index: usize, servers: usize, replicas: usize, impaired: &BTreeSet<usize>) -> bool {
    let is_disjoint = |other: &usize| {
        let distance = (index + servers - other) % servers;
        distance >= replicas && servers - distance >= replicas
    };
    impaired.iter().all(is_disjoint)
}
