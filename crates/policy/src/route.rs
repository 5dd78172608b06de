//! The `route` module chooses the prefill and the decode server of a request
//! together; `docs/ROUTING.md` explains each filter and each term.
//!
//! Named filters come first, each with a verdict of its own, because the use of
//! the answer is to tell someone why a server was not chosen. What is left gets a
//! cost term by term, in seconds; the lowest wins. Named filters with a verdict for
//! every candidate follow the paper "Placing players".

use std::time::Duration;

use aspenloft_core::prelude::{BackendRole, BackendState, Name, Tokens};
use serde::{Deserialize, Serialize};

/// Servers of each role and data centre that are paired with others.
const SHORTLIST: usize = 3;

/// Pairs that a decision returns.
const MAX_PAIRS: usize = 8;

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
    pub start_prefill: Duration,
    /// Seconds of cost for each second that the first token comes too late.
    pub lateness: f64,
    /// Seconds of cost for each millisecond that a step is over its target.
    pub slow_step: f64,
    /// Share of a prefill's time that counts as lost for each second that its
    /// decode server's state is old and its slots are nearly gone.
    pub risk: f64,
    /// Seconds of random cost, at most, that part equals.
    pub spread: f64,
    /// Seconds of cost for an idle decode server against a nearly full one; zero
    /// for no preference.
    pub part_filled: f64,
}

impl Default for RouteOptions {
    fn default() -> Self {
        RouteOptions {
            stale_after: Duration::from_secs(10),
            start_prefill: Duration::from_micros(100),
            lateness: 10.0,
            slow_step: 0.05,
            risk: 0.5,
            spread: 0.002,
            part_filled: 0.0,
        }
    }
}

/// `Terms` is the cost of a pair, term by term, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The wait for the prefill server.
    pub queue: f64,
    /// The prefill of what is not cached.
    pub prefill: f64,
    /// The transfer of the result.
    pub transfer: f64,
    /// The wait for a decode slot after the transfer.
    pub slot: f64,
    /// The network's delay.
    pub network: f64,
    /// The first decode step.
    pub step: f64,
    /// Weighed lateness against both targets.
    pub late: f64,
    /// Weighed risk that the prefill is wasted.
    pub waste: f64,
    /// The preference for part-filled servers.
    pub fill: f64,
    /// The random part.
    pub spread: f64,
}

impl Terms {
    /// Returns the cost.
    pub fn total(&self) -> f64 {
        self.first_token() + self.late + self.waste + self.fill + self.spread
    }

    /// Returns the estimated time to the first token, in seconds.
    pub fn first_token(&self) -> f64 {
        self.queue + self.prefill + self.transfer + self.slot + self.network + self.step
    }
}

/// `Pair` is a prefill and a decode server with their cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    /// The place of the prefill server among the candidates.
    pub prefill: usize,
    /// The place of the decode server among the candidates.
    pub decode: usize,
    /// The cost.
    pub terms: Terms,
}

impl Pair {
    /// Returns when the decode slot is needed, counted from now.
    pub fn decode_starts_in(&self) -> Duration {
        let seconds = self.terms.queue + self.terms.prefill + self.terms.transfer;
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Returns the estimated time to the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_secs_f64(self.terms.first_token().max(0.0))
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

/// A candidate with what it costs without regard to its partner, in seconds.
#[derive(Debug, Clone, Copy)]
struct Alone {
    at: usize,
    centre: usize,
    /// The cost by which it is put on the shortlist.
    cost: f64,
    /// The wait for the server.
    wait: f64,
    /// A prefill server's work.
    prefill: f64,
    /// A decode server's step.
    step: f64,
    /// The weighed cost of a step over its target.
    slow: f64,
    /// The share of slots taken.
    fill: f64,
    /// How old the state is.
    age: f64,
    /// The random part.
    spread: f64,
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
                let alone = alone(req, at, candidate, options);
                match candidate.role {
                    BackendRole::Prefill => prefills.offer(alone),
                    _ => decodes.offer(alone),
                }
                Verdict::Scored(alone.cost)
            }
        };
        decision.verdicts.push(verdict);
    }
    pair_up(req, links, options, &prefills, &decodes, &mut decision);
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
    let mut ranked: Vec<Alone> =
        fit.map(|(at, candidate)| alone(req, at, candidate, options)).collect();
    ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    ranked.into_iter().take(MAX_PAIRS).map(|alone| alone.at).collect()
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

/// Returns what a candidate costs without regard to its partner.
fn alone(req: &RouteRequest, at: usize, candidate: &Candidate, options: &RouteOptions) -> Alone {
    let state = &candidate.state;
    let age = candidate.age.as_secs_f64();
    let over = state.step.saturating_sub(req.tbt).as_secs_f64() * 1_000.0;
    let mut alone = Alone {
        at,
        centre: candidate.centre,
        cost: 0.0,
        wait: (state.free_in.as_secs_f64() - age).max(0.0),
        prefill: 0.0,
        step: 0.0,
        slow: 0.0,
        fill: 0.0,
        age,
        spread: jitter(req, at, options),
    };
    if candidate.role == BackendRole::Prefill {
        alone.prefill = prefill_time(req, candidate, options);
        alone.cost = alone.wait + alone.prefill + alone.spread;
    } else {
        alone.step = state.step.as_secs_f64();
        alone.slow = req.goodput_weight * options.slow_step * over;
        alone.fill = f64::from(state.taken) / f64::from(state.slots.max(1));
        alone.cost =
            alone.wait + alone.step + alone.slow + fill_cost(&alone, options) + alone.spread;
    }
    alone
}

fn prefill_time(req: &RouteRequest, candidate: &Candidate, options: &RouteOptions) -> f64 {
    let measured = candidate.state.prefill_per_token;
    let per_token = if measured.is_zero() { options.start_prefill } else { measured };
    per_token.as_secs_f64() * req.prompt.saturating_sub(candidate.cached).0 as f64
}

/// Costs an idle server more than one that is in use, so that emptier servers can
/// drain.
fn fill_cost(alone: &Alone, options: &RouteOptions) -> f64 {
    options.part_filled * (1.0 - alone.fill).clamp(0.0, 1.0)
}

/// Returns a small cost that differs between requests and candidates.
fn jitter(req: &RouteRequest, at: usize, options: &RouteOptions) -> f64 {
    let mixed = (req.seed ^ (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 40) as f64 / (1_u64 << 24) as f64 * options.spread
}

fn pair_up(
    req: &RouteRequest,
    links: &Links,
    options: &RouteOptions,
    prefills: &Shortlist,
    decodes: &Shortlist,
    decision: &mut Decision,
) {
    let deadline = req.deadline.as_secs_f64();
    let mut best: Vec<(f64, Pair)> = Vec::with_capacity(MAX_PAIRS + 1);
    for prefill in prefills.entries() {
        let there = links.get(req.centre, prefill.centre).delay.as_secs_f64();
        for decode in decodes.entries() {
            let link = links.get(prefill.centre, decode.centre);
            let back = links.get(decode.centre, req.centre).delay.as_secs_f64();
            let moved = link.per_token.as_secs_f64() * (link.queued + req.prompt).0 as f64;
            if moved > deadline && link.queued > Tokens(0) {
                decision.verdicts[decode.at] = Verdict::Excluded(Filter::Link);
                continue;
            }
            let transfer = link.delay.as_secs_f64() + moved;
            let network = 2.0 * (there + back);
            let terms = terms(req, prefill, decode, transfer, network, options);
            let pair = Pair { prefill: prefill.at, decode: decode.at, terms };
            keep_best(&mut best, terms.total(), pair);
        }
    }
    decision.pairs = best.into_iter().map(|(_, pair)| pair).collect();
    for pair in &decision.pairs {
        decision.verdicts[pair.prefill] = Verdict::Ranked;
        decision.verdicts[pair.decode] = Verdict::Ranked;
    }
}

fn keep_best(best: &mut Vec<(f64, Pair)>, cost: f64, pair: Pair) {
    if best.len() >= MAX_PAIRS && best.last().is_some_and(|(worst, _)| *worst <= cost) {
        return;
    }
    let place = best.partition_point(|(known, _)| *known <= cost);
    best.insert(place, (cost, pair));
    best.truncate(MAX_PAIRS);
}

fn terms(
    req: &RouteRequest,
    p: &Alone,
    d: &Alone,
    transfer: f64,
    network: f64,
    options: &RouteOptions,
) -> Terms {
    let slot = (d.wait - p.wait - p.prefill - transfer).max(0.0);
    let mut terms = Terms {
        queue: p.wait,
        prefill: p.prefill,
        transfer,
        slot,
        network,
        step: d.step,
        fill: fill_cost(d, options),
        spread: p.spread + d.spread,
        ..Terms::default()
    };
    let late = (terms.first_token() - req.deadline.as_secs_f64()).max(0.0);
    terms.late = req.goodput_weight * options.lateness * late + d.slow;
    let doubt = d.age * d.fill + slot;
    terms.waste = req.waste_weight * options.risk * doubt.min(1.0) * p.prefill;
    terms
}

/// `Shortlist` keeps the best few of each data centre, so that a near pair is not
/// lost behind far servers that are better alone.
#[derive(Debug)]
struct Shortlist {
    best: Vec<[Option<Alone>; SHORTLIST]>,
}

impl Shortlist {
    fn new(centres: usize) -> Shortlist {
        Shortlist { best: vec![[None; SHORTLIST]; centres] }
    }

    fn offer(&mut self, mut offered: Alone) {
        let Some(best) = self.best.get_mut(offered.centre) else { return };
        for place in best.iter_mut() {
            match place {
                Some(known) if known.cost <= offered.cost => (),
                Some(known) => std::mem::swap(known, &mut offered),
                None => {
                    *place = Some(offered);
                    return;
                }
            }
        }
    }

    fn entries(&self) -> impl Iterator<Item = &Alone> {
        self.best.iter().flatten().flatten()
    }
}
