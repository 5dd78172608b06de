//! Fuzzing of the token order of an answer over streams that break, repeat tokens or
//! reorder them.

use aspenloft_policy::progress::{Progress, TokenOrder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 500;

fn token(answer: u64, index: u64) -> String {
    format!("{answer:x}.{index} ")
}

fn seeds() -> std::ops::Range<u64> {
    // ASPENLOFT_FUZZ_SEEDS runs more seeds than the fixed number of CI.
    let count = std::env::var("ASPENLOFT_FUZZ_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

/// Generates the token indices that a stream from `from` delivers before it ends or
/// breaks, with some tokens repeated, lost or late.
fn stream(random: &mut Pcg64Mcg, from: u64, max: u64) -> Vec<u64> {
    let ends = random.random_range(from..=max);
    let mut events = Vec::new();
    for index in from.saturating_sub(random.random_range(0..3))..ends {
        match random.random_range(0..12) {
            0 => events.extend([index, index]),
            1 => (),
            2 if index > 0 => events.extend([index, index - 1]),
            3 => events.insert(events.len().saturating_sub(2), index),
            _ => events.push(index),
        }
    }
    events
}

#[test]
fn the_caller_sees_each_token_once_and_in_order() {
    for seed in seeds() {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let max = random.random_range(1..60);
        let mut progress = Progress::default();
        let mut seen = String::new();
        let mut streams = 0;
        while !progress.is_complete(max) {
            streams += 1;
            assert!(streams < 10_000, "seed {seed}: no progress");
            for index in stream(&mut random, progress.next_index(), max) {
                let text = token(seed, index);
                match progress.accept(index, &text) {
                    TokenOrder::Next => seen.push_str(&text),
                    TokenOrder::Duplicate => (),
                    TokenOrder::Gap => break,
                }
            }
            assert_eq!(progress.text(), seen, "seed {seed}");
        }
        let expected: String = (0..max).map(|index| token(seed, index)).collect();
        assert_eq!(seen, expected, "seed {seed} after {streams} streams");
    }
}
