//! The `burn` module defines the shape of the report on service-level burn.

use std::time::Duration;

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

/// `BurnReport` is the report on service-level burn over all hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The rows, in the table's order.
    pub rows: Vec<RowBurn>,
    /// The backend servers that decline, worst first.
    pub slow_servers: Vec<SlowServerReport>,
    /// Hosts whose counts are not in the report, because they did not answer.
    pub hosts_missing: Vec<Name>,
    /// The history, oldest first.
    pub history: Vec<HistoryPoint>,
    /// Why there is no history, if it could not be read.
    pub history_error: Option<String>,
}

/// `AlarmState` is the state of a row's burn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AlarmState {
    /// No allowance is being used too fast.
    Steady,
    /// The longest window burns faster than the objective allows.
    Warning,
    /// The short and the middle window both burn fast.
    Page,
}

/// `RowBurn` is the burn of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowBurn {
    /// The row.
    pub row: Name,
    /// The state.
    pub alarm: AlarmState,
    /// The allowance that burns fastest, if one burns too fast.
    pub cause: Option<Name>,
    /// The burn over each window, shortest first.
    pub windows: Vec<WindowBurn>,
}

/// `WindowBurn` is the burn over one window; one means just as fast as the
/// objective allows.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window.
    #[serde_as(as = "DurationSeconds")]
    #[serde(rename = "window_s")]
    pub window: Duration,
    /// Requests answered.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed after they had been accepted.
    pub failed: u64,
    /// Burn of the target for the time to first token.
    pub ttft: f64,
    /// Burn of the target for the time between tokens.
    pub tbt: f64,
    /// Burn of the allowance of failed requests.
    pub failures: f64,
    /// Burn of the allowance of wasted prefill.
    pub waste: f64,
}

/// `SlowServerReport` is a backend server that declines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowServerReport {
    /// The backend server.
    pub server: Name,
    /// The group of servers that do the same work.
    pub group: Name,
    /// What it is slow against.
    pub against: Name,
    /// Its time for a token as a multiple of what it is compared with.
    pub ratio: f64,
}

/// `HistoryPoint` is what is kept of one row and span of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryPoint {
    /// The start of the span, in seconds since the Unix epoch.
    pub start_s: u64,
    /// The row.
    pub row: Name,
    /// Requests answered.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// The time to first token that 95 of 100 requests stayed within, in ms.
    pub ttft_p95_ms: u64,
    /// The time between tokens that 95 of 100 requests stayed within, in ms.
    pub tbt_p95_ms: u64,
    /// The highest burn of any allowance.
    pub worst_burn: f64,
}
