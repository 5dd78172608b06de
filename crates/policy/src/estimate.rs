//! The `estimate` module estimates the duration of each phase of a request from recent
//! measurements; `docs/design/admission.md` gives the formulas.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::clock::bounded_seconds;
use aspenloft_core::prelude::{Name, Tokens};

use crate::prefill_queue::work_time;

/// The weight of a new measurement in a moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The factor by which the weights of past measurements decay with each new one.
const FORGETTING_FACTOR: f64 = 0.98;

/// `MovingAverage` is an exponentially weighted moving average.
///
/// Source: Roberts, "Control Chart Tests Based on Geometric Moving Averages", 1959.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MovingAverage {
    value: f64,
    measured: bool,
}

impl MovingAverage {
    /// Adds a measurement.
    pub fn add(&mut self, x: f64) {
        if self.measured {
            self.value += SMOOTHING_FACTOR * (x - self.value);
        } else {
            *self = MovingAverage { value: x, measured: true };
        }
    }

    /// Returns the average, or `default` before the first measurement.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.measured { self.value } else { default }
    }
}

/// `StepModel` models the time of a decode step as a linear function of active streams.
///
/// It is a least-squares fit with exponential forgetting. A negative slope is replaced by
/// zero, because more streams never make a step shorter.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepModel {
    n: f64,
    sx: f64,
    sy: f64,
    sxx: f64,
    sxy: f64,
}

/// The longest time of a step, or of the transfer of a token, that is estimated.
const MAX_STEP: Duration = Duration::from_secs(60);

impl StepModel {
    /// Adds the time of a step with `active` streams.
    pub fn add(&mut self, active: u32, step: Duration) {
        let (x, y) = (f64::from(active), step.as_secs_f64());
        self.n = self.n * FORGETTING_FACTOR + 1.0;
        self.sx = self.sx * FORGETTING_FACTOR + x;
        self.sy = self.sy * FORGETTING_FACTOR + y;
        self.sxx = self.sxx * FORGETTING_FACTOR + x * x;
        self.sxy = self.sxy * FORGETTING_FACTOR + x * y;
    }

    /// Predicts the time of a step with `active` streams, or returns `None` before the
    /// first measurement.
    pub fn predict(&self, active: u32) -> Option<Duration> {
        if self.n <= 0.0 {
            return None;
        }
        let spread = self.n * self.sxx - self.sx * self.sx;
        let slope = (self.n * self.sxy - self.sx * self.sy) / spread;
        let slope = if spread > 1e-9 && slope > 0.0 { slope } else { 0.0 };
        let base = (self.sy - slope * self.sx) / self.n;
        Some(bounded_seconds(base + slope * f64::from(active), MAX_STEP))
    }
}

/// `LruTable` is a bounded table of estimates, which evicts the least recently updated
/// one first.
#[derive(Debug)]
pub struct LruTable<T> {
    capacity: usize,
    values: HashMap<Name, (T, Instant)>,
}

impl<T: Default> LruTable<T> {
    /// Creates an empty table of at most `capacity` values.
    pub fn new(capacity: usize) -> LruTable<T> {
        LruTable { capacity, values: HashMap::new() }
    }

    /// Returns the value of `name`, if there is one.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.values.get(name).map(|(value, _)| value)
    }

    /// Returns the value of `name` for an update, and inserts a default value first if
    /// there is none.
    pub fn get_or_insert(&mut self, name: &Name, now: Instant) -> &mut T {
        if !self.values.contains_key(name) && self.values.len() >= self.capacity {
            self.evict_oldest();
        }
        let entry = self.values.entry(name.clone()).or_insert_with(|| (T::default(), now));
        entry.1 = now;
        &mut entry.0
    }

    fn evict_oldest(&mut self) {
        let oldest = self.values.iter().min_by_key(|(_, (_, at))| *at).map(|(n, _)| n.clone());
        if let Some(name) = oldest {
            self.values.remove(&name);
        }
    }
}

/// `LatencyEstimate` is the predicted latency of a request on a pair of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// The wait for the prefill engine.
    pub queue: Duration,
    /// The prefill itself.
    pub prefill: Duration,
    /// The transfer of the KV cache.
    pub transfer: Duration,
    /// The wait for a decode slot after the transfer.
    pub slot: Duration,
    /// The network round trip.
    pub network: Duration,
    /// The time between tokens.
    pub step: Duration,
}

impl LatencyEstimate {
    /// Returns the predicted time from now until the decode slot is needed.
    pub fn decode_starts_in(&self) -> Duration {
        self.queue + self.prefill
    }

    /// Returns the predicted time to the first token.
    pub fn ttft(&self) -> Duration {
        self.queue + self.prefill + self.transfer + self.slot + self.network + self.step
    }
}

/// `LinkModel` models the transfer rate between two data centres.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkModel {
    per_token: MovingAverage,
    /// Tokens whose KV cache is in transfer on the link.
    in_flight: Tokens,
}

/// The transfer time of one token's KV cache on a link without measurements.
const DEFAULT_TRANSFER_PER_TOKEN: Duration = Duration::from_micros(2);

impl LinkModel {
    /// Records the start of a transfer on the link.
    pub fn start_transfer(&mut self, tokens: Tokens) {
        self.in_flight += tokens;
    }

    /// Records the end of a transfer; `took` is its duration if it was complete.
    pub fn end_transfer(&mut self, tokens: Tokens, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(tokens);
        if let Some(took) = took {
            self.per_token.add(took.as_secs_f64() / (tokens.0.max(1)) as f64);
        }
    }

    /// Returns the number of tokens whose KV cache is in transfer on the link.
    pub fn in_flight(&self) -> Tokens {
        self.in_flight
    }

    /// Returns the transfer time of one token's KV cache.
    pub fn per_token(&self) -> Duration {
        let seconds = self.per_token.value_or(DEFAULT_TRANSFER_PER_TOKEN.as_secs_f64());
        bounded_seconds(seconds, MAX_STEP)
    }

    /// Returns the estimated time to transfer `tokens` after those in flight.
    pub fn transfer_time(&self, tokens: Tokens) -> Duration {
        work_time(self.per_token(), self.in_flight + tokens)
    }

    /// Returns whether another `tokens` can be transferred within `limit`. An idle link
    /// always accepts a transfer.
    pub fn can_carry(&self, tokens: Tokens, limit: Duration) -> bool {
        self.in_flight == Tokens(0) || self.transfer_time(tokens) <= limit
    }
}

/// `Estimates` holds the estimates of one host.
#[derive(Debug)]
pub struct Estimates {
    /// The prefill time per token in seconds, by backend server.
    pub prefill: LruTable<MovingAverage>,
    /// The time of a decode step, by backend server.
    pub step: LruTable<StepModel>,
    /// The length of an answer in tokens, by row.
    pub output: LruTable<MovingAverage>,
    /// The links between data centres, by [`Estimates::link_name`].
    pub links: LruTable<LinkModel>,
}

/// The most backend servers with estimates; a single host routes to fewer.
const MAX_BACKENDS: usize = 1_024;

/// The most rows with estimated answer lengths.
const MAX_ROWS: usize = 1_024;

/// The most links between data centres with estimates.
const MAX_LINKS: usize = 256;

impl Default for Estimates {
    fn default() -> Self {
        Estimates {
            prefill: LruTable::new(MAX_BACKENDS),
            step: LruTable::new(MAX_BACKENDS),
            output: LruTable::new(MAX_ROWS),
            links: LruTable::new(MAX_LINKS),
        }
    }
}

/// `RowWeights` holds a row's weights of goodput and wasted prefill.
#[derive(Debug, Clone, Copy)]
pub struct RowWeights {
    /// The weight of goodput.
    pub goodput: f64,
    /// The weight of wasted prefill.
    pub waste: f64,
}

impl RowWeights {
    /// Returns the length for which a slot is reserved, as a position between the mean
    /// answer (0) and the longest one (1).
    fn reserve_position(self) -> f64 {
        let sum = self.goodput + self.waste;
        let waste = if sum > 0.0 { (self.waste / sum).clamp(0.0, 1.0) } else { 0.5 };
        MIN_RESERVE_POSITION + WASTE_POSITION_SPAN * waste
    }
}

/// The position between the mean answer (0) and the longest one (1) at which a row with no
/// weight on wasted prefill reserves slots. Half of all answers are longer than the mean,
/// and a prefill result that waits for one of those is often lost with its request.
const MIN_RESERVE_POSITION: f64 = 0.375;

/// What full weight on wasted prefill adds to [`MIN_RESERVE_POSITION`].
const WASTE_POSITION_SPAN: f64 = 0.5;

impl Estimates {
    /// Returns the expected number of tokens in an answer of `row`.
    pub fn answer_tokens(&self, row: &str, max_tokens: Tokens) -> Tokens {
        let mean = self.output.get(row).copied().unwrap_or_default();
        Tokens((mean.value_or(max_tokens.0 as f64).ceil() as u64).clamp(1, max_tokens.0.max(1)))
    }

    /// Returns the number of tokens for which a decode slot is reserved.
    ///
    /// If the slot's end is predicted too early, the next finished prefill has to wait and
    /// may be evicted; if it is predicted too late, the slot is idle. The row's weights
    /// select a length between the mean answer, which wastes prefill, and the longest
    /// allowed one, which wastes slots; see `docs/design/reservations.md`.
    pub fn reserved_tokens(&self, row: &str, max_tokens: Tokens, weights: RowWeights) -> Tokens {
        let mean = self.answer_tokens(row, max_tokens);
        let rest = max_tokens.saturating_sub(mean).0 as f64;
        Tokens(mean.0 + (rest * weights.reserve_position()).ceil() as u64)
    }

    /// Returns the key of the link between two data centres, `from>to`.
    pub fn link_name(from: &str, to: &str) -> Name {
        format!("{from}>{to}").into()
    }
}
