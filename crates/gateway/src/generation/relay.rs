//! The `relay` module passes a model's events to the caller as they arrive, and
//! goes on at another engine where the route allows it.

use std::pin::pin;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use async_std::task;
use bytes::Bytes;
use futures::future::{BoxFuture, Either, select};
use futures::stream::unfold;
use futures::{FutureExt, Stream};
use http_body_util::BodyExt;
use hyper::body::Frame;

use super::Generations;
use crate::answers::Truncated;
use crate::configuration::Repeat;
use crate::dialect::Phase;
use crate::events::EventSplitter;
use crate::http::Answer;
use crate::loads::{RunGuard, RunSize};
use crate::request::Inbound;
use crate::roster::{Server, StreamCount};

/// The engine that streams now.
pub(super) struct Upstream {
    /// Its answer.
    pub(super) answer: Answer,
    /// The engine.
    pub(super) server: Arc<Server>,
    /// How many engines have run the request.
    pub(super) runs: u32,
    /// Counts the stream.
    pub(super) _stream: StreamCount,
}

/// What the stream ended with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// All events have passed.
    Complete,
    /// The stream broke off.
    Broken,
    /// The deadline passed.
    Expired,
}

/// `EventRelay` is an answer on its way to the caller. Dropping it, as happens when
/// the caller goes, closes the connection to the engine, which ends the work there.
pub(super) struct EventRelay {
    generations: Arc<Generations>,
    inbound: Arc<Inbound>,
    run: RunGuard,
    upstream: Option<Upstream>,
    size: RunSize,
    tokens_per_event: u64,
    splitter: EventSplitter,
    began: Instant,
    heard: Instant,
    longest_pause: Duration,
    /// Ends with the request's time. One timer serves all events: setting one for each
    /// cost more than passing the event on.
    deadline: BoxFuture<'static, ()>,
    end: Option<End>,
}

type Item = Result<Frame<Bytes>, Truncated>;

impl EventRelay {
    pub(super) fn new(
        generations: Arc<Generations>,
        inbound: Arc<Inbound>,
        run: RunGuard,
        upstream: Upstream,
        size: RunSize,
        tokens_per_event: u64,
    ) -> EventRelay {
        let splitter = EventSplitter::default();
        let upstream = Some(upstream);
        let began = generations.clock.now();
        let end = None;
        let deadline = task::sleep(inbound.left(began)).boxed();
        EventRelay {
            generations,
            inbound,
            run,
            upstream,
            size,
            tokens_per_event,
            splitter,
            began,
            heard: began,
            longest_pause: Duration::ZERO,
            deadline,
            end,
        }
    }

    /// Returns the frames of the answer's body.
    pub(super) fn into_stream(self) -> impl Stream<Item = Item> + Send {
        unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item, relay))
        })
    }

    async fn next(&mut self) -> Option<Item> {
        if self.end.is_some() {
            return None;
        }
        loop {
            match self.read().await {
                Ok(whole) if whole.is_empty() => {}
                Ok(whole) => return Some(Ok(Frame::data(whole))),
                Err(End::Complete) => {
                    self.finish(End::Complete);
                    return None;
                }
                Err(End::Broken) if self.resume().await => {}
                Err(end) => {
                    self.finish(end);
                    return Some(Err(Truncated));
                }
            }
        }
    }

    /// Reads what the engine has sent; returns the whole events in it.
    async fn read(&mut self) -> Result<Bytes, End> {
        let Some(upstream) = self.upstream.as_mut() else { return Err(End::Broken) };
        let frame = upstream.answer.body.frame();
        let frame = match select(pin!(frame), &mut self.deadline).await {
            Either::Left((frame, _)) => frame,
            Either::Right(_) => return Err(End::Expired),
        };
        match frame {
            Some(Ok(frame)) => {
                let now = self.generations.clock.now();
                upstream.server.state.heard(now);
                let pause = now.saturating_duration_since(self.heard);
                self.longest_pause = self.longest_pause.max(pause);
                self.heard = now;
                let whole = frame.data_ref().map(|data| self.splitter.push(data));
                self.run.progress(self.splitter.events() * self.tokens_per_event);
                if self.splitter.is_overlong() {
                    return Err(End::Broken);
                }
                Ok(whole.unwrap_or_default())
            }
            Some(Err(_)) => Err(End::Broken),
            None if self.splitter.is_inside_event() => Err(End::Broken),
            None => Err(End::Complete),
        }
    }

    /// Goes on at another engine after the last whole event; false when the route,
    /// the budget or the time does not allow it.
    async fn resume(&mut self) -> bool {
        let Some(broken) = self.upstream.take() else { return false };
        self.note_silence(&broken.server);
        let Upstream { answer, server, runs, .. } = broken;
        // The first engine must have stopped before the second starts.
        drop(answer);
        self.splitter.discard_partial();
        let generations = self.generations.clone();
        let now = generations.clock.now();
        server.state.health(|h| h.record_failure(now));
        generations.peers.broke(self.inbound.id(), self.inbound.fingerprint(), &server);
        let route = &self.inbound.route;
        let allowed = route.repeat == Repeat::ResumableStream && runs < route.max_attempts;
        self.log_broken(&server, allowed);
        if !allowed || !generations.may_send_again(&self.inbound, now) {
            return false;
        }
        let tried = [server.entry.instance.clone()];
        self.resume_at_another(&tried, runs).await
    }

    async fn resume_at_another(&mut self, tried: &[Name], runs: u32) -> bool {
        let generations = self.generations.clone();
        let now = generations.clock.now();
        let service = &self.inbound.service;
        let Some(server) = generations.dispatcher.decode_engine(service, self.size, now, tried)
        else {
            return false;
        };
        self.run.moved(server.key);
        let last_event = self.splitter.last_id().map(str::to_string);
        let phase = Phase::Decode { memory: None, last_event };
        let left = self.inbound.left(now);
        match generations.send(&self.inbound, &server, phase, left).await {
            Ok(answer) if answer.head.status.is_success() && answer.terms.sealed => {
                let at = &*server.entry.instance;
                log::info!(event = "resumed", request = self.inbound.id(), server = at, after = self.splitter.events(); "");
                let _stream = StreamCount::begin(&server, generations.clock.now());
                self.upstream = Some(Upstream { answer, server, runs: runs + 1, _stream });
                true
            }
            _ => false,
        }
    }

    fn finish(&mut self, end: End) {
        self.end = Some(end);
        let Some(upstream) = self.upstream.take() else { return };
        if end == End::Complete {
            let now = self.generations.clock.now();
            let tokens = self.splitter.events() * self.tokens_per_event;
            self.run.paced(tokens, now.saturating_duration_since(self.began));
            let Answer { connection, terms, .. } = upstream.answer;
            self.generations.exchange.finish(connection, &terms);
            upstream.server.state.health(|h| h.record_success(self.generations.clock.now()));
        }
    }

    /// Leaves out an engine that has fallen silent, for nothing else shows it once its
    /// streams have ended.
    fn note_silence(&self, server: &Server) {
        let now = self.generations.clock.now();
        if !server.state.is_silent(now) {
            return;
        }
        let pause = server.state.health(|h| h.record_unreachable(now));
        let (at, pause_ms) = (&*server.entry.instance, pause.as_millis() as u64);
        log::info!(event = "engine_silent", request = self.inbound.id(), server = at, pause_ms; "");
    }

    fn log_broken(&self, server: &Server, resumable: bool) {
        log::info!(
            event = "stream_broken", request = self.inbound.id(),
            server = &*server.entry.instance, events = self.splitter.events(), resumable; ""
        );
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        let outcome = match self.end {
            Some(End::Complete) => "complete",
            Some(End::Broken) => "broken",
            Some(End::Expired) => "expired",
            None => "caller_gone",
        };
        if let Some(upstream) = &self.upstream {
            self.note_silence(&upstream.server);
        }
        let metrics = &self.generations.metrics;
        metrics.stream_ended(outcome, self.longest_pause);
        let (events, pause_ms) = (self.splitter.events(), self.longest_pause.as_millis() as u64);
        log::info!(event = "stream_ended", request = self.inbound.id(), outcome, events, pause_ms; "");
    }
}
