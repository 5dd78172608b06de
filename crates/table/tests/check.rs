//! Tests that validation returns all findings at once, each with its location.

use aspenloft_table::check::{MAX_TABLE_BYTES, check_text};
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::shadow::shadowed_by;
use aspenloft_table::table::Table;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

fn valid_table() -> Value {
    json!({
        "version": 1,
        "rows": [
            {"name": "scribe", "kind": "model", "serves": "scribe"},
            {"name": "booking", "kind": "service", "serves": "trailapp", "path": "/bookings"}
        ],
        "callers": [{"name": "trails", "key_sha256": "ab".repeat(32)}]
    })
}

fn caller(name: &str, key: &str, class: &str) -> Caller {
    Caller { name: name.into(), key_sha256: key.into(), class: class.into(), weight: 250 }
}

fn places(text: &str) -> Vec<String> {
    let findings = check_text(text).err().unwrap_or_default();
    findings.0.into_iter().map(|finding| finding.place).collect()
}

/// Sets the value at a JSON pointer whose parent exists.
fn set(table: &mut Value, path: &str, value: Value) {
    let (parent, key) = path.rsplit_once('/').expect("a path");
    let parent = table.pointer_mut(parent).expect("a parent");
    match parent.as_array_mut() {
        Some(list) => list[key.parse::<usize>().expect("an index")] = value,
        None => drop(parent.as_object_mut().expect("an object").insert(key.into(), value)),
    }
}

#[test]
fn valid_table_has_no_findings() {
    assert_eq!(places(&valid_table().to_string()), Vec::<String>::new());
}

#[test]
fn each_error_is_reported_at_its_location() {
    let digest = "ab".repeat(32);
    let cases: Vec<(&str, Value, &str)> = vec![
        ("/rows/0/ttft_ms", json!(0), "rows[scribe].ttft_ms"),
        ("/rows/0/ttft_ms", json!(-3), "rows[scribe].ttft_ms"),
        ("/rows/0/ttft_ms", json!("fast"), "rows[scribe].ttft_ms"),
        ("/rows/0/priority", json!(10), "rows[scribe].priority"),
        ("/rows/0/goodput_weight", json!(-0.5), "rows[scribe].goodput_weight"),
        ("/rows/0/colour", json!("red"), "rows[scribe].colour"),
        ("/rows/0/kind", json!("magic"), "rows[scribe].kind"),
        ("/rows/0/methods", json!(["GET"]), "rows[scribe].methods"),
        ("/rows/0/unrepeatable", json!(true), "rows[scribe].unrepeatable"),
        ("/rows/1/path", json!("bookings"), "rows[booking].path"),
        ("/rows/1/methods", json!(["post"]), "rows[booking].methods"),
        ("/rows/1/name", json!("scribe"), "rows[scribe].name"),
        ("/rows/1/name", json!(""), "rows[#2].name"),
        ("/callers/0/key_sha256", json!("AB"), "callers[trails].key_sha256"),
        ("/callers/0/key_sha256", json!(digest.to_uppercase()), "callers[trails].key_sha256"),
        ("/rows", json!([]), "rows"),
        ("/rows", json!(3), "rows"),
        ("/version", json!("one"), "version"),
        ("/notes", json!("hello"), "notes"),
    ];
    for (path, value, place) in cases {
        let mut table = valid_table();
        set(&mut table, path, value.clone());
        assert_eq!(places(&table.to_string()), [place], "{path} = {value}");
    }
}

#[test]
fn all_findings_are_reported_at_once() {
    let mut table = valid_table();
    set(&mut table, "/rows/0/ttft_ms", json!(0));
    set(&mut table, "/rows/1/weight", json!("much"));
    set(&mut table, "/callers/0/key_sha256", json!("x"));
    set(&mut table, "/rows/1/serves", json!(null));
    let expected = [
        "rows[scribe].ttft_ms",
        "rows[booking].serves",
        "rows[booking].weight",
        "callers[trails].key_sha256",
    ];
    assert_eq!(places(&table.to_string()), expected);
}

#[test]
fn missing_columns_are_reported() {
    let mut table = valid_table();
    table["rows"][0] = json!({});
    assert_eq!(places(&table.to_string()), ["rows[#1].name", "rows[#1].kind", "rows[#1].serves"]);
}

#[test]
fn syntax_errors_are_reported_by_line_and_column() {
    assert_eq!(places("{\n  \"version\": 1,,"), ["line 2, column 16"]);
}

#[test]
fn duplicate_caller_keys_are_reported() {
    let mut table = valid_table();
    table["callers"] = json!([
        {"name": "a", "key_sha256": "ab".repeat(32)},
        {"name": "b", "key_sha256": "ab".repeat(32)}
    ]);
    assert_eq!(places(&table.to_string()), ["callers[b].key_sha256"]);
}

#[test]
fn too_large_table_is_rejected() {
    let text = valid_table().to_string() + &" ".repeat(MAX_TABLE_BYTES);
    assert_eq!(places(&text), ["table"]);
}

#[test]
fn table_of_40_rows_and_360_callers_fits() {
    let row = |i: usize| Row {
        classes: (0..8).map(|c| format!("class-{c}").into()).collect(),
        ..Row::new(&format!("row-{i}"), RowKind::Model, &format!("model-{i}"))
    };
    let long = |i| caller(&format!("caller-{i:049}"), &format!("{i:064x}"), "a-class-of-callers");
    let rows = (0..40).map(row).collect();
    let table = Table { version: 1, rows, callers: (0..360).map(long).collect() };
    let text = table.to_json().expect("text");
    assert!(text.len() < MAX_TABLE_BYTES / 8, "{} bytes", text.len());
    assert!(check_text(&text).is_ok());
}

/// The oracle looks up all combinations of path, method and class that two rows can
/// distinguish.
#[test]
fn shadowed_rows_are_exactly_the_unreachable_rows() {
    const PATHS: [&str; 4] = ["/", "/a", "/a/b", "/ab"];
    const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
    const CLASSES: [&str; 3] = ["x", "y", "z"];
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..5_000 {
        let mut rows = Vec::new();
        for i in 0..2 {
            let mut random_subset = |values: &[&str]| {
                let chosen = values.iter().filter(|_| rng.random_range(0..3) == 0);
                chosen.map(|value| (*value).into()).collect::<Vec<_>>()
            };
            let (methods, classes) = (random_subset(&METHODS), random_subset(&CLASSES));
            let path = PATHS[rng.random_range(0..PATHS.len())].into();
            let row = Row::new(&format!("row-{i}"), RowKind::Service, "trailapp");
            rows.push(Row { path, methods, classes, ..row });
        }
        let table = Table { version: 1, rows, callers: Vec::new() };
        let reached = is_second_row_reachable(&table, &CLASSES);
        assert_eq!(shadowed_by(&table.rows, 1).is_some(), !reached, "{:?}", table.rows);
    }
}

fn is_second_row_reachable(table: &Table, classes: &[&str]) -> bool {
    let paths = ["/", "/a", "/a/b", "/ab", "/a/b/c", "/ab/c", "/c", "/a/c"];
    let mut classes = classes.iter().copied().chain(["other"]);
    classes.any(|class| {
        let caller = caller("c", "", class);
        let mut methods = ["GET", "POST", "PUT", "DELETE"].into_iter();
        methods.any(|method| {
            paths.iter().any(|path| {
                let row = table.service_row(method, path, &caller);
                row.is_some_and(|row| &*row.name == "row-1")
            })
        })
    })
}
