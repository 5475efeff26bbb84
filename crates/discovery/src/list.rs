//! Decodes server lists as discovery sends them: a sequence of JSON objects with any whitespace, in fragments
//! of any size.

use std::net::SocketAddr;

use badgergauge_core::core::Member;
use badgergauge_core::interface::ServerState;
use badgergauge_net::clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum size of an encoded list.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a list was rejected. The current list stays valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The list is not valid JSON, or a required key is missing.
    #[error("{problem}; the last valid list stays in use: check what discovery sends")]
    Malformed {
        /// What is wrong, with the position relative to the start of the list.
        problem: String,
    },
    /// An entry has an invalid value.
    #[error(
        "{name}: {problem}; the last valid list stays in use: correct the entry where servers are registered"
    )]
    InvalidEntry {
        /// The server's name.
        name: String,
        /// The key and what is wrong with its value.
        problem: String,
    },
    /// The list exceeds [`MAX_LIST_BYTES`].
    #[error(
        "a list is longer than {MAX_LIST_BYTES} bytes; the last valid one stays in use: register fewer servers"
    )]
    TooLong,
}

/// A server list as discovery sends it: either complete or only the changed entries.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerList {
    /// The list's version.
    pub index: u64,
    /// Whether the list is complete; otherwise it contains only the changed entries.
    pub is_full: bool,
    /// The entries, each with the server's address.
    pub members: Vec<(Member, Option<SocketAddr>)>,
}

#[derive(Deserialize, Serialize)]
struct Message {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize, Serialize)]
struct Endpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u32,
    status: String,
    #[serde(default)]
    since_ms: u64,
}

/// The name of a state in encoded lists.
fn status_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Up => "up",
        ServerState::Draining => "draining",
        ServerState::Removed => "removed",
    }
}

impl ServerList {
    fn new(message: Message, clock: &Clock) -> Result<Self, ListError> {
        let member = |endpoint: Endpoint| {
            let entry = |problem| ListError::InvalidEntry { name: endpoint.name.clone(), problem };
            let states = [ServerState::Up, ServerState::Draining, ServerState::Removed];
            let Some(state) = states.into_iter().find(|state| status_name(*state) == endpoint.status) else {
                return Err(entry(format!("status: unknown value {:?}", endpoint.status)));
            };
            let address = endpoint.address.parse().ok();
            if address.is_none() && state == ServerState::Up {
                return Err(entry(format!("address: {:?} is not an address", endpoint.address)));
            }
            let Endpoint { name, zone, group: cell, since_ms, .. } = endpoint;
            Ok((Member { name, zone, cell, state, started: clock.from_unix_ms(since_ms) }, address))
        };
        let members = message.endpoints.into_iter().map(member).collect::<Result<_, _>>()?;
        Ok(ServerList { index: message.index, is_full: message.snapshot, members })
    }

    /// Encodes the list as JSON in discovery's format.
    pub fn to_value(&self, clock: &Clock) -> Value {
        let endpoint = |(member, address): &(Member, Option<SocketAddr>)| Endpoint {
            name: member.name.clone(),
            address: address.map(|address| address.to_string()).unwrap_or_default(),
            zone: member.zone.clone(),
            group: member.cell,
            status: status_name(member.state).to_owned(),
            since_ms: clock.unix_ms(member.started),
        };
        let endpoints = self.members.iter().map(endpoint).collect();
        serde_json::json!(Message { index: self.index, snapshot: self.is_full, endpoints })
    }

    /// Decodes a list that is part of another JSON document.
    ///
    /// # Errors
    ///
    /// If a key is missing or a value is invalid; the error names the key.
    pub fn from_value(value: &Value, clock: &Clock) -> Result<Self, ListError> {
        let message: Message = serde_path_to_error::deserialize(value).map_err(|error| {
            ListError::Malformed { problem: format!("{}: {}", error.path(), error.inner()) }
        })?;
        Self::new(message, clock)
    }
}

/// Extracts lists from a byte stream. Lists may be indented, split at any byte, sent several at once and
/// separated by empty lines. Other bytes between two lists are skipped.
///
/// The end of a list is found by counting braces: a JSON parser that is given part of a list can't always
/// distinguish a truncated number from an invalid one.
#[derive(Debug, Default)]
pub struct ListDecoder {
    bytes: Vec<u8>,
    /// Number of bytes of the current list that were scanned for its end.
    scanned: usize,
    /// Number of open braces in the scanned bytes.
    depth: usize,
    /// Whether the scanned bytes end inside a string.
    quoted: bool,
    /// Whether the last scanned byte escapes the next one.
    escaped: bool,
}

impl ListDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete list, if there is one.
    ///
    /// # Errors
    ///
    /// If the input is not a valid list. The decoder can't resynchronise after an error.
    pub fn next_list(&mut self, clock: &Clock) -> Result<Option<ServerList>, ListError> {
        if self.scanned == 0 {
            let start = self.bytes.iter().position(|&byte| byte == b'{').unwrap_or(self.bytes.len());
            let skipped = self.bytes[..start].trim_ascii().len();
            if skipped > 0 {
                tracing::warn!(
                    "discovery: skipped {skipped} bytes between two lists that do not start a list"
                );
            }
            self.bytes.drain(..start);
        }
        let Some(end) = self.find_end() else {
            return if self.bytes.len() > MAX_LIST_BYTES { Err(ListError::TooLong) } else { Ok(None) };
        };
        let message = serde_json::from_slice(&self.bytes[..end])
            .map_err(|error| ListError::Malformed { problem: error.to_string() })?;
        self.bytes.drain(..end);
        self.scanned = 0;
        ServerList::new(message, clock).map(Some)
    }

    /// Returns the length of the current list, once its last brace has arrived.
    fn find_end(&mut self) -> Option<usize> {
        for (position, byte) in self.bytes.iter().enumerate().skip(self.scanned) {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' if !self.quoted => self.depth += 1,
                b'}' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                return Some(position + 1);
            }
        }
        self.scanned = self.bytes.len();
        None
    }

    /// Number of buffered bytes that belong to an incomplete list.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}

#[cfg(test)]
mod tests;
