//! The `prefill` module runs the prefill of a placed request.

use std::time::Duration;

use aspenloft_core::clock::after;
use aspenloft_core::errors::Error;
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name};

use super::memory::KvCacheGuard;
use super::{GenerationHandler, sends_exhausted};
use crate::configuration::EngineProfile;
use crate::dialect::Phase;
use crate::dispatch::Placement;
use crate::http::{FailureCause, SendFailure};
use crate::permits::SendPermit;
use crate::request::InboundRequest;
use crate::roster::Server;

/// The maximum number of prefill engines that are tried for one request.
const MAX_SENDS: usize = 2;

/// The timeout of one prefill: as long as callers wait for a first event. A shorter
/// timeout wastes the work of the engine and repeats it on one that is no less busy.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The maximum size of the response to a prefill, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 16 * 1024;

/// The share of a KV cache's lifetime in which it is used. The rest is left for the
/// transfer to a decode engine.
const USABLE_LIFETIME_SHARE: f64 = 0.8;

/// The reason why the result of a prefill cannot be used.
enum Unusable {
    Refused,
    Failed(SendFailure),
    Unreadable,
}

impl GenerationHandler {
    /// Runs the prefill and returns the prompt's KV cache, or `None` when the decode
    /// engine has to process the prompt itself. Returns an error when a request that may
    /// have reached an engine may not be sent again.
    pub(super) async fn prefill(
        &self,
        inbound: &InboundRequest,
        placement: &Placement,
        tokens: u64,
        engine: &EngineProfile,
    ) -> Result<Option<KvCacheGuard>, Error> {
        let Some(mut server) = placement.prefill.clone() else { return Ok(None) };
        let mut tried: Vec<Name> = Vec::new();
        for _ in 0..MAX_SENDS {
            let Some((permitted, permit)) =
                self.permitted_prefill_engine(inbound, placement, server, &mut tried).await
            else {
                return Ok(None);
            };
            server = permitted;
            let sent = self.send_prefill(inbound, &server, permit, tokens, engine).await;
            let unusable = match sent {
                Ok(kv_cache) => {
                    inbound.progress.record_prefill();
                    return Ok(Some(kv_cache));
                }
                Err(unusable) => unusable,
            };
            let now = self.clock.now();
            let (arrived, accepted, cause) = match &unusable {
                Unusable::Refused => (true, false, "refused".to_string()),
                Unusable::Failed(f) => (f.may_have_run(), f.may_have_run(), f.cause.to_string()),
                Unusable::Unreadable => (true, true, "unreadable".to_string()),
            };
            if let Unusable::Failed(failure) = unusable {
                failure.record_on(&server, now);
            } else {
                server.state.health(|h| h.record_unreachable(now));
            }
            let instance = &*server.entry.instance;
            log::info!(event = "prefill_failed", request = inbound.log_id(), server = instance, cause = cause.as_str(); "");
            if accepted {
                inbound.progress.record_prefill();
                self.metrics.prompt_processed(tokens, false);
            }
            // The next send is an extra one, unless the request did not reach the engine.
            // A broken connection does not show whether the engine had started.
            if arrived && !self.take_extra_send(inbound, now) {
                return Err(sends_exhausted());
            }
            // A second prefill that may run counts as an attempt of the request.
            if accepted && inbound.route.max_attempts < 2 {
                return Ok(None);
            }
            tried.push(server.entry.instance.clone());
            let decode = &placement.decode;
            let next = self.dispatcher.choose_prefill_engine(&inbound.service, decode, now, &tried);
            let Some(next) = next else { return Ok(None) };
            server = next;
        }
        Ok(None)
    }

    /// Returns `first`, or another prefill engine if its limit is reached, with a permit
    /// for it. Returns `None` when the decode engine has to process the prompt itself.
    async fn permitted_prefill_engine(
        &self,
        inbound: &InboundRequest,
        placement: &Placement,
        first: Arc<Server>,
        tried: &mut Vec<Name>,
    ) -> Option<(Arc<Server>, SendPermit)> {
        let mut server = first;
        loop {
            let max_wait = inbound.permit_wait(self.clock.now());
            if let Ok(permit) = self.permits.acquire(&server, max_wait).await {
                return Some((server, permit));
            }
            tried.push(server.entry.instance.clone());
            let (decode, now) = (&placement.decode, self.clock.now());
            server = self.dispatcher.choose_prefill_engine(&inbound.service, decode, now, tried)?;
        }
    }

    async fn send_prefill(
        &self,
        inbound: &InboundRequest,
        server: &Arc<Server>,
        permit: SendPermit,
        tokens: u64,
        engine: &EngineProfile,
    ) -> Result<KvCacheGuard, Unusable> {
        let _queued = self.loads.begin_prefill(server.key, tokens);
        let began = self.clock.now();
        let limit = inbound.remaining(began).min(PREFILL_TIMEOUT);
        let sent = self.send(inbound, server, permit, Phase::Prefill, limit).await;
        let response = sent.map_err(Unusable::Failed)?;
        let refused = response.metadata.refused();
        let success = response.head.status.is_success();
        let body = self.client.read_body(response, MAX_PREFILL_RESPONSE_BYTES, limit).await;
        if refused {
            return Err(Unusable::Refused);
        }
        let body = body.map_err(Unusable::Failed)?;
        if !success {
            let execution = Execution::Run;
            let failure = SendFailure { execution, cause: FailureCause::WrongResponse };
            return Err(Unusable::Failed(failure));
        }
        let handle =
            self.dialect.read_prefill_response(&body.bytes).map_err(|_| Unusable::Unreadable)?;
        let took = self.clock.now().saturating_duration_since(began);
        self.demand.record_prefill(&inbound.service, tokens, took);
        let stale_at = after(self.clock.now(), engine.handle_life.mul_f64(USABLE_LIFETIME_SHARE));
        Ok(KvCacheGuard::new(self, server.clone(), handle, tokens, stale_at))
    }
}
