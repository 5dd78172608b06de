//! The `leave` module takes a host out of service step by step: it tells the
//! balancer and the other hosts, lets the work in flight finish, and says what it
//! had to cut. `docs/OPERATING.md` describes the steps for operators.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

use crate::node::Node;
use crate::shutdown::{POLL_INTERVAL, Stage};

/// How long the last bytes may take from this process to the network after the work
/// that made them is done.
const SETTLE: Duration = Duration::from_millis(200);

/// `StopOutcome` is how a graceful shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// Nothing was cut.
    Clean,
    /// The bound passed first; so much was cut.
    Cut {
        /// Requests of callers.
        requests: usize,
        /// Calls carried out for other hosts.
        peer_calls: usize,
    },
}

/// Takes the host out of service; returns when it may exit.
pub async fn leave(node: &Arc<Node>) -> StopOutcome {
    let (grace, drain) = (node.settings.limits.leave_grace, node.settings.limits.drain);
    node.shutdown.advance(Stage::Leaving);
    node.view.set_leaving(node.clock.now());
    node.ledger.leave();
    log::info!(
        event = "leaving",
        requests = node.shutdown.requests(),
        peer_calls = node.shutdown.peer_calls();
        ""
    );
    // In this time the balancer notices, and the other hosts hear with the heartbeats
    // that the homes have moved; nobody is refused yet.
    task::sleep(grace).await;
    node.shutdown.advance(Stage::Draining);
    let drained = timeout(drain, drained(node)).await;
    let outcome = match drained {
        Ok(()) => StopOutcome::Clean,
        Err(_) => remaining(node),
    };
    log_outcome(outcome);
    outcome
}

/// Waits until nothing is in flight here and no other host holds a reservation, which
/// it might still use.
async fn drained(node: &Node) {
    loop {
        node.shutdown.drained().await;
        if node.home.reserved() == 0 && node.ledger.is_idle() {
            task::sleep(SETTLE).await;
            if remaining(node) == StopOutcome::Clean && node.home.reserved() == 0 {
                return;
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns what an exit at this moment cuts.
pub fn remaining(node: &Node) -> StopOutcome {
    let (requests, peer_calls) = (node.shutdown.requests(), node.shutdown.peer_calls());
    if requests + peer_calls == 0 {
        StopOutcome::Clean
    } else {
        StopOutcome::Cut { requests, peer_calls }
    }
}

/// Logs how the shutdown ended.
pub fn log_outcome(outcome: StopOutcome) {
    match outcome {
        StopOutcome::Clean => log::info!(event = "left", cut_requests = 0, cut_peer_calls = 0; ""),
        StopOutcome::Cut { requests, peer_calls } => {
            log::warn!(event = "left", cut_requests = requests, cut_peer_calls = peer_calls; "");
        }
    }
}
