//! The `ledger` crate runs calls that may not be repeated at most once, and gives
//! engines their orders. Both rest on compare-and-swap in the platform's
//! key-value service; see `docs/PROMISES.md`.

pub mod entry;
pub mod once;
