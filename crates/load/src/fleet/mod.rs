//! The `fleet` module simulates hosts that place model requests on shared engines, each
//! with late knowledge of the others. It runs the placement and queueing decisions of the
//! `policy` crate on an injected clock, without network, for load patterns from a file;
//! see `docs/LOAD.md`.

mod engines;
mod hosts;
pub mod pattern;
pub mod report;
mod simulation;
mod workload;

pub use pattern::LoadPattern;
pub use report::FleetReport;
pub use simulation::run;
