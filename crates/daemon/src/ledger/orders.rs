//! The `orders` module drives the desks that give orders to backend servers; see
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
use aspenloft_ledger::orders::{ORDER_VALID, OrderIssuer};
use aspenloft_protocol::admin::{OrderRequest, OrderResponse};
use aspenloft_protocol::engine::{Ack, CONTROL_TIMEOUT, Order, paths};
use aspenloft_protocol::platform::{KeyValue, Put, Swap, Version};
use aspenloft_transport::http;
use async_std::task;
use parking_lot::Mutex;

use super::store::{decode, encode, limited};
use crate::view::View;

/// Desks that are kept; all of backend servers that the platform no longer lists go
/// first.
const MAX_DESKS: usize = 2_048;

/// `OrderDesks` gives this host's orders, one at a time to each backend server.
pub struct OrderDesks {
    kv: Arc<dyn KeyValue>,
    clock: SharedClock,
    view: Arc<View>,
    desks: Mutex<HashMap<Name, OrderIssuer>>,
    orders: AtomicU64,
    seed: u64,
}

impl OrderDesks {
    /// Creates the desks. Each process needs a seed of its own.
    pub fn new(
        kv: Arc<dyn KeyValue>,
        clock: SharedClock,
        view: Arc<View>,
        seed: u64,
    ) -> OrderDesks {
        OrderDesks { kv, clock, view, desks: Mutex::default(), orders: AtomicU64::new(0), seed }
    }

    /// Gives an order and waits for the backend server's word. The order goes on
    /// when the operator stops waiting.
    pub async fn give(self: &Arc<Self>, ask: OrderRequest) -> Result<OrderResponse> {
        let backend = self.view.backend(&ask.backend)?;
        if backend.role == BackendRole::Service {
            return Err(invalid("orders go to model engines only"));
        }
        let desks = self.clone();
        task::spawn(async move { desks.carry_out(backend, ask).await }).await
    }

    async fn carry_out(&self, backend: Backend, ask: OrderRequest) -> Result<OrderResponse> {
        let id = self.orders.fetch_add(1, Ordering::Relaxed);
        let given = self.steps(&backend, id, ask).await;
        let (word, fence) = match &given {
            Ok(report) => ("run".to_string(), report.fence),
            Err(e) => (e.execution.to_string(), 0),
        };
        log::info!(
            event = "order", backend = &*backend.name, execution = word.as_str(), fence = fence; ""
        );
        given
    }

    /// Feeds the desk until it answers.
    async fn steps(
        &self,
        backend: &Backend,
        id: OrderId,
        ask: OrderRequest,
    ) -> Result<OrderResponse> {
        let mut event = Some(Event::Order(id, ask.kind));
        let mut answer = None;
        while let Some(current) = event.take() {
            for action in self.handle(backend, current) {
                match action {
                    Action::Answer(_, result) => answer = Some(result),
                    action => event = self.perform(backend, action).await.or(event),
                }
            }
        }
        let fence = answer.unwrap_or_else(|| Err(internal("the order ended without a word")))?;
        Ok(OrderResponse { fence })
    }

    fn handle(&self, backend: &Backend, event: Event) -> Vec<Action> {
        let checked = self.is_checked(backend);
        let mut desks = self.desks.lock();
        if desks.len() >= MAX_DESKS {
            let listing = self.view.listing();
            desks.retain(|name, _| listing.backends.iter().any(|b| b.name == *name));
        }
        let new = || {
            let number = self.orders.load(Ordering::Relaxed);
            OrderIssuer::new(
                self.view.me().name.clone(),
                checked,
                self.seed.wrapping_add(number << 32),
            )
        };
        let desk = desks.entry(backend.name.clone()).or_insert_with(new);
        desk.set_fencing_checked(checked);
        desk.handle(event, self.clock.now())
    }

    /// Tells whether all rows of the backend server's model say that it refuses old
    /// fencing numbers; without a row it is taken not to.
    fn is_checked(&self, backend: &Backend) -> bool {
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
                let order = Order { kind, fence, valid: ORDER_VALID };
                Some(Event::Sent(self.send(backend, &order, not_after).await))
            }
        }
    }

    async fn read(&self, backend: &Backend) -> Result<StoredLock> {
        let found = limited(self.kv.get(&order_lock_key(&backend.name))).await?;
        let Some(found) = found else { return Ok(StoredLock { version: 0, lock: None }) };
        Ok(StoredLock { version: found.version, lock: Some(decode(&found)?) })
    }

    async fn swap(&self, backend: &Backend, expect: Version, lock: &OrderLock) -> Result<Swap> {
        let value = Some(encode(lock)?);
        let put = Put { key: order_lock_key(&backend.name), expect, value, lease: None };
        limited(self.kv.put(put)).await
    }

    async fn send(&self, backend: &Backend, order: &Order, not_after: Instant) -> Outcome {
        match self.exchange(backend, order, not_after).await {
            Ok(Ack {}) => Outcome::Accepted,
            Err(e) if e.execution == Execution::NotRun => Outcome::NotRun(e),
            Err(e) => Outcome::Unknown(e),
        }
    }

    /// Sends an order. The clock is read last, after whatever took time before.
    async fn exchange(&self, backend: &Backend, order: &Order, not_after: Instant) -> Result<Ack> {
        let addr = backend.addr;
        let req = http::post(addr, paths::ORDER, order)?;
        let stream = http::connect(addr).await?;
        if self.clock.now() > not_after {
            return Err(timeout("the host was paused; the order was not sent"));
        }
        let whole = async {
            let mut response = http::send_on(stream, addr, req, CONTROL_TIMEOUT).await?;
            http::read_json(&mut response, addr).await
        };
        async_std::future::timeout(CONTROL_TIMEOUT, whole).await.unwrap_or_else(|_| {
            let e = Error::new(ErrorCode::Timeout, "the engine did not answer the order in time");
            Err(e.execution(Execution::Unknown))
        })
    }
}
