//! The `message` module defines how hosts pass a request and its response on.

use std::time::Duration;

use aspenloft_core::errors::{Error, Result, invalid};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, request};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::request::InboundRequest;

/// Header lines as they are sent between hosts.
pub type HeaderLines = Vec<(String, Bytes)>;

/// `ForwardRequest` is a caller's request that another host is to serve.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The method.
    pub method: String,
    /// The request's target.
    pub target: String,
    /// The headers as the caller sent them.
    pub headers: HeaderLines,
    /// The whole body.
    pub body: Bytes,
    /// The version of the sender's configuration. A host with an older one must not serve the
    /// request.
    pub configuration: u64,
    /// How long ago the request arrived.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The time until the response must be complete.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether the sender has counted the request for its share of the retry budgets.
    pub is_counted: bool,
    /// How many servers may have run the request already.
    pub runs: u32,
}

/// `ForwardReply` is a part of the response to a forwarded request. Its end is explicit, so
/// that a response that breaks off on the way does not look complete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The status, the headers and, if it is known, the length of the body.
    Head(u16, HeaderLines, Option<u64>),
    /// A part of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body cannot be completed.
    Broken,
    /// There is no response of a server.
    Failed(Error),
}

impl ForwardRequest {
    /// Creates the message for `inbound`, which has `remaining` left and arrived `age` ago.
    pub fn new(inbound: &InboundRequest, age: Duration, remaining: Duration) -> ForwardRequest {
        ForwardRequest {
            method: inbound.head.method.to_string(),
            target: inbound.head.uri.to_string(),
            headers: header_lines(&inbound.head.headers),
            body: inbound.body.clone(),
            configuration: 0,
            age,
            remaining,
            is_counted: false,
            runs: inbound.progress.runs(),
        }
    }

    /// Returns the head of the request as the caller sent it.
    pub fn head(&self) -> Result<request::Parts> {
        let mut req = Request::new(());
        *req.method_mut() = Method::from_bytes(self.method.as_bytes())
            .map_err(|e| invalid(format!("method {}: {e}", self.method)))?;
        *req.uri_mut() =
            self.target.parse().map_err(|e| invalid(format!("target {}: {e}", self.target)))?;
        *req.headers_mut() = header_map(&self.headers)?;
        Ok(req.into_parts().0)
    }
}

/// Returns the lines of `headers`, in their order for each name.
pub fn header_lines(headers: &HeaderMap) -> HeaderLines {
    let lines = headers.iter();
    lines
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Parses header lines.
pub fn header_map(lines: &HeaderLines) -> Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for (name, value) in lines {
        let parsed = HeaderName::from_bytes(name.as_bytes());
        let name = parsed.map_err(|e| invalid(format!("header {name}: {e}")))?;
        let parsed = HeaderValue::from_bytes(value);
        let value = parsed.map_err(|e| invalid(format!("the value of header {name}: {e}")))?;
        headers.append(name, value);
    }
    Ok(headers)
}
