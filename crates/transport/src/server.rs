//! The `server` module accepts HTTP/1.1 connections and hands each request to a
//! handler, together with a way to notice that the client has gone.

use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

/// `HttpHandler` answers requests.
#[async_trait]
pub trait HttpHandler: Send + Sync {
    /// Answers one request that came in on `connection`.
    async fn handle(&self, req: Request, connection: &Connection) -> Response;
}

/// `Connection` is the connection on which a request came in.
#[derive(Debug, Clone)]
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Waits until the client has closed the connection.
    ///
    /// The request's body must have been read whole before, because unread bytes
    /// hide the end of the connection. Bytes of a pipelined request hide it too;
    /// the future then never ends.
    pub async fn closed(&self) {
        let mut byte = [0_u8; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => std::future::pending().await,
        }
    }
}

/// Accepts connections for ever.
pub async fn serve(listener: TcpListener, handler: Arc<dyn HttpHandler>) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await.map_err(|e| unavailable(e.to_string()))?;
        let handler = handler.clone();
        task::spawn(async move {
            if let Err(e) = serve_connection(stream, handler).await {
                log::debug!(event = "http_connection_ended", error = e.to_string().as_str(); "");
            }
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
) -> http_types::Result<()> {
    stream.set_nodelay(true)?;
    let connection = Connection { stream: stream.clone() };
    async_h1::accept(stream, |req| {
        let handler = handler.clone();
        let connection = connection.clone();
        async move { Ok(handler.handle(req, &connection).await) }
    })
    .await
}

/// Makes a JSON answer with status 200.
pub fn json(body: &impl Serialize) -> Response {
    json_with(StatusCode::Ok, body)
}

/// Makes a JSON answer with `status`.
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

/// Makes the answer for the outcome of a call between programs of one deployment.
pub fn outcome(result: Result<impl Serialize>) -> Response {
    match result {
        Ok(body) => json(&body),
        Err(e) => json_with(status_of(e.code), &e),
    }
}

/// Returns the HTTP status for an error's code.
pub fn status_of(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::Invalid | ErrorCode::Cancelled => StatusCode::BadRequest,
        ErrorCode::Unauthorized => StatusCode::Unauthorized,
        ErrorCode::Forbidden => StatusCode::Forbidden,
        ErrorCode::NotFound => StatusCode::NotFound,
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

/// Reads the whole body of `req` as JSON, refusing more than `limit` bytes.
pub async fn read_json<R: serde::de::DeserializeOwned>(
    req: &mut Request,
    limit: usize,
) -> Result<R> {
    let bytes = read_body(req, limit).await?;
    serde_json::from_slice(&bytes).map_err(|e| aspenloft_core::errors::invalid(e.to_string()))
}

/// Reads the whole body of `req`, refusing more than `limit` bytes.
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Vec<u8>> {
    use async_std::io::ReadExt;
    let mut bytes = Vec::new();
    let body = req.take_body();
    body.take(limit as u64 + 1)
        .read_to_end(&mut bytes)
        .await
        .map_err(|e| aspenloft_core::errors::invalid(format!("body: {e}")))?;
    if bytes.len() > limit {
        return Err(Error::new(ErrorCode::TooLarge, format!("body exceeds {limit} bytes")));
    }
    Ok(bytes)
}
