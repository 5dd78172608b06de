//! The `entry` module maintains this host's entry in the key-value service, by which
//! other hosts find it.

use std::time::Duration;

use aspenloft_core::errors::{Result, internal, unavailable};
use aspenloft_core::prelude::{Arc, Era};
use aspenloft_protocol::platform::{LeaseId, Put, Swap};
use async_std::task;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{HOSTS_PREFIX, StoreSync};

/// How often the entry's era is compared with that of the service.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The upper bound on the delay after which the entry is written again when the service has
/// come back from an older copy, so that hosts do not write all at once.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(1);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// This host's entry as it was last written.
#[derive(Debug, Clone, Copy)]
struct WrittenEntry {
    lease: LeaseId,
    /// The era in which the entry was written. It may be lost in a later one, together with
    /// its lease, whose id may then belong to somebody else.
    era: Era,
}

impl StoreSync {
    /// Writes this host's entry and renews its lease; does not return.
    pub async fn maintain_entry(self: Arc<Self>) {
        let mut random = Pcg64Mcg::from_os_rng();
        let mut written: Option<WrittenEntry> = None;
        loop {
            match self.renew_entry(&mut written).await {
                Ok(renewed) => self.wait_for_renewal(renewed, &mut random).await,
                Err(e) => {
                    log::info!(event = "entry_unrenewed", error = e.to_string().as_str(); "");
                    task::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until the lease is due to be renewed, or the service may have lost the entry.
    async fn wait_for_renewal(&self, written: WrittenEntry, random: &mut Pcg64Mcg) {
        let due = self.clock.now() + self.options.lease / 4;
        while self.clock.now() < due {
            task::sleep(ERA_CHECK_INTERVAL).await;
            if self.latest_era() > written.era {
                task::sleep(random.random_range(Duration::ZERO..MAX_REWRITE_DELAY)).await;
                return;
            }
        }
    }

    /// Returns the latest era that this host knows of, by the service or by other hosts.
    fn latest_era(&self) -> Era {
        self.kv.era().max(self.view.position().era)
    }

    /// Renews the lease of the entry, or writes the entry if it is lost or was never written.
    async fn renew_entry(&self, written: &mut Option<WrittenEntry>) -> Result<WrittenEntry> {
        let era = self.latest_era();
        if let Some(entry) = *written {
            if entry.era == era && self.kv.renew(entry.lease).await? {
                return Ok(entry);
            }
            *written = None;
            self.metrics.lease_lost("entry");
            let (from, to) = (entry.era.0, era.0);
            log::info!(event = "entry_lost", from, to; "");
        }
        let lease = self.kv.grant(self.options.lease).await?;
        let key = format!("{HOSTS_PREFIX}{}", self.peers.local_host().name);
        let value =
            serde_json::to_string(self.peers.local_host()).map_err(|e| internal(e.to_string()))?;
        let expect = self.kv.get(&key).await?.map_or(0, |current| current.version);
        let put = Put { key, expect, value: Some(value), lease: Some(lease) };
        match self.kv.put(put).await? {
            Swap::Done(_) => Ok(*written.insert(WrittenEntry { lease, era })),
            Swap::Conflict(_) => Err(unavailable("the entry was written at the same time")),
        }
    }
}
