//! Where two events can cross: the rows of `docs/design/crossings.md`, each on real sockets with the crossing forced.

#[path = "../program/mod.rs"]
mod program;
mod stage;

mod attempts;
mod client_gone;
mod floods;
mod held_up;
mod lists;
mod settings;
mod shutdown;
