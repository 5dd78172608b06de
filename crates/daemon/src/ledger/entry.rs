//! The `entry` module brings a call that may not be repeated from the host that
//! its caller reached to the owner of its shard.

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

/// The longest wait for the word of one asked host: the writing of the intent, the
/// sending, and the backend server's answer.
const ASK_LIMIT: Duration = Duration::from_secs(20);

/// Hosts that are asked for one call.
const MAX_ASKS: usize = 5;

/// Times that one host is asked for one call.
const MAX_ASKS_OF_ONE: usize = 2;

/// `OwnerHints` is where owners of shards were last found.
#[derive(Debug, Default)]
pub struct OwnerHints(Mutex<HashMap<u32, Name>>);

/// `Asked` is the result of asking one host.
enum Asked {
    /// Its final word.
    Final(Result<Answer>),
    /// Another host owns the shard.
    Redirect(Name),
    /// It could not be reached, or went silent.
    Lost(Error),
}

/// Runs a call that may not be repeated.
///
/// Asking twice is safe, since the ledger runs a key once. But after a host was
/// lost with the call in its hands, no later host's "not run" can speak for it.
pub async fn run(node: &Arc<Node>, call: LedgerCall) -> Result<Answer> {
    let shard = KeyDigest::new(&call.row, &call.caller, &call.key).shard(SHARDS);
    let candidates = candidates(node, shard);
    let hint = node.owner_hints.0.lock().get(&shard).cloned();
    let mut next = hint.and_then(|hint| find(node, &hint));
    let mut asked: HashMap<Name, usize> = HashMap::new();
    let mut known = Execution::NotRun;
    for _ in 0..MAX_ASKS {
        let fresh = candidates.iter().find(|host| !asked.contains_key(&host.name));
        let Some(host) = next.take().or_else(|| fresh.cloned()) else { break };
        *asked.entry(host.name.clone()).or_default() += 1;
        match ask(node, &host, &call).await {
            Asked::Final(result) => {
                node.owner_hints.0.lock().insert(shard, host.name.clone());
                return result.map_err(|e| soften(e, known));
            }
            Asked::Redirect(owner) => {
                let again = asked.get(&owner).is_none_or(|times| *times < MAX_ASKS_OF_ONE);
                next = find(node, &owner).filter(|_| again);
                if next.is_none() {
                    break;
                }
            }
            Asked::Lost(e) => {
                node.owner_hints.0.lock().remove(&shard);
                known = worse(known, e.execution);
            }
        }
    }
    Err(unavailable("the owner of the key's ledger cannot be reached")
        .execution(known)
        .retry_after(LEASE_TTL))
}

/// Returns the hosts that may own `shard`, in the order in which all hosts try.
fn candidates(node: &Node, shard: u32) -> Vec<Host> {
    let listing = node.view.listing();
    let mut hosts: Vec<_> = listing.hosts.iter().filter(|host| !host.leaving).cloned().collect();
    let key = format!("ledger/{shard}");
    hosts.sort_by_key(|host| std::cmp::Reverse((weight(&key, &host.name), host.name.clone())));
    hosts.truncate(MAX_ASKS);
    hosts
}

fn find(node: &Node, name: &str) -> Option<Host> {
    node.view.listing().hosts.iter().find(|host| *host.name == *name).cloned()
}

async fn ask(node: &Node, host: &Host, call: &LedgerCall) -> Asked {
    let req = PeerRequest::Ledger(Box::new(call.clone()));
    let exchange = async {
        let mut replies = node.peers.call(host, req).await?;
        replies.next().await
    };
    let reply = async_std::future::timeout(ASK_LIMIT, exchange).await;
    match reply {
        Ok(Ok(Some(PeerReply::Ledger(LedgerReply::Answer { status, content_type, body })))) => {
            Asked::Final(Ok(Answer { status, content_type: content_type.to_string(), body }))
        }
        Ok(Ok(Some(PeerReply::Ledger(LedgerReply::Redirect { owner })))) => Asked::Redirect(owner),
        // A leaving owner gives its shards to whom the call reaches next.
        Ok(Ok(Some(PeerReply::Failed(e)))) if e.code == ErrorCode::NotReady => Asked::Lost(e),
        Ok(Ok(Some(PeerReply::Failed(e)))) => Asked::Final(Err(e)),
        Ok(Ok(Some(other))) => Asked::Final(Err(unexpected_reply(&other))),
        Ok(Ok(None)) => {
            Asked::Lost(unavailable("the owner ended the call").execution(Execution::Unknown))
        }
        Ok(Err(e)) => Asked::Lost(e),
        Err(_) => Asked::Lost(timeout("the owner is silent").execution(Execution::Unknown)),
    }
}

/// Joins what two asked hosts left open.
fn worse(one: Execution, other: Execution) -> Execution {
    if one == Execution::NotRun { other } else { one }
}

/// Keeps a later "not run" from hiding that an earlier host may have run the call.
fn soften(mut e: Error, known: Execution) -> Error {
    if e.execution == Execution::NotRun {
        e.execution = known;
    }
    e
}
