//! The `table` crate implements the operators' table: its rows and columns, the lookup
//! of a request's row, validation and edits. `docs/TABLE.md` documents each column,
//! `docs/design/table.md` the course of an edit.

pub mod active;
pub mod cell;
pub mod check;
pub mod columns;
pub mod commit;
pub mod diff;
pub mod edit;
pub mod lookup;
pub mod response;
pub mod row;
pub mod shadow;
pub mod stored;
pub mod table;
