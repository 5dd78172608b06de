//! The `ledger` module defines the messages to the owner of a ledger shard.

use aspenloft_core::prelude::{Name, RequestId};
use serde::{Deserialize, Serialize};

/// `LedgerCall` asks the owner of a shard to execute a call to a plain service at most
/// once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerCall {
    /// The id of the request, for logs.
    pub request: RequestId,
    /// The name of the row.
    pub row: Name,
    /// The name of the caller.
    pub caller: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// The HTTP method.
    pub method: Name,
    /// The path with the query.
    pub path: Name,
    /// The media type of the body; empty for none.
    pub content_type: Name,
    /// The body of the call.
    pub body: Vec<u8>,
}

/// `LedgerReply` is the reply to a [`LedgerCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The response of the plain service, either new or stored from the first call with
    /// the key.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        content_type: Name,
        /// The body of the response.
        body: Vec<u8>,
    },
    /// Another host owns the shard; the call was not run.
    Redirect {
        /// The name of the owner.
        owner: Name,
    },
}
