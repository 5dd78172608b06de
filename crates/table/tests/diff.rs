//! Tests that applying the diff of two tables to the first gives the second.

use aspenloft_table::diff::diff;
use aspenloft_table::edit::{AppliedEdit, Edit, apply};
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::stored::StoredTable;
use aspenloft_table::table::Table;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn random_table(rng: &mut Pcg64Mcg) -> Table {
    let mut rows = Vec::new();
    let mut callers = Vec::new();
    for i in 0..6_u64 {
        if rng.random() {
            let priority = rng.random_range(0..9);
            let name = format!("row-{i}");
            rows.push(Row { priority, ..Row::new(&name, RowKind::Model, &name) });
        }
        if rng.random() {
            let weight = rng.random_range(1..4);
            let key_sha256 = format!("{i:064x}").into();
            let name = format!("caller-{i}").into();
            callers.push(Caller { name, key_sha256, class: "".into(), weight });
        }
    }
    rows.push(Row::new("last", RowKind::Model, "last"));
    if rng.random_range(0..3) == 0 {
        rows.shuffle(rng);
    }
    Table { version: 4, rows, callers }
}

#[test]
fn applying_a_diff_gives_the_edited_table() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..2_000 {
        let (from, to) = (random_table(&mut rng), random_table(&mut rng));
        let changes = diff(&from, &to);
        if changes.is_empty() {
            assert_eq!(from.rows, to.rows);
            continue;
        }
        let edit = Edit { id: "e".into(), who: "amna".into(), changes };
        let applied = apply(&StoredTable::new(from, Vec::new()), &edit, 0).expect("an edit");
        let AppliedEdit::New(next) = applied else { panic!("the edit was applied before") };
        assert_eq!(next.rows, to.rows);
        let sorted = |mut callers: Vec<Caller>| {
            callers.sort_by(|a, b| a.name.cmp(&b.name));
            callers
        };
        assert_eq!(sorted(next.callers), sorted(to.callers));
    }
}
