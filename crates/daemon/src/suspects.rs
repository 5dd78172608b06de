//! The `suspects` module spreads what hosts learn of requests that crash backend
//! servers; the decision is in `aspenloft_policy::suspects`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Host, Name};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus, Verdict};
use aspenloft_policy::suspects::SuspectBook;
use aspenloft_protocol::peer::control::{ControlReply, ControlRequest};
use futures::future::join_all;
use parking_lot::Mutex;

use crate::node::Node;

/// The longest wait for one host to take verdicts in.
const TELL_TIMEOUT: Duration = Duration::from_millis(200);

/// How often a host that does not answer is told again.
const TELL_TRIES: u32 = 3;

/// `Suspects` is a host's knowledge of suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    book: Mutex<SuspectBook>,
}

/// Returns what is held against a request.
pub fn standing(node: &Node, fingerprint: Fingerprint) -> SuspectStatus {
    node.suspects.book.lock().standing(fingerprint, node.clock.now())
}

/// Refuses a convicted request at once and for good.
pub fn check(node: &Node, fingerprint: Fingerprint) -> Result<()> {
    if standing(node, fingerprint) != SuspectStatus::Convicted {
        return Ok(());
    }
    let message = "this request has crashed the backend servers that ran it; do not repeat it";
    Err(Error::new(ErrorCode::Poisonous, message).execution(Execution::NotRun))
}

/// Takes in that a backend server died while it ran these requests. It returns
/// when all hosts that answer know the verdicts, so that a caller who is told of
/// the failure afterwards cannot overtake them.
pub async fn server_died(node: &Arc<Node>, server: &Name, running: &[Fingerprint]) {
    let verdicts = node.suspects.book.lock().server_died(running, node.clock.now());
    let convicted = verdicts.iter().filter(|v| v.standing == SuspectStatus::Convicted).count();
    log::warn!(
        event = "server_died", server = &**server, running = running.len(),
        convicted = convicted; ""
    );
    spread(node, &verdicts).await;
}

/// Clears a suspect that has finished.
pub async fn finished(node: &Arc<Node>, fingerprint: Fingerprint) {
    let cleared = node.suspects.book.lock().finished(fingerprint, node.clock.now());
    if let Some(verdict) = cleared {
        spread(node, &[verdict]).await;
    }
}

/// Serves the calls of other hosts about suspects; `None` for other subjects.
pub async fn serve(node: &Arc<Node>, req: &ControlRequest) -> Option<Result<ControlReply>> {
    Some(match req {
        ControlRequest::Verdicts { verdicts, pass_on } => {
            node.suspects.book.lock().learn(verdicts, node.clock.now());
            if *pass_on {
                tell_data_centre(node, verdicts).await;
            }
            Ok(ControlReply::Noted)
        }
        ControlRequest::AllVerdicts => {
            let verdicts = node.suspects.book.lock().verdicts(node.clock.now());
            Ok(ControlReply::Verdicts(verdicts))
        }
        _ => return None,
    })
}

/// Learns from one other host what all know; for a host that has just started.
pub async fn learn_at_start(node: &Arc<Node>) {
    for host in others(node) {
        let reply = node.peers.ask_control(&host, ControlRequest::AllVerdicts, TELL_TIMEOUT).await;
        if let Ok(ControlReply::Verdicts(verdicts)) = reply {
            node.suspects.book.lock().learn(&verdicts, node.clock.now());
            return;
        }
    }
}

/// Tells all hosts: those of this data centre directly, each other data centre
/// through one of its hosts.
async fn spread(node: &Arc<Node>, verdicts: &[Verdict]) {
    if verdicts.is_empty() {
        return;
    }
    let mut elsewhere: BTreeMap<Name, Vec<Host>> = BTreeMap::new();
    for host in others(node) {
        if host.data_centre != node.settings.data_centre {
            elsewhere.entry(host.data_centre.clone()).or_default().push(host);
        }
    }
    let remote = elsewhere.values().map(|hosts| tell_one_of(node, hosts, verdicts));
    futures::join!(tell_data_centre(node, verdicts), join_all(remote));
}

async fn tell_data_centre(node: &Arc<Node>, verdicts: &[Verdict]) {
    let here = others(node).into_iter().filter(|h| h.data_centre == node.settings.data_centre);
    let here: Vec<Host> = here.collect();
    join_all(here.iter().map(|host| tell(node, host, verdicts, false))).await;
}

/// Tells the first of `hosts` that answers; it passes the verdicts on.
async fn tell_one_of(node: &Arc<Node>, hosts: &[Host], verdicts: &[Verdict]) {
    for host in hosts {
        if tell(node, host, verdicts, true).await {
            return;
        }
    }
}

async fn tell(node: &Arc<Node>, host: &Host, verdicts: &[Verdict], pass_on: bool) -> bool {
    for _ in 0..TELL_TRIES {
        let req = ControlRequest::Verdicts { verdicts: verdicts.to_vec(), pass_on };
        if node.peers.ask_control(host, req, TELL_TIMEOUT).await.is_ok() {
            return true;
        }
    }
    log::warn!(event = "verdict_not_told", peer = &*host.name; "");
    false
}

/// Returns all hosts but this one.
pub fn others(node: &Node) -> Vec<Host> {
    let listing = node.view.listing();
    let others = listing.hosts.iter().filter(|host| host.name != node.settings.host);
    others.cloned().collect()
}
