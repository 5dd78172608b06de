//! The `engines` module simulates prefill and decode engines.

use std::collections::VecDeque;
use std::time::Duration;

use super::pattern::EnginePattern;

/// `RequestNo` is the index of a request in the workload.
pub type RequestNo = usize;

/// `PrefillEngine` reads prompts one after the other.
#[derive(Debug, Default)]
pub struct PrefillEngine {
    /// When all prompts that it has been sent are read.
    free_at: Duration,
}

impl PrefillEngine {
    /// Adds a prompt and returns when it is read.
    pub fn add(&mut self, now: Duration, tokens: u64, pattern: &EnginePattern) -> Duration {
        let took = Duration::from_secs_f64(tokens as f64 / pattern.prefill_tokens_per_ms / 1e3);
        self.free_at = self.free_at.max(now) + took;
        self.free_at
    }
}

/// `EngineRun` is a request on a decode engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRun {
    /// The request.
    pub request: RequestNo,
    /// The length of its prompt, in tokens.
    pub prompt: u64,
    /// Tokens that it has generated.
    pub generated: u64,
    /// Tokens that it will generate.
    pub answer: u64,
}

impl EngineRun {
    fn blocks(&self, pattern: &EnginePattern) -> u64 {
        (self.prompt + self.generated).div_ceil(pattern.block_tokens) * pattern.block_tokens
    }
}

/// `DecodeEngine` generates one token of each running request in a step.
#[derive(Debug, Default)]
pub struct DecodeEngine {
    /// When it is back after a crash.
    pub down_until: Option<Duration>,
    /// The number of its crashes, so that steps of the time before are ignored.
    pub incarnation: u64,
    /// The running requests in the order of their arrival.
    pub runs: Vec<EngineRun>,
    /// Whether a step is scheduled.
    pub stepping: bool,
    /// The requests that had to leave the memory, in the order in which they return.
    preempted: VecDeque<EngineRun>,
}

/// What happened in one step.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// The requests that have ended.
    pub ended: Vec<EngineRun>,
    /// The requests that have lost their memory, with the tokens to be read again.
    pub preempted: Vec<(RequestNo, u64)>,
    /// The requests that have begun to run again.
    pub resumed: Vec<RequestNo>,
}

impl DecodeEngine {
    /// Returns the tokens in its memory.
    pub fn held(&self, pattern: &EnginePattern) -> u64 {
        self.runs.iter().map(|run| run.blocks(pattern)).sum()
    }

    /// Takes a request if there is a slot and memory for its prompt.
    pub fn accept(&mut self, run: EngineRun, pattern: &EnginePattern) -> bool {
        let accepted = self.down_until.is_none() && self.has_room(run.prompt, pattern);
        if accepted {
            self.runs.push(run);
        }
        accepted
    }

    fn has_room(&self, tokens: u64, pattern: &EnginePattern) -> bool {
        self.runs.len() < pattern.slots && self.held(pattern) + tokens <= pattern.memory_tokens
    }

    /// Returns the time of the next step.
    pub fn step_time(&self, pattern: &EnginePattern) -> Duration {
        let runs = self.runs.len() as u64;
        Duration::from_micros(pattern.step_us + pattern.step_us_per_run * runs)
    }

    /// Generates one token of each running request.
    pub fn step(&mut self, pattern: &EnginePattern) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        for run in &mut self.runs {
            run.generated += 1;
        }
        outcome.ended =
            self.runs.iter().filter(|run| run.generated >= run.answer).copied().collect();
        self.runs.retain(|run| run.generated < run.answer);
        while self.held(pattern) > pattern.memory_tokens && self.runs.len() > 1 {
            let Some(newest) = self.runs.pop() else { break };
            outcome.preempted.push((newest.request, newest.prompt + newest.generated));
            self.preempted.push_back(newest);
        }
        while let Some(next) = self.preempted.front().copied() {
            let blocks = next.blocks(pattern);
            if !outcome.preempted.is_empty() || !self.has_room(blocks, pattern) {
                break;
            }
            self.preempted.pop_front();
            outcome.resumed.push(next.request);
            self.runs.push(next);
        }
        outcome
    }

    /// Loses all requests until `until`, and returns them.
    pub fn crash(&mut self, until: Duration) -> Vec<RequestNo> {
        self.down_until = Some(until);
        self.incarnation += 1;
        self.stepping = false;
        let runs = self.runs.drain(..).chain(self.preempted.drain(..));
        runs.map(|run| run.request).collect()
    }
}
