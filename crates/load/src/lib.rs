//! The `load` crate generates load for running daemons and compares the routing
//! policy with baselines in a simulation; see `docs/LOAD.md`.

pub mod arrivals;
pub mod compare;
pub mod fleet;
pub mod run;
