//! The `prefill` module has a prefill engine read the prompt of a placed request.

use std::time::Duration;

use aspenloft_core::errors::Error;
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name};

use super::memory::HeldMemory;
use super::{Generations, no_more_sends};
use crate::configuration::EngineProfile;
use crate::dialect::Phase;
use crate::dispatch::Placement;
use crate::http::{FailureCause, SendFailure};
use crate::request::Inbound;
use crate::roster::Server;

/// The most prefill engines that one request is offered to.
const MAX_SENDS: usize = 2;

/// The longest time for which one prefill engine is waited for: that for which
/// callers wait for a first event. What is given up sooner has been read in vain, and
/// is read again by an engine that is no less busy.
const PREFILL_LIMIT: Duration = Duration::from_millis(3_000);

/// The largest answer to a prefill, in bytes.
const ANSWER_BYTES: usize = 16 * 1024;

/// The share of its life for which memory is used; the way to a decode engine takes
/// the rest.
const USABLE_LIFE: f64 = 0.8;

/// Why a prefill engine's work cannot be used.
enum Unusable {
    Refused,
    Failed(SendFailure),
    Unreadable,
}

impl Generations {
    /// Returns the memory of the prompt that was read, or `None` when the decode
    /// engine has to read the prompt itself. It fails when an engine had the request
    /// and the budget allows no further send.
    pub(super) async fn prefill(
        &self,
        inbound: &Inbound,
        placement: &Placement,
        tokens: u64,
        engine: &EngineProfile,
    ) -> Result<Option<HeldMemory>, Error> {
        let Some(mut server) = placement.prefill.clone() else { return Ok(None) };
        let mut tried: Vec<Name> = Vec::new();
        for _ in 0..MAX_SENDS {
            let unusable = match self.prefill_at(inbound, &server, tokens, engine).await {
                Ok(memory) => return Ok(Some(memory)),
                Err(unusable) => unusable,
            };
            let now = self.clock.now();
            let (arrived, accepted, cause) = match &unusable {
                Unusable::Refused => (true, false, "refused".to_string()),
                Unusable::Failed(f) => (f.arrived(), f.arrived(), f.cause.to_string()),
                Unusable::Unreadable => (true, true, "unreadable".to_string()),
            };
            if let Unusable::Failed(failure) = unusable {
                failure.note(&server, now);
            } else {
                server.state.health(|h| h.record_unreachable(now));
            }
            let at = &*server.entry.instance;
            log::info!(event = "prefill_failed", request = inbound.id(), server = at, cause = cause.as_str(); "");
            if accepted {
                self.metrics.prompt_read(tokens, false);
            }
            // Whatever follows is an extra send, unless the engine had begun to read,
            // which a broken connection does not tell.
            if arrived && !self.may_send_again(inbound, now) {
                return Err(no_more_sends());
            }
            // A second prefill that may run counts as an attempt of the request.
            if accepted && inbound.route.max_attempts < 2 {
                return Ok(None);
            }
            tried.push(server.entry.instance.clone());
            let decode = &placement.decode;
            let next = self.dispatcher.prefill_engine(&inbound.service, decode, now, &tried);
            let Some(next) = next else { return Ok(None) };
            server = next;
        }
        Ok(None)
    }

    async fn prefill_at(
        &self,
        inbound: &Inbound,
        server: &Arc<Server>,
        tokens: u64,
        engine: &EngineProfile,
    ) -> Result<HeldMemory, Unusable> {
        let _queued = self.loads.begin_prefill(server.key, tokens);
        let began = self.clock.now();
        let limit = inbound.left(began).min(PREFILL_LIMIT);
        let sent = self.send(inbound, server, Phase::Prefill, limit).await;
        let answer = sent.map_err(Unusable::Failed)?;
        let refused = answer.terms.refused();
        let success = answer.head.status.is_success();
        let body = self.exchange.read_body(answer, ANSWER_BYTES, limit).await;
        if refused {
            return Err(Unusable::Refused);
        }
        let body = body.map_err(Unusable::Failed)?;
        if !success {
            let execution = Execution::Run;
            let failure = SendFailure { execution, cause: FailureCause::WrongAnswer };
            return Err(Unusable::Failed(failure));
        }
        let handle = self.dialect.read_prefill(&body).map_err(|_| Unusable::Unreadable)?;
        let took = self.clock.now().saturating_duration_since(began);
        self.demand.prefilled(&inbound.service, tokens, took);
        let stale_at = self.clock.now() + engine.handle_life.mul_f64(USABLE_LIFE);
        Ok(HeldMemory::new(self, server.clone(), handle, tokens, stale_at))
    }
}
