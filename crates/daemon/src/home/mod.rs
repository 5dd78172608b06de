//! The `home` module is the work of a host as the home of backend servers: it
//! counts their slots exactly and carries all work to them.

mod decode;
mod prefill;
pub mod service;
