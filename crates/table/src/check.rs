//! The `check` module validates a table. It reports all findings at once, each with its
//! row and column.

use std::collections::HashMap;

use aspenloft_core::finding::Findings;
use serde_json::{Map, Value};

use crate::cell::Sheet;
use crate::columns::{columns, find_column};
use crate::row::{Row, RowKind};
use crate::shadow::shadowed_by;
use crate::table::Table;

/// Maximum size of a table, in bytes of JSON text. The rest of the megabyte that the
/// key-value service accepts is for the history of edits.
pub const MAX_TABLE_BYTES: usize = 768 * 1024;

/// Maximum number of rows.
pub const MAX_ROWS: usize = 1_000;

/// Maximum number of callers.
pub const MAX_CALLERS: usize = 4_000;

/// Parses and validates the JSON text of a table.
pub fn check_text(text: &str) -> Result<Table, Findings> {
    let mut findings = Findings::default();
    if text.len() > MAX_TABLE_BYTES {
        findings.add("table", format!("{} bytes exceed {MAX_TABLE_BYTES}", text.len()));
        return Err(findings);
    }
    let value = match serde_json::from_str::<Value>(text) {
        Ok(value) => value,
        Err(e) => {
            findings.add(format!("line {}, column {}", e.line(), e.column()), e.to_string());
            return Err(findings);
        }
    };
    check_structure(&value, &mut findings);
    // Rules that span cells need complete rows, so they are checked only if each cell is
    // valid.
    if findings.is_empty() {
        match Table::from_json(text) {
            Ok(table) => {
                check_rules(&table, &mut findings);
                return findings.into_result().map(|()| table);
            }
            Err(e) => findings.add("table", e.message),
        }
    }
    Err(findings)
}

/// Validates a parsed table, including its size as JSON text.
pub fn check_table(table: &Table) -> Findings {
    match table.to_json() {
        Ok(text) => check_text(&text).err().unwrap_or_default(),
        Err(e) => {
            let mut findings = Findings::default();
            findings.add("table", e.message);
            findings
        }
    }
}

/// Checks the structure of the table and each cell by itself.
fn check_structure(value: &Value, findings: &mut Findings) {
    let Some(object) = value.as_object() else {
        findings.add("table", "must be an object with version, rows and callers");
        return;
    };
    for key in object.keys() {
        if !["version", "rows", "callers"].contains(&key.as_str()) {
            findings.add(key.as_str(), "unknown field; a table has version, rows and callers");
        }
    }
    if !object.get("version").is_some_and(Value::is_u64) {
        findings.add("version", "must be a whole number");
    }
    check_sheet(object, Sheet::Rows, MAX_ROWS, findings);
    check_sheet(object, Sheet::Callers, MAX_CALLERS, findings);
}

fn check_sheet(object: &Map<String, Value>, sheet: Sheet, limit: usize, findings: &mut Findings) {
    let Some(entries) = object.get(&sheet.to_string()).and_then(Value::as_array) else {
        findings.add(sheet.to_string(), "must be a list");
        return;
    };
    if entries.len() > limit {
        findings.add(sheet.to_string(), format!("{} entries exceed {limit}", entries.len()));
    }
    for (index, entry) in entries.iter().enumerate() {
        let name = entry.get("name").and_then(Value::as_str);
        // An entry without a name is identified by its position.
        let place = match name {
            Some(name) if !name.is_empty() => format!("{sheet}[{name}]"),
            _ => format!("{sheet}[#{}]", index + 1),
        };
        match entry.as_object() {
            Some(entry) => check_entry(entry, sheet, &place, findings),
            None => findings.add(place, "must be an object"),
        }
    }
}

fn check_entry(entry: &Map<String, Value>, sheet: Sheet, place: &str, findings: &mut Findings) {
    for (name, value) in entry {
        let cell = format!("{place}.{name}");
        match find_column(sheet, name) {
            Some(column) => column.check(value, &cell, findings),
            None => findings.add(cell, unknown_column(sheet, name)),
        }
    }
    for column in columns(sheet).filter(|column| column.required) {
        if !entry.contains_key(column.name) {
            findings.add(
                format!("{place}.{}", column.name),
                format!("is missing; it must be {}", column.range()),
            );
        }
    }
}

fn unknown_column(sheet: Sheet, name: &str) -> String {
    let similar = columns(sheet).find(|column| {
        column.name.starts_with(name) || name.starts_with(column.name) || column.name.contains(name)
    });
    match similar {
        Some(column) => format!("unknown column; did you mean {}?", column.name),
        None => "unknown column; docs/TABLE.md lists all columns".into(),
    }
}

/// Checks the rules that span several cells, rows or callers.
fn check_rules(table: &Table, findings: &mut Findings) {
    if table.rows.is_empty() {
        findings.add("rows", "must not be empty: without rows no request is served");
    }
    check_names(Sheet::Rows, table.rows.iter().map(|row| &*row.name), findings);
    check_names(Sheet::Callers, table.callers.iter().map(|caller| &*caller.name), findings);
    check_keys(table, findings);
    for (index, row) in table.rows.iter().enumerate() {
        check_row(row, findings);
        if let Some(earlier) = shadowed_by(&table.rows, index) {
            findings.add(
                format!("rows[{}]", row.name),
                format!(
                    "is unreachable: the earlier row {} matches all its requests",
                    earlier.name
                ),
            );
        }
    }
}

fn check_names<'a>(sheet: Sheet, names: impl Iterator<Item = &'a str>, findings: &mut Findings) {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for name in names {
        let count = counts.entry(name).or_default();
        *count += 1;
        if *count == 2 {
            findings.add(format!("{sheet}[{name}].name"), "is used twice; names must be unique");
        }
    }
}

/// Checks that no two callers have the same key, which could not be distinguished.
fn check_keys(table: &Table, findings: &mut Findings) {
    let mut callers_by_key: HashMap<&str, &str> = HashMap::new();
    for caller in &table.callers {
        if let Some(first) = callers_by_key.insert(&caller.key_sha256, &caller.name) {
            findings.add(
                format!("callers[{}].key_sha256", caller.name),
                format!("is also the key of caller {first}"),
            );
        }
    }
}

fn check_row(row: &Row, findings: &mut Findings) {
    let place = |column: &str| format!("rows[{}].{column}", row.name);
    match row.kind {
        RowKind::Service => {
            if !row.path.starts_with('/') {
                findings.add(place("path"), "must start with /");
            }
        }
        RowKind::Model => {
            if row.unrepeatable {
                findings.add(place("unrepeatable"), "is only allowed in rows of kind service");
            }
            if !row.methods.is_empty() {
                findings.add(place("methods"), "is only allowed in rows of kind service");
            }
        }
    }
    for method in &row.methods {
        if !method.bytes().all(|b| b.is_ascii_uppercase()) {
            findings.add(place("methods"), format!("{method} is not a method in capital letters"));
        }
    }
}
