//! The `suspects` module shares between hosts which requests crash backend servers.
//! The decisions are in `aspenloft_policy::suspects`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Host, Name};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus, Verdict};
use aspenloft_policy::suspects::SuspectRegistry;
use aspenloft_protocol::peer::control::{ControlReply, ControlRequest};
use futures::future::join_all;
use parking_lot::Mutex;

use crate::node::Node;

/// The longest wait for a host to acknowledge verdicts.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of attempts to send verdicts to a host that does not answer.
const SEND_ATTEMPTS: u32 = 3;

/// `Suspects` holds the requests that this host knows to be suspected or convicted of
/// crashing backend servers.
#[derive(Debug, Default)]
pub struct Suspects {
    registry: Mutex<SuspectRegistry>,
}

/// Returns whether a request is clear, suspected or convicted.
pub fn status(node: &Node, fingerprint: Fingerprint) -> SuspectStatus {
    node.suspects.registry.lock().status(fingerprint, node.clock.now())
}

/// Returns an error, which callers must not retry, if the request is convicted.
pub fn reject_convicted(node: &Node, fingerprint: Fingerprint) -> Result<()> {
    if status(node, fingerprint) != SuspectStatus::Convicted {
        return Ok(());
    }
    let message = "this request has crashed the backend servers that ran it; do not retry it";
    Err(Error::new(ErrorCode::Poisonous, message).execution(Execution::NotRun))
}

/// Records that a backend server died while it ran these requests. Returns when every
/// host that answers knows the verdicts, so that a caller that then receives the
/// error cannot retry at a host that does not know them yet.
pub async fn server_died(node: &Arc<Node>, server: &Name, running: &[Fingerprint]) {
    let verdicts = node.suspects.registry.lock().record_server_death(running, node.clock.now());
    let convicted = verdicts.iter().filter(|v| v.standing == SuspectStatus::Convicted).count();
    log::warn!(
        event = "server_died", server = &**server, running = running.len(),
        convicted = convicted; ""
    );
    broadcast(node, &verdicts).await;
}

/// Records that a request finished without crashing its server, which clears it if it
/// is a suspect.
pub async fn finished(node: &Arc<Node>, fingerprint: Fingerprint) {
    let cleared = node.suspects.registry.lock().record_finished(fingerprint, node.clock.now());
    if let Some(verdict) = cleared {
        broadcast(node, &[verdict]).await;
    }
}

/// Serves the calls of other hosts about suspects. Returns `None` for other calls.
pub async fn serve(node: &Arc<Node>, req: &ControlRequest) -> Option<Result<ControlReply>> {
    Some(match req {
        ControlRequest::Verdicts { verdicts, pass_on } => {
            node.suspects.registry.lock().merge_verdicts(verdicts, node.clock.now());
            if *pass_on {
                send_to_data_centre(node, verdicts).await;
            }
            Ok(ControlReply::Noted)
        }
        ControlRequest::AllVerdicts => {
            let verdicts = node.suspects.registry.lock().verdicts(node.clock.now());
            Ok(ControlReply::Verdicts(verdicts))
        }
        _ => return None,
    })
}

/// Fetches the verdicts from the first other host that answers, when this host has
/// just started.
pub async fn fetch_verdicts(node: &Arc<Node>) {
    for host in other_hosts(node) {
        let reply = node.peers.call_control(&host, ControlRequest::AllVerdicts, SEND_TIMEOUT).await;
        if let Ok(ControlReply::Verdicts(verdicts)) = reply {
            node.suspects.registry.lock().merge_verdicts(&verdicts, node.clock.now());
            return;
        }
    }
}

/// Sends verdicts to all hosts: directly within this data centre, and through one host
/// in each other data centre.
async fn broadcast(node: &Arc<Node>, verdicts: &[Verdict]) {
    if verdicts.is_empty() {
        return;
    }
    let mut remote_hosts: BTreeMap<Name, Vec<Host>> = BTreeMap::new();
    for host in other_hosts(node) {
        if host.data_centre != node.settings.data_centre {
            remote_hosts.entry(host.data_centre.clone()).or_default().push(host);
        }
    }
    let remote = remote_hosts.values().map(|hosts| send_to_any(node, hosts, verdicts));
    futures::join!(send_to_data_centre(node, verdicts), join_all(remote));
}

/// Sends verdicts to all other hosts of this data centre.
async fn send_to_data_centre(node: &Arc<Node>, verdicts: &[Verdict]) {
    let local =
        other_hosts(node).into_iter().filter(|h| h.data_centre == node.settings.data_centre);
    let local: Vec<Host> = local.collect();
    join_all(local.iter().map(|host| send(node, host, verdicts, false))).await;
}

/// Sends verdicts to the first of `hosts` that answers, which passes them on within
/// its data centre.
async fn send_to_any(node: &Arc<Node>, hosts: &[Host], verdicts: &[Verdict]) {
    for host in hosts {
        if send(node, host, verdicts, true).await {
            return;
        }
    }
}

/// Sends verdicts to `host` and returns whether it acknowledged them.
async fn send(node: &Arc<Node>, host: &Host, verdicts: &[Verdict], pass_on: bool) -> bool {
    for _ in 0..SEND_ATTEMPTS {
        let req = ControlRequest::Verdicts { verdicts: verdicts.to_vec(), pass_on };
        if node.peers.call_control(host, req, SEND_TIMEOUT).await.is_ok() {
            return true;
        }
    }
    log::warn!(event = "verdict_not_told", peer = &*host.name; "");
    false
}

/// Returns all live hosts except this one.
pub fn other_hosts(node: &Node) -> Vec<Host> {
    let listing = node.view.listing();
    let others = listing.hosts.iter().filter(|host| host.name != node.settings.host);
    others.cloned().collect()
}
