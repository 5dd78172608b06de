//! The `protocol` crate defines what aspenloft says to others: to backend
//! servers, to the platform, to operators and between its own hosts. Each border
//! is a trait with typed messages, so that tests put small fakes in its place.

pub mod admin;
pub mod engine;
pub mod peer;
pub mod platform;
