//! The `table` module defines the table as a whole.

use aspenloft_core::errors::{Result, invalid};
use serde::{Deserialize, Serialize};

use crate::row::{Caller, Row};

/// The key under which the platform's key-value service holds the table.
pub const TABLE_KEY: &str = "aspenloft/table";

/// `Table` is one version of the operators' table.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The version; each accepted edit adds one, and it never falls.
    pub version: u64,
    /// The rows; a request uses the first that matches it.
    pub rows: Vec<Row>,
    /// The callers.
    pub callers: Vec<Caller>,
}

impl Table {
    /// Reads a table from its JSON text.
    pub fn from_json(text: &str) -> Result<Table> {
        let mut de = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut de)
            .map_err(|e| invalid(format!("table: {}: {}", e.path(), e.inner())))
    }

    /// Writes the table as JSON text.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|e| invalid(e.to_string()))
    }
}
