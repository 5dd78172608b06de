//! The `decode` module runs decodes for entry hosts and relays their tokens.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Tokens};
use aspenloft_policy::reservations::Begin;
use aspenloft_protocol::engine::{DecodeCommand, DecodeEvent, DecodeStream, ModelEngine, Token};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomeDecode, HomeReply};
use aspenloft_transport::inactivity::InactivityTimer;
use async_std::task;
use futures::StreamExt;
use futures::future::FutureExt;

use super::deaths;
use super::service::{ENGINE_HOLD, HomeService, Room, engine};
use crate::node::Node;
use crate::peers::ReplySender;

/// The longest decode that a reservation covers.
const LONGEST_DECODE: Duration = Duration::from_secs(600);

/// The longest silence of a decode stream before it is given up.
pub const STREAM_SILENCE: Duration = Duration::from_secs(1);

/// How often a slot that should be free is looked at.
const SLOT_LOOK: Duration = Duration::from_millis(5);

/// How long an engine whose slot should be free may still refuse: it learns of a
/// stream's end a little later than its home.
const ENGINE_LAG: Duration = Duration::from_millis(100);

/// The most tokens in one reply.
const MAX_BATCH: usize = 64;

/// Tokens after which the stream's speed is noted.
const NOTE_TOKENS: u64 = 8;

impl HomeService {
    /// Runs a decode; the slot is given back when the call ends.
    pub(super) async fn decode(
        &self,
        node: &Arc<Node>,
        req: HomeDecode,
        tx: &ReplySender,
    ) -> Result<()> {
        let _room = Room { home: self, backend: &req.backend, id: req.reservation };
        let backend = self.staying(&req.backend)?;
        self.await_slot(&req).await?;
        let claim = self.claims.claim(&backend, &req.request, req.fingerprint).await?;
        deaths::prove_alive(node, &backend, req.fingerprint).await?;
        let opened = self.open(&backend, &req).await;
        if let Err(e) = &opened {
            // A transfer that stalls says nothing against the decode server.
            if e.code != ErrorCode::Timeout {
                self.note_failure(&backend, e);
            }
            deaths::inquire(node, &backend, e).await;
        }
        let stream = opened?;
        self.publish(&backend);
        let mut relay = Relay { home: self, req: &req, tx, batch: Vec::new(), mark: None };
        let relayed = relay.run(stream).await;
        match &relayed {
            Ok(()) => claim.done(),
            Err(e) => deaths::inquire(node, &backend, e).await,
        }
        relayed
    }

    /// Waits until the reserved slot is free, against prediction.
    async fn await_slot(&self, req: &HomeDecode) -> Result<()> {
        let ends = self.clock.now() + req.limit;
        loop {
            let now = self.clock.now();
            let longest = LONGEST_DECODE;
            match self.with(&req.backend, |a| a.begin_decode(req.reservation, longest, now)) {
                Begin::Started => return Ok(()),
                Begin::Lapsed => {
                    return Err(Error::new(ErrorCode::Timeout, "the reservation has lapsed"));
                }
                Begin::Wait(_) if now >= ends => {
                    return Err(Error::new(ErrorCode::Overloaded, "no slot came free in time"));
                }
                Begin::Wait(_) => {
                    // The reservation stands for as long as its owner waits here.
                    self.with(&req.backend, |a| a.postpone(req.reservation, now, now));
                    task::sleep(SLOT_LOOK).await;
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
            hold: ENGINE_HOLD,
        };
        let tries_end = self.clock.now() + ENGINE_LAG;
        loop {
            let opened = engine(backend).decode(&command, req.limit).await;
            match opened {
                Err(e) if e.code == ErrorCode::Overloaded && self.clock.now() < tries_end => {
                    task::sleep(SLOT_LOOK).await;
                }
                other => return other,
            }
        }
    }
}

/// `Relay` carries one stream's tokens to the entry host.
struct Relay<'a> {
    home: &'a HomeService,
    req: &'a HomeDecode,
    tx: &'a ReplySender,
    batch: Vec<Token>,
    /// When the speed was last noted, and the index of the token then.
    mark: Option<(Instant, u64)>,
}

impl Relay<'_> {
    /// Relays a stream, joining the tokens that are ready together.
    async fn run(&mut self, mut stream: DecodeStream) -> Result<()> {
        let mut silence = InactivityTimer::new(STREAM_SILENCE);
        loop {
            let event = match next_event(&mut stream, &mut silence, self.batch.is_empty()).await {
                Some(event) => event?,
                None => {
                    self.flush().await?;
                    continue;
                }
            };
            match event {
                DecodeEvent::Token(token) => {
                    self.note(token.index);
                    self.batch.push(token);
                }
                DecodeEvent::Finished(reason) => {
                    self.flush().await?;
                    return self.tx.send(PeerReply::Home(HomeReply::Finished(reason))).await;
                }
            }
            if self.batch.len() >= MAX_BATCH {
                self.flush().await?;
            }
        }
    }

    /// Notes the stream's speed now and then.
    fn note(&mut self, index: u64) {
        let now = self.home.clock.now();
        let Some((at, from)) = self.mark else {
            self.mark = Some((now, index));
            return;
        };
        let tokens = index.saturating_sub(from);
        if tokens < NOTE_TOKENS {
            return;
        }
        self.mark = Some((now, index));
        let left = self.req.expected_tokens.saturating_sub(Tokens(index));
        let (id, span) = (self.req.reservation, now - at);
        self.home.with(&self.req.backend, |a| a.note_steps(id, tokens, span, left, now));
    }

    async fn flush(&mut self) -> Result<()> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let tokens = std::mem::take(&mut self.batch);
        self.tx.send(PeerReply::Home(HomeReply::Tokens(tokens))).await
    }
}

/// Returns the next event; when not told to wait, `None` if none is ready.
async fn next_event(
    stream: &mut DecodeStream,
    silence: &mut InactivityTimer,
    wait: bool,
) -> Option<Result<DecodeEvent>> {
    if !wait {
        return stream.next().now_or_never().map(ended_early);
    }
    let silent = || Error::new(ErrorCode::Timeout, "the decode stream went silent");
    match silence.wait(stream.next()).await {
        Some(event) => Some(ended_early(event)),
        None => Some(Err(silent().execution(Execution::Unknown))),
    }
}

/// Turns the end of a stream without a finish into an error.
fn ended_early(event: Option<Result<DecodeEvent>>) -> Result<DecodeEvent> {
    event.unwrap_or_else(|| {
        Err(Error::new(ErrorCode::Unavailable, "the decode stream broke off")
            .execution(Execution::Unknown))
    })
}
