//! The `work` module simulates prefills, KV cache exports and decodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, not_found};
use aspenloft_core::execution::Execution;
use aspenloft_core::pieces::piece_hashes;
use aspenloft_core::prelude::{Name, RequestId, Tokens};
use aspenloft_core::units::{CACHE_PIECE_TOKENS, estimate_tokens};
use aspenloft_protocol::engine::{
    DecodeCommand, DecodeEvent, FinishReason, HoldState, KvHandle, PrefillCommand, PrefillResult,
    Token, paths,
};
use aspenloft_transport::http;
use async_std::task;
use futures::future::{Either, select};
use futures::pin_mut;
use serde::{Deserialize, Serialize};

use super::link::TRANSFER_CHUNK_TOKENS;
use super::standin::{EngineStandin, POLL_INTERVAL, State};
use super::text::{CRASH_MARKER, DECODE_CRASH_MARKER, expected_text, token_text};

/// Timeout of a decode engine for fetching a KV cache from a prefill engine.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// `ExportCommand` requests the bytes of a KV cache. The stand-in returns the prompt
/// instead of the bytes.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ExportCommand {
    kv: KvHandle,
}

/// `ExportResult` takes the place of the bytes of a KV cache.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ExportResult {
    prompt: Name,
}

impl EngineStandin {
    /// Queues a prefill and runs it once the queue admits it.
    pub(super) async fn prefill(&self, command: PrefillCommand) -> Result<PrefillResult> {
        self.check_accepting()?;
        let tokens = estimate_tokens(command.prompt.len());
        let admitted = self.enqueue(&command, tokens);
        let Ok(ticket) = admitted.await else {
            return Err(Error::new(ErrorCode::Cancelled, "the prefill was cancelled in the queue"));
        };
        let _running = RunningPrefill {
            engine: self,
            ticket,
            incarnation: self.state.lock().incarnation.number,
        };
        let pieces = piece_hashes(&self.options.model, &command.prompt);
        let (computed, took) = self.begin_prefill(&command, tokens, &pieces)?;
        self.run_prefill(&command, took).await?;
        self.record_prefill_tokens(computed);
        self.finish_prefill(&command, tokens, computed, &pieces, took)
    }

    fn enqueue(
        &self,
        command: &PrefillCommand,
        tokens: Tokens,
    ) -> futures::channel::oneshot::Receiver<u64> {
        let mut state = self.state.lock();
        let expires_at = Instant::now() + command.hold;
        state.holds.start(&command.request, &command.owner, HoldState::Queued, expires_at);
        let admitted = state.queue.enqueue(&command.request, tokens, command.priority);
        self.record_load(&mut state);
        admitted
    }

    /// Starts an admitted prefill. Returns the number of tokens that are not cached and
    /// the time to compute them.
    fn begin_prefill(
        &self,
        command: &PrefillCommand,
        tokens: Tokens,
        pieces: &[u64],
    ) -> Result<(Tokens, Duration)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.holds.expire(now);
        if !state.holds.set_state(&command.request, HoldState::Prefill) {
            return Err(Error::new(ErrorCode::Cancelled, "the hold expired in the queue"));
        }
        let cached = Tokens(state.cache.cached_prefix(pieces) as u64 * CACHE_PIECE_TOKENS);
        let computed = tokens.saturating_sub(cached);
        let took = self.options.prefill_per_token * computed.0 as u32;
        state.holds.extend(&command.request, now + took + command.hold);
        state.records.record_prefill(&command.request, &command.prompt);
        Ok((computed, took))
    }

    async fn run_prefill(&self, command: &PrefillCommand, took: Duration) -> Result<()> {
        self.simulate_work(took / 2).await;
        if command.prompt.contains(CRASH_MARKER) {
            self.crash();
            // No await follows the crash, so the HTTP handler sends this error as the answer
            // instead of dropping the connection.
            return Err(crashed());
        }
        self.simulate_work(took - took / 2).await;
        Ok(())
    }

    fn finish_prefill(
        &self,
        command: &PrefillCommand,
        tokens: Tokens,
        computed: Tokens,
        pieces: &[u64],
        took: Duration,
    ) -> Result<PrefillResult> {
        let now = Instant::now();
        let ttl = command.hold.min(self.options.result_ttl);
        let mut state = self.state.lock();
        state.holds.expire(now);
        state.cache.insert(pieces, now);
        let stored =
            state.holds.store_result(&command.request, &command.prompt, computed, ttl, now);
        self.record_load(&mut state);
        let kv = stored.ok_or_else(|| {
            Error::new(ErrorCode::Cancelled, "the prefill was cancelled").execution(Execution::Run)
        })?;
        let cached_tokens = tokens.saturating_sub(computed);
        Ok(PrefillResult { kv, prompt_tokens: tokens, cached_tokens, took, expires: ttl })
    }

    /// Sends a KV cache in chunks over the link that all exports share. Fails if the cache
    /// is evicted before the transfer ends.
    pub(super) async fn export(&self, command: &ExportCommand) -> Result<ExportResult> {
        let evicted = || not_found("the KV cache has been evicted");
        let stored = {
            let mut state = self.state.lock();
            state.holds.expire(Instant::now());
            state.holds.begin_export(&command.kv).ok_or_else(evicted)?
        };
        let mut export = ActiveExport { engine: self, kv: &command.kv, complete: false };
        let mut left = estimate_tokens(stored.prompt.len()).0;
        while left > 0 {
            let chunk = left.min(TRANSFER_CHUNK_TOKENS);
            self.send_chunk(chunk).await;
            let mut state = self.state.lock();
            state.holds.expire(Instant::now());
            if !state.holds.has_result(&command.kv) {
                return Err(evicted());
            }
            left -= chunk;
        }
        export.complete = true;
        Ok(ExportResult { prompt: stored.prompt })
    }

    async fn send_chunk(&self, tokens: u64) {
        while self.faults.lock().stall_exports {
            task::sleep(POLL_INTERVAL).await;
        }
        let duration = self.options.transfer_per_token * tokens as u32;
        let duration = self.faults.lock().with_slowdown(duration);
        let now = Instant::now();
        let sent_at = self.state.lock().link.reserve(duration, now);
        task::sleep(sent_at.saturating_duration_since(now)).await;
        self.wait_while_frozen().await;
    }

    /// Takes a decode slot and fetches the KV cache. Returns the prompt.
    pub(super) async fn import(&self, command: &DecodeCommand) -> Result<Name> {
        self.check_accepting()?;
        if self.active_slots() >= self.options.slots {
            return Err(Error::new(ErrorCode::Overloaded, "no decode slot is free"));
        }
        {
            let mut state = self.state.lock();
            let expires_at = Instant::now() + command.hold;
            state.holds.start(&command.request, &command.owner, HoldState::Importing, expires_at);
            self.record_load(&mut state);
        }
        let imported = self.fetch(command).await;
        let verified = imported.and_then(|prompt| check_sent(command, &prompt).map(|()| prompt));
        let decoding = verified.and_then(|prompt| {
            let held = self.state.lock().holds.set_state(&command.request, HoldState::Decoding);
            held.then_some(prompt).ok_or_else(cancelled)
        });
        decoding.inspect_err(|_| self.release(&command.request))
    }

    async fn fetch(&self, command: &DecodeCommand) -> Result<Name> {
        let export = ExportCommand { kv: command.kv.clone() };
        let exported =
            http::post_json::<ExportResult>(command.source, paths::EXPORT, &export, EXPORT_TIMEOUT);
        let released = self.wait_until_released(&command.request);
        pin_mut!(exported, released);
        match select(exported, released).await {
            Either::Left((exported, _)) => Ok(exported?.prompt),
            Either::Right(((), _)) => Err(cancelled()),
        }
    }

    /// Waits until the request's hold has been cancelled or has expired.
    async fn wait_until_released(&self, request: &RequestId) {
        loop {
            task::sleep(POLL_INTERVAL).await;
            let mut state = self.state.lock();
            state.holds.expire(Instant::now());
            if !state.holds.contains(request) {
                return;
            }
        }
    }

    /// Generates the tokens of a stream. Returns an error if a send fails, which happens
    /// when the reader has disconnected.
    pub(super) async fn generate(
        self: &Arc<Self>,
        command: &DecodeCommand,
        prompt: &str,
        sender: &async_sse::Sender,
    ) -> std::io::Result<()> {
        for index in command.from_token..command.max_tokens.0 {
            self.simulate_work(self.step_time()).await;
            while self.faults.lock().stall_streams {
                task::sleep(POLL_INTERVAL).await;
            }
            if prompt.contains(DECODE_CRASH_MARKER) {
                self.state.lock().records.record_decode(&command.request, prompt);
                self.crash();
                return Ok(());
            }
            if !self.record_token(command, prompt, index) {
                return Ok(());
            }
            let text = token_text(prompt, index).into();
            let event = DecodeEvent::Token(Token { index, text });
            for _ in 0..self.copies() {
                send_event(sender, &event).await?;
            }
        }
        send_event(sender, &DecodeEvent::Finished(FinishReason::Length)).await
    }

    /// Returns the duration of a decode step, which yields one token for every stream.
    fn step_time(&self) -> Duration {
        let others = self.active_slots().saturating_sub(1);
        self.options.step + self.options.step_per_stream * others
    }

    /// Returns how many times to send the next token. While `repeat_tokens` is above zero,
    /// decrements it and returns 2.
    fn copies(&self) -> u32 {
        let mut faults = self.faults.lock();
        if faults.repeat_tokens == 0 {
            return 1;
        }
        faults.repeat_tokens -= 1;
        2
    }

    /// Records a generated token. Returns `false` if the request's hold no longer exists.
    fn record_token(&self, command: &DecodeCommand, prompt: &str, index: u64) -> bool {
        let mut state = self.state.lock();
        state.holds.expire(Instant::now());
        if !state.holds.set_generated(&command.request, index + 1) {
            return false;
        }
        if index == command.from_token {
            state.records.record_decode(&command.request, prompt);
        }
        state.records.generated_tokens += Tokens(1);
        true
    }
}

/// `RunningPrefill` removes a running prefill from the queue when it is dropped, also
/// after an error or a cancellation. After a crash it does nothing, since the queue is new.
struct RunningPrefill<'a> {
    engine: &'a EngineStandin,
    ticket: u64,
    incarnation: u64,
}

impl Drop for RunningPrefill<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        if state.incarnation.number == self.incarnation {
            state.queue.finish(self.ticket);
            self.engine.record_load(&mut state);
        }
    }
}

/// `ActiveExport` ends an export when it is dropped, also after an error or a
/// cancellation.
struct ActiveExport<'a> {
    engine: &'a EngineStandin,
    kv: &'a KvHandle,
    complete: bool,
}

impl Drop for ActiveExport<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        let State { holds, records, .. } = &mut *state;
        records.exported_tokens += holds.end_export(self.kv, self.complete);
    }
}

/// Checks that the text a resumed stream has already sent is what this engine would have
/// generated.
fn check_sent(command: &DecodeCommand, prompt: &str) -> Result<()> {
    if *command.sent == *expected_text(prompt, command.from_token) {
        return Ok(());
    }
    Err(invalid("the text already sent differs from what this prompt generates"))
}

fn cancelled() -> Error {
    Error::new(ErrorCode::Cancelled, "cancelled")
}

fn crashed() -> Error {
    Error::new(ErrorCode::Unavailable, "the engine crashed").execution(Execution::Run)
}

async fn send_event(sender: &async_sse::Sender, event: &DecodeEvent) -> std::io::Result<()> {
    let data = serde_json::to_string(event).map_err(std::io::Error::other)?;
    sender.send("message", &data, None).await
}
