//! The `service` module is the path of a call to a plain service. Calls that may be
//! repeated go on without the platform; those that may not go through the ledger.

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
use super::servers::{Ending, Servers};
use crate::ledger::{CallSender, OutgoingCall, entry};
use crate::node::Node;
use crate::view::View;

/// The longest wait for the answer to a call that may not be repeated. It is
/// generous, because giving such a call up leaves its caller in doubt.
pub const UNREPEATABLE_LIMIT: Duration = Duration::from_secs(10);

/// The deadline of a repeatable call, as a multiple of its row's target.
const DEADLINE_TARGETS: u32 = 4;

/// The shortest deadline of a repeatable call.
const SHORTEST_DEADLINE: Duration = Duration::from_secs(1);

/// The longest deadline of a repeatable call.
const LONGEST_DEADLINE: Duration = Duration::from_secs(30);

/// Servers that are tried for one call.
const MAX_TRIES: usize = 2;

/// When a caller should come back after no server could be reached.
const COME_BACK: Duration = Duration::from_secs(1);

/// The status by which a server refuses a call without running it.
const REFUSED_STATUS: u16 = 503;

/// `ServiceCall` is a caller's call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request's id.
    pub id: RequestId,
    /// The row that it uses.
    pub row: Arc<Row>,
    /// The caller's name.
    pub caller: Name,
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// The media type of the body; empty for none.
    pub content_type: Name,
    /// The body.
    pub body: Vec<u8>,
    /// The idempotency key, if one came.
    pub key: Option<Name>,
}

/// Runs a call of a plain service.
pub async fn run(node: &Arc<Node>, call: &ServiceCall) -> Result<Answer> {
    if !call.row.unrepeatable {
        return node.services.run(call).await;
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

/// `Services` sends calls to the servers of plain services.
pub struct Services {
    view: Arc<View>,
    clock: SharedClock,
    servers: Arc<Servers>,
    random: Mutex<StdRng>,
}

impl Services {
    /// Creates the services that `view` lists.
    pub fn new(view: Arc<View>, clock: SharedClock) -> Services {
        let servers = Arc::new(Servers::new(clock.clone()));
        let random = Mutex::new(StdRng::from_os_rng());
        Services { view, clock, servers, random }
    }

    /// Runs a repeatable call before its row's deadline.
    async fn run(&self, call: &ServiceCall) -> Result<Answer> {
        let deadline = call.row.ttft * DEADLINE_TARGETS;
        let exchange = Exchange {
            method: call.method,
            path: &call.path,
            content_type: &call.content_type,
            body: &call.body,
            key: call.key.as_deref(),
            limit: deadline.clamp(SHORTEST_DEADLINE, LONGEST_DEADLINE),
        };
        self.try_servers(&call.row.serves, exchange, is_idempotent(call.method)).await
    }

    /// Tries a second server when the first could not be reached; and, for calls that
    /// are `idempotent`, when it refused or broke off.
    async fn try_servers(
        &self,
        service: &str,
        mut exchange: Exchange<'_>,
        idempotent: bool,
    ) -> Result<Answer> {
        let ends = self.clock.now() + exchange.limit;
        let mut candidates = self.view.backends(BackendRole::Service, service);
        candidates.shuffle(&mut *self.random.lock());
        let mut tried = Vec::new();
        let mut last = Err(no_server(service));
        while tried.len() < MAX_TRIES {
            let Some(mut work) = self.servers.begin(&candidates, &tried) else { break };
            tried.push(work.backend.name.clone());
            exchange.limit = ends.saturating_duration_since(self.clock.now());
            last = exchange.run(&work.backend).await;
            let ending = ending(&last);
            work.note(ending);
            let unsent = last.as_ref().is_err_and(|e| e.execution == Execution::NotRun);
            let in_time = self.clock.now() < ends;
            if ending == Ending::Answered || !in_time || !(unsent || idempotent) {
                break;
            }
        }
        last.map_err(
            |e| if e.execution == Execution::NotRun { e.retry_after(COME_BACK) } else { e },
        )
    }
}

#[async_trait]
impl CallSender for Services {
    /// Every exchange opens a connection of its own, and a second server is tried
    /// only when the first could not even be connected to.
    async fn send(&self, sending: &OutgoingCall) -> Result<Arc<Answer>> {
        let exchange = Exchange::of_call(&sending.call, UNREPEATABLE_LIMIT)?;
        self.try_servers(&sending.row.serves, exchange, false).await.map(Arc::new)
    }
}

fn ending(result: &Result<Answer>) -> Ending {
    match result {
        Ok(answer) if answer.status != REFUSED_STATUS => Ending::Answered,
        _ => Ending::Failed,
    }
}

/// Tells whether a method may be sent twice (RFC 9110, section 9.2.2).
fn is_idempotent(method: Method) -> bool {
    use Method::{Delete, Get, Head, Options, Put, Trace};
    matches!(method, Get | Head | Put | Delete | Options | Trace)
}

fn no_server(service: &str) -> Error {
    Error::new(ErrorCode::NoBackend, format!("no server of {service}"))
}
