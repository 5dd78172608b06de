//! The `entry` module defines what the ledger records of one idempotency key.

use serde::{Deserialize, Serialize};

/// `Entry` is the record of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The call was about to be sent; whether it ran is not known.
    Intent,
    /// The call ran and was answered so.
    Outcome(Answer),
}

/// `Answer` is a plain service's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}
