//! The `loads` module keeps what is on each engine: the requests of this host and,
//! from the digests of other hosts, theirs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_policy::engine_memory::RunForecast;
use async_std::channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How long the digest of a host that falls silent counts. Its requests end on the
/// engines when its connections do.
const DIGEST_LIFE: Duration = Duration::from_secs(2);

/// The time of a decode step before any stream was seen: that of a busy engine.
const FIRST_STEP: Duration = Duration::from_millis(4);

/// The weight of the newest stream in the average time of a step.
const STEP_WEIGHT: f64 = 0.1;

/// How much longer than the best step seen a step of a busy engine takes. What is
/// measured while engines are disturbed must not decide over their roles.
const BUSY_STEP: f64 = 1.3;

/// How much the best step is let go at each stream, so that one of long ago does
/// not count for ever.
const BEST_DECAY: f64 = 1.002;

/// The least number of tokens by which a stream tells the time of a step.
const STEP_SAMPLE: u64 = 64;

/// `RunDigest` is one request on a decode engine, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDigest {
    /// The engine.
    pub server: u64,
    /// Tokens in its memory.
    pub held: u64,
    /// Tokens expected yet.
    pub remaining: u64,
}

/// `PrefillDigest` is one prompt at a prefill engine, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillDigest {
    /// The engine.
    pub server: u64,
    /// Tokens of the prompt.
    pub tokens: u64,
}

/// `LoadDigest` is all that one host has on the engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// On decode engines.
    pub runs: Vec<RunDigest>,
    /// On prefill engines.
    pub prefills: Vec<PrefillDigest>,
    /// How many requests wait for a decode engine.
    pub waiting: usize,
    /// Engines that change their role and take no work meanwhile.
    pub switching: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
struct OwnRun {
    server: u64,
    /// When it was placed on the server.
    began: Instant,
    prompt: u64,
    made: u64,
    expected: u64,
    max_answer: u64,
}

impl OwnRun {
    fn forecast(&self) -> RunForecast {
        RunForecast::new(self.prompt, self.made, self.expected, self.max_answer)
    }
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    runs: HashMap<u64, OwnRun>,
    prefills: HashMap<u64, PrefillDigest>,
    others: HashMap<Name, (Instant, LoadDigest)>,
    waiting: usize,
    step: Option<Duration>,
    best_step: Option<Duration>,
    switching: HashMap<u64, Instant>,
}

/// `EngineLoads` is what is known to be on the engines.
#[derive(Debug)]
pub struct EngineLoads {
    state: Mutex<State>,
    changed: Sender<()>,
}

/// `RunSize` is the size of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSize {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the answer is expected to have.
    pub expected: u64,
    /// The maximum length of the answer, in tokens.
    pub max_answer: u64,
}

impl RunSize {
    /// Returns the forecast before the first token.
    pub fn forecast(&self) -> RunForecast {
        RunForecast::new(self.prompt, 0, self.expected, self.max_answer)
    }
}

impl EngineLoads {
    /// Creates empty loads, and the channel that tells of changes of this host's.
    pub fn new() -> (Arc<EngineLoads>, Receiver<()>) {
        let (changed, rx) = bounded(1);
        (Arc::new(EngineLoads { state: Mutex::default(), changed }), rx)
    }

    /// Counts a request on a decode engine until the guard is dropped.
    pub fn begin_run(self: &Arc<Self>, server: u64, size: RunSize, now: Instant) -> RunGuard {
        let RunSize { prompt, expected, max_answer } = size;
        let mut state = self.state.lock();
        let id = state.take_id();
        state.runs.insert(id, OwnRun { server, began: now, prompt, made: 0, expected, max_answer });
        drop(state);
        self.tell();
        RunGuard { loads: self.clone(), id }
    }

    /// Counts a prompt on a prefill engine until the guard is dropped.
    pub fn begin_prefill(self: &Arc<Self>, server: u64, tokens: u64) -> PrefillGuard {
        let mut state = self.state.lock();
        let id = state.take_id();
        state.prefills.insert(id, PrefillDigest { server, tokens });
        drop(state);
        self.tell();
        PrefillGuard { loads: self.clone(), id }
    }

    /// Returns the requests on the decode engines, by engine.
    pub fn runs(&self, now: Instant) -> HashMap<u64, Vec<RunForecast>> {
        let state = self.state.lock();
        let mut runs: HashMap<u64, Vec<RunForecast>> = HashMap::new();
        for run in state.runs.values() {
            runs.entry(run.server).or_default().push(run.forecast());
        }
        for (_, seen, digest) in state.live_digests(now) {
            let age = now.saturating_duration_since(seen);
            let steps = (age.as_secs_f64() / state.step().as_secs_f64()) as u64;
            for run in &digest.runs {
                let forecast = RunForecast { held: run.held, remaining: run.remaining };
                runs.entry(run.server).or_default().push(forecast.advanced(steps));
            }
        }
        runs
    }

    /// Returns how many requests this host has placed since `since`, by engine.
    pub fn runs_started_since(&self, since: Instant) -> HashMap<u64, usize> {
        let state = self.state.lock();
        let mut begun: HashMap<u64, usize> = HashMap::new();
        for run in state.runs.values().filter(|run| run.began > since) {
            *begun.entry(run.server).or_default() += 1;
        }
        begun
    }

    /// Returns the prompt tokens at the prefill engines, by engine.
    pub fn prefill_tokens(&self, now: Instant) -> HashMap<u64, u64> {
        let state = self.state.lock();
        let mut queued: HashMap<u64, u64> = HashMap::new();
        for prefill in state.prefills.values() {
            *queued.entry(prefill.server).or_default() += prefill.tokens;
        }
        for (_, _, digest) in state.live_digests(now) {
            for prefill in &digest.prefills {
                *queued.entry(prefill.server).or_default() += prefill.tokens;
            }
        }
        queued
    }

    /// Returns what this host has on the engines, for the other hosts.
    pub fn digest(&self) -> LoadDigest {
        let state = self.state.lock();
        let runs = state.runs.values().map(|run| {
            let RunForecast { held, remaining } = run.forecast();
            RunDigest { server: run.server, held, remaining }
        });
        LoadDigest {
            runs: runs.collect(),
            prefills: state.prefills.values().copied().collect(),
            waiting: state.waiting,
            switching: state.switching.keys().copied().collect(),
        }
    }

    /// Notes that the engine `server` changes its role until `until` at the latest.
    pub fn begin_switch(&self, server: u64, until: Instant) {
        self.state.lock().switching.insert(server, until);
        self.tell();
    }

    /// Forgets the changes of roles that are over: all but those of the engines for
    /// which `goes_on` holds.
    pub fn end_switches(&self, now: Instant, goes_on: impl Fn(u64) -> bool) {
        let mut state = self.state.lock();
        state.switching.retain(|server, until| now < *until && goes_on(*server));
    }

    /// Returns the engines that change their role.
    pub fn switching(&self, now: Instant) -> Vec<u64> {
        let state = self.state.lock();
        let own = state.switching.iter().filter(|(_, until)| now < **until).map(|(s, _)| *s);
        let others =
            state.live_digests(now).flat_map(|(_, _, digest)| digest.switching.iter().copied());
        own.chain(others).collect()
    }

    /// Notes how many requests wait on this host.
    pub fn set_waiting(&self, waiting: usize) {
        let mut state = self.state.lock();
        let changed = std::mem::replace(&mut state.waiting, waiting) != waiting;
        drop(state);
        if changed {
            self.tell();
        }
    }

    /// Returns how many requests wait on all hosts.
    pub fn waiting(&self, now: Instant) -> usize {
        let state = self.state.lock();
        let others: usize = state.live_digests(now).map(|(_, _, digest)| digest.waiting).sum();
        state.waiting + others
    }

    /// Returns the time of a decode step on a busy engine that nothing disturbs.
    pub fn nominal_step(&self) -> Duration {
        let state = self.state.lock();
        state.best_step.map_or(FIRST_STEP, |best| best.mul_f64(BUSY_STEP))
    }

    /// Returns the other hosts on which requests wait.
    pub fn waiting_hosts(&self, now: Instant) -> Vec<Name> {
        let state = self.state.lock();
        let waiting = state.live_digests(now).filter(|(_, _, digest)| digest.waiting > 0);
        waiting.map(|(host, ..)| host.clone()).collect()
    }

    /// Returns the time of a decode step, as this host's streams showed it.
    pub fn step(&self) -> Duration {
        self.state.lock().step()
    }

    /// Takes in what `host` has on the engines.
    pub fn update_peer(&self, host: &Name, digest: LoadDigest, now: Instant) {
        self.state.lock().others.insert(host.clone(), (now, digest));
    }

    fn tell(&self) {
        // One message stands for all changes that have not been told yet.
        let _ = self.changed.try_send(());
    }
}

impl State {
    fn take_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn step(&self) -> Duration {
        self.step.unwrap_or(FIRST_STEP)
    }

    fn live_digests(&self, now: Instant) -> impl Iterator<Item = (&Name, Instant, &LoadDigest)> {
        let live = move |seen: Instant| now.saturating_duration_since(seen) < DIGEST_LIFE;
        let others = self.others.iter().map(|(host, (seen, digest))| (host, *seen, digest));
        others.filter(move |(_, seen, _)| live(*seen))
    }
}

/// `RunGuard` stands for a request on a decode engine.
#[derive(Debug)]
pub struct RunGuard {
    loads: Arc<EngineLoads>,
    id: u64,
}

impl RunGuard {
    /// Notes that the request has made `made` tokens in all.
    pub fn record_progress(&self, made: u64) {
        if let Some(run) = self.loads.state.lock().runs.get_mut(&self.id) {
            run.made = made;
        }
    }

    /// Notes that a stream made `tokens` in `span`.
    pub fn record_pace(&self, tokens: u64, span: Duration) {
        if tokens < STEP_SAMPLE {
            return;
        }
        let seen = span.as_secs_f64() / tokens as f64;
        let mut state = self.loads.state.lock();
        let held = state.step().as_secs_f64();
        state.step = Some(Duration::from_secs_f64(held + (seen - held) * STEP_WEIGHT));
        let best = state.best_step.map_or(f64::MAX, |best| best.as_secs_f64() * BEST_DECAY);
        state.best_step = Some(Duration::from_secs_f64(best.min(seen)));
    }

    /// Notes that the request has moved to another engine.
    pub fn reassign(&self, server: u64) {
        if let Some(run) = self.loads.state.lock().runs.get_mut(&self.id) {
            run.server = server;
        }
        self.loads.tell();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.loads.state.lock().runs.remove(&self.id);
        self.loads.tell();
    }
}

/// `PrefillGuard` stands for a prompt on a prefill engine.
#[derive(Debug)]
pub struct PrefillGuard {
    loads: Arc<EngineLoads>,
    id: u64,
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.loads.state.lock().prefills.remove(&self.id);
        self.loads.tell();
    }
}
