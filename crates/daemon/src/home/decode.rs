//! The `decode` module runs decodes for entry hosts and relays their tokens.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Tokens};
use aspenloft_policy::reservations::StartOutcome;
use aspenloft_protocol::engine::{DecodeCommand, DecodeEvent, DecodeStream, ModelEngine, Token};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomeDecode, HomeReply};
use aspenloft_transport::inactivity::InactivityTimer;
use async_std::task;
use futures::StreamExt;
use futures::future::FutureExt;

use super::crashes;
use super::service::{ENGINE_HOLD_TTL, HomeService, ReservationGuard, engine_client};
use crate::node::Node;
use crate::peers::ReplySender;

/// How long a started decode may hold its slot.
const MAX_DECODE_TIME: Duration = Duration::from_secs(600);

/// How long a decode stream may send no event before it counts as failed.
pub const STREAM_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval between two attempts to start a decode on a slot that should be free.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long an engine may still refuse a slot that its home counts as free. The
/// engine notices the end of a stream slightly later than its home.
const SLOT_RELEASE_LAG: Duration = Duration::from_millis(100);

/// The maximum number of tokens in one reply.
const MAX_TOKENS_PER_REPLY: usize = 64;

/// The number of tokens between two samples of a stream's speed.
const SPEED_SAMPLE_TOKENS: u64 = 8;

impl HomeService {
    /// Runs a decode; the slot is released when the call ends.
    pub(super) async fn decode(
        &self,
        node: &Arc<Node>,
        req: HomeDecode,
        tx: &ReplySender,
    ) -> Result<()> {
        let _reservation =
            ReservationGuard { home: self, backend: &req.backend, id: req.reservation };
        let backend = self.accepting_backend(&req.backend)?;
        self.wait_for_slot(&req).await?;
        let claim = self.claims.claim(&backend, &req.request, req.fingerprint).await?;
        crashes::ensure_alive(node, &backend, req.fingerprint).await?;
        let opened = self.open(&backend, &req).await;
        if let Err(e) = &opened {
            // A timeout can be due to a stalled transfer from the prefill server, so
            // it does not count as a failure of the decode server.
            if e.code != ErrorCode::Timeout {
                self.record_failure(&backend, e);
            }
            crashes::check_after_error(node, &backend, e).await;
        }
        let stream = opened?;
        self.publish(&backend);
        let mut relay = Relay { home: self, req: &req, tx, batch: Vec::new(), last_sample: None };
        let relayed = relay.run(stream).await;
        match &relayed {
            Ok(()) => claim.finish(),
            Err(e) => crashes::check_after_error(node, &backend, e).await,
        }
        relayed
    }

    /// Waits until the reserved slot is free, in case the streams before it run longer
    /// than predicted.
    async fn wait_for_slot(&self, req: &HomeDecode) -> Result<()> {
        let deadline = self.clock.now() + req.limit;
        loop {
            let now = self.clock.now();
            let max_time = MAX_DECODE_TIME;
            match self
                .with_tracker(&req.backend, |t| t.begin_decode(req.reservation, max_time, now))
            {
                StartOutcome::Started => return Ok(()),
                StartOutcome::Expired => {
                    return Err(Error::new(ErrorCode::Timeout, "the reservation has expired"));
                }
                StartOutcome::Wait(_) if now >= deadline => {
                    return Err(Error::new(ErrorCode::Overloaded, "no slot became free in time"));
                }
                StartOutcome::Wait(_) => {
                    // Keeps the reservation from expiring during this wait.
                    self.with_tracker(&req.backend, |t| t.postpone(req.reservation, now, now));
                    task::sleep(SLOT_POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn open(&self, backend: &Backend, req: &HomeDecode) -> Result<DecodeStream> {
        let source = self.view.backend(&req.source)?;
        let command = DecodeCommand {
            request: req.request.clone(),
            owner: self.view.me().name.clone(),
            kv: req.kv.clone(),
            source: source.addr,
            from_token: req.from_token,
            sent: req.sent.clone(),
            max_tokens: req.max_tokens,
            priority: req.priority,
            hold: ENGINE_HOLD_TTL,
        };
        let retry_until = self.clock.now() + SLOT_RELEASE_LAG;
        loop {
            let opened = engine_client(backend).decode(&command, req.limit).await;
            match opened {
                Err(e) if e.code == ErrorCode::Overloaded && self.clock.now() < retry_until => {
                    task::sleep(SLOT_POLL_INTERVAL).await;
                }
                other => return other,
            }
        }
    }
}

/// `Relay` forwards the tokens of one stream to the entry host.
struct Relay<'a> {
    home: &'a HomeService,
    req: &'a HomeDecode,
    tx: &'a ReplySender,
    batch: Vec<Token>,
    /// The time of the last speed sample and the index of the token at that time.
    last_sample: Option<(Instant, u64)>,
}

impl Relay<'_> {
    /// Forwards a stream. Tokens that are ready at the same time share one reply.
    async fn run(&mut self, mut stream: DecodeStream) -> Result<()> {
        let mut inactivity = InactivityTimer::new(STREAM_INACTIVITY_TIMEOUT);
        loop {
            let event = match next_event(&mut stream, &mut inactivity, self.batch.is_empty()).await
            {
                Some(event) => event?,
                None => {
                    self.flush().await?;
                    continue;
                }
            };
            match event {
                DecodeEvent::Token(token) => {
                    self.sample_speed(token.index);
                    self.batch.push(token);
                }
                DecodeEvent::Finished(reason) => {
                    self.flush().await?;
                    return self.tx.send(PeerReply::Home(HomeReply::Finished(reason))).await;
                }
            }
            if self.batch.len() >= MAX_TOKENS_PER_REPLY {
                self.flush().await?;
            }
        }
    }

    /// Measures the stream's speed every `SPEED_SAMPLE_TOKENS` tokens.
    fn sample_speed(&mut self, index: u64) {
        let now = self.home.clock.now();
        let Some((since, first_index)) = self.last_sample else {
            self.last_sample = Some((now, index));
            return;
        };
        let tokens = index.saturating_sub(first_index);
        if tokens < SPEED_SAMPLE_TOKENS {
            return;
        }
        self.last_sample = Some((now, index));
        let remaining = self.req.expected_tokens.saturating_sub(Tokens(index));
        let (id, span) = (self.req.reservation, now - since);
        self.home
            .with_tracker(&self.req.backend, |t| t.record_steps(id, tokens, span, remaining, now));
    }

    async fn flush(&mut self) -> Result<()> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let tokens = std::mem::take(&mut self.batch);
        self.tx.send(PeerReply::Home(HomeReply::Tokens(tokens))).await
    }
}

/// Returns the next event. Without `wait` it returns `None` if no event is ready.
async fn next_event(
    stream: &mut DecodeStream,
    inactivity: &mut InactivityTimer,
    wait: bool,
) -> Option<Result<DecodeEvent>> {
    if !wait {
        return stream.next().now_or_never().map(ended_early);
    }
    let stream_timeout =
        || Error::new(ErrorCode::Timeout, "the decode stream sent no event in time");
    match inactivity.wait(stream.next()).await {
        Some(event) => Some(ended_early(event)),
        None => Some(Err(stream_timeout().execution(Execution::Unknown))),
    }
}

/// Converts the end of a stream before its `Finished` event into an error.
fn ended_early(event: Option<Result<DecodeEvent>>) -> Result<DecodeEvent> {
    event.unwrap_or_else(|| {
        Err(Error::new(ErrorCode::Unavailable, "the decode stream ended before it was finished")
            .execution(Execution::Unknown))
    })
}
