//! The `state` module holds a host's part of each limit: its own stock, its stock
//! as the agent of its data centre, and the bucket where it is the limit's home.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_policy::concurrency::InFlightHome;
use aspenloft_policy::limits::{Draw, PermitBucket, PermitPool, Spend, fallback_rate, issued_rate};
use aspenloft_protocol::peer::control::LimitKey;

/// The most limits that a host keeps in each of its parts; the longest unused goes
/// first.
pub const MAX_LIMITS: usize = 4_096;

/// `Visibility` is how much of the deployment a host sees. What is not live may be on the
/// other side of a partition, with homes of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Visibility {
    /// Hosts that are listed or live, this one among them.
    pub known: usize,
    /// Of those, the ones that are not live.
    pub silent: usize,
}

impl Default for Visibility {
    fn default() -> Self {
        Visibility { known: 1, silent: 0 }
    }
}

/// `LimitState` is a host's part of all limits.
#[derive(Debug, Default)]
pub struct LimitState {
    visibility: Visibility,
    own_pools: HashMap<LimitKey, PermitPool>,
    agent_pools: HashMap<LimitKey, PermitPool>,
    home_buckets: HashMap<LimitKey, PermitBucket>,
    fallback_buckets: HashMap<LimitKey, PermitBucket>,
    in_flight_homes: HashMap<LimitKey, InFlightHome>,
    local_in_flight: HashMap<LimitKey, u32>,
}

impl LimitState {
    /// Spends a permit of this host's own stock.
    pub fn spend(&mut self, key: &LimitKey, first: bool, now: Instant) -> Spend {
        let pool = entry_or_evict(
            &mut self.own_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        if first { pool.spend(now) } else { pool.spend_again(now) }
    }

    /// Adds drawn permits to this host's own stock.
    pub fn add_permits(&mut self, key: &LimitKey, draw: Draw, now: Instant) {
        if let Some(pool) = self.own_pools.get_mut(key) {
            pool.drawn(draw, now);
        }
        // The next use of the own share starts from empty again.
        self.fallback_buckets.remove(key);
    }

    /// Draws from this host's own share after a draw that was not answered, if the
    /// home has been silent long enough for that.
    pub fn use_fallback_share(&mut self, key: &LimitKey, rate: f64, now: Instant) {
        let pool = entry_or_evict(
            &mut self.own_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        if !pool.unanswered(now) {
            return;
        }
        let share = fallback_rate(rate, self.visibility.known);
        let drawn = draw_from_bucket(&mut self.fallback_buckets, key, share, 1, now);
        pool.borrowed(drawn, now);
    }

    /// Takes permits out of the agent's stock.
    pub fn agent_take(&mut self, key: &LimitKey, wanted: u32, now: Instant) -> u32 {
        let pool = entry_or_evict(
            &mut self.agent_pools,
            key,
            || PermitPool::new(now),
            PermitPool::last_used,
        );
        pool.take(wanted, now)
    }

    /// Returns what the agent should draw from the home.
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
        pool.upstream(wanted, now)
    }

    /// Adds drawn permits to the agent's stock.
    pub fn agent_add_permits(&mut self, key: &LimitKey, draw: Draw, now: Instant) {
        if let Some(pool) = self.agent_pools.get_mut(key) {
            pool.drawn(draw, now);
        }
    }

    /// Takes in how much of the deployment the host sees now.
    pub fn set_visibility(&mut self, visibility: Visibility) {
        self.visibility = visibility;
    }

    /// Draws from the bucket of a limit whose home this host is. The shares of hosts
    /// that are not live are not issued, because they may be issued elsewhere.
    pub fn home_draw(&mut self, key: &LimitKey, rate: f64, wanted: u32, now: Instant) -> Draw {
        let rate = issued_rate(rate, self.visibility.known, self.visibility.silent);
        draw_from_bucket(&mut self.home_buckets, key, rate, wanted, now)
    }

    /// Admits a request in flight at the home of its limit.
    pub fn acquire(&mut self, key: &LimitKey, host: &Name, limit: u32, now: Instant) -> bool {
        let home =
            self.in_flight_homes.entry(key.clone()).or_insert_with(|| InFlightHome::new(now));
        home.acquire(host, limit, now)
    }

    /// Takes in what a host holds.
    pub fn renew(&mut self, host: &Name, held: &[(LimitKey, u32)], now: Instant) {
        for (key, count) in held {
            let home =
                self.in_flight_homes.entry(key.clone()).or_insert_with(|| InFlightHome::new(now));
            home.renew(host, *count, now);
        }
    }

    /// Notes that this host holds one more request in flight.
    pub fn add_in_flight(&mut self, key: &LimitKey) {
        *self.local_in_flight.entry(key.clone()).or_default() += 1;
    }

    /// Notes that this host holds one request in flight less.
    pub fn remove_in_flight(&mut self, key: &LimitKey) {
        if let Some(count) = self.local_in_flight.get_mut(key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many requests in flight this host holds of a limit.
    pub fn in_flight_count(&self, key: &LimitKey) -> u32 {
        self.local_in_flight.get(key).copied().unwrap_or(0)
    }

    /// Returns all that this host holds, for a renewal. A count that has reached
    /// zero is told once more and then dropped.
    pub fn renewals(&mut self) -> Vec<(LimitKey, u32)> {
        let all = self.local_in_flight.iter().map(|(key, count)| (key.clone(), *count)).collect();
        self.local_in_flight.retain(|_, count| *count > 0);
        all
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

/// Returns the entry of `key`, making room for it when the map is full.
fn entry_or_evict<'a, V>(
    map: &'a mut HashMap<LimitKey, V>,
    key: &LimitKey,
    new: impl FnOnce() -> V,
    last_used: impl Fn(&V) -> Instant,
) -> &'a mut V {
    if map.len() >= MAX_LIMITS && !map.contains_key(key) {
        let idle = map.iter().min_by_key(|(_, value)| last_used(value));
        if let Some(idle) = idle.map(|(key, _)| key.clone()) {
            map.remove(&idle);
        }
    }
    map.entry(key.clone()).or_insert_with(new)
}
