//! The `text` module derives the generated text from the prompt.

use xxhash_rust::xxh3::xxh3_64;

/// Text within a prompt that crashes the engine which runs its prefill.
pub const CRASH_MARKER: &str = "[crash]";

/// Text within a prompt that crashes the engine which decodes it.
pub const DECODE_CRASH_MARKER: &str = "[crash-decode]";

/// Returns the text of token `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{:08x}.{index} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// Returns the complete answer of `tokens` tokens to `prompt`.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}
