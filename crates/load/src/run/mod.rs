//! The `run` module sends model requests to running daemons, directly to a pair of
//! engines, or to both alternately, and measures the latencies that callers see.

pub mod direct;
pub mod driver;
pub mod options;
pub mod processes;
pub mod report;
pub mod router;
pub mod stats;
