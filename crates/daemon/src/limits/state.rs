//! The `state` module holds a host's state of each limit: its own pool of permits, its
//! pool as the agent of its data centre, and the bucket if it is the limit's home.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_policy::concurrency::InFlightCounter;
use aspenloft_policy::limits::{
    Draw, PermitBucket, PermitPool, SpendOutcome, fallback_rate, issued_rate,
};
use aspenloft_protocol::peer::control::LimitKey;

/// The maximum number of limits in each map of pools or buckets; the least recently
/// used is evicted.
pub const MAX_LIMITS: usize = 4_096;

/// `Visibility` is how much of the deployment a host can reach. Hosts that are not
/// live may be on the other side of a partition and have homes of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Visibility {
    /// The number of hosts that are listed or live, including this one.
    pub known: usize,
    /// The number of those that are not live.
    pub not_live: usize,
}

impl Default for Visibility {
    fn default() -> Self {
        Visibility { known: 1, not_live: 0 }
    }
}

/// `LimitState` is a host's state of all limits.
#[derive(Debug, Default)]
pub struct LimitState {
    visibility: Visibility,
    own_pools: HashMap<LimitKey, PermitPool>,
    agent_pools: HashMap<LimitKey, PermitPool>,
    home_buckets: HashMap<LimitKey, PermitBucket>,
    fallback_buckets: HashMap<LimitKey, PermitBucket>,
    in_flight_homes: HashMap<LimitKey, InFlightCounter>,
    local_in_flight: HashMap<LimitKey, u32>,
}

impl LimitState {
    /// Spends a permit of this host's own pool. `first` is false for the second attempt
    /// of a request, which must not count as demand again.
    pub fn spend(&mut self, key: &LimitKey, first: bool, now: Instant) -> SpendOutcome {
        let pool = entry_or_evict(
            &mut self.own_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        if first { pool.spend(now) } else { pool.retry_spend(now) }
    }

    /// Adds drawn permits to this host's own pool.
    pub fn add_permits(&mut self, key: &LimitKey, draw: Draw, now: Instant) {
        if let Some(pool) = self.own_pools.get_mut(key) {
            pool.record_draw(draw, now);
        }
        // The next use of the fallback share starts with an empty bucket.
        self.fallback_buckets.remove(key);
    }

    /// Draws a permit from this host's fallback share after an unanswered draw, if the
    /// home has not answered for long enough.
    pub fn use_fallback_share(&mut self, key: &LimitKey, rate: f64, now: Instant) {
        let pool = entry_or_evict(
            &mut self.own_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        if !pool.record_unanswered(now) {
            return;
        }
        let share = fallback_rate(rate, self.visibility.known);
        let drawn = draw_from_bucket(&mut self.fallback_buckets, key, share, 1, now);
        pool.add_borrowed(drawn, now);
    }

    /// Takes up to `wanted` permits out of the agent's pool.
    pub fn agent_take(&mut self, key: &LimitKey, wanted: u32, now: Instant) -> u32 {
        let pool = entry_or_evict(
            &mut self.agent_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        pool.take(wanted, now)
    }

    /// Returns how many permits the agent should draw from the home, or the delay after
    /// which to retry if the home has none.
    pub fn agent_upstream(
        &mut self,
        key: &LimitKey,
        wanted: u32,
        now: Instant,
    ) -> Result<u32, Duration> {
        let pool = entry_or_evict(
            &mut self.agent_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        pool.upstream_draw(wanted, now)
    }

    /// Adds drawn permits to the agent's pool.
    pub fn agent_add_permits(&mut self, key: &LimitKey, draw: Draw, now: Instant) {
        if let Some(pool) = self.agent_pools.get_mut(key) {
            pool.record_draw(draw, now);
        }
    }

    /// Sets how much of the deployment the host can reach.
    pub fn set_visibility(&mut self, visibility: Visibility) {
        self.visibility = visibility;
    }

    /// Draws from the bucket of a limit whose home this host is. The shares of hosts
    /// that are not live are not issued, because those hosts may use them as fallback
    /// shares.
    pub fn home_draw(&mut self, key: &LimitKey, rate: f64, wanted: u32, now: Instant) -> Draw {
        let rate = issued_rate(rate, self.visibility.known, self.visibility.not_live);
        draw_from_bucket(&mut self.home_buckets, key, rate, wanted, now)
    }

    /// Counts one more request of `host` in flight at the home of the limit; returns
    /// `false` if the limit is reached.
    pub fn acquire(&mut self, key: &LimitKey, host: &Name, limit: u32, now: Instant) -> bool {
        let home =
            self.in_flight_homes.entry(key.clone()).or_insert_with(|| InFlightCounter::new(now));
        home.acquire(host, limit, now)
    }

    /// Replaces the counts of a host's requests in flight by those that it reported.
    pub fn renew(&mut self, host: &Name, held: &[(LimitKey, u32)], now: Instant) {
        for (key, count) in held {
            let home = self
                .in_flight_homes
                .entry(key.clone())
                .or_insert_with(|| InFlightCounter::new(now));
            home.renew(host, *count, now);
        }
    }

    /// Counts one more request of this host in flight.
    pub fn add_in_flight(&mut self, key: &LimitKey) {
        *self.local_in_flight.entry(key.clone()).or_default() += 1;
    }

    /// Counts one request of this host in flight less.
    pub fn remove_in_flight(&mut self, key: &LimitKey) {
        if let Some(count) = self.local_in_flight.get_mut(key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many requests of a limit this host has in flight.
    pub fn in_flight_count(&self, key: &LimitKey) -> u32 {
        self.local_in_flight.get(key).copied().unwrap_or(0)
    }

    /// Returns the counts of this host's requests in flight, for a renewal. A count
    /// that has reached zero is reported once and then removed.
    pub fn renewals(&mut self) -> Vec<(LimitKey, u32)> {
        let counts =
            self.local_in_flight.iter().map(|(key, count)| (key.clone(), *count)).collect();
        self.local_in_flight.retain(|_, count| *count > 0);
        counts
    }
}

fn draw_from_bucket(
    buckets: &mut HashMap<LimitKey, PermitBucket>,
    key: &LimitKey,
    rate: f64,
    wanted: u32,
    now: Instant,
) -> Draw {
    let new = || PermitBucket::new(rate, now);
    let bucket = entry_or_evict(buckets, key, new, PermitBucket::last_used);
    // The table may have changed the rate.
    bucket.set_rate(rate, now);
    bucket.draw(wanted, now)
}

/// Returns the entry of `key`, which is created if missing. If the map is full, the
/// least recently used entry is evicted first.
fn entry_or_evict<'a, V>(
    map: &'a mut HashMap<LimitKey, V>,
    key: &LimitKey,
    new: impl FnOnce() -> V,
    last_used: impl Fn(&V) -> Instant,
) -> &'a mut V {
    if map.len() >= MAX_LIMITS && !map.contains_key(key) {
        let oldest = map.iter().min_by_key(|(_, value)| last_used(value));
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            map.remove(&oldest);
        }
    }
    map.entry(key.clone()).or_insert_with(new)
}
