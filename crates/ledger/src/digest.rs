//! The `digest` module names idempotency keys and requests by digests, so that
//! records have a fixed size and no caller can hit the key of another.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest as _, Sha256};

/// Bytes of a digest that are kept; chance collisions at this length do not occur
/// among the keys that a ledger can hold.
const DIGEST_BYTES: usize = 16;

/// `Digest` is the front of a SHA-256 digest, written as hexadecimal text.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digests `parts`, each with its length, so that no two lists look alike.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut front = [0; DIGEST_BYTES];
        front.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Digest(front)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// `MalformedDigest` is the error for text that is no digest.
#[derive(Debug, Display, derive_more::Error)]
#[display("not a digest of {DIGEST_BYTES} bytes in hexadecimal")]
pub struct MalformedDigest;

impl std::str::FromStr for Digest {
    type Err = MalformedDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u128::from_str_radix(text, 16).map_err(|_| MalformedDigest)?;
        if text.len() != 2 * DIGEST_BYTES {
            return Err(MalformedDigest);
        }
        Ok(Digest(number.to_be_bytes()))
    }
}

/// `KeyDigest` names an idempotency key of one caller on one row.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyDigest(pub Digest);

impl KeyDigest {
    /// Names the key `key` of `caller` on `row`.
    pub fn new(row: &str, caller: &str, key: &str) -> KeyDigest {
        KeyDigest(Digest::of(&[row.as_bytes(), caller.as_bytes(), key.as_bytes()]))
    }

    /// Returns the shard, of `shards` in all, that holds the key.
    pub fn shard(self, shards: u32) -> u32 {
        let front = &self.0.0;
        u32::from_be_bytes([front[0], front[1], front[2], front[3]]) % shards.max(1)
    }
}

/// `RequestDigest` tells whether two calls with one key are the same request.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub Digest);

impl RequestDigest {
    /// Digests what a call asks for.
    pub fn new(method: &str, path: &str, body: &[u8]) -> RequestDigest {
        RequestDigest(Digest::of(&[method.as_bytes(), path.as_bytes(), body]))
    }
}
