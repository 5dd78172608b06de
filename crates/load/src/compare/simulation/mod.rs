//! The `simulation` module runs one scenario as a discrete-event simulation: it
//! applies a policy's actions to fake engines and links and reports the events that
//! follow back to the policy.

mod faults;
mod phases;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::BackendRole;
use aspenloft_standin::engine::link::Link;

use crate::compare::engines::{DecodeEngine, PrefillEngine, PrefillJob};
use crate::compare::events::EventQueue;
use crate::compare::fleet::{CALLER_DELAY, EngineId, HostId, INTER_DC_DELAY, RESULT_TTL};
use crate::compare::policy::{Action, Message, Policy, PolicyConfig, Reports};
use crate::compare::scenario::{Fault, Scenario};
use crate::compare::score::{Outcome, RunRecord, Score};
use crate::compare::workload::{Request, RequestNo};

/// The interval at which engines report their load and cache events.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The time after the end of arrivals at which a run is cut off. Requests that have
/// not ended by then count as failed.
const MAX_DRAIN: Duration = Duration::from_secs(60);

/// How long an engine stays down after the poisoned request crashed it.
const POISON_DOWNTIME: Duration = Duration::from_secs(5);

/// `Phase` is the stage of serving that a request has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No engine works on it; the policy decides what happens next.
    Idle,
    /// It is sent to, queued at, or running on a prefill engine.
    Prefill(EngineId),
    /// Its result is stored on a prefill engine.
    Ready(EngineId),
    /// Its result is transferred from a prefill engine to a decode engine.
    Importing(EngineId, EngineId),
    /// A decode engine generates its answer.
    Decoding(EngineId),
    /// It was served, was refused, or failed.
    Ended,
}

/// `RequestState` is the progress of one request through its phases.
#[derive(Debug, Clone)]
struct RequestState {
    phase: Phase,
    host: HostId,
    /// Increases with each phase change, so that events scheduled for an earlier
    /// phase are recognised as stale.
    phase_seq: u64,
    tokens: u64,
    last_token: Duration,
    /// Prefill tokens that were computed for a result that no decode engine has
    /// imported yet.
    unused_tokens: u64,
    /// When the result is evicted unless a transfer is in progress.
    evict_at: Duration,
}

/// `Event` is an entry of the event queue. The `u64` of a request's event is its
/// `phase_seq`, that of an engine's event the engine's incarnation.
#[derive(Debug)]
enum Event {
    Arrive(RequestNo),
    Enqueue(RequestNo, EngineId, u64, u8),
    PrefillEnd(EngineId, u64),
    Evict(RequestNo, u64),
    ImportArrived(RequestNo, EngineId, u64),
    Imported(RequestNo, u64),
    Step(EngineId, u64, Duration),
    Message(Box<Message>),
    Fault(Fault),
    EngineRecovered(EngineId),
    Report,
    ReportDelivered(Box<Reports>),
}

/// `EngineNode` is one engine with its incarnation, which increases with each crash
/// so that events of the time before the crash are ignored.
#[derive(Debug)]
struct EngineNode {
    alive: bool,
    incarnation: u64,
    engine: FakeEngine,
    last_event_seq: u64,
}

#[derive(Debug)]
enum FakeEngine {
    Prefill(Box<PrefillEngine>),
    Decode(DecodeEngine),
}

/// `Simulation` is one run of a scenario.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    config: &'a PolicyConfig,
    requests: &'a [Request],
    policy: &'a mut dyn Policy,
    /// The instant of simulated time zero.
    epoch: Instant,
    now: Duration,
    events: EventQueue<Event>,
    nodes: Vec<EngineNode>,
    links: HashMap<(usize, usize), Link>,
    /// When each stalled link resumes, by its source and destination data centre.
    stalled: HashMap<(usize, usize), Duration>,
    hosts_alive: Vec<bool>,
    states: Vec<RequestState>,
    ended: usize,
    record: RunRecord,
}

/// Runs `scenario` with `policy` until all requests have ended or `MAX_DRAIN` has
/// passed, and returns the score.
pub fn run(
    scenario: &Scenario,
    config: &PolicyConfig,
    requests: &[Request],
    policy: &mut dyn Policy,
) -> Score {
    let mut simulation = Simulation::new(scenario, config, requests, policy);
    simulation.run();
    simulation.record.score(requests, config.ttft)
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        config: &'a PolicyConfig,
        requests: &'a [Request],
        policy: &'a mut dyn Policy,
    ) -> Simulation<'a> {
        let nodes = config.fleet.engines.iter().map(|engine| EngineNode {
            alive: true,
            incarnation: 0,
            engine: match engine.role {
                BackendRole::Prefill => FakeEngine::Prefill(Box::default()),
                _ => FakeEngine::Decode(DecodeEngine::default()),
            },
            last_event_seq: 0,
        });
        Simulation {
            scenario,
            config,
            requests,
            policy,
            epoch: Instant::now(),
            now: Duration::ZERO,
            events: EventQueue::default(),
            nodes: nodes.collect(),
            links: HashMap::new(),
            stalled: HashMap::new(),
            hosts_alive: vec![true; config.fleet.hosts.len()],
            states: Vec::new(),
            ended: 0,
            record: RunRecord::new(requests.len()),
        }
    }

    fn run(&mut self) {
        for (no, request) in self.requests.iter().enumerate() {
            self.events.push(request.arrives_at + CALLER_DELAY, Event::Arrive(no));
            self.states.push(RequestState {
                phase: Phase::Idle,
                host: 0,
                phase_seq: 0,
                tokens: 0,
                last_token: Duration::ZERO,
                unused_tokens: 0,
                evict_at: Duration::ZERO,
            });
        }
        for (at, fault) in &self.scenario.faults {
            self.events.push(*at, Event::Fault(*fault));
        }
        self.events.push(Duration::ZERO, Event::Report);
        let actions = self.policy.start();
        self.apply_actions(actions);
        let deadline = self.scenario.length + MAX_DRAIN;
        while self.ended < self.requests.len() {
            match self.events.pop() {
                Some((at, event)) if at <= deadline => {
                    self.now = at;
                    self.handle_event(event);
                }
                _ => return,
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(no) => self.arrive(no),
            Event::Enqueue(no, engine, seq, priority) => self.enqueue(no, engine, seq, priority),
            Event::PrefillEnd(engine, incarnation) => self.prefill_ended(engine, incarnation),
            Event::Evict(no, seq) => self.evict(no, seq),
            Event::ImportArrived(no, engine, seq) => self.import_arrived(no, engine, seq),
            Event::Imported(no, seq) => self.imported(no, seq),
            Event::Step(engine, incarnation, took) => self.step(engine, incarnation, took),
            Event::Message(message) => {
                let actions = self.policy.on_message(*message, self.now);
                self.apply_actions(actions);
            }
            Event::Fault(fault) => self.inject_fault(fault),
            Event::EngineRecovered(engine) => {
                self.nodes[engine].alive = true;
                self.policy.on_engine_recovered(engine, self.now);
            }
            Event::Report => self.collect_reports(),
            Event::ReportDelivered(reports) => self.policy.on_reports(&reports, self.now),
        }
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Prefill(no, engine, priority) => self.send_prefill(no, engine, priority),
                Action::Decode(no, engine) => self.send_decode(no, engine),
                Action::Refuse(no) => self.end_request(no, Outcome::Refused),
                Action::Fail(no) => self.end_request(no, Outcome::Failed),
                Action::FailIfWaiting(no) => {
                    if self.dequeue_prefill(no) {
                        self.end_request(no, Outcome::Failed);
                    }
                }
                Action::After(after, message) => {
                    self.events.push(self.now + after, Event::Message(Box::new(message)));
                }
            }
        }
    }

    /// Assigns a request to an entry host as a load balancer does: round robin over
    /// the live hosts in the caller's data centre, or over all live hosts if there
    /// are none.
    fn arrive(&mut self, no: RequestNo) {
        let request = &self.requests[no];
        let hosts = &self.config.fleet.hosts;
        let alive = (0..hosts.len()).filter(|host| self.hosts_alive[*host]);
        let (near, far): (Vec<_>, Vec<_>) = alive.partition(|h| hosts[*h] == request.centre);
        let eligible = if near.is_empty() { far } else { near };
        let host = eligible[no % eligible.len()];
        self.states[no].host = host;
        let actions = self.policy.on_arrival(no, host, request, self.now);
        self.apply_actions(actions);
    }

    fn enter_phase(&mut self, no: RequestNo, phase: Phase) -> u64 {
        let state = &mut self.states[no];
        state.phase = phase;
        state.phase_seq += 1;
        state.phase_seq
    }

    fn has_ended(&self, no: RequestNo) -> bool {
        self.states[no].phase == Phase::Ended
    }

    fn start_step(&mut self, engine: EngineId) {
        let node = &mut self.nodes[engine];
        let FakeEngine::Decode(decode) = &mut node.engine else { return };
        if decode.stepping || decode.decoding_streams().is_empty() {
            return;
        }
        decode.stepping = true;
        let took = decode.step_duration();
        self.events.push(self.now + took, Event::Step(engine, node.incarnation, took));
    }

    fn step(&mut self, engine: EngineId, incarnation: u64, took: Duration) {
        let node = &mut self.nodes[engine];
        if node.incarnation != incarnation {
            return;
        }
        let FakeEngine::Decode(decode) = &mut node.engine else { return };
        decode.stepping = false;
        let streams = decode.decoding_streams();
        self.policy.on_step(engine, streams.len() as u32, took, self.now);
        for no in streams {
            self.record_token(no, engine);
        }
        self.start_step(engine);
    }

    fn record_token(&mut self, no: RequestNo, engine: EngineId) {
        let state = &mut self.states[no];
        let gap = self.now - state.last_token;
        state.last_token = self.now;
        state.tokens += 1;
        if state.tokens == 1 {
            let return_delay = self.config.fleet.delay_to_engine(state.host, engine) + CALLER_DELAY;
            self.record.requests[no].ttft =
                Some(self.now + return_delay - self.requests[no].arrives_at);
            self.policy.on_first_token(no, self.now);
        } else {
            self.record.record_gap(no, gap, self.config.tbt);
        }
        if self.states[no].tokens >= self.requests[no].output_tokens {
            self.remove_stream(no, engine);
            self.end_request(no, Outcome::Served);
        }
    }

    fn remove_stream(&mut self, no: RequestNo, engine: EngineId) {
        if let FakeEngine::Decode(decode) = &mut self.nodes[engine].engine {
            decode.streams.remove(&no);
        }
    }

    fn dequeue_prefill(&mut self, no: RequestNo) -> bool {
        let Phase::Prefill(engine) = self.states[no].phase else { return false };
        match &mut self.nodes[engine].engine {
            FakeEngine::Prefill(prefill) => prefill.dequeue(no),
            FakeEngine::Decode(_) => false,
        }
    }

    fn end_request(&mut self, no: RequestNo, outcome: Outcome) {
        match self.states[no].phase {
            Phase::Ended => return,
            Phase::Importing(_, to) | Phase::Decoding(to) => self.remove_stream(no, to),
            Phase::Prefill(_) => {
                self.dequeue_prefill(no);
            }
            Phase::Idle | Phase::Ready(_) => (),
        }
        self.enter_phase(no, Phase::Ended);
        self.ended += 1;
        self.record.requests[no].ended = Some((outcome, self.now));
        let output_tokens = if outcome == Outcome::Served { self.states[no].tokens } else { 0 };
        self.policy.on_end(no, output_tokens, self.now);
    }

    fn abort_attempt(&mut self, no: RequestNo) {
        self.enter_phase(no, Phase::Idle);
        let actions = self.policy.on_attempt_lost(no, self.now);
        self.apply_actions(actions);
    }

    /// Collects the engines' reports and schedules their delivery to the policy after
    /// the scenario's report lag.
    fn collect_reports(&mut self) {
        let at = self.epoch + self.now;
        let mut reports = Reports::default();
        for node in &mut self.nodes {
            let (mut active, mut queued, mut events) = (0, 0, Vec::new());
            match &node.engine {
                FakeEngine::Prefill(prefill) => {
                    queued = prefill.queued_tokens();
                    let reported = prefill.cache.events(
                        node.last_event_seq,
                        &self.scenario.cache_event_faults,
                        at,
                    );
                    node.last_event_seq = reported.newest;
                    events = reported.events.iter().map(|e| (e.seq, e.piece, e.stored)).collect();
                }
                FakeEngine::Decode(decode) => active = decode.streams.len() as u32,
            }
            reports.active.push(active);
            reports.queued.push(queued);
            reports.events.push(events);
        }
        let delivered_at = self.now + self.scenario.report_lag + INTER_DC_DELAY;
        self.events.push(delivered_at, Event::ReportDelivered(Box::new(reports)));
        self.events.push(self.now + REPORT_INTERVAL, Event::Report);
    }
}
