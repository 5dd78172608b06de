//! The `protocol` crate defines the messages that aspenloft exchanges with backend
//! servers, the platform and operators, and between its own hosts. Engines and the
//! platform are traits with typed messages, so that tests can replace them by fakes.

pub mod admin;
pub mod engine;
pub mod peer;
pub mod platform;
