//! The `leave` module takes a host out of service step by step: it tells the
//! balancer and the other hosts, lets the work in flight finish, and says what it
//! had to cut. `docs/OPERATING.md` describes the steps for operators.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

use crate::node::Node;
use crate::shutdown::{LOOK_INTERVAL, Stage};

/// How long the last bytes may take from this process to the network after the work
/// that made them is done.
const SETTLE: Duration = Duration::from_millis(200);

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
    node.view.set_leaving(node.clock.now());
    node.ledger.hand_over_shards();
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
    let left = match drained {
        Ok(()) => Left::Whole,
        Err(_) => remaining(node),
    };
    log_end(left);
    left
}

/// Waits until nothing is in flight here and no other host holds a reservation, which
/// it might still use.
async fn drained(node: &Node) {
    loop {
        node.shutdown.drained().await;
        if node.home.reservation_count() == 0 && node.ledger.is_idle() {
            task::sleep(SETTLE).await;
            if remaining(node) == Left::Whole && node.home.reservation_count() == 0 {
                return;
            }
        }
        task::sleep(LOOK_INTERVAL).await;
    }
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
