//! The `answer` module turns the events of a model request into its HTTP response, as
//! one body or as a stream of server-sent events.

use std::sync::Arc;

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use aspenloft_core::units::estimate_tokens;
use aspenloft_transport::server;
use async_std::channel::{Receiver, bounded};
use async_std::task;
use futures::channel::oneshot;
use futures::future::{AbortHandle, abortable};
use futures::stream::{self, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;

use super::account::RequestRecord;
use super::openai::{CompletionMeta, ErrorResponse, Usage};
use super::request::CompletionKind;
use crate::node::Node;
use crate::path::model::{self, ModelEvent, ModelRequest};

/// Events that are buffered for a slow caller before back-pressure reaches the engine.
const EVENT_BUFFER: usize = 64;

/// `RunningRequest` is a model request in flight. Dropping it cancels the request.
pub struct RunningRequest {
    events: Receiver<ModelEvent>,
    outcome: Option<oneshot::Receiver<Result<()>>>,
    abort: AbortHandle,
    kind: CompletionKind,
    created: u64,
    req: ModelRequest,
    record: RequestRecord,
    first_sent: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl RunningRequest {
    /// Starts a model request in a new task.
    pub fn start(
        node: &Arc<Node>,
        kind: CompletionKind,
        req: ModelRequest,
        record: RequestRecord,
    ) -> RunningRequest {
        let (tx, events) = bounded(EVENT_BUFFER);
        let (outcome_tx, outcome) = oneshot::channel();
        let (node, job) = (node.clone(), req.clone());
        let created = unix_millis(node.clock.system_time()) / 1_000;
        let (work, abort) = abortable(async move {
            let outcome = model::run(&node, &job, &tx).await;
            let _ = outcome_tx.send(outcome);
            // The channel is closed only after the outcome was sent, because the receiver
            // reads the outcome as soon as it finds the channel closed.
            drop(tx);
        });
        task::spawn(work);
        let outcome = Some(outcome);
        RunningRequest { events, outcome, abort, kind, created, req, record, first_sent: false }
    }

    /// Waits for the next event and records it.
    pub async fn next(&mut self) -> Result<ModelEvent> {
        let event = match self.events.recv().await {
            Ok(event) => Ok(event),
            Err(_) => Err(self.failure_cause().await),
        };
        match &event {
            Ok(ModelEvent::Tokens(tokens)) => self.record.add_tokens(tokens.len() as u64),
            Ok(ModelEvent::Finished(_)) => self.record.set_answered(),
            Err(e) => self.record.set_failed(e),
        }
        event
    }

    /// Returns the error that ended the events.
    async fn failure_cause(&mut self) -> Error {
        let outcome = match self.outcome.take() {
            Some(outcome) => outcome.await.unwrap_or(Ok(())),
            None => Ok(()),
        };
        let mut error = match outcome {
            Err(e) => e,
            Ok(()) => internal("the request ended without a complete answer")
                .execution(Execution::Unknown),
        };
        // A request that has produced tokens was run, regardless of the error.
        if self.record.generated_tokens() > 0 {
            error.execution = Execution::Run;
        }
        error
    }

    fn meta(&self) -> CompletionMeta<'_> {
        let (id, model) = (self.req.id.as_str(), &*self.req.row.serves);
        CompletionMeta { kind: self.kind, id, created: self.created, model }
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = estimate_tokens(self.req.prompt.len()).0;
        let completion_tokens = self.record.generated_tokens();
        Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }

    /// Reads the complete answer, whose first event is `first`, into one response.
    pub async fn collect(mut self, first: ModelEvent) -> Result<Response> {
        let mut text = String::new();
        let mut event = first;
        loop {
            match event {
                ModelEvent::Tokens(tokens) => text.extend(tokens.iter().map(|t| &*t.text)),
                ModelEvent::Finished(reason) => {
                    let meta = self.meta();
                    let choices = [meta.complete_choice(&text, reason)];
                    return Ok(server::json(&meta.complete(&choices, self.usage())));
                }
            }
            event = self.next().await?;
        }
    }

    /// Streams the answer, whose first event is `first`. `usage` adds a last chunk with
    /// the token usage.
    pub fn into_stream(self, first: ModelEvent, usage: bool) -> Response {
        let state = StreamState { running: self, first: Some(first), usage, ended: false };
        let chunks = stream::try_unfold(state, |mut state| async move {
            let chunk = state.next_chunk().await;
            Ok::<_, std::io::Error>(chunk.map(|chunk| (chunk, state)))
        });
        let reader = Box::pin(chunks).into_async_read();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        response
    }
}

/// `StreamState` is the state of a streamed answer.
struct StreamState {
    running: RunningRequest,
    first: Option<ModelEvent>,
    usage: bool,
    ended: bool,
}

impl StreamState {
    /// Returns the encoded chunks of the next event, or `None` after the last.
    async fn next_chunk(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        let event = match self.first.take() {
            Some(event) => Ok(event),
            None => self.running.next().await,
        };
        let mut buf = Vec::new();
        match event {
            Ok(ModelEvent::Tokens(tokens)) => {
                let is_first = !std::mem::replace(&mut self.running.first_sent, true);
                let meta = self.running.meta();
                for (i, token) in tokens.iter().enumerate() {
                    let choices = [meta.stream_choice(&token.text, is_first && i == 0)];
                    write_event(&mut buf, &meta.chunk(&choices, None));
                }
            }
            Ok(ModelEvent::Finished(reason)) => {
                self.ended = true;
                let meta = self.running.meta();
                write_event(&mut buf, &meta.chunk(&[meta.end_choice(reason)], None));
                if self.usage {
                    write_event(&mut buf, &meta.chunk(&[], Some(self.running.usage())));
                }
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            // No `[DONE]` follows, so that the caller does not take the text for complete.
            Err(e) => {
                self.ended = true;
                write_event(&mut buf, &ErrorResponse::from(&e));
            }
        }
        Some(buf)
    }
}

/// Appends one server-sent event.
fn write_event(buf: &mut Vec<u8>, body: &impl Serialize) {
    buf.extend_from_slice(b"data: ");
    if serde_json::to_writer(&mut *buf, body).is_err() {
        buf.extend_from_slice(b"{}");
    }
    buf.extend_from_slice(b"\n\n");
}

/// Creates the response that reports an error.
pub fn error_response(e: &Error) -> Response {
    let mut response = server::json_with(server::status_of(e.code), &ErrorResponse::from(e));
    if let Some(after) = e.retry_after {
        let seconds = after.as_secs_f64().ceil().max(1.0);
        response.insert_header("retry-after", format!("{seconds:.0}"));
    }
    if e.code == ErrorCode::Unauthorized {
        response.insert_header("www-authenticate", "Bearer");
    }
    response
}
