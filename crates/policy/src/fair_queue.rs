//! The `fair_queue` module orders waiting requests by start-time fair queueing, so that
//! callers and rows get shares in proportion to their weights.
//!
//! Source: Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1997.

use std::collections::HashMap;
use std::time::Instant;

use aspenloft_core::prelude::Name;

/// `Flow` is the unit of fair sharing: the requests of one caller to one row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The row.
    pub row: Name,
    /// The caller.
    pub caller: Name,
}

/// `Ticket` identifies a queued request.
pub type Ticket = u64;

/// `QueuedRequest` is a request that waits for capacity.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The id of the request in the queue.
    pub ticket: Ticket,
    /// The flow that its work is charged to.
    pub flow: Flow,
    /// Its weight relative to other requests.
    pub weight: f64,
    /// The work that it requires, in a unit that all requests share.
    pub cost: f64,
    /// When it arrived.
    pub arrived: Instant,
    /// The latest time at which it may start.
    pub start_by: Instant,
}

#[derive(Debug, Default)]
struct FlowState {
    /// The virtual finish time of the flow's last work.
    finish: f64,
    waiting: Vec<QueuedRequest>,
}

/// `FairQueue` holds the waiting requests by flow.
///
/// Flows without waiting requests are removed once virtual time has reached their finish
/// time, so memory use is bounded by waiting and recently served requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    flows: HashMap<Flow, FlowState>,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of a flow.
    pub fn flow_len(&self, flow: &Flow) -> usize {
        self.flows.get(flow).map_or(0, |state| state.waiting.len())
    }

    /// Adds a request to its flow.
    pub fn push(&mut self, waiting: QueuedRequest) {
        self.flows.entry(waiting.flow.clone()).or_default().waiting.push(waiting);
        self.len += 1;
    }

    /// Charges a flow for work that is admitted.
    pub fn charge(&mut self, flow: &Flow, cost: f64, weight: f64) {
        let start = self.flow_start_tag(flow);
        self.virtual_time = self.virtual_time.max(start);
        let state = self.flows.entry(flow.clone()).or_default();
        state.finish = start + cost / weight.max(f64::MIN_POSITIVE);
        self.remove_idle_flows();
    }

    /// Removes and returns the next request, from the flow with the lowest start tag.
    ///
    /// Within a flow the newest request is served first once the oldest has waited for half
    /// of its time: under overload most old requests are already late, and serving them
    /// would make the new ones late as well.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest> {
        let flow = self.next_flow()?;
        let state = self.flows.get_mut(&flow)?;
        let index = next_index(&state.waiting, now);
        let served = state.waiting.remove(index);
        self.len -= 1;
        self.charge(&flow, served.cost, served.weight);
        Some(served)
    }

    /// Removes a request, if it waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        for state in self.flows.values_mut() {
            if let Some(index) = state.waiting.iter().position(|w| w.ticket == ticket) {
                self.len -= 1;
                return Some(state.waiting.remove(index));
            }
        }
        None
    }

    /// Removes and returns all requests that can no longer start in time.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        for state in self.flows.values_mut() {
            late.extend(state.waiting.extract_if(.., |waiting| waiting.start_by <= now));
        }
        self.len -= late.len();
        self.remove_idle_flows();
        late
    }

    /// Removes and returns the newest request of the flow with the largest backlog per
    /// weight, if that backlog is larger than that of `flow` with another `work`.
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

    /// Returns the work that is served before a new request of `flow`. Other flows count
    /// with no more than their share during that time.
    pub fn work_before(&self, flow: &Flow, weight: f64) -> f64 {
        let own: f64 = self.flows.get(flow).map_or(0.0, queued_cost);
        let rounds = own / weight.max(f64::MIN_POSITIVE);
        let others = self.flows.iter().filter(|(name, _)| *name != flow);
        let others_work: f64 = others
            .map(|(_, state)| {
                let weight = state.waiting.first().map_or(0.0, |waiting| waiting.weight);
                let next = state.waiting.first().map_or(0.0, |waiting| waiting.cost);
                queued_cost(state).min(rounds * weight + next)
            })
            .sum();
        own + others_work
    }

    fn next_flow(&self) -> Option<Flow> {
        let waiting = self.flows.iter().filter(|(_, state)| !state.waiting.is_empty());
        let next = waiting.min_by(|a, b| {
            let (a_start, b_start) = (self.start_tag(a.1), self.start_tag(b.1));
            a_start.total_cmp(&b_start).then_with(|| a.0.cmp(b.0))
        });
        next.map(|(flow, _)| flow.clone())
    }

    fn start_tag(&self, state: &FlowState) -> f64 {
        state.finish.max(self.virtual_time)
    }

    fn flow_start_tag(&self, flow: &Flow) -> f64 {
        self.flows.get(flow).map_or(self.virtual_time, |state| self.start_tag(state))
    }

    fn remove_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.flows.retain(|_, state| !state.waiting.is_empty() || state.finish > now);
    }
}

fn queued_cost(state: &FlowState) -> f64 {
    state.waiting.iter().map(|waiting| waiting.cost).sum()
}

fn backlog(state: &FlowState) -> f64 {
    state.waiting.iter().map(|w| w.cost / w.weight.max(f64::MIN_POSITIVE)).sum()
}

fn next_index(waiting: &[QueuedRequest], now: Instant) -> usize {
    let Some(oldest) = waiting.first() else { return 0 };
    let half = oldest.start_by.saturating_duration_since(oldest.arrived) / 2;
    if now > oldest.arrived + half { waiting.len() - 1 } else { 0 }
}
