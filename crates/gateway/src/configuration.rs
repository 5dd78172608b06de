//! The `configuration` module defines the operator's configuration in the form that
//! the router uses: routes by host and path, services, and limits on callers.

use std::collections::HashMap;
use std::time::Duration;

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

use crate::dialect::MAX_TOKENS;

/// `Configuration` is one version of the operator's configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operator's version number, which only increases.
    pub version: u64,
    /// All routes; [`Configuration::route`] selects among them.
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: HashMap<Name, Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// `Route` maps requests for a host and path prefix to services, with their timeout
/// and retry policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, as metrics and logs show it.
    pub name: Name,
    /// The value of the `Host` header, compared without regard to case.
    pub host: Name,
    /// The prefix of the path, which begins and ends with a slash.
    pub path_prefix: Name,
    /// Whether a failed request may be retried.
    pub repeat: RepeatPolicy,
    /// The maximum time until the caller has the complete response.
    pub timeout: Duration,
    /// The latency target for a response, or for the first event of a stream.
    pub target_latency: Duration,
    /// The operator's priority; 0 is the highest.
    pub priority: u8,
    /// The services that share the route's requests, with their weights.
    pub services: Vec<(Name, u32)>,
    /// The maximum number of servers that may run one request.
    pub max_attempts: u32,
}

/// `RepeatPolicy` tells whether and how a failed request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is an event stream that another server can continue.
    ResumableStream,
    /// The response is an event stream that no other server can continue.
    Stream,
}

impl RepeatPolicy {
    /// Tells whether a request that may have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RepeatPolicy::Idempotent | RepeatPolicy::ResumableStream)
    }
}

/// `Service` is a group of interchangeable backend servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The capacity of its engines; `None` for a service that runs no model.
    pub engine: Option<EngineProfile>,
}

/// `EngineProfile` is the capacity of each engine of a model service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// The number of requests that an engine runs concurrently.
    pub slots: usize,
    /// The memory for the KV caches of prompts and outputs, in tokens.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: u64,
    /// How long a prefill engine keeps the KV cache that a handle identifies.
    pub handle_life: Duration,
}

/// `CallerLimits` bounds the size of requests and the time that callers may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time that a caller may take to send a request head.
    pub header_timeout: Duration,
    /// How long a connection may stay idle before it is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The longest time that counts in a configuration. Sums of such times do not overflow.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3_600);

/// The longest head of a request that is buffered, in bytes.
const MAX_HEADER_BYTES: usize = 1024 * 1024;

/// The maximum number of slots of an engine, and of tokens in an event.
const MAX_COUNT: u32 = 1_000_000;

impl Configuration {
    /// Returns the configuration with numbers that can be calculated with. Those beyond are as
    /// good as none, and become the largest ones.
    pub fn bounded(mut self) -> Configuration {
        for route in &mut self.routes {
            route.timeout = route.timeout.min(MAX_PERIOD);
            route.target_latency = route.target_latency.min(MAX_PERIOD);
        }
        for engine in self.services.values_mut().filter_map(|s| s.engine.as_mut()) {
            engine.slots = engine.slots.min(MAX_COUNT as usize);
            engine.memory_tokens = engine.memory_tokens.min(MAX_TOKENS);
            engine.tokens_per_event = engine.tokens_per_event.clamp(1, u64::from(MAX_COUNT));
            engine.handle_life = engine.handle_life.min(MAX_PERIOD);
        }
        let limits = &mut self.limits;
        limits.max_header_bytes = limits.max_header_bytes.min(MAX_HEADER_BYTES);
        limits.header_timeout = limits.header_timeout.min(MAX_PERIOD);
        limits.idle_timeout = limits.idle_timeout.min(MAX_PERIOD);
        self
    }

    /// Returns the route for `host` and `path`: the one with the longest matching
    /// path prefix among the routes of that host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.path_prefix));
        matching.max_by_key(|r| r.path_prefix.len())
    }
}

impl Route {
    /// Picks a service at random in proportion to the weights, where `draw` is a
    /// uniformly distributed random number; `None` if all weights are zero.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut offset = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            match offset.checked_sub(u64::from(*weight)) {
                Some(rest) => offset = rest,
                None => return Some(service),
            }
        }
        None
    }
}
