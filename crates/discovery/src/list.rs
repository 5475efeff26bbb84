//! Lists as discovery gives them: one JSON value after another, however each is laid out and cut.

use std::net::SocketAddr;

use badgergauge_core::core::Member;
use badgergauge_core::interface::ServerState;
use badgergauge_net::clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Longest list that is read, in bytes.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a list could not be taken. The one in hand stays valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is no JSON, or lacks what a list must hold.
    #[error("{problem}; the last good list stays in use: look at what discovery sends there")]
    Malformed {
        /// Where and what, counted from the list's begin.
        problem: String,
    },
    /// An entry can't be true.
    #[error(
        "{name}: {problem}; the last good list stays in use: mend that entry where servers are registered"
    )]
    InvalidEntry {
        /// The server's name.
        name: String,
        /// The key and what is wrong with it.
        problem: String,
    },
    /// It goes on for too long.
    #[error(
        "a list is longer than {MAX_LIST_BYTES} bytes; the last good one stays in use: register fewer servers"
    )]
    TooLong,
}

/// A list as discovery gives it: whole, or the lines that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerList {
    /// Its version.
    pub index: u64,
    /// Whether it is the whole list.
    pub is_full: bool,
    /// Its lines, each with the server's address.
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

/// The word for a state in lists.
fn status_word(state: ServerState) -> &'static str {
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
            let Some(state) = states.into_iter().find(|state| status_word(*state) == endpoint.status) else {
                return Err(entry(format!("status: unknown word {:?}", endpoint.status)));
            };
            let address = endpoint.address.parse().ok();
            if address.is_none() && state == ServerState::Up {
                return Err(entry(format!("address: {:?} is no address", endpoint.address)));
            }
            let Endpoint { name, zone, group: cell, since_ms, .. } = endpoint;
            Ok((Member { name, zone, cell, state, started: clock.from_unix_ms(since_ms) }, address))
        };
        let members = message.endpoints.into_iter().map(member).collect::<Result<_, _>>()?;
        Ok(ServerList { index: message.index, is_full: message.snapshot, members })
    }

    /// The list as discovery would give it, as JSON.
    pub fn to_value(&self, clock: &Clock) -> Value {
        let endpoint = |(member, address): &(Member, Option<SocketAddr>)| Endpoint {
            name: member.name.clone(),
            address: address.map(|address| address.to_string()).unwrap_or_default(),
            zone: member.zone.clone(),
            group: member.cell,
            status: status_word(member.state).to_owned(),
            since_ms: clock.unix_ms(member.started),
        };
        let endpoints = self.members.iter().map(endpoint).collect();
        serde_json::json!(Message { index: self.index, snapshot: self.is_full, endpoints })
    }

    /// Reads a list that came inside of other JSON.
    ///
    /// # Errors
    ///
    /// Says which key is at problem.
    pub fn from_value(value: &Value, clock: &Clock) -> Result<Self, ListError> {
        let message: Message = serde_path_to_error::deserialize(value).map_err(|error| {
            ListError::Malformed { problem: format!("{}: {}", error.path(), error.inner()) }
        })?;
        Self::new(message, clock)
    }
}

/// Takes the lists out of a stream of bytes. Lists may come indented, cut anywhere, several at once, with empty
/// lines between them; what stands between two lists and begins none is left out.
///
/// The end of a list is told by its braces: a parser that is shown a part of one can't always tell a number that is
/// cut from one that is wrong.
#[derive(Debug, Default)]
pub struct ListDecoder {
    bytes: Vec<u8>,
    /// Bytes of the list under way that were looked at.
    looked: usize,
    /// Open braces there, whether the last byte is inside of a string, and whether it escapes the next.
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl ListDecoder {
    /// Takes what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Gives the next list that is whole.
    ///
    /// # Errors
    ///
    /// When what comes is no list: nothing behind it can be told apart any more.
    pub fn next_list(&mut self, clock: &Clock) -> Result<Option<ServerList>, ListError> {
        if self.looked == 0 {
            let begin = self.bytes.iter().position(|&byte| byte == b'{').unwrap_or(self.bytes.len());
            let noise = self.bytes[..begin].trim_ascii().len();
            if noise > 0 {
                tracing::warn!("discovery: {noise} bytes between two lists begin none: left out");
            }
            self.bytes.drain(..begin);
        }
        let Some(end) = self.end() else {
            return if self.bytes.len() > MAX_LIST_BYTES { Err(ListError::TooLong) } else { Ok(None) };
        };
        let message = serde_json::from_slice(&self.bytes[..end])
            .map_err(|error| ListError::Malformed { problem: error.to_string() })?;
        self.bytes.drain(..end);
        self.looked = 0;
        ServerList::new(message, clock).map(Some)
    }

    /// Where the list under way ends, once its last brace is in.
    fn end(&mut self) -> Option<usize> {
        for (at, byte) in self.bytes.iter().enumerate().skip(self.looked) {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' if !self.quoted => self.depth += 1,
                b'}' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                return Some(at + 1);
            }
        }
        self.looked = self.bytes.len();
        None
    }

    /// Bytes held of a list that is not whole.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}

#[cfg(test)]
mod tests;
