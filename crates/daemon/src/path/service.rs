//! The `service` module serves calls to plain services. Calls that may be repeated work
//! even without the platform; the others go through the ledger.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{BackendRole, Name, RequestId, SharedClock};
use aspenloft_ledger::record::Answer;
use aspenloft_protocol::peer::ledger::LedgerCall;
use aspenloft_table::row::Row;
use async_trait::async_trait;
use http_types::Method;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::exchange::Exchange;
use super::servers::{CallOutcome, LoadBalancer};
use crate::ledger::{CallSender, OutgoingCall, entry};
use crate::node::Node;
use crate::view::View;

/// The longest wait for the answer to a call that may not be repeated. It is long,
/// because after a timeout the caller does not know whether the call was run.
pub const UNREPEATABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The deadline of a repeatable call, as a multiple of its row's `ttft` target.
const DEADLINE_FACTOR: u32 = 4;

/// The shortest deadline of a repeatable call.
const MIN_DEADLINE: Duration = Duration::from_secs(1);

/// The longest deadline of a repeatable call.
const MAX_DEADLINE: Duration = Duration::from_secs(30);

/// The maximum number of servers that are tried for one call.
const MAX_SERVERS_TRIED: usize = 2;

/// The `Retry-After` of a call that no server has run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The status with which a server refuses a call without running it.
const REFUSAL_STATUS: u16 = 503;

/// `ServiceCall` is a caller's call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request's id.
    pub id: RequestId,
    /// The row of the table that applies to it.
    pub row: Arc<Row>,
    /// The caller's name.
    pub caller: Name,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// The media type of the body; empty for none.
    pub content_type: Name,
    /// The body of the request.
    pub body: Vec<u8>,
    /// The idempotency key, if the caller sent one.
    pub key: Option<Name>,
}

/// Runs a call to a plain service.
pub async fn run(node: &Arc<Node>, call: &ServiceCall) -> Result<Answer> {
    if !call.row.unrepeatable {
        return node.service_dispatcher.run(call).await;
    }
    let Some(key) = call.key.clone().filter(|key| !key.is_empty()) else {
        return Err(invalid(format!("row {} needs an Idempotency-Key", call.row.name)));
    };
    let call = LedgerCall {
        request: call.id.clone(),
        row: call.row.name.clone(),
        caller: call.caller.clone(),
        key,
        method: call.method.as_ref().into(),
        path: call.path.as_str().into(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
    };
    entry::run(node, call).await
}

/// `ServiceDispatcher` sends calls to the servers of plain services.
pub struct ServiceDispatcher {
    view: Arc<View>,
    clock: SharedClock,
    balancer: Arc<LoadBalancer>,
    random: Mutex<StdRng>,
}

impl ServiceDispatcher {
    /// Creates a dispatcher to the servers that `view` lists.
    pub fn new(view: Arc<View>, clock: SharedClock) -> ServiceDispatcher {
        let balancer = Arc::new(LoadBalancer::new(clock.clone()));
        let random = Mutex::new(StdRng::from_os_rng());
        ServiceDispatcher { view, clock, balancer, random }
    }

    /// Runs a repeatable call before its row's deadline.
    async fn run(&self, call: &ServiceCall) -> Result<Answer> {
        let deadline = call.row.ttft * DEADLINE_FACTOR;
        let exchange = Exchange {
            method: call.method,
            path: &call.path,
            content_type: &call.content_type,
            body: &call.body,
            key: call.key.as_deref(),
            timeout: deadline.clamp(MIN_DEADLINE, MAX_DEADLINE),
        };
        self.try_servers(&call.row.serves, exchange, is_idempotent(call.method)).await
    }

    /// Tries a second server if the first could not be reached. For `idempotent` calls it
    /// also does so if the first refused the call or failed before a complete answer.
    async fn try_servers(
        &self,
        service: &str,
        mut exchange: Exchange<'_>,
        idempotent: bool,
    ) -> Result<Answer> {
        let deadline = self.clock.now() + exchange.timeout;
        let mut candidates = self.view.backends(BackendRole::Service, service);
        candidates.shuffle(&mut *self.random.lock());
        let mut tried = Vec::new();
        let mut last = Err(no_server_error(service));
        while tried.len() < MAX_SERVERS_TRIED {
            let Some(mut active) = self.balancer.start_call(&candidates, &tried) else { break };
            tried.push(active.backend.name.clone());
            exchange.timeout = deadline.saturating_duration_since(self.clock.now());
            last = exchange.run(&active.backend).await;
            let outcome = call_outcome(&last);
            active.set_outcome(outcome);
            let unsent = last.as_ref().is_err_and(|e| e.execution == Execution::NotRun);
            let in_time = self.clock.now() < deadline;
            if outcome == CallOutcome::Answered || !in_time || !(unsent || idempotent) {
                break;
            }
        }
        last.map_err(
            |e| if e.execution == Execution::NotRun { e.retry_after(RETRY_AFTER) } else { e },
        )
    }
}

#[async_trait]
impl CallSender for ServiceDispatcher {
    /// Every exchange opens a new connection, and a second server is tried only if the
    /// connection to the first failed.
    async fn send(&self, outgoing: &OutgoingCall) -> Result<Arc<Answer>> {
        let exchange = Exchange::of_call(&outgoing.call, UNREPEATABLE_TIMEOUT)?;
        self.try_servers(&outgoing.row.serves, exchange, false).await.map(Arc::new)
    }
}

fn call_outcome(result: &Result<Answer>) -> CallOutcome {
    match result {
        Ok(answer) if answer.status != REFUSAL_STATUS => CallOutcome::Answered,
        _ => CallOutcome::Failed,
    }
}

/// Returns whether a method is idempotent (RFC 9110, section 9.2.2).
fn is_idempotent(method: Method) -> bool {
    use Method::{Delete, Get, Head, Options, Put, Trace};
    matches!(method, Get | Head | Put | Delete | Options | Trace)
}

fn no_server_error(service: &str) -> Error {
    Error::new(ErrorCode::NoBackend, format!("no server of {service}"))
}
