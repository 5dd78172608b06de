//! The `service_choice` module places a call on a server of a plain service.
//!
//! The load pattern it answers is a service with a few servers of which one falls
//! silent or fails part of its calls: calls go to the server with the least work in
//! flight, weighted by how often it failed lately, so that a bad server keeps too
//! little work to hurt and enough to be seen to recover.

/// How many calls in flight weigh as much as a step to another data centre. The
/// way there and back is short next to the work, but bytes between data centres
/// are paid for.
const REMOTE_PENALTY: f64 = 2.0;

/// How many calls in flight a server that failed all its recent calls seems to
/// have more than it has.
const FAILURE_PENALTY: f64 = 40.0;

/// `ServerLoad` is what is known of a server of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Calls in flight to it from this host and, as far as known, from others.
    pub in_flight: usize,
    /// Calls that it runs at once.
    pub slots: usize,
    /// The share of recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it stands in the deciding host's data centre.
    pub local: bool,
}

impl ServerLoad {
    fn cost(&self) -> f64 {
        let away = if self.local { 0.0 } else { REMOTE_PENALTY };
        let full = if self.in_flight >= self.slots { self.slots as f64 } else { 0.0 };
        self.in_flight as f64 + full + away + self.failure_rate * FAILURE_PENALTY
    }
}

/// Returns the index of the server that takes a call at the least cost.
pub fn choose_server(servers: &[ServerLoad]) -> Option<usize> {
    let best = servers.iter().enumerate().min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost()));
    best.map(|(index, _)| index)
}
