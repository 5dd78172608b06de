//! The `standin` crate holds small stand-ins for all that aspenloft meets: the
//! platform's key-value service and host list, model engines, plain services, and
//! a relay that breaks connections. The product never depends on it;
//! `docs/STANDINS.md` lists their faults.

pub mod admin;
pub mod engine;
pub mod hosts;
pub mod kv;
pub mod rates;
pub mod relay;
pub mod service;
