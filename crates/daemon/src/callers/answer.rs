//! The `answer` module turns the events of a model request into the body of its
//! answer, whole or streamed.

use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use aspenloft_core::units::estimate_tokens;
use aspenloft_transport::server;
use async_std::channel::{Receiver, bounded};
use async_std::task;
use futures::future::{AbortHandle, abortable};
use futures::stream::{self, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;

use super::openai::{Failure, Shape, Usage};
use crate::levels::meter::Meter;
use crate::limits::service::Admitted;
use crate::node::Node;
use crate::path::model::{self, ModelEvent, ModelRequest};

/// Events that may wait for a slow caller before the engine's stream is slowed.
const EVENT_BUFFER: usize = 64;

/// `Running` is a model request in flight. Dropping it gives the request up.
pub struct Running {
    events: Receiver<Result<ModelEvent>>,
    abort: AbortHandle,
    shape: Shape,
    req: ModelRequest,
    generated: u64,
    meter: Meter,
    /// Holds the request's place under the limits until its end.
    _admitted: Admitted,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl Running {
    /// Starts a model request that its limits have admitted.
    pub fn start(
        node: &Arc<Node>,
        shape: Shape,
        req: ModelRequest,
        meter: Meter,
        admitted: Admitted,
    ) -> Running {
        let (tx, events) = bounded(EVENT_BUFFER);
        let (node, job) = (node.clone(), req.clone());
        let (work, abort) = abortable(async move {
            let (event_tx, event_rx) = bounded(EVENT_BUFFER);
            let pump = async {
                while let Ok(event) = event_rx.recv().await {
                    if tx.send(Ok(event)).await.is_err() {
                        return;
                    }
                }
            };
            let run = async {
                let outcome = model::run(&node, &job, &event_tx).await;
                drop(event_tx);
                outcome
            };
            let (outcome, ()) = futures::join!(run, pump);
            if let Err(e) = outcome {
                let _ = tx.send(Err(e)).await;
            }
        });
        task::spawn(work);
        Running { events, abort, shape, req, generated: 0, meter, _admitted: admitted }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> Result<ModelEvent> {
        let event = self.events.recv().await.unwrap_or_else(|_| Err(ended_early()));
        match &event {
            Ok(ModelEvent::Tokens(tokens)) => {
                self.generated += tokens.len() as u64;
                self.meter.tokens(tokens.len());
            }
            Ok(ModelEvent::Finished(_)) => self.meter.finished(),
            Err(e) => self.meter.ended(e),
        }
        event
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = estimate_tokens(self.req.prompt.len()).0;
        let completion_tokens = self.generated;
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
                    let (id, model) = (self.req.id.as_str(), &*self.req.row.serves);
                    let usage = self.usage();
                    let whole = self.shape.whole(id, model, &text, reason, usage);
                    return Ok(server::json(&whole));
                }
            }
            event = self.next().await?;
        }
    }

    /// Streams the answer, of which `first` has come already.
    pub fn streamed(self, first: ModelEvent) -> Response {
        let parts = stream::try_unfold((self, Some(first)), |(mut running, first)| async move {
            let event = match first {
                Some(event) => Ok(event),
                None if running.events.is_closed() && running.events.is_empty() => return Ok(None),
                None => running.next().await,
            };
            let (part, last) = running.part(event);
            if last {
                running.events.close();
            }
            Ok::<_, std::io::Error>(Some((part, (running, None))))
        });
        let reader = Box::pin(parts).into_async_read();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        response
    }

    /// Makes the bytes of one event; tells whether they are the last.
    fn part(&self, event: Result<ModelEvent>) -> (Vec<u8>, bool) {
        let (id, model) = (self.req.id.as_str(), &*self.req.row.serves);
        let mut buf = Vec::new();
        match event {
            Ok(ModelEvent::Tokens(tokens)) => {
                for token in &tokens {
                    data(&mut buf, &self.shape.chunk(id, model, &token.text, None, None));
                }
                (buf, false)
            }
            Ok(ModelEvent::Finished(reason)) => {
                let usage = Some(self.usage());
                data(&mut buf, &self.shape.chunk(id, model, "", Some(reason), usage));
                buf.extend_from_slice(b"data: [DONE]\n\n");
                (buf, true)
            }
            Err(e) => {
                data(&mut buf, &Failure::from(&e));
                (buf, true)
            }
        }
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

fn ended_early() -> Error {
    internal("the request ended without an answer").execution(Execution::Unknown)
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
