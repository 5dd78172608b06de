//! The `request` module parses the bodies of model requests and rejects what is not
//! supported; see `docs/CALLERS-API.md`.

use std::fmt::Write;

use aspenloft_core::errors::{Result, invalid};
use aspenloft_core::prelude::Tokens;
use serde::Deserialize;
use serde::de::IgnoredAny;

/// The token limit of a plain completion whose caller sets none, as in OpenAI's API.
const DEFAULT_COMPLETION_TOKENS: Tokens = Tokens(16);

/// `CompletionRequest` is the body of both kinds of completion. Unknown fields are
/// ignored, as clients of OpenAI's API expect.
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

/// `Content` is the content of a message.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

/// `Part` is one content part of a message.
#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

/// `StreamOptions` holds the caller's options for a stream.
#[derive(Debug, Deserialize)]
struct StreamOptions {
    include_usage: Option<bool>,
}

/// `CompletionKind` is one of the two kinds of completion in the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// `ResponseMode` is how the answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMode {
    /// As one complete body.
    Whole,
    /// As a stream of chunks.
    Chunks {
        /// Whether a last chunk with the token usage is sent.
        usage: bool,
    },
}

impl CompletionRequest {
    /// Parses a JSON body.
    pub fn from_json(body: &[u8]) -> Result<CompletionRequest> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let req: CompletionRequest = serde_path_to_error::deserialize(&mut de)
            .map_err(|e| invalid(format!("{}: {}", e.path(), e.inner())))?;
        de.end().map_err(|e| invalid(e.to_string()))?;
        if req.n.is_some_and(|n| n != 1) {
            return Err(invalid("n: only one choice per request is supported"));
        }
        Ok(req)
    }

    /// Returns the prompt, in which the messages of a chat are joined.
    pub fn prompt(&self, kind: CompletionKind) -> Result<String> {
        let prompt = match kind {
            CompletionKind::Completion => self.text_prompt()?.to_string(),
            CompletionKind::Chat => self.chat_prompt()?,
        };
        if prompt.trim().is_empty() {
            return Err(invalid("the prompt is empty"));
        }
        Ok(prompt)
    }

    /// Returns the maximum number of tokens to generate, which is at most `limit`.
    pub fn max_tokens(&self, kind: CompletionKind, limit: Tokens) -> Result<Tokens> {
        let requested = match self.max_completion_tokens.or(self.max_tokens) {
            Some(requested) => match u64::try_from(requested) {
                Ok(requested) if requested > 0 => Tokens(requested),
                _ => return Err(invalid("max_tokens: must be at least 1")),
            },
            None if kind == CompletionKind::Completion => DEFAULT_COMPLETION_TOKENS,
            None => limit,
        };
        Ok(requested.min(limit))
    }

    /// Returns how the answer is sent.
    pub fn response_mode(&self) -> ResponseMode {
        if !self.stream.unwrap_or(false) {
            return ResponseMode::Whole;
        }
        let options = self.stream_options.as_ref();
        ResponseMode::Chunks { usage: options.and_then(|o| o.include_usage).unwrap_or(false) }
    }

    fn text_prompt(&self) -> Result<&str> {
        match &self.prompt {
            Some(Prompt::Text(text)) => Ok(text),
            Some(Prompt::Texts(texts)) => match texts.as_slice() {
                [text] => Ok(text),
                _ => Err(invalid("prompt: an array must hold exactly one string")),
            },
            Some(Prompt::Other(_)) => Err(invalid("prompt: only text is supported, no token ids")),
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
            let text = message.text().map_err(|e| invalid(format!("messages[{i}]: {e}")))?;
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
            _ => Err("only parts of type text are supported"),
        }
    }
}
