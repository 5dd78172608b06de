//! The `http` module sends requests over HTTP/1.1 and reads JSON responses.
//!
//! Each error states whether the server may have run the request, because this decides
//! whether a call that is not idempotent may be retried; see `docs/PROMISES.md`.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The timeout for opening a connection within a deployment.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a connection to `addr`. If it fails, nothing was sent.
pub async fn connect(addr: SocketAddr) -> Result<TcpStream> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = match attempt {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(unavailable(addr, &e.to_string(), Execution::NotRun)),
        Err(_) => return Err(unavailable(addr, "connect timed out", Execution::NotRun)),
    };
    // Tokens are small and must be sent without delay.
    stream.set_nodelay(true).map_err(|e| unavailable(addr, &e.to_string(), Execution::NotRun))?;
    Ok(stream)
}

/// Sends `req` on a new connection and waits up to `limit` for the head of the
/// response. The body is left for the caller to read.
pub async fn send(addr: SocketAddr, req: Request, limit: Duration) -> Result<Response> {
    let stream = connect(addr).await?;
    send_on(stream, addr, req, limit).await
}

/// Sends `req` like [`send`], on `stream`, which must be unused.
pub async fn send_on(
    stream: TcpStream,
    addr: SocketAddr,
    req: Request,
    limit: Duration,
) -> Result<Response> {
    // Boxed, so that its large buffers do not become part of the futures of all callers.
    let exchange = Box::pin(async_h1::connect(stream, req));
    match timeout(limit, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(e)) => Err(unavailable(addr, &e.to_string(), Execution::Unknown)),
        Err(_) => Err(Error::new(ErrorCode::Timeout, format!("no response from {addr} in time"))
            .execution(Execution::Unknown)),
    }
}

/// Builds a request to `addr` with `body`, declared as JSON.
pub fn request(method: Method, addr: SocketAddr, path: &str, body: Vec<u8>) -> Result<Request> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|e| internal(e.to_string()))?;
    let mut req = Request::new(method, url);
    req.set_body(body);
    req.insert_header("content-type", "application/json");
    Ok(req)
}

/// Builds a `POST` request with `body` as JSON.
pub fn post(addr: SocketAddr, path: &str, body: &impl Serialize) -> Result<Request> {
    let bytes = serde_json::to_vec(body).map_err(|e| internal(e.to_string()))?;
    request(Method::Post, addr, path, bytes)
}

/// Sends `body` as JSON and reads a JSON response, all within `limit`.
///
/// A response with an error status is returned as the [`Error`] in its body, or as an
/// error with the status and the body if the body holds no [`Error`].
pub async fn post_json<R: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    body: &impl Serialize,
    limit: Duration,
) -> Result<R> {
    let req = post(addr, path, body)?;
    let exchange = async {
        let mut response = send(addr, req, limit).await?;
        read_json(&mut response, addr).await
    };
    timeout(limit, exchange).await.unwrap_or_else(|_| {
        Err(Error::new(ErrorCode::Timeout, format!("no complete response from {addr} in time"))
            .execution(Execution::Unknown))
    })
}

/// Reads the body of `response` as JSON. A response with an error status is returned
/// as an error, as in [`post_json`].
pub async fn read_json<R: DeserializeOwned>(
    response: &mut Response,
    addr: SocketAddr,
) -> Result<R> {
    let status = response.status();
    let bytes = response
        .body_bytes()
        .await
        .map_err(|e| unavailable(addr, &e.to_string(), Execution::Unknown))?;
    if status.is_success() {
        return serde_json::from_slice(&bytes)
            .map_err(|e| internal(format!("response from {addr}: {e}")).execution(Execution::Run));
    }
    Err(serde_json::from_slice::<Error>(&bytes).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(&bytes);
        internal(format!("{addr} responded with {status}: {text}")).execution(Execution::Unknown)
    }))
}

fn unavailable(addr: SocketAddr, reason: &str, execution: Execution) -> Error {
    Error::new(ErrorCode::Unavailable, format!("{addr}: {reason}")).execution(execution)
}
