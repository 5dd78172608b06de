//! The `commit` module is the state machine that writes an edit to the platform's
//! key-value service by compare-and-swap. It maps events to actions and does no I/O.
//!
//! If the response to a write is lost, the value is read again: its history contains the
//! ids of the edits that took effect. See `docs/design/table.md`.

use aspenloft_core::errors::Error;

use crate::edit::{AppliedEdit, Edit, Refusal, apply};
use crate::stored::{EditRecord, StoredTable};
use crate::table::Table;

/// Maximum number of attempts for one edit. An attempt fails if another operator's write
/// comes first or the service does not respond.
pub const MAX_ATTEMPTS: u32 = 32;

/// `CommitEvent` is the result of the last [`CommitAction`].
#[derive(Debug, Clone)]
pub enum CommitEvent {
    /// The edit starts; there was no action before.
    Start,
    /// The value was read: its revision and text, or `None` if the key is absent.
    Read(Option<(u64, String)>),
    /// The write took effect.
    Written,
    /// The write had no effect, because another write came first.
    Conflict,
    /// The action failed and had no effect, for instance because the service could not be
    /// reached.
    Unreachable(Error),
    /// The write may have taken effect or may still take effect.
    Indeterminate(Error),
}

/// `CommitAction` is the next action that the driver of the state machine must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitAction {
    /// Reads the value.
    Read,
    /// Reads the value after a short pause.
    ReadLater,
    /// Writes `text` if the value still has the revision `expect`.
    Write {
        /// The expected revision; zero if the value must be absent.
        expect: u64,
        /// The new value as JSON text.
        text: String,
    },
    /// The edit has ended.
    Done(CommitOutcome),
}

/// `CommitOutcome` is the outcome of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The edit was accepted. Holds the stored value and the version that the edit
    /// produced.
    Accepted(Box<StoredTable>, u64),
    /// The edit was rejected and had no effect.
    Refused(Refusal),
    /// The value in the key-value service is older than the table that hosts use. The edit
    /// had no effect.
    Regressed {
        /// The version in the key-value service; zero for none.
        service: u64,
        /// The highest version that any host uses.
        hosts: u64,
    },
    /// The service could not be reached, or its value could not be parsed. The edit had no
    /// effect.
    Failed(Error),
    /// The edit may or may not have taken effect.
    Unknown(Error),
}

/// `Commit` is the state machine that writes one edit to the key-value service.
#[derive(Debug)]
pub struct Commit {
    edit: Edit,
    /// The table to restore if the value in the service is older than that of the hosts.
    restore: Option<Table>,
    at_ms: u64,
    /// The highest version that any host is known to use.
    min_version: u64,
    attempts: u32,
    last_write: Option<Box<StoredTable>>,
    /// The lowest version that a write of unknown outcome may have produced, with the last
    /// error of such a write.
    indeterminate: Option<(u64, Error)>,
}

impl Commit {
    /// Creates the state machine for `edit`, made at `at_ms` milliseconds since the Unix
    /// epoch. `min_version` is the highest version that any host is known to use.
    pub fn new(edit: Edit, at_ms: u64, min_version: u64) -> Commit {
        Commit {
            edit,
            restore: None,
            at_ms,
            min_version,
            attempts: 0,
            last_write: None,
            indeterminate: None,
        }
    }

    /// Creates the state machine that restores `table`, which hosts use, in a service whose
    /// value is older. `edit` gives the id and the operator; it has no changes.
    pub fn restore(table: Table, edit: Edit, at_ms: u64) -> Commit {
        let min_version = table.version;
        Commit { restore: Some(table), ..Commit::new(edit, at_ms, min_version) }
    }

    /// Processes an event and returns the next action.
    pub fn next(&mut self, event: CommitEvent) -> CommitAction {
        match event {
            CommitEvent::Start => CommitAction::Read,
            CommitEvent::Read(value) => self.read(value),
            CommitEvent::Written => match self.last_write.take() {
                Some(stored) => {
                    let version = stored.version;
                    CommitAction::Done(CommitOutcome::Accepted(stored, version))
                }
                None => CommitAction::Read,
            },
            CommitEvent::Conflict => self.retry(None),
            CommitEvent::Unreachable(e) => self.retry(Some(e)),
            CommitEvent::Indeterminate(e) => {
                let version = self.last_write.as_ref().map_or(0, |stored| stored.version);
                let first = self.indeterminate.as_ref().map_or(version, |(first, _)| *first);
                self.indeterminate = Some((first.min(version), e));
                self.retry(None)
            }
        }
    }

    /// Returns the outcome of an edit that is abandoned with the error `e`, for instance
    /// after a timeout. A write that was sent may still take effect.
    pub fn give_up(&self, e: Error) -> CommitOutcome {
        match &self.indeterminate {
            Some((_, e)) => CommitOutcome::Unknown(e.clone()),
            None => CommitOutcome::Failed(e),
        }
    }

    fn retry(&mut self, e: Option<Error>) -> CommitAction {
        self.attempts += 1;
        if self.attempts < MAX_ATTEMPTS {
            return CommitAction::ReadLater;
        }
        let contention =
            || aspenloft_core::errors::unavailable("too many concurrent edits; try again");
        CommitAction::Done(self.give_up(e.unwrap_or_else(contention)))
    }

    fn read(&mut self, value: Option<(u64, String)>) -> CommitAction {
        let (revision, stored) = match value {
            None => (0, StoredTable::default()),
            Some((revision, text)) => match StoredTable::from_json(&text) {
                Ok(stored) => (revision, stored),
                Err(e) => return CommitAction::Done(self.give_up(e)),
            },
        };
        // A service that was restored from an old backup must not accept edits, because
        // hosts with a newer table would ignore them.
        if stored.version < self.min_version {
            let (service, hosts) = (stored.version, self.min_version);
            return match self.restored_value(stored) {
                Some(next) => self.write(revision, Box::new(next)),
                None => CommitAction::Done(CommitOutcome::Regressed { service, hosts }),
            };
        }
        if let Some(outcome) = self.check_history(&stored) {
            return CommitAction::Done(outcome);
        }
        match apply(&stored, &self.edit, self.at_ms) {
            Ok(AppliedEdit::Already(version)) => {
                CommitAction::Done(CommitOutcome::Accepted(Box::new(stored), version))
            }
            Err(refusal) => CommitAction::Done(CommitOutcome::Refused(refusal)),
            Ok(AppliedEdit::New(next)) => self.write(revision, next),
        }
    }

    fn write(&mut self, expect: u64, next: Box<StoredTable>) -> CommitAction {
        match next.to_json() {
            Ok(text) => {
                self.last_write = Some(next);
                CommitAction::Write { expect, text }
            }
            Err(e) => CommitAction::Done(self.give_up(e)),
        }
    }

    /// Returns the value that restores the hosts' table, one version above theirs; `None`
    /// if this edit is not a restore.
    fn restored_value(&self, stored: StoredTable) -> Option<StoredTable> {
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

    /// Returns [`CommitOutcome::Unknown`] if a write of unknown outcome is older than the
    /// history, which then cannot tell whether the write took effect.
    fn check_history(&self, stored: &StoredTable) -> Option<CommitOutcome> {
        let (version, e) = self.indeterminate.as_ref()?;
        let found = stored.find_edit(&self.edit.id).is_some();
        let oldest = stored.history.first().map_or(stored.version + 1, |record| record.version);
        let history_truncated = stored.version >= *version && oldest > *version;
        (!found && history_truncated).then(|| CommitOutcome::Unknown(e.clone()))
    }
}
