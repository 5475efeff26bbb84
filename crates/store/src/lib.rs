//! What a restarted broker still knows: how servers stood, drains above all. `redb` keeps the file whole over crashes;
//! this package has the typed records, what belongs to whom, the thread that commits, and the [`plan`] of what is
//! believed. `docs/design/store.md` says why so.

pub mod engine;
pub mod plan;
pub mod record;
pub mod writer;
