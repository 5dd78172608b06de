//! The `baselines` module implements the policies that the router's policy is compared
//! with.
//!
//! Each host chooses engines independently, from delayed load reports and the
//! requests that it sent itself since the last report, and skips engines that are
//! known to be down. It offers a result to one decode engine after the other until
//! the result is evicted, fails requests whose prefill is still queued at the
//! deadline of the first token, and repeats the prefill once if time remains. The
//! baselines have no reservations and no admission. They run on the same engines,
//! links and requests as the router's policy.

use std::time::Duration;

use aspenloft_core::prelude::BackendRole;
use aspenloft_policy::cache_index::CacheIndex;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fleet::{EngineId, HostId};
use super::host::engine_name;
use super::policy::{Action, Message, Policy, PolicyConfig, Reports};
use super::workload::{Request, RequestNo};

/// The delay before a result that every decode engine refused is offered again.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The number of times that one request may repeat its prefill.
const MAX_RESTARTS: u32 = 1;

/// The number of queued tokens that one cached token outweighs.
const AFFINITY_WEIGHT: u64 = 1;

/// The capacity of the cache index, in pairs of a piece and an engine.
const CACHE_INDEX_CAPACITY: usize = 4_096;

/// `EngineSelection` is the rule by which a baseline selects engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineSelection {
    /// A random engine.
    Random,
    /// The least loaded engine by the delayed reports.
    LeastLoaded,
    /// For prefill, the engine with the least sum of queued and uncached tokens; for
    /// decode, the least loaded engine.
    PrefixAffinity,
}

/// `Baseline` is one baseline policy, with the state of all hosts.
#[derive(Debug)]
pub struct Baseline {
    selection: EngineSelection,
    config: PolicyConfig,
    rng: Pcg64Mcg,
    down: Vec<bool>,
    /// The load of each engine in its last report, in the units of `sent`.
    reported: Vec<u64>,
    /// The load that each host sent to each engine since the last report: tokens for
    /// prefill, streams for decode.
    sent: Vec<Vec<u64>>,
    index: CacheIndex,
    active: Vec<Option<ActiveRequest>>,
}

#[derive(Debug, Clone)]
struct ActiveRequest {
    host: HostId,
    request: Request,
    restarts: u32,
    /// The decode engines that refused the current result in this round.
    refused_by: Vec<EngineId>,
    streaming: bool,
}

impl Baseline {
    /// Creates a baseline with the given rule.
    pub fn new(selection: EngineSelection, config: &PolicyConfig) -> Baseline {
        let engines = config.fleet.engines.len();
        Baseline {
            selection,
            config: config.clone(),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            down: vec![false; engines],
            reported: vec![0; engines],
            sent: vec![vec![0; engines]; config.fleet.hosts.len()],
            index: CacheIndex::new(CACHE_INDEX_CAPACITY),
            active: Vec::new(),
        }
    }

    fn load(&self, host: HostId, engine: EngineId) -> u64 {
        self.reported[engine] + self.sent[host][engine]
    }

    /// Returns the live engines with a role in random order, so that ties are broken at
    /// random.
    fn shuffled(&mut self, role: BackendRole, excluded: &[EngineId]) -> Vec<EngineId> {
        let all = self.config.fleet.engines_with_role(role);
        let mut engines: Vec<EngineId> =
            all.filter(|engine| !self.down[*engine] && !excluded.contains(engine)).collect();
        engines.shuffle(&mut self.rng);
        engines
    }

    fn choose_prefill(&mut self, host: HostId, request: &Request) -> Option<EngineId> {
        let engines = self.shuffled(BackendRole::Prefill, &[]);
        match self.selection {
            EngineSelection::Random => engines.first().copied(),
            EngineSelection::LeastLoaded => engines.into_iter().min_by_key(|e| self.load(host, *e)),
            EngineSelection::PrefixAffinity => {
                let matches = self.index.lookup(&request.pieces);
                engines.into_iter().min_by_key(|engine| {
                    let found = matches.get(&engine_name(*engine));
                    let cached = found.map_or(0, |found| found.tokens.0);
                    let work = request.prompt_tokens.saturating_sub(cached * AFFINITY_WEIGHT);
                    self.load(host, *engine) + work
                })
            }
        }
    }

    fn choose_decode(&mut self, host: HostId, excluded: &[EngineId]) -> Option<EngineId> {
        let engines = self.shuffled(BackendRole::Decode, excluded);
        match self.selection {
            EngineSelection::Random => engines.first().copied(),
            _ => engines.into_iter().min_by_key(|engine| self.load(host, *engine)),
        }
    }

    fn dispatch_prefill(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(active) = self.active[no].clone() else { return Vec::new() };
        let Some(engine) = self.choose_prefill(active.host, &active.request) else {
            return vec![Action::Fail(no)];
        };
        self.sent[active.host][engine] += active.request.prompt_tokens;
        vec![Action::Prefill(no, engine, active.request.priority)]
    }

    fn dispatch_decode(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(active) = self.active[no].clone() else { return Vec::new() };
        match self.choose_decode(active.host, &active.refused_by) {
            Some(engine) => {
                self.sent[active.host][engine] += 1;
                vec![Action::Decode(no, engine)]
            }
            None => {
                if let Some(active) = &mut self.active[no] {
                    active.refused_by.clear();
                }
                vec![Action::After(OFFER_RETRY_DELAY, Message::Retry(no))]
            }
        }
    }

    /// Repeats the prefill, unless the limit of repeats or the deadline of the first
    /// token is exceeded.
    fn restart(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let ttft = self.config.ttft;
        let Some(active) = &mut self.active[no] else { return Vec::new() };
        let late = !active.streaming && now > active.request.arrives_at + ttft;
        if active.restarts >= MAX_RESTARTS || late {
            return vec![Action::Fail(no)];
        }
        active.restarts += 1;
        active.refused_by.clear();
        self.dispatch_prefill(no)
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.selection {
            EngineSelection::Random => "random",
            EngineSelection::LeastLoaded => "least_loaded",
            EngineSelection::PrefixAffinity => "prefix_affinity",
        }
    }

    fn on_arrival(
        &mut self,
        no: RequestNo,
        host: HostId,
        request: &Request,
        now: Duration,
    ) -> Vec<Action> {
        if self.active.len() <= no {
            self.active.resize(no + 1, None);
        }
        self.active[no] = Some(ActiveRequest {
            host,
            request: request.clone(),
            restarts: 0,
            refused_by: Vec::new(),
            streaming: false,
        });
        let mut actions = self.dispatch_prefill(no);
        let deadline = (request.arrives_at + self.config.ttft).saturating_sub(now);
        actions.push(Action::After(deadline, Message::Deadline(no)));
        actions
    }

    fn on_message(&mut self, message: Message, _: Duration) -> Vec<Action> {
        match message {
            Message::Retry(no) => self.dispatch_decode(no),
            Message::Deadline(no)
                if self.active[no].as_ref().is_some_and(|active| !active.streaming) =>
            {
                vec![Action::FailIfWaiting(no)]
            }
            _ => Vec::new(),
        }
    }

    fn on_reports(&mut self, reports: &Reports, _: Duration) {
        for (engine, events) in reports.events.iter().enumerate() {
            let name = engine_name(engine);
            for (seq, piece, stored) in events {
                self.index.apply(&name, *seq, *piece, *stored);
            }
            self.reported[engine] = reports.queued[engine] + u64::from(reports.active[engine]);
        }
        for sent in self.sent.iter_mut().flatten() {
            *sent = 0;
        }
    }

    fn on_prefilled(&mut self, no: RequestNo, _: u64, _: Duration) -> Vec<Action> {
        self.dispatch_decode(no)
    }

    fn on_decode_refused(&mut self, no: RequestNo, engine: EngineId, _: Duration) -> Vec<Action> {
        if let Some(active) = &mut self.active[no] {
            active.refused_by.push(engine);
        }
        self.dispatch_decode(no)
    }

    fn on_evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }

    fn on_first_token(&mut self, no: RequestNo, _: Duration) {
        if let Some(active) = &mut self.active[no] {
            active.streaming = true;
        }
    }

    fn on_end(&mut self, no: RequestNo, _: u64, _: Duration) {
        if let Some(active) = self.active.get_mut(no) {
            *active = None;
        }
    }

    fn on_engine_lost(&mut self, engine: EngineId, _: &[RequestNo], _: Duration) -> Vec<Action> {
        self.down[engine] = true;
        self.index.remove_replica(&engine_name(engine));
        Vec::new()
    }

    fn on_engine_recovered(&mut self, engine: EngineId, _: Duration) {
        self.down[engine] = false;
    }

    fn on_attempt_lost(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }
}

/// The rules of all baselines.
pub const ALL: [EngineSelection; 3] =
    [EngineSelection::Random, EngineSelection::LeastLoaded, EngineSelection::PrefixAffinity];

/// Derives the seed of a policy from the seed of the run.
pub fn policy_seed(seed: u64) -> u64 {
    Pcg64Mcg::seed_from_u64(seed).random()
}
