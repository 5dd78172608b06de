//! The `run` module sends model requests to real daemons, straight to a pair of
//! engines, or to both in turn, and measures what callers see.

pub mod direct;
pub mod driver;
pub mod options;
pub mod processes;
pub mod report;
pub mod router;
pub mod stats;
