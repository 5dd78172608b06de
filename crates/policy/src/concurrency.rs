//! The `concurrency` module limits the number of requests in flight of one caller and
//! row over all hosts together.
//!
//! The home of the limit counts leases. Hosts report the number of their leases with each
//! renewal, so a new home obtains the count from the first renewals;
//! `docs/design/limits.md` gives the bound of the error until then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;

/// The interval at which a host renews its leases.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long a host's leases are valid without a renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// `InFlightCounter` counts the requests in flight under one limit at its home.
#[derive(Debug, Clone)]
pub struct InFlightCounter {
    created: Instant,
    holders: HashMap<Name, Holder>,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    held: u32,
    expires: Instant,
}

impl InFlightCounter {
    /// Creates the counter of a limit whose home this host has just become.
    pub fn new(now: Instant) -> InFlightCounter {
        InFlightCounter { created: now, holders: HashMap::new() }
    }

    /// Counts one more request of `host` and returns `true`, unless `limit` is reached.
    pub fn acquire(&mut self, host: &Name, limit: u32, now: Instant) -> bool {
        self.expire(now);
        let allowed = if self.is_warm(now) { limit } else { limit.div_ceil(2) };
        if self.total() >= allowed {
            return false;
        }
        let holder = self.holders.entry(host.clone()).or_insert(Holder { held: 0, expires: now });
        holder.held += 1;
        holder.expires = now + LEASE_TTL;
        true
    }

    /// Replaces the count of `host` by the number of leases that it reports.
    pub fn renew(&mut self, host: &Name, held: u32, now: Instant) {
        if held == 0 {
            self.holders.remove(host);
            return;
        }
        self.holders.insert(host.clone(), Holder { held, expires: now + LEASE_TTL });
    }

    /// Releases one request of `host`.
    pub fn release(&mut self, host: &Name) {
        if let Some(holder) = self.holders.get_mut(host) {
            holder.held = holder.held.saturating_sub(1);
        }
    }

    /// Returns the number of requests in flight over all hosts.
    pub fn total(&self) -> u32 {
        self.holders.values().map(|holder| holder.held).sum()
    }

    /// Returns whether [`LEASE_TTL`] has passed since creation. Until then hosts may hold
    /// leases that the home does not know of, so it admits only half of the limit.
    fn is_warm(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.created) >= LEASE_TTL
    }

    fn expire(&mut self, now: Instant) {
        self.holders.retain(|_, holder| holder.expires > now);
    }
}
