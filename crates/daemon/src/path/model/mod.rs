//! The `model` module serves a model request: it chooses and reserves engines, runs
//! the prefill, transfers its result, relays the tokens, and resumes on other engines
//! when some are lost.
//!
//! Each step holds a guard, so that dropping the future releases what the request
//! holds. See `docs/ROUTING.md`.

mod attempt;
pub mod queue;
mod reservation;
pub mod router;
mod runner;

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
    /// The caller's weight under fair queueing, relative to other callers.
    pub caller_weight: u32,
    /// The row of the table that applies to it.
    pub row: Arc<Row>,
    /// The prompt.
    pub prompt: Name,
    /// The maximum number of tokens to generate.
    pub max_tokens: Tokens,
}

/// `ModelEvent` is one event of the answer to a model request.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelEvent {
    /// The next tokens of the answer, in order.
    Tokens(Vec<Token>),
    /// The end of a complete answer.
    Finished(FinishReason),
}

/// Runs a model request and sends the events of its answer to `tx`.
pub async fn run(node: &Arc<Node>, req: &ModelRequest, tx: &Sender<ModelEvent>) -> Result<()> {
    let outcome = runner::RequestRunner::new(node, req, tx).run().await;
    let outcome_text: Name = match &outcome {
        Ok(()) => "answered".into(),
        Err(e) => format!("failed: {e} ({})", e.execution).into(),
    };
    node.explain.lock().set_outcome(&req.id, outcome_text);
    outcome
}
