//! The `policy` module is the border between the fakes and what decides.

use std::time::Duration;

use aspenloft_core::prelude::BackendState;

use super::fleet::{EngineId, Fleet, HostId};
use super::workload::{Request, RequestNo};

/// `Action` is what a policy wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a prefill to an engine, from the request's entry host, with a priority
    /// for the engine's queue.
    Prefill(RequestNo, EngineId, u8),
    /// Sends the result to a decode engine, which may refuse it. An import that
    /// is under way elsewhere is given up.
    Decode(RequestNo, EngineId),
    /// Refuses a request that no engine ran.
    Refuse(RequestNo),
    /// Ends a request without a whole answer.
    Fail(RequestNo),
    /// Ends a request whose prefill still waits, else does nothing.
    FailIfWaiting(RequestNo),
    /// Gives the note back after the time.
    After(Duration, Message),
}

/// `Message` is something that a policy sends to itself, between hosts or in time.
#[derive(Debug, Clone)]
pub enum Message {
    /// A host looks after those who wait.
    Tick(HostId),
    /// A request is tried again.
    Retry(RequestNo),
    /// A request's time to first token is up.
    Deadline(RequestNo),
    /// The homes publish the state of their engines.
    Publish,
    /// A state has reached a host.
    State(HostId, EngineId, Box<BackendState>),
    /// A request asks the home of a decode engine for a slot.
    ReserveDecode(RequestNo, EngineId),
    /// The home's answer.
    DecodeReserved(RequestNo, EngineId, Option<Box<BackendState>>),
    /// A request asks the home of a prefill engine for a turn.
    ReservePrefill(RequestNo, EngineId),
    /// The home's answer.
    PrefillReserved(RequestNo, EngineId, Option<Box<BackendState>>),
    /// A transfer should have ended by now.
    TransferTimeout(RequestNo, EngineId),
}

/// `Reports` is what engines say of themselves, late.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    /// Decode slots in use, by engine.
    pub active: Vec<u32>,
    /// Prefill tokens that wait or run, by engine.
    pub queued: Vec<u64>,
    /// New cache events, by engine: sequence number, piece, stored.
    pub events: Vec<Vec<(u64, u64, bool)>>,
}

/// `LengthEstimate` is the length of an answer with which a decode slot is reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LengthEstimate {
    /// Between the mean of past answers and the longest, by the row's weights, as
    /// hosts reserve.
    Weighted,
    /// The longest that the caller allows, so that no slot is promised before it is
    /// free.
    Longest,
}

/// `PolicyConfig` is what a policy knows of its surroundings.
#[derive(Debug, Clone)]
pub struct PolicyConfig {
    /// The fleet.
    pub fleet: Fleet,
    /// The target for the first token.
    pub ttft: Duration,
    /// The target between tokens.
    pub tbt: Duration,
    /// What goodput counts.
    pub goodput_weight: f64,
    /// What wasted prefill counts.
    pub waste_weight: f64,
    /// The length of an answer with which the product reserves.
    pub length_estimate: LengthEstimate,
    /// The seed of what is random in the policy.
    pub seed: u64,
}

/// `Policy` decides for all hosts. Each method returns what is to be done.
pub trait Policy {
    /// Names the policy.
    fn name(&self) -> &'static str;

    /// Starts the policy.
    fn start(&mut self) -> Vec<Action> {
        Vec::new()
    }

    /// A request has come to its entry host.
    fn on_arrival(
        &mut self,
        no: RequestNo,
        host: HostId,
        request: &Request,
        now: Duration,
    ) -> Vec<Action>;

    /// A note has come back.
    fn on_message(&mut self, message: Message, now: Duration) -> Vec<Action>;

    /// Late reports of all engines have come.
    fn on_reports(&mut self, reports: &Reports, now: Duration);

    /// A prefill has ended; `worked` of its tokens were not cached.
    fn on_prefilled(&mut self, no: RequestNo, computed_tokens: u64, now: Duration) -> Vec<Action>;

    /// A decode engine has no slot for a result.
    fn on_decode_refused(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action>;

    /// A result has been evicted before any decode engine took it.
    fn on_evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action>;

    /// A stream has made its first token.
    fn on_first_token(&mut self, no: RequestNo, now: Duration);

    /// A step of a decode engine took so long with so many streams.
    fn on_step(&mut self, _engine: EngineId, _streams: u32, _took: Duration, _now: Duration) {}

    /// A request is over, however it ended.
    fn on_end(&mut self, no: RequestNo, output_tokens: u64, now: Duration);

    /// An engine was found dead, with these requests on it.
    fn on_engine_lost(
        &mut self,
        engine: EngineId,
        running: &[RequestNo],
        now: Duration,
    ) -> Vec<Action>;

    /// An engine is back, empty.
    fn on_engine_recovered(&mut self, engine: EngineId, now: Duration);

    /// A request has lost what an engine did for it and needs a new prefill.
    fn on_attempt_lost(&mut self, no: RequestNo, now: Duration) -> Vec<Action>;
}
