//! The `orders` module issues the orders of this host to backend servers. It feeds one
//! [`OrderIssuer`] per backend server with events and performs its actions; see
//! `docs/ORDERS.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use aspenloft_core::backend::BackendRole;
use aspenloft_core::errors::{Error, ErrorCode, Result, internal, invalid, timeout};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Name, SharedClock};
use aspenloft_ledger::orders::event::{
    Action, Event, OrderId, OrderLock, Outcome, StoredLock, order_lock_key,
};
use aspenloft_ledger::orders::{ORDER_VALIDITY, OrderIssuer};
use aspenloft_protocol::admin::{OrderRequest, OrderResponse};
use aspenloft_protocol::engine::{Ack, CONTROL_TIMEOUT, Order, paths};
use aspenloft_protocol::platform::{KeyValue, Put, Swap, Version};
use aspenloft_transport::http;
use async_std::task;
use parking_lot::Mutex;

use super::store::{decode, encode, with_timeout};
use crate::view::View;

/// The number of issuers at which those of unlisted backend servers are removed.
const MAX_ISSUERS: usize = 2_048;

/// `OrderService` issues the orders of this host, one at a time for each backend
/// server.
pub struct OrderService {
    kv: Arc<dyn KeyValue>,
    clock: SharedClock,
    view: Arc<View>,
    issuers: Mutex<HashMap<Name, OrderIssuer>>,
    order_count: AtomicU64,
    seed: u64,
}

impl OrderService {
    /// Creates the service. The seed must differ between processes.
    pub fn new(
        kv: Arc<dyn KeyValue>,
        clock: SharedClock,
        view: Arc<View>,
        seed: u64,
    ) -> OrderService {
        OrderService {
            kv,
            clock,
            view,
            issuers: Mutex::default(),
            order_count: AtomicU64::new(0),
            seed,
        }
    }

    /// Issues an order and waits for the result. The order continues in a task of its
    /// own if the operator disconnects.
    pub async fn issue(self: &Arc<Self>, req: OrderRequest) -> Result<OrderResponse> {
        let backend = self.view.backend(&req.backend)?;
        if backend.role == BackendRole::Service {
            return Err(invalid("orders go to model engines only"));
        }
        let service = self.clone();
        task::spawn(async move { service.execute(backend, req).await }).await
    }

    async fn execute(&self, backend: Backend, req: OrderRequest) -> Result<OrderResponse> {
        let id = self.order_count.fetch_add(1, Ordering::Relaxed);
        let result = self.drive(&backend, id, req).await;
        let (execution, fence) = match &result {
            Ok(report) => ("run".to_string(), report.fence),
            Err(e) => (e.execution.to_string(), 0),
        };
        log::info!(
            event = "order", backend = &*backend.name, execution = execution.as_str(), fence = fence; ""
        );
        result
    }

    /// Feeds the issuer with events until it returns the answer.
    async fn drive(
        &self,
        backend: &Backend,
        id: OrderId,
        req: OrderRequest,
    ) -> Result<OrderResponse> {
        let mut event = Some(Event::Order(id, req.kind));
        let mut answer = None;
        while let Some(current) = event.take() {
            for action in self.handle(backend, current) {
                match action {
                    Action::Answer(_, result) => answer = Some(result),
                    action => event = self.perform(backend, action).await.or(event),
                }
            }
        }
        let fence = answer.unwrap_or_else(|| Err(internal("the order ended without a result")))?;
        Ok(OrderResponse { fence })
    }

    fn handle(&self, backend: &Backend, event: Event) -> Vec<Action> {
        let fencing_checked = self.checks_fencing(backend);
        let mut issuers = self.issuers.lock();
        if issuers.len() >= MAX_ISSUERS {
            let listing = self.view.listing();
            issuers.retain(|name, _| listing.backends.iter().any(|b| b.name == *name));
        }
        let new = || {
            let order_number = self.order_count.load(Ordering::Relaxed);
            OrderIssuer::new(
                self.view.me().name.clone(),
                fencing_checked,
                self.seed.wrapping_add(order_number << 32),
            )
        };
        let issuer = issuers.entry(backend.name.clone()).or_insert_with(new);
        issuer.set_fencing_checked(fencing_checked);
        issuer.handle(event, self.clock.now())
    }

    /// Returns whether the backend server rejects old fencing numbers, that is whether
    /// all rows of its model have `fencing_checked` set; `false` without a row.
    fn checks_fencing(&self, backend: &Backend) -> bool {
        let Ok(table) = self.view.table() else { return false };
        let mut rows = table.rows.iter().filter(|row| row.serves == backend.serves).peekable();
        rows.peek().is_some() && rows.all(|row| row.fencing_checked)
    }

    async fn perform(&self, backend: &Backend, action: Action) -> Option<Event> {
        match action {
            Action::Answer(..) => None,
            Action::Read => Some(Event::Read(self.read(backend).await)),
            Action::Swap { expect, lock } => {
                Some(Event::Swapped(self.swap(backend, expect, &lock).await))
            }
            Action::Release { expect, lock } => {
                if let Err(e) = self.swap(backend, expect, &lock).await {
                    let error = e.to_string();
                    log::warn!(event = "seat_not_released", backend = &*backend.name, error = error.as_str(); "");
                }
                None
            }
            Action::Send { kind, fence, not_after } => {
                let order = Order { kind, fence, valid: ORDER_VALIDITY };
                Some(Event::Sent(self.send(backend, &order, not_after).await))
            }
        }
    }

    async fn read(&self, backend: &Backend) -> Result<StoredLock> {
        let found = with_timeout(self.kv.get(&order_lock_key(&backend.name))).await?;
        let Some(found) = found else { return Ok(StoredLock { version: 0, lock: None }) };
        Ok(StoredLock { version: found.version, lock: Some(decode(&found)?) })
    }

    async fn swap(&self, backend: &Backend, expect: Version, lock: &OrderLock) -> Result<Swap> {
        let value = Some(encode(lock)?);
        let put = Put { key: order_lock_key(&backend.name), expect, value, lease: None };
        with_timeout(self.kv.put(put)).await
    }

    async fn send(&self, backend: &Backend, order: &Order, not_after: Instant) -> Outcome {
        match self.exchange(backend, order, not_after).await {
            Ok(Ack {}) => Outcome::Accepted,
            Err(e) if e.execution == Execution::NotRun => Outcome::NotRun(e),
            Err(e) => Outcome::Unknown(e),
        }
    }

    /// Sends an order. The clock is checked last, after the steps that may take time.
    async fn exchange(&self, backend: &Backend, order: &Order, not_after: Instant) -> Result<Ack> {
        let addr = backend.addr;
        let req = http::post(addr, paths::ORDER, order)?;
        let stream = http::connect(addr).await?;
        if self.clock.now() > not_after {
            return Err(timeout("the host was paused; the order was not sent"));
        }
        let round_trip = async {
            let mut response = http::send_on(stream, addr, req, CONTROL_TIMEOUT).await?;
            http::read_json(&mut response, addr).await
        };
        async_std::future::timeout(CONTROL_TIMEOUT, round_trip).await.unwrap_or_else(|_| {
            let e = Error::new(ErrorCode::Timeout, "the engine did not answer the order in time");
            Err(e.execution(Execution::Unknown))
        })
    }
}
