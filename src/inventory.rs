//! The inventory: a list of servers in a CSV file or a YAML file in Ansible's inventory format. It replaces
//! discovery. A file that contradicts itself or may be cut off is refused as a whole: see [`Problem`].

mod coverage;
mod csv_file;
mod error;
mod file;
mod groups;
mod row;
mod yaml_file;

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

pub use self::coverage::UnheldShards;
pub use self::error::{InventoryError, Problem};
pub use self::file::{Inventory, InventoryUpdate, InventoryWarning};

use self::error::LineError;
use self::row::{Row, folded_host_name};
use crate::core::Member;
use crate::interface::Settings;

/// A server and its address.
pub type Server = (Member, Option<SocketAddr>);

/// Reads an inventory file and returns its servers.
///
/// # Errors
///
/// Returns all errors in the order of the lines: the file can't be read, or its contents are invalid. There is at
/// least one.
pub fn load(path: &Path, settings: &Settings) -> Result<Vec<Server>, Vec<InventoryError>> {
    let whole_file = |problem| vec![LineError::new(0, "", problem).in_file(path)];
    let bytes = fs::read(path).map_err(|error| whole_file(Problem::Unreadable(error.to_string())))?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let line = line_of(error.as_bytes(), error.utf8_error().valid_up_to());
        vec![LineError::new(line, "", Problem::NotUtf8).in_file(path)]
    })?;
    parse(path, &text, settings)
}

/// Parses an inventory: CSV if the path has the extension `csv`, otherwise YAML.
///
/// # Errors
///
/// Returns all errors in the order of the lines. There is at least one.
pub fn parse(path: &Path, text: &str, settings: &Settings) -> Result<Vec<Server>, Vec<InventoryError>> {
    let is_csv = path.extension().is_some_and(|extension| extension.eq_ignore_ascii_case("csv"));
    let (rows, mut errors) = if is_csv { csv_file::rows(text) } else { yaml_file::rows(text) };
    let servers = servers(&rows, settings, &mut errors);
    if errors.is_empty() && servers.is_empty() {
        errors.push(LineError::new(last_line(text), "", Problem::NoServers));
    }
    if errors.is_empty() {
        return Ok(servers);
    }
    errors.sort_by_key(|error| error.line);
    Err(errors.into_iter().map(|error| error.in_file(path)).collect())
}

/// Returns the valid servers, and adds what is wrong with the others to `errors`.
fn servers(rows: &[Row], settings: &Settings, errors: &mut Vec<LineError>) -> Vec<Server> {
    let mut servers: Vec<Server> = Vec::new();
    let mut rows_by_name: HashMap<String, &Row> = HashMap::new();
    let mut rows_by_address: HashMap<SocketAddr, &Row> = HashMap::new();
    for row in rows {
        if let Some(other) = rows_by_name.insert(folded_host_name(&row.name), row) {
            let problem = Problem::RepeatedHost { other: other.name.clone(), other_line: other.line };
            errors.push(LineError::new(row.line, row.name.clone(), problem));
        }
        let (member, address) = match row.server(settings.cells) {
            Ok(server) => server,
            Err(error) => {
                errors.push(error);
                continue;
            }
        };
        if let Some(other) = rows_by_address.insert(row::canonical(address), row) {
            let problem = Problem::RepeatedAddress { other: other.name.clone(), other_line: other.line };
            errors.push(LineError::new(row.line, row.key(row::ADDRESS), problem));
        }
        servers.push((member, Some(address)));
    }
    servers
}

/// Returns the number of the line that contains the byte at `offset`, counting from 1. A line ends with LF, CR LF or
/// CR.
fn line_of(bytes: &[u8], offset: usize) -> u64 {
    let before = &bytes[..offset.min(bytes.len())];
    let ends_line = |(at, byte): (usize, &u8)| match byte {
        b'\n' => true,
        b'\r' => bytes.get(at + 1) != Some(&b'\n'),
        _ => false,
    };
    1 + before.iter().enumerate().filter(|pair| ends_line(*pair)).count() as u64
}

/// Returns the number of the last line; 1 for an empty text.
fn last_line(text: &str) -> u64 {
    let line_end = text.trim_end_matches(['\n', '\r']).len();
    line_of(text.as_bytes(), line_end)
}

/// Returns whether the text ends within a line, in which it may be cut off.
fn ends_within_line(text: &str) -> bool {
    !text.is_empty() && !text.ends_with(['\n', '\r'])
}

#[cfg(test)]
mod tests;
