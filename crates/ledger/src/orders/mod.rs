//! The `orders` module decides about orders to one backend server: a single writer
//! with a fencing number. `docs/design/orders.md` gives the design.
//!
//! The *seat* of a backend server is a key in the key-value service. Who swaps it
//! holds it, and the version of the swap is the fencing number. Backend servers that
//! check it need nothing more. For others the holder only sends for a short while
//! after its swap began, and whoever takes the seat from a holder that has not given
//! it up first waits until all that the holder may have sent must be over.

pub mod event;

use std::time::{Duration, Instant};

use crate::backoff::Backoff;
use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::prelude::{Execution, Name};
use aspenloft_protocol::engine::OrderKind;
use aspenloft_protocol::platform::{Swap, Version};
use event::{Action, Event, OrderId, OrderLock, Outcome, StoredLock};

/// How long after the start of its swap a holder may send its order.
pub const SEND_WINDOW: Duration = Duration::from_secs(2);

/// How long after its receipt a backend server may still start an order.
pub const ORDER_VALID: Duration = Duration::from_secs(2);

/// The longest time that an order may be on its way.
pub const ORDER_IN_FLIGHT: Duration = Duration::from_secs(5);

/// The allowance for two hosts' clocks that run at different rates.
pub const CLOCK_DRIFT: Duration = Duration::from_secs(1);

/// How long a seat must stay unchanged before it is taken from its holder, where the
/// backend server does not check fencing numbers.
pub const TAKEOVER_WAIT: Duration = Duration::from_secs(
    SEND_WINDOW.as_secs()
        + ORDER_IN_FLIGHT.as_secs()
        + ORDER_VALID.as_secs()
        + CLOCK_DRIFT.as_secs(),
);

/// `OrderIssuer` gives the orders of one host to one backend server, one at a time.
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

/// `State` is how far the order in hand has come.
#[derive(Debug)]
enum State {
    Idle,
    Reading(InHand),
    /// The seat is being swapped, since `started`.
    Taking {
        order: InHand,
        started: Instant,
        nonce: u64,
    },
    /// The swap's answer was lost, and the seat is read again.
    Settling {
        order: InHand,
        started: Instant,
        nonce: u64,
    },
    Sending {
        order: InHand,
        fence: Version,
    },
}

/// `InHand` is the order that the desk is about.
#[derive(Debug, Clone)]
struct InHand {
    id: OrderId,
    kind: OrderKind,
}

/// `Observed` is a seat that another taking holds, and since when this desk has seen
/// it unchanged.
#[derive(Debug, Clone, Copy)]
struct Observed {
    version: Version,
    since: Instant,
}

impl OrderIssuer {
    /// Creates the desk of the host `me`. The seed must differ between processes: it
    /// starts the nonces and spreads the retries.
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
            Event::Order(id, kind) => self.on_order(InHand { id, kind }, now),
            Event::Read(found) => self.on_read(found, now),
            Event::Swapped(result) => self.on_swapped(result, now),
            Event::Sent(outcome) => self.on_sent(outcome),
        }
    }

    fn on_order(&mut self, order: InHand, now: Instant) -> Vec<Action> {
        if !matches!(self.state, State::Idle) {
            let e = conflict("another order to this backend server is under way");
            return answer(order, Err(e.retry_after(SEND_WINDOW)));
        }
        if let Some(pause) = self.backoff.pause(now) {
            return answer(order, Err(service_down(pause)));
        }
        self.state = State::Reading(order);
        vec![Action::Read]
    }

    fn on_read(&mut self, found: Result<StoredLock>, now: Instant) -> Vec<Action> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Reading(order) => match found {
                Ok(found) => self.consider(order, found, now),
                Err(_) => self.fail(order, now),
            },
            State::Settling { order, started, nonce } => match found {
                Ok(found) => self.settle(order, started, nonce, found, now),
                Err(_) => self.fail(order, now),
            },
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    /// Takes the seat, or says how long its holder must be waited out.
    fn consider(&mut self, order: InHand, found: StoredLock, now: Instant) -> Vec<Action> {
        self.backoff.succeed();
        let held = found.lock.is_some_and(|lock| lock.holder.is_some());
        if held && !self.fencing_checked {
            let left = self.left_to_wait(found.version, now);
            if !left.is_zero() {
                let e = conflict("an earlier order may still be on its way");
                return answer(order, Err(e.retry_after(left)));
            }
        }
        self.nonces = self.nonces.wrapping_add(1);
        let nonce = self.nonces;
        let lock = OrderLock { holder: Some(self.me.clone()), nonce };
        self.state = State::Taking { order, started: now, nonce };
        vec![Action::Swap { expect: found.version, lock }]
    }

    /// Returns how much longer the seat must stay at `version`. The wait starts when
    /// this desk first saw it, which is after its holder's swap.
    fn left_to_wait(&mut self, version: Version, now: Instant) -> Duration {
        let known = self.observed.filter(|observed| observed.version == version);
        let observed = known.unwrap_or(Observed { version, since: now });
        self.observed = Some(observed);
        (observed.since + TAKEOVER_WAIT).saturating_duration_since(now)
    }

    fn on_swapped(&mut self, result: Result<Swap>, now: Instant) -> Vec<Action> {
        let State::Taking { order, started, nonce } =
            std::mem::replace(&mut self.state, State::Idle)
        else {
            return Vec::new();
        };
        match result {
            Ok(Swap::Done(fence)) => self.send(order, started, fence, now),
            Ok(Swap::Conflict(_)) => {
                let e = conflict("another host took the seat first");
                answer(order, Err(e.retry_after(SEND_WINDOW)))
            }
            Err(e) if e.execution == Execution::NotRun => self.fail(order, now),
            Err(_) => {
                self.state = State::Settling { order, started, nonce };
                vec![Action::Read]
            }
        }
    }

    /// Learns whether a swap whose answer was lost took effect.
    fn settle(
        &mut self,
        order: InHand,
        started: Instant,
        nonce: u64,
        found: StoredLock,
        now: Instant,
    ) -> Vec<Action> {
        let mine = OrderLock { holder: Some(self.me.clone()), nonce };
        if found.lock == Some(mine) {
            return self.send(order, started, found.version, now);
        }
        // Should the swap still take effect, the seat is held with nothing sent.
        self.fail(order, now)
    }

    fn send(
        &mut self,
        order: InHand,
        started: Instant,
        fence: Version,
        now: Instant,
    ) -> Vec<Action> {
        self.backoff.succeed();
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
            // The seat stays held, so that the next holder waits the order out.
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

    fn fail(&mut self, order: InHand, now: Instant) -> Vec<Action> {
        let pause = self.backoff.fail(now);
        answer(order, Err(service_down(pause)))
    }
}

fn answer(order: InHand, result: Result<Version>) -> Vec<Action> {
    vec![Action::Answer(order.id, result)]
}

fn conflict(message: &str) -> Error {
    Error::new(ErrorCode::Conflict, message)
}

fn service_down(pause: Duration) -> Error {
    unavailable("the key-value service does not answer; the order was not sent").retry_after(pause)
}
