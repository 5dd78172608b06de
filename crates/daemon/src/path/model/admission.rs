//! The `admission` module holds requests that wait for room at their entry host, and lets
//! them go as the policy decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::Name;
use aspenloft_policy::admission::{Admission, Admitted, Arrival, Reason, Refusal};
use aspenloft_policy::fair_queue::Ticket;
use async_std::task;
use futures::channel::oneshot;
use parking_lot::Mutex;

use crate::node::Node;

/// How often those who wait are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// The most that are let go at one look, because each of them asks a home.
const MAX_GO: u32 = 8;

/// `AdmissionController` is the admission of all models at one entry host.
#[derive(Debug, Default)]
pub struct AdmissionController {
    pools: Mutex<HashMap<Name, Pool>>,
    next: AtomicU64,
}

/// `Pool` is the admission of one model.
#[derive(Debug, Default)]
struct Pool {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Result<()>>>,
    pumping: bool,
}

impl AdmissionController {
    /// Returns a name for an arrival.
    pub fn ticket(&self) -> Ticket {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns how many wait for room.
    pub fn waiting(&self) -> usize {
        self.pools.lock().values().map(|pool| pool.waiters.len()).sum()
    }

    /// Lets an arrival pass, after a wait if need be, or refuses it.
    pub async fn pass(
        &self,
        node: &Arc<Node>,
        model: &Name,
        arrival: &Arrival,
        room: bool,
    ) -> Result<()> {
        let now = node.clock.now();
        let rx = {
            let mut pools = self.pools.lock();
            let pool = pools.entry(model.clone()).or_default();
            let displaced = match pool.admission.arrive(arrival, room, now) {
                Admitted::Go => return Ok(()),
                Admitted::Refuse(refusal) => return Err(refused(&refusal)),
                Admitted::Wait { displaced } => displaced,
            };
            if let Some(refusal) = displaced {
                pool.refuse(&refusal);
            }
            let (tx, rx) = oneshot::channel();
            pool.waiters.insert(arrival.ticket, tx);
            if !std::mem::replace(&mut pool.pumping, true) {
                task::spawn(pump(node.clone(), model.clone()));
            }
            rx
        };
        let _leave = Leave { gate: self, model, ticket: arrival.ticket };
        rx.await.unwrap_or_else(|_| Err(Error::new(ErrorCode::Overloaded, "the wait was ended")))
    }
}

impl Pool {
    fn refuse(&mut self, refusal: &Refusal) {
        if let Some(tx) = self.waiters.remove(&refusal.ticket) {
            let _ = tx.send(Err(refused(refusal)));
        }
    }
}

/// `Leave` forgets one that waits when its future is dropped.
struct Leave<'a> {
    gate: &'a AdmissionController,
    model: &'a Name,
    ticket: Ticket,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.gate.pools.lock().get_mut(self.model) {
            pool.waiters.remove(&self.ticket);
            pool.admission.leave(self.ticket);
        }
    }
}

/// Lets those who wait go, for as long as there are any.
async fn pump(node: Arc<Node>, model: Name) {
    loop {
        task::sleep(LOOK_INTERVAL).await;
        let room = node.router.free_slots(&node, &model).min(MAX_GO);
        let now = node.clock.now();
        let mut pools = node.gate.pools.lock();
        let Some(pool) = pools.get_mut(&model) else { return };
        for refusal in pool.admission.expire(now) {
            pool.refuse(&refusal);
        }
        for _ in 0..room {
            let Some(ticket) = pool.admission.next(now) else { break };
            if let Some(tx) = pool.waiters.remove(&ticket) {
                let _ = tx.send(Ok(()));
            }
        }
        if pool.waiters.is_empty() {
            pool.pumping = false;
            return;
        }
    }
}

fn refused(refusal: &Refusal) -> Error {
    let why = match refusal.reason {
        Reason::TooSlow => "the first token would be later than the row's target",
        Reason::TooLong => "the wait for room would be too long for the row's target",
        Reason::QueueFull => "as many requests wait as the row allows",
        Reason::Displaced => "its place in the queue went to a caller below its share",
        Reason::Late => "no room came free in time for the row's target",
    };
    Error::new(ErrorCode::Overloaded, why).retry_after(refusal.retry_after)
}
