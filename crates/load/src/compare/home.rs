//! The `home` module is the exact accounts that home hosts keep of their engines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendRole, BackendState, RequestId, ReservationId, Tokens};
use aspenloft_policy::estimate::StepModel;
use aspenloft_policy::queue::{PrefillQueue, PrefillRequest};
use aspenloft_policy::reservations::{ReservationOptions, Reservations, SlotRequest, Start};

use super::fleet::{DECODE_SLOTS, EngineId, Fleet, PREFILL_PER_TOKEN, STEP};
use super::workload::RequestNo;

/// The longest stream that a reservation covers.
const MAX_HOLD: Duration = Duration::from_secs(600);

/// The longest prefill that a turn covers.
const MAX_PREFILL_HOLD: Duration = Duration::from_secs(10);

/// `DecodeSlotRequest` asks for a decode slot.
#[derive(Debug, Clone)]
pub struct DecodeSlotRequest {
    /// When the slot is needed.
    pub starts: Instant,
    /// The likely length of the answer.
    pub output_tokens: Tokens,
    /// The priority.
    pub priority: u8,
}

/// `PrefillTurnRequest` asks for a turn of prefill.
#[derive(Debug, Clone)]
pub struct PrefillTurnRequest {
    /// Tokens that are likely not cached.
    pub tokens: Tokens,
    /// The longest wait that makes sense.
    pub max_wait: Duration,
}

/// `Homes` is the accounts of all engines.
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
    /// Creates empty accounts.
    pub fn new(fleet: &Fleet) -> Homes {
        let accounts = fleet.engines.iter().map(|engine| Account::new(engine.role)).collect();
        Homes { accounts, ids: HashMap::new(), last_id: 1 }
    }

    /// Empties the account of an engine that has died or come back.
    pub fn reset(&mut self, engine: EngineId, fleet: &Fleet) {
        self.accounts[engine] = Account::new(fleet.engines[engine].role);
        self.ids.retain(|(_, on), _| *on != engine);
    }

    fn new_id(&mut self) -> ReservationId {
        self.last_id += 1;
        ReservationId(self.last_id)
    }

    /// Reserves a slot, or returns the fresh state.
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

    /// Starts reserved work.
    pub fn start_decode(&mut self, no: RequestNo, engine: EngineId, now: Instant) -> Start {
        let id = self.ids.get(&(no, engine)).copied();
        match (&mut self.accounts[engine], id) {
            (Account::Decode(reservations, _), Some(id)) => reservations.start(id, MAX_HOLD, now),
            _ => Start::Expired,
        }
    }

    /// Reserves a turn of prefill, or returns the fresh state.
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

    /// Gives a slot or a turn back.
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

    /// Notes the time of a step.
    pub fn record_step(&mut self, engine: EngineId, streams: u32, took: Duration) {
        if let Account::Decode(_, steps) = &mut self.accounts[engine] {
            steps.add(streams, took);
        }
    }

    /// Describes an engine.
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
