//! The `openai` module defines the response bodies of the model API, which follow
//! OpenAI's; the request bodies are in [`super::request`].

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::engine::FinishReason;
use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};

use super::request::CompletionKind;

/// `Usage` is the number of tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// The sum of both.
    pub total_tokens: u64,
}

/// `Completion` is a complete answer, or one chunk of a streamed one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Completion<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The type of the object, such as `chat.completion`.
    pub object: &'static str,
    /// When the request was received, in seconds since the Unix epoch.
    pub created: u64,
    /// The model.
    pub model: &'a str,
    /// The one choice; empty in a chunk that only has the usage.
    pub choices: &'a [Choice<'a>],
    /// The usage, in a complete answer and, if requested, in the last chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// `Choice` is one choice of an answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Choice<'a> {
    /// Its index among the choices; always zero.
    pub index: u32,
    /// The text of a plain completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<&'a str>,
    /// The message of a complete chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage<'a>>,
    /// The added part of the message, in a chunk of a streamed chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatMessage<'a>>,
    /// Why the answer ended; none in chunks before the end.
    pub finish_reason: Option<FinishReason>,
}

/// `ChatMessage` is the model's message in a chat, or a part of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ChatMessage<'a> {
    /// Always `assistant`; only in a complete message and in the first part.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// The text; the last part has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

/// `CompletionMeta` holds the fields that all chunks of one answer share.
#[derive(Debug, Clone)]
pub struct CompletionMeta<'a> {
    /// The kind of completion.
    pub kind: CompletionKind,
    /// The request's id.
    pub id: &'a str,
    /// When the request was received, in seconds since the Unix epoch.
    pub created: u64,
    /// The model.
    pub model: &'a str,
}

/// The role of the model's messages.
const ASSISTANT: &str = "assistant";

impl<'a> CompletionMeta<'a> {
    /// Creates the choice of a complete answer.
    pub fn complete_choice(&self, text: &'a str, reason: FinishReason) -> Choice<'a> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.kind {
            CompletionKind::Completion => choice.text = Some(text),
            CompletionKind::Chat => {
                choice.message = Some(ChatMessage { role: Some(ASSISTANT), content: Some(text) });
            }
        }
        choice
    }

    /// Creates the choice of a chunk with text; `is_first` marks the first chunk.
    pub fn stream_choice(&self, text: &'a str, is_first: bool) -> Choice<'a> {
        let mut choice = Choice::default();
        match self.kind {
            CompletionKind::Completion => choice.text = Some(text),
            CompletionKind::Chat => {
                choice.delta =
                    Some(ChatMessage { role: is_first.then_some(ASSISTANT), content: Some(text) });
            }
        }
        choice
    }

    /// Creates the choice of the chunk that ends the text.
    pub fn end_choice(&self, reason: FinishReason) -> Choice<'a> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.kind {
            CompletionKind::Completion => choice.text = Some(""),
            CompletionKind::Chat => choice.delta = Some(ChatMessage::default()),
        }
        choice
    }

    /// Creates the body of a complete answer.
    pub fn complete(&self, choices: &'a [Choice<'a>], usage: Usage) -> Completion<'a> {
        let object = match self.kind {
            CompletionKind::Completion => "text_completion",
            CompletionKind::Chat => "chat.completion",
        };
        self.completion(object, choices, Some(usage))
    }

    /// Creates one chunk of a streamed answer.
    pub fn chunk<'b>(&self, choices: &'b [Choice<'b>], usage: Option<Usage>) -> Completion<'b>
    where
        'a: 'b,
    {
        let object = match self.kind {
            CompletionKind::Completion => "text_completion",
            CompletionKind::Chat => "chat.completion.chunk",
        };
        self.completion(object, choices, usage)
    }

    fn completion<'b>(
        &self,
        object: &'static str,
        choices: &'b [Choice<'b>],
        usage: Option<Usage>,
    ) -> Completion<'b>
    where
        'a: 'b,
    {
        let CompletionMeta { id, created, model, .. } = *self;
        Completion { id, object, created, model, choices, usage }
    }
}

/// `ErrorResponse` is the body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ErrorResponse {
    /// The description of the error.
    pub error: ErrorBody,
}

/// `ErrorBody` describes an error with the codes of this API.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The broad type, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The error code, stable between versions.
    #[serde_as(as = "DisplayFromStr")]
    pub code: ErrorCode,
    /// The description for people.
    pub message: String,
    /// Whether an engine or server ran the request.
    pub execution: Execution,
}

impl From<&Error> for ErrorResponse {
    fn from(e: &Error) -> Self {
        let kind = match e.code {
            ErrorCode::Unauthorized => "authentication_error",
            ErrorCode::Forbidden => "permission_error",
            ErrorCode::Limited => "rate_limit_error",
            ErrorCode::Invalid
            | ErrorCode::NotFound
            | ErrorCode::TooLarge
            | ErrorCode::MethodNotAllowed
            | ErrorCode::UnsupportedType
            | ErrorCode::SlowRequest
            | ErrorCode::Poisonous
            | ErrorCode::KeyReused
            | ErrorCode::Conflict => "invalid_request_error",
            _ => "server_error",
        };
        let (code, execution) = (e.code, e.execution);
        ErrorResponse { error: ErrorBody { kind, code, message: e.message.clone(), execution } }
    }
}
