//! The `stored` module is the table as the platform's key-value service holds it:
//! the table and the bounded history of its edits, one value.

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

use crate::cell::{Cell, CellPlace};
use crate::row::{Caller, Row};
use crate::table::{Table, read_json, write_json};

/// The most edits kept in the history; the oldest is forgotten first.
pub const MAX_HISTORY: usize = 256;

/// The most bytes of history kept; the oldest edit is forgotten first.
pub const MAX_HISTORY_BYTES: usize = 192 * 1024;

/// `EditRecord` is one accepted edit in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The version that the edit made.
    pub version: u64,
    /// The edit's id.
    pub id: Name,
    /// Who made it.
    pub who: Name,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed.
    pub changes: Vec<ChangeRecord>,
}

/// `ChangeRecord` is one changed cell in the history. A row or caller that was
/// added or removed stands as its `name` cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The cell.
    pub place: CellPlace,
    /// Its value before; `None` for what was not there.
    pub before: Option<Cell>,
    /// Its value after; `None` for what is gone.
    pub after: Option<Cell>,
}

/// `StoredTable` is the value that the key-value service holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredTable {
    /// The table's version.
    pub version: u64,
    /// The rows.
    pub rows: Vec<Row>,
    /// The callers.
    pub callers: Vec<Caller>,
    /// The last edits, the oldest first.
    #[serde(default)]
    pub history: Vec<EditRecord>,
}

impl StoredTable {
    /// Puts a table and a history together.
    pub fn new(table: Table, history: Vec<EditRecord>) -> StoredTable {
        let Table { version, rows, callers } = table;
        StoredTable { version, rows, callers, history }
    }

    /// Reads the value from its JSON text.
    pub fn from_json(text: &str) -> Result<StoredTable> {
        read_json(text)
    }

    /// Writes the value as JSON text.
    pub fn to_json(&self) -> Result<String> {
        write_json(self)
    }

    /// Returns the table without its history.
    pub fn table(&self) -> Table {
        let StoredTable { version, rows, callers, .. } = self.clone();
        Table { version, rows, callers }
    }

    /// Finds an edit in the history.
    pub fn find_edit(&self, id: &str) -> Option<&EditRecord> {
        self.history.iter().find(|record| *record.id == *id)
    }

    /// Returns the last edit of a cell, or of its whole entry.
    pub fn last_edit(&self, place: &CellPlace) -> Option<&EditRecord> {
        let touches = |change: &ChangeRecord| {
            let same_entry = change.place.sheet == place.sheet && change.place.entry == place.entry;
            let whole = change.before.is_none() || change.after.is_none();
            same_entry && (whole || change.place.column == place.column)
        };
        self.history.iter().rev().find(|record| record.changes.iter().any(touches))
    }

    /// Adds an edit to the history and forgets the oldest beyond the bounds.
    pub fn append_edit(&mut self, record: EditRecord) {
        self.history.push(record);
        let size = |record: &EditRecord| serde_json::to_vec(record).map_or(0, |text| text.len());
        let mut bytes: usize = self.history.iter().map(size).sum();
        let mut forgotten = 0;
        // The last edit stays whatever its size: its id settles a lost answer.
        while forgotten + 1 < self.history.len()
            && (bytes > MAX_HISTORY_BYTES || self.history.len() - forgotten > MAX_HISTORY)
        {
            bytes -= size(&self.history[forgotten]);
            forgotten += 1;
        }
        self.history.drain(..forgotten);
    }
}
