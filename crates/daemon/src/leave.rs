//! The `leave` module takes a host out of service step by step: it tells the
//! balancer and the other hosts, lets the work in flight finish, and says what it
//! had to cut. `docs/OPERATING.md` describes the steps for operators.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::prelude::Host;
use aspenloft_protocol::peer::PeerRequest;
use aspenloft_protocol::peer::membership::Heartbeat;
use async_std::future::timeout;
use async_std::task;
use futures::StreamExt;
use futures::stream;

use crate::node::Node;
use crate::shutdown::Stage;

/// How long one host may take to hear that this one leaves.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Hosts that are told at once.
const TELL_AT_ONCE: usize = 32;

/// `Left` is how a graceful shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    /// Nothing was cut.
    Whole,
    /// The bound passed first; so much was cut.
    Cut {
        /// Requests of callers.
        requests: usize,
        /// Calls carried out for other hosts.
        peer_calls: usize,
    },
}

/// Takes the host out of service; returns when it may exit.
pub async fn leave(node: &Arc<Node>) -> Left {
    let (grace, drain) = (node.settings.limits.leave_grace, node.settings.limits.drain);
    node.shutdown.advance(Stage::Leaving);
    log::info!(
        event = "leaving",
        requests = node.shutdown.requests(),
        peer_calls = node.shutdown.peer_calls();
        ""
    );
    // The balancer's time to notice runs while the other hosts are told.
    futures::join!(tell_peers(node), task::sleep(grace));
    node.shutdown.advance(Stage::Draining);
    let drained = timeout(drain, node.shutdown.drained()).await;
    let left = match drained {
        Ok(()) => Left::Whole,
        Err(_) => remaining(node),
    };
    log_end(left);
    left
}

/// Returns what an exit at this moment cuts.
pub fn remaining(node: &Node) -> Left {
    let (requests, peer_calls) = (node.shutdown.requests(), node.shutdown.peer_calls());
    if requests + peer_calls == 0 { Left::Whole } else { Left::Cut { requests, peer_calls } }
}

/// Logs how the shutdown ended.
pub fn log_end(left: Left) {
    match left {
        Left::Whole => log::info!(event = "left", cut_requests = 0, cut_peer_calls = 0; ""),
        Left::Cut { requests, peer_calls } => {
            log::warn!(event = "left", cut_requests = requests, cut_peer_calls = peer_calls; "");
        }
    }
}

/// Tells all other hosts, once, that this one leaves. One that does not hear it
/// learns it from the platform's list or from a refused reservation.
async fn tell_peers(node: &Arc<Node>) {
    let listing = node.view.listing();
    let others = listing.hosts.iter().filter(|host| host.name != node.settings.host);
    stream::iter(others).map(|host| tell(node, host)).buffer_unordered(TELL_AT_ONCE).count().await;
}

async fn tell(node: &Node, host: &Host) {
    let word = PeerRequest::Heartbeat(Heartbeat {
        host: node.settings.host.clone(),
        table_version: node.view.table_version(),
        leaving: true,
    });
    let told = timeout(TELL_TIMEOUT, node.peers.ask(host, word)).await;
    if !matches!(told, Ok(Ok(_))) {
        log::debug!(event = "leaving_not_heard", peer = &*host.name; "");
    }
}
