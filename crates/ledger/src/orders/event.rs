//! The `event` module defines the order lock of a backend server, and the events and
//! actions of an order issuer.

use std::time::Instant;

use aspenloft_core::prelude::{Error, Name, Result};
use aspenloft_protocol::engine::OrderKind;
use aspenloft_protocol::platform::{Swap, Version};
use serde::{Deserialize, Serialize};

/// Returns the key of a backend server's order lock.
pub fn order_lock_key(backend: &str) -> String {
    format!("aspenloft/orders/{backend}")
}

/// `OrderLock` is the stored value that names the host which may send orders to a
/// backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLock {
    /// The host that holds the lock; `None` once it has released it.
    pub holder: Option<Name>,
    /// A number that identifies one acquisition of the lock. A read-back compares it
    /// to learn whether a swap took effect.
    pub nonce: u64,
}

/// `StoredLock` is an order lock as read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLock {
    /// The version of the key; zero when it does not exist yet.
    pub version: Version,
    /// The lock, if the key exists.
    pub lock: Option<OrderLock>,
}

/// `OrderId` identifies an order at this host.
pub type OrderId = u64;

/// `Event` is an input of an order issuer.
#[derive(Debug, Clone)]
pub enum Event {
    /// An operator issued an order.
    Order(OrderId, OrderKind),
    /// The result of [`Action::Read`].
    Read(Result<StoredLock>),
    /// The result of [`Action::Swap`].
    Swapped(Result<Swap>),
    /// The result of [`Action::Send`].
    Sent(Outcome),
}

/// `Outcome` is the known outcome of sending an order.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The backend server accepted it.
    Accepted,
    /// The backend server refused it, or no byte of it was sent.
    NotRun(Error),
    /// The backend server may have accepted it.
    Unknown(Error),
}

/// `Action` is an output of an order issuer, for the host to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the lock.
    Read,
    /// Replace the lock by a compare-and-swap.
    Swap {
        /// The version that the key must have.
        expect: Version,
        /// The new value.
        lock: OrderLock,
    },
    /// Release the lock; no event is expected for the result.
    Release {
        /// The version that the key must have.
        expect: Version,
        /// The new value, without a holder.
        lock: OrderLock,
    },
    /// Send the order, unless `not_after` has passed when the connection is open.
    Send {
        /// What the backend server is ordered to do.
        kind: OrderKind,
        /// The fencing number, which is the version of the lock.
        fence: Version,
        /// The last moment at which it may be sent.
        not_after: Instant,
    },
    /// Answer the operator with the fencing number of the accepted order.
    Answer(OrderId, Result<Version>),
}
