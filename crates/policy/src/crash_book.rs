//! The `crash_book` module finds requests after which servers break off, one server
//! after the other.
//!
//! The load pattern it answers is one request that crashes whatever runs it and is
//! sent again, at any host. [`crate::suspects`] judges by deaths that a home host
//! sees; here each host only sees connections break, which has other causes too, so
//! several servers must have broken off on the same request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::suspects::Fingerprint;

/// How many servers must have broken off on a request for it to be refused.
const CONVICTING: usize = 3;

/// How long a break is remembered: some times the time in which a caller sends again.
const MEMORY: Duration = Duration::from_secs(60);

/// The most requests that are remembered; the oldest go first.
const MOST: usize = 1_024;

/// `CrashBook` remembers on which requests servers broke off.
#[derive(Debug, Default)]
pub struct CrashBook {
    breaks: HashMap<Fingerprint, Vec<(u64, Instant)>>,
}

impl CrashBook {
    /// Takes in that `server` broke off while it ran the request; returns whether
    /// that was not known.
    pub fn broke(&mut self, request: Fingerprint, server: u64, now: Instant) -> bool {
        self.forget(now);
        let servers = self.breaks.entry(request).or_default();
        let new = servers.iter().all(|(known, _)| *known != server);
        if new {
            servers.push((server, now));
        }
        new
    }

    /// Tells whether the request is to be refused.
    pub fn is_convicted(&self, request: Fingerprint, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < MEMORY;
        let breaks = self.breaks.get(&request);
        breaks.is_some_and(|b| b.iter().filter(|(_, at)| recent(at)).count() >= CONVICTING)
    }

    /// Returns the `most` newest breaks that are younger than `age`, for other hosts.
    pub fn recent(&self, now: Instant, age: Duration, most: usize) -> Vec<(Fingerprint, u64)> {
        let all = self.breaks.iter().flat_map(|(request, servers)| {
            servers.iter().map(move |(server, at)| (*at, *request, *server))
        });
        let mut young: Vec<_> =
            all.filter(|(at, ..)| now.saturating_duration_since(*at) < age).collect();
        young.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
        young.into_iter().take(most).map(|(_, request, server)| (request, server)).collect()
    }

    fn forget(&mut self, now: Instant) {
        if self.breaks.len() < MOST {
            return;
        }
        self.breaks.retain(|_, servers| {
            servers.retain(|(_, at)| now.saturating_duration_since(*at) < MEMORY);
            !servers.is_empty()
        });
        if self.breaks.len() >= MOST {
            let oldest = self.breaks.iter().min_by_key(|(_, servers)| servers.last().map(|s| s.1));
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.breaks.remove(&request));
        }
    }
}
