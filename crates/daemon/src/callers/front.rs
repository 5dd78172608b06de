//! The `front` module handles the HTTP requests of callers.

use std::future::Future;
use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, not_found};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::RequestId;
use aspenloft_core::suspects::Fingerprint;
use aspenloft_table::row::{Caller, Row, RowKind};
use aspenloft_table::table::Table;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::{Request, Response, headers};
use serde_json::{Value, json};

use super::account::RequestRecord;
use super::answer::{RunningRequest, error_response};
use super::request::{CompletionKind, CompletionRequest, ResponseMode};
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
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// The header with the request id, which every answer has.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header that carries an idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// `CallerHandler` serves the HTTP API for callers.
pub struct CallerHandler(pub Arc<Node>);

/// `AuthenticatedRequest` is one authenticated request with its body.
struct AuthenticatedRequest<'a> {
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
        let id = self.0.next_request_id();
        let admitted = self.0.shutdown.admit();
        let outcome = match &admitted {
            Ok(_) => self.answer(&mut req, &id, connection).await,
            Err(e) => Err(e.clone()),
        };
        let mut response = match outcome {
            Ok(response) => response,
            Err(e) => self.refusal_response(&e, &id, req.url().path()),
        };
        // The request counts as in flight until its answer is written or dropped.
        if let Ok(in_flight) = admitted {
            response.ext_mut().insert(in_flight);
        }
        response.insert_header(REQUEST_ID_HEADER, id.as_str());
        if self.0.shutdown.stage() == Stage::Draining {
            response.insert_header(headers::CONNECTION, "close");
        }
        response
    }

    fn refuse(&self, e: &Error) -> Response {
        let id = self.0.next_request_id();
        let mut response = self.refusal_response(e, &id, "");
        response.insert_header(REQUEST_ID_HEADER, id.as_str());
        response
    }
}

impl CallerHandler {
    /// Logs and counts a refused request and returns its error response.
    fn refusal_response(&self, e: &Error, id: &RequestId, path: &str) -> Response {
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
        self.0.metrics.count_refusal("", e.code);
        let mut response = error_response(e);
        match e.code {
            ErrorCode::MethodNotAllowed => {
                response.insert_header(headers::ALLOW, routes::allow_header(path));
            }
            // The rest of the request is not read, so the connection cannot be reused.
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
        let route = Route::from_request(req)?;
        if matches!(route, Route::Completion(_)) {
            routes::expect_json(req)?;
        }
        let body = server::read_body(req, MAX_BODY_BYTES).await?;
        let request = AuthenticatedRequest { id, table: &table, caller, req, body, connection };
        match route {
            Route::Models => Ok(list_models(&table, caller)),
            Route::Model(name) => get_model(&table, caller, &name),
            Route::Completion(kind) => self.complete(kind, request).await,
            Route::Service => self.call_service(request).await,
        }
    }

    async fn complete(
        &self,
        kind: CompletionKind,
        request: AuthenticatedRequest<'_>,
    ) -> Result<Response> {
        let body = CompletionRequest::from_json(&request.body)?;
        let row = request.table.model_row(&body.model, request.caller);
        let row = Arc::new(row.ok_or_else(|| unknown_model(&body.model))?.clone());
        let req = ModelRequest {
            id: request.id.clone(),
            caller: request.caller.name.clone(),
            caller_weight: request.caller.weight,
            prompt: body.prompt(kind)?.into(),
            max_tokens: body.max_tokens(kind, row.max_output_tokens)?,
            row: row.clone(),
        };
        let mut record = RequestRecord::start(&self.0, request.id, &row, &request.caller.name);
        let fingerprint = Fingerprint::of(&row.serves, &req.prompt);
        let checked = suspects::reject_convicted(&self.0, fingerprint);
        checked.inspect_err(|e| record.set_failed(e))?;
        self.admit_under_limits(&mut record, &row, request.caller).await?;
        let mut run = RunningRequest::start(&self.0, kind, req, record);
        let first = while_connected(request.connection, run.next()).await?;
        match body.response_mode() {
            ResponseMode::Chunks { usage } => Ok(run.into_stream(first, usage)),
            ResponseMode::Whole => while_connected(request.connection, run.collect(first)).await,
        }
    }

    /// Admits the request under the limits of its row, or records the refusal.
    async fn admit_under_limits(
        &self,
        record: &mut RequestRecord,
        row: &Row,
        caller: &Caller,
    ) -> Result<()> {
        match limits::admit(&self.0, row, caller).await {
            Ok(admitted) => {
                record.set_admitted(admitted);
                Ok(())
            }
            Err(e) => {
                record.set_failed(&e);
                Err(e)
            }
        }
    }

    async fn call_service(&self, request: AuthenticatedRequest<'_>) -> Result<Response> {
        let (req, path) = (request.req, request.req.url().path());
        let row = request.table.service_row(req.method().as_ref(), path, request.caller);
        let row = Arc::new(row.ok_or_else(|| not_found(format!("no row for {path}")))?.clone());
        let query = req.url().query().map(|query| format!("?{query}")).unwrap_or_default();
        let call = ServiceCall {
            id: request.id.clone(),
            row: row.clone(),
            caller: request.caller.name.clone(),
            method: req.method(),
            path: format!("{path}{query}"),
            content_type: req.header("content-type").map_or("", |values| values.as_str()).into(),
            body: request.body,
            key: idempotency_key(req)?,
        };
        let mut record = RequestRecord::start(&self.0, request.id, &row, &request.caller.name);
        self.admit_under_limits(&mut record, &row, request.caller).await?;
        let outcome = run_service(&self.0, &row, &call, request.connection).await;
        match &outcome {
            Ok(_) => record.set_answered(),
            Err(e) => record.set_failed(e),
        }
        let answer = outcome?;
        let mut response = Response::new(answer.status);
        response.set_body(answer.body);
        if !answer.content_type.is_empty() {
            response.insert_header(headers::CONTENT_TYPE, answer.content_type);
        }
        Ok(response)
    }
}

/// Runs a call to a plain service.
///
/// A call that may not be repeated runs to its end even if its caller disconnects,
/// because a retry with the same key must find its outcome.
async fn run_service(
    node: &Arc<Node>,
    row: &Row,
    call: &ServiceCall,
    connection: &Connection,
) -> Result<aspenloft_ledger::record::Answer> {
    let run = service::run(node, call);
    if row.unrepeatable { run.await } else { while_connected(connection, run).await }
}

/// Returns the caller to whom the request's bearer key belongs.
fn authenticate<'a>(table: &'a Table, req: &Request) -> Result<&'a Caller> {
    let unauthorized = || Error::new(ErrorCode::Unauthorized, "the API key is missing or invalid");
    let header = req.header(headers::AUTHORIZATION).ok_or_else(unauthorized)?;
    let (scheme, key) = header.as_str().split_once(' ').ok_or_else(unauthorized)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(unauthorized());
    }
    table.caller_by_key(key.trim()).ok_or_else(unauthorized)
}

/// Returns the idempotency key, if the request has one.
fn idempotency_key(req: &Request) -> Result<Option<aspenloft_core::ids::Name>> {
    let Some(values) = req.header(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let key = values.as_str();
    if values.iter().count() > 1 || key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let message =
            format!("Idempotency-Key: must be one value of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(invalid(message));
    }
    Ok(Some(key.into()))
}

/// Lists the models that the caller may use.
fn list_models(table: &Table, caller: &Caller) -> Response {
    let rows = table.rows.iter().filter(|row| row.kind == RowKind::Model);
    let usable = rows.filter(|row| table.model_row(&row.serves, caller).is_some());
    let mut names: Vec<_> = usable.map(|row| &*row.serves).collect();
    names.sort_unstable();
    names.dedup();
    let data: Vec<_> = names.into_iter().map(model_json).collect();
    server::json(&json!({"object": "list", "data": data}))
}

/// Describes one model, if the caller may use it.
fn get_model(table: &Table, caller: &Caller, name: &str) -> Result<Response> {
    let row = table.model_row(name, caller).ok_or_else(|| unknown_model(name))?;
    Ok(server::json(&model_json(&row.serves)))
}

fn model_json(model: &str) -> Value {
    json!({"id": model, "object": "model", "created": 0, "owned_by": "aspenloft"})
}

fn unknown_model(name: &str) -> Error {
    not_found(format!("no model {name}"))
}

/// Waits for `work` until the caller disconnects.
async fn while_connected<T>(
    connection: &Connection,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    let closed = connection.closed();
    pin_mut!(work, closed);
    match select(work, closed).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => {
            Err(Error::new(ErrorCode::Cancelled, "caller disconnected")
                .execution(Execution::Unknown))
        }
    }
}
