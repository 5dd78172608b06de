//! The `table` module defines the table as a whole.

use aspenloft_core::errors::{Result, invalid};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::cell::Sheet;
use crate::columns::drop_defaults;
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
        read_json(text)
    }

    /// Writes the table as JSON text, without the cells that hold their default.
    pub fn to_json(&self) -> Result<String> {
        write_json(self)
    }
}

/// Reads a table, with or without its history, and names the place of what is wrong.
pub(crate) fn read_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de)
        .map_err(|e| invalid(format!("table: {}: {}", e.path(), e.inner())))
}

/// Writes a table, with or without its history, without the cells that hold their
/// default.
pub(crate) fn write_json(table: &impl Serialize) -> Result<String> {
    let mut value = serde_json::to_value(table).map_err(|e| invalid(e.to_string()))?;
    drop_table_defaults(&mut value);
    serde_json::to_string(&value).map_err(|e| invalid(e.to_string()))
}

/// Drops the cells that hold their default from a table as JSON.
pub fn drop_table_defaults(table: &mut Value) {
    for sheet in [Sheet::Rows, Sheet::Callers] {
        let entries = table.get_mut(sheet.to_string()).and_then(Value::as_array_mut);
        for entry in entries.into_iter().flatten() {
            if let Some(object) = entry.as_object_mut() {
                drop_defaults(sheet, object);
            }
        }
    }
}
