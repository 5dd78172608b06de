//! The `server` module accepts HTTP/1.1 connections and passes each request to a
//! handler, together with its connection, which reports when the client disconnects.

mod options;
mod serve;
mod socket;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_trait::async_trait;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

pub use options::ServerOptions;
pub use serve::{serve, serve_with};

use serve::BodyTimeout;
use socket::Socket;

/// `HttpHandler` handles HTTP requests.
#[async_trait]
pub trait HttpHandler: Send + Sync {
    /// Handles a request that was received on `connection`.
    async fn handle(&self, req: Request, connection: &Connection) -> Response;

    /// Builds the response to a request that is not passed to [`HttpHandler::handle`],
    /// for instance one with a malformed head. The server sets the status.
    fn refuse(&self, error: &Error) -> Response {
        json_result(Err::<(), _>(error.clone()))
    }
}

/// `Connection` is the connection on which a request was received.
#[derive(Debug, Clone)]
pub struct Connection {
    socket: Socket,
}

impl Connection {
    /// Waits until the client has closed its side of the connection.
    ///
    /// The body of the request must have been read completely before. Bytes of a
    /// pipelined request are buffered meanwhile, because they have to be read before the
    /// end of the connection is detected.
    pub async fn closed(&self) {
        self.socket.closed().await;
    }

    /// Closes the connection immediately, even if a request is in progress.
    pub fn abort(&self) {
        self.socket.abort();
    }
}

/// Builds a JSON response with status 200.
pub fn json(body: &impl Serialize) -> Response {
    json_with(StatusCode::Ok, body)
}

/// Builds a JSON response with `status`.
pub fn json_with(status: StatusCode, body: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    match serde_json::to_vec(body) {
        Ok(bytes) => {
            response.set_body(bytes);
            response.insert_header("content-type", "application/json");
        }
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response
}

/// Builds the response for the result of a call between programs of one deployment:
/// the value or the error as JSON, with the matching status.
pub fn json_result(result: Result<impl Serialize>) -> Response {
    match result {
        Ok(body) => json(&body),
        Err(e) => json_with(status_of(e.code), &e),
    }
}

/// Returns the HTTP status for the code of an error.
pub fn status_of(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::Invalid | ErrorCode::Cancelled => StatusCode::BadRequest,
        ErrorCode::Unauthorized => StatusCode::Unauthorized,
        ErrorCode::Forbidden => StatusCode::Forbidden,
        ErrorCode::NotFound => StatusCode::NotFound,
        ErrorCode::MethodNotAllowed => StatusCode::MethodNotAllowed,
        ErrorCode::UnsupportedType => StatusCode::UnsupportedMediaType,
        ErrorCode::SlowRequest => StatusCode::RequestTimeout,
        ErrorCode::TooLarge => StatusCode::PayloadTooLarge,
        ErrorCode::Limited => StatusCode::TooManyRequests,
        ErrorCode::Conflict => StatusCode::Conflict,
        ErrorCode::Poisonous | ErrorCode::KeyReused => StatusCode::UnprocessableEntity,
        ErrorCode::Timeout => StatusCode::GatewayTimeout,
        ErrorCode::Internal => StatusCode::InternalServerError,
        ErrorCode::Overloaded
        | ErrorCode::NoBackend
        | ErrorCode::Unavailable
        | ErrorCode::NotReady => StatusCode::ServiceUnavailable,
    }
}

/// Reads the body of `req` as JSON; see [`read_body`] for the limits.
pub async fn read_json<R: serde::de::DeserializeOwned>(
    req: &mut Request,
    limit: usize,
) -> Result<R> {
    let bytes = read_body(req, limit).await?;
    serde_json::from_slice(&bytes).map_err(|e| invalid(e.to_string()))
}

/// Reads the body of `req`. Fails if it exceeds `limit` bytes or is not received within
/// [`ServerOptions::body_timeout`].
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Vec<u8>> {
    let too_large = || Error::new(ErrorCode::TooLarge, format!("body exceeds {limit} bytes"));
    let declared = req.len();
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let body_timeout = req.ext().get::<BodyTimeout>().copied();
    let mut bytes = Vec::new();
    let mut body = req.take_body().take(limit as u64 + 1);
    let read = body.read_to_end(&mut bytes);
    let read = match body_timeout {
        Some(BodyTimeout(duration)) => timeout(duration, read).await,
        None => Ok(read.await),
    };
    match read {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => return Err(invalid(format!("body: {e}"))),
        Err(_) => return Err(Error::new(ErrorCode::SlowRequest, "the request body timed out")),
    }
    if bytes.len() > limit {
        return Err(too_large());
    }
    if declared.is_some_and(|length| bytes.len() < length) {
        return Err(invalid("the body is shorter than its declared length"));
    }
    Ok(bytes)
}
