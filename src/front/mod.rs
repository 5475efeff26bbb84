//! The fronts: each turns requests on its wire into queries, and final answers back.

pub mod platform;
