//! A fleet of real broker processes on loopback, with stand-in tile servers, discovery and clients round them, and
//! faults between them by seed. `docs/design/harness.md` says why so, `docs/operate/harness.md` how to use it.
//!
//! [`scenario`] and [`schedule`] decide what happens when, [`record`] what of it breaks a rule; they do no I/O.
//! [`proxy`], [`load`] with its [`pool`], [`control`] and [`process`] are the sockets and processes, and [`run`] brings all together.

pub mod control;
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
