//! The `membership` crate decides which hosts are live, which of them is the home
//! of each backend server, and how new versions of the table spread between hosts;
//! see `docs/design/membership.md`. It does no I/O and takes the time from its
//! callers.

pub mod contact;
pub mod digests;
pub mod fleet;
pub mod homes;
pub mod neighbours;
pub mod options;
pub mod records;
pub mod roster;
pub mod state_machine;
pub mod summaries;
