//! The `progress` module keeps the order of an answer's tokens over all streams
//! that carry parts of it, so that a caller sees no token twice and none missing.

/// `TokenOrder` is what to do with a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenOrder {
    /// It is the next one: pass it on.
    Next,
    /// It was passed on already: drop it.
    Duplicate,
    /// Tokens before it are missing: give the stream up and resume.
    Gap,
}

/// `Progress` is how far an answer is.
#[derive(Debug, Default)]
pub struct Progress {
    next: u64,
    text: String,
}

impl Progress {
    /// Returns the index of the next token, which is also the count of those sent.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns the text passed on, from which a stream is resumed.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Takes a token of any stream.
    pub fn accept(&mut self, index: u64, text: &str) -> TokenOrder {
        if index < self.next {
            return TokenOrder::Duplicate;
        }
        if index > self.next {
            return TokenOrder::Gap;
        }
        self.next += 1;
        self.text.push_str(text);
        TokenOrder::Next
    }

    /// Tells whether the answer has all its `max` tokens.
    pub fn is_complete(&self, max: u64) -> bool {
        self.next >= max
    }
}
