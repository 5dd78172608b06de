//! The `progress` module orders the tokens of an answer that arrive over one or more
//! resumed streams, so that a caller sees no token twice and none missing.

/// `TokenOrder` is the position of a received token relative to those passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenOrder {
    /// The next token; it is passed on.
    Next,
    /// A token that was passed on already; it is dropped.
    Duplicate,
    /// Earlier tokens are missing; the stream is abandoned and the answer resumed.
    Gap,
}

/// `Progress` holds the tokens of an answer that were passed to the caller.
#[derive(Debug, Default)]
pub struct Progress {
    next: u64,
    text: String,
}

impl Progress {
    /// Returns the index of the next token, which equals the number of tokens passed on.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns the text passed on, which a resumed stream continues.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Classifies a token of any stream and appends its text if it is the next one.
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

    /// Returns whether the answer has all its `max` tokens.
    pub fn is_complete(&self, max: u64) -> bool {
        self.next >= max
    }
}
