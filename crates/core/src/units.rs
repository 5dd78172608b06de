//! The `units` module defines types and constants for quantities, so that the
//! compiler rejects a mix of units.

use derive_more::{Add, AddAssign, Display, Sub, Sum};
use serde::{Deserialize, Serialize};

/// `Tokens` is a number of model tokens.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Subtracts `other`, saturating at zero.
    pub fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

/// Tokens in one piece (block) of an engine's KV cache. It is the same in both
/// deployments.
pub const CACHE_PIECE_TOKENS: u64 = 2_000;

/// Bytes of prompt text that the router counts as one token until an engine has
/// reported the actual count.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Estimates the number of tokens of a prompt of `bytes` bytes, at least one, for
/// admission control, which runs before any engine has tokenized the prompt.
pub fn estimate_tokens(bytes: usize) -> Tokens {
    Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1))
}
