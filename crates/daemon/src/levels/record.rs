//! The `record` module counts the outcomes of requests against the targets of their
//! rows, and collects the speed of backend servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Name, Tokens};
use aspenloft_policy::burn::rollup::Rollup;
use aspenloft_policy::burn::servers::{ServerPaces, SlowServer};
use aspenloft_policy::burn::windows::{RowWindows, Tally};
use aspenloft_table::row::Row;
use parking_lot::Mutex;

/// How long the samples of a backend server are kept after the latest one.
const SERVER_EXPIRY: Duration = Duration::from_secs(300);

/// The maximum number of rows that are counted; the size of the table also bounds it.
const MAX_ROWS: usize = 1_024;

/// `ServiceLevels` holds a host's counts of request outcomes.
#[derive(Debug, Default)]
pub struct ServiceLevels {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<Name, RowWindows>,
    /// Counts that have not been written to the history yet.
    pending: Rollup,
    servers: ServerPaces,
}

/// `Latencies` holds the latencies of an answered request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Latencies {
    /// The time from its arrival to its first token, or to the complete answer of a
    /// plain service.
    pub ttft: Duration,
    /// The mean time between its tokens; `None` with fewer than two.
    pub tbt: Option<Duration>,
}

impl ServiceLevels {
    /// Counts a request that was answered.
    pub fn record_served(&self, row: &Row, latencies: Latencies, now: Instant) {
        let tally = Tally {
            served: 1,
            ttft_missed: u64::from(latencies.ttft > row.ttft),
            tbt_missed: u64::from(latencies.tbt.is_some_and(|tbt| tbt > row.tbt)),
            ..Tally::default()
        };
        let mut state = self.state.lock();
        state.add(&row.name, tally, now);
        let pending = state.pending.rows.entry(row.name.clone()).or_default();
        pending.ttft.record(latencies.ttft);
        if let Some(tbt) = latencies.tbt {
            pending.tbt.record(tbt);
        }
    }

    /// Counts a request that was refused.
    pub fn record_refused(&self, row: &Name, now: Instant) {
        self.state.lock().add(row, Tally { refused: 1, ..Tally::default() }, now);
    }

    /// Counts a request that failed after it had been accepted.
    pub fn record_failed(&self, row: &Name, now: Instant) {
        self.state.lock().add(row, Tally { failed: 1, ..Tally::default() }, now);
    }

    /// Counts prefilled tokens, as wasted if their result was not used.
    pub fn record_prefill(&self, row: &Name, tokens: Tokens, used: bool, now: Instant) {
        let wasted = if used { 0 } else { tokens.0 };
        let tally = Tally { prefilled: tokens.0, wasted, ..Tally::default() };
        self.state.lock().add(row, tally, now);
    }

    /// Records the pace of a backend server, in seconds per token, at a load between
    /// zero and one. The servers of a group do the same work and are compared.
    pub fn record_pace(&self, server: &Name, group: &Name, pace: f64, load: f64, now: Instant) {
        self.state.lock().servers.observe(server, group, pace, load, now);
    }

    /// Records one pace sample of a backend server for the history. Only the home of
    /// the server calls this, so that each sample counts once.
    pub fn record_pace_for_history(&self, server: &Name, pace: Duration) {
        let mut state = self.state.lock();
        let pending = state.pending.servers.entry(server.clone()).or_default();
        pending.tokens += 1;
        pending.micros += u64::try_from(pace.as_micros()).unwrap_or(u64::MAX);
    }

    /// Returns the servers that have become slow. How long a server has been slow is
    /// measured from call to call, so this must be called regularly; the loop in `tasks`
    /// calls it every second.
    pub fn slow_servers(&self, now: Instant) -> Vec<SlowServer> {
        let mut state = self.state.lock();
        state.servers.remove_silent(SERVER_EXPIRY, now);
        state.servers.slow_servers(now)
    }

    /// Returns the counts of each row over the last `window`.
    pub fn tallies(&self, window: Duration, now: Instant) -> HashMap<Name, Tally> {
        let mut state = self.state.lock();
        state.rows.iter_mut().map(|(name, row)| (name.clone(), row.sum(window, now))).collect()
    }

    /// Removes and returns the counts that have not been written to the history.
    pub fn take_pending(&self) -> Rollup {
        std::mem::take(&mut self.state.lock().pending)
    }

    /// Adds counts that could not be written to the pending ones again.
    pub fn restore_pending(&self, rollup: &Rollup) {
        // Cannot fail: both were recorded here, so their histograms have the same
        // bounds.
        let _ = self.state.lock().pending.add_counts(rollup);
    }
}

impl State {
    fn add(&mut self, row: &Name, tally: Tally, now: Instant) {
        if !self.rows.contains_key(row) && self.rows.len() >= MAX_ROWS {
            return;
        }
        let windows = self.rows.entry(row.clone()).or_insert_with(|| RowWindows::new(now));
        windows.add(tally, now);
        self.pending.rows.entry(row.clone()).or_default().tally += tally;
    }
}
