//! The `decode` module runs decodes for entry hosts and relays their tokens.

use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::RequestId;
use aspenloft_protocol::engine::{
    DecodeCommand, DecodeEvent, DecodeStream, EngineClient, ExtendCommand, ModelEngine, Token,
};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::home::{HomeDecode, HomeReply};
use async_std::future::timeout;
use async_std::task;
use futures::future::{Either, FutureExt, select};
use futures::{StreamExt, pin_mut};

use super::service::{ENGINE_HOLD, HomeService, cancel_on_drop, engine};
use crate::peers::ReplySender;

/// The longest decode that a reservation covers.
const LONGEST_DECODE: Duration = Duration::from_secs(600);

/// The longest silence of a decode stream before it is given up.
const STREAM_SILENCE: Duration = Duration::from_secs(2);

/// How often the home extends an engine's hold on a stream.
const EXTEND_INTERVAL: Duration = Duration::from_millis(500);

/// The most tokens in one reply.
const MAX_BATCH: usize = 64;

impl HomeService {
    /// Runs a decode; the slot is given back when the call ends.
    pub(super) async fn decode(&self, req: HomeDecode, tx: &ReplySender) -> Result<()> {
        let backend = self.view.backend(&req.backend)?;
        let source = self.view.backend(&req.source)?;
        self.begin(&req.backend, req.reservation, LONGEST_DECODE)?;
        let _slot = ReleaseGuard { home: self, req: &req };
        let _guard = cancel_on_drop(&backend, &req.request);
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
        let engine = engine(&backend);
        let stream = engine.decode(&command, req.limit).await?;
        let relay = relay(stream, tx);
        let extend = extend_for_ever(&engine, &req.request);
        pin_mut!(relay, extend);
        match select(relay, extend).await {
            Either::Left((relayed, _)) => relayed,
            Either::Right((never, _)) => match never {},
        }
    }
}

/// Relays a stream, joining the tokens that are ready together.
async fn relay(mut stream: DecodeStream, tx: &ReplySender) -> Result<()> {
    let mut batch: Vec<Token> = Vec::new();
    loop {
        let event = match next_event(&mut stream, batch.is_empty()).await {
            Some(event) => event?,
            None => {
                flush(&mut batch, tx).await?;
                continue;
            }
        };
        match event {
            DecodeEvent::Token(token) => batch.push(token),
            DecodeEvent::Finished(reason) => {
                flush(&mut batch, tx).await?;
                return tx.send(PeerReply::Home(HomeReply::Finished(reason))).await;
            }
        }
        if batch.len() >= MAX_BATCH {
            flush(&mut batch, tx).await?;
        }
    }
}

/// Returns the next event; when not told to wait, `None` if none is ready.
async fn next_event(stream: &mut DecodeStream, wait: bool) -> Option<Result<DecodeEvent>> {
    if !wait {
        return stream.next().now_or_never().map(ended_early);
    }
    let silence = Error::new(ErrorCode::Timeout, "the decode stream went silent");
    match timeout(STREAM_SILENCE, stream.next()).await {
        Ok(event) => Some(ended_early(event)),
        Err(_) => Some(Err(silence.execution(Execution::Unknown))),
    }
}

/// Turns the end of a stream without a finish into an error.
fn ended_early(event: Option<Result<DecodeEvent>>) -> Result<DecodeEvent> {
    event.unwrap_or_else(|| {
        Err(Error::new(ErrorCode::Unavailable, "the decode stream broke off")
            .execution(Execution::Unknown))
    })
}

async fn flush(batch: &mut Vec<Token>, tx: &ReplySender) -> Result<()> {
    if batch.is_empty() {
        return Ok(());
    }
    tx.send(PeerReply::Home(HomeReply::Tokens(std::mem::take(batch)))).await
}

/// Gives the engine signs of life for the stream until dropped.
async fn extend_for_ever(engine: &EngineClient, request: &RequestId) -> std::convert::Infallible {
    let command = ExtendCommand { requests: vec![request.clone()], hold: ENGINE_HOLD };
    loop {
        task::sleep(EXTEND_INTERVAL).await;
        // A lost sign is made good by the next one.
        let _ = engine.extend(&command).await;
    }
}

/// Gives the decode's slot back when the call ends, however it ends.
struct ReleaseGuard<'a> {
    home: &'a HomeService,
    req: &'a HomeDecode,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        self.home.release(&self.req.backend, self.req.reservation);
    }
}
