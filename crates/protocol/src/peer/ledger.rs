//! The `ledger` module defines the messages to the owner of a ledger shard.

use aspenloft_core::prelude::{Name, RequestId};
use serde::{Deserialize, Serialize};

/// `LedgerCall` asks the owner of a shard to run a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerCall {
    /// The request, for logs.
    pub request: RequestId,
    /// The row.
    pub row: Name,
    /// The caller.
    pub caller: Name,
    /// The idempotency key.
    pub key: Name,
    /// The method.
    pub method: Name,
    /// The path with the query.
    pub path: Name,
    /// The media type of the body; empty for none.
    pub content_type: Name,
    /// The body.
    pub body: Vec<u8>,
}

/// `LedgerReply` is the word of the asked host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The answer of the plain service, fresh or kept.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        content_type: Name,
        /// The body.
        body: Vec<u8>,
    },
    /// Another host owns the shard; nothing was done.
    Redirect {
        /// The owner.
        owner: Name,
    },
}
