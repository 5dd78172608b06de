//! The `engine` module stands in for a model engine: decode slots, prefill cost,
//! results that are evicted soon, and a list of what it holds.
//!
//! Its tokens are numbered and marked with the prompt they answer, so that a test
//! can compare the whole text; see [`expected_text`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, not_found};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Name, RequestId, Tokens};
use aspenloft_core::units::estimate_tokens;
use aspenloft_protocol::engine::{
    Ack, CacheEvents, CacheSnapshot, CancelCommand, DecodeCommand, DecodeEvent, ExtendCommand,
    FinishReason, Hold, HoldState, KvHandle, LoadReport, Order, PrefillCommand, PrefillResult,
    Token, paths,
};
use aspenloft_transport::http;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_std::task;
use async_trait::async_trait;
use http_types::{Body, Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The largest command that the stand-in reads, in bytes.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;

/// The longest wait for the bytes of a KV cache.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// `EngineOptions` is how the engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Decode slots.
    pub slots: u32,
    /// Time for a token of prefill.
    pub prefill_per_token: Duration,
    /// Time for a step of decode, in which every stream gets one token.
    pub step: Duration,
    /// Time for a token's KV cache on the link from another engine.
    pub transfer_per_token: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            slots: 20,
            prefill_per_token: Duration::from_micros(50),
            step: Duration::from_millis(20),
            transfer_per_token: Duration::from_micros(2),
        }
    }
}

/// `EngineStandin` is a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    options: EngineOptions,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    holds: BTreeMap<RequestId, Held>,
    results: BTreeMap<KvHandle, Stored>,
    made: u64,
}

#[derive(Debug)]
struct Held {
    hold: Hold,
    ends: Instant,
}

#[derive(Debug, Clone)]
struct Stored {
    request: RequestId,
    prompt: Name,
    ends: Instant,
}

/// `ExportCommand` asks an engine for the bytes of a KV cache. The stand-in sends
/// the prompt in place of them.
#[derive(Debug, Serialize, Deserialize)]
struct ExportCommand {
    kv: KvHandle,
}

#[derive(Debug, Serialize, Deserialize)]
struct Exported {
    prompt: Name,
}

/// Returns the text of token `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{:08x}.{index} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// Returns the whole answer to `prompt` with `tokens` tokens.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

impl EngineStandin {
    /// Creates an engine.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        Arc::new(EngineStandin { options, state: Mutex::new(State::default()) })
    }

    /// Lists what the engine holds now.
    pub fn holds(&self) -> Vec<Hold> {
        let mut state = self.state.lock();
        state.expire(Instant::now());
        state.holds.values().map(|held| held.hold.clone()).collect()
    }

    async fn prefill(&self, command: PrefillCommand) -> Result<PrefillResult> {
        let tokens = estimate_tokens(command.prompt.len());
        let took = self.options.prefill_per_token * tokens.0 as u32;
        self.hold(&command.request, &command.owner, HoldState::Prefill, took + command.hold);
        task::sleep(took).await;
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(held) = state.holds.get_mut(&command.request) else {
            return Err(Error::new(ErrorCode::Cancelled, "the prefill was cancelled")
                .execution(Execution::Run));
        };
        held.hold.state = HoldState::Ready;
        held.ends = now + command.hold;
        state.made += 1;
        let kv: KvHandle = format!("kv-{}", state.made).into();
        let stored =
            Stored { request: command.request, prompt: command.prompt, ends: now + command.hold };
        state.results.insert(kv.clone(), stored);
        Ok(PrefillResult {
            kv,
            prompt_tokens: tokens,
            cached_tokens: Tokens(0),
            took,
            expires: command.hold,
        })
    }

    fn export(&self, command: &ExportCommand) -> Result<Exported> {
        let mut state = self.state.lock();
        state.expire(Instant::now());
        let stored = state
            .results
            .remove(&command.kv)
            .ok_or_else(|| not_found("the KV cache has been evicted"))?;
        state.holds.remove(&stored.request);
        Ok(Exported { prompt: stored.prompt })
    }

    async fn import(&self, command: &DecodeCommand) -> Result<Name> {
        self.hold(&command.request, &command.owner, HoldState::Importing, command.hold);
        let export = ExportCommand { kv: command.kv.clone() };
        let exported: Exported =
            http::post_json(command.source, paths::EXPORT, &export, EXPORT_TIMEOUT).await?;
        let tokens = estimate_tokens(exported.prompt.len());
        task::sleep(self.options.transfer_per_token * tokens.0 as u32).await;
        Ok(exported.prompt)
    }

    async fn decode(self: Arc<Self>, command: DecodeCommand) -> Result<Body> {
        if self.active() >= self.options.slots {
            return Err(Error::new(ErrorCode::Overloaded, "no free decode slot"));
        }
        let prompt = match self.import(&command).await {
            Ok(prompt) => prompt,
            Err(e) => {
                self.cancel(&command.request);
                return Err(e);
            }
        };
        self.set_state(&command.request, HoldState::Decoding)?;
        let (sender, encoder) = async_sse::encode();
        let engine = self.clone();
        task::spawn(async move {
            // A failed send means that the reader has gone, which frees the slot.
            let _ = engine.generate(&command, &prompt, sender).await;
            engine.cancel(&command.request);
        });
        let reader = async_std::io::BufReader::new(encoder);
        Ok(Body::from_reader(reader, None))
    }

    async fn generate(
        &self,
        command: &DecodeCommand,
        prompt: &str,
        sender: async_sse::Sender,
    ) -> std::io::Result<()> {
        for index in command.from_token..command.max_tokens.0 {
            task::sleep(self.options.step).await;
            if !self.progress(&command.request, index + 1) {
                return Ok(());
            }
            let text = token_text(prompt, index).into();
            send(&sender, &DecodeEvent::Token(Token { index, text })).await?;
        }
        send(&sender, &DecodeEvent::Finished(FinishReason::Length)).await
    }

    /// Notes progress; `false` when the request has been cancelled.
    fn progress(&self, request: &RequestId, generated: u64) -> bool {
        let mut state = self.state.lock();
        state.expire(Instant::now());
        match state.holds.get_mut(request) {
            Some(held) => {
                held.hold.generated = Tokens(generated);
                true
            }
            None => false,
        }
    }

    fn active(&self) -> u32 {
        let mut state = self.state.lock();
        state.expire(Instant::now());
        let decoding = [HoldState::Importing, HoldState::Decoding];
        let held = state.holds.values();
        held.filter(|held| decoding.contains(&held.hold.state)).count() as u32
    }

    fn hold(&self, request: &RequestId, owner: &Name, state: HoldState, length: Duration) {
        let hold = Hold {
            request: request.clone(),
            owner: owner.clone(),
            state,
            generated: Tokens::default(),
        };
        let held = Held { hold, ends: Instant::now() + length };
        self.state.lock().holds.insert(request.clone(), held);
    }

    fn set_state(&self, request: &RequestId, to: HoldState) -> Result<()> {
        let mut state = self.state.lock();
        let held = state.holds.get_mut(request);
        let held = held.ok_or_else(|| Error::new(ErrorCode::Cancelled, "cancelled"))?;
        held.hold.state = to;
        Ok(())
    }

    fn cancel(&self, request: &RequestId) {
        let mut state = self.state.lock();
        state.holds.remove(request);
        state.results.retain(|_, stored| stored.request != *request);
    }

    fn extend(&self, command: &ExtendCommand) {
        let ends = Instant::now() + command.hold;
        let mut state = self.state.lock();
        for request in &command.requests {
            if let Some(held) = state.holds.get_mut(request) {
                held.ends = ends;
            }
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport { slots: self.options.slots, active: self.active(), ..Default::default() }
    }

    async fn serve(self: Arc<Self>, path: &str, body: &[u8]) -> Result<Response> {
        Ok(match path {
            paths::PREFILL => server::json(&self.prefill(parse(body)?).await?),
            paths::DECODE => {
                let mut response = Response::new(200);
                response.insert_header("content-type", "text/event-stream");
                response.set_body(self.decode(parse(body)?).await?);
                response
            }
            paths::EXPORT => server::json(&self.export(&parse(body)?)?),
            paths::CANCEL => {
                let command: CancelCommand = parse(body)?;
                self.cancel(&command.request);
                server::json(&Ack {})
            }
            paths::EXTEND => {
                self.extend(&parse(body)?);
                server::json(&Ack {})
            }
            paths::HOLDS => server::json(&self.holds()),
            paths::LOAD => server::json(&self.load()),
            paths::EVENTS => server::json(&CacheEvents::default()),
            paths::SNAPSHOT => server::json(&CacheSnapshot::default()),
            paths::ORDER => {
                let _: Order = parse(body)?;
                server::json(&Ack {})
            }
            _ => return Err(not_found("no such path")),
        })
    }
}

impl State {
    fn expire(&mut self, now: Instant) {
        self.holds.retain(|_, held| held.ends > now);
        self.results.retain(|_, stored| stored.ends > now);
    }
}

async fn send(sender: &async_sse::Sender, event: &DecodeEvent) -> std::io::Result<()> {
    let data = serde_json::to_string(event).map_err(std::io::Error::other)?;
    sender.send("message", &data, None).await
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| aspenloft_core::errors::invalid(e.to_string()))
}

/// `EngineFront` answers the engine's protocol over HTTP.
#[derive(Debug)]
pub struct EngineFront(pub Arc<EngineStandin>);

#[async_trait]
impl HttpHandler for EngineFront {
    async fn handle(&self, mut req: Request, _: &Connection) -> Response {
        let path = req.url().path().to_string();
        let body = match server::read_body(&mut req, MAX_COMMAND_BYTES).await {
            Ok(body) => body,
            Err(e) => return server::outcome(Err::<(), _>(e)),
        };
        match self.0.clone().serve(&path, &body).await {
            Ok(response) => response,
            Err(e) => server::outcome(Err::<(), _>(e)),
        }
    }
}
