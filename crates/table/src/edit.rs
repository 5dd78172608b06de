//! The `edit` module applies a set of changes to the table. Each change states the value
//! that it expects, so that edits of different cells merge and edits of the same cell
//! conflict.

use aspenloft_core::finding::Findings;
use aspenloft_core::prelude::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::cell::{Cell, CellPlace, Sheet};
use crate::check::check_table;
use crate::columns::{columns, find_column};
use crate::row::{Caller, Row};
use crate::stored::{ChangeRecord, EditRecord, StoredTable};

/// Maximum number of changes in one edit.
pub const MAX_CHANGES: usize = 4_096;

/// `Edit` is a set of changes that are applied atomically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The unique id. It makes the edit idempotent, so that an edit whose response was lost
    /// can be sent again.
    pub id: Name,
    /// The operator who makes the edit.
    pub who: Name,
    /// The changes, which are applied in this order.
    pub changes: Vec<Change>,
}

/// `Change` is one change of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Sets one cell, if it has the expected value.
    Set {
        /// The position of the cell.
        place: CellPlace,
        /// The value that the operator last read.
        expect: Cell,
        /// The new value.
        value: Cell,
    },
    /// Adds a row, unless one with the same name exists.
    AddRow {
        /// The new row.
        row: Box<Row>,
        /// The row before which it is inserted; `None` to append it.
        #[serde(default)]
        before: Option<Name>,
    },
    /// Removes a row, if it is still the same.
    RemoveRow {
        /// The row as the operator last read it.
        row: Box<Row>,
    },
    /// Adds a caller, unless one with the same name exists.
    AddCaller {
        /// The new caller.
        caller: Caller,
    },
    /// Removes a caller, if it is still the same.
    RemoveCaller {
        /// The caller as the operator last read it.
        caller: Caller,
    },
}

/// `CellConflict` is a cell whose value differs from the one that the operator expected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellConflict {
    /// The position of the cell.
    pub place: CellPlace,
    /// The expected value; `None` if the row or caller was expected to be absent.
    pub expected: Option<Cell>,
    /// The current value; `None` if the row or caller is absent.
    pub found: Option<Cell>,
    /// The version in which the cell was last edited, if the history contains that edit.
    pub edited_in: Option<u64>,
    /// The operator who edited it last, if the history contains that edit.
    pub edited_by: Option<Name>,
}

impl std::fmt::Display for CellConflict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let display = |cell: &Option<Cell>| match cell {
            Some(cell) => cell.to_string(),
            None => "nothing".into(),
        };
        write!(f, "{}: ", self.place)?;
        write!(f, "expected {}, found {}", display(&self.expected), display(&self.found))?;
        if let (Some(version), Some(who)) = (self.edited_in, &self.edited_by) {
            write!(f, " (edited by {who} in version {version})")?;
        }
        Ok(())
    }
}

/// `Refusal` is the reason why an edit was rejected. A rejected edit has no effect.
#[derive(Debug, Display, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Cells have other values than the operator expected.
    #[display("conflict with version {version}")]
    Conflict {
        /// The version of the table to which the edit was applied.
        version: u64,
        /// The cells in conflict.
        cells: Vec<CellConflict>,
    },
    /// The edit or the edited table is invalid.
    #[display("the edited table is invalid")]
    Findings(Findings),
}

/// `AppliedEdit` is the result of applying an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum AppliedEdit {
    /// The edit has been accepted before, in this version.
    Already(u64),
    /// The new value, which replaces the one to which the edit was applied.
    New(Box<StoredTable>),
}

/// Applies `edit` to `stored` at `at_ms` milliseconds since the Unix epoch.
pub fn apply(stored: &StoredTable, edit: &Edit, at_ms: u64) -> Result<AppliedEdit, Refusal> {
    if let Some(record) = stored.find_edit(&edit.id) {
        return Ok(AppliedEdit::Already(record.version));
    }
    let mut pending = PendingEdit::new(stored);
    for change in &edit.changes {
        pending.apply_change(change);
    }
    if !pending.conflicts.is_empty() {
        return Err(Refusal::Conflict { version: stored.version, cells: pending.conflicts });
    }
    if edit.changes.is_empty() || edit.changes.len() > MAX_CHANGES {
        let message = format!("an edit must have 1 to {MAX_CHANGES} changes");
        pending.findings.add("edit", message);
    }
    if edit.id.is_empty() || edit.who.is_empty() {
        pending.findings.add("edit", "id and who must not be empty");
    }
    pending.next.version = stored.version + 1;
    pending.findings.0.extend(check_table(&pending.next.table()).0);
    if !pending.findings.is_empty() {
        return Err(Refusal::Findings(pending.findings));
    }
    let record = EditRecord {
        version: pending.next.version,
        id: edit.id.clone(),
        who: edit.who.clone(),
        at_ms,
        changes: pending.records,
    };
    pending.next.append_edit(record);
    Ok(AppliedEdit::New(Box::new(pending.next)))
}

/// `PendingEdit` is the state of an edit while its changes are applied.
struct PendingEdit<'a> {
    stored: &'a StoredTable,
    next: StoredTable,
    conflicts: Vec<CellConflict>,
    findings: Findings,
    records: Vec<ChangeRecord>,
}

impl PendingEdit<'_> {
    fn new(stored: &StoredTable) -> PendingEdit<'_> {
        PendingEdit {
            stored,
            next: stored.clone(),
            conflicts: Vec::new(),
            findings: Findings::default(),
            records: Vec::new(),
        }
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Set { place, expect, value } => self.set_cell(place, expect, value),
            Change::AddRow { row, before } => self.add_row(row, before.as_ref()),
            Change::RemoveRow { row } => self.remove_row(row),
            Change::AddCaller { caller } => self.add_caller(caller),
            Change::RemoveCaller { caller } => self.remove_caller(caller),
        }
    }

    fn set_cell(&mut self, place: &CellPlace, expect: &Cell, value: &Cell) {
        let Some(column) = find_column(place.sheet, &place.column) else {
            self.findings.add(place.to_string(), "unknown column; docs/TABLE.md lists all columns");
            return;
        };
        let (found, changed) = match place.sheet {
            Sheet::Rows => {
                let row = self.next.rows.iter_mut().find(|row| row.name == place.entry);
                compare_and_set(row, column, expect, value)
            }
            Sheet::Callers => {
                let caller = self.next.callers.iter_mut().find(|c| c.name == place.entry);
                compare_and_set(caller, column, expect, value)
            }
        };
        if !found.as_ref().is_some_and(|found| cells_equal(found, expect)) {
            self.add_conflict(place.clone(), Some(expect.clone()), found);
        } else if !changed {
            self.findings.add(place.to_string(), format!("{value} is not {}", column.range()));
        } else {
            self.record_change(place.clone(), found, Some(value.clone()));
        }
    }

    fn add_row(&mut self, row: &Row, before: Option<&Name>) {
        if self.next.rows.iter().any(|other| other.name == row.name) {
            self.entry_conflict(Sheet::Rows, &row.name, None, Some(&row.name));
            return;
        }
        let at = match before {
            None => self.next.rows.len(),
            Some(before) => match self.next.rows.iter().position(|other| other.name == *before) {
                Some(at) => at,
                None => return self.entry_conflict(Sheet::Rows, before, Some(before), None),
            },
        };
        self.next.rows.insert(at, row.clone());
        self.record_entry(Sheet::Rows, &row.name, true);
    }

    fn remove_row(&mut self, row: &Row) {
        match self.next.rows.iter().position(|other| other.name == row.name) {
            None => self.entry_conflict(Sheet::Rows, &row.name, Some(&row.name), None),
            Some(at) if self.next.rows[at] == *row => {
                self.next.rows.remove(at);
                self.record_entry(Sheet::Rows, &row.name, false);
            }
            Some(at) => {
                let found = self.next.rows[at].clone();
                self.cell_conflicts(Sheet::Rows, &row.name, row, &found);
            }
        }
    }

    fn add_caller(&mut self, caller: &Caller) {
        if self.next.callers.iter().any(|other| other.name == caller.name) {
            self.entry_conflict(Sheet::Callers, &caller.name, None, Some(&caller.name));
            return;
        }
        self.next.callers.push(caller.clone());
        self.record_entry(Sheet::Callers, &caller.name, true);
    }

    fn remove_caller(&mut self, caller: &Caller) {
        match self.next.callers.iter().position(|other| other.name == caller.name) {
            None => self.entry_conflict(Sheet::Callers, &caller.name, Some(&caller.name), None),
            Some(at) if self.next.callers[at] == *caller => {
                self.next.callers.remove(at);
                self.record_entry(Sheet::Callers, &caller.name, false);
            }
            Some(at) => {
                let found = self.next.callers[at].clone();
                self.cell_conflicts(Sheet::Callers, &caller.name, caller, &found);
            }
        }
    }

    /// Adds a conflict for an entry that is unexpectedly present or absent.
    fn entry_conflict(
        &mut self,
        sheet: Sheet,
        entry: &str,
        expected: Option<&Name>,
        found: Option<&Name>,
    ) {
        let text = |name: Option<&Name>| name.map(|name| Cell::Text(name.clone()));
        self.add_conflict(CellPlace::new(sheet, entry, "name"), text(expected), text(found));
    }

    /// Adds a conflict for each cell in which two entries differ.
    fn cell_conflicts<E: Serialize>(&mut self, sheet: Sheet, entry: &str, expected: &E, found: &E) {
        for column in columns(sheet) {
            let (expected, found) = (column.get(expected), column.get(found));
            if expected != found {
                self.add_conflict(CellPlace::new(sheet, entry, column.name), expected, found);
            }
        }
    }

    fn add_conflict(&mut self, place: CellPlace, expected: Option<Cell>, found: Option<Cell>) {
        let last = self.stored.last_edit(&place);
        let edited_in = last.map(|record| record.version);
        let edited_by = last.map(|record| record.who.clone());
        self.conflicts.push(CellConflict { place, expected, found, edited_in, edited_by });
    }

    fn record_change(&mut self, place: CellPlace, before: Option<Cell>, after: Option<Cell>) {
        self.records.push(ChangeRecord { place, before, after });
    }

    fn record_entry(&mut self, sheet: Sheet, entry: &Name, added: bool) {
        let name = Some(Cell::Text(entry.clone()));
        let (before, after) = if added { (None, name) } else { (name, None) };
        self.record_change(CellPlace::new(sheet, entry, "name"), before, after);
    }
}

/// Sets a cell of `entry` if its value is `expect`. Returns the previous value and whether
/// the cell was set.
fn compare_and_set<E: Serialize + serde::de::DeserializeOwned>(
    entry: Option<&mut E>,
    column: &crate::columns::Column,
    expect: &Cell,
    value: &Cell,
) -> (Option<Cell>, bool) {
    let Some(entry) = entry else { return (None, false) };
    let found = column.get(entry);
    if !found.as_ref().is_some_and(|found| cells_equal(found, expect)) {
        return (found, false);
    }
    (found, column.set(entry, value))
}

/// Returns whether two cells have the same value. An integer equals a floating-point
/// number of the same value.
pub fn cells_equal(a: &Cell, b: &Cell) -> bool {
    match (a, b) {
        (Cell::Whole(a), Cell::Decimal(b)) | (Cell::Decimal(b), Cell::Whole(a)) => *a as f64 == *b,
        _ => a == b,
    }
}
