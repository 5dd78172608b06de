//! The `lease` module keeps one lease per host, to which the ownership of all its
//! shards is bound. Renewals therefore scale with hosts and not with shards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::SharedClock;
use aspenloft_protocol::platform::{KeyValue, LeaseId};
use async_std::task;
use parking_lot::Mutex;

use super::store::with_timeout;

/// The duration of the lease. The shards of a crashed owner are unavailable for up to
/// this time.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// The interval at which the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// `HostLease` acquires and renews this host's lease.
pub struct HostLease {
    kv: Arc<dyn KeyValue>,
    clock: SharedClock,
    held: Mutex<Option<GrantedLease>>,
}

/// `GrantedLease` is the lease that this host holds.
#[derive(Debug, Clone, Copy)]
struct GrantedLease {
    id: LeaseId,
    /// Computed from a time before the call that granted or renewed the lease, so that
    /// it is never later than the expiry at the service.
    expires_at: Instant,
}

impl HostLease {
    /// Creates the handle without a lease; the first [`HostLease::get`] acquires it.
    pub fn new(kv: Arc<dyn KeyValue>, clock: SharedClock) -> HostLease {
        HostLease { kv, clock, held: Mutex::new(None) }
    }

    /// Returns the current lease, or acquires one.
    pub async fn get(&self) -> Result<LeaseId> {
        let now = self.clock.now();
        let held = *self.held.lock();
        if let Some(held) = held.filter(|held| held.expires_at > now) {
            return Ok(held.id);
        }
        let id = with_timeout(self.kv.grant(LEASE_TTL)).await?;
        let mut held = self.held.lock();
        // Several shards may request a lease at the same time. All must use the one
        // that is renewed; the others expire unused.
        match held.filter(|held| held.expires_at > now) {
            Some(earlier) => Ok(earlier.id),
            None => {
                *held = Some(GrantedLease { id, expires_at: now + LEASE_TTL });
                Ok(id)
            }
        }
    }

    /// Renews the lease forever and calls `on_lost` whenever it has expired.
    pub async fn renew_forever(&self, on_lost: impl Fn()) {
        loop {
            task::sleep(RENEW_INTERVAL).await;
            let held = *self.held.lock();
            if let Some(held) = held
                && !self.renew(held).await
            {
                log::warn!(event = "ledger_lease_lost", lease = held.id; "");
                on_lost();
            }
        }
    }

    /// Renews `held`; returns `false` if it has expired.
    async fn renew(&self, held: GrantedLease) -> bool {
        let started = self.clock.now();
        let renewed = with_timeout(self.kv.renew(held.id)).await;
        let mut current = self.held.lock();
        if current.is_none_or(|current| current.id != held.id) {
            return true;
        }
        *current = match renewed {
            Ok(true) => Some(GrantedLease { expires_at: started + LEASE_TTL, ..held }),
            // The service does not expire the lease before this time, so no other
            // host can own the shards yet.
            Err(_) if self.clock.now() < held.expires_at => Some(held),
            Ok(false) | Err(_) => None,
        };
        current.is_some()
    }
}
