//! The `table` module defines the table and its JSON format.

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
    /// The version. Each accepted edit increments it, and it never decreases.
    pub version: u64,
    /// The rows; a request uses the first that matches it.
    pub rows: Vec<Row>,
    /// The callers that are allowed to use the router.
    pub callers: Vec<Caller>,
}

impl Table {
    /// Parses a table from JSON text.
    pub fn from_json(text: &str) -> Result<Table> {
        read_json(text)
    }

    /// Serializes the table as JSON text, without the cells that have their default value.
    pub fn to_json(&self) -> Result<String> {
        write_json(self)
    }
}

/// Parses a table, with or without its history. The error message contains the path of
/// the invalid value.
pub(crate) fn read_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de)
        .map_err(|e| invalid(format!("table: {}: {}", e.path(), e.inner())))
}

/// Serializes a table, with or without its history, without the cells that have their
/// default value.
pub(crate) fn write_json(table: &impl Serialize) -> Result<String> {
    let mut value = serde_json::to_value(table).map_err(|e| invalid(e.to_string()))?;
    drop_table_defaults(&mut value);
    serde_json::to_string(&value).map_err(|e| invalid(e.to_string()))
}

/// Removes the cells that have their default value from a table in JSON.
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
