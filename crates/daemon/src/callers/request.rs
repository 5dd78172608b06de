//! The `request` module reads the bodies of model requests as callers of this API
//! write them, and refuses what cannot be served; see `docs/CALLERS-API.md`.

use std::fmt::Write;

use aspenloft_core::errors::{Result, invalid};
use aspenloft_core::prelude::Tokens;
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Tokens of a plain completion whose caller names no limit, as in this API.
const DEFAULT_COMPLETION_TOKENS: Tokens = Tokens(16);

/// `CompletionRequest` is the body of both kinds of completion. Unknown fields are
/// ignored, as this API's callers expect.
#[derive(Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<i64>,
    max_completion_tokens: Option<i64>,
    n: Option<i64>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
}

/// `Prompt` is the prompt of a plain completion.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Texts(Vec<String>),
    Other(IgnoredAny),
}

/// `Message` is one message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

/// `Content` is what a message says.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

/// `Part` is one part of a message.
#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

/// `StreamOptions` is what a caller wants of a stream.
#[derive(Debug, Deserialize)]
struct StreamOptions {
    include_usage: Option<bool>,
}

/// `Shape` is which of the two kinds of completion a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// `Streaming` is how the answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Streaming {
    /// As one body.
    Whole,
    /// Token by token; with a last chunk of usage where the caller asked for it.
    Chunks {
        /// Whether the usage is sent.
        usage: bool,
    },
}

impl CompletionRequest {
    /// Reads a body.
    pub fn from_json(body: &[u8]) -> Result<CompletionRequest> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let req: CompletionRequest = serde_path_to_error::deserialize(&mut de)
            .map_err(|e| invalid(format!("{}: {}", e.path(), e.inner())))?;
        de.end().map_err(|e| invalid(e.to_string()))?;
        if req.n.is_some_and(|n| n != 1) {
            return Err(invalid("n: only one answer to a request is served"));
        }
        Ok(req)
    }

    /// Returns the prompt.
    pub fn prompt(&self, shape: Shape) -> Result<String> {
        let prompt = match shape {
            Shape::Completion => self.plain_prompt()?.to_string(),
            Shape::Chat => self.chat_prompt()?,
        };
        if prompt.trim().is_empty() {
            return Err(invalid("the prompt is empty"));
        }
        Ok(prompt)
    }

    /// Returns the most tokens to generate, at most `most`.
    pub fn max_tokens(&self, shape: Shape, most: Tokens) -> Result<Tokens> {
        let asked = match self.max_completion_tokens.or(self.max_tokens) {
            Some(asked) => match u64::try_from(asked) {
                Ok(asked) if asked > 0 => Tokens(asked),
                _ => return Err(invalid("max_tokens: must be at least 1")),
            },
            None if shape == Shape::Completion => DEFAULT_COMPLETION_TOKENS,
            None => most,
        };
        Ok(asked.min(most))
    }

    /// Returns how the answer is sent.
    pub fn streaming(&self) -> Streaming {
        if !self.stream.unwrap_or(false) {
            return Streaming::Whole;
        }
        let options = self.stream_options.as_ref();
        Streaming::Chunks { usage: options.and_then(|o| o.include_usage).unwrap_or(false) }
    }

    fn plain_prompt(&self) -> Result<&str> {
        match &self.prompt {
            Some(Prompt::Text(text)) => Ok(text),
            Some(Prompt::Texts(texts)) => match texts.as_slice() {
                [text] => Ok(text),
                _ => Err(invalid("prompt: an array must hold exactly one string")),
            },
            Some(Prompt::Other(_)) => Err(invalid("prompt: only text is served, no token ids")),
            None => Err(invalid("prompt: is missing")),
        }
    }

    /// Joins a chat's messages into one prompt.
    fn chat_prompt(&self) -> Result<String> {
        let messages = self.messages.as_deref().unwrap_or_default();
        if messages.is_empty() {
            return Err(invalid("messages: is missing or empty"));
        }
        let mut prompt = String::new();
        for (i, message) in messages.iter().enumerate() {
            let text = message.text().map_err(|why| invalid(format!("messages[{i}]: {why}")))?;
            let _ = writeln!(prompt, "{}: {text}", message.role);
        }
        prompt.push_str("assistant:");
        Ok(prompt)
    }
}

impl Message {
    fn text(&self) -> Result<String, &'static str> {
        match &self.content {
            None => Ok(String::new()),
            Some(Content::Text(text)) => Ok(text.clone()),
            Some(Content::Parts(parts)) => parts.iter().map(Part::text).collect(),
        }
    }
}

impl Part {
    fn text(&self) -> Result<&str, &'static str> {
        match &self.text {
            Some(text) if self.kind == "text" => Ok(text),
            _ => Err("only parts of type text are served"),
        }
    }
}
