//! The list of servers: [`list`] reads it, [`registry`] holds it and knows an older one from a newer, [`schedule`] decides
//! when discovery is asked and when a watch is given up, and [`watch`] carries that out on one connection after
//! another.
#![deny(unsafe_code)]

pub mod list;
pub mod registry;
pub mod schedule;
pub mod watch;

pub use list::{ListDecoder, ListError, ServerList};
pub use registry::ServerRegistry;
pub use schedule::{CallSchedule, Phase, Source};
pub use watch::{ListUpdate, Watch, WatchError};
