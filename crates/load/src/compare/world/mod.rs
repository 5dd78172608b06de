//! The `world` module moves one scenario forward: it carries out a policy's
//! actions on the fake engines and links and tells the policy what happens.

mod carry;
mod faults;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::BackendRole;
use aspenloft_standin::engine::link::Link;

use crate::compare::engines::{DecodeEngine, PrefillEngine, PrefillJob};
use crate::compare::events::EventQueue;
use crate::compare::fleet::{CALLER_DELAY, EngineId, FAR_DELAY, HostId, RESULT_LIFE};
use crate::compare::policy::{Action, Note, Policy, Reports, Setting};
use crate::compare::scenario::{Fault, Scenario};
use crate::compare::score::{Ledger, Outcome, Score};
use crate::compare::workload::{Request, RequestNo};

/// How often engines report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long after the last arrival a run may still take.
const DRAIN: Duration = Duration::from_secs(60);

/// How long an engine that a request crashed is down.
const POISON_DOWN: Duration = Duration::from_secs(5);

/// `Phase` is where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// With its policy.
    Idle,
    /// On its way to, waiting at, or in work at a prefill engine.
    Prefill(EngineId),
    /// Its result lies on a prefill engine.
    Ready(EngineId),
    /// Its result is on its way.
    Importing(EngineId, EngineId),
    /// It streams.
    Decoding(EngineId),
    /// It has ended.
    Over,
}

/// `Live` is the state of one request.
#[derive(Debug, Clone)]
struct Live {
    phase: Phase,
    host: HostId,
    /// Grows with each phase, so that events of an earlier one are known as old.
    turn: u64,
    tokens: u64,
    last_token: Duration,
    /// Work spent on a result that has not been used yet.
    unused: u64,
    /// When the result is evicted unless it is being exported.
    evicted_at: Duration,
}

/// `Event` is something that happens at its time.
#[derive(Debug)]
enum Event {
    Arrive(RequestNo),
    Join(RequestNo, EngineId, u64, u8),
    PrefillEnd(EngineId, u64),
    Evict(RequestNo, u64),
    Import(RequestNo, EngineId, u64),
    Imported(RequestNo, u64),
    Step(EngineId, u64, Duration),
    Note(Box<Note>),
    Fault(Fault),
    Back(EngineId),
    Report,
    ReportSeen(Box<Reports>),
}

/// `Node` is one engine with its life.
#[derive(Debug)]
struct Node {
    alive: bool,
    life: u64,
    work: Work,
    seen_events: u64,
}

#[derive(Debug)]
enum Work {
    Prefill(Box<PrefillEngine>),
    Decode(DecodeEngine),
}

/// `World` is one run of a scenario.
pub struct World<'a> {
    scenario: &'a Scenario,
    setting: &'a Setting,
    requests: &'a [Request],
    policy: &'a mut dyn Policy,
    base: Instant,
    now: Duration,
    events: EventQueue<Event>,
    nodes: Vec<Node>,
    links: HashMap<(usize, usize), Link>,
    stalled: HashMap<(usize, usize), Duration>,
    hosts_alive: Vec<bool>,
    live: Vec<Live>,
    over: usize,
    ledger: Ledger,
}

/// Runs `scenario` with `policy` to its end.
pub fn run(
    scenario: &Scenario,
    setting: &Setting,
    requests: &[Request],
    policy: &mut dyn Policy,
) -> Score {
    let mut world = World::new(scenario, setting, requests, policy);
    world.run();
    world.ledger.score(requests, setting.ttft)
}

impl<'a> World<'a> {
    fn new(
        scenario: &'a Scenario,
        setting: &'a Setting,
        requests: &'a [Request],
        policy: &'a mut dyn Policy,
    ) -> World<'a> {
        let nodes = setting.fleet.engines.iter().map(|engine| Node {
            alive: true,
            life: 0,
            work: match engine.role {
                BackendRole::Prefill => Work::Prefill(Box::default()),
                _ => Work::Decode(DecodeEngine::default()),
            },
            seen_events: 0,
        });
        World {
            scenario,
            setting,
            requests,
            policy,
            base: Instant::now(),
            now: Duration::ZERO,
            events: EventQueue::default(),
            nodes: nodes.collect(),
            links: HashMap::new(),
            stalled: HashMap::new(),
            hosts_alive: vec![true; setting.fleet.hosts.len()],
            live: Vec::new(),
            over: 0,
            ledger: Ledger::new(requests.len()),
        }
    }

    fn run(&mut self) {
        for (no, request) in self.requests.iter().enumerate() {
            self.events.push(request.comes + CALLER_DELAY, Event::Arrive(no));
            self.live.push(Live {
                phase: Phase::Idle,
                host: 0,
                turn: 0,
                tokens: 0,
                last_token: Duration::ZERO,
                unused: 0,
                evicted_at: Duration::ZERO,
            });
        }
        for (at, fault) in &self.scenario.faults {
            self.events.push(*at, Event::Fault(*fault));
        }
        self.events.push(Duration::ZERO, Event::Report);
        let actions = self.policy.start();
        self.perform(actions);
        let ends = self.scenario.length + DRAIN;
        while self.over < self.requests.len() {
            match self.events.pop() {
                Some((at, event)) if at <= ends => {
                    self.now = at;
                    self.happen(event);
                }
                _ => return,
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(no) => self.arrive(no),
            Event::Join(no, engine, turn, priority) => self.join(no, engine, turn, priority),
            Event::PrefillEnd(engine, life) => self.prefill_end(engine, life),
            Event::Evict(no, turn) => self.evict(no, turn),
            Event::Import(no, engine, turn) => self.import(no, engine, turn),
            Event::Imported(no, turn) => self.imported(no, turn),
            Event::Step(engine, life, took) => self.step(engine, life, took),
            Event::Note(note) => {
                let actions = self.policy.note(*note, self.now);
                self.perform(actions);
            }
            Event::Fault(fault) => self.fault(fault),
            Event::Back(engine) => {
                self.nodes[engine].alive = true;
                self.policy.engine_back(engine, self.now);
            }
            Event::Report => self.report(),
            Event::ReportSeen(reports) => self.policy.reports(&reports, self.now),
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Prefill(no, engine, priority) => self.send_prefill(no, engine, priority),
                Action::Decode(no, engine) => self.send_decode(no, engine),
                Action::Refuse(no) => self.end(no, Outcome::Refused),
                Action::Fail(no) => self.end(no, Outcome::Failed),
                Action::FailIfWaiting(no) => {
                    if self.take_from_queue(no) {
                        self.end(no, Outcome::Failed);
                    }
                }
                Action::Later(after, note) => {
                    self.events.push(self.now + after, Event::Note(Box::new(note)));
                }
            }
        }
    }

    /// Chooses the entry host as a balancer does: a live one near the caller, in
    /// turn.
    fn arrive(&mut self, no: RequestNo) {
        let request = &self.requests[no];
        let hosts = &self.setting.fleet.hosts;
        let alive = (0..hosts.len()).filter(|host| self.hosts_alive[*host]);
        let (near, far): (Vec<_>, Vec<_>) = alive.partition(|h| hosts[*h] == request.centre);
        let choice = if near.is_empty() { far } else { near };
        let host = choice[no % choice.len()];
        self.live[no].host = host;
        let actions = self.policy.arrived(no, host, request, self.now);
        self.perform(actions);
    }

    fn enter(&mut self, no: RequestNo, phase: Phase) -> u64 {
        let live = &mut self.live[no];
        live.phase = phase;
        live.turn += 1;
        live.turn
    }

    fn is_over(&self, no: RequestNo) -> bool {
        self.live[no].phase == Phase::Over
    }

    fn start_step(&mut self, engine: EngineId) {
        let node = &mut self.nodes[engine];
        let Work::Decode(decode) = &mut node.work else { return };
        if decode.stepping || decode.decoding().is_empty() {
            return;
        }
        decode.stepping = true;
        let took = decode.step();
        self.events.push(self.now + took, Event::Step(engine, node.life, took));
    }

    fn step(&mut self, engine: EngineId, life: u64, took: Duration) {
        let node = &mut self.nodes[engine];
        if node.life != life {
            return;
        }
        let Work::Decode(decode) = &mut node.work else { return };
        decode.stepping = false;
        let streams = decode.decoding();
        self.policy.stepped(engine, streams.len() as u32, took, self.now);
        for no in streams {
            self.token(no, engine);
        }
        self.start_step(engine);
    }

    fn token(&mut self, no: RequestNo, engine: EngineId) {
        let live = &mut self.live[no];
        let gap = self.now - live.last_token;
        live.last_token = self.now;
        live.tokens += 1;
        if live.tokens == 1 {
            let back = self.setting.fleet.to_engine(live.host, engine) + CALLER_DELAY;
            self.ledger.accounts[no].ttft = Some(self.now + back - self.requests[no].comes);
            self.policy.streaming(no, self.now);
        } else {
            self.ledger.gap(no, gap, self.setting.tbt);
        }
        if self.live[no].tokens >= self.requests[no].answer {
            self.drop_stream(no, engine);
            self.end(no, Outcome::Served);
        }
    }

    fn drop_stream(&mut self, no: RequestNo, engine: EngineId) {
        if let Work::Decode(decode) = &mut self.nodes[engine].work {
            decode.streams.remove(&no);
        }
    }

    fn take_from_queue(&mut self, no: RequestNo) -> bool {
        let Phase::Prefill(engine) = self.live[no].phase else { return false };
        match &mut self.nodes[engine].work {
            Work::Prefill(prefill) => prefill.leave(no),
            Work::Decode(_) => false,
        }
    }

    fn end(&mut self, no: RequestNo, outcome: Outcome) {
        match self.live[no].phase {
            Phase::Over => return,
            Phase::Importing(_, to) | Phase::Decoding(to) => self.drop_stream(no, to),
            Phase::Prefill(_) => {
                self.take_from_queue(no);
            }
            Phase::Idle | Phase::Ready(_) => (),
        }
        self.enter(no, Phase::Over);
        self.over += 1;
        self.ledger.accounts[no].ended = Some((outcome, self.now));
        let answer = if outcome == Outcome::Served { self.live[no].tokens } else { 0 };
        self.policy.over(no, answer, self.now);
    }

    fn break_off(&mut self, no: RequestNo) {
        self.enter(no, Phase::Idle);
        let actions = self.policy.broken(no, self.now);
        self.perform(actions);
    }

    /// Takes the engines' reports, which policies see later.
    fn report(&mut self) {
        let at = self.base + self.now;
        let mut reports = Reports::default();
        for node in &mut self.nodes {
            let (mut active, mut queued, mut events) = (0, 0, Vec::new());
            match &node.work {
                Work::Prefill(prefill) => {
                    queued = prefill.queued_tokens();
                    let seen = prefill.cache.events(node.seen_events, &self.scenario.events, at);
                    node.seen_events = seen.newest;
                    events = seen.events.iter().map(|e| (e.seq, e.piece, e.stored)).collect();
                }
                Work::Decode(decode) => active = decode.streams.len() as u32,
            }
            reports.active.push(active);
            reports.queued.push(queued);
            reports.events.push(events);
        }
        let seen = self.now + self.scenario.report_lag + FAR_DELAY;
        self.events.push(seen, Event::ReportSeen(Box::new(reports)));
        self.events.push(self.now + REPORT_INTERVAL, Event::Report);
    }
}
