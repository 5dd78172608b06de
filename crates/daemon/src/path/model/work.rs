//! The `work` module carries one model request over as many attempts as its deadline
//! and their bound allow.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Name, Tokens};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus};
use aspenloft_core::units::estimate_tokens;
use aspenloft_policy::admission::Arrival;
use aspenloft_policy::estimate::Weights;
use aspenloft_policy::fair_queue::Flow;
use aspenloft_policy::progress::Progress;
use aspenloft_protocol::engine::FinishReason;
use aspenloft_protocol::peer::home::ReserveRequest;
use async_std::channel::Sender;
use async_std::task;

use super::room::{Reserved, Room, reserve};
use super::{ModelEvent, ModelRequest};
use crate::node::Node;
use crate::suspects;

/// The most attempts of one request, the first one and resumes included.
const MAX_ATTEMPTS: u32 = 4;

/// The most homes that one attempt asks before it waits or gives up.
const MAX_ASKS: u32 = 6;

/// How long a request that was admitted waits before it asks the homes again.
const ASK_PAUSE: Duration = Duration::from_millis(20);

/// The least time that a retry or resume gets, however late it is.
const LEAST_DEADLINE: Duration = Duration::from_millis(500);

/// How long a suspect whose server died may wait for a server of its own.
const SUSPECT_PATIENCE: Duration = Duration::from_secs(10);

/// When a refused caller should come back where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// `Secured` is a pair of servers whose room is held.
pub struct Secured {
    /// The prefill server's turn.
    pub prefill: Room,
    /// The decode server's slot.
    pub decode: Room,
}

/// `Work` is one model request on its way to its answer.
pub struct Work<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) req: &'a ModelRequest,
    pub(super) tx: &'a Sender<ModelEvent>,
    pub(super) prompt: Tokens,
    pub(super) fingerprint: Fingerprint,
    pub(super) progress: Progress,
    /// What is known of the request's fate so far.
    pub(super) ran: Execution,
    /// Whether the last attempt has run a prefill, or may have.
    pub(super) worked: bool,
    /// Servers that failed this request.
    pub(super) avoid: Vec<Name>,
    started: Instant,
    /// When the attempts must have given the next token.
    deadline: Instant,
}

impl<'a> Work<'a> {
    /// Creates the work of a request that has just come.
    pub fn new(node: &'a Arc<Node>, req: &'a ModelRequest, tx: &'a Sender<ModelEvent>) -> Self {
        let started = node.clock.now();
        Work {
            node,
            req,
            tx,
            prompt: estimate_tokens(req.prompt.len()),
            fingerprint: Fingerprint::of(&req.row.serves, &req.prompt),
            progress: Progress::default(),
            ran: Execution::NotRun,
            worked: false,
            avoid: Vec::new(),
            started,
            deadline: started + req.row.ttft,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) -> Result<()> {
        let mut secured = Some(self.admit().await?);
        self.node.router.save_for_retries(&self.req.row, self.node.clock.now());
        let mut attempts = 1;
        loop {
            let sent = self.progress.next_index();
            self.worked = false;
            let outcome = match secured.take() {
                Some(secured) => self.attempt(secured).await,
                None => self.retry().await,
            };
            let Err(e) = outcome else { return Ok(()) };
            self.ran = worse(self.ran, e.execution);
            if self.tx.is_closed() {
                return Err(
                    Error::new(ErrorCode::Cancelled, "the caller has gone").execution(self.ran)
                );
            }
            if self.is_whole() {
                return self.finish(FinishReason::Length).await;
            }
            self.note(format!("attempt {attempts} ended: {e}"));
            // A late answer serves a caller better than none: what was begun in time
            // gets as long again.
            if attempts == 1 || self.progress.next_index() > sent {
                self.deadline = self.node.clock.now() + self.patience();
            }
            // It may have been convicted by now.
            suspects::reject_convicted(self.node, self.fingerprint)
                .map_err(|e| e.execution(self.ran))?;
            let spent = attempts >= MAX_ATTEMPTS || self.node.clock.now() >= self.deadline;
            if spent || !is_passing(e.code) || !self.may_repeat() {
                return Err(self.last_word(e));
            }
            attempts += 1;
            self.node.metrics.count_retry(&self.req.row.name);
        }
    }

    /// Waits for room as the policy decides, and takes it.
    async fn admit(&mut self) -> Result<Secured> {
        loop {
            let left = self.left();
            let choice =
                self.node.router.choose(self.node, self.req, self.prompt, left, &self.avoid);
            let service = match choice.best() {
                Some((pair, _, _)) if choice.measured() => pair.ttft(),
                _ => Duration::ZERO,
            };
            let room = choice.best().is_some();
            let arrival = self.arrival(left, service);
            self.node.gate.pass(self.node, &self.req.row.serves, &arrival, room).await?;
            match self.secure().await {
                Err(e) if e.code == ErrorCode::Overloaded && self.left() > ASK_PAUSE => {
                    task::sleep(ASK_PAUSE).await;
                }
                other => return other,
            }
        }
    }

    /// Tells whether an attempt that ended so may be followed by another. Work that may
    /// have run is repeated from the row's budget; a resume and an attempt that ran
    /// nothing repeat no work for nothing and are free.
    fn may_repeat(&self) -> bool {
        if self.progress.next_index() > 0 || !self.worked {
            return true;
        }
        let now = self.node.clock.now();
        self.node.router.spend_retry(&self.req.row, now, self.left(), Duration::ZERO)
    }

    /// Returns how long another attempt may take to give the next token. A suspect
    /// may have to wait for a server without other suspects.
    fn patience(&self) -> Duration {
        match suspects::standing(self.node, self.fingerprint) {
            SuspectStatus::Clear => self.req.row.ttft.max(LEAST_DEADLINE),
            _ => self.req.row.ttft.max(SUSPECT_PATIENCE),
        }
    }

    fn arrival(&self, left: Duration, service: Duration) -> Arrival {
        let row = &self.req.row;
        let waited = self.node.clock.now().duration_since(self.started);
        Arrival {
            ticket: self.node.gate.ticket(),
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

    /// Makes another attempt; it was admitted before and does not queue again.
    async fn retry(&mut self) -> Result<()> {
        loop {
            match self.secure().await {
                Ok(secured) => return self.attempt(secured).await,
                Err(e) if e.code == ErrorCode::Overloaded && self.left() > ASK_PAUSE => {
                    task::sleep(ASK_PAUSE).await;
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Reserves a decode slot for the time when the prefill will have ended, and a
    /// turn for the prefill. Each refusal makes the next choice better informed.
    async fn secure(&mut self) -> Result<Secured> {
        let mut free_in = None;
        for _ in 0..MAX_ASKS {
            let left = self.left().max(LEAST_DEADLINE);
            let choice =
                self.node.router.choose(self.node, self.req, self.prompt, left, &self.avoid);
            self.node.explain.lock().record_attempt(&self.req.id, choice.explain());
            free_in = choice.free_in();
            let Some((pair, prefill, decode)) = choice.best() else {
                // With nothing else left, a server that failed gets another chance.
                self.avoid.clear();
                break;
            };
            let starts_in = pair.decode_starts_in();
            let Some(decode) = self.take(decode, Tokens(0), starts_in).await? else { continue };
            let work = choice.uncached(self.prompt);
            // The decode slot is timed, so the turn must come about when it was planned.
            let Some(prefill) = self.take(prefill, work, left).await? else { continue };
            return Ok(Secured { prefill, decode });
        }
        let message = format!("no servers of {} have room", self.req.row.serves);
        let after = free_in.unwrap_or_default().max(COME_BACK);
        Err(Error::new(ErrorCode::Overloaded, message).retry_after(after))
    }

    /// Asks one home for room; `None` when it has none.
    pub(super) async fn take(
        &mut self,
        backend: &Backend,
        work: Tokens,
        starts_in: Duration,
    ) -> Result<Option<Room>> {
        let ask = ReserveRequest {
            request: self.req.id.clone(),
            backend: backend.name.clone(),
            row: self.req.row.name.clone(),
            fingerprint: self.fingerprint,
            prompt_tokens: work,
            expected_tokens: self.reserved_tokens(),
            priority: self.req.row.priority,
            starts_in,
        };
        match reserve(self.node, backend, ask).await {
            Ok(Reserved::Room(room)) => Ok(Some(*room)),
            Ok(Reserved::Refused(state)) => {
                self.note(format!("{} refused: free in {:?}", backend.name, state.free_in));
                self.node.router.note_state(&backend.name, state, self.node.clock.now());
                Ok(None)
            }
            Err(e) => {
                self.note(format!("{}: {e}", backend.name));
                self.avoid.push(backend.name.clone());
                Ok(None)
            }
        }
    }

    /// Returns for how many tokens more a decode slot is reserved.
    pub(super) fn reserved_tokens(&self) -> Tokens {
        let row = &self.req.row;
        let weights = Weights { goodput: row.goodput_weight, waste: row.waste_weight };
        let estimates = self.node.router.estimates.lock();
        let all = estimates.reserved_tokens(&row.name, self.req.max_tokens, weights);
        Tokens(all.0.saturating_sub(self.progress.next_index()).max(1))
    }

    /// Returns the tokens that the answer likely has yet to get.
    pub(super) fn expected_tokens(&self) -> Tokens {
        let estimates = self.node.router.estimates.lock();
        let all = estimates.answer_tokens(&self.req.row.name, self.req.max_tokens);
        Tokens(all.0.saturating_sub(self.progress.next_index()).max(1))
    }

    /// Returns the time left for the next token.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.node.clock.now())
    }

    /// Adds an event to the request's explanation.
    pub(super) fn note(&self, event: impl Into<Name>) {
        self.node.explain.lock().record_event(&self.req.id, event);
    }

    /// Ends the answer.
    pub(super) async fn finish(&mut self, reason: FinishReason) -> Result<()> {
        let generated = Tokens(self.progress.next_index());
        self.node.router.note_answer(&self.req.row.name, generated, self.node.clock.now());
        if suspects::standing(self.node, self.fingerprint) == SuspectStatus::Suspect {
            let (node, fingerprint) = (self.node.clone(), self.fingerprint);
            task::spawn(async move { suspects::finished(&node, fingerprint).await });
        }
        let _ = self.tx.send(ModelEvent::Finished(reason)).await;
        Ok(())
    }

    /// Tells whether all tokens were sent, so that a stream that broke before it
    /// said so is no loss.
    fn is_whole(&self) -> bool {
        self.progress.is_complete(self.req.max_tokens.0)
    }

    /// Makes the final error; it says what is known of the request's fate.
    fn last_word(&self, e: Error) -> Error {
        let after = e.retry_after.unwrap_or(COME_BACK);
        e.execution(self.ran).retry_after(after)
    }
}

/// Returns the word that promises less.
pub(super) fn worse(a: Execution, b: Execution) -> Execution {
    match (a, b) {
        (Execution::Run, _) | (_, Execution::Run) => Execution::Run,
        (Execution::Unknown, _) | (_, Execution::Unknown) => Execution::Unknown,
        _ => Execution::NotRun,
    }
}

/// Tells whether another server may do better.
fn is_passing(code: ErrorCode) -> bool {
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
