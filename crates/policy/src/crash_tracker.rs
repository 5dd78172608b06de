//! The `crash_tracker` module identifies requests that crash one server after the other.
//!
//! It handles a request that crashes every server that runs it and that its caller keeps
//! sending, to any host. [`crate::suspects`] relies on server deaths that a home host
//! detects. Here a host only sees connections break, which has other causes too, so a
//! request is refused only after connections to several servers have broken during it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::suspects::Fingerprint;

/// The number of servers whose connections must break during a request before the
/// request is refused.
const MIN_SERVERS: usize = 3;

/// How long a disconnect is stored: a few times the interval at which callers retry.
const DISCONNECT_TTL: Duration = Duration::from_secs(60);

/// The most requests that are stored; the oldest are evicted first.
const MAX_REQUESTS: usize = 1_024;

/// `CrashTracker` records during which requests connections to servers broke.
#[derive(Debug, Default)]
pub struct CrashTracker {
    disconnects: HashMap<Fingerprint, Vec<(u64, Instant)>>,
}

impl CrashTracker {
    /// Records that the connection to `server` broke while it ran the request. Returns
    /// whether this is the first record of that server and request.
    pub fn record_disconnect(&mut self, request: Fingerprint, server: u64, now: Instant) -> bool {
        self.evict(now);
        let servers = self.disconnects.entry(request).or_default();
        let new = servers.iter().all(|(known, _)| *known != server);
        if new {
            servers.push((server, now));
        }
        new
    }

    /// Returns whether the request must be refused.
    pub fn is_convicted(&self, request: Fingerprint, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISCONNECT_TTL;
        let disconnects = self.disconnects.get(&request);
        disconnects.is_some_and(|b| b.iter().filter(|(_, at)| recent(at)).count() >= MIN_SERVERS)
    }

    /// Returns the newest disconnects that are younger than `age`, at most `max` of them,
    /// to be sent to other hosts.
    pub fn recent(&self, now: Instant, age: Duration, max: usize) -> Vec<(Fingerprint, u64)> {
        let all = self.disconnects.iter().flat_map(|(request, servers)| {
            servers.iter().map(move |(server, at)| (*at, *request, *server))
        });
        let mut newest: Vec<_> =
            all.filter(|(at, ..)| now.saturating_duration_since(*at) < age).collect();
        newest.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
        newest.into_iter().take(max).map(|(_, request, server)| (request, server)).collect()
    }

    fn evict(&mut self, now: Instant) {
        if self.disconnects.len() < MAX_REQUESTS {
            return;
        }
        self.disconnects.retain(|_, servers| {
            servers.retain(|(_, at)| now.saturating_duration_since(*at) < DISCONNECT_TTL);
            !servers.is_empty()
        });
        if self.disconnects.len() >= MAX_REQUESTS {
            let oldest =
                self.disconnects.iter().min_by_key(|(_, servers)| servers.last().map(|s| s.1));
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.disconnects.remove(&request));
        }
    }
}
