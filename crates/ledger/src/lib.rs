//! The `ledger` crate makes calls that may not be repeated run at most once for each
//! idempotency key. It consists of state machines without I/O: they take events and
//! the time, and return actions. `docs/design/ledger.md` describes the design.

pub mod backoff;
pub mod digest;
pub mod head;
pub mod options;
pub mod orders;
pub mod record;
pub mod refusals;
pub mod shard;
