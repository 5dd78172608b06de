//! The `faults` module says what is wrong with an engine at the moment.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// `EngineFaults` is what is wrong with the engine; the default is nothing.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Everything stops, connections stay open.
    pub frozen: bool,
    /// All work takes this much longer, in percent.
    pub slowdown_percent: u32,
    /// New prefills and decodes are refused with "not run".
    pub refusing: bool,
    /// Decode streams send nothing while all else works.
    pub stall_streams: bool,
    /// Exports of KV caches make no progress.
    pub stall_exports: bool,
    /// This many coming cancellations are dropped without effect or answer.
    pub lose_cancels: u32,
    /// Cancellations are acknowledged without effect.
    pub ignore_cancels: bool,
    /// This many coming tokens are sent twice.
    pub repeat_tokens: u32,
    /// How old load reports are.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// How late cache events are shown.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "event_lag_ms")]
    pub event_lag: Duration,
    /// Every event whose number divides by this is lost; zero for none.
    pub lose_event_every: u64,
    /// How long the engine stays down after a crash.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "down_ms")]
    pub down: Duration,
    /// How long after its receipt an order starts.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "order_delay_ms")]
    pub order_delay: Duration,
}

impl EngineFaults {
    /// Returns how long work of `length` takes with the slowdown.
    pub fn with_slowdown(&self, length: Duration) -> Duration {
        length * (100 + self.slowdown_percent) / 100
    }
}
