//! The `host` module holds the state of one entry host of the router: its view of the
//! engines, its admission and its estimates.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendState, Name, Tokens};
use aspenloft_policy::admission::Admission;
use aspenloft_policy::cache_index::CacheIndex;
use aspenloft_policy::estimate::Estimates;
use aspenloft_policy::retry_budget::RetryBudget;
use aspenloft_policy::route::{Candidate, Links, RouteRequest};

use super::fleet::{DECODE_SLOTS, EngineId, Fleet, HostId, INTRA_DC_DELAY};
use super::workload::Request;

/// The capacity of a host's cache index, in pairs of a piece and an engine.
const CACHE_INDEX_CAPACITY: usize = 4_096;

/// The model that all engines serve.
pub const MODEL: &str = "scribe";

/// `EntryHost` is a host that takes requests from callers.
#[derive(Debug)]
pub struct EntryHost {
    /// The admission queue.
    pub admission: Admission,
    /// The index of the prefixes that engines have probably cached.
    pub index: CacheIndex,
    /// The estimates of answer lengths and links, learned from past requests.
    pub estimates: Estimates,
    /// The budget for repeated prefills.
    pub retries: RetryBudget,
    views: Vec<EngineView>,
    model: Name,
}

/// `EngineView` is the last state of an engine that a host received.
#[derive(Debug, Clone)]
struct EngineView {
    name: Name,
    state: BackendState,
    updated_at: Instant,
    down: bool,
}

impl EntryHost {
    /// Creates a host that knows the number of slots of every engine but not its load.
    pub fn new(fleet: &Fleet, now: Instant) -> EntryHost {
        let views = (0..fleet.engines.len()).map(|engine| EngineView {
            name: engine_name(engine),
            state: BackendState { slots: DECODE_SLOTS, ..BackendState::default() },
            updated_at: now,
            down: false,
        });
        EntryHost {
            admission: Admission::default(),
            index: CacheIndex::new(CACHE_INDEX_CAPACITY),
            estimates: Estimates::default(),
            retries: RetryBudget::new(now),
            views: views.collect(),
            model: MODEL.into(),
        }
    }

    /// Stores the state of an engine received at `now`.
    pub fn update_state(&mut self, engine: EngineId, state: BackendState, now: Instant) {
        self.views[engine].state = state;
        self.views[engine].updated_at = now;
    }

    /// Marks an engine as down or up and resets its state.
    pub fn set_down(&mut self, engine: EngineId, down: bool, now: Instant) {
        self.views[engine].down = down;
        self.views[engine].state = BackendState { slots: DECODE_SLOTS, ..BackendState::default() };
        self.views[engine].updated_at = now;
        if down {
            self.index.remove_replica(&engine_name(engine));
        }
    }

    /// Returns the number of prompt tokens that an engine has probably not cached.
    pub fn uncached(&mut self, engine: EngineId, request: &Request) -> Tokens {
        let matches = self.index.lookup(&request.pieces);
        let found = matches.get(&self.views[engine].name);
        Tokens(request.prompt_tokens).saturating_sub(found.map_or(Tokens(0), |found| found.tokens))
    }

    /// Lists the candidates for a request. Engines in `excluded` are marked as down, and
    /// those for which `has_suspect` is true as running a suspect request.
    pub fn candidates(
        &mut self,
        fleet: &Fleet,
        request: &Request,
        excluded: &[EngineId],
        has_suspect: impl Fn(EngineId) -> bool,
        now: Instant,
    ) -> Vec<Candidate> {
        let matches = self.index.lookup(&request.pieces);
        let views = self.views.iter().enumerate().map(|(engine, view)| Candidate {
            name: view.name.clone(),
            serves: self.model.clone(),
            role: fleet.engines[engine].role,
            centre: fleet.engines[engine].centre,
            leaving: false,
            down: view.down || excluded.contains(&engine),
            suspect: has_suspect(engine),
            state: view.state.clone(),
            age: now.saturating_duration_since(view.updated_at),
            cached: matches.get(&view.name).map_or(Tokens(0), |found| found.tokens),
        });
        views.collect()
    }
}

/// Returns the name of an engine.
pub fn engine_name(engine: EngineId) -> Name {
    format!("engine-{engine}").into()
}

/// Builds the routing request for a request at `host`.
pub fn route_request(
    request: &Request,
    host: HostId,
    config: &super::policy::PolicyConfig,
    remaining: Duration,
    seed: u64,
) -> RouteRequest {
    RouteRequest {
        serves: MODEL.into(),
        centre: config.fleet.hosts[host],
        prompt: Tokens(request.prompt_tokens),
        deadline: remaining,
        tbt: config.tbt,
        goodput_weight: config.goodput_weight,
        waste_weight: config.waste_weight,
        seed,
    }
}

/// Returns the links between data centres.
pub fn links(fleet: &Fleet) -> Links {
    use aspenloft_policy::route::Link;
    let mut links = Links::new(super::fleet::CENTRES, Link::default());
    for from in 0..super::fleet::CENTRES {
        for to in 0..super::fleet::CENTRES {
            let delay = if from == to { INTRA_DC_DELAY } else { fleet.delay(from, to) };
            let per_token = fleet.transfer_per_token(from, to);
            links.set(from, to, Link { delay, per_token, queued: Tokens(0) });
        }
    }
    links
}
