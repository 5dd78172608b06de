//! The `rates` module counts the calls to the key-value service by second, so that a
//! test can compare bursts with the limits of the real service.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use crate::kv::CallKind;

/// Number of seconds with calls that are kept; the oldest are dropped first.
const MAX_SECONDS: usize = 3_600;

/// `CallRates` holds the number of calls by second since the first call, for at least the
/// last hour.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CallRates {
    #[serde(skip)]
    started: Option<Instant>,
    seconds: BTreeMap<u64, CallCounts>,
}

/// `CallCounts` holds the number of calls within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls that write: compare-and-swaps, grants and renewals.
    pub writes: u64,
    /// Calls that read; a waiting watch counts as one.
    pub reads: u64,
}

impl CallRates {
    /// Counts one call at `now`.
    pub fn record(&mut self, kind: CallKind, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let second = self.seconds.entry((now - started).as_secs()).or_default();
        match kind {
            CallKind::Put | CallKind::Grant | CallKind::Renew => second.writes += 1,
            CallKind::Get | CallKind::List | CallKind::Watch => second.reads += 1,
        }
        while self.seconds.len() > MAX_SECONDS {
            self.seconds.pop_first();
        }
    }

    /// Returns the maximum of writes and the maximum of reads within one second.
    pub fn peak(&self) -> CallCounts {
        let writes = self.seconds.values().map(|second| second.writes).max();
        let reads = self.seconds.values().map(|second| second.reads).max();
        CallCounts { writes: writes.unwrap_or_default(), reads: reads.unwrap_or_default() }
    }

    /// Returns the number of calls, keyed by the second since the first call. Seconds
    /// without calls are absent.
    pub fn by_second(&self) -> &BTreeMap<u64, CallCounts> {
        &self.seconds
    }
}
