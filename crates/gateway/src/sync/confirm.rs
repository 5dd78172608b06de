//! The `confirm` module brings the view up to date with the key-value service on demand.
//!
//! That a host hears of others, or had a response a moment ago, does not show that it knows of
//! all changes: it may be cut off together with those others, or read what had arrived before
//! it stood still. Only the response to a call that began later shows it.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_protocol::platform::Changes;
use async_std::future::timeout;
use async_trait::async_trait;

use super::StoreSync;

/// The timeout of a call for changes while a caller waits.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// `ViewConfirmer` makes sure that this host's view is not out of date.
#[async_trait]
pub trait ViewConfirmer: Send + Sync {
    /// Brings the view up to the state that the key-value service had at `since` or later.
    /// Fails if that is not known, as while the service cannot be reached.
    async fn confirm(&self, since: Instant) -> Result<()>;
}

#[async_trait]
impl ViewConfirmer for StoreSync {
    async fn confirm(&self, since: Instant) -> Result<()> {
        // Callers that wait share the next call.
        let mut confirmed = self.confirmed_from.lock().await;
        if confirmed.is_some_and(|began| began >= since) {
            return Ok(());
        }
        let began = self.clock.now();
        let changes = self.feed.changes("", self.view.position(), Duration::ZERO);
        let changes = timeout(CONFIRM_TIMEOUT, changes).await;
        match changes.map_err(|_| unavailable("the store did not respond in time"))?? {
            Changes::Since { changes, position } => self.apply_changes(changes, position),
            Changes::Compacted | Changes::Restored(_) => {
                return Err(unavailable("the changes since the last view are not known"));
            }
        }
        *confirmed = Some(began);
        Ok(())
    }
}
