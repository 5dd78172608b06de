//! The `pieces` module hashes the pieces (fixed-size blocks) of a prompt's KV cache.
//! The hashes are chained, so that equal prefixes have equal hashes on every host
//! and engine.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::{BYTES_PER_TOKEN, CACHE_PIECE_TOKENS};

/// Bytes of prompt text in one cache piece.
pub const PIECE_BYTES: usize = (CACHE_PIECE_TOKENS * BYTES_PER_TOKEN) as usize;

/// `PieceHash` identifies a cache piece together with the prefix that precedes it.
pub type PieceHash = u64;

/// Returns the hashes of the complete pieces of `prompt`, in order. A partial piece at
/// the end is ignored.
///
/// The hash of a piece is seeded with that of the piece before it, therefore one
/// hash identifies the whole prefix up to the end of its piece. The first is seeded
/// with the model's name, because models do not share KV caches.
pub fn piece_hashes(model: &str, prompt: &str) -> Vec<PieceHash> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    let complete_pieces = prompt.as_bytes().chunks_exact(PIECE_BYTES);
    complete_pieces
        .map(|piece| {
            seed = xxh3_64_with_seed(piece, seed);
            seed
        })
        .collect()
}
