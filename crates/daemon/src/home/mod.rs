//! The `home` module is the work of a host as the home of backend servers: it
//! counts their room exactly, carries all work to them, and sees to it that they
//! hold no memory for requests that are gone; see `docs/design/reservations.md`.

mod backend_tracker;
mod claims;
mod crashes;
mod decode;
mod prefill;
pub mod service;
pub mod sweep;

pub use decode::STREAM_SILENCE_TIMEOUT;
