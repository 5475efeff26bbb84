//! Where two events can cross: the rows of `docs/design/crossings.md`, each on real sockets with the crossing forced.

mod harness;
#[path = "../program/mod.rs"]
mod program;

mod attempts;
mod client_disconnects;
mod floods;
mod lists;
mod settings;
mod shutdown;
mod slow_writes;
