//! A broker for sharded queries: front ends, server lists, connections, and the event loop that drives the
//! core in [`badgergauge_core`], which makes every decision.
#![deny(unsafe_code)]

pub mod backend;
pub mod broker;
pub mod config;
pub mod front;
pub mod inventory;
pub mod lifecycle;
pub mod log;
pub mod record;
pub mod state;
pub mod upgrade;

pub use badgergauge_control as control;
pub use badgergauge_core::{core, decide, gossip, interface};
pub use badgergauge_discovery as discovery;
pub use badgergauge_handover as handover;
pub use badgergauge_net as net;

pub use decide::Router;
pub use decide::snapshot::budgets::Spending;
pub use decide::snapshot::{Snapshot, SnapshotError};
pub use interface::*;
