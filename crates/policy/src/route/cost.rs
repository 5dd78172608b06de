//! The `cost` module puts a price on servers and pairs, in seconds.

use aspenloft_core::prelude::BackendRole;
use serde::{Deserialize, Serialize};

use super::{Candidate, RouteOptions, RouteRequest};

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

/// A candidate with what it costs without regard to its partner, in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Alone {
    pub at: usize,
    pub centre: usize,
    /// The cost by which it is put on the shortlist.
    pub cost: f64,
    /// The wait for the server.
    pub wait: f64,
    /// A prefill server's work.
    pub prefill: f64,
    /// A decode server's step.
    pub step: f64,
    /// The weighed cost of a step over its target.
    pub slow: f64,
    /// The share of slots taken.
    pub fill: f64,
    /// How old the state is.
    pub age: f64,
    /// The random part.
    pub spread: f64,
}

/// Returns what a candidate costs without regard to its partner.
pub(super) fn alone(
    req: &RouteRequest,
    at: usize,
    candidate: &Candidate,
    options: &RouteOptions,
) -> Alone {
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

pub(super) fn terms(
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
