//! The `role_split` module computes how many engines of a model should prefill and how
//! many should decode.
//!
//! It handles a shift in the lengths of prompts and answers, after which one pool is
//! full while the other is nearly idle. Changing an engine's role takes it out of
//! service for seconds, so roles change only for a clear gain.

use std::time::Duration;

/// The least gain in throughput, as a factor, for which roles are changed.
const MIN_GAIN: f64 = 1.1;

/// The least share of the engines in each role, at any average size of requests: the loss
/// of an engine in one role must not leave the engines of the other without work.
const MIN_ROLE_SHARE: f64 = 1.0 / 6.0;

/// The factor of prefill capacity over what throughput requires: a prompt waits for all
/// those queued before it, and at full utilization would miss its target.
const PREFILL_HEADROOM: f64 = 1.25;

/// `Demand` is the average size of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt tokens of a request.
    pub prompt: f64,
    /// Generated tokens of a request.
    pub answer: f64,
}

/// `EngineSpeed` is the speed and memory of one engine of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens that it prefills in a millisecond.
    pub prefill_per_ms: f64,
    /// The time of a decode step on a busy engine.
    pub step: Duration,
    /// Tokens that its KV cache memory holds.
    pub memory: f64,
}

/// Returns the engine time of a request on prefill and on decode engines, in
/// milliseconds of one fully used engine.
///
/// A decode engine is full when its memory is; a request holds its prompt and, on
/// average, half of its answer in memory while the answer is generated.
fn engine_ms(demand: Demand, speed: EngineSpeed) -> (f64, f64) {
    let prefill = demand.prompt / speed.prefill_per_ms.max(f64::MIN_POSITIVE) * PREFILL_HEADROOM;
    let share = (demand.prompt + demand.answer / 2.0) / speed.memory.max(1.0);
    let decode = demand.answer * speed.step.as_secs_f64() * 1_000.0 * share;
    (prefill.max(f64::MIN_POSITIVE), decode.max(f64::MIN_POSITIVE))
}

/// Returns how many of `engines` should prefill; `prefill` of them do so now.
pub fn prefill_engines(
    engines: usize,
    prefill: usize,
    demand: Demand,
    speed: EngineSpeed,
) -> usize {
    let (prefill_ms, decode_ms) = engine_ms(demand, speed);
    let throughput =
        |count: usize| (count as f64 / prefill_ms).min((engines - count) as f64 / decode_ms);
    let min = ((engines as f64 * MIN_ROLE_SHARE).ceil() as usize).max(1);
    let max = engines.saturating_sub(min);
    let best = (min..=max).max_by(|a, b| throughput(*a).total_cmp(&throughput(*b)));
    match best {
        Some(best) if throughput(best) >= throughput(prefill) * MIN_GAIN => best,
        _ => prefill,
    }
}
