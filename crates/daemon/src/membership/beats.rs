//! The `beats` module exchanges heartbeats with other hosts.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::timeout as timed_out;
use aspenloft_core::prelude::Host;
use aspenloft_membership::options::MembershipOptions;
use aspenloft_membership::state_machine::{Action, Event};
use aspenloft_protocol::peer::membership::{ExchangeStep, Heartbeat};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use async_std::future::timeout;
use async_std::task;

use super::tables;
use crate::node::Node;

/// The longest wait for the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Triggers a membership round every [`MembershipOptions::round_interval`], forever.
pub async fn run(node: Arc<Node>) {
    let round = MembershipOptions::default().round_interval;
    loop {
        let actions = node.view.handle(Event::Tick, node.clock.now());
        perform(&node, actions);
        task::sleep(round).await;
    }
}

/// Processes the heartbeat of another host and returns the answer to it.
pub fn serve(node: &Arc<Node>, heartbeat: Heartbeat) -> PeerReply {
    let (answer, actions) = node.view.answer_heartbeat(heartbeat, node.clock.now());
    perform(node, actions);
    PeerReply::Heartbeat(answer)
}

/// Performs the actions that the membership state machine returned.
pub fn perform(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, heartbeat } => {
                task::spawn(exchange(node.clone(), to, heartbeat));
            }
            Action::FetchTable { from } => {
                task::spawn(tables::fetch(node.clone(), from));
            }
            Action::ReadListing => node.listing_refresh.set(),
            // The view recomputes its fleet when it handles the event.
            Action::MembershipChanged => {}
        }
    }
}

/// Sends a heartbeat and, if it is an offer, passes the answer to the view.
async fn exchange(node: Arc<Node>, to: Host, heartbeat: Heartbeat) {
    let step = heartbeat.step;
    let call = node.peers.call_unary(&to, PeerRequest::Heartbeat(heartbeat));
    let answered = timeout(ANSWER_TIMEOUT, call).await;
    let answered = answered
        .unwrap_or_else(|_| Err(timed_out("the peer did not answer the heartbeat in time")));
    match answered {
        Ok(PeerReply::Heartbeat(answer)) if step == ExchangeStep::Offer => {
            let actions = node.view.handle(Event::Answered(answer), node.clock.now());
            perform(&node, actions);
        }
        Ok(_) => {}
        Err(e) => {
            log::debug!(event = "heartbeat_failed", peer = &*to.name, error = e.to_string().as_str(); "");
        }
    }
}
