//! The `membership` crate decides which hosts are live, which of them is the home
//! of each backend server, and how the table's versions travel between hosts; see
//! `docs/design/membership.md`. It does no I/O and has no clock of its own.

pub mod contact;
pub mod digests;
pub mod fleet;
pub mod homes;
pub mod machine;
pub mod neighbours;
pub mod options;
pub mod records;
pub mod roster;
pub mod summaries;
