//! Names of unsafe queries that may have run. A query of an unsafe class has no idempotency key, so servers execute it
//! again if it is sent again. A name that comes again, for instance from a client that has left and connected again,
//! must not be accepted.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Maximum number of names that are kept. With names of the maximum length they take about 4 MB.
pub const MAX_SPENT_NAMES: usize = 16 * 1024;

/// The latest names of unsafe queries that may have run. When there are too many, the oldest is forgotten.
#[derive(Debug, Default)]
pub struct SpentNames {
    names: HashSet<Arc<str>>,
    oldest_first: VecDeque<Arc<str>>,
}

impl SpentNames {
    /// Adds a name.
    pub fn insert(&mut self, name: Arc<str>) {
        if !self.names.insert(name.clone()) {
            return;
        }
        self.oldest_first.push_back(name);
        if self.oldest_first.len() > MAX_SPENT_NAMES
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.names.remove(&oldest);
        }
    }

    /// Whether a name was added and is not forgotten.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

#[cfg(test)]
mod tests;
