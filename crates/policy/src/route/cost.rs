//! The `cost` module computes the cost of servers and pairs, in seconds.

use aspenloft_core::prelude::BackendRole;
use serde::{Deserialize, Serialize};

use super::{Candidate, RouteOptions, RouteRequest};

/// `CostTerms` holds the terms of the cost of a pair, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CostTerms {
    /// The wait for the prefill server.
    pub queue: f64,
    /// The prefill of the tokens that are not cached.
    pub prefill: f64,
    /// The transfer of the KV cache to the decode server.
    pub transfer: f64,
    /// The wait for a decode slot after the transfer.
    pub slot: f64,
    /// The network delay of the request and the answer.
    pub network: f64,
    /// The first decode step.
    pub step: f64,
    /// The weighted penalty for missing either target.
    pub late: f64,
    /// The weighted risk that the prefill is wasted.
    pub waste: f64,
    /// The penalty of emptier decode servers, when partly filled ones are preferred.
    pub fill: f64,
    /// The random jitter.
    pub spread: f64,
}

impl CostTerms {
    /// Returns the total cost in seconds.
    pub fn total(&self) -> f64 {
        self.ttft() + self.late + self.waste + self.fill + self.spread
    }

    /// Returns the estimated time to the first token, in seconds.
    pub fn ttft(&self) -> f64 {
        self.queue + self.prefill + self.transfer + self.slot + self.network + self.step
    }
}

/// `ServerCost` is the cost of one candidate, independent of the server it is paired
/// with, in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerCost {
    pub index: usize,
    pub centre: usize,
    /// The total, by which candidates are shortlisted.
    pub cost: f64,
    /// The wait for the server.
    pub wait: f64,
    /// The prefill time, on a prefill server.
    pub prefill: f64,
    /// The time of a decode step, on a decode server.
    pub step: f64,
    /// The weighted penalty of a step that exceeds its target.
    pub slow: f64,
    /// The share of slots taken.
    pub fill: f64,
    /// The age of the state.
    pub age: f64,
    /// The random jitter.
    pub spread: f64,
}

/// Returns the cost of a candidate, independent of the server it is paired with.
pub(super) fn server_cost(
    req: &RouteRequest,
    index: usize,
    candidate: &Candidate,
    options: &RouteOptions,
) -> ServerCost {
    let state = &candidate.state;
    let age = candidate.age.as_secs_f64();
    let over = state.step.saturating_sub(req.tbt).as_secs_f64() * 1_000.0;
    let mut server = ServerCost {
        index,
        centre: candidate.centre,
        cost: 0.0,
        wait: (state.free_in.as_secs_f64() - age).max(0.0),
        prefill: 0.0,
        step: 0.0,
        slow: 0.0,
        fill: 0.0,
        age,
        spread: jitter(req, index, options),
    };
    if candidate.role == BackendRole::Prefill {
        server.prefill = prefill_time(req, candidate, options);
        server.cost = server.wait + server.prefill + server.spread;
    } else {
        server.step = state.step.as_secs_f64();
        server.slow = req.goodput_weight * options.slow_step_penalty * over;
        server.fill = f64::from(state.taken) / f64::from(state.slots.max(1));
        server.cost =
            server.wait + server.step + server.slow + fill_cost(&server, options) + server.spread;
    }
    server
}

fn prefill_time(req: &RouteRequest, candidate: &Candidate, options: &RouteOptions) -> f64 {
    let measured = candidate.state.prefill_per_token;
    let per_token = if measured.is_zero() { options.default_prefill_per_token } else { measured };
    per_token.as_secs_f64() * req.prompt.saturating_sub(candidate.cached).0 as f64
}

/// Returns a penalty for emptier servers, so that new work fills servers that are in use
/// and the others can drain.
fn fill_cost(server: &ServerCost, options: &RouteOptions) -> f64 {
    options.fill_preference * (1.0 - server.fill).clamp(0.0, 1.0)
}

/// Returns a small pseudo-random cost that differs between requests and candidates.
fn jitter(req: &RouteRequest, index: usize, options: &RouteOptions) -> f64 {
    let mixed = (req.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 40) as f64 / (1_u64 << 24) as f64 * options.max_jitter
}

pub(super) fn terms(
    req: &RouteRequest,
    p: &ServerCost,
    d: &ServerCost,
    transfer: f64,
    network: f64,
    options: &RouteOptions,
) -> CostTerms {
    let slot = (d.wait - p.wait - p.prefill - transfer).max(0.0);
    let mut terms = CostTerms {
        queue: p.wait,
        prefill: p.prefill,
        transfer,
        slot,
        network,
        step: d.step,
        fill: fill_cost(d, options),
        spread: p.spread + d.spread,
        ..CostTerms::default()
    };
    let late = (terms.ttft() - req.deadline.as_secs_f64()).max(0.0);
    terms.late = req.goodput_weight * options.late_penalty * late + d.slow;
    let risk = d.age * d.fill + slot;
    terms.waste = req.waste_weight * options.waste_risk * risk.min(1.0) * p.prefill;
    terms
}
