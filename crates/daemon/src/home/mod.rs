//! The `home` module implements the home of backend servers. Each backend server has
//! one home host, which tracks its capacity exactly, sends all work to it, and makes
//! sure that it keeps no memory for requests that have ended; see
//! `docs/design/reservations.md`.

mod backend_tracker;
mod claims;
mod crashes;
mod decode;
mod prefill;
pub mod service;
pub mod sweep;

pub use decode::STREAM_INACTIVITY_TIMEOUT;
