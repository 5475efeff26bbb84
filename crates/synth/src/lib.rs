//! Synthetic traces from a simulation in virtual time. It runs the real cores of several brokers against
//! model tile servers that slow down, hang, fail, drain and restart, clients that retry, and a server list
//! that reaches each broker with its own delay. The same seed gives the same bytes.
//!
//! The traces cover the kinds of records that a recorder meets. They are no measure of service quality.

pub mod fleet;
mod heap;
pub mod world;

pub use world::{Fault, RequestOutcomes, SynthOptions, SynthOutput, run};
