//! The `route` module chooses the prefill and the decode server of a request
//! together; `docs/ROUTING.md` explains each filter and each term.
//!
//! Named filters come first, each with a verdict of its own, because the use of
//! the answer is to tell someone why a server was not chosen. What is left gets a
//! cost term by term, in seconds; the lowest wins. Named filters with a verdict for
//! every candidate follow the paper "Placing players".

mod cost;
mod pairs;

use std::time::Duration;

use aspenloft_core::prelude::{BackendRole, BackendState, Name, Tokens};
use serde::{Deserialize, Serialize};

pub use cost::CostTerms;
pub use pairs::Pair;

use cost::{ServerCost, server_cost};
use pairs::{MAX_PAIRS, Shortlist, rank_pairs};

/// `Filter` is the reason for which a candidate is not scored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Filter {
    /// It serves another model.
    Model,
    /// It is leaving, or refuses new work.
    Leaving,
    /// It cannot be reached.
    Down,
    /// It may run only one suspect request at a time, or this request is kept off.
    Suspect,
    /// No slot or turn comes free within the deadline.
    Full,
    /// The links to it have no room within the deadline.
    Link,
    /// Nothing has been heard of it for too long.
    Stale,
}

/// `Verdict` is what became of one candidate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A filter excluded it.
    Excluded(Filter),
    /// It was scored alone, at this many seconds, and not paired.
    Scored(f64),
    /// It is part of a ranked pair.
    Ranked,
}

/// `Candidate` is one server as the entry host knows it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server's name.
    pub name: Name,
    /// What it serves.
    pub serves: Name,
    /// Its role.
    pub role: BackendRole,
    /// The number of its data centre in [`Links`].
    pub centre: usize,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it cannot be reached.
    pub down: bool,
    /// Whether this request must be kept off it.
    pub suspect: bool,
    /// The last word on its state.
    pub state: BackendState,
    /// How old that word is.
    pub age: Duration,
    /// Tokens of the prompt that it likely has in its prefix cache.
    pub cached: Tokens,
}

/// `Link` is a link between two data centres.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Link {
    /// The one-way delay.
    pub delay: Duration,
    /// The time for a token's KV cache.
    pub per_token: Duration,
    /// The tokens of KV cache that wait or travel on it.
    pub queued: Tokens,
}

/// `Links` holds the links between all data centres.
#[derive(Debug, Clone, Default)]
pub struct Links {
    centres: usize,
    links: Vec<Link>,
}

impl Links {
    /// Creates the links between `centres` data centres, all alike.
    pub fn new(centres: usize, link: Link) -> Links {
        Links { centres, links: vec![link; centres * centres] }
    }

    /// Sets one link.
    pub fn set(&mut self, from: usize, to: usize, link: Link) {
        self.links[from * self.centres + to] = link;
    }

    /// Returns one link.
    pub fn get(&self, from: usize, to: usize) -> Link {
        self.links[from * self.centres + to]
    }
}

/// `RouteRequest` is what the choice depends on.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The model.
    pub serves: Name,
    /// The data centre of the entry host.
    pub centre: usize,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The time that is left for the first token.
    pub deadline: Duration,
    /// The target between tokens.
    pub tbt: Duration,
    /// What goodput counts for the row.
    pub goodput_weight: f64,
    /// What wasted prefill counts for the row.
    pub waste_weight: f64,
    /// Differs from request to request, so that hosts do not all choose alike
    /// among equals.
    pub seed: u64,
}

/// `RouteOptions` sets the filters and the weights of the terms.
#[derive(Debug, Clone, Copy)]
pub struct RouteOptions {
    /// The age beyond which a state is no longer believed.
    pub stale_after: Duration,
    /// The time for a token of prefill where none was measured.
    pub default_prefill_per_token: Duration,
    /// Seconds of cost for each second that the first token comes too late.
    pub late_penalty: f64,
    /// Seconds of cost for each millisecond that a step is over its target.
    pub slow_step_penalty: f64,
    /// Share of a prefill's time that counts as lost for each second that its
    /// decode server's state is old and its slots are nearly gone.
    pub waste_risk: f64,
    /// Seconds of random cost, at most, that part equals.
    pub max_jitter: f64,
    /// Seconds of cost for an idle decode server against a nearly full one; zero
    /// for no preference.
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

/// `Decision` is the outcome of a choice.
#[derive(Debug, Clone, Default)]
pub struct Decision {
    /// The best pairs, best first.
    pub pairs: Vec<Pair>,
    /// A verdict for each candidate, in their order.
    pub verdicts: Vec<Verdict>,
    /// The soonest that a server which is full now may have room.
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
    for (at, candidate) in candidates.iter().enumerate() {
        let verdict = match filter(req, candidate, options) {
            Some(Filter::Full) => {
                let free = candidate.state.free_in;
                decision.free_in = Some(decision.free_in.map_or(free, |known| known.min(free)));
                Verdict::Excluded(Filter::Full)
            }
            Some(other) => Verdict::Excluded(other),
            None => {
                let server = server_cost(req, at, candidate, options);
                match candidate.role {
                    BackendRole::Prefill => prefills.offer(server),
                    _ => decodes.offer(server),
                }
                Verdict::Scored(server.cost)
            }
        };
        decision.verdicts.push(verdict);
    }
    rank_pairs(req, links, options, &prefills, &decodes, &mut decision);
    decision
}

/// Ranks decode servers alone, for a result that lies on a server already or for a
/// stream that is resumed.
pub fn route_decode(
    req: &RouteRequest,
    candidates: &[Candidate],
    options: &RouteOptions,
) -> Vec<usize> {
    let fit = candidates.iter().enumerate().filter(|(_, candidate)| {
        candidate.role == BackendRole::Decode && filter(req, candidate, options).is_none()
    });
    let mut ranked: Vec<ServerCost> =
        fit.map(|(at, candidate)| server_cost(req, at, candidate, options)).collect();
    ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    ranked.into_iter().take(MAX_PAIRS).map(|server| server.at).collect()
}

/// Returns the first filter that excludes a candidate.
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
