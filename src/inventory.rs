//! The inventory: a list of servers in a CSV file or a YAML file in Ansible's inventory format. It replaces
//! discovery.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use std::{fmt, fs};

use serde::Deserialize;
use serde_json::Value;
use serde_saphyr::Spanned;

use crate::config::ogc::yaml_message;
use crate::core::Member;
use crate::discovery::ServerList;
use crate::interface::{ServerState, Time};

/// An error in an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryError {
    /// Path of the file.
    pub file: String,
    /// Line number; 0 if the error concerns the whole file.
    pub line: u64,
    /// Column, or host and variable; empty if the error concerns the whole line or file.
    pub key: String,
    /// Description of what is wrong.
    pub problem: String,
}

impl fmt::Display for InventoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: line {}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.problem)
    }
}

impl std::error::Error for InventoryError {}

/// An error before the file's path is added to it; see [`InventoryError`].
struct LineError {
    line: u64,
    key: String,
    problem: String,
}

impl LineError {
    fn new(line: u64, key: impl Into<String>, problem: impl Into<String>) -> Self {
        LineError { line, key: key.into(), problem: problem.into() }
    }
}

/// A value and the line that contains it.
#[derive(Clone)]
struct Field {
    line: u64,
    text: String,
}

/// A server as listed in a file, with its values by key.
#[derive(Default)]
struct Row {
    name: String,
    line: u64,
    values: BTreeMap<String, Field>,
}

impl Row {
    /// Returns the line and the text of a value; an empty one counts as missing.
    fn value(&self, key: &str) -> Result<(u64, &str), LineError> {
        let found = self.values.get(key).map(|field| (field.line, field.text.as_str()));
        found
            .filter(|(_, text)| !text.is_empty())
            .ok_or_else(|| LineError::new(self.line, self.key(key), "is missing"))
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.name)
    }

    fn server(&self) -> Result<Server, LineError> {
        let (line, address) = match (self.value("address"), self.value("ansible_host")) {
            (Ok((line, text)), _) => (line, text.to_owned()),
            (Err(_), Ok((line, host))) => (line, format!("{host}:{}", self.value("ansible_port")?.1)),
            (Err(error), Err(_)) => return Err(error),
        };
        let address = address
            .parse::<SocketAddr>()
            .map_err(|_| LineError::new(line, self.key("address"), format!("{address:?} is no address")))?;
        let (line, cell) = self.value("cell")?;
        let cell = cell
            .parse()
            .map_err(|_| LineError::new(line, self.key("cell"), format!("{cell:?} is not a cell number")))?;
        let (line, state) = self.value("state").unwrap_or((self.line, "up"));
        let state = match state {
            "up" => ServerState::Up,
            "draining" => ServerState::Draining,
            "removed" => ServerState::Removed,
            other => {
                let problem = format!("{other:?} is none of up, draining, removed");
                return Err(LineError::new(line, self.key("state"), problem));
            }
        };
        let zone = self.value("zone")?.1.to_owned();
        Ok((Member { name: self.name.clone(), zone, cell, state, started: None }, Some(address)))
    }
}

/// A server and its address.
type Server = (Member, Option<SocketAddr>);

/// Parses an inventory: CSV if the path has the extension `csv`, otherwise YAML.
///
/// # Errors
///
/// Returns the first error, with its file, line and key.
pub fn read(path: &Path, text: &str) -> Result<Vec<Server>, InventoryError> {
    let (servers, errors) = read_all(path, text);
    errors.into_iter().next().map_or(Ok(servers), Err)
}

/// Returns all errors in an inventory, in the order of the lines.
pub fn errors(path: &Path, text: &str) -> Vec<InventoryError> {
    read_all(path, text).1
}

/// Returns the valid servers, and all errors in the order of the lines.
fn read_all(path: &Path, text: &str) -> (Vec<Server>, Vec<InventoryError>) {
    let is_csv = path.extension().is_some_and(|extension| extension.eq_ignore_ascii_case("csv"));
    let rows = if is_csv { csv_rows(text) } else { yaml_rows(text) };
    let (mut servers, mut errors): (Vec<Server>, Vec<LineError>) = (Vec::new(), Vec::new());
    let mut addresses: HashMap<SocketAddr, String> = HashMap::new();
    match rows {
        Err(error) => errors.push(error),
        Ok(rows) => {
            for row in rows {
                match row.server() {
                    Err(error) => errors.push(error),
                    Ok((member, address)) => {
                        if let Some(other) = address.and_then(|a| addresses.insert(a, row.name.clone())) {
                            let problem = format!("is also the address of {other}");
                            errors.push(LineError::new(row.line, row.key("address"), problem));
                        }
                        servers.push((member, address));
                    }
                }
            }
        }
    }
    errors.sort_by_key(|error| error.line);
    let file = path.display().to_string();
    let with_file =
        |LineError { line, key, problem }| InventoryError { file: file.clone(), line, key, problem };
    (servers, errors.into_iter().map(with_file).collect())
}

fn csv_rows(text: &str) -> Result<Vec<Row>, LineError> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let invalid_csv = |error: csv::Error| {
        let line = error.position().map_or(1, csv::Position::line);
        LineError::new(line, "", error.to_string())
    };
    let columns: Vec<String> = reader.headers().map_err(invalid_csv)?.iter().map(str::to_owned).collect();
    for column in ["name", "address", "zone", "cell"] {
        if !columns.iter().any(|c| c == column) {
            return Err(LineError::new(1, column, "the column is missing"));
        }
    }
    let mut rows: Vec<Row> = Vec::new();
    for record in reader.records() {
        let record = record.map_err(invalid_csv)?;
        let line = record.position().map_or(0, csv::Position::line);
        let values = columns
            .iter()
            .zip(&record)
            .map(|(key, text)| (key.clone(), Field { line, text: text.to_owned() }));
        let mut row = Row { line, values: values.collect(), ..Row::default() };
        row.name = row.values.remove("name").map(|field| field.text).unwrap_or_default();
        if row.name.is_empty() {
            return Err(LineError::new(line, "name", "is missing"));
        }
        if rows.iter().any(|r| r.name == row.name) {
            return Err(LineError::new(line, "name", format!("{:?} is listed twice", row.name)));
        }
        rows.push(row);
    }
    Ok(rows)
}

/// A group: its hosts, their common variables, and its child groups.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Group {
    hosts: Option<BTreeMap<String, Spanned<Option<Vars>>>>,
    vars: Option<Vars>,
    children: Option<BTreeMap<String, Option<Group>>>,
}

/// Variables of a host or group.
type Vars = BTreeMap<String, Spanned<Value>>;

/// Maximum nesting depth of groups.
const MAX_DEPTH: usize = 32;

fn yaml_rows(text: &str) -> Result<Vec<Row>, LineError> {
    let groups: BTreeMap<String, Option<Group>> = serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |at| at.line());
        LineError::new(line, "", yaml_message(&error))
    })?;
    let mut rows = BTreeMap::new();
    for group in groups.into_values().flatten() {
        add_group(&group, &BTreeMap::new(), 0, &mut rows)?;
    }
    Ok(rows.into_values().collect())
}

/// Adds a group's hosts to `rows`. A host's variable overrides the same one of a group, and a child group's that of
/// its parent.
fn add_group(
    group: &Group,
    inherited: &BTreeMap<String, Field>,
    depth: usize,
    rows: &mut BTreeMap<String, Row>,
) -> Result<(), LineError> {
    if depth > MAX_DEPTH {
        return Err(LineError::new(1, "children", "groups are nested too deeply"));
    }
    let mut shared = inherited.clone();
    shared.extend(group.vars.iter().flatten().map(variable));
    for child in group.children.iter().flat_map(BTreeMap::values).flatten() {
        add_group(child, &shared, depth + 1, rows)?;
    }
    for (name, vars) in group.hosts.iter().flatten() {
        let line = vars.referenced.line();
        let row =
            rows.entry(name.clone()).or_insert_with(|| Row { name: name.clone(), line, ..Row::default() });
        // A host may be in several groups, and child groups are added first: their values are kept.
        for (key, value) in &shared {
            row.values.entry(key.clone()).or_insert_with(|| value.clone());
        }
        row.values.extend(vars.value.iter().flatten().map(variable));
    }
    Ok(())
}

fn variable((key, value): (&String, &Spanned<Value>)) -> (String, Field) {
    let text = match &value.value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    (key.clone(), Field { line: value.referenced.line(), text })
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

    /// Reads the file if it has changed since the last call. Returns the full list of servers, which is to be applied
    /// like one from discovery, including its draining servers, or `None` if the file has not changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is invalid; the last list stays valid.
    pub fn read_if_changed(&mut self, now: Time) -> Result<Option<ServerList>, InventoryError> {
        let unreadable = |error: std::io::Error| InventoryError {
            file: self.path.display().to_string(),
            line: 0,
            key: String::new(),
            problem: error.to_string(),
        };
        let metadata = fs::metadata(&self.path).map_err(unreadable)?;
        let state = metadata.modified().ok().map(|modified| FileState { modified, length: metadata.len() });
        if state.is_some() && state == self.last_read {
            return Ok(None);
        }
        self.last_read = state;
        let text = fs::read_to_string(&self.path).map_err(unreadable)?;
        let mut members = read(&self.path, &text)?;
        let mut started = HashMap::new();
        for (member, _) in &mut members {
            // A server that comes up while the broker runs has just started and is treated as cold.
            let is_up = member.state == ServerState::Up;
            let previous = self.started.get(&member.name).copied();
            member.started = previous.unwrap_or(if self.reads > 0 { Some(now) } else { None });
            if is_up {
                started.insert(member.name.clone(), member.started);
            }
        }
        self.started = started;
        self.reads += 1;
        Ok(Some(ServerList { index: self.reads, is_full: true, members }))
    }
}
