//! The `orders` module issues orders to one backend server, with a single writer at a
//! time and fencing numbers. `docs/design/orders.md`, which calls the order lock the
//! *seat*, describes the design.
//!
//! The order lock of a backend server is a key in the key-value service. The host that
//! swaps it holds it, and the version of the swap is the fencing number. This is
//! sufficient for backend servers that check fencing numbers. For the others a holder
//! sends only for a short time after it started its swap, and a host that takes the
//! lock from a holder which has not released it first waits until every order that
//! the holder may have sent must have been executed or dropped.

pub mod event;

use std::time::{Duration, Instant};

use crate::backoff::Backoff;
use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::prelude::{Execution, Name};
use aspenloft_protocol::engine::OrderKind;
use aspenloft_protocol::platform::{Swap, Version};
use event::{Action, Event, OrderId, OrderLock, Outcome, StoredLock};

/// The time after the start of its swap in which a holder may send its order.
pub const SEND_WINDOW: Duration = Duration::from_secs(2);

/// The time after receiving an order in which a backend server may start it.
pub const ORDER_VALIDITY: Duration = Duration::from_secs(2);

/// The longest time that an order may be in transit.
pub const MAX_ORDER_TRANSIT: Duration = Duration::from_secs(5);

/// The allowance for the clocks of two hosts running at different rates.
pub const CLOCK_DRIFT: Duration = Duration::from_secs(1);

/// How long a held lock must stay unchanged before another host may take it, if the
/// backend server does not check fencing numbers.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(
    SEND_WINDOW.as_secs()
        + MAX_ORDER_TRANSIT.as_secs()
        + ORDER_VALIDITY.as_secs()
        + CLOCK_DRIFT.as_secs(),
);

/// `OrderIssuer` issues the orders of one host to one backend server, one at a time.
#[derive(Debug)]
pub struct OrderIssuer {
    me: Name,
    /// Whether the backend server refuses old fencing numbers.
    fencing_checked: bool,
    state: State,
    observed: Option<Observed>,
    nonces: u64,
    backoff: Backoff,
}

/// `State` is the progress of the current order.
#[derive(Debug)]
enum State {
    Idle,
    Reading(PendingOrder),
    /// The swap of the lock was started at `started`.
    Locking {
        order: PendingOrder,
        started: Instant,
        nonce: u64,
    },
    /// The answer to the swap was lost, and the lock is read to learn its result.
    ReadingBack {
        order: PendingOrder,
        started: Instant,
        nonce: u64,
    },
    Sending {
        order: PendingOrder,
        fence: Version,
    },
}

/// `PendingOrder` is the order in progress.
#[derive(Debug, Clone)]
struct PendingOrder {
    id: OrderId,
    kind: OrderKind,
}

/// `Observed` is the version at which this host last read a held lock, and since when it
/// has read that version.
#[derive(Debug, Clone, Copy)]
struct Observed {
    version: Version,
    since: Instant,
}

impl OrderIssuer {
    /// Creates the issuer of the host `me`. The seed must differ between processes,
    /// since the nonces start at it and the jitter of retries depends on it.
    pub fn new(me: Name, fencing_checked: bool, seed: u64) -> OrderIssuer {
        let backoff = Backoff::new(seed);
        OrderIssuer {
            me,
            fencing_checked,
            state: State::Idle,
            observed: None,
            nonces: seed,
            backoff,
        }
    }

    /// Sets whether the backend server refuses old fencing numbers.
    pub fn set_fencing_checked(&mut self, fencing_checked: bool) {
        self.fencing_checked = fencing_checked;
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Order(id, kind) => self.on_order(PendingOrder { id, kind }, now),
            Event::Read(found) => self.on_read(found, now),
            Event::Swapped(result) => self.on_swapped(result, now),
            Event::Sent(outcome) => self.on_sent(outcome),
        }
    }

    fn on_order(&mut self, order: PendingOrder, now: Instant) -> Vec<Action> {
        if !matches!(self.state, State::Idle) {
            let e = conflict("another order to this backend server is in progress");
            return answer(order, Err(e.retry_after(SEND_WINDOW)));
        }
        if let Some(pause) = self.backoff.remaining_pause(now) {
            return answer(order, Err(service_down(pause)));
        }
        self.state = State::Reading(order);
        vec![Action::Read]
    }

    fn on_read(&mut self, found: Result<StoredLock>, now: Instant) -> Vec<Action> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Reading(order) => match found {
                Ok(found) => self.acquire(order, found, now),
                Err(_) => self.fail(order, now),
            },
            State::ReadingBack { order, started, nonce } => match found {
                Ok(found) => self.resolve_swap(order, started, nonce, found, now),
                Err(_) => self.fail(order, now),
            },
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    /// Takes the lock, or refuses the order with the time until the lock can be taken
    /// from its holder.
    fn acquire(&mut self, order: PendingOrder, found: StoredLock, now: Instant) -> Vec<Action> {
        self.backoff.record_success();
        let held = found.lock.is_some_and(|lock| lock.holder.is_some());
        if held && !self.fencing_checked {
            let wait = self.remaining_wait(found.version, now);
            if !wait.is_zero() {
                let e = conflict("an earlier order may still be in transit");
                return answer(order, Err(e.retry_after(wait)));
            }
        }
        self.nonces = self.nonces.wrapping_add(1);
        let nonce = self.nonces;
        let lock = OrderLock { holder: Some(self.me.clone()), nonce };
        self.state = State::Locking { order, started: now, nonce };
        vec![Action::Swap { expect: found.version, lock }]
    }

    /// Returns how much longer the lock must stay at `version`. The wait starts when
    /// this host first reads that version, which is after its holder's swap.
    fn remaining_wait(&mut self, version: Version, now: Instant) -> Duration {
        let known = self.observed.filter(|observed| observed.version == version);
        let observed = known.unwrap_or(Observed { version, since: now });
        self.observed = Some(observed);
        (observed.since + TAKEOVER_WAIT).saturating_duration_since(now)
    }

    fn on_swapped(&mut self, result: Result<Swap>, now: Instant) -> Vec<Action> {
        let State::Locking { order, started, nonce } =
            std::mem::replace(&mut self.state, State::Idle)
        else {
            return Vec::new();
        };
        match result {
            Ok(Swap::Done(fence)) => self.send(order, started, fence, now),
            Ok(Swap::Conflict(_)) => {
                let e = conflict("another host took the order lock first");
                answer(order, Err(e.retry_after(SEND_WINDOW)))
            }
            Err(e) if e.execution == Execution::NotRun => self.fail(order, now),
            Err(_) => {
                self.state = State::ReadingBack { order, started, nonce };
                vec![Action::Read]
            }
        }
    }

    /// Determines from a read-back whether a swap whose answer was lost took effect.
    fn resolve_swap(
        &mut self,
        order: PendingOrder,
        started: Instant,
        nonce: u64,
        found: StoredLock,
        now: Instant,
    ) -> Vec<Action> {
        let mine = OrderLock { holder: Some(self.me.clone()), nonce };
        if found.lock == Some(mine) {
            return self.send(order, started, found.version, now);
        }
        // If the swap still takes effect later, the lock is held but nothing was sent.
        self.fail(order, now)
    }

    fn send(
        &mut self,
        order: PendingOrder,
        started: Instant,
        fence: Version,
        now: Instant,
    ) -> Vec<Action> {
        self.backoff.record_success();
        let not_after = started + SEND_WINDOW;
        if now > not_after {
            let e = Error::new(ErrorCode::Timeout, "the host was paused; the order was not sent");
            let mut actions = answer(order, Err(e));
            actions.push(self.release(fence));
            return actions;
        }
        let kind = order.kind.clone();
        self.state = State::Sending { order, fence };
        vec![Action::Send { kind, fence, not_after }]
    }

    fn on_sent(&mut self, outcome: Outcome) -> Vec<Action> {
        let State::Sending { order, fence } = std::mem::replace(&mut self.state, State::Idle)
        else {
            return Vec::new();
        };
        let result = match outcome {
            Outcome::Accepted => Ok(fence),
            Outcome::NotRun(e) => Err(e.execution(Execution::NotRun)),
            // The lock stays held, so that the next holder waits until the order must
            // have been executed or dropped.
            Outcome::Unknown(e) => return answer(order, Err(e.execution(Execution::Unknown))),
        };
        let mut actions = answer(order, result);
        actions.push(self.release(fence));
        actions
    }

    fn release(&mut self, fence: Version) -> Action {
        self.nonces = self.nonces.wrapping_add(1);
        Action::Release { expect: fence, lock: OrderLock { holder: None, nonce: self.nonces } }
    }

    fn fail(&mut self, order: PendingOrder, now: Instant) -> Vec<Action> {
        let pause = self.backoff.record_failure(now);
        answer(order, Err(service_down(pause)))
    }
}

fn answer(order: PendingOrder, result: Result<Version>) -> Vec<Action> {
    vec![Action::Answer(order.id, result)]
}

fn conflict(message: &str) -> Error {
    Error::new(ErrorCode::Conflict, message)
}

fn service_down(pause: Duration) -> Error {
    unavailable("the key-value service does not answer; the order was not sent").retry_after(pause)
}
