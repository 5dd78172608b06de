//! The `stored` module defines the value that the platform's key-value service holds:
//! the table together with the bounded history of its edits.

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

use crate::cell::{Cell, CellPlace};
use crate::row::{Caller, Row};
use crate::table::{Table, read_json, write_json};

/// Maximum number of edits in the history; the oldest are dropped first.
pub const MAX_HISTORY: usize = 256;

/// Maximum size of the history in bytes of JSON; the oldest edits are dropped first.
pub const MAX_HISTORY_BYTES: usize = 192 * 1024;

/// `EditRecord` is an accepted edit in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The version of the table that the edit produced.
    pub version: u64,
    /// The unique id of the edit.
    pub id: Name,
    /// The operator who made it.
    pub who: Name,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The changed cells.
    pub changes: Vec<ChangeRecord>,
}

/// `ChangeRecord` is a changed cell in the history. An added or removed row or caller is
/// recorded as a change of its `name` cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The position of the cell.
    pub place: CellPlace,
    /// The value before the edit; `None` if the row or caller was added.
    pub before: Option<Cell>,
    /// The value after the edit; `None` if the row or caller was removed.
    pub after: Option<Cell>,
}

/// `StoredTable` is the value that the key-value service holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredTable {
    /// The table's version.
    pub version: u64,
    /// The rows of the table.
    pub rows: Vec<Row>,
    /// The callers of the table.
    pub callers: Vec<Caller>,
    /// The most recent edits, oldest first.
    #[serde(default)]
    pub history: Vec<EditRecord>,
}

impl StoredTable {
    /// Combines a table and a history.
    pub fn new(table: Table, history: Vec<EditRecord>) -> StoredTable {
        let Table { version, rows, callers } = table;
        StoredTable { version, rows, callers, history }
    }

    /// Parses the value from JSON text.
    pub fn from_json(text: &str) -> Result<StoredTable> {
        read_json(text)
    }

    /// Serializes the value as JSON text.
    pub fn to_json(&self) -> Result<String> {
        write_json(self)
    }

    /// Returns a copy of the table without the history.
    pub fn table(&self) -> Table {
        let StoredTable { version, rows, callers, .. } = self.clone();
        Table { version, rows, callers }
    }

    /// Returns the edit with this id, if the history contains it.
    pub fn find_edit(&self, id: &str) -> Option<&EditRecord> {
        self.history.iter().find(|record| *record.id == *id)
    }

    /// Returns the last edit in the history that changed the cell or added or removed its
    /// row or caller.
    pub fn last_edit(&self, place: &CellPlace) -> Option<&EditRecord> {
        let affects = |change: &ChangeRecord| {
            let same_entry = change.place.sheet == place.sheet && change.place.entry == place.entry;
            let whole_entry = change.before.is_none() || change.after.is_none();
            same_entry && (whole_entry || change.place.column == place.column)
        };
        self.history.iter().rev().find(|record| record.changes.iter().any(affects))
    }

    /// Appends an edit to the history and drops the oldest ones beyond the limits.
    pub fn append_edit(&mut self, record: EditRecord) {
        self.history.push(record);
        let size = |record: &EditRecord| serde_json::to_vec(record).map_or(0, |text| text.len());
        let mut bytes: usize = self.history.iter().map(size).sum();
        let mut dropped = 0;
        // The last edit is kept whatever its size: its id tells whether a write whose
        // response was lost took effect.
        while dropped + 1 < self.history.len()
            && (bytes > MAX_HISTORY_BYTES || self.history.len() - dropped > MAX_HISTORY)
        {
            bytes -= size(&self.history[dropped]);
            dropped += 1;
        }
        self.history.drain(..dropped);
    }
}
