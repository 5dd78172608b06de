//! The `transport` crate implements the connections of a host: JSON over HTTP/1.1 with
//! the platform, backend servers and operators, and frames over `h2` between hosts.
//!
//! The messages themselves are defined in `aspenloft-protocol`.

pub mod accept;
pub mod connections;
pub mod connector;
pub mod frames;
pub mod http;
pub mod inactivity;
pub mod mesh;
pub mod server;
pub mod socket;
