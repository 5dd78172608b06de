//! The `commit` module brings an edit into the platform's key-value service by
//! compare-and-swap: event in, action out, no I/O.
//!
//! An answer that was lost is settled by reading back: the value's history names
//! the ids of the edits that took effect. See `docs/design/table.md`.

use aspenloft_core::errors::Error;

use crate::edit::{Applied, Edit, Refusal, apply};
use crate::stored::{EditRecord, StoredTable};
use crate::table::Table;

/// The most compare-and-swaps that one edit may lose to other operators.
pub const MAX_ATTEMPTS: u32 = 32;

/// `CommitEvent` is an answer of the key-value service, or its absence.
#[derive(Debug, Clone)]
pub enum CommitEvent {
    /// The edit begins.
    Start,
    /// The value was read: its revision and text, or nothing there.
    Read(Option<(u64, String)>),
    /// The write took effect.
    Written,
    /// Another write came first; nothing took effect.
    Conflict,
    /// Nothing took effect, and the service cannot be reached.
    Unreachable(Error),
    /// The write may have taken effect or may yet.
    Indeterminate(Error),
}

/// `CommitAction` is what must be done next.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitAction {
    /// Read the value.
    Read,
    /// Wait a little, then read the value.
    ReadLater,
    /// Write `text` if the value still has the revision `expect`.
    Write {
        /// The expected revision; zero when the value must be absent.
        expect: u64,
        /// The new value.
        text: String,
    },
    /// The edit is over.
    Done(Outcome),
}

/// `Outcome` is the end of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It was accepted in this version.
    Accepted(Box<StoredTable>, u64),
    /// It was refused; nothing took effect.
    Refused(Refusal),
    /// The service's value is older than what hosts obey; nothing took effect.
    Regressed {
        /// The version at the service; zero for none.
        service: u64,
        /// The version that hosts obey.
        hosts: u64,
    },
    /// The service could not be reached, or holds what cannot be read; nothing took
    /// effect.
    Failed(Error),
    /// Whether it took effect could not be learnt.
    Unknown(Error),
}

/// `Commit` is one edit on its way into the key-value service.
#[derive(Debug)]
pub struct Commit {
    edit: Edit,
    /// The table to put back where the service's value is older than the hosts'.
    restore: Option<Table>,
    at_ms: u64,
    /// The highest version that any host is known to obey.
    floor: u64,
    attempts: u32,
    last: Option<Box<StoredTable>>,
    /// The lowest version in which an unsure write may have taken effect.
    indeterminate: Option<(u64, Error)>,
}

impl Commit {
    /// Begins to bring `edit` in, at `at_ms` since the Unix epoch. Hosts are known
    /// to obey a table of version `floor`.
    pub fn new(edit: Edit, at_ms: u64, floor: u64) -> Commit {
        Commit { edit, restore: None, at_ms, floor, attempts: 0, last: None, indeterminate: None }
    }

    /// Begins to put `table`, which hosts obey, back into a service whose value is
    /// older. The edit gives the id and who asks; it has no changes.
    pub fn restore(table: Table, edit: Edit, at_ms: u64) -> Commit {
        let floor = table.version;
        Commit { restore: Some(table), ..Commit::new(edit, at_ms, floor) }
    }

    /// Takes an event in and says what to do next.
    pub fn next(&mut self, event: CommitEvent) -> CommitAction {
        match event {
            CommitEvent::Start => CommitAction::Read,
            CommitEvent::Read(value) => self.read(value),
            CommitEvent::Written => match self.last.take() {
                Some(stored) => {
                    let version = stored.version;
                    CommitAction::Done(Outcome::Accepted(stored, version))
                }
                None => CommitAction::Read,
            },
            CommitEvent::Conflict => self.again(None),
            CommitEvent::Unreachable(e) => self.again(Some(e)),
            CommitEvent::Indeterminate(e) => {
                let version = self.last.as_ref().map_or(0, |stored| stored.version);
                let first = self.indeterminate.as_ref().map_or(version, |(first, _)| *first);
                self.indeterminate = Some((first.min(version), e));
                self.again(None)
            }
        }
    }

    /// Ends an edit that has no more time. What was sent may still take effect.
    pub fn give_up(&self, e: Error) -> Outcome {
        match &self.indeterminate {
            Some((_, e)) => Outcome::Unknown(e.clone()),
            None => Outcome::Failed(e),
        }
    }

    fn again(&mut self, e: Option<Error>) -> CommitAction {
        self.attempts += 1;
        if self.attempts < MAX_ATTEMPTS {
            return CommitAction::ReadLater;
        }
        let crowded = || aspenloft_core::errors::unavailable("too many edits at once; try again");
        CommitAction::Done(self.give_up(e.unwrap_or_else(crowded)))
    }

    fn read(&mut self, value: Option<(u64, String)>) -> CommitAction {
        let (revision, stored) = match value {
            None => (0, StoredTable::default()),
            Some((revision, text)) => match StoredTable::from_json(&text) {
                Ok(stored) => (revision, stored),
                Err(e) => return CommitAction::Done(self.give_up(e)),
            },
        };
        // A service that was restored from an older copy must not take edits that
        // hosts with a newer table would pass over.
        if stored.version < self.floor {
            let (service, hosts) = (stored.version, self.floor);
            return match self.restored(stored) {
                Some(next) => self.write(revision, Box::new(next)),
                None => CommitAction::Done(Outcome::Regressed { service, hosts }),
            };
        }
        if let Some(outcome) = self.settle(&stored) {
            return CommitAction::Done(outcome);
        }
        match apply(&stored, &self.edit, self.at_ms) {
            Ok(Applied::Already(version)) => {
                CommitAction::Done(Outcome::Accepted(Box::new(stored), version))
            }
            Err(refusal) => CommitAction::Done(Outcome::Refused(refusal)),
            Ok(Applied::New(next)) => self.write(revision, next),
        }
    }

    fn write(&mut self, expect: u64, next: Box<StoredTable>) -> CommitAction {
        match next.to_json() {
            Ok(text) => {
                self.last = Some(next);
                CommitAction::Write { expect, text }
            }
            Err(e) => CommitAction::Done(self.give_up(e)),
        }
    }

    /// Makes the value that puts the hosts' table back, one version above theirs.
    fn restored(&self, stored: StoredTable) -> Option<StoredTable> {
        let mut table = self.restore.clone()?;
        table.version += 1;
        let version = table.version;
        let mut next = StoredTable::new(table, stored.history);
        next.append_edit(EditRecord {
            version,
            id: self.edit.id.clone(),
            who: self.edit.who.clone(),
            at_ms: self.at_ms,
            changes: Vec::new(),
        });
        Some(next)
    }

    /// Ends the edit where the history no longer reaches back to the unsure write:
    /// it cannot tell whether that took effect.
    fn settle(&self, stored: &StoredTable) -> Option<Outcome> {
        let (version, e) = self.indeterminate.as_ref()?;
        let found = stored.find_edit(&self.edit.id).is_some();
        let oldest = stored.history.first().map_or(stored.version + 1, |record| record.version);
        let forgotten = stored.version >= *version && oldest > *version;
        (!found && forgotten).then(|| Outcome::Unknown(e.clone()))
    }
}
