//! The `diff` module converts an edited table to the changes of an edit: the cells, rows
//! and callers that differ, each with the value that the operator started from.

use aspenloft_core::prelude::Name;
use serde::Serialize;

use crate::cell::{CellPlace, Sheet};
use crate::columns::columns;
use crate::edit::Change;
use crate::table::Table;

/// Returns the changes that turn `from` into `to`.
pub fn diff(from: &Table, to: &Table) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_rows(from, to, &mut changes);
    diff_callers(from, to, &mut changes);
    changes
}

fn diff_rows(from: &Table, to: &Table, changes: &mut Vec<Change>) {
    let contains_row = |name: &Name, table: &Table| table.rows.iter().any(|row| row.name == *name);
    let old_order = from.rows.iter().map(|row| &row.name).filter(|name| contains_row(name, to));
    let new_order = to.rows.iter().map(|row| &row.name).filter(|name| contains_row(name, from));
    // If the order of rows has changed, all of them are removed and added again, because
    // a request uses the first row that matches.
    let same_order = old_order.eq(new_order);
    for row in &from.rows {
        if !same_order || !contains_row(&row.name, to) {
            changes.push(Change::RemoveRow { row: Box::new(row.clone()) });
        }
    }
    // In reverse order, so that the row before which a row is added exists already.
    let mut next: Option<&Name> = None;
    for row in to.rows.iter().rev() {
        match from.rows.iter().find(|old| old.name == row.name) {
            Some(old) if same_order => diff_cells(Sheet::Rows, &row.name, old, row, changes),
            _ => {
                let before = next.cloned();
                changes.push(Change::AddRow { row: Box::new(row.clone()), before });
            }
        }
        next = Some(&row.name);
    }
}

fn diff_callers(from: &Table, to: &Table, changes: &mut Vec<Change>) {
    for caller in &from.callers {
        if !to.callers.iter().any(|kept| kept.name == caller.name) {
            changes.push(Change::RemoveCaller { caller: caller.clone() });
        }
    }
    for caller in &to.callers {
        match from.callers.iter().find(|old| old.name == caller.name) {
            Some(old) => diff_cells(Sheet::Callers, &caller.name, old, caller, changes),
            None => changes.push(Change::AddCaller { caller: caller.clone() }),
        }
    }
}

fn diff_cells<E: Serialize>(
    sheet: Sheet,
    entry: &str,
    old: &E,
    new: &E,
    changes: &mut Vec<Change>,
) {
    for column in columns(sheet) {
        let (Some(expect), Some(value)) = (column.get(old), column.get(new)) else { continue };
        if expect != value {
            let place = CellPlace::new(sheet, entry, column.name);
            changes.push(Change::Set { place, expect, value });
        }
    }
}
