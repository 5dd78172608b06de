//! The `dialect` module is the border to a platform's words: its headers, its keys
//! in the key-value service and the bodies of its engines' answers. The router
//! sees typed values only.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::{Name, Result};
use bytes::Bytes;
use http::{HeaderMap, Method, request, response};

use crate::configuration::Configuration;
use crate::roster::{ServerEntry, ServerRole};

/// `RequestMetadata` is what a caller's head says beside method, path and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// The id of this attempt of the caller.
    pub id: Option<Name>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// What a model request needs.
    pub generation: Option<GenerationSize>,
}

/// `GenerationSize` is the size of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub max_output_tokens: u64,
    /// The caller's estimate of the answer, right at the median only.
    pub expected_output_tokens: Option<u64>,
}

/// `Phase` says which part of a request a backend server is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// All of it.
    Whole,
    /// Read the prompt and keep what was computed.
    Prefill,
    /// Answer, from memory that `from` holds under `handle` where there is any, and
    /// after `last_event` where a stream goes on.
    Decode {
        /// Where the memory is, and its handle.
        kv_cache: Option<KvCacheRef>,
        /// The last event that was relayed.
        last_event: Option<String>,
    },
}

/// `KvCacheRef` names cache memory that an engine keeps for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheRef {
    /// The engine that keeps it.
    pub engine: SocketAddr,
    /// The engine's name for it.
    pub handle: String,
}

/// `SendMetadata` is what the router tells a backend server beside the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendMetadata {
    /// The life of the server that is meant; another one at its address refuses.
    pub instance: Name,
    /// How long an answer is waited for.
    pub timeout: Duration,
    /// The part that the server does.
    pub phase: Phase,
}

/// `ResponseMetadata` is what the head of a backend server's answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The attempt that the answer belongs to.
    pub id: Option<Name>,
    /// Whether the server vouches for the answer.
    pub sealed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server has the address now.
    pub misdirected: bool,
    /// How long the server keeps the connection when idle, if it says so.
    pub keep_alive: Option<Duration>,
}

impl ResponseMetadata {
    /// Tells whether the server did not run the request and will not.
    pub fn refused(&self) -> bool {
        self.not_run || self.misdirected
    }
}

/// `EngineCall` is a call to an engine that is no caller's request.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// `EngineReport` is an engine's state as it says it itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// How many orders this life of the engine has accepted.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
}

/// `RoleOrder` changes the role of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// The life of the engine that is meant.
    pub instance: Name,
    /// The new role.
    pub role: ServerRole,
    /// The host that gives the order.
    pub holder: Name,
    /// Grows with each new holder; engines refuse a lower one after a higher.
    pub fencing_token: u64,
    /// How many orders the engine must have accepted before, so that one that is
    /// carried out late does not undo a newer one.
    pub expected_orders: u64,
}

/// `Dialect` translates heads and the bodies of engines' answers.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata>;

    /// Returns the end-to-end headers for a send, from the caller's `headers`.
    fn write_request(&self, headers: &HeaderMap, metadata: &SendMetadata) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Names the attempt `id` in the headers of the router's own answer.
    fn write_router_response(&self, id: &Name, headers: &mut HeaderMap);

    /// Reads the handle from an answer to a prefill.
    fn read_prefill_response(&self, body: &[u8]) -> Result<String>;

    /// Returns the call that frees `handle` at the engine that keeps it.
    fn free_kv_cache_call(&self, handle: &str) -> EngineCall;

    /// Returns the call that asks the engine `instance` for its state.
    fn report_call(&self, instance: &Name) -> EngineCall;

    /// Reads an engine's state.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport>;

    /// Returns the call that changes an engine's role.
    fn role_order_call(&self, order: &RoleOrder) -> EngineCall;

    /// Returns the path at which the balancer asks whether the host takes callers.
    fn readiness_path(&self) -> &str;

    /// Tells what the item at `key` of the key-value service is.
    fn read_item(&self, key: &str, value: &str) -> Item;

    /// Tells what was under `key`, now that it is gone.
    fn read_removal(&self, key: &str) -> Removal;
}

/// `Item` is an item of the key-value service that concerns the gateway.
#[derive(Debug)]
pub enum Item {
    /// The operator's configuration.
    Configuration(Result<Configuration>),
    /// A backend server.
    Server(Name, Result<ServerEntry>),
    /// Something else.
    Other,
}

/// `Removal` is what a removed key stood for.
#[derive(Debug, PartialEq, Eq)]
pub enum Removal {
    /// A backend server's entry.
    Server(Name),
    /// Something else.
    Other,
}
