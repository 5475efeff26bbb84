//! The file: opened, read whole, written in transactions. Each change is durable once it is said to be.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};

use crate::plan::Stored;
use crate::record::{Head, Server, decode, encode};

/// Version of the format that is written here.
pub const FORMAT: u32 = 1;
const HEAD: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("head");
const SERVERS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("servers");
const HEAD_KEY: &str = "head";
/// The engine's cache: the whole store is smaller.
const CACHE: usize = 1024 * 1024;

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The broker's name.
    pub name: String,
    /// A hash of what makes the installation.
    pub site: String,
}

/// Why a store can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Another process has it open.
    Locked,
    /// It is of a newer format.
    Newer(u32),
    /// It belongs to another broker or installation.
    Foreign(String),
    /// It can't be read whole.
    Damaged(String),
    /// The system refuses the file.
    Refused(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Locked => f.write_str("another process has it open"),
            Fault::Newer(format) => write!(f, "its format {format} is newer than {FORMAT}"),
            Fault::Foreign(whose) => write!(f, "it belongs to {whose}"),
            Fault::Damaged(what) => write!(f, "it is damaged: {what}"),
            Fault::Refused(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Fault {}

/// An open store.
pub struct Store {
    database: Database,
    head: Head,
}

fn damaged(error: impl fmt::Display) -> Fault {
    Fault::Damaged(error.to_string())
}

/// Runs what may panic inside of the engine on a damaged file: that is a fault of the file.
fn caught<T>(work: impl FnOnce() -> Result<T, Fault>) -> Result<T, Fault> {
    catch_unwind(AssertUnwindSafe(work)).unwrap_or_else(|panic| {
        let said = panic.downcast_ref::<String>().cloned();
        let said = said.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        Err(Fault::Damaged(said.unwrap_or_else(|| "the engine gave up".to_owned())))
    })
}

impl Store {
    /// Opens a broker's store, or makes it.
    ///
    /// # Errors
    ///
    /// When it can't be used; nothing in it was changed then.
    pub fn open(path: &Path, owner: &Owner) -> Result<(Self, Stored), Fault> {
        let new = !path.exists();
        caught(|| {
            let mut store = Self::open_any(path, new)?;
            if new {
                store.head = Head {
                    format: FORMAT,
                    name: owner.name.clone(),
                    site: owner.site.clone(),
                    discovery: String::new(),
                    index: 0,
                    opened: 0,
                    sum: 0,
                };
            } else if store.head.name != owner.name || store.head.site != owner.site {
                let Head { name, site, .. } = &store.head;
                return Err(Fault::Foreign(format!("broker {name} of installation {site}")));
            }
            let stored = if new { Stored::default() } else { store.read()? };
            store.head.opened += 1;
            store.commit(&BTreeMap::new(), None)?;
            Ok((store, stored))
        })
    }

    /// Opens a store to look into it, whoever it belongs to.
    ///
    /// # Errors
    ///
    /// When it can't be used.
    pub fn look(path: &Path) -> Result<Self, Fault> {
        if !path.exists() {
            return Err(Fault::Refused("there is no such file".to_owned()));
        }
        caught(|| Self::open_any(path, false))
    }

    fn open_any(path: &Path, new: bool) -> Result<Self, Fault> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        let opened = if new { builder.create(path) } else { builder.open(path) };
        let database = opened.map_err(|error| match error {
            DatabaseError::DatabaseAlreadyOpen => Fault::Locked,
            DatabaseError::Storage(redb::StorageError::Io(error)) if new => Fault::Refused(error.to_string()),
            error => damaged(error),
        })?;
        let empty = Head {
            format: FORMAT,
            name: String::new(),
            site: String::new(),
            discovery: String::new(),
            index: 0,
            opened: 0,
            sum: 0,
        };
        let mut store = Store { database, head: empty };
        if !new {
            store.head = store.read_head()?;
        }
        Ok(store)
    }

    fn read_head(&self) -> Result<Head, Fault> {
        let read = self.database.begin_read().map_err(damaged)?;
        let table = read.open_table(HEAD).map_err(damaged)?;
        let bytes = table.get(HEAD_KEY).map_err(damaged)?;
        let bytes = bytes.ok_or_else(|| Fault::Damaged("it has no head".to_owned()))?;
        // The version is looked at first: a newer head may have other fields.
        let (json, _) =
            decode(HEAD_KEY, bytes.value()).map_err(|fault| Fault::Damaged(format!("its head {fault}")))?;
        let value: serde_json::Value = serde_json::from_slice(json).map_err(damaged)?;
        let format = value["format"].as_u64().and_then(|format| u32::try_from(format).ok());
        match format {
            Some(FORMAT) => serde_json::from_value(value).map_err(damaged),
            Some(newer) if newer > FORMAT => Err(Fault::Newer(newer)),
            _ => Err(Fault::Damaged("its head has no format".to_owned())),
        }
    }

    /// The head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Reads everything.
    ///
    /// # Errors
    ///
    /// Names the first record that can't be read: then nothing of the store is to be believed.
    pub fn read(&self) -> Result<Stored, Fault> {
        caught(|| {
            let read = self.database.begin_read().map_err(damaged)?;
            let table = read.open_table(SERVERS).map_err(damaged)?;
            let (mut servers, mut sum) = (BTreeMap::new(), 0_u32);
            for entry in table.iter().map_err(damaged)? {
                let (name, bytes) = entry.map_err(damaged)?;
                let name = name.value().to_owned();
                let fault = |said: String| Fault::Damaged(format!("servers: {name}: {said}"));
                let (json, check) = decode(&name, bytes.value()).map_err(fault)?;
                let server: Server =
                    serde_json::from_slice(json).map_err(|error| fault(error.to_string()))?;
                sum = sum.wrapping_add(check);
                servers.insert(name, server);
            }
            if sum != self.head.sum {
                return Err(Fault::Damaged("its records are not those of one state".to_owned()));
            }
            Ok(Stored { discovery: self.head.discovery.clone(), index: self.head.index, servers })
        })
    }

    /// Writes servers, and with `list` the discovery and version that they came from, in one transaction. `None`
    /// for a server forgets it.
    ///
    /// # Errors
    ///
    /// When it is not known to be durable.
    pub fn commit(
        &mut self,
        servers: &BTreeMap<String, Option<Server>>,
        list: Option<(&str, u64)>,
    ) -> Result<(), Fault> {
        let mut head = self.head.clone();
        if let Some((discovery, index)) = list {
            (head.discovery, head.index) = (discovery.to_owned(), index);
        }
        caught(|| {
            let write = self.database.begin_write().map_err(damaged)?;
            {
                let mut table = write.open_table(SERVERS).map_err(damaged)?;
                for (name, server) in servers {
                    let sum_of = |bytes: &[u8]| decode(name, bytes).map_err(damaged).map(|(_, sum)| sum);
                    let old = match server {
                        Some(server) => {
                            let bytes = encode(name, server).map_err(damaged)?;
                            head.sum = head.sum.wrapping_add(sum_of(&bytes)?);
                            table.insert(name.as_str(), bytes.as_slice()).map_err(damaged)?
                        }
                        None => table.remove(name.as_str()).map_err(damaged)?,
                    };
                    if let Some(old) = old {
                        head.sum = head.sum.wrapping_sub(sum_of(old.value())?);
                    }
                }
                let mut table = write.open_table(HEAD).map_err(damaged)?;
                let bytes = encode(HEAD_KEY, &head).map_err(damaged)?;
                table.insert(HEAD_KEY, bytes.as_slice()).map_err(damaged)?;
            }
            write.commit().map_err(damaged)
        })?;
        self.head = head;
        Ok(())
    }
}

/// Moves a store that can't be used out of the way, beside where it was. Gives where it is now.
///
/// # Errors
///
/// When the system refuses.
pub fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let mut aside = path.as_os_str().to_owned();
    aside.push(".aside");
    // One is kept: the newest is the one to look into, and they must not fill the disk.
    fs::rename(path, &aside)?;
    Ok(aside.into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Standing;

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("badgergauge-store-{}-{name}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            fs::create_dir_all(&path).expect("made");
            Folder(path)
        }

        fn file(&self) -> PathBuf {
            self.0.join("state")
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn owner() -> Owner {
        Owner { name: "b0".into(), site: "s".into() }
    }

    fn server(standing: Standing, noted_ms: u64) -> Server {
        let (zone, cell) = ("z".to_owned(), 1);
        Server { standing, zone, cell, address: "127.0.0.1:9".parse().ok(), started_ms: 5, noted_ms }
    }

    fn filled(path: &Path) -> Stored {
        let (mut store, _) = Store::open(path, &owner()).expect("opens");
        for n in 0..20 {
            let put = BTreeMap::from([(format!("s{n}"), Some(server(Standing::Draining, n)))]);
            store.commit(&put, Some(("d", n))).expect("durable");
        }
        store.commit(&BTreeMap::from([("s3".to_owned(), None)]), None).expect("durable");
        store.read().expect("whole")
    }

    #[test]
    fn what_was_committed_is_there_after_a_restart() {
        let folder = Folder::new("restart");
        let before = filled(&folder.file());
        assert_eq!((before.servers.len(), before.index, before.discovery.as_str()), (19, 19, "d"));
        let (store, after) = Store::open(&folder.file(), &owner()).expect("opens");
        assert_eq!((after, store.head().opened), (before, 2));
    }

    #[test]
    fn a_store_in_use_of_another_or_of_a_newer_format_is_refused() {
        let folder = Folder::new("refused");
        filled(&folder.file());
        let held = Store::look(&folder.file()).expect("opens");
        assert_eq!(Store::open(&folder.file(), &owner()).err(), Some(Fault::Locked));
        drop(held);
        for owner in [Owner { name: "b1".into(), ..owner() }, Owner { site: "t".into(), ..owner() }] {
            let fault = Store::open(&folder.file(), &owner).err();
            assert!(matches!(fault, Some(Fault::Foreign(_))), "{fault:?}");
        }
        let mut newer = Store::look(&folder.file()).expect("opens");
        newer.head.format = FORMAT + 1;
        newer.commit(&BTreeMap::new(), None).expect("durable");
        drop(newer);
        assert_eq!(Store::open(&folder.file(), &owner()).err(), Some(Fault::Newer(FORMAT + 1)));
    }

    // The file cut at a spread of offsets, and bits flipped in it: the last whole state, or a refusal, and nothing
    // else; each in bounded time.
    #[test]
    fn a_file_cut_or_flipped_gives_the_last_state_or_is_refused() {
        let folder = Folder::new("cut");
        let before = filled(&folder.file());
        let whole = fs::read(folder.file()).expect("read");
        let (mut same, mut refused) = (0, 0);
        let mut check = |bytes: &[u8], what: String| {
            let path = folder.0.join("broken");
            fs::write(&path, bytes).expect("written");
            match Store::open(&path, &owner()) {
                Ok((_, after)) => {
                    assert_eq!(after, before, "{what}");
                    same += 1;
                }
                Err(_) => refused += 1,
            }
        };
        let step = whole.len() / 150 + 1;
        for end in (0..whole.len()).step_by(step) {
            check(&whole[..end], format!("cut at {end}"));
        }
        for at in (0..whole.len()).step_by(step) {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << (at % 8);
            check(&bytes, format!("flipped at {at}"));
        }
        assert!(refused >= 100, "{refused} refused, {same} as before");
        let aside = set_aside(&folder.file()).expect("moved");
        assert!(aside.exists() && !folder.file().exists());
    }
}
