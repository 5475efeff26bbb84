//! Stand-in traffic in virtual time: the real cores of several brokers, model tile servers that slow down,
//! hang, fail, drain and restart, clients that come back, and a list of servers that reaches each broker a
//! little later. The same seed gives the same bytes.
//!
//! It is made to fill traces with all that a recorder meets; it is no measure of how well anything is served.

pub mod fleet;
mod heap;
pub mod world;

pub use world::{Made, Plan, Trouble, run};
