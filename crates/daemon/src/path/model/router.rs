//! The `router` module collects what an entry host knows of the engines and has the
//! routing policy choose among them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::pieces::piece_hashes;
use aspenloft_core::prelude::{Backend, BackendRole, BackendState, Name, Tokens};
use aspenloft_policy::cache_index::{CacheIndex, Match};
use aspenloft_policy::estimate::Estimates;
use aspenloft_policy::explain::Attempt;
use aspenloft_policy::retry_budget::RetryBudget;
use aspenloft_policy::route::{
    Candidate, Decision, Link, Links, Pair, RouteOptions, RouteRequest, route, route_decode,
};
use aspenloft_table::row::Row;
use parking_lot::Mutex;

use super::ModelRequest;
use crate::node::Node;

/// The maximum number of pairs of a cache piece and an engine in the index. A pair takes
/// about 100 bytes.
const MAX_CACHE_PAIRS: usize = 50_000;

/// The assumed one-way network delay between data centres.
const REMOTE_DELAY: Duration = Duration::from_micros(4_500);

/// The maximum number of rows with a retry budget; further rows get no budgeted retries.
const MAX_BUDGETS: usize = 1_024;

/// How long a server's last fault affects routing.
const FAULT_DURATION: Duration = Duration::from_secs(5);

/// The penalty for a recent fault, added to the estimated wait for the server.
const FAULT_PENALTY: Duration = Duration::from_millis(300);

/// The maximum number of servers whose faults are recorded, and of those whose states
/// from refusals are kept. The oldest state is evicted first; further faults are not
/// recorded.
const MAX_TRACKED_SERVERS: usize = 1_024;

/// `Router` holds the routing state of an entry host: what it has learned of engines,
/// links and rows.
#[derive(Debug)]
pub struct Router {
    /// The prompt prefixes that each engine is expected to have in its KV cache.
    pub cache: Mutex<CacheIndex>,
    /// Learned estimates of answer lengths and link speeds.
    pub estimates: Mutex<Estimates>,
    /// States received with refusals, and when. They are often newer than the digests,
    /// the states that the homes publish.
    refusal_states: Mutex<HashMap<Name, (BackendState, Instant)>>,
    /// When each server last failed a request of this host.
    faults: Mutex<HashMap<Name, Instant>>,
    /// The retry budget of each row.
    budgets: Mutex<HashMap<Name, RetryBudget>>,
    options: RouteOptions,
}

impl Default for Router {
    fn default() -> Self {
        Router {
            cache: Mutex::new(CacheIndex::new(MAX_CACHE_PAIRS)),
            estimates: Mutex::default(),
            refusal_states: Mutex::default(),
            faults: Mutex::default(),
            budgets: Mutex::default(),
            options: RouteOptions::default(),
        }
    }
}

/// `Choice` is a routing decision with the servers and candidates that it refers to.
#[derive(Debug)]
pub struct Choice {
    backends: Vec<Backend>,
    candidates: Vec<Candidate>,
    decision: Decision,
}

impl Choice {
    /// Returns the best pair with its prefill server and its decode server.
    pub fn best(&self) -> Option<(&Pair, &Backend, &Backend)> {
        let pair = self.decision.pairs.first()?;
        Some((pair, &self.backends[pair.prefill], &self.backends[pair.decode]))
    }

    /// Returns whether the prefill speed of the best pair's prefill server was measured.
    pub fn has_measured_prefill(&self) -> bool {
        let best = self.decision.pairs.first();
        best.is_some_and(|pair| !self.candidates[pair.prefill].state.prefill_per_token.is_zero())
    }

    /// Returns the number of prompt tokens that the best pair's prefill server is not
    /// expected to have in its cache.
    pub fn uncached_tokens(&self, prompt: Tokens) -> Tokens {
        let best = self.decision.pairs.first();
        let cached = best.map_or(Tokens(0), |pair| self.candidates[pair.prefill].cached);
        prompt.saturating_sub(cached)
    }

    /// Returns the shortest estimated time until a full server has free capacity.
    pub fn free_in(&self) -> Option<Duration> {
        self.decision.free_in
    }

    /// Describes the choice for the explanation of a request to operators.
    pub fn explain(&self) -> Attempt {
        Attempt::new(&self.candidates, &self.decision)
    }
}

impl Router {
    /// Chooses a pair of servers for a request with `deadline` left until its next
    /// token. Servers in `avoid` are not chosen.
    pub fn choose(
        &self,
        node: &Node,
        req: &ModelRequest,
        prompt: Tokens,
        deadline: Duration,
        avoid: &[Name],
    ) -> Choice {
        let (backends, candidates, links) = self.collect_candidates(node, req, avoid);
        let route_req = self.route_request(node, req, prompt, deadline);
        let decision = route(&route_req, &candidates, &links, &self.options);
        Choice { backends, candidates, decision }
    }

    /// Ranks decode servers for a prefill result that already exists.
    pub fn rank_decode_servers(
        &self,
        node: &Node,
        req: &ModelRequest,
        prompt: Tokens,
        deadline: Duration,
        avoid: &[Name],
    ) -> Vec<Backend> {
        let (backends, candidates, _) = self.collect_candidates(node, req, avoid);
        let route_req = self.route_request(node, req, prompt, deadline);
        let ranked = route_decode(&route_req, &candidates, &self.options);
        ranked.into_iter().map(|index| backends[index].clone()).collect()
    }

    /// Records that a server failed a request, so that other requests prefer other
    /// servers for a while. It stays a candidate, because the fault may have been
    /// elsewhere.
    pub fn record_fault(&self, backend: &Name, now: Instant) {
        let mut faults = self.faults.lock();
        faults.retain(|_, at| now.saturating_duration_since(*at) < FAULT_DURATION);
        if faults.len() < MAX_TRACKED_SERVERS {
            faults.insert(backend.clone(), now);
        }
    }

    /// Records the state that a home sent with a refusal.
    pub fn record_state(&self, backend: &Name, state: BackendState, now: Instant) {
        let mut states = self.refusal_states.lock();
        if states.len() >= MAX_TRACKED_SERVERS
            && let Some(oldest) =
                states.iter().min_by_key(|(_, (_, at))| *at).map(|(n, _)| n.clone())
        {
            states.remove(&oldest);
        }
        states.insert(backend.clone(), (state, now));
    }

    /// Updates the estimated answer length of a row with that of a complete answer.
    pub fn record_answer_length(&self, row: &Name, generated: Tokens, now: Instant) {
        self.estimates.lock().output.get_or_insert(row, now).add(generated.0 as f64);
    }

    /// Adds the share of one request to the retry budget of its row.
    pub fn deposit_retry_share(&self, row: &Row, now: Instant) {
        let mut budgets = self.budgets.lock();
        if budgets.len() < MAX_BUDGETS || budgets.contains_key(&row.name) {
            let budget = budgets.entry(row.name.clone());
            budget.or_insert_with(|| RetryBudget::new(now)).deposit(row.retry_percent);
        }
    }

    /// Takes one retry from the budget of a row. Returns `false` if the budget is used up
    /// or if the time left is shorter than `needed`.
    pub fn withdraw_retry(
        &self,
        row: &Row,
        now: Instant,
        left: Duration,
        needed: Duration,
    ) -> bool {
        let mut budgets = self.budgets.lock();
        let budget = budgets.get_mut(&row.name);
        budget.is_some_and(|budget| budget.withdraw(now, left, needed).is_ok())
    }

    /// Estimates the number of free decode slots of a model. A server without a known
    /// state counts as one slot.
    pub fn free_slots(&self, node: &Node, model: &str) -> u32 {
        let now = node.clock.now();
        let servers = node.view.backends(BackendRole::Decode, model);
        let free =
            servers.iter().map(|backend| match self.latest_state(node, &backend.name, now) {
                Some((state, _)) if state.closed => 0,
                Some((state, age)) if state.free_in > age => 0,
                Some((state, _)) => state.slots.saturating_sub(state.taken).max(1),
                None => 1,
            });
        free.sum()
    }

    /// Estimates how long the transfer of a prompt's KV cache between two servers takes.
    pub fn estimate_transfer(&self, from: &Backend, to: &Backend, prompt: Tokens) -> Duration {
        let name = Estimates::link_name(&from.data_centre, &to.data_centre);
        let estimates = self.estimates.lock();
        estimates.links.get(&name).copied().unwrap_or_default().transfer_time(prompt)
    }

    fn route_request(
        &self,
        node: &Node,
        req: &ModelRequest,
        prompt: Tokens,
        deadline: Duration,
    ) -> RouteRequest {
        RouteRequest {
            serves: req.row.serves.clone(),
            centre: 0,
            prompt,
            deadline,
            tbt: req.row.tbt,
            goodput_weight: req.row.goodput_weight,
            waste_weight: req.row.waste_weight,
            seed: node.random_below(u64::MAX),
        }
    }

    /// Collects the engines of the request's model as candidates, with the links between
    /// their data centres. The entry host's own data centre has index zero.
    fn collect_candidates(
        &self,
        node: &Node,
        req: &ModelRequest,
        avoid: &[Name],
    ) -> (Vec<Backend>, Vec<Candidate>, Links) {
        let now = node.clock.now();
        let pieces = piece_hashes(&req.row.serves, &req.prompt);
        let matches = self.cache.lock().lookup(&pieces);
        let mut centres = vec![node.view.me().data_centre.clone()];
        let listing = node.view.listing();
        let serving = listing.backends.iter().filter(|backend| {
            backend.role != BackendRole::Service && backend.serves == req.row.serves
        });
        let backends: Vec<Backend> = serving.cloned().collect();
        let candidates = backends.iter().map(|backend| {
            let centre = centre_index(&mut centres, &backend.data_centre);
            let cached =
                matches.get(&backend.name).map_or(Tokens(0), |found| credited_tokens(*found));
            let avoided = avoid.contains(&backend.name);
            let state = self.latest_state(node, &backend.name, now);
            let mut candidate = candidate(backend, centre, cached, avoided, state);
            candidate.state.free_in += self.fault_penalty(&backend.name, now);
            candidate
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let links = self.links(&centres);
        (backends, candidates, links)
    }

    fn fault_penalty(&self, backend: &str, now: Instant) -> Duration {
        let at = self.faults.lock().get(backend).copied();
        let is_recent = at.is_some_and(|at| now.saturating_duration_since(at) < FAULT_DURATION);
        if is_recent { FAULT_PENALTY } else { Duration::ZERO }
    }

    /// Returns the newer of a server's digest, the state that its home has published, and
    /// its state from a refusal, with the age.
    fn latest_state(
        &self,
        node: &Node,
        backend: &str,
        now: Instant,
    ) -> Option<(BackendState, Duration)> {
        let digest = node.view.state_of(backend, now);
        let fresh = self.refusal_states.lock().get(backend).cloned();
        let fresh = fresh
            .map(|(state, at)| (state, now.saturating_duration_since(at)))
            .filter(|(_, age)| *age <= self.options.stale_after);
        match (digest, fresh) {
            (Some(digest), Some(fresh)) => Some(if fresh.1 < digest.1 { fresh } else { digest }),
            (digest, fresh) => digest.or(fresh),
        }
    }

    fn links(&self, centres: &[Name]) -> Links {
        let mut links = Links::new(centres.len(), Link::default());
        let estimates = self.estimates.lock();
        for (i, from) in centres.iter().enumerate() {
            for (j, to) in centres.iter().enumerate() {
                let name = Estimates::link_name(from, to);
                let model = estimates.links.get(&name).copied().unwrap_or_default();
                let link = Link {
                    delay: if i == j { Duration::ZERO } else { REMOTE_DELAY },
                    per_token: model.per_token(),
                    queued: model.in_flight(),
                };
                links.set(i, j, link);
            }
        }
        links
    }
}

/// Returns the index of a data centre in `centres`, to which it is added if missing.
fn centre_index(centres: &mut Vec<Name>, name: &Name) -> usize {
    if let Some(known) = centres.iter().position(|centre| centre == name) {
        return known;
    }
    centres.push(name.clone());
    centres.len() - 1
}

/// Returns the cached tokens that routing counts on: half of the match if cache events
/// of the engine were lost.
fn credited_tokens(found: Match) -> Tokens {
    if found.incomplete { Tokens(found.tokens.0 / 2) } else { found.tokens }
}

fn candidate(
    backend: &Backend,
    centre: usize,
    cached: Tokens,
    avoided: bool,
    state: Option<(BackendState, Duration)>,
) -> Candidate {
    // A server without a known state stays a candidate; its home refuses the reservation
    // if there is no capacity.
    let (state, age) = state.unwrap_or_default();
    Candidate {
        name: backend.name.clone(),
        serves: backend.serves.clone(),
        role: backend.role,
        centre,
        leaving: backend.leaving,
        down: avoided,
        suspect: false,
        state,
        age,
        cached,
    }
}
