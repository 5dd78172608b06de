//! The `windows` module counts good and bad events in a ring of short spans, from
//! which the burn over each window is summed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::{Add, AddAssign};
use serde::{Deserialize, Serialize};

/// The share of requests that must meet a target.
pub const OBJECTIVE: f64 = 0.95;

/// The share of prefill work that may be wasted before it counts as a burn of one.
pub const WASTE_ALLOWANCE: f64 = 0.01;

/// The length of one span of the ring.
pub const SPAN: Duration = Duration::from_secs(10);

/// The windows over which burn is reported, shortest first.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(60), Duration::from_secs(300), Duration::from_secs(3_600)];

/// Spans that cover the longest window.
const SPANS: usize = 360;

/// Burn above which the short and the middle window together raise an alarm: at
/// this rate an hour's allowance is gone in ten minutes.
pub const FAST_BURN: f64 = 6.0;

/// Burn above which the longest window alone raises a warning.
pub const SLOW_BURN: f64 = 1.0;

/// `Tally` counts the events of one row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Add, AddAssign, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that were answered.
    pub served: u64,
    /// Of those, the ones whose first token came too late.
    pub ttft_missed: u64,
    /// Of those, the ones whose tokens came too slowly.
    pub tbt_missed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed after they had been accepted.
    pub failed: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled: u64,
    /// Of those, the ones whose result was never used.
    pub wasted: u64,
}

/// `Burn` is how fast each allowance is being used: one means just as fast as the
/// objective allows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Of the target for the time to first token.
    pub ttft: f64,
    /// Of the target for the time between tokens.
    pub tbt: f64,
    /// Of the allowance of failed requests, which is that of the targets.
    pub failed: f64,
    /// Of the allowance of wasted prefill.
    pub waste: f64,
}

impl Tally {
    /// Returns the burn of the allowances.
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
    /// Returns the highest of the burns.
    pub fn worst(&self) -> f64 {
        self.ttft.max(self.tbt).max(self.failed).max(self.waste)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// `Alarm` is the state of a row's burn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// No allowance is being used too fast.
    Steady,
    /// The longest window burns faster than the objective allows.
    Warning,
    /// The short and the middle window both burn fast.
    Page,
}

impl Alarm {
    /// Returns the alarm for the worst burns of the three [`WINDOWS`].
    pub fn of(short: f64, middle: f64, long: f64) -> Alarm {
        if short >= FAST_BURN && middle >= FAST_BURN {
            Alarm::Page
        } else if long >= SLOW_BURN && middle >= SLOW_BURN {
            // The middle window ends the warning soon after the cause has gone.
            Alarm::Warning
        } else {
            Alarm::Steady
        }
    }
}

/// `RowWindows` is the ring of one row.
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

    /// Adds `tally` to the present span.
    pub fn add(&mut self, tally: Tally, now: Instant) {
        self.roll(now);
        if let Some(last) = self.spans.back_mut() {
            *last += tally;
        }
    }

    /// Sums the spans of the last `window`.
    pub fn sum(&mut self, window: Duration, now: Instant) -> Tally {
        self.roll(now);
        let count = (window.as_secs() / SPAN.as_secs()) as usize;
        let newest_first = self.spans.iter().rev().take(count.max(1));
        newest_first.fold(Tally::default(), |sum, span| sum + *span)
    }

    /// Returns the burn of each of [`WINDOWS`].
    pub fn burns(&mut self, now: Instant) -> [Burn; WINDOWS.len()] {
        WINDOWS.map(|window| self.sum(window, now).burn())
    }

    /// Returns the alarm that the burns raise.
    pub fn alarm(&mut self, now: Instant) -> Alarm {
        let [short, middle, long] = self.burns(now).map(|burn| burn.worst());
        Alarm::of(short, middle, long)
    }

    /// Opens the spans up to `now` and drops those beyond the longest window.
    fn roll(&mut self, now: Instant) {
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
