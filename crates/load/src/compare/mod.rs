//! The `compare` module drives the decisions that serve, in process and on an
//! injected clock, over small fakes of engines and links, and holds them against
//! baselines in the same scenarios; see `docs/LOAD.md`.

pub mod aims;
pub mod baselines;
pub mod engines;
pub mod events;
pub mod fleet;
pub mod home;
pub mod host;
pub mod policy;
pub mod product;
pub mod report;
pub mod scenario;
pub mod score;
pub mod simulation;
pub mod workload;
