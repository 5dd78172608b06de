//! The `loads` module keeps past load reports, from which outdated ones are served.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use aspenloft_protocol::engine::LoadReport;

/// Maximum lag of a report; older reports are dropped.
const MAX_LAG: Duration = Duration::from_secs(60);

/// `LoadHistory` holds the engine's load over the last minute.
#[derive(Debug, Default)]
pub struct LoadHistory {
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    /// Records the load that applies from `now` on.
    pub fn record(&mut self, report: LoadReport, now: Instant) {
        if self.reports.back().is_some_and(|(_, last)| *last == report) {
            return;
        }
        self.reports.push_back((now, report));
        while self.reports.get(1).is_some_and(|(at, _)| *at + MAX_LAG <= now) {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago, or the oldest one that is known.
    pub fn report(&self, lag: Duration, now: Instant) -> LoadReport {
        let old = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = old.or_else(|| self.reports.front()).map(|(_, report)| report.clone());
        LoadReport { age: lag, ..report.unwrap_or_default() }
    }
}
