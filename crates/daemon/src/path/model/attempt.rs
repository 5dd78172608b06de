//! The `attempt` module runs a request on one pair of servers: the prefill, the
//! transfer of its result, which may go to another decode server when the first is
//! lost, and the relay of the tokens.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::pieces::piece_hashes;
use aspenloft_core::prelude::{Arc, Backend, Name, Tokens};
use aspenloft_policy::estimate::{Estimates, LinkModel};
use aspenloft_policy::progress::Order;
use aspenloft_protocol::engine::{FinishReason, PrefillResult, Token};
use aspenloft_protocol::peer::home::{HomeDecode, HomePrefill, HomeReply, HomeRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_transport::inactivity::InactivityTimer;
use async_std::future::timeout;

use super::ModelEvent;
use super::room::Room;
use super::work::{Secured, Work};
use crate::home::STREAM_SILENCE;
use crate::node::Node;
use crate::peers::{Call, unexpected};

/// Decode servers that one prefill's result is offered to.
const MAX_LIVES: usize = 3;

/// The least time that a transfer gets, in which a link shared by many still moves.
const LEAST_TRANSFER: Duration = Duration::from_millis(400);

/// How many times its estimate a transfer may take before it counts as stalled.
const TRANSFER_PATIENCE: u32 = 8;

/// What a home may need beyond the limits that it was given.
const HOME_SLACK: Duration = Duration::from_millis(500);

/// The least prompt whose transfer says something of the link's rate.
const MEASURED_TRANSFER: Tokens = Tokens(1_000);

/// `Prefilled` is the result of a prefill, held on its engine as long as the call is.
struct Prefilled {
    result: PrefillResult,
    source: Backend,
    /// Dropped when the result has been imported.
    call: Option<Call>,
    until: Instant,
    waste: Waste,
}

impl Work<'_> {
    /// Runs the request on a pair whose room is held.
    pub(super) async fn attempt(&mut self, secured: Secured) -> Result<()> {
        let source = secured.prefill.backend.clone();
        let prefilled = self.prefill(secured.prefill).await;
        self.worked = !matches!(&prefilled, Err(e) if e.execution == Execution::NotRun);
        let mut prefilled = prefilled.inspect_err(|_| self.avoid.push(source.name.clone()))?;
        let outcome = self.decode_somewhere(secured.decode, &mut prefilled).await;
        if outcome.is_err() {
            prefilled.waste.cause = "decode_lost";
        }
        outcome
    }

    /// Runs the prefill.
    async fn prefill(&mut self, room: Room) -> Result<Prefilled> {
        let limit = self.req.row.ttft * 2;
        let ask = HomeRequest::Prefill(HomePrefill {
            request: self.req.id.clone(),
            backend: room.backend.name.clone(),
            reservation: room.id,
            fingerprint: self.fingerprint,
            prompt: self.req.prompt.clone(),
            priority: self.req.row.priority,
            limit,
        });
        let mut call = self.node.peers.call(&room.home, PeerRequest::Home(ask)).await?;
        let reply = within(limit + HOME_SLACK, call.expect()).await?;
        let PeerReply::Home(HomeReply::Prefilled(result)) = reply else {
            return Err(unexpected(&reply));
        };
        self.ran = Execution::Run;
        let source = room.backend.clone();
        room.used();
        let pieces = piece_hashes(&self.req.row.serves, &self.req.prompt);
        self.node.router.cache.lock().observe(&source.name, &pieces);
        let until = self.node.clock.now() + result.expires;
        let waste = Waste {
            node: self.node.clone(),
            row: self.req.row.name.clone(),
            tokens: result.prompt_tokens.saturating_sub(result.cached_tokens),
            used: false,
            cause: "caller_gone",
        };
        Ok(Prefilled { result, source, call: Some(call), until, waste })
    }

    /// Decodes from a result, on another server when the first is lost before it has
    /// imported the result and the result is still there.
    async fn decode_somewhere(&mut self, first: Room, prefilled: &mut Prefilled) -> Result<()> {
        let mut room = first;
        let mut tried = Vec::new();
        let mut stalls = 0;
        loop {
            tried.push(room.backend.name.clone());
            let Err(e) = self.decode(room, prefilled).await else { return Ok(()) };
            stalls += u32::from(e.code == ErrorCode::Timeout && prefilled.call.is_some());
            // An export in progress keeps the result beyond its life.
            let there = self.node.clock.now() < prefilled.until || stalls > 0;
            let movable = there && prefilled.call.is_some() && tried.len() < MAX_LIVES;
            let next = if movable { self.second_life(&tried).await } else { None };
            let Some(next) = next else {
                self.blame(e.code, stalls, &prefilled.source, tried);
                return Err(e);
            };
            self.note(format!("{e}; the result moves on to {}", next.backend.name));
            room = next;
        }
    }

    /// Keeps this request, and for a while others, off the servers at fault.
    fn blame(&mut self, code: ErrorCode, stalls: u32, source: &Backend, tried: Vec<Name>) {
        // When a second server could not import the result either, its source is at
        // fault rather than they.
        let at_fault = if stalls > 1 { vec![source.name.clone()] } else { tried };
        if code == ErrorCode::Overloaded {
            return;
        }
        let now = self.node.clock.now();
        at_fault.iter().for_each(|name| self.node.router.note_fault(name, now));
        self.avoid.extend(at_fault);
    }

    /// Reserves another decode server at once.
    async fn second_life(&mut self, tried: &[Name]) -> Option<Room> {
        let left = self.left().max(HOME_SLACK);
        let router = &self.node.router;
        let avoid: Vec<Name> = self.avoid.iter().chain(tried).cloned().collect();
        let ranked = router.choose_decode(self.node, self.req, self.prompt, left, &avoid);
        for backend in ranked {
            if let Ok(Some(room)) = self.take(&backend, Tokens(0), Duration::ZERO).await {
                return Some(room);
            }
        }
        None
    }

    /// Runs the decode and relays its tokens.
    async fn decode(&mut self, room: Room, prefilled: &mut Prefilled) -> Result<()> {
        let transfer = self.node.router.transfer(&prefilled.source, &room.backend, self.prompt);
        let limit = LEAST_TRANSFER + transfer * TRANSFER_PATIENCE;
        let ask = HomeRequest::Decode(HomeDecode {
            request: self.req.id.clone(),
            backend: room.backend.name.clone(),
            reservation: room.id,
            fingerprint: self.fingerprint,
            kv: prefilled.result.kv.clone(),
            source: prefilled.source.name.clone(),
            from_token: self.progress.next(),
            sent: self.progress.text().into(),
            max_tokens: self.req.max_tokens,
            expected_tokens: Tokens(self.reserved_tokens().0 + self.progress.next()),
            priority: self.req.row.priority,
            limit,
        });
        let link = OnLink::start(self, &prefilled.source, &room.backend);
        let began = self.node.clock.now();
        let mut call = self.node.peers.call(&room.home, PeerRequest::Home(ask)).await?;
        let first = within(limit * 2 + STREAM_SILENCE + HOME_SLACK, call.expect()).await;
        room.used();
        let mut reply = first?;
        link.end(self.node.clock.now().duration_since(began));
        // The first token proves that the import is done, so the source may forget.
        prefilled.call = None;
        prefilled.waste.used = true;
        let mut silence = InactivityTimer::new(STREAM_SILENCE + HOME_SLACK);
        loop {
            match reply {
                PeerReply::Home(HomeReply::Tokens(tokens)) => self.pass_on(tokens).await?,
                PeerReply::Home(HomeReply::Finished(reason)) => return self.ended(reason).await,
                other => return Err(unexpected(&other)),
            }
            let next = silence.wait(call.expect()).await;
            reply = next.unwrap_or_else(|| Err(no_word()))?;
        }
    }

    /// Passes on the tokens that are next; one that is too early ends the stream.
    async fn pass_on(&mut self, tokens: Vec<Token>) -> Result<()> {
        let mut gap = false;
        let mut next = Vec::with_capacity(tokens.len());
        for token in tokens {
            match self.progress.offer(token.index, &token.text) {
                Order::Next => next.push(token),
                Order::Duplicate => (),
                Order::Gap => {
                    gap = true;
                    break;
                }
            }
        }
        if !next.is_empty() && self.tx.send(ModelEvent::Tokens(next)).await.is_err() {
            return Err(
                Error::new(ErrorCode::Cancelled, "the caller has gone").execution(Execution::Run)
            );
        }
        if gap { Err(lost_tokens()) } else { Ok(()) }
    }

    /// Ends the answer, unless tokens before the end are missing.
    async fn ended(&mut self, reason: FinishReason) -> Result<()> {
        let short = !self.progress.is_full(self.req.max_tokens.0);
        if reason == FinishReason::Length && short {
            return Err(lost_tokens());
        }
        self.finish(reason).await
    }
}

fn lost_tokens() -> Error {
    unavailable("the stream lost tokens").execution(Execution::Run)
}

/// Waits for a reply up to `limit`.
async fn within(
    limit: Duration,
    reply: impl Future<Output = Result<PeerReply>>,
) -> Result<PeerReply> {
    timeout(limit, reply).await.unwrap_or_else(|_| Err(no_word()))
}

fn no_word() -> Error {
    Error::new(ErrorCode::Timeout, "no word from the home in time").execution(Execution::Unknown)
}

/// `OnLink` books a transfer on its link until dropped.
struct OnLink {
    node: Arc<Node>,
    link: Name,
    tokens: Tokens,
    took: Option<Duration>,
}

impl OnLink {
    fn start(work: &Work<'_>, from: &Backend, to: &Backend) -> OnLink {
        let link = Estimates::link_name(&from.data_centre, &to.data_centre);
        let on = OnLink { node: work.node.clone(), link, tokens: work.prompt, took: None };
        on.with(|model| model.start(on.tokens));
        on
    }

    fn end(mut self, took: Duration) {
        self.took = (self.tokens >= MEASURED_TRANSFER).then_some(took);
    }

    fn with(&self, f: impl FnOnce(&mut LinkModel)) {
        let now = self.node.clock.now();
        f(self.node.router.estimates.lock().links.touch(&self.link, now));
    }
}

impl Drop for OnLink {
    fn drop(&mut self) {
        self.with(|model| model.end(self.tokens, self.took));
    }
}

/// `Waste` counts the tokens of a prefill, and those whose result was never used,
/// also when the future is dropped.
struct Waste {
    node: Arc<Node>,
    row: Name,
    tokens: Tokens,
    used: bool,
    cause: &'static str,
}

impl Drop for Waste {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        self.node.levels.prefilled(&self.row, self.tokens, self.used, now);
        if !self.used && self.tokens > Tokens(0) {
            self.node.metrics.wasted_prefill(&self.row, self.cause, self.tokens.0);
        }
    }
}
