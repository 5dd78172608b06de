//! The `digest` module identifies idempotency keys and requests by digests, so that
//! records have a fixed size and the keys of different callers never collide.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest as _, Sha256};

/// The number of bytes of a hash that are kept. At this length random collisions are
/// practically impossible among the keys that a ledger can hold.
const DIGEST_BYTES: usize = 16;

/// `Digest` is a truncated SHA-256 hash, formatted as hexadecimal text.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes `parts`, each prefixed with its length, so that no two different lists
    /// have the same encoding.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut prefix = [0; DIGEST_BYTES];
        prefix.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Digest(prefix)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// `MalformedDigest` is the error of parsing text that is not a digest.
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

/// `KeyDigest` identifies an idempotency key of one caller on one row.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyDigest(pub Digest);

impl KeyDigest {
    /// Hashes the key `key` of `caller` on `row`.
    pub fn new(row: &str, caller: &str, key: &str) -> KeyDigest {
        KeyDigest(Digest::of(&[row.as_bytes(), caller.as_bytes(), key.as_bytes()]))
    }

    /// Returns the number of the shard that holds the key, out of `shards` shards.
    pub fn shard(self, shards: u32) -> u32 {
        let prefix = &self.0.0;
        u32::from_be_bytes([prefix[0], prefix[1], prefix[2], prefix[3]]) % shards.max(1)
    }
}

/// `RequestDigest` identifies the content of a request, to detect a key that is reused
/// for a different one.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub Digest);

impl RequestDigest {
    /// Hashes the method, path and body of a call.
    pub fn new(method: &str, path: &str, body: &[u8]) -> RequestDigest {
        RequestDigest(Digest::of(&[method.as_bytes(), path.as_bytes(), body]))
    }
}
