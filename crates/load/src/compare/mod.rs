//! The `compare` module runs the router's decision code on a simulated clock, with
//! fake engines and links, and compares it with baselines in the same scenarios; see
//! `docs/LOAD.md`.

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
