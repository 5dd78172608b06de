//! The `memory` module owns the KV cache that a prefill engine keeps for one request,
//! so that it is freed however the request ends.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::Arc;
use aspenloft_policy::stream_versions::VersionTag;
use async_std::task;
use http::Request;
use http_body_util::Full;

use super::GenerationHandler;
use crate::dialect::{Dialect, EngineCall, KvCacheRef};
use crate::http::BackendClient;
use crate::metrics::Metrics;
use crate::permits::Permits;
use crate::roster::Server;

/// The timeout of a call that frees a KV cache.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// `KvCacheGuard` frees the KV cache when it is dropped, unless a decode engine has
/// fetched it.
pub(super) struct KvCacheGuard {
    server: Arc<Server>,
    handle: Option<String>,
    tokens: u64,
    stale_at: Instant,
    client: BackendClient,
    dialect: Arc<dyn Dialect>,
    permits: Arc<Permits>,
    metrics: Arc<Metrics>,
}

impl KvCacheGuard {
    /// Creates the guard of the KV cache of `tokens` tokens that `server` keeps under
    /// `handle` until `stale_at`.
    pub(super) fn new(
        generations: &GenerationHandler,
        server: Arc<Server>,
        handle: String,
        tokens: u64,
        stale_at: Instant,
    ) -> KvCacheGuard {
        let GenerationHandler { client, dialect, permits, metrics, .. } = generations;
        KvCacheGuard {
            server,
            handle: Some(handle),
            tokens,
            stale_at,
            client: client.clone(),
            dialect: dialect.clone(),
            permits: permits.clone(),
            metrics: metrics.clone(),
        }
    }

    /// Returns whether the engine may have evicted the KV cache by `now`.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now >= self.stale_at
    }

    /// Returns the version of the engine that wrote the KV cache.
    pub(super) fn version(&self) -> VersionTag {
        self.server.version
    }

    /// Returns the reference with which a decode engine fetches the KV cache.
    pub(super) fn cache_ref(&self) -> KvCacheRef {
        let handle = self.handle.clone().unwrap_or_default();
        KvCacheRef { engine: self.server.entry.addr, handle }
    }

    /// Records that a decode engine has fetched the KV cache, so that dropping the guard
    /// does not free it.
    pub(super) fn mark_fetched(mut self, now: Instant) {
        self.handle = None;
        self.metrics.prompt_processed(self.tokens, true);
        self.server.state.health(|h| h.record_success(now));
    }

    /// Records that the KV cache was lost before a decode engine fetched it. Excludes
    /// the prefill engine for a while, because its other caches may be lost as well.
    pub(super) fn mark_lost(self, now: Instant) {
        let pause = self.server.state.health(|h| h.record_unreachable(now));
        let server = &*self.server.entry.instance;
        log::info!(event = "memory_lost", server, pause_ms = pause.as_millis() as u64; "");
    }
}

impl Drop for KvCacheGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        self.metrics.prompt_processed(self.tokens, false);
        // An engine with a limit frees the cache by itself when its lifetime is over.
        let Some(permit) = self.permits.try_optional(&self.server) else { return };
        let call = self.dialect.free_kv_cache_call(&handle);
        let (client, server) = (self.client.clone(), self.server.clone());
        task::spawn(async move {
            let sent = client.send(&server, permit, None, engine_request(call), FREE_TIMEOUT).await;
            match sent {
                Ok(response) => {
                    // The body is only read so that the connection can be reused.
                    let _ = client.read_body(response, MAX_FREE_RESPONSE_BYTES, FREE_TIMEOUT).await;
                }
                Err(failure) => {
                    let (instance, cause) = (&*server.entry.instance, failure.cause.to_string());
                    log::info!(event = "free_failed", server = instance, cause = cause.as_str(); "");
                }
            }
        });
    }
}

/// The maximum size of the response to a call that frees a KV cache, in bytes.
const MAX_FREE_RESPONSE_BYTES: usize = 4 * 1024;

/// Builds the HTTP request of `call`.
pub fn engine_request(call: EngineCall) -> Request<Full<bytes::Bytes>> {
    let mut req = Request::new(Full::new(call.body));
    *req.method_mut() = call.method;
    // An invalid path is a bug of the dialect, which encodes what others have chosen. It
    // becomes "/", to which the engine responds with 404.
    *req.uri_mut() = call.path.parse().unwrap_or_default();
    *req.headers_mut() = call.headers;
    req
}
