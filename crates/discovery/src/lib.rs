//! Server discovery: [`list`] decodes server lists, [`registry`] holds the current one and reconciles older
//! lists with it, [`schedule`] decides when discovery is called and when a watch times out, and [`watch`]
//! carries this out over successive connections.
#![deny(unsafe_code)]

pub mod list;
pub mod registry;
pub mod schedule;
pub mod watch;

pub use list::{ListDecoder, ListError, ServerList};
pub use registry::ServerRegistry;
pub use schedule::{CallSchedule, Phase, Source};
pub use watch::{ListUpdate, Watch, WatchError};
