//! The `core` crate holds the traits, types, errors and units that all other crates
//! of aspenloft share. It does no I/O; see `docs/ARCHITECTURE.md`.

pub mod backend;
pub mod clock;
pub mod errors;
pub mod execution;
pub mod finding;
pub mod host;
pub mod ids;
pub mod pieces;
pub mod position;
pub mod prelude;
pub mod secret;
pub mod suspects;
pub mod units;
