//! The `units` module defines quantities that must not be confused.

use derive_more::{Add, AddAssign, Display, Sub, Sum};
use serde::{Deserialize, Serialize};

/// `Tokens` is a count of model tokens.
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
    /// Subtracts without going below zero.
    pub fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

/// Tokens in one piece of engine cache memory, as both deployments divide it.
pub const CACHE_PIECE_TOKENS: u64 = 2_000;

/// Bytes of prompt text that the router counts as one token when it has no
/// count from an engine yet.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Estimates the tokens of a prompt from its length in bytes, so that admission
/// can act before any engine has seen the prompt.
pub fn estimate_tokens(bytes: usize) -> Tokens {
    Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1))
}
