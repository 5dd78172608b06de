//! The `exchange` module makes one HTTP exchange with a server of a plain service, on
//! a new connection.

use std::str::FromStr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::Backend;
use aspenloft_ledger::record::Answer;
use aspenloft_protocol::peer::ledger::LedgerCall;
use aspenloft_transport::http;
use async_std::future::timeout;
use async_std::io::ReadExt;
use http_types::{Method, Response};

/// The longest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: u64 = 2 * 1024 * 1024;

/// `Exchange` is the request of one HTTP exchange.
#[derive(Debug, Clone, Copy)]
pub struct Exchange<'a> {
    /// The method, as the caller sent it.
    pub method: Method,
    /// The path with the query.
    pub path: &'a str,
    /// The media type of the body; empty for none.
    pub content_type: &'a str,
    /// The body of the request.
    pub body: &'a [u8],
    /// The idempotency key of the call, if it has one.
    pub key: Option<&'a str>,
    /// The longest wait for the complete answer.
    pub timeout: Duration,
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of a call that may not be repeated.
    pub fn of_call(call: &'a LedgerCall, timeout: Duration) -> Result<Exchange<'a>> {
        let method = Method::from_str(&call.method).map_err(|e| invalid(e.to_string()))?;
        Ok(Exchange {
            method,
            path: &call.path,
            content_type: &call.content_type,
            body: &call.body,
            key: Some(&call.key),
            timeout,
        })
    }

    /// Sends the request to `backend` and reads the complete answer. Only an error with
    /// [`Execution::NotRun`] means that nothing was sent.
    pub async fn run(&self, backend: &Backend) -> Result<Answer> {
        let mut req = http::request(self.method, backend.addr, self.path, self.body.to_vec())?;
        if self.content_type.is_empty() {
            req.remove_header("content-type");
        } else {
            req.insert_header("content-type", self.content_type);
        }
        if let Some(key) = self.key {
            req.insert_header("idempotency-key", key);
        }
        let whole = async {
            let response = http::send(backend.addr, req, self.timeout).await?;
            read_answer(http::with_whole_body(response, backend.addr)?).await
        };
        timeout(self.timeout, whole).await.unwrap_or_else(|_| {
            Err(Error::new(ErrorCode::Timeout, "no complete answer in time")
                .execution(Execution::Unknown))
        })
    }
}

async fn read_answer(mut response: Response) -> Result<Answer> {
    let content_type = response.content_type().map(|m| m.to_string()).unwrap_or_default();
    let status = response.status().into();
    let mut body = Vec::new();
    let reader = response.take_body().take(MAX_ANSWER_BYTES + 1);
    let read = { reader }.read_to_end(&mut body).await;
    read.map_err(|e| {
        Error::new(ErrorCode::Unavailable, e.to_string()).execution(Execution::Unknown)
    })?;
    if body.len() as u64 > MAX_ANSWER_BYTES {
        let message = format!("the answer exceeds {MAX_ANSWER_BYTES} bytes");
        return Err(Error::new(ErrorCode::TooLarge, message).execution(Execution::Run));
    }
    Ok(Answer { status, content_type, body })
}
