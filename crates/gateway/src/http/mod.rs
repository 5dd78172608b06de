//! The `http` module sends requests to backend servers over persistent connections and
//! reports for each failure whether the server may have run the request.

pub mod client;
pub mod headers;
pub mod json;
pub mod metered;
pub mod pool;
pub mod target;

pub use client::{BackendClient, BackendResponse, FailureCause, SendFailure, WholeBody};
pub use pool::{Pool, PoolOptions};
