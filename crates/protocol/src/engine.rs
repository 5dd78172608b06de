//! The `engine` module defines the border to model engines and plain services.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use aspenloft_core::pieces::PieceHash;
use aspenloft_core::prelude::{Name, RequestId, Tokens};
use aspenloft_transport::http;
use async_sse::Event;
use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::BoxStream;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The longest wait for calls that only read or cancel.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// `KvHandle` names the KV cache of one prefill on the engine that made it.
pub type KvHandle = Name;

/// `PrefillCommand` asks an engine to run a prefill.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillCommand {
    /// The request.
    pub request: RequestId,
    /// The host that answers for the engine's memory.
    pub owner: Name,
    /// The prompt.
    pub prompt: Name,
    /// Higher goes first.
    pub priority: u8,
    /// How long the result is held for an export that has not begun.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

/// `PrefillResult` is what a prefill left on its engine.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResult {
    /// Where the result lies.
    pub kv: KvHandle,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens that came from the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// How long the prefill ran.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "took_ms")]
    pub took: Duration,
    /// How long the result stays for an export that has not begun.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "expires_ms")]
    pub expires: Duration,
}

/// `DecodeCommand` asks an engine to import a KV cache and decode from it.
///
/// With `from_token` above zero it resumes a stream: the engine continues after
/// the tokens in `sent`, and the first token it returns has that index.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeCommand {
    /// The request.
    pub request: RequestId,
    /// The host that answers for the engine's memory.
    pub owner: Name,
    /// The KV cache to import.
    pub kv: KvHandle,
    /// The engine that holds it.
    pub source: SocketAddr,
    /// The index of the first token wanted.
    pub from_token: u64,
    /// The text already sent to the caller, for a resume.
    pub sent: Name,
    /// The most tokens to generate, counted from index zero.
    pub max_tokens: Tokens,
    /// Higher goes first.
    pub priority: u8,
    /// How long the engine keeps the stream without sign of life from its owner.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

/// `FinishReason` says why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its text.
    Stop,
    /// The token limit was reached.
    Length,
}

/// `DecodeEvent` is one event of a decode stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeEvent {
    /// One token.
    Token(Token),
    /// The stream is whole.
    Finished(FinishReason),
}

/// `Token` is one generated token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its place in the answer, from zero.
    pub index: u64,
    /// Its text.
    pub text: Name,
}

/// `HoldState` is what an engine does for a request whose memory it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldState {
    /// Waiting for a prefill to begin.
    Queued,
    /// In prefill.
    Prefill,
    /// Holding a finished prefill for export.
    Ready,
    /// Importing a KV cache.
    Importing,
    /// Decoding.
    Decoding,
}

/// `Hold` is memory that an engine holds for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The request.
    pub request: RequestId,
    /// The host that answers for it.
    pub owner: Name,
    /// What the engine does for it.
    pub state: HoldState,
    /// Tokens generated so far.
    pub generated: Tokens,
}

/// `LoadReport` is an engine's own word on its load, some time ago.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Decode slots in all.
    pub slots: u32,
    /// Decode slots in use.
    pub active: u32,
    /// Prefills waiting or running.
    pub queued: u32,
    /// Prompt tokens of those prefills.
    pub queued_tokens: Tokens,
    /// How old the report is.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// `CacheEvent` says that an engine stored or evicted a cache piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's place in the engine's sequence; a gap means lost events.
    pub seq: u64,
    /// The piece.
    pub piece: PieceHash,
    /// Whether it was stored rather than evicted.
    pub stored: bool,
}

/// `CacheEvents` is one answer to a question for events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events after the sequence number asked for, in order.
    pub events: Vec<CacheEvent>,
    /// The newest sequence number of the engine.
    pub newest: u64,
}

/// `CacheSnapshot` is all that an engine has in its prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The pieces.
    pub pieces: Vec<PieceHash>,
    /// The sequence number up to which the snapshot holds.
    pub seq: u64,
}

/// `OrderKind` is what an order makes an engine do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model, adapter or version.
    Load(Name),
    /// Unload it.
    Unload(Name),
    /// Change the engine's role.
    Role(aspenloft_core::backend::BackendRole),
}

/// `Order` is an order with its fencing number.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// The fencing number; engines that check refuse one below the highest seen.
    pub fence: u64,
    /// How long after its receipt the engine may still start it.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "valid_ms")]
    pub valid: Duration,
}

/// `Ack` is an answer that carries nothing else.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}

/// `CancelCommand` makes an engine forget a request in whatever state it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelCommand {
    /// The request.
    pub request: RequestId,
}

/// `ExtendCommand` is the owner's sign of life for holds on an engine.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtendCommand {
    /// The requests.
    pub requests: Vec<RequestId>,
    /// How long they are now kept.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

/// `EventsQuery` asks for the cache events after a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsQuery {
    /// The last sequence number known.
    pub after: u64,
}

/// `DecodeStream` is the stream of a decode's events.
pub type DecodeStream = BoxStream<'static, Result<DecodeEvent>>;

/// `ModelEngine` is one model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Runs a prefill, up to `limit`.
    async fn prefill(&self, command: &PrefillCommand, limit: Duration) -> Result<PrefillResult>;

    /// Imports a KV cache and starts to decode; the answer comes when the import
    /// has succeeded, at the latest after `limit`.
    async fn decode(&self, command: &DecodeCommand, limit: Duration) -> Result<DecodeStream>;

    /// Forgets a request.
    async fn cancel(&self, command: &CancelCommand) -> Result<Ack>;

    /// Extends holds.
    async fn extend(&self, command: &ExtendCommand) -> Result<Ack>;

    /// Lists all holds.
    async fn holds(&self) -> Result<Vec<Hold>>;

    /// Reports the load, with a lag.
    async fn load(&self) -> Result<LoadReport>;

    /// Returns cache events, late and with gaps.
    async fn events(&self, query: EventsQuery) -> Result<CacheEvents>;

    /// Returns the whole prefix cache.
    async fn snapshot(&self) -> Result<CacheSnapshot>;

    /// Carries out an order.
    async fn order(&self, order: &Order) -> Result<Ack>;
}

/// The paths of the engine's protocol.
pub mod paths {
    /// See [`super::ModelEngine::prefill`].
    pub const PREFILL: &str = "/engine/prefill";
    /// See [`super::ModelEngine::decode`].
    pub const DECODE: &str = "/engine/decode";
    /// See [`super::ModelEngine::cancel`].
    pub const CANCEL: &str = "/engine/cancel";
    /// See [`super::ModelEngine::extend`].
    pub const EXTEND: &str = "/engine/extend";
    /// See [`super::ModelEngine::holds`].
    pub const HOLDS: &str = "/engine/holds";
    /// See [`super::ModelEngine::load`].
    pub const LOAD: &str = "/engine/load";
    /// See [`super::ModelEngine::events`].
    pub const EVENTS: &str = "/engine/events";
    /// See [`super::ModelEngine::snapshot`].
    pub const SNAPSHOT: &str = "/engine/snapshot";
    /// See [`super::ModelEngine::order`].
    pub const ORDER: &str = "/engine/order";
    /// Between engines: the bytes of a KV cache.
    pub const EXPORT: &str = "/engine/export";
}

/// `EngineClient` reaches a model engine over HTTP.
#[derive(Debug, Clone)]
pub struct EngineClient {
    addr: SocketAddr,
}

impl EngineClient {
    /// Creates a client of the engine at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        EngineClient { addr }
    }

    async fn control<R: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<R> {
        http::post_json(self.addr, path, body, CONTROL_TIMEOUT).await
    }
}

#[async_trait]
impl ModelEngine for EngineClient {
    async fn prefill(&self, command: &PrefillCommand, limit: Duration) -> Result<PrefillResult> {
        http::post_json(self.addr, paths::PREFILL, command, limit).await
    }

    async fn decode(&self, command: &DecodeCommand, limit: Duration) -> Result<DecodeStream> {
        let req = http::post(self.addr, paths::DECODE, command)?;
        let mut response = http::send(self.addr, req, limit).await?;
        if !response.status().is_success() {
            return http::read_json::<Ack>(&mut response, self.addr).await.and_then(|_| {
                Err(internal("an engine failed with success").execution(Execution::Unknown))
            });
        }
        let addr = self.addr;
        let events = async_sse::decode(response.take_body());
        Ok(events.filter_map(move |event| async move { decode_event(event, addr) }).boxed())
    }

    async fn cancel(&self, command: &CancelCommand) -> Result<Ack> {
        self.control(paths::CANCEL, command).await
    }

    async fn extend(&self, command: &ExtendCommand) -> Result<Ack> {
        self.control(paths::EXTEND, command).await
    }

    async fn holds(&self) -> Result<Vec<Hold>> {
        self.control(paths::HOLDS, &()).await
    }

    async fn load(&self) -> Result<LoadReport> {
        self.control(paths::LOAD, &()).await
    }

    async fn events(&self, query: EventsQuery) -> Result<CacheEvents> {
        self.control(paths::EVENTS, &query).await
    }

    async fn snapshot(&self) -> Result<CacheSnapshot> {
        self.control(paths::SNAPSHOT, &()).await
    }

    async fn order(&self, order: &Order) -> Result<Ack> {
        self.control(paths::ORDER, order).await
    }
}

fn decode_event(
    event: Result<Event, http_types::Error>,
    addr: SocketAddr,
) -> Option<Result<DecodeEvent>> {
    match event {
        Ok(Event::Message(message)) => Some(
            serde_json::from_slice(message.data())
                .map_err(|e| internal(format!("stream of {addr}: {e}")).execution(Execution::Run)),
        ),
        Ok(Event::Retry(_)) => None,
        Err(e) => Some(Err(Error::new(ErrorCode::Unavailable, format!("stream of {addr}: {e}"))
            .execution(Execution::Unknown))),
    }
}
