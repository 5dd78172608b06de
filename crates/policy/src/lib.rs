//! The `policy` crate takes the decisions that move goodput and wasted prefill.
//! Its functions are pure: state, event and time in, typed actions out.

pub mod slots;
