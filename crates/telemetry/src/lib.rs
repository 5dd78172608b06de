//! The `telemetry` crate writes log lines of `key=value` pairs, optionally with a rate
//! limit, and sets up the metrics of a process.

pub mod bounded;
pub mod line;
pub mod meters;
pub mod panics;
