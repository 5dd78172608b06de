//! The `call` module sends one request like a caller, so that a deployment can be tested
//! without another HTTP client.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_transport::http;
use async_std::io::ReadExt;
use http_types::{Method, headers};

/// The timeout for receiving the head of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// The size of the buffer through which the body is printed, in bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// `CallOptions` describes one request of a caller.
#[derive(Debug)]
pub struct CallOptions {
    /// The address at which a host accepts callers' requests.
    pub to: SocketAddr,
    /// The caller's secret key, sent as a bearer token.
    pub key: String,
    /// The value of the `idempotency-key` header, if any.
    pub idempotency_key: Option<String>,
    /// The path and query of the request.
    pub path: String,
    /// The JSON body of a `POST` request; without one the request is a `GET`.
    pub body: Option<String>,
}

/// Sends the request and prints the body of the response as it is received.
pub async fn run(options: CallOptions) -> Result<()> {
    let method = if options.body.is_some() { Method::Post } else { Method::Get };
    let body = options.body.unwrap_or_default().into_bytes();
    let mut req = http::request(method, options.to, &options.path, body)?;
    req.insert_header(headers::AUTHORIZATION, format!("Bearer {}", options.key));
    if let Some(key) = options.idempotency_key {
        req.insert_header("idempotency-key", key);
    }
    let mut response = http::send(options.to, req, RESPONSE_TIMEOUT).await?;
    let status = response.status();
    let mut body = response.take_body();
    let mut buffer = vec![0_u8; BUFFER_BYTES];
    let mut out = std::io::stdout();
    loop {
        let read = body.read(&mut buffer).await;
        match read.map_err(|e| unavailable(format!("the response ended early: {e}")))? {
            0 => break,
            n => {
                let _ = out.write_all(&buffer[..n]).and_then(|()| out.flush());
            }
        }
    }
    let _ = writeln!(out);
    if status.is_success() {
        return Ok(());
    }
    // The printed body contains the details.
    Err(Error::new(ErrorCode::Forbidden, format!("the host responded with {status}")))
}
