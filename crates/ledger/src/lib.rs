//! The `ledger` crate decides, at most once for each idempotency key, about calls
//! that may not be repeated. All of it is pure: events and time in, actions out;
//! `docs/design/ledger.md` gives the design.

pub mod backoff;
pub mod digest;
pub mod head;
pub mod options;
pub mod orders;
pub mod record;
pub mod refusals;
pub mod shard;
