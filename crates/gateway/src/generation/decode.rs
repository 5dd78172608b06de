//! The `decode` module sends a placed request to decode engines until one accepts it.
//!
//! Each send refers to the prompt's KV cache while the prefill engine keeps it. The
//! outcome of a send determines the next one: to another engine, to the same engine
//! without the KV cache, or none.

use std::time::Instant;

use aspenloft_core::errors::Error;
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name};

use super::memory::KvCacheGuard;
use super::{Accepted, GenerationHandler, sends_exhausted};
use crate::call::send_error;
use crate::configuration::EngineProfile;
use crate::dialect::Phase;
use crate::dispatch::{Placement, RunNeeds};
use crate::http::{BackendResponse, FailureCause, SendFailure};
use crate::permits::SendPermit;
use crate::request::InboundRequest;
use crate::roster::Server;

/// The maximum number of sends to decode engines for one request, whatever their
/// outcomes.
const MAX_SENDS: usize = 4;

/// A key that no server has. A run that is reassigned to it counts on no engine.
const NO_SERVER: u64 = 0;

/// `EngineSearch` is the state of the search for a decode engine.
struct EngineSearch {
    /// The engine of the next send.
    server: Arc<Server>,
    /// The permit for `server`, until it is used.
    permit: Option<SendPermit>,
    /// The prompt's KV cache.
    kv_cache: Option<KvCacheGuard>,
    /// A KV cache with which an engine refused the request although it is not full:
    /// either the cache is lost, or the engine accepts no work. The next send, without
    /// the cache, shows which.
    unconfirmed: Option<KvCacheGuard>,
    /// The engines that are not tried again.
    tried: Vec<Name>,
    /// How many engines may have run the request.
    runs: u32,
    /// The last failure of a send after which the request may have run.
    failure: Option<SendFailure>,
}

/// The outcome of one send.
enum SendOutcome {
    Accepted(Box<BackendResponse>),
    /// The engine did not run the request; `full` if it has no capacity.
    Refused {
        full: bool,
    },
    Failed(SendFailure),
}

impl GenerationHandler {
    /// Sends the request to decode engines until one accepts it.
    pub(super) async fn decode(
        &self,
        inbound: &InboundRequest,
        placement: &Placement,
        permit: SendPermit,
        kv_cache: Option<KvCacheGuard>,
        needs: RunNeeds,
        engine: &EngineProfile,
    ) -> Result<Accepted, Error> {
        let mut search = EngineSearch {
            server: placement.decode.clone(),
            permit: Some(permit),
            kv_cache,
            unconfirmed: None,
            tried: Vec::new(),
            runs: inbound.progress.runs(),
            failure: None,
        };
        for _ in 0..MAX_SENDS {
            let now = self.clock.now();
            if inbound.remaining(now).is_zero() {
                break;
            }
            // Another host may reach what this one does not.
            if !search.tried.is_empty() && self.path.is_cut() {
                break;
            }
            if !self.is_staying(&search.server, now) {
                // The engine started to leave during the prefill.
                self.select_next_engine(inbound, placement, needs, &mut search, true).await?;
            }
            let Some(permit) = self.permit_for(inbound, &mut search).await else {
                let may_wait = search.runs == 0;
                if self.select_next_engine(inbound, placement, needs, &mut search, may_wait).await?
                {
                    continue;
                }
                break;
            };
            if let Err(e) = self.crashes.check(inbound, &self.peers).await {
                let has_run = search.runs > 0;
                return Err(if has_run { e.execution(Execution::Unknown) } else { e });
            }
            if inbound.progress.has_arrived() && !self.take_extra_send(inbound, now) {
                break;
            }
            let with_kv_cache = search.kv_cache.is_some();
            let try_another = match self.send_once(inbound, permit, engine, &mut search).await {
                SendOutcome::Accepted(response) => {
                    let EngineSearch { server, runs, .. } = search;
                    return Ok(Accepted { response: *response, server, runs: runs + 1 });
                }
                SendOutcome::Refused { full } => {
                    inbound.progress.record_arrival();
                    self.log_decode_failure(inbound, &search.server, None, with_kv_cache);
                    if inbound.is_trial() {
                        break;
                    }
                    // A refusal with a KV cache mostly means that the cache is lost, and
                    // the same engine can process the prompt itself.
                    full || !with_kv_cache
                }
                SendOutcome::Failed(failure) => {
                    self.log_decode_failure(inbound, &search.server, Some(failure), with_kv_cache);
                    self.record_failure(inbound, &mut search, failure)?;
                    true
                }
            };
            let may_wait = search.runs == 0;
            if try_another
                && !self
                    .select_next_engine(inbound, placement, needs, &mut search, may_wait)
                    .await?
            {
                break;
            }
        }
        let execution = if search.runs > 0 { Execution::Unknown } else { Execution::NotRun };
        Err(search.failure.map_or_else(sends_exhausted, send_error).execution(execution))
    }

    /// Returns the permit for the engine of `search`, a new one if it has expired during the
    /// prefill, or `None` if the engine's limit is reached.
    async fn permit_for(
        &self,
        inbound: &InboundRequest,
        search: &mut EngineSearch,
    ) -> Option<SendPermit> {
        let now = self.clock.now();
        let kept = search.permit.take().filter(|permit| permit.is_valid(&search.server, now));
        match kept {
            Some(permit) => Some(permit),
            None => self.permits.acquire(&search.server, inbound.permit_wait(now)).await.ok(),
        }
    }

    /// Sends the request to the engine of `search`, with the KV cache if there is one.
    async fn send_once(
        &self,
        inbound: &InboundRequest,
        permit: SendPermit,
        engine: &EngineProfile,
        search: &mut EngineSearch,
    ) -> SendOutcome {
        let cache = search.kv_cache.take();
        let phase = Phase::Decode {
            kv_cache: cache.as_ref().map(KvCacheGuard::cache_ref),
            last_event: None,
        };
        let remaining = inbound.remaining(self.clock.now());
        inbound.progress.begin_send();
        let sent = self.send(inbound, &search.server, permit, phase, remaining).await;
        let is_unrun = match &sent {
            Ok(response) => response.metadata.refused(),
            Err(failure) => !failure.may_have_run(),
        };
        if is_unrun {
            inbound.progress.end_send_unrun();
        }
        let now = self.clock.now();
        match sent {
            Ok(response) if !response.metadata.refused() => {
                if let Some(cache) = cache {
                    cache.mark_fetched(now);
                }
                if let Some(lost_cache) = search.unconfirmed.take() {
                    lost_cache.mark_lost(now);
                }
                search.server.state.health(|h| h.record_success(now));
                SendOutcome::Accepted(Box::new(response))
            }
            Ok(refusal) => {
                self.discard(refusal).await;
                let now = self.clock.now();
                let full =
                    !self.dispatcher.record_refusal(&search.server, engine.memory_tokens, now);
                match cache {
                    // The engine is full, so another engine may use the cache.
                    Some(cache) if full && !cache.is_stale(now) => search.kv_cache = Some(cache),
                    Some(cache) if !full => search.unconfirmed = Some(cache),
                    None if !full => {
                        self.exclude_closed_engine(&search.server, now);
                        search.kv_cache =
                            search.unconfirmed.take().filter(|cache| !cache.is_stale(now));
                    }
                    _ => {}
                }
                SendOutcome::Refused { full }
            }
            Err(failure) => {
                // The cache is still unused when the request did not reach the engine.
                search.kv_cache = cache.filter(|_| !failure.may_have_run());
                SendOutcome::Failed(failure)
            }
        }
    }

    /// Records a failed send. Returns an error when the request may not be sent again.
    fn record_failure(
        &self,
        inbound: &InboundRequest,
        search: &mut EngineSearch,
        failure: SendFailure,
    ) -> Result<(), Error> {
        failure.record_on(&search.server, self.clock.now());
        if !failure.may_have_run() {
            return Ok(());
        }
        inbound.progress.record_run();
        search.runs += 1;
        search.failure = Some(failure);
        if failure.cause == FailureCause::Broken {
            self.crashes.report(inbound, &search.server, &self.peers);
        }
        let route = &inbound.route;
        let may_rerun = route.repeat.allows_rerun() && search.runs < route.max_attempts;
        if may_rerun && !self.crashes.is_suspect(inbound) {
            return Ok(());
        }
        Err(send_error(failure))
    }

    /// Selects the engine of the next send and waits for capacity if `may_wait` is set.
    /// Returns false when no engine has capacity and `may_wait` is not set.
    async fn select_next_engine(
        &self,
        inbound: &InboundRequest,
        placement: &Placement,
        needs: RunNeeds,
        search: &mut EngineSearch,
        may_wait: bool,
    ) -> Result<bool, Error> {
        search.tried.push(search.server.entry.instance.clone());
        let now = self.clock.now();
        let choose = |needs| {
            self.dispatcher.choose_decode_engine(&inbound.service, needs, now, &search.tried)
        };
        // Another engine can only use the KV cache at the version that wrote it.
        let cached = search.kv_cache.as_ref().map(KvCacheGuard::version);
        let with_cache = RunNeeds { version: needs.version.or(cached), ..needs };
        search.server = match choose(with_cache).or_else(|| choose(needs)) {
            Some(next) => next,
            None if may_wait => {
                // While the request waits, it must not count on its previous engine.
                placement.run.reassign(NO_SERVER);
                self.dispatcher.place_again(inbound, needs).await?.decode
            }
            None => return Ok(false),
        };
        placement.run.reassign(search.server.key);
        let (version, now) = (search.server.version, self.clock.now());
        search.kv_cache =
            search.kv_cache.take().filter(|c| !c.is_stale(now) && c.version() == version);
        Ok(true)
    }

    fn is_staying(&self, server: &Server, now: Instant) -> bool {
        let roster = self.view.roster();
        roster.get(&server.entry.instance).is_some_and(|listed| listed.is_staying(now))
    }

    /// Excludes an engine for a while that refuses work although it is not full, as
    /// engines do while they change their role.
    fn exclude_closed_engine(&self, server: &Server, now: Instant) {
        let pause = server.state.health(|h| h.record_unreachable(now));
        let (instance, pause_ms) = (&*server.entry.instance, pause.as_millis() as u64);
        log::info!(event = "engine_closed", server = instance, pause_ms; "");
    }

    fn log_decode_failure(
        &self,
        inbound: &InboundRequest,
        server: &Server,
        failure: Option<SendFailure>,
        with_kv_cache: bool,
    ) {
        let outcome = failure.map_or("refused".to_string(), |f| f.cause.to_string());
        let parts = inbound.log_parts();
        log::info!(
            event = "decode_failed", request = inbound.log_id(), server = &*server.entry.instance,
            outcome = outcome.as_str(), with_memory = with_kv_cache, parts = parts.as_str(); ""
        );
    }
}
