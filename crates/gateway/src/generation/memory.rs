//! The `memory` module owns the cache memory that a prefill engine keeps for one
//! request, so that no way out of the request leaves it behind.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::Arc;
use async_std::task;
use http::Request;
use http_body_util::Full;

use super::Generations;
use crate::dialect::{Dialect, EngineCall, MemoryRef};
use crate::http::Exchange;
use crate::metrics::Metrics;
use crate::roster::Server;

/// How long an engine is waited for that is told to free memory.
const FREE_LIMIT: Duration = Duration::from_millis(500);

/// `HeldMemory` frees the memory when it is dropped, unless a decode engine has
/// taken it.
pub(super) struct HeldMemory {
    server: Arc<Server>,
    handle: Option<String>,
    tokens: u64,
    stale_at: Instant,
    exchange: Exchange,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
}

impl HeldMemory {
    /// Owns the memory of `tokens` that `server` keeps under `handle` until `stale_at`.
    pub(super) fn new(
        generations: &Generations,
        server: Arc<Server>,
        handle: String,
        tokens: u64,
        stale_at: Instant,
    ) -> HeldMemory {
        let Generations { exchange, dialect, metrics, .. } = generations;
        HeldMemory {
            server,
            handle: Some(handle),
            tokens,
            stale_at,
            exchange: exchange.clone(),
            dialect: dialect.clone(),
            metrics: metrics.clone(),
        }
    }

    /// Tells whether the engine may have dropped the memory by `now`.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now >= self.stale_at
    }

    /// Returns the name by which a decode engine fetches the memory.
    pub(super) fn name(&self) -> MemoryRef {
        let handle = self.handle.clone().unwrap_or_default();
        MemoryRef { engine: self.server.entry.addr, handle }
    }

    /// Notes that a decode engine has taken the memory.
    pub(super) fn taken(mut self, now: Instant) {
        self.handle = None;
        self.metrics.prompt_read(self.tokens, true);
        self.server.state.health(|h| h.record_success(now));
    }

    /// Notes that the memory was not there when a decode engine wanted it, which
    /// leaves the engine out for a while: its other results may be gone as well.
    pub(super) fn lost(self, now: Instant) {
        let pause = self.server.state.health(|h| h.record_unreachable(now));
        let server = &*self.server.entry.instance;
        log::info!(event = "memory_lost", server, pause_ms = pause.as_millis() as u64; "");
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        self.metrics.prompt_read(self.tokens, false);
        let call = self.dialect.free_memory(&handle);
        let (exchange, server) = (self.exchange.clone(), self.server.clone());
        task::spawn(async move {
            let sent = exchange.send(&server, None, engine_request(call), FREE_LIMIT).await;
            match sent {
                Ok(answer) => {
                    // Only the connection depends on the body.
                    let _ = exchange.read_body(answer, FREE_BODY_BYTES, FREE_LIMIT).await;
                }
                Err(failure) => {
                    let (at, cause) = (&*server.entry.instance, failure.cause.to_string());
                    log::info!(event = "free_failed", server = at, cause = cause.as_str(); "");
                }
            }
        });
    }
}

/// The most bytes of an answer to a call that frees memory.
const FREE_BODY_BYTES: usize = 4 * 1024;

/// Returns `call` as a request.
pub fn engine_request(call: EngineCall) -> Request<Full<bytes::Bytes>> {
    let mut req = Request::new(Full::new(call.body));
    *req.method_mut() = call.method;
    // A path that is no URI is a fault of the dialect; the engine answers 404 to "/".
    *req.uri_mut() = call.path.parse().unwrap_or_default();
    *req.headers_mut() = call.headers;
    req
}
