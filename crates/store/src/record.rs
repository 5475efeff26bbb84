//! The store's records as they are written: JSON, under the format version of the file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The status of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerStatus {
    /// It accepts attempts.
    Up,
    /// It may not be sent new attempts.
    Draining,
    /// It has been removed from the list.
    Gone,
}

/// The record of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    /// Its last known status.
    #[serde(rename = "standing")]
    pub status: ServerStatus,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// The address it listens on.
    pub address: Option<SocketAddr>,
    /// When its process started, in Unix milliseconds; 0 if unknown or too long ago to matter.
    pub started_ms: u64,
    /// When this record was updated, in Unix milliseconds.
    pub noted_ms: u64,
}

/// The record of the store itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreHeader {
    /// Format version of the file.
    pub format: u32,
    /// The broker's name.
    pub name: String,
    /// A hash of the configuration that identifies the installation: zones, classes, cells.
    pub site: String,
    /// The discovery that the list came from.
    pub discovery: String,
    /// The newest version of discovery's list in the store.
    pub index: u64,
    /// How many times a broker has opened the store.
    pub opened: u64,
    /// Wrapping sum of the checksums of all server records, which reveals a missing record or one of another
    /// state.
    pub sum: u32,
}

/// The CRC-32 of a record and its key.
pub fn checksum(key: &str, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(bytes);
    hasher.finalize()
}

/// Encodes a record for its key: the checksum as 4 bytes, big-endian, then JSON. Each record has its own
/// checksum because the engine, when it opens a file, does not verify pages that it has not rewritten.
///
/// # Errors
///
/// When the record can't be serialized as JSON.
pub fn encode(key: &str, record: &impl Serialize) -> Result<Vec<u8>, String> {
    let json = serde_json::to_vec(record).map_err(|error| error.to_string())?;
    Ok([&checksum(key, &json).to_be_bytes()[..], &json].concat())
}

/// Returns the JSON of an encoded record, and its checksum.
///
/// # Errors
///
/// When the record is too short or its checksum does not match.
pub fn decode<'a>(key: &str, bytes: &'a [u8]) -> Result<(&'a [u8], u32), String> {
    let (stored, json) = bytes.split_first_chunk::<4>().ok_or("is truncated")?;
    let stored = u32::from_be_bytes(*stored);
    if stored == checksum(key, json) { Ok((json, stored)) } else { Err("has a wrong checksum".to_owned()) }
}
