//! The `ledger` module defines the messages to the owner of a ledger shard.

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `LedgerCall` asks the owner of a shard to run a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerCall {
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
    /// The body.
    pub body: Vec<u8>,
}

/// `LedgerReply` is the answer of the plain service, as the owner recorded it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerReply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Name,
    /// The body.
    pub body: Vec<u8>,
}
