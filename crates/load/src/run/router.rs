//! The `router` module sends a request through the router, as its callers do.

use std::net::SocketAddr;

use aspenloft_core::errors::{Result, internal};
use aspenloft_transport::http;
use async_sse::Event;
use futures::StreamExt;
use serde::Serialize;

use super::options::RunOptions;
use super::stats::TokenTimer;

/// The data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// `CompletionRequest` is the body of a streamed completion request.
#[derive(Debug, Serialize)]
struct CompletionRequest<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u64,
    stream: bool,
}

/// Runs one request on the host at `addr` until its answer is complete.
pub async fn complete(
    addr: SocketAddr,
    options: &RunOptions,
    prompt: &str,
    timer: &mut TokenTimer,
) -> Result<()> {
    let body = CompletionRequest {
        model: &options.model,
        prompt,
        max_tokens: options.max_tokens,
        stream: true,
    };
    let mut req = http::post(addr, "/v1/completions", &body)?;
    req.insert_header("authorization", format!("Bearer {}", options.key));
    let mut response = http::send(addr, req, options.timeout).await?;
    if !response.status().is_success() {
        let text = response.body_string().await.unwrap_or_default();
        return Err(internal(format!("status {}: {text}", response.status())));
    }
    let mut events = async_sse::decode(response.take_body());
    while let Some(event) = events.next().await {
        match event.map_err(|e| internal(e.to_string()))? {
            Event::Message(message) if message.data() == DONE => return Ok(()),
            // The chunk with the finish reason carries no token.
            Event::Message(_) if timer.token_count() == options.max_tokens => (),
            Event::Message(_) => timer.record_token(),
            Event::Retry(_) => (),
        }
    }
    Err(internal("the stream ended early"))
}
