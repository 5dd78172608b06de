//! The `queue` module queues requests that wait for capacity at their entry host, and
//! admits them in the order that the policy decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::Name;
use aspenloft_policy::admission::{Admission, AdmissionDecision, Arrival, Refusal, RefusalReason};
use aspenloft_policy::fair_queue::Ticket;
use async_std::task;
use futures::channel::oneshot;
use parking_lot::Mutex;

use crate::node::Node;

/// How often a queue is checked for requests to admit or expire.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum number of requests admitted in one check. It is limited because each of
/// them calls a home.
const MAX_ADMITTED_PER_POLL: u32 = 8;

/// `AdmissionController` admits, queues or refuses the model requests of one entry
/// host, separately for each model.
#[derive(Debug, Default)]
pub struct AdmissionController {
    queues: Mutex<HashMap<Name, ModelQueue>>,
    next_ticket: AtomicU64,
}

/// `ModelQueue` is the admission state of one model and its waiting requests.
#[derive(Debug, Default)]
struct ModelQueue {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Result<()>>>,
    is_polling: bool,
}

impl AdmissionController {
    /// Returns a new ticket, which identifies an arrival in its queue.
    pub fn next_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of requests that wait, over all models.
    pub fn waiting(&self) -> usize {
        self.queues.lock().values().map(|queue| queue.waiters.len()).sum()
    }

    /// Admits an arrival, immediately or after a wait in the queue, or refuses it.
    /// `has_capacity` is whether a server can take it now.
    pub async fn admit(
        &self,
        node: &Arc<Node>,
        model: &Name,
        arrival: &Arrival,
        has_capacity: bool,
    ) -> Result<()> {
        let now = node.clock.now();
        let rx = {
            let mut queues = self.queues.lock();
            let queue = queues.entry(model.clone()).or_default();
            let displaced = match queue.admission.arrive(arrival, has_capacity, now) {
                AdmissionDecision::Admit => return Ok(()),
                AdmissionDecision::Refuse(refusal) => return Err(overload_error(&refusal)),
                AdmissionDecision::Wait { displaced } => displaced,
            };
            if let Some(refusal) = displaced {
                queue.refuse(&refusal);
            }
            let (tx, rx) = oneshot::channel();
            queue.waiters.insert(arrival.ticket, tx);
            if !std::mem::replace(&mut queue.is_polling, true) {
                task::spawn(admit_waiting(node.clone(), model.clone()));
            }
            rx
        };
        let _guard = QueueGuard { controller: self, model, ticket: arrival.ticket };
        rx.await.unwrap_or_else(|_| Err(Error::new(ErrorCode::Overloaded, "the wait was aborted")))
    }
}

impl ModelQueue {
    fn refuse(&mut self, refusal: &Refusal) {
        if let Some(tx) = self.waiters.remove(&refusal.ticket) {
            let _ = tx.send(Err(overload_error(refusal)));
        }
    }
}

/// `QueueGuard` removes a waiting request from the queue when its future is dropped.
struct QueueGuard<'a> {
    controller: &'a AdmissionController,
    model: &'a Name,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.controller.queues.lock().get_mut(self.model) {
            queue.waiters.remove(&self.ticket);
            queue.admission.cancel(self.ticket);
        }
    }
}

/// Admits and expires the waiting requests of a model until none are left.
async fn admit_waiting(node: Arc<Node>, model: Name) {
    loop {
        task::sleep(POLL_INTERVAL).await;
        let free_slots = node.router.free_slots(&node, &model).min(MAX_ADMITTED_PER_POLL);
        let now = node.clock.now();
        let mut queues = node.admission.queues.lock();
        let Some(queue) = queues.get_mut(&model) else { return };
        for refusal in queue.admission.expire(now) {
            queue.refuse(&refusal);
        }
        for _ in 0..free_slots {
            let Some(ticket) = queue.admission.next(now) else { break };
            if let Some(tx) = queue.waiters.remove(&ticket) {
                let _ = tx.send(Ok(()));
            }
        }
        if queue.waiters.is_empty() {
            queue.is_polling = false;
            return;
        }
    }
}

fn overload_error(refusal: &Refusal) -> Error {
    let message = match refusal.reason {
        RefusalReason::TooSlow => "the first token would be later than the row's target",
        RefusalReason::TooLong => "the wait for capacity would be too long for the row's target",
        RefusalReason::QueueFull => "the queue holds as many requests as the row allows",
        RefusalReason::Displaced => {
            "its place in the queue was given to a caller below its fair share"
        }
        RefusalReason::Late => "no capacity became free in time for the row's target",
    };
    Error::new(ErrorCode::Overloaded, message).retry_after(refusal.retry_after)
}
