//! Upgrades of a running broker: processes of the same broker take over from each other on real sockets while
//! clients send requests. A discovery that does not answer and SIGSTOP hold a process between two steps of a
//! hand-over.

#[path = "../crossings/harness.rs"]
mod harness;
#[path = "../program/mod.rs"]
mod program;

mod cold;
mod failures;
mod fixture;
mod lists;
mod load;
mod process;
mod queries;
mod rendezvous;
mod stream;
mod tiles;
