//! The `loads` module tracks the load of each engine: the requests of this host and,
//! from the digests of the other hosts, theirs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_policy::engine_memory::RunForecast;
use async_std::channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::MAX_TOKENS;

/// How long the last digest of a host counts when no newer one arrives. A host's
/// requests on the engines end when its connections close.
const DIGEST_TTL: Duration = Duration::from_secs(2);

/// How long the queues of a host count when no newer digest arrives: two of the longest
/// intervals between digests. Requests of a host that has died need no capacity.
const QUEUE_TTL: Duration = Duration::from_millis(600);

/// The maximum number of services of which a digest tells the queue.
const MAX_QUEUES: usize = 16;

/// The largest number of requests that a host counts as queued at another one.
const MAX_QUEUED: usize = 1_000_000;

/// The assumed duration of a decode step before any stream was observed: that of a
/// busy engine.
const DEFAULT_STEP: Duration = Duration::from_millis(4);

/// The weight of the newest stream in the moving average of the step duration.
const STEP_WEIGHT: f64 = 0.1;

/// The ratio of a busy engine's step to the shortest step observed. Engine roles are
/// decided on this estimate and not on the average, because steps measured while
/// engines are disturbed must not affect the decision.
const BUSY_STEP_FACTOR: f64 = 1.3;

/// The factor by which the shortest observed step grows at each stream, so that an
/// old minimum does not persist.
const BEST_STEP_GROWTH: f64 = 1.002;

/// The minimum number of tokens in a stream for its pace to count as a sample of the
/// step duration.
const MIN_SAMPLE_TOKENS: u64 = 64;

/// `RunDigest` is one request on a decode engine, as sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDigest {
    /// The key of the engine; see [`Server::key`](crate::roster::Server::key).
    pub server: u64,
    /// The size of the request's KV cache, in tokens.
    pub held: u64,
    /// The number of tokens that it is still expected to generate.
    pub remaining: u64,
}

/// `PrefillDigest` is one prompt at a prefill engine, as sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillDigest {
    /// The key of the engine; see [`Server::key`](crate::roster::Server::key).
    pub server: u64,
    /// The length of the prompt, in tokens.
    pub tokens: u64,
}

/// `LoadDigest` is the load that one host has placed on the engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The requests on decode engines.
    pub runs: Vec<RunDigest>,
    /// The prompts at prefill engines.
    pub prefills: Vec<PrefillDigest>,
    /// The number of requests that wait for a decode engine.
    pub waiting: usize,
    /// The keys of the engines that are changing their role and take no work meanwhile.
    pub switching: Vec<u64>,
}

impl LoadDigest {
    /// Returns the digest with numbers that can be added up, whatever the other host sent.
    fn bounded(mut self) -> LoadDigest {
        for run in &mut self.runs {
            (run.held, run.remaining) = (run.held.min(MAX_TOKENS), run.remaining.min(MAX_TOKENS));
        }
        for prefill in &mut self.prefills {
            prefill.tokens = prefill.tokens.min(MAX_TOKENS);
        }
        self.waiting = self.waiting.min(MAX_QUEUED);
        self
    }
}

/// `QueueDigest` is the queue of one host for one service, as sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueDigest {
    /// The hash of the service's name.
    pub service: u64,
    /// The number of requests that can still meet their target.
    pub on_time: usize,
    /// The number of the other requests.
    pub late: usize,
}

/// `QueueScope` selects queued requests of a service by whether they can meet their target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueScope {
    /// Those that still can.
    OnTime,
    /// All of them.
    All,
}

/// Returns the hash of the name of `service` in messages between hosts.
pub fn service_key(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

#[derive(Debug, Clone, Copy)]
struct LocalRun {
    server: u64,
    /// When the request was placed on the server.
    placed: Instant,
    prompt: u64,
    generated: u64,
    expected: u64,
    max_output: u64,
}

impl LocalRun {
    fn forecast(&self) -> RunForecast {
        RunForecast::new(self.prompt, self.generated, self.expected, self.max_output)
    }
}

#[derive(Debug)]
struct PeerLoad {
    received: Instant,
    loads: LoadDigest,
    /// `None` if the host's build does not send its queues.
    queues: Option<Vec<QueueDigest>>,
}

impl PeerLoad {
    /// Returns the number of requests in `scope` that the host has queued for the service
    /// with the hash `service`. Those of a host that does not send its queues count as on time.
    fn queued(&self, service: u64, scope: QueueScope, now: Instant) -> usize {
        if now.saturating_duration_since(self.received) >= QUEUE_TTL {
            return 0;
        }
        match &self.queues {
            Some(queues) => queued_in(queues, service, scope),
            None => self.loads.waiting,
        }
    }
}

fn queued_in(queues: &[QueueDigest], service: u64, scope: QueueScope) -> usize {
    let queue = queues.iter().find(|queue| queue.service == service);
    queue.map_or(0, |queue| match scope {
        QueueScope::OnTime => queue.on_time,
        QueueScope::All => queue.on_time + queue.late,
    })
}

#[derive(Debug, Default)]
struct State {
    last_id: u64,
    runs: HashMap<u64, LocalRun>,
    prefills: HashMap<u64, PrefillDigest>,
    peers: HashMap<Name, PeerLoad>,
    queues: Vec<QueueDigest>,
    step: Option<Duration>,
    best_step: Option<Duration>,
    switching: HashMap<u64, Instant>,
}

/// `EngineLoads` tracks the known load of all engines.
#[derive(Debug)]
pub struct EngineLoads {
    state: Mutex<State>,
    changed: Sender<()>,
}

/// `RunSize` is the size of a model request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSize {
    /// The length of the prompt, in tokens.
    pub prompt: u64,
    /// The expected length of the output, in tokens.
    pub expected: u64,
    /// The maximum length of the output, in tokens.
    pub max_output: u64,
}

impl RunSize {
    /// Returns the forecast for the request before its first token.
    pub fn forecast(&self) -> RunForecast {
        RunForecast::new(self.prompt, 0, self.expected, self.max_output)
    }
}

impl EngineLoads {
    /// Creates empty loads, and the channel that signals changes of this host's load.
    pub fn new() -> (Arc<EngineLoads>, Receiver<()>) {
        let (changed, changes) = bounded(1);
        (Arc::new(EngineLoads { state: Mutex::default(), changed }), changes)
    }

    /// Counts a request on a decode engine until the guard is dropped.
    pub fn begin_run(self: &Arc<Self>, server: u64, size: RunSize, now: Instant) -> RunGuard {
        let RunSize { prompt, expected, max_output } = size;
        let mut state = self.state.lock();
        let id = state.next_id();
        state.runs.insert(
            id,
            LocalRun { server, placed: now, prompt, generated: 0, expected, max_output },
        );
        drop(state);
        self.notify();
        RunGuard { loads: self.clone(), id }
    }

    /// Counts a prompt on a prefill engine until the guard is dropped.
    pub fn begin_prefill(self: &Arc<Self>, server: u64, tokens: u64) -> PrefillGuard {
        let mut state = self.state.lock();
        let id = state.next_id();
        state.prefills.insert(id, PrefillDigest { server, tokens });
        drop(state);
        self.notify();
        PrefillGuard { loads: self.clone(), id }
    }

    /// Returns the forecasts of all hosts' requests on the decode engines, by engine.
    /// Those of other hosts are advanced by the steps since their digest arrived.
    pub fn runs(&self, now: Instant) -> HashMap<u64, Vec<RunForecast>> {
        let state = self.state.lock();
        let mut runs: HashMap<u64, Vec<RunForecast>> = HashMap::new();
        for run in state.runs.values() {
            runs.entry(run.server).or_default().push(run.forecast());
        }
        for (_, peer) in state.live_peers(now) {
            let age = now.saturating_duration_since(peer.received);
            let steps = (age.as_secs_f64() / state.step().as_secs_f64()) as u64;
            for run in &peer.loads.runs {
                let forecast = RunForecast { held: run.held, remaining: run.remaining };
                runs.entry(run.server).or_default().push(forecast.advanced(steps));
            }
        }
        runs
    }

    /// Returns the number of running requests that this host placed after `since`, by
    /// engine.
    pub fn runs_started_since(&self, since: Instant) -> HashMap<u64, usize> {
        let state = self.state.lock();
        let mut started: HashMap<u64, usize> = HashMap::new();
        for run in state.runs.values().filter(|run| run.placed > since) {
            *started.entry(run.server).or_default() += 1;
        }
        started
    }

    /// Returns the prompt tokens of all hosts at the prefill engines, by engine.
    pub fn prefill_tokens(&self, now: Instant) -> HashMap<u64, u64> {
        let state = self.state.lock();
        let mut queued: HashMap<u64, u64> = HashMap::new();
        for prefill in state.prefills.values() {
            *queued.entry(prefill.server).or_default() += prefill.tokens;
        }
        for (_, peer) in state.live_peers(now) {
            for prefill in &peer.loads.prefills {
                *queued.entry(prefill.server).or_default() += prefill.tokens;
            }
        }
        queued
    }

    /// Returns this host's load on the engines, to be sent to the other hosts.
    pub fn digest(&self) -> LoadDigest {
        let state = self.state.lock();
        let runs = state.runs.values().map(|run| {
            let RunForecast { held, remaining } = run.forecast();
            RunDigest { server: run.server, held, remaining }
        });
        LoadDigest {
            runs: runs.collect(),
            prefills: state.prefills.values().copied().collect(),
            waiting: state.queues.iter().map(|queue| queue.on_time + queue.late).sum(),
            switching: state.switching.keys().copied().collect(),
        }
    }

    /// Marks the engine `server` as changing its role, until `until` at the latest.
    pub fn begin_switch(&self, server: u64, until: Instant) {
        self.state.lock().switching.insert(server, until);
        self.notify();
    }

    /// Removes the role changes that have expired and those of the engines for which
    /// `is_pending` does not hold.
    pub fn end_switches(&self, now: Instant, is_pending: impl Fn(u64) -> bool) {
        let mut state = self.state.lock();
        state.switching.retain(|server, until| now < *until && is_pending(*server));
    }

    /// Returns the engines that are changing their role, as ordered by any host.
    pub fn switching(&self, now: Instant) -> Vec<u64> {
        let state = self.state.lock();
        let local = state.switching.iter().filter(|(_, until)| now < **until).map(|(s, _)| *s);
        let others =
            state.live_peers(now).flat_map(|(_, peer)| peer.loads.switching.iter().copied());
        local.chain(others).collect()
    }

    /// Replaces the queues of this host.
    pub fn set_queues(&self, queues: Vec<QueueDigest>) {
        let mut state = self.state.lock();
        let changed = state.queues != queues;
        state.queues = queues;
        drop(state);
        if changed {
            self.notify();
        }
    }

    /// Returns the queues of this host, to be sent to the other hosts: those with the most
    /// requests on time, if there are too many.
    pub fn queues(&self) -> Vec<QueueDigest> {
        let mut queues = self.state.lock().queues.clone();
        queues.sort_by_key(|queue| std::cmp::Reverse((queue.on_time, queue.late)));
        queues.truncate(MAX_QUEUES);
        queues
    }

    /// Returns the number of requests in `scope` that the other hosts have queued for `service`.
    pub fn queued_elsewhere(&self, service: &str, scope: QueueScope, now: Instant) -> usize {
        let service = service_key(service);
        let state = self.state.lock();
        state.live_peers(now).map(|(_, peer)| peer.queued(service, scope, now)).sum()
    }

    /// Returns the number of requests that all hosts have queued for `service`.
    pub fn queued(&self, service: &str, now: Instant) -> usize {
        let here = queued_in(&self.state.lock().queues, service_key(service), QueueScope::All);
        here + self.queued_elsewhere(service, QueueScope::All, now)
    }

    /// Returns the other hosts that have queued requests in `scope` for `service`.
    pub fn queueing_hosts(&self, service: &str, scope: QueueScope, now: Instant) -> Vec<Name> {
        let service = service_key(service);
        let state = self.state.lock();
        let queueing =
            state.live_peers(now).filter(|(_, peer)| peer.queued(service, scope, now) > 0);
        queueing.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the estimated duration of a decode step on an undisturbed busy engine.
    pub fn nominal_step(&self) -> Duration {
        let state = self.state.lock();
        state.best_step.map_or(DEFAULT_STEP, |best| best.mul_f64(BUSY_STEP_FACTOR))
    }

    /// Returns the average duration of a decode step in this host's streams.
    pub fn step(&self) -> Duration {
        self.state.lock().step()
    }

    /// Replaces the load that `host` reported. Its queues are not known until they are set.
    pub fn update_peer(&self, host: &Name, loads: LoadDigest, now: Instant) {
        let peer = PeerLoad { received: now, loads: loads.bounded(), queues: None };
        self.state.lock().peers.insert(host.clone(), peer);
    }

    /// Sets the queues that `host` reported along with its last load.
    pub fn set_peer_queues(&self, host: &str, mut queues: Vec<QueueDigest>) {
        for queue in &mut queues {
            queue.on_time = queue.on_time.min(MAX_QUEUED);
            queue.late = queue.late.min(MAX_QUEUED);
        }
        if let Some(peer) = self.state.lock().peers.get_mut(host) {
            peer.queues = Some(queues);
        }
    }

    /// Has the next digest sent soon.
    pub fn notify(&self) {
        // A full channel already holds a signal that covers this change.
        let _ = self.changed.try_send(());
    }
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn step(&self) -> Duration {
        self.step.unwrap_or(DEFAULT_STEP)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&Name, &PeerLoad)> {
        let live = move |peer: &PeerLoad| now.saturating_duration_since(peer.received) < DIGEST_TTL;
        self.peers.iter().filter(move |(_, peer)| live(peer))
    }
}

/// `RunGuard` counts a request on a decode engine until it is dropped.
#[derive(Debug)]
pub struct RunGuard {
    loads: Arc<EngineLoads>,
    id: u64,
}

impl RunGuard {
    /// Records that the request has generated `generated` tokens in total.
    pub fn record_progress(&self, generated: u64) {
        if let Some(run) = self.loads.state.lock().runs.get_mut(&self.id) {
            run.generated = generated;
        }
    }

    /// Records that a stream generated `tokens` in `span`.
    pub fn record_pace(&self, tokens: u64, span: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = span.as_secs_f64() / tokens as f64;
        let mut state = self.loads.state.lock();
        let average = state.step().as_secs_f64();
        state.step = Some(Duration::from_secs_f64(average + (sample - average) * STEP_WEIGHT));
        let best = state.best_step.map_or(f64::MAX, |best| best.as_secs_f64() * BEST_STEP_GROWTH);
        state.best_step = Some(Duration::from_secs_f64(best.min(sample)));
    }

    /// Records that the request has moved to the engine `server`.
    pub fn reassign(&self, server: u64) {
        if let Some(run) = self.loads.state.lock().runs.get_mut(&self.id) {
            run.server = server;
        }
        self.loads.notify();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.loads.state.lock().runs.remove(&self.id);
        self.loads.notify();
    }
}

/// `PrefillGuard` counts a prompt at a prefill engine until it is dropped.
#[derive(Debug)]
pub struct PrefillGuard {
    loads: Arc<EngineLoads>,
    id: u64,
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.loads.state.lock().prefills.remove(&self.id);
        self.loads.notify();
    }
}
