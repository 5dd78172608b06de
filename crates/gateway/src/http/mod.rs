//! The `http` module carries requests to backend servers over kept connections and
//! says of each failure whether the server can have run the request.

pub mod client;
pub mod headers;
pub mod json;
pub mod pool;

pub use client::{BackendClient, BackendResponse, FailureCause, SendFailure};
pub use pool::{Pool, PoolOptions};
