//! The `front` module answers callers' requests.

use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, not_found};
use aspenloft_core::prelude::{RequestId, Tokens};
use aspenloft_table::row::{Caller, RowKind};
use aspenloft_table::table::Table;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::{Method, Request, Response};
use serde_json::json;

use super::answer::{Running, failure};
use super::openai::{CompletionRequest, Shape, chat_prompt};
use crate::node::Node;
use crate::path::model::ModelRequest;
use crate::path::service::{self, ServiceCall};

/// The largest body that a caller may send, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// The header that names the request in every answer.
const ID_HEADER: &str = "x-request-id";

/// The header that carries an idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// `CallerFront` serves callers.
pub struct CallerFront(pub Arc<Node>);

#[async_trait]
impl HttpHandler for CallerFront {
    async fn handle(&self, req: Request, connection: &Connection) -> Response {
        let id = self.0.next_request();
        let answered = self.answer(req, &id, connection).await;
        let mut response = answered.unwrap_or_else(|e| {
            log::info!(event = "refused", request = id.as_str(), code = e.code.to_string().as_str(); "");
            failure(&e)
        });
        response.insert_header(ID_HEADER, id.as_str());
        response
    }
}

impl CallerFront {
    async fn answer(
        &self,
        mut req: Request,
        id: &RequestId,
        connection: &Connection,
    ) -> Result<Response> {
        let table = self.0.view.table()?;
        let caller = authenticate(&table, &req)?.clone();
        let method = req.method();
        let path = req.url().path().to_string();
        let body = server::read_body(&mut req, MAX_BODY_BYTES).await?;
        match (method, path.as_str()) {
            (Method::Get, "/v1/models") => Ok(models(&table, &caller)),
            (Method::Post, "/v1/completions") => {
                self.complete(Shape::Completion, &table, &caller, &body, id, connection).await
            }
            (Method::Post, "/v1/chat/completions") => {
                self.complete(Shape::Chat, &table, &caller, &body, id, connection).await
            }
            _ => self.call_service(&table, &caller, &req, body, id).await,
        }
    }

    async fn complete(
        &self,
        shape: Shape,
        table: &Table,
        caller: &Caller,
        body: &[u8],
        id: &RequestId,
        connection: &Connection,
    ) -> Result<Response> {
        let asked: CompletionRequest =
            serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
        let row = table.model_row(&asked.model, caller);
        let row = row.ok_or_else(|| not_found(format!("no model {}", asked.model)))?;
        let prompt = match shape {
            Shape::Completion => asked.prompt.ok_or_else(|| invalid("prompt is missing"))?,
            Shape::Chat if asked.messages.is_empty() => return Err(invalid("messages is empty")),
            Shape::Chat => chat_prompt(&asked.messages),
        };
        let max_tokens = Tokens(asked.max_tokens.unwrap_or(16)).min(row.max_output_tokens);
        let req = ModelRequest {
            id: id.clone(),
            row: Arc::new(row.clone()),
            prompt: prompt.into(),
            max_tokens,
        };
        let mut running = Running::start(&self.0, shape, req);
        let first = {
            let first = running.next();
            let gone = connection.closed();
            pin_mut!(first, gone);
            match select(first, gone).await {
                Either::Left((first, _)) => first?,
                Either::Right(_) => return Err(gone_error()),
            }
        };
        if asked.stream {
            return Ok(running.streamed(first));
        }
        let whole = running.whole(first);
        let gone = connection.closed();
        pin_mut!(whole, gone);
        match select(whole, gone).await {
            Either::Left((whole, _)) => whole,
            Either::Right(_) => Err(gone_error()),
        }
    }

    async fn call_service(
        &self,
        table: &Table,
        caller: &Caller,
        req: &Request,
        body: Vec<u8>,
        id: &RequestId,
    ) -> Result<Response> {
        let path = req.url().path();
        let row = table.service_row(req.method().as_ref(), path, caller);
        let row = row.ok_or_else(|| not_found(format!("no row for {path}")))?;
        let query = req.url().query().map(|query| format!("?{query}")).unwrap_or_default();
        let call = ServiceCall {
            id: id.clone(),
            row: Arc::new(row.clone()),
            caller: caller.name.clone(),
            method: req.method(),
            path: format!("{path}{query}"),
            body,
            key: req.header(KEY_HEADER).map(|values| values.as_str().into()),
        };
        let answer = service::run(&self.0, &call).await?;
        let mut response = Response::new(answer.status);
        response.set_body(answer.body);
        if !answer.content_type.is_empty() {
            response.insert_header("content-type", answer.content_type);
        }
        Ok(response)
    }
}

/// Finds the caller by its bearer key.
fn authenticate<'a>(table: &'a Table, req: &Request) -> Result<&'a Caller> {
    let wrong = || Error::new(ErrorCode::Unauthorized, "the API key is missing or wrong");
    let header = req.header("authorization").ok_or_else(wrong)?;
    let key = header.as_str().strip_prefix("Bearer ").ok_or_else(wrong)?;
    table.caller_of_key(key.trim()).ok_or_else(wrong)
}

/// Lists the models that the caller may use.
fn models(table: &Table, caller: &Caller) -> Response {
    let rows = table.rows.iter().filter(|row| row.kind == RowKind::Model);
    let usable = rows.filter(|row| table.model_row(&row.serves, caller).is_some());
    let data: Vec<_> = usable.map(|row| json!({"id": &*row.serves, "object": "model"})).collect();
    server::json(&json!({"object": "list", "data": data}))
}

fn gone_error() -> Error {
    Error::new(ErrorCode::Cancelled, "the caller has gone")
}
