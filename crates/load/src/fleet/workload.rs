//! The `workload` module samples the requests of a load pattern.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::pattern::{LoadPattern, Sizes};
use crate::arrivals::sample_interarrival;

/// The spread of callers' estimates of the length of answers around it.
const HINT_SPREAD: f64 = 0.5;

/// `FleetRequest` is one request with its sampled properties.
#[derive(Debug, Clone, Copy)]
pub struct FleetRequest {
    /// When the caller sends it, counted from the start of the run.
    pub arrives_at: Duration,
    /// The host that gets it first.
    pub host: usize,
    /// The host that gets it when the caller comes back.
    pub next_host: usize,
    /// The length of the prompt, in tokens.
    pub prompt: u64,
    /// The length of the answer, in tokens, which hosts do not know.
    pub answer: u64,
    /// The caller's estimate of it.
    pub expected: u64,
    /// Whether a lost packet delays an event of the stream.
    pub packet_lost: bool,
}

/// Samples the requests of `pattern` in the order of their arrival.
pub fn generate(pattern: &LoadPattern, seed: u64) -> Vec<FleetRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut now = Duration::ZERO;
    loop {
        // A pause without arrivals is passed over in short steps.
        let rate = pattern.rate_at(now).max(0.01);
        let step = sample_interarrival(&mut rng, rate).min(Duration::from_secs(1));
        let is_pause = pattern.rate_at(now) <= 0.0;
        now += step;
        if now >= pattern.length {
            return requests;
        }
        if !is_pause {
            requests.push(sample(pattern, now, &mut rng));
        }
    }
}

fn sample(pattern: &LoadPattern, arrives_at: Duration, rng: &mut Pcg64Mcg) -> FleetRequest {
    let prompt = sample_size(pattern.prompt_tokens, rng);
    let answer = sample_size(pattern.answer_tokens, rng);
    let hint = answer as f64 * (HINT_SPREAD * sample_normal(rng)).exp();
    let max = pattern.answer_tokens.max;
    let events = answer.div_ceil(pattern.engines.event_tokens) as f64;
    let all_arrive = (1.0 - pattern.packet_loss).powf(2.0 * events);
    FleetRequest {
        arrives_at,
        host: sample_host(pattern, rng),
        next_host: sample_host(pattern, rng),
        prompt,
        answer,
        expected: (hint as u64).clamp(1, max),
        packet_lost: rng.random::<f64>() > all_arrive,
    }
}

fn sample_host(pattern: &LoadPattern, rng: &mut Pcg64Mcg) -> usize {
    let total: f64 = (0..pattern.hosts).map(|host| pattern.host_weight(host)).sum();
    let mut left = rng.random::<f64>() * total;
    for host in 0..pattern.hosts {
        left -= pattern.host_weight(host);
        if left < 0.0 {
            return host;
        }
    }
    0
}

fn sample_size(sizes: Sizes, rng: &mut Pcg64Mcg) -> u64 {
    let median = sizes.mean.ln() - sizes.spread * sizes.spread / 2.0;
    let size = (median + sizes.spread * sample_normal(rng)).exp();
    (size as u64).clamp(1, sizes.max)
}

/// Samples a standard normal distribution by the method of Box and Muller.
fn sample_normal(rng: &mut Pcg64Mcg) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
