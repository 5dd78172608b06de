//! The `generation` module serves model requests: a place on the engines, the
//! prompt read on one engine, and the answer streamed by another.
//!
//! `docs/design/platform.md` has the way of a request and what each loss leads to.

mod decode;
mod memory;
mod prefill;
mod relay;

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, SharedClock};
use http::Response;
use http_body_util::{BodyExt, StreamBody};

use crate::call::{MAX_RESPONSE_BYTES, send_error};
use crate::configuration::EngineProfile;
use crate::demand::DemandBook;
use crate::dialect::{Dialect, GenerationSize, Phase, SendMetadata};
use crate::dispatch::{Dispatcher, Placement};
use crate::http::{BackendClient, BackendResponse, FailureCause, SendFailure};
use crate::loads::{Loads, RunSize};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::request::InboundRequest;
use crate::responses::{ResponseBody, full_body, relayed_response};
use crate::retries::RetryBudgets;
use crate::roster::{Server, StreamCount};
use crate::view::View;

pub use memory::engine_request;
use relay::{EventRelay, Upstream};

/// `GenerationHandler` serves model requests.
pub struct GenerationHandler {
    /// What the host believes.
    pub view: Arc<View>,
    /// Places requests.
    pub dispatcher: Arc<Dispatcher>,
    /// Sends requests.
    pub client: BackendClient,
    /// Translates heads.
    pub dialect: Arc<dyn Dialect>,
    /// Bounds extra sends.
    pub retries: Arc<RetryBudgets>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// What is on the engines.
    pub loads: Arc<Loads>,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// What requests need on average.
    pub demand: Arc<DemandBook>,
    /// Tells the time.
    pub clock: SharedClock,
}

/// A decode engine's answer, and what was spent on getting it.
struct Accepted {
    response: BackendResponse,
    server: Arc<Server>,
    runs: u32,
}

impl GenerationHandler {
    /// Serves the request; the error says what is known of its fate.
    pub async fn serve(
        self: &Arc<Self>,
        inbound: Arc<InboundRequest>,
        requested: GenerationSize,
        engine: &EngineProfile,
    ) -> Result<Response<ResponseBody>, Error> {
        let size = estimate_size(requested);
        self.demand.request(&inbound.service, size);
        if self.peers.is_convicted(inbound.fingerprint()) {
            let error = Error::new(ErrorCode::Poisonous, "servers broke off on this request");
            return Err(error.execution(Execution::Unknown));
        }
        let placement = self.dispatcher.place(&inbound, engine, size).await?;
        self.log_placed(&inbound, &placement, size);
        let placed = self.clock.now();
        let kv_cache = self.prefill(&inbound, &placement, requested.prompt_tokens, engine).await?;
        let prefilled = self.clock.now();
        let accepted = self.decode(&inbound, &placement, kv_cache, size, engine).await?;
        let Accepted { response, server, runs } = accepted;
        if !response.head.status.is_success() {
            return self.relay_failure(&inbound, response).await;
        }
        if !response.metadata.sealed {
            return Err(send_error(SendFailure::unknown(FailureCause::WrongAnswer)));
        }
        self.log_first_event(&inbound, &server, placed, prefilled);
        self.metrics.first_event(self.clock.now().saturating_duration_since(inbound.arrived));
        let head = response.head.clone();
        let _stream_count = StreamCount::begin(&server, self.clock.now());
        let upstream = Upstream { response, server, runs, _stream_count };
        let relay = EventRelay::new(
            self.clone(),
            inbound,
            placement.run,
            upstream,
            size,
            engine.tokens_per_event,
        );
        Ok(relayed_response(&head, StreamBody::new(relay.into_stream()).boxed_unsync()))
    }

    fn log_placed(&self, inbound: &InboundRequest, placement: &Placement, size: RunSize) {
        let waited = self.clock.now().saturating_duration_since(inbound.arrived).as_millis() as u64;
        let decode = &*placement.decode.entry.instance;
        let prefill = placement.prefill.as_ref().map_or("-", |p| &*p.entry.instance);
        log::info!(
            event = "placed", request = inbound.log_id(), decode, prefill, waited_ms = waited,
            prompt = size.prompt, answer = size.expected; ""
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
        self.metrics.begun(span(placed, prefilled), span(prefilled, now));
        log::info!(
            event = "first_event", request = inbound.log_id(), server = &*server.entry.instance,
            total_ms = ms(inbound.arrived, now), prefill_ms = ms(placed, prefilled),
            decode_ms = ms(prefilled, now); ""
        );
    }

    fn take_extra_send(&self, inbound: &InboundRequest, now: Instant) -> bool {
        !inbound.remaining(now).is_zero()
            && self.retries.try_extra_send(
                inbound.log_id(),
                &inbound.service,
                now,
                self.peers.live_hosts(),
            )
    }

    /// Sends `phase` of the request to `server` and waits up to `limit` for the head of
    /// the answer.
    async fn send(
        &self,
        inbound: &InboundRequest,
        server: &Server,
        phase: Phase,
        limit: Duration,
    ) -> Result<BackendResponse, SendFailure> {
        let remaining = inbound.remaining(self.clock.now());
        let metadata =
            SendMetadata { instance: server.entry.instance.clone(), timeout: remaining, phase };
        let req = inbound.outbound(&*self.dialect, &metadata);
        self.client.send(server, inbound.metadata.id.as_ref(), req, limit).await
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
        Ok(relayed_response(&head, full_body(body)))
    }

    /// Reads the rest of a refusal, so that its connection can be kept.
    async fn discard(&self, refusal: BackendResponse) {
        // A refusal whose body is lost costs its connection only.
        let _ = self.client.read_body(refusal, MAX_RESPONSE_BYTES, DISCARD_TIMEOUT).await;
    }
}

/// When a caller should come back whose request may not be sent again: engines that
/// come back do so within a few seconds, and others have room sooner.
const ENGINE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the failure of a request that no engine took in the sends that it had.
fn sends_exhausted() -> Error {
    let error = Error::new(ErrorCode::Overloaded, "no engine took the request in its sends");
    error.execution(Execution::NotRun).retry_after(ENGINE_RETRY_AFTER)
}

/// How long the rest of a refusal is waited for.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns what the request is expected to need: the caller's estimate is right at
/// the median, and half of what is allowed where there is none.
fn estimate_size(requested: GenerationSize) -> RunSize {
    let expected = requested
        .expected_output_tokens
        .unwrap_or(requested.max_output_tokens / 2)
        .clamp(1, requested.max_output_tokens.max(1));
    RunSize { prompt: requested.prompt_tokens, expected, most: requested.max_output_tokens.max(1) }
}
