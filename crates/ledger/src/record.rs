//! The `record` module defines what the ledger stores for one idempotency key.

use aspenloft_core::prelude::Arc;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::digest::{Digest, KeyDigest, RequestDigest};

/// The maximum size of a record in JSON without its answer, in bytes.
pub const RECORD_OVERHEAD_BYTES: usize = 200;

/// `Record` is the stored state of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The digest of the key.
    pub key: KeyDigest,
    /// The first request with the key.
    pub request: RequestDigest,
    /// When the record expires, in milliseconds since the Unix epoch. It includes the
    /// allowance for the skew of two hosts' clocks.
    pub expires_ms: u64,
    /// The outcome of the call as far as it is known.
    pub fate: Fate,
}

/// `Fate` is the known outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// The call was about to be sent. Once its sender no longer waits for it, whether
    /// it ran is unknown, and it must never run again.
    Intent,
    /// The call was answered, with this answer.
    Answered(Arc<Answer>),
    /// The call was answered, with an answer too large to keep.
    Oversized(Oversized),
}

/// `Answer` is a plain service's answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body, stored as Base64.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// `Oversized` describes an answer that was too large to keep.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Oversized {
    /// The HTTP status code.
    pub status: u16,
    /// The size of the body in bytes.
    pub bytes: usize,
    /// The digest of the body.
    pub body: Digest,
}

impl Fate {
    /// Returns the fate of an answered call. An answer of more than `limit` bytes of
    /// JSON is replaced by its description.
    pub fn of_answer(answer: &Arc<Answer>, limit: usize) -> Fate {
        if answer.json_bytes() <= limit {
            return Fate::Answered(answer.clone());
        }
        let body = Digest::of(&[&answer.body]);
        Fate::Oversized(Oversized { status: answer.status, bytes: answer.body.len(), body })
    }
}

impl Answer {
    /// Returns an upper bound for the size of the answer in JSON, in bytes.
    fn json_bytes(&self) -> usize {
        // A control character in the media type is escaped with six bytes.
        6 * self.content_type.len() + self.body.len().div_ceil(3) * 4
    }
}

impl Record {
    /// Returns an upper bound for the size of the record in JSON, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.fate {
            Fate::Answered(answer) => RECORD_OVERHEAD_BYTES + answer.json_bytes(),
            Fate::Intent | Fate::Oversized(_) => RECORD_OVERHEAD_BYTES,
        }
    }
}
