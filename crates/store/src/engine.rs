//! The store's file: opened, read completely and written in transactions. A change is durable once its commit
//! has succeeded.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};

use crate::reconcile::StoredState;
use crate::record::{ServerRecord, StoreHeader, decode, encode};

/// Format version that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;
const HEADER_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("head");
const SERVERS_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("servers");
const HEADER_KEY: &str = "head";
/// Cache of the database engine, in bytes; larger than any store.
const CACHE_BYTES: usize = 1024 * 1024;

/// The owner of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The broker's name.
    pub name: String,
    /// A hash that identifies the installation.
    pub site: String,
}

/// Why a store can't be used or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Another process has it open.
    Locked,
    /// Its format version, given here, is newer than [`FORMAT_VERSION`].
    NewerFormat(u32),
    /// It belongs to another broker or installation, which is described here.
    WrongOwner(String),
    /// It can't be read completely or consistently, or the engine failed.
    Corrupt(String),
    /// The file is missing or can't be created.
    Io(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Locked => f.write_str("another process has it open"),
            StoreError::NewerFormat(format) => {
                write!(f, "its format {format} is newer than {FORMAT_VERSION}")
            }
            StoreError::WrongOwner(whose) => write!(f, "it belongs to {whose}"),
            StoreError::Corrupt(what) => write!(f, "it is damaged: {what}"),
            StoreError::Io(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for StoreError {}

/// An open store.
pub struct Store {
    database: Database,
    header: StoreHeader,
}

fn corrupt(error: impl fmt::Display) -> StoreError {
    StoreError::Corrupt(error.to_string())
}

/// Runs an operation of the database engine, which may panic on a damaged file, and reports a panic as
/// [`StoreError::Corrupt`].
fn catch_engine_panic<T>(operation: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(operation)).unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<String>().cloned();
        let message = message.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        Err(StoreError::Corrupt(message.unwrap_or_else(|| "the database engine panicked".to_owned())))
    })
}

impl Store {
    /// Opens a broker's store, or creates it, and returns it with its contents.
    ///
    /// # Errors
    ///
    /// When it can't be used; its contents are unchanged then.
    pub fn open(path: &Path, owner: &Owner) -> Result<(Self, StoredState), StoreError> {
        let new = !path.exists();
        catch_engine_panic(|| {
            let mut store = Self::open_file(path, new)?;
            if new {
                store.header = StoreHeader {
                    format: FORMAT_VERSION,
                    name: owner.name.clone(),
                    site: owner.site.clone(),
                    discovery: String::new(),
                    index: 0,
                    opened: 0,
                    sum: 0,
                };
            } else if store.header.name != owner.name || store.header.site != owner.site {
                let StoreHeader { name, site, .. } = &store.header;
                return Err(StoreError::WrongOwner(format!("broker {name} of installation {site}")));
            }
            let stored = if new { StoredState::default() } else { store.read()? };
            store.header.opened += 1;
            store.commit(&BTreeMap::new(), None)?;
            Ok((store, stored))
        })
    }

    /// Opens an existing store of any owner, for inspection.
    ///
    /// # Errors
    ///
    /// When it can't be used.
    pub fn open_existing(path: &Path) -> Result<Self, StoreError> {
        if !path.exists() {
            return Err(StoreError::Io("there is no such file".to_owned()));
        }
        catch_engine_panic(|| Self::open_file(path, false))
    }

    fn open_file(path: &Path, new: bool) -> Result<Self, StoreError> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        let opened = if new { builder.create(path) } else { builder.open(path) };
        let database = opened.map_err(|error| match error {
            DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
            DatabaseError::Storage(redb::StorageError::Io(error)) if new => StoreError::Io(error.to_string()),
            error => corrupt(error),
        })?;
        let empty = StoreHeader {
            format: FORMAT_VERSION,
            name: String::new(),
            site: String::new(),
            discovery: String::new(),
            index: 0,
            opened: 0,
            sum: 0,
        };
        let mut store = Store { database, header: empty };
        if !new {
            store.header = store.read_header()?;
        }
        Ok(store)
    }

    fn read_header(&self) -> Result<StoreHeader, StoreError> {
        let read = self.database.begin_read().map_err(corrupt)?;
        let table = read.open_table(HEADER_TABLE).map_err(corrupt)?;
        let bytes = table.get(HEADER_KEY).map_err(corrupt)?;
        let bytes = bytes.ok_or_else(|| StoreError::Corrupt("it has no header".to_owned()))?;
        // The version is checked first, as the header of a newer format may have other fields.
        let (json, _) = decode(HEADER_KEY, bytes.value())
            .map_err(|error| StoreError::Corrupt(format!("its header {error}")))?;
        let value: serde_json::Value = serde_json::from_slice(json).map_err(corrupt)?;
        let format = value["format"].as_u64().and_then(|format| u32::try_from(format).ok());
        match format {
            Some(FORMAT_VERSION) => serde_json::from_value(value).map_err(corrupt),
            Some(newer) if newer > FORMAT_VERSION => Err(StoreError::NewerFormat(newer)),
            _ => Err(StoreError::Corrupt("its header has no format version".to_owned())),
        }
    }

    /// The header.
    pub fn header(&self) -> &StoreHeader {
        &self.header
    }

    /// Reads all records.
    ///
    /// # Errors
    ///
    /// Names the first record that can't be read; none of the store's contents may be used then.
    pub fn read(&self) -> Result<StoredState, StoreError> {
        catch_engine_panic(|| {
            let read = self.database.begin_read().map_err(corrupt)?;
            let table = read.open_table(SERVERS_TABLE).map_err(corrupt)?;
            let (mut servers, mut sum) = (BTreeMap::new(), 0_u32);
            for entry in table.iter().map_err(corrupt)? {
                let (name, bytes) = entry.map_err(corrupt)?;
                let name = name.value().to_owned();
                let error_in = |detail: String| StoreError::Corrupt(format!("servers: {name}: {detail}"));
                let (json, checksum) = decode(&name, bytes.value()).map_err(error_in)?;
                let server: ServerRecord =
                    serde_json::from_slice(json).map_err(|error| error_in(error.to_string()))?;
                sum = sum.wrapping_add(checksum);
                servers.insert(name, server);
            }
            if sum != self.header.sum {
                return Err(StoreError::Corrupt(
                    "its records do not belong to one state: their checksums do not add up".to_owned(),
                ));
            }
            Ok(StoredState { discovery: self.header.discovery.clone(), index: self.header.index, servers })
        })
    }

    /// Writes servers in one transaction; `None` deletes a server's record. `list` gives the discovery
    /// address and the list version that the change came from.
    ///
    /// # Errors
    ///
    /// When the change may not be durable.
    pub fn commit(
        &mut self,
        servers: &BTreeMap<String, Option<ServerRecord>>,
        list: Option<(&str, u64)>,
    ) -> Result<(), StoreError> {
        let mut header = self.header.clone();
        if let Some((discovery, index)) = list {
            (header.discovery, header.index) = (discovery.to_owned(), index);
        }
        catch_engine_panic(|| {
            let write = self.database.begin_write().map_err(corrupt)?;
            {
                let mut table = write.open_table(SERVERS_TABLE).map_err(corrupt)?;
                for (name, server) in servers {
                    let checksum_of =
                        |bytes: &[u8]| decode(name, bytes).map_err(corrupt).map(|(_, checksum)| checksum);
                    let old = match server {
                        Some(server) => {
                            let bytes = encode(name, server).map_err(corrupt)?;
                            header.sum = header.sum.wrapping_add(checksum_of(&bytes)?);
                            table.insert(name.as_str(), bytes.as_slice()).map_err(corrupt)?
                        }
                        None => table.remove(name.as_str()).map_err(corrupt)?,
                    };
                    if let Some(old) = old {
                        header.sum = header.sum.wrapping_sub(checksum_of(old.value())?);
                    }
                }
                let mut table = write.open_table(HEADER_TABLE).map_err(corrupt)?;
                let bytes = encode(HEADER_KEY, &header).map_err(corrupt)?;
                table.insert(HEADER_KEY, bytes.as_slice()).map_err(corrupt)?;
            }
            write.commit().map_err(corrupt)
        })?;
        self.header = header;
        Ok(())
    }
}

/// Renames a store that can't be used, by appending `.aside` to its file name, and returns the new path.
///
/// # Errors
///
/// When the file can't be renamed.
pub fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let mut aside = path.as_os_str().to_owned();
    aside.push(".aside");
    // Only the newest is kept, for analysis, so that they can't fill the disk.
    fs::rename(path, &aside)?;
    Ok(aside.into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::ServerStatus;

    /// A temporary directory, removed on drop.
    struct TempDir(PathBuf);

    impl TempDir {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("badgergauge-store-{}-{name}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            fs::create_dir_all(&path).expect("created");
            TempDir(path)
        }

        fn file(&self) -> PathBuf {
            self.0.join("state")
        }
    }

    impl Drop for TempDir {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn owner() -> Owner {
        Owner { name: "b0".into(), site: "s".into() }
    }

    fn server(status: ServerStatus, noted_ms: u64) -> ServerRecord {
        let (zone, cell) = ("z".to_owned(), 1);
        ServerRecord { status, zone, cell, address: "127.0.0.1:9".parse().ok(), started_ms: 5, noted_ms }
    }

    /// A store with 20 servers written and one of them deleted again.
    fn filled(path: &Path) -> StoredState {
        let (mut store, _) = Store::open(path, &owner()).expect("opens");
        for n in 0..20 {
            let put = BTreeMap::from([(format!("s{n}"), Some(server(ServerStatus::Draining, n)))]);
            store.commit(&put, Some(("d", n))).expect("durable");
        }
        store.commit(&BTreeMap::from([("s3".to_owned(), None)]), None).expect("durable");
        store.read().expect("consistent")
    }

    #[test]
    fn committed_changes_survive_a_restart() {
        let dir = TempDir::new("restart");
        let before = filled(&dir.file());
        assert_eq!((before.servers.len(), before.index, before.discovery.as_str()), (19, 19, "d"));
        let (store, after) = Store::open(&dir.file(), &owner()).expect("opens");
        assert_eq!((after, store.header().opened), (before, 2));
    }

    #[test]
    fn a_locked_foreign_or_newer_store_is_refused() {
        let dir = TempDir::new("refused");
        filled(&dir.file());
        let locked = Store::open_existing(&dir.file()).expect("opens");
        assert_eq!(Store::open(&dir.file(), &owner()).err(), Some(StoreError::Locked));
        drop(locked);
        for owner in [Owner { name: "b1".into(), ..owner() }, Owner { site: "t".into(), ..owner() }] {
            let error = Store::open(&dir.file(), &owner).err();
            assert!(matches!(error, Some(StoreError::WrongOwner(_))), "{error:?}");
        }
        let mut newer = Store::open_existing(&dir.file()).expect("opens");
        newer.header.format = FORMAT_VERSION + 1;
        newer.commit(&BTreeMap::new(), None).expect("durable");
        drop(newer);
        assert_eq!(
            Store::open(&dir.file(), &owner()).err(),
            Some(StoreError::NewerFormat(FORMAT_VERSION + 1))
        );
    }

    // Guards against a damaged file being accepted: truncated at various offsets or with a bit flipped, it is
    // either refused or gives exactly the last committed state.
    #[test]
    fn a_truncated_or_corrupt_file_gives_the_last_state_or_is_refused() {
        let dir = TempDir::new("damaged");
        let before = filled(&dir.file());
        let intact = fs::read(dir.file()).expect("read");
        let (mut same, mut refused) = (0, 0);
        let mut check = |bytes: &[u8], what: String| {
            let path = dir.0.join("broken");
            fs::write(&path, bytes).expect("written");
            match Store::open(&path, &owner()) {
                Ok((_, after)) => {
                    assert_eq!(after, before, "{what}");
                    same += 1;
                }
                Err(_) => refused += 1,
            }
        };
        let step = intact.len() / 150 + 1;
        for end in (0..intact.len()).step_by(step) {
            check(&intact[..end], format!("truncated at {end}"));
        }
        for at in (0..intact.len()).step_by(step) {
            let mut bytes = intact.clone();
            bytes[at] ^= 1 << (at % 8);
            check(&bytes, format!("bit flipped at {at}"));
        }
        assert!(refused >= 100, "{refused} refused, {same} with the last state");
        let aside = set_aside(&dir.file()).expect("moved");
        assert!(aside.exists() && !dir.file().exists());
    }
}
