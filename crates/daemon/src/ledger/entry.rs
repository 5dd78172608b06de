//! The `entry` module forwards an unrepeatable call from the entry host, which the
//! caller's connection reached, to the owner of its ledger shard.

use std::collections::HashMap;
use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, timeout, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Duration, Host, Name};
use aspenloft_ledger::digest::KeyDigest;
use aspenloft_ledger::options::SHARDS;
use aspenloft_ledger::record::Answer;
use aspenloft_membership::homes::weight;
use aspenloft_protocol::peer::ledger::{LedgerCall, LedgerReply};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use parking_lot::Mutex;

use super::lease::LEASE_TTL;
use crate::node::Node;
use crate::peers::unexpected_reply;

/// The timeout of one attempt. It covers writing the intent, sending the call and
/// the answer of the backend server.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum number of attempts for one call, and of candidate owners.
const MAX_ATTEMPTS: usize = 5;

/// The maximum number of attempts at one host for one call.
const MAX_ATTEMPTS_PER_HOST: usize = 2;

/// `OwnerHints` caches the last known owner of each shard.
#[derive(Debug, Default)]
pub struct OwnerHints(Mutex<HashMap<u32, Name>>);

/// `Reply` is the outcome of one attempt at one host.
enum Reply {
    /// The final result of the call.
    Final(Result<Answer>),
    /// Another host owns the shard.
    Redirect(Name),
    /// The host could not be reached, is leaving, or did not answer in time.
    Lost(Error),
}

/// Runs an unrepeatable call.
///
/// A second attempt is safe, because the ledger runs a key at most once. But if an
/// earlier attempt was lost and may have run the call, a "not run" from a later host
/// must not be returned as the result.
pub async fn run(node: &Arc<Node>, call: LedgerCall) -> Result<Answer> {
    let shard = KeyDigest::new(&call.row, &call.caller, &call.key).shard(SHARDS);
    let candidates = candidates(node, shard);
    let hint = node.owner_hints.0.lock().get(&shard).cloned();
    let mut next = hint.and_then(|hint| find_host(node, &hint));
    let mut attempts: HashMap<Name, usize> = HashMap::new();
    let mut execution = Execution::NotRun;
    for _ in 0..MAX_ATTEMPTS {
        let untried = candidates.iter().find(|host| !attempts.contains_key(&host.name));
        let Some(host) = next.take().or_else(|| untried.cloned()) else { break };
        *attempts.entry(host.name.clone()).or_default() += 1;
        match attempt(node, &host, &call).await {
            Reply::Final(result) => {
                node.owner_hints.0.lock().insert(shard, host.name.clone());
                return result.map_err(|e| with_earlier_execution(e, execution));
            }
            Reply::Redirect(owner) => {
                let may_retry =
                    attempts.get(&owner).is_none_or(|count| *count < MAX_ATTEMPTS_PER_HOST);
                next = find_host(node, &owner).filter(|_| may_retry);
                if next.is_none() {
                    break;
                }
            }
            Reply::Lost(e) => {
                node.owner_hints.0.lock().remove(&shard);
                execution = merge_execution(execution, e.execution);
            }
        }
    }
    Err(unavailable("the owner of the key's ledger cannot be reached")
        .execution(execution)
        .retry_after(LEASE_TTL))
}

/// Returns the hosts that may own `shard`, by descending weight. All hosts compute
/// the same order.
fn candidates(node: &Node, shard: u32) -> Vec<Host> {
    let listing = node.view.listing();
    let mut hosts: Vec<_> = listing.hosts.iter().filter(|host| !host.leaving).cloned().collect();
    let key = format!("ledger/{shard}");
    hosts.sort_by_key(|host| std::cmp::Reverse((weight(&key, &host.name), host.name.clone())));
    hosts.truncate(MAX_ATTEMPTS);
    hosts
}

fn find_host(node: &Node, name: &str) -> Option<Host> {
    node.view.listing().hosts.iter().find(|host| *host.name == *name).cloned()
}

async fn attempt(node: &Node, host: &Host, call: &LedgerCall) -> Reply {
    let req = PeerRequest::Ledger(Box::new(call.clone()));
    let exchange = async {
        let mut replies = node.peers.call(host, req).await?;
        replies.next().await
    };
    let reply = async_std::future::timeout(ATTEMPT_TIMEOUT, exchange).await;
    match reply {
        Ok(Ok(Some(PeerReply::Ledger(LedgerReply::Answer { status, content_type, body })))) => {
            Reply::Final(Ok(Answer { status, content_type: content_type.to_string(), body }))
        }
        Ok(Ok(Some(PeerReply::Ledger(LedgerReply::Redirect { owner })))) => Reply::Redirect(owner),
        // A leaving owner releases its shards, and the next host that receives the call
        // acquires the shard.
        Ok(Ok(Some(PeerReply::Failed(e)))) if e.code == ErrorCode::NotReady => Reply::Lost(e),
        Ok(Ok(Some(PeerReply::Failed(e)))) => Reply::Final(Err(e)),
        Ok(Ok(Some(other))) => Reply::Final(Err(unexpected_reply(&other))),
        Ok(Ok(None)) => {
            Reply::Lost(unavailable("the owner ended the call").execution(Execution::Unknown))
        }
        Ok(Err(e)) => Reply::Lost(e),
        Err(_) => Reply::Lost(timeout("the owner timed out").execution(Execution::Unknown)),
    }
}

/// Merges the execution states after two attempts: only if neither may have run the
/// call is it known not to have run.
fn merge_execution(one: Execution, other: Execution) -> Execution {
    if one == Execution::NotRun { other } else { one }
}

/// Replaces "not run" in the error of a later attempt by the execution state after
/// the earlier ones.
fn with_earlier_execution(mut e: Error, execution: Execution) -> Error {
    if e.execution == Execution::NotRun {
        e.execution = execution;
    }
    e
}
