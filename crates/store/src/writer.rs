//! The thread that commits changes, so that the event loop never waits for the disk. Changes that are
//! enqueued during a commit are combined into the next one.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};

use crate::engine::{Store, StoreError};
use crate::record::ServerRecord;

/// Capacity of the queue to the thread, in changes. When it is full, changes are merged by server in the
/// [`Writer`] and sent with the next one, so memory is bounded by the number of servers.
const QUEUE_CAPACITY: usize = 64;

/// Changes to commit.
#[derive(Debug, Default)]
struct Change {
    /// Records by server name; `None` deletes one.
    servers: BTreeMap<String, Option<ServerRecord>>,
    /// The discovery and list version that the change came from.
    list: Option<(String, u64)>,
}

impl Change {
    /// Merges a later change into this one.
    fn merge(&mut self, later: Change) {
        self.servers.extend(later.servers);
        self.list = later.list.or(self.list.take());
    }
}

/// The handle through which the event loop passes changes to the thread.
pub struct Writer {
    sender: Option<SyncSender<Change>>,
    /// Changes that did not fit into the queue.
    pending: Change,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread; `on_error` is called for each commit that may not be durable.
    ///
    /// # Errors
    ///
    /// When the thread can't be created.
    pub fn start(store: Store, on_error: impl Fn(&StoreError) + Send + 'static) -> std::io::Result<Self> {
        let (sender, changes) = mpsc::sync_channel(QUEUE_CAPACITY);
        let thread = thread::Builder::new()
            .name("store".into())
            .spawn(move || commit_changes(store, &changes, &on_error))?;
        Ok(Writer { sender: Some(sender), pending: Change::default(), thread: Some(thread) })
    }

    /// Enqueues changes without blocking. `None` deletes a server's record; `list` gives the discovery and
    /// the list version that the changes came from.
    pub fn enqueue(&mut self, servers: BTreeMap<String, Option<ServerRecord>>, list: Option<(String, u64)>) {
        self.pending.merge(Change { servers, list });
        let Some(sender) = &self.sender else { return };
        match sender.try_send(std::mem::take(&mut self.pending)) {
            Ok(()) => {}
            Err(TrySendError::Full(change) | TrySendError::Disconnected(change)) => self.pending = change,
        }
    }
}

impl Drop for Writer {
    /// Commits the remaining changes, then ends the thread.
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            let _ = sender.send(std::mem::take(&mut self.pending));
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn commit_changes(mut store: Store, changes: &Receiver<Change>, on_error: &dyn Fn(&StoreError)) {
    while let Ok(mut change) = changes.recv() {
        while let Ok(later) = changes.try_recv() {
            change.merge(later);
        }
        if change.servers.is_empty() && change.list.is_none() {
            continue;
        }
        let list = change.list.as_ref().map(|(discovery, index)| (discovery.as_str(), *index));
        if let Err(error) = store.commit(&change.servers, list) {
            on_error(&error);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Owner;
    use crate::record::ServerStatus;

    #[test]
    fn all_enqueued_changes_are_durable_after_drop() {
        let path = std::env::temp_dir().join(format!("badgergauge-store-{}-writer", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let owner = Owner { name: "b0".into(), site: "s".into() };
        let (store, _) = Store::open(&path, &owner).expect("opens");
        let mut writer = Writer::start(store, |error| panic!("{error}")).expect("starts");
        for n in 0..1000_u64 {
            let status = if n % 2 == 0 { ServerStatus::Up } else { ServerStatus::Draining };
            let (zone, cell, address) = ("z".to_owned(), 0, None);
            let server = ServerRecord { status, zone, cell, address, started_ms: 0, noted_ms: n };
            writer.enqueue(BTreeMap::from([(format!("s{}", n % 7), Some(server))]), Some(("d".into(), n)));
        }
        drop(writer);
        let (_, stored) = Store::open(&path, &owner).expect("opens");
        let newest = stored.servers.values().map(|server| server.noted_ms).collect::<Vec<_>>();
        assert_eq!((stored.index, stored.servers.len(), newest.iter().max()), (999, 7, Some(&999)));
        assert!(newest.iter().all(|noted| *noted >= 993), "{newest:?}");
        std::fs::remove_file(&path).expect("there");
    }
}
