//! The `openai` module defines the shapes of the model API that callers use.

use std::fmt::Write;

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::engine::FinishReason;
use serde::{Deserialize, Serialize};

/// `CompletionRequest` is the body of both kinds of completion. Unknown fields are
/// ignored, as this API's callers expect.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt of a plain completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// The messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// The most tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// `Message` is one message of a chat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// Joins a chat's messages into one prompt.
pub fn chat_prompt(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    prompt.push_str("assistant:");
    prompt
}

/// `Shape` is which of the two kinds of completion an answer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// `Usage` counts the tokens of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}

/// `Completion` is a whole answer, or one chunk of a streamed one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Completion<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The kind of object.
    pub object: &'static str,
    /// The model.
    pub model: &'a str,
    /// The choices; there is always one.
    pub choices: [Choice<'a>; 1],
    /// The usage, in a whole answer and the last chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// `Choice` is one choice of an answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Choice<'a> {
    /// Its place among the choices.
    pub index: u32,
    /// The text of a plain completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<&'a str>,
    /// The message of a whole chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<Said<'a>>,
    /// The part of a streamed chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Said<'a>>,
    /// Why the answer ended.
    pub finish_reason: Option<FinishReason>,
}

/// `Said` is what the model says in a chat.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Said<'a> {
    /// Always the assistant.
    pub role: &'static str,
    /// The text.
    pub content: &'a str,
}

impl Shape {
    /// Makes a whole answer.
    pub fn whole<'a>(
        self,
        id: &'a str,
        model: &'a str,
        text: &'a str,
        reason: FinishReason,
        usage: Usage,
    ) -> Completion<'a> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        let object = match self {
            Shape::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            Shape::Chat => {
                choice.message = Some(Said { role: "assistant", content: text });
                "chat.completion"
            }
        };
        Completion { id, object, model, choices: [choice], usage: Some(usage) }
    }

    /// Makes one chunk of a streamed answer.
    pub fn chunk<'a>(
        self,
        id: &'a str,
        model: &'a str,
        text: &'a str,
        reason: Option<FinishReason>,
        usage: Option<Usage>,
    ) -> Completion<'a> {
        let mut choice = Choice { finish_reason: reason, ..Choice::default() };
        let object = match self {
            Shape::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            Shape::Chat => {
                choice.delta = Some(Said { role: "assistant", content: text });
                "chat.completion.chunk"
            }
        };
        Completion { id, object, model, choices: [choice], usage }
    }
}

/// `Failure` is the body of an error answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Failure {
    /// The error.
    pub error: FailureBody,
}

/// `FailureBody` says what went wrong in the words of this API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FailureBody {
    /// The broad type.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The stable code.
    pub code: ErrorCode,
    /// What went wrong, for people.
    pub message: String,
    /// Whether the request was run.
    pub execution: Execution,
}

impl From<&Error> for Failure {
    fn from(e: &Error) -> Self {
        let kind = match e.code {
            ErrorCode::Unauthorized => "authentication_error",
            ErrorCode::Forbidden => "permission_error",
            ErrorCode::Limited => "rate_limit_error",
            ErrorCode::Invalid
            | ErrorCode::NotFound
            | ErrorCode::TooLarge
            | ErrorCode::Poisonous
            | ErrorCode::KeyReused
            | ErrorCode::Conflict => "invalid_request_error",
            _ => "server_error",
        };
        let (code, execution) = (e.code, e.execution);
        Failure { error: FailureBody { kind, code, message: e.message.clone(), execution } }
    }
}
