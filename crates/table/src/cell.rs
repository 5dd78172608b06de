//! The `cell` module defines the value of one cell and its place in the table.

use std::fmt;

use aspenloft_core::prelude::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Cell` is the value of one cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// Yes or no.
    Flag(bool),
    /// A whole number.
    Whole(u64),
    /// A number with a fraction.
    Decimal(f64),
    /// A text.
    Text(Name),
    /// A list of texts.
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

/// `Sheet` is one of the two parts of the table.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Sheet {
    /// The services and kinds of requests.
    #[display("rows")]
    Rows,
    /// The callers.
    #[display("callers")]
    Callers,
}

/// `CellPlace` is where a cell stands.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{sheet}[{entry}].{column}")]
pub struct CellPlace {
    /// The part of the table.
    pub sheet: Sheet,
    /// The name of the row or the caller.
    pub entry: Name,
    /// The column's name.
    pub column: Name,
}

impl CellPlace {
    /// Creates the place of a cell.
    pub fn new(sheet: Sheet, entry: &str, column: &str) -> CellPlace {
        CellPlace { sheet, entry: entry.into(), column: column.into() }
    }
}
