//! Tests of edits by concurrent operators against a simulated key-value service that
//! loses responses, delays writes and is unavailable at times. The outcome of each edit is
//! compared with the writes that took effect.

use std::collections::BTreeMap;

use aspenloft_core::errors::{Error, ErrorCode, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::Name;
use aspenloft_table::cell::{Cell, CellPlace, Sheet};
use aspenloft_table::columns::find_column;
use aspenloft_table::commit::{Commit, CommitAction, CommitEvent, CommitOutcome};
use aspenloft_table::edit::{Change, Edit, Refusal};
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::stored::{MAX_HISTORY, StoredTable};
use aspenloft_table::table::Table;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// The number of random runs in CI; `ASPENLOFT_FUZZ_RUNS` overrides it.
const RUNS: u64 = 1_000;

fn runs() -> u64 {
    let requested = std::env::var("ASPENLOFT_FUZZ_RUNS").ok();
    requested.and_then(|text| text.parse().ok()).unwrap_or(RUNS)
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

/// `Service` simulates one key of the key-value service and records all writes that took
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

    fn apply_delayed(&mut self, rng: &mut Pcg64Mcg) {
        if !self.delayed.is_empty() && rng.random_range(0..3) == 0 {
            let at = rng.random_range(0..self.delayed.len());
            let (expect, text) = self.delayed.remove(at);
            self.write(expect, &text);
        }
    }
}

fn lost_response() -> Error {
    unavailable("the response was lost").execution(Execution::Unknown)
}

struct Operator {
    edit: Edit,
    commit: Commit,
    action: CommitAction,
    outcome: Option<CommitOutcome>,
}

impl Operator {
    fn new(edit: Edit, min_version: u64) -> Operator {
        let mut commit = Commit::new(edit.clone(), 1_000, min_version);
        let action = commit.next(CommitEvent::Start);
        Operator { edit, commit, action, outcome: None }
    }

    /// Performs the next action, with a random fault if `faults` is set.
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
            // The write succeeds or fails, and its response is lost.
            CommitAction::Write { expect, text } if fault <= 2 => {
                service.write(*expect, text);
                CommitEvent::Indeterminate(lost_response())
            }
            // The response is lost, and the write reaches the service later.
            CommitAction::Write { expect, text } if fault == 3 => {
                service.delayed.push((*expect, text.clone()));
                CommitEvent::Indeterminate(lost_response())
            }
            CommitAction::Write { expect, text } => service.write(*expect, text),
        };
        self.action = self.commit.next(event);
        if let CommitAction::Done(outcome) = &self.action {
            self.outcome = Some(outcome.clone());
        }
    }
}

/// Generates an edit of an operator who read `seen`.
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
                // Some values are out of range and must be rejected.
                value: Cell::Whole(rng.random_range(0..12)),
            }
        }
    }
}

/// The oracle's table: the JSON text of all cells by position, computed without the code
/// under test.
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

fn remove(all: &mut Cells, removed: Cells) {
    for (place, cell) in removed {
        assert_eq!(all.remove(&place), Some(cell), "{place}");
    }
}

/// Applies `edit` to the oracle's cells; panics if a cell does not have the expected value.
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

/// Runs random edits of several operators with random faults; returns the operators with
/// their outcomes.
fn run_operators(service: &mut Service, rng: &mut Pcg64Mcg) -> Vec<Operator> {
    let mut done: Vec<Operator> = Vec::new();
    let mut active: Vec<Operator> = Vec::new();
    for turn in 0..120 {
        if active.len() < 3 && turn < 60 && rng.random_range(0..3) == 0 {
            // Some operators have read a version older than the newest.
            let age = rng.random_range(0..service.effects.len().min(3));
            let seen = &service.effects[service.effects.len() - 1 - age];
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
        service.apply_delayed(rng);
    }
    for operator in &mut active {
        let outcome = operator.commit.give_up(unavailable("the run has ended"));
        operator.outcome.get_or_insert(outcome);
    }
    done.append(&mut active);
    while !service.delayed.is_empty() {
        service.apply_delayed(rng);
    }
    done
}

/// Runs one random sequence of edits and checks it against the oracle. Returns the numbers
/// of accepted and rejected edits.
fn run(seed: u64) -> (u32, u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut service = Service::new();
    let done = run_operators(&mut service, &mut rng);

    // Each write increments the version by one and makes exactly the changes of one edit.
    let edits: BTreeMap<Name, &Edit> = done.iter().map(|o| (o.edit.id.clone(), &o.edit)).collect();
    let mut versions_by_id: BTreeMap<Name, Vec<u64>> = BTreeMap::new();
    for pair in service.effects.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        assert_eq!(after.version, before.version + 1, "seed {seed}");
        let id = after.history.last().expect("a record").id.clone();
        let mut expected = cells(before);
        oracle_apply(&mut expected, edits[&id]);
        assert_eq!(cells(after), expected, "seed {seed}, edit {id}");
        versions_by_id.entry(id).or_default().push(after.version);
    }

    // The outcome that each operator received matches the writes that took effect.
    let (mut accepted, mut rejected) = (0, 0);
    for operator in &done {
        let versions = versions_by_id.get(&operator.edit.id).cloned().unwrap_or_default();
        assert!(versions.len() <= 1, "seed {seed}: {} took effect twice", operator.edit.id);
        match operator.outcome.as_ref().expect("an outcome") {
            CommitOutcome::Accepted(_, version) => {
                accepted += 1;
                assert_eq!(versions, [*version], "seed {seed}: {}", operator.edit.id);
            }
            CommitOutcome::Unknown(_) => {}
            outcome => {
                rejected += 1;
                assert!(versions.is_empty(), "seed {seed}: {outcome:?} yet {versions:?}");
            }
        }
    }
    (accepted, rejected)
}

#[test]
fn random_edit_sequences_match_the_oracle() {
    let (mut accepted, mut rejected) = (0, 0);
    for seed in 0..runs() {
        let counts = run(seed);
        accepted += counts.0;
        rejected += counts.1;
    }
    // The random edits must exercise both outcomes often enough.
    assert!(accepted > 1_000 && rejected > 1_000, "{accepted} accepted, {rejected} rejected");
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

fn finish(service: &mut Service, mut operator: Operator) -> CommitOutcome {
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    while operator.outcome.is_none() {
        operator.step(service, &mut rng, false);
    }
    operator.outcome.expect("an outcome")
}

fn commit_edit(service: &mut Service, edit: Edit, min_version: u64) -> CommitOutcome {
    finish(service, Operator::new(edit, min_version))
}

#[test]
fn edits_of_different_cells_are_merged() {
    let mut service = Service::new();
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    // The second operator edits the table after the first has read it.
    let mut first = Operator::new(edit("a", "amna", vec![set("row-0", "priority", 5, 6)]), 0);
    first.step(&mut service, &mut rng, false);
    let second = edit("b", "bo", vec![set("row-0", "weight", 100, 50)]);
    assert!(matches!(commit_edit(&mut service, second, 0), CommitOutcome::Accepted(_, 2)));
    assert!(matches!(finish(&mut service, first), CommitOutcome::Accepted(_, 3)));
    let row = &service.effects.last().expect("a value").rows[0];
    assert_eq!((row.priority, row.weight), (6, 50));
}

#[test]
fn edits_of_the_same_cell_conflict() {
    let mut service = Service::new();
    let first = edit("a", "amna", vec![set("row-0", "priority", 5, 6)]);
    assert!(matches!(commit_edit(&mut service, first, 0), CommitOutcome::Accepted(_, 2)));
    let second = edit("b", "bo", vec![set("row-0", "priority", 5, 7)]);
    let outcome = commit_edit(&mut service, second, 0);
    let CommitOutcome::Refused(Refusal::Conflict { version, cells }) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((version, cells.len()), (2, 1));
    assert_eq!(
        cells[0].to_string(),
        "rows[row-0].priority: expected 5, found 6 (edited by amna in version 2)"
    );
}

#[test]
fn invalid_edit_is_rejected_with_all_findings() {
    let mut service = Service::new();
    let changes = vec![set("row-0", "priority", 5, 11), set("row-1", "weight", 100, 0)];
    let outcome = commit_edit(&mut service, edit("a", "amna", changes), 0);
    let CommitOutcome::Refused(Refusal::Findings(findings)) = outcome else {
        panic!("{outcome:?}")
    };
    let places: Vec<&str> = findings.0.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["rows[row-0].priority", "rows[row-1].weight"]);
    assert_eq!(service.effects.len(), 1);
}

#[test]
fn reverted_service_rejects_edits_until_restored() {
    let mut service = Service::new();
    let stale = edit("a", "amna", vec![set("row-0", "priority", 5, 6)]);
    let outcome = commit_edit(&mut service, stale, 9);
    assert_eq!(outcome, CommitOutcome::Regressed { service: 1, hosts: 9 });
    let table = Table { version: 9, ..first_table() };
    let mut commit = Commit::restore(table, edit("r", "amna", Vec::new()), 1_000);
    assert_eq!(commit.next(CommitEvent::Start), CommitAction::Read);
    let CommitAction::Write { expect, text } = commit.next(service.read()) else {
        panic!("no write")
    };
    let written = service.write(expect, &text);
    let CommitAction::Done(CommitOutcome::Accepted(_, 10)) = commit.next(written) else {
        panic!("the table was not restored")
    };
}

/// Toggles one cell between two values, as the `i`th edit.
fn toggle(service: &mut Service, i: u64) {
    let changes = vec![set("row-0", "weight", 100 + i % 2, 100 + (i + 1) % 2)];
    let outcome = commit_edit(service, edit(&format!("e{i}"), "bo", changes), 0);
    assert!(matches!(outcome, CommitOutcome::Accepted(..)), "{outcome:?}");
}

#[test]
fn history_is_bounded_and_drops_the_oldest_first() {
    let mut service = Service::new();
    for i in 0..MAX_HISTORY as u64 + 20 {
        toggle(&mut service, i);
    }
    let stored = service.effects.last().expect("a value");
    assert_eq!(stored.history.len(), MAX_HISTORY);
    assert_eq!((&*stored.history[0].id, stored.history[0].version), ("e20", 22));
}

#[test]
fn lost_response_beyond_the_history_gives_an_unknown_outcome() {
    let mut service = Service::new();
    let lost = edit("lost", "amna", vec![set("row-1", "priority", 5, 6)]);
    let mut commit = Commit::new(lost, 1_000, 0);
    commit.next(CommitEvent::Start);
    let CommitAction::Write { expect, text } = commit.next(service.read()) else {
        panic!("no write")
    };
    service.write(expect, &text);
    commit.next(CommitEvent::Indeterminate(lost_response()));
    for i in 0..MAX_HISTORY as u64 + 1 {
        toggle(&mut service, i);
    }
    let action = commit.next(service.read());
    let CommitAction::Done(CommitOutcome::Unknown(e)) = action else { panic!("{action:?}") };
    assert_eq!((e.code, e.execution), (ErrorCode::Unavailable, Execution::Unknown));
}
