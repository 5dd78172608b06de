//! The `attempt` module runs one attempt of a request on a reserved pair of servers:
//! the prefill, the transfer of its result and the relay of the tokens. If the decode
//! server is lost before it has imported the result, another one takes its place.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::pieces::piece_hashes;
use aspenloft_core::prelude::{Arc, Backend, Name, Tokens};
use aspenloft_policy::estimate::{Estimates, LinkModel};
use aspenloft_policy::progress::TokenOrder;
use aspenloft_protocol::engine::{FinishReason, PrefillResult, Token};
use aspenloft_protocol::peer::home::{HomeDecode, HomePrefill, HomeReply, HomeRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_transport::inactivity::InactivityTimer;
use async_std::future::timeout;

use super::ModelEvent;
use super::reservation::Reservation;
use super::runner::{RequestRunner, ReservedPair};
use crate::home::STREAM_INACTIVITY_TIMEOUT;
use crate::node::Node;
use crate::peers::{Call, unexpected_reply};

/// The maximum number of decode servers that are tried with the result of one prefill.
const MAX_DECODE_SERVERS: usize = 3;

/// The part of a transfer's timeout that is independent of its estimate. It leaves time
/// for progress on a link that many transfers share.
const BASE_TRANSFER_TIMEOUT: Duration = Duration::from_millis(400);

/// How many times its estimate a transfer may take before it counts as stalled.
const TRANSFER_TIMEOUT_FACTOR: u32 = 8;

/// The time allowed for a home's reply beyond the limits in the request to it.
const HOME_REPLY_MARGIN: Duration = Duration::from_millis(500);

/// The smallest prompt whose transfer is used to estimate the rate of a link.
const MIN_MEASURED_TRANSFER: Tokens = Tokens(1_000);

/// `HeldPrefill` is the result of a prefill, which its engine keeps until the call to
/// the home ends.
struct HeldPrefill {
    result: PrefillResult,
    source: Backend,
    /// The open call to the home; dropped when the result has been imported.
    call: Option<Call>,
    expires_at: Instant,
    accounting: PrefillAccounting,
}

impl RequestRunner<'_> {
    /// Runs the prefill and the decode on a reserved pair of servers.
    pub(super) async fn attempt(&mut self, reserved: ReservedPair) -> Result<()> {
        let source = reserved.prefill.backend.clone();
        let prefilled = self.prefill(reserved.prefill).await;
        self.prefill_may_have_run =
            !matches!(&prefilled, Err(e) if e.execution == Execution::NotRun);
        let mut prefilled = prefilled.inspect_err(|_| self.avoid.push(source.name.clone()))?;
        let outcome = self.decode_with_failover(reserved.decode, &mut prefilled).await;
        if outcome.is_err() {
            prefilled.accounting.cause = "decode_lost";
        }
        outcome
    }

    /// Runs the prefill and returns its result, still held on the prefill engine.
    async fn prefill(&mut self, reservation: Reservation) -> Result<HeldPrefill> {
        let limit = self.req.row.ttft * 2;
        let req = HomeRequest::Prefill(HomePrefill {
            request: self.req.id.clone(),
            backend: reservation.backend.name.clone(),
            reservation: reservation.id,
            fingerprint: self.fingerprint,
            prompt: self.req.prompt.clone(),
            priority: self.req.row.priority,
            limit,
        });
        let mut call = self.node.peers.call(&reservation.home, PeerRequest::Home(req)).await?;
        let reply = with_timeout(limit + HOME_REPLY_MARGIN, call.next_reply()).await?;
        let PeerReply::Home(HomeReply::Prefilled(result)) = reply else {
            return Err(unexpected_reply(&reply));
        };
        self.execution = Execution::Run;
        let source = reservation.backend.clone();
        reservation.mark_used();
        let pieces = piece_hashes(&self.req.row.serves, &self.req.prompt);
        self.node.router.cache.lock().record_prompt(&source.name, &pieces);
        let expires_at = self.node.clock.now() + result.expires;
        let accounting = PrefillAccounting {
            node: self.node.clone(),
            row: self.req.row.name.clone(),
            tokens: result.prompt_tokens.saturating_sub(result.cached_tokens),
            used: false,
            cause: "caller_gone",
        };
        Ok(HeldPrefill { result, source, call: Some(call), expires_at, accounting })
    }

    /// Decodes from the result of the prefill. If a decode server is lost before it has
    /// imported the result, another one is tried while the result is still held.
    async fn decode_with_failover(
        &mut self,
        first: Reservation,
        prefilled: &mut HeldPrefill,
    ) -> Result<()> {
        let mut reservation = first;
        let mut tried = Vec::new();
        let mut stalls = 0;
        loop {
            tried.push(reservation.backend.name.clone());
            let Err(e) = self.decode(reservation, prefilled).await else { return Ok(()) };
            stalls += u32::from(e.code == ErrorCode::Timeout && prefilled.call.is_some());
            // An export in progress keeps the result beyond its expiry.
            let is_available = self.node.clock.now() < prefilled.expires_at || stalls > 0;
            let can_fail_over =
                is_available && prefilled.call.is_some() && tried.len() < MAX_DECODE_SERVERS;
            let next = if can_fail_over { self.reserve_other_decode(&tried).await } else { None };
            let Some(next) = next else {
                self.record_faults(e.code, stalls, &prefilled.source, tried);
                return Err(e);
            };
            self.note_event(format!("{e}; the result is offered to {}", next.backend.name));
            reservation = next;
        }
    }

    /// Makes this request avoid the servers at fault, and records their faults, so that
    /// other requests avoid them for a while. A refusal for lack of capacity is no fault.
    fn record_faults(&mut self, code: ErrorCode, stalls: u32, source: &Backend, tried: Vec<Name>) {
        // If a second decode server could not import the result either, the prefill
        // server that exports it is at fault.
        let at_fault = if stalls > 1 { vec![source.name.clone()] } else { tried };
        if code == ErrorCode::Overloaded {
            return;
        }
        let now = self.node.clock.now();
        at_fault.iter().for_each(|name| self.node.router.record_fault(name, now));
        self.avoid.extend(at_fault);
    }

    /// Reserves a slot on another decode server, to be used immediately.
    async fn reserve_other_decode(&mut self, tried: &[Name]) -> Option<Reservation> {
        let left = self.time_left().max(HOME_REPLY_MARGIN);
        let router = &self.node.router;
        let avoid: Vec<Name> = self.avoid.iter().chain(tried).cloned().collect();
        let ranked = router.rank_decode_servers(self.node, self.req, self.prompt, left, &avoid);
        for backend in ranked {
            if let Ok(Some(reservation)) = self.reserve(&backend, Tokens(0), Duration::ZERO).await {
                return Some(reservation);
            }
        }
        None
    }

    /// Runs the decode on a reserved server and forwards its tokens to the caller.
    async fn decode(
        &mut self,
        reservation: Reservation,
        prefilled: &mut HeldPrefill,
    ) -> Result<()> {
        let transfer = self.node.router.estimate_transfer(
            &prefilled.source,
            &reservation.backend,
            self.prompt,
        );
        let limit = BASE_TRANSFER_TIMEOUT + transfer * TRANSFER_TIMEOUT_FACTOR;
        let req = HomeRequest::Decode(HomeDecode {
            request: self.req.id.clone(),
            backend: reservation.backend.name.clone(),
            reservation: reservation.id,
            fingerprint: self.fingerprint,
            kv: prefilled.result.kv.clone(),
            source: prefilled.source.name.clone(),
            from_token: self.progress.next_index(),
            sent: self.progress.text().into(),
            max_tokens: self.req.max_tokens,
            expected_tokens: Tokens(self.reserved_tokens().0 + self.progress.next_index()),
            priority: self.req.row.priority,
            limit,
        });
        let link = LinkTransfer::start(self, &prefilled.source, &reservation.backend);
        let started = self.node.clock.now();
        let mut call = self.node.peers.call(&reservation.home, PeerRequest::Home(req)).await?;
        let first = with_timeout(
            limit * 2 + STREAM_INACTIVITY_TIMEOUT + HOME_REPLY_MARGIN,
            call.next_reply(),
        )
        .await;
        reservation.mark_used();
        let mut reply = first?;
        link.end(self.node.clock.now().duration_since(started));
        // The first token proves that the import is complete, so the prefill engine may
        // free the result.
        prefilled.call = None;
        prefilled.accounting.used = true;
        let mut inactivity = InactivityTimer::new(STREAM_INACTIVITY_TIMEOUT + HOME_REPLY_MARGIN);
        loop {
            match reply {
                PeerReply::Home(HomeReply::Tokens(tokens)) => self.forward_tokens(tokens).await?,
                PeerReply::Home(HomeReply::Finished(reason)) => return self.end(reason).await,
                other => return Err(unexpected_reply(&other)),
            }
            let next = inactivity.wait(call.next_reply()).await;
            reply = next.unwrap_or_else(|| Err(home_timeout()))?;
        }
    }

    /// Forwards the tokens that are next in order and drops duplicates. A gap ends the
    /// stream with an error.
    async fn forward_tokens(&mut self, tokens: Vec<Token>) -> Result<()> {
        let mut gap = false;
        let mut next = Vec::with_capacity(tokens.len());
        for token in tokens {
            match self.progress.accept(token.index, &token.text) {
                TokenOrder::Next => next.push(token),
                TokenOrder::Duplicate => (),
                TokenOrder::Gap => {
                    gap = true;
                    break;
                }
            }
        }
        if !next.is_empty() && self.tx.send(ModelEvent::Tokens(next)).await.is_err() {
            return Err(
                Error::new(ErrorCode::Cancelled, "caller disconnected").execution(Execution::Run)
            );
        }
        if gap { Err(missing_tokens()) } else { Ok(()) }
    }

    /// Completes the answer, or returns an error if tokens before its end are missing.
    async fn end(&mut self, reason: FinishReason) -> Result<()> {
        let is_incomplete = !self.progress.is_complete(self.req.max_tokens.0);
        if reason == FinishReason::Length && is_incomplete {
            return Err(missing_tokens());
        }
        self.finish(reason).await
    }
}

fn missing_tokens() -> Error {
    unavailable("tokens are missing from the decode stream").execution(Execution::Run)
}

/// Waits for `reply`, at most for `limit`.
async fn with_timeout(
    limit: Duration,
    reply: impl Future<Output = Result<PeerReply>>,
) -> Result<PeerReply> {
    timeout(limit, reply).await.unwrap_or_else(|_| Err(home_timeout()))
}

fn home_timeout() -> Error {
    Error::new(ErrorCode::Timeout, "no reply from the home in time").execution(Execution::Unknown)
}

/// `LinkTransfer` counts a transfer as in flight on its link until dropped. `took` is
/// set only when the transfer completed and is large enough to be measured.
struct LinkTransfer {
    node: Arc<Node>,
    link: Name,
    tokens: Tokens,
    took: Option<Duration>,
}

impl LinkTransfer {
    fn start(runner: &RequestRunner<'_>, from: &Backend, to: &Backend) -> LinkTransfer {
        let link = Estimates::link_name(&from.data_centre, &to.data_centre);
        let transfer =
            LinkTransfer { node: runner.node.clone(), link, tokens: runner.prompt, took: None };
        transfer.update_model(|model| model.start_transfer(transfer.tokens));
        transfer
    }

    fn end(mut self, took: Duration) {
        self.took = (self.tokens >= MIN_MEASURED_TRANSFER).then_some(took);
    }

    fn update_model(&self, f: impl FnOnce(&mut LinkModel)) {
        let now = self.node.clock.now();
        f(self.node.router.estimates.lock().links.get_or_insert(&self.link, now));
    }
}

impl Drop for LinkTransfer {
    fn drop(&mut self) {
        self.update_model(|model| model.end_transfer(self.tokens, self.took));
    }
}

/// `PrefillAccounting` records the computed tokens of a prefill when it is dropped, and
/// counts them as wasted if no decode imported the result. A request whose future is
/// dropped is thus counted as well.
struct PrefillAccounting {
    node: Arc<Node>,
    row: Name,
    tokens: Tokens,
    used: bool,
    cause: &'static str,
}

impl Drop for PrefillAccounting {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        self.node.levels.record_prefill(&self.row, self.tokens, self.used, now);
        if !self.used && self.tokens > Tokens(0) {
            self.node.metrics.count_wasted_prefill(&self.row, self.cause, self.tokens.0);
        }
    }
}
