//! A server as listed in an inventory, before its values are checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::error::{LineError, Problem};
use crate::core::Member;
use crate::interface::ServerState;

/// Name of a server's address.
pub const ADDRESS: &str = "address";
const ANSIBLE_HOST: &str = "ansible_host";
const ANSIBLE_PORT: &str = "ansible_port";
const ZONE: &str = "zone";
const CELL: &str = "cell";
const STATE: &str = "state";

/// Names of a server's values that the broker reads. Others are ignored.
const VALUE_NAMES: [&str; 6] = [ADDRESS, ANSIBLE_HOST, ANSIBLE_PORT, ZONE, CELL, STATE];

/// Returns whether the broker reads values of this name.
pub fn is_read(name: &str) -> bool {
    VALUE_NAMES.contains(&name)
}

/// Returns whether a value at the end of a file may be the start of a longer one, which was cut off. A state is not: no
/// state is the start of another one.
pub fn may_be_cut_off(name: &str, text: &str) -> bool {
    is_read(name) && !(name == STATE && parse_state(text).is_some())
}

fn parse_state(text: &str) -> Option<ServerState> {
    match text {
        "up" => Some(ServerState::Up),
        "draining" => Some(ServerState::Draining),
        "removed" => Some(ServerState::Removed),
        _ => None,
    }
}

/// Returns the name without case, spaces and invisible characters.
pub fn folded_name(name: &str) -> String {
    let is_visible = |c: &char| !c.is_whitespace() && !c.is_control() && !"\u{200b}\u{feff}".contains(*c);
    name.chars().filter(is_visible).flat_map(char::to_lowercase).collect()
}

/// Returns the host name without what does not distinguish hosts: case, spaces and a dot at its end.
pub fn folded_host_name(name: &str) -> String {
    folded_name(name).trim_end_matches('.').to_owned()
}

/// Checks that a name which the broker reads apart from case and spaces is written exactly so. It would be ignored
/// otherwise.
pub fn check_spelling(line: u64, name: &str) -> Result<(), LineError> {
    let folded = folded_name(name);
    let misspelt = VALUE_NAMES.into_iter().chain(["name"]).find(|known| *known == folded && *known != name);
    misspelt.map_or(Ok(()), |expected| Err(LineError::new(line, name, Problem::NameSpelling { expected })))
}

/// Returns the IPv4 address for an IPv4-mapped IPv6 address, and any other address unchanged.
pub fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// A value and the line that contains it.
#[derive(Clone, Debug)]
pub struct Field {
    pub line: u64,
    pub text: String,
}

/// A server as listed in a file, with its values by name.
#[derive(Debug, Default)]
pub struct Row {
    pub name: String,
    pub line: u64,
    pub values: BTreeMap<String, Field>,
}

impl Row {
    /// Returns the key of a value in error messages.
    pub fn key(&self, name: &str) -> String {
        format!("{}.{name}", self.name)
    }

    fn error(&self, line: u64, name: &str, problem: Problem) -> LineError {
        LineError::new(line, self.key(name), problem)
    }

    /// Returns a value that may be left out. An empty one is an error: it is what a line that was cut off shows.
    fn optional(&self, name: &str) -> Result<Option<&Field>, LineError> {
        match self.values.get(name) {
            Some(field) if field.text.is_empty() => Err(self.error(field.line, name, Problem::EmptyValue)),
            Some(field) if field.text.contains(char::is_control) => {
                Err(self.error(field.line, name, Problem::ControlCharacter))
            }
            value => Ok(value),
        }
    }

    fn required(&self, name: &str) -> Result<&Field, LineError> {
        self.optional(name)?.ok_or_else(|| self.error(self.line, name, Problem::MissingValue))
    }

    /// Returns a value of which an empty one counts as left out, as another one may take its place.
    fn alternative(&self, name: &str) -> Option<&Field> {
        self.values.get(name).filter(|field| !field.text.is_empty())
    }

    /// Converts the row to a server of a ring with the given number of cells.
    pub fn server(&self, cells: u32) -> Result<(Member, SocketAddr), LineError> {
        let address = self.address()?;
        let zone = self.required(ZONE)?.text.clone();
        let cell = self.cell(cells)?;
        let state = self.state()?;
        Ok((Member { name: self.name.clone(), zone, cell, state, started: None }, address))
    }

    fn address(&self) -> Result<SocketAddr, LineError> {
        let parse = |line: u64, text: String| {
            let parsed = text.parse::<SocketAddr>();
            parsed.map_err(|_| self.error(line, ADDRESS, Problem::InvalidAddress(text)))
        };
        let own = self.alternative(ADDRESS);
        let ansible = match (self.alternative(ANSIBLE_HOST), self.alternative(ANSIBLE_PORT)) {
            (Some(host), Some(port)) => {
                Some(Field { line: host.line, text: format!("{}:{}", host.text, port.text) })
            }
            (Some(host), None) if own.is_none() => {
                return Err(self.error(host.line, ANSIBLE_PORT, Problem::MissingValue));
            }
            _ => None,
        };
        match (own, ansible) {
            (None, None) => Err(self.error(self.line, ADDRESS, Problem::MissingValue)),
            (Some(Field { line, text }), None) => parse(*line, text.clone()),
            (None, Some(Field { line, text })) => parse(line, text),
            (Some(own), Some(ansible)) => {
                let address = parse(own.line, own.text.clone())?;
                if parse(ansible.line, ansible.text.clone())? != address {
                    let problem = contradiction(own, &ansible);
                    return Err(self.error(own.line.max(ansible.line), ADDRESS, problem));
                }
                Ok(address)
            }
        }
    }

    fn cell(&self, cells: u32) -> Result<u32, LineError> {
        let Field { line, text } = self.required(CELL)?;
        let invalid = |_| self.error(*line, CELL, Problem::InvalidCell(text.clone()));
        let cell = text.parse::<u32>().map_err(invalid)?;
        match cell < cells {
            true => Ok(cell),
            false => Err(self.error(*line, CELL, Problem::CellBeyondRing { cell, cells })),
        }
    }

    fn state(&self) -> Result<ServerState, LineError> {
        let Some(Field { line, text }) = self.optional(STATE)? else { return Ok(ServerState::Up) };
        parse_state(text).ok_or_else(|| self.error(*line, STATE, Problem::InvalidState(text.clone())))
    }
}

/// Returns the contradiction between two values, in the order of their lines.
pub fn contradiction(one: &Field, another: &Field) -> Problem {
    let (other, later) = if one.line <= another.line { (one, another) } else { (another, one) };
    Problem::Contradiction { value: later.text.clone(), other: other.text.clone(), other_line: other.line }
}
