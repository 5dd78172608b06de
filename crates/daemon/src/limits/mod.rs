//! The `limits` module keeps the table's limits over all hosts together; the
//! decisions are in `aspenloft_policy::limits` and `::concurrency`, the reasons in
//! `docs/design/limits.md`.

pub mod service;
pub mod state;
