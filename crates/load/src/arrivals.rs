//! The `arrivals` module makes seeded open-loop arrivals: requests come at their
//! own times, however slow the answers are.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Draws the time to the next arrival of a Poisson process with `rate_per_s`.
pub fn sample_interarrival(rng: &mut Pcg64Mcg, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}
