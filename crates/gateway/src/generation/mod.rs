//! The `generation` module serves model requests: it places a request on engines, runs
//! the prefill on one engine and relays the output stream of another.
//!
//! `docs/design/platform.md` describes the steps of a request and the handling of each
//! failure.

mod decode;
mod memory;
mod prefill;
mod relay;
mod version;

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_policy::mechanisms::Mechanisms;
use http::Response;
use http_body_util::{BodyExt, StreamBody};

use crate::call::{MAX_RESPONSE_BYTES, limit_error, send_error};
use crate::configuration::EngineProfile;
use crate::crashes::Crashes;
use crate::demand::DemandTracker;
use crate::dialect::{Dialect, GenerationSize, Phase, SendMetadata};
use crate::dispatch::{Dispatcher, Placement, RunNeeds};
use crate::http::{BackendClient, BackendResponse, FailureCause, SendFailure};
use crate::loads::{EngineLoads, RunSize};
use crate::metrics::Metrics;
use crate::path::PathMonitor;
use crate::peers::Peers;
use crate::permits::{Permits, SendPermit};
use crate::request::InboundRequest;
use crate::responses::{ResponseBody, relayed_response, whole_body};
use crate::retries::RetryBudgets;
use crate::roster::{Server, StreamGuard};
use crate::stream_log::StreamLog;
use crate::stream_versions::StreamVersions;
use crate::view::View;

pub use memory::engine_request;
use relay::{EventRelay, Upstream};

/// `GenerationHandler` serves model requests.
pub struct GenerationHandler {
    /// The configuration and the servers that are known to this host.
    pub view: Arc<View>,
    /// Places requests on engines.
    pub dispatcher: Arc<Dispatcher>,
    /// Sends requests to engines.
    pub client: BackendClient,
    /// The limits of engines.
    pub permits: Arc<Permits>,
    /// Translates the platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// The budgets of extra sends.
    pub retries: Arc<RetryBudgets>,
    /// The other hosts, which share the budgets.
    pub peers: Arc<Peers>,
    /// The requests and prompts on each engine.
    pub loads: Arc<EngineLoads>,
    /// The versions at which streams began.
    pub streams: Arc<StreamVersions>,
    /// Those that have been written down.
    pub log: Arc<StreamLog>,
    /// The crashes of engines and what they speak for.
    pub crashes: Arc<Crashes>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The mechanisms that are in use.
    pub mechanisms: Mechanisms,
    /// The average demand of requests.
    pub demand: Arc<DemandTracker>,
    /// The state of the path to the engines.
    pub path: Arc<PathMonitor>,
    /// The source of time.
    pub clock: SharedClock,
}

/// The response of a decode engine that accepted the request, and the number of
/// engines that may have run it.
struct Accepted {
    response: BackendResponse,
    server: Arc<Server>,
    runs: u32,
}

impl GenerationHandler {
    /// Serves the request. The error states whether the request may have been executed.
    pub async fn serve(
        self: &Arc<Self>,
        inbound: Arc<InboundRequest>,
        requested: GenerationSize,
        engine: &EngineProfile,
    ) -> Result<Response<ResponseBody>, Error> {
        self.crashes.check(&inbound, &self.peers).await?;
        let requested = requested.bounded();
        let size = estimate_size(requested);
        let version = self.stream_version(&inbound).await?;
        let needs = RunNeeds { size, version };
        // A request that no engine can hold is refused, and is no demand for engines.
        if size.prompt < engine.memory_tokens {
            let expected = size.expected.min(engine.memory_tokens);
            self.demand.record_request(&inbound.service, RunSize { expected, ..size });
        }
        let (placement, permit) = self.place(&inbound, engine, needs).await?;
        // Engines may have crashed while the request waited.
        self.crashes.check(&inbound, &self.peers).await?;
        self.log_placed(&inbound, &placement, size);
        let placed = self.clock.now();
        let kv_cache = self.prefill(&inbound, &placement, requested.prompt_tokens, engine).await?;
        let prefilled = self.clock.now();
        let accepted = self.decode(&inbound, &placement, permit, kv_cache, needs, engine).await?;
        let Accepted { response, server, runs } = accepted;
        if !response.head.status.is_success() {
            return self.relay_failure(&inbound, response).await;
        }
        if !response.metadata.sealed {
            return Err(send_error(SendFailure::unknown(FailureCause::WrongResponse)));
        }
        self.log_first_event(&inbound, &server, placed, prefilled);
        self.metrics.first_event(self.clock.now().saturating_duration_since(inbound.arrived));
        let head = response.head.clone();
        let _stream_count = StreamGuard::begin(&server, self.clock.now());
        let upstream = Upstream { response, server, runs, _stream_count };
        let relay = EventRelay::new(
            self.clone(),
            inbound,
            placement.run,
            upstream,
            needs,
            engine.tokens_per_event,
        );
        Ok(relayed_response(&head, StreamBody::new(relay.into_stream()).boxed_unsync()))
    }

    /// Places the request on engines. The permit for the decode engine comes before the
    /// prefill, whose result would be lost without it.
    async fn place(
        &self,
        inbound: &InboundRequest,
        engine: &EngineProfile,
        needs: RunNeeds,
    ) -> Result<(Placement, SendPermit), Error> {
        loop {
            let placement = self.dispatcher.place(inbound, engine, needs).await?;
            let max_wait = inbound.permit_wait(self.clock.now());
            match self.permits.acquire(&placement.decode, max_wait).await {
                Ok(permit) => return Ok((placement, permit)),
                Err(limit) if inbound.remaining(self.clock.now()).is_zero() => {
                    return Err(limit_error(inbound, limit));
                }
                // The next placement leaves the engine out until it accepts requests.
                Err(_) => {}
            }
        }
    }

    fn log_placed(&self, inbound: &InboundRequest, placement: &Placement, size: RunSize) {
        let waited = self.clock.now().saturating_duration_since(inbound.arrived).as_millis() as u64;
        let decode = &*placement.decode.entry.instance;
        let prefill = placement.prefill.as_ref().map_or("-", |p| &*p.entry.instance);
        log::info!(
            event = "placed", request = inbound.log_id(), route = &*inbound.route.name,
            decode, prefill,
            version = &*placement.decode.entry.version, waited_ms = waited, prompt = size.prompt,
            answer = size.expected; ""
        );
    }

    fn log_first_event(
        &self,
        inbound: &InboundRequest,
        server: &Server,
        placed: Instant,
        prefilled: Instant,
    ) {
        let now = self.clock.now();
        let span = |from: Instant, to: Instant| to.saturating_duration_since(from);
        let ms = |from: Instant, to: Instant| span(from, to).as_millis() as u64;
        self.metrics.stream_started(span(placed, prefilled), span(prefilled, now));
        log::info!(
            event = "first_event", request = inbound.log_id(), server = &*server.entry.instance,
            data_centre = &*server.entry.data_centre, total_ms = ms(inbound.arrived, now),
            prefill_ms = ms(placed, prefilled),
            decode_ms = ms(prefilled, now); ""
        );
    }

    fn take_extra_send(&self, inbound: &InboundRequest, now: Instant) -> bool {
        !inbound.remaining(now).is_zero()
            && self.retries.try_extra_send(
                inbound.log_id(),
                &inbound.service,
                now,
                self.peers.budget_hosts(),
            )
    }

    /// Sends `phase` of the request to `server` and waits up to `limit` for the head of
    /// the response.
    async fn send(
        &self,
        inbound: &InboundRequest,
        server: &Server,
        permit: SendPermit,
        phase: Phase,
        limit: Duration,
    ) -> Result<BackendResponse, SendFailure> {
        let remaining = inbound.remaining(self.clock.now());
        let metadata =
            SendMetadata { instance: server.entry.instance.clone(), timeout: remaining, phase };
        let req = inbound.outbound(&*self.dialect, &metadata)?;
        self.client.send(server, permit, inbound.metadata.id.as_ref(), req, limit).await
    }

    async fn relay_failure(
        &self,
        inbound: &InboundRequest,
        response: BackendResponse,
    ) -> Result<Response<ResponseBody>, Error> {
        let head = response.head.clone();
        let remaining = inbound.remaining(self.clock.now());
        let body = self
            .client
            .read_body(response, MAX_RESPONSE_BYTES, remaining)
            .await
            .map_err(send_error)?;
        Ok(relayed_response(&head, whole_body(body)))
    }

    /// Reads the body of a refusal so that its connection can be reused.
    async fn discard(&self, refusal: BackendResponse) {
        // When the body cannot be read, only the connection is lost.
        let _ = self.client.read_body(refusal, MAX_REFUSAL_BYTES, DISCARD_TIMEOUT).await;
    }
}

/// The `Retry-After` of a request that may not be sent again: engines that restart do
/// so within a few seconds, and others have capacity sooner.
const ENGINE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the error of a request that no engine accepted within the allowed sends.
fn sends_exhausted() -> Error {
    let error = Error::new(
        ErrorCode::Overloaded,
        "no engine accepted the request within the allowed sends",
    );
    error.execution(Execution::NotRun).retry_after(ENGINE_RETRY_AFTER)
}

/// The maximum size of the body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// The timeout for reading the body of a refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Estimates the size of a request. The output is expected to have the length that the
/// caller estimates, or else half of the maximum.
fn estimate_size(requested: GenerationSize) -> RunSize {
    let expected = requested
        .expected_output_tokens
        .unwrap_or(requested.max_output_tokens / 2)
        .clamp(1, requested.max_output_tokens.max(1));
    RunSize {
        prompt: requested.prompt_tokens,
        expected,
        max_output: requested.max_output_tokens.max(1),
    }
}
