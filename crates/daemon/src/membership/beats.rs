//! The `beats` module exchanges heartbeats with other hosts.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::timeout as timed_out;
use aspenloft_core::prelude::Host;
use aspenloft_membership::machine::{Action, Event};
use aspenloft_membership::options::MembershipOptions;
use aspenloft_protocol::peer::membership::{ExchangeStep, Heartbeat};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use async_std::future::timeout;
use async_std::task;

use super::tables;
use crate::node::Node;

/// The longest wait for the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the rounds of membership for ever.
pub async fn run(node: Arc<Node>) {
    let round = MembershipOptions::default().round;
    loop {
        let actions = node.view.handle(Event::Tick, node.clock.now());
        carry_out(&node, actions);
        task::sleep(round).await;
    }
}

/// Answers the heartbeat of another host.
pub fn serve(node: &Arc<Node>, heartbeat: Heartbeat) -> PeerReply {
    let (answer, actions) = node.view.answer(heartbeat, node.clock.now());
    carry_out(node, actions);
    PeerReply::Heartbeat(answer)
}

/// Does what the membership decided.
pub fn carry_out(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, heartbeat } => {
                task::spawn(exchange(node.clone(), to, heartbeat));
            }
            Action::FetchTable { from } => {
                task::spawn(tables::fetch(node.clone(), from));
            }
            Action::ReadListing => node.listing_hint.raise(),
            // The view has followed already.
            Action::Changed => {}
        }
    }
}

/// Sends a heartbeat and takes the answer in.
async fn exchange(node: Arc<Node>, to: Host, heartbeat: Heartbeat) {
    let step = heartbeat.step;
    let ask = node.peers.ask(&to, PeerRequest::Heartbeat(heartbeat));
    let answered = timeout(ANSWER_TIMEOUT, ask).await;
    let answered = answered.unwrap_or_else(|_| Err(timed_out("no answer to a heartbeat")));
    match answered {
        Ok(PeerReply::Heartbeat(answer)) if step == ExchangeStep::Offer => {
            let actions = node.view.handle(Event::Answered(answer), node.clock.now());
            carry_out(&node, actions);
        }
        Ok(_) => {}
        Err(e) => {
            log::debug!(event = "heartbeat_failed", peer = &*to.name, error = e.to_string().as_str(); "");
        }
    }
}
