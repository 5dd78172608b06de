//! The `servers` module balances calls over the servers of a plain service, with
//! passive health checks: the outcome of earlier calls tells which servers to avoid.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Backend, Name, SharedClock};
use parking_lot::Mutex;

/// How long a server is avoided after its first failure or refusal. Each further one in
/// a row doubles the time.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// The longest time that a server is avoided without another failure.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// The number of tracked servers at which those without an active call are dropped.
const MAX_TRACKED_SERVERS: usize = 2_048;

/// `CallOutcome` is the outcome of a call for the health of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered, with any status but that of a refusal.
    Answered,
    /// It refused the call, could not be reached, or failed before a complete answer.
    Failed,
}

/// `LoadBalancer` tracks the load and health of the servers of plain services, as seen
/// from this host.
pub struct LoadBalancer {
    clock: SharedClock,
    states: Mutex<HashMap<Name, ServerState>>,
}

/// `ServerState` is the load and health of one server.
#[derive(Debug, Default, Clone, Copy)]
struct ServerState {
    active_calls: u32,
    failures: u32,
    avoid_until: Option<Instant>,
}

impl ServerState {
    /// Returns the sort key by which servers are tried: healthy ones first, by active
    /// calls; then avoided ones, by the end of their avoidance.
    fn rank(&self, now: Instant) -> (Option<Instant>, u32) {
        (self.avoid_until.filter(|until| *until > now), self.active_calls)
    }
}

impl LoadBalancer {
    /// Creates a balancer that tracks no servers yet.
    pub fn new(clock: SharedClock) -> LoadBalancer {
        LoadBalancer { clock, states: Mutex::default() }
    }

    /// Chooses a server among `candidates`, whose order breaks ties, and counts a call to
    /// it. Servers that leave, and those in `tried`, are not chosen.
    pub fn start_call(
        self: &Arc<Self>,
        candidates: &[Backend],
        tried: &[Name],
    ) -> Option<ActiveCall> {
        let now = self.clock.now();
        let mut states = self.states.lock();
        if states.len() >= MAX_TRACKED_SERVERS {
            states.retain(|_, state| state.active_calls > 0);
        }
        let usable = candidates.iter().filter(|b| !b.leaving && !tried.contains(&b.name));
        let rank = |b: &&Backend| states.get(&b.name).copied().unwrap_or_default().rank(now);
        let backend = usable.min_by_key(rank)?.clone();
        states.entry(backend.name.clone()).or_default().active_calls += 1;
        Some(ActiveCall { balancer: self.clone(), backend, outcome: None })
    }

    fn end_call(&self, name: &Name, outcome: Option<CallOutcome>) {
        let now = self.clock.now();
        let mut states = self.states.lock();
        let Some(state) = states.get_mut(name) else { return };
        state.active_calls = state.active_calls.saturating_sub(1);
        match outcome {
            Some(CallOutcome::Answered) => (state.failures, state.avoid_until) = (0, None),
            None => (),
            Some(CallOutcome::Failed) => {
                let backoff = INITIAL_BACKOFF.saturating_mul(1 << state.failures.min(8));
                state.failures += 1;
                state.avoid_until = Some(now + backoff.min(MAX_BACKOFF));
            }
        }
    }
}

/// `ActiveCall` is one call to a server, counted as active until it is dropped.
pub struct ActiveCall {
    balancer: Arc<LoadBalancer>,
    /// The server that was chosen for the call.
    pub backend: Backend,
    outcome: Option<CallOutcome>,
}

impl ActiveCall {
    /// Sets the outcome of the call. A call dropped without one does not affect the
    /// health of its server.
    pub fn set_outcome(&mut self, outcome: CallOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.balancer.end_call(&self.backend.name, self.outcome);
    }
}
