//! The `body_budget` module limits the memory that buffered bodies take. Request bodies
//! are buffered in full so that a request can be sent again, and response bodies so that it
//! is sent again if the response breaks off.

use std::sync::atomic::{AtomicUsize, Ordering};

use aspenloft_core::prelude::Arc;

/// The number by which the process's memory is divided to get the limit for bodies.
const MEMORY_DIVISOR: usize = 4;

/// The bytes that are reserved for a body without a `Content-Length`.
const UNKNOWN_LENGTH_BYTES: usize = 64 * 1024;

/// `BodyBudget` counts the bytes that are reserved for buffered bodies.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    reserved: AtomicUsize,
}

/// `BodyReservation` reserves the bytes of one body until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    length: usize,
}

impl BodyBudget {
    /// Creates the budget of a process that may use `memory_mb` MiB.
    pub fn new(memory_mb: u64) -> Arc<BodyBudget> {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024 * 1024);
        Arc::new(BodyBudget { limit: memory / MEMORY_DIVISOR, reserved: AtomicUsize::new(0) })
    }

    /// Reserves memory for a body of `length` bytes, where `None` means an unknown
    /// length. Returns `None` when the limit would be exceeded.
    pub fn reserve(self: &Arc<Self>, length: Option<u64>) -> Option<BodyReservation> {
        let length =
            length.map_or(UNKNOWN_LENGTH_BYTES, |l| usize::try_from(l).unwrap_or(usize::MAX));
        self.add(length).then(|| BodyReservation { budget: self.clone(), length })
    }

    fn add(&self, length: usize) -> bool {
        let updated = self.reserved.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |reserved| {
            reserved.checked_add(length).filter(|sum| *sum <= self.limit)
        });
        updated.is_ok()
    }
}

impl BodyReservation {
    /// Grows the reservation to `length` bytes. Returns false when the limit would be
    /// exceeded.
    pub fn grow_to(&mut self, length: usize) -> bool {
        let more = length.saturating_sub(self.length);
        let grown = self.budget.add(more);
        self.length += if grown { more } else { 0 };
        grown
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.length, Ordering::SeqCst);
    }
}
