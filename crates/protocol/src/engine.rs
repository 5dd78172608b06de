//! The `engine` module defines the protocol between the router and model engines.

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

/// The timeout of calls other than prefill and decode.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// `KvHandle` identifies the KV cache of one prefill on the engine that produced it.
pub type KvHandle = Name;

/// `PrefillCommand` tells an engine to run a prefill.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillCommand {
    /// The id of the request.
    pub request: RequestId,
    /// The host that is responsible for releasing the engine's memory.
    pub owner: Name,
    /// The text of the prompt.
    pub prompt: Name,
    /// The priority in the engine's queue; higher runs first.
    pub priority: u8,
    /// How long the engine keeps the result if no export of it has begun.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

/// `PrefillResult` describes the KV cache that a prefill left on its engine.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResult {
    /// The handle of the KV cache.
    pub kv: KvHandle,
    /// The number of tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// The number of those tokens that were in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// The run time of the prefill.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "took_ms")]
    pub took: Duration,
    /// How long the engine keeps the result if no export of it has begun.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "expires_ms")]
    pub expires: Duration,
}

/// `DecodeCommand` tells an engine to import a KV cache and decode from it.
///
/// With `from_token` above zero it resumes a stream: the engine continues after
/// the tokens in `sent`, and the first token it returns has that index.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeCommand {
    /// The id of the request.
    pub request: RequestId,
    /// The host that is responsible for releasing the engine's memory.
    pub owner: Name,
    /// The handle of the KV cache to import.
    pub kv: KvHandle,
    /// The engine that holds the KV cache.
    pub source: SocketAddr,
    /// The index of the first token to return.
    pub from_token: u64,
    /// The text already sent to the caller, if the stream is resumed.
    pub sent: Name,
    /// The maximum number of tokens to generate, counted from index zero.
    pub max_tokens: Tokens,
    /// The priority in the engine's queue; higher runs first.
    pub priority: u8,
    /// How long the engine keeps the stream unless its owner extends the hold.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

/// `FinishReason` is the reason why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model generated its end-of-text token.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

/// `DecodeEvent` is one event of a decode stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeEvent {
    /// The next generated token.
    Token(Token),
    /// The stream is complete.
    Finished(FinishReason),
}

/// `Token` is one generated token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its position in the generated text, from zero.
    pub index: u64,
    /// The text of the token.
    pub text: Name,
}

/// `HoldState` is the state of a request for which an engine holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldState {
    /// Waiting in the prefill queue.
    Queued,
    /// Running a prefill.
    Prefill,
    /// Keeping a finished prefill for export.
    Ready,
    /// Importing a KV cache.
    Importing,
    /// Running a decode.
    Decoding,
}

/// `Hold` is the memory that an engine holds for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The id of the request.
    pub request: RequestId,
    /// The host that is responsible for releasing it.
    pub owner: Name,
    /// The state of the request on the engine.
    pub state: HoldState,
    /// The number of tokens generated so far.
    pub generated: Tokens,
}

/// `LoadReport` is the load of an engine as it reports it, after a delay.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The total number of decode slots.
    pub slots: u32,
    /// Decode slots in use.
    pub active: u32,
    /// Prefills that are queued or running.
    pub queued: u32,
    /// The number of prompt tokens of those prefills.
    pub queued_tokens: Tokens,
    /// The age of the report.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// `CacheEvent` reports that an engine has stored or evicted a piece of its prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event on its engine; a gap means lost events.
    pub seq: u64,
    /// The hash of the piece.
    pub piece: PieceHash,
    /// Whether the piece was stored (`true`) or evicted (`false`).
    pub stored: bool,
}

/// `CacheEvents` is the response to an [`EventsQuery`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events after the requested sequence number, in order.
    pub events: Vec<CacheEvent>,
    /// The newest sequence number on the engine.
    pub newest: u64,
}

/// `CacheSnapshot` is the complete content of an engine's prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The hashes of all cached pieces.
    pub pieces: Vec<PieceHash>,
    /// The sequence number of the last event that the snapshot includes.
    pub seq: u64,
}

/// `OrderKind` is the operation that an order performs on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model, an adapter or a version of either.
    Load(Name),
    /// Unloads a model, an adapter or a version of either.
    Unload(Name),
    /// Changes the engine's role.
    Role(aspenloft_core::backend::BackendRole),
}

/// `Order` is an operation with the fencing token that protects it against reordering.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The operation to perform.
    pub kind: OrderKind,
    /// The fencing token. Engines that check it reject an order whose token is below the
    /// highest that they have seen.
    pub fence: u64,
    /// How long after receiving the order the engine may still start it.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "valid_ms")]
    pub valid: Duration,
}

/// `Ack` is an acknowledgement without data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}

/// `CancelCommand` makes an engine cancel a request, whatever its state, and free its
/// memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelCommand {
    /// The id of the request.
    pub request: RequestId,
}

/// `ExtendCommand` extends the owner's holds on an engine; without it they expire.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtendCommand {
    /// The ids of the requests whose holds are extended.
    pub requests: Vec<RequestId>,
    /// How long the engine keeps the holds from now on.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

/// `EventsQuery` requests the cache events after a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsQuery {
    /// The last sequence number that the router has received.
    pub after: u64,
}

/// `DecodeStream` is the stream of events of a decode.
pub type DecodeStream = BoxStream<'static, Result<DecodeEvent>>;

/// `ModelEngine` is the interface of a model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Runs a prefill; fails with a timeout after `limit`.
    async fn prefill(&self, command: &PrefillCommand, limit: Duration) -> Result<PrefillResult>;

    /// Imports a KV cache and starts to decode. Returns the stream once the import has
    /// succeeded; fails with a timeout after `limit`.
    async fn decode(&self, command: &DecodeCommand, limit: Duration) -> Result<DecodeStream>;

    /// Cancels a request and frees its memory.
    async fn cancel(&self, command: &CancelCommand) -> Result<Ack>;

    /// Extends the owner's holds.
    async fn extend(&self, command: &ExtendCommand) -> Result<Ack>;

    /// Lists all holds on the engine.
    async fn holds(&self) -> Result<Vec<Hold>>;

    /// Returns the engine's load, which is delayed.
    async fn load(&self) -> Result<LoadReport>;

    /// Returns cache events. They may be delayed, and some may be missing.
    async fn events(&self, query: EventsQuery) -> Result<CacheEvents>;

    /// Returns the content of the whole prefix cache.
    async fn snapshot(&self) -> Result<CacheSnapshot>;

    /// Performs an order.
    async fn order(&self, order: &Order) -> Result<Ack>;
}

/// The HTTP paths of the engine protocol.
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
    /// Exports the bytes of a KV cache from one engine to another.
    pub const EXPORT: &str = "/engine/export";
}

/// `EngineClient` calls a model engine over HTTP.
#[derive(Debug, Clone)]
pub struct EngineClient {
    addr: SocketAddr,
}

impl EngineClient {
    /// Creates a client for the engine at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        EngineClient { addr }
    }

    async fn post<R: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<R> {
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
                Err(internal("the engine returned an error status without an error")
                    .execution(Execution::Unknown))
            });
        }
        let addr = self.addr;
        let events = async_sse::decode(response.take_body());
        Ok(events.filter_map(move |event| async move { decode_event(event, addr) }).boxed())
    }

    async fn cancel(&self, command: &CancelCommand) -> Result<Ack> {
        self.post(paths::CANCEL, command).await
    }

    async fn extend(&self, command: &ExtendCommand) -> Result<Ack> {
        self.post(paths::EXTEND, command).await
    }

    async fn holds(&self) -> Result<Vec<Hold>> {
        self.post(paths::HOLDS, &()).await
    }

    async fn load(&self) -> Result<LoadReport> {
        self.post(paths::LOAD, &()).await
    }

    async fn events(&self, query: EventsQuery) -> Result<CacheEvents> {
        self.post(paths::EVENTS, &query).await
    }

    async fn snapshot(&self) -> Result<CacheSnapshot> {
        self.post(paths::SNAPSHOT, &()).await
    }

    async fn order(&self, order: &Order) -> Result<Ack> {
        self.post(paths::ORDER, order).await
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
