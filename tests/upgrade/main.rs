//! Upgrades of a running broker: processes of the same broker that take over from each other, on real sockets, while
//! clients come. The moments between two steps of a hand-over are forced by a discovery that says nothing and by
//! SIGSTOP.

#[path = "../program/mod.rs"]
mod program;
#[path = "../crossings/stage.rs"]
mod stage;

mod cold;
mod failures;
mod lists;
mod load;
mod process;
mod queries;
mod rendezvous;
mod site;
mod stream;
mod tiles;
