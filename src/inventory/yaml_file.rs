//! Reads the rows of an inventory in YAML, in Ansible's format.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;
use serde_saphyr::Spanned;

use super::error::{LineError, Problem};
use super::groups::Groups;
use super::row::{Field, Row, check_spelling, is_read, may_be_cut_off};
use crate::config::ogc::yaml_message;

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

/// Returns the rows of a YAML file, and all errors in it but for those in the values.
pub fn rows(text: &str) -> (Vec<Row>, Vec<LineError>) {
    let document: BTreeMap<String, Option<Group>> = match serde_saphyr::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let line = error.location().map_or(1, |at| at.line());
            return (Vec::new(), vec![LineError::new(line, "", Problem::Yaml(yaml_message(&error)))]);
        }
    };
    let mut collector = Collector::default();
    for (name, group) in &document {
        collector.add_group(name, group.as_ref(), None, 0);
    }
    let Collector { groups, mut errors } = collector;
    let (rows, merge_errors) = groups.into_rows();
    errors.extend(merge_errors);
    errors.extend(unfinished_last_line(text));
    (rows, errors)
}

/// Returns an error if the text ends within its last line, and the value there may be cut off.
fn unfinished_last_line(text: &str) -> Option<LineError> {
    let line = text.lines().last().filter(|_| super::ends_within_line(text))?.trim();
    let is_complete = line.starts_with('#') || line.ends_with(['}', ']', '"', '\'', ':']);
    let (key, value) = line.rsplit_once(": ").unwrap_or((line, ""));
    let key = key.trim();
    (!is_complete && may_be_cut_off(key, value.trim()))
        .then(|| LineError::new(super::last_line(text), key, Problem::UnfinishedLastLine))
}

/// Collects the groups of a document, and the errors on the way.
#[derive(Default)]
struct Collector {
    groups: Groups,
    errors: Vec<LineError>,
}

impl Collector {
    fn add_group(&mut self, name: &str, group: Option<&Group>, parent: Option<&str>, depth: usize) {
        if depth > MAX_DEPTH {
            self.errors.push(LineError::new(1, "children", Problem::NestedTooDeeply));
            return;
        }
        self.groups.add_group(name, parent);
        let Some(group) = group else { return };
        for (key, field) in self.fields(group.vars.as_ref()) {
            self.errors.extend(self.groups.set_group_var(name, key, field).err());
        }
        for (host, vars) in group.hosts.iter().flatten() {
            self.groups.add_host(name, host, vars.referenced.line());
            for (key, field) in self.fields(vars.value.as_ref()) {
                self.errors.extend(self.groups.set_host_var(host, key, field).err());
            }
        }
        for (child, group) in group.children.iter().flatten() {
            self.add_group(child, group.as_ref(), Some(name), depth + 1);
        }
    }

    /// Returns the variables that the broker reads, with their texts.
    fn fields(&mut self, vars: Option<&Vars>) -> Vec<(String, Field)> {
        let mut fields = Vec::new();
        for (key, value) in vars.into_iter().flatten() {
            let line = value.referenced.line();
            self.errors.extend(check_spelling(line, key).err());
            if is_read(key) {
                fields.push((key.clone(), Field { line, text: scalar_text(&value.value) }));
            }
        }
        fields
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
