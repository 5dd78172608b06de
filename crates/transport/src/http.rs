//! The `http` module sends requests over HTTP/1.1 and reads JSON answers.
//!
//! Each error says whether the far side can have acted, because the rule for
//! calls that may not be repeated depends on it; see `docs/PROMISES.md`.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest wait for a new connection within a deployment.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a connection to `addr`. A failure means that nothing was sent.
pub async fn connect(addr: SocketAddr) -> Result<TcpStream> {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = match attempt {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(unavailable(addr, &e.to_string(), Execution::NotRun)),
        Err(_) => return Err(unavailable(addr, "connect timed out", Execution::NotRun)),
    };
    // Tokens are small and each is due at once.
    stream.set_nodelay(true).map_err(|e| unavailable(addr, &e.to_string(), Execution::NotRun))?;
    Ok(stream)
}

/// Sends `req` on a fresh connection and waits up to `limit` for the head of the
/// answer. The body of the answer is read by the caller.
pub async fn send(addr: SocketAddr, req: Request, limit: Duration) -> Result<Response> {
    let stream = connect(addr).await?;
    send_on(stream, addr, req, limit).await
}

/// Sends `req` on `stream`, which must be fresh, as [`send`] does.
pub async fn send_on(
    stream: TcpStream,
    addr: SocketAddr,
    req: Request,
    limit: Duration,
) -> Result<Response> {
    // The exchange holds large buffers; on the heap they are not copied into the
    // futures of all its callers.
    let exchange = Box::pin(async_h1::connect(stream, req));
    match timeout(limit, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(e)) => Err(unavailable(addr, &e.to_string(), Execution::Unknown)),
        Err(_) => Err(Error::new(ErrorCode::Timeout, format!("no answer from {addr} in time"))
            .execution(Execution::Unknown)),
    }
}

/// Builds a request to `addr` with the bytes of `body`.
pub fn request(method: Method, addr: SocketAddr, path: &str, body: Vec<u8>) -> Result<Request> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|e| internal(e.to_string()))?;
    let mut req = Request::new(method, url);
    req.set_body(body);
    req.insert_header("content-type", "application/json");
    Ok(req)
}

/// Builds a `POST` of `body` as JSON.
pub fn post(addr: SocketAddr, path: &str, body: &impl Serialize) -> Result<Request> {
    let bytes = serde_json::to_vec(body).map_err(|e| internal(e.to_string()))?;
    request(Method::Post, addr, path, bytes)
}

/// Sends `body` as JSON and reads a JSON answer, all within `limit`.
///
/// An answer with a failure status becomes the [`Error`] that its body holds, or
/// one made from the status where the body is something else.
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
        Err(Error::new(ErrorCode::Timeout, format!("no whole answer from {addr} in time"))
            .execution(Execution::Unknown))
    })
}

/// Reads the body of `response` as JSON, or as the error that it reports.
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
            .map_err(|e| internal(format!("answer from {addr}: {e}")).execution(Execution::Run));
    }
    Err(serde_json::from_slice::<Error>(&bytes).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(&bytes);
        internal(format!("{addr} answered {status}: {text}")).execution(Execution::Unknown)
    }))
}

fn unavailable(addr: SocketAddr, why: &str, execution: Execution) -> Error {
    Error::new(ErrorCode::Unavailable, format!("{addr}: {why}")).execution(execution)
}
