//! The `pieces` module names the pieces of a prompt's KV cache by chained
//! hashes, so that equal prefixes have equal names on every host and engine.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::{BYTES_PER_TOKEN, CACHE_PIECE_TOKENS};

/// Bytes of prompt text that fill one cache piece.
pub const PIECE_BYTES: usize = (CACHE_PIECE_TOKENS * BYTES_PER_TOKEN) as usize;

/// `PieceHash` names one cache piece together with all that precedes it.
pub type PieceHash = u64;

/// Returns the names of the whole pieces at the start of `prompt`, in order.
///
/// The hash of a piece is seeded with that of the piece before it, therefore one
/// name stands for the whole prefix up to its end. The model's name seeds the
/// first, because caches of two models have nothing in common.
pub fn piece_hashes(model: &str, prompt: &str) -> Vec<PieceHash> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    let whole = prompt.as_bytes().chunks_exact(PIECE_BYTES);
    whole
        .map(|piece| {
            seed = xxh3_64_with_seed(piece, seed);
            seed
        })
        .collect()
}
