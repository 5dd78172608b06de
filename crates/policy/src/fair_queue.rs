//! The `fair_queue` module orders those who wait for room by start-time fair
//! queueing, so that callers and rows get shares by weight.
//!
//! Source: Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1997.

use std::collections::HashMap;
use std::time::Instant;

use aspenloft_core::prelude::Name;

/// `Flow` is what shares are counted for: a caller on a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The row.
    pub row: Name,
    /// The caller.
    pub caller: Name,
}

/// `Ticket` names one that waits.
pub type Ticket = u64;

/// `QueuedRequest` is one that waits for room.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Its name.
    pub ticket: Ticket,
    /// What its share is counted for.
    pub flow: Flow,
    /// Its share relative to others.
    pub weight: f64,
    /// The work that it asks for, in any one unit.
    pub cost: f64,
    /// When it arrived.
    pub arrived: Instant,
    /// When it is too late to begin.
    pub start_by: Instant,
}

#[derive(Debug, Default)]
struct FlowState {
    /// Virtual time at which the flow's last work finished.
    finish: f64,
    waiting: Vec<QueuedRequest>,
}

/// `FairQueue` holds those who wait, by flow.
///
/// Flows without anyone waiting are forgotten once their debt is paid, thus the
/// memory follows those who wait and those served lately.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    flows: HashMap<Flow, FlowState>,
    len: usize,
}

impl FairQueue {
    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many of a flow wait.
    pub fn flow_len(&self, flow: &Flow) -> usize {
        self.flows.get(flow).map_or(0, |state| state.waiting.len())
    }

    /// Adds one that waits.
    pub fn push(&mut self, waiting: QueuedRequest) {
        self.flows.entry(waiting.flow.clone()).or_default().waiting.push(waiting);
        self.len += 1;
    }

    /// Counts work of a flow that went ahead without waiting.
    pub fn charge(&mut self, flow: &Flow, cost: f64, weight: f64) {
        let start = self.start_of(flow);
        self.virtual_time = self.virtual_time.max(start);
        let state = self.flows.entry(flow.clone()).or_default();
        state.finish = start + cost / weight.max(f64::MIN_POSITIVE);
        self.forget_paid();
    }

    /// Takes the next one, from the flow that is furthest behind its share.
    ///
    /// Within a flow the newest goes first once the oldest has used up half of its
    /// time: under overload the old are mostly late already, and serving them
    /// would make the new late as well.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest> {
        let flow = self.next_flow()?;
        let state = self.flows.get_mut(&flow)?;
        let place = place_to_serve(&state.waiting, now);
        let served = state.waiting.remove(place);
        self.len -= 1;
        self.charge(&flow, served.cost, served.weight);
        Some(served)
    }

    /// Removes one that waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        for state in self.flows.values_mut() {
            if let Some(place) = state.waiting.iter().position(|w| w.ticket == ticket) {
                self.len -= 1;
                return Some(state.waiting.remove(place));
            }
        }
        None
    }

    /// Removes all that can no longer begin in time.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        for state in self.flows.values_mut() {
            late.extend(state.waiting.extract_if(.., |waiting| waiting.start_by <= now));
        }
        self.len -= late.len();
        self.forget_paid();
        late
    }

    /// Removes the newest of the flow that waits with the most work for its
    /// weight, if that is more than `flow` would with `work` more.
    pub fn displace(&mut self, flow: &Flow, work: f64) -> Option<QueuedRequest> {
        let own = self.flows.get(flow).map_or(0.0, backlog) + work;
        let longest = self
            .flows
            .iter()
            .max_by(|a, b| backlog(a.1).total_cmp(&backlog(b.1)).then_with(|| a.0.cmp(b.0)))?;
        if longest.0 == flow || backlog(longest.1) <= own {
            return None;
        }
        let longest = longest.0.clone();
        self.len -= 1;
        self.flows.get_mut(&longest)?.waiting.pop()
    }

    /// Returns the work that goes before a newcomer of `flow`, where each other
    /// flow counts no more than its share of the meantime.
    pub fn work_before(&self, flow: &Flow, weight: f64) -> f64 {
        let own: f64 = self.flows.get(flow).map_or(0.0, cost);
        let rounds = own / weight.max(f64::MIN_POSITIVE);
        let others = self.flows.iter().filter(|(name, _)| *name != flow);
        let theirs: f64 = others
            .map(|(_, state)| {
                let weight = state.waiting.first().map_or(0.0, |waiting| waiting.weight);
                let next = state.waiting.first().map_or(0.0, |waiting| waiting.cost);
                cost(state).min(rounds * weight + next)
            })
            .sum();
        own + theirs
    }

    fn next_flow(&self) -> Option<Flow> {
        let waiting = self.flows.iter().filter(|(_, state)| !state.waiting.is_empty());
        let next = waiting.min_by(|a, b| {
            let (a_start, b_start) = (self.start(a.1), self.start(b.1));
            a_start.total_cmp(&b_start).then_with(|| a.0.cmp(b.0))
        });
        next.map(|(flow, _)| flow.clone())
    }

    fn start(&self, state: &FlowState) -> f64 {
        state.finish.max(self.virtual_time)
    }

    fn start_of(&self, flow: &Flow) -> f64 {
        self.flows.get(flow).map_or(self.virtual_time, |state| self.start(state))
    }

    fn forget_paid(&mut self) {
        let now = self.virtual_time;
        self.flows.retain(|_, state| !state.waiting.is_empty() || state.finish > now);
    }
}

fn cost(state: &FlowState) -> f64 {
    state.waiting.iter().map(|waiting| waiting.cost).sum()
}

fn backlog(state: &FlowState) -> f64 {
    state.waiting.iter().map(|w| w.cost / w.weight.max(f64::MIN_POSITIVE)).sum()
}

fn place_to_serve(waiting: &[QueuedRequest], now: Instant) -> usize {
    let Some(oldest) = waiting.first() else { return 0 };
    let half = oldest.start_by.saturating_duration_since(oldest.arrived) / 2;
    if now > oldest.arrived + half { waiting.len() - 1 } else { 0 }
}
