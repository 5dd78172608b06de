//! The `json` module is a JSON client with persistent connections for the platform's
//! own services.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_transport::socket::{self, KeepaliveOptions};
use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum size of a response in bytes: one page of base64-encoded items, which holds
/// about 1 MB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// The maximum number of idle connections. A watch and a lease renewal often run at the
/// same time.
const MAX_IDLE: usize = 3;

/// `JsonResponse` is a response whose body has been read.
#[derive(Debug)]
pub struct JsonResponse {
    /// The HTTP status code.
    pub status: u16,
    headers: HeaderMap,
    body: Bytes,
}

impl JsonResponse {
    /// Returns the value of the header `name`, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
    }

    /// Deserializes the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|e| invalid(format!("cannot decode the response: {e}")))
    }
}

/// `JsonClient` sends requests to one service.
#[derive(Debug)]
pub struct JsonClient {
    addr: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl JsonClient {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr) -> JsonClient {
        JsonClient { addr, idle: Mutex::default() }
    }

    /// Sends a request and reads the response within `limit`. The error states whether
    /// the service may have executed the request.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
        limit: Duration,
    ) -> Result<JsonResponse> {
        let req = self.request(method, path, body)?;
        let result = timeout(limit, self.send(req)).await;
        result.unwrap_or_else(|_| {
            let message = format!("{} did not respond to {path} in time", self.addr);
            Err(Error::new(ErrorCode::Timeout, message).execution(Execution::Unknown))
        })
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<JsonResponse> {
        let idle = self.take_idle();
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.open().await?,
        };
        let sent = match sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut failed) => match failed.take_message() {
                // The idle connection was closed before anything was written.
                Some(req) => {
                    sender = self.open().await?;
                    sender.send_request(req).await
                }
                None => Err(failed.into_error()),
            },
        };
        let call_failed = |e: &dyn std::fmt::Display| {
            unavailable(format!("{}: {e}", self.addr)).execution(Execution::Unknown)
        };
        let response = sent.map_err(|e| call_failed(&e))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| match e.is::<LengthLimitError>() {
            true => {
                let message =
                    format!("the response of {} exceeds {MAX_RESPONSE_BYTES} bytes", self.addr);
                Error::new(ErrorCode::TooLarge, message).execution(Execution::Unknown)
            }
            false => call_failed(&e),
        });
        let body = body?.to_bytes();
        self.put_back(sender);
        Ok(JsonResponse { status: head.status.as_u16(), headers: head.headers, body })
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>> {
        let connect_failed = |e: &dyn std::fmt::Display| {
            unavailable(format!("{}: {e}", self.addr)).execution(Execution::NotRun)
        };
        let silence = KeepaliveOptions::default();
        let stream = socket::connect(self.addr, CONNECT_TIMEOUT, &silence).await;
        let stream = stream.map_err(|e| connect_failed(&e))?;
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| connect_failed(&e))?;
        task::spawn(async move {
            // Requests on the connection report its failure.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put_back(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock();
        if !sender.is_closed() && idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> Result<Request<Full<Bytes>>> {
        let has_body = body.is_some();
        let data = body.map(|json| Bytes::from(json.to_string())).unwrap_or_default();
        let mut req = Request::new(Full::new(data));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().map_err(|e| invalid(format!("path {path}: {e}")))?;
        let host = HeaderValue::from_str(&self.addr.to_string());
        let host = host.map_err(|e| invalid(format!("host {}: {e}", self.addr)))?;
        req.headers_mut().insert(HOST, host);
        if has_body {
            req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        Ok(req)
    }
}
