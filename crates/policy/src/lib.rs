//! The `policy` crate takes the decisions that move goodput and wasted prefill.
//! Its functions are pure: state, event and time in, typed actions out.

pub mod burn;
pub mod concurrency;
pub mod limits;
pub mod retry;
pub mod slots;
pub mod suspects;
