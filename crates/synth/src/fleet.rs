//! Model tile servers: two cores each, first come first served, with a bounded queue.

use std::collections::BTreeSet;

use badgergauge_core::{ServerState, Verdict};

/// Cores of a server.
const CORES: usize = 2;
/// Work that may wait at a server, in nanoseconds; beyond it parts are turned away.
const QUEUE: u64 = 4_000_000_000;

/// What is the matter with a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ills {
    /// Its work takes so many times longer; 0 for no change.
    pub slow: f64,
    /// Takes parts and answers none.
    pub hangs: bool,
    /// Fails this share of its parts at once.
    pub fails: f64,
    /// Is not running.
    pub down: bool,
}

/// A model tile server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its cell.
    pub cell: u32,
    /// Its zone's index.
    pub zone: usize,
    /// How the list has it.
    pub state: ServerState,
    /// When it last started, in nanoseconds of virtual time; 0 for long ago.
    pub started: u64,
    /// What is the matter with it.
    pub ills: Ills,
    /// When each core is free.
    free: [u64; CORES],
}

/// What becomes of a part at a server: how it ends and when, or nothing at all.
pub type Fate = Option<(Verdict, u64)>;

impl Server {
    /// One that has long been running.
    pub fn new(index: usize, zones: usize) -> Self {
        Server {
            name: format!("tile{index:02}.example"),
            cell: index as u32,
            zone: index % zones,
            state: ServerState::Up,
            started: 0,
            ills: Ills::default(),
            free: [0; CORES],
        }
    }

    /// Takes a part that comes now; `chance` is drawn from 0 to 1.
    pub fn take(&mut self, now: u64, work: u64, chance: f64) -> Fate {
        if self.ills.down {
            return Some((Verdict::NoConnection, now + 300_000));
        }
        if self.ills.hangs {
            return None;
        }
        if chance < self.ills.fails {
            return Some((Verdict::Error, now + 2_000_000));
        }
        let core = (0..CORES).min_by_key(|core| self.free[*core]).unwrap_or(0);
        let begins = self.free[core].max(now);
        if begins - now > QUEUE || self.state == ServerState::Draining {
            return Some((Verdict::Rejected, now + 500_000));
        }
        let slow = if self.ills.slow > 0.0 { self.ills.slow } else { 1.0 };
        self.free[core] = begins + (work as f64 * slow) as u64;
        Some((Verdict::Served, self.free[core]))
    }

    /// Starts anew, with nothing in work.
    pub fn restart(&mut self, now: u64) {
        self.ills = Ills::default();
        self.state = ServerState::Up;
        self.started = now;
        self.free = [now; CORES];
    }
}

/// Servers that share no tile block with another one that is in trouble: each block keeps a sound one.
pub fn may_ail(index: usize, servers: usize, width: usize, ailing: &BTreeSet<usize>) -> bool {
    let apart = |other: &usize| {
        let steps = (index + servers - other) % servers;
        steps >= width && servers - steps >= width
    };
    ailing.iter().all(apart)
}
