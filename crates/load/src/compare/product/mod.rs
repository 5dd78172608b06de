//! The `product` module is the router's own policy: routing, timed reservations at
//! home hosts, admission, retries and detection of requests that crash engines. Hosts
//! learn the state of engines from digests once a second and from the answers of home
//! hosts.

mod plan;
mod reserve;
mod result;

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendState, Tokens};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus};
use aspenloft_policy::admission::{AdmissionDecision, Arrival};
use aspenloft_policy::fair_queue::Flow;
use aspenloft_policy::reservations::StartOutcome;
use aspenloft_policy::route::{Link, Links, Pair, RouteOptions, route, route_decode};
use aspenloft_policy::suspects::SuspectRegistry;

use crate::compare::fleet::{CALLER_DELAY, EngineId, Fleet, HostId, INTER_DC_DELAY};
use crate::compare::home::{DecodeSlotRequest, Homes, PrefillTurnRequest};
use crate::compare::host::{EntryHost, engine_name, links, route_request};
use crate::compare::policy::{Action, LengthEstimate, Message, Policy, PolicyConfig, Reports};
use crate::compare::workload::{MAX_OUTPUT_TOKENS, Request, RequestNo};

/// The interval at which a host expires and dispatches its waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which home hosts publish the state of their engines.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// The number of reservations that a request tries in one round before it waits
/// again.
const MAX_RESERVATION_ATTEMPTS: u32 = 6;

/// The number of times that one request may repeat its prefill.
const MAX_RESTARTS: u32 = 3;

/// The delay before a request without a feasible pair of engines is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest delay before a reserved slot that is not free yet is requested again.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(20);

/// The share of the remaining time that the estimated time to first token of a pair
/// may take. The rest is a margin for estimation errors.
const PLAN_TIME_SHARE: f64 = 0.9;

/// The multiple of its expected duration that a transfer may take before another
/// decode engine is chosen.
const TRANSFER_TIMEOUT_FACTOR: u32 = 3;

/// The time added to the timeout of every transfer, so that short transfers do not
/// count as stalled too early.
const TRANSFER_TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// How long a link is avoided after a transfer on it stalled.
const STALLED_LINK_COOLDOWN: Duration = Duration::from_secs(5);

/// The queue length reported for a stalled link; long enough that no transfer over
/// it meets its deadline.
const STALLED_LINK_QUEUE: Tokens = Tokens(1 << 40);

/// The table row's longest wait and longest queue, equal to the defaults of the table.
const ROW_MAX_WAIT: Duration = Duration::from_millis(500);
const ROW_QUEUE_LENGTH: u32 = 64;

/// The table row's retry budget, in percent of its requests.
const ROW_RETRY_PERCENT: u32 = 10;

/// The priority of all admitted requests at engines. Admission has already ordered
/// them by priority, and the account of a home host is exact only if no request
/// overtakes another at the engine.
const ENGINE_PRIORITY: u8 = 5;

/// The weight of every row and caller in admission.
const DEFAULT_WEIGHT: u32 = 100;

/// `Product` is the router's policy, with the state of all hosts.
pub struct Product {
    config: PolicyConfig,
    /// The instant of simulated time zero.
    epoch: Instant,
    hosts: Vec<EntryHost>,
    /// For each host, the request that left the admission queue but waits for capacity.
    queue_heads: Vec<Option<RequestNo>>,
    homes: Homes,
    suspects: SuspectRegistry,
    options: RouteOptions,
    /// The links that are avoided: source data centre, destination, and until when.
    stalled: Vec<(usize, usize, Duration)>,
    requests: Vec<Option<ActiveRequest>>,
}

#[derive(Debug, Clone)]
struct ActiveRequest {
    host: HostId,
    request: Request,
    /// The pairs of engines that have not been tried yet, worst first.
    pairs: Vec<Pair>,
    attempts: u32,
    restarts: u32,
    /// Decode engines that refused this request or whose transfer timed out.
    excluded: Vec<EngineId>,
    prefill: Option<EngineId>,
    decode: Option<EngineId>,
    /// Whether the prefill engine stores a result.
    result_ready: bool,
    streaming: bool,
    prefill_started: bool,
}

impl Product {
    /// Creates the policy, with an entry host for each host of the fleet.
    pub fn new(config: &PolicyConfig) -> Product {
        let epoch = Instant::now();
        let hosts = config.fleet.hosts.iter().map(|_| EntryHost::new(&config.fleet, epoch));
        Product {
            config: config.clone(),
            epoch,
            hosts: hosts.collect(),
            queue_heads: vec![None; config.fleet.hosts.len()],
            homes: Homes::new(&config.fleet),
            suspects: SuspectRegistry::default(),
            options: RouteOptions::default(),
            stalled: Vec::new(),
            requests: Vec::new(),
        }
    }

    fn fleet(&self) -> &Fleet {
        &self.config.fleet
    }

    fn instant(&self, now: Duration) -> Instant {
        self.epoch + now
    }

    fn release_all(&mut self, no: RequestNo, now: Duration) {
        let at = self.instant(now);
        let Some(active) = &mut self.requests[no] else { return };
        active.result_ready = false;
        active.attempts = 0;
        active.pairs.clear();
        active.excluded.clear();
        for engine in active.prefill.take().into_iter().chain(active.decode.take()) {
            self.homes.release(no, engine, at);
        }
    }

    fn publish(&mut self, now: Duration) -> Vec<Action> {
        let at = self.instant(now);
        let mut actions = vec![Action::After(PUBLISH_INTERVAL, Message::Publish)];
        for engine in 0..self.fleet().engines.len() {
            let state = self.homes.state(engine, at);
            for host in 0..self.hosts.len() {
                let delay = self.fleet().delay_to_engine(host, engine);
                let message = Message::State(host, engine, Box::new(state.clone()));
                actions.push(Action::After(delay, message));
            }
        }
        actions
    }
}

/// Returns the fingerprint that identifies a request when it is sent again.
fn fingerprint(request: &Request) -> Fingerprint {
    Fingerprint(request.fingerprint)
}

impl Policy for Product {
    fn name(&self) -> &'static str {
        "product"
    }

    fn start(&mut self) -> Vec<Action> {
        let ticks =
            (0..self.hosts.len()).map(|host| Action::After(TICK_INTERVAL, Message::Tick(host)));
        ticks.chain([Action::After(Duration::ZERO, Message::Publish)]).collect()
    }

    fn on_arrival(
        &mut self,
        no: RequestNo,
        host: HostId,
        request: &Request,
        now: Duration,
    ) -> Vec<Action> {
        if self.requests.len() <= no {
            self.requests.resize(no + 1, None);
        }
        let active = ActiveRequest {
            host,
            request: request.clone(),
            pairs: Vec::new(),
            attempts: 0,
            restarts: 0,
            excluded: Vec::new(),
            prefill: None,
            decode: None,
            result_ready: false,
            streaming: false,
            prefill_started: false,
        };
        if self.suspect_status(&active, now) == SuspectStatus::Convicted {
            return vec![Action::Refuse(no)];
        }
        self.requests[no] = Some(active);
        self.admit(no, now)
    }

    fn on_message(&mut self, message: Message, now: Duration) -> Vec<Action> {
        match message {
            Message::Tick(host) => self.tick(host, now),
            Message::Publish => self.publish(now),
            Message::State(host, engine, state) => {
                let at = self.instant(now);
                self.hosts[host].update_state(engine, *state, at);
                Vec::new()
            }
            Message::Retry(no) => self.retry(no, now),
            Message::ReserveDecode(no, engine) => self.reserve_decode(no, engine, now),
            Message::DecodeReserved(no, engine, refusal) => {
                self.on_decode_reserved(no, engine, refusal, now)
            }
            Message::ReservePrefill(no, engine) => self.reserve_prefill(no, engine, now),
            Message::PrefillReserved(no, engine, refusal) => {
                self.on_prefill_reserved(no, engine, refusal, now)
            }
            Message::TransferTimeout(no, engine) => self.check_transfer(no, engine, now),
            Message::Deadline(_) => Vec::new(),
        }
    }

    fn on_reports(&mut self, reports: &Reports, _: Duration) {
        for (engine, events) in reports.events.iter().enumerate() {
            let name = engine_name(engine);
            for (seq, piece, stored) in events {
                for host in &mut self.hosts {
                    host.index.apply(&name, *seq, *piece, *stored);
                }
            }
        }
    }

    fn on_prefilled(&mut self, no: RequestNo, _: u64, now: Duration) -> Vec<Action> {
        let at = self.instant(now);
        let Some(active) = &mut self.requests[no] else { return Vec::new() };
        active.result_ready = true;
        if let Some(engine) = active.prefill {
            self.homes.release(no, engine, at);
            let pieces = &active.request.pieces;
            self.hosts[active.host].index.record_prompt(&engine_name(engine), pieces);
        }
        self.start_decode(no, now)
    }

    fn on_decode_refused(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
        let at = self.instant(now);
        self.homes.release(no, engine, at);
        if let Some(active) = &mut self.requests[no] {
            active.decode = None;
            active.excluded.push(engine);
        }
        self.reassign_decode(no, now)
    }

    fn on_evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }

    fn on_first_token(&mut self, no: RequestNo, _: Duration) {
        if let Some(active) = &mut self.requests[no] {
            active.streaming = true;
        }
    }

    fn on_step(&mut self, engine: EngineId, streams: u32, took: Duration, _: Duration) {
        self.homes.record_step(engine, streams, took);
    }

    fn on_end(&mut self, no: RequestNo, output_tokens: u64, now: Duration) {
        let at = self.instant(now);
        self.release_all(no, now);
        let Some(active) = self.requests.get_mut(no).and_then(Option::take) else { return };
        let host = &mut self.hosts[active.host];
        host.admission.cancel(no as u64);
        if output_tokens > 0 {
            let row = format!("priority-{}", active.request.priority);
            host.estimates.output.get_or_insert(&row.as_str().into(), at).add(output_tokens as f64);
            self.suspects.record_finished(fingerprint(&active.request), at);
        }
    }

    fn on_engine_lost(
        &mut self,
        engine: EngineId,
        running: &[RequestNo],
        now: Duration,
    ) -> Vec<Action> {
        let at = self.instant(now);
        let active = running.iter().filter_map(|no| self.requests[*no].as_ref());
        let suspects: Vec<Fingerprint> =
            active.map(|active| fingerprint(&active.request)).collect();
        self.suspects.record_server_death(&suspects, at);
        self.homes.reset(engine, &self.config.fleet);
        for host in &mut self.hosts {
            host.set_down(engine, true, at);
        }
        Vec::new()
    }

    fn on_engine_recovered(&mut self, engine: EngineId, now: Duration) {
        let at = self.instant(now);
        self.homes.reset(engine, &self.config.fleet);
        for host in &mut self.hosts {
            host.set_down(engine, false, at);
        }
    }

    fn on_attempt_lost(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }
}
