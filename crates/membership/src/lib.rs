//! The `membership` crate decides which hosts are live and which of them is the
//! home of each backend server.

pub mod digests;
pub mod homes;
