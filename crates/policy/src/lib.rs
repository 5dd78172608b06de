//! The `policy` crate makes the routing, admission and placement decisions, which
//! determine goodput and wasted prefill. It does no I/O and reads no clock: functions
//! take state, an event and the current time, and return typed results.

pub mod admission;
pub mod burn;
pub mod cache_index;
pub mod catch_up;
pub mod concurrency;
pub mod crash_tracker;
pub mod duty;
pub mod engine_choice;
pub mod engine_memory;
pub mod eras;
pub mod estimate;
pub mod explain;
pub mod fair_queue;
pub mod host_groups;
pub mod limits;
pub mod mechanisms;
pub mod own_path;
pub mod prefill_queue;
pub mod progress;
pub mod request_pacer;
pub mod reservations;
pub mod retry_budget;
pub mod retry_window;
pub mod role_split;
pub mod route;
pub mod server_health;
pub mod service_choice;
pub mod stream_versions;
pub mod suspects;
pub mod waiting;
