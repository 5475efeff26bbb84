//! Server discovery: [`list`] decodes server lists, [`registry`] holds the current one and reconciles older
//! lists with it, [`schedule`] decides when discovery is called and when a watch times out, [`open_calls`] which
//! unanswered calls stay open beside the latest one, and [`watch`] carries this out over successive connections.
#![deny(unsafe_code)]

mod connection;
pub mod list;
pub mod open_calls;
pub mod registry;
pub mod schedule;
pub mod watch;

pub use list::{ListDecoder, ListError, ServerList};
pub use open_calls::MAX_OPEN_CALLS;
pub use registry::ServerRegistry;
pub use schedule::{CallSchedule, Phase, Source};
pub use watch::{CallId, ListUpdate, Watch, WatchError};
