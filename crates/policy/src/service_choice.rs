//! The `service_choice` module places a call on a server of a plain service.
//!
//! It handles services with few servers, of which one stops answering or fails part of
//! its calls. Calls go to the server with the fewest calls in flight plus a penalty for
//! its recent failure rate. A failing server thus gets little work, but enough to detect
//! that it has recovered.

/// The penalty of a server in another data centre, in calls in flight. The round trip is
/// short compared with the work, but traffic between data centres is charged for.
const REMOTE_PENALTY: f64 = 2.0;

/// The penalty of a server that failed all its recent calls, in calls in flight.
const FAILURE_PENALTY: f64 = 40.0;

/// `ServerLoad` is the known load and health of a server of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Calls in flight to it, from this host and, as far as known, from other hosts.
    pub in_flight: usize,
    /// The number of calls that it runs concurrently.
    pub slots: usize,
    /// The fraction of recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in the data centre of the host that makes the choice.
    pub local: bool,
}

impl ServerLoad {
    fn cost(&self) -> f64 {
        let remote = if self.local { 0.0 } else { REMOTE_PENALTY };
        let full = if self.in_flight >= self.slots { self.slots as f64 } else { 0.0 };
        self.in_flight as f64 + full + remote + self.failure_rate * FAILURE_PENALTY
    }
}

/// Returns the index of the server with the lowest cost.
pub fn choose_server(servers: &[ServerLoad]) -> Option<usize> {
    let best = servers.iter().enumerate().min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost()));
    best.map(|(index, _)| index)
}
