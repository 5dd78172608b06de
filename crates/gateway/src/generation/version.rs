//! The `version` module finds the version at which a stream began that a caller takes up, perhaps
//! through another host. `docs/design/stream-versions.md` describes what counts as known.

use std::pin::pin;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::Name;
use aspenloft_policy::stream_versions::{VersionTag, stream_key};
use async_std::future::timeout;
use futures::future::{Either, join, select};

use super::{ENGINE_RETRY_AFTER, GenerationHandler};
use crate::request::InboundRequest;

/// How long the key-value service may take to tell whether a service has a single version before
/// other hosts are asked as well.
const ASK_OTHERS_AFTER: Duration = Duration::from_millis(60);

impl GenerationHandler {
    /// Returns the version at which the stream began that the request takes up, or `None`
    /// if it takes up none. Returns an error if the stream cannot go on: its version is
    /// not known, or no engine of that version is left.
    pub(super) async fn stream_version(
        &self,
        inbound: &InboundRequest,
    ) -> Result<Option<VersionTag>, Error> {
        let Some(first) = &inbound.metadata.resumes else { return Ok(None) };
        log::info!(event = "taken_up", request = inbound.log_id(), first = &**first; "");
        let service = &inbound.service;
        let key = stream_key(service, first);
        let version = match self.streams.recorded(key) {
            Some(version) => Some(version),
            None => self.find_stream_version(service, key).await.map_err(|e| {
                let message =
                    format!("cannot find the version at which stream {first} began: {}", e.message);
                Error::new(ErrorCode::NoBackend, message).retry_after(ENGINE_RETRY_AFTER)
            })?,
        };
        let Some(version) = version else {
            let message = format!("no host knows the version at which stream {first} began");
            return Err(Error::new(ErrorCode::NoBackend, message));
        };
        if !self.dispatcher.has_version(service, version) {
            let message = format!(
                "service {service} has no engine of the version at which stream {first} began"
            );
            return Err(Error::new(ErrorCode::NoBackend, message));
        }
        Ok(Some(version))
    }

    /// Finds out at which version a stream began that this host has no record of: the only one
    /// of the service, or what other hosts or the key-value service know.
    async fn find_stream_version(&self, service: &Name, key: u64) -> Result<Option<VersionTag>> {
        let only = self.log.only_version(service);
        let asked = self.peers.ask_stream_version(service, key);
        if self.streams.only_version(service).is_none() {
            // Hosts that have run longer may have seen another version leave.
            return match join(asked, only).await {
                (Ok(Some(version)), _) => Ok(Some(version)),
                (Ok(None), only) => only,
                (Err(_), _) => self.log.find(service, key).await,
            };
        }
        match first_known(only, asked, ASK_OTHERS_AFTER).await {
            (Ok(Some(version)), _) | (_, Ok(Some(version))) => Ok(Some(version)),
            (_, Ok(None)) => Ok(None),
            (Ok(None), Err(_)) => self.log.find(service, key).await,
            (Err(e), Err(_)) => Err(e),
        }
    }
}

/// Waits for `first`, and also for `second` if `first` takes longer than `delay` or has no
/// value, until one of them has a value. The output of one that was not needed is `None`.
async fn first_known<T>(
    first: impl Future<Output = Result<Option<T>>>,
    second: impl Future<Output = Result<Option<T>>>,
    delay: Duration,
) -> (Result<Option<T>>, Result<Option<T>>) {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let known = match timeout(delay, first.as_mut()).await {
        Ok(known) => known,
        Err(_) => match select(first, second.as_mut()).await {
            Either::Left((known, _)) => known,
            Either::Right((Ok(Some(value)), _)) => return (Ok(None), Ok(Some(value))),
            Either::Right((unknown, first)) => return (first.await, unknown),
        },
    };
    match known {
        Ok(Some(value)) => (Ok(Some(value)), Ok(None)),
        unknown => (unknown, second.await),
    }
}
