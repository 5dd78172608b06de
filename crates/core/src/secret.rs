//! The `secret` module turns callers' keys into digests, so that the table never
//! holds a key that could be used.

use sha2::{Digest, Sha256};

/// Returns the lower-case hexadecimal SHA-256 digest of a caller's key.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
