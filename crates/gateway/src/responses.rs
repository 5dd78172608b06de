//! The `responses` module builds the responses to callers: those relayed from backend
//! servers, and the router's own error responses.
//!
//! The status of an error response depends on whether the request may have been
//! executed: `Retry-After` is only sent for a request that has not run and will not.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::Name;
use aspenloft_transport::connections::ConnectionUse;
use bytes::Bytes;
use derive_more::Display;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};

use crate::body_budget::BodyReservation;
use crate::dialect::Dialect;
use crate::http::WholeBody;
use crate::http::headers::end_to_end;

/// `ResponseBody` is the body of any response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// `Truncated` is the error of a response body that cannot be completed. The
/// connection is closed without the end of the body, so that callers see that it is
/// incomplete.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("the backend server's response ended early")]
pub struct Truncated;

impl std::error::Error for Truncated {}

/// Returns a body that consists of `body`.
pub fn full_body(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that consists of a backend server's `body` and keeps the reservation of
/// its memory until the caller has read it.
pub fn whole_body(body: WholeBody) -> ResponseBody {
    let WholeBody { bytes, reservation } = body;
    let body = ReservedBody { inner: Full::new(bytes), _reservation: reservation };
    body.map_err(|never| match never {}).boxed_unsync()
}

/// A body that keeps the reservation of its memory.
struct ReservedBody {
    inner: Full<Bytes>,
    _reservation: Option<BodyReservation>,
}

impl Body for ReservedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Returns `body` in such a way that the caller's connection counts as in use until it has been
/// written.
pub fn using_connection(body: ResponseBody, connection: ConnectionUse) -> ResponseBody {
    ConnectionBody { inner: body, _connection: connection }.boxed_unsync()
}

/// A body that keeps the caller's connection in use.
struct ConnectionBody {
    inner: ResponseBody,
    _connection: ConnectionUse,
}

impl Body for ConnectionBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Returns a backend server's response for the caller, with the status and the
/// end-to-end headers of `head` unmodified, and `body`.
pub fn relayed_response(head: &response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

/// Returns the HTTP status for an error. A status that implies that the request was
/// not executed is only returned where that is known.
pub fn status_of(error: &Error) -> StatusCode {
    match (error.execution, error.code) {
        (_, ErrorCode::Invalid) => StatusCode::BAD_REQUEST,
        (_, ErrorCode::NotFound) => StatusCode::NOT_FOUND,
        (_, ErrorCode::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (Execution::NotRun, ErrorCode::SlowRequest) => StatusCode::REQUEST_TIMEOUT,
        (Execution::NotRun, ErrorCode::Limited) => StatusCode::TOO_MANY_REQUESTS,
        (Execution::NotRun, ErrorCode::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        (Execution::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, ErrorCode::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the router's response for `error` to the attempt `id`.
pub fn error_response(
    error: &Error,
    id: Option<&Name>,
    dialect: &dyn Dialect,
) -> Response<ResponseBody> {
    let body = serde_json::json!({
        "error": { "code": error.code, "message": error.message, "execution": error.execution }
    });
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() = status_of(error);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = error.retry_after.filter(|_| error.execution == Execution::NotRun) {
        headers.insert(RETRY_AFTER, retry_after_value(after));
    }
    if let Some(id) = id {
        dialect.write_router_response(id, headers);
    }
    response
}

/// Returns the value of `Retry-After` in seconds, with two decimals, which callers of
/// the platform accept.
fn retry_after_value(after: Duration) -> HeaderValue {
    let text = format!("{:.2}", after.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
