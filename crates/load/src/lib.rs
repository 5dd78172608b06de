//! The `load` crate sends load to real daemons and holds the policy against
//! baselines in process; see `docs/LOAD.md`.

pub mod arrivals;
pub mod compare;
pub mod run;
