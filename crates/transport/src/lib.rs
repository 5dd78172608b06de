//! The `transport` crate moves bytes: JSON over HTTP/1.1 towards the platform,
//! backend servers and operators, and frames over `h2` between hosts.
//!
//! It knows no message of the system; those are in `aspenloft-protocol`.

pub mod frames;
pub mod http;
pub mod inactivity;
pub mod mesh;
pub mod server;
pub mod socket;
