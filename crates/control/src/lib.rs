//! The control endpoint: operators ask a running broker whether it is ready, for its statistics, and to drain.
//!
//! [`Endpoint`] serves calls on a thread of its own. It shares an [`Operations`] with the broker's loop, which counts in
//! its [`Statistics`] and reads from it what operators have asked for. Neither side ever waits for the other.
#![deny(unsafe_code)]

mod calls;
mod connection;
mod endpoint;
mod operations;
mod statistics;

pub use endpoint::{Endpoint, EndpointConfig, EndpointError};
pub use operations::Operations;
pub use statistics::{Outcome, Statistics};
