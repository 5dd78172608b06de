//! The `errors` module defines the error that crosses crate borders.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::execution::Execution;

/// `Result` is the result of aspenloft's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` is a failure that ends a request or an operation.
///
/// It carries what a caller must learn: a stable code, whether the request was
/// run, and when it is worth coming back.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct Error {
    /// The stable code.
    pub code: ErrorCode,
    /// What went wrong, for people.
    pub message: String,
    /// Whether the request was run.
    pub execution: Execution,
    /// How long the caller should wait before it asks again, where that helps.
    pub retry_after: Option<Duration>,
}

/// `ErrorCode` is the stable name of a kind of failure.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request or a setting is malformed.
    #[display("invalid_request")]
    Invalid,
    /// The caller's key is missing or wrong.
    #[display("invalid_api_key")]
    Unauthorized,
    /// The caller may not do this.
    #[display("forbidden")]
    Forbidden,
    /// No row, model or path matches.
    #[display("not_found")]
    NotFound,
    /// The request or answer is larger than a bound.
    #[display("too_large")]
    TooLarge,
    /// A limit of the table is used up.
    #[display("rate_limited")]
    Limited,
    /// The request cannot meet its targets now.
    #[display("overloaded")]
    Overloaded,
    /// No backend server can take the request.
    #[display("no_backend")]
    NoBackend,
    /// A deadline passed.
    #[display("timeout")]
    Timeout,
    /// A peer, platform or backend server could not be reached.
    #[display("unavailable")]
    Unavailable,
    /// A compare-and-swap lost to another writer.
    #[display("conflict")]
    Conflict,
    /// An idempotency key came again with a different request.
    #[display("idempotency_key_reused")]
    KeyReused,
    /// The request has crashed the backend servers that ran it.
    #[display("poisonous_request")]
    Poisonous,
    /// The caller went away.
    #[display("cancelled")]
    Cancelled,
    /// The host is leaving or not ready.
    #[display("not_ready")]
    NotReady,
    /// Something that should not happen did.
    #[display("internal")]
    Internal,
    /// The path does not take this method.
    #[display("method_not_allowed")]
    MethodNotAllowed,
    /// The body is of a type that the path does not take.
    #[display("unsupported_type")]
    UnsupportedType,
    /// The caller took too long to send its request.
    #[display("request_timeout")]
    SlowRequest,
}

impl Error {
    /// Creates an error for a request that was not run.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Error { code, message: message.into(), execution: Execution::NotRun, retry_after: None }
    }

    /// Sets what is known of the request's fate.
    pub fn execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets when the caller should come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Creates an error for malformed input.
pub fn invalid(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Invalid, message)
}

/// Creates an error for something that cannot be reached.
pub fn unavailable(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Unavailable, message)
}

/// Creates an error for something absent.
pub fn not_found(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::NotFound, message)
}

/// Creates an error for a passed deadline.
pub fn timeout(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Timeout, message)
}

/// Creates an error for a broken invariant.
pub fn internal(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Internal, message)
}
