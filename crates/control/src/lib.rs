//! The control endpoint: an HTTP endpoint where operators ask a running broker for its readiness and its
//! statistics, and start or stop draining it.
//!
//! [`Endpoint`] serves requests on its own thread. It shares an [`Operations`] with the broker's event loop,
//! which updates the [`Statistics`] and reads the operators' requests. Neither side ever blocks on the other.
#![deny(unsafe_code)]

mod connection;
mod endpoint;
mod handlers;
mod operations;
mod statistics;

pub use endpoint::{Endpoint, EndpointConfig, EndpointError};
pub use operations::Operations;
pub use statistics::{Outcome, Statistics};
