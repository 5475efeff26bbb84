//! Groups of hosts, and the values that a host gets from its own variables and from those of its groups.
//!
//! A host's variable overrides that of its groups, and a group's that of the groups above it. A group of the same name
//! in several places is one group. Every group is below `all`. Values that differ where neither overrides the other
//! are a contradiction.

use std::collections::{BTreeMap, BTreeSet};

use super::error::{LineError, Problem};
use super::row::{Field, Row, contradiction};

/// The group that contains all others.
const ALL: &str = "all";

#[derive(Default)]
struct Group {
    parents: BTreeSet<String>,
    vars: BTreeMap<String, Field>,
}

#[derive(Default)]
struct Host {
    line: u64,
    groups: BTreeSet<String>,
    vars: BTreeMap<String, Field>,
}

/// Groups and hosts by name.
#[derive(Default)]
pub struct Groups {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, Host>,
}

impl Groups {
    /// Adds a group below its parent, or below `all`.
    pub fn add_group(&mut self, name: &str, parent: Option<&str>) {
        let group = self.groups.entry(name.to_owned()).or_default();
        let parent = parent.unwrap_or(ALL);
        if parent != name || name != ALL {
            group.parents.insert(parent.to_owned());
        }
    }

    /// Adds a host to a group.
    pub fn add_host(&mut self, group: &str, name: &str, line: u64) {
        let host = self.hosts.entry(name.to_owned()).or_insert_with(|| Host { line, ..Host::default() });
        host.groups.insert(group.to_owned());
    }

    /// Sets a variable of a group. Fails if the group has another value of this name.
    pub fn set_group_var(&mut self, group: &str, key: String, field: Field) -> Result<(), LineError> {
        let vars = &mut self.groups.entry(group.to_owned()).or_default().vars;
        set_once(vars, group, key, field)
    }

    /// Sets a variable of a host. Fails if the host has another value of this name.
    pub fn set_host_var(&mut self, host: &str, key: String, field: Field) -> Result<(), LineError> {
        let vars = &mut self.hosts.entry(host.to_owned()).or_default().vars;
        set_once(vars, host, key, field)
    }

    /// Returns a row for each host, with the values that apply to it, and all contradictions.
    pub fn into_rows(self) -> (Vec<Row>, Vec<LineError>) {
        let mut errors = Vec::new();
        let ancestors: BTreeMap<&str, BTreeSet<&str>> =
            self.groups.keys().map(|name| (name.as_str(), self.ancestors(name))).collect();
        for (name, above) in &ancestors {
            if above.contains(name) {
                errors.push(LineError::new(1, *name, Problem::GroupCycle));
            }
        }
        if !errors.is_empty() {
            return (Vec::new(), errors);
        }
        let mut rows = Vec::new();
        for (name, host) in &self.hosts {
            let mut row = Row { name: name.clone(), line: host.line, values: host.vars.clone() };
            for (key, fields) in self.group_fields(host, &ancestors) {
                match agreed(&fields) {
                    _ if row.values.contains_key(key) => {}
                    Ok(field) => drop(row.values.insert(key.to_owned(), field.clone())),
                    Err((field, other)) => {
                        let line = field.line.max(other.line);
                        errors.push(LineError::new(line, row.key(key), contradiction(field, other)));
                        row.values.insert(key.to_owned(), field.clone());
                    }
                }
            }
            rows.push(row);
        }
        (rows, errors)
    }

    /// Returns all groups above a group; contains the group itself if it is below itself.
    fn ancestors<'a>(&'a self, name: &'a str) -> BTreeSet<&'a str> {
        let mut found = BTreeSet::new();
        let mut open: Vec<&str> = vec![name];
        while let Some(name) = open.pop() {
            let parents = self.groups.get(name).into_iter().flat_map(|group| &group.parents);
            open.extend(parents.filter(|parent| found.insert(parent.as_str())).map(String::as_str));
        }
        found
    }

    /// Returns the values that a host gets from its groups, by name, without those that a group below overrides.
    fn group_fields<'a>(
        &'a self,
        host: &'a Host,
        ancestors: &BTreeMap<&'a str, BTreeSet<&'a str>>,
    ) -> BTreeMap<&'a str, Vec<&'a Field>> {
        let mut groups: BTreeSet<&str> = host.groups.iter().map(String::as_str).collect();
        groups.extend(host.groups.iter().filter_map(|name| ancestors.get(name.as_str())).flatten());
        let mut setters: BTreeMap<&str, Vec<(&str, &Field)>> = BTreeMap::new();
        for name in groups {
            for (key, field) in self.groups.get(name).into_iter().flat_map(|group| &group.vars) {
                setters.entry(key).or_default().push((name, field));
            }
        }
        let is_above =
            |name: &str, other: &str| ancestors.get(other).is_some_and(|above| above.contains(name));
        let in_force = |setters: Vec<(&'a str, &'a Field)>| {
            let overridden = |name: &str| setters.iter().any(|(other, _)| is_above(name, other));
            setters.iter().filter(|(name, _)| !overridden(name)).map(|(_, field)| *field).collect()
        };
        setters.into_iter().map(|(key, setters)| (key, in_force(setters))).collect()
    }
}

fn set_once(
    vars: &mut BTreeMap<String, Field>,
    owner: &str,
    key: String,
    field: Field,
) -> Result<(), LineError> {
    match vars.get(&key) {
        Some(other) if other.text != field.text => {
            let line = field.line.max(other.line);
            Err(LineError::new(line, format!("{owner}.{key}"), contradiction(&field, other)))
        }
        Some(_) => Ok(()),
        None => {
            vars.insert(key, field);
            Ok(())
        }
    }
}

/// Returns the value on which all fields agree, or two that differ. There is at least one field.
fn agreed<'a>(fields: &[&'a Field]) -> Result<&'a Field, (&'a Field, &'a Field)> {
    let first = fields[0];
    match fields.iter().find(|field| field.text != first.text) {
        None => Ok(first),
        Some(other) => Err((first, other)),
    }
}
