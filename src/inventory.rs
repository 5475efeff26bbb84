//! The inventory: servers listed in a CSV or YAML file, as configuration tools keep it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use std::{fmt, fs};

use serde::Deserialize;
use serde_json::Value;
use serde_saphyr::Spanned;

use crate::config::ogc::plain;
use crate::core::Member;
use crate::discovery::ServerList;
use crate::interface::{ServerState, Time};

/// What is wrong with an inventory, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryError {
    /// The file.
    pub file: String,
    /// The line; 0 where the whole is at fault.
    pub line: u64,
    /// The key: a column, or a host's or group's variable.
    pub key: String,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for InventoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: line {}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.fault)
    }
}

impl std::error::Error for InventoryError {}

/// A line, a key and a fault, before the file's name is known.
type Fault = (u64, String, String);

/// A server as a file lists it: each value with the line and key that it came from.
#[derive(Default)]
struct Row {
    name: String,
    line: u64,
    values: BTreeMap<String, (u64, String)>,
}

impl Row {
    fn value(&self, key: &str) -> Result<(u64, &str), Fault> {
        let found = self.values.get(key).map(|(line, text)| (*line, text.as_str()));
        found
            .filter(|(_, text)| !text.is_empty())
            .ok_or_else(|| (self.line, self.key(key), "is missing".into()))
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.name)
    }

    fn server(&self) -> Result<(Member, Option<SocketAddr>), Fault> {
        let (line, address) = match (self.value("address"), self.value("ansible_host")) {
            (Ok((line, text)), _) => (line, text.to_owned()),
            (Err(_), Ok((line, host))) => (line, format!("{host}:{}", self.value("ansible_port")?.1)),
            (Err(fault), Err(_)) => return Err(fault),
        };
        let address = address
            .parse::<SocketAddr>()
            .map_err(|_| (line, self.key("address"), format!("{address:?} is no address")))?;
        let (line, cell) = self.value("cell")?;
        let cell =
            cell.parse().map_err(|_| (line, self.key("cell"), format!("{cell:?} is no cell's number")))?;
        let (line, state) = self.value("state").unwrap_or((self.line, "up"));
        let state = match state {
            "up" => ServerState::Up,
            "draining" => ServerState::Draining,
            "removed" => ServerState::Removed,
            other => {
                let fault = format!("{other:?} is none of up, draining, removed");
                return Err((line, self.key("state"), fault));
            }
        };
        let zone = self.value("zone")?.1.to_owned();
        Ok((Member { name: self.name.clone(), zone, cell, state, started: None }, Some(address)))
    }
}

type Server = (Member, Option<SocketAddr>);

/// Reads an inventory: CSV where the file's name ends so, else YAML.
///
/// # Errors
///
/// Names the file, the line and the key at fault.
pub fn read(path: &Path, text: &str) -> Result<Vec<Server>, InventoryError> {
    let (servers, faults) = read_all(path, text);
    faults.into_iter().next().map_or(Ok(servers), Err)
}

/// All faults of an inventory.
pub fn faults(path: &Path, text: &str) -> Vec<InventoryError> {
    read_all(path, text).1
}

/// The servers that can be used, and every fault in the order of the lines.
fn read_all(path: &Path, text: &str) -> (Vec<Server>, Vec<InventoryError>) {
    let csv = path.extension().is_some_and(|end| end.eq_ignore_ascii_case("csv"));
    let rows = if csv { csv_rows(text) } else { yaml_rows(text) };
    let (mut servers, mut faults): (Vec<Server>, Vec<Fault>) = (Vec::new(), Vec::new());
    let mut addresses: HashMap<SocketAddr, String> = HashMap::new();
    match rows {
        Err(fault) => faults.push(fault),
        Ok(rows) => {
            for row in rows {
                match row.server() {
                    Err(fault) => faults.push(fault),
                    Ok((member, address)) => {
                        if let Some(other) = address.and_then(|a| addresses.insert(a, row.name.clone())) {
                            faults.push((row.line, row.key("address"), format!("is {other}'s too")));
                        }
                        servers.push((member, address));
                    }
                }
            }
        }
    }
    faults.sort_by_key(|(line, ..)| *line);
    let file = path.display().to_string();
    let named = |(line, key, fault)| InventoryError { file: file.clone(), line, key, fault };
    (servers, faults.into_iter().map(named).collect())
}

fn csv_rows(text: &str) -> Result<Vec<Row>, Fault> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let unreadable = |error: csv::Error| {
        let line = error.position().map_or(1, csv::Position::line);
        (line, String::new(), error.to_string())
    };
    let columns: Vec<String> = reader.headers().map_err(unreadable)?.iter().map(str::to_owned).collect();
    for column in ["name", "address", "zone", "cell"] {
        if !columns.iter().any(|c| c == column) {
            return Err((1, column.to_owned(), "the column is missing".into()));
        }
    }
    let mut rows: Vec<Row> = Vec::new();
    for record in reader.records() {
        let record = record.map_err(unreadable)?;
        let line = record.position().map_or(0, csv::Position::line);
        let values = columns.iter().zip(&record).map(|(key, text)| (key.clone(), (line, text.to_owned())));
        let mut row = Row { line, values: values.collect(), ..Row::default() };
        row.name = row.values.remove("name").map(|(_, name)| name).unwrap_or_default();
        if row.name.is_empty() {
            return Err((line, "name".into(), "is missing".into()));
        }
        if rows.iter().any(|r| r.name == row.name) {
            return Err((line, "name".into(), format!("{:?} is listed twice", row.name)));
        }
        rows.push(row);
    }
    Ok(rows)
}

/// A group: its hosts, the variables that they share, and the groups in it.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Group {
    hosts: Option<BTreeMap<String, Spanned<Option<Vars>>>>,
    vars: Option<Vars>,
    children: Option<BTreeMap<String, Option<Group>>>,
}

type Vars = BTreeMap<String, Spanned<Value>>;

/// Groups nest so deep at the most.
const MAX_DEPTH: usize = 32;

fn yaml_rows(text: &str) -> Result<Vec<Row>, Fault> {
    let groups: BTreeMap<String, Option<Group>> = serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |at| at.line());
        (line, String::new(), plain(&error))
    })?;
    let mut rows = BTreeMap::new();
    for group in groups.into_values().flatten() {
        add_group(&group, &BTreeMap::new(), 0, &mut rows)?;
    }
    Ok(rows.into_values().collect())
}

/// Adds a group's hosts. A variable of an inner group goes before one of an outer, a host's before both.
fn add_group(
    group: &Group,
    outer: &BTreeMap<String, (u64, String)>,
    depth: usize,
    rows: &mut BTreeMap<String, Row>,
) -> Result<(), Fault> {
    if depth > MAX_DEPTH {
        return Err((1, "children".into(), "groups nest too deep".into()));
    }
    let mut shared = outer.clone();
    shared.extend(group.vars.iter().flatten().map(variable));
    for child in group.children.iter().flat_map(BTreeMap::values).flatten() {
        add_group(child, &shared, depth + 1, rows)?;
    }
    for (name, vars) in group.hosts.iter().flatten() {
        let line = vars.referenced.line();
        let row =
            rows.entry(name.clone()).or_insert_with(|| Row { name: name.clone(), line, ..Row::default() });
        // A host may stand in several groups; what an inner one said is kept.
        for (key, value) in &shared {
            row.values.entry(key.clone()).or_insert_with(|| value.clone());
        }
        row.values.extend(vars.value.iter().flatten().map(variable));
    }
    Ok(())
}

fn variable((key, value): (&String, &Spanned<Value>)) -> (String, (u64, String)) {
    let text = match &value.value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    (key.clone(), (value.referenced.line(), text))
}

/// An inventory that is read again whenever its file has changed.
pub struct Inventory {
    path: PathBuf,
    /// The file's time and length when it was last read.
    seen: Option<(SystemTime, u64)>,
    /// Servers that came up after the first reading, and when.
    started: HashMap<String, Option<Time>>,
    readings: u64,
}

impl Inventory {
    /// An inventory that has not been read yet.
    pub fn new(path: PathBuf) -> Self {
        Inventory { path, seen: None, started: HashMap::new(), readings: 0 }
    }

    /// Reads the file if it has changed since the last time: a whole list, whose lines go the way of
    /// discovery's, drains included.
    ///
    /// # Errors
    ///
    /// When it can't be used; the last list stays valid.
    pub fn reread(&mut self, now: Time) -> Result<Option<ServerList>, InventoryError> {
        let lost = |error: std::io::Error| InventoryError {
            file: self.path.display().to_string(),
            line: 0,
            key: String::new(),
            fault: error.to_string(),
        };
        let about = fs::metadata(&self.path).map_err(lost)?;
        let seen = about.modified().ok().map(|at| (at, about.len()));
        if seen.is_some() && seen == self.seen {
            return Ok(None);
        }
        self.seen = seen;
        let text = fs::read_to_string(&self.path).map_err(lost)?;
        let mut members = read(&self.path, &text)?;
        let mut started = HashMap::new();
        for (member, _) in &mut members {
            // One that comes up while the broker runs has just started, and is treated as cold.
            let up = member.state == ServerState::Up;
            let before = self.started.get(&member.name).copied();
            member.started = before.unwrap_or(if self.readings > 0 { Some(now) } else { None });
            if up {
                started.insert(member.name.clone(), member.started);
            }
        }
        self.started = started;
        self.readings += 1;
        Ok(Some(ServerList { index: self.readings, is_full: true, members }))
    }
}
