//! The `workload` module draws the requests of a scenario.

use std::time::Duration;

use aspenloft_core::pieces::PieceHash;
use aspenloft_core::units::CACHE_PIECE_TOKENS;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::scenario::Scenario;
use crate::arrivals::sample_interarrival;

/// `RequestNo` is a request's place in its scenario.
pub type RequestNo = usize;

/// Callers.
pub const CALLERS: usize = 4;

/// The share of requests of the first caller, which asks for more than the others.
const HEAVY_CALLER_SHARE: f64 = 0.4;

/// The share of requests with the higher priority.
const HIGH_PRIORITY_SHARE: f64 = 0.7;

/// The priorities.
pub const PRIORITIES: [u8; 2] = [4, 5];

/// The lengths of answers, in tokens.
const OUTPUT_TOKENS: std::ops::Range<u64> = 40..260;

/// The mean length of an answer, in tokens.
pub const MEAN_OUTPUT_TOKENS: f64 = 149.5;

/// The tokens that a caller allows for any answer.
pub const MAX_OUTPUT_TOKENS: u64 = 260;

/// Prefixes that are shared among requests.
const SHARED_PREFIXES: u64 = 40;

/// `Request` is one request of a scenario.
#[derive(Debug, Clone)]
pub struct Request {
    /// When it comes.
    pub arrives_at: Duration,
    /// The caller.
    pub caller: usize,
    /// The caller's data centre.
    pub centre: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The names of the prompt's pieces.
    pub pieces: Vec<PieceHash>,
    /// Tokens of the whole answer, which no policy knows.
    pub output_tokens: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Whether it crashes the engine that prefills it.
    pub poisoned: bool,
    /// Equal for the same request sent again.
    pub fingerprint: u64,
}

/// Draws all requests of `scenario` in the order in which they come.
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

/// Draws the length of a prompt: half are short, some are long histories.
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

/// Names the pieces of a prompt that starts like many others, few prefixes being
/// far more common than the rest.
fn shared_pieces(prompt_tokens: u64, rng: &mut Pcg64Mcg) -> Vec<PieceHash> {
    let skew: f64 = rng.random::<f64>().powi(3);
    let prefix = (skew * SHARED_PREFIXES as f64) as u64;
    (0..prompt_tokens / CACHE_PIECE_TOKENS).map(|position| (prefix + 1) << 32 | position).collect()
}

/// Replaces some requests by the poisoned one, which its caller sends again.
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
