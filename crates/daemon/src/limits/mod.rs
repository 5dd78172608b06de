//! The `limits` module enforces the table's limits across all hosts. The algorithms
//! are in `aspenloft_policy::limits` and `aspenloft_policy::concurrency`, the reasons
//! in `docs/design/limits.md`.
//!
//! Each limit has a home, the host that issues its permits and counts its requests in
//! flight. The hosts of a data centre draw permits through one of them, the agent.

pub mod service;
pub mod state;
