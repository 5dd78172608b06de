//! The `arrivals` module generates seeded open-loop arrivals: requests are sent at
//! times that don't depend on how fast earlier ones are answered.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Samples the time to the next arrival of a Poisson process with `rate_per_s` arrivals
/// a second on average.
pub fn sample_interarrival(rng: &mut Pcg64Mcg, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}
