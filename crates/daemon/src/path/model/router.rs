//! The `router` module gathers what an entry host knows of the servers and asks the
//! policy to choose among them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::pieces::piece_hashes;
use aspenloft_core::prelude::{Backend, BackendRole, BackendState, Name, Tokens};
use aspenloft_policy::cache_index::{CacheIndex, Match};
use aspenloft_policy::estimate::Estimates;
use aspenloft_policy::explain::Attempt;
use aspenloft_policy::retry::RetryBudget;
use aspenloft_policy::route::{
    Candidate, Decision, Link, Links, Pair, RouteOptions, RouteRequest, route, route_decode,
};
use aspenloft_table::row::Row;
use parking_lot::Mutex;

use super::ModelRequest;
use crate::node::Node;

/// Pairs of a cache piece and a replica that the index holds, some 100 bytes each.
const CACHE_PAIRS: usize = 50_000;

/// The one-way delay between data centres that is assumed.
const FAR_DELAY: Duration = Duration::from_micros(4_500);

/// Rows whose retry budgets are kept; those beyond get no retries.
const MAX_BUDGETS: usize = 1_024;

/// How long a server's fault counts against it.
const FAULT_MEMORY: Duration = Duration::from_secs(5);

/// What a fault counts, as a longer wait for the server.
const FAULT_COST: Duration = Duration::from_millis(300);

/// Fresh states from refusals that are kept; the oldest is forgotten first.
const MAX_FRESH: usize = 1_024;

/// `Router` is what an entry host has learned for its choices.
#[derive(Debug)]
pub struct Router {
    /// Which engine has which prefix.
    pub cache: Mutex<CacheIndex>,
    /// How long things take.
    pub estimates: Mutex<Estimates>,
    /// States that came with refusals, often newer than the digests.
    fresh: Mutex<HashMap<Name, (BackendState, Instant)>>,
    /// When servers last failed a request of this host.
    faults: Mutex<HashMap<Name, Instant>>,
    /// What each row may still spend on retries.
    budgets: Mutex<HashMap<Name, RetryBudget>>,
    options: RouteOptions,
}

impl Default for Router {
    fn default() -> Self {
        Router {
            cache: Mutex::new(CacheIndex::new(CACHE_PAIRS)),
            estimates: Mutex::default(),
            fresh: Mutex::default(),
            faults: Mutex::default(),
            budgets: Mutex::default(),
            options: RouteOptions::default(),
        }
    }
}

/// `Choice` is a decision with the servers that it is about.
#[derive(Debug)]
pub struct Choice {
    backends: Vec<Backend>,
    candidates: Vec<Candidate>,
    decision: Decision,
}

impl Choice {
    /// Returns the best pair with its servers: the prefill one, then the decode one.
    pub fn best(&self) -> Option<(&Pair, &Backend, &Backend)> {
        let pair = self.decision.pairs.first()?;
        Some((pair, &self.backends[pair.prefill], &self.backends[pair.decode]))
    }

    /// Tells whether the speed of the best pair's prefill server was measured.
    pub fn measured(&self) -> bool {
        let best = self.decision.pairs.first();
        best.is_some_and(|pair| !self.candidates[pair.prefill].state.prefill_per_token.is_zero())
    }

    /// Returns the tokens of the prompt that the best pair has yet to work on.
    pub fn uncached(&self, prompt: Tokens) -> Tokens {
        let best = self.decision.pairs.first();
        let cached = best.map_or(Tokens(0), |pair| self.candidates[pair.prefill].cached);
        prompt.saturating_sub(cached)
    }

    /// Returns the soonest that a full server may have room.
    pub fn free_in(&self) -> Option<Duration> {
        self.decision.free_in
    }

    /// Describes the choice for operators.
    pub fn explain(&self) -> Attempt {
        Attempt::new(&self.candidates, &self.decision)
    }
}

impl Router {
    /// Chooses a pair of servers for a request with `deadline` left for its first
    /// token, keeping off the servers in `avoid`.
    pub fn choose(
        &self,
        node: &Node,
        req: &ModelRequest,
        prompt: Tokens,
        deadline: Duration,
        avoid: &[Name],
    ) -> Choice {
        let (backends, candidates, links) = self.survey(node, req, avoid);
        let wanted = self.wanted(node, req, prompt, deadline);
        let decision = route(&wanted, &candidates, &links, &self.options);
        Choice { backends, candidates, decision }
    }

    /// Ranks decode servers for a result that exists already.
    pub fn choose_decode(
        &self,
        node: &Node,
        req: &ModelRequest,
        prompt: Tokens,
        deadline: Duration,
        avoid: &[Name],
    ) -> Vec<Backend> {
        let (backends, candidates, _) = self.survey(node, req, avoid);
        let wanted = self.wanted(node, req, prompt, deadline);
        let ranked = route_decode(&wanted, &candidates, &self.options);
        ranked.into_iter().map(|at| backends[at].clone()).collect()
    }

    /// Notes that a server failed a request, so that others rather go elsewhere for a
    /// while. It stays a candidate, because the fault may have been elsewhere.
    pub fn note_fault(&self, backend: &Name, now: Instant) {
        let mut faults = self.faults.lock();
        faults.retain(|_, at| now.saturating_duration_since(*at) < FAULT_MEMORY);
        if faults.len() < MAX_FRESH {
            faults.insert(backend.clone(), now);
        }
    }

    /// Takes the state that came with a refusal.
    pub fn note_state(&self, backend: &Name, state: BackendState, now: Instant) {
        let mut fresh = self.fresh.lock();
        if fresh.len() >= MAX_FRESH
            && let Some(oldest) =
                fresh.iter().min_by_key(|(_, (_, at))| *at).map(|(n, _)| n.clone())
        {
            fresh.remove(&oldest);
        }
        fresh.insert(backend.clone(), (state, now));
    }

    /// Learns from the length of a whole answer.
    pub fn note_answer(&self, row: &Name, generated: Tokens, now: Instant) {
        self.estimates.lock().output.get_or_insert(row, now).add(generated.0 as f64);
    }

    /// Adds a request's share to the retry budget of its row.
    pub fn save_for_retries(&self, row: &Row, now: Instant) {
        let mut budgets = self.budgets.lock();
        if budgets.len() < MAX_BUDGETS || budgets.contains_key(&row.name) {
            let budget = budgets.entry(row.name.clone());
            budget.or_insert_with(|| RetryBudget::new(now)).deposit(row.retry_percent);
        }
    }

    /// Takes a retry from the budget of a row; `false` when it is used up or the time
    /// left is too short for one.
    pub fn spend_retry(&self, row: &Row, now: Instant, left: Duration, needed: Duration) -> bool {
        let mut budgets = self.budgets.lock();
        let budget = budgets.get_mut(&row.name);
        budget.is_some_and(|budget| budget.withdraw(now, left, needed).is_ok())
    }

    /// Estimates how many decode slots of a model are free now.
    pub fn free_slots(&self, node: &Node, model: &str) -> u32 {
        let now = node.clock.now();
        let decodes = node.view.backends(BackendRole::Decode, model);
        let free = decodes.iter().map(|backend| match self.state(node, &backend.name, now) {
            Some((state, _)) if state.closed => 0,
            Some((state, age)) if state.free_in > age => 0,
            Some((state, _)) => state.slots.saturating_sub(state.taken).max(1),
            None => 1,
        });
        free.sum()
    }

    /// Estimates the transfer of a prompt's KV cache between two servers.
    pub fn transfer(&self, from: &Backend, to: &Backend, prompt: Tokens) -> Duration {
        let name = Estimates::link_name(&from.data_centre, &to.data_centre);
        let estimates = self.estimates.lock();
        estimates.links.get(&name).copied().unwrap_or_default().transfer_time(prompt)
    }

    fn wanted(
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

    /// Lists the engines of the request's model with all that is known of them. The
    /// entry host's own data centre has number zero.
    fn survey(
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
            let centre = number(&mut centres, &backend.data_centre);
            let cached = matches.get(&backend.name).map_or(Tokens(0), |found| believed(*found));
            let avoided = avoid.contains(&backend.name);
            let state = self.state(node, &backend.name, now);
            let mut candidate = candidate(backend, centre, cached, avoided, state);
            candidate.state.free_in += self.fault_cost(&backend.name, now);
            candidate
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let links = self.links(&centres);
        (backends, candidates, links)
    }

    fn fault_cost(&self, backend: &str, now: Instant) -> Duration {
        let at = self.faults.lock().get(backend).copied();
        let fresh = at.is_some_and(|at| now.saturating_duration_since(at) < FAULT_MEMORY);
        if fresh { FAULT_COST } else { Duration::ZERO }
    }

    /// Returns the newer of the digest and of a refusal's state.
    fn state(&self, node: &Node, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        let digest = node.view.state_of(backend, now);
        let fresh = self.fresh.lock().get(backend).cloned();
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
                    delay: if i == j { Duration::ZERO } else { FAR_DELAY },
                    per_token: model.per_token(),
                    queued: model.in_flight(),
                };
                links.set(i, j, link);
            }
        }
        links
    }
}

/// Returns the number of a data centre, which is new if need be.
fn number(centres: &mut Vec<Name>, name: &Name) -> usize {
    if let Some(known) = centres.iter().position(|centre| centre == name) {
        return known;
    }
    centres.push(name.clone());
    centres.len() - 1
}

/// Returns the cached tokens that are counted on. Half of a doubtful guess is.
fn believed(found: Match) -> Tokens {
    if found.incomplete { Tokens(found.tokens.0 / 2) } else { found.tokens }
}

fn candidate(
    backend: &Backend,
    centre: usize,
    cached: Tokens,
    avoided: bool,
    state: Option<(BackendState, Duration)>,
) -> Candidate {
    // Nothing known is no reason against a server: its home will say.
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
