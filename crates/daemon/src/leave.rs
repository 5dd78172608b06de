//! The `leave` module takes a host out of service: it notifies the balancer and the
//! other hosts, lets the work in flight finish, and logs what it had to cut.
//! `docs/OPERATING.md` describes the steps for operators.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

use crate::node::Node;
use crate::shutdown::{POLL_INTERVAL, Stage};

/// How long to wait after the last work in flight has ended, so that its last bytes
/// reach the network before the process exits.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// `StopOutcome` is the result of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// Nothing was cut.
    Clean,
    /// The drain timeout passed, or a second signal arrived, with work in flight, which
    /// was cut.
    Cut {
        /// The number of callers' requests.
        requests: usize,
        /// The number of calls from other hosts.
        peer_calls: usize,
    },
}

/// Takes the host out of service and returns when the process may exit.
pub async fn leave(node: &Arc<Node>) -> StopOutcome {
    let (grace, drain) = (node.settings.limits.leave_grace, node.settings.limits.drain);
    node.shutdown.advance(Stage::Leaving);
    node.view.set_leaving(node.clock.now());
    node.ledger.hand_over_shards();
    log::info!(
        event = "leaving",
        requests = node.shutdown.requests(),
        peer_calls = node.shutdown.peer_calls();
        ""
    );
    // During the grace period the balancer notices that the host is leaving, and the
    // other hosts learn from the heartbeats that the homes have moved. No request is
    // refused yet.
    task::sleep(grace).await;
    node.shutdown.advance(Stage::Draining);
    let drained = timeout(drain, wait_until_drained(node)).await;
    let outcome = match drained {
        Ok(()) => StopOutcome::Clean,
        Err(_) => current_outcome(node),
    };
    log_outcome(outcome);
    outcome
}

/// Waits until nothing is in flight on this host and no other host holds a
/// reservation, which it might still use.
async fn wait_until_drained(node: &Node) {
    loop {
        node.shutdown.drained().await;
        if node.home.reservation_count() == 0 && node.ledger.is_idle() {
            task::sleep(FLUSH_DELAY).await;
            if current_outcome(node) == StopOutcome::Clean && node.home.reservation_count() == 0 {
                return;
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the outcome of a shutdown that ended now.
pub fn current_outcome(node: &Node) -> StopOutcome {
    let (requests, peer_calls) = (node.shutdown.requests(), node.shutdown.peer_calls());
    if requests + peer_calls == 0 {
        StopOutcome::Clean
    } else {
        StopOutcome::Cut { requests, peer_calls }
    }
}

/// Logs the outcome of the shutdown.
pub fn log_outcome(outcome: StopOutcome) {
    match outcome {
        StopOutcome::Clean => log::info!(event = "left", cut_requests = 0, cut_peer_calls = 0; ""),
        StopOutcome::Cut { requests, peer_calls } => {
            log::warn!(event = "left", cut_requests = requests, cut_peer_calls = peer_calls; "");
        }
    }
}
