//! The `http` module sends requests over HTTP/1.1 and reads JSON responses.
//!
//! Each error states whether the server may have run the request, because this decides
//! whether a call that is not idempotent may be retried; see `docs/PROMISES.md`.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use async_std::future::timeout;
use async_std::io::{BufRead, Read};
use async_std::net::TcpStream;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
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

/// Returns the response of `addr` with a body that fails if it ends before its length, for bodies
/// that are passed on as they are. `async-h1` takes the end of the connection for that of the
/// body, and a body without a length and chunks for an empty one, which fails here.
pub fn with_whole_body(mut response: Response, addr: SocketAddr) -> Result<Response> {
    let is_framed =
        [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|h| response.header(h).is_some());
    let has_no_body = matches!(response.status(), StatusCode::NoContent | StatusCode::NotModified);
    if !is_framed && !has_no_body {
        let reason = "the response has neither a length nor chunks";
        return Err(unavailable(addr, reason, Execution::Unknown));
    }
    if let Some(length) = response.len().filter(|length| *length > 0) {
        let (mime, body) = (response.content_type(), response.take_body());
        let remaining = u64::try_from(length).unwrap_or(u64::MAX);
        response.set_body(Body::from_reader(SizedBody { body, remaining }, Some(length)));
        if let Some(mime) = mime {
            response.set_content_type(mime);
        }
    }
    Ok(response)
}

/// A body of which a known number of bytes is still to come.
#[derive(Debug)]
struct SizedBody {
    body: Body,
    remaining: u64,
}

impl Read for SizedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.body).poll_read(cx, buf))?;
        if read == 0 && self.remaining > 0 && !buf.is_empty() {
            return Poll::Ready(Err(ended_early(self.remaining)));
        }
        self.remaining = self.remaining.saturating_sub(u64::try_from(read).unwrap_or(u64::MAX));
        Poll::Ready(Ok(read))
    }
}

impl BufRead for SizedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<&[u8]>> {
        let SizedBody { body, remaining } = self.get_mut();
        let data = ready!(Pin::new(body).poll_fill_buf(cx))?;
        if data.is_empty() && *remaining > 0 {
            return Poll::Ready(Err(ended_early(*remaining)));
        }
        Poll::Ready(Ok(data))
    }

    fn consume(mut self: Pin<&mut Self>, read: usize) {
        Pin::new(&mut self.body).consume(read);
        self.remaining = self.remaining.saturating_sub(u64::try_from(read).unwrap_or(u64::MAX));
    }
}

fn ended_early(remaining: u64) -> std::io::Error {
    std::io::Error::new(ErrorKind::UnexpectedEof, format!("the body ends {remaining} bytes early"))
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
