//! The `home` module models home hosts. The home host of an engine grants all reservations
//! on it and keeps an exact account of it: the reserved slots of a decode engine or the
//! queue of a prefill engine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendRole, BackendState, RequestId, ReservationId, Tokens};
use aspenloft_policy::estimate::StepModel;
use aspenloft_policy::prefill_queue::{PrefillQueue, PrefillRequest};
use aspenloft_policy::reservations::{ReservationOptions, Reservations, SlotRequest, StartOutcome};

use super::fleet::{DECODE_SLOTS, EngineId, Fleet, PREFILL_PER_TOKEN, STEP};
use super::workload::RequestNo;

/// The longest time that a started stream may hold its slot.
const MAX_HOLD: Duration = Duration::from_secs(600);

/// The longest time that a started prefill may hold its turn.
const MAX_PREFILL_HOLD: Duration = Duration::from_secs(10);

/// `DecodeSlotRequest` holds the parameters of the reservation of a decode slot.
#[derive(Debug, Clone)]
pub struct DecodeSlotRequest {
    /// When the slot is needed.
    pub starts: Instant,
    /// The estimated length of the answer, which sets how long the slot is reserved.
    pub output_tokens: Tokens,
    /// The priority of the request.
    pub priority: u8,
}

/// `PrefillTurnRequest` holds the parameters of the reservation of a prefill turn.
#[derive(Debug, Clone)]
pub struct PrefillTurnRequest {
    /// The tokens that are probably not cached.
    pub tokens: Tokens,
    /// The longest queueing time with which the request still meets its deadline.
    pub max_wait: Duration,
}

/// `Homes` holds the accounts of all engines, as kept by their home hosts.
#[derive(Debug)]
pub struct Homes {
    accounts: Vec<Account>,
    ids: HashMap<(RequestNo, EngineId), ReservationId>,
    last_id: u64,
}

#[derive(Debug)]
enum Account {
    Prefill(PrefillQueue),
    Decode(Reservations, StepModel),
}

impl Account {
    fn new(role: BackendRole) -> Account {
        match role {
            BackendRole::Prefill => Account::Prefill(PrefillQueue::new(PREFILL_PER_TOKEN)),
            _ => {
                let mut reservations = Reservations::new(ReservationOptions::default());
                reservations.set_slots(DECODE_SLOTS);
                Account::Decode(reservations, StepModel::default())
            }
        }
    }
}

impl Homes {
    /// Creates an empty account for each engine.
    pub fn new(fleet: &Fleet) -> Homes {
        let accounts = fleet.engines.iter().map(|engine| Account::new(engine.role)).collect();
        Homes { accounts, ids: HashMap::new(), last_id: 1 }
    }

    /// Resets the account of an engine that has crashed or recovered.
    pub fn reset(&mut self, engine: EngineId, fleet: &Fleet) {
        self.accounts[engine] = Account::new(fleet.engines[engine].role);
        self.ids.retain(|(_, on), _| *on != engine);
    }

    fn new_id(&mut self) -> ReservationId {
        self.last_id += 1;
        ReservationId(self.last_id)
    }

    /// Reserves a decode slot; returns the current state of the engine if the reservation
    /// is refused.
    pub fn reserve_decode(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        req: &DecodeSlotRequest,
        now: Instant,
    ) -> Option<BackendState> {
        let id = self.new_id();
        let Account::Decode(reservations, steps) = &mut self.accounts[engine] else {
            return Some(BackendState::default());
        };
        let step = steps.predict(reservations.taken()).unwrap_or(STEP);
        let slot = SlotRequest {
            id,
            request: request_id(no),
            starts: req.starts,
            expected: step * req.output_tokens.0 as u32,
            priority: req.priority,
        };
        match reservations.reserve(slot, now) {
            Ok(()) => {
                self.ids.insert((no, engine), id);
                None
            }
            Err(_) => Some(self.state(engine, now)),
        }
    }

    /// Starts the stream of a reserved decode slot.
    pub fn start_decode(&mut self, no: RequestNo, engine: EngineId, now: Instant) -> StartOutcome {
        let id = self.ids.get(&(no, engine)).copied();
        match (&mut self.accounts[engine], id) {
            (Account::Decode(reservations, _), Some(id)) => reservations.start(id, MAX_HOLD, now),
            _ => StartOutcome::Expired,
        }
    }

    /// Reserves a prefill turn and starts it; returns the current state of the engine if
    /// the reservation is refused.
    pub fn reserve_prefill(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        req: &PrefillTurnRequest,
        now: Instant,
    ) -> Option<BackendState> {
        let id = self.new_id();
        let Account::Prefill(queue) = &mut self.accounts[engine] else {
            return Some(BackendState::default());
        };
        let turn = PrefillRequest {
            id,
            request: request_id(no),
            tokens: req.tokens,
            max_wait: req.max_wait,
        };
        if let Err(state) = queue.reserve(turn, now) {
            return Some(state);
        }
        queue.start(id, MAX_PREFILL_HOLD, now);
        self.ids.insert((no, engine), id);
        None
    }

    /// Releases the slot or turn of a request on an engine.
    pub fn release(&mut self, no: RequestNo, engine: EngineId, now: Instant) {
        let Some(id) = self.ids.remove(&(no, engine)) else { return };
        match &mut self.accounts[engine] {
            Account::Prefill(queue) => {
                queue.release(id, now);
            }
            Account::Decode(reservations, _) => {
                reservations.release(id);
            }
        }
    }

    /// Records the duration of a decode step with `streams` streams.
    pub fn record_step(&mut self, engine: EngineId, streams: u32, took: Duration) {
        if let Account::Decode(_, steps) = &mut self.accounts[engine] {
            steps.add(streams, took);
        }
    }

    /// Returns the state of an engine, as home hosts publish it.
    pub fn state(&self, engine: EngineId, now: Instant) -> BackendState {
        match &self.accounts[engine] {
            Account::Prefill(queue) => queue.state(now),
            Account::Decode(reservations, steps) => {
                let step = steps.predict(reservations.taken() + 1).unwrap_or(STEP);
                BackendState { step, ..reservations.state(now) }
            }
        }
    }
}

fn request_id(no: RequestNo) -> RequestId {
    format!("r{no}").as_str().into()
}
