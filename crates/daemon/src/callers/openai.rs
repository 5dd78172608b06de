//! The `openai` module defines the shapes of the answers that callers of the model
//! API get; the requests are in [`super::request`].

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::engine::FinishReason;
use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};

use super::request::Shape;

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
    /// When the request came, in seconds since the Unix epoch.
    pub created: u64,
    /// The model.
    pub model: &'a str,
    /// The choices; there is one, but for a chunk that only tells the usage.
    pub choices: &'a [Choice<'a>],
    /// The usage, in a whole answer and in the last chunk where it was asked for.
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
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Said<'a> {
    /// Always the assistant; only in a whole message and the first part.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// The text; the last part has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

/// `Head` is what all parts of one answer have in common.
#[derive(Debug, Clone)]
pub struct Head<'a> {
    /// The kind of completion.
    pub shape: Shape,
    /// The request's id.
    pub id: &'a str,
    /// When the request came, in seconds since the Unix epoch.
    pub created: u64,
    /// The model.
    pub model: &'a str,
}

/// The role of all that the model says.
const ASSISTANT: &str = "assistant";

impl<'a> Head<'a> {
    /// Makes the choice of a whole answer.
    pub fn whole(&self, text: &'a str, reason: FinishReason) -> Choice<'a> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.shape {
            Shape::Completion => choice.text = Some(text),
            Shape::Chat => {
                choice.message = Some(Said { role: Some(ASSISTANT), content: Some(text) });
            }
        }
        choice
    }

    /// Makes the choice of a chunk with text; `opens` marks the first one.
    pub fn part(&self, text: &'a str, opens: bool) -> Choice<'a> {
        let mut choice = Choice::default();
        match self.shape {
            Shape::Completion => choice.text = Some(text),
            Shape::Chat => {
                choice.delta = Some(Said { role: opens.then_some(ASSISTANT), content: Some(text) });
            }
        }
        choice
    }

    /// Makes the choice of the chunk that ends the text.
    pub fn end(&self, reason: FinishReason) -> Choice<'a> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.shape {
            Shape::Completion => choice.text = Some(""),
            Shape::Chat => choice.delta = Some(Said::default()),
        }
        choice
    }

    /// Joins the parts of a whole answer.
    pub fn answer(&self, choices: &'a [Choice<'a>], usage: Usage) -> Completion<'a> {
        let object = match self.shape {
            Shape::Completion => "text_completion",
            Shape::Chat => "chat.completion",
        };
        self.completion(object, choices, Some(usage))
    }

    /// Joins the parts of one chunk.
    pub fn chunk<'b>(&self, choices: &'b [Choice<'b>], usage: Option<Usage>) -> Completion<'b>
    where
        'a: 'b,
    {
        let object = match self.shape {
            Shape::Completion => "text_completion",
            Shape::Chat => "chat.completion.chunk",
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
        let Head { id, created, model, .. } = *self;
        Completion { id, object, created, model, choices, usage }
    }
}

/// `Failure` is the body of an error answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Failure {
    /// The error.
    pub error: FailureBody,
}

/// `FailureBody` says what went wrong in the words of this API.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FailureBody {
    /// The broad type.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The stable code.
    #[serde_as(as = "DisplayFromStr")]
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
            | ErrorCode::MethodNotAllowed
            | ErrorCode::UnsupportedType
            | ErrorCode::SlowRequest
            | ErrorCode::Poisonous
            | ErrorCode::KeyReused
            | ErrorCode::Conflict => "invalid_request_error",
            _ => "server_error",
        };
        let (code, execution) = (e.code, e.execution);
        Failure { error: FailureBody { kind, code, message: e.message.clone(), execution } }
    }
}
