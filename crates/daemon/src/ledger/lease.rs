//! The `lease` module keeps the one lease on which all ownerships of this host
//! hang, so that the renewals follow hosts and not shards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::SharedClock;
use aspenloft_protocol::platform::{KeyValue, LeaseId};
use async_std::task;
use parking_lot::Mutex;

use super::store::limited;

/// The length of the lease. A dead owner's shards are out of reach so long.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// How often the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// `HostLease` is this host's lease.
pub struct HostLease {
    kv: Arc<dyn KeyValue>,
    clock: SharedClock,
    held: Mutex<Option<Held>>,
}

/// `Held` is a granted lease.
#[derive(Debug, Clone, Copy)]
struct Held {
    id: LeaseId,
    /// Counted from before the call that granted or renewed it.
    ends: Instant,
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
        if let Some(held) = held.filter(|held| held.ends > now) {
            return Ok(held.id);
        }
        let id = limited(self.kv.grant(LEASE_TTL)).await?;
        let mut held = self.held.lock();
        // Several shards may ask at once. All must hang on the one lease that is
        // renewed; the others lapse unused.
        match held.filter(|held| held.ends > now) {
            Some(earlier) => Ok(earlier.id),
            None => {
                *held = Some(Held { id, ends: now + LEASE_TTL });
                Ok(id)
            }
        }
    }

    /// Renews the lease for ever and calls `lost` whenever it has lapsed.
    pub async fn keep(&self, lost: impl Fn()) {
        loop {
            task::sleep(RENEW_INTERVAL).await;
            let held = *self.held.lock();
            if let Some(held) = held
                && !self.renew(held).await
            {
                log::warn!(event = "ledger_lease_lost", lease = held.id; "");
                lost();
            }
        }
    }

    /// Renews `held`; `false` when it has lapsed.
    async fn renew(&self, held: Held) -> bool {
        let started = self.clock.now();
        let renewed = limited(self.kv.renew(held.id)).await;
        let mut current = self.held.lock();
        if current.is_none_or(|current| current.id != held.id) {
            return true;
        }
        *current = match renewed {
            Ok(true) => Some(Held { ends: started + LEASE_TTL, ..held }),
            // An unreachable service cannot give the shards to anybody else; the
            // lease counts until its own time is up.
            Err(_) if self.clock.now() < held.ends => Some(held),
            Ok(false) | Err(_) => None,
        };
        current.is_some()
    }
}
