//! Test harness: runs a fleet of real broker processes on loopback between stand-in tile servers, discovery
//! agents and clients, and injects faults drawn from a seed. `docs/design/harness.md` gives the design,
//! `docs/operate/harness.md` the usage.
//!
//! [`scenario`] and [`schedule`] decide what happens when, and [`record`] checks the outcome against the
//! rules; they do no I/O. [`proxy`], [`load`] with its [`pool`], [`control`] and [`process`] handle sockets
//! and processes, and [`run`] connects all of them.

pub mod attempt_log;
pub mod control;
pub mod fault_log;
pub mod load;
pub mod pool;
pub mod port;
pub mod process;
pub mod proxy;
pub mod record;
pub mod report;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod soak;
