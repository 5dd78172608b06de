//! The `engine_choice` module places a model request on a prefill engine and a
//! decode engine.
//!
//! The load pattern it answers is a burst of twice the usual load: decode memory
//! fills first, so the decode engine is chosen by the memory that it will have
//! left, and the prefill engine by the prompt tokens that wait there. See
//! `docs/design/platform.md`.

use crate::engine_memory::{RunForecast, peak_tokens};

/// The share of an engine's memory that the forecast may fill; the rest covers
/// partly filled blocks and answers longer than expected.
pub const MEMORY_SHARE: f64 = 0.88;

/// How many running requests on an engine of the own group weigh as much as taking
/// one of another group: the way costs little next to a slower decode step.
const REMOTE_DECODE_PENALTY: f64 = 1.5;

/// How much prefill queue an engine in the decode engine's own group may
/// have more than one elsewhere, in tokens: moving memory between data centres
/// takes twice as long and is paid for by the byte.
const REMOTE_PREFILL_PENALTY: u64 = 6_000;

/// How many running requests the hosts' different preferences weigh at most. Hosts
/// learn of each other's choices some milliseconds late; without preferences all
/// that choose meanwhile choose the same engine.
const DECODE_SPREAD: f64 = 1.5;

/// The same for prefill engines, in tokens: half a usual prompt.
const PREFILL_SPREAD: f64 = 1_500.0;

/// `DecodeLoad` is what is known of a decode engine.
#[derive(Debug, Clone)]
pub struct DecodeLoad {
    /// Requests that it can decode at once.
    pub slots: usize,
    /// Its memory, in tokens.
    pub capacity: u64,
    /// The requests on it, from all hosts.
    pub runs: Vec<RunForecast>,
    /// Whether it is of the deciding host's group, whose work that host knows best.
    pub local: bool,
    /// How much slower than its peers it was lately; 1 is usual.
    pub slowdown: f64,
    /// How little the deciding host prefers it among its peers, from 0 to 1.
    pub preference_penalty: f64,
    /// How many requests other hosts place here first, as [`placed_before`] has it.
    pub placed_before: usize,
}

impl DecodeLoad {
    /// Tells whether `run` fits with the engine's other requests until it ends.
    pub fn fits(&self, run: RunForecast) -> bool {
        if self.runs.len() >= self.slots {
            return false;
        }
        // A request that takes nearly all of an engine runs alone.
        if self.runs.is_empty() {
            return run.held < self.capacity;
        }
        let mut runs = self.runs.clone();
        runs.push(run);
        peak_tokens(&runs) as f64 <= self.capacity as f64 * MEMORY_SHARE
    }

    /// Returns how many requests like `run` fit together, up to `most`.
    fn room_for(&self, run: RunForecast, most: usize) -> usize {
        let mut engine = self.clone();
        let mut count = 0;
        while count < most && engine.fits(run) {
            engine.runs.push(run);
            count += 1;
        }
        count
    }

    fn cost(&self) -> f64 {
        let away = if self.local { 0.0 } else { REMOTE_DECODE_PENALTY };
        let spread = self.preference_penalty * DECODE_SPREAD;
        (self.runs.len() as f64 + 1.0) * self.slowdown + away + spread
    }
}

/// Returns how little a host prefers a server, from 0 to 1, given a hash of both:
/// evenly spread over the servers, and differently for each host.
pub fn preference_penalty(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Returns how many of the hosts with hashes `others` go before the host with the
/// hash `own`: each engine's room is offered to the waiting hosts in an order of its
/// own, so that room that comes free is not taken by all who see it at once.
pub fn hosts_ahead(own: u64, others: impl IntoIterator<Item = u64>) -> usize {
    others.into_iter().filter(|other| *other < own).count()
}

/// Returns how many requests count as placed before the next one on an engine where
/// this host goes after `turn` of the `waiting` other hosts and has placed `own` just
/// now: those hosts have placed about as many, of which nothing was heard yet.
///
/// The load pattern is an engine that comes back empty while many wait on all hosts.
pub fn placed_before(turn: usize, waiting: usize, own: usize) -> usize {
    turn + waiting * own
}

/// Returns the index of the decode engine that takes `run` at the least cost, or
/// `None` when it fits on none of them now.
///
/// An engine on which other hosts go first is taken when it has room for them too.
pub fn choose_decode(engines: &[DecodeLoad], run: RunForecast) -> Option<usize> {
    let free =
        |engine: &DecodeLoad| engine.room_for(run, engine.placed_before + 1) > engine.placed_before;
    let fitting = engines.iter().enumerate().filter(|(_, engine)| free(engine));
    let best = fitting.min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost()));
    best.map(|(index, _)| index)
}

/// The longest prefill queue, in tokens, before the decode engine reads a prompt
/// itself: some 600 ms at the speed of an engine that does nothing else. Reading
/// between the tokens of others takes less than that, at their cost.
const MAX_PREFILL_QUEUE: u64 = 18_000;

/// `PrefillLoad` is what is known of a prefill engine.
#[derive(Debug, Clone, Copy)]
pub struct PrefillLoad {
    /// Prompt tokens that wait or are being read there, from all hosts.
    pub queued: u64,
    /// Whether it is of the chosen decode engine's group.
    pub in_decode_group: bool,
    /// How little the deciding host prefers it among its peers, from 0 to 1.
    pub preference_penalty: f64,
}

impl PrefillLoad {
    fn cost(&self) -> u64 {
        let away = if self.in_decode_group { 0 } else { REMOTE_PREFILL_PENALTY };
        self.queued + away + (self.preference_penalty * PREFILL_SPREAD) as u64
    }
}

/// Returns the index of the prefill engine that reads a prompt at the least cost, or
/// `None` when all have long queues.
pub fn choose_prefill(engines: &[PrefillLoad]) -> Option<usize> {
    let short = engines.iter().enumerate().filter(|(_, e)| e.queued <= MAX_PREFILL_QUEUE);
    let best = short.min_by_key(|(_, engine)| engine.cost());
    best.map(|(index, _)| index)
}
