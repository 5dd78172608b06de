//! The `dialect` module abstracts from a platform's formats: its headers, its keys in
//! the key-value service and the bodies of its engines' responses. The rest of the
//! gateway only handles the types of this module.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::{Name, Result};
use aspenloft_core::suspects::PromptPart;
use bytes::Bytes;
use http::{HeaderMap, Method, request, response};

use crate::configuration::Configuration;
use crate::roster::{ServerEntry, ServerRole};

/// `RequestMetadata` holds the values of a caller's platform headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's id of this attempt.
    pub id: Option<Name>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The size of a model request; `None` for other requests.
    pub generation: Option<GenerationSize>,
    /// The attempt that brought the first event of the stream that this request takes up;
    /// `None` if it takes up no stream.
    pub resumes: Option<Name>,
    /// The id of the last event that the caller has of that stream, if it names one.
    pub last_event: Option<Bytes>,
    /// The parts of the prompt that other requests may share, in their order.
    pub prompt_parts: Vec<PromptPart>,
}

/// `GenerationSize` is the size of a model request, as the caller states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSize {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// The caller's estimate of the number of generated tokens, which is only accurate
    /// at the median.
    pub expected_output_tokens: Option<u64>,
}

/// The largest number of tokens that counts, of a prompt or of an output. No engine holds as
/// many, and the sum of those of all requests does not overflow.
pub const MAX_TOKENS: u64 = u32::MAX as u64;

impl GenerationSize {
    /// Returns the size with at most [`MAX_TOKENS`] tokens of each kind.
    pub fn bounded(self) -> GenerationSize {
        GenerationSize {
            prompt_tokens: self.prompt_tokens.min(MAX_TOKENS),
            max_output_tokens: self.max_output_tokens.min(MAX_TOKENS),
            expected_output_tokens: self.expected_output_tokens.map(|t| t.min(MAX_TOKENS)),
        }
    }
}

/// `Phase` is the part of a request that a backend server executes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The whole request.
    Whole,
    /// Process the prompt and keep its KV cache.
    Prefill,
    /// Generate the output, from the KV cache in `kv_cache` if there is one, and
    /// continue after `last_event` when a stream is resumed.
    Decode {
        /// The KV cache of the prompt.
        kv_cache: Option<KvCacheRef>,
        /// The id of the last event that was relayed.
        last_event: Option<Bytes>,
    },
}

/// `KvCacheRef` identifies the KV cache that an engine keeps for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheRef {
    /// The address of the engine that keeps the KV cache.
    pub engine: SocketAddr,
    /// The engine's identifier of the KV cache.
    pub handle: String,
}

/// `SendMetadata` holds the values that the router adds to a request to a backend
/// server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendMetadata {
    /// The instance that the request is for; another instance at its address refuses.
    pub instance: Name,
    /// How long the caller still waits for the response.
    pub timeout: Duration,
    /// The part of the request that the server executes.
    pub phase: Phase,
}

/// `ResponseMetadata` holds the values of the headers of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The attempt that the response belongs to.
    pub id: Option<Name>,
    /// Whether the server's seal, its signature over the response, is present.
    pub sealed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server instance has the address now.
    pub misdirected: bool,
    /// How long the server keeps the idle connection open, if it states so.
    pub keep_alive: Option<Duration>,
    /// The rate of requests that the server accepts, if it names one.
    pub rate_limit: Option<RateLimit>,
    /// Whether the server states that it is leaving.
    pub leaving: bool,
}

/// `RateLimit` is the rate of requests that a server names in its responses. It applies
/// to all hosts together, for as long as the server's responses name it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimit {
    /// The number of requests per second.
    PerSecond(f64),
    /// The response names a limit that is not a number of requests per second.
    Unreadable,
}

impl ResponseMetadata {
    /// Returns whether the server did not run the request and will not.
    pub fn refused(&self) -> bool {
        self.not_run || self.misdirected
    }
}

/// `EngineCall` is a control request to an engine, as opposed to a caller's request.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The headers, without `Host` and the framing.
    pub headers: HeaderMap,
    /// The body; empty when there is none.
    pub body: Bytes,
}

/// `EngineReport` is the state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// How many orders this instance of the engine has accepted.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
}

/// `RoleOrder` changes the role of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine instance that the order is for.
    pub instance: Name,
    /// The new role.
    pub role: ServerRole,
    /// The host that issues the order.
    pub holder: Name,
    /// A token that grows with each new holder; engines refuse an order whose token is
    /// lower than one that they have seen.
    pub fencing_token: u64,
    /// How many orders the engine must have accepted before, so that a delayed order
    /// does not undo a newer one.
    pub expected_orders: u64,
}

/// `Dialect` translates between a platform's formats and the types of this module.
pub trait Dialect: Send + Sync {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata>;

    /// Returns the end-to-end headers for a send, from the caller's `headers`. Fails if a value
    /// of `metadata` cannot be expressed, since without it the server would run something else.
    fn write_request(&self, headers: &HeaderMap, metadata: &SendMetadata) -> Result<HeaderMap>;

    /// Parses the head of a backend server's response.
    fn read_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Adds the attempt `id` to the headers of a response that the router generates.
    fn write_router_response(&self, id: &Name, headers: &mut HeaderMap);

    /// Parses the KV cache handle from the body of the response to a prefill. Fails if a request
    /// cannot refer to it.
    fn read_prefill_response(&self, body: &[u8]) -> Result<String>;

    /// Returns the call that frees the KV cache `handle` at the engine that keeps it.
    fn free_kv_cache_call(&self, handle: &str) -> EngineCall;

    /// Returns the call that requests the state of the engine `instance`.
    fn report_call(&self, instance: &Name) -> EngineCall;

    /// Parses the body of an engine's response to a report call.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport>;

    /// Returns the call that changes an engine's role.
    fn role_order_call(&self, order: &RoleOrder) -> EngineCall;

    /// Returns the path of the load balancer's readiness probe.
    fn readiness_path(&self) -> &str;

    /// Decodes the item at `key` of the key-value service.
    fn read_item(&self, key: &str, value: &str) -> StoreItem;

    /// Returns what kind of item was removed with `key`.
    fn read_removal(&self, key: &str) -> RemovedItem;
}

/// `StoreItem` is an item of the key-value service that concerns the gateway.
#[derive(Debug)]
pub enum StoreItem {
    /// The operator's configuration of routes and services.
    Configuration(Result<Configuration>),
    /// The entry of a backend server, with its instance name.
    Server(Name, Result<ServerEntry>),
    /// An item that the gateway does not use.
    Other,
}

/// `RemovedItem` is the kind of item that was removed from the key-value service.
#[derive(Debug, PartialEq, Eq)]
pub enum RemovedItem {
    /// The entry of the backend server with this instance name.
    Server(Name),
    /// An item that the gateway does not use.
    Other,
}
