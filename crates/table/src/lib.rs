//! The `table` crate is the operators' table: its rows and columns, how a request
//! finds its row, and how the table is checked and edited. `docs/TABLE.md`
//! documents each column, `docs/design/table.md` the way of an edit.

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
