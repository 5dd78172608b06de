//! The `policy` crate takes the decisions that move goodput and wasted prefill.
//! Its functions are pure: state, event and time in, typed actions out.

pub mod admission;
pub mod cache_index;
pub mod estimate;
pub mod explain;
pub mod fair_queue;
pub mod progress;
pub mod queue;
pub mod reservations;
pub mod route;
