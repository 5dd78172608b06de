//! The `model` module is the path of a model request: choose engines, reserve
//! their room, run the prefill, hand its result over, relay the tokens, and resume
//! on other engines when some are lost.
//!
//! Each step holds a guard, so that dropping the future undoes what was done. See
//! `docs/ROUTING.md`.

pub mod admission;
mod attempt;
mod room;
pub mod router;
mod work;

use std::sync::Arc;

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Name, RequestId, Tokens};
use aspenloft_protocol::engine::{FinishReason, Token};
use aspenloft_table::row::Row;
use async_std::channel::Sender;

use crate::node::Node;

/// `ModelRequest` is a caller's request for a model.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// The request's id.
    pub id: RequestId,
    /// The caller's name.
    pub caller: Name,
    /// The caller's share relative to others.
    pub caller_weight: u32,
    /// The row that it uses.
    pub row: Arc<Row>,
    /// The prompt.
    pub prompt: Name,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
}

/// `ModelEvent` is one event of the answer to a model request.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelEvent {
    /// Tokens in order.
    Tokens(Vec<Token>),
    /// The answer is whole.
    Finished(FinishReason),
}

/// Runs a model request and puts its answer into `tx`.
pub async fn run(node: &Arc<Node>, req: &ModelRequest, tx: &Sender<ModelEvent>) -> Result<()> {
    let outcome = work::Work::new(node, req, tx).run().await;
    let word: Name = match &outcome {
        Ok(()) => "answered".into(),
        Err(e) => format!("failed: {e} ({})", e.execution).into(),
    };
    node.explain.lock().outcome(&req.id, word);
    outcome
}
