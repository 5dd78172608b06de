//! The `burn` module defines the report on error-budget burn rates. A row has an error
//! budget for each of its service-level objectives.

use std::time::Duration;

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

/// `BurnReport` is the report on the burn rates of all rows, summed over all hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The burn rates of each row, in the table's order.
    pub rows: Vec<RowBurn>,
    /// The backend servers whose speed has degraded, slowest first.
    pub slow_servers: Vec<SlowServerReport>,
    /// Hosts whose counts are not in the report, because they did not respond.
    pub hosts_missing: Vec<Name>,
    /// Past spans of time, oldest first.
    pub history: Vec<HistoryPoint>,
    /// The error, if the history could not be read.
    pub history_error: Option<String>,
}

/// `AlarmState` is the alert level of a row's burn rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AlarmState {
    /// The burn rates are below the thresholds of the other levels.
    Steady,
    /// The burn rates over the middle and the longest window reach the lower threshold.
    Warning,
    /// The burn rates over the shortest and the middle window reach the higher threshold.
    Page,
}

/// `RowBurn` is the set of burn rates of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowBurn {
    /// The name of the row.
    pub row: Name,
    /// The alert level.
    pub alarm: AlarmState,
    /// The error budget with the highest burn rate over the middle window, if that rate
    /// reaches the lower threshold.
    pub cause: Option<Name>,
    /// The burn rates over each window, shortest first.
    pub windows: Vec<WindowBurn>,
}

/// `WindowBurn` is the set of burn rates over one window. A rate of 1 uses up the error
/// budget exactly as fast as the objective allows.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window.
    #[serde_as(as = "DurationSeconds")]
    #[serde(rename = "window_s")]
    pub window: Duration,
    /// Requests answered.
    pub served: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests that failed after they had been accepted.
    pub failed: u64,
    /// Burn rate of the target for the time to first token.
    pub ttft: f64,
    /// Burn rate of the target for the time between tokens.
    pub tbt: f64,
    /// Burn rate of the error budget for failed requests.
    pub failures: f64,
    /// Burn rate of the error budget for wasted prefill.
    pub waste: f64,
}

/// `SlowServerReport` is a backend server whose speed has degraded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowServerReport {
    /// The name of the backend server.
    pub server: Name,
    /// The group of servers that do the same work and are compared with each other.
    pub group: Name,
    /// The baseline that it is compared with: its peers or its own past.
    pub against: Name,
    /// Its time per token as a multiple of the baseline.
    pub ratio: f64,
}

/// `HistoryPoint` is the stored summary of one row over one span of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryPoint {
    /// The start of the span, in seconds since the Unix epoch.
    pub start_s: u64,
    /// The name of the row.
    pub row: Name,
    /// Requests answered.
    pub served: u64,
    /// Requests rejected.
    pub refused: u64,
    /// The 95th percentile of the time to first token, in ms.
    pub ttft_p95_ms: u64,
    /// The 95th percentile of the time between tokens, in ms.
    pub tbt_p95_ms: u64,
    /// The highest burn rate of any error budget.
    pub worst_burn: f64,
}
