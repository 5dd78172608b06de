//! The `policy` crate takes the decisions that move goodput and wasted prefill.
//! Its functions are pure: state, event and time in, typed actions out.

pub mod admission;
pub mod burn;
pub mod cache_index;
pub mod concurrency;
pub mod crash_tracker;
pub mod engine_choice;
pub mod engine_memory;
pub mod estimate;
pub mod explain;
pub mod fair_queue;
pub mod host_groups;
pub mod limits;
pub mod progress;
pub mod queue;
pub mod reservations;
pub mod retry;
pub mod retry_window;
pub mod role_split;
pub mod route;
pub mod server_health;
pub mod service_choice;
pub mod suspects;
pub mod waiting;
