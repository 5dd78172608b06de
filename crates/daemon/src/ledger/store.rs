//! The `store` module performs a shard's actions on the key-value service. Each call
//! has a timeout, after which its execution counts as "unknown".

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;

use aspenloft_core::errors::{Error, Result, internal, timeout, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::Name;
use aspenloft_ledger::head::{
    Epoch, Head, HeadId, Owner, PageRef, StoredShard, head_key, owner_key, page_key,
};
use aspenloft_ledger::record::Record;
use aspenloft_ledger::shard::event::{Acquired, Action, Event};
use aspenloft_protocol::platform::{KeyValue, LeaseId, Put, Swap, Version, Versioned};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::KV_TIMEOUT;
use super::lease::HostLease;

/// `ShardStore` reads and writes one shard in the key-value service.
#[derive(Clone)]
pub struct ShardStore {
    /// The number of the shard, below `SHARDS`.
    pub number: u32,
    /// The name of this host.
    pub host: Name,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The lease to which the ownership of this host's shards is bound.
    pub lease: Arc<HostLease>,
}

/// Waits up to [`KV_TIMEOUT`] for a call to the key-value service.
pub async fn with_timeout<R>(call: impl Future<Output = Result<R>>) -> Result<R> {
    async_std::future::timeout(KV_TIMEOUT, call).await.unwrap_or_else(|_| {
        Err(timeout("the key-value service did not answer").execution(Execution::Unknown))
    })
}

impl ShardStore {
    /// Performs `action` and returns the event with its result. `None` for an action
    /// without a result or one that does not concern the service.
    pub async fn perform(&self, action: Action) -> Option<Event> {
        Some(match action {
            Action::Acquire(op) => Event::Acquired(op, self.acquire().await),
            Action::Load(op) => Event::Loaded(op, self.load().await),
            Action::Swap { op, expect, head } => {
                Event::Swapped(op, self.put(head_key(self.number), expect, &*head).await)
            }
            Action::ReadBack(op) => Event::ReadBack(op, self.read_back().await),
            Action::WritePage { op, page, records } => {
                Event::PageWritten(op, self.put(page_key(self.number, page), 0, &records).await)
            }
            Action::ReadPage(page, call) => {
                let records = self.read_page(page).await;
                let found = records.map(|records| records.into_iter().find(|r| r.key == call.key));
                Event::PageRead(call, found)
            }
            Action::DeletePage(page) => {
                self.delete(&page_key(self.number, page)).await;
                return None;
            }
            Action::Release(epoch) => {
                self.release(epoch).await;
                return None;
            }
            Action::Send { .. } | Action::Answer(..) => return None,
        })
    }

    /// Becomes the owner unless another host is. An ownership that an earlier process
    /// of this host left is replaced. That is safe, because only a swap of the head
    /// proves ownership.
    async fn acquire(&self) -> Result<Acquired> {
        let lease = self.lease.get().await?;
        let key = owner_key(self.number);
        let found = with_timeout(self.kv.get(&key)).await?;
        let expect = match found {
            None => 0,
            Some(found) => {
                let owner: Owner = decode(&found)?;
                if owner.host != self.host {
                    return Ok(Acquired::Other(owner.host));
                }
                found.version
            }
        };
        let owner = Owner { host: self.host.clone(), lease };
        let put = Put { key, expect, value: Some(encode(&owner)?), lease: Some(lease) };
        match with_timeout(self.kv.put(put)).await {
            Ok(Swap::Done(epoch)) => Ok(Acquired::Mine(epoch)),
            Ok(Swap::Conflict(_)) => Err(unavailable("another host took the shard")),
            Err(e) if e.execution == Execution::NotRun => Err(e),
            Err(_) => self.confirm_acquired(expect, lease).await,
        }
    }

    /// Reads the owner to determine whether a write without an answer succeeded.
    async fn confirm_acquired(&self, previous: Version, lease: LeaseId) -> Result<Acquired> {
        let found = with_timeout(self.kv.get(&owner_key(self.number))).await?;
        let found = found.filter(|found| found.version != previous);
        let found = found.ok_or_else(|| unavailable("the shard was not acquired"))?;
        let owner: Owner = decode(&found)?;
        if owner.host == self.host && owner.lease == lease {
            return Ok(Acquired::Mine(found.version));
        }
        Ok(Acquired::Other(owner.host))
    }

    /// Releases the ownership. If that fails, it ends when the lease expires.
    async fn release(&self, epoch: Epoch) {
        let key = owner_key(self.number);
        let put = Put { key, expect: epoch, value: None, lease: None };
        if let Err(e) = with_timeout(self.kv.put(put)).await {
            let error = e.to_string();
            log::warn!(event = "ledger_not_released", shard = self.number, error = error.as_str(); "");
        }
    }

    async fn load(&self) -> Result<StoredShard> {
        let Some(found) = with_timeout(self.kv.get(&head_key(self.number))).await? else {
            return Ok(StoredShard { version: 0, head: None, sealed: Vec::new() });
        };
        let head: Head = decode(&found)?;
        let mut sealed = HashMap::new();
        for page in &head.pages {
            let records = self.read_page(*page).await?;
            sealed.extend(records.into_iter().map(|record| (record.key, *page)));
        }
        let sealed = sealed.into_iter().collect();
        Ok(StoredShard { version: found.version, head: Some(head), sealed })
    }

    async fn read_back(&self) -> Result<Option<HeadId>> {
        let Some(found) = with_timeout(self.kv.get(&head_key(self.number))).await? else {
            return Ok(None);
        };
        let head: Head = decode(&found)?;
        Ok(Some(HeadId { version: found.version, epoch: head.epoch, write: head.write }))
    }

    async fn read_page(&self, page: PageRef) -> Result<Vec<Record>> {
        let found = with_timeout(self.kv.get(&page_key(self.number, page))).await?;
        decode(&found.ok_or_else(|| internal("a page of the ledger shard is missing"))?)
    }

    async fn put(&self, key: String, expect: Version, value: &impl Serialize) -> Result<Swap> {
        let put = Put { key, expect, value: Some(encode(value)?), lease: None };
        with_timeout(self.kv.put(put)).await
    }

    /// Deletes a page that the head does not reference. If that fails, the page stays
    /// in the key-value service.
    async fn delete(&self, key: &str) {
        let deleted = async {
            let Some(found) = with_timeout(self.kv.get(key)).await? else { return Ok(()) };
            let put = Put { key: key.into(), expect: found.version, value: None, lease: None };
            with_timeout(self.kv.put(put)).await.map(|_| ())
        };
        let result: Result<()> = deleted.await;
        if let Err(e) = result {
            log::warn!(event = "ledger_page_left", key = key, error = e.to_string().as_str(); "");
        }
    }
}

/// Encodes a value as JSON text.
pub(super) fn encode(value: &impl Serialize) -> Result<String> {
    serde_json::to_string(value).map_err(|e| internal(e.to_string()))
}

/// Decodes a value from its JSON text.
pub(super) fn decode<R: DeserializeOwned>(found: &Versioned) -> Result<R> {
    let decode_error = |e: serde_json::Error| -> Error { internal(format!("{}: {e}", found.key)) };
    serde_json::from_str(&found.value).map_err(decode_error)
}
