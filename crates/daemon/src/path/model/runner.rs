//! The `runner` module runs one model request, with further attempts after failures
//! for as long as its deadline and the attempt limit allow.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Name, Tokens};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus};
use aspenloft_core::units::estimate_tokens;
use aspenloft_policy::admission::Arrival;
use aspenloft_policy::estimate::RowWeights;
use aspenloft_policy::fair_queue::Flow;
use aspenloft_policy::progress::Progress;
use aspenloft_protocol::engine::FinishReason;
use aspenloft_protocol::peer::home::ReserveRequest;
use async_std::channel::Sender;
use async_std::task;

use super::reservation::{Reservation, ReserveOutcome, request_reservation};
use super::{ModelEvent, ModelRequest};
use crate::node::Node;
use crate::suspects;

/// The maximum number of attempts of one request, the first one and resumes included.
const MAX_ATTEMPTS: u32 = 4;

/// The maximum number of pairs of servers that one attempt tries to reserve before it
/// waits or gives up.
const MAX_RESERVE_TRIES: u32 = 6;

/// How long an admitted request waits before it tries to reserve servers again.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The least time that a retry or resume gets, even when its target has passed.
const MIN_RETRY_TIME: Duration = Duration::from_millis(500);

/// How long a suspect request whose server died may wait for a server on which no
/// other suspect runs.
const SUSPECT_RETRY_TIME: Duration = Duration::from_secs(10);

/// The `Retry-After` of a refusal for which no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `ReservedPair` is a pair of servers with a reservation on each.
pub struct ReservedPair {
    /// The reservation on the prefill server.
    pub prefill: Reservation,
    /// The reservation of a slot on the decode server.
    pub decode: Reservation,
}

/// `RequestRunner` holds the state of one model request over all its attempts.
pub struct RequestRunner<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) req: &'a ModelRequest,
    pub(super) tx: &'a Sender<ModelEvent>,
    pub(super) prompt: Tokens,
    pub(super) fingerprint: Fingerprint,
    pub(super) progress: Progress,
    /// Whether an engine has run the request, as far as is known.
    pub(super) execution: Execution,
    /// Whether the last attempt has run a prefill, or may have.
    pub(super) prefill_may_have_run: bool,
    /// Servers that failed this request, which later attempts avoid.
    pub(super) avoid: Vec<Name>,
    started: Instant,
    /// When the next token must have been generated.
    deadline: Instant,
}

impl<'a> RequestRunner<'a> {
    /// Creates the runner of a request that has just arrived.
    pub fn new(node: &'a Arc<Node>, req: &'a ModelRequest, tx: &'a Sender<ModelEvent>) -> Self {
        let started = node.clock.now();
        RequestRunner {
            node,
            req,
            tx,
            prompt: estimate_tokens(req.prompt.len()),
            fingerprint: Fingerprint::of(&req.row.serves, &req.prompt),
            progress: Progress::default(),
            execution: Execution::NotRun,
            prefill_may_have_run: false,
            avoid: Vec::new(),
            started,
            deadline: started + req.row.ttft,
        }
    }

    /// Admits the request and runs attempts until one completes or none may follow.
    pub async fn run(mut self) -> Result<()> {
        let mut reserved = Some(self.admit().await?);
        self.node.router.deposit_retry_share(&self.req.row, self.node.clock.now());
        let mut attempts = 1;
        loop {
            let sent = self.progress.next_index();
            self.prefill_may_have_run = false;
            let outcome = match reserved.take() {
                Some(reserved) => self.attempt(reserved).await,
                None => self.retry().await,
            };
            let Err(e) = outcome else { return Ok(()) };
            self.execution = combined_execution(self.execution, e.execution);
            if self.tx.is_closed() {
                return Err(Error::new(ErrorCode::Cancelled, "caller disconnected")
                    .execution(self.execution));
            }
            if self.is_complete() {
                return self.finish(FinishReason::Length).await;
            }
            self.note_event(format!("attempt {attempts} ended: {e}"));
            // A late answer is better for the caller than none: after the first attempt,
            // and after each one that sent tokens, the request gets a new deadline.
            if attempts == 1 || self.progress.next_index() > sent {
                self.deadline = self.node.clock.now() + self.retry_time();
            }
            // The request may have been convicted since the attempt began.
            suspects::reject_convicted(self.node, self.fingerprint)
                .map_err(|e| e.execution(self.execution))?;
            let exhausted = attempts >= MAX_ATTEMPTS || self.node.clock.now() >= self.deadline;
            if exhausted || !is_retryable(e.code) || !self.may_retry() {
                return Err(self.final_error(e));
            }
            attempts += 1;
            self.node.metrics.count_retry(&self.req.row.name);
        }
    }

    /// Waits for admission and reserves a pair of servers.
    async fn admit(&mut self) -> Result<ReservedPair> {
        loop {
            let left = self.time_left();
            let choice =
                self.node.router.choose(self.node, self.req, self.prompt, left, &self.avoid);
            let service = match choice.best() {
                Some((pair, _, _)) if choice.has_measured_prefill() => pair.ttft(),
                _ => Duration::ZERO,
            };
            let has_capacity = choice.best().is_some();
            let arrival = self.arrival(left, service);
            self.node
                .admission
                .admit(self.node, &self.req.row.serves, &arrival, has_capacity)
                .await?;
            match self.reserve_pair().await {
                Err(e)
                    if e.code == ErrorCode::Overloaded
                        && self.time_left() > RESERVE_RETRY_DELAY =>
                {
                    task::sleep(RESERVE_RETRY_DELAY).await;
                }
                other => return other,
            }
        }
    }

    /// Returns whether another attempt may follow. One that repeats a prefill is charged
    /// to the row's retry budget. A resume, and a retry of an attempt that ran no
    /// prefill, are not charged, because they waste no work.
    fn may_retry(&self) -> bool {
        if self.progress.next_index() > 0 || !self.prefill_may_have_run {
            return true;
        }
        let now = self.node.clock.now();
        self.node.router.withdraw_retry(&self.req.row, now, self.time_left(), Duration::ZERO)
    }

    /// Returns how long another attempt may take to its next token. A suspect request
    /// gets longer, because it may have to wait for a server without other suspects.
    fn retry_time(&self) -> Duration {
        match suspects::status(self.node, self.fingerprint) {
            SuspectStatus::Clear => self.req.row.ttft.max(MIN_RETRY_TIME),
            _ => self.req.row.ttft.max(SUSPECT_RETRY_TIME),
        }
    }

    fn arrival(&self, left: Duration, service: Duration) -> Arrival {
        let row = &self.req.row;
        let waited = self.node.clock.now().duration_since(self.started);
        Arrival {
            ticket: self.node.admission.next_ticket(),
            flow: Flow { row: row.name.clone(), caller: self.req.caller.clone() },
            row_weight: row.weight,
            caller_weight: self.req.caller_weight,
            priority: row.priority,
            cost: self.expected_tokens().0 as f64,
            deadline: left,
            service,
            queue: row.queue.saturating_sub(waited),
            queue_length: row.queue_length,
        }
    }

    /// Makes another attempt. The request was admitted before and does not queue again.
    async fn retry(&mut self) -> Result<()> {
        loop {
            match self.reserve_pair().await {
                Ok(reserved) => return self.attempt(reserved).await,
                Err(e)
                    if e.code == ErrorCode::Overloaded
                        && self.time_left() > RESERVE_RETRY_DELAY =>
                {
                    task::sleep(RESERVE_RETRY_DELAY).await;
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Reserves a decode slot from the estimated end of the prefill on, then a place in
    /// the queue of the prefill server. The state in each refusal is used by the next
    /// choice.
    async fn reserve_pair(&mut self) -> Result<ReservedPair> {
        let mut free_in = None;
        for _ in 0..MAX_RESERVE_TRIES {
            let left = self.time_left().max(MIN_RETRY_TIME);
            let choice =
                self.node.router.choose(self.node, self.req, self.prompt, left, &self.avoid);
            self.node.explain.lock().record_attempt(&self.req.id, choice.explain());
            free_in = choice.free_in();
            let Some((pair, prefill, decode)) = choice.best() else {
                // No other server is left, so the next try may use those that failed.
                self.avoid.clear();
                break;
            };
            let starts_in = pair.decode_starts_in();
            let Some(decode) = self.reserve(decode, Tokens(0), starts_in).await? else { continue };
            let uncached = choice.uncached_tokens(self.prompt);
            // The decode slot is reserved for a given time, so the prefill must be able to
            // start about when it was planned.
            let Some(prefill) = self.reserve(prefill, uncached, left).await? else { continue };
            return Ok(ReservedPair { prefill, decode });
        }
        let message = format!("no servers of {} have free capacity", self.req.row.serves);
        let after = free_in.unwrap_or_default().max(DEFAULT_RETRY_AFTER);
        Err(Error::new(ErrorCode::Overloaded, message).retry_after(after))
    }

    /// Asks the home of `backend` for a reservation. `starts_in` is the time until a decode
    /// slot is needed, or the longest useful wait for a prefill. Returns `None` when the
    /// home refuses it, or fails, in which case later attempts avoid the server.
    pub(super) async fn reserve(
        &mut self,
        backend: &Backend,
        prefill_tokens: Tokens,
        starts_in: Duration,
    ) -> Result<Option<Reservation>> {
        let req = ReserveRequest {
            request: self.req.id.clone(),
            backend: backend.name.clone(),
            row: self.req.row.name.clone(),
            fingerprint: self.fingerprint,
            prompt_tokens: prefill_tokens,
            expected_tokens: self.reserved_tokens(),
            priority: self.req.row.priority,
            starts_in,
        };
        match request_reservation(self.node, backend, req).await {
            Ok(ReserveOutcome::Granted(reservation)) => Ok(Some(*reservation)),
            Ok(ReserveOutcome::Refused(state)) => {
                self.note_event(format!("{} refused: free in {:?}", backend.name, state.free_in));
                self.node.router.record_state(&backend.name, state, self.node.clock.now());
                Ok(None)
            }
            Err(e) => {
                self.note_event(format!("{}: {e}", backend.name));
                self.avoid.push(backend.name.clone());
                Ok(None)
            }
        }
    }

    /// Returns the number of further tokens for which a decode slot is reserved.
    pub(super) fn reserved_tokens(&self) -> Tokens {
        let row = &self.req.row;
        let weights = RowWeights { goodput: row.goodput_weight, waste: row.waste_weight };
        let estimates = self.node.router.estimates.lock();
        let total = estimates.reserved_tokens(&row.name, self.req.max_tokens, weights);
        Tokens(total.0.saturating_sub(self.progress.next_index()).max(1))
    }

    /// Returns the number of further tokens that the answer is expected to have.
    pub(super) fn expected_tokens(&self) -> Tokens {
        let estimates = self.node.router.estimates.lock();
        let total = estimates.answer_tokens(&self.req.row.name, self.req.max_tokens);
        Tokens(total.0.saturating_sub(self.progress.next_index()).max(1))
    }

    /// Returns the time left until the deadline of the next token.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.node.clock.now())
    }

    /// Adds an event to the request's explanation.
    pub(super) fn note_event(&self, event: impl Into<Name>) {
        self.node.explain.lock().record_event(&self.req.id, event);
    }

    /// Completes the answer: records its length, clears a suspect request and sends the
    /// final event.
    pub(super) async fn finish(&mut self, reason: FinishReason) -> Result<()> {
        let generated = Tokens(self.progress.next_index());
        self.node.router.record_answer_length(&self.req.row.name, generated, self.node.clock.now());
        if suspects::status(self.node, self.fingerprint) == SuspectStatus::Suspect {
            let (node, fingerprint) = (self.node.clone(), self.fingerprint);
            task::spawn(async move { suspects::finished(&node, fingerprint).await });
        }
        let _ = self.tx.send(ModelEvent::Finished(reason)).await;
        Ok(())
    }

    /// Returns whether all tokens were sent. The answer is then complete even if the
    /// stream broke before its final event.
    fn is_complete(&self) -> bool {
        self.progress.is_complete(self.req.max_tokens.0)
    }

    /// Returns the error for the caller, with what is known of the request's execution
    /// and when to retry.
    fn final_error(&self, e: Error) -> Error {
        let after = e.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        e.execution(self.execution).retry_after(after)
    }
}

/// Combines what is known of two attempts: run if either ran, and not run only if
/// neither did.
pub(super) fn combined_execution(a: Execution, b: Execution) -> Execution {
    match (a, b) {
        (Execution::Run, _) | (_, Execution::Run) => Execution::Run,
        (Execution::Unknown, _) | (_, Execution::Unknown) => Execution::Unknown,
        _ => Execution::NotRun,
    }
}

/// Returns whether another attempt may succeed after an error with `code`.
fn is_retryable(code: ErrorCode) -> bool {
    matches!(
        code,
        ErrorCode::Unavailable
            | ErrorCode::Timeout
            | ErrorCode::Overloaded
            | ErrorCode::NoBackend
            | ErrorCode::NotReady
            | ErrorCode::NotFound
            | ErrorCode::Cancelled
    )
}
