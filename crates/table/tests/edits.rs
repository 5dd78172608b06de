//! Edits against a key-value service that loses answers, delays writes and fails,
//! with several operators at once, compared with what really took effect.

use std::collections::BTreeMap;

use aspenloft_core::errors::{Error, ErrorCode, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::Name;
use aspenloft_table::cell::{Cell, CellPlace, Sheet};
use aspenloft_table::columns::find_column;
use aspenloft_table::commit::{Commit, CommitAction, CommitEvent, Outcome};
use aspenloft_table::edit::{Change, Edit, Refusal};
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::stored::{MAX_HISTORY, StoredTable};
use aspenloft_table::table::Table;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Random runs in CI; `ASPENLOFT_FUZZ_RUNS` asks for more.
const RUNS: u64 = 1_000;

fn runs() -> u64 {
    let asked = std::env::var("ASPENLOFT_FUZZ_RUNS").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(RUNS)
}

fn caller(name: &str, key: u64) -> Caller {
    let key = format!("{key:064x}");
    Caller { name: name.into(), key_sha256: key.into(), class: "".into(), weight: 100 }
}

fn first_table() -> Table {
    let row = |i: usize| Row::new(&format!("row-{i}"), RowKind::Model, &format!("model-{i}"));
    let callers = (0..2).map(|i| caller(&format!("caller-{i}"), i)).collect();
    Table { version: 1, rows: (0..3).map(row).collect(), callers }
}

/// `Service` is the key-value service's one key, with the record of what took
/// effect.
struct Service {
    revision: u64,
    text: String,
    delayed: Vec<(u64, String)>,
    effects: Vec<StoredTable>,
    down: bool,
}

impl Service {
    fn new() -> Service {
        let stored = StoredTable::new(first_table(), Vec::new());
        let text = stored.to_json().expect("text");
        Service { revision: 5, text, delayed: Vec::new(), effects: vec![stored], down: false }
    }

    fn read(&self) -> CommitEvent {
        CommitEvent::Read(Some((self.revision, self.text.clone())))
    }

    fn write(&mut self, expect: u64, text: &str) -> CommitEvent {
        if expect != self.revision {
            return CommitEvent::Conflict;
        }
        self.revision += 3;
        self.text = text.into();
        self.effects.push(StoredTable::from_json(text).expect("a value"));
        CommitEvent::Written
    }

    fn land_delayed(&mut self, rng: &mut Pcg64Mcg) {
        if !self.delayed.is_empty() && rng.random_range(0..3) == 0 {
            let at = rng.random_range(0..self.delayed.len());
            let (expect, text) = self.delayed.remove(at);
            self.write(expect, &text);
        }
    }
}

fn lost_answer() -> Error {
    unavailable("the answer was lost").execution(Execution::Unknown)
}

struct Operator {
    edit: Edit,
    commit: Commit,
    action: CommitAction,
    outcome: Option<Outcome>,
}

impl Operator {
    fn new(edit: Edit, floor: u64) -> Operator {
        let mut commit = Commit::new(edit.clone(), 1_000, floor);
        let action = commit.next(CommitEvent::Start);
        Operator { edit, commit, action, outcome: None }
    }

    /// Carries the next action out, with whatever fault befalls it.
    fn step(&mut self, service: &mut Service, rng: &mut Pcg64Mcg, faults: bool) {
        let fault = if faults { rng.random_range(0..10) } else { 9 };
        let event = match &self.action {
            CommitAction::Done(_) => return,
            _ if service.down => CommitEvent::Unreachable(unavailable("down")),
            CommitAction::Read | CommitAction::ReadLater if fault == 0 => {
                CommitEvent::Unreachable(unavailable("the read failed"))
            }
            CommitAction::Read | CommitAction::ReadLater => service.read(),
            CommitAction::Write { .. } if fault == 0 => {
                CommitEvent::Unreachable(unavailable("refused"))
            }
            // The write takes effect or loses, and nobody learns which.
            CommitAction::Write { expect, text } if fault <= 2 => {
                service.write(*expect, text);
                CommitEvent::Indeterminate(lost_answer())
            }
            // The write is under way and lands later.
            CommitAction::Write { expect, text } if fault == 3 => {
                service.delayed.push((*expect, text.clone()));
                CommitEvent::Indeterminate(lost_answer())
            }
            CommitAction::Write { expect, text } => service.write(*expect, text),
        };
        self.action = self.commit.next(event);
        if let CommitAction::Done(outcome) = &self.action {
            self.outcome = Some(outcome.clone());
        }
    }
}

/// Makes an edit from what an operator saw.
fn random_edit(seen: &StoredTable, id: &str, rng: &mut Pcg64Mcg) -> Edit {
    let changes = (0..rng.random_range(1..4)).map(|n| random_change(seen, id, n, rng)).collect();
    Edit { id: id.into(), who: "operator".into(), changes }
}

fn random_change(seen: &StoredTable, id: &str, n: u32, rng: &mut Pcg64Mcg) -> Change {
    let at = rng.random_range(0..seen.rows.len());
    match rng.random_range(0..8) {
        0 => {
            let name = format!("row-{id}-{n}");
            let before = rng.random::<bool>().then(|| seen.rows[at].name.clone());
            Change::AddRow { row: Box::new(Row::new(&name, RowKind::Model, &name)), before }
        }
        1 if seen.rows.len() > 2 => Change::RemoveRow { row: Box::new(seen.rows[at].clone()) },
        2 => Change::AddCaller { caller: caller(&format!("caller-{id}-{n}"), rng.random()) },
        3 if !seen.callers.is_empty() => {
            let at = rng.random_range(0..seen.callers.len());
            Change::RemoveCaller { caller: seen.callers[at].clone() }
        }
        _ => {
            let column = ["priority", "weight", "ttft_ms"][rng.random_range(0..3)];
            let row = &seen.rows[at];
            let found = find_column(Sheet::Rows, column).and_then(|column| column.get(row));
            Change::Set {
                place: CellPlace::new(Sheet::Rows, &row.name, column),
                expect: found.expect("a cell"),
                // Some values are out of range and must be refused.
                value: Cell::Whole(rng.random_range(0..12)),
            }
        }
    }
}

/// The oracle's table: all cells by place, worked out without the code under test.
type Cells = BTreeMap<String, String>;

fn entry_cells(sheet: &str, name: &str, entry: &impl Serialize) -> Cells {
    let value = serde_json::to_value(entry).expect("JSON");
    let object = value.as_object().cloned().unwrap_or_default();
    let cells = object.into_iter();
    cells.map(|(column, cell)| (format!("{sheet}[{name}].{column}"), cell.to_string())).collect()
}

fn cells(stored: &StoredTable) -> Cells {
    let mut all = Cells::new();
    for row in &stored.rows {
        all.extend(entry_cells("rows", &row.name, row));
    }
    for caller in &stored.callers {
        all.extend(entry_cells("callers", &caller.name, caller));
    }
    all
}

fn remove(all: &mut Cells, gone: Cells) {
    for (place, cell) in gone {
        assert_eq!(all.remove(&place), Some(cell), "{place}");
    }
}

/// Makes the changes of `edit` on the oracle's cells; fails where one was not as
/// expected.
fn oracle_apply(all: &mut Cells, edit: &Edit) {
    for change in &edit.changes {
        match change {
            Change::Set { place, expect, value } => {
                let old = all.insert(place.to_string(), value.to_string());
                assert_eq!(old, Some(expect.to_string()), "{place}");
            }
            Change::AddRow { row, .. } => all.extend(entry_cells("rows", &row.name, row)),
            Change::AddCaller { caller } => {
                all.extend(entry_cells("callers", &caller.name, caller));
            }
            Change::RemoveRow { row } => remove(all, entry_cells("rows", &row.name, row)),
            Change::RemoveCaller { caller } => {
                remove(all, entry_cells("callers", &caller.name, caller));
            }
        }
    }
}

/// Lets operators edit at random for a while; returns what they did.
fn work(service: &mut Service, rng: &mut Pcg64Mcg) -> Vec<Operator> {
    let mut done: Vec<Operator> = Vec::new();
    let mut active: Vec<Operator> = Vec::new();
    for turn in 0..120 {
        if active.len() < 3 && turn < 60 && rng.random_range(0..3) == 0 {
            // Some operators look at an older version than the newest.
            let back = rng.random_range(0..service.effects.len().min(3));
            let seen = &service.effects[service.effects.len() - 1 - back];
            active.push(Operator::new(random_edit(seen, &format!("e{turn}"), rng), 0));
        }
        if rng.random_range(0..25) == 0 {
            service.down = !service.down && turn < 60;
        }
        if !active.is_empty() {
            let at = rng.random_range(0..active.len());
            active[at].step(service, rng, turn < 100);
            if active[at].outcome.is_some() {
                done.push(active.remove(at));
            }
        }
        service.land_delayed(rng);
    }
    for operator in &mut active {
        let outcome = operator.commit.give_up(unavailable("no more time"));
        operator.outcome.get_or_insert(outcome);
    }
    done.append(&mut active);
    while !service.delayed.is_empty() {
        service.land_delayed(rng);
    }
    done
}

/// Runs one sequence and compares; returns how many edits were accepted and how
/// many were not.
fn run(seed: u64) -> (u32, u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut service = Service::new();
    let done = work(&mut service, &mut rng);

    // Versions grow by one, and each effect is exactly one edit's changes.
    let edits: BTreeMap<Name, &Edit> = done.iter().map(|o| (o.edit.id.clone(), &o.edit)).collect();
    let mut took: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
    for pair in service.effects.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        assert_eq!(after.version, before.version + 1, "seed {seed}");
        let id = after.history.last().expect("a record").id.clone();
        let mut expected = cells(before);
        oracle_apply(&mut expected, edits[&id]);
        assert_eq!(cells(after), expected, "seed {seed}, edit {id}");
        took.entry(id).or_default().push(after.version);
    }

    // What each operator was told agrees with what took effect.
    let (mut accepted, mut refused) = (0, 0);
    for operator in &done {
        let versions = took.get(&operator.edit.id).cloned().unwrap_or_default();
        assert!(versions.len() <= 1, "seed {seed}: {} took effect twice", operator.edit.id);
        match operator.outcome.as_ref().expect("an outcome") {
            Outcome::Accepted(_, version) => {
                accepted += 1;
                assert_eq!(versions, [*version], "seed {seed}: {}", operator.edit.id);
            }
            Outcome::Unknown(_) => {}
            outcome => {
                refused += 1;
                assert!(versions.is_empty(), "seed {seed}: {outcome:?} yet {versions:?}");
            }
        }
    }
    (accepted, refused)
}

#[test]
fn a_thousand_random_edit_sequences_agree_with_the_oracle() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..runs() {
        let counts = run(seed);
        accepted += counts.0;
        refused += counts.1;
    }
    // The runs must meet both ends often enough to mean something.
    assert!(accepted > 1_000 && refused > 1_000, "{accepted} accepted, {refused} refused");
}

fn set(row: &str, column: &str, expect: u64, value: u64) -> Change {
    Change::Set {
        place: CellPlace::new(Sheet::Rows, row, column),
        expect: Cell::Whole(expect),
        value: Cell::Whole(value),
    }
}

fn edit(id: &str, who: &str, changes: Vec<Change>) -> Edit {
    Edit { id: id.into(), who: who.into(), changes }
}

fn finish(service: &mut Service, mut operator: Operator) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    while operator.outcome.is_none() {
        operator.step(service, &mut rng, false);
    }
    operator.outcome.expect("an outcome")
}

fn bring_in(service: &mut Service, edit: Edit, floor: u64) -> Outcome {
    finish(service, Operator::new(edit, floor))
}

#[test]
fn edits_of_different_cells_merge() {
    let mut service = Service::new();
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    // The first operator has read the table when the second edits it.
    let mut first = Operator::new(edit("a", "amna", vec![set("row-0", "priority", 5, 6)]), 0);
    first.step(&mut service, &mut rng, false);
    let second = edit("b", "bo", vec![set("row-0", "weight", 100, 50)]);
    assert!(matches!(bring_in(&mut service, second, 0), Outcome::Accepted(_, 2)));
    assert!(matches!(finish(&mut service, first), Outcome::Accepted(_, 3)));
    let row = &service.effects.last().expect("a value").rows[0];
    assert_eq!((row.priority, row.weight), (6, 50));
}

#[test]
fn two_edits_of_one_cell_give_a_conflict_with_cell_value_and_version() {
    let mut service = Service::new();
    let first = edit("a", "amna", vec![set("row-0", "priority", 5, 6)]);
    assert!(matches!(bring_in(&mut service, first, 0), Outcome::Accepted(_, 2)));
    let second = edit("b", "bo", vec![set("row-0", "priority", 5, 7)]);
    let outcome = bring_in(&mut service, second, 0);
    let Outcome::Refused(Refusal::Conflict { version, cells }) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((version, cells.len()), (2, 1));
    assert_eq!(
        cells[0].to_string(),
        "rows[row-0].priority: expected 5, found 6 (edited by amna in version 2)"
    );
}

#[test]
fn an_edit_that_makes_the_table_unsound_brings_all_findings() {
    let mut service = Service::new();
    let changes = vec![set("row-0", "priority", 5, 11), set("row-1", "weight", 100, 0)];
    let outcome = bring_in(&mut service, edit("a", "amna", changes), 0);
    let Outcome::Refused(Refusal::Findings(findings)) = outcome else { panic!("{outcome:?}") };
    let places: Vec<&str> = findings.0.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["rows[row-0].priority", "rows[row-1].weight"]);
    assert_eq!(service.effects.len(), 1);
}

#[test]
fn a_service_that_fell_back_takes_no_edit_until_it_is_restored() {
    let mut service = Service::new();
    let stale = edit("a", "amna", vec![set("row-0", "priority", 5, 6)]);
    let outcome = bring_in(&mut service, stale, 9);
    assert_eq!(outcome, Outcome::Regressed { service: 1, hosts: 9 });
    let table = Table { version: 9, ..first_table() };
    let mut commit = Commit::restore(table, edit("r", "amna", Vec::new()), 1_000);
    assert_eq!(commit.next(CommitEvent::Start), CommitAction::Read);
    let CommitAction::Write { expect, text } = commit.next(service.read()) else {
        panic!("no write")
    };
    let written = service.write(expect, &text);
    let CommitAction::Done(Outcome::Accepted(_, 10)) = commit.next(written) else {
        panic!("not restored")
    };
}

/// Swaps one cell between two values, as the `i`th edit.
fn swap(service: &mut Service, i: u64) {
    let changes = vec![set("row-0", "weight", 100 + i % 2, 100 + (i + 1) % 2)];
    let outcome = bring_in(service, edit(&format!("e{i}"), "bo", changes), 0);
    assert!(matches!(outcome, Outcome::Accepted(..)), "{outcome:?}");
}

#[test]
fn history_is_bounded_and_forgets_the_oldest_first() {
    let mut service = Service::new();
    for i in 0..MAX_HISTORY as u64 + 20 {
        swap(&mut service, i);
    }
    let stored = service.effects.last().expect("a value");
    assert_eq!(stored.history.len(), MAX_HISTORY);
    assert_eq!((&*stored.history[0].id, stored.history[0].version), ("e20", 22));
}

#[test]
fn a_lost_answer_that_the_history_has_forgotten_is_unknown() {
    let mut service = Service::new();
    let lost = edit("lost", "amna", vec![set("row-1", "priority", 5, 6)]);
    let mut commit = Commit::new(lost, 1_000, 0);
    commit.next(CommitEvent::Start);
    let CommitAction::Write { expect, text } = commit.next(service.read()) else {
        panic!("no write")
    };
    service.write(expect, &text);
    commit.next(CommitEvent::Indeterminate(lost_answer()));
    for i in 0..MAX_HISTORY as u64 + 1 {
        swap(&mut service, i);
    }
    let action = commit.next(service.read());
    let CommitAction::Done(Outcome::Unknown(e)) = action else { panic!("{action:?}") };
    assert_eq!((e.code, e.execution), (ErrorCode::Unavailable, Execution::Unknown));
}
