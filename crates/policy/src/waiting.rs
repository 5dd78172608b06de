//! The `waiting` module orders the requests that wait for capacity on an engine and
//! determines which of them have timed out.
//!
//! It handles bursts that exceed capacity for some seconds. Requests that can still meet
//! their target are placed first, in order of arrival; requests that have missed it gain
//! nothing from precedence and get the remaining capacity. This order holds over all
//! hosts: a balancer spreads callers unevenly, so that late requests wait on one host while
//! others could still be in time on the next. A request that would not be placed before
//! callers usually give up is refused on arrival, with the time after which capacity is
//! expected.

use std::time::{Duration, Instant};

use aspenloft_core::clock::after;

/// `WaitOptions` bounds the wait queue.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitOptions {
    /// The longest wait of a request, as a multiple of its target. Callers give up on a
    /// stream that has not started after four times the target.
    pub max_wait_targets: u32,
    /// The lower bound of the longest wait, for rows with short targets.
    pub min_wait_limit: Duration,
    /// The most requests that wait on one host at the same time.
    pub max_waiting: usize,
    /// The time from placement to the first token, which is subtracted from the target:
    /// the prefill, the transfer of the KV cache and one decode step.
    pub placement_lead: Duration,
}

impl Default for WaitOptions {
    fn default() -> Self {
        WaitOptions {
            max_wait_targets: 3,
            min_wait_limit: Duration::from_millis(1_500),
            max_waiting: 256,
            // 3,000 tokens at 33 per millisecond, a queue of twice as many, and one step.
            placement_lead: Duration::from_millis(320),
        }
    }
}

/// `WaitingRequest` is a request that waits for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifies the request on this host.
    pub id: u64,
    /// Whether it goes on with a stream, which few engines may do, instead of beginning one.
    pub continues: bool,
    /// The priority of its row as set by the operator; 0 is placed first.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token is due.
    pub due: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

impl WaitingRequest {
    /// Returns whether the request meets its target if it is placed at `now`.
    pub fn meets_target(&self, now: Instant, options: &WaitOptions) -> bool {
        now + options.placement_lead <= self.due
    }

    /// Returns whether the request leaves free capacity to other hosts, on which `on_time`
    /// requests wait that can still meet their target. It is late, so that it loses nothing.
    pub fn yields(&self, on_time: usize, now: Instant, options: &WaitOptions) -> bool {
        on_time > 0 && !self.continues && !self.meets_target(now, options)
    }

    /// Returns when the request times out.
    pub fn times_out_at(&self, options: &WaitOptions) -> Instant {
        let target = self.due.saturating_duration_since(self.arrived);
        let longest_wait = target.saturating_mul(options.max_wait_targets);
        after(self.arrived, longest_wait.max(options.min_wait_limit)).min(self.deadline)
    }
}

/// Returns the expected wait of a request with `ahead` others before it, given the
/// remaining decode steps of each request on the available engines.
///
/// Each request that ends frees capacity for about one waiting request.
pub fn expected_wait(mut remaining: Vec<u64>, ahead: usize, step: Duration) -> Duration {
    remaining.sort_unstable();
    let steps = remaining.get(ahead).or(remaining.last()).copied().unwrap_or(0);
    // Once all current requests have ended, the queue is assumed to advance at the same
    // rate as before.
    let rounds = (ahead / remaining.len().max(1)) as u64;
    let longest = remaining.last().copied().unwrap_or(0);
    let steps = steps.saturating_add(rounds.saturating_mul(longest));
    step.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX))
}

/// `ArrivalDecision` is the decision on a request that cannot be placed on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The request joins the queue.
    Wait,
    /// The request is refused; capacity is expected after this time.
    Refuse(Duration),
}

/// Decides whether a request that arrives at `now` waits, given its `expected` wait.
pub fn decide_arrival(
    request: &WaitingRequest,
    expected: Duration,
    now: Instant,
    options: &WaitOptions,
) -> ArrivalDecision {
    if after(now, expected) <= request.times_out_at(options) {
        ArrivalDecision::Wait
    } else {
        ArrivalDecision::Refuse(expected)
    }
}

/// Returns the ids of the waiting requests in the order of placement. Streams that go on
/// come first: only engines of their version may take them, and callers have part of them.
pub fn placement_order(
    requests: &[WaitingRequest],
    now: Instant,
    options: &WaitOptions,
) -> Vec<u64> {
    let mut queue: Vec<&WaitingRequest> = requests.iter().collect();
    queue.sort_by_key(|w| (!w.continues, !w.meets_target(now, options), w.priority, w.arrived));
    queue.into_iter().map(|w| w.id).collect()
}

/// Returns the ids of the requests that have timed out at `now`.
pub fn timed_out(requests: &[WaitingRequest], now: Instant, options: &WaitOptions) -> Vec<u64> {
    let expired = requests.iter().filter(|w| w.times_out_at(options) <= now);
    expired.map(|w| w.id).collect()
}
