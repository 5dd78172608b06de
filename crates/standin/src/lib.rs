//! The `standin` crate holds small stand-ins for all that aspenloft meets: the
//! platform's key-value service and host list, model engines and plain services.
//! The product never depends on it.

pub mod engine;
pub mod hosts;
pub mod kv;
pub mod service;
