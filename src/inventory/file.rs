//! An inventory file that is read again when it has changed.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::SystemTime;
use std::{fmt, fs, io};

use super::error::{InventoryError, LineError, Problem};
use super::{Server, UnheldShards, load};
use crate::discovery::ServerList;
use crate::interface::{ServerState, Settings, Time};

/// A warning is logged if more than this fraction (1/n) of the servers that were up are gone at once.
const LARGE_DROP_DIVISOR: usize = 4;

/// Something unusual in a valid inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InventoryWarning {
    /// No server that is up holds these shards; their parts are refused.
    UnheldShards(UnheldShards),
    /// Many servers that were up are removed or no longer listed.
    LargeDrop {
        /// Number of servers that are gone.
        gone: usize,
        /// Number of servers that were up before.
        before: usize,
    },
}

impl fmt::Display for InventoryWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InventoryWarning::UnheldShards(shards) => write!(f, "no server that is up holds shard {shards}"),
            InventoryWarning::LargeDrop { gone, before } => {
                write!(f, "{gone} of the {before} servers that were up are gone: is the file complete?")
            }
        }
    }
}

/// A changed inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryUpdate {
    /// The full list of servers, which is to be applied like one from discovery, including its draining servers.
    pub list: ServerList,
    /// What is unusual about it.
    pub warnings: Vec<InventoryWarning>,
}

/// What is compared to detect that a file has changed.
#[derive(PartialEq)]
struct FileState {
    modified: SystemTime,
    length: u64,
}

/// An inventory file, which is read again when it has changed.
pub struct Inventory {
    path: PathBuf,
    /// State of the file when it was last read.
    last_read: Option<FileState>,
    /// Servers that were up when the file was last read, with the time at which they came up; `None` if they were up
    /// at the first read.
    started: HashMap<String, Option<Time>>,
    /// Number of successful reads; the index of the last list.
    reads: u64,
}

impl Inventory {
    /// Creates an inventory that has not been read yet.
    pub fn new(path: PathBuf) -> Self {
        Inventory { path, last_read: None, started: HashMap::new(), reads: 0 }
    }

    /// Reads the file if it has changed since the last call, or returns `None`. A file that changes while it is read
    /// is read at the next call, except at the first one.
    ///
    /// # Errors
    ///
    /// Returns the first error if the file can't be read or is invalid; the last list stays valid.
    pub fn read_if_changed(
        &mut self,
        now: Time,
        settings: &Settings,
    ) -> Result<Option<InventoryUpdate>, InventoryError> {
        let state = self.file_state().map_err(|error| self.unreadable(&error))?;
        if state.is_some() && state == self.last_read {
            return Ok(None);
        }
        let read = load(&self.path, settings);
        let is_unchanged = self.file_state().map_err(|error| self.unreadable(&error))? == state;
        if !is_unchanged && self.reads > 0 {
            return Ok(None);
        }
        self.last_read = state;
        let servers = read.map_err(|errors| self.first_error(errors))?;
        Ok(Some(self.update(now, servers, settings)))
    }

    fn file_state(&self) -> io::Result<Option<FileState>> {
        let metadata = fs::metadata(&self.path)?;
        Ok(metadata.modified().ok().map(|modified| FileState { modified, length: metadata.len() }))
    }

    fn unreadable(&self, error: &io::Error) -> InventoryError {
        LineError::new(0, "", Problem::Unreadable(error.to_string())).in_file(&self.path)
    }

    /// Returns the first of the errors, and logs the others.
    fn first_error(&self, errors: Vec<InventoryError>) -> InventoryError {
        let mut errors = errors.into_iter();
        let first = errors.next();
        errors.for_each(|error| tracing::warn!("{error}"));
        first.unwrap_or_else(|| LineError::new(0, "", Problem::NoServers).in_file(&self.path))
    }

    /// Makes the servers the current ones and returns them as a list.
    fn update(&mut self, now: Time, mut servers: Vec<Server>, settings: &Settings) -> InventoryUpdate {
        let mut started = HashMap::new();
        for (member, _) in &mut servers {
            // A server that comes up while the broker runs has just started and is treated as cold.
            let previous = self.started.get(&member.name).copied();
            member.started = previous.unwrap_or(if self.reads > 0 { Some(now) } else { None });
            if member.state == ServerState::Up {
                started.insert(member.name.clone(), member.started);
            }
        }
        let warnings = self.warnings(&servers, settings);
        self.started = started;
        self.reads += 1;
        InventoryUpdate { list: ServerList { index: self.reads, is_full: true, members: servers }, warnings }
    }

    fn warnings(&self, servers: &[Server], settings: &Settings) -> Vec<InventoryWarning> {
        let remains = |name: &str| {
            let mut members = servers.iter().map(|(member, _)| member);
            members.any(|member| member.name == name && member.state != ServerState::Removed)
        };
        let before = self.started.len();
        let gone = self.started.keys().filter(|name| !remains(name)).count();
        let drop =
            (gone * LARGE_DROP_DIVISOR > before).then_some(InventoryWarning::LargeDrop { gone, before });
        let unheld = UnheldShards::find(servers, settings).map(InventoryWarning::UnheldShards);
        drop.into_iter().chain(unheld).collect()
    }
}
