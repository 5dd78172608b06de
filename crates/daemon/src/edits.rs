//! The `edits` module commits edits of the table to the platform's key-value service.
//! The decisions are in `aspenloft_table::commit`.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::{Error, timeout};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::platform::{Put, Swap};
use aspenloft_table::commit::{Commit, CommitAction, CommitEvent, CommitOutcome};
use aspenloft_table::edit::Edit;
use aspenloft_table::table::TABLE_KEY;
use async_std::task;

use crate::membership::tables::put_in_force;
use crate::node::Node;

/// The time limit for committing an edit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(8);

/// The longest pause before an edit reads the value again, in milliseconds. Pauses
/// are random, so that concurrent edits are unlikely to conflict again.
const MAX_RETRY_PAUSE_MS: u64 = 100;

/// Commits `edit`. If it is accepted, the new table is put in force on this host.
pub async fn edit(node: &Arc<Node>, edit: Edit) -> CommitOutcome {
    let now = node.clock.now();
    let members = node.view.members(now);
    let newest = members.iter().map(|member| member.table_version).max().unwrap_or_default();
    let commit = Commit::new(edit, unix_millis(node.clock.system_time()), newest);
    run_commit(node, commit).await
}

/// Writes the table in force on this host back to a key-value service that holds an
/// older version.
pub async fn restore(node: &Arc<Node>, edit: Edit) -> CommitOutcome {
    match node.view.table() {
        Ok(table) => {
            let at_ms = unix_millis(node.clock.system_time());
            run_commit(node, Commit::restore((*table).clone(), edit, at_ms)).await
        }
        Err(e) => CommitOutcome::Failed(e),
    }
}

/// Runs `commit` to its end or until [`EDIT_TIMEOUT`].
async fn run_commit(node: &Arc<Node>, mut commit: Commit) -> CommitOutcome {
    let deadline = node.clock.now() + EDIT_TIMEOUT;
    let mut action = commit.next(CommitEvent::Start);
    loop {
        let event = match action {
            CommitAction::Done(outcome) => {
                if let CommitOutcome::Accepted(stored, _) = &outcome {
                    put_in_force(node, stored.table());
                }
                return outcome;
            }
            _ if node.clock.now() >= deadline => {
                return commit
                    .give_up(timeout("the key-value service did not accept the edit in time"));
            }
            CommitAction::Read => read(node).await,
            CommitAction::ReadLater => {
                task::sleep(Duration::from_millis(node.random_below(MAX_RETRY_PAUSE_MS) + 1)).await;
                read(node).await
            }
            CommitAction::Write { expect, text } => write(node, expect, text).await,
        };
        action = commit.next(event);
    }
}

async fn read(node: &Node) -> CommitEvent {
    match node.kv.get(TABLE_KEY).await {
        Ok(value) => CommitEvent::Read(value.map(|value| (value.version, value.value))),
        Err(e) => CommitEvent::Unreachable(mark_not_run(e)),
    }
}

/// Marks a failed read as not run: a read changes nothing, even if it was carried out.
fn mark_not_run(mut e: Error) -> Error {
    e.execution = Execution::NotRun;
    e
}

async fn write(node: &Node, expect: u64, text: String) -> CommitEvent {
    let put = Put { key: TABLE_KEY.into(), expect, value: Some(text), lease: None };
    match node.kv.put(put).await {
        Ok(Swap::Done(_)) => CommitEvent::Written,
        Ok(Swap::Conflict(_)) => CommitEvent::Conflict,
        Err(e) if e.execution == Execution::NotRun => CommitEvent::Unreachable(e),
        Err(e) => CommitEvent::Indeterminate(e),
    }
}
