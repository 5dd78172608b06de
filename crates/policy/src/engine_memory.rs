//! The `engine_memory` module forecasts the KV cache use of a model engine.
//!
//! An engine that decodes many requests is limited by memory, not by slots: each request
//! holds its prompt and grows by one token per step. In a burst of long answers, an
//! engine that admits requests by its current use has to preempt some of them a second
//! later and prefill their prompts again. Admission by the forecast peak avoids this; see
//! `docs/design/platform.md`.

/// The expected remaining tokens of a request that exceeds its expected length, as a share
/// of the tokens that it has generated: the distribution of answer lengths is skewed to
/// the right.
const OVERRUN_SHARE: f64 = 0.35;

/// The least number of remaining tokens assumed for a running request.
const MIN_REMAINING: u64 = 32;

/// `RunForecast` is the current and expected memory use of one request on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunForecast {
    /// Tokens in the engine's memory, prompt and answer.
    pub held: u64,
    /// Tokens that it is expected to generate until it ends.
    pub remaining: u64,
}

impl RunForecast {
    /// Forecasts a request with a prompt of `prompt` tokens that has generated `generated`
    /// of an `expected` number of tokens, and of at most `max`.
    pub fn new(prompt: u64, generated: u64, expected: u64, max: u64) -> RunForecast {
        let limit = max.saturating_sub(generated);
        let planned = expected.saturating_sub(generated);
        let overrun = (generated as f64 * OVERRUN_SHARE) as u64;
        let remaining = if generated < expected { planned } else { overrun };
        RunForecast {
            held: prompt.saturating_add(generated),
            remaining: remaining.max(MIN_REMAINING).min(limit.max(1)),
        }
    }

    /// Returns the forecast after `steps` more decode steps.
    pub fn advanced(self, steps: u64) -> RunForecast {
        let generated = steps.min(self.remaining);
        RunForecast {
            held: self.held.saturating_add(generated),
            remaining: self.remaining - generated,
        }
    }
}

/// Returns the peak memory use of `runs` together, in tokens.
///
/// Each running request adds one token per step, so the peak is reached just before one
/// of them ends.
pub fn peak_tokens(runs: &[RunForecast]) -> u64 {
    let mut by_end = runs.to_vec();
    by_end.sort_unstable_by_key(|run| run.remaining);
    let mut held = by_end.iter().fold(0_u64, |sum, run| sum.saturating_add(run.held));
    let mut running = by_end.len() as u64;
    let mut peak = held;
    let mut step = 0;
    for run in &by_end {
        held = held.saturating_add(running.saturating_mul(run.remaining - step));
        step = run.remaining;
        peak = peak.max(held);
        held = held.saturating_sub(run.held.saturating_add(run.remaining));
        running -= 1;
    }
    peak
}
