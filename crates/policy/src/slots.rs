//! The `slots` module counts the room on one backend server at its home host.

use std::collections::HashMap;
use std::time::Instant;

use aspenloft_core::prelude::{RequestId, ReservationId};

/// `SlotBook` is the exact account of one backend server's slots.
#[derive(Debug, Default)]
pub struct SlotBook {
    slots: u32,
    held: HashMap<ReservationId, Held>,
}

/// `Held` is one slot that is reserved or in use.
#[derive(Debug)]
struct Held {
    request: RequestId,
    ends: Instant,
}

impl SlotBook {
    /// Sets how many slots the server has.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns how many slots the server has.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many slots are taken.
    pub fn taken(&self) -> u32 {
        self.held.len() as u32
    }

    /// Returns how many holds have not lapsed.
    pub fn standing(&self, now: Instant) -> usize {
        self.held.values().filter(|held| held.ends > now).count()
    }

    /// Takes a slot until `ends`; `false` when all are taken.
    pub fn take(
        &mut self,
        id: ReservationId,
        request: RequestId,
        ends: Instant,
        now: Instant,
    ) -> bool {
        self.held.retain(|_, held| held.ends > now);
        if self.taken() >= self.slots {
            return false;
        }
        self.held.insert(id, Held { request, ends });
        true
    }

    /// Moves the end of a slot's hold; `false` when it has lapsed.
    pub fn extend(&mut self, id: ReservationId, ends: Instant) -> bool {
        match self.held.get_mut(&id) {
            Some(held) => {
                held.ends = ends;
                true
            }
            None => false,
        }
    }

    /// Gives a slot back.
    pub fn release(&mut self, id: ReservationId) -> Option<RequestId> {
        self.held.remove(&id).map(|held| held.request)
    }
}
