//! The `policy` module defines the interface between the simulation and the policies
//! that it compares.

use std::time::Duration;

use aspenloft_core::prelude::BackendState;

use super::fleet::{EngineId, Fleet, HostId};
use super::workload::{Request, RequestNo};

/// `Action` is an instruction of a policy to the simulation.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a prefill from the request's entry host to an engine, with a priority for
    /// the engine's queue.
    Prefill(RequestNo, EngineId, u8),
    /// Sends the result to a decode engine, which may refuse it. An import in progress
    /// on another engine is cancelled.
    Decode(RequestNo, EngineId),
    /// Refuses a request before any engine has run it.
    Refuse(RequestNo),
    /// Ends a request without a complete answer.
    Fail(RequestNo),
    /// Ends a request if its prefill is still queued; else does nothing.
    FailIfWaiting(RequestNo),
    /// Delivers the message to the policy after the duration.
    After(Duration, Message),
}

/// `Message` is a message between hosts or a timer, which a policy sends to itself.
#[derive(Debug, Clone)]
pub enum Message {
    /// A host expires and dispatches its waiting requests.
    Tick(HostId),
    /// A request is tried again.
    Retry(RequestNo),
    /// The deadline of a request's first token has passed.
    Deadline(RequestNo),
    /// The home hosts publish the state of their engines.
    Publish,
    /// The state of an engine has reached a host.
    State(HostId, EngineId, Box<BackendState>),
    /// A request for a slot has reached the home host of a decode engine.
    ReserveDecode(RequestNo, EngineId),
    /// The home host's answer; the engine's state if it refused.
    DecodeReserved(RequestNo, EngineId, Option<Box<BackendState>>),
    /// A request for a turn has reached the home host of a prefill engine.
    ReservePrefill(RequestNo, EngineId),
    /// The home host's answer; the engine's state if it refused.
    PrefillReserved(RequestNo, EngineId, Option<Box<BackendState>>),
    /// The timeout of a transfer has passed.
    TransferTimeout(RequestNo, EngineId),
}

/// `Reports` are the load and cache reports of all engines, delivered with a delay.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    /// The number of decode slots in use, by engine.
    pub active: Vec<u32>,
    /// The number of prefill tokens that are queued or running, by engine.
    pub queued: Vec<u64>,
    /// New cache events, by engine: sequence number, piece, stored.
    pub events: Vec<Vec<(u64, u64, bool)>>,
}

/// `LengthEstimate` selects the answer length for which a decode slot is reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LengthEstimate {
    /// Between the mean of past answers and the longest, by the row's weights, as in
    /// production.
    Weighted,
    /// The longest that the caller allows, so that no slot is promised before it is
    /// certain to be free.
    Longest,
}

/// `PolicyConfig` holds the fleet, the latency targets and the parameters of a policy.
#[derive(Debug, Clone)]
pub struct PolicyConfig {
    /// The engines and hosts.
    pub fleet: Fleet,
    /// The target for the time to first token.
    pub ttft: Duration,
    /// The target for the time between tokens.
    pub tbt: Duration,
    /// The weight of goodput.
    pub goodput_weight: f64,
    /// The weight of wasted prefill.
    pub waste_weight: f64,
    /// The answer length for which the router's policy reserves slots.
    pub length_estimate: LengthEstimate,
    /// The seed of the policy's random choices.
    pub seed: u64,
}

/// `Policy` makes the decisions of all hosts. The simulation calls a method for each
/// event and applies the actions that it returns.
pub trait Policy {
    /// Returns the name of the policy in reports.
    fn name(&self) -> &'static str;

    /// Called once at the start of a run. Returns the first actions, such as timers.
    fn start(&mut self) -> Vec<Action> {
        Vec::new()
    }

    /// Called when a request arrives at its entry host.
    fn on_arrival(
        &mut self,
        no: RequestNo,
        host: HostId,
        request: &Request,
        now: Duration,
    ) -> Vec<Action>;

    /// Called when a message is delivered.
    fn on_message(&mut self, message: Message, now: Duration) -> Vec<Action>;

    /// Called when the delayed reports of all engines are delivered.
    fn on_reports(&mut self, reports: &Reports, now: Duration);

    /// Called when a prefill finishes; `computed_tokens` of its tokens were not cached.
    fn on_prefilled(&mut self, no: RequestNo, computed_tokens: u64, now: Duration) -> Vec<Action>;

    /// Called when a decode engine is down or has no slot for a result.
    fn on_decode_refused(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action>;

    /// Called when a result is evicted before a decode engine imported it.
    fn on_evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action>;

    /// Called when a stream generates its first token.
    fn on_first_token(&mut self, no: RequestNo, now: Duration);

    /// Called when a step of a decode engine ends, with its duration and the number of
    /// streams.
    fn on_step(&mut self, _engine: EngineId, _streams: u32, _took: Duration, _now: Duration) {}

    /// Called when a request ends, with its answer's length, or 0 if it was not served.
    fn on_end(&mut self, no: RequestNo, output_tokens: u64, now: Duration);

    /// Called when an engine has crashed while these requests ran on it.
    fn on_engine_lost(
        &mut self,
        engine: EngineId,
        running: &[RequestNo],
        now: Duration,
    ) -> Vec<Action>;

    /// Called when an engine has recovered; its queue, streams and cache are empty.
    fn on_engine_recovered(&mut self, engine: EngineId, now: Duration);

    /// Called when the work of an engine for a request is lost, so that the request needs
    /// a new prefill.
    fn on_attempt_lost(&mut self, no: RequestNo, now: Duration) -> Vec<Action>;
}
