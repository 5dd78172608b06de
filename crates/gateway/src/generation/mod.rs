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

use crate::answers::{AnswerBody, relayed, whole};
use crate::call::{MAX_ANSWER_BYTES, error_of};
use crate::configuration::EngineProfile;
use crate::demand::DemandTracker;
use crate::dialect::{Dialect, GenerationNeed, Phase, SendTerms};
use crate::dispatch::{Dispatcher, Placement};
use crate::http::{Answer, Exchange, FailureCause, SendFailure};
use crate::loads::{EngineLoads, RunSize};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::request::Inbound;
use crate::retries::Retries;
use crate::roster::{Server, StreamGuard};
use crate::view::View;

pub use memory::engine_request;
use relay::{EventRelay, Upstream};

/// `Generations` serves model requests.
pub struct Generations {
    /// What the host believes.
    pub view: Arc<View>,
    /// Places requests.
    pub dispatcher: Arc<Dispatcher>,
    /// Sends requests.
    pub exchange: Exchange,
    /// Translates heads.
    pub dialect: Arc<dyn Dialect>,
    /// Bounds extra sends.
    pub retries: Arc<Retries>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// What is on the engines.
    pub loads: Arc<EngineLoads>,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// What requests need on average.
    pub demand: Arc<DemandTracker>,
    /// Tells the time.
    pub clock: SharedClock,
}

/// A decode engine's answer, and what was spent on getting it.
struct Accepted {
    answer: Answer,
    server: Arc<Server>,
    runs: u32,
}

impl Generations {
    /// Serves the request; the error says what is known of its fate.
    pub async fn serve(
        self: &Arc<Self>,
        inbound: Arc<Inbound>,
        need: GenerationNeed,
        engine: &EngineProfile,
    ) -> Result<Response<AnswerBody>, Error> {
        let size = size_of(need);
        self.demand.record_request(&inbound.service, size);
        if self.peers.is_poisonous_request(inbound.fingerprint()) {
            let error = Error::new(ErrorCode::Poisonous, "servers broke off on this request");
            return Err(error.execution(Execution::Unknown));
        }
        let placement = self.dispatcher.place(&inbound, engine, size).await?;
        self.log_placed(&inbound, &placement, size);
        let placed = self.clock.now();
        let memory = self.prefill(&inbound, &placement, need.prompt, engine).await?;
        let read = self.clock.now();
        let accepted = self.decode(&inbound, &placement, memory, size, engine).await?;
        let Accepted { answer, server, runs } = accepted;
        if !answer.head.status.is_success() {
            return self.relay_failure(&inbound, answer).await;
        }
        if !answer.terms.sealed {
            return Err(error_of(SendFailure::unknown(FailureCause::WrongAnswer)));
        }
        self.log_first_event(&inbound, &server, placed, read);
        self.metrics.first_event(self.clock.now().saturating_duration_since(inbound.arrived));
        let head = answer.head.clone();
        let _stream = StreamGuard::begin(&server, self.clock.now());
        let upstream = Upstream { answer, server, runs, _stream };
        let relay = EventRelay::new(
            self.clone(),
            inbound,
            placement.run,
            upstream,
            size,
            engine.tokens_per_event,
        );
        Ok(relayed(&head, StreamBody::new(relay.into_stream()).boxed_unsync()))
    }

    fn log_placed(&self, inbound: &Inbound, placement: &Placement, size: RunSize) {
        let waited = self.clock.now().saturating_duration_since(inbound.arrived).as_millis() as u64;
        let decode = &*placement.decode.entry.instance;
        let prefill = placement.prefill.as_ref().map_or("-", |p| &*p.entry.instance);
        log::info!(
            event = "placed", request = inbound.id(), decode, prefill, waited_ms = waited,
            prompt = size.prompt, answer = size.expected; ""
        );
    }

    fn log_first_event(&self, inbound: &Inbound, server: &Server, placed: Instant, read: Instant) {
        let now = self.clock.now();
        let span = |from: Instant, to: Instant| to.saturating_duration_since(from);
        let ms = |from: Instant, to: Instant| span(from, to).as_millis() as u64;
        self.metrics.stream_started(span(placed, read), span(read, now));
        log::info!(
            event = "first_event", request = inbound.id(), server = &*server.entry.instance,
            total_ms = ms(inbound.arrived, now), prefill_ms = ms(placed, read),
            decode_ms = ms(read, now); ""
        );
    }

    fn may_send_again(&self, inbound: &Inbound, now: Instant) -> bool {
        !inbound.left(now).is_zero()
            && self.retries.try_extra(
                inbound.id(),
                &inbound.service,
                now,
                self.peers.budget_hosts(),
            )
    }

    /// Sends `phase` of the request to `server` and waits up to `limit` for the head of
    /// the answer.
    async fn send(
        &self,
        inbound: &Inbound,
        server: &Server,
        phase: Phase,
        limit: Duration,
    ) -> Result<Answer, SendFailure> {
        let left = inbound.left(self.clock.now());
        let terms = SendTerms { instance: server.entry.instance.clone(), patience: left, phase };
        let req = inbound.outbound(&*self.dialect, &terms);
        self.exchange.send(server, inbound.terms.id.as_ref(), req, limit).await
    }

    async fn relay_failure(
        &self,
        inbound: &Inbound,
        answer: Answer,
    ) -> Result<Response<AnswerBody>, Error> {
        let head = answer.head.clone();
        let left = inbound.left(self.clock.now());
        let body =
            self.exchange.read_body(answer, MAX_ANSWER_BYTES, left).await.map_err(error_of)?;
        Ok(relayed(&head, whole(body)))
    }

    /// Reads the rest of a refusal, so that its connection can be kept.
    async fn discard(&self, refusal: Answer) {
        // A refusal whose body is lost costs its connection only.
        let _ = self.exchange.read_body(refusal, MAX_ANSWER_BYTES, DISCARD_LIMIT).await;
    }
}

/// When a caller should come back whose request may not be sent again: engines that
/// come back do so within a few seconds, and others have room sooner.
const ENGINE_EXPECTED_IN: Duration = Duration::from_millis(500);

/// Returns the failure of a request that no engine took in the sends that it had.
fn no_more_sends() -> Error {
    let error = Error::new(ErrorCode::Overloaded, "no engine took the request in its sends");
    error.execution(Execution::NotRun).retry_after(ENGINE_EXPECTED_IN)
}

/// How long the rest of a refusal is waited for.
const DISCARD_LIMIT: Duration = Duration::from_millis(200);

/// Returns what the request is expected to need: the caller's estimate is right at
/// the median, and half of what is allowed where there is none.
fn size_of(need: GenerationNeed) -> RunSize {
    let expected = need.hint.unwrap_or(need.most / 2).clamp(1, need.most.max(1));
    RunSize { prompt: need.prompt, expected, max_answer: need.most.max(1) }
}
