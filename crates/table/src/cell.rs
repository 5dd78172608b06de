//! The `cell` module defines the value of one cell and its position in the table.

use std::fmt;

use aspenloft_core::prelude::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Cell` is the value of one cell. In JSON it is the plain value without a tag.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// A boolean.
    Flag(bool),
    /// A non-negative integer.
    Whole(u64),
    /// A floating-point number.
    Decimal(f64),
    /// A string.
    Text(Name),
    /// A list of strings.
    Words(Vec<Name>),
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cell::Flag(flag) => write!(f, "{flag}"),
            Cell::Whole(number) => write!(f, "{number}"),
            Cell::Decimal(number) => write!(f, "{number}"),
            Cell::Text(text) => f.write_str(text),
            Cell::Words(words) => f.write_str(&words.join(",")),
        }
    }
}

/// `Sheet` is one of the two parts of the table, each with columns of its own.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Sheet {
    /// The rows: services and kinds of requests.
    #[display("rows")]
    Rows,
    /// The callers.
    #[display("callers")]
    Callers,
}

/// `CellPlace` is the position of a cell in the table.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{sheet}[{entry}].{column}")]
pub struct CellPlace {
    /// The part of the table that contains the cell.
    pub sheet: Sheet,
    /// The name of the row or the caller.
    pub entry: Name,
    /// The column's name.
    pub column: Name,
}

impl CellPlace {
    /// Creates the position of the cell `column` of `entry`.
    pub fn new(sheet: Sheet, entry: &str, column: &str) -> CellPlace {
        CellPlace { sheet, entry: entry.into(), column: column.into() }
    }
}
