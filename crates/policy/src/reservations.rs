//! The `reservations` module tracks the slots of one decode server at its home host,
//! the only host that grants them; see `docs/design/reservations.md`.
//!
//! A reservation is *timed*: it asks for a slot from the predicted end of prefill and
//! transfer on, not from now. A slot that is in use now but predicted to be free by
//! then can be reserved, while running streams never exceed the slots.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::clock::after;
use aspenloft_core::prelude::{BackendState, RequestId, ReservationId};

/// The remaining time assumed for a stream that runs past its predicted end.
const MIN_REMAINING: Duration = Duration::from_millis(50);

/// `ReservationOptions` configures [`Reservations`].
#[derive(Debug, Clone, Copy)]
pub struct ReservationOptions {
    /// How long after its planned start an unused reservation expires.
    pub slack: Duration,
    /// The percentage of slots that only priorities of at least `headroom_below` may use.
    pub headroom_percent: u32,
    /// Requests with a lower priority may not use the headroom.
    pub headroom_below: u8,
}

impl Default for ReservationOptions {
    fn default() -> Self {
        ReservationOptions { slack: Duration::from_secs(2), headroom_percent: 5, headroom_below: 3 }
    }
}

/// `SlotRequest` asks for a slot from a given time on.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The id of the new reservation.
    pub id: ReservationId,
    /// The request that the slot is for.
    pub request: RequestId,
    /// When the stream is expected to start.
    pub starts: Instant,
    /// The predicted duration of the stream.
    pub expected: Duration,
    /// The row's priority; see [`ReservationOptions::headroom_below`].
    pub priority: u8,
}

/// `StartOutcome` is the result of [`Reservations::start`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The slot is in use now.
    Started,
    /// All slots are still in use, contrary to the prediction; one is expected to be
    /// free after this time.
    Wait(Duration),
    /// The reservation has expired or never existed.
    Expired,
}

/// `Slot` is a slot that is reserved or in use.
#[derive(Debug, Clone)]
struct Slot {
    request: RequestId,
    running: bool,
    starts: Instant,
    /// The predicted end of the stream.
    ends: Instant,
    /// When the slot is released automatically.
    expires: Instant,
}

impl Slot {
    /// Returns whether the slot is predicted at `now` to be in use at `t`.
    fn is_used_at(&self, t: Instant, now: Instant) -> bool {
        self.starts <= t && t < self.predicted_end(now)
    }

    fn predicted_end(&self, now: Instant) -> Instant {
        self.ends.max(now + MIN_REMAINING)
    }
}

/// `Reservations` tracks the slots of one decode server.
#[derive(Debug, Default)]
pub struct Reservations {
    options: ReservationOptions,
    slots: u32,
    /// Streams on the engine without a reservation here.
    external_streams: u32,
    held: HashMap<ReservationId, Slot>,
}

impl Reservations {
    /// Creates an empty tracker without slots; see [`Reservations::set_slots`].
    pub fn new(options: ReservationOptions) -> Reservations {
        Reservations { options, ..Reservations::default() }
    }

    /// Sets how many slots the server has.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns how many slots the server has.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many slots are reserved or in use.
    pub fn taken(&self) -> u32 {
        self.held.len() as u32 + self.external_streams
    }

    /// Returns the number of reservations, started or not.
    pub fn reservation_count(&self) -> usize {
        self.held.len()
    }

    /// Returns how many slots are in use.
    pub fn running(&self) -> u32 {
        let own = self.held.values().filter(|slot| slot.running).count();
        own as u32 + self.external_streams
    }

    /// Reserves a slot from `req.starts` on, or returns the current state when none is
    /// free then.
    pub fn reserve(&mut self, req: SlotRequest, now: Instant) -> Result<(), BackendState> {
        self.expire(now);
        let limit = self.slot_limit(req.priority);
        let starts = req.starts.max(now);
        if !self.fits(starts, starts + req.expected, limit, now) {
            return Err(self.state(now));
        }
        let slot = Slot {
            request: req.request,
            running: false,
            starts,
            ends: starts + req.expected,
            expires: starts + self.options.slack,
        };
        self.held.insert(req.id, slot);
        Ok(())
    }

    /// Starts the stream of a reservation, which expires after `max_duration`.
    pub fn start(
        &mut self,
        id: ReservationId,
        max_duration: Duration,
        now: Instant,
    ) -> StartOutcome {
        self.expire(now);
        let full = self.running() >= self.slots;
        let wait = self.earliest_end(now).saturating_duration_since(now);
        let Some(slot) = self.held.get_mut(&id) else { return StartOutcome::Expired };
        if slot.running {
            return StartOutcome::Started;
        }
        if full {
            return StartOutcome::Wait(wait);
        }
        let expected = slot.ends - slot.starts;
        slot.running = true;
        slot.starts = now;
        slot.ends = after(now, expected);
        slot.expires = after(now, max_duration);
        StartOutcome::Started
    }

    /// Postpones the start of a reservation whose prefill takes longer than planned;
    /// returns `false` when the reservation has expired.
    pub fn postpone(&mut self, id: ReservationId, starts: Instant, now: Instant) -> bool {
        self.expire(now);
        let slack = self.options.slack;
        let Some(slot) = self.held.get_mut(&id) else { return false };
        if !slot.running && starts > slot.starts {
            slot.ends = starts + (slot.ends - slot.starts);
            slot.starts = starts;
            slot.expires = starts + slack;
        }
        true
    }

    /// Updates the predicted end of a running stream.
    pub fn set_predicted_end(&mut self, id: ReservationId, ends: Instant) {
        if let Some(slot) = self.held.get_mut(&id)
            && slot.running
        {
            slot.ends = ends;
        }
    }

    /// Sets the number of the engine's streams that have no reservation here, as reported
    /// by the engine. After a change of home these are the streams of the former home.
    pub fn set_external_streams(&mut self, streams: u32) {
        self.external_streams = streams;
    }

    /// Releases a slot, whether reserved or in use, and returns its request.
    pub fn release(&mut self, id: ReservationId) -> Option<RequestId> {
        self.held.remove(&id).map(|slot| slot.request)
    }

    /// Removes expired slots.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, slot| slot.expires > now);
    }

    /// Returns whether a reservation exists, started or not.
    pub fn contains(&self, id: ReservationId) -> bool {
        self.held.contains_key(&id)
    }

    /// Returns the state of the slots at `now`.
    pub fn state(&self, now: Instant) -> BackendState {
        BackendState {
            slots: self.slots,
            taken: self.taken(),
            free_in: self.next_free_at(now).saturating_duration_since(now),
            ..BackendState::default()
        }
    }

    /// Returns the number of slots that a priority may use.
    fn slot_limit(&self, priority: u8) -> u32 {
        if priority >= self.options.headroom_below {
            return self.slots;
        }
        let kept = (self.slots * self.options.headroom_percent).div_ceil(100);
        self.slots.saturating_sub(kept).max(1).min(self.slots)
    }

    /// Returns whether one more stream fits from `starts` to `ends`.
    ///
    /// The number of used slots increases only where a slot's use starts, so it is
    /// enough to check `starts` and the later starts before `ends`.
    fn fits(&self, starts: Instant, ends: Instant, limit: u32, now: Instant) -> bool {
        let later = self.held.values().map(|h| h.starts).filter(|t| *t > starts && *t < ends);
        std::iter::once(starts).chain(later).all(|t| self.used_at(t, now) < limit)
    }

    fn used_at(&self, t: Instant, now: Instant) -> u32 {
        let own = self.held.values().filter(|slot| slot.is_used_at(t, now)).count();
        own as u32 + self.external_streams
    }

    /// Returns the earliest time at which a slot is predicted to be free.
    fn next_free_at(&self, now: Instant) -> Instant {
        if self.used_at(now, now) < self.slots {
            return now;
        }
        let ends = self.held.values().map(|slot| slot.predicted_end(now));
        let free = ends.filter(|t| self.used_at(*t, now) < self.slots);
        free.min().unwrap_or_else(|| self.earliest_end(now))
    }

    fn earliest_end(&self, now: Instant) -> Instant {
        let running = self.held.values().filter(|slot| slot.running);
        running.map(|slot| slot.predicted_end(now)).min().unwrap_or(now + MIN_REMAINING)
    }
}
