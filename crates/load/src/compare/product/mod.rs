//! The `product` module drives the product's own decisions: routes, timed
//! reservations at home hosts, admission, retries and suspects. Hosts learn of
//! engines by digests once a second and by the answers of homes.

mod plan;
mod reserve;
mod result;

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendState, Tokens};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus};
use aspenloft_policy::admission::{AdmissionDecision, Arrival};
use aspenloft_policy::fair_queue::Flow;
use aspenloft_policy::reservations::Start;
use aspenloft_policy::route::{Link, Links, Pair, RouteOptions, route, route_decode};
use aspenloft_policy::suspects::SuspectRegistry;

use crate::compare::fleet::{CALLER_DELAY, EngineId, FAR_DELAY, Fleet, HostId};
use crate::compare::home::{DecodeAsk, Homes, PrefillAsk};
use crate::compare::host::{EntryHost, engine_name, links, route_request};
use crate::compare::policy::{Action, Forecast, Note, Policy, Reports, Setting};
use crate::compare::workload::{MAX_ANSWER, Request, RequestNo};

/// How often a host looks after those who wait.
const TICK: Duration = Duration::from_millis(20);

/// How often homes publish the state of their engines.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Reservations that one try of a request asks for before it waits again.
const MAX_TRIES: u32 = 6;

/// New prefills of one request after the first.
const MAX_RESTARTS: u32 = 3;

/// The wait before a request without any fitting pair is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// The longest wait before a slot that should be free is asked for again.
const SLOT_WAIT: Duration = Duration::from_millis(20);

/// The share of the time left that a plan may use up, because estimates err.
const PLAN_SHARE: f64 = 0.9;

/// How much longer than expected a transfer may take before another target is
/// chosen.
const TRANSFER_FACTOR: u32 = 3;

/// The least time before a transfer counts as stalled.
const TRANSFER_SLACK: Duration = Duration::from_millis(100);

/// How long a link that stalled is avoided.
const LINK_REST: Duration = Duration::from_secs(5);

/// Tokens on a link that let no other transfer end in time.
const STALLED_TOKENS: Tokens = Tokens(1 << 40);

/// The row's longest wait and longest queue, as the table's defaults have them.
const ROW_QUEUE: Duration = Duration::from_millis(500);
const ROW_QUEUE_LENGTH: u32 = 64;

/// The row's share of requests that may be tried again, in percent.
const ROW_RETRY_PERCENT: u32 = 10;

/// The priority of all admitted work at engines. Admission has ordered it already,
/// and a home's account holds only if nothing overtakes at the engine.
const ENGINE_PRIORITY: u8 = 5;

/// The weights of row and caller.
const WEIGHT: u32 = 100;

/// `Product` is the product's policy on all hosts.
pub struct Product {
    setting: Setting,
    base: Instant,
    hosts: Vec<EntryHost>,
    /// The popped request of each host that waits for room.
    heads: Vec<Option<RequestNo>>,
    homes: Homes,
    suspects: SuspectRegistry,
    options: RouteOptions,
    stalled: Vec<(usize, usize, Duration)>,
    live: Vec<Option<Live>>,
}

#[derive(Debug, Clone)]
struct Live {
    host: HostId,
    request: Request,
    /// Pairs that are still to be tried, worst first.
    pairs: Vec<Pair>,
    tries: u32,
    restarts: u32,
    /// Decode engines that this request has lost.
    lost: Vec<EngineId>,
    prefill: Option<EngineId>,
    decode: Option<EngineId>,
    /// Whether a result lies on the prefill engine.
    ready: bool,
    streaming: bool,
    ran: bool,
}

impl Product {
    /// Creates the policy.
    pub fn new(setting: &Setting) -> Product {
        let base = Instant::now();
        let hosts = setting.fleet.hosts.iter().map(|_| EntryHost::new(&setting.fleet, base));
        Product {
            setting: setting.clone(),
            base,
            hosts: hosts.collect(),
            heads: vec![None; setting.fleet.hosts.len()],
            homes: Homes::new(&setting.fleet),
            suspects: SuspectRegistry::default(),
            options: RouteOptions::default(),
            stalled: Vec::new(),
            live: Vec::new(),
        }
    }

    fn fleet(&self) -> &Fleet {
        &self.setting.fleet
    }

    fn at(&self, now: Duration) -> Instant {
        self.base + now
    }

    fn release_all(&mut self, no: RequestNo, now: Duration) {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return };
        live.ready = false;
        live.tries = 0;
        live.pairs.clear();
        live.lost.clear();
        for engine in live.prefill.take().into_iter().chain(live.decode.take()) {
            self.homes.release(no, engine, at);
        }
    }

    fn publish(&mut self, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let mut actions = vec![Action::Later(PUBLISH_INTERVAL, Note::Publish)];
        for engine in 0..self.fleet().engines.len() {
            let state = self.homes.state(engine, at);
            for host in 0..self.hosts.len() {
                let delay = self.fleet().to_engine(host, engine);
                let note = Note::State(host, engine, Box::new(state.clone()));
                actions.push(Action::Later(delay, note));
            }
        }
        actions
    }
}

/// Returns the fingerprint by which a request is known when it comes again.
fn fingerprint(request: &Request) -> Fingerprint {
    Fingerprint(request.fingerprint)
}

impl Policy for Product {
    fn name(&self) -> &'static str {
        "product"
    }

    fn start(&mut self) -> Vec<Action> {
        let ticks = (0..self.hosts.len()).map(|host| Action::Later(TICK, Note::Tick(host)));
        ticks.chain([Action::Later(Duration::ZERO, Note::Publish)]).collect()
    }

    fn arrived(
        &mut self,
        no: RequestNo,
        host: HostId,
        request: &Request,
        now: Duration,
    ) -> Vec<Action> {
        if self.live.len() <= no {
            self.live.resize(no + 1, None);
        }
        let live = Live {
            host,
            request: request.clone(),
            pairs: Vec::new(),
            tries: 0,
            restarts: 0,
            lost: Vec::new(),
            prefill: None,
            decode: None,
            ready: false,
            streaming: false,
            ran: false,
        };
        if self.standing(&live, now) == SuspectStatus::Convicted {
            return vec![Action::Refuse(no)];
        }
        self.live[no] = Some(live);
        self.admit(no, now)
    }

    fn note(&mut self, note: Note, now: Duration) -> Vec<Action> {
        match note {
            Note::Tick(host) => self.tick(host, now),
            Note::Publish => self.publish(now),
            Note::State(host, engine, state) => {
                let at = self.at(now);
                self.hosts[host].hear(engine, *state, at);
                Vec::new()
            }
            Note::Retry(no) => self.retry(no, now),
            Note::ReserveDecode(no, engine) => self.reserve_decode(no, engine, now),
            Note::DecodeReserved(no, engine, refusal) => {
                self.decode_reserved(no, engine, refusal, now)
            }
            Note::ReservePrefill(no, engine) => self.reserve_prefill(no, engine, now),
            Note::PrefillReserved(no, engine, refusal) => {
                self.prefill_reserved(no, engine, refusal, now)
            }
            Note::Transfer(no, engine) => self.check_transfer(no, engine, now),
            Note::Deadline(_) => Vec::new(),
        }
    }

    fn reports(&mut self, reports: &Reports, _: Duration) {
        for (engine, events) in reports.events.iter().enumerate() {
            let name = engine_name(engine);
            for (seq, piece, stored) in events {
                for host in &mut self.hosts {
                    host.index.apply(&name, *seq, *piece, *stored);
                }
            }
        }
    }

    fn prefilled(&mut self, no: RequestNo, _: u64, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        live.ready = true;
        if let Some(engine) = live.prefill {
            self.homes.release(no, engine, at);
            let pieces = &live.request.pieces;
            self.hosts[live.host].index.record_prompt(&engine_name(engine), pieces);
        }
        self.begin(no, now)
    }

    fn decode_refused(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        self.homes.release(no, engine, at);
        if let Some(live) = &mut self.live[no] {
            live.decode = None;
            live.lost.push(engine);
        }
        self.move_result(no, now)
    }

    fn evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }

    fn streaming(&mut self, no: RequestNo, _: Duration) {
        if let Some(live) = &mut self.live[no] {
            live.streaming = true;
        }
    }

    fn stepped(&mut self, engine: EngineId, streams: u32, took: Duration, _: Duration) {
        self.homes.stepped(engine, streams, took);
    }

    fn over(&mut self, no: RequestNo, answer: u64, now: Duration) {
        let at = self.at(now);
        self.release_all(no, now);
        let Some(live) = self.live.get_mut(no).and_then(Option::take) else { return };
        let host = &mut self.hosts[live.host];
        host.admission.cancel(no as u64);
        if answer > 0 {
            let row = format!("priority-{}", live.request.priority);
            host.estimates.output.get_or_insert(&row.as_str().into(), at).add(answer as f64);
            self.suspects.finished(fingerprint(&live.request), at);
        }
    }

    fn engine_lost(
        &mut self,
        engine: EngineId,
        running: &[RequestNo],
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let live = running.iter().filter_map(|no| self.live[*no].as_ref());
        let suspects: Vec<Fingerprint> = live.map(|live| fingerprint(&live.request)).collect();
        self.suspects.server_died(&suspects, at);
        self.homes.reset(engine, &self.setting.fleet);
        for host in &mut self.hosts {
            host.set_down(engine, true, at);
        }
        Vec::new()
    }

    fn engine_back(&mut self, engine: EngineId, now: Duration) {
        let at = self.at(now);
        self.homes.reset(engine, &self.setting.fleet);
        for host in &mut self.hosts {
            host.set_down(engine, false, at);
        }
    }

    fn broken(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }
}
