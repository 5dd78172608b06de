//! The `pairs` module combines the best servers of each role into pairs and ranks them.

use std::time::Duration;

use aspenloft_core::clock::bounded_seconds;
use aspenloft_core::prelude::Tokens;

use super::cost::{CostTerms, ServerCost, terms};
use super::{Decision, Filter, Links, RouteOptions, RouteRequest, Verdict};

/// The number of servers of each role and data centre that are considered for pairs.
const SHORTLIST: usize = 3;

/// The most pairs that a decision returns.
pub(super) const MAX_PAIRS: usize = 8;

/// `Pair` is a prefill server and a decode server with their cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    /// The index of the prefill server among the candidates.
    pub prefill: usize,
    /// The index of the decode server among the candidates.
    pub decode: usize,
    /// The terms of the cost of the pair.
    pub terms: CostTerms,
}

impl Pair {
    /// Returns the predicted time from now until the decode slot is needed.
    pub fn decode_starts_in(&self) -> Duration {
        let seconds = self.terms.queue + self.terms.prefill + self.terms.transfer;
        bounded_seconds(seconds, Duration::MAX)
    }

    /// Returns the estimated time to the first token.
    pub fn ttft(&self) -> Duration {
        bounded_seconds(self.terms.ttft(), Duration::MAX)
    }
}

pub(super) fn rank_pairs(
    req: &RouteRequest,
    links: &Links,
    options: &RouteOptions,
    prefills: &Shortlist,
    decodes: &Shortlist,
    decision: &mut Decision,
) {
    let mut best: Vec<(f64, Pair)> = Vec::with_capacity(MAX_PAIRS + 1);
    for (from, prefills) in prefills.by_centre() {
        for (to, decodes) in decodes.by_centre() {
            let link = LinkCost::new(req, links, from, to);
            if link.blocked {
                let blocked = Verdict::Excluded(Filter::Link);
                decodes.iter().flatten().for_each(|d| decision.verdicts[d.index] = blocked);
                continue;
            }
            for prefill in prefills.iter().flatten() {
                for decode in decodes.iter().flatten() {
                    let terms = terms(req, prefill, decode, link.transfer, link.network, options);
                    let pair = Pair { prefill: prefill.index, decode: decode.index, terms };
                    insert_ranked(&mut best, terms.total(), pair);
                }
            }
        }
    }
    decision.pairs = best.into_iter().map(|(_, pair)| pair).collect();
    for pair in &decision.pairs {
        decision.verdicts[pair.prefill] = Verdict::Ranked;
        decision.verdicts[pair.decode] = Verdict::Ranked;
    }
}

fn insert_ranked(best: &mut Vec<(f64, Pair)>, cost: f64, pair: Pair) {
    if best.len() >= MAX_PAIRS && best.last().is_some_and(|(worst, _)| *worst <= cost) {
        return;
    }
    let index = best.partition_point(|(known, _)| *known <= cost);
    best.insert(index, (cost, pair));
    best.truncate(MAX_PAIRS);
}

/// `LinkCost` is the cost that all pairs between two data centres share, in seconds.
#[derive(Debug)]
struct LinkCost {
    transfer: f64,
    network: f64,
    /// Whether the transfers that are queued on the link delay the result beyond the
    /// deadline.
    blocked: bool,
}

impl LinkCost {
    fn new(req: &RouteRequest, links: &Links, from: usize, to: usize) -> LinkCost {
        let link = links.get(from, to);
        let there = links.get(req.centre, from).delay.as_secs_f64();
        let back = links.get(to, req.centre).delay.as_secs_f64();
        let transfer_time = link.per_token.as_secs_f64() * (link.queued + req.prompt).0 as f64;
        LinkCost {
            transfer: link.delay.as_secs_f64() + transfer_time,
            network: 2.0 * (there + back),
            blocked: transfer_time > req.deadline.as_secs_f64() && link.queued > Tokens(0),
        }
    }
}

/// `Shortlist` keeps the [`SHORTLIST`] cheapest servers of each data centre, so that a
/// pair within one data centre is considered even if remote servers cost less by
/// themselves.
#[derive(Debug)]
pub(super) struct Shortlist {
    best: Vec<[Option<ServerCost>; SHORTLIST]>,
}

impl Shortlist {
    pub fn new(centres: usize) -> Shortlist {
        Shortlist { best: vec![[None; SHORTLIST]; centres] }
    }

    pub fn insert(&mut self, mut server: ServerCost) {
        let Some(best) = self.best.get_mut(server.centre) else { return };
        for entry in best.iter_mut() {
            match entry {
                Some(known) if known.cost <= server.cost => (),
                Some(known) => std::mem::swap(known, &mut server),
                None => {
                    *entry = Some(server);
                    return;
                }
            }
        }
    }

    /// Returns the data centres that have servers, with their cheapest ones.
    pub fn by_centre(&self) -> impl Iterator<Item = (usize, &[Option<ServerCost>; SHORTLIST])> {
        self.best.iter().enumerate().filter(|(_, best)| best[0].is_some())
    }
}
