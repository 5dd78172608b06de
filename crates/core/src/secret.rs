//! The `secret` module hashes callers' API keys, so that the table never holds a
//! usable key.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of a caller's API key in lower-case hexadecimal.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
