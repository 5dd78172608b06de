//! The `windows` module counts good and bad events in a ring of short time spans, and
//! computes the burn rate over each window from their sums.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::{Add, AddAssign};
use serde::{Deserialize, Serialize};

/// The share of requests that must meet a target.
pub const OBJECTIVE: f64 = 0.95;

/// The share of wasted prefill work that corresponds to a burn rate of one.
pub const WASTE_ALLOWANCE: f64 = 0.01;

/// The length of one span in the ring.
pub const SPAN: Duration = Duration::from_secs(10);

/// The windows over which burn rates are reported, shortest first.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(60), Duration::from_secs(300), Duration::from_secs(3_600)];

/// The number of spans that cover the longest window.
const SPANS: usize = 360;

/// The burn rate from which on the short and the middle window together raise a page: at
/// this rate, an hour's error budget is exhausted in ten minutes.
pub const FAST_BURN: f64 = 6.0;

/// The burn rate from which on the middle and the longest window together raise a
/// warning.
pub const SLOW_BURN: f64 = 1.0;

/// `Tally` counts the events of one row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Add, AddAssign, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that were answered.
    pub served: u64,
    /// Answered requests that missed the target for the time to first token.
    pub ttft_missed: u64,
    /// Answered requests that missed the target for the time between tokens.
    pub tbt_missed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed after they had been accepted.
    pub failed: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled: u64,
    /// Prefilled tokens whose result was never used.
    pub wasted: u64,
}

/// `Burn` holds the burn rate of each error budget: at a rate of one, a budget is used
/// exactly as fast as the objective allows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The burn rate of missed targets for the time to first token.
    pub ttft: f64,
    /// The burn rate of missed targets for the time between tokens.
    pub tbt: f64,
    /// The burn rate of failed requests, with the same budget as missed targets.
    pub failed: f64,
    /// The burn rate of wasted prefill.
    pub waste: f64,
}

impl Tally {
    /// Returns the burn rates of the counted events.
    pub fn burn(&self) -> Burn {
        let allowed = 1.0 - OBJECTIVE;
        Burn {
            ttft: share(self.ttft_missed, self.served) / allowed,
            tbt: share(self.tbt_missed, self.served) / allowed,
            failed: share(self.failed, self.served + self.failed) / allowed,
            waste: share(self.wasted, self.prefilled) / WASTE_ALLOWANCE,
        }
    }
}

impl Burn {
    /// Returns the highest of the burn rates.
    pub fn worst(&self) -> f64 {
        self.ttft.max(self.tbt).max(self.failed).max(self.waste)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// `Alarm` is the alarm level of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// Neither of the other levels applies.
    Steady,
    /// The middle and the longest window both reach [`SLOW_BURN`].
    Warning,
    /// The short and the middle window both reach [`FAST_BURN`].
    Page,
}

impl Alarm {
    /// Returns the alarm for the highest burn rates of the three [`WINDOWS`].
    pub fn of(short: f64, middle: f64, long: f64) -> Alarm {
        if short >= FAST_BURN && middle >= FAST_BURN {
            Alarm::Page
        } else if long >= SLOW_BURN && middle >= SLOW_BURN {
            // The middle window clears the warning soon after the cause is resolved.
            Alarm::Warning
        } else {
            Alarm::Steady
        }
    }
}

/// `RowWindows` holds the tallies of one row in a ring of time spans.
#[derive(Debug, Clone)]
pub struct RowWindows {
    start: Instant,
    first: u64,
    spans: VecDeque<Tally>,
}

impl RowWindows {
    /// Creates an empty ring.
    pub fn new(now: Instant) -> RowWindows {
        RowWindows { start: now, first: 0, spans: VecDeque::from([Tally::default()]) }
    }

    /// Adds `tally` to the current span.
    pub fn add(&mut self, tally: Tally, now: Instant) {
        self.advance(now);
        if let Some(last) = self.spans.back_mut() {
            *last += tally;
        }
    }

    /// Returns the sum over the last `window`.
    pub fn sum(&mut self, window: Duration, now: Instant) -> Tally {
        self.advance(now);
        let count = (window.as_secs() / SPAN.as_secs()) as usize;
        let newest_first = self.spans.iter().rev().take(count.max(1));
        newest_first.fold(Tally::default(), |sum, span| sum + *span)
    }

    /// Returns the burn rates over each of [`WINDOWS`].
    pub fn burns(&mut self, now: Instant) -> [Burn; WINDOWS.len()] {
        WINDOWS.map(|window| self.sum(window, now).burn())
    }

    /// Returns the alarm level for the current burn rates.
    pub fn alarm(&mut self, now: Instant) -> Alarm {
        let [short, middle, long] = self.burns(now).map(|burn| burn.worst());
        Alarm::of(short, middle, long)
    }

    /// Appends empty spans up to `now` and removes those beyond the longest window.
    fn advance(&mut self, now: Instant) {
        let index = now.saturating_duration_since(self.start).as_secs() / SPAN.as_secs();
        let newest = self.first + self.spans.len() as u64 - 1;
        let missing = index.saturating_sub(newest);
        if missing as usize >= SPANS {
            self.spans.clear();
            self.spans.push_back(Tally::default());
            self.first = index;
            return;
        }
        for _ in 0..missing {
            self.spans.push_back(Tally::default());
        }
        while self.spans.len() > SPANS {
            self.spans.pop_front();
            self.first += 1;
        }
    }
}
