//! The `text` module makes the text that the stand-in generates.

use xxhash_rust::xxh3::xxh3_64;

/// A prompt with this text crashes the engine that prefills it.
pub const CRASH_MARKER: &str = "[crash]";

/// A prompt with this text crashes the engine that decodes it.
pub const DECODE_CRASH_MARKER: &str = "[crash-decode]";

/// Returns the text of token `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{:08x}.{index} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// Returns the whole answer to `prompt` with `tokens` tokens.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}
