//! The `baselines` module is the policies that the product's is held against.
//!
//! Each host picks a pair of engines alone from late reports, adds what it sent
//! itself since, avoids engines that it found dead, offers a result to every decode
//! engine in turn as long as it lives, gives up work that still waits when its
//! target has passed, and starts again once where time is left. They get no
//! reservation and no admission; all else is the same.

use std::time::Duration;

use aspenloft_core::prelude::BackendRole;
use aspenloft_policy::cache_index::CacheIndex;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fleet::{EngineId, HostId};
use super::host::engine_name;
use super::policy::{Action, Note, Policy, Reports, Setting};
use super::workload::{Request, RequestNo};

/// The wait before a result that every decode engine refused is offered again.
const OFFER_AGAIN: Duration = Duration::from_millis(50);

/// New prefills of one request after the first.
const MAX_RESTARTS: u32 = 1;

/// Tokens of queue that a cached token makes up for.
const AFFINITY: u64 = 1;

/// Pairs of a piece and a replica that the index holds.
const INDEX_PAIRS: usize = 4_096;

/// `Chooser` is how a baseline chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chooser {
    /// Any engine.
    Random,
    /// The least loaded by late reports.
    LeastLoaded,
    /// The longest cached prefix against the queue for prefill, the least loaded for
    /// decode.
    PrefixAffinity,
}

/// `Baseline` is one baseline for all hosts.
#[derive(Debug)]
pub struct Baseline {
    chooser: Chooser,
    setting: Setting,
    rng: Pcg64Mcg,
    down: Vec<bool>,
    reported: Vec<u64>,
    /// What each host sent to each engine since the last report.
    sent: Vec<Vec<u64>>,
    index: CacheIndex,
    live: Vec<Option<Live>>,
}

#[derive(Debug, Clone)]
struct Live {
    host: HostId,
    request: Request,
    restarts: u32,
    /// Decode engines that refused the present result in this round.
    refused_by: Vec<EngineId>,
    streaming: bool,
}

impl Baseline {
    /// Creates a baseline.
    pub fn new(chooser: Chooser, setting: &Setting) -> Baseline {
        let engines = setting.fleet.engines.len();
        Baseline {
            chooser,
            setting: setting.clone(),
            rng: Pcg64Mcg::seed_from_u64(setting.seed),
            down: vec![false; engines],
            reported: vec![0; engines],
            sent: vec![vec![0; engines]; setting.fleet.hosts.len()],
            index: CacheIndex::new(INDEX_PAIRS),
            live: Vec::new(),
        }
    }

    fn load(&self, host: HostId, engine: EngineId) -> u64 {
        self.reported[engine] + self.sent[host][engine]
    }

    /// Returns the live engines of a role in random order, so that equal ones are
    /// chosen alike.
    fn shuffled(&mut self, role: BackendRole, without: &[EngineId]) -> Vec<EngineId> {
        let all = self.setting.fleet.of_role(role);
        let mut engines: Vec<EngineId> =
            all.filter(|engine| !self.down[*engine] && !without.contains(engine)).collect();
        engines.shuffle(&mut self.rng);
        engines
    }

    fn choose_prefill(&mut self, host: HostId, request: &Request) -> Option<EngineId> {
        let engines = self.shuffled(BackendRole::Prefill, &[]);
        match self.chooser {
            Chooser::Random => engines.first().copied(),
            Chooser::LeastLoaded => engines.into_iter().min_by_key(|e| self.load(host, *e)),
            Chooser::PrefixAffinity => {
                let matches = self.index.lookup(&request.pieces);
                engines.into_iter().min_by_key(|engine| {
                    let found = matches.get(&engine_name(*engine));
                    let cached = found.map_or(0, |found| found.tokens.0);
                    let work = request.prompt.saturating_sub(cached * AFFINITY);
                    self.load(host, *engine) + work
                })
            }
        }
    }

    fn choose_decode(&mut self, host: HostId, without: &[EngineId]) -> Option<EngineId> {
        let engines = self.shuffled(BackendRole::Decode, without);
        match self.chooser {
            Chooser::Random => engines.first().copied(),
            _ => engines.into_iter().min_by_key(|engine| self.load(host, *engine)),
        }
    }

    fn prefill(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let Some(engine) = self.choose_prefill(live.host, &live.request) else {
            return vec![Action::Fail(no)];
        };
        self.sent[live.host][engine] += live.request.prompt;
        vec![Action::Prefill(no, engine, live.request.priority)]
    }

    fn decode(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        match self.choose_decode(live.host, &live.refused_by) {
            Some(engine) => {
                self.sent[live.host][engine] += 1;
                vec![Action::Decode(no, engine)]
            }
            None => {
                if let Some(live) = &mut self.live[no] {
                    live.refused_by.clear();
                }
                vec![Action::Later(OFFER_AGAIN, Note::Retry(no))]
            }
        }
    }

    /// Starts again with a new prefill where that makes sense.
    fn restart(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let ttft = self.setting.ttft;
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        let late = !live.streaming && now > live.request.comes + ttft;
        if live.restarts >= MAX_RESTARTS || late {
            return vec![Action::Fail(no)];
        }
        live.restarts += 1;
        live.refused_by.clear();
        self.prefill(no)
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.chooser {
            Chooser::Random => "random",
            Chooser::LeastLoaded => "least_loaded",
            Chooser::PrefixAffinity => "prefix_affinity",
        }
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
        self.live[no] = Some(Live {
            host,
            request: request.clone(),
            restarts: 0,
            refused_by: Vec::new(),
            streaming: false,
        });
        let mut actions = self.prefill(no);
        let deadline = (request.comes + self.setting.ttft).saturating_sub(now);
        actions.push(Action::Later(deadline, Note::Deadline(no)));
        actions
    }

    fn note(&mut self, note: Note, _: Duration) -> Vec<Action> {
        match note {
            Note::Retry(no) => self.decode(no),
            Note::Deadline(no) if self.live[no].as_ref().is_some_and(|live| !live.streaming) => {
                vec![Action::FailIfWaiting(no)]
            }
            _ => Vec::new(),
        }
    }

    fn reports(&mut self, reports: &Reports, _: Duration) {
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

    fn prefilled(&mut self, no: RequestNo, _: u64, _: Duration) -> Vec<Action> {
        self.decode(no)
    }

    fn decode_refused(&mut self, no: RequestNo, engine: EngineId, _: Duration) -> Vec<Action> {
        if let Some(live) = &mut self.live[no] {
            live.refused_by.push(engine);
        }
        self.decode(no)
    }

    fn evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }

    fn streaming(&mut self, no: RequestNo, _: Duration) {
        if let Some(live) = &mut self.live[no] {
            live.streaming = true;
        }
    }

    fn over(&mut self, no: RequestNo, _: u64, _: Duration) {
        if let Some(live) = self.live.get_mut(no) {
            *live = None;
        }
    }

    fn engine_lost(&mut self, engine: EngineId, _: &[RequestNo], _: Duration) -> Vec<Action> {
        self.down[engine] = true;
        self.index.remove_replica(&engine_name(engine));
        Vec::new()
    }

    fn engine_back(&mut self, engine: EngineId, _: Duration) {
        self.down[engine] = false;
    }

    fn broken(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }
}

/// Lists the baselines.
pub const ALL: [Chooser; 3] = [Chooser::Random, Chooser::LeastLoaded, Chooser::PrefixAffinity];

/// Draws a seed for a policy from the run's seed.
pub fn policy_seed(seed: u64) -> u64 {
    Pcg64Mcg::seed_from_u64(seed).random()
}
