//! The `edit` module applies a set of cell changes to the table. Each change says
//! which value it expects, so that edits to different cells merge and two edits to
//! one cell conflict.

use aspenloft_core::finding::Findings;
use aspenloft_core::prelude::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::cell::{Cell, CellPlace, Sheet};
use crate::check::check_table;
use crate::columns::{columns, find_column};
use crate::row::{Caller, Row};
use crate::stored::{ChangeRecord, EditRecord, StoredTable};

/// The most changes in one edit.
pub const MAX_CHANGES: usize = 4_096;

/// `Edit` is a set of changes that are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The id, which must be new. It settles an edit whose answer was lost.
    pub id: Name,
    /// Who makes the edit.
    pub who: Name,
    /// The changes, made in this order.
    pub changes: Vec<Change>,
}

/// `Change` is one change of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Sets one cell.
    Set {
        /// The cell.
        place: CellPlace,
        /// The value that the operator saw.
        expect: Cell,
        /// The new value.
        value: Cell,
    },
    /// Adds a row.
    AddRow {
        /// The row.
        row: Box<Row>,
        /// The row before which it goes; at the end where there is none.
        #[serde(default)]
        before: Option<Name>,
    },
    /// Removes a row.
    RemoveRow {
        /// The row as the operator saw it.
        row: Box<Row>,
    },
    /// Adds a caller.
    AddCaller {
        /// The caller.
        caller: Caller,
    },
    /// Removes a caller.
    RemoveCaller {
        /// The caller as the operator saw it.
        caller: Caller,
    },
}

/// `CellConflict` is one cell that is not as the operator expected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellConflict {
    /// The cell.
    pub place: CellPlace,
    /// What the operator expected; `None` for nothing.
    pub expected: Option<Cell>,
    /// What is there; `None` for nothing.
    pub found: Option<Cell>,
    /// The version in which it was last edited, as far as the history tells.
    pub edited_in: Option<u64>,
    /// Who edited it last, as far as the history tells.
    pub edited_by: Option<Name>,
}

impl std::fmt::Display for CellConflict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let show = |cell: &Option<Cell>| match cell {
            Some(cell) => cell.to_string(),
            None => "nothing".into(),
        };
        write!(f, "{}: ", self.place)?;
        write!(f, "expected {}, found {}", show(&self.expected), show(&self.found))?;
        if let (Some(version), Some(who)) = (self.edited_in, &self.edited_by) {
            write!(f, " (edited by {who} in version {version})")?;
        }
        Ok(())
    }
}

/// `Refusal` is why an edit was not accepted. Nothing of it took effect.
#[derive(Debug, Display, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Cells are not as the operator expected.
    #[display("conflict with version {version}")]
    Conflict {
        /// The version of the table that the edit met.
        version: u64,
        /// The cells.
        cells: Vec<CellConflict>,
    },
    /// The table would not be sound.
    #[display("the edited table has findings")]
    Findings(Findings),
}

/// `Applied` is the value that an edit makes.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The edit had been accepted already, in this version.
    Already(u64),
    /// The new value, to be written in place of the one that the edit met.
    New(Box<StoredTable>),
}

/// Applies `edit` to `stored`, accepted at `at_ms` since the Unix epoch.
pub fn apply(stored: &StoredTable, edit: &Edit, at_ms: u64) -> Result<Applied, Refusal> {
    if let Some(record) = stored.find_edit(&edit.id) {
        return Ok(Applied::Already(record.version));
    }
    let mut work = Work::new(stored);
    for change in &edit.changes {
        work.change(change);
    }
    if !work.conflicts.is_empty() {
        return Err(Refusal::Conflict { version: stored.version, cells: work.conflicts });
    }
    if edit.changes.is_empty() || edit.changes.len() > MAX_CHANGES {
        let words = format!("an edit needs 1 to {MAX_CHANGES} changes");
        work.findings.add("edit", words);
    }
    if edit.id.is_empty() || edit.who.is_empty() {
        work.findings.add("edit", "needs an id and who makes it");
    }
    work.next.version = stored.version + 1;
    work.findings.0.extend(check_table(&work.next.table()).0);
    if !work.findings.is_empty() {
        return Err(Refusal::Findings(work.findings));
    }
    let record = EditRecord {
        version: work.next.version,
        id: edit.id.clone(),
        who: edit.who.clone(),
        at_ms,
        changes: work.records,
    };
    work.next.append_edit(record);
    Ok(Applied::New(Box::new(work.next)))
}

/// `Work` is an edit under way.
struct Work<'a> {
    stored: &'a StoredTable,
    next: StoredTable,
    conflicts: Vec<CellConflict>,
    findings: Findings,
    records: Vec<ChangeRecord>,
}

impl Work<'_> {
    fn new(stored: &StoredTable) -> Work<'_> {
        Work {
            stored,
            next: stored.clone(),
            conflicts: Vec::new(),
            findings: Findings::default(),
            records: Vec::new(),
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Set { place, expect, value } => self.set(place, expect, value),
            Change::AddRow { row, before } => self.add_row(row, before.as_ref()),
            Change::RemoveRow { row } => self.remove_row(row),
            Change::AddCaller { caller } => self.add_caller(caller),
            Change::RemoveCaller { caller } => self.remove_caller(caller),
        }
    }

    fn set(&mut self, place: &CellPlace, expect: &Cell, value: &Cell) {
        let Some(column) = find_column(place.sheet, &place.column) else {
            self.findings.add(place.to_string(), "unknown column; docs/TABLE.md names all");
            return;
        };
        let (found, changed) = match place.sheet {
            Sheet::Rows => {
                let row = self.next.rows.iter_mut().find(|row| row.name == place.entry);
                set_in(row, column, expect, value)
            }
            Sheet::Callers => {
                let caller = self.next.callers.iter_mut().find(|c| c.name == place.entry);
                set_in(caller, column, expect, value)
            }
        };
        if !found.as_ref().is_some_and(|found| cells_equal(found, expect)) {
            self.conflict(place.clone(), Some(expect.clone()), found);
        } else if !changed {
            self.findings.add(place.to_string(), format!("{value} is not {}", column.range()));
        } else {
            self.record(place.clone(), found, Some(value.clone()));
        }
    }

    fn add_row(&mut self, row: &Row, before: Option<&Name>) {
        if self.next.rows.iter().any(|known| known.name == row.name) {
            self.meet(Sheet::Rows, &row.name, None, Some(&row.name));
            return;
        }
        let at = match before {
            None => self.next.rows.len(),
            Some(before) => match self.next.rows.iter().position(|known| known.name == *before) {
                Some(at) => at,
                None => return self.meet(Sheet::Rows, before, Some(before), None),
            },
        };
        self.next.rows.insert(at, row.clone());
        self.record_whole(Sheet::Rows, &row.name, true);
    }

    fn remove_row(&mut self, row: &Row) {
        match self.next.rows.iter().position(|known| known.name == row.name) {
            None => self.meet(Sheet::Rows, &row.name, Some(&row.name), None),
            Some(at) if self.next.rows[at] == *row => {
                self.next.rows.remove(at);
                self.record_whole(Sheet::Rows, &row.name, false);
            }
            Some(at) => {
                let found = self.next.rows[at].clone();
                self.compare(Sheet::Rows, &row.name, row, &found);
            }
        }
    }

    fn add_caller(&mut self, caller: &Caller) {
        if self.next.callers.iter().any(|known| known.name == caller.name) {
            self.meet(Sheet::Callers, &caller.name, None, Some(&caller.name));
            return;
        }
        self.next.callers.push(caller.clone());
        self.record_whole(Sheet::Callers, &caller.name, true);
    }

    fn remove_caller(&mut self, caller: &Caller) {
        match self.next.callers.iter().position(|known| known.name == caller.name) {
            None => self.meet(Sheet::Callers, &caller.name, Some(&caller.name), None),
            Some(at) if self.next.callers[at] == *caller => {
                self.next.callers.remove(at);
                self.record_whole(Sheet::Callers, &caller.name, false);
            }
            Some(at) => {
                let found = self.next.callers[at].clone();
                self.compare(Sheet::Callers, &caller.name, caller, &found);
            }
        }
    }

    /// Notes a conflict over whether an entry is there at all.
    fn meet(&mut self, sheet: Sheet, entry: &str, expected: Option<&Name>, found: Option<&Name>) {
        let text = |name: Option<&Name>| name.map(|name| Cell::Text(name.clone()));
        self.conflict(CellPlace::new(sheet, entry, "name"), text(expected), text(found));
    }

    /// Notes a conflict for each cell in which two entries differ.
    fn compare<E: Serialize>(&mut self, sheet: Sheet, entry: &str, expected: &E, found: &E) {
        for column in columns(sheet) {
            let (expected, found) = (column.get(expected), column.get(found));
            if expected != found {
                self.conflict(CellPlace::new(sheet, entry, column.name), expected, found);
            }
        }
    }

    fn conflict(&mut self, place: CellPlace, expected: Option<Cell>, found: Option<Cell>) {
        let last = self.stored.last_edit(&place);
        let edited_in = last.map(|record| record.version);
        let edited_by = last.map(|record| record.who.clone());
        self.conflicts.push(CellConflict { place, expected, found, edited_in, edited_by });
    }

    fn record(&mut self, place: CellPlace, before: Option<Cell>, after: Option<Cell>) {
        self.records.push(ChangeRecord { place, before, after });
    }

    fn record_whole(&mut self, sheet: Sheet, entry: &Name, added: bool) {
        let name = Some(Cell::Text(entry.clone()));
        let (before, after) = if added { (None, name) } else { (name, None) };
        self.record(CellPlace::new(sheet, entry, "name"), before, after);
    }
}

/// Sets a cell of `entry` if it holds `expect`; returns what it held and whether
/// it was set.
fn set_in<E: Serialize + serde::de::DeserializeOwned>(
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

/// Tells whether two cells hold the same value; a whole number and the equal
/// number with a fraction do.
pub fn cells_equal(a: &Cell, b: &Cell) -> bool {
    match (a, b) {
        (Cell::Whole(a), Cell::Decimal(b)) | (Cell::Decimal(b), Cell::Whole(a)) => *a as f64 == *b,
        _ => a == b,
    }
}
