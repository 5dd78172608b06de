//! The `front` module answers callers' requests.

use std::future::Future;
use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, not_found};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::RequestId;
use aspenloft_core::standing::Fingerprint;
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::table::Table;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::{Request, Response, headers};
use serde_json::{Value, json};

use super::account::Account;
use super::answer::{Running, failure};
use super::request::{CompletionRequest, Shape, Streaming};
use super::routes::{self, Route};
use crate::limits::service as limits;
use crate::node::Node;
use crate::path::model::ModelRequest;
use crate::path::service::{self, ServiceCall};
use crate::shutdown::Stage;
use crate::suspects;

/// The largest body that a caller may send, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The header that names the request in every answer.
const ID_HEADER: &str = "x-request-id";

/// The header that carries an idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// `CallerHandler` serves callers.
pub struct CallerHandler(pub Arc<Node>);

/// `Asked` is one authenticated request with its body.
struct Asked<'a> {
    id: &'a RequestId,
    table: &'a Table,
    caller: &'a Caller,
    req: &'a Request,
    body: Vec<u8>,
    connection: &'a Connection,
}

#[async_trait]
impl HttpHandler for CallerHandler {
    async fn handle(&self, mut req: Request, connection: &Connection) -> Response {
        let id = self.0.next_request();
        let admitted = self.0.shutdown.admit();
        let answered = match &admitted {
            Ok(_) => self.answer(&mut req, &id, connection).await,
            Err(e) => Err(e.clone()),
        };
        let mut response = match answered {
            Ok(response) => response,
            Err(e) => self.refused(&e, &id, req.url().path()),
        };
        // The request counts as in flight until its answer is written and dropped.
        if let Ok(in_flight) = admitted {
            response.ext_mut().insert(in_flight);
        }
        response.insert_header(ID_HEADER, id.as_str());
        if self.0.shutdown.stage() == Stage::Draining {
            response.insert_header(headers::CONNECTION, "close");
        }
        response
    }

    fn refuse(&self, e: &Error) -> Response {
        let id = self.0.next_request();
        let mut response = self.refused(e, &id, "");
        response.insert_header(ID_HEADER, id.as_str());
        response
    }
}

impl CallerHandler {
    /// Makes the answer to a request that gets nothing else.
    fn refused(&self, e: &Error, id: &RequestId, path: &str) -> Response {
        let code = e.code.to_string();
        let execution = e.execution.to_string();
        log::info!(
            event = "refused",
            request = id.as_str(),
            code = code.as_str(),
            execution = execution.as_str(),
            message = e.message.as_str();
            ""
        );
        self.0.metrics.refusal("", e.code);
        let mut response = failure(e);
        match e.code {
            ErrorCode::MethodNotAllowed => {
                response.insert_header(headers::ALLOW, routes::allow(path));
            }
            // The rest of such a body is not read.
            ErrorCode::TooLarge | ErrorCode::SlowRequest => {
                response.insert_header(headers::CONNECTION, "close");
            }
            _ => (),
        }
        response
    }

    async fn answer(
        &self,
        req: &mut Request,
        id: &RequestId,
        connection: &Connection,
    ) -> Result<Response> {
        let table = self.0.view.table()?;
        let caller = authenticate(&table, req)?;
        let route = Route::of(req)?;
        if matches!(route, Route::Complete(_)) {
            routes::expect_json(req)?;
        }
        let body = server::read_body(req, MAX_BODY_BYTES).await?;
        let asked = Asked { id, table: &table, caller, req, body, connection };
        match route {
            Route::Models => Ok(models(&table, caller)),
            Route::Model(name) => model(&table, caller, &name),
            Route::Complete(shape) => self.complete(shape, asked).await,
            Route::Service => self.call_service(asked).await,
        }
    }

    async fn complete(&self, shape: Shape, asked: Asked<'_>) -> Result<Response> {
        let body = CompletionRequest::from_json(&asked.body)?;
        let row = asked.table.model_row(&body.model, asked.caller);
        let row = Arc::new(row.ok_or_else(|| no_model(&body.model))?.clone());
        let req = ModelRequest {
            id: asked.id.clone(),
            caller: asked.caller.name.clone(),
            caller_weight: asked.caller.weight,
            prompt: body.prompt(shape)?.into(),
            max_tokens: body.max_tokens(shape, row.max_output_tokens)?,
            row: row.clone(),
        };
        let mut account = Account::open(&self.0, asked.id, &row, &asked.caller.name);
        let fingerprint = Fingerprint::of(&row.serves, &req.prompt);
        let convicted = suspects::check(&self.0, fingerprint);
        convicted.inspect_err(|e| account.failed(e))?;
        self.keep_limits(&mut account, &row, asked.caller).await?;
        let mut running = Running::start(&self.0, shape, req, account);
        let first = unless_gone(asked.connection, running.next()).await?;
        match body.streaming() {
            Streaming::Chunks { usage } => Ok(running.streamed(first, usage)),
            Streaming::Whole => unless_gone(asked.connection, running.whole(first)).await,
        }
    }

    /// Admits the request under the limits of its row.
    async fn keep_limits(&self, account: &mut Account, row: &Row, caller: &Caller) -> Result<()> {
        match limits::admit(&self.0, row, caller).await {
            Ok(admitted) => {
                account.admitted(admitted);
                Ok(())
            }
            Err(e) => {
                account.failed(&e);
                Err(e)
            }
        }
    }

    async fn call_service(&self, asked: Asked<'_>) -> Result<Response> {
        let (req, path) = (asked.req, asked.req.url().path());
        let row = asked.table.service_row(req.method().as_ref(), path, asked.caller);
        let row = Arc::new(row.ok_or_else(|| not_found(format!("no row for {path}")))?.clone());
        let query = req.url().query().map(|query| format!("?{query}")).unwrap_or_default();
        let call = ServiceCall {
            id: asked.id.clone(),
            row: row.clone(),
            caller: asked.caller.name.clone(),
            method: req.method(),
            path: format!("{path}{query}"),
            content_type: req.header("content-type").map_or("", |values| values.as_str()).into(),
            body: asked.body,
            key: idempotency_key(req)?,
        };
        let mut account = Account::open(&self.0, asked.id, &row, &asked.caller.name);
        self.keep_limits(&mut account, &row, asked.caller).await?;
        let answered = run_service(&self.0, &row, &call, asked.connection).await;
        match &answered {
            Ok(_) => account.answered(),
            Err(e) => account.failed(e),
        }
        let answer = answered?;
        let mut response = Response::new(answer.status);
        response.set_body(answer.body);
        if !answer.content_type.is_empty() {
            response.insert_header(headers::CONTENT_TYPE, answer.content_type);
        }
        Ok(response)
    }
}

/// Runs a call of a plain service.
///
/// A call that may not be repeated runs to its end even when its caller has gone,
/// because its outcome must be known to the caller's next try.
async fn run_service(
    node: &Arc<Node>,
    row: &Row,
    call: &ServiceCall,
    connection: &Connection,
) -> Result<aspenloft_ledger::record::Answer> {
    let run = service::run(node, call);
    if row.unrepeatable { run.await } else { unless_gone(connection, run).await }
}

/// Finds the caller by its bearer key.
fn authenticate<'a>(table: &'a Table, req: &Request) -> Result<&'a Caller> {
    let wrong = || Error::new(ErrorCode::Unauthorized, "the API key is missing or wrong");
    let header = req.header(headers::AUTHORIZATION).ok_or_else(wrong)?;
    let (scheme, key) = header.as_str().split_once(' ').ok_or_else(wrong)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(wrong());
    }
    table.caller_of_key(key.trim()).ok_or_else(wrong)
}

/// Reads the idempotency key, if the request has one.
fn idempotency_key(req: &Request) -> Result<Option<aspenloft_core::ids::Name>> {
    let Some(values) = req.header(KEY_HEADER) else { return Ok(None) };
    let key = values.as_str();
    if values.iter().count() > 1 || key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("Idempotency-Key: give one of 1 to {MAX_KEY_BYTES} bytes");
        return Err(invalid(message));
    }
    Ok(Some(key.into()))
}

/// Lists the models that the caller may use.
fn models(table: &Table, caller: &Caller) -> Response {
    let rows = table.rows.iter().filter(|row| row.kind == RowKind::Model);
    let usable = rows.filter(|row| table.model_row(&row.serves, caller).is_some());
    let mut names: Vec<_> = usable.map(|row| &*row.serves).collect();
    names.sort_unstable();
    names.dedup();
    let data: Vec<_> = names.into_iter().map(described).collect();
    server::json(&json!({"object": "list", "data": data}))
}

/// Describes one model that the caller may use.
fn model(table: &Table, caller: &Caller, name: &str) -> Result<Response> {
    let row = table.model_row(name, caller).ok_or_else(|| no_model(name))?;
    Ok(server::json(&described(&row.serves)))
}

fn described(model: &str) -> Value {
    json!({"id": model, "object": "model", "created": 0, "owned_by": "aspenloft"})
}

fn no_model(name: &str) -> Error {
    not_found(format!("no model {name}"))
}

/// Waits for `work` for as long as the caller is there.
async fn unless_gone<T>(
    connection: &Connection,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    let gone = connection.closed();
    pin_mut!(work, gone);
    match select(work, gone).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => {
            Err(Error::new(ErrorCode::Cancelled, "the caller has gone")
                .execution(Execution::Unknown))
        }
    }
}
