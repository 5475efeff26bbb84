//! Races between two events: the cases of `docs/design/crossings.md`. Each test uses real sockets and
//! forces the order of the events.

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
