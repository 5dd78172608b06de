//! The `faults` module defines the faults that can be injected into an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// `EngineFaults` holds the injected faults of an engine; the default injects none.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// All work stops, while connections stay open.
    pub frozen: bool,
    /// Increase of the duration of all work, in percent.
    pub slowdown_percent: u32,
    /// New prefills and decodes are refused with execution "not run".
    pub refusing: bool,
    /// Decode streams send nothing, while everything else works.
    pub stall_streams: bool,
    /// KV cache exports make no progress.
    pub stall_exports: bool,
    /// Number of further cancellations that have no effect and get no answer.
    pub lose_cancels: u32,
    /// Cancellations are acknowledged without effect.
    pub ignore_cancels: bool,
    /// Number of further tokens that are sent twice.
    pub repeat_tokens: u32,
    /// Age of the state that load reports show, at most 60 s.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// Delay before a cache event becomes visible to readers.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "event_lag_ms")]
    pub event_lag: Duration,
    /// Cache events whose sequence number is a multiple of this are lost; zero for none.
    pub lose_event_every: u64,
    /// Downtime after a crash.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "down_ms")]
    pub down: Duration,
    /// Delay between the receipt of an order and its execution.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "order_delay_ms")]
    pub order_delay: Duration,
}

impl EngineFaults {
    /// Returns the duration of work, given its `duration` without the slowdown.
    pub fn with_slowdown(&self, duration: Duration) -> Duration {
        duration * (100 + self.slowdown_percent) / 100
    }
}
