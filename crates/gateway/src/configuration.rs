//! The `configuration` module holds the operator's configuration as the router
//! uses it: routes by host and path, services, and limits on callers.

use std::collections::HashMap;
use std::time::Duration;

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `Configuration` is one version of what the operator asks for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operator's version, which only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: HashMap<Name, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// `Route` says where requests to a host and path go, and on what terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The value of the `Host` header.
    pub host: Name,
    /// The start of the path, which begins and ends with a slash.
    pub path_prefix: Name,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// The longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// The operator's rank; 0 goes first.
    pub priority: u8,
    /// The services that share the route's requests, with their weights.
    pub services: Vec<(Name, u32)>,
    /// How many servers may run one request.
    pub max_attempts: u32,
}

/// `RepeatPolicy` says what may be done again when a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once.
    Once,
    /// The answer is a stream of events that another server may go on with.
    ResumableStream,
    /// The answer is a stream of events that cannot be continued elsewhere.
    Stream,
}

impl RepeatPolicy {
    /// Tells whether a request that may have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RepeatPolicy::Idempotent | RepeatPolicy::ResumableStream)
    }
}

/// `Service` is a group of backend servers that do the same work.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// What its engines can do, for a service that runs a model.
    pub engine: Option<EngineProfile>,
}

/// `EngineProfile` is what the engines of a model service can do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: usize,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Tokens in an event of a stream.
    pub tokens_per_event: u64,
    /// How long a prefill engine keeps what it has read.
    pub handle_life: Duration,
}

/// `CallerLimits` bounds what a caller may send and how slowly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The longest time to send a head.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
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

impl Configuration {
    /// Returns the route for `host` and `path`: among those of the host, the one
    /// with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.path_prefix));
        matching.max_by_key(|r| r.path_prefix.len())
    }
}

impl Route {
    /// Returns the service for a request, where `draw` is spread evenly over all
    /// values; `None` when the route names no service with a weight.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut at = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            match at.checked_sub(u64::from(*weight)) {
                Some(rest) => at = rest,
                None => return Some(service),
            }
        }
        None
    }
}
