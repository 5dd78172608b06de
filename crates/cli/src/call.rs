//! The `call` module sends one request as a caller does, so that a deployment can
//! be tried where no other HTTP client is at hand.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_transport::http;
use async_std::io::ReadExt;
use http_types::{Method, headers};

/// The longest wait for the head of the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes of the answer that are printed at once.
const PART_BYTES: usize = 4 * 1024;

/// `CallOptions` is one request of a caller.
#[derive(Debug)]
pub struct CallOptions {
    /// Where a host takes callers' requests.
    pub to: SocketAddr,
    /// The caller's key.
    pub key: String,
    /// The idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// The path.
    pub path: String,
    /// The body; without one the request is a `GET`.
    pub body: Option<String>,
}

/// Sends the request and prints the answer's body as it comes.
pub async fn run(options: CallOptions) -> Result<()> {
    let method = if options.body.is_some() { Method::Post } else { Method::Get };
    let body = options.body.unwrap_or_default().into_bytes();
    let mut req = http::request(method, options.to, &options.path, body)?;
    req.insert_header(headers::AUTHORIZATION, format!("Bearer {}", options.key));
    if let Some(key) = options.idempotency_key {
        req.insert_header("idempotency-key", key);
    }
    let mut response = http::send(options.to, req, ANSWER_TIMEOUT).await?;
    let status = response.status();
    let mut body = response.take_body();
    let mut part = vec![0_u8; PART_BYTES];
    let mut out = std::io::stdout();
    loop {
        let read = body.read(&mut part).await;
        match read.map_err(|e| unavailable(format!("the answer broke off: {e}")))? {
            0 => break,
            n => {
                let _ = out.write_all(&part[..n]).and_then(|()| out.flush());
            }
        }
    }
    let _ = writeln!(out);
    if status.is_success() {
        return Ok(());
    }
    // The body, which has just been printed, says the rest.
    Err(Error::new(ErrorCode::Forbidden, format!("the host answered {status}")))
}
