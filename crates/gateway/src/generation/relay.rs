//! The `relay` module streams a model's events to the caller as they arrive, and
//! resumes a broken stream on another engine if the route allows it.

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

use super::GenerationHandler;
use crate::configuration::RepeatPolicy;
use crate::dialect::Phase;
use crate::dispatch::RunNeeds;
use crate::events::{EventSequence, EventSplitter};
use crate::http::BackendResponse;
use crate::loads::{RunGuard, RunSize};
use crate::permits::SendPermit;
use crate::request::InboundRequest;
use crate::responses::Truncated;
use crate::roster::{Server, StreamGuard};

/// The number of events without tokens that a stream may have, such as one at its end.
const MAX_EXTRA_EVENTS: u64 = 16;

/// The number of bytes that a stream may have beside those of its tokens.
const STREAM_BASE_BYTES: usize = 256 * 1024;

/// The number of bytes that an event with one token may have, with the framing.
const MAX_BYTES_PER_TOKEN: usize = 4 * 1024;

/// Returns the number of bytes that an engine may send for a stream of `size`.
fn max_stream_bytes(size: RunSize) -> usize {
    let tokens = usize::try_from(size.max_output).unwrap_or(usize::MAX);
    tokens.saturating_mul(MAX_BYTES_PER_TOKEN).saturating_add(STREAM_BASE_BYTES)
}

/// How long an engine may be silent before its streams go on at another one. A sound engine may
/// fall silent for two seconds, and its host sends the lost packets again a second later.
const MAX_SILENCE: Duration = Duration::from_millis(3_200);

/// The shortest pause between events that is counted as a stall: longer than the gap between
/// events of a busy engine, shorter than the time after which a lost packet is sent again.
const STALL: Duration = Duration::from_millis(150);

/// How often an engine is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How long a broken stream may wait for an engine that limits its requests.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(500);

/// The engine that currently streams, and its response.
pub(super) struct Upstream {
    /// The response whose body is being read.
    pub(super) response: BackendResponse,
    /// The engine.
    pub(super) server: Arc<Server>,
    /// How many engines have run the request, this one included.
    pub(super) runs: u32,
    /// Counts the stream on the engine until it is dropped.
    pub(super) _stream_count: StreamGuard,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// All events were relayed.
    Complete,
    /// The stream ended early or sent an oversized event.
    Broken,
    /// The deadline passed.
    Expired,
}

/// `EventRelay` relays the body of a response to the caller. Dropping it, as happens
/// when the caller disconnects, closes the connection to the engine, which then stops
/// generating.
pub(super) struct EventRelay {
    generations: Arc<GenerationHandler>,
    inbound: Arc<InboundRequest>,
    run: RunGuard,
    upstream: Option<Upstream>,
    needs: RunNeeds,
    tokens_per_event: u64,
    splitter: EventSplitter,
    sequence: EventSequence,
    /// Whether the engine has sent something that is not the next event.
    is_malformed: bool,
    /// The number of events before the first one of the current engine.
    events_before: u64,
    /// Whether another engine began the stream.
    is_resumed: bool,
    started_at: Instant,
    last_frame_at: Instant,
    longest_pause: Duration,
    /// The number of pauses of at least [`STALL`].
    stalls: u32,
    /// Completes at the request's deadline. It is one timer for all events, because a
    /// timer for each event costs more than relaying the event.
    deadline: BoxFuture<'static, ()>,
    /// Completes when the engine is to be checked for silence.
    silence_check: BoxFuture<'static, ()>,
    end: Option<StreamEnd>,
    /// Whether the version of the stream has been recorded.
    version_recorded: bool,
}

type FrameResult = Result<Frame<Bytes>, Truncated>;

impl EventRelay {
    pub(super) fn new(
        generations: Arc<GenerationHandler>,
        inbound: Arc<InboundRequest>,
        run: RunGuard,
        upstream: Upstream,
        needs: RunNeeds,
        tokens_per_event: u64,
    ) -> EventRelay {
        let sequence = EventSequence::after(inbound.metadata.last_event.clone());
        let max_bytes = max_stream_bytes(needs.size);
        upstream.response.connection.reads.set(max_bytes);
        let upstream = Some(upstream);
        let started_at = generations.clock.now();
        let end = None;
        let deadline = task::sleep(inbound.remaining(started_at)).boxed();
        EventRelay {
            generations,
            inbound,
            run,
            upstream,
            needs,
            tokens_per_event,
            splitter: EventSplitter::default(),
            sequence,
            is_malformed: false,
            events_before: 0,
            is_resumed: false,
            started_at,
            last_frame_at: started_at,
            longest_pause: Duration::ZERO,
            stalls: 0,
            deadline,
            silence_check: task::sleep(SILENCE_CHECK_INTERVAL).boxed(),
            end,
            version_recorded: false,
        }
    }

    /// Returns the frames of the response's body.
    pub(super) fn into_stream(self) -> impl Stream<Item = FrameResult> + Send {
        unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item, relay))
        })
    }

    async fn next(&mut self) -> Option<FrameResult> {
        if self.end.is_some() {
            return None;
        }
        loop {
            match self.read().await {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    self.record_version();
                    return Some(Ok(Frame::data(events)));
                }
                Err(StreamEnd::Complete) => {
                    self.finish(StreamEnd::Complete);
                    return None;
                }
                Err(StreamEnd::Broken) if self.resume().await => {}
                Err(end) => {
                    self.finish(end);
                    return Some(Err(Truncated));
                }
            }
        }
    }

    /// Returns the number of tokens in the events so far.
    fn tokens(&self) -> u64 {
        self.sequence.events().saturating_mul(self.tokens_per_event)
    }

    /// Records the version at which the stream began, once its first events are there.
    fn record_version(&mut self) {
        let Some(upstream) = self.upstream.as_ref().filter(|_| !self.version_recorded) else {
            return;
        };
        self.version_recorded = true;
        let version = upstream.server.version;
        self.needs.version = Some(version);
        let metadata = &self.inbound.metadata;
        let resumable = self.inbound.route.repeat == RepeatPolicy::ResumableStream;
        if let Some(first) = metadata.resumes.as_ref().or(metadata.id.as_ref())
            && resumable
        {
            self.generations.streams.record(&self.inbound.service, first, version);
            self.generations.loads.notify();
        }
    }

    /// Reads the next frame from the engine and returns the events that it completes.
    async fn read(&mut self) -> Result<Bytes, StreamEnd> {
        let Some(upstream) = self.upstream.as_mut().filter(|_| !self.is_malformed) else {
            return Err(StreamEnd::Broken);
        };
        let frame = upstream.response.body.frame();
        let interrupt = select(&mut self.deadline, &mut self.silence_check);
        let frame = match select(pin!(frame), interrupt).await {
            Either::Left((frame, _)) => frame,
            Either::Right((Either::Left(_), _)) => return Err(StreamEnd::Expired),
            Either::Right((Either::Right(_), _)) => {
                self.silence_check = task::sleep(SILENCE_CHECK_INTERVAL).boxed();
                return if self.is_given_up() { Err(StreamEnd::Broken) } else { Ok(Bytes::new()) };
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let now = self.generations.clock.now();
                upstream.server.state.record_activity(now);
                let pause = now.saturating_duration_since(self.last_frame_at);
                self.longest_pause = self.longest_pause.max(pause);
                self.stalls += u32::from(pause >= STALL);
                self.last_frame_at = now;
                let known = self.sequence.events();
                let data = frame.into_data().unwrap_or_default();
                let mut events = self.splitter.push(&data);
                let accepted = self.sequence.accept(&events);
                if accepted < events.len() {
                    self.is_malformed = true;
                    log_malformed(&self.inbound, &upstream.server, &events[accepted..]);
                    events.truncate(accepted);
                }
                if known == self.events_before && self.sequence.events() > known {
                    self.generations.crashes.record_answer(&self.inbound);
                }
                self.run.record_progress(self.tokens());
                // Each event has at least one token.
                let max_events = self.needs.size.max_output.saturating_add(MAX_EXTRA_EVENTS);
                let too_many = self.sequence.events() > max_events;
                if self.splitter.is_overlong() || too_many {
                    return Err(StreamEnd::Broken);
                }
                Ok(events)
            }
            Some(Err(_)) => Err(StreamEnd::Broken),
            None if self.splitter.is_inside_event() => Err(StreamEnd::Broken),
            // An empty body is whole only as the answer of the engine that was asked first.
            None if self.sequence.events() == self.events_before
                && (self.is_resumed || !upstream.response.is_framed()) =>
            {
                Err(StreamEnd::Broken)
            }
            None => Err(StreamEnd::Complete),
        }
    }

    /// Tells whether the stream should go on at another engine because this one has been silent
    /// on all its streams for longer than a sound one. Others wait until the connection breaks.
    fn is_given_up(&self) -> bool {
        let Some(upstream) = &self.upstream else { return false };
        let now = self.generations.clock.now();
        let route = &self.inbound.route;
        route.repeat == RepeatPolicy::ResumableStream
            && upstream.runs < route.max_attempts
            && now.saturating_duration_since(self.last_frame_at) >= MAX_SILENCE
            && upstream.server.state.is_silent(now)
    }

    /// Resumes the stream on another engine after the last complete event. Returns false
    /// when the route, the budget or the deadline does not allow it.
    async fn resume(&mut self) -> bool {
        let Some(failed) = self.upstream.take() else { return false };
        self.exclude_if_silent(&failed.server);
        let Upstream { response, server, runs, .. } = failed;
        // Closes the connection, so that the first engine stops before the second starts.
        drop(response);
        self.splitter.discard_partial();
        let generations = self.generations.clone();
        let now = generations.clock.now();
        server.state.health(|h| h.record_failure(now));
        let has_begun = self.sequence.events() > self.events_before;
        if !has_begun && !self.is_malformed {
            generations.crashes.report(&self.inbound, &server, &generations.peers);
        }
        let route = &self.inbound.route;
        let allowed = generations.mechanisms.resumption
            && route.repeat == RepeatPolicy::ResumableStream
            && self.sequence.is_resumable()
            && runs < route.max_attempts
            && (has_begun || !generations.crashes.is_suspect(&self.inbound));
        self.log_broken(&server, allowed);
        if !allowed || !generations.take_extra_send(&self.inbound, now) {
            return false;
        }
        let tried = vec![server.entry.instance.clone()];
        self.resume_on_another(tried, runs).await
    }

    async fn resume_on_another(&mut self, tried: Vec<Name>, runs: u32) -> bool {
        let generations = self.generations.clone();
        if generations.crashes.check(&self.inbound, &generations.peers).await.is_err() {
            return false;
        }
        let engine = permitted_engine(&generations, &self.inbound, self.needs, tried);
        let Some((server, permit)) = engine.await else { return false };
        let now = generations.clock.now();
        self.run.reassign(server.key);
        let last_event = self.sequence.last_id().cloned();
        let phase = Phase::Decode { kv_cache: None, last_event };
        let remaining = self.inbound.remaining(now);
        match generations.send(&self.inbound, &server, permit, phase, remaining).await {
            Ok(response) if response.head.status.is_success() && response.metadata.sealed => {
                response.connection.reads.set(max_stream_bytes(self.needs.size));
                let instance = &*server.entry.instance;
                log::info!(event = "resumed", request = self.inbound.log_id(), server = instance, version = &*server.entry.version, after = self.sequence.events(); "");
                let _stream_count = StreamGuard::begin(&server, generations.clock.now());
                self.upstream = Some(Upstream { response, server, runs: runs + 1, _stream_count });
                self.events_before = self.sequence.events();
                self.sequence.begin_run();
                (self.is_resumed, self.is_malformed) = (true, false);
                true
            }
            _ => false,
        }
    }

    fn finish(&mut self, end: StreamEnd) {
        self.end = Some(end);
        let Some(upstream) = self.upstream.take() else { return };
        if end == StreamEnd::Complete {
            let now = self.generations.clock.now();
            self.run.record_pace(self.tokens(), now.saturating_duration_since(self.started_at));
            let BackendResponse { connection, metadata, .. } = upstream.response;
            self.generations.client.release(connection, &metadata);
            upstream.server.state.health(|h| h.record_success(self.generations.clock.now()));
        }
    }

    /// Excludes an engine for a while that has stopped sending, because nothing else
    /// shows its state once its streams have ended.
    fn exclude_if_silent(&self, server: &Server) {
        let now = self.generations.clock.now();
        if !server.state.is_silent(now) {
            return;
        }
        let pause = server.state.health(|h| h.record_unreachable(now));
        let (instance, pause_ms) = (&*server.entry.instance, pause.as_millis() as u64);
        log::info!(event = "engine_silent", request = self.inbound.log_id(), server = instance, pause_ms; "");
    }

    fn log_broken(&self, server: &Server, resumable: bool) {
        let parts = self.inbound.log_parts();
        log::info!(
            event = "stream_broken", request = self.inbound.log_id(),
            server = &*server.entry.instance, events = self.sequence.events(), resumable,
            parts = parts.as_str(); ""
        );
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        let outcome = match self.end {
            Some(StreamEnd::Complete) => "complete",
            Some(StreamEnd::Broken) => "broken",
            Some(StreamEnd::Expired) => "expired",
            None => "caller_gone",
        };
        if let Some(upstream) = &self.upstream {
            self.exclude_if_silent(&upstream.server);
        }
        let metrics = &self.generations.metrics;
        metrics.stream_ended(outcome, self.longest_pause);
        let (events, pause_ms) = (self.sequence.events(), self.longest_pause.as_millis() as u64);
        log::info!(event = "stream_ended", request = self.inbound.log_id(), outcome, events, pause_ms, stalls = self.stalls; "");
    }
}

/// The number of bytes that are logged of what is no event.
const MAX_LOGGED_BYTES: usize = 80;

fn log_malformed(inbound: &InboundRequest, server: &Server, sent: &[u8]) {
    let text = sent[..sent.len().min(MAX_LOGGED_BYTES)].escape_ascii().to_string();
    let (instance, bytes) = (&*server.entry.instance, sent.len());
    log::warn!(event = "stream_malformed", request = inbound.log_id(), server = instance, bytes, text = text.as_str(); "");
}

/// Returns an engine on which a stream may go on, with a permit for it.
async fn permitted_engine(
    generations: &GenerationHandler,
    inbound: &InboundRequest,
    needs: RunNeeds,
    mut tried: Vec<Name>,
) -> Option<(Arc<Server>, SendPermit)> {
    let GenerationHandler { dispatcher, permits, clock, .. } = generations;
    loop {
        let server =
            dispatcher.choose_decode_engine(&inbound.service, needs, clock.now(), &tried)?;
        match permits.acquire(&server, MAX_PERMIT_WAIT).await {
            Ok(permit) => return Some((server, permit)),
            Err(_) => tried.push(server.entry.instance.clone()),
        }
    }
}
