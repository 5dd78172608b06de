//! The `callers` module serves callers over HTTP/1.1.

pub mod answer;
pub mod front;
pub mod openai;
