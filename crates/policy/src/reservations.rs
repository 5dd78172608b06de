//! The `reservations` module keeps the exact account of one decode server's slots
//! at its home host; see `docs/design/reservations.md`.
//!
//! A reservation is *timed*: it asks for a slot at the moment when prefill and
//! transfer will have ended, not now. A slot that is taken today but predicted to
//! be free by then can therefore be promised, while work that has begun never
//! exceeds the slots.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendState, RequestId, ReservationId};

/// The least time that a stream past its predicted end is taken to need yet.
const OVERRUN: Duration = Duration::from_millis(50);

/// `ReservationOptions` sets how an account treats its reservations.
#[derive(Debug, Clone, Copy)]
pub struct ReservationOptions {
    /// How long a reservation outlives its planned start before it lapses.
    pub slack: Duration,
    /// Slots of a hundred that only priorities above `headroom_below` may use.
    pub headroom_percent: u32,
    /// The priority below which the headroom is kept free.
    pub headroom_below: u8,
}

impl Default for ReservationOptions {
    fn default() -> Self {
        ReservationOptions { slack: Duration::from_secs(2), headroom_percent: 5, headroom_below: 3 }
    }
}

/// `SlotRequest` asks for a slot at a time.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The reservation's new id.
    pub id: ReservationId,
    /// The request that it is for.
    pub request: RequestId,
    /// When the slot is needed.
    pub starts: Instant,
    /// How long the stream will likely run.
    pub expected: Duration,
    /// Higher may use the headroom.
    pub priority: u8,
}

/// `Start` is the outcome of the start of reserved work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The slot is in use now.
    Started,
    /// All slots are in use against prediction; one is likely free after this time.
    Wait(Duration),
    /// The reservation has lapsed or was never made.
    Expired,
}

/// `Holding` is one slot that is reserved or in use.
#[derive(Debug, Clone)]
struct Holding {
    request: RequestId,
    running: bool,
    starts: Instant,
    /// The predicted end of the stream.
    ends: Instant,
    /// When the holding lapses by itself.
    lapses: Instant,
}

impl Holding {
    /// Tells whether the slot is likely in use at `t`, seen from `now`.
    fn covers(&self, t: Instant, now: Instant) -> bool {
        self.starts <= t && t < self.likely_end(now)
    }

    fn likely_end(&self, now: Instant) -> Instant {
        self.ends.max(now + OVERRUN)
    }
}

/// `Reservations` is the exact account of one decode server's slots.
#[derive(Debug, Default)]
pub struct Reservations {
    options: ReservationOptions,
    slots: u32,
    external_streams: u32,
    held: HashMap<ReservationId, Holding>,
}

impl Reservations {
    /// Creates an account without slots; see [`Reservations::set_slots`].
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

    /// Returns how many reservations stand, begun or not.
    pub fn reservation_count(&self) -> usize {
        self.held.len()
    }

    /// Returns how many slots are in use.
    pub fn running(&self) -> u32 {
        let own = self.held.values().filter(|holding| holding.running).count();
        own as u32 + self.external_streams
    }

    /// Reserves a slot from `ask.starts` on, or returns the fresh state.
    pub fn reserve(&mut self, ask: SlotRequest, now: Instant) -> Result<(), BackendState> {
        self.expire(now);
        let limit = self.limit(ask.priority);
        let starts = ask.starts.max(now);
        if !self.fits(starts, starts + ask.expected, limit, now) {
            return Err(self.state(now));
        }
        let holding = Holding {
            request: ask.request,
            running: false,
            starts,
            ends: starts + ask.expected,
            lapses: starts + self.options.slack,
        };
        self.held.insert(ask.id, holding);
        Ok(())
    }

    /// Starts the work of a reservation, which may then run up to `longest`.
    pub fn start(&mut self, id: ReservationId, longest: Duration, now: Instant) -> Start {
        self.expire(now);
        let full = self.running() >= self.slots;
        let wait = self.soonest_end(now).saturating_duration_since(now);
        let Some(holding) = self.held.get_mut(&id) else { return Start::Expired };
        if holding.running {
            return Start::Started;
        }
        if full {
            return Start::Wait(wait);
        }
        let expected = holding.ends - holding.starts;
        holding.running = true;
        holding.starts = now;
        holding.ends = now + expected;
        holding.lapses = now + longest;
        Start::Started
    }

    /// Moves the start of a reservation whose prefill takes longer than planned;
    /// `false` when it has lapsed.
    pub fn postpone(&mut self, id: ReservationId, starts: Instant, now: Instant) -> bool {
        self.expire(now);
        let slack = self.options.slack;
        let Some(holding) = self.held.get_mut(&id) else { return false };
        if !holding.running && starts > holding.starts {
            holding.ends = starts + (holding.ends - holding.starts);
            holding.starts = starts;
            holding.lapses = starts + slack;
        }
        true
    }

    /// Notes when a running stream is now predicted to end.
    pub fn set_predicted_end(&mut self, id: ReservationId, ends: Instant) {
        if let Some(holding) = self.held.get_mut(&id)
            && holding.running
        {
            holding.ends = ends;
        }
    }

    /// Sets how many slots of the engine others use, as its own list says. After a
    /// change of home these are the streams of the former home.
    pub fn set_external_streams(&mut self, streams: u32) {
        self.external_streams = streams;
    }

    /// Gives a slot back, whether reserved or in use.
    pub fn release(&mut self, id: ReservationId) -> Option<RequestId> {
        self.held.remove(&id).map(|holding| holding.request)
    }

    /// Drops what has lapsed.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, holding| holding.lapses > now);
    }

    /// Tells whether a reservation stands, begun or not.
    pub fn contains(&self, id: ReservationId) -> bool {
        self.held.contains_key(&id)
    }

    /// Describes the account as of `now`.
    pub fn state(&self, now: Instant) -> BackendState {
        BackendState {
            slots: self.slots,
            taken: self.taken(),
            free_in: self.free_at(now).saturating_duration_since(now),
            ..BackendState::default()
        }
    }

    /// Returns the slots that a priority may use.
    fn limit(&self, priority: u8) -> u32 {
        if priority >= self.options.headroom_below {
            return self.slots;
        }
        let kept = (self.slots * self.options.headroom_percent).div_ceil(100);
        self.slots.saturating_sub(kept).max(1).min(self.slots)
    }

    /// Tells whether one more stream fits from `starts` to `ends`.
    ///
    /// The use of slots only grows where a holding starts, thus it is enough to
    /// look at `starts` and at the later starts before `ends`.
    fn fits(&self, starts: Instant, ends: Instant, limit: u32, now: Instant) -> bool {
        let later = self.held.values().map(|h| h.starts).filter(|t| *t > starts && *t < ends);
        std::iter::once(starts).chain(later).all(|t| self.used_at(t, now) < limit)
    }

    fn used_at(&self, t: Instant, now: Instant) -> u32 {
        let own = self.held.values().filter(|holding| holding.covers(t, now)).count();
        own as u32 + self.external_streams
    }

    /// Returns the first time at which a short stream would fit.
    fn free_at(&self, now: Instant) -> Instant {
        if self.used_at(now, now) < self.slots {
            return now;
        }
        let ends = self.held.values().map(|holding| holding.likely_end(now));
        let free = ends.filter(|t| self.used_at(*t, now) < self.slots);
        free.min().unwrap_or_else(|| self.soonest_end(now))
    }

    fn soonest_end(&self, now: Instant) -> Instant {
        let running = self.held.values().filter(|holding| holding.running);
        running.map(|holding| holding.likely_end(now)).min().unwrap_or(now + OVERRUN)
    }
}
