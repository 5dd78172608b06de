//! Tests that the registry of columns, the types and `docs/TABLE.md` agree, and that cells
//! can be parsed, set and serialized.

use std::collections::BTreeSet;

use aspenloft_table::cell::{Cell, Sheet};
use aspenloft_table::columns::{COLUMNS, Kind, columns, find_column};
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::table::Table;
use serde_json::Value;

const DOCS: &str = include_str!("../../../docs/TABLE.md");

fn caller() -> Caller {
    let text = format!(r#"{{"name": "trails", "key_sha256": "{}"}}"#, "ab".repeat(32));
    serde_json::from_str(&text).expect("a caller")
}

fn field_names(value: Value) -> BTreeSet<String> {
    value.as_object().expect("an object").keys().cloned().collect()
}

#[test]
fn each_field_has_exactly_one_column() {
    let row = serde_json::to_value(Row::new("scribe", RowKind::Model, "scribe"));
    let rows: BTreeSet<String> = columns(Sheet::Rows).map(|c| c.name.to_string()).collect();
    assert_eq!(field_names(row.expect("a row")), rows);
    let value = serde_json::to_value(caller()).expect("a caller");
    let callers: BTreeSet<String> = columns(Sheet::Callers).map(|c| c.name.to_string()).collect();
    assert_eq!(field_names(value), callers);
    assert_eq!(rows.len() + callers.len(), COLUMNS.len());
}

#[test]
fn documentation_lists_each_column_with_unit_range_and_default() {
    for column in COLUMNS {
        let section = format!("## Sheet `{}`", column.sheet);
        let from =
            DOCS.find(&section).unwrap_or_else(|| panic!("the section {section} is missing"));
        let rest = &DOCS[from + section.len()..];
        let part = rest.split("\n## ").next().unwrap_or_default();
        let line = part.lines().find(|line| line.starts_with(&format!("| `{}` |", column.name)));
        let line = line.unwrap_or_else(|| panic!("{}.{} is missing", column.sheet, column.name));
        assert!(line.contains(&column.range()), "{line}: lacks the range {}", column.range());
        assert!(line.contains(column.unit), "{line}: lacks the unit {}", column.unit);
        let default = match column.default() {
            None => "required".into(),
            Some(cell) if cell.to_string().is_empty() => "none".into(),
            Some(cell) => format!("`{cell}`"),
        };
        assert!(line.contains(&default), "{line}: lacks the default {default}");
    }
}

#[test]
fn documentation_lists_no_unknown_column() {
    let mut sheet = None;
    for line in DOCS.lines() {
        if line.starts_with("## ") {
            let sheets = [Sheet::Rows, Sheet::Callers];
            sheet = sheets.into_iter().find(|sheet| line == format!("## Sheet `{sheet}`"));
        }
        let name = line.strip_prefix("| `").and_then(|rest| rest.split('`').next());
        if let (Some(sheet), Some(name)) = (sheet, name) {
            assert!(find_column(sheet, name).is_some(), "{sheet}.{name} is not a column");
        }
    }
}

#[test]
fn cells_are_parsed_and_set() {
    for column in columns(Sheet::Rows).filter(|column| column.name != "kind") {
        let mut row = Row::new("scribe", RowKind::Service, "scribe");
        let text = match column.kind {
            Kind::Flag => "true",
            Kind::Whole(..) => "7",
            Kind::Decimal(..) => "0.5",
            _ => "GET",
        };
        let cell = column.parse(text).expect("a cell");
        assert!(column.set(&mut row, &cell), "{}", column.name);
        assert_eq!(column.get(&row), Some(cell), "{}", column.name);
    }
    let class = find_column(Sheet::Callers, "class").expect("a column");
    let mut caller = caller();
    assert!(class.set(&mut caller, &Cell::Text("staff".into())));
    assert_eq!(&*caller.class, "staff");
    assert!(!class.set(&mut caller, &Cell::Whole(3)));
}

#[test]
fn serialization_omits_defaults_and_round_trips() {
    let rows = vec![Row::new("scribe", RowKind::Model, "scribe")];
    let table = Table { version: 3, rows, callers: vec![caller()] };
    let text = table.to_json().expect("text");
    assert!(!text.contains("ttft_ms"), "{text}");
    assert_eq!(Table::from_json(&text).expect("a table"), table);
}
