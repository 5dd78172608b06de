//! The `errors` module defines the error type that all crates share.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::execution::Execution;

/// `Result` is a result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` is a failure that ends a request or an operation.
///
/// It carries what a caller needs to handle it: a stable code, whether the request
/// was run, and when to retry.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct Error {
    /// The stable code, for programs.
    pub code: ErrorCode,
    /// What went wrong, for people.
    pub message: String,
    /// Whether the request was run.
    pub execution: Execution,
    /// How long the caller should wait before it retries; `None` if retrying does not
    /// help or the time is not known.
    pub retry_after: Option<Duration>,
}

/// `ErrorCode` is the stable code of a kind of failure.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request or a setting is malformed.
    #[display("invalid_request")]
    Invalid,
    /// The caller's API key is missing or invalid.
    #[display("invalid_api_key")]
    Unauthorized,
    /// The caller does not have the permission.
    #[display("forbidden")]
    Forbidden,
    /// No row, model or path matches.
    #[display("not_found")]
    NotFound,
    /// The request or the response exceeds a size limit.
    #[display("too_large")]
    TooLarge,
    /// The caller has reached a rate or concurrency limit of the table.
    #[display("rate_limited")]
    Limited,
    /// The request could not meet its latency targets at the current load.
    #[display("overloaded")]
    Overloaded,
    /// No backend server can accept the request.
    #[display("no_backend")]
    NoBackend,
    /// A deadline expired.
    #[display("timeout")]
    Timeout,
    /// A peer, the platform or a backend server could not be reached.
    #[display("unavailable")]
    Unavailable,
    /// A compare-and-swap failed because another write came first.
    #[display("conflict")]
    Conflict,
    /// An idempotency key was used again with a different request.
    #[display("idempotency_key_reused")]
    KeyReused,
    /// The request was rejected, because earlier runs of it crashed backend servers.
    #[display("poisonous_request")]
    Poisonous,
    /// The caller cancelled the request or closed its connection.
    #[display("cancelled")]
    Cancelled,
    /// The host is shutting down or not ready.
    #[display("not_ready")]
    NotReady,
    /// An invariant was violated: a bug, or a peer that breaks the protocol.
    #[display("internal")]
    Internal,
    /// The path does not support this method.
    #[display("method_not_allowed")]
    MethodNotAllowed,
    /// The path does not support the media type of the body.
    #[display("unsupported_type")]
    UnsupportedType,
    /// The caller did not send its request in time.
    #[display("request_timeout")]
    SlowRequest,
}

impl Error {
    /// Creates an error for a request that was not run.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Error { code, message: message.into(), execution: Execution::NotRun, retry_after: None }
    }

    /// Sets whether the request was run.
    pub fn execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets how long the caller should wait before it retries.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Creates an error for malformed input.
pub fn invalid(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Invalid, message)
}

/// Creates an error for a peer, platform or backend server that cannot be reached.
pub fn unavailable(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Unavailable, message)
}

/// Creates an error for something that does not exist.
pub fn not_found(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::NotFound, message)
}

/// Creates an error for an expired deadline.
pub fn timeout(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Timeout, message)
}

/// Creates an error for a violated invariant.
pub fn internal(message: impl Into<String>) -> Error {
    Error::new(ErrorCode::Internal, message)
}
