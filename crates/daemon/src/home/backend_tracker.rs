//! The `backend_tracker` module is what a home knows of one backend server: its room, its
//! speed, and whether it takes work.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::prelude::{BackendRole, BackendState, ReservationId, Tokens};
use aspenloft_core::standing::Fingerprint;
use aspenloft_policy::estimate::{Mean, StepModel};
use aspenloft_policy::queue::{PrefillQueue, PrefillRequest, scale};
use aspenloft_policy::reservations::{Begin, Reservations, SlotRequest};
use aspenloft_protocol::engine::PrefillResult;
use aspenloft_protocol::peer::home::ReserveRequest;

/// The time for a token of prefill before any was measured.
const INITIAL_PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);

/// The time of a decode step before any was measured.
const INITIAL_STEP: Duration = Duration::from_millis(30);

/// How long a server that refused new work is left alone.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// `BackendTracker` is what a home knows of one backend server.
#[derive(Debug)]
pub struct BackendTracker {
    slots: Reservations,
    queue: PrefillQueue,
    prefill: Mean,
    step: StepModel,
    /// Whether the server's own counts have been read.
    pub counts_known: bool,
    closed_until: Option<Instant>,
    unreachable: bool,
    /// Reservations of requests that may crash their server.
    suspects: HashMap<ReservationId, Fingerprint>,
}

impl Default for BackendTracker {
    fn default() -> Self {
        BackendTracker {
            slots: Reservations::default(),
            queue: PrefillQueue::new(INITIAL_PREFILL_PER_TOKEN),
            prefill: Mean::default(),
            step: StepModel::default(),
            counts_known: false,
            closed_until: None,
            unreachable: false,
            suspects: HashMap::new(),
        }
    }
}

impl BackendTracker {
    /// Takes the server's own word on its slots and on those that others use.
    pub fn set_slot_counts(&mut self, slots: u32, foreign: u32) {
        self.slots.set_slots(slots);
        self.slots.set_foreign(foreign);
        self.counts_known = true;
        self.unreachable = false;
    }

    /// Takes the server's word on the slots that others use.
    pub fn set_foreign_slots(&mut self, foreign: u32) {
        self.slots.set_foreign(foreign);
        self.unreachable = false;
    }

    /// Notes a failure of the server, so that it gets no new work for a while.
    pub fn record_failure(&mut self, e: &Error, now: Instant) {
        match e.code {
            ErrorCode::NotReady => self.closed_until = Some(now + REFUSAL_BACKOFF),
            ErrorCode::Unavailable | ErrorCode::Timeout => self.unreachable = true,
            _ => (),
        }
    }

    /// Tells whether the server takes no new work.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.unreachable || self.closed_until.is_some_and(|until| now < until)
    }

    /// Reserves room for a request, or returns the fresh state.
    pub fn reserve(
        &mut self,
        role: BackendRole,
        id: ReservationId,
        req: &ReserveRequest,
        now: Instant,
    ) -> Result<(), BackendState> {
        if self.is_closed(now) {
            return Err(self.state(role, now));
        }
        let request = req.request.clone();
        let reserved = match role {
            BackendRole::Prefill => {
                let (tokens, patience) = (req.prompt_tokens, req.starts_in);
                self.queue.reserve(PrefillRequest { id, request, tokens, patience }, now)
            }
            _ => {
                let expected = scale(self.step_time(), req.expected_tokens);
                let (starts, priority) = (now + req.starts_in, req.priority);
                self.slots.reserve(SlotRequest { id, request, starts, expected, priority }, now)
            }
        };
        reserved.map_err(|_| self.state(role, now))
    }

    /// Starts a reserved prefill; `false` when the reservation has lapsed.
    pub fn begin_prefill(&mut self, id: ReservationId, longest: Duration, now: Instant) -> bool {
        self.queue.begin(id, longest, now)
    }

    /// Starts a reserved decode.
    pub fn begin_decode(&mut self, id: ReservationId, longest: Duration, now: Instant) -> Begin {
        self.slots.begin(id, longest, now)
    }

    /// Keeps a decode reservation whose prefill takes longer than planned.
    pub fn postpone(&mut self, id: ReservationId, starts: Instant, now: Instant) -> bool {
        self.slots.postpone(id, starts, now)
    }

    /// Notes that a reservation is for a suspect.
    pub fn add_suspect(&mut self, id: ReservationId, fingerprint: Fingerprint) {
        self.suspects.insert(id, fingerprint);
    }

    /// Tells whether a suspect other than `than` has room here or is among `running`.
    pub fn has_other_suspect(
        &mut self,
        running: &[Fingerprint],
        than: Fingerprint,
        now: Instant,
    ) -> bool {
        self.expire(now);
        self.suspects.values().chain(running).any(|fingerprint| *fingerprint != than)
    }

    /// Gives room back, of whichever kind.
    pub fn release(&mut self, id: ReservationId, now: Instant) {
        self.suspects.remove(&id);
        if self.slots.release(id).is_none() {
            self.queue.release(id, now);
        }
    }

    /// Learns from a prefill.
    pub fn record_prefill(&mut self, result: &PrefillResult) {
        let worked = result.prompt_tokens.saturating_sub(result.cached_tokens);
        // A short prefill is mostly overhead and says nothing of the rate.
        if worked >= Tokens(16) {
            self.prefill.add(result.took.as_secs_f64() / worked.0 as f64);
            self.queue.set_per_token(Duration::from_secs_f64(self.prefill.or(0.0).max(0.0)));
        }
    }

    /// Learns from `tokens` steps that took `span`, and predicts the stream's end.
    pub fn record_steps(
        &mut self,
        id: ReservationId,
        tokens: u64,
        span: Duration,
        left: Tokens,
        now: Instant,
    ) {
        let step = span / u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
        self.step.add(self.slots.running(), step);
        let step = self.step_time();
        self.slots.predict(id, now + scale(step, left));
    }

    /// Describes the account as of `now`.
    pub fn state(&self, role: BackendRole, now: Instant) -> BackendState {
        let mut state = match role {
            BackendRole::Prefill => self.queue.state(now),
            _ => self.slots.state(now),
        };
        state.slots = self.slots.slots();
        state.step = self.step.predict(self.slots.running() + 1).unwrap_or_default();
        state.prefill_per_token = Duration::from_secs_f64(self.prefill.or(0.0).max(0.0));
        state.closed = self.is_closed(now);
        state
    }

    /// Returns how many reservations stand.
    pub fn reservation_count(&self) -> usize {
        self.slots.standing() + self.queue.len()
    }

    /// Drops what has lapsed.
    pub fn expire(&mut self, now: Instant) {
        self.slots.expire(now);
        self.queue.expire(now);
        self.suspects.retain(|id, _| self.slots.holds(*id) || self.queue.holds(*id));
    }

    fn step_time(&self) -> Duration {
        self.step.predict(self.slots.running() + 1).unwrap_or(INITIAL_STEP)
    }
}
