//! The `entry` module maintains this host's entry in the key-value service, by which
//! other hosts find it.

use aspenloft_core::errors::{Result, internal};
use aspenloft_core::prelude::Arc;
use aspenloft_protocol::platform::Put;
use async_std::task;

use super::{HOSTS_PREFIX, StoreSync};

impl StoreSync {
    /// Writes this host's entry and renews its lease; does not return.
    pub async fn maintain_entry(self: Arc<Self>) {
        let mut lease = None;
        let pause = self.options.lease / 4;
        loop {
            lease = match self.renew_entry(lease).await {
                Ok(lease) => lease,
                Err(e) => {
                    log::info!(event = "entry_unrenewed", error = e.to_string().as_str(); "");
                    lease
                }
            };
            task::sleep(pause).await;
        }
    }

    async fn renew_entry(&self, lease: Option<u64>) -> Result<Option<u64>> {
        if let Some(lease) = lease
            && self.kv.renew(lease).await?
        {
            return Ok(Some(lease));
        }
        let lease = self.kv.grant(self.options.lease).await?;
        let key = format!("{HOSTS_PREFIX}{}", self.peers.local_host().name);
        let value =
            serde_json::to_string(self.peers.local_host()).map_err(|e| internal(e.to_string()))?;
        let expect = self.kv.get(&key).await?.map_or(0, |current| current.version);
        self.kv.put(Put { key, expect, value: Some(value), lease: Some(lease) }).await?;
        Ok(Some(lease))
    }
}
