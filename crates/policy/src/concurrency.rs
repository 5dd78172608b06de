//! The `concurrency` module keeps the number of requests in flight of one caller
//! and row over all hosts together.
//!
//! The home of the limit counts leases. Hosts report what they hold with each
//! renewal, so that a new home learns the count from its first renewals;
//! `docs/design/limits.md` gives the bound of the error meanwhile.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;

/// How often a host renews what it holds.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long a host's leases stand without a renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// `InFlightCounter` counts the requests in flight of one limit at its home.
#[derive(Debug, Clone)]
pub struct InFlightCounter {
    created: Instant,
    holders: HashMap<Name, Holder>,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    held: u32,
    ends: Instant,
}

impl InFlightCounter {
    /// Creates the count of a limit that this host has just taken over.
    pub fn new(now: Instant) -> InFlightCounter {
        InFlightCounter { created: now, holders: HashMap::new() }
    }

    /// Admits one more request of `host` under `limit`, or refuses it.
    pub fn acquire(&mut self, host: &Name, limit: u32, now: Instant) -> bool {
        self.expire(now);
        let allowed = if self.is_warm(now) { limit } else { limit.div_ceil(2) };
        if self.total() >= allowed {
            return false;
        }
        let holder = self.holders.entry(host.clone()).or_insert(Holder { held: 0, ends: now });
        holder.held += 1;
        holder.ends = now + LEASE_TTL;
        true
    }

    /// Takes in what `host` says that it holds, which replaces what was counted.
    pub fn renew(&mut self, host: &Name, held: u32, now: Instant) {
        if held == 0 {
            self.holders.remove(host);
            return;
        }
        self.holders.insert(host.clone(), Holder { held, ends: now + LEASE_TTL });
    }

    /// Gives one request of `host` back.
    pub fn release(&mut self, host: &Name) {
        if let Some(holder) = self.holders.get_mut(host) {
            holder.held = holder.held.saturating_sub(1);
        }
    }

    /// Returns the requests in flight over all hosts.
    pub fn total(&self) -> u32 {
        self.holders.values().map(|holder| holder.held).sum()
    }

    /// Before one lease life has passed, hosts may hold what the home has not
    /// heard of yet, so it admits only half.
    fn is_warm(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.created) >= LEASE_TTL
    }

    fn expire(&mut self, now: Instant) {
        self.holders.retain(|_, holder| holder.ends > now);
    }
}
