//! The `work` module runs prefills, exports and decodes.

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
use super::standin::{EngineStandin, LOOK_INTERVAL, State};
use super::text::{CRASH_MARKER, DECODE_CRASH_MARKER, expected_text, token_text};

/// The longest wait for the bytes of a KV cache.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// `ExportCommand` asks an engine for the bytes of a KV cache. The stand-in sends
/// the prompt in place of them.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ExportCommand {
    kv: KvHandle,
}

/// `Exported` stands for the bytes of a KV cache.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Exported {
    prompt: Name,
}

impl EngineStandin {
    /// Waits for the request's turn, then runs its prefill.
    pub(super) async fn prefill(&self, command: PrefillCommand) -> Result<PrefillResult> {
        self.refuse_if_told()?;
        let tokens = estimate_tokens(command.prompt.len());
        let turn = self.join_queue(&command, tokens);
        let Ok(ticket) = turn.await else {
            return Err(Error::new(ErrorCode::Cancelled, "cancelled while it waited"));
        };
        let _turn = Turn { engine: self, ticket, life: self.state.lock().life.number };
        let pieces = piece_hashes(&self.options.model, &command.prompt);
        let (worked, took) = self.begin_prefill(&command, tokens, &pieces)?;
        self.run_prefill(&command, took).await?;
        self.count_prefill(worked);
        self.finish_prefill(&command, tokens, worked, &pieces, took)
    }

    fn join_queue(
        &self,
        command: &PrefillCommand,
        tokens: Tokens,
    ) -> futures::channel::oneshot::Receiver<u64> {
        let mut state = self.state.lock();
        let ends = Instant::now() + command.hold;
        state.holds.start(&command.request, &command.owner, HoldState::Queued, ends);
        let turn = state.queue.enqueue(&command.request, tokens, command.priority);
        self.note_load(&mut state);
        turn
    }

    /// Returns the tokens that need work and the time for them.
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
            return Err(Error::new(ErrorCode::Cancelled, "its hold lapsed while it waited"));
        }
        let cached = Tokens(state.cache.cached_prefix(pieces) as u64 * CACHE_PIECE_TOKENS);
        let worked = tokens.saturating_sub(cached);
        let took = self.options.prefill_per_token * worked.0 as u32;
        state.holds.extend(&command.request, now + took + command.hold);
        state.records.begin_prefill(&command.request, &command.prompt);
        Ok((worked, took))
    }

    async fn run_prefill(&self, command: &PrefillCommand, took: Duration) -> Result<()> {
        self.work(took / 2).await;
        if command.prompt.contains(CRASH_MARKER) {
            self.crash();
            // The crash ends the handler before this returns.
            return Err(lost_life());
        }
        self.work(took - took / 2).await;
        Ok(())
    }

    fn finish_prefill(
        &self,
        command: &PrefillCommand,
        tokens: Tokens,
        worked: Tokens,
        pieces: &[u64],
        took: Duration,
    ) -> Result<PrefillResult> {
        let now = Instant::now();
        let life = command.hold.min(self.options.result_ttl);
        let mut state = self.state.lock();
        state.holds.expire(now);
        state.cache.insert(pieces, now);
        let stored = state.holds.store_result(&command.request, &command.prompt, worked, life, now);
        self.note_load(&mut state);
        let kv = stored.ok_or_else(|| {
            Error::new(ErrorCode::Cancelled, "the prefill was cancelled").execution(Execution::Run)
        })?;
        let cached_tokens = tokens.saturating_sub(worked);
        Ok(PrefillResult { kv, prompt_tokens: tokens, cached_tokens, took, expires: life })
    }

    /// Sends a KV cache over the link that all exports share.
    pub(super) async fn export(&self, command: &ExportCommand) -> Result<Exported> {
        let evicted = || not_found("the KV cache has been evicted");
        let stored = {
            let mut state = self.state.lock();
            state.holds.expire(Instant::now());
            state.holds.begin_export(&command.kv).ok_or_else(evicted)?
        };
        let mut export = Export { engine: self, kv: &command.kv, whole: false };
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
        export.whole = true;
        Ok(Exported { prompt: stored.prompt })
    }

    async fn send_chunk(&self, tokens: u64) {
        while self.faults.lock().stall_exports {
            task::sleep(LOOK_INTERVAL).await;
        }
        let length = self.options.transfer_per_token * tokens as u32;
        let length = self.faults.lock().with_slowdown(length);
        let now = Instant::now();
        let ends = self.state.lock().link.reserve(length, now);
        task::sleep(ends.saturating_duration_since(now)).await;
        self.while_frozen().await;
    }

    /// Takes a slot and imports the KV cache; returns the prompt.
    pub(super) async fn import(&self, command: &DecodeCommand) -> Result<Name> {
        self.refuse_if_told()?;
        if self.active() >= self.options.slots {
            return Err(Error::new(ErrorCode::Overloaded, "no free decode slot"));
        }
        {
            let mut state = self.state.lock();
            let ends = Instant::now() + command.hold;
            state.holds.start(&command.request, &command.owner, HoldState::Importing, ends);
            self.note_load(&mut state);
        }
        let imported = self.fetch(command).await;
        let checked = imported.and_then(|prompt| check_sent(command, &prompt).map(|()| prompt));
        let decoding = checked.and_then(|prompt| {
            let there = self.state.lock().holds.set_state(&command.request, HoldState::Decoding);
            there.then_some(prompt).ok_or_else(cancelled)
        });
        decoding.inspect_err(|_| self.forget(&command.request))
    }

    async fn fetch(&self, command: &DecodeCommand) -> Result<Name> {
        let export = ExportCommand { kv: command.kv.clone() };
        let exported =
            http::post_json::<Exported>(command.source, paths::EXPORT, &export, EXPORT_TIMEOUT);
        let gone = self.until_gone(&command.request);
        pin_mut!(exported, gone);
        match select(exported, gone).await {
            Either::Left((exported, _)) => Ok(exported?.prompt),
            Either::Right(((), _)) => Err(cancelled()),
        }
    }

    /// Waits until the request's hold has been cancelled or has lapsed.
    async fn until_gone(&self, request: &RequestId) {
        loop {
            task::sleep(LOOK_INTERVAL).await;
            let mut state = self.state.lock();
            state.holds.expire(Instant::now());
            if !state.holds.contains(request) {
                return;
            }
        }
    }

    /// Generates the stream. A failed send means that the reader has gone.
    pub(super) async fn generate(
        self: &Arc<Self>,
        command: &DecodeCommand,
        prompt: &str,
        sender: &async_sse::Sender,
    ) -> std::io::Result<()> {
        for index in command.from_token..command.max_tokens.0 {
            self.work(self.step_time()).await;
            while self.faults.lock().stall_streams {
                task::sleep(LOOK_INTERVAL).await;
            }
            if prompt.contains(DECODE_CRASH_MARKER) {
                self.state.lock().records.begin_decode(&command.request, prompt);
                self.crash();
                return Ok(());
            }
            if !self.progress(command, prompt, index) {
                return Ok(());
            }
            let text = token_text(prompt, index).into();
            let event = DecodeEvent::Token(Token { index, text });
            for _ in 0..self.copies() {
                send(sender, &event).await?;
            }
        }
        send(sender, &DecodeEvent::Finished(FinishReason::Length)).await
    }

    /// Returns the time of a step, in which every stream gets one token.
    fn step_time(&self) -> Duration {
        let others = self.active().saturating_sub(1);
        self.options.step + self.options.step_per_stream * others
    }

    /// Returns how often the next token is sent.
    fn copies(&self) -> u32 {
        let mut faults = self.faults.lock();
        if faults.repeat_tokens == 0 {
            return 1;
        }
        faults.repeat_tokens -= 1;
        2
    }

    /// Notes a token; `false` when the request's hold is gone.
    fn progress(&self, command: &DecodeCommand, prompt: &str, index: u64) -> bool {
        let mut state = self.state.lock();
        state.holds.expire(Instant::now());
        if !state.holds.set_generated(&command.request, index + 1) {
            return false;
        }
        if index == command.from_token {
            state.records.begin_decode(&command.request, prompt);
        }
        state.records.generated_tokens += Tokens(1);
        true
    }
}

/// `Turn` gives the place in the prefill queue back however the prefill ends.
struct Turn<'a> {
    engine: &'a EngineStandin,
    ticket: u64,
    life: u64,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        if state.life.number == self.life {
            state.queue.finish(self.ticket);
            self.engine.note_load(&mut state);
        }
    }
}

/// `Export` ends an export however the call ends.
struct Export<'a> {
    engine: &'a EngineStandin,
    kv: &'a KvHandle,
    whole: bool,
}

impl Drop for Export<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        let State { holds, records, .. } = &mut *state;
        records.exported_tokens += holds.end_export(self.kv, self.whole);
    }
}

/// Checks the text that a resume says was sent against the engine's own.
fn check_sent(command: &DecodeCommand, prompt: &str) -> Result<()> {
    if *command.sent == *expected_text(prompt, command.from_token) {
        return Ok(());
    }
    Err(invalid("the text already sent is not what this prompt yields"))
}

fn cancelled() -> Error {
    Error::new(ErrorCode::Cancelled, "cancelled")
}

fn lost_life() -> Error {
    Error::new(ErrorCode::Unavailable, "the engine crashed").execution(Execution::Run)
}

async fn send(sender: &async_sse::Sender, event: &DecodeEvent) -> std::io::Result<()> {
    let data = serde_json::to_string(event).map_err(std::io::Error::other)?;
    sender.send("message", &data, None).await
}
