//! The `route` module chooses the prefill and the decode server of a request
//! together; `docs/ROUTING.md` explains each filter and each term.
//!
//! Filters run first. Each has a name and its own verdict, so that an operator can be
//! told why a server was not chosen. The remaining candidates get a cost in seconds,
//! which is a sum of named terms; the pair with the lowest cost wins. Named filters with
//! a verdict for every candidate follow the paper "Placing players".

mod cost;
mod pairs;

use std::time::Duration;

use aspenloft_core::prelude::{BackendRole, BackendState, Name, Tokens};
use serde::{Deserialize, Serialize};

pub use cost::CostTerms;
pub use pairs::Pair;

use cost::{ServerCost, server_cost};
use pairs::{MAX_PAIRS, Shortlist, rank_pairs};

/// `Filter` is the reason why a candidate is excluded from scoring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Filter {
    /// It serves another model.
    Model,
    /// It is leaving, or does not accept new work.
    Leaving,
    /// It cannot be reached.
    Down,
    /// The request is a suspect and the server already runs one, or the request must not
    /// run on this server for another reason.
    Suspect,
    /// It has no free slot or place in its queue within the deadline.
    Full,
    /// The link to it cannot transfer the KV cache within the deadline.
    Link,
    /// Its last known state is too old.
    Stale,
}

/// `Verdict` is the result of routing for one candidate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A filter excluded it.
    Excluded(Filter),
    /// It has this cost in seconds by itself, and is part of no ranked pair.
    Scored(f64),
    /// It is part of a ranked pair.
    Ranked,
}

/// `Candidate` is one server as the entry host knows it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server's name.
    pub name: Name,
    /// The model that it serves.
    pub serves: Name,
    /// Whether it prefills, decodes or runs a plain service.
    pub role: BackendRole,
    /// The index of its data centre in [`Links`].
    pub centre: usize,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it cannot be reached.
    pub down: bool,
    /// Whether this request must not run on it; see [`Filter::Suspect`].
    pub suspect: bool,
    /// Its last known state.
    pub state: BackendState,
    /// The age of `state`.
    pub age: Duration,
    /// Tokens of the prompt that are likely in its prefix cache.
    pub cached: Tokens,
}

/// `Link` is a link between two data centres.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Link {
    /// The one-way delay.
    pub delay: Duration,
    /// The time to transfer the KV cache of one token.
    pub per_token: Duration,
    /// The tokens whose KV cache is queued for or in transfer on it.
    pub queued: Tokens,
}

/// `Links` holds the links between all data centres.
#[derive(Debug, Clone, Default)]
pub struct Links {
    centres: usize,
    links: Vec<Link>,
}

impl Links {
    /// Creates links between `centres` data centres, all equal to `link`.
    pub fn new(centres: usize, link: Link) -> Links {
        Links { centres, links: vec![link; centres * centres] }
    }

    /// Sets the link from one data centre to another.
    pub fn set(&mut self, from: usize, to: usize, link: Link) {
        self.links[from * self.centres + to] = link;
    }

    /// Returns the link from one data centre to another.
    pub fn get(&self, from: usize, to: usize) -> Link {
        self.links[from * self.centres + to]
    }
}

/// `RouteRequest` holds the properties of a request that determine its routing.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The requested model.
    pub serves: Name,
    /// The index of the entry host's data centre in [`Links`].
    pub centre: usize,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The time left until the first token is due.
    pub deadline: Duration,
    /// The row's target for the time between tokens.
    pub tbt: Duration,
    /// The row's weight of goodput.
    pub goodput_weight: f64,
    /// The row's weight of wasted prefill.
    pub waste_weight: f64,
    /// The seed of the jitter. It differs between requests, so that hosts do not all
    /// choose the same one of several equal candidates.
    pub seed: u64,
}

/// `RouteOptions` sets the filters and the weights of the terms.
#[derive(Debug, Clone, Copy)]
pub struct RouteOptions {
    /// The age beyond which a state is no longer used.
    pub stale_after: Duration,
    /// The prefill time for a token on servers without measurements.
    pub default_prefill_per_token: Duration,
    /// Seconds of cost for each second by which the first token misses its target.
    pub late_penalty: f64,
    /// Seconds of cost for each millisecond by which a decode step exceeds its target.
    pub slow_step_penalty: f64,
    /// The share of a prefill's time that counts as wasted for each second of waiting for
    /// a decode slot, and for each second of age of the decode server's state, in
    /// proportion to its used slots.
    pub waste_risk: f64,
    /// The most seconds of random cost, which breaks ties.
    pub max_jitter: f64,
    /// Seconds of cost of an idle decode server over a full one; zero for no
    /// preference.
    pub fill_preference: f64,
}

impl Default for RouteOptions {
    fn default() -> Self {
        RouteOptions {
            stale_after: Duration::from_secs(10),
            default_prefill_per_token: Duration::from_micros(100),
            late_penalty: 10.0,
            slow_step_penalty: 0.05,
            waste_risk: 0.5,
            max_jitter: 0.002,
            fill_preference: 0.0,
        }
    }
}

/// `Decision` is the result of [`route`].
#[derive(Debug, Clone, Default)]
pub struct Decision {
    /// The pairs with the lowest cost, in ascending order.
    pub pairs: Vec<Pair>,
    /// A verdict for each candidate, in the order of the candidates.
    pub verdicts: Vec<Verdict>,
    /// The shortest time until a server that is excluded as full may have a free slot.
    pub free_in: Option<Duration>,
}

/// Ranks the pairs of prefill and decode servers for `req`.
pub fn route(
    req: &RouteRequest,
    candidates: &[Candidate],
    links: &Links,
    options: &RouteOptions,
) -> Decision {
    let mut decision = Decision::default();
    decision.verdicts.reserve_exact(candidates.len());
    let centres = links.centres.max(1);
    let mut prefills = Shortlist::new(centres);
    let mut decodes = Shortlist::new(centres);
    for (index, candidate) in candidates.iter().enumerate() {
        let verdict = match filter(req, candidate, options) {
            Some(Filter::Full) => {
                let free = candidate.state.free_in;
                decision.free_in = Some(decision.free_in.map_or(free, |known| known.min(free)));
                Verdict::Excluded(Filter::Full)
            }
            Some(other) => Verdict::Excluded(other),
            None => {
                let server = server_cost(req, index, candidate, options);
                match candidate.role {
                    BackendRole::Prefill => prefills.insert(server),
                    _ => decodes.insert(server),
                }
                Verdict::Scored(server.cost)
            }
        };
        decision.verdicts.push(verdict);
    }
    rank_pairs(req, links, options, &prefills, &decodes, &mut decision);
    decision
}

/// Ranks decode servers without prefill servers, for a result that is already on a
/// server or for a stream that is resumed. Returns indices of candidates, best first.
pub fn route_decode(
    req: &RouteRequest,
    candidates: &[Candidate],
    options: &RouteOptions,
) -> Vec<usize> {
    let fit = candidates.iter().enumerate().filter(|(_, candidate)| {
        candidate.role == BackendRole::Decode && filter(req, candidate, options).is_none()
    });
    let mut ranked: Vec<ServerCost> =
        fit.map(|(index, candidate)| server_cost(req, index, candidate, options)).collect();
    ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    ranked.into_iter().take(MAX_PAIRS).map(|server| server.index).collect()
}

/// Returns the first filter that excludes a candidate, if any does.
pub fn filter(req: &RouteRequest, candidate: &Candidate, options: &RouteOptions) -> Option<Filter> {
    if candidate.role == BackendRole::Service || candidate.serves != req.serves {
        return Some(Filter::Model);
    }
    if candidate.leaving || candidate.state.closed {
        return Some(Filter::Leaving);
    }
    if candidate.down {
        return Some(Filter::Down);
    }
    if candidate.suspect {
        return Some(Filter::Suspect);
    }
    if candidate.age > options.stale_after {
        return Some(Filter::Stale);
    }
    let free_in = candidate.state.free_in.saturating_sub(candidate.age);
    (free_in > req.deadline).then_some(Filter::Full)
}
