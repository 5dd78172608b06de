//! The `backend_tracker` module tracks one backend server at its home host: its free
//! capacity, its speed, and whether it accepts work.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::prelude::{BackendRole, BackendState, ReservationId, Tokens};
use aspenloft_core::suspects::Fingerprint;
use aspenloft_policy::estimate::{MovingAverage, StepModel};
use aspenloft_policy::prefill_queue::{PrefillQueue, PrefillRequest, work_time};
use aspenloft_policy::reservations::{Reservations, SlotRequest, StartOutcome};
use aspenloft_protocol::engine::PrefillResult;
use aspenloft_protocol::peer::home::ReserveRequest;

/// The assumed prefill time for one token until one has been measured.
const INITIAL_PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);

/// The assumed time of a decode step until one has been measured.
const INITIAL_STEP: Duration = Duration::from_millis(30);

/// How long a server that answered `NotReady` gets no new work.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// `BackendTracker` holds the reservations, the measured speed and the availability
/// of one backend server.
#[derive(Debug)]
pub struct BackendTracker {
    slots: Reservations,
    queue: PrefillQueue,
    prefill_per_token_mean: MovingAverage,
    step: StepModel,
    /// Whether the slot counts have been read from the server.
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
            prefill_per_token_mean: MovingAverage::default(),
            step: StepModel::default(),
            counts_known: false,
            closed_until: None,
            unreachable: false,
            suspects: HashMap::new(),
        }
    }
}

impl BackendTracker {
    /// Sets the counts that the server reported: its slots, and those of them that
    /// requests of other hosts use.
    pub fn set_slot_counts(&mut self, slots: u32, external: u32) {
        self.slots.set_slots(slots);
        self.slots.set_external_streams(external);
        self.counts_known = true;
        self.unreachable = false;
    }

    /// Sets how many slots requests of other hosts use, as the server reported it.
    pub fn set_external_slots(&mut self, external: u32) {
        self.slots.set_external_streams(external);
        self.unreachable = false;
    }

    /// Records a failed call to the server, so that it gets no new work for
    /// `REFUSAL_BACKOFF`, or until it answers again if it was unreachable.
    pub fn record_failure(&mut self, e: &Error, now: Instant) {
        match e.code {
            ErrorCode::NotReady => self.closed_until = Some(now + REFUSAL_BACKOFF),
            ErrorCode::Unavailable | ErrorCode::Timeout => self.unreachable = true,
            _ => (),
        }
    }

    /// Returns whether the server accepts no new work.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.unreachable || self.closed_until.is_some_and(|until| now < until)
    }

    /// Reserves a place in the prefill queue or a decode slot for a request. On refusal
    /// it returns the current state of the server.
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
                let (tokens, starts_in) = (req.prompt_tokens, req.starts_in);
                self.queue.reserve(PrefillRequest { id, request, tokens, max_wait: starts_in }, now)
            }
            _ => {
                let expected = work_time(self.step_time(), req.expected_tokens);
                let (starts, priority) = (now + req.starts_in, req.priority);
                self.slots.reserve(SlotRequest { id, request, starts, expected, priority }, now)
            }
        };
        reserved.map_err(|_| self.state(role, now))
    }

    /// Starts a reserved prefill; `false` if the reservation has expired.
    pub fn begin_prefill(
        &mut self,
        id: ReservationId,
        max_duration: Duration,
        now: Instant,
    ) -> bool {
        self.queue.start(id, max_duration, now)
    }

    /// Starts a reserved decode.
    pub fn begin_decode(
        &mut self,
        id: ReservationId,
        max_duration: Duration,
        now: Instant,
    ) -> StartOutcome {
        self.slots.start(id, max_duration, now)
    }

    /// Extends a decode reservation whose prefill takes longer than predicted.
    pub fn postpone(&mut self, id: ReservationId, starts: Instant, now: Instant) -> bool {
        self.slots.postpone(id, starts, now)
    }

    /// Marks a reservation as one for a suspect, a request that may crash its server.
    pub fn add_suspect(&mut self, id: ReservationId, fingerprint: Fingerprint) {
        self.suspects.insert(id, fingerprint);
    }

    /// Returns whether a suspect other than `excluded` has a reservation here or is
    /// among `running`.
    pub fn has_other_suspect(
        &mut self,
        running: &[Fingerprint],
        excluded: Fingerprint,
        now: Instant,
    ) -> bool {
        self.expire(now);
        self.suspects.values().chain(running).any(|fingerprint| *fingerprint != excluded)
    }

    /// Releases a reservation of a decode slot or of a place in the prefill queue.
    pub fn release(&mut self, id: ReservationId, now: Instant) {
        self.suspects.remove(&id);
        if self.slots.release(id).is_none() {
            self.queue.release(id, now);
        }
    }

    /// Updates the measured prefill speed from a finished prefill.
    pub fn record_prefill(&mut self, result: &PrefillResult) {
        let computed = result.prompt_tokens.saturating_sub(result.cached_tokens);
        // A short prefill is mostly overhead and would distort the speed.
        if computed >= Tokens(16) {
            self.prefill_per_token_mean.add(result.took.as_secs_f64() / computed.0 as f64);
            self.queue.set_per_token(Duration::from_secs_f64(
                self.prefill_per_token_mean.value_or(0.0).max(0.0),
            ));
        }
    }

    /// Updates the measured step time from `tokens` steps that took `elapsed`, and
    /// predicts when the stream ends.
    pub fn record_steps(
        &mut self,
        id: ReservationId,
        tokens: u64,
        elapsed: Duration,
        remaining: Tokens,
        now: Instant,
    ) {
        let step = elapsed / u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
        self.step.add(self.slots.running(), step);
        let step = self.step_time();
        self.slots.set_predicted_end(id, now + work_time(step, remaining));
    }

    /// Returns the state to publish to entry hosts, as of `now`.
    pub fn state(&self, role: BackendRole, now: Instant) -> BackendState {
        let mut state = match role {
            BackendRole::Prefill => self.queue.state(now),
            _ => self.slots.state(now),
        };
        state.slots = self.slots.slots();
        state.step = self.step.predict(self.slots.running() + 1).unwrap_or_default();
        state.prefill_per_token =
            Duration::from_secs_f64(self.prefill_per_token_mean.value_or(0.0).max(0.0));
        state.closed = self.is_closed(now);
        state
    }

    /// Returns how many reservations are held, started or not.
    pub fn reservation_count(&self) -> usize {
        self.slots.reservation_count() + self.queue.len()
    }

    /// Removes expired reservations.
    pub fn expire(&mut self, now: Instant) {
        self.slots.expire(now);
        self.queue.expire(now);
        self.suspects.retain(|id, _| self.slots.contains(*id) || self.queue.contains(*id));
    }

    fn step_time(&self) -> Duration {
        self.step.predict(self.slots.running() + 1).unwrap_or(INITIAL_STEP)
    }
}
