//! The `handler` module serves the engine's protocol over HTTP.

use std::sync::Arc;

use aspenloft_core::errors::{Result, invalid, not_found, unavailable};
use aspenloft_protocol::engine::{Ack, CancelCommand, DecodeCommand, paths};
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_std::task;
use async_trait::async_trait;
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::{Body, Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use super::standin::EngineStandin;
use crate::admin;

/// Maximum size of a command in bytes.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;

/// Path at which a request crashes the engine.
const CRASH_PATH: &str = "/standin/crash";

/// `EngineHandler` serves the engine's protocol over HTTP. While the engine is down, it
/// aborts each connection on which a request of the protocol arrives.
#[derive(Debug)]
pub struct EngineHandler(pub Arc<EngineStandin>);

#[async_trait]
impl HttpHandler for EngineHandler {
    async fn handle(&self, mut req: Request, connection: &Connection) -> Response {
        let path = req.url().path().to_string();
        match path.as_str() {
            admin::FAULTS_PATH => return admin::serve_faults(&mut req, &self.0.faults).await,
            admin::RECORDS_PATH => return server::json(&self.0.records()),
            CRASH_PATH => {
                self.0.crash();
                return server::json(&Ack {});
            }
            _ => (),
        }
        let Some(crash_signal) = self.0.crash_signal() else {
            return abort_connection(connection);
        };
        let answer = self.answer(req, &path, connection);
        let crash = crash_signal.recv();
        pin_mut!(answer, crash);
        match select(answer, crash).await {
            Either::Left((Some(response), _)) => response,
            _ => abort_connection(connection),
        }
    }
}

impl EngineHandler {
    /// Executes a command. Returns `None` if the request must not be answered and the
    /// connection must be aborted.
    async fn answer(
        &self,
        mut req: Request,
        path: &str,
        connection: &Connection,
    ) -> Option<Response> {
        self.0.wait_while_frozen().await;
        let body = server::read_body(&mut req, MAX_COMMAND_BYTES).await;
        let served = match body {
            Ok(body) => self.serve(path, &body, connection).await,
            Err(e) => Err(e),
        };
        served.unwrap_or_else(|e| Some(server::json_result(Err::<(), _>(e))))
    }

    async fn serve(
        &self,
        path: &str,
        body: &[u8],
        connection: &Connection,
    ) -> Result<Option<Response>> {
        let engine = &self.0;
        Ok(Some(match path {
            paths::PREFILL => server::json(&engine.prefill(parse(body)?).await?),
            paths::DECODE => self.decode(parse(body)?, connection).await?,
            paths::EXPORT => server::json(&engine.export(&parse(body)?).await?),
            paths::CANCEL => {
                let command: CancelCommand = parse(body)?;
                if !engine.cancel(&command.request) {
                    return Ok(None);
                }
                server::json(&Ack {})
            }
            paths::EXTEND => {
                engine.extend(&parse(body)?);
                server::json(&Ack {})
            }
            paths::HOLDS => server::json(&engine.holds()),
            paths::LOAD => server::json(&engine.load()),
            paths::EVENTS => server::json(&engine.events(parse(body)?)),
            paths::SNAPSHOT => server::json(&engine.snapshot()),
            paths::ORDER => {
                engine.order(parse(body)?).await?;
                server::json(&Ack {})
            }
            _ => return Err(not_found("no such path")),
        }))
    }

    /// Fetches the KV cache, then streams tokens until the end, a cancellation or a crash.
    async fn decode(&self, command: DecodeCommand, connection: &Connection) -> Result<Response> {
        let prompt = self.0.import(&command).await?;
        let crash_signal =
            self.0.crash_signal().ok_or_else(|| unavailable("the engine is down"))?;
        let (sender, encoder) = async_sse::encode();
        let (engine, connection) = (self.0.clone(), connection.clone());
        task::spawn(async move {
            let generate = engine.generate(&command, &prompt, &sender);
            let crash = crash_signal.recv();
            pin_mut!(generate, crash);
            match select(generate, crash).await {
                // The stream has ended, or a send failed because the reader disconnected:
                // either frees the slot. A crash within `generate` falls through.
                Either::Left((_, _)) if !crash_signal.is_closed() => {
                    engine.release(&command.request);
                }
                _ => connection.abort(),
            }
        });
        let reader = async_std::io::BufReader::new(encoder);
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("content-type", "text/event-stream");
        response.set_body(Body::from_reader(reader, None));
        Ok(response)
    }
}

/// Aborts the connection. The returned response is never sent.
fn abort_connection(connection: &Connection) -> Response {
    connection.abort();
    Response::new(StatusCode::ServiceUnavailable)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))
}
