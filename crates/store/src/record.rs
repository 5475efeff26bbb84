//! The records of the store, as they are written: JSON under the format version of the file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It serves.
    Up,
    /// It is not to be sent anything new.
    Draining,
    /// It is not in the list any more.
    Gone,
}

/// What is stored of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// How it stood last.
    pub standing: Standing,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// When that was noted, in Unix milliseconds.
    pub noted_ms: u64,
}

/// What is stored of the store itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the format.
    pub format: u32,
    /// The broker's name.
    pub name: String,
    /// A hash of what makes the installation: zones, classes, cells.
    pub site: String,
    /// Which discovery the list came from.
    pub discovery: String,
    /// The newest version of its list in the store.
    pub index: u64,
    /// How often the store was opened by a broker.
    pub opened: u64,
    /// Sum of the checks of all records: none may be missing or come from another state.
    pub sum: u32,
}

/// The check of a record under its key.
pub fn check(key: &str, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(bytes);
    hasher.finalize()
}

/// A record as it is written under its key: its check, then JSON. Pages that the engine has not rewritten are not
/// checked by it when it opens a file, so each record is checked here.
///
/// # Errors
///
/// When it can't be written as JSON.
pub fn encode(key: &str, record: &impl Serialize) -> Result<Vec<u8>, String> {
    let json = serde_json::to_vec(record).map_err(|error| error.to_string())?;
    Ok([&check(key, &json).to_be_bytes()[..], &json].concat())
}

/// The JSON of a record, and its check.
///
/// # Errors
///
/// When the check does not fit.
pub fn decode<'a>(key: &str, bytes: &'a [u8]) -> Result<(&'a [u8], u32), String> {
    let (sum, json) = bytes.split_first_chunk::<4>().ok_or("is cut short")?;
    let sum = u32::from_be_bytes(*sum);
    if sum == check(key, json) { Ok((json, sum)) } else { Err("its check does not fit".to_owned()) }
}
