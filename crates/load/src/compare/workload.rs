//! The `workload` module generates the requests of a scenario.

use std::time::Duration;

use aspenloft_core::pieces::PieceHash;
use aspenloft_core::units::CACHE_PIECE_TOKENS;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::scenario::Scenario;
use crate::arrivals::sample_interarrival;

/// `RequestNo` is the index of a request in its scenario.
pub type RequestNo = usize;

/// The number of callers.
pub const CALLERS: usize = 4;

/// The share of all requests that the first caller sends; more than each other
/// caller.
const HEAVY_CALLER_SHARE: f64 = 0.4;

/// The share of requests with the higher of the two priorities.
const HIGH_PRIORITY_SHARE: f64 = 0.7;

/// The priorities of requests.
pub const PRIORITIES: [u8; 2] = [4, 5];

/// The range of answer lengths, in tokens.
const OUTPUT_TOKENS: std::ops::Range<u64> = 40..260;

/// The mean length of an answer, in tokens.
pub const MEAN_OUTPUT_TOKENS: f64 = 149.5;

/// The limit that every caller sets for the length of an answer, in tokens.
pub const MAX_OUTPUT_TOKENS: u64 = 260;

/// The number of distinct prefixes that requests share.
const SHARED_PREFIXES: u64 = 40;

/// `Request` is one request of a scenario with its sampled properties.
#[derive(Debug, Clone)]
pub struct Request {
    /// When the caller sends it, counted from the start of the run.
    pub arrives_at: Duration,
    /// The index of the caller.
    pub caller: usize,
    /// The index of the caller's data centre.
    pub centre: usize,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The hashes of the prompt's pieces.
    pub pieces: Vec<PieceHash>,
    /// The length of the full answer, in tokens. Policies must not read it.
    pub output_tokens: u64,
    /// The priority; higher values go first.
    pub priority: u8,
    /// Whether it crashes the engine that prefills it.
    pub poisoned: bool,
    /// The fingerprint; equal for a request that is sent again.
    pub fingerprint: u64,
}

/// Generates all requests of `scenario` in the order of their arrival. A load of 1
/// corresponds to `capacity_per_s` requests a second.
pub fn generate(scenario: &Scenario, capacity_per_s: f64, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut now = Duration::ZERO;
    loop {
        let rate = capacity_per_s * scenario.load_at(now);
        now += sample_interarrival(&mut rng, rate);
        if now >= scenario.length {
            break;
        }
        let fingerprint = requests.len() as u64;
        requests.push(sample_request(scenario, now, fingerprint, &mut rng));
    }
    mark_poisoned(scenario, &mut requests);
    requests
}

fn sample_request(
    scenario: &Scenario,
    arrives_at: Duration,
    fingerprint: u64,
    rng: &mut Pcg64Mcg,
) -> Request {
    let heavy = rng.random_bool(HEAVY_CALLER_SHARE);
    let caller = if heavy { 0 } else { rng.random_range(1..CALLERS) };
    let prompt_tokens = sample_prompt_tokens(rng);
    let shared = scenario.shared_prefixes && rng.random_bool(0.8);
    let pieces =
        if shared { shared_pieces(prompt_tokens, rng) } else { unique_pieces(prompt_tokens, rng) };
    Request {
        arrives_at,
        caller,
        centre: rng.random_range(0..super::fleet::CENTRES),
        prompt_tokens,
        pieces,
        output_tokens: rng.random_range(OUTPUT_TOKENS),
        priority: PRIORITIES[usize::from(rng.random_bool(HIGH_PRIORITY_SHARE))],
        poisoned: false,
        fingerprint,
    }
}

/// Samples the length of a prompt: half of them are short, some are long
/// conversations.
fn sample_prompt_tokens(rng: &mut Pcg64Mcg) -> u64 {
    match rng.random_range(0..100) {
        0..50 => rng.random_range(50..500),
        50..85 => rng.random_range(1_000..4_000),
        _ => rng.random_range(6_000..14_000),
    }
}

fn unique_pieces(prompt_tokens: u64, rng: &mut Pcg64Mcg) -> Vec<PieceHash> {
    (0..prompt_tokens / CACHE_PIECE_TOKENS).map(|_| rng.random()).collect()
}

/// Returns the pieces of a prompt with a shared prefix. Few prefixes are far more
/// common than the rest.
fn shared_pieces(prompt_tokens: u64, rng: &mut Pcg64Mcg) -> Vec<PieceHash> {
    let skew: f64 = rng.random::<f64>().powi(3);
    let prefix = (skew * SHARED_PREFIXES as f64) as u64;
    (0..prompt_tokens / CACHE_PIECE_TOKENS).map(|position| (prefix + 1) << 32 | position).collect()
}

/// Turns the first request after each poison time into the poisoned one. All of them
/// have the same fingerprint, because the caller sends the same request again.
fn mark_poisoned(scenario: &Scenario, requests: &mut [Request]) {
    let mut due = scenario.poison_times.iter();
    let mut next = due.next();
    for request in requests {
        let Some(at) = next else { return };
        if request.arrives_at >= *at {
            request.poisoned = true;
            request.fingerprint = u64::MAX;
            next = due.next();
        }
    }
}
