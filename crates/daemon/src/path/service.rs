//! The `service` module is the path of a call to a plain service.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, BackendRole, Name};
use aspenloft_ledger::entry::Answer;
use aspenloft_ledger::once::run_once;
use aspenloft_table::row::Row;
use aspenloft_transport::http;
use async_std::future::timeout;
use http_types::Method;

use crate::node::Node;

/// The longest wait for the answer of a plain service.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// `ServiceCall` is a caller's call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The row that it uses.
    pub row: Arc<Row>,
    /// The caller's name.
    pub caller: Name,
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The idempotency key, if one came.
    pub key: Option<Name>,
}

/// Runs a call of a plain service.
pub async fn run(node: &Arc<Node>, call: &ServiceCall) -> Result<Answer> {
    if !call.row.unrepeatable {
        return send(node, call).await;
    }
    let Some(key) = &call.key else {
        return Err(invalid(format!("row {} needs an Idempotency-Key", call.row.name)));
    };
    let key = format!("{}/{}/{key}", call.row.name, call.caller);
    run_once(node.kv.as_ref(), &key, || send(node, call)).await
}

async fn send(node: &Arc<Node>, call: &ServiceCall) -> Result<Answer> {
    let backend = choose(node, call)?;
    let mut req = http::request(call.method, backend.addr, &call.path, call.body.clone())?;
    if let Some(key) = &call.key {
        req.insert_header("idempotency-key", &**key);
    }
    let exchange = async {
        let mut response = http::send(backend.addr, req, ANSWER_TIMEOUT).await?;
        let content_type = response.content_type().map(|m| m.to_string()).unwrap_or_default();
        let status = response.status().into();
        let body = response.body_bytes().await.map_err(|e| broken(&e.to_string()))?;
        Ok(Answer { status, content_type, body })
    };
    timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(broken("no whole answer in time")))
}

fn choose(node: &Arc<Node>, call: &ServiceCall) -> Result<Backend> {
    let mut candidates = node.view.backends(BackendRole::Service, &call.row.serves);
    node.shuffle(&mut candidates);
    let none = || Error::new(ErrorCode::NoBackend, format!("no server of {}", call.row.serves));
    candidates.into_iter().next().ok_or_else(none)
}

fn broken(why: &str) -> Error {
    Error::new(ErrorCode::Unavailable, why).execution(Execution::Unknown)
}
