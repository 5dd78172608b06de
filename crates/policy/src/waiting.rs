//! The `waiting` module orders the requests that wait for room on an engine and
//! says which of them are given up on.
//!
//! The load pattern it answers is a burst above capacity for some seconds, then
//! calm. Requests that can still meet their target go first, in order of arrival,
//! because a request that has missed it gains nothing from being served before one
//! that has not. Those that have missed it are served from what is left over. Who
//! would find no room before callers usually give up is refused on arrival and told
//! when room is expected.

use std::time::{Duration, Instant};

/// `WaitOptions` bounds the line.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitOptions {
    /// How many times its target a request waits for room at most. Callers give up
    /// on a stream that has not begun after four times the target.
    pub max_wait_targets: u32,
    /// The least that the patience comes to, for rows with short targets.
    pub min_wait_limit: Duration,
    /// The most requests that wait at once on one host.
    pub max_waiting: usize,
    /// What is needed from placement to the first token, which is kept back from
    /// the target: reading a prompt, moving its memory and one step.
    pub placement_lead: Duration,
}

impl Default for WaitOptions {
    fn default() -> Self {
        WaitOptions {
            max_wait_targets: 3,
            min_wait_limit: Duration::from_millis(1_500),
            max_waiting: 256,
            // 3,000 tokens at 33 a millisecond, a queue of twice as many, and one step.
            placement_lead: Duration::from_millis(320),
        }
    }
}

/// `WaitingRequest` is a request that waits for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifies the request on this host.
    pub id: u64,
    /// The operator's rank of its row; 0 goes first.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token is due to be on time.
    pub due: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

impl WaitingRequest {
    /// Tells whether the request is on time if it is placed at `now`.
    pub fn is_on_time(&self, now: Instant, options: &WaitOptions) -> bool {
        now + options.placement_lead <= self.due
    }

    /// Returns when the request is given up on.
    pub fn gives_up_at(&self, options: &WaitOptions) -> Instant {
        let target = self.due.saturating_duration_since(self.arrived);
        let patience = (target * options.max_wait_targets).max(options.min_wait_limit);
        (self.arrived + patience).min(self.deadline)
    }
}

/// Returns when room is expected for a request that has `ahead` others before it,
/// given the steps that each request on the open engines has yet to go.
///
/// Each request that ends makes room for about one that waits.
pub fn expected_wait(mut remaining: Vec<u64>, ahead: usize, step: Duration) -> Duration {
    remaining.sort_unstable();
    let steps = remaining.get(ahead).or(remaining.last()).copied().unwrap_or(0);
    // Past the requests that run now, the line moves as fast as it did before.
    let rounds = (ahead / remaining.len().max(1)) as u64;
    let turn = remaining.last().copied().unwrap_or(0);
    step.saturating_mul(u32::try_from(steps + rounds * turn).unwrap_or(u32::MAX))
}

/// `ArrivalDecision` says what becomes of a request for which there is no room yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// It waits.
    Wait,
    /// It is refused; room is expected after this time.
    Refuse(Duration),
}

/// Decides on a request that arrives at `now` when room is `expected` for it.
pub fn decide_arrival(
    waiter: &WaitingRequest,
    expected: Duration,
    now: Instant,
    options: &WaitOptions,
) -> ArrivalDecision {
    if now + expected <= waiter.gives_up_at(options) {
        ArrivalDecision::Wait
    } else {
        ArrivalDecision::Refuse(expected)
    }
}

/// Returns the waiters in the order in which they are to be placed.
pub fn placement_order(
    waiters: &[WaitingRequest],
    now: Instant,
    options: &WaitOptions,
) -> Vec<u64> {
    let mut line: Vec<&WaitingRequest> = waiters.iter().collect();
    line.sort_by_key(|w| (!w.is_on_time(now, options), w.priority, w.arrived));
    line.into_iter().map(|w| w.id).collect()
}

/// Returns the waiters that are given up on at `now`.
pub fn timed_out(waiters: &[WaitingRequest], now: Instant, options: &WaitOptions) -> Vec<u64> {
    let over = waiters.iter().filter(|w| w.gives_up_at(options) <= now);
    over.map(|w| w.id).collect()
}
