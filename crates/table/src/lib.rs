//! The `table` crate is the operators' table: its rows and columns, how a request
//! finds its row, and how the table is checked and edited. `docs/TABLE.md`
//! documents each column.

pub mod lookup;
pub mod row;
pub mod table;
