//! The `event` module defines the seat of a backend server, and what a desk is told
//! and asks for.

use std::time::Instant;

use aspenloft_core::prelude::{Error, Name, Result};
use aspenloft_protocol::engine::OrderKind;
use aspenloft_protocol::platform::{Swap, Version};
use serde::{Deserialize, Serialize};

/// Returns the key of a backend server's seat.
pub fn order_lock_key(backend: &str) -> String {
    format!("aspenloft/orders/{backend}")
}

/// `OrderLock` is the value of the key that names who may give orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLock {
    /// The holder; none once it has given the seat up.
    pub holder: Option<Name>,
    /// Tells one taking of the seat from all others, for a read-back.
    pub nonce: u64,
}

/// `StoredLock` is a seat as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLock {
    /// Its version; zero when there is none yet.
    pub version: Version,
    /// The seat, if there is one.
    pub lock: Option<OrderLock>,
}

/// `OrderId` names one order at this host.
pub type OrderId = u64;

/// `Event` is what a desk is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// An operator gives an order.
    Order(OrderId, OrderKind),
    /// [`Action::Read`] is done.
    Read(Result<StoredLock>),
    /// [`Action::Swap`] is done.
    Swapped(Result<Swap>),
    /// [`Action::Send`] is done.
    Sent(Outcome),
}

/// `Outcome` is what is known of an order that was to be sent.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The backend server has taken it.
    Accepted,
    /// The backend server refused it, or no byte of it was sent.
    NotRun(Error),
    /// The backend server may have taken it.
    Unknown(Error),
}

/// `Action` is what a desk asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the seat.
    Read,
    /// Swap the seat.
    Swap {
        /// The version that it must have.
        expect: Version,
        /// The new seat.
        lock: OrderLock,
    },
    /// Give the seat up; nobody waits for the result.
    Release {
        /// The version that it must have.
        expect: Version,
        /// The new seat.
        lock: OrderLock,
    },
    /// Send the order, unless `not_after` has passed when its connection stands.
    Send {
        /// What to do.
        kind: OrderKind,
        /// The fencing number.
        fence: Version,
        /// The last moment at which it may be sent.
        not_after: Instant,
    },
    /// Answer the operator with the fencing number of the taken order.
    Answer(OrderId, Result<Version>),
}
