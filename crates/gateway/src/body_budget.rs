//! The `body_budget` module bounds the memory of requests' bodies, which are read as a whole
//! so that a call can be sent again.

use std::sync::atomic::{AtomicUsize, Ordering};

use aspenloft_core::prelude::Arc;

/// The share of a process's memory that bodies may take.
const MEMORY_SHARE: usize = 4;

/// What a body counts whose length is not known before it has been read, in bytes.
const UNKNOWN_LENGTH: usize = 64 * 1024;

/// `BodyBudget` counts the bytes of the bodies that are held.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    reserved: AtomicUsize,
}

/// `BodyReservation` stands for one body until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    length: usize,
}

impl BodyBudget {
    /// Creates the count for a process that may use `memory_mb` MB.
    pub fn new(memory_mb: u64) -> Arc<BodyBudget> {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024 * 1024);
        Arc::new(BodyBudget { limit: memory / MEMORY_SHARE, reserved: AtomicUsize::new(0) })
    }

    /// Counts a body of `length` bytes, or returns `None` when there is no room for it.
    pub fn reserve(self: &Arc<Self>, length: Option<u64>) -> Option<BodyReservation> {
        let length = length.map_or(UNKNOWN_LENGTH, |l| usize::try_from(l).unwrap_or(usize::MAX));
        let updated = self.reserved.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |reserved| {
            reserved.checked_add(length).filter(|sum| *sum <= self.limit)
        });
        updated.ok().map(|_| BodyReservation { budget: self.clone(), length })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.length, Ordering::SeqCst);
    }
}
