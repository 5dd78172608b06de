//! The `state` module holds a host's part of each limit: its own stock, its stock
//! as the agent of its data centre, and the bucket where it is the limit's home.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_policy::concurrency::InFlightCounter;
use aspenloft_policy::limits::{Draw, PermitBucket, PermitPool, Spend, fallback_rate, issued_rate};
use aspenloft_protocol::peer::control::LimitKey;

/// The most limits that a host keeps in each of its parts; the longest unused goes
/// first.
pub const MAX_LIMITS: usize = 4_096;

/// `Reach` is how much of the deployment a host sees. What is not live may be on the
/// other side of a partition, with homes of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Hosts that are listed or live, this one among them.
    pub known: usize,
    /// Of those, the ones that are not live.
    pub silent: usize,
}

impl Default for Reach {
    fn default() -> Self {
        Reach { known: 1, silent: 0 }
    }
}

/// `LimitState` is a host's part of all limits.
#[derive(Debug, Default)]
pub struct LimitState {
    reach: Reach,
    own: HashMap<LimitKey, PermitPool>,
    agent: HashMap<LimitKey, PermitPool>,
    homes: HashMap<LimitKey, PermitBucket>,
    fallback: HashMap<LimitKey, PermitBucket>,
    in_flight: HashMap<LimitKey, InFlightCounter>,
    held: HashMap<LimitKey, u32>,
}

impl LimitState {
    /// Spends a permit of this host's own stock.
    pub fn spend(&mut self, key: &LimitKey, first: bool, now: Instant) -> Spend {
        let pool = entry(&mut self.own, key, || PermitPool::new(now), PermitPool::last_used);
        if first { pool.spend(now) } else { pool.retry_spend(now) }
    }

    /// Adds drawn permits to this host's own stock.
    pub fn drawn(&mut self, key: &LimitKey, draw: Draw, now: Instant) {
        if let Some(pool) = self.own.get_mut(key) {
            pool.record_draw(draw, now);
        }
        // The next use of the own share starts from empty again.
        self.fallback.remove(key);
    }

    /// Draws from this host's own share after a draw that was not answered, if the
    /// home has been silent long enough for that.
    pub fn unanswered(&mut self, key: &LimitKey, rate: f64, now: Instant) {
        let pool = entry(&mut self.own, key, || PermitPool::new(now), PermitPool::last_used);
        if !pool.record_unanswered(now) {
            return;
        }
        let share = fallback_rate(rate, self.reach.known);
        let drawn = draw(&mut self.fallback, key, share, 1, now);
        pool.add_borrowed(drawn, now);
    }

    /// Takes permits out of the agent's stock.
    pub fn agent_take(&mut self, key: &LimitKey, wanted: u32, now: Instant) -> u32 {
        let pool = entry(&mut self.agent, key, || PermitPool::new(now), PermitPool::last_used);
        pool.take(wanted, now)
    }

    /// Returns what the agent should draw from the home.
    pub fn agent_upstream(
        &mut self,
        key: &LimitKey,
        wanted: u32,
        now: Instant,
    ) -> Result<u32, Duration> {
        let pool = entry(&mut self.agent, key, || PermitPool::new(now), PermitPool::last_used);
        pool.upstream_draw(wanted, now)
    }

    /// Adds drawn permits to the agent's stock.
    pub fn agent_drawn(&mut self, key: &LimitKey, draw: Draw, now: Instant) {
        if let Some(pool) = self.agent.get_mut(key) {
            pool.record_draw(draw, now);
        }
    }

    /// Takes in how much of the deployment the host sees now.
    pub fn set_reach(&mut self, reach: Reach) {
        self.reach = reach;
    }

    /// Draws from the bucket of a limit whose home this host is. The shares of hosts
    /// that are not live are not issued, because they may be issued elsewhere.
    pub fn home_draw(&mut self, key: &LimitKey, rate: f64, wanted: u32, now: Instant) -> Draw {
        let rate = issued_rate(rate, self.reach.known, self.reach.silent);
        draw(&mut self.homes, key, rate, wanted, now)
    }

    /// Admits a request in flight at the home of its limit.
    pub fn acquire(&mut self, key: &LimitKey, host: &Name, limit: u32, now: Instant) -> bool {
        let home = self.in_flight.entry(key.clone()).or_insert_with(|| InFlightCounter::new(now));
        home.acquire(host, limit, now)
    }

    /// Takes in what a host holds.
    pub fn renew(&mut self, host: &Name, held: &[(LimitKey, u32)], now: Instant) {
        for (key, count) in held {
            let home =
                self.in_flight.entry(key.clone()).or_insert_with(|| InFlightCounter::new(now));
            home.renew(host, *count, now);
        }
    }

    /// Notes that this host holds one more request in flight.
    pub fn hold(&mut self, key: &LimitKey) {
        *self.held.entry(key.clone()).or_default() += 1;
    }

    /// Notes that this host holds one request in flight less.
    pub fn unhold(&mut self, key: &LimitKey) {
        if let Some(count) = self.held.get_mut(key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many requests in flight this host holds of a limit.
    pub fn held(&self, key: &LimitKey) -> u32 {
        self.held.get(key).copied().unwrap_or(0)
    }

    /// Returns all that this host holds, for a renewal. A count that has reached
    /// zero is told once more and then dropped.
    pub fn renewals(&mut self) -> Vec<(LimitKey, u32)> {
        let all = self.held.iter().map(|(key, count)| (key.clone(), *count)).collect();
        self.held.retain(|_, count| *count > 0);
        all
    }
}

fn draw(
    buckets: &mut HashMap<LimitKey, PermitBucket>,
    key: &LimitKey,
    rate: f64,
    wanted: u32,
    now: Instant,
) -> Draw {
    let new = || PermitBucket::new(rate, now);
    let bucket = entry(buckets, key, new, PermitBucket::last_used);
    // The table may have changed the rate.
    bucket.set_rate(rate, now);
    bucket.draw(wanted, now)
}

/// Returns the entry of `key`, making room for it when the map is full.
fn entry<'a, V>(
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
