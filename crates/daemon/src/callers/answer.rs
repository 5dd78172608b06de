//! The `answer` module turns the events of a model request into the body of its
//! answer, whole or streamed.

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

use super::account::Account;
use super::openai::{Failure, Head, Usage};
use super::request::Shape;
use crate::node::Node;
use crate::path::model::{self, ModelEvent, ModelRequest};

/// Events that may wait for a slow caller before the engine's stream is slowed.
const EVENT_BUFFER: usize = 64;

/// `Running` is a model request in flight. Dropping it gives the request up.
pub struct Running {
    events: Receiver<ModelEvent>,
    outcome: Option<oneshot::Receiver<Result<()>>>,
    abort: AbortHandle,
    shape: Shape,
    created: u64,
    req: ModelRequest,
    account: Account,
    opened: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl Running {
    /// Starts a model request.
    pub fn start(node: &Arc<Node>, shape: Shape, req: ModelRequest, account: Account) -> Running {
        let (tx, events) = bounded(EVENT_BUFFER);
        let (outcome_tx, outcome) = oneshot::channel();
        let (node, job) = (node.clone(), req.clone());
        let created = unix_millis(node.clock.system_time()) / 1_000;
        let (work, abort) = abortable(async move {
            let ended = model::run(&node, &job, &tx).await;
            let _ = outcome_tx.send(ended);
            // The channel closes only now, when the outcome can be read.
            drop(tx);
        });
        task::spawn(work);
        let outcome = Some(outcome);
        Running { events, outcome, abort, shape, created, req, account, opened: false }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> Result<ModelEvent> {
        let event = match self.events.recv().await {
            Ok(event) => Ok(event),
            Err(_) => Err(self.failure().await),
        };
        match &event {
            Ok(ModelEvent::Tokens(tokens)) => self.account.tokens(tokens.len() as u64),
            Ok(ModelEvent::Finished(_)) => self.account.answered(),
            Err(e) => self.account.failed(e),
        }
        event
    }

    /// Returns why no more events come.
    async fn failure(&mut self) -> Error {
        let ended = match self.outcome.take() {
            Some(outcome) => outcome.await.unwrap_or(Ok(())),
            None => Ok(()),
        };
        let mut error = match ended {
            Err(e) => e,
            Ok(()) => internal("the request ended without an answer").execution(Execution::Unknown),
        };
        // A request that has given tokens was run, whatever ended it.
        if self.account.generated() > 0 {
            error.execution = Execution::Run;
        }
        error
    }

    fn head(&self) -> Head<'_> {
        let (id, model) = (self.req.id.as_str(), &*self.req.row.serves);
        Head { shape: self.shape, id, created: self.created, model }
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = estimate_tokens(self.req.prompt.len()).0;
        let completion_tokens = self.account.generated();
        Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }

    /// Reads the whole answer, of which `first` has come already.
    pub async fn whole(mut self, first: ModelEvent) -> Result<Response> {
        let mut text = String::new();
        let mut event = first;
        loop {
            match event {
                ModelEvent::Tokens(tokens) => text.extend(tokens.iter().map(|t| &*t.text)),
                ModelEvent::Finished(reason) => {
                    let head = self.head();
                    let choices = [head.whole(&text, reason)];
                    return Ok(server::json(&head.answer(&choices, self.usage())));
                }
            }
            event = self.next().await?;
        }
    }

    /// Streams the answer, of which `first` has come already. `usage` adds a chunk
    /// that tells the usage.
    pub fn streamed(self, first: ModelEvent, usage: bool) -> Response {
        let state = Streamed { running: self, first: Some(first), usage, ended: false };
        let parts = stream::try_unfold(state, |mut state| async move {
            let part = state.next_part().await;
            Ok::<_, std::io::Error>(part.map(|part| (part, state)))
        });
        let reader = Box::pin(parts).into_async_read();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        response
    }
}

/// `Streamed` is the state of a streamed answer.
struct Streamed {
    running: Running,
    first: Option<ModelEvent>,
    usage: bool,
    ended: bool,
}

impl Streamed {
    /// Makes the bytes of the next event; `None` after the last.
    async fn next_part(&mut self) -> Option<Vec<u8>> {
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
                let opens = !std::mem::replace(&mut self.running.opened, true);
                let head = self.running.head();
                for (i, token) in tokens.iter().enumerate() {
                    let choices = [head.part(&token.text, opens && i == 0)];
                    data(&mut buf, &head.chunk(&choices, None));
                }
            }
            Ok(ModelEvent::Finished(reason)) => {
                self.ended = true;
                let head = self.running.head();
                data(&mut buf, &head.chunk(&[head.end(reason)], None));
                if self.usage {
                    data(&mut buf, &head.chunk(&[], Some(self.running.usage())));
                }
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            // No `[DONE]` follows, so that no caller takes the text for whole.
            Err(e) => {
                self.ended = true;
                data(&mut buf, &Failure::from(&e));
            }
        }
        Some(buf)
    }
}

/// Appends one server-sent event.
fn data(buf: &mut Vec<u8>, body: &impl Serialize) {
    buf.extend_from_slice(b"data: ");
    if serde_json::to_writer(&mut *buf, body).is_err() {
        buf.extend_from_slice(b"{}");
    }
    buf.extend_from_slice(b"\n\n");
}

/// Makes the answer that reports a failure.
pub fn failure(e: &Error) -> Response {
    let mut response = server::json_with(server::status_of(e.code), &Failure::from(e));
    if let Some(after) = e.retry_after {
        let seconds = after.as_secs_f64().ceil().max(1.0);
        response.insert_header("retry-after", format!("{seconds:.0}"));
    }
    if e.code == ErrorCode::Unauthorized {
        response.insert_header("www-authenticate", "Bearer");
    }
    response
}
