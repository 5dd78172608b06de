//! The `record` module defines what the ledger keeps of one idempotency key.

use aspenloft_core::prelude::Arc;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::digest::{Digest, KeyDigest, RequestDigest};

/// Bytes that a record takes at most in JSON, beside a kept answer.
pub const RECORD_BYTES: usize = 200;

/// `Record` is what the ledger keeps of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: KeyDigest,
    /// The request that first came with it.
    pub request: RequestDigest,
    /// When it may be forgotten, in milliseconds since the Unix epoch. It includes
    /// the allowance for the difference of two hosts' clocks.
    pub expires_ms: u64,
    /// What became of the call.
    pub fate: Fate,
}

/// `Fate` is what is known of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// The call was about to be sent; unless its sender still waits for it, nobody
    /// knows whether it ran, and it never runs again.
    Intent,
    /// The call was answered so.
    Answered(Arc<Answer>),
    /// The call was answered, with more than the ledger keeps.
    Oversized(Oversized),
}

/// `Answer` is a plain service's answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// `Oversized` stands for an answer that was too large to keep.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Oversized {
    /// The HTTP status.
    pub status: u16,
    /// The bytes of the body.
    pub bytes: usize,
    /// The digest of the body.
    pub body: Digest,
}

impl Fate {
    /// Makes the fate of an answered call, of which at most `limit` bytes of JSON
    /// are kept.
    pub fn of_answer(answer: &Arc<Answer>, limit: usize) -> Fate {
        if answer.json_bytes() <= limit {
            return Fate::Answered(answer.clone());
        }
        let body = Digest::of(&[&answer.body]);
        Fate::Oversized(Oversized { status: answer.status, bytes: answer.body.len(), body })
    }
}

impl Answer {
    /// Returns the bytes that the answer takes at most in JSON.
    fn json_bytes(&self) -> usize {
        // A control character in the media type becomes six bytes.
        6 * self.content_type.len() + self.body.len().div_ceil(3) * 4
    }
}

impl Record {
    /// Returns the bytes that the record takes at most in JSON.
    pub fn bytes(&self) -> usize {
        match &self.fate {
            Fate::Answered(answer) => RECORD_BYTES + answer.json_bytes(),
            Fate::Intent | Fate::Oversized(_) => RECORD_BYTES,
        }
    }
}
