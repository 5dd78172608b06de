//! The `row` module defines the rows and callers of the table. Each field is a column.

use std::time::Duration;

use aspenloft_core::prelude::{Name, Tokens};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// `RowKind` is the kind of requests that a row routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// Requests for a model.
    Model,
    /// Calls to a plain service.
    Service,
}

/// `Row` is one row of the table: a service or a kind of request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The row's name, unique in the table.
    pub name: Name,
    /// The kind of requests that the row routes.
    pub kind: RowKind,
    /// The name of the model or the plain service.
    pub serves: Name,
    /// The prefix of the paths of a service's calls.
    #[serde(default = "default_path")]
    pub path: Name,
    /// The HTTP methods of a service's calls; empty for all.
    #[serde(default)]
    pub methods: Vec<Name>,
    /// The classes of callers that may use the row; empty for all.
    #[serde(default)]
    pub classes: Vec<Name>,
    /// Target for the time to first token, in milliseconds; for a service, target for the
    /// complete response.
    #[serde(default = "default_ttft", rename = "ttft_ms")]
    #[serde_as(as = "DurationMilliSeconds")]
    pub ttft: Duration,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_tbt", rename = "tbt_ms")]
    #[serde_as(as = "DurationMilliSeconds")]
    pub tbt: Duration,
    /// The row's share under overload, relative to other rows.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The priority, 0 to 9; higher runs first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Rate limit for one caller, in requests per second; zero for no limit.
    #[serde(default)]
    pub rate_per_s: u32,
    /// Limit of requests in flight for one caller; zero for no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Maximum length of a prompt, in tokens.
    #[serde(default = "default_prompt")]
    pub max_prompt_tokens: Tokens,
    /// Maximum length of the generated text, in tokens.
    #[serde(default = "default_output")]
    pub max_output_tokens: Tokens,
    /// Maximum time in the queue, in milliseconds.
    #[serde(default = "default_queue", rename = "queue_ms")]
    #[serde_as(as = "DurationMilliSeconds")]
    pub queue: Duration,
    /// Maximum number of queued requests on one host.
    #[serde(default = "default_queue_length")]
    pub queue_length: u32,
    /// Retry budget as a share of requests, in percent.
    #[serde(default = "default_retry")]
    pub retry_percent: u32,
    /// The weight of goodput relative to wasted prefill in placement decisions.
    #[serde(default = "default_policy_weight")]
    pub goodput_weight: f64,
    /// The weight of wasted prefill relative to goodput in placement decisions.
    #[serde(default = "default_policy_weight")]
    pub waste_weight: f64,
    /// Whether a call must run at most once; such calls need an idempotency key.
    #[serde(default)]
    pub unrepeatable: bool,
    /// How long the outcome of an idempotency key is kept, in seconds.
    #[serde(default = "default_key_window", rename = "key_window_s")]
    #[serde_as(as = "DurationSeconds")]
    pub key_window: Duration,
    /// Whether the backend servers reject orders with an old fencing token.
    #[serde(default = "default_true")]
    pub fencing_checked: bool,
}

impl Row {
    /// Creates a row with default values in all optional columns.
    pub fn new(name: &str, kind: RowKind, serves: &str) -> Row {
        Row {
            name: name.into(),
            kind,
            serves: serves.into(),
            path: default_path(),
            methods: Vec::new(),
            classes: Vec::new(),
            ttft: default_ttft(),
            tbt: default_tbt(),
            weight: default_weight(),
            priority: default_priority(),
            rate_per_s: 0,
            concurrency: 0,
            max_prompt_tokens: default_prompt(),
            max_output_tokens: default_output(),
            queue: default_queue(),
            queue_length: default_queue_length(),
            retry_percent: default_retry(),
            goodput_weight: default_policy_weight(),
            waste_weight: default_policy_weight(),
            unrepeatable: false,
            key_window: default_key_window(),
            fencing_checked: true,
        }
    }
}

fn default_path() -> Name {
    "/".into()
}

fn default_ttft() -> Duration {
    Duration::from_millis(1_700)
}

fn default_tbt() -> Duration {
    Duration::from_millis(47)
}

fn default_weight() -> u32 {
    100
}

fn default_priority() -> u8 {
    5
}

fn default_prompt() -> Tokens {
    Tokens(64_000)
}

fn default_output() -> Tokens {
    Tokens(4_096)
}

fn default_queue() -> Duration {
    Duration::from_millis(500)
}

fn default_queue_length() -> u32 {
    64
}

fn default_retry() -> u32 {
    10
}

fn default_policy_weight() -> f64 {
    1.0
}

fn default_key_window() -> Duration {
    Duration::from_secs(24 * 3600)
}

fn default_true() -> bool {
    true
}

/// `Caller` is a caller that is allowed to use the router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The caller's name, unique in the table.
    pub name: Name,
    /// The SHA-256 digest of the caller's API key in lower-case hexadecimal.
    pub key_sha256: Name,
    /// The caller's class, which rows can refer to.
    #[serde(default)]
    pub class: Name,
    /// The caller's share under overload, relative to other callers.
    #[serde(default = "default_weight")]
    pub weight: u32,
}
