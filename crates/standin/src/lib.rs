//! The `standin` crate contains stand-ins: test doubles with injectable faults of the
//! systems that aspenloft communicates with. These are the platform's key-value service
//! and host list, model engines and plain services. A TCP relay adds network faults. Only
//! tests and tools depend on this crate; `docs/STANDINS.md` lists the faults.

pub mod admin;
pub mod engine;
pub mod hosts;
pub mod kv;
pub mod network;
pub mod rates;
pub mod relay;
pub mod service;
