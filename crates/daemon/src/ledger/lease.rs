//! The `lease` module keeps the one lease on which all ownerships of this host
//! hang, so that the renewals follow hosts and not shards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::SharedClock;
use aspenloft_protocol::platform::{KeyValue, LeaseId};
use async_std::task;
use parking_lot::Mutex;

use super::store::with_timeout;

/// The length of the lease. A dead owner's shards are out of reach so long.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// How often the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// `HostLease` is this host's lease.
pub struct HostLease {
    kv: Arc<dyn KeyValue>,
    clock: SharedClock,
    held: Mutex<Option<GrantedLease>>,
}

/// `GrantedLease` is a granted lease.
#[derive(Debug, Clone, Copy)]
struct GrantedLease {
    id: LeaseId,
    /// Counted from before the call that granted or renewed it.
    expires_at: Instant,
}

impl HostLease {
    /// Creates the keeper of a lease that is not granted yet.
    pub fn new(kv: Arc<dyn KeyValue>, clock: SharedClock) -> HostLease {
        HostLease { kv, clock, held: Mutex::new(None) }
    }

    /// Returns the lease, granted now if there is none.
    pub async fn get(&self) -> Result<LeaseId> {
        let now = self.clock.now();
        let held = *self.held.lock();
        if let Some(held) = held.filter(|held| held.expires_at > now) {
            return Ok(held.id);
        }
        let id = with_timeout(self.kv.grant(LEASE_TTL)).await?;
        let mut held = self.held.lock();
        // Several shards may ask at once. All must hang on the one lease that is
        // renewed; the others lapse unused.
        match held.filter(|held| held.expires_at > now) {
            Some(earlier) => Ok(earlier.id),
            None => {
                *held = Some(GrantedLease { id, expires_at: now + LEASE_TTL });
                Ok(id)
            }
        }
    }

    /// Renews the lease for ever and calls `lost` whenever it has lapsed.
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

    /// Renews `held`; `false` when it has lapsed.
    async fn renew(&self, held: GrantedLease) -> bool {
        let started = self.clock.now();
        let renewed = with_timeout(self.kv.renew(held.id)).await;
        let mut current = self.held.lock();
        if current.is_none_or(|current| current.id != held.id) {
            return true;
        }
        *current = match renewed {
            Ok(true) => Some(GrantedLease { expires_at: started + LEASE_TTL, ..held }),
            // An unreachable service cannot give the shards to anybody else; the
            // lease counts until its own time is up.
            Err(_) if self.clock.now() < held.expires_at => Some(held),
            Ok(false) | Err(_) => None,
        };
        current.is_some()
    }
}
