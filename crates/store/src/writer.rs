//! The thread that commits: the loop hands it what changed and never waits for the disk. What comes while a commit is
//! under way goes with the next one.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};

use crate::engine::{Fault, Store};
use crate::record::Server;

/// Changes that may wait for the thread. What does not fit stays with the loop, by server, and goes along with what
/// comes next: so it is bounded by the servers that there are.
const QUEUE: usize = 64;

/// What changed.
#[derive(Debug, Default)]
struct Change {
    servers: BTreeMap<String, Option<Server>>,
    list: Option<(String, u64)>,
}

impl Change {
    fn join(&mut self, later: Change) {
        self.servers.extend(later.servers);
        self.list = later.list.or(self.list.take());
    }
}

/// The loop's end of the thread.
pub struct Writer {
    to: Option<SyncSender<Change>>,
    waiting: Change,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread; `failed` is told of each commit that is not known to be durable.
    ///
    /// # Errors
    ///
    /// When the system has no thread left.
    pub fn start(store: Store, failed: impl Fn(&Fault) + Send + 'static) -> std::io::Result<Self> {
        let (to, changes) = mpsc::sync_channel(QUEUE);
        let thread =
            thread::Builder::new().name("store".into()).spawn(move || work(store, &changes, &failed))?;
        Ok(Writer { to: Some(to), waiting: Change::default(), thread: Some(thread) })
    }

    /// Hands over what changed; with `list`, from which discovery and version. Never waits.
    pub fn note(&mut self, servers: BTreeMap<String, Option<Server>>, list: Option<(String, u64)>) {
        self.waiting.join(Change { servers, list });
        let Some(to) = &self.to else { return };
        match to.try_send(std::mem::take(&mut self.waiting)) {
            Ok(()) => {}
            Err(TrySendError::Full(change) | TrySendError::Disconnected(change)) => self.waiting = change,
        }
    }
}

impl Drop for Writer {
    /// Commits what is left, then ends the thread.
    fn drop(&mut self) {
        if let Some(to) = self.to.take() {
            let _ = to.send(std::mem::take(&mut self.waiting));
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn work(mut store: Store, changes: &Receiver<Change>, failed: &dyn Fn(&Fault)) {
    while let Ok(mut change) = changes.recv() {
        while let Ok(later) = changes.try_recv() {
            change.join(later);
        }
        if change.servers.is_empty() && change.list.is_none() {
            continue;
        }
        let list = change.list.as_ref().map(|(discovery, index)| (discovery.as_str(), *index));
        if let Err(fault) = store.commit(&change.servers, list) {
            failed(&fault);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Owner;
    use crate::record::Standing;

    #[test]
    fn all_that_was_handed_over_is_durable_once_it_ends() {
        let path = std::env::temp_dir().join(format!("badgergauge-store-{}-writer", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let owner = Owner { name: "b0".into(), site: "s".into() };
        let (store, _) = Store::open(&path, &owner).expect("opens");
        let mut writer = Writer::start(store, |fault| panic!("{fault}")).expect("starts");
        for n in 0..1000_u64 {
            let standing = if n % 2 == 0 { Standing::Up } else { Standing::Draining };
            let (zone, cell, address) = ("z".to_owned(), 0, None);
            let server = Server { standing, zone, cell, address, started_ms: 0, noted_ms: n };
            writer.note(BTreeMap::from([(format!("s{}", n % 7), Some(server))]), Some(("d".into(), n)));
        }
        drop(writer);
        let (_, stored) = Store::open(&path, &owner).expect("opens");
        let newest = stored.servers.values().map(|server| server.noted_ms).collect::<Vec<_>>();
        assert_eq!((stored.index, stored.servers.len(), newest.iter().max()), (999, 7, Some(&999)));
        assert!(newest.iter().all(|noted| *noted >= 993), "{newest:?}");
        std::fs::remove_file(&path).expect("there");
    }
}
