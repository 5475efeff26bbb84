//! The broker's persistent state: the last known status of servers, above all which ones are draining, for
//! the next start. `redb` keeps the file consistent across crashes; this crate defines the typed records and
//! their owner, the thread that commits changes, and how stored state is reconciled with the list of servers
//! at a start ([`reconcile`]). `docs/design/store.md` gives the reasons.

pub mod engine;
pub mod reconcile;
pub mod record;
pub mod writer;
